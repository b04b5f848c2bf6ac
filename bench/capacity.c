#include "capacity.h"

/* Size of the fleet and its traffic at the peak.  */
#define NODES 370.0
#define UPSTREAMS 1100.0
#define REGIONS 3.0
#define DATA_CENTRES 9.0
/* NODES / REGIONS, rounded down.  */
#define REGION_NODES 123.0
#define REQUESTS_PER_SEC 1800.0
#define TOKENS_PER_SEC 810000.0
#define CHANGES_PER_DAY 1100.0
#define REPLACEMENTS_PER_DAY 590.0
#define TOKEN_INTERVAL_SEC 0.043
#define DAY_SEC 86400.0
/* Budgets of control work on a node; processor time and bytes sent are per
   second.  */
#define CPU_BUDGET_USEC 20000.0
#define MEMORY_BUDGET_BYTES (64.0 * 1048576)
#define WIRE_BUDGET_BYTES 27000.0
/* Assumed sizes of the catalogue, of a request body and of a prompt.  */
#define CATALOGUE_ENTRIES 2000.0
#define BODY_BYTES 4096.0
#define PROMPT_TOKENS 1024.0
/* Rates and limits of the mechanisms.  */
#define HEADER_BYTES 40.0
#define POLLERS_PER_UPSTREAM 2.0
#define SNAPSHOTS_PER_SEC 2.0
#define VM_LISTS_PER_SEC 1.0
#define CACHE_BYTES_PER_SEC 8192.0
#define USAGE_BYTES_PER_SEC 4096.0
#define PREFIX_BLOCKS 65536.0
#define DISCOVERY_ANSWERS_PER_SEC 100.0
/* Share of the upstreams' capacity that is used at the peak.  */
#define PEAK_LOAD_RATIO 0.8
/* Of one replica; the router assumes this rate until it has observations.  */
#define PREFILL_TOKENS_PER_SEC 8000.0

typedef struct
{
  GString *out;
  const gs_slope_data_t *data;
  gs_status_t status; /* GS_ENOTFOUND when the data lacks a role */
  /* Sums of control work on a node; time and bytes sent are per second.  */
  double cpu_usec;
  double memory;
  double wire;
} capacity_tables_t;

/* @return the value of the fitted line of a figure at @p n, at least 0.  */
static double
fitted (capacity_tables_t *tables, const char *role, const char *figure,
        double n)
{
  gs_fit_t fit = { 0 };
  gs_status_t status = gs_slope_data_fit (&fit, tables->data, role, figure);

  if (status != GS_OK)
    tables->status = status;
  return MAX (fit.slope * n + fit.intercept, 0);
}

/* @return the value of a figure that was measured at exactly @p n.  */
static double
measured (capacity_tables_t *tables, const char *role, const char *figure,
          double n)
{
  double value = 0;
  gs_status_t status
      = gs_slope_data_point (&value, tables->data, role, figure, n);

  if (status != GS_OK)
    tables->status = status;
  return value;
}

/* @return the increase of a figure for one more.  */
static double
slope (capacity_tables_t *tables, const char *role, const char *figure)
{
  return fitted (tables, role, figure, 1) - fitted (tables, role, figure, 0);
}

/* Appends a row of the table of roles.
   @param cpu_usec per second
   @param memory in bytes
   @param wire bytes sent per second  */
static void
append_row (capacity_tables_t *tables, const char *role, const char *state,
            const char *messages, double cpu_usec, double memory, double wire,
            const char *basis, const char *mechanism)
{
  g_string_append_printf (
      tables->out,
      "| %s | %s | %s | %.3f %% | %.2f MB | %.1f KB/s | %s | %s |\n", role,
      state, messages, cpu_usec / 1e4, memory / 1048576, wire / 1e3, basis,
      mechanism);
}

/* Appends a row and adds its figures to the sums of control work.  */
static void
append_control_row (capacity_tables_t *tables, const char *role,
                    const char *state, const char *messages, double cpu_usec,
                    double memory, double wire, const char *basis,
                    const char *mechanism)
{
  tables->cpu_usec += cpu_usec;
  tables->memory += memory;
  tables->wire += wire;
  append_row (tables, role, state, messages, cpu_usec, memory, wire, basis,
              mechanism);
}

static void
append_control (capacity_tables_t *tables)
{
  double region_upstreams = UPSTREAMS / REGIONS;
  double changes = CHANGES_PER_DAY / DAY_SEC;
  double publication
      = fitted (tables, "snapshot_nodes", "usec", NODES)
        + fitted (tables, "snapshot_upstreams", "usec", UPSTREAMS);
  double catalogue_bytes
      = fitted (tables, "catalogue_entries", "wire", CATALOGUE_ENTRIES);

  append_control_row (
      tables, "control thread", "snapshot of nodes and upstreams",
      "2 publications/s", SNAPSHOTS_PER_SEC * publication,
      2
          * (fitted (tables, "snapshot_nodes", "memory", NODES)
             + fitted (tables, "snapshot_upstreams", "memory", UPSTREAMS)),
      0, "computed from measured slopes",
      "one snapshot published by epoch reclamation");
  append_control_row (
      tables, "peer and control threads as they run",
      "connections to the nodes of the region", "heartbeats both ways, ticks",
      measured (tables, "idle_fleet", "control_usec", REGION_NODES)
          + measured (tables, "idle_fleet", "peer_usec", REGION_NODES),
      0, 0, "measured with 123 real nodes on one machine",
      "one thread for control, one for peers");
  append_control_row (
      tables, "configuration", "one catalogue of 2,000 entries",
      "1,100 changes/day",
      changes
          * fitted (tables, "catalogue_entries", "usec", CATALOGUE_ENTRIES),
      2 * fitted (tables, "catalogue_entries", "memory", CATALOGUE_ENTRIES),
      changes * catalogue_bytes, "computed from measured slopes",
      "two watchers a region, pull by digest among peers");
  append_control_row (
      tables, "membership", "table of VMs",
      "heartbeats with loads, in its region",
      2 * measured (tables, "control_fleet", "frames_s", NODES)
              * slope (tables, "heartbeats", "usec")
          + VM_LISTS_PER_SEC * fitted (tables, "vm_list", "usec", UPSTREAMS),
      fitted (tables, "vm_list", "memory", UPSTREAMS),
      measured (tables, "control_fleet", "wire_bytes_s", NODES),
      "measured in virtual time, headers of TCP and IP included",
      "mesh within a region, interval grows with the peers");
  append_control_row (tables, "upstream poller",
                      "load of the region's upstreams",
                      "6 polls/s, passed on with the heartbeats",
                      fitted (tables, "load_digests", "usec",
                              region_upstreams * POLLERS_PER_UPSTREAM),
                      0, 0, "computed from measured slopes",
                      "two pollers an upstream by rendezvous");
  append_control_row (
      tables, "prefix knowledge", "65,536 known blocks a worker",
      "cache events, capped",
      CACHE_BYTES_PER_SEC / 10 * slope (tables, "prefix_blocks", "usec"),
      fitted (tables, "prefix_blocks", "memory", PREFIX_BLOCKS),
      CACHE_BYTES_PER_SEC, "bound of the mechanism",
      "events passed on under a byte cap, gaps repair by age");
  append_control_row (tables, "placement and leases",
                      "one pool of a region's upstreams",
                      "a tick a second, 0.2 lease writes/s a pool",
                      fitted (tables, "placement", "usec", region_upstreams),
                      0, 0, "computed from measured slopes",
                      "one holder a pool, by a lease with a fencing number");
  append_control_row (
      tables, "operators' client", "none",
      "1,100 edits/day, all taken by one node",
      changes * fitted (tables, "catalogue_edit", "usec", CATALOGUE_ENTRIES),
      0, 0, "computed from measured slopes",
      "edits merge on the node that takes them");
  append_control_row (tables, "limits", "usage of accounts",
                      "2 rounds/s, capped", 0, 0, USAGE_BYTES_PER_SEC,
                      "bound of the mechanism",
                      "usage told to peers under a byte cap");
}

static void
append_traffic (capacity_tables_t *tables)
{
  double requests = REQUESTS_PER_SEC / NODES;
  double tokens = TOKENS_PER_SEC / NODES;
  double tokens_per_request = TOKENS_PER_SEC / REQUESTS_PER_SEC;
  double in_flight = requests * tokens_per_request * TOKEN_INTERVAL_SEC;

  append_row (tables, "entry node traffic", "94 requests in flight",
              "4.9 requests/s, 2,189 tokens/s",
              tokens * slope (tables, "node_tokens", "usec")
                  + slope (tables, "requests_open", "usec") * in_flight * 100,
              in_flight * slope (tables, "requests_open", "memory"),
              tokens * slope (tables, "node_tokens", "wire"),
              "computed from measured slopes",
              "one traffic thread, streamed tokens");
  append_row (
      tables, "discovery", "picture of the nodes", "100 answers/s (assumed)",
      DISCOVERY_ANSWERS_PER_SEC * fitted (tables, "discovery", "usec", NODES),
      0, 0, "computed from measured slopes",
      "two data centres first, shares of accounts");
  append_row (tables, "routing", "replicas and their load", "4.9 decisions/s",
              requests
                  * fitted (tables, "router_upstreams", "usec", UPSTREAMS),
              fitted (tables, "router_upstreams", "memory", UPSTREAMS), 0,
              "computed from measured slopes",
              "bounded candidates from a dense table");
  append_row (tables, "backup of requests", "94 copies for another node",
              "4.9 copies/s each way",
              requests * 2
                  * fitted (tables, "backup_bytes", "usec", BODY_BYTES),
              in_flight * slope (tables, "backup_records", "memory"),
              requests
                  * (fitted (tables, "backup_bytes", "wire", BODY_BYTES)
                     + HEADER_BYTES),
              "computed from measured slopes",
              "one copy in memory at a node of another data centre");
  append_row (tables, "hand-over of a leaving node", "its open requests",
              "94 records, 590 times a day",
              REPLACEMENTS_PER_DAY / DAY_SEC / NODES
                  * fitted (tables, "handover", "usec", in_flight),
              0,
              REPLACEMENTS_PER_DAY / DAY_SEC / NODES
                  * fitted (tables, "handover", "wire", in_flight),
              "computed from measured slopes", "whole records to the backup");
}

static const struct
{
  const char *role;
  const char *unit; /* unit of the variable and operation measured */
} slopes_shown[] = {
  { "snapshot_nodes", "node, a publication" },
  { "snapshot_upstreams", "upstream, a publication" },
  { "catalogue_entries", "entry, an adoption" },
  { "catalogue_edit", "entry, an edit" },
  { "heartbeats", "heartbeat, both ways" },
  { "load_digests", "upstream, a digest" },
  { "vm_list", "upstream, a list" },
  { "placement", "replica, a tick" },
  { "discovery", "node, an answer" },
  { "router_upstreams", "upstream, a decision" },
  { "requests_open", "request in flight, a tick" },
  { "core_tokens", "token in the core" },
  { "backup_records", "copy taken" },
  { "backup_bytes", "byte of a body, a copy" },
  { "handover", "request handed over" },
  { "prefix_blocks", "block noted" },
};

static void
append_slope (capacity_tables_t *tables, const char *role, const char *unit)
{
  gs_fit_t usec = { 0 };
  gs_fit_t instructions = { 0 };
  gs_fit_t memory = { 0 };

  if (gs_slope_data_fit (&usec, tables->data, role, "usec") != GS_OK
      || gs_slope_data_fit (&instructions, tables->data, role, "instructions")
             != GS_OK
      || gs_slope_data_fit (&memory, tables->data, role, "memory") != GS_OK)
    tables->status = GS_ENOTFOUND;
  g_string_append_printf (
      tables->out, "| %s | %.4f | %.1f %% | %.1f | %.1f %% | %.0f |\n", unit,
      usec.slope, usec.residual * 100, instructions.slope,
      instructions.residual * 100, memory.slope);
}

/* Appends the slopes that the other tables are computed from.  */
static void
append_slopes (capacity_tables_t *tables)
{
  g_string_append (
      tables->out,
      "\nSlopes, by least squares over six sizes each (measured):\n\n"
      "| one more | microseconds | residual | instructions | residual | bytes "
      "held |\n|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (slopes_shown); i++)
    append_slope (tables, slopes_shown[i].role, slopes_shown[i].unit);
}

/* Appends the calls of the whole fleet to the platform in steady state.  */
static void
append_store (capacity_tables_t *tables)
{
  g_string_append_printf (
      tables->out,
      "\nCalls of the whole fleet at rest, a second:\n\n"
      "| outside service | calls | budget | basis | carried by |\n"
      "|---|---|---|---|---|\n"
      "| object API, reads and watches | %.1f | 100 | measured in virtual "
      "time | two watchers a region |\n"
      "| VM list | %.1f | - | measured in virtual time | two "
      "readers a region, changes passed on |\n"
      "| engines, load | %.0f | - | measured in virtual time | "
      "two pollers an upstream |\n"
      "| cloud API, notices | 1.2 | - | computed: one wait of 5 s at a time "
      "by "
      "two watchers a region | notices passed on by broadcast |\n"
      "| cloud API, creations | 0.007 | - | computed: 590 a day | holder of "
      "the "
      "pool, by token |\n"
      "| weight store | 0.007 | its rate | computed: one question a replaced "
      "VM | asked before an order that loads |\n"
      "| object API, leases | 0.2 writes a pool and region | 10 writes | "
      "bound "
      "of the mechanism | one holder a pool and region |\n"
      "| object API, claims of calls that may not be repeated | at most one "
      "write a call | several hundred in all | bound of the mechanism | one "
      "conditional create a call |\n",
      measured (tables, "control_fleet", "store_s", NODES),
      measured (tables, "control_fleet", "list_s", NODES),
      measured (tables, "control_fleet", "upstream_s", NODES));
}

static void
append_sums (capacity_tables_t *tables)
{
  g_string_append_printf (
      tables->out,
      "\nSum of control on a node, against its budget:\n\n"
      "| | sum | budget | |\n|---|---|---|---|\n"
      "| processor | %.3f %% of a core | 2 %% | %s |\n"
      "| memory | %.2f MB and %.2f MB of the idle process | 64 MB | %s |\n"
      "| network | %.1f KB/s | 27 KB/s | %s |\n",
      tables->cpu_usec / 1e4,
      tables->cpu_usec <= CPU_BUDGET_USEC ? "kept" : "exceeded",
      tables->memory / 1048576,
      fitted (tables, "node_tokens", "memory", 0) / 1048576,
      tables->memory + fitted (tables, "node_tokens", "memory", 0)
              <= MEMORY_BUDGET_BYTES
          ? "kept"
          : "exceeded",
      tables->wire / 1e3,
      tables->wire <= WIRE_BUDGET_BYTES ? "kept" : "exceeded");
}

/* Appends a row of the failure table.
   @param answers number of answers that continue on another replica
   @param recomputed_share share of these answers whose prompt and text are
   recomputed
   @param remaining_share share of the upstreams that remains  */
static void
append_failure_row (capacity_tables_t *tables, const char *name,
                    const char *messages, double answers,
                    double recomputed_share, double remaining_share)
{
  double tokens_per_request = TOKENS_PER_SEC / REQUESTS_PER_SEC;
  double tokens
      = answers * recomputed_share * (PROMPT_TOKENS + tokens_per_request / 2);
  double rejected_per_sec
      = REQUESTS_PER_SEC * MAX (1 - remaining_share / PEAK_LOAD_RATIO, 0);

  g_string_append_printf (
      tables->out, "| %s | %.0f %s | %.2f | %.1f | %.0f | %.1f |\n", name,
      answers, messages, tokens / 1e6,
      tokens / PREFILL_TOKENS_PER_SEC / 3600.0, rejected_per_sec,
      answers * slope (tables, "handover", "wire") / 1e6);
}

static void
append_failures (capacity_tables_t *tables)
{
  double tokens_per_request = TOKENS_PER_SEC / REQUESTS_PER_SEC;
  double in_flight
      = REQUESTS_PER_SEC * tokens_per_request * TOKEN_INTERVAL_SEC;
  double in_flight_per_node = in_flight / NODES;

  g_string_append (
      tables->out,
      "\nFailures at the peak, computed; replica hours at the price of the "
      "replicas that take the work:\n\n"
      "| failure | messages | million tokens computed again, at most | "
      "replica "
      "hours for them | requests refused a second until replaced | MB between "
      "nodes |\n|---|---|---|---|---|---|\n");
  append_failure_row (tables, "a data centre's nodes and upstreams at once",
                      "takeovers", in_flight / DATA_CENTRES, 1,
                      1 - 1 / DATA_CENTRES);
  append_failure_row (tables, "75 % of the upstreams in one announced wave",
                      "answers go on elsewhere", in_flight * 0.75, 1, 0.25);
  append_failure_row (tables, "one node replaced with notice",
                      "records handed over", in_flight_per_node, 0, 1);
  append_failure_row (tables, "590 nodes replaced, a day's",
                      "records handed over",
                      in_flight_per_node * REPLACEMENTS_PER_DAY, 0, 1);
}

gs_status_t
gs_capacity_append (GString *out, const gs_slope_data_t *data)
{
  capacity_tables_t tables = { .out = out, .data = data, .status = GS_OK };

  g_string_append (out, "| role | state | messages | processor | memory | "
                        "network | basis | carried by |\n"
                        "|---|---|---|---|---|---|---|---|\n");
  append_control (&tables);
  append_traffic (&tables);
  append_store (&tables);
  append_sums (&tables);
  append_failures (&tables);
  append_slopes (&tables);
  return tables.status;
}
