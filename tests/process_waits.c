#include "process_harness.h"

#include <string.h>

#define POLL_INTERVAL (20 * GS_MSEC)
#define WAIT_TIMEOUT (60 * GS_SEC)

char *
cluster_catalogue (void)
{
  char *account
      = g_compute_checksum_for_string (G_CHECKSUM_SHA256, CLUSTER_ACCOUNT, -1);
  char *operator_1 = g_compute_checksum_for_string (G_CHECKSUM_SHA256,
                                                    CLUSTER_OPERATOR, -1);
  char *operator_2 = g_compute_checksum_for_string (G_CHECKSUM_SHA256,
                                                    CLUSTER_OPERATOR_2, -1);
  char *text = g_strdup_printf (
      "[operator dana]\nowner=curdwright\npurpose=first operator\n"
      "class=counter\nkeys=%s\n"
      "[operator eli]\nowner=curdwright\npurpose=second operator\n"
      "class=counter\nkeys=%s\n"
      "[class counter]\nowner=curdwright\npurpose=a clerk waits\npriority=0\n"
      "first_token_ms=5000\n"
      "[account shop]\nowner=curdwright\npurpose=a shop\nclass=counter\n"
      "keys=%s\nrequests_per_sec=1000\ntokens_per_sec=2000000\n"
      "[model assistant]\nowner=curdwright\npurpose=drafts\nclass=counter\n"
      "versions=v1\nactive=v1\n"
      "[pool assistant-pool]\nowner=curdwright\npurpose=replicas\n"
      "class=counter\nmodel=assistant\nreplicas_min=12\nreplicas_max=18\n"
      "[service order-desk]\nowner=curdwright\npurpose=charges\n"
      "class=counter\nroutes=/charges;/stock\nidempotent=/stock\n",
      operator_1, operator_2, account);

  g_free (account);
  g_free (operator_1);
  g_free (operator_2);
  return text;
}

uint64_t
cluster_generation (cluster_t *cluster, unsigned node)
{
  cluster_answer_t answer;
  const char *label;
  uint64_t generation = 0;

  cluster_operator_call (&answer, cluster, node, "GET", "/v1/catalogue",
                         CLUSTER_OPERATOR, NULL, NULL);
  label
      = answer.http_status == 200 ? strstr (answer.body, "generation=") : NULL;
  if (label != NULL)
    generation = g_ascii_strtoull (label + strlen ("generation="), NULL, 10);
  cluster_answer_clear (&answer);
  return generation;
}

bool
cluster_wait_generation (cluster_t *cluster, uint64_t generation)
{
  gs_time_t deadline = gs_clock_now () + WAIT_TIMEOUT;

  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    while (cluster->nodes[i].pid != 0 && !cluster->nodes[i].paused
           && cluster_generation (cluster, i) < generation)
      {
        if (gs_clock_now () >= deadline)
          return false;
        cluster_run_for (cluster, POLL_INTERVAL);
      }
  return true;
}

/* @return number of peers that a node is connected to and reports as live */
static unsigned
count_live_peers (cluster_t *cluster, unsigned node)
{
  cluster_answer_t answer;
  unsigned count = 0;
  json_t *root;
  json_t *row;
  size_t i;

  cluster_operator_call (&answer, cluster, node, "GET", "/v1/state/nodes",
                         CLUSTER_OPERATOR, NULL, NULL);
  root = json_loads (answer.body, 0, NULL);
  json_array_foreach (json_object_get (root, "nodes"), i, row)
  {
    const char *state = json_string_value (json_object_get (row, "state"));

    count += json_is_true (json_object_get (row, "connected"))
             && g_strcmp0 (state, "live") == 0;
  }
  json_decref (root);
  cluster_answer_clear (&answer);
  return count;
}

static bool
node_is_ready (cluster_t *cluster, unsigned node, unsigned peers)
{
  cluster_answer_t answer;
  bool ready;

  cluster_operator_call (&answer, cluster, node, "GET", "/readyz",
                         CLUSTER_OPERATOR, NULL, NULL);
  ready = answer.http_status == 200;
  cluster_answer_clear (&answer);
  return ready && count_live_peers (cluster, node) >= peers;
}

bool
cluster_wait_ready (cluster_t *cluster)
{
  gs_time_t deadline = gs_clock_now () + WAIT_TIMEOUT;
  unsigned running_nodes = 0;

  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    running_nodes += cluster->nodes[i].pid != 0 && !cluster->nodes[i].paused;
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    while (cluster->nodes[i].pid != 0 && !cluster->nodes[i].paused
           && !node_is_ready (cluster, i, running_nodes - 1))
      {
        if (gs_clock_now () >= deadline)
          return false;
        cluster_run_for (cluster, POLL_INTERVAL);
      }
  return true;
}

static bool
no_call_is_pending (void *context)
{
  return ((callers_t *)context)->pending == 0;
}

bool
cluster_wait_calls (cluster_t *cluster)
{
  return cluster_wait (cluster, no_call_is_pending, &cluster->callers);
}
