/* Requests on real processes: each row sends calls to one node, brings about
   a fault and checks outcomes and executions from the stand-ins' records.  */
#include "check.h"
#include "process_harness.h"

#include <stdio.h>
#include <string.h>

#define SUITE "requests on real processes"
#define ENGINES 12
#define SERVICES 4
#define VICTIM 0
#define OTHER 1
#define TOKENS_BEFORE 5
#define LONG_PROMPT_BYTES 20000
/* Longer than any lease or silence that a node bears. */
#define MEET_WAIT (30 * GS_SEC)
#define PAUSE (12 * GS_SEC)

#define ANSWERED CALL_ANSWERED
#define NOT_RUN CALL_NOT_RUN
#define UNKNOWN CALL_UNKNOWN

#define ENGINES_FAULT "\"target\":\"engines\","
#define SERVICES_FAULT "\"target\":\"services\","
#define STORE_FAULT "\"target\":\"store\","

typedef enum
{
  BEFORE,      /* the calls are sent */
  IN_STREAM,   /* after some tokens of the first call */
  IN_EXECUTION /* the service has executed the first call */
} when_t;

typedef enum
{
  NOTHING,
  KILL_NODE,
  KILL_NODE_AND_ENGINE,
  KILL_TWO_NODES,
  TERM_NODE,
  PAUSE_NODE,
  KILL_ENGINE,
  NOTICE_ENGINE,
  RECLAIM_ENGINES_OF_CENTRE,
  CUT_TO_OTHER,
  CUT_TO_SAME,
  STORE_OUTAGE,
  VM_LIST_OUTAGE,
  DUPLICATE_ELSEWHERE,
  KILL_SERVICES_BUT_ONE
} action_t;

typedef struct
{
  const char *name;
  call_kind_t kind;
  unsigned calls;
  uint32_t tokens;
  const char *fault; /* injected before the calls; NULL for none */
  when_t when;
  action_t action;
  unsigned expected; /* results that each call may have */
} row_t;

static const row_t rows[] = {
  { "streams without a fault", CALL_STREAM, 6, 40, NULL, BEFORE, NOTHING,
    ANSWERED },
  { "whole answers without a fault", CALL_WHOLE, 6, 40, NULL, BEFORE, NOTHING,
    ANSWERED },
  { "charges without a fault", CALL_CHARGE, 6, 0, NULL, BEFORE, NOTHING,
    ANSWERED },
  { "stream cut by the engine in the middle", CALL_STREAM, 3, 40,
    "{" ENGINES_FAULT "\"fault\":\"cut\",\"after\":5,\"count\":2}", BEFORE,
    NOTHING, ANSWERED },
  { "stream cut before its end marker", CALL_STREAM, 3, 20,
    "{" ENGINES_FAULT "\"fault\":\"cut\",\"after\":20,\"count\":2}", BEFORE,
    NOTHING, ANSWERED },
  { "stream ends without its end marker", CALL_STREAM, 3, 20,
    "{" ENGINES_FAULT "\"fault\":\"no_end\",\"count\":2}", BEFORE, NOTHING,
    ANSWERED },
  { "whole answer cut by the engine", CALL_WHOLE, 3, 40,
    "{" ENGINES_FAULT "\"fault\":\"cut\",\"after\":5,\"count\":2}", BEFORE,
    NOTHING, ANSWERED },
  { "engine goes silent in the middle", CALL_STREAM, 2, 40,
    "{" ENGINES_FAULT "\"fault\":\"silent\",\"after\":5,\"count\":1}", BEFORE,
    NOTHING, ANSWERED },
  { "engine repeats a token", CALL_STREAM, 3, 40,
    "{" ENGINES_FAULT "\"fault\":\"duplicate\",\"after\":5,\"count\":3}",
    BEFORE, NOTHING, ANSWERED },
  { "engine swaps two tokens", CALL_STREAM, 3, 40,
    "{" ENGINES_FAULT "\"fault\":\"reorder\",\"after\":5,\"count\":3}", BEFORE,
    NOTHING, ANSWERED },
  { "engine refuses", CALL_STREAM, 3, 40,
    "{" ENGINES_FAULT "\"fault\":\"refuse\",\"count\":2}", BEFORE, NOTHING,
    ANSWERED },
  { "engine loses the call", CALL_STREAM, 3, 40,
    "{" ENGINES_FAULT "\"fault\":\"lost\",\"count\":2}", BEFORE, NOTHING,
    ANSWERED },
  { "engine answers late", CALL_STREAM, 3, 40,
    "{" ENGINES_FAULT "\"fault\":\"late\",\"ms\":800,\"count\":2}", BEFORE,
    NOTHING, ANSWERED },
  { "engine is slow", CALL_STREAM, 3, 40,
    "{" ENGINES_FAULT "\"fault\":\"slow\",\"ms\":30,\"count\":2}", BEFORE,
    NOTHING, ANSWERED },
  { "engine is taken back without a word", CALL_STREAM, 4, 120, NULL,
    IN_STREAM, KILL_ENGINE, ANSWERED },
  { "engine is taken back with notice", CALL_STREAM, 4, 300, NULL, IN_STREAM,
    NOTICE_ENGINE, ANSWERED },
  { "long prompts lose their engine", CALL_STREAM, 4, 120, NULL, IN_STREAM,
    KILL_ENGINE, ANSWERED },
  { "engines of a data centre are taken back", CALL_STREAM, 8, 300, NULL,
    IN_STREAM, RECLAIM_ENGINES_OF_CENTRE, ANSWERED },
  { "accepting node is killed in the middle", CALL_STREAM, 4, 150, NULL,
    IN_STREAM, KILL_NODE, ANSWERED },
  { "accepting node is killed before the first token", CALL_STREAM, 4, 40,
    "{" ENGINES_FAULT "\"fault\":\"late\",\"ms\":1500,\"count\":4}", BEFORE,
    KILL_NODE, ANSWERED },
  { "accepting node and engine are killed together", CALL_STREAM, 4, 150, NULL,
    IN_STREAM, KILL_NODE_AND_ENGINE, ANSWERED },
  { "accepting node is killed under whole answers", CALL_WHOLE, 4, 150, NULL,
    BEFORE, KILL_NODE, ANSWERED },
  { "two nodes are killed together", CALL_STREAM, 4, 150, NULL, IN_STREAM,
    KILL_TWO_NODES, ANSWERED | UNKNOWN },
  { "planned stop cuts no stream", CALL_STREAM, 6, 300, NULL, IN_STREAM,
    TERM_NODE, ANSWERED },
  { "accepting node is paused in the middle", CALL_STREAM, 3, 150, NULL,
    IN_STREAM, PAUSE_NODE, ANSWERED },
  { "caller goes on at another node", CALL_STREAM, 4, 150, NULL, IN_STREAM,
    CUT_TO_OTHER, ANSWERED },
  { "caller goes on at the same node", CALL_STREAM, 4, 150, NULL, IN_STREAM,
    CUT_TO_SAME, ANSWERED },
  { "streams go on through a store outage", CALL_STREAM, 4, 150, NULL, BEFORE,
    STORE_OUTAGE, ANSWERED },
  { "streams go on without the VM list", CALL_STREAM, 4, 150, NULL, BEFORE,
    VM_LIST_OUTAGE, ANSWERED },
  { "service answer lost after its effect", CALL_CHARGE, 3, 0,
    "{" SERVICES_FAULT "\"fault\":\"lost_after_effect\",\"count\":3}", BEFORE,
    NOTHING, UNKNOWN },
  { "service loses the call", CALL_CHARGE, 3, 0,
    "{" SERVICES_FAULT "\"fault\":\"lost\",\"count\":3}", BEFORE, NOTHING,
    UNKNOWN },
  { "service answers late", CALL_CHARGE, 3, 0,
    "{" SERVICES_FAULT "\"fault\":\"late\",\"ms\":800,\"count\":3}", BEFORE,
    NOTHING, ANSWERED },
  { "repeatable call whose answer is lost", CALL_QUERY, 3, 0,
    "{" SERVICES_FAULT "\"fault\":\"lost_after_effect\",\"count\":1}", BEFORE,
    NOTHING, ANSWERED },
  { "all services but one are gone", CALL_CHARGE, 6, 0, NULL, BEFORE,
    KILL_SERVICES_BUT_ONE, ANSWERED | NOT_RUN },
  { "charges in a store outage", CALL_CHARGE, 4, 0, NULL, BEFORE, STORE_OUTAGE,
    ANSWERED | NOT_RUN },
  { "claim whose answer is lost", CALL_CHARGE, 3, 0,
    "{" STORE_FAULT "\"fault\":\"lost_after_effect\",\"method\":\"PUT\","
    "\"path\":\"/objects/claims\",\"count\":3}",
    BEFORE, NOTHING, ANSWERED | NOT_RUN },
  { "claim refused by the store", CALL_CHARGE, 3, 0,
    "{" STORE_FAULT "\"fault\":\"refuse\",\"method\":\"PUT\","
    "\"path\":\"/objects/claims\",\"count\":3}",
    BEFORE, NOTHING, ANSWERED | NOT_RUN },
  { "claim never answered", CALL_CHARGE, 2, 0,
    "{" STORE_FAULT "\"fault\":\"silent\",\"method\":\"PUT\","
    "\"path\":\"/objects/claims\",\"count\":2}",
    BEFORE, NOTHING, ANSWERED | NOT_RUN },
  { "accepting node is killed in the middle of a charge", CALL_CHARGE, 3, 0,
    "{" SERVICES_FAULT "\"fault\":\"late\",\"ms\":1500,\"count\":3}",
    IN_EXECUTION, KILL_NODE, ANSWERED | UNKNOWN },
  { "accepting node is paused in the middle of a charge", CALL_CHARGE, 2, 0,
    "{" SERVICES_FAULT "\"fault\":\"late\",\"ms\":1500,\"count\":2}",
    IN_EXECUTION, PAUSE_NODE, ANSWERED | UNKNOWN },
  { "planned stop in the middle of a charge", CALL_CHARGE, 3, 0,
    "{" SERVICES_FAULT "\"fault\":\"late\",\"ms\":1500,\"count\":3}",
    IN_EXECUTION, TERM_NODE, ANSWERED },
  { "same key at two nodes at once", CALL_CHARGE, 4, 0,
    "{" SERVICES_FAULT "\"fault\":\"late\",\"ms\":500,\"count\":4}", BEFORE,
    DUPLICATE_ELSEWHERE, ANSWERED | UNKNOWN },
  { "same key at another node after the execution", CALL_CHARGE, 4, 0,
    "{" SERVICES_FAULT "\"fault\":\"late\",\"ms\":500,\"count\":4}",
    IN_EXECUTION, DUPLICATE_ELSEWHERE, ANSWERED | UNKNOWN },
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
first_call_streams (void *context)
{
  const caller_t *caller = row_caller (0);

  return caller->next >= TOKENS_BEFORE || caller->result != CALL_PENDING;
}

static void
wait_for_place (const row_t *row)
{
  if (row->when == IN_STREAM)
    CU_ASSERT_TRUE (cluster_wait (&cluster, first_call_streams, NULL));
  while (row->when == IN_EXECUTION
         && cluster_executions (&cluster, row_caller (0)->key) == 0
         && row_caller (0)->result == CALL_PENDING)
    cluster_run_for (&cluster, 20 * GS_MSEC);
}

/* The engine that works on the first call, by the stand-ins' records.  */
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

/* Engines only, so that the nodes of the data centre stay.  */
static void
reclaim_engines_of_centre (void)
{
  json_t *root = cluster_fakes_get (&cluster, "/vms");
  json_t *vm;
  size_t i;

  json_array_foreach (json_object_get (root, "vms"), i, vm)
  {
    const char *kind = json_string_value (json_object_get (vm, "kind"));
    const char *centre
        = json_string_value (json_object_get (vm, "data_centre"));

    if (strcmp (kind, "engine") == 0 && strcmp (centre, "ne-b") == 0)
      reclaim ("name", json_string_value (json_object_get (vm, "name")), 800,
               true);
  }
  json_decref (root);
}

static void
duplicate_calls (const row_t *row)
{
  for (unsigned i = 0; i < row->calls; i++)
    caller_start (&cluster.callers, row->kind, OTHER + i % 3, CLUSTER_ACCOUNT,
                  row_caller (i)->key, row->tokens, 0);
}

static void
act (const row_t *row)
{
  switch (row->action)
    {
    case NOTHING:
      break;
    case KILL_TWO_NODES:
      cluster_node_signal (&cluster, OTHER, SIGKILL);
      cluster_node_signal (&cluster, VICTIM, SIGKILL);
      break;
    case KILL_NODE_AND_ENGINE:
      reclaim_engine (false);
      cluster_node_signal (&cluster, VICTIM, SIGKILL);
      break;
    case KILL_NODE:
      cluster_node_signal (&cluster, VICTIM, SIGKILL);
      break;
    case TERM_NODE:
      cluster_node_signal (&cluster, VICTIM, SIGTERM);
      break;
    case PAUSE_NODE:
      cluster_node_signal (&cluster, VICTIM, SIGSTOP);
      break;
    case KILL_ENGINE:
      reclaim_engine (false);
      break;
    case NOTICE_ENGINE:
      reclaim_engine (true);
      break;
    case RECLAIM_ENGINES_OF_CENTRE:
      reclaim_engines_of_centre ();
      break;
    case CUT_TO_OTHER:
    case CUT_TO_SAME:
      for (unsigned i = 0; i < row->calls; i++)
        caller_disconnect (row_caller (i), row->action == CUT_TO_OTHER
                                               ? OTHER + i % 4
                                               : VICTIM);
      break;
    case STORE_OUTAGE:
      cluster_fakes_post (&cluster, "/control/faults",
                          "{" STORE_FAULT "\"fault\":\"outage\"}");
      break;
    case VM_LIST_OUTAGE:
      cluster_fakes_post (&cluster, "/control/faults",
                          "{\"target\":\"vms\",\"fault\":\"outage\"}");
      break;
    case DUPLICATE_ELSEWHERE:
      duplicate_calls (row);
      break;
    case KILL_SERVICES_BUT_ONE:
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
start_calls (const row_t *row, size_t number)
{
  bool silence = row->action == PAUSE_NODE;
  bool long_prompt = strstr (row->name, "long prompts") != NULL;

  first_caller = cluster.callers.all->len;
  for (unsigned i = 0; i < row->calls; i++)
    {
      char name[64];
      caller_t *caller;

      snprintf (name, sizeof name, "row-%zu-call-%u", number, i);
      caller = caller_start (&cluster.callers, row->kind, VICTIM,
                             CLUSTER_ACCOUNT, name, row->tokens,
                             long_prompt ? LONG_PROMPT_BYTES : 0);
      if (silence)
        caller->silence_timeout_sec = 2;
    }
}

static void
check_call (const row_t *row, caller_t *caller)
{
  unsigned executions = 0;
  bool good = (caller->result & row->expected) != 0;

  if (!good)
    printf ("\n  %s: %s after %u tokens, id '%s', %u reconnects", caller->key,
            call_result_name (caller->result), caller->next, caller->id,
            caller->reconnects);
  CU_ASSERT_TRUE (good);
  if (row->kind != CALL_CHARGE)
    return;
  executions = cluster_executions (&cluster, caller->key);
  good = executions <= 1
         && (caller->result != CALL_ANSWERED || executions == 1)
         && (caller->result != CALL_NOT_RUN || executions == 0);
  if (!good)
    printf ("\n  %s: %s but executed %u times", caller->key,
            call_result_name (caller->result), executions);
  CU_ASSERT_TRUE (good);
}

/* Replaces what the row has taken away.  */
static void
heal (const row_t *row)
{
  cluster_fakes_post (&cluster, "/control/faults", "{\"fault\":\"clear\"}");
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    {
      int code = 0;

      if (cluster.nodes[i].paused)
        cluster_node_signal (&cluster, i, SIGCONT);
      if (row->action == TERM_NODE && i == VICTIM)
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
  if (row->action == KILL_ENGINE || row->action == NOTICE_ENGINE
      || row->action == KILL_NODE_AND_ENGINE
      || row->action == RECLAIM_ENGINES_OF_CENTRE)
    cluster_fakes_post (&cluster, "/cloud/vms",
                        "{\"token\":\"heal\",\"kind\":\"engine\",\"target\":"
                        "\"assistant\",\"data_centre\":\"ne-b\"}");
  if (row->action == KILL_SERVICES_BUT_ONE)
    for (int i = 1; i < SERVICES; i++)
      cluster_fakes_post (
          &cluster, "/cloud/vms",
          "{\"token\":\"heal\",\"kind\":\"service\",\"target\":"
          "\"order-desk\",\"data_centre\":\"ne-c\"}");
  CU_ASSERT_TRUE (cluster_wait_ready (&cluster));
}

/* A node asks the platform only now and then: calls start once the fault has
   been met, so that they really run through it.  */
static void
wait_until_met (uint64_t met)
{
  gs_time_t deadline = gs_clock_now () + MEET_WAIT;

  while (cluster_fault_count (&cluster) == met && gs_clock_now () < deadline)
    cluster_run_for (&cluster, 20 * GS_MSEC);
}

static void
run_row (size_t number)
{
  const row_t *row = &rows[number];
  bool outage = row->action == STORE_OUTAGE || row->action == VM_LIST_OUTAGE;
  uint64_t met = cluster_fault_count (&cluster);

  if (row->fault != NULL)
    cluster_fakes_post (&cluster, "/control/faults", row->fault);
  if (outage || row->action == KILL_SERVICES_BUT_ONE)
    act (row);
  if (outage)
    wait_until_met (met);
  start_calls (row, number);
  if (!outage && row->action != KILL_SERVICES_BUT_ONE)
    {
      /* Lets calls that are to be broken off reach the node.  */
      cluster_run_for (&cluster, 60 * GS_MSEC);
      wait_for_place (row);
      act (row);
    }
  if (row->action == PAUSE_NODE)
    {
      cluster_run_for (&cluster, PAUSE);
      cluster_node_signal (&cluster, VICTIM, SIGCONT);
    }
  CU_ASSERT_TRUE (cluster_wait_calls (&cluster));
  for (guint i = first_caller; i < cluster.callers.all->len; i++)
    check_call (row, cluster.callers.all->pdata[i]);
  if (row->fault != NULL || outage)
    CU_ASSERT_TRUE (cluster_fault_count (&cluster) > met);
  heal (row);
}

/* Each row is a case of its own; cases run in the order of the table.  */
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
  check_case_t cases[G_N_ELEMENTS (rows)];
  int result;

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    cases[i] = (check_case_t){ rows[i].name, run_next_row };
  result = CHECK_RUN (SUITE, cases);
  if (started)
    cluster_stop (&cluster);
  return result;
}
