#include "check.h"
#include "gateway_steps.h"

#include <signal.h>
#include <stdatomic.h>
#include <string.h>

/* Guards against roll-outs that expose callers to a bad version, that end too
   late, or that cut off requests at old replicas, also when nodes or the store
   fail halfway.  Replicas 0 and 1 have the old version, 2 and 3 the target. */

#define GATEWAYS 3
#define CALLERS 24
/* Pause of a caller between two requests.  */
#define PAUSE_USEC 10000
#define DURATION_SECONDS 12
#define EXPOSE_SHARE 0.1
#define EXPOSE_SLACK 50
/* Bad responses after which a version must get no more requests in time.  */
#define BAD_RESPONSES_MAX 50
#define SETTINGS                                                              \
  "contracts=lease,rollout\nbounds.expose_share=0.1\n"                        \
  "bounds.expose_slack=50\nbounds.rollback_ms=5000\n"
/* Time in which all nodes know of each other.  */
#define KNOWN_TIMEOUT GS_SEC

typedef struct
{
  GThread *threads[CALLERS];
  atomic_bool stopping;
  atomic_uint sequence;
  atomic_uint answered; /* with status 200 */
  atomic_uint failed;   /* with another status, or cut off */
  atomic_uint refused;  /* with status 503 or 429 */
} load_t;

static load_t load;

static void *
call_periodically (void *context)
{
  unsigned caller = GPOINTER_TO_UINT (context);
  static const char *const paths[]
      = { "/a/free/good",  "/a/never/good", "/a/free/good",
          "/a/never/good", "/a/free/good",  "/a/stream/resume/good" };

  while (!atomic_load (&load.stopping))
    {
      unsigned number = atomic_fetch_add (&load.sequence, 1);
      char *id = g_strdup_printf ("load-%u", number);
      char *answer
          = gw_request (&world, (caller + number) % GATEWAYS, "POST",
                        paths[number % G_N_ELEMENTS (paths)], id, "", id);
      unsigned status = status_of (answer);

      if (status == 200)
        atomic_fetch_add (&load.answered, 1);
      else if (status == 503 || status == 429)
        atomic_fetch_add (&load.refused, 1);
      else if (status != 0)
        atomic_fetch_add (&load.failed, 1);
      g_free (answer);
      g_free (id);
      g_usleep (PAUSE_USEC);
    }
  return NULL;
}

static void
start_load (void)
{
  memset (&load, 0, sizeof load);
  for (unsigned i = 0; i < CALLERS; i++)
    load.threads[i]
        = g_thread_new ("caller", call_periodically, GUINT_TO_POINTER (i));
}

static void
stop_load (void)
{
  atomic_store (&load.stopping, true);
  for (unsigned i = 0; i < CALLERS; i++)
    g_thread_join (load.threads[i]);
  printf ("\n  %u answered, %u refused, %u failed; ",
          atomic_load (&load.answered), atomic_load (&load.refused),
          atomic_load (&load.failed));
}

static void
start_nodes (const char *settings)
{
  start_world (WORLD_REPLICAS_DEFAULT);
  world.settings = settings;
  for (unsigned i = 2; i < WORLD_REPLICAS_DEFAULT; i++)
    gw_object_remove (&world, "servers", world.replicas[i].id);
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  for (unsigned i = 0; i < GATEWAYS; i++)
    gw_start (&world, i, true);
  g_usleep ((gulong)KNOWN_TIMEOUT);
}

/* @return when the order was written  */
static gs_time_t
order_version (const char *version)
{
  gs_time_t now = gs_clock_now ();

  gw_object_put (&world, "rollouts", "pool",
                 json_pack ("{s:s, s:s, s:i}", "service", "pool", "target",
                            version, "duration_s", DURATION_SECONDS));
  for (unsigned i = 2; i < WORLD_REPLICAS_DEFAULT; i++)
    gw_replica_version_set (&world, i, version);
  return now;
}

static bool
has_state (const char *state, const char *target)
{
  char *found = gw_status_get (&world, "rollouts", "pool", "state");
  char *found_target = gw_status_get (&world, "rollouts", "pool", "target");
  bool equal
      = g_strcmp0 (found, state) == 0 && g_strcmp0 (found_target, target) == 0;

  g_free (found);
  g_free (found_target);
  return equal;
}

/* @return when the status has the state; GS_TIME_NEVER if it has not by the
   end of the order  */
static gs_time_t
await_state (const char *state, const char *target, gs_time_t ordered_at)
{
  while (!has_state (state, target))
    {
      if (gs_clock_now () > ordered_at + DURATION_SECONDS * GS_SEC)
        return GS_TIME_NEVER;
      g_usleep (10000);
    }
  printf ("\n  %s after %lld ms; ", state,
          (long long)((gs_clock_now () - ordered_at) / GS_MSEC));
  return gs_clock_now ();
}

/* Nothing may arrive at an old replica any more, as these stop at once.  */
static void
check_completed (gs_time_t ordered_at)
{
  gs_time_t completed_at = await_state ("completed", "v2", ordered_at);

  CU_ASSERT_NOT_EQUAL_FATAL (completed_at, GS_TIME_NEVER);
  g_usleep (500000);
  CU_ASSERT_EQUAL (gw_arrivals_at_version (&world, "v1", completed_at), 0);
  CU_ASSERT (gw_arrivals_at_version (&world, "v2", completed_at) > 0);
}

static void
check_exposure (gs_time_t ordered_at)
{
  unsigned all = gw_arrivals_at_version (&world, NULL, ordered_at);
  unsigned exposed = gw_arrivals_at_version (&world, "v2", ordered_at);

  printf ("%u of %u requests exposed ", exposed, all);
  CU_ASSERT (exposed <= EXPOSE_SHARE * all + EXPOSE_SLACK);
}

static void
a_good_version_is_completed_in_time (void)
{
  gs_time_t ordered_at;

  start_nodes (SETTINGS);
  start_load ();
  ordered_at = order_version ("v2");
  check_completed (ordered_at);
  stop_load ();
  CU_ASSERT_EQUAL (atomic_load (&load.failed), 0);
  end_world ();
}

static void
set_faults (unsigned fails_every, gs_time_t delay)
{
  for (unsigned i = 2; i < WORLD_REPLICAS_DEFAULT; i++)
    gw_replica_faults_set (&world, i, fails_every, delay);
}

static void
check_rolled_back (unsigned fails_every, gs_time_t delay)
{
  gs_time_t ordered_at;
  gs_time_t rolled_back_at;

  start_nodes (SETTINGS);
  set_faults (fails_every, delay);
  start_load ();
  ordered_at = order_version ("v2");
  rolled_back_at = await_state ("rolled_back", "v2", ordered_at);
  CU_ASSERT_NOT_EQUAL_FATAL (rolled_back_at, GS_TIME_NEVER);
  g_usleep (500000);
  /* A node may have sent a request just before the record reached it.  */
  CU_ASSERT_EQUAL (
      gw_arrivals_at_version (&world, "v2", rolled_back_at + 400 * GS_MSEC),
      0);
  stop_load ();
  check_exposure (ordered_at);
}

static void
a_version_that_fails_is_rolled_back (void)
{
  check_rolled_back (5, 0);
  CU_ASSERT (gw_arrivals_at_version (&world, "v2", 0) / 5 < BAD_RESPONSES_MAX);
  end_world ();
}

static void
a_slow_version_is_rolled_back (void)
{
  check_rolled_back (0, 250 * GS_MSEC);
  end_world ();
}

static unsigned
find_owner (void)
{
  for (unsigned i = 0; i < GATEWAYS; i++)
    {
      char *metrics = gw_metrics_get (&world, i);
      bool holds = strstr (metrics, "holds_duty 1") != NULL;

      g_free (metrics);
      if (holds)
        return i;
    }
  return 0;
}

static void
a_good_version_is_completed_when_the_owner_is_killed (void)
{
  gs_time_t ordered_at;
  unsigned owner;

  start_nodes (SETTINGS);
  start_load ();
  ordered_at = order_version ("v2");
  g_usleep (3000000);
  owner = find_owner ();
  gw_signal (&world, owner, SIGKILL);
  g_usleep (1000000);
  gw_start (&world, owner, true);
  check_completed (ordered_at);
  stop_load ();
  end_world ();
}

static void
a_good_version_is_completed_when_the_store_is_down_for_seconds (void)
{
  gs_time_t ordered_at;

  start_nodes (SETTINGS);
  start_load ();
  ordered_at = order_version ("v2");
  g_usleep (1500000);
  gw_store_set_mode (&world, STORE_UNAVAILABLE);
  g_usleep (2500000);
  gw_store_set_mode (&world, STORE_NORMAL);
  check_completed (ordered_at);
  stop_load ();
  end_world ();
}

static void
restart_all (void)
{
  for (unsigned i = 0; i < GATEWAYS; i++)
    gw_signal (&world, i, SIGKILL);
  g_usleep (500000);
  for (unsigned i = 0; i < GATEWAYS; i++)
    gw_start (&world, i, false);
  for (unsigned i = 0; i < GATEWAYS; i++)
    while (!gw_is_ready (&world, i))
      g_usleep (10000);
}

static void
a_good_version_is_completed_when_all_nodes_are_killed (void)
{
  gs_time_t ordered_at;

  start_nodes (SETTINGS);
  start_load ();
  ordered_at = order_version ("v2");
  g_usleep (3000000);
  restart_all ();
  check_completed (ordered_at);
  stop_load ();
  end_world ();
}

/* Empty counters and a lost judge must not expose callers again.  */
static void
a_bad_version_is_rolled_back_when_all_nodes_are_killed (void)
{
  gs_time_t ordered_at;

  start_nodes (SETTINGS);
  set_faults (10, 0);
  start_load ();
  ordered_at = order_version ("v2");
  g_usleep (1200000);
  restart_all ();
  CU_ASSERT_NOT_EQUAL_FATAL (await_state ("rolled_back", "v2", ordered_at),
                             GS_TIME_NEVER);
  g_usleep (500000);
  stop_load ();
  check_exposure (ordered_at);
  end_world ();
}

/* Nodes that restart find an order that has ended; it is not run again until
   the operator writes it anew.  */
static void
an_order_that_has_ended_is_run_again_only_when_it_is_written_anew (void)
{
  gs_time_t ordered_at;
  gs_time_t restarted_at;

  check_rolled_back (2, 0);
  restart_all ();
  restarted_at = gs_clock_now ();
  start_load ();
  g_usleep (2500000);
  CU_ASSERT_TRUE (has_state ("rolled_back", "v2"));
  CU_ASSERT_EQUAL (gw_arrivals_at_version (&world, "v2", restarted_at), 0);
  set_faults (0, 0);
  ordered_at = order_version ("v2");
  CU_ASSERT_NOT_EQUAL (await_state ("running", "v2", ordered_at),
                       GS_TIME_NEVER);
  check_completed (ordered_at);
  stop_load ();
  end_world ();
}

/* Replicas of the version that was rolled back are still listed when the next
   version is ordered.  */
static void
a_version_that_was_rolled_back_gets_nothing_under_the_next_order (void)
{
  gs_time_t ordered_at;

  check_rolled_back (2, 0);
  start_load ();
  ordered_at = gs_clock_now ();
  gw_object_put (&world, "rollouts", "pool",
                 json_pack ("{s:s, s:s, s:i}", "service", "pool", "target",
                            "v3", "duration_s", DURATION_SECONDS));
  gw_replica_faults_set (&world, 3, 0, 0);
  gw_replica_version_set (&world, 3, "v3");
  g_usleep (3000000);
  stop_load ();
  CU_ASSERT_TRUE (has_state ("running", "v3"));
  CU_ASSERT_EQUAL (gw_arrivals_at_version (&world, "v2", ordered_at), 0);
  CU_ASSERT (gw_arrivals_at_version (&world, "v3", ordered_at) > 0);
  CU_ASSERT (gw_arrivals_at_version (&world, "v1", ordered_at) > 0);
  end_world ();
}

/* Old replicas stop when the order is completed, so it must not be run again
   when the store has forgotten that.  */
static void
a_completed_order_stays_completed_when_the_store_comes_back_older (void)
{
  gs_time_t ordered_at;
  gs_time_t set_back_at;

  start_nodes (SETTINGS);
  start_load ();
  ordered_at = order_version ("v2");
  g_usleep (2000000);
  gw_store_copy (&world);
  check_completed (ordered_at);
  g_usleep (500000);
  gw_store_set_back (&world);
  set_back_at = gs_clock_now ();
  CU_ASSERT_NOT_EQUAL (await_state ("completed", "v2", set_back_at),
                       GS_TIME_NEVER);
  CU_ASSERT_EQUAL (gw_arrivals_at_version (&world, "v1", set_back_at), 0);
  stop_load ();
  end_world ();
}

static void
nothing_is_done_without_the_contract (void)
{
  gs_time_t ordered_at;
  unsigned target;
  unsigned all;

  start_nodes (NULL);
  start_load ();
  ordered_at = order_version ("v2");
  g_usleep (3000000);
  stop_load ();
  target = gw_arrivals_at_version (&world, "v2", ordered_at + GS_SEC);
  all = gw_arrivals_at_version (&world, NULL, ordered_at + GS_SEC);
  CU_ASSERT_FALSE (has_state ("running", "v2"));
  printf ("%u of %u at the new version ", target, all);
  CU_ASSERT (target > all / 4);
  end_world ();
}

static const check_case_t cases[] = {
  { "a bad version is rolled back when all nodes are killed",
    a_bad_version_is_rolled_back_when_all_nodes_are_killed },
  { "a completed order stays completed when the store comes back older",
    a_completed_order_stays_completed_when_the_store_comes_back_older },
  { "a good version is completed in time",
    a_good_version_is_completed_in_time },
  { "a good version is completed when all nodes are killed",
    a_good_version_is_completed_when_all_nodes_are_killed },
  { "a good version is completed when the owner is killed",
    a_good_version_is_completed_when_the_owner_is_killed },
  { "a good version is completed when the store is down for seconds",
    a_good_version_is_completed_when_the_store_is_down_for_seconds },
  { "a slow version is rolled back", a_slow_version_is_rolled_back },
  { "a version that fails is rolled back",
    a_version_that_fails_is_rolled_back },
  { "a version that was rolled back gets nothing under the next order",
    a_version_that_was_rolled_back_gets_nothing_under_the_next_order },
  { "an order that has ended is run again only when it is written anew",
    an_order_that_has_ended_is_run_again_only_when_it_is_written_anew },
  { "nothing is done without the contract",
    nothing_is_done_without_the_contract },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_rollout", cases);
}
