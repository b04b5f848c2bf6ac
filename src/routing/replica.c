#include "routing/replica.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define FAILURES_TO_EJECT 3
#define EJECT_BASE (2 * GS_SEC)
#define EJECTIONS_MAX 5
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
  table->rows = g_new0 (replica_t, GS_REPLICA_SLOTS);
  table->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  table->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, target_free);
  table->slot_of = g_array_new (FALSE, FALSE, sizeof (uint16_t));
  table->nodes = 1;
  table->workers = MAX (workers, 1);
  lag_estimate_init (&table->lag);
}

void
replica_table_clear (replica_table_t *table)
{
  g_array_unref (table->slot_of);
  g_hash_table_unref (table->targets);
  g_hash_table_unref (table->by_name);
  g_free (table->rows);
}

replica_t *
replica_table_find (const replica_table_t *table, const char *name)
{
  guint slot = GPOINTER_TO_UINT (g_hash_table_lookup (table->by_name, name));

  return slot == 0 ? NULL : &table->rows[slot - 1];
}

replica_target_t *
replica_table_target (const replica_table_t *table, const char *target)
{
  return g_hash_table_lookup (table->targets, target);
}

/* Return an unused slot, or reuse one whose replica is missing from the last
   two snapshots and has no attempts in flight.  */
static uint16_t
free_slot (replica_table_t *table, gs_prefix_index_t *index)
{
  if (table->used < GS_REPLICA_SLOTS)
    return (uint16_t)table->used++;
  for (unsigned i = 0; i < GS_REPLICA_SLOTS; i++)
    {
      replica_t *replica = &table->rows[i];

      if (replica->seen_in + 1 >= table->sequence || replica->in_flight > 0)
        continue;
      g_hash_table_remove (table->by_name, replica->name);
      gs_prefix_index_forget (index, (uint16_t)i);
      return (uint16_t)i;
    }
  return GS_SLOT_NONE;
}

static uint16_t
slot_for (replica_table_t *table, gs_time_t now, const char *name,
          gs_prefix_index_t *index)
{
  guint known = GPOINTER_TO_UINT (g_hash_table_lookup (table->by_name, name));
  uint16_t slot;
  replica_t *replica;

  if (known != 0)
    return (uint16_t)(known - 1);
  slot = free_slot (table, index);
  if (slot == GS_SLOT_NONE)
    return slot;
  replica = &table->rows[slot];
  memset (replica, 0, sizeof *replica);
  g_strlcpy (replica->name, name, sizeof replica->name);
  replica->name_hash = XXH3_64bits (name, strlen (name));
  replica->slowness = 1;
  replica->first_seen = table->pictures > 1 ? now : 0;
  g_hash_table_insert (table->by_name, replica->name,
                       GUINT_TO_POINTER ((guint)slot + 1));
  return slot;
}

static void
take_report (replica_table_t *table, replica_t *replica,
             const gs_upstream_info_t *upstream)
{
  uint32_t reported = upstream->running + upstream->queued;

  if (upstream->reported_at == replica->reported_at)
    return;
  if (replica->reported_at != 0)
    lag_estimate_update (&table->lag, &replica->history, replica->reported_at,
                         upstream->reported_at,
                         (int)reported - (int)replica->reported);
  replica->reported_at = upstream->reported_at;
  replica->reported = reported;
  replica->queued_tokens = upstream->queued_tokens;
}

/* Return this router's share of the attempts that its node may have in flight
   at a VM.  */
static uint32_t
in_flight_part (const replica_table_t *table, const gs_catalogue_t *catalogue,
                const char *name)
{
  const gs_vm_wish_t *wish = NULL;

  if (catalogue != NULL)
    wish = (const gs_vm_wish_t *)gs_catalogue_find (catalogue, GS_KIND_VM,
                                                    name);
  return wish == NULL
             ? UINT32_MAX
             : (uint32_t)MAX (wish->in_flight_max / table->workers, 1);
}

static void
take_upstream (replica_table_t *table, replica_t *replica,
               const gs_upstream_info_t *upstream,
               const gs_catalogue_t *catalogue)
{
  replica->kind = upstream->kind;
  replica->live = upstream->state == GS_VM_LIVE;
  replica->reclaimable = upstream->reclaimable;
  replica->price = (double)MAX (upstream->price_micros, 1);
  replica->batch_max = upstream->batch_max;
  replica->in_flight_max = in_flight_part (table, catalogue, upstream->name);
  replica->seen_in = table->sequence;
  g_snprintf (replica->url, sizeof replica->url, "http://%s:%u",
              upstream->address, upstream->port);
  take_report (table, replica, upstream);
}

static gint
by_price (gconstpointer a, gconstpointer b, gpointer context)
{
  const replica_t *rows = context;
  const replica_t *left = &rows[*(const uint16_t *)a];
  const replica_t *right = &rows[*(const uint16_t *)b];

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
index_targets (replica_table_t *table, gs_time_t now,
               const gs_snapshot_t *snapshot)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      g_array_set_size (((replica_target_t *)value)->slots, 0);
      ((replica_target_t *)value)->ejected = 0;
    }
  for (size_t i = 0; i < snapshot->upstream_count; i++)
    {
      uint16_t slot = g_array_index (table->slot_of, uint16_t, i);
      replica_target_t *target;

      if (slot == GS_SLOT_NONE || !table->rows[slot].live)
        continue;
      target = ensure_target (table, snapshot->upstreams[i].target);
      table->rows[slot].target = target;
      target->ejected += table->rows[slot].ejected_until > now;
      g_array_append_val (target->slots, slot);
    }
  g_hash_table_iter_init (&iter, table->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_sort_with_data (((replica_target_t *)value)->slots, by_price,
                            table->rows);
}

/* Detect missed cache events by their revisions.  A lower revision means that
   the replica restarted with an empty cache.  */
static void
check_revisions (replica_table_t *table, gs_time_t now,
                 const gs_snapshot_t *snapshot, gs_prefix_index_t *index)
{
  for (size_t i = 0; i < snapshot->upstream_count; i++)
    {
      const gs_upstream_info_t *upstream = &snapshot->upstreams[i];
      uint16_t slot = g_array_index (table->slot_of, uint16_t, i);
      replica_t *replica;

      if (slot == GS_SLOT_NONE || upstream->cache_revision == 0)
        continue;
      replica = &table->rows[slot];
      if (upstream->cache_revision < replica->cache_revision)
        gs_prefix_index_forget (index, slot);
      else if (upstream->cache_first == 0
                   ? upstream->cache_revision > replica->cache_revision
                   : upstream->cache_first > replica->cache_revision + 1)
        gs_prefix_index_gap (index, now, slot);
      replica->cache_revision = upstream->cache_revision;
    }
}

static void
take_cache_events (replica_table_t *table, gs_time_t now,
                   const gs_snapshot_t *snapshot, gs_prefix_index_t *index)
{
  for (size_t i = 0; i < snapshot->cache_event_count; i++)
    {
      const gs_cache_event_t *event = &snapshot->cache_events[i];
      uint16_t slot;

      if (event->upstream >= table->slot_of->len)
        continue;
      slot = g_array_index (table->slot_of, uint16_t, event->upstream);
      if (slot == GS_SLOT_NONE)
        continue;
      if (event->evicted)
        gs_prefix_index_evict (index, slot, event->block);
      else
        gs_prefix_index_add (index, now, slot, event->block);
    }
}

static unsigned
live_nodes (const gs_snapshot_t *snapshot)
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
  if (table->sequence == snapshot->sequence && table->slot_of->len > 0)
    return;
  table->sequence = snapshot->sequence;
  if (snapshot->upstream_count > 0)
    table->pictures++;
  table->nodes = live_nodes (snapshot);
  g_array_set_size (table->slot_of, (guint)snapshot->upstream_count);
  for (size_t i = 0; i < snapshot->upstream_count; i++)
    {
      const gs_upstream_info_t *upstream = &snapshot->upstreams[i];
      uint16_t slot = slot_for (table, now, upstream->name, index);

      g_array_index (table->slot_of, uint16_t, i) = slot;
      if (slot != GS_SLOT_NONE)
        take_upstream (table, &table->rows[slot], upstream,
                       snapshot->catalogue);
    }
  index_targets (table, now, snapshot);
  check_revisions (table, now, snapshot, index);
  take_cache_events (table, now, snapshot, index);
}

void
replica_note_end (replica_t *replica, gs_time_t now, bool failed)
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
  if (++replica->failures < FAILURES_TO_EJECT)
    return;
  replica->failures = 0;
  if (replica->ejected_until <= now && replica->target != NULL)
    replica->target->ejected++;
  replica->ejected_until = now + (EJECT_BASE << replica->ejections);
  if (replica->ejections < EJECTIONS_MAX)
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
replica_note_pace (replica_t *replica, gs_time_t now, double ratio)
{
  double before = replica_slowness (replica, now);
  double bounded = CLAMP (ratio, 0.5, SLOWNESS_MAX);

  replica->slowness = before + SLOWNESS_WEIGHT * (bounded - before);
  replica->slowness_at = now;
}

double
replica_waiting_tokens (const replica_t *replica, gs_time_t now,
                        double tokens_per_sec)
{
  double own = replica->backlog
               - (double)(now - replica->backlog_at) / GS_SEC * tokens_per_sec;
  double reported
      = replica->queued_tokens
        - (double)(now - replica->reported_at) / GS_SEC * tokens_per_sec;

  return MAX (MAX (own, reported), 0);
}

void
replica_note_sent (replica_t *replica, gs_time_t now)
{
  replica->in_flight++;
  lag_history_add (&replica->history, now, 1);
}

double
replica_sequences (const replica_t *replica, gs_time_t now, gs_time_t age,
                   double crowd)
{
  int change;

  if (replica->reported_at == 0)
    return replica->in_flight;
  change
      = lag_history_net (&replica->history, now, replica->reported_at - age);
  return MAX (replica->reported + change * crowd, (double)replica->in_flight);
}
