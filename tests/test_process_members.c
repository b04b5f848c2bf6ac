/* Membership and reclaims on a cluster of node processes.  Each case stops,
   reclaims or isolates nodes or engines and checks the results of the calls
   against the records of the stand-ins.  */
#include "check.h"
#include "control_harness.h"

#include <stdio.h>
#include <string.h>

#define SUITE "membership on real processes"

static void
killed_node_is_replaced (void)
{
  uint64_t before = cluster_generation (&cluster, 0);

  start_calls (CALL_STREAM, 4, 4, 100);
  cluster_run_for (&cluster, 200 * GS_MSEC);
  cluster_node_signal (&cluster, 4, SIGKILL);
  check_calls ();
  replace_node (4);
  CU_ASSERT_TRUE (cluster_generation (&cluster, 4) >= before);
}

static void
all_nodes_are_replaced_under_load (void)
{
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    {
      int code = -1;

      start_calls (CALL_STREAM, 6, i, 200);
      start_calls (CALL_CHARGE, 4, i, 0);
      cluster_run_for (&cluster, 200 * GS_MSEC);
      cluster_node_signal (&cluster, i, SIGTERM);
      while (!cluster_node_ended (&cluster, i, &code))
        cluster_run_for (&cluster, 50 * GS_MSEC);
      CU_ASSERT_EQUAL (code, 0);
      replace_node (i);
    }
  check_calls ();
}

static void
data_centre_is_reclaimed (void)
{
  start_calls (CALL_STREAM, 6, 0, 400);
  start_calls (CALL_STREAM, 6, 4, 400);
  start_calls (CALL_STREAM, 6, 1, 400);
  cluster_run_for (&cluster, 200 * GS_MSEC);
  reclaim_vms ("data_centre", "ne-a", 1200, true);
  cluster_run_for (&cluster, 1200 * GS_MSEC);
  cluster_node_signal (&cluster, 0, SIGKILL);
  cluster_node_signal (&cluster, 4, SIGKILL);
  check_calls ();
  cluster_node_renew (&cluster, 0);
  cluster_node_start (&cluster, 0);
  replace_node (4);
  for (unsigned i = 0; i < 3; i++)
    cluster_fakes_post (&cluster, "/cloud/vms",
                        "{\"token\":\"heal\",\"kind\":\"engine\",\"target\":"
                        "\"assistant\",\"data_centre\":\"ne-a\"}");
  cluster_fakes_post (&cluster, "/cloud/vms",
                      "{\"token\":\"heal\",\"kind\":\"service\",\"target\":"
                      "\"order-desk\",\"data_centre\":\"ne-a\"}");
}

static void
node_is_killed_during_its_notice (void)
{
  start_calls (CALL_STREAM, 6, 1, 400);
  cluster_run_for (&cluster, 200 * GS_MSEC);
  reclaim_vms ("name", cluster.nodes[1].name, 5000, true);
  cluster_run_for (&cluster, 700 * GS_MSEC);
  cluster_node_signal (&cluster, 1, SIGKILL);
  check_calls ();
  replace_node (1);
}

static bool
node_2_is_not_listed (void)
{
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    if (i != 2 && addresses_contain (i, cluster.nodes[2].name))
      return false;
  return true;
}

static void
leaving_node_is_not_in_address_lists (void)
{
  gs_time_t deadline = gs_clock_now () + 60 * GS_SEC;

  reclaim_vms ("name", cluster.nodes[2].name, 30000, true);
  while (!node_2_is_not_listed () && gs_clock_now () < deadline)
    cluster_run_for (&cluster, 50 * GS_MSEC);
  CU_ASSERT_TRUE (node_2_is_not_listed ());
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    if (i != 2)
      CU_ASSERT_TRUE (addresses_contain (i, "ne-"));
  cluster_node_signal (&cluster, 2, SIGKILL);
  replace_node (2);
}

static void
notice_is_received_while_the_list_lags (void)
{
  char name[64];

  find_live_engine (name, 0);
  inject_fault ("{\"fault\":\"lag\",\"ms\":600000}");
  reclaim_vms ("name", name, 60000, true);
  check_upstream_is_leaving (name);
  inject_fault ("{\"fault\":\"lag\",\"ms\":0}");
}

static void
list_reports_reclaims_with_lost_notices (void)
{
  char name[64];

  inject_fault ("{\"target\":\"notices\",\"fault\":\"outage\"}");
  reclaim_engine (name, 1, 60000, true);
  check_upstream_is_leaving (name);
  inject_fault ("{\"fault\":\"clear\"}");
}

static void
requests_are_served_without_the_list (void)
{
  char name[64];

  find_live_engine (name, 2);
  inject_fault ("{\"target\":\"vms\",\"fault\":\"outage\"}");
  inject_fault ("{\"target\":\"notices\",\"fault\":\"outage\"}");
  reclaim_vms ("name", name, 0, false);
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    start_calls (CALL_STREAM, 6, i, 30);
  check_calls ();
  inject_fault ("{\"fault\":\"clear\"}");
}

static void
reordered_list_is_read_correctly (void)
{
  inject_fault ("{\"target\":\"vms\",\"fault\":\"duplicate\",\"count\":6}");
  inject_fault ("{\"target\":\"vms\",\"fault\":\"reorder\",\"count\":6}");
  cluster_run_for (&cluster, 2 * GS_SEC);
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    start_calls (CALL_STREAM, 4, i, 30);
  check_calls ();
  inject_fault ("{\"fault\":\"clear\"}");
  CU_ASSERT_TRUE (cluster_wait_ready (&cluster));
}

static void
second_wave_of_reclaims_during_the_first (void)
{
  char name[64];

  start_calls (CALL_STREAM, 12, 1, 400);
  cluster_run_for (&cluster, 200 * GS_MSEC);
  for (unsigned i = 0; i < 2; i++)
    reclaim_engine (name, i, 800, true);
  cluster_run_for (&cluster, 500 * GS_MSEC);
  reclaim_engine (name, 0, 800, true);
  reclaim_engine (name, 1, 0, false);
  check_calls ();
}

/* @return whether a node reports another as connected.  */
static bool
node_is_connected (unsigned node, const char *name)
{
  cluster_answer_t answer;
  json_t *root;
  json_t *row;
  size_t i;
  bool connected = false;

  cluster_operator_call (&answer, &cluster, node, "GET", "/v1/state/nodes",
                         CLUSTER_OPERATOR, NULL, NULL);
  root = json_loads (answer.body, 0, NULL);
  json_array_foreach (json_object_get (root, "nodes"), i, row)
  {
    connected
        |= g_strcmp0 (json_string_value (json_object_get (row, "name")), name)
               == 0
           && json_is_true (json_object_get (row, "connected"));
  }
  json_decref (root);
  cluster_answer_clear (&answer);
  return connected;
}

static void
node_with_a_wrong_key_is_not_admitted (void)
{
  start_with_wrong_key (4);
  for (unsigned i = 0; i < 4; i++)
    {
      CU_ASSERT_FALSE (node_is_connected (i, cluster.nodes[4].name));
      CU_ASSERT_FALSE (addresses_contain (i, cluster.nodes[4].name));
    }
  cluster_node_signal (&cluster, 4, SIGKILL);
  replace_node (4);
}

/* Callers may still use an address list from before the node was leaving.  */
static void
leaving_node_serves_callers_that_cached_its_address (void)
{
  guint first = cluster.callers.all->len;
  int code = -1;

  cluster_node_signal (&cluster, 1, SIGTERM);
  cluster_run_for (&cluster, 500 * GS_MSEC);
  start_calls (CALL_STREAM, 6, 1, 20);
  start_calls (CALL_CHARGE, 6, 1, 0);
  for (guint i = first; i < cluster.callers.all->len; i++)
    ((caller_t *)cluster.callers.all->pdata[i])->retries_left = 0;
  check_calls ();
  while (!cluster_node_ended (&cluster, 1, &code))
    cluster_run_for (&cluster, 50 * GS_MSEC);
  CU_ASSERT_EQUAL (code, 0);
  replace_node (1);
}

static const check_case_t cases[] = {
  { "a killed node is replaced", killed_node_is_replaced },
  { "a leaving node is not in address lists",
    leaving_node_is_not_in_address_lists },
  { "a notice is received while the VM list lags",
    notice_is_received_while_the_list_lags },
  { "the VM list reports reclaims whose notices were lost",
    list_reports_reclaims_with_lost_notices },
  { "requests are served without the VM list",
    requests_are_served_without_the_list },
  { "a reordered VM list with duplicates is read correctly",
    reordered_list_is_read_correctly },
  { "a second wave of reclaims during the first",
    second_wave_of_reclaims_during_the_first },
  { "a node is killed during its notice", node_is_killed_during_its_notice },
  { "a data centre is reclaimed", data_centre_is_reclaimed },
  { "a node with a wrong peer key is not admitted",
    node_with_a_wrong_key_is_not_admitted },
  { "all nodes are replaced under load", all_nodes_are_replaced_under_load },
  { "a leaving node serves callers that cached its address",
    leaving_node_serves_callers_that_cached_its_address },
};

int
main (void)
{
  return control_run (SUITE, cases, G_N_ELEMENTS (cases));
}
