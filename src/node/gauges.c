#include "node/gauges.h"

#include <glib.h>
#include <string.h>

#define STATE_COUNT 3

static const char *const state_names[STATE_COUNT]
    = { "live", "leaving", "gone" };

static void
append_gauge (GString *text, const char *name, uint64_t value)
{
  g_string_append_printf (text,
                          "# TYPE garnetstack_%s gauge\n"
                          "garnetstack_%s %llu\n",
                          name, name, (unsigned long long)value);
}

static void
append_states (GString *text, const char *name,
               const unsigned counts[STATE_COUNT])
{
  g_string_append_printf (text, "# TYPE garnetstack_%s gauge\n", name);
  for (int state = 0; state < STATE_COUNT; state++)
    g_string_append_printf (text, "garnetstack_%s{state=\"%s\"} %u\n", name,
                            state_names[state], counts[state]);
}

static void
append_nodes (GString *text, const gs_snapshot_t *snapshot)
{
  unsigned counts[STATE_COUNT] = { 0 };
  unsigned connected = 0;

  for (size_t i = 0; i < snapshot->node_count; i++)
    {
      counts[snapshot->nodes[i].state]++;
      connected += snapshot->nodes[i].connected;
    }
  append_states (text, "nodes", counts);
  append_gauge (text, "nodes_connected", connected);
}

static void
append_upstreams (GString *text, const gs_snapshot_t *snapshot)
{
  unsigned counts[STATE_COUNT] = { 0 };
  uint64_t running = 0;
  uint64_t queued = 0;

  for (size_t i = 0; i < snapshot->upstream_count; i++)
    {
      counts[snapshot->upstreams[i].state]++;
      running += snapshot->upstreams[i].running;
      queued += snapshot->upstreams[i].queued;
    }
  append_states (text, "upstreams", counts);
  append_gauge (text, "upstream_requests_running", running);
  append_gauge (text, "upstream_requests_queued", queued);
}

void
gs_gauges_snapshot_append (GString *text, const gs_snapshot_t *snapshot)
{
  const gs_catalogue_t *catalogue = snapshot->catalogue;
  uint64_t generation
      = catalogue != NULL ? gs_catalogue_generation (catalogue) : 0;
  size_t bytes
      = catalogue != NULL ? strlen (gs_catalogue_text (catalogue)) : 0;

  append_gauge (text, "ready", snapshot->ready);
  append_gauge (text, "leaving", snapshot->self_leaving);
  append_gauge (text, "catalogue_generation", generation);
  append_gauge (text, "catalogue_bytes", bytes);
  append_gauge (text, "store_writes_waiting", snapshot->store.writes_waiting);
  append_gauge (text, "store_failures_in_a_row", snapshot->store.failures);
  append_nodes (text, snapshot);
  append_upstreams (text, snapshot);
}

void
gs_gauges_accounts_append (GString *text, const json_t *totals)
{
  static const char *const names[]
      = { "open",   "received", "answered", "not_run",
          "failed", "unknown",  "tokens" };
  const char *account;
  json_t *row;

  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    {
      g_string_append_printf (text, "# TYPE garnetstack_account_%s %s\n",
                              names[i], i == 0 ? "gauge" : "counter");
      json_object_foreach ((json_t *)totals, account, row)
          g_string_append_printf (
              text, "garnetstack_account_%s{account=\"%s\"} %lld\n", names[i],
              account,
              (long long)json_integer_value (json_object_get (row, names[i])));
    }
}
