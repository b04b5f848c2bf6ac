#include "gateway/rollout_duty_private.h"

#include <string.h>

/* @return whether the service has replicas of this version only, one at
   least  */
static bool
has_only_version (const gs_replica_list_t *list, const char *service,
                  uint64_t version)
{
  bool found = false;

  for (unsigned i = 0; list != NULL && i < list->count; i++)
    if (strcmp (list->rows[i].service, service) == 0)
      {
        if (placer_version_hash (list->rows[i].version) != version)
          return false;
        found = true;
      }
  return found;
}

/* @return the version that most replicas of the service have, other than the
   target and the one that was ordered before; 0 if that one has no replica or
   there is no other  */
static uint64_t
find_base (const rollout_duty_t *duty, const rollout_entry_t *entry,
           uint64_t target)
{
  const gs_replica_list_t *list = duties_replicas (duty->options.duties);
  bool has_former = false;
  uint64_t base = 0;
  unsigned most = 0;

  for (unsigned i = 0; entry->former != 0 && list != NULL && i < list->count;
       i++)
    {
      uint64_t version = placer_version_hash (list->rows[i].version);
      unsigned count = 0;

      if (strcmp (list->rows[i].service, entry->service) != 0)
        continue;
      has_former |= version == entry->former;
      for (unsigned j = 0; j < list->count; j++)
        count += strcmp (list->rows[j].service, entry->service) == 0
                 && placer_version_hash (list->rows[j].version) == version;
      if (version == target || version == entry->former || count <= most)
        continue;
      base = version;
      most = count;
    }
  return has_former ? base : 0;
}

static rollout_stage_t
find_stage (const rollout_duty_t *duty, gs_time_t now,
            const rollout_entry_t *entry, double *fraction)
{
  const rollout_case_t *item
      = g_hash_table_lookup (duty->cases, entry->service);
  rollout_order_t order = { .id = entry->record.order,
                            .target = entry->record.target,
                            .duration = entry->rollout.duration };
  rollout_bounds_t bounds = rollout_bounds_get (duty);
  rollout_verdict_t verdict
      = item != NULL && item->judge != NULL && item->judge_order == order.id
            ? item->result.verdict
            : ROLLOUT_UNDECIDED;

  *fraction = 0;
  if (entry->target == 0)
    return ROLLOUT_IDLE;
  /* The status follows the record, and outlives its loss.  */
  if (!rollout_record_applies (entry)
      || entry->revision > entry->record_revision)
    {
      if (entry->state == GS_ROLLOUT_COMPLETED)
        return ROLLOUT_COMPLETED;
      if (entry->state == GS_ROLLOUT_ROLLED_BACK)
        return ROLLOUT_ROLLED_BACK;
    }
  if (!rollout_record_applies (entry))
    return ROLLOUT_IDLE;
  return rollout_plan_node_stage (&order, &entry->record, &bounds,
                                  now - entry->confirmed_at, verdict,
                                  fraction);
}

static void
append_entry (const rollout_duty_t *duty, gs_time_t now,
              rollout_entry_t *entry, GArray *out)
{
  bool withdrawn = entry->target == 0;
  traffic_rollout_t row
      = { .target = withdrawn ? entry->record.target : entry->target };

  if (entry->settled || row.target == 0
      || (withdrawn && entry->record.stage == ROLLOUT_COMPLETED))
    return;
  row.stage = find_stage (duty, now, entry, &row.fraction);
  row.order = rollout_record_applies (entry) ? entry->record.order : 0;
  /* Later replicas of other versions are none of this order's.  */
  if ((row.stage == ROLLOUT_COMPLETED || withdrawn)
      && has_only_version (duties_replicas (duty->options.duties),
                           entry->service, row.target))
    {
      entry->settled = true;
      return;
    }
  row.base = find_base (duty, entry, row.target);
  memcpy (row.service, entry->service, sizeof row.service);
  g_array_append_val (out, row);
}

/* Until the orders are known, the version of a service whose replicas have
   started last may be the target of one.  */
static void
append_unknown (const rollout_duty_t *duty, GArray *out)
{
  const gs_replica_list_t *list = duties_replicas (duty->options.duties);
  GHashTable *entries = rollout_feed_entries (duty->options.feed);

  for (unsigned i = 0; list != NULL && i < list->count; i++)
    {
      const gs_replica_t *last = &list->rows[i];
      traffic_rollout_t row = { .stage = ROLLOUT_IDLE };
      bool is_last = !g_hash_table_contains (entries, last->service);

      for (unsigned j = 0; is_last && j < list->count; j++)
        {
          const gs_replica_t *other = &list->rows[j];

          if (strcmp (other->service, last->service) != 0)
            continue;
          is_last = other->started_ms < last->started_ms
                    || (other->started_ms == last->started_ms && j >= i);
        }
      row.target = placer_version_hash (last->version);
      if (!is_last || has_only_version (list, last->service, row.target))
        continue;
      memcpy (row.service, last->service, sizeof row.service);
      g_array_append_val (out, row);
    }
}

GArray *
rollout_duty_list (rollout_duty_t *duty, gs_time_t now)
{
  GArray *out;
  GHashTableIter iter;
  gpointer value;

  if (!duty->options.deployment->rollouts)
    return NULL;
  out = g_array_new (FALSE, TRUE, sizeof (traffic_rollout_t));
  g_hash_table_iter_init (&iter, rollout_feed_entries (duty->options.feed));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    append_entry (duty, now, value, out);
  if (!rollout_feed_is_listed (duty->options.feed))
    append_unknown (duty, out);
  return out;
}

/* @return the version whose replicas are not planned with; 0 for none  */
static uint64_t
unplanned_version (const rollout_duty_t *duty, const char *service)
{
  const rollout_entry_t *entry = g_hash_table_lookup (
      rollout_feed_entries (duty->options.feed), service);
  double fraction;

  if (!duty->options.deployment->rollouts || entry == NULL || entry->settled)
    return 0;
  if (entry->target == 0)
    return entry->record.stage != ROLLOUT_COMPLETED ? entry->record.target : 0;
  return find_stage (duty, 0, entry, &fraction) != ROLLOUT_COMPLETED
             ? entry->target
             : 0;
}

static bool
is_unplanned (const gs_replica_t *replica, const char *service,
              uint64_t version)
{
  return strcmp (replica->service, service) == 0
         && placer_version_hash (replica->version) == version;
}

gs_replica_list_t *
rollout_duty_planned_replicas (const rollout_duty_t *duty, const char *service,
                               gs_replica_list_t *list)
{
  uint64_t version = unplanned_version (duty, service);
  gs_replica_list_t *out;

  if (version == 0)
    return gs_replica_list_ref (list);
  out = g_malloc0 (sizeof *out + list->count * sizeof list->rows[0]);
  g_atomic_ref_count_init (&out->references);
  out->sequence = list->sequence;
  for (unsigned i = 0; i < list->count; i++)
    if (!is_unplanned (&list->rows[i], service, version))
      out->rows[out->count++] = list->rows[i];
  return out;
}

unsigned
rollout_duty_target_count (const rollout_duty_t *duty, const char *service,
                           const char *data_centre, bool spot)
{
  const gs_replica_list_t *list = duties_replicas (duty->options.duties);
  uint64_t version = unplanned_version (duty, service);
  unsigned count = 0;

  for (unsigned i = 0; version != 0 && list != NULL && i < list->count; i++)
    count += is_unplanned (&list->rows[i], service, version)
             && list->rows[i].state == GS_REPLICA_READY
             && list->rows[i].spot == spot
             && strcmp (list->rows[i].data_centre, data_centre) == 0;
  return count;
}
