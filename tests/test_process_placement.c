/* Placement on a cluster of node processes.  Each case causes a reclaim, a
   fault of the cloud or weight store, or a pause of the lease holder, and
   checks the engines.  */
#include "check.h"
#include "control_harness.h"

#include <stdio.h>
#include <string.h>

#define SUITE "placement on real processes"

/* @return the number of attempts that an upstream has served.  */
static unsigned
engine_attempts_count (const char *name)
{
  json_t *records = cluster_fakes_get (&cluster, "/control/records");
  unsigned count = 0;
  const char *id;
  json_t *generation;

  json_object_foreach (json_object_get (records, "generations"), id,
                       generation)
  {
    json_t *attempt;
    size_t i;

    json_array_foreach (json_object_get (generation, "attempts"), i, attempt)
    {
      count += g_strcmp0 (json_string_value (json_object_get (attempt, "vm")),
                          name)
               == 0;
    }
  }
  json_decref (records);
  return count;
}

static void
leaving_engine_gets_no_new_attempts (void)
{
  char name[64];
  unsigned before;

  reclaim_engine (name, 5, 60000, true);
  check_upstream_is_leaving (name);
  before = engine_attempts_count (name);
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    start_calls (CALL_STREAM, 8, i, 20);
  check_calls ();
  CU_ASSERT_EQUAL (engine_attempts_count (name), before);
}

static unsigned
live_engines_count (void)
{
  unsigned count = 0;
  char name[64];

  for (find_live_engine (name, 0); name[0] != '\0';
       find_live_engine (name, count))
    count++;
  return count;
}

/* Waits until lost engines have been replaced.  */
static void
check_engines_replaced (void)
{
  gs_time_t deadline = gs_clock_now () + 90 * GS_SEC;
  unsigned count = live_engines_count ();

  while (count < CONTROL_ENGINES && gs_clock_now () < deadline)
    {
      cluster_run_for (&cluster, 200 * GS_MSEC);
      count = live_engines_count ();
    }
  if (count < CONTROL_ENGINES)
    printf ("\n  %u engines live", count);
  CU_ASSERT_TRUE (count >= CONTROL_ENGINES);
}

/* Reclaims engines during a fault, until the pool has to create new ones.  */
static void
reclaim_engines_during_fault (const char *text)
{
  uint64_t affected_before = cluster_fault_count (&cluster);
  gs_time_t deadline = gs_clock_now () + 90 * GS_SEC;
  char name[64];

  inject_fault (text);
  while (live_engines_count () >= CONTROL_ENGINES)
    reclaim_engine (name, 0, 0, false);
  while (cluster_fault_count (&cluster) == affected_before
         && gs_clock_now () < deadline)
    cluster_run_for (&cluster, 100 * GS_MSEC);
  CU_ASSERT_TRUE (cluster_fault_count (&cluster) > affected_before);
  check_engines_replaced ();
  inject_fault ("{\"fault\":\"clear\"}");
}

static void
rejected_replacement_is_requested_again (void)
{
  reclaim_engines_during_fault ("{\"target\":\"cloud\",\"fault\":\"refuse\","
                                "\"method\":\"POST\",\"count\":3}");
}

/* A new engine must wait until the weight store accepts its request.  */
static void
rejected_load_is_requested_again (void)
{
  reclaim_engines_during_fault (
      "{\"target\":\"weights\",\"fault\":\"refuse\",\"count\":2}");
}

/* No creation token may have produced two VMs.  */
static void
check_tokens_are_unique (void)
{
  json_t *records = cluster_fakes_get (&cluster, "/control/records");
  GHashTable *tokens = g_hash_table_new (g_str_hash, g_str_equal);
  json_t *vm;
  size_t i;

  json_array_foreach (
      json_object_get (json_object_get (records, "events"), "vms_created"), i,
      vm)
  {
    const char *token = json_string_value (json_object_get (vm, "token"));

    if (strcmp (token, "heal") != 0)
      CU_ASSERT_TRUE (g_hash_table_add (tokens, (gpointer)token));
  }
  CU_ASSERT_TRUE (g_hash_table_size (tokens) > 0);
  g_hash_table_unref (tokens);
  json_decref (records);
}

static void
creation_with_a_lost_answer_is_not_repeated (void)
{
  reclaim_engines_during_fault ("{\"target\":\"cloud\",\"fault\":"
                                "\"lost_after_effect\",\"method\":\"POST\","
                                "\"count\":2}");
  cluster_run_for (&cluster, 5 * GS_SEC);
  check_tokens_are_unique ();
}

/* @return the node that holds the pool's lease, CLUSTER_NODES for none.  */
static unsigned
lease_holder (void)
{
  cluster_answer_t answer;
  unsigned holder = CLUSTER_NODES;

  cluster_operator_call (&answer, &cluster, 0, "GET", "/v1/state/leases",
                         CLUSTER_OPERATOR, NULL, NULL);
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    if (answer.body != NULL
        && strstr (answer.body, cluster.nodes[i].name) != NULL)
      holder = i;
  cluster_answer_clear (&answer);
  return holder;
}

/* @return the number of live engines that run another version.  */
static unsigned
engines_on_other_version (const char *version)
{
  json_t *reports = cluster_fakes_get (&cluster, "/control/engines");
  unsigned count = 0;
  json_t *report;
  const char *name;

  json_object_foreach (reports, name, report)
  {
    count
        += g_strcmp0 (json_string_value (json_object_get (report, "version")),
                      version)
           != 0;
  }
  json_decref (reports);
  return count;
}

static void
check_engines_version (const char *version)
{
  gs_time_t deadline = gs_clock_now () + 90 * GS_SEC;

  while (engines_on_other_version (version) > 0 && gs_clock_now () < deadline)
    cluster_run_for (&cluster, 200 * GS_MSEC);
  if (engines_on_other_version (version) > 0)
    printf ("\n  %u engines do not run %s", engines_on_other_version (version),
            version);
  CU_ASSERT_EQUAL (engines_on_other_version (version), 0);
}

/* A holder that was paused for longer than its lease must not return engines
   to the old version, whether or not the engines check fencing tokens.  */
static void
paused_lease_holder_reverts_no_engine (void)
{
  static const char text[]
      = "[model assistant]\nowner=curdwright\npurpose=drafts\n"
        "class=counter\nversions=v1;v2\nactive=v2\n";
  gs_time_t deadline = gs_clock_now () + 60 * GS_SEC;
  unsigned holder = lease_holder ();
  unsigned other;

  while (holder == CLUSTER_NODES && gs_clock_now () < deadline)
    {
      cluster_run_for (&cluster, 200 * GS_MSEC);
      holder = lease_holder ();
    }
  CU_ASSERT_NOT_EQUAL (holder, CLUSTER_NODES);
  if (holder == CLUSTER_NODES)
    return;
  cluster_node_signal (&cluster, holder, SIGSTOP);
  other = (holder + 1) % CLUSTER_NODES;
  check_status (edit_catalogue (other, CLUSTER_OPERATOR,
                                cluster_generation (&cluster, other), text),
                200);
  check_engines_version ("v2");
  cluster_node_signal (&cluster, holder, SIGCONT);
  cluster_run_for (&cluster, 4 * GS_SEC);
  check_engines_version ("v2");
  CU_ASSERT_TRUE (cluster_wait_ready (&cluster));
}

static const check_case_t cases[] = {
  { "a leaving engine gets no new attempts",
    leaving_engine_gets_no_new_attempts },
  { "a rejected replacement is requested again",
    rejected_replacement_is_requested_again },
  { "a rejected load is requested again", rejected_load_is_requested_again },
  { "a creation with a lost answer is not repeated",
    creation_with_a_lost_answer_is_not_repeated },
  { "a paused lease holder reverts no engine",
    paused_lease_holder_reverts_no_engine },
};

int
main (void)
{
  return control_run (SUITE, cases, G_N_ELEMENTS (cases));
}
