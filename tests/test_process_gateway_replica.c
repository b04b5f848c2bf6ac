#include "check.h"
#include "gateway_steps.h"

#include <string.h>

/* Guards against requests that a replica has said in an answer it does not
   take, whichever node received that answer.  */

/* From this long after a replica first named a limit, it gets in any
   LIMIT_WINDOW at most one and a half times what the limit allows and
   LIMIT_SLACK.  */
#define LIMIT_GRACE_PERIOD (3 * GS_SEC)
#define LIMIT_WINDOW (4 * GS_SEC)
#define LIMIT_SLACK 5
#define LIMIT_PER_SEC 2
#define LIMIT_TEXT "2.0"
#define REQUEST_INTERVAL_USEC 10000

/* Sends requests to all gateways in turn.
   @return number of requests that were not answered with status 200  */
static unsigned
send_requests (unsigned gateways, const char *prefix, gs_time_t duration)
{
  gs_time_t end = gs_clock_now () + duration;
  unsigned failed = 0;

  for (unsigned i = 0; gs_clock_now () < end; i++)
    {
      char *id = g_strdup_printf ("%s-%u", prefix, i);
      char *answer = gw_request (&world, i % gateways, "POST", "/a/never/good",
                                 id, "", "x");

      failed += status_of (answer) != 200;
      g_free (answer);
      g_free (id);
      g_usleep (REQUEST_INTERVAL_USEC);
    }
  return failed;
}

static unsigned
limit_arrivals_max (void)
{
  return (unsigned)(1.5 * LIMIT_PER_SEC * LIMIT_WINDOW / GS_SEC) + LIMIT_SLACK;
}

static void
nodes_together_keep_to_the_limit_of_a_replica (void)
{
  gs_time_t named_at;
  unsigned peak;

  start_gateway (2);
  gw_start (&world, 1, true);
  send_requests (2, "before", GS_SEC);
  gw_replica_limit_set (&world, 0, LIMIT_TEXT);
  named_at = gs_clock_now ();
  CU_ASSERT_EQUAL (
      send_requests (2, "limited", LIMIT_GRACE_PERIOD + 2 * LIMIT_WINDOW), 0);
  peak = gw_arrivals_peak (&world, 0, named_at + LIMIT_GRACE_PERIOD,
                           LIMIT_WINDOW);
  printf ("\n  %u requests in 4 s, allowed %u ", peak, limit_arrivals_max ());
  CU_ASSERT (peak <= limit_arrivals_max ());
  /* What the replica takes is used.  */
  CU_ASSERT (peak >= LIMIT_PER_SEC * LIMIT_WINDOW / GS_SEC / 2);
  end_world ();
}

static void
a_replica_that_names_no_limit_any_more_is_used_as_before (void)
{
  unsigned peak;

  start_gateway (2);
  gw_start (&world, 1, true);
  gw_replica_limit_set (&world, 0, LIMIT_TEXT);
  send_requests (2, "limited", 3 * GS_SEC);
  gw_replica_limit_set (&world, 0, NULL);
  send_requests (2, "recovering", 3 * GS_SEC);
  send_requests (2, "recovered", 2 * GS_SEC);
  peak
      = gw_arrivals_peak (&world, 0, gs_clock_now () - 2 * GS_SEC, 2 * GS_SEC);
  printf ("\n  %u requests in 2 s ", peak);
  CU_ASSERT (peak > limit_arrivals_max ());
  end_world ();
}

/* A limited replica is the only one, so requests beyond the limit cannot be
   served.  They are rejected, not sent and not held until their deadline.  */
static void
requests_beyond_the_limit_of_the_only_replica_are_rejected (void)
{
  gs_time_t named_at;
  gs_time_t started_at;
  unsigned peak;
  unsigned failed;
  char *answer;
  char *retry_after;

  start_gateway (1);
  gw_replica_limit_set (&world, 0, LIMIT_TEXT);
  named_at = gs_clock_now ();
  failed = send_requests (1, "alone", LIMIT_GRACE_PERIOD + 2 * LIMIT_WINDOW);
  peak = gw_arrivals_peak (&world, 0, named_at + LIMIT_GRACE_PERIOD,
                           LIMIT_WINDOW);
  printf ("\n  %u requests in 4 s, allowed %u; %u rejected ", peak,
          limit_arrivals_max (), failed);
  CU_ASSERT (peak <= limit_arrivals_max ());
  CU_ASSERT (failed > 0);
  do
    {
      started_at = gs_clock_now ();
      answer
          = gw_request (&world, 0, "POST", "/a/never/good", "last", "", "x");
    }
  while (status_of (answer) == 200
         && gs_clock_now () < named_at + 60 * GS_SEC);
  CU_ASSERT_EQUAL (status_of (answer), 503);
  CU_ASSERT (gs_clock_now () < started_at + 2 * GS_SEC);
  retry_after = header_of (answer, "Retry-After");
  CU_ASSERT_PTR_NOT_NULL (retry_after);
  g_free (retry_after);
  g_free (answer);
  end_world ();
}

static const check_case_t cases[] = {
  { "nodes together keep to the limit of a replica",
    nodes_together_keep_to_the_limit_of_a_replica },
  { "a replica that names no limit any more is used as before",
    a_replica_that_names_no_limit_any_more_is_used_as_before },
  { "requests beyond the limit of the only replica are rejected",
    requests_beyond_the_limit_of_the_only_replica_are_rejected },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_replica", cases);
}
