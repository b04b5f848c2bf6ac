#include "check.h"
#include "gateway_steps.h"

#include <string.h>

#define RESPONSE_TIMEOUT (2 * GS_SEC)

static void
request_send (raw_conn_t *conn, const char *behaviour, size_t id)
{
  raw_printf (conn,
              "POST /a/%s HTTP/1.1\r\nX-Attempt-Id: %zu\r\n"
              "Content-Length: 0\r\n\r\n",
              behaviour, id);
}

/* Behaviours of replicas whose answers have a head.  */
static const char *const answered_behaviours[] = { "good",
                                                   "fails",
                                                   "late-extra",
                                                   "again-foreign",
                                                   "again-own",
                                                   "again-copy",
                                                   "again-answer",
                                                   "cut-100000",
                                                   "stream/good",
                                                   "stream/torn",
                                                   "unframed-stream-torn",
                                                   "unsigned",
                                                   "encoded",
                                                   "foreign",
                                                   "unframed",
                                                   "unframed-reset",
                                                   "trailer",
                                                   "short",
                                                   "busy",
                                                   "busy-sealed",
                                                   "too-many",
                                                   "timed-out",
                                                   "misdirected",
                                                   "error-text",
                                                   "error-unsealed",
                                                   "error-missing",
                                                   "error-plain",
                                                   "error-event",
                                                   "error-head",
                                                   "error-begin",
                                                   "full",
                                                   "moved",
                                                   "early" };

/* Guards against a stand-in that states less than the replicas of the platform
   do: a node takes an answer that does not call the replica brittle for the
   end of it, and sends as many requests as the replica has slots.  The replica
   then falls over for a reason that the platform does not have.  */
static void
all_answers_of_a_brittle_replica_say_so (void)
{
  start_world (1);
  gw_brittle_set (&world, true);
  for (size_t i = 0; i < G_N_ELEMENTS (answered_behaviours); i++)
    {
      raw_conn_t conn;
      GString *answer;
      bool says_so;

      CU_ASSERT_TRUE_FATAL (raw_connect (&conn, world.replicas[0].port));
      request_send (&conn, answered_behaviours[i], i);
      answer = raw_read_until (&conn, RESPONSE_TIMEOUT, "\r\n\r\n");
      says_so = head_has_line (answer->str, "Server-Brittle: 3");
      if (!says_so)
        printf ("\n  %s: %s", answered_behaviours[i], answer->str);
      CU_ASSERT_TRUE (says_so);
      g_string_free (answer, TRUE);
      raw_close (&conn);
    }
  end_world ();
}

static const check_case_t cases[] = {
  { "all answers of a brittle replica say so",
    all_answers_of_a_brittle_replica_say_so },
};

int
main (void)
{
  return CHECK_RUN ("world_replica", cases);
}
