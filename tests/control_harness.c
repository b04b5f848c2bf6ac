#include "control_harness.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#define RETRIES 20

cluster_t cluster;
static bool cluster_is_started;
static char last_answer[1024]; /* to the latest edit */
static unsigned name_count;    /* makes names of entries and calls unique */

void
control_begin (void)
{
  char *catalogue;

  cluster.control_failures = 0;
  if (cluster_is_started)
    return;
  cluster_is_started = true;
  catalogue = cluster_catalogue ();
  cluster_start (&cluster, CONTROL_ENGINES, CONTROL_SERVICES, catalogue);
  g_free (catalogue);
}

void
control_end (void)
{
  if (cluster_is_started)
    cluster_stop (&cluster);
}

void
inject_fault (const char *text)
{
  cluster_fakes_post (&cluster, "/control/faults", text);
}

void
reclaim_vms (const char *field, const char *value, int notice_ms,
             bool announced)
{
  char *body = g_strdup_printf (
      "{\"%s\":\"%s\",\"notice_ms\":%d,\"announced\":%s}", field, value,
      notice_ms, announced ? "true" : "false");

  cluster_fakes_post (&cluster, "/control/reclaim", body);
  g_free (body);
}

void
account_entry (char out[ENTRY_BYTES], const char *name, const char *purpose)
{
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, name, -1);

  g_snprintf (out, ENTRY_BYTES,
              "[account %s]\nowner=curdwright\npurpose=%s\nclass=counter\n"
              "keys=%s\n",
              name, purpose, digest);
  g_free (digest);
}

void
start_catalogue_edit (cluster_answer_t *out, unsigned node, const char *key,
                      uint64_t generation, const char *text)
{
  char header[64];

  g_snprintf (header, sizeof header, "If-Generation: %llu",
              (unsigned long long)generation);
  cluster_operator_call_start (out, &cluster, node, "PUT", "/v1/catalogue",
                               key, header, text);
}

long
edit_catalogue (unsigned node, const char *key, uint64_t generation,
                const char *text)
{
  cluster_answer_t answer;
  long status;

  start_catalogue_edit (&answer, node, key, generation, text);
  cluster_answer_wait (&cluster, &answer);
  status = answer.http_status;
  g_strlcpy (last_answer, answer.body, sizeof last_answer);
  cluster_answer_clear (&answer);
  return status;
}

void
check_status (long status, long expected)
{
  if (status != expected)
    printf ("\n  edit: %ld %s", status, last_answer);
  CU_ASSERT_EQUAL (status, expected);
}

void
next_unique_name (char out[32])
{
  g_snprintf (out, 32, "entry-%u", ++name_count);
}

long
add_entry (unsigned node, char name[32])
{
  char text[ENTRY_BYTES];

  next_unique_name (name);
  account_entry (text, name, "added by a test");
  return edit_catalogue (node, CLUSTER_OPERATOR,
                         cluster_generation (&cluster, node), text);
}

bool
catalogue_has (unsigned node, const char *part)
{
  cluster_answer_t answer;
  bool found;

  cluster_operator_call (&answer, &cluster, node, "GET", "/v1/catalogue",
                         CLUSTER_OPERATOR, NULL, NULL);
  found = answer.body != NULL && strstr (answer.body, part) != NULL;
  cluster_answer_clear (&answer);
  return found;
}

void
check_edit_is_active (const char *part, uint64_t generation)
{
  CU_ASSERT_TRUE (cluster_wait_generation (&cluster, generation));
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    if (cluster.nodes[i].pid != 0 && !cluster.nodes[i].paused)
      CU_ASSERT_TRUE (catalogue_has (i, part));
}

void
start_calls (call_kind_t kind, unsigned count, unsigned node, uint32_t tokens)
{
  for (unsigned i = 0; i < count; i++)
    {
      char name[32];
      caller_t *caller;

      g_snprintf (name, sizeof name, "call-%u", ++name_count);
      caller = caller_start (&cluster.callers, kind, node, CLUSTER_ACCOUNT,
                             name, tokens, 0);
      caller->retries_left = RETRIES;
    }
}

void
check_calls (void)
{
  static guint checked;

  CU_ASSERT_TRUE (cluster_wait_calls (&cluster));
  for (; checked < cluster.callers.all->len; checked++)
    {
      const caller_t *caller = cluster.callers.all->pdata[checked];

      if (caller->result != CALL_ANSWERED)
        printf ("\n  %s: %s after %u tokens, %u reconnects", caller->key,
                call_result_name (caller->result), caller->next,
                caller->reconnects);
      CU_ASSERT_EQUAL (caller->result, CALL_ANSWERED);
      if (caller->kind == CALL_CHARGE)
        CU_ASSERT_EQUAL (cluster_executions (&cluster, caller->key), 1);
    }
}

void
replace_node (unsigned node)
{
  cluster_node_renew (&cluster, node);
  cluster_node_start (&cluster, node);
  CU_ASSERT_TRUE (cluster_wait_ready (&cluster));
}

bool
addresses_contain (unsigned node, const char *name)
{
  cluster_answer_t answer;
  bool found;

  cluster_caller_get (&answer, &cluster, node, CLUSTER_ACCOUNT,
                      "/v1/addresses");
  found = answer.body != NULL && strstr (answer.body, name) != NULL;
  cluster_answer_clear (&answer);
  return found;
}

void
find_live_engine (char out[64], unsigned number)
{
  json_t *root = cluster_fakes_get (&cluster, "/vms");
  json_t *vm;
  size_t i;

  out[0] = '\0';
  json_array_foreach (json_object_get (root, "vms"), i, vm)
  {
    if (strcmp (json_string_value (json_object_get (vm, "kind")), "engine")
            == 0
        && strcmp (json_string_value (json_object_get (vm, "state")), "live")
               == 0
        && number-- == 0)
      g_strlcpy (out, json_string_value (json_object_get (vm, "name")), 64);
  }
  json_decref (root);
}

void
reclaim_engine (char out[64], unsigned number, int notice_ms, bool announced)
{
  find_live_engine (out, number);
  reclaim_vms ("name", out, notice_ms, announced);
}

bool
upstream_is_leaving (const char *name)
{
  bool known = true;

  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    {
      cluster_answer_t answer;
      json_t *root;
      json_t *row;
      size_t at;

      cluster_operator_call (&answer, &cluster, i, "GET",
                             "/v1/state/upstreams", CLUSTER_OPERATOR, NULL,
                             NULL);
      root = json_loads (answer.body, 0, NULL);
      known &= root != NULL;
      json_array_foreach (json_object_get (root, "upstreams"), at, row)
      {
        if (g_strcmp0 (json_string_value (json_object_get (row, "name")), name)
                == 0
            && g_strcmp0 (json_string_value (json_object_get (row, "state")),
                          "live")
                   == 0)
          known = false;
      }
      json_decref (root);
      cluster_answer_clear (&answer);
    }
  return known;
}

void
check_upstream_is_leaving (const char *name)
{
  gs_time_t deadline = gs_clock_now () + 60 * GS_SEC;

  while (!upstream_is_leaving (name) && gs_clock_now () < deadline)
    cluster_run_for (&cluster, 50 * GS_MSEC);
  CU_ASSERT_TRUE (upstream_is_leaving (name));
}

bool
is_ready (unsigned node)
{
  cluster_answer_t answer;
  bool ready;

  cluster_operator_call (&answer, &cluster, node, "GET", "/readyz",
                         CLUSTER_OPERATOR, NULL, NULL);
  ready = answer.http_status == 200;
  cluster_answer_clear (&answer);
  return ready;
}

void
start_with_wrong_key (unsigned node)
{
  node_process_t *process = &cluster.nodes[node];

  cluster_node_signal (&cluster, node, SIGKILL);
  cluster_node_renew (&cluster, node);
  g_strlcpy (process->peer_key, "some-other-key", sizeof process->peer_key);
  cluster_node_start (&cluster, node);
  cluster_run_for (&cluster, 3 * GS_SEC);
}

static const check_case_t *next_row;

static void
run_next_row (void)
{
  control_begin ();
  (next_row++)->run ();
  CU_ASSERT_EQUAL (cluster.control_failures, 0);
}

int
control_run (const char *suite, const check_case_t *rows, size_t count)
{
  check_case_t *cases = g_new0 (check_case_t, count);
  int result;

  next_row = rows;
  for (size_t i = 0; i < count; i++)
    cases[i] = (check_case_t){ rows[i].name, run_next_row };
  result = check_run (suite, cases, count);
  control_end ();
  g_free (cases);
  return result;
}
