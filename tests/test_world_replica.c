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

#define CONNS 12
#define PLAYS 40

/* Guards against tests that find too many falls: requests that arrive while a
   replica falls over are rejected as well, and each of them was one more fall.
 */
static void
a_replica_that_falls_over_is_counted_once (void)
{
  raw_conn_t conns[CONNS];

  for (unsigned play = 0; play < PLAYS; play++)
    {
      start_world (1);
      gw_brittle_bounds_set (&world, 2, 0);
      gw_brittle_set (&world, true);
      for (unsigned i = 0; i < CONNS; i++)
        CU_ASSERT_TRUE_FATAL (raw_connect (&conns[i], world.replicas[0].port));
      for (unsigned i = 0; i < CONNS; i++)
        request_send (&conns[i], "good", i);
      for (unsigned i = 0; i < CONNS; i++)
        {
          raw_wait_close (&conns[i], gs_clock_now () + RESPONSE_TIMEOUT);
          raw_close (&conns[i]);
        }
      CU_ASSERT_EQUAL (gw_falls_count (&world), 1);
      end_world ();
    }
}

/* Guards against a test that never ends: a replica whose address another
   version took before it was due to come back was started again, and that
   waited for the listener of the other version.  */
static void
another_version_takes_the_place_of_a_crashed_replica (void)
{
  raw_conn_t conn;
  GString *answer;

  start_world (1);
  gw_replica_crash (&world, 0);
  gw_replica_version_set (&world, 0, "v2");
  g_usleep (WORLD_RESTART_TIME + 100 * GS_MSEC);
  gw_replicas_restart (&world);
  CU_ASSERT_TRUE_FATAL (raw_connect (&conn, world.replicas[0].port));
  request_send (&conn, "good", 1);
  answer = raw_read_until (&conn, RESPONSE_TIMEOUT, "\r\n\r\n");
  CU_ASSERT_EQUAL (status_of (answer->str), 200);
  g_string_free (answer, TRUE);
  raw_close (&conn);
  CU_ASSERT_STRING_EQUAL (gw_arrival_version (&world, "1"), "v2");
  end_world ();
}

static const check_case_t cases[] = {
  { "a replica that falls over is counted once",
    a_replica_that_falls_over_is_counted_once },
  { "all answers of a brittle replica say so",
    all_answers_of_a_brittle_replica_say_so },
  { "another version takes the place of a crashed replica",
    another_version_takes_the_place_of_a_crashed_replica },
};

int
main (void)
{
  return CHECK_RUN ("world_replica", cases);
}
