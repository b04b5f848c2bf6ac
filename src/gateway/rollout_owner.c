#include "gateway/rollout_duty_private.h"

#include "garnetstack/log.h"
#include "garnetstack/meter.h"

#include <string.h>
#include <xxhash.h>

/* The store normally answers within milliseconds, and takes up to fifty times
   as long when degraded.  */
#define STORE_TIMEOUT (800 * GS_MSEC)
#define RETRY_INTERVAL (150 * GS_MSEC)
/* The delay doubles with each status that is refused, up to 2.4 s, so that the
   store's limit is left to calls that it can answer.  */
#define RETRY_SHIFT_MAX 4
/* Age of the counts when the owner plans with them, and time until all nodes
   act on its record: a report of the traffic thread, an exchange between nodes
   in each direction, and the hand-over between threads.  */
#define COUNTS_LAG (2 * 300 * GS_MSEC + TRAFFIC_REPORT_INTERVAL)

static uint64_t
make_order_id (const rollout_entry_t *entry)
{
  uint64_t words[] = { XXH3_64bits (entry->service, strlen (entry->service)),
                       entry->target, entry->revision };

  return XXH3_64bits (words, sizeof words) | 1;
}

/* The object has one revision for the order and its status.  A final status
   that disappears, and a revision after the one at which the owner wrote the
   final status, are a new order of the same target.  */
static bool
is_reordered (const rollout_case_t *item)
{
  const rollout_stored_t *stored = &item->stored;
  uint64_t revision = item->entry->revision;

  return rollout_is_final (stored->record.stage)
         && (item->entry->reordered
             || (stored->settled_revision != 0
                 && revision > stored->settled_revision
                 && gs_object_revision_era (revision)
                        == gs_object_revision_era (stored->settled_revision)));
}

static rollout_order_t
find_order (const rollout_case_t *item)
{
  const rollout_entry_t *entry = item->entry;
  const rollout_stored_t *stored = &item->stored;
  bool same
      = stored->record.order != 0 && stored->record.target == entry->target;
  rollout_order_t order
      = { .target = entry->target, .duration = entry->rollout.duration };

  if (entry->target == 0)
    return (rollout_order_t){ .id = 0 };
  if (same && is_reordered (item))
    same = false;
  else if (!same && entry->state >= GS_ROLLOUT_COMPLETED)
    /* It has ended, and its record is lost.  */
    return (rollout_order_t){ .id = 0 };
  order.id = same ? stored->record.order : make_order_id (entry);
  return order;
}

static void
count_replicas (const rollout_case_t *item, uint64_t target,
                rollout_view_t *out)
{
  const rollout_duty_t *duty = item->duty;
  const gs_replica_list_t *list = duties_replicas (duty->options.duties);
  const traffic_report_t *report = duties_report (duty->options.duties);

  for (unsigned i = 0; list != NULL && i < list->count; i++)
    {
      const gs_replica_t *replica = &list->rows[i];
      bool is_target = placer_version_hash (replica->version) == target;
      uint64_t hash = placer_replica_hash (replica->id);

      if (strcmp (replica->service, item->entry->service) != 0)
        continue;
      if (replica->state == GS_REPLICA_READY)
        *(is_target ? &out->target_ready : &out->old_ready) += 1;
      if (is_target)
        continue;
      out->old_running
          += GPOINTER_TO_UINT (g_hash_table_lookup (duty->peer_loads, &hash));
      for (guint j = 0; report != NULL && j < report->loads->len; j++)
        {
          const placer_load_t *load
              = &g_array_index (report->loads, placer_load_t, j);

          if (strcmp (load->replica, replica->id) == 0)
            out->old_running += load->in_flight;
        }
    }
}

static void
log_record (const rollout_case_t *item)
{
  const rollout_record_t *record = &item->stored.record;
  char labels[128];

  gs_log (GS_LOG_INFO, "rollout_stage",
          "service=%s order=%llx target=%s stage=%s fraction=%.3f"
          " elapsed_ms=%lld reason=%s requests=%llu exposed=%llu answers=%llu"
          " bad=%llu evidence=%.1f",
          item->entry->service, (unsigned long long)record->order,
          item->stored.version, rollout_stage_name (record->stage),
          record->fraction, (long long)(record->elapsed / GS_MSEC),
          rollout_reason_name (record->reason),
          (unsigned long long)record->requests,
          (unsigned long long)record->exposed,
          (unsigned long long)item->result.answers,
          (unsigned long long)item->result.bad, item->result.evidence);
  g_snprintf (labels, sizeof labels, "service=\"%s\",stage=\"%s\"",
              item->entry->service, rollout_stage_name (record->stage));
  gs_meter_add ("rollout_steps_total", labels, 1);
}

static void on_record_written (void *argument,
                               const gs_object_result_t *result);

static void
write_record (rollout_case_t *item, gs_time_t now)
{
  const gs_object_store_t *store = item->duty->options.store;

  item->busy = true;
  store->put (store->context, ROLLOUT_RECORD_KIND, item->entry->service,
              item->stored_revision, rollout_record_encode (&item->writing),
              now + STORE_TIMEOUT, on_record_written, item);
}

static void
adopt_stored (rollout_case_t *item, gs_time_t now,
              const rollout_stored_t *stored, uint64_t revision)
{
  item->stored = *stored;
  item->stored_revision = revision;
  item->record_seen_at = now;
  item->record_read = true;
  if (stored->record.order != 0)
    rollout_feed_record_set (item->entry, now, &stored->record, revision);
}

/* A store that came back from an older copy may have lost the end of a
   roll-out that this fleet still knows; it is written again.
   @return whether a write was started  */
static bool
restore_end (rollout_case_t *item, gs_time_t now,
             const rollout_stored_t *stored, uint64_t revision)
{
  const rollout_record_t *known = &item->entry->record;

  if (known->order == 0 || known->order != stored->record.order
      || !rollout_is_final (known->stage)
      || rollout_is_final (stored->record.stage))
    return false;
  item->stored_revision = revision;
  item->writing = *stored;
  item->writing.record.stage = known->stage;
  item->writing.record.fraction = known->fraction;
  item->writing.record.reason = known->reason;
  write_record (item, now);
  return true;
}

static void
adopt_object (rollout_case_t *item, gs_time_t now, const gs_object_t *object)
{
  rollout_stored_t stored;

  if (rollout_record_decode (&stored, object->value) != GS_OK)
    {
      gs_log (GS_LOG_WARN, "rollout_record_not_readable",
              "service=%s reason=\"%s\"", item->entry->service,
              gs_error_last ());
      stored = (rollout_stored_t){ .settled_revision = 0 };
    }
  if (!restore_end (item, now, &stored, object->revision))
    adopt_stored (item, now, &stored, object->revision);
}

static void
on_record_read (void *argument, const gs_object_result_t *result)
{
  rollout_case_t *item = argument;
  gs_time_t now = gs_clock_now ();

  item->busy = false;
  if (result->status == GS_OK && result->count == 1)
    adopt_object (item, now, &result->objects[0]);
  else if (result->status == GS_ENOTFOUND)
    adopt_stored (item, now, &(rollout_stored_t){ .settled_revision = 0 }, 0);
  else
    item->due = now + RETRY_INTERVAL;
}

/* After an unknown outcome the record is read again before anything is
   derived from it.  */
static void
on_record_written (void *argument, const gs_object_result_t *result)
{
  rollout_case_t *item = argument;
  gs_time_t now = gs_clock_now ();

  item->busy = false;
  if (result->status == GS_OK && result->count == 1)
    {
      bool is_step = item->writing.settled_revision == 0;

      adopt_stored (item, now, &item->writing, result->objects[0].revision);
      if (is_step)
        log_record (item);
    }
  else if (result->status == GS_ECONFLICT && result->count == 1)
    adopt_object (item, now, &result->objects[0]);
  else
    {
      item->record_read = false;
      item->due = now + RETRY_INTERVAL;
    }
}

static void
on_status_written (void *argument, const gs_object_result_t *result)
{
  rollout_case_t *item = argument;
  gs_time_t now = gs_clock_now ();

  item->busy = false;
  gs_log (result->status == GS_OK ? GS_LOG_INFO : GS_LOG_WARN,
          "rollout_status", "service=%s target=%s state=%s status=%s",
          item->entry->service, item->stored.version,
          rollout_stage_state (item->stored.record.stage),
          gs_status_name (result->status));
  if (result->status != GS_OK)
    {
      /* The feed delivers the object as it is.  */
      item->due = now + (RETRY_INTERVAL << item->status_failures);
      item->status_failures = MIN (item->status_failures + 1, RETRY_SHIFT_MAX);
      return;
    }
  item->status_failures = 0;
  if (result->revision >= item->entry->revision)
    {
      item->entry->revision = result->revision;
      item->entry->state = item->writing_state;
    }
}

/* Records at which revision of the order its final status is written.  An
   order that is found with that status, and without that record or in a later
   era of the store, is taken to be as its owner left it.
   @return whether a write was started  */
static bool
settle_if_due (rollout_case_t *item, gs_time_t now,
               const rollout_order_t *order)
{
  const rollout_stored_t *stored = &item->stored;
  uint64_t revision = item->entry->revision;

  if (order->id == 0 || order->id != stored->record.order
      || !rollout_is_final (stored->record.stage)
      || (stored->settled_revision != 0
          && gs_object_revision_era (stored->settled_revision)
                 == gs_object_revision_era (revision)))
    return false;
  item->writing = *stored;
  item->writing.settled_revision = revision;
  write_record (item, now);
  return true;
}

/* @return whether a write was started  */
static bool
write_status_if_due (rollout_case_t *item, gs_time_t now,
                     const rollout_order_t *order)
{
  static const gs_rollout_state_t states[]
      = { [ROLLOUT_IDLE] = GS_ROLLOUT_RUNNING,
          [ROLLOUT_PROBATION] = GS_ROLLOUT_RUNNING,
          [ROLLOUT_SHIFT] = GS_ROLLOUT_RUNNING,
          [ROLLOUT_DRAINING] = GS_ROLLOUT_RUNNING,
          [ROLLOUT_COMPLETED] = GS_ROLLOUT_COMPLETED,
          [ROLLOUT_ROLLED_BACK] = GS_ROLLOUT_ROLLED_BACK };
  const rollout_duty_options_t *options = &item->duty->options;
  const rollout_entry_t *entry = item->entry;
  gs_rollout_state_t state = states[item->stored.record.stage];
  gs_object_t object = { .name = entry->name, .value = entry->value };

  if (order->id == 0 || order->id != item->stored.record.order
      || entry->value == NULL || entry->state == state)
    return false;
  item->busy = true;
  item->writing_state = state;
  options->store->put_status (options->store->context, options->kind,
                              entry->name, entry->revision, entry->value,
                              options->encode_status (&object, state),
                              now + STORE_TIMEOUT, on_status_written, item);
  return true;
}

static void
plan (rollout_case_t *item, gs_time_t now, const rollout_order_t *order)
{
  rollout_bounds_t bounds = rollout_bounds_get (item->duty);
  const rollout_record_t *record = &item->stored.record;
  int64_t wall_ms = gs_clock_wall () / GS_MSEC;
  rollout_view_t view = { .wall_ms = wall_ms,
                          .may_write = true,
                          .requests_per_sec = item->requests_per_sec,
                          .lag = COUNTS_LAG };
  rollout_record_t next;

  view.elapsed = rollout_plan_elapsed (
      record->order == order->id ? record : NULL, now, item->record_seen_at,
      item->entry->seen_at, wall_ms);
  if (item->judge != NULL && item->judge_order == order->id)
    view.result = item->result;
  count_replicas (item, order->id != 0 ? order->target : record->target,
                  &view);
  if (order->id != 0 && order->id != item->order_id)
    gs_log (GS_LOG_INFO, "rollout_ordered",
            "service=%s order=%llx target=%s duration_ms=%lld old=%u new=%u",
            item->entry->service, (unsigned long long)order->id,
            item->entry->rollout.target,
            (long long)(order->duration / GS_MSEC), view.old_ready,
            view.target_ready);
  item->order_id = order->id;
  if (!rollout_plan_step (order, record, &view, &bounds, &next))
    return;
  item->writing = (rollout_stored_t){ .record = next };
  /* A record of another order is first written as rolled back.  */
  g_strlcpy (item->writing.version,
             next.order == record->order ? item->stored.version
                                         : item->entry->rollout.target,
             sizeof item->writing.version);
  write_record (item, now);
}

void
rollout_owner_tick (rollout_case_t *item, gs_time_t now)
{
  const gs_object_store_t *store = item->duty->options.store;
  rollout_entry_t *entry = item->entry;
  rollout_order_t order;

  if (entry->record_revision > item->stored_revision
      && gs_object_revision_era (entry->record_revision) == item->duty->era)
    item->record_read = false;
  if (item->busy)
    return;
  if (!item->record_read)
    {
      if (now < item->due)
        return;
      item->busy = true;
      store->get (store->context, ROLLOUT_RECORD_KIND, entry->service,
                  now + STORE_TIMEOUT, on_record_read, item);
      return;
    }
  if (item->stored.record.order != 0)
    rollout_feed_record_set (entry, now, &item->stored.record,
                             item->stored_revision);
  /* An order of which only other nodes have told is read first.  */
  if (now < item->due || !rollout_feed_is_listed (item->duty->options.feed)
      || (entry->target != 0 && entry->value == NULL))
    return;
  order = find_order (item);
  if (!write_status_if_due (item, now, &order)
      && !settle_if_due (item, now, &order))
    plan (item, now, &order);
}
