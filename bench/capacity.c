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
#define ENTRIES 2000.0
#define BODY_BYTES 4096.0
#define PROMPT_TOKENS 1024.0
/* Rates and limits of the mechanisms.  */
#define HEADER_BYTES 40.0
#define POLLERS 2.0
#define PUBLICATIONS_PER_SEC 2.0
#define LISTS_PER_SEC 1.0
#define CACHE_BYTES_PER_SEC 8192.0
#define USAGE_BYTES_PER_SEC 4096.0
#define PREFIX_BLOCKS 65536.0
#define DISCOVERY_PER_SEC 100.0
/* Share of the upstreams' capacity that is used at the peak.  */
#define LOAD_AT_PEAK 0.8
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
} page_t;

/* @return the value of the fitted line of a figure at @p n, at least 0.  */
static double
at (page_t *page, const char *role, const char *figure, double n)
{
  gs_fit_t fit = { 0 };
  gs_status_t status = gs_slope_data_fit (&fit, page->data, role, figure);

  if (status != GS_OK)
    page->status = status;
  return MAX (fit.slope * n + fit.intercept, 0);
}

/* @return the value of a figure that was measured at exactly @p n.  */
static double
measured (page_t *page, const char *role, const char *figure, double n)
{
  double value = 0;
  gs_status_t status
      = gs_slope_data_point (&value, page->data, role, figure, n);

  if (status != GS_OK)
    page->status = status;
  return value;
}

/* @return the increase of a figure for one more.  */
static double
slope (page_t *page, const char *role, const char *figure)
{
  return at (page, role, figure, 1) - at (page, role, figure, 0);
}

/* Appends a row of the table of roles.
   @param cpu_usec per second
   @param memory in bytes
   @param wire bytes sent per second  */
static void
row (page_t *page, const char *role, const char *state, const char *messages,
     double cpu_usec, double memory, double wire, const char *basis,
     const char *mechanism)
{
  g_string_append_printf (
      page->out,
      "| %s | %s | %s | %.3f %% | %.2f MB | %.1f KB/s | %s | %s |\n", role,
      state, messages, cpu_usec / 1e4, memory / 1048576, wire / 1e3, basis,
      mechanism);
}

/* Appends a row and adds its figures to the sums of control work.  */
static void
control_row (page_t *page, const char *role, const char *state,
             const char *messages, double cpu_usec, double memory, double wire,
             const char *basis, const char *mechanism)
{
  page->cpu_usec += cpu_usec;
  page->memory += memory;
  page->wire += wire;
  row (page, role, state, messages, cpu_usec, memory, wire, basis, mechanism);
}

static void
append_control (page_t *page)
{
  double region_upstreams = UPSTREAMS / REGIONS;
  double changes = CHANGES_PER_DAY / DAY_SEC;
  double publication = at (page, "snapshot_nodes", "usec", NODES)
                       + at (page, "snapshot_upstreams", "usec", UPSTREAMS);
  double text = at (page, "catalogue_entries", "wire", ENTRIES);

  control_row (page, "control thread", "snapshot of nodes and upstreams",
               "2 publications/s", PUBLICATIONS_PER_SEC * publication,
               2
                   * (at (page, "snapshot_nodes", "memory", NODES)
                      + at (page, "snapshot_upstreams", "memory", UPSTREAMS)),
               0, "computed from measured slopes",
               "one snapshot published by epoch reclamation");
  control_row (page, "peer and control threads as they run",
               "connections to the nodes of the region",
               "heartbeats both ways, ticks",
               measured (page, "idle_fleet", "control_usec", REGION_NODES)
                   + measured (page, "idle_fleet", "peer_usec", REGION_NODES),
               0, 0, "measured with 123 real nodes on one machine",
               "one thread for control, one for peers");
  control_row (page, "configuration", "one catalogue of 2,000 entries",
               "1,100 changes/day",
               changes * at (page, "catalogue_entries", "usec", ENTRIES),
               2 * at (page, "catalogue_entries", "memory", ENTRIES),
               changes * text, "computed from measured slopes",
               "two watchers a region, pull by digest among peers");
  control_row (page, "membership", "table of VMs",
               "heartbeats with loads, in its region",
               2 * measured (page, "control_fleet", "frames_s", NODES)
                       * slope (page, "heartbeats", "usec")
                   + LISTS_PER_SEC * at (page, "vm_list", "usec", UPSTREAMS),
               at (page, "vm_list", "memory", UPSTREAMS),
               measured (page, "control_fleet", "wire_bytes_s", NODES),
               "measured in virtual time, headers of TCP and IP included",
               "mesh within a region, interval grows with the peers");
  control_row (page, "upstream poller", "load of the region's upstreams",
               "6 polls/s, passed on with the heartbeats",
               at (page, "load_digests", "usec", region_upstreams * POLLERS),
               0, 0, "computed from measured slopes",
               "two pollers an upstream by rendezvous");
  control_row (page, "prefix knowledge", "65,536 known blocks a worker",
               "cache events, capped",
               CACHE_BYTES_PER_SEC / 10
                   * slope (page, "prefix_blocks", "usec"),
               at (page, "prefix_blocks", "memory", PREFIX_BLOCKS),
               CACHE_BYTES_PER_SEC, "bound of the mechanism",
               "events passed on under a byte cap, gaps repair by age");
  control_row (page, "placement and leases",
               "one pool of a region's upstreams",
               "a tick a second, 0.2 lease writes/s a pool",
               at (page, "placement", "usec", region_upstreams), 0, 0,
               "computed from measured slopes",
               "one holder a pool, by a lease with a fencing number");
  control_row (page, "operators' client", "none",
               "1,100 edits/day, all taken by one node",
               changes * at (page, "catalogue_edit", "usec", ENTRIES), 0, 0,
               "computed from measured slopes",
               "edits merge on the node that takes them");
  control_row (page, "limits", "usage of accounts", "2 rounds/s, capped", 0, 0,
               USAGE_BYTES_PER_SEC, "bound of the mechanism",
               "usage told to peers under a byte cap");
}

static void
append_traffic (page_t *page)
{
  double requests = REQUESTS_PER_SEC / NODES;
  double tokens = TOKENS_PER_SEC / NODES;
  double per_request = TOKENS_PER_SEC / REQUESTS_PER_SEC;
  double in_flight = requests * per_request * TOKEN_INTERVAL_SEC;

  row (page, "entry node traffic", "94 requests in flight",
       "4.9 requests/s, 2,189 tokens/s",
       tokens * slope (page, "node_tokens", "usec")
           + slope (page, "requests_open", "usec") * in_flight * 100,
       in_flight * slope (page, "requests_open", "memory"),
       tokens * slope (page, "node_tokens", "wire"),
       "computed from measured slopes", "one traffic thread, streamed tokens");
  row (page, "discovery", "picture of the nodes", "100 answers/s (assumed)",
       DISCOVERY_PER_SEC * at (page, "discovery", "usec", NODES), 0, 0,
       "computed from measured slopes",
       "two data centres first, shares of accounts");
  row (page, "routing", "replicas and their load", "4.9 decisions/s",
       requests * at (page, "router_upstreams", "usec", UPSTREAMS),
       at (page, "router_upstreams", "memory", UPSTREAMS), 0,
       "computed from measured slopes",
       "bounded candidates from a dense table");
  row (page, "backup of requests", "94 copies for another node",
       "4.9 copies/s each way",
       requests * 2 * at (page, "backup_bytes", "usec", BODY_BYTES),
       in_flight * slope (page, "backup_records", "memory"),
       requests
           * (at (page, "backup_bytes", "wire", BODY_BYTES) + HEADER_BYTES),
       "computed from measured slopes",
       "one copy in memory at a node of another data centre");
  row (page, "hand-over of a leaving node", "its open requests",
       "94 records, 590 times a day",
       REPLACEMENTS_PER_DAY / DAY_SEC / NODES
           * at (page, "handover", "usec", in_flight),
       0,
       REPLACEMENTS_PER_DAY / DAY_SEC / NODES
           * at (page, "handover", "wire", in_flight),
       "computed from measured slopes", "whole records to the backup");
}

static const struct
{
  const char *role;
  const char *of; /* unit of the variable and operation measured */
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
append_slope (page_t *page, const char *role, const char *of)
{
  gs_fit_t usec = { 0 };
  gs_fit_t instructions = { 0 };
  gs_fit_t memory = { 0 };

  if (gs_slope_data_fit (&usec, page->data, role, "usec") != GS_OK
      || gs_slope_data_fit (&instructions, page->data, role, "instructions")
             != GS_OK
      || gs_slope_data_fit (&memory, page->data, role, "memory") != GS_OK)
    page->status = GS_ENOTFOUND;
  g_string_append_printf (
      page->out, "| %s | %.4f | %.1f %% | %.1f | %.1f %% | %.0f |\n", of,
      usec.slope, usec.residual * 100, instructions.slope,
      instructions.residual * 100, memory.slope);
}

/* Appends the slopes that the other tables are computed from.  */
static void
append_slopes (page_t *page)
{
  g_string_append (
      page->out,
      "\nSlopes, by least squares over six sizes each (measured):\n\n"
      "| one more | microseconds | residual | instructions | residual | bytes "
      "held |\n|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (slopes_shown); i++)
    append_slope (page, slopes_shown[i].role, slopes_shown[i].of);
}

/* Appends the calls of the whole fleet to the platform in steady state.  */
static void
append_store (page_t *page)
{
  g_string_append_printf (
      page->out,
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
      measured (page, "control_fleet", "store_s", NODES),
      measured (page, "control_fleet", "list_s", NODES),
      measured (page, "control_fleet", "upstream_s", NODES));
}

static void
append_sums (page_t *page)
{
  g_string_append_printf (
      page->out,
      "\nSum of control on a node, against its budget:\n\n"
      "| | sum | budget | |\n|---|---|---|---|\n"
      "| processor | %.3f %% of a core | 2 %% | %s |\n"
      "| memory | %.2f MB and %.2f MB of the idle process | 64 MB | %s |\n"
      "| network | %.1f KB/s | 27 KB/s | %s |\n",
      page->cpu_usec / 1e4,
      page->cpu_usec <= CPU_BUDGET_USEC ? "kept" : "exceeded",
      page->memory / 1048576, at (page, "node_tokens", "memory", 0) / 1048576,
      page->memory + at (page, "node_tokens", "memory", 0)
              <= MEMORY_BUDGET_BYTES
          ? "kept"
          : "exceeded",
      page->wire / 1e3, page->wire <= WIRE_BUDGET_BYTES ? "kept" : "exceeded");
}

/* Appends a row of the failure table.
   @param answers number of answers that continue on another replica
   @param computed share of these answers whose prompt and text are recomputed
   @param capacity share of the upstreams that remains  */
static void
failure_row (page_t *page, const char *name, const char *messages,
             double answers, double computed, double capacity)
{
  double per_request = TOKENS_PER_SEC / REQUESTS_PER_SEC;
  double tokens = answers * computed * (PROMPT_TOKENS + per_request / 2);
  double refused = REQUESTS_PER_SEC * MAX (1 - capacity / LOAD_AT_PEAK, 0);

  g_string_append_printf (page->out,
                          "| %s | %.0f %s | %.2f | %.1f | %.0f | %.1f |\n",
                          name, answers, messages, tokens / 1e6,
                          tokens / PREFILL_TOKENS_PER_SEC / 3600.0, refused,
                          answers * slope (page, "handover", "wire") / 1e6);
}

static void
append_failures (page_t *page)
{
  double per_request = TOKENS_PER_SEC / REQUESTS_PER_SEC;
  double in_flight = REQUESTS_PER_SEC * per_request * TOKEN_INTERVAL_SEC;
  double of_node = in_flight / NODES;

  g_string_append (
      page->out,
      "\nFailures at the peak, computed; replica hours at the price of the "
      "replicas that take the work:\n\n"
      "| failure | messages | million tokens computed again, at most | "
      "replica "
      "hours for them | requests refused a second until replaced | MB between "
      "nodes |\n|---|---|---|---|---|---|\n");
  failure_row (page, "a data centre's nodes and upstreams at once",
               "takeovers", in_flight / DATA_CENTRES, 1, 1 - 1 / DATA_CENTRES);
  failure_row (page, "75 % of the upstreams in one announced wave",
               "answers go on elsewhere", in_flight * 0.75, 1, 0.25);
  failure_row (page, "one node replaced with notice", "records handed over",
               of_node, 0, 1);
  failure_row (page, "590 nodes replaced, a day's", "records handed over",
               of_node * REPLACEMENTS_PER_DAY, 0, 1);
}

gs_status_t
gs_capacity_append (GString *out, const gs_slope_data_t *data)
{
  page_t page = { .out = out, .data = data, .status = GS_OK };

  g_string_append (out, "| role | state | messages | processor | memory | "
                        "network | basis | carried by |\n"
                        "|---|---|---|---|---|---|---|---|\n");
  append_control (&page);
  append_traffic (&page);
  append_store (&page);
  append_sums (&page);
  append_failures (&page);
  append_slopes (&page);
  return page.status;
}
