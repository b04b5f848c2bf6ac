#include "fleet/rollout_feed.h"

#include "fleet/feed.h"
#include "garnetstack/log.h"
#include "policy/placer.h"

#include <string.h>

#define FRACTION_UNIT 1e6
#define STAGE_SHIFT 8
#define STATE_MASK 0xffU

struct rollout_feed
{
  feed_t *orders;
  rollout_decode_cb_t decode;
  bool listed;
  GHashTable *entries; /* service -> rollout_entry_t */
};

const row_layout_t rollout_row_layout
    = { sizeof (rollout_row_t),
        ROLLOUT_ROWS_MAX,
        9,
        { ROW_COLUMN (ROW_TEXT, rollout_row_t, service),
          ROW_COLUMN (ROW_NUMBER, rollout_row_t, target),
          ROW_COLUMN (ROW_NUMBER, rollout_row_t, revision),
          ROW_COLUMN (ROW_NUMBER, rollout_row_t, flags),
          ROW_COLUMN (ROW_NUMBER, rollout_row_t, order),
          ROW_COLUMN (ROW_NUMBER, rollout_row_t, record_target),
          ROW_COLUMN (ROW_NUMBER, rollout_row_t, record_revision),
          ROW_COLUMN (ROW_NUMBER, rollout_row_t, fraction_ppm),
          ROW_COLUMN (ROW_NUMBER, rollout_row_t, age_ms) } };

static void
entry_free (gpointer data)
{
  rollout_entry_t *entry = data;

  json_decref (entry->value);
  g_free (entry->name);
  g_free (entry);
}

/* @return the entry of a service; NULL if there are too many  */
static rollout_entry_t *
entry_ensure (rollout_feed_t *feed, const char *service)
{
  rollout_entry_t *entry = g_hash_table_lookup (feed->entries, service);

  if (entry != NULL || g_hash_table_size (feed->entries) >= ROLLOUT_ROWS_MAX)
    return entry;
  entry = g_new0 (rollout_entry_t, 1);
  g_strlcpy (entry->service, service, sizeof entry->service);
  g_hash_table_insert (feed->entries, entry->service, entry);
  return entry;
}

/* Keeps the target that another order replaces, since its replicas may be
   listed for some time, unless all traffic has moved to it.  */
static void
target_set (rollout_entry_t *entry, uint64_t target)
{
  bool completed = entry->state == GS_ROLLOUT_COMPLETED
                   || (entry->record.target == entry->target
                       && entry->record.stage == ROLLOUT_COMPLETED);

  if (target == entry->target)
    return;
  if (entry->target != 0)
    entry->former = completed ? 0 : entry->target;
  if (entry->former == target)
    entry->former = 0;
  entry->target = target;
}

static void
order_remove (rollout_feed_t *feed, gs_time_t now, const char *name)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, feed->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      rollout_entry_t *entry = value;

      if (entry->target == 0 || g_strcmp0 (entry->name, name) != 0)
        continue;
      gs_log (GS_LOG_INFO, "rollout_withdrawn", "service=%s", entry->service);
      target_set (entry, 0);
      entry->state = GS_ROLLOUT_OPEN;
      /* A removal has no revision of its own that all nodes see; the store has
         given at least this one to it.  */
      entry->revision++;
      entry->seen_at = now;
      json_decref (entry->value);
      entry->value = NULL;
    }
}

static void
on_order (void *context, gs_time_t now, const gs_object_t *object)
{
  rollout_feed_t *feed = context;
  rollout_entry_t *entry;
  gs_rollout_t rollout;
  uint64_t target;

  if (object->removed)
    {
      order_remove (feed, now, object->name);
      return;
    }
  if (feed->decode (&rollout, object) != GS_OK)
    {
      gs_log (GS_LOG_WARN, "rollout_refused",
              "object=%s revision=%llu reason=\"%s\"", object->name,
              (unsigned long long)object->revision, gs_error_last ());
      return;
    }
  entry = entry_ensure (feed, rollout.service);
  if (entry == NULL || object->revision < entry->revision)
    return;
  target = placer_version_hash (rollout.target);
  if (object->revision > entry->revision)
    entry->seen_at = now;
  entry->reordered = entry->target == target
                     && (entry->reordered
                         || (gs_object_revision_era (object->revision)
                                 == gs_object_revision_era (entry->revision)
                             && entry->state >= GS_ROLLOUT_COMPLETED
                             && rollout.state == GS_ROLLOUT_OPEN));
  if (target != entry->target)
    gs_log (GS_LOG_INFO, "rollout_seen",
            "service=%s target=%s duration_ms=%lld revision=%llu",
            rollout.service, rollout.target,
            (long long)(rollout.duration / GS_MSEC),
            (unsigned long long)object->revision);
  g_free (entry->name);
  entry->name = g_strdup (object->name);
  json_decref (entry->value);
  entry->value = json_incref (object->value);
  entry->rollout = rollout;
  target_set (entry, target);
  entry->state = rollout.state;
  entry->revision = object->revision;
  entry->settled = false;
}

static void
on_listed (void *context, gs_time_t now)
{
  (void)now;
  ((rollout_feed_t *)context)->listed = true;
}

static void
ignore_event (void *context, gs_time_t now)
{
  (void)context;
  (void)now;
}

void
rollout_feed_create (rollout_feed_t **out, const gs_object_store_t *store,
                     const char *kind, rollout_decode_cb_t decode,
                     uint64_t seed)
{
  rollout_feed_t *feed = g_new0 (rollout_feed_t, 1);
  feed_listener_t listener
      = { feed, on_order, on_listed, ignore_event, ignore_event };

  feed->decode = decode;
  feed->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  feed_create (&feed->orders, store, kind, &listener, seed);
  *out = feed;
}

void
rollout_feed_destroy (rollout_feed_t *feed)
{
  if (feed == NULL)
    return;
  feed_destroy (feed->orders);
  g_hash_table_unref (feed->entries);
  g_free (feed);
}

void
rollout_feed_tick (rollout_feed_t *feed, gs_time_t now, bool follows_store)
{
  feed_tick (feed->orders, now, follows_store || !feed->listed);
}

bool
rollout_feed_is_listed (const rollout_feed_t *feed)
{
  return feed->listed;
}

GHashTable *
rollout_feed_entries (const rollout_feed_t *feed)
{
  return feed->entries;
}

void
rollout_feed_record_set (rollout_entry_t *entry, gs_time_t now,
                         const rollout_record_t *record, uint64_t revision)
{
  if (record->order != entry->record.order)
    entry->settled = entry->reordered = false;
  entry->record = *record;
  entry->record_revision = revision;
  entry->confirmed_at = now;
}

void
rollout_feed_export (const rollout_feed_t *feed, gs_time_t now, GArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, feed->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const rollout_entry_t *entry = value;
      rollout_row_t row
          = { .target = entry->target,
              .revision = entry->revision,
              .flags = (uint64_t)entry->state
                       | (uint64_t)entry->record.stage << STAGE_SHIFT,
              .order = entry->record.order,
              .record_target = entry->record.target,
              .record_revision = entry->record_revision,
              .fraction_ppm
              = (uint64_t)(entry->record.fraction * FRACTION_UNIT + 0.5),
              .age_ms = (uint64_t)((now - entry->confirmed_at) / GS_MSEC) };

      memcpy (row.service, entry->service, sizeof row.service);
      g_array_append_val (out, row);
    }
}

static void
order_import (rollout_entry_t *entry, gs_time_t now, const rollout_row_t *row)
{
  uint64_t state = row->flags & STATE_MASK;

  if (row->revision <= entry->revision || state > GS_ROLLOUT_ROLLED_BACK)
    return;
  entry->revision = row->revision;
  target_set (entry, row->target);
  entry->state = (gs_rollout_state_t)state;
  entry->seen_at = now;
  entry->settled = false;
  /* The value belongs to another revision.  */
  json_decref (entry->value);
  entry->value = NULL;
}

static void
record_import (rollout_entry_t *entry, gs_time_t now, const rollout_row_t *row)
{
  uint64_t stage = row->flags >> STAGE_SHIFT;
  gs_time_t age
      = (gs_time_t)MIN (row->age_ms, (uint64_t)(GS_SEC * 3600 / GS_MSEC))
        * GS_MSEC;

  if (row->record_revision == 0 || stage > ROLLOUT_ROLLED_BACK
      || row->record_revision < entry->record_revision)
    return;
  if (row->record_revision > entry->record_revision)
    {
      if (entry->record.order != row->order)
        entry->settled = false;
      entry->record = (rollout_record_t){
        .order = row->order,
        .target = row->record_target,
        .stage = (rollout_stage_t)stage,
        .fraction
        = MIN ((double)row->fraction_ppm, FRACTION_UNIT) / FRACTION_UNIT
      };
      entry->record_revision = row->record_revision;
      entry->confirmed_at = now - age;
    }
  entry->confirmed_at = MAX (entry->confirmed_at, now - age);
}

void
rollout_feed_import (rollout_feed_t *feed, gs_time_t now, const GArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    {
      const rollout_row_t *row = &g_array_index (rows, rollout_row_t, i);
      rollout_entry_t *entry = entry_ensure (feed, row->service);

      if (entry == NULL)
        continue;
      order_import (entry, now, row);
      record_import (entry, now, row);
    }
}
