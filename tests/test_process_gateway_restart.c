#include "check.h"
#include "gateway_steps.h"

#include <signal.h>
#include <string.h>

/* Guards against a fleet that serves late after all of its nodes were killed
   at once.  */

#define NODES 3
/* From this time after the first node is ready, SERVED_SHARE of the requests
   are served on time.  */
#define SERVED_FROM (500 * GS_MSEC)
#define SERVED_PERIOD (2 * GS_SEC)
#define SERVED_SHARE 0.9
#define SEND_INTERVAL (20 * GS_MSEC)
#define LATENCY_TARGET GS_SEC
#define READY_TIMEOUT (15 * GS_SEC)

typedef struct
{
  unsigned sent;
  unsigned on_time;
  unsigned refused; /* with status 503 */
  unsigned other;
} service_t;

static bool
is_any_ready (void *context)
{
  (void)context;
  for (unsigned i = 0; i < NODES; i++)
    if (gw_is_ready (&world, i))
      return true;
  return false;
}

/* Sends requests to all nodes in turn.  */
static service_t
send_requests (const char *phase, gs_time_t duration)
{
  service_t out = { 0, 0, 0, 0 };
  gs_time_t start = gs_clock_now ();
  gs_time_t due = start;

  while (due < start + duration)
    {
      char *id = g_strdup_printf ("%s-%u", phase, out.sent);
      gs_time_t sent_at = gs_clock_now ();
      char *answer = gw_request (&world, out.sent % NODES, "POST",
                                 "/a/free/good", id, "", "x");
      unsigned status = status_of (answer);

      out.sent++;
      out.on_time
          += status == 200 && gs_clock_now () <= sent_at + LATENCY_TARGET;
      out.refused += status == 503;
      out.other += status != 200 && status != 503;
      g_free (answer);
      g_free (id);
      due += SEND_INTERVAL;
      if (due > gs_clock_now ())
        g_usleep ((gulong)(due - gs_clock_now ()));
      due = MAX (due, gs_clock_now () - SEND_INTERVAL);
    }
  return out;
}

static void
requests_are_served_soon_after_all_nodes_were_killed (void)
{
  gs_time_t killed_at;
  gs_time_t ready_at;
  service_t early;
  service_t later;

  start_world (WORLD_REPLICAS_DEFAULT);
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  for (unsigned i = 0; i < NODES; i++)
    gw_start (&world, i, true);
  g_usleep ((gulong)GS_SEC);
  for (unsigned i = 0; i < NODES; i++)
    gw_signal (&world, i, SIGKILL);
  killed_at = gs_clock_now ();
  for (unsigned i = 0; i < NODES; i++)
    gw_start (&world, i, false);
  CU_ASSERT_TRUE_FATAL (gw_wait_until (is_any_ready, NULL, READY_TIMEOUT));
  ready_at = gs_clock_now ();
  early = send_requests ("early", SERVED_FROM);
  later = send_requests ("later", SERVED_PERIOD);
  printf ("\n  first node ready after %lld ms; in the %lld ms from then %u of "
          "%u on time, %u refused, %u other; later %u of %u on time, %u "
          "refused, %u other ",
          (long long)((ready_at - killed_at) / GS_MSEC),
          (long long)(SERVED_FROM / GS_MSEC), early.on_time, early.sent,
          early.refused, early.other, later.on_time, later.sent, later.refused,
          later.other);
  CU_ASSERT ((double)later.on_time >= SERVED_SHARE * (double)later.sent);
  end_world ();
}

#define STARTS 5
#define LOCK_TIME (150 * GS_MSEC)

static bool
is_first_ready (void *context)
{
  (void)context;
  return gw_is_ready (&world, 0);
}

/* Guards against a node that is ready before it may send requests again: the
   store refuses its entry for a while.  */
static void
the_first_request_after_a_start_is_sent_again (void)
{
  for (unsigned i = 0; i < STARTS; i++)
    {
      char *answer;

      start_world (WORLD_REPLICAS_DEFAULT);
      gw_configure (&world, 1, "/a/", WORLD_API_KEY);
      gw_store_lock_kind (&world, "gateway-nodes");
      gw_start (&world, 0, false);
      if (!gw_wait_until (is_first_ready, NULL, LOCK_TIME))
        gw_store_lock_kind (&world, NULL);
      CU_ASSERT_TRUE_FATAL (
          gw_wait_until (is_first_ready, NULL, READY_TIMEOUT));
      answer = gw_request (&world, 0, "POST", "/a/free/fails-once", "first",
                           "", "x");
      CU_ASSERT_EQUAL (status_of (answer), 200);
      g_free (answer);
      end_world ();
    }
}

/* The store does not answer its writes at all.  */
static void
a_node_whose_entry_is_not_stored_is_ready_after_a_second (void)
{
  gs_time_t start;

  start_world (WORLD_REPLICAS_DEFAULT);
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  gw_store_lock_kind (&world, "gateway-nodes");
  start = gs_clock_now ();
  gw_start (&world, 0, false);
  CU_ASSERT_TRUE (gw_wait_until (is_first_ready, NULL, READY_TIMEOUT));
  printf ("\n  ready after %lld ms ",
          (long long)((gs_clock_now () - start) / GS_MSEC));
  CU_ASSERT (gs_clock_now () < start + 3 * GS_SEC);
  end_world ();
}

static const check_case_t cases[] = {
  { "the first request after a start is sent again",
    the_first_request_after_a_start_is_sent_again },
  { "a node whose entry is not stored is ready after a second",
    a_node_whose_entry_is_not_stored_is_ready_after_a_second },
  { "requests are served soon after all nodes were killed",
    requests_are_served_soon_after_all_nodes_were_killed },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_restart", cases);
}
