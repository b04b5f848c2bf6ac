#include "check.h"
#include "gateway_steps.h"

#include <signal.h>
#include <string.h>

/* Guards against requests that a node which stops as planned accepts, sends to
   a replica, and ends without an answer.  */

#define CONNECTIONS 60
#define SEND_INTERVAL (50 * GS_MSEC)
#define EXIT_TIMEOUT (12 * GS_SEC)
/* A request that is sent shortly before the process ends may not be read.  */
#define CROSSING_TIME (300 * GS_MSEC)

typedef struct
{
  const char *settings;
  gs_time_t grace;
  gs_time_t run_time; /* of each request at its replica */
} stop_t;

typedef struct
{
  unsigned arrived;    /* at a replica */
  unsigned served;     /* with status 200 */
  unsigned refused;    /* with status 503, and reached no replica */
  unsigned cut;        /* reached a replica, and got no answer */
  unsigned unanswered; /* others that got no answer */
  unsigned untrue;     /* with status 503, and reached a replica */
} stop_result_t;

static bool
is_complete (const GString *answer)
{
  const char *end = strstr (answer->str, "\r\n\r\n");
  char *length = header_of (answer->str, "Content-Length");
  bool complete = end != NULL && length != NULL
                  && strlen (end + 4) >= strtoul (length, NULL, 10);

  g_free (length);
  return complete;
}

static void
start_slow (const stop_t *stop)
{
  start_world (WORLD_REPLICAS_DEFAULT);
  world.settings = stop->settings;
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  gw_start (&world, 0, true);
  for (unsigned i = 0; i < WORLD_REPLICAS_DEFAULT; i++)
    gw_replica_faults_set (&world, i, 0, stop->run_time);
}

static void
count_answer (stop_result_t *out, raw_conn_t *conn, const char *id,
              bool crossing)
{
  GString *answer = raw_read_until (conn, EXIT_TIMEOUT, NULL);
  unsigned status = is_complete (answer) ? status_of (answer->str) : 0;
  bool arrived = gw_arrivals_count (&world, id) > 0;

  out->arrived += arrived;
  out->served += status == 200;
  out->refused += status == 503 && !arrived;
  out->untrue += status == 503 && arrived;
  out->cut += status == 0 && arrived;
  out->unanswered += status == 0 && !arrived && !crossing;
  g_string_free (answer, TRUE);
  raw_close (conn);
}

/* Sends a request at a time on connections that were open before, from the
   signal to the end of the process.  */
static stop_result_t
stop_beside_requests (const stop_t *stop)
{
  raw_conn_t conns[CONNECTIONS];
  gs_time_t sent_at[CONNECTIONS];
  stop_result_t out = { 0 };
  gs_time_t interval = MAX (SEND_INTERVAL, stop->grace / CONNECTIONS);
  gs_time_t exited_at = 0;
  gs_time_t start;
  unsigned sent = 0;
  char id[32];

  start_slow (stop);
  for (unsigned i = 0; i < CONNECTIONS; i++)
    CU_ASSERT_TRUE_FATAL (gw_connect (&conns[i], &world, 0));
  start = gs_clock_now ();
  gw_signal (&world, 0, SIGTERM);
  while (sent < CONNECTIONS && exited_at == 0)
    {
      g_snprintf (id, sizeof id, "late-%u", sent);
      sent_at[sent] = gs_clock_now ();
      gw_send (&conns[sent++], "POST", "/a/never/good", id, "", "x");
      if (gw_wait_exit (&world, 0, start + sent * interval))
        exited_at = gs_clock_now ();
    }
  if (exited_at == 0)
    CU_ASSERT_TRUE (gw_wait_exit (&world, 0, start + EXIT_TIMEOUT));
  if (exited_at == 0)
    exited_at = gs_clock_now ();
  CU_ASSERT (exited_at < start + stop->grace);
  for (unsigned i = 0; i < CONNECTIONS; i++)
    {
      g_snprintf (id, sizeof id, "late-%u", i);
      if (i < sent)
        count_answer (&out, &conns[i], id,
                      sent_at[i] + CROSSING_TIME > exited_at);
      else
        raw_close (&conns[i]);
    }
  printf ("\n  grace %lld ms, run time %lld ms: %u sent, %u reached a replica,"
          " %u served, %u refused, %u cut, %u unanswered ",
          (long long)(stop->grace / GS_MSEC),
          (long long)(stop->run_time / GS_MSEC), sent, out.arrived, out.served,
          out.refused, out.cut, out.unanswered);
  end_world ();
  return out;
}

static void
requests_that_come_during_a_planned_stop_are_answered (void)
{
  static const stop_t stops[] = {
    { "", 8 * GS_SEC, 1200 * GS_MSEC },
    { "bounds.grace_s=6\n", 6 * GS_SEC, 1200 * GS_MSEC },
    { "bounds.grace_s=3\n", 3 * GS_SEC, 800 * GS_MSEC },
    { "bounds.grace_s=2\n", 2 * GS_SEC, 400 * GS_MSEC },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (stops); i++)
    {
      stop_result_t result = stop_beside_requests (&stops[i]);

      CU_ASSERT_EQUAL (result.cut, 0);
      CU_ASSERT_EQUAL (result.unanswered, 0);
      CU_ASSERT_EQUAL (result.untrue, 0);
      CU_ASSERT_EQUAL (result.served, result.arrived);
      CU_ASSERT (result.served > 0);
    }
}

/* Their callers get an answer that says so, and those in the queue one that
   says that they have not run.  */
static void
requests_that_outlast_a_planned_stop_get_an_answer (void)
{
  static const stop_t stop = { "bounds.grace_s=3\n", 3 * GS_SEC, 5 * GS_SEC };
  stop_result_t result = stop_beside_requests (&stop);

  CU_ASSERT (result.arrived > 0);
  CU_ASSERT_EQUAL (result.cut, 0);
  CU_ASSERT_EQUAL (result.unanswered, 0);
  CU_ASSERT_EQUAL (result.untrue, 0);
}

static const check_case_t cases[] = {
  { "requests that come during a planned stop are answered",
    requests_that_come_during_a_planned_stop_are_answered },
  { "requests that outlast a planned stop get an answer",
    requests_that_outlast_a_planned_stop_get_an_answer },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_stop", cases);
}
