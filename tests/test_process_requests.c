/* Requests on a cluster of node processes.  Each row sends calls to one node,
   causes a fault, and checks the results of the calls and the executions that
   the stand-ins recorded.  */
#include "check.h"
#include "process_harness.h"

#include <stdio.h>
#include <string.h>

#define SUITE "requests on real processes"
#define ENGINES 12
#define SERVICES 4
#define ACCEPTING_NODE 0
#define OTHER_NODE 1
#define FIRST_TOKENS 5
#define LONG_PROMPT_BYTES 20000
/* Both are longer than any lease or silence timeout of a node.  */
#define FAULT_WAIT_TIMEOUT (30 * GS_SEC)
#define PAUSE_DURATION (12 * GS_SEC)

#define ANSWERED CALL_ANSWERED
#define NOT_RUN CALL_NOT_RUN
#define UNKNOWN CALL_UNKNOWN

#define ENGINES_FAULT "\"target\":\"engines\","
#define SERVICES_FAULT "\"target\":\"services\","
#define STORE_FAULT "\"target\":\"store\","

typedef enum
{
  AT_ONCE,            /* without waiting for progress of the calls */
  AFTER_FIRST_TOKENS, /* after some tokens of the first call */
  AFTER_EXECUTION     /* after the service has executed the first call */
} fault_moment_t;

typedef enum
{
  NO_ACTION,
  KILL_NODE,
  KILL_NODE_RECLAIM_ENGINE,
  KILL_TWO_NODES,
  STOP_NODE,
  PAUSE_NODE,
  RECLAIM_ENGINE,
  RECLAIM_ENGINE_WITH_NOTICE,
  RECLAIM_DATA_CENTRE_ENGINES,
  RECONNECT_TO_OTHER_NODE,
  RECONNECT_TO_SAME_NODE,
  STORE_OUTAGE,
  VM_LIST_OUTAGE,
  REPEAT_AT_OTHER_NODES,
  RECLAIM_ALL_SERVICES_BUT_ONE
} fault_action_t;

typedef struct
{
  const char *name;
  call_kind_t kind;
  unsigned calls;
  uint32_t tokens;
  const char *fault; /* injected before the calls; NULL for none */
  fault_moment_t moment;
  fault_action_t action;
  unsigned expected; /* results that each call may have, ORed */
} request_case_t;

static const request_case_t request_cases[] = {
  { "streams without a fault", CALL_STREAM, 6, 40, NULL, AT_ONCE, NO_ACTION,
    ANSWERED },
  { "whole answers without a fault", CALL_WHOLE, 6, 40, NULL, AT_ONCE,
    NO_ACTION, ANSWERED },
  { "charges without a fault", CALL_CHARGE, 6, 0, NULL, AT_ONCE, NO_ACTION,
    ANSWERED },
  { "stream cut by the engine in the middle", CALL_STREAM, 3, 40,
    "{" ENGINES_FAULT "\"fault\":\"cut\",\"after\":5,\"count\":2}", AT_ONCE,
    NO_ACTION, ANSWERED },
  { "stream cut before its end marker", CALL_STREAM, 3, 20,
    "{" ENGINES_FAULT "\"fault\":\"cut\",\"after\":20,\"count\":2}", AT_ONCE,
    NO_ACTION, ANSWERED },
  { "stream ends without its end marker", CALL_STREAM, 3, 20,
    "{" ENGINES_FAULT "\"fault\":\"no_end\",\"count\":2}", AT_ONCE, NO_ACTION,
    ANSWERED },
  { "whole answer cut by the engine", CALL_WHOLE, 3, 40,
    "{" ENGINES_FAULT "\"fault\":\"cut\",\"after\":5,\"count\":2}", AT_ONCE,
    NO_ACTION, ANSWERED },
  { "engine goes silent in the middle", CALL_STREAM, 2, 40,
    "{" ENGINES_FAULT "\"fault\":\"silent\",\"after\":5,\"count\":1}", AT_ONCE,
    NO_ACTION, ANSWERED },
  { "engine repeats a token", CALL_STREAM, 3, 40,
    "{" ENGINES_FAULT "\"fault\":\"duplicate\",\"after\":5,\"count\":3}",
    AT_ONCE, NO_ACTION, ANSWERED },
  { "engine swaps two tokens", CALL_STREAM, 3, 40,
    "{" ENGINES_FAULT "\"fault\":\"reorder\",\"after\":5,\"count\":3}",
    AT_ONCE, NO_ACTION, ANSWERED },
  { "engine rejects the call", CALL_STREAM, 3, 40,
    "{" ENGINES_FAULT "\"fault\":\"refuse\",\"count\":2}", AT_ONCE, NO_ACTION,
    ANSWERED },
  { "engine loses the call", CALL_STREAM, 3, 40,
    "{" ENGINES_FAULT "\"fault\":\"lost\",\"count\":2}", AT_ONCE, NO_ACTION,
    ANSWERED },
  { "engine answers late", CALL_STREAM, 3, 40,
    "{" ENGINES_FAULT "\"fault\":\"late\",\"ms\":800,\"count\":2}", AT_ONCE,
    NO_ACTION, ANSWERED },
  { "engine is slow", CALL_STREAM, 3, 40,
    "{" ENGINES_FAULT "\"fault\":\"slow\",\"ms\":30,\"count\":2}", AT_ONCE,
    NO_ACTION, ANSWERED },
  { "engine is reclaimed without notice", CALL_STREAM, 4, 120, NULL,
    AFTER_FIRST_TOKENS, RECLAIM_ENGINE, ANSWERED },
  { "engine is reclaimed with notice", CALL_STREAM, 4, 300, NULL,
    AFTER_FIRST_TOKENS, RECLAIM_ENGINE_WITH_NOTICE, ANSWERED },
  { "long prompts lose their engine", CALL_STREAM, 4, 120, NULL,
    AFTER_FIRST_TOKENS, RECLAIM_ENGINE, ANSWERED },
  { "engines of a data centre are reclaimed", CALL_STREAM, 8, 300, NULL,
    AFTER_FIRST_TOKENS, RECLAIM_DATA_CENTRE_ENGINES, ANSWERED },
  { "accepting node is killed in the middle", CALL_STREAM, 4, 150, NULL,
    AFTER_FIRST_TOKENS, KILL_NODE, ANSWERED },
  { "accepting node is killed before the first token", CALL_STREAM, 4, 40,
    "{" ENGINES_FAULT "\"fault\":\"late\",\"ms\":1500,\"count\":4}", AT_ONCE,
    KILL_NODE, ANSWERED },
  { "accepting node and engine are killed together", CALL_STREAM, 4, 150, NULL,
    AFTER_FIRST_TOKENS, KILL_NODE_RECLAIM_ENGINE, ANSWERED },
  { "accepting node is killed under whole answers", CALL_WHOLE, 4, 150, NULL,
    AT_ONCE, KILL_NODE, ANSWERED },
  { "two nodes are killed together", CALL_STREAM, 4, 150, NULL,
    AFTER_FIRST_TOKENS, KILL_TWO_NODES, ANSWERED | UNKNOWN },
  { "planned stop cuts no stream", CALL_STREAM, 6, 300, NULL,
    AFTER_FIRST_TOKENS, STOP_NODE, ANSWERED },
  { "accepting node is paused in the middle", CALL_STREAM, 3, 150, NULL,
    AFTER_FIRST_TOKENS, PAUSE_NODE, ANSWERED },
  { "caller reconnects to another node", CALL_STREAM, 4, 150, NULL,
    AFTER_FIRST_TOKENS, RECONNECT_TO_OTHER_NODE, ANSWERED },
  { "caller reconnects to the same node", CALL_STREAM, 4, 150, NULL,
    AFTER_FIRST_TOKENS, RECONNECT_TO_SAME_NODE, ANSWERED },
  { "streams continue during a store outage", CALL_STREAM, 4, 150, NULL,
    AT_ONCE, STORE_OUTAGE, ANSWERED },
  { "streams continue without the VM list", CALL_STREAM, 4, 150, NULL, AT_ONCE,
    VM_LIST_OUTAGE, ANSWERED },
  { "service answer lost after its effect", CALL_CHARGE, 3, 0,
    "{" SERVICES_FAULT "\"fault\":\"lost_after_effect\",\"count\":3}", AT_ONCE,
    NO_ACTION, UNKNOWN },
  { "service loses the call", CALL_CHARGE, 3, 0,
    "{" SERVICES_FAULT "\"fault\":\"lost\",\"count\":3}", AT_ONCE, NO_ACTION,
    UNKNOWN },
  { "service answers late", CALL_CHARGE, 3, 0,
    "{" SERVICES_FAULT "\"fault\":\"late\",\"ms\":800,\"count\":3}", AT_ONCE,
    NO_ACTION, ANSWERED },
  { "repeatable call whose answer is lost", CALL_QUERY, 3, 0,
    "{" SERVICES_FAULT "\"fault\":\"lost_after_effect\",\"count\":1}", AT_ONCE,
    NO_ACTION, ANSWERED },
  { "all services but one are lost", CALL_CHARGE, 6, 0, NULL, AT_ONCE,
    RECLAIM_ALL_SERVICES_BUT_ONE, ANSWERED | NOT_RUN },
  { "charges in a store outage", CALL_CHARGE, 4, 0, NULL, AT_ONCE,
    STORE_OUTAGE, ANSWERED | NOT_RUN },
  { "claim whose answer is lost", CALL_CHARGE, 3, 0,
    "{" STORE_FAULT "\"fault\":\"lost_after_effect\",\"method\":\"PUT\","
    "\"path\":\"/objects/claims\",\"count\":3}",
    AT_ONCE, NO_ACTION, ANSWERED | NOT_RUN },
  { "claim rejected by the store", CALL_CHARGE, 3, 0,
    "{" STORE_FAULT "\"fault\":\"refuse\",\"method\":\"PUT\","
    "\"path\":\"/objects/claims\",\"count\":3}",
    AT_ONCE, NO_ACTION, ANSWERED | NOT_RUN },
  { "claim never answered", CALL_CHARGE, 2, 0,
    "{" STORE_FAULT "\"fault\":\"silent\",\"method\":\"PUT\","
    "\"path\":\"/objects/claims\",\"count\":2}",
    AT_ONCE, NO_ACTION, ANSWERED | NOT_RUN },
  { "accepting node is killed in the middle of a charge", CALL_CHARGE, 3, 0,
    "{" SERVICES_FAULT "\"fault\":\"late\",\"ms\":1500,\"count\":3}",
    AFTER_EXECUTION, KILL_NODE, ANSWERED | UNKNOWN },
  { "accepting node is paused in the middle of a charge", CALL_CHARGE, 2, 0,
    "{" SERVICES_FAULT "\"fault\":\"late\",\"ms\":1500,\"count\":2}",
    AFTER_EXECUTION, PAUSE_NODE, ANSWERED | UNKNOWN },
  { "planned stop in the middle of a charge", CALL_CHARGE, 3, 0,
    "{" SERVICES_FAULT "\"fault\":\"late\",\"ms\":1500,\"count\":3}",
    AFTER_EXECUTION, STOP_NODE, ANSWERED },
  { "same key at two nodes at once", CALL_CHARGE, 4, 0,
    "{" SERVICES_FAULT "\"fault\":\"late\",\"ms\":500,\"count\":4}", AT_ONCE,
    REPEAT_AT_OTHER_NODES, ANSWERED | UNKNOWN },
  { "same key at another node after the execution", CALL_CHARGE, 4, 0,
    "{" SERVICES_FAULT "\"fault\":\"late\",\"ms\":500,\"count\":4}",
    AFTER_EXECUTION, REPEAT_AT_OTHER_NODES, ANSWERED | UNKNOWN },
};

static cluster_t cluster;
static bool started;
static guint first_caller;

static caller_t *
row_caller (unsigned number)
{
  return cluster.callers.all->pdata[first_caller + number];
}

static bool
first_call_has_tokens (void *context)
{
  const caller_t *caller = row_caller (0);

  return caller->next >= FIRST_TOKENS || caller->result != CALL_PENDING;
}

static void
wait_for_moment (const request_case_t *row)
{
  if (row->moment == AFTER_FIRST_TOKENS)
    CU_ASSERT_TRUE (cluster_wait (&cluster, first_call_has_tokens, NULL));
  while (row->moment == AFTER_EXECUTION
         && cluster_executions (&cluster, row_caller (0)->key) == 0
         && row_caller (0)->result == CALL_PENDING)
    cluster_run_for (&cluster, 20 * GS_MSEC);
}

/* @return the name of the engine that serves the first call, from the records
   of the stand-ins.  */
static char *
serving_engine (void)
{
  json_t *records = cluster_fakes_get (&cluster, "/control/records");
  const char *id;
  json_t *generation;
  char *name = NULL;

  json_object_foreach (json_object_get (records, "generations"), id,
                       generation)
  {
    const json_t *attempts = json_object_get (generation, "attempts");
    const json_t *last
        = json_array_get (attempts, json_array_size (attempts) - 1);

    if (strstr (json_string_value (json_object_get (generation, "prompt")),
                row_caller (0)->key)
        != NULL)
      name = g_strdup (json_string_value (json_object_get (last, "vm")));
  }
  json_decref (records);
  return name;
}

static void
reclaim (const char *field, const char *value, int notice_ms, bool announced)
{
  char *body = g_strdup_printf (
      "{\"%s\":\"%s\",\"notice_ms\":%d,\"announced\":%s}", field, value,
      notice_ms, announced ? "true" : "false");

  cluster_fakes_post (&cluster, "/control/reclaim", body);
  g_free (body);
}

static void
reclaim_engine (bool announced)
{
  char *name = serving_engine ();

  CU_ASSERT_PTR_NOT_NULL (name);
  if (name != NULL)
    reclaim ("name", name, announced ? 1500 : 0, announced);
  g_free (name);
}

/* Reclaims only engines, so that the nodes of the data centre stay.  */
static void
reclaim_data_centre_engines (void)
{
  json_t *root = cluster_fakes_get (&cluster, "/vms");
  json_t *vm;
  size_t i;

  json_array_foreach (json_object_get (root, "vms"), i, vm)
  {
    const char *kind = json_string_value (json_object_get (vm, "kind"));
    const char *data_centre
        = json_string_value (json_object_get (vm, "data_centre"));

    if (strcmp (kind, "engine") == 0 && strcmp (data_centre, "ne-b") == 0)
      reclaim ("name", json_string_value (json_object_get (vm, "name")), 800,
               true);
  }
  json_decref (root);
}

static void
repeat_calls (const request_case_t *row)
{
  for (unsigned i = 0; i < row->calls; i++)
    caller_start (&cluster.callers, row->kind, OTHER_NODE + i % 3,
                  CLUSTER_ACCOUNT, row_caller (i)->key, row->tokens, 0);
}

static void
apply_action (const request_case_t *row)
{
  switch (row->action)
    {
    case NO_ACTION:
      break;
    case KILL_TWO_NODES:
      cluster_node_signal (&cluster, OTHER_NODE, SIGKILL);
      cluster_node_signal (&cluster, ACCEPTING_NODE, SIGKILL);
      break;
    case KILL_NODE_RECLAIM_ENGINE:
      reclaim_engine (false);
      cluster_node_signal (&cluster, ACCEPTING_NODE, SIGKILL);
      break;
    case KILL_NODE:
      cluster_node_signal (&cluster, ACCEPTING_NODE, SIGKILL);
      break;
    case STOP_NODE:
      cluster_node_signal (&cluster, ACCEPTING_NODE, SIGTERM);
      break;
    case PAUSE_NODE:
      cluster_node_signal (&cluster, ACCEPTING_NODE, SIGSTOP);
      break;
    case RECLAIM_ENGINE:
      reclaim_engine (false);
      break;
    case RECLAIM_ENGINE_WITH_NOTICE:
      reclaim_engine (true);
      break;
    case RECLAIM_DATA_CENTRE_ENGINES:
      reclaim_data_centre_engines ();
      break;
    case RECONNECT_TO_OTHER_NODE:
    case RECONNECT_TO_SAME_NODE:
      for (unsigned i = 0; i < row->calls; i++)
        caller_disconnect (row_caller (i),
                           row->action == RECONNECT_TO_OTHER_NODE
                               ? OTHER_NODE + i % 4
                               : ACCEPTING_NODE);
      break;
    case STORE_OUTAGE:
      cluster_fakes_post (&cluster, "/control/faults",
                          "{" STORE_FAULT "\"fault\":\"outage\"}");
      break;
    case VM_LIST_OUTAGE:
      cluster_fakes_post (&cluster, "/control/faults",
                          "{\"target\":\"vms\",\"fault\":\"outage\"}");
      break;
    case REPEAT_AT_OTHER_NODES:
      repeat_calls (row);
      break;
    case RECLAIM_ALL_SERVICES_BUT_ONE:
      for (int i = 1; i < SERVICES; i++)
        {
          char name[32];

          snprintf (name, sizeof name, "order-desk-%d", i);
          reclaim ("name", name, 0, false);
        }
      break;
    }
}

static void
start_calls (const request_case_t *row, size_t number)
{
  bool pauses_node = row->action == PAUSE_NODE;
  bool long_prompt = strstr (row->name, "long prompts") != NULL;

  first_caller = cluster.callers.all->len;
  for (unsigned i = 0; i < row->calls; i++)
    {
      char name[64];
      caller_t *caller;

      snprintf (name, sizeof name, "row-%zu-call-%u", number, i);
      caller = caller_start (&cluster.callers, row->kind, ACCEPTING_NODE,
                             CLUSTER_ACCOUNT, name, row->tokens,
                             long_prompt ? LONG_PROMPT_BYTES : 0);
      if (pauses_node)
        caller->silence_timeout_sec = 2;
    }
}

static void
check_call (const request_case_t *row, caller_t *caller)
{
  unsigned executions = 0;
  bool passed = (caller->result & row->expected) != 0;

  if (!passed)
    printf ("\n  %s: %s after %u tokens, id '%s', %u reconnects", caller->key,
            call_result_name (caller->result), caller->next, caller->id,
            caller->reconnects);
  CU_ASSERT_TRUE (passed);
  if (row->kind != CALL_CHARGE)
    return;
  executions = cluster_executions (&cluster, caller->key);
  passed = executions <= 1
           && (caller->result != CALL_ANSWERED || executions == 1)
           && (caller->result != CALL_NOT_RUN || executions == 0);
  if (!passed)
    printf ("\n  %s: %s but executed %u times", caller->key,
            call_result_name (caller->result), executions);
  CU_ASSERT_TRUE (passed);
}

/* Clears faults and replaces nodes and upstreams that the row removed.  */
static void
restore_cluster (const request_case_t *row)
{
  cluster_fakes_post (&cluster, "/control/faults", "{\"fault\":\"clear\"}");
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    {
      int code = 0;

      if (cluster.nodes[i].paused)
        cluster_node_signal (&cluster, i, SIGCONT);
      if (row->action == STOP_NODE && i == ACCEPTING_NODE)
        {
          while (!cluster_node_ended (&cluster, i, &code))
            cluster_run_for (&cluster, 20 * GS_MSEC);
          CU_ASSERT_EQUAL (code, 0);
        }
      if (cluster.nodes[i].pid == 0)
        {
          cluster_node_renew (&cluster, i);
          cluster_node_start (&cluster, i);
        }
    }
  if (row->action == RECLAIM_ENGINE
      || row->action == RECLAIM_ENGINE_WITH_NOTICE
      || row->action == KILL_NODE_RECLAIM_ENGINE
      || row->action == RECLAIM_DATA_CENTRE_ENGINES)
    cluster_fakes_post (&cluster, "/cloud/vms",
                        "{\"token\":\"heal\",\"kind\":\"engine\",\"target\":"
                        "\"assistant\",\"data_centre\":\"ne-b\"}");
  if (row->action == RECLAIM_ALL_SERVICES_BUT_ONE)
    for (int i = 1; i < SERVICES; i++)
      cluster_fakes_post (
          &cluster, "/cloud/vms",
          "{\"token\":\"heal\",\"kind\":\"service\",\"target\":"
          "\"order-desk\",\"data_centre\":\"ne-c\"}");
  CU_ASSERT_TRUE (cluster_wait_ready (&cluster));
}

/* Waits until a fault has applied to a call.  Nodes call the platform only at
   intervals and notice an outage only then; calls that are sent earlier might
   not run under it.  */
static void
wait_for_fault (uint64_t affected_before)
{
  gs_time_t deadline = gs_clock_now () + FAULT_WAIT_TIMEOUT;

  while (cluster_fault_count (&cluster) == affected_before
         && gs_clock_now () < deadline)
    cluster_run_for (&cluster, 20 * GS_MSEC);
}

static void
run_row (size_t number)
{
  const request_case_t *row = &request_cases[number];
  bool outage = row->action == STORE_OUTAGE || row->action == VM_LIST_OUTAGE;
  uint64_t affected_before = cluster_fault_count (&cluster);

  if (row->fault != NULL)
    cluster_fakes_post (&cluster, "/control/faults", row->fault);
  if (outage || row->action == RECLAIM_ALL_SERVICES_BUT_ONE)
    apply_action (row);
  if (outage)
    wait_for_fault (affected_before);
  start_calls (row, number);
  if (!outage && row->action != RECLAIM_ALL_SERVICES_BUT_ONE)
    {
      /* Calls that are to be interrupted must reach the node first.  */
      cluster_run_for (&cluster, 60 * GS_MSEC);
      wait_for_moment (row);
      apply_action (row);
    }
  if (row->action == PAUSE_NODE)
    {
      cluster_run_for (&cluster, PAUSE_DURATION);
      cluster_node_signal (&cluster, ACCEPTING_NODE, SIGCONT);
    }
  CU_ASSERT_TRUE (cluster_wait_calls (&cluster));
  for (guint i = first_caller; i < cluster.callers.all->len; i++)
    check_call (row, cluster.callers.all->pdata[i]);
  if (row->fault != NULL || outage)
    CU_ASSERT_TRUE (cluster_fault_count (&cluster) > affected_before);
  restore_cluster (row);
}

/* Each row is a test case; cases run in the order of the table.  */
static void
run_next_row (void)
{
  static size_t next;

  if (!started)
    {
      char *catalogue = cluster_catalogue ();

      started = true;
      cluster_start (&cluster, ENGINES, SERVICES, catalogue);
      g_free (catalogue);
    }
  cluster.control_failures = 0;
  run_row (next++);
  CU_ASSERT_EQUAL (cluster.control_failures, 0);
}

int
main (void)
{
  check_case_t cases[G_N_ELEMENTS (request_cases)];
  int result;

  for (size_t i = 0; i < G_N_ELEMENTS (request_cases); i++)
    cases[i] = (check_case_t){ request_cases[i].name, run_next_row };
  result = CHECK_RUN (SUITE, cases);
  if (started)
    cluster_stop (&cluster);
  return result;
}
