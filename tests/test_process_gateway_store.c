#include "check.h"
#include "gateway_steps.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* Guards against beliefs taken from the store that outlive it: it may come
   back from a copy some seconds old, and then gives revisions out again.  */

#define ONE_SECOND GS_SEC
/* Time from an acknowledged change of the configuration to its effect.  */
#define CONFIG_TIMEOUT (2 * GS_SEC)
/* Time in which a node renews a watch that the store did not end.  */
#define WATCH_TIMEOUT (4 * GS_SEC)

static unsigned
status_at (unsigned node, const char *target)
{
  static unsigned requests;
  char *id = g_strdup_printf ("store-%u", requests++);
  char *answer = gw_request (&world, node, "POST", target, id, "", "x");
  unsigned status = status_of (answer);

  g_free (answer);
  g_free (id);
  return status;
}

/* Makes many changes that the store loses when it is set back, so that its
   revisions stay below those of before.  */
static void
burn_revisions (unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    gw_object_put (&world, "servers", "i-burnt", json_integer (i));
}

static void
a_configuration_never_reverts_when_the_store_comes_back_older (void)
{
  start_gateway (1);
  gw_start (&world, 1, true);
  gw_store_copy (&world);
  burn_revisions (500);
  gw_configure (&world, 7, "/b/", WORLD_API_KEY);
  g_usleep (CONFIG_TIMEOUT);
  CU_ASSERT_EQUAL (status_at (0, "/b/never/good"), 200);
  gw_store_set_back (&world);
  /* The store has the first configuration until the operator writes again. */
  for (gs_time_t end = gs_clock_now () + WATCH_TIMEOUT; gs_clock_now () < end;)
    {
      CU_ASSERT_EQUAL (status_at (0, "/b/never/good"), 200);
      CU_ASSERT_EQUAL (status_at (1, "/b/never/good"), 200);
      g_usleep (ONE_SECOND / 10);
    }
  gw_configure (&world, 7, "/b/", WORLD_API_KEY);
  g_usleep (ONE_SECOND / 4);
  gw_configure (&world, 9, "/c/", WORLD_API_KEY);
  g_usleep (CONFIG_TIMEOUT);
  for (unsigned node = 0; node < 2; node++)
    CU_ASSERT_EQUAL (status_at (node, "/c/never/good"), 200);
  end_world ();
}

/* Revisions of the old era are given out again at once, so that a watch from
   one of them finds nothing wrong.  */
static void
changes_under_revisions_given_out_again_are_seen (void)
{
  start_gateway (1);
  gw_start (&world, 1, true);
  gw_store_copy (&world);
  burn_revisions (100);
  gw_configure (&world, 5, "/x/", WORLD_API_KEY);
  g_usleep (CONFIG_TIMEOUT);
  gw_store_set_mode (&world, STORE_CLOSES);
  g_usleep (ONE_SECOND);
  gw_store_set_back (&world);
  gw_configure (&world, 7, "/b/", WORLD_API_KEY);
  burn_revisions (300);
  gw_store_set_mode (&world, STORE_NORMAL);
  g_usleep (CONFIG_TIMEOUT);
  for (unsigned node = 0; node < 2; node++)
    CU_ASSERT_EQUAL (status_at (node, "/b/never/good"), 200);
  end_world ();
}

static void
replicas_that_register_again_are_used (void)
{
  start_world (1);
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  gw_object_remove (&world, "servers", "i-0");
  gw_store_copy (&world);
  burn_revisions (500);
  gw_replica_publish (&world, 0, "ready");
  gw_start (&world, 0, true);
  CU_ASSERT_EQUAL (status_at (0, "/a/never/good"), 200);
  gw_store_set_back (&world);
  g_usleep (ONE_SECOND);
  gw_replica_publish (&world, 0, "ready");
  g_usleep (WATCH_TIMEOUT);
  CU_ASSERT_EQUAL (status_at (0, "/a/never/good"), 200);
  gw_replica_publish (&world, 0, "draining");
  g_usleep (ONE_SECOND);
  CU_ASSERT_EQUAL (status_at (0, "/a/never/good"), 503);
  end_world ();
}

static bool
is_listed (void *name)
{
  char *key = g_strdup_printf ("gateway-nodes/%s", (const char *)name);
  bool listed;

  pthread_mutex_lock (&world.lock);
  listed = g_hash_table_contains (world.objects, key);
  pthread_mutex_unlock (&world.lock);
  g_free (key);
  return listed;
}

static void
nodes_write_their_entries_again (void)
{
  start_world (1);
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  gw_store_copy (&world);
  gw_start (&world, 0, true);
  gw_start (&world, 1, true);
  CU_ASSERT_TRUE (gw_wait_until (is_listed, "node-0", ONE_SECOND));
  CU_ASSERT_TRUE (gw_wait_until (is_listed, "node-1", ONE_SECOND));
  g_usleep (ONE_SECOND);
  gw_store_set_back (&world);
  CU_ASSERT_TRUE (
      gw_wait_until (is_listed, "node-0", WATCH_TIMEOUT + ONE_SECOND));
  CU_ASSERT_TRUE (
      gw_wait_until (is_listed, "node-1", WATCH_TIMEOUT + ONE_SECOND));
  end_world ();
}

static void
request_for (unsigned tenths_sec, unsigned nodes)
{
  for (unsigned i = 0; i < tenths_sec; i++)
    {
      status_at (i % nodes, "/a/never/good");
      g_usleep (ONE_SECOND / 10);
    }
}

static void
duties_survive_a_lease_that_the_store_has_lost (void)
{
  start_world (1);
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  gw_store_copy (&world);
  gw_start (&world, 0, true);
  gw_start (&world, 1, true);
  for (unsigned i = 0; i < 3; i++)
    {
      request_for (40, 2);
      gw_store_set_back (&world);
    }
  g_usleep (4 * ONE_SECOND);
  CU_ASSERT_EQUAL (gw_duty_violations_count (&world), 0);
  CU_ASSERT (json_array_size (world.usage_reports) > 3);
  end_world ();
}

/* Kills both nodes and starts them again on a store that came back from its
   copy.  */
static void
lose_power (bool started_before)
{
  for (unsigned i = 0; i < 2; i++)
    gw_signal (&world, i, SIGKILL);
  gw_store_set_back (&world);
  world.started_before = started_before;
  for (unsigned i = 0; i < 2; i++)
    gw_start (&world, i, true);
}

/* All nodes lose power with what they had counted, and the store comes back
   without the record of windows that were sent.  Its header counts from 1 or
   from 0.  */
static void
windows_sent_before_all_nodes_were_killed_are_not_reported_anew (void)
{
  for (unsigned offset = 0; offset < 2; offset++)
    {
      start_world (1);
      world.era_offset = offset;
      world.era = 1;
      gw_configure (&world, 1, "/a/", WORLD_API_KEY);
      for (unsigned i = 0; i < 2; i++)
        gw_start (&world, i, true);
      request_for (40, 2);
      gw_store_copy (&world);
      request_for (40, 2);
      CU_ASSERT (json_array_size (world.usage_reports) > 3);
      lose_power (false);
      request_for (60, 2);
      CU_ASSERT_EQUAL (gw_duty_violations_count (&world), 0);
      end_world ();
    }
}

/* A node that starts reports the window before its start.  */
#define LONG_WINDOW_SECONDS 5

static bool
is_window_with_requests_sent (void)
{
  bool sent = false;
  json_t *report;
  size_t i;

  pthread_mutex_lock (&world.lock);
  json_array_foreach (world.usage_reports, i, report)
  {
    char *text = json_dumps (report, JSON_COMPACT);

    sent |= strstr (text, "\"" WORLD_ACCOUNT "\":") != NULL
            && strstr (text, "\"" WORLD_ACCOUNT "\":0") == NULL;
    free (text);
  }
  pthread_mutex_unlock (&world.lock);
  return sent;
}

/* Guards against a process that takes the second era of a store, which names
   the first one 0, for the first era of a new store.  */
static void
windows_sent_since_the_first_start_are_not_reported_anew (void)
{
  for (unsigned offset = 0; offset < 2; offset++)
    {
      start_world (1);
      world.era_offset = offset;
      world.era = 1;
      world.window_s = LONG_WINDOW_SECONDS;
      gw_configure (&world, 1, "/a/", WORLD_API_KEY);
      gw_store_copy (&world);
      for (unsigned i = 0; i < 2; i++)
        gw_start (&world, i, true);
      for (unsigned i = 0;
           i < 30 * LONG_WINDOW_SECONDS && !is_window_with_requests_sent ();
           i++)
        request_for (1, 2);
      CU_ASSERT_TRUE (is_window_with_requests_sent ());
      lose_power (true);
      request_for (20 * LONG_WINDOW_SECONDS, 2);
      CU_ASSERT_EQUAL (gw_duty_violations_count (&world), 0);
      end_world ();
    }
}

static const check_case_t cases[] = {
  { "windows sent before all nodes were killed are not reported anew",
    windows_sent_before_all_nodes_were_killed_are_not_reported_anew },
  { "windows sent since the first start are not reported anew",
    windows_sent_since_the_first_start_are_not_reported_anew },
  { "a configuration never reverts when the store comes back older",
    a_configuration_never_reverts_when_the_store_comes_back_older },
  { "changes under revisions given out again are seen",
    changes_under_revisions_given_out_again_are_seen },
  { "replicas that register again are used",
    replicas_that_register_again_are_used },
  { "nodes write their entries again", nodes_write_their_entries_again },
  { "duties survive a lease that the store has lost",
    duties_survive_a_lease_that_the_store_has_lost },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_store", cases);
}
