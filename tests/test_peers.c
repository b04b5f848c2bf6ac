/* What nodes know of each other, with the exchange between nodes in virtual
   time.  A fleet of hundreds must know as fast as a small one, at the same
   number of bytes a node, and the sums of what the nodes report must count
   each node once.  */

#include "check.h"
#include "peers_world.h"

#include <math.h>
#include <string.h>

/* A death must be known to nearly all nodes, and a configuration to all,
   within these times.  */
#define DEATH_TIME_MAX (2500 * GS_MSEC)
#define CONFIG_TIME_MAX GS_SEC
#define KNOWN_RATIO_MIN 0.99
#define SETTLE_TIME (4 * GS_SEC)
#define STEP (20 * GS_MSEC)

static peers_world_t *
make_world (unsigned nodes, double loss)
{
  peers_world_options_t options = PEERS_WORLD_OPTIONS_INIT;
  peers_world_t *world;

  options.nodes = nodes;
  options.data_centres = nodes > 40 ? 6 : 4;
  options.loss = loss;
  options.seed = nodes;
  peers_world_create (&world, &options);
  return world;
}

static void
add_load (peers_world_t *world, unsigned node, unsigned in_flight)
{
  traffic_report_t *report = peers_world_report (world, node);
  placer_load_t load = { .replica = "i-0", .in_flight = in_flight };
  traffic_demand_t demand
      = { .service = "pool", .requests = in_flight, .in_flight = in_flight };
  traffic_usage_t usage
      = { .account = "a", .window = 7, .requests = in_flight };
  quota_row_t quota
      = { .account = 5, .nodes = 1, .used = in_flight, .held = in_flight };

  g_array_set_size (report->loads, 0);
  g_array_set_size (report->demand, 0);
  g_array_set_size (report->usage, 0);
  g_array_set_size (report->quota, 0);
  g_array_append_val (report->loads, load);
  g_array_append_val (report->demand, demand);
  g_array_append_val (report->usage, usage);
  g_array_append_val (report->quota, quota);
}

static const unsigned sizes[] = { 5, 10, 30, 118 };

/* @return load of the replica "i-0" that other nodes have, as a node sees it,
   and the number of these nodes  */
static unsigned
peer_load (peers_world_t *world, unsigned node, unsigned *nodes)
{
  traffic_peers_t *view = peers_view_create (peers_world_peers (world, node),
                                             peers_world_now (world));
  unsigned sum = 0;

  *nodes = 0;
  for (guint i = 0; i < view->peers->len; i++)
    {
      const traffic_peer_t *peer
          = &g_array_index (view->peers, traffic_peer_t, i);

      *nodes += peer->nodes;
      for (guint j = 0; j < peer->loads->len; j++)
        sum += g_array_index (peer->loads, placer_peer_load_t, j).in_flight;
    }
  traffic_peers_free (view);
  return sum;
}

static void
each_node_sees_the_load_of_all_others_once (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      peers_world_t *world = make_world (sizes[i], 0);
      unsigned total = 0;

      for (unsigned node = 0; node < sizes[i]; node++)
        {
          add_load (world, node, node + 1);
          total += node + 1;
        }
      peers_world_run (world, SETTLE_TIME);
      for (unsigned node = 0; node < sizes[i]; node++)
        {
          unsigned nodes;

          CU_ASSERT_EQUAL (peer_load (world, node, &nodes),
                           total - (node + 1));
          CU_ASSERT_EQUAL (nodes, sizes[i] - 1);
        }
      peers_world_destroy (world);
    }
}

/* Usage and demand are needed by the holder of the duties, which is one of the
   first nodes in the common order.  A process that has ended still counts in
   the usage.  */
static void
the_first_nodes_count_all_processes_once (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      peers_world_t *world = make_world (sizes[i], 0);
      unsigned total = 0;
      unsigned first = 0;

      for (unsigned node = 0; node < sizes[i]; node++)
        {
          add_load (world, node, node + 1);
          total += node + 1;
        }
      peers_world_run (world, SETTLE_TIME);
      peers_world_kill (world, sizes[i] - 1);
      peers_world_run (world, SETTLE_TIME);
      for (unsigned node = 0; node + 1 < sizes[i]; node++)
        {
          peers_t *peers = peers_world_peers (world, node);
          aggregate_t sum;

          if (peers_rank (peers, peers_world_now (world)) >= 3)
            continue;
          first++;
          aggregate_init (&sum);
          peers_fleet_sum (peers, peers_world_now (world), &sum);
          CU_ASSERT_EQUAL_FATAL (sum.usage->len, 1);
          CU_ASSERT_EQUAL (
              g_array_index (sum.usage, traffic_usage_t, 0).requests, total);
          CU_ASSERT_EQUAL_FATAL (sum.demand->len, 1);
          CU_ASSERT_EQUAL (
              g_array_index (sum.demand, traffic_demand_t, 0).requests, total);
          CU_ASSERT_EQUAL (
              g_array_index (sum.demand, traffic_demand_t, 0).in_flight,
              total - sizes[i]);
          aggregate_clear (&sum);
        }
      CU_ASSERT_EQUAL (first, 3);
      peers_world_destroy (world);
    }
}

/* @return share of the other live nodes that count a node as live  */
static double
share_that_knows_live (peers_world_t *world, unsigned nodes, unsigned other)
{
  unsigned known = 0;
  unsigned asked = 0;

  for (unsigned node = 0; node < nodes; node++)
    if (node != other && peers_world_peers (world, node) != NULL)
      {
        asked++;
        known += peers_world_knows_live (world, node, other);
      }
  return (double)known / asked;
}

/* @return time until nearly all nodes know, or do not know, a node as live  */
static gs_time_t
time_until_known (peers_world_t *world, unsigned nodes, unsigned other,
                  bool live)
{
  gs_time_t start = peers_world_now (world);

  while (peers_world_now (world) < start + 20 * GS_SEC)
    {
      double share = share_that_knows_live (world, nodes, other);

      if ((live ? share : 1 - share) >= KNOWN_RATIO_MIN)
        break;
      peers_world_run (world, STEP);
    }
  return peers_world_now (world) - start;
}

static const struct
{
  unsigned nodes;
  double loss;
} death_cases[]
    = { { 5, 0 }, { 30, 0 }, { 118, 0 }, { 118, 0.025 }, { 372, 0.025 } };

static void
deaths_and_starts_are_known_in_time (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (death_cases); i++)
    {
      unsigned nodes = death_cases[i].nodes;
      peers_world_t *world = make_world (nodes, death_cases[i].loss);

      peers_world_run (world, SETTLE_TIME);
      /* Neighbouring numbers are in different data centres, so all roles
         occur.  */
      for (unsigned node = 0; node < 5; node++)
        {
          peers_world_kill (world, node);
          CU_ASSERT (time_until_known (world, nodes, node, false)
                     <= DEATH_TIME_MAX);
          peers_world_start (world, node);
          CU_ASSERT (time_until_known (world, nodes, node, true)
                     <= DEATH_TIME_MAX);
        }
      peers_world_destroy (world);
    }
}

/* @return whether all live nodes have a revision of the configuration  */
static bool
all_have_config (peers_world_t *world, unsigned nodes, uint64_t revision)
{
  for (unsigned node = 0; node < nodes; node++)
    if (peers_world_peers (world, node) != NULL
        && peers_world_state (world, node)->config_revision != revision)
      return false;
  return true;
}

static unsigned
node_of_rank (peers_world_t *world, unsigned nodes, unsigned rank)
{
  for (unsigned node = 0; node < nodes; node++)
    if (peers_rank (peers_world_peers (world, node), peers_world_now (world))
        == rank)
      return node;
  return 0;
}

/* A node that follows the store gets a configuration and notifies the peers
   that it calls.  */
static void
configurations_are_known_in_time (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (death_cases); i++)
    {
      unsigned nodes = death_cases[i].nodes;
      peers_world_t *world = make_world (nodes, 0);
      unsigned follower;
      gs_time_t start;

      peers_world_run (world, SETTLE_TIME);
      follower = node_of_rank (world, nodes, 0);
      for (uint64_t revision = 10; revision < 16; revision++)
        {
          start = peers_world_now (world);
          peers_world_state (world, follower)->config_revision = revision;
          peers_notify_all (peers_world_peers (world, follower), start);
          while (!all_have_config (world, nodes, revision)
                 && peers_world_now (world) < start + 20 * GS_SEC)
            peers_world_run (world, STEP);
          CU_ASSERT (peers_world_now (world) - start <= CONFIG_TIME_MAX);
        }
      peers_world_destroy (world);
    }
}

/* Loss, frozen nodes and cuts of one direction must not make a live node
   count as dead at others for longer than a second.  */
static void
live_nodes_do_not_count_as_dead (void)
{
  enum
  {
    NODES = 118,
    FROZEN = 3,
    STEPS = 500,
    STEPS_FALSE_MAX = (int)(GS_SEC / STEP)
  };
  peers_world_t *world = make_world (NODES, 0.025);
  unsigned streak[NODES] = { 0 };
  unsigned longest = 0;

  peers_world_run (world, SETTLE_TIME);
  for (unsigned step = 0; step < STEPS; step++)
    {
      if (step == 100)
        for (unsigned i = 0; i < FROZEN; i++)
          peers_world_freeze (
              world, i < 2 ? node_of_rank (world, NODES, 2 * i) : 50, true);
      if (step == 250)
        for (unsigned i = 0; i < NODES; i++)
          peers_world_freeze (world, i, false);
      if (step == 300)
        peers_world_cut (world, 60, false, true);
      peers_world_run (world, STEP);
      for (unsigned other = 0; other < NODES; other += 7)
        {
          bool dead = share_that_knows_live (world, NODES, other) < 0.9;

          streak[other] = dead && other != 50 ? streak[other] + 1 : 0;
          longest = MAX (longest, streak[other]);
        }
    }
  CU_ASSERT (longest <= STEPS_FALSE_MAX);
  peers_world_destroy (world);
}

/* All nodes are killed at once and start again.  */
static void
a_restarted_fleet_is_complete_in_time (void)
{
  enum
  {
    NODES = 372
  };
  peers_world_t *world = make_world (NODES, 0.025);
  gs_time_t start;
  unsigned least = 0;

  peers_world_run (world, SETTLE_TIME);
  for (unsigned node = 0; node < NODES; node++)
    peers_world_kill (world, node);
  peers_world_run (world, 2 * GS_SEC);
  for (unsigned node = 0; node < NODES; node++)
    peers_world_start (world, node);
  start = peers_world_now (world);
  while (least < KNOWN_RATIO_MIN * (NODES - 1)
         && peers_world_now (world) < start + 20 * GS_SEC)
    {
      peers_world_run (world, STEP);
      least = NODES;
      for (unsigned node = 0; node < NODES; node++)
        least = MIN (least, peers_live_count (peers_world_peers (world, node),
                                              peers_world_now (world)));
    }
  CU_ASSERT (peers_world_now (world) - start <= 5 * GS_SEC);
  peers_world_destroy (world);
}

/* Callers are told 64 addresses at most.  Whatever node they ask, each address
   must be told by some.  */
static void
all_addresses_are_told_evenly (void)
{
  enum
  {
    NODES = 118,
    MAX_TOLD = 63
  };
  peers_world_t *world = make_world (NODES, 0);
  gs_endpoint_t told[MAX_TOLD];
  gs_endpoint_t again[MAX_TOLD];
  unsigned times[NODES] = { 0 };

  peers_world_run (world, SETTLE_TIME);
  for (unsigned node = 0; node < NODES; node++)
    {
      peers_t *peers = peers_world_peers (world, node);
      gs_time_t now = peers_world_now (world);

      memset (told, 0, sizeof told);
      memset (again, 0, sizeof again);
      CU_ASSERT_EQUAL (peers_live_addresses (peers, now, true, told, MAX_TOLD),
                       MAX_TOLD);
      peers_live_addresses (peers, now, true, again, MAX_TOLD);
      CU_ASSERT_EQUAL (memcmp (told, again, sizeof told), 0);
      for (unsigned i = 0; i < MAX_TOLD; i++)
        times[told[i].port - 7000]++;
    }
  for (unsigned node = 0; node < NODES; node++)
    {
      CU_ASSERT (times[node] >= MAX_TOLD / 2);
      CU_ASSERT (times[node] <= 2 * MAX_TOLD);
    }
  peers_world_destroy (world);
}

/* Time in which a limit that a replica names to one node is known at all.  */
#define STATEMENT_TIMEOUT GS_SEC

static void
a_statement_of_a_replica_reaches_all_nodes (void)
{
  static const unsigned statement_sizes[] = { 2, 5, 10, 30, 118, 372 };

  for (size_t i = 0; i < G_N_ELEMENTS (statement_sizes); i++)
    {
      unsigned count = statement_sizes[i];
      peers_world_t *world = make_world (count, 0);
      statement_t statement = { .replica = 7, .limit_micros = 1900000 };

      peers_world_run (world, SETTLE_TIME);
      statement.stated_at = peers_world_now (world);
      g_array_append_val (peers_world_report (world, count - 1)->statements,
                          statement);
      peers_world_run (world, STATEMENT_TIMEOUT);
      for (unsigned node = 0; node < count; node++)
        {
          traffic_peers_t *view = peers_view_create (
              peers_world_peers (world, node), peers_world_now (world));

          CU_ASSERT_EQUAL (view->nodes->len, count);
          CU_ASSERT_EQUAL (view->statements->len, 1);
          if (view->statements->len > 0)
            CU_ASSERT (
                ABS (g_array_index (view->statements, statement_t, 0).stated_at
                     - statement.stated_at)
                < GS_SEC / 2);
          traffic_peers_free (view);
        }
      peers_world_destroy (world);
    }
}

static void
a_lost_request_is_known_to_all_nodes (void)
{
  static const unsigned loss_sizes[] = { 2, 5, 10, 30, 118, 372 };

  for (size_t i = 0; i < G_N_ELEMENTS (loss_sizes); i++)
    {
      unsigned count = loss_sizes[i];
      peers_world_t *world = make_world (count, 0);
      quarantine_loss_row_t loss
          = { .key = 7, .process = 8, .sent_age_ms = 200, .lost_age_ms = 100 };
      quarantine_rows_t *rows;

      peers_world_run (world, SETTLE_TIME);
      rows = &peers_world_report (world, count - 1)->quarantine;
      rows->made_at = peers_world_now (world);
      g_array_append_val (rows->losses, loss);
      peers_world_run (world, STATEMENT_TIMEOUT);
      for (unsigned node = 0; node < count; node++)
        {
          traffic_peers_t *view = peers_view_create (
              peers_world_peers (world, node), peers_world_now (world));

          CU_ASSERT_EQUAL (view->quarantine.losses->len, 1);
          traffic_peers_free (view);
        }
      peers_world_destroy (world);
    }
}

#define STREAM_TIME (12 * GS_SEC)

static bool
knows_stream (peers_world_t *world, unsigned node, uint64_t stream)
{
  uint64_t version;

  return stream_origins_find (peers_origins (peers_world_peers (world, node)),
                              peers_world_now (world), stream, &version)
         && version == 5;
}

static void
begin_stream (peers_world_t *world, unsigned node, uint64_t stream)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (stream_origin_row_t));
  stream_origin_row_t row = { stream, 5, (uint64_t)(STREAM_TIME / GS_MSEC) };

  g_array_append_val (rows, row);
  peers_origins_add (peers_world_peers (world, node), peers_world_now (world),
                     rows);
  g_array_unref (rows);
}

/* Nodes of a large fleet are not told of all streams, and ask for those that
   their callers resume.  A request waits for 600 ms, of which the way between
   the threads of the node that asks takes a part.  */
#define ANSWER_TIMEOUT (300 * GS_MSEC)

static void
ask_for_streams (peers_world_t *world, unsigned node, unsigned count)
{
  GArray *keys = g_array_new (FALSE, FALSE, sizeof (stream_origin_key_t));

  for (unsigned begun = 0; begun < count; begun++)
    {
      stream_origin_key_t key = { begun + 1 };

      g_array_append_val (keys, key);
    }
  peers_origins_request (peers_world_peers (world, node),
                         peers_world_now (world), keys);
  g_array_unref (keys);
}

/* Also a process that starts after a stream has begun must know it, and the
   node where it began may have ended by then.  */
static void
the_version_that_began_a_stream_is_known_to_all_nodes (void)
{
  static const unsigned origin_sizes[] = { 2, 3, 5, 10, 30, 118, 372 };

  for (size_t i = 0; i < G_N_ELEMENTS (origin_sizes); i++)
    {
      unsigned count = origin_sizes[i];
      peers_world_t *world = make_world (count, 0);
      unsigned missing = 0;

      peers_world_run (world, SETTLE_TIME);
      for (unsigned node = 0; node < count; node++)
        begin_stream (world, node, node + 1);
      peers_world_run (world, STATEMENT_TIMEOUT);
      for (unsigned node = 0; node < count; node++)
        ask_for_streams (world, node, count);
      peers_world_run (world, ANSWER_TIMEOUT);
      for (unsigned node = 0; node < count; node++)
        for (unsigned begun = 0; begun < count; begun++)
          missing += !knows_stream (world, node, begun + 1);
      CU_ASSERT_EQUAL (missing, 0);
      if (count > 2)
        peers_world_kill (world, 1);
      peers_world_kill (world, 0);
      peers_world_run (world, GS_SEC);
      peers_world_start (world, 0);
      peers_world_run (world, 2 * GS_SEC);
      ask_for_streams (world, 0, count);
      peers_world_run (world, ANSWER_TIMEOUT);
      for (unsigned begun = 0; begun < count; begun++)
        missing += !knows_stream (world, 0, begun + 1);
      printf ("\n  %u nodes: %u streams unknown ", count, missing);
      CU_ASSERT_EQUAL (missing, 0);
      peers_world_destroy (world);
    }
}

/* Streams that begin at each node in a second, and for how long.  */
#define BEGUN_PER_SEC 5
#define BEGUN_SECONDS 10
/* Largest encoding of a stream: an array of three numbers.  */
#define ORIGIN_ROW_BYTES_MAX 28

static int
compare_bytes (gconstpointer a, gconstpointer b)
{
  const uint64_t *left = a;
  const uint64_t *right = b;

  return (*left > *right) - (*left < *right);
}

/* @return median of the bytes that a node sends and receives  */
static uint64_t
run_with_streams (peers_world_t *world, unsigned count, bool begun)
{
  GArray *bytes = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  uint64_t crossing;
  uint64_t median;

  for (unsigned node = 0; node < count; node++)
    peers_world_bytes_take (world, node, &crossing);
  for (unsigned second = 0; second < BEGUN_SECONDS; second++)
    {
      for (unsigned i = 0; begun && i < count * BEGUN_PER_SEC; i++)
        begin_stream (world, i % count,
                      (second * count * BEGUN_PER_SEC + i + 1)
                          * UINT64_C (0x9e3779b97f4a7c15));
      peers_world_run (world, GS_SEC);
    }
  for (unsigned node = 0; node < count; node++)
    {
      uint64_t sum = peers_world_bytes_take (world, node, &crossing);

      g_array_append_val (bytes, sum);
    }
  g_array_sort (bytes, compare_bytes);
  median = g_array_index (bytes, uint64_t, count / 2);
  g_array_unref (bytes);
  return median;
}

/* Guards against nodes whose bytes grow with the streams of the whole fleet:
   all but the aggregators carry their own ones alone, once to each aggregator,
   and numbers that acknowledge them.  */
static void
streams_of_the_fleet_cost_most_nodes_nothing (void)
{
  static const unsigned large_sizes[] = { 118, 372 };

  for (size_t i = 0; i < G_N_ELEMENTS (large_sizes); i++)
    {
      unsigned count = large_sizes[i];
      peers_world_t *world = make_world (count, 0);
      uint64_t without;
      uint64_t with;

      peers_world_run (world, SETTLE_TIME);
      without = run_with_streams (world, count, false);
      with = run_with_streams (world, count, true);
      printf ("\n  %u nodes: %llu bytes a second without, %llu with streams ",
              count, (unsigned long long)without / BEGUN_SECONDS,
              (unsigned long long)with / BEGUN_SECONDS);
      CU_ASSERT (with <= without
                             + (uint64_t)2 * PEERS_AGGREGATORS * BEGUN_PER_SEC
                                   * BEGUN_SECONDS * ORIGIN_ROW_BYTES_MAX);
      peers_world_destroy (world);
    }
}

/* @return nodes that keep streams in the store
   @param unkept receives how many of the streams that began at each node none
   of them keeps  */
static unsigned
count_keepers (peers_world_t *world, unsigned count, unsigned *unkept)
{
  GHashTable *kept
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (stream_origin_row_t));
  unsigned keepers = 0;

  for (unsigned node = 0; node < count; node++)
    {
      const peers_t *peers = peers_world_peers (world, node);
      unsigned sources
          = peers != NULL ? peers_origins_kept (peers, peers_world_now (world))
                          : 0;

      if (sources == 0)
        continue;
      keepers++;
      stream_origins_export (peers_origins (peers), peers_world_now (world), 0,
                             sources, rows);
    }
  for (guint i = 0; i < rows->len; i++)
    g_hash_table_add (
        kept, g_memdup2 (&g_array_index (rows, stream_origin_row_t, i).stream,
                         sizeof (uint64_t)));
  *unkept = count - g_hash_table_size (kept);
  g_array_unref (rows);
  g_hash_table_unref (kept);
  return keepers;
}

/* All nodes of a large fleet would be too many writers for the store; the
   first ones of a data centre may end.  */
static void
streams_are_kept_by_one_node_of_each_data_centre (void)
{
  static const struct
  {
    unsigned nodes;
    unsigned keepers;
  } table[] = { { 5, 5 }, { 10, 10 }, { 30, 4 }, { 118, 6 } };

  for (size_t i = 0; i < G_N_ELEMENTS (table); i++)
    {
      unsigned count = table[i].nodes;
      peers_world_t *world = make_world (count, 0);
      unsigned unkept;

      peers_world_run (world, SETTLE_TIME);
      for (unsigned node = 0; node < count; node++)
        begin_stream (world, node, node + 1);
      peers_world_run (world, STATEMENT_TIMEOUT);
      CU_ASSERT_EQUAL (count_keepers (world, count, &unkept),
                       table[i].keepers);
      CU_ASSERT_EQUAL (unkept, 0);
      peers_world_destroy (world);
    }
}

static const check_case_t cases[] = {
  { "streams are kept by one node of each data centre",
    streams_are_kept_by_one_node_of_each_data_centre },
  { "streams of the fleet cost most nodes nothing",
    streams_of_the_fleet_cost_most_nodes_nothing },
  { "the version that began a stream is known to all nodes",
    the_version_that_began_a_stream_is_known_to_all_nodes },
  { "a lost request is known to all nodes",
    a_lost_request_is_known_to_all_nodes },
  { "a statement of a replica reaches all nodes",
    a_statement_of_a_replica_reaches_all_nodes },
  { "each node sees the load of all others once",
    each_node_sees_the_load_of_all_others_once },
  { "the first nodes count all processes once",
    the_first_nodes_count_all_processes_once },
  { "deaths and starts are known in time",
    deaths_and_starts_are_known_in_time },
  { "configurations are known in time", configurations_are_known_in_time },
  { "live nodes do not count as dead", live_nodes_do_not_count_as_dead },
  { "a restarted fleet is complete in time",
    a_restarted_fleet_is_complete_in_time },
  { "all addresses are told evenly", all_addresses_are_told_evenly },
};

int
main (void)
{
  return CHECK_RUN ("peers", cases);
}
