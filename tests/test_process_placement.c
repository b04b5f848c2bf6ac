/* Placement on real processes: each case brings about a fault of the cloud or
   of the acting node and checks the engines.  */
#include "check.h"
#include "control_harness.h"

#include <stdio.h>
#include <string.h>

#define SUITE "placement on real processes"

/* @return attempts at an upstream so far.  */
static unsigned
attempts_at (const char *name)
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
leaving_engine_gets_no_new_work (void)
{
  char name[64];
  unsigned before;

  reclaim_engine (name, 5, 60000, true);
  check_upstream_is_leaving (name);
  before = attempts_at (name);
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    start_calls (CALL_STREAM, 8, i, 20);
  check_calls ();
  CU_ASSERT_EQUAL (attempts_at (name), before);
}

static unsigned
live_engines (void)
{
  unsigned count = 0;
  char name[64];

  for (find_live_engine (name, 0); name[0] != '\0';
       find_live_engine (name, count))
    count++;
  return count;
}

/* Waits until the pool is whole again after a loss.  */
static void
check_replaced (void)
{
  gs_time_t deadline = gs_clock_now () + 90 * GS_SEC;
  unsigned count = live_engines ();

  while (count < CONTROL_ENGINES && gs_clock_now () < deadline)
    {
      cluster_run_for (&cluster, 200 * GS_MSEC);
      count = live_engines ();
    }
  if (count < CONTROL_ENGINES)
    printf ("\n  %u engines live", count);
  CU_ASSERT_TRUE (count >= CONTROL_ENGINES);
}

/* Takes back engines until the pool must grow, under a fault of the cloud. */
static void
lose_engines_under (const char *text)
{
  uint64_t met = cluster_fault_count (&cluster);
  gs_time_t deadline = gs_clock_now () + 90 * GS_SEC;
  char name[64];

  inject_fault (text);
  while (live_engines () >= CONTROL_ENGINES)
    reclaim_engine (name, 0, 0, false);
  while (cluster_fault_count (&cluster) == met && gs_clock_now () < deadline)
    cluster_run_for (&cluster, 100 * GS_MSEC);
  CU_ASSERT_TRUE (cluster_fault_count (&cluster) > met);
  check_replaced ();
  inject_fault ("{\"fault\":\"clear\"}");
}

static void
refused_replacement_is_asked_for_again (void)
{
  lose_engines_under ("{\"target\":\"cloud\",\"fault\":\"refuse\","
                      "\"method\":\"POST\",\"count\":3}");
}

/* A replacement loads nothing before the weight store lets it.  */
static void
refused_load_is_asked_for_again (void)
{
  lose_engines_under (
      "{\"target\":\"weights\",\"fault\":\"refuse\",\"count\":2}");
}

/* No wish of the controller was granted twice.  */
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
creation_whose_answer_is_lost_is_not_doubled (void)
{
  lose_engines_under ("{\"target\":\"cloud\",\"fault\":"
                      "\"lost_after_effect\",\"method\":\"POST\","
                      "\"count\":2}");
  cluster_run_for (&cluster, 5 * GS_SEC);
  check_tokens_are_unique ();
}

/* @return number of the node that holds the pool's lease, or of none.  */
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

/* @return live engines that do not run a version.  */
static unsigned
engines_without (const char *version)
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
wait_version (const char *version)
{
  gs_time_t deadline = gs_clock_now () + 90 * GS_SEC;

  while (engines_without (version) > 0 && gs_clock_now () < deadline)
    cluster_run_for (&cluster, 200 * GS_MSEC);
  if (engines_without (version) > 0)
    printf ("\n  %u engines do not run %s", engines_without (version),
            version);
  CU_ASSERT_EQUAL (engines_without (version), 0);
}

/* A holder that was paused for longer than its lease may not move engines
   back, whether they check fencing numbers or not.  */
static void
paused_lease_holder_moves_no_engine_back (void)
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
  wait_version ("v2");
  cluster_node_signal (&cluster, holder, SIGCONT);
  cluster_run_for (&cluster, 4 * GS_SEC);
  wait_version ("v2");
  CU_ASSERT_TRUE (cluster_wait_ready (&cluster));
}

static const check_case_t rows[] = {
  { "a leaving engine gets no new work", leaving_engine_gets_no_new_work },
  { "a refused replacement is asked for again",
    refused_replacement_is_asked_for_again },
  { "a refused load is asked for again", refused_load_is_asked_for_again },
  { "a creation whose answer is lost is not doubled",
    creation_whose_answer_is_lost_is_not_doubled },
  { "a paused lease holder moves no engine back",
    paused_lease_holder_moves_no_engine_back },
};

int
main (void)
{
  return control_run (SUITE, rows, G_N_ELEMENTS (rows));
}
