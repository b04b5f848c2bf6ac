#include "check.h"
#include "garnetstack/rng.h"
#include "policy/replica_limit.h"
#include "policy/statements.h"

#include <math.h>

/* Plays nodes whose callers ask for far more than a replica takes, and checks
   what arrives there.  Guards against a limit that each node keeps to alone,
   and against one of which little is used.  */

#define NODES_MAX 400
#define REPLICA 77
#define STEP (5 * GS_MSEC)
#define WINDOW (4 * GS_SEC)
#define PLAY_TIME (60 * GS_SEC)
/* Some nodes learn of a limit, of its end, or of another node later.  */
#define NEWS_DELAY_MAX (600 * GS_MSEC)

typedef struct
{
  replica_limit_t limit;
  gs_time_t news_delay;
  bool down;
} node_t;

typedef struct
{
  gs_rng_t rng;
  unsigned count;
  node_t nodes[NODES_MAX];
  uint64_t names[NODES_MAX];
  GArray *arrivals; /* of gs_time_t */
} fleet_t;

static fleet_t *
fleet_create (unsigned count)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);

  gs_rng_seed (&fleet->rng, count);
  fleet->count = count;
  for (unsigned i = 0; i < count; i++)
    {
      fleet->names[i] = gs_rng_below (&fleet->rng, UINT64_MAX);
      fleet->nodes[i].news_delay
          = (gs_time_t)gs_rng_below (&fleet->rng, NEWS_DELAY_MAX);
    }
  fleet->arrivals = g_array_new (FALSE, FALSE, sizeof (gs_time_t));
  return fleet;
}

static void
fleet_free (fleet_t *fleet)
{
  g_array_unref (fleet->arrivals);
  g_free (fleet);
}

/* Tells a node of the nodes that are up.  */
static void
share (fleet_t *fleet, gs_time_t now, unsigned node)
{
  uint64_t names[NODES_MAX] = { fleet->names[node] };
  size_t count = 1;

  for (unsigned i = 0; i < fleet->count; i++)
    if (i != node && !fleet->nodes[i].down)
      names[count++] = fleet->names[i];
  replica_limit_share (&fleet->nodes[node].limit, now, REPLICA, names, count,
                       (unsigned)count);
}

/* All nodes ask at each step whether they may send, in random order.  */
static void
step (fleet_t *fleet, gs_time_t now, double per_sec, gs_time_t named_at)
{
  unsigned first = (unsigned)gs_rng_below (&fleet->rng, fleet->count);

  for (unsigned i = 0; i < fleet->count; i++)
    {
      node_t *node = &fleet->nodes[(first + i) % fleet->count];

      if (node->down || now < named_at + node->news_delay)
        continue;
      if ((node->limit.stated_at == 0 || node->limit.stated_at + GS_SEC <= now)
          && replica_limit_state (&node->limit, now, now, per_sec))
        share (fleet, now, (first + i) % fleet->count);
      if (!replica_limit_allows (&node->limit, now))
        continue;
      replica_limit_take (&node->limit, now);
      g_array_append_val (fleet->arrivals, now);
    }
}

/* @return the most arrivals in a window that starts at or after @p from  */
static unsigned
arrivals_peak (const fleet_t *fleet, gs_time_t from)
{
  unsigned peak = 0;
  guint first = 0;

  while (first < fleet->arrivals->len
         && g_array_index (fleet->arrivals, gs_time_t, first) < from)
    first++;
  for (guint i = first; i < fleet->arrivals->len; i++)
    {
      while (g_array_index (fleet->arrivals, gs_time_t, first) + WINDOW
             < g_array_index (fleet->arrivals, gs_time_t, i))
        first++;
      peak = MAX (peak, i - first + 1);
    }
  return peak;
}

static const struct
{
  unsigned nodes;
  double per_sec;
} plays[] = {
  { 1, 0 },   { 1, 1.9 },   { 5, 0 },     { 5, 0.3 },   { 5, 1.9 },
  { 5, 20 },  { 5, 300 },   { 30, 0 },    { 30, 0.5 },  { 30, 1.9 },
  { 30, 12 }, { 118, 0.3 }, { 118, 1.9 }, { 118, 40 },  { 118, 500 },
  { 372, 0 }, { 372, 0.7 }, { 372, 1.9 }, { 372, 100 },
};

static unsigned
arrivals_allowed (double per_sec)
{
  return (unsigned)(1.5 * per_sec * (double)WINDOW / GS_SEC + 5);
}

static void
all_nodes_together_send_what_a_replica_takes (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (plays); i++)
    {
      fleet_t *fleet = fleet_create (plays[i].nodes);
      double used;

      for (gs_time_t now = STEP; now < PLAY_TIME; now += STEP)
        step (fleet, now, MAX (plays[i].per_sec, 1e-9), STEP);
      used = fleet->arrivals->len
             / (MAX (plays[i].per_sec, REPLICA_LIMIT_MIN) * (double)PLAY_TIME
                / GS_SEC);
      printf ("\n  %u nodes, %g a second: %u in 4 s, allowed %u, used %.2f ",
              plays[i].nodes, plays[i].per_sec, arrivals_peak (fleet, 0),
              arrivals_allowed (plays[i].per_sec), used);
      CU_ASSERT (arrivals_peak (fleet, 0)
                 <= arrivals_allowed (plays[i].per_sec));
      CU_ASSERT (used > 0.6);
      fleet_free (fleet);
    }
}

/* Nodes go down and come up again, and each learns of it at another time.  */
static void
a_limit_holds_while_nodes_come_and_go (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (plays); i++)
    {
      fleet_t *fleet = fleet_create (plays[i].nodes);
      gs_time_t changed_at = 0;

      for (gs_time_t now = STEP; now < PLAY_TIME; now += STEP)
        {
          if (now >= changed_at + 3 * GS_SEC)
            {
              unsigned node
                  = (unsigned)gs_rng_below (&fleet->rng, fleet->count);

              changed_at = now;
              fleet->nodes[node].down = !fleet->nodes[node].down;
              fleet->nodes[node].limit = (replica_limit_t){ .per_sec = 0 };
            }
          for (unsigned j = 0; j < fleet->count; j++)
            if (now >= changed_at + fleet->nodes[j].news_delay
                && now < changed_at + fleet->nodes[j].news_delay + STEP
                && replica_limit_is_set (&fleet->nodes[j].limit, now))
              share (fleet, now, j);
          step (fleet, now, MAX (plays[i].per_sec, 1e-9), STEP);
        }
      if (arrivals_peak (fleet, 0) > arrivals_allowed (plays[i].per_sec))
        printf ("\n  %u nodes, %g a second: %u ", plays[i].nodes,
                plays[i].per_sec, arrivals_peak (fleet, 0));
      CU_ASSERT (arrivals_peak (fleet, 0)
                 <= arrivals_allowed (plays[i].per_sec));
      fleet_free (fleet);
    }
}

static void
a_later_statement_wins (void)
{
  replica_limit_t limit = { .per_sec = 0 };
  const uint64_t nodes[] = { 1 };

  CU_ASSERT_TRUE (replica_limit_allows (&limit, GS_SEC));
  CU_ASSERT_TRUE (replica_limit_state (&limit, 5 * GS_SEC, 5 * GS_SEC, 2));
  CU_ASSERT_FALSE (replica_limit_allows (&limit, 5 * GS_SEC));
  replica_limit_share (&limit, 5 * GS_SEC, REPLICA, nodes, 1, 1);
  CU_ASSERT_FALSE (replica_limit_allows (&limit, 5 * GS_SEC));
  CU_ASSERT_TRUE (replica_limit_allows (&limit, 7 * GS_SEC));
  CU_ASSERT_FALSE (replica_limit_state (&limit, 7 * GS_SEC, 4 * GS_SEC, 0));
  CU_ASSERT_TRUE (replica_limit_is_set (&limit, 7 * GS_SEC));
  CU_ASSERT_FALSE (replica_limit_state (&limit, 7 * GS_SEC, 7 * GS_SEC, 2));
  CU_ASSERT_TRUE (replica_limit_state (&limit, 8 * GS_SEC, 8 * GS_SEC, 0));
  CU_ASSERT_FALSE (replica_limit_is_set (&limit, 8 * GS_SEC));
  CU_ASSERT_TRUE (replica_limit_allows (&limit, 8 * GS_SEC));
}

static void
a_limit_that_nobody_confirms_ends (void)
{
  replica_limit_t limit = { .per_sec = 0 };

  replica_limit_state (&limit, GS_SEC, GS_SEC, 2);
  CU_ASSERT_FALSE (replica_limit_allows (&limit, GS_SEC + REPLICA_LIMIT_TTL));
  CU_ASSERT_TRUE (
      replica_limit_allows (&limit, 2 * GS_SEC + REPLICA_LIMIT_TTL));
}

static void
statements_spread_and_the_latest_one_stays (void)
{
  statements_t *here;
  statements_t *there;
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (statement_row_t));
  GArray *list;
  statement_t limited = { .replica = REPLICA,
                          .limit_micros = 1900000,
                          .stated_at = 10 * GS_SEC };
  statement_t ended = { .replica = REPLICA, .stated_at = 12 * GS_SEC };
  statement_t leaving
      = { .replica = REPLICA, .leaving = 1, .stated_at = 11 * GS_SEC };
  statement_t restarted = { .replica = REPLICA,
                            .started_ms = 5,
                            .limit_micros = 300000,
                            .stated_at = 9 * GS_SEC };

  statements_create (&here);
  statements_create (&there);
  statements_put (here, &limited);
  statements_export (here, 11 * GS_SEC, rows);
  CU_ASSERT_EQUAL_FATAL (rows->len, 1);
  CU_ASSERT_EQUAL (g_array_index (rows, statement_row_t, 0).age_ms, 1000);
  /* The other node's clock differs.  */
  statements_import (there, 111 * GS_SEC, rows);
  list = statements_list (there);
  CU_ASSERT_EQUAL_FATAL (list->len, 1);
  CU_ASSERT_EQUAL (g_array_index (list, statement_t, 0).limit_micros, 1900000);
  CU_ASSERT_EQUAL (g_array_index (list, statement_t, 0).stated_at,
                   110 * GS_SEC);
  g_array_unref (list);
  statements_put (here, &ended);
  statements_put (here, &limited);
  statements_import (here, 12 * GS_SEC, rows);
  list = statements_list (here);
  CU_ASSERT_EQUAL (g_array_index (list, statement_t, 0).limit_micros, 0);
  g_array_unref (list);
  /* Leaving is not taken back; a replica that starts again says anew.  */
  statements_put (here, &leaving);
  list = statements_list (here);
  CU_ASSERT_EQUAL (g_array_index (list, statement_t, 0).leaving, 1);
  CU_ASSERT_EQUAL (g_array_index (list, statement_t, 0).limit_micros, 0);
  g_array_unref (list);
  statements_put (here, &restarted);
  statements_put (here, &leaving);
  list = statements_list (here);
  CU_ASSERT_EQUAL (g_array_index (list, statement_t, 0).leaving, 0);
  CU_ASSERT_EQUAL (g_array_index (list, statement_t, 0).limit_micros, 300000);
  g_array_unref (list);
  g_array_set_size (rows, 0);
  statements_export (here, 13 * GS_SEC + REPLICA_LIMIT_TTL, rows);
  CU_ASSERT_EQUAL (rows->len, 0);
  g_array_unref (rows);
  statements_destroy (there);
  statements_destroy (here);
}

/* Nodes of two versions run side by side during an upgrade.  */
static void
statements_of_an_earlier_version_are_read (void)
{
  row_layout_t earlier = statement_layout;
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (statement_row_t));
  statement_row_t row = { .replica = REPLICA, .age_ms = 7, .brittle = 9 };
  bool invalid = false;
  row_reader_t reader = { NULL, 0, &invalid };
  msgpack_unpacked unpacked;
  msgpack_sbuffer buffer;
  msgpack_packer out;

  earlier.count--;
  g_array_append_val (rows, row);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&out, 2);
  row_codec_pack (&out, &earlier, rows);
  row_codec_pack (&out, &statement_layout, rows);
  row_reader_unpack (&reader, &unpacked, buffer.data, buffer.size, 3);
  row_reader_rows (&reader, &statement_layout, rows);
  CU_ASSERT_EQUAL_FATAL (rows->len, 1);
  CU_ASSERT_EQUAL (g_array_index (rows, statement_row_t, 0).age_ms, 7);
  CU_ASSERT_EQUAL (g_array_index (rows, statement_row_t, 0).brittle, 0);
  row_reader_rows (&reader, &earlier, rows);
  CU_ASSERT_EQUAL (g_array_index (rows, statement_row_t, 0).age_ms, 7);
  CU_ASSERT_FALSE (invalid);
  msgpack_unpacked_destroy (&unpacked);
  msgpack_sbuffer_destroy (&buffer);
  g_array_unref (rows);
}

static const check_case_t cases[] = {
  { "statements of an earlier version are read",
    statements_of_an_earlier_version_are_read },
  { "all nodes together send what a replica takes",
    all_nodes_together_send_what_a_replica_takes },
  { "a limit holds while nodes come and go",
    a_limit_holds_while_nodes_come_and_go },
  { "a later statement wins", a_later_statement_wins },
  { "a limit that nobody confirms ends", a_limit_that_nobody_confirms_ends },
  { "statements spread and the latest one stays",
    statements_spread_and_the_latest_one_stays },
};

int
main (void)
{
  return CHECK_RUN ("replica_limit", cases);
}
