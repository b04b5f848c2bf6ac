/* Demonstration of the whole system: five nodes in four data centres, fake
   engines and services, and two accounts of very different size.  While
   answers stream, the VMs of a node and of an engine are reclaimed, callers
   lose their connections and the catalogue is edited.  Every answer is
   compared with the one that the fakes produce for its prompt.  */
#include "process_harness.h"

#include <stdio.h>
#include <string.h>

#define ENGINES 12
#define SERVICES 4
#define SMALL_KEY "small-account-key"
#define CALLS_LARGE 360
#define CALLS_SMALL 40
#define IN_FLIGHT_LARGE 36
#define IN_FLIGHT_SMALL 4
#define LONG_PROMPT_BYTES 20000
#define RETRIES 20
#define TOKENS_MIN 60
#define TOKENS_RANGE 240
#define ADDRESSES_MAX 8
#define NODE_NOTICE_MSEC 7000
#define ENGINE_NOTICE_MSEC 1000
#define DISCONNECTS_MAX 5
/* Percentage of ended calls at which each event is triggered. */
#define NODE_NOTICE_PERCENT 15
#define EDIT_PERCENT 30
#define ENGINE_NOTICE_PERCENT 40
#define DISCONNECT_PERCENT 50

typedef enum
{
  ROW_STREAM,
  ROW_LONG,
  ROW_WHOLE,
  ROW_CHARGE,
  ROW_KIND_COUNT
} row_kind_t;

static const char *const row_names[ROW_KIND_COUNT]
    = { "streamed", "long prompt", "whole", "charge" };

typedef struct
{
  const char *name;
  const char *key;
  unsigned total;
  unsigned in_flight_max;
  unsigned started;
  unsigned nodes[ADDRESSES_MAX]; /* from /v1/addresses */
  unsigned node_count;
  gs_time_t addresses_deadline; /* when nodes expires */
} account_t;

typedef struct
{
  caller_t *caller;
  account_t *account;
  row_kind_t kind;
} demo_call_t;

typedef struct
{
  cluster_t cluster;
  account_t accounts[2];
  GArray *calls; /* of demo_call_t */
  unsigned leaving_node;
  gs_time_t kill_deadline; /* of the reclaimed node; 0: not yet */
  uint64_t generation;     /* of the edit; 0: not yet */
  bool engine_reclaimed;
  bool callers_disconnected;
} demo_t;

static unsigned
find_node_by_port (const demo_t *demo, json_int_t port)
{
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    if (demo->cluster.nodes[i].caller_port == port)
      return i;
  return 0;
}

/* Requests the addresses of an account; the answer states how long they are
   valid.  */
static void
request_addresses (demo_t *demo, account_t *account)
{
  cluster_answer_t answer;
  unsigned node = demo->kill_deadline != 0 ? (demo->leaving_node + 1) % 5 : 0;
  json_t *root;
  json_t *row;
  size_t i;

  cluster_caller_get (&answer, &demo->cluster, node, account->key,
                      "/v1/addresses");
  root = json_loads (answer.body, 0, NULL);
  account->node_count = 0;
  json_array_foreach (json_object_get (root, "addresses"), i, row)
  {
    if (account->node_count < ADDRESSES_MAX)
      account->nodes[account->node_count++] = find_node_by_port (
          demo, json_integer_value (json_object_get (row, "port")));
  }
  account->addresses_deadline
      = gs_clock_now ()
        + json_integer_value (json_object_get (root, "keep_ms")) * GS_MSEC;
  json_decref (root);
  cluster_answer_clear (&answer);
}

static void
start_next_call (demo_t *demo, account_t *account)
{
  static const call_kind_t kinds[ROW_KIND_COUNT]
      = { CALL_STREAM, CALL_STREAM, CALL_WHOLE, CALL_CHARGE };
  unsigned number = account->started++;
  row_kind_t kind = (row_kind_t)(number % ROW_KIND_COUNT);
  demo_call_t call = { NULL, account, kind };
  char name[64];

  snprintf (name, sizeof name, "%s-%u", account->name, number);
  call.caller = caller_start (
      &demo->cluster.callers, kinds[kind],
      account->nodes[number / ROW_KIND_COUNT % account->node_count],
      account->key, name, TOKENS_MIN + number * 7 % TOKENS_RANGE,
      kind == ROW_LONG ? LONG_PROMPT_BYTES : 0);
  call.caller->retries_left = RETRIES;
  g_array_append_val (demo->calls, call);
}

static unsigned
count_pending (const demo_t *demo, const account_t *account)
{
  unsigned count = 0;

  for (guint i = 0; i < demo->calls->len; i++)
    {
      const demo_call_t *call = &g_array_index (demo->calls, demo_call_t, i);

      count
          += call->account == account && call->caller->result == CALL_PENDING;
    }
  return count;
}

static unsigned
ended_percent (const demo_t *demo)
{
  unsigned ended = demo->calls->len - demo->cluster.callers.pending;

  return ended * 100 / (CALLS_LARGE + CALLS_SMALL);
}

static void
reclaim (demo_t *demo, const char *name, int notice_ms)
{
  char *body = g_strdup_printf (
      "{\"name\":\"%s\",\"notice_ms\":%d,\"announced\":true}", name,
      notice_ms);

  cluster_fakes_post (&demo->cluster, "/control/reclaim", body);
  g_free (body);
  printf ("  %s is taken back with %d ms of notice\n", name, notice_ms);
}

/* Reclaims the engine of the latest attempt of a generation, so that the
   engine is likely to be in use.  */
static void
reclaim_engine (demo_t *demo)
{
  json_t *records = cluster_fakes_get (&demo->cluster, "/control/records");
  const char *name = NULL;
  const char *id;
  json_t *generation;

  json_object_foreach (json_object_get (records, "generations"), id,
                       generation)
  {
    const json_t *attempts = json_object_get (generation, "attempts");

    name = json_string_value (json_object_get (
        json_array_get (attempts, json_array_size (attempts) - 1), "vm"));
  }
  if (name != NULL)
    reclaim (demo, name, ENGINE_NOTICE_MSEC);
  demo->engine_reclaimed = true;
  json_decref (records);
}

static void
edit_catalogue (demo_t *demo)
{
  static const char text[]
      = "[class evening]\nowner=curdwright\npurpose=added while it runs\n"
        "priority=1\n";
  unsigned node = (demo->leaving_node + 1) % CLUSTER_NODES;
  cluster_answer_t answer;
  json_t *root;

  cluster_operator_call (&answer, &demo->cluster, node, "PUT", "/v1/catalogue",
                         CLUSTER_OPERATOR, NULL, text);
  root = json_loads (answer.body, 0, NULL);
  demo->generation
      = (uint64_t)json_integer_value (json_object_get (root, "generation"));
  printf ("  the catalogue is edited: generation %llu\n",
          (unsigned long long)demo->generation);
  json_decref (root);
  cluster_answer_clear (&answer);
}

/* Closes the connections of some streams; their callers resume at another node
   by request id.  */
static void
disconnect_callers (demo_t *demo)
{
  unsigned count = 0;

  for (guint i = 0; i < demo->calls->len && count < DISCONNECTS_MAX; i++)
    {
      demo_call_t *call = &g_array_index (demo->calls, demo_call_t, i);

      if (call->caller->result != CALL_PENDING || call->caller->next == 0)
        continue;
      caller_disconnect (call->caller,
                         (call->caller->node + 1) % CLUSTER_NODES);
      count++;
    }
  demo->callers_disconnected = true;
  printf ("  %u callers lose their connection\n", count);
}

static void
inject_faults_and_edit (demo_t *demo)
{
  unsigned percent = ended_percent (demo);
  gs_time_t now = gs_clock_now ();

  if (demo->kill_deadline == 0 && percent >= NODE_NOTICE_PERCENT)
    {
      demo->leaving_node = demo->accounts[0].nodes[0];
      demo->kill_deadline = now + NODE_NOTICE_MSEC * GS_MSEC;
      reclaim (demo, demo->cluster.nodes[demo->leaving_node].name,
               NODE_NOTICE_MSEC);
    }
  if (demo->kill_deadline != 0 && now >= demo->kill_deadline)
    cluster_node_signal (&demo->cluster, demo->leaving_node, SIGKILL);
  if (demo->generation == 0 && percent >= EDIT_PERCENT)
    edit_catalogue (demo);
  if (!demo->engine_reclaimed && percent >= ENGINE_NOTICE_PERCENT)
    reclaim_engine (demo);
  if (!demo->callers_disconnected && percent >= DISCONNECT_PERCENT)
    disconnect_callers (demo);
}

static void
run_calls (demo_t *demo)
{
  bool calls_remain = true;

  while (calls_remain || demo->cluster.callers.pending > 0
         || gs_clock_now () < demo->kill_deadline)
    {
      calls_remain = false;
      for (unsigned i = 0; i < 2; i++)
        {
          account_t *account = &demo->accounts[i];

          if (gs_clock_now () >= account->addresses_deadline)
            request_addresses (demo, account);
          while (account->started < account->total && account->node_count > 0
                 && count_pending (demo, account) < account->in_flight_max)
            start_next_call (demo, account);
          calls_remain |= account->started < account->total;
        }
      cluster_run_for (&demo->cluster, 20 * GS_MSEC);
      inject_faults_and_edit (demo);
    }
}

static int
compare_times (const void *left, const void *right)
{
  gs_time_t a = *(const gs_time_t *)left;
  gs_time_t b = *(const gs_time_t *)right;

  return (a > b) - (a < b);
}

static void
print_row (const demo_t *demo, const account_t *account, row_kind_t kind)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (gs_time_t));
  unsigned counts[CALL_LOST + 1] = { 0 };
  unsigned reconnects = 0;

  for (guint i = 0; i < demo->calls->len; i++)
    {
      const demo_call_t *call = &g_array_index (demo->calls, demo_call_t, i);
      gs_time_t time = call->caller->ended - call->caller->started;

      if (call->account != account || call->kind != kind)
        continue;
      counts[call->caller->result]++;
      reconnects += call->caller->reconnects;
      g_array_append_val (times, time);
    }
  qsort (times->data, times->len, sizeof (gs_time_t), compare_times);
  printf (
      "%-11s %-11s %5u %8u %7u %7u %4u %5u %10u %8lld %8lld\n", account->name,
      row_names[kind], times->len, counts[CALL_ANSWERED], counts[CALL_NOT_RUN],
      counts[CALL_UNKNOWN], counts[CALL_LOST] + counts[CALL_FAILED],
      counts[CALL_MIXED], reconnects,
      (long long)(g_array_index (times, gs_time_t, times->len / 2) / GS_MSEC),
      (long long)(g_array_index (times, gs_time_t, times->len * 99 / 100)
                  / GS_MSEC));
  g_array_unref (times);
}

static void
print_table (const demo_t *demo)
{
  printf ("%-11s %-11s %5s %8s %7s %7s %4s %5s %10s %8s %8s\n", "account",
          "kind", "sent", "answered", "not_run", "unknown", "lost", "mixed",
          "reconnects", "p50_ms", "p99_ms");
  for (unsigned i = 0; i < 2; i++)
    for (int kind = 0; kind < ROW_KIND_COUNT; kind++)
      print_row (demo, &demo->accounts[i], (row_kind_t)kind);
}

static void
print_attempts (demo_t *demo)
{
  static const char *const modes[] = { "new", "resume", "moved", "prefill" };
  json_t *records = cluster_fakes_get (&demo->cluster, "/control/records");
  unsigned counts[G_N_ELEMENTS (modes)] = { 0 };
  json_int_t recomputed = 0;
  const char *id;
  json_t *generation;

  json_object_foreach (json_object_get (records, "generations"), id,
                       generation)
  {
    json_t *attempt;
    size_t i;

    json_array_foreach (json_object_get (generation, "attempts"), i, attempt)
    {
      for (size_t mode = 0; mode < G_N_ELEMENTS (modes); mode++)
        counts[mode] += g_strcmp0 (json_string_value (
                                       json_object_get (attempt, "mode")),
                                   modes[mode])
                        == 0;
      recomputed
          += json_integer_value (json_object_get (attempt, "recomputed"));
    }
  }
  printf ("attempts at engines: new=%u resume=%u moved=%u prefill=%u, tokens "
          "recomputed=%lld\n",
          counts[0], counts[1], counts[2], counts[3], (long long)recomputed);
  json_decref (records);
}

/* Counts the charges whose executions contradict the outcome that the caller
   received.  */
static unsigned
count_contradictions (demo_t *demo, unsigned *ran_twice)
{
  json_t *executions
      = cluster_fakes_get (&demo->cluster, "/control/executions");
  unsigned contradictions = 0;

  for (guint i = 0; i < demo->calls->len; i++)
    {
      const demo_call_t *call = &g_array_index (demo->calls, demo_call_t, i);
      json_int_t count = json_integer_value (
          json_object_get (executions, call->caller->key));

      if (call->kind != ROW_CHARGE)
        continue;
      *ran_twice += count > 1;
      contradictions += (call->caller->result == CALL_ANSWERED && count == 0)
                        || (call->caller->result == CALL_NOT_RUN && count > 0);
    }
  json_decref (executions);
  return contradictions;
}

static unsigned
count_config_nodes (demo_t *demo)
{
  unsigned count = 0;

  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    count += demo->cluster.nodes[i].pid != 0 && demo->generation > 0
             && cluster_generation (&demo->cluster, i) >= demo->generation;
  return count;
}

/* @return exit code: 0 when no call was lost, mixed, run twice or contradicted
   and every running node has the edited catalogue */
static int
report (demo_t *demo)
{
  unsigned counts[CALL_LOST + 1] = { 0 };
  unsigned ran_twice = 0;
  unsigned contradictions = count_contradictions (demo, &ran_twice);
  unsigned config_nodes = count_config_nodes (demo);
  unsigned lost;

  for (guint i = 0; i < demo->calls->len; i++)
    counts[g_array_index (demo->calls, demo_call_t, i).caller->result]++;
  lost = counts[CALL_LOST] + counts[CALL_FAILED];
  print_table (demo);
  print_attempts (demo);
  if (contradictions > 0)
    printf ("calls whose outcome contradicts the services' records: %u\n",
            contradictions);
  printf ("demo sent=%u answered=%u not_run=%u unknown=%u lost=%u mixed=%u "
          "ran_twice=%u config_nodes=%u\n",
          demo->calls->len, counts[CALL_ANSWERED], counts[CALL_NOT_RUN],
          counts[CALL_UNKNOWN], lost, counts[CALL_MIXED], ran_twice,
          config_nodes);
  return lost + counts[CALL_MIXED] + ran_twice + contradictions == 0
                 && config_nodes == CLUSTER_NODES - 1
             ? 0
             : 1;
}

static char *
demo_catalogue (void)
{
  char *basis = cluster_catalogue ();
  char *digest
      = g_compute_checksum_for_string (G_CHECKSUM_SHA256, SMALL_KEY, -1);
  char *text = g_strdup_printf (
      "%s[account corner]\nowner=curdwright\npurpose=a small shop\n"
      "class=counter\nkeys=%s\nrequests_per_sec=50\n"
      "tokens_per_sec=200000\n",
      basis, digest);

  g_free (digest);
  g_free (basis);
  return text;
}

int
main (void)
{
  demo_t demo = { .accounts = { { .name = "shop",
                                  .key = CLUSTER_ACCOUNT,
                                  .total = CALLS_LARGE,
                                  .in_flight_max = IN_FLIGHT_LARGE },
                                { .name = "corner",
                                  .key = SMALL_KEY,
                                  .total = CALLS_SMALL,
                                  .in_flight_max = IN_FLIGHT_SMALL } } };
  char *catalogue = demo_catalogue ();
  int result;

  setvbuf (stdout, NULL, _IOLBF, 0);
  demo.calls = g_array_new (FALSE, TRUE, sizeof (demo_call_t));
  cluster_start (&demo.cluster, ENGINES, SERVICES, catalogue);
  printf ("%u nodes serve over 4 data centres, %u engines, %u services\n",
          CLUSTER_NODES, ENGINES, SERVICES);
  run_calls (&demo);
  result = report (&demo);
  cluster_stop (&demo.cluster);
  g_array_unref (demo.calls);
  g_free (catalogue);
  return result;
}
