#include "routing/replica.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define EJECTION_FAILURES_MIN 3
#define EJECTION_INTERVAL_MIN (2 * GS_SEC)
#define EJECTION_DOUBLINGS_MAX 5
#define SLOWNESS_WEIGHT 0.3
#define SLOWNESS_MAX 50.0
#define SLOWNESS_HALF_LIFE (30 * GS_SEC)

static void
target_free (gpointer data)
{
  replica_target_t *target = data;

  g_array_unref (target->slots);
  g_free (target);
}

void
replica_table_init (replica_table_t *table, unsigned workers)
{
  memset (table, 0, sizeof *table);
  table->replicas = g_new0 (replica_t, REPLICA_SLOTS_MAX);
  table->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  table->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, target_free);
  table->upstream_slots = g_array_new (FALSE, FALSE, sizeof (uint16_t));
  table->nodes = 1;
  table->workers = MAX (workers, 1);
  lag_estimate_init (&table->lag);
}

void
replica_table_clear (replica_table_t *table)
{
  g_array_unref (table->upstream_slots);
  g_hash_table_unref (table->targets);
  g_hash_table_unref (table->by_name);
  g_free (table->replicas);
}

replica_t *
replica_table_find (const replica_table_t *table, const char *name)
{
  guint slot = GPOINTER_TO_UINT (g_hash_table_lookup (table->by_name, name));

  return slot == 0 ? NULL : &table->replicas[slot - 1];
}

replica_target_t *
replica_table_target (const replica_table_t *table, const char *target)
{
  return g_hash_table_lookup (table->targets, target);
}

/* Return an unused slot, or reuse one whose replica is missing from the last
   two snapshots and has no attempts in flight.  */
static uint16_t
acquire_slot (replica_table_t *table, gs_prefix_index_t *index)
{
  if (table->slots_used < REPLICA_SLOTS_MAX)
    return (uint16_t)table->slots_used++;
  for (unsigned i = 0; i < REPLICA_SLOTS_MAX; i++)
    {
      replica_t *replica = &table->replicas[i];

      if (replica->snapshot_sequence + 1 >= table->sequence
          || replica->in_flight > 0)
        continue;
      g_hash_table_remove (table->by_name, replica->name);
      gs_prefix_index_slot_clear (index, (uint16_t)i);
      return (uint16_t)i;
    }
  return REPLICA_SLOT_NONE;
}

static uint16_t
ensure_slot (replica_table_t *table, gs_time_t now, const char *name,
             gs_prefix_index_t *index)
{
  guint entry = GPOINTER_TO_UINT (g_hash_table_lookup (table->by_name, name));
  uint16_t slot;
  replica_t *replica;

  if (entry != 0)
    return (uint16_t)(entry - 1);
  slot = acquire_slot (table, index);
  if (slot == REPLICA_SLOT_NONE)
    return slot;
  replica = &table->replicas[slot];
  memset (replica, 0, sizeof *replica);
  g_strlcpy (replica->name, name, sizeof replica->name);
  replica->name_hash = XXH3_64bits (name, strlen (name));
  replica->slowness = 1;
  replica->first_seen = table->snapshot_count > 1 ? now : 0;
  g_hash_table_insert (table->by_name, replica->name,
                       GUINT_TO_POINTER ((guint)slot + 1));
  return slot;
}

static void
apply_report (replica_table_t *table, replica_t *replica,
              const gs_upstream_info_t *upstream)
{
  uint32_t reported = upstream->running + upstream->queued;

  if (upstream->reported_at == replica->reported_at)
    return;
  if (replica->reported_at != 0)
    lag_estimate_update (&table->lag, &replica->history, replica->reported_at,
                         upstream->reported_at,
                         (int)reported - (int)replica->reported_sequences);
  replica->reported_at = upstream->reported_at;
  replica->reported_sequences = reported;
  replica->queued_tokens = upstream->queued_tokens;
}

/* Return this router's share of the attempts that its node may have in flight
   at a VM.  */
static uint32_t
in_flight_share (const replica_table_t *table, const gs_catalogue_t *catalogue,
                 const char *name)
{
  const gs_vm_entry_t *wish = NULL;

  if (catalogue != NULL)
    wish = (const gs_vm_entry_t *)gs_catalogue_find (catalogue, GS_KIND_VM,
                                                     name);
  return wish == NULL
             ? UINT32_MAX
             : (uint32_t)MAX (wish->in_flight_max / table->workers, 1);
}

static void
apply_upstream (replica_table_t *table, replica_t *replica,
                const gs_upstream_info_t *upstream,
                const gs_catalogue_t *catalogue)
{
  replica->kind = upstream->kind;
  replica->live = upstream->state == GS_VM_LIVE;
  replica->reclaimable = upstream->reclaimable;
  replica->price = (double)MAX (upstream->price_micros, 1);
  replica->batch_max = upstream->batch_max;
  replica->in_flight_max = in_flight_share (table, catalogue, upstream->name);
  replica->snapshot_sequence = table->sequence;
  g_snprintf (replica->url, sizeof replica->url, "http://%s:%u",
              upstream->address, upstream->port);
  apply_report (table, replica, upstream);
}

static gint
compare_prices (gconstpointer a, gconstpointer b, gpointer context)
{
  const replica_t *replicas = context;
  const replica_t *left = &replicas[*(const uint16_t *)a];
  const replica_t *right = &replicas[*(const uint16_t *)b];

  if (left->price != right->price)
    return left->price < right->price ? -1 : 1;
  return left->name_hash < right->name_hash   ? -1
         : left->name_hash > right->name_hash ? 1
                                              : 0;
}

static replica_target_t *
ensure_target (replica_table_t *table, const char *name)
{
  replica_target_t *target = g_hash_table_lookup (table->targets, name);

  if (target != NULL)
    return target;
  target = g_new0 (replica_target_t, 1);
  target->slots = g_array_new (FALSE, FALSE, sizeof (uint16_t));
  g_hash_table_insert (table->targets, g_strdup (name), target);
  return target;
}

static void
rebuild_targets (replica_table_t *table, gs_time_t now,
                 const gs_snapshot_t *snapshot)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      g_array_set_size (((replica_target_t *)value)->slots, 0);
      ((replica_target_t *)value)->ejected_count = 0;
    }
  for (size_t i = 0; i < snapshot->upstream_count; i++)
    {
      uint16_t slot = g_array_index (table->upstream_slots, uint16_t, i);
      replica_target_t *target;

      if (slot == REPLICA_SLOT_NONE || !table->replicas[slot].live)
        continue;
      target = ensure_target (table, snapshot->upstreams[i].target);
      table->replicas[slot].target = target;
      target->ejected_count += table->replicas[slot].ejected_until > now;
      g_array_append_val (target->slots, slot);
    }
  g_hash_table_iter_init (&iter, table->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_sort_with_data (((replica_target_t *)value)->slots, compare_prices,
                            table->replicas);
}

/* Detect missed cache events by their revisions.  A lower revision means that
   the replica restarted with an empty cache.  */
static void
detect_missed_events (replica_table_t *table, gs_time_t now,
                      const gs_snapshot_t *snapshot, gs_prefix_index_t *index)
{
  for (size_t i = 0; i < snapshot->upstream_count; i++)
    {
      const gs_upstream_info_t *upstream = &snapshot->upstreams[i];
      uint16_t slot = g_array_index (table->upstream_slots, uint16_t, i);
      replica_t *replica;

      if (slot == REPLICA_SLOT_NONE || upstream->cache_revision == 0)
        continue;
      replica = &table->replicas[slot];
      if (upstream->cache_revision < replica->cache_revision)
        gs_prefix_index_slot_clear (index, slot);
      else if (upstream->cache_first_revision == 0
                   ? upstream->cache_revision > replica->cache_revision
                   : upstream->cache_first_revision
                         > replica->cache_revision + 1)
        gs_prefix_index_slot_mark_stale (index, now, slot);
      replica->cache_revision = upstream->cache_revision;
    }
}

static void
apply_cache_events (replica_table_t *table, gs_time_t now,
                    const gs_snapshot_t *snapshot, gs_prefix_index_t *index)
{
  for (size_t i = 0; i < snapshot->cache_event_count; i++)
    {
      const gs_cache_event_t *event = &snapshot->cache_events[i];
      uint16_t slot;

      if (event->upstream >= table->upstream_slots->len)
        continue;
      slot = g_array_index (table->upstream_slots, uint16_t, event->upstream);
      if (slot == REPLICA_SLOT_NONE)
        continue;
      if (event->evicted)
        gs_prefix_index_evict (index, slot, event->block);
      else
        gs_prefix_index_add (index, now, slot, event->block);
    }
}

static unsigned
count_live_nodes (const gs_snapshot_t *snapshot)
{
  unsigned count = 0;

  for (size_t i = 0; i < snapshot->node_count; i++)
    count += snapshot->nodes[i].state == GS_VM_LIVE;
  return MAX (count, 1);
}

void
replica_table_refresh (replica_table_t *table, gs_time_t now,
                       const gs_snapshot_t *snapshot, gs_prefix_index_t *index)
{
  if (table->sequence == snapshot->sequence && table->upstream_slots->len > 0)
    return;
  table->sequence = snapshot->sequence;
  if (snapshot->upstream_count > 0)
    table->snapshot_count++;
  table->nodes = count_live_nodes (snapshot);
  g_array_set_size (table->upstream_slots, (guint)snapshot->upstream_count);
  for (size_t i = 0; i < snapshot->upstream_count; i++)
    {
      const gs_upstream_info_t *upstream = &snapshot->upstreams[i];
      uint16_t slot = ensure_slot (table, now, upstream->name, index);

      g_array_index (table->upstream_slots, uint16_t, i) = slot;
      if (slot != REPLICA_SLOT_NONE)
        apply_upstream (table, &table->replicas[slot], upstream,
                        snapshot->catalogue);
    }
  rebuild_targets (table, now, snapshot);
  detect_missed_events (table, now, snapshot, index);
  apply_cache_events (table, now, snapshot, index);
}

void
replica_attempt_end (replica_t *replica, gs_time_t now, bool failed)
{
  if (replica->in_flight > 0)
    replica->in_flight--;
  lag_history_add (&replica->history, now, -1);
  if (!failed)
    {
      replica->failures = 0;
      replica->ejections = 0;
      return;
    }
  if (++replica->failures < EJECTION_FAILURES_MIN)
    return;
  replica->failures = 0;
  if (replica->ejected_until <= now && replica->target != NULL)
    replica->target->ejected_count++;
  replica->ejected_until = now + (EJECTION_INTERVAL_MIN << replica->ejections);
  if (replica->ejections < EJECTION_DOUBLINGS_MAX)
    replica->ejections++;
}

double
replica_slowness (const replica_t *replica, gs_time_t now)
{
  double age = (double)(now - replica->slowness_at);

  if (replica->slowness == 1)
    return 1;
  return 1
         + (replica->slowness - 1) * exp2 (-age / (double)SLOWNESS_HALF_LIFE);
}

void
replica_slowness_observe (replica_t *replica, gs_time_t now, double ratio)
{
  double previous = replica_slowness (replica, now);
  double bounded = CLAMP (ratio, 0.5, SLOWNESS_MAX);

  replica->slowness = previous + SLOWNESS_WEIGHT * (bounded - previous);
  replica->slowness_at = now;
}

double
replica_backlog_estimate (const replica_t *replica, gs_time_t now,
                          double tokens_per_sec)
{
  double own_backlog
      = replica->backlog
        - (double)(now - replica->backlog_at) / GS_SEC * tokens_per_sec;
  double reported_backlog
      = replica->queued_tokens
        - (double)(now - replica->reported_at) / GS_SEC * tokens_per_sec;

  return MAX (MAX (own_backlog, reported_backlog), 0);
}

void
replica_attempt_start (replica_t *replica, gs_time_t now)
{
  replica->in_flight++;
  lag_history_add (&replica->history, now, 1);
}

double
replica_sequences_estimate (const replica_t *replica, gs_time_t now,
                            gs_time_t report_age, double routers)
{
  int own_change;

  if (replica->reported_at == 0)
    return replica->in_flight;
  own_change = lag_history_net (&replica->history, now,
                                replica->reported_at - report_age);
  return MAX (replica->reported_sequences + own_change * routers,
              (double)replica->in_flight);
}
