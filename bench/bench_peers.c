#include "bench.h"
#include "peers_world.h"

#include <stdio.h>
#include <stdlib.h>

#define SETTLE_TIME (4 * GS_SEC)
#define MEASURED_TIME (10 * GS_SEC)
#define STEP (20 * GS_MSEC)
#define DEATHS 3
#define WAIT_MAX (30 * GS_SEC)
#define REPLICAS_PER_NODE 1.5
/* One replica of so many names a limit in its answers.  */
#define REPLICAS_PER_LIMIT 10
#define ACCOUNTS 40
/* Streams that begin at a node in a second, and how long their callers wait.
 */
#define STREAMS_PER_SEC 5
#define STREAM_TIME_MSEC 15000
/* Requests that a node has at replicas at one time.  */
#define IN_FLIGHT 12

static const unsigned default_sizes[] = { 5, 30, 118, 372 };

static void
fill_report (peers_world_t *world, unsigned node, unsigned nodes)
{
  traffic_report_t *report = peers_world_report (world, node);
  unsigned replicas = (unsigned)(nodes * REPLICAS_PER_NODE) + 1;

  for (unsigned i = 0; i < IN_FLIGHT; i++)
    {
      placer_load_t load = { .in_flight = 1,
                             .backlog_tokens = 500 * i,
                             .reserved_tokens = 12000 };

      g_snprintf (load.replica, sizeof load.replica, "i-%08x",
                  (node * 31 + i * 7) % replicas);
      g_array_append_val (report->loads, load);
    }
  for (unsigned i = 0; i < ACCOUNTS; i++)
    {
      quota_row_t quota = { .account = i * UINT64_C (0x9e3779b97f4a7c15),
                            .nodes = 1,
                            .used = 20000,
                            .held = 20000,
                            .demand = 9000,
                            .tells_demand = 1 };

      g_array_append_val (report->quota, quota);
      for (int64_t window = 0; window < TRAFFIC_USAGE_WINDOWS; window++)
        {
          traffic_usage_t usage
              = { .window = 350000000 + window, .requests = 40 };

          g_snprintf (usage.account, sizeof usage.account, "acct%04u", i);
          g_array_append_val (report->usage, usage);
        }
    }
}

static double
share_that_knows (peers_world_t *world, unsigned nodes, unsigned other)
{
  unsigned known = 0;

  for (unsigned node = 0; node < nodes; node++)
    if (node != other)
      known += peers_world_knows_live (world, node, other);
  return (double)known / (nodes - 1);
}

/* @return longest time until nearly all nodes knew of the death of a node  */
static gs_time_t
measure_deaths (peers_world_t *world, unsigned nodes)
{
  gs_time_t longest = 0;

  for (unsigned node = 0; node < DEATHS; node++)
    {
      gs_time_t start = peers_world_now (world);

      peers_world_kill (world, node);
      while (share_that_knows (world, nodes, node) > 0.01
             && peers_world_now (world) < start + WAIT_MAX)
        peers_world_run (world, STEP);
      longest = MAX (longest, peers_world_now (world) - start);
      peers_world_start (world, node);
      peers_world_run (world, 2 * GS_SEC);
    }
  return longest;
}

/* @return time until all nodes had a revision that one got from the store  */
static gs_time_t
measure_config (peers_world_t *world, unsigned nodes)
{
  gs_time_t start = peers_world_now (world);
  unsigned follower = 0;
  unsigned missing = nodes;

  for (unsigned node = 0; node < nodes; node++)
    if (peers_rank (peers_world_peers (world, node), start) == 0)
      follower = node;
  peers_world_state (world, follower)->config_revision = 9;
  peers_notify_all (peers_world_peers (world, follower), start);
  while (missing > 0 && peers_world_now (world) < start + WAIT_MAX)
    {
      peers_world_run (world, STEP);
      missing = 0;
      for (unsigned node = 0; node < nodes; node++)
        missing += peers_world_state (world, node)->config_revision != 9;
    }
  return peers_world_now (world) - start;
}

/* Bytes a second of the nodes.  */
typedef struct
{
  double mean;
  double most;
  double crossing; /* mean, to other data centres */
} byte_rates_t;

/* Begins the streams of a second at each node.  */
static void
begin_streams (peers_world_t *world, unsigned nodes, uint64_t *last)
{
  for (unsigned node = 0; node < nodes; node++)
    {
      GArray *rows = g_array_new (FALSE, FALSE, sizeof (stream_origin_row_t));

      for (unsigned i = 0; i < STREAMS_PER_SEC; i++)
        {
          stream_origin_row_t row
              = { ++*last * UINT64_C (0x9e3779b97f4a7c15),
                  UINT64_C (0x9e3779b97f4a7c15), STREAM_TIME_MSEC };

          g_array_append_val (rows, row);
        }
      peers_origins_add (peers_world_peers (world, node),
                         peers_world_now (world), rows);
      g_array_unref (rows);
    }
}

/* @param streams number of the last stream; NULL to begin none  */
static void
measure_bytes (peers_world_t *world, unsigned nodes, uint64_t *streams,
               byte_rates_t *out)
{
  gs_time_t end = peers_world_now (world) + MEASURED_TIME;
  uint64_t crossed;

  *out = (byte_rates_t){ 0 };
  for (unsigned node = 0; node < nodes; node++)
    peers_world_bytes_take (world, node, &crossed);
  while (peers_world_now (world) < end)
    {
      if (streams != NULL)
        begin_streams (world, nodes, streams);
      peers_world_run (world, GS_SEC);
    }
  for (unsigned node = 0; node < nodes; node++)
    {
      double rate = (double)peers_world_bytes_take (world, node, &crossed)
                    * GS_SEC / MEASURED_TIME;

      out->mean += rate / nodes;
      out->most = MAX (out->most, rate);
      out->crossing += (double)crossed * GS_SEC / MEASURED_TIME / nodes;
    }
}

static bool
knows_statement (peers_world_t *world, unsigned node, uint64_t replica)
{
  traffic_peers_t *view = peers_view_create (peers_world_peers (world, node),
                                             peers_world_now (world));
  bool known = false;

  for (guint i = 0; i < view->statements->len; i++)
    known
        |= g_array_index (view->statements, statement_t, i).replica == replica;
  traffic_peers_free (view);
  return known;
}

static void
add_statement (peers_world_t *world, unsigned node, uint64_t replica,
               bool leaving)
{
  statement_t statement = { .replica = replica,
                            .leaving = leaving,
                            .limit_micros = leaving ? 0 : 1900000,
                            .stated_at = peers_world_now (world) };

  g_array_append_val (peers_world_report (world, node)->statements, statement);
}

/* @return time until all nodes knew of a replica that one has heard leave  */
static gs_time_t
measure_statement (peers_world_t *world, unsigned nodes)
{
  gs_time_t start = peers_world_now (world);
  unsigned missing = nodes;

  add_statement (world, nodes - 1, UINT64_MAX, true);
  while (missing > 0 && peers_world_now (world) < start + WAIT_MAX)
    {
      peers_world_run (world, STEP);
      missing = 0;
      for (unsigned node = 0; node < nodes; node++)
        missing += !knows_statement (world, node, UINT64_MAX);
    }
  return peers_world_now (world) - start;
}

static void
add_limits (peers_world_t *world, unsigned nodes)
{
  unsigned replicas = (unsigned)(nodes * REPLICAS_PER_NODE) + 1;

  for (unsigned i = 0; i < replicas; i += REPLICAS_PER_LIMIT)
    add_statement (world, i % nodes, (i + 1) * UINT64_C (0x9e3779b97f4a7c15),
                   false);
}

static void
measure_size (unsigned nodes, double loss)
{
  peers_world_options_t options = PEERS_WORLD_OPTIONS_INIT;
  byte_rates_t rates;
  byte_rates_t limited;
  byte_rates_t streaming;
  uint64_t streams = 0;
  peers_world_t *world;

  options.nodes = nodes;
  options.data_centres = nodes > 40 ? 6 : 4;
  options.loss = loss;
  options.seed = nodes;
  peers_world_create (&world, &options);
  for (unsigned node = 0; node < nodes; node++)
    fill_report (world, node, nodes);
  peers_world_run (world, SETTLE_TIME);
  measure_bytes (world, nodes, NULL, &rates);
  printf ("%5u  %4.1f%%  %9.1f  %9.1f  %9.1f", nodes, 100 * loss,
          rates.mean / 1e3, rates.most / 1e3, rates.crossing / 1e3);
  printf ("  %8lld", (long long)(measure_config (world, nodes) / GS_MSEC));
  printf ("  %8lld", (long long)(measure_deaths (world, nodes) / GS_MSEC));
  printf ("  %8lld", (long long)(measure_statement (world, nodes) / GS_MSEC));
  add_limits (world, nodes);
  peers_world_run (world, SETTLE_TIME);
  measure_bytes (world, nodes, NULL, &limited);
  printf ("  %9.1f", limited.mean / 1e3);
  measure_bytes (world, nodes, &streams, &streaming);
  printf ("  %9.1f  %9.1f\n", streaming.mean / 1e3, streaming.most / 1e3);
  peers_world_destroy (world);
}

int
bench_peers (int argc, char **argv)
{
  double loss = argc > 2 ? g_ascii_strtod (argv[2], NULL) : 0;

  if (argc > 1
      && (atoi (argv[1]) < 2 || atoi (argv[1]) > PEERS_WORLD_NODES_MAX))
    {
      fprintf (stderr, "gs_bench peers: NODES must be 2 to %u\n",
               PEERS_WORLD_NODES_MAX);
      return 2;
    }
  if (loss < 0 || loss >= 1)
    {
      fprintf (stderr,
               "gs_bench peers: LOSS must be at least 0 and below 1\n");
      return 2;
    }
  printf ("nodes   loss  kB/s mean   kB/s max  kB/s to other data centres"
          "  config ms  death ms  leaving ms  kB/s with limits"
          "  kB/s with streams  kB/s with streams max\n");
  if (argc > 1)
    measure_size ((unsigned)atoi (argv[1]), loss);
  else
    for (size_t i = 0; i < G_N_ELEMENTS (default_sizes); i++)
      measure_size (default_sizes[i], loss);
  return 0;
}
