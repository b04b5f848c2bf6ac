#include "fleet/aggregate.h"

#include "fleet/rollout_counts.h"

#include <string.h>
#include <xxhash.h>

typedef enum
{
  LIST_LOADS,
  LIST_QUOTA,
  LIST_DEMAND,
  LIST_USAGE
} list_t;

void
aggregate_init (aggregate_t *aggregate)
{
  *aggregate = (aggregate_t){
    .loads = g_array_new (FALSE, TRUE, sizeof (placer_peer_load_t)),
    .quota = g_array_new (FALSE, TRUE, sizeof (quota_row_t)),
    .demand = g_array_new (FALSE, TRUE, sizeof (traffic_demand_t)),
    .usage = g_array_new (FALSE, TRUE, sizeof (traffic_usage_t)),
    .rollout_counts = g_array_new (FALSE, TRUE, sizeof (rollout_count_t)),
  };
}

void
aggregate_clear (aggregate_t *aggregate)
{
  if (aggregate->loads == NULL)
    return;
  g_array_unref (aggregate->loads);
  g_array_unref (aggregate->quota);
  g_array_unref (aggregate->demand);
  g_array_unref (aggregate->usage);
  g_array_unref (aggregate->rollout_counts);
  if (aggregate->rows_by_key != NULL)
    g_hash_table_unref (aggregate->rows_by_key);
  *aggregate = (aggregate_t){ .nodes = 0 };
}

static uint64_t
row_key (list_t list, uint64_t value)
{
  uint64_t words[] = { (uint64_t)list, value };

  return XXH3_64bits (words, sizeof words);
}

static uint64_t
text_key (list_t list, const char *text, int64_t number)
{
  return row_key (list, XXH3_64bits (text, strlen (text))
                            ^ row_key (list, (uint64_t)number));
}

static uint64_t
usage_key (const traffic_usage_t *row)
{
  return text_key (LIST_USAGE, row->account, row->window);
}

static void
index_rows (aggregate_t *sum)
{
  GHashTable *rows
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);

#define INDEX(LIST, TYPE, KEY)                                                \
  for (guint i = 0; i < sum->LIST->len; i++)                                  \
    {                                                                         \
      const TYPE *row = &g_array_index (sum->LIST, TYPE, i);                  \
      uint64_t key = (KEY);                                                   \
                                                                              \
      g_hash_table_insert (rows, g_memdup2 (&key, sizeof key),                \
                           GUINT_TO_POINTER (i + 1));                         \
    }
  INDEX (loads, placer_peer_load_t, row_key (LIST_LOADS, row->replica))
  INDEX (quota, quota_row_t, row_key (LIST_QUOTA, row->account))
  INDEX (demand, traffic_demand_t, text_key (LIST_DEMAND, row->service, 0))
  INDEX (usage, traffic_usage_t, usage_key (row))
#undef INDEX
  sum->rows_by_key = rows;
}

/* @return the row of a key; NULL if there is none and it may not be, or can't
   be, created  */
static void *
row_find (aggregate_t *sum, GArray *list, uint64_t key, bool create)
{
  guint row;

  if (sum->rows_by_key == NULL)
    index_rows (sum);
  row = GPOINTER_TO_UINT (g_hash_table_lookup (sum->rows_by_key, &key));
  if (row == 0)
    {
      if (!create || list->len >= AGGREGATE_ROWS_MAX)
        return NULL;
      g_array_set_size (list, list->len + 1);
      row = list->len;
      g_hash_table_insert (sum->rows_by_key, g_memdup2 (&key, sizeof key),
                           GUINT_TO_POINTER (row));
    }
  return list->data + (row - 1) * g_array_get_element_size (list);
}

static void
add_load (aggregate_t *sum, const placer_peer_load_t *load)
{
  placer_peer_load_t *row
      = row_find (sum, sum->loads, row_key (LIST_LOADS, load->replica), true);

  if (row == NULL)
    return;
  row->replica = load->replica;
  row->in_flight += load->in_flight;
  row->backlog_tokens += load->backlog_tokens;
  row->reserved_tokens += load->reserved_tokens;
}

static void
add_quota (aggregate_t *sum, const quota_row_t *use)
{
  quota_row_t *row
      = row_find (sum, sum->quota, row_key (LIST_QUOTA, use->account), true);

  if (row == NULL)
    return;
  row->tells_demand
      = use->tells_demand && (row->nodes == 0 || row->tells_demand);
  row->account = use->account;
  row->nodes += use->nodes;
  row->used += use->used;
  row->predecessor_used += use->predecessor_used;
  row->held += use->held;
  row->restarted_nodes += use->restarted_nodes;
  row->restarted_used += use->restarted_used;
  row->demand += use->demand;
}

static void
add_demand (aggregate_t *sum, const traffic_demand_t *demand, bool present)
{
  traffic_demand_t *row = row_find (
      sum, sum->demand, text_key (LIST_DEMAND, demand->service, 0), true);

  if (row == NULL)
    return;
  memcpy (row->service, demand->service, sizeof row->service);
  row->requests += demand->requests;
  row->rejected += demand->rejected;
  row->uncached_tokens += demand->uncached_tokens;
  row->in_flight += present ? demand->in_flight : 0;
  row->queued += present ? demand->queued : 0;
}

static void
add_usage (aggregate_t *sum, const traffic_usage_t *usage)
{
  traffic_usage_t *row = row_find (sum, sum->usage, usage_key (usage), true);

  if (row == NULL)
    return;
  memcpy (row->account, usage->account, sizeof row->account);
  row->window = usage->window;
  row->requests += usage->requests;
}

void
aggregate_add_report (aggregate_t *sum, const traffic_report_t *report,
                      bool with_usage)
{
  sum->nodes++;
  for (guint i = 0; i < report->loads->len; i++)
    {
      const placer_load_t *load
          = &g_array_index (report->loads, placer_load_t, i);
      placer_peer_load_t row
          = { .replica = placer_replica_hash (load->replica),
              .in_flight = load->in_flight,
              .backlog_tokens = load->backlog_tokens,
              .reserved_tokens = load->reserved_tokens };

      add_load (sum, &row);
    }
  for (guint i = 0; i < report->quota->len; i++)
    {
      quota_row_t row = g_array_index (report->quota, quota_row_t, i);

      quota_row_complete (&row);
      add_quota (sum, &row);
    }
  for (guint i = 0; i < report->demand->len; i++)
    add_demand (sum, &g_array_index (report->demand, traffic_demand_t, i),
                true);
  for (guint i = 0; with_usage && i < report->usage->len; i++)
    add_usage (sum, &g_array_index (report->usage, traffic_usage_t, i));
  rollout_counts_add (sum->rollout_counts, report->rollout_counts);
}

void
aggregate_add (aggregate_t *sum, const aggregate_t *part)
{
  sum->nodes += part->nodes;
  for (guint i = 0; i < part->loads->len; i++)
    add_load (sum, &g_array_index (part->loads, placer_peer_load_t, i));
  for (guint i = 0; i < part->quota->len; i++)
    add_quota (sum, &g_array_index (part->quota, quota_row_t, i));
}

void
aggregate_add_counters (aggregate_t *sum, const aggregate_t *part,
                        bool present)
{
  for (guint i = 0; i < part->demand->len; i++)
    add_demand (sum, &g_array_index (part->demand, traffic_demand_t, i),
                present);
  for (guint i = 0; i < part->usage->len; i++)
    add_usage (sum, &g_array_index (part->usage, traffic_usage_t, i));
  rollout_counts_add (sum->rollout_counts, part->rollout_counts);
}

/* Rows may have changed since they were added, so nothing falls below 0.  */
#define SUBTRACT(FIELD) row->FIELD -= MIN (row->FIELD, less->FIELD)

void
aggregate_subtract (aggregate_t *sum, const aggregate_t *part)
{
  sum->nodes -= MIN (sum->nodes, part->nodes);
  for (guint i = 0; i < part->loads->len; i++)
    {
      const placer_peer_load_t *less
          = &g_array_index (part->loads, placer_peer_load_t, i);
      placer_peer_load_t *row = row_find (
          sum, sum->loads, row_key (LIST_LOADS, less->replica), false);

      if (row == NULL)
        continue;
      SUBTRACT (in_flight);
      SUBTRACT (backlog_tokens);
      SUBTRACT (reserved_tokens);
    }
  for (guint i = 0; i < part->quota->len; i++)
    {
      const quota_row_t *less = &g_array_index (part->quota, quota_row_t, i);
      quota_row_t *row = row_find (sum, sum->quota,
                                   row_key (LIST_QUOTA, less->account), false);

      if (row == NULL)
        continue;
      SUBTRACT (nodes);
      SUBTRACT (used);
      SUBTRACT (predecessor_used);
      SUBTRACT (held);
      SUBTRACT (restarted_nodes);
      SUBTRACT (restarted_used);
      SUBTRACT (demand);
    }
}

#undef SUBTRACT

#define RAISE(FIELD) row->FIELD = MAX (row->FIELD, more->FIELD)

void
aggregate_raise (aggregate_t *sum, const aggregate_t *other, bool present)
{
  for (guint i = 0; i < other->demand->len; i++)
    {
      const traffic_demand_t *more
          = &g_array_index (other->demand, traffic_demand_t, i);
      traffic_demand_t *row = row_find (
          sum, sum->demand, text_key (LIST_DEMAND, more->service, 0), true);

      if (row == NULL)
        continue;
      memcpy (row->service, more->service, sizeof row->service);
      RAISE (requests);
      RAISE (rejected);
      RAISE (uncached_tokens);
      if (!present)
        continue;
      RAISE (in_flight);
      RAISE (queued);
    }
  for (guint i = 0; i < other->usage->len; i++)
    {
      const traffic_usage_t *more
          = &g_array_index (other->usage, traffic_usage_t, i);
      traffic_usage_t *row
          = row_find (sum, sum->usage, usage_key (more), true);

      if (row == NULL)
        continue;
      memcpy (row->account, more->account, sizeof row->account);
      row->window = more->window;
      RAISE (requests);
    }
  rollout_counts_raise (sum->rollout_counts, other->rollout_counts);
}

#undef RAISE
