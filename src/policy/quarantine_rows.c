#include "policy/quarantine_private.h"

#include "garnetstack/log.h"

static const row_layout_t loss_layout
    = { sizeof (quarantine_loss_row_t),
        QUARANTINE_LOSSES_SENT_MAX,
        9,
        { ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, key),
          ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, prompt),
          ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, process),
          ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, service),
          ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, sent_age_ms),
          ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, lost_age_ms),
          ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, position),
          ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, cleared),
          ROW_COLUMN (ROW_NUMBER, quarantine_loss_row_t, is_request) } };
static const row_layout_t key_layout
    = { sizeof (quarantine_key_row_t),
        QUARANTINE_KEYS_MAX,
        4,
        { ROW_COLUMN (ROW_NUMBER, quarantine_key_row_t, key),
          ROW_COLUMN (ROW_NUMBER, quarantine_key_row_t, age_ms),
          ROW_COLUMN (ROW_NUMBER, quarantine_key_row_t, is_request),
          ROW_COLUMN (ROW_NUMBER, quarantine_key_row_t, released) } };

void
quarantine_rows_init (quarantine_rows_t *rows)
{
  *rows = (quarantine_rows_t){
    .losses = g_array_new (FALSE, TRUE, sizeof (quarantine_loss_row_t)),
    .keys = g_array_new (FALSE, TRUE, sizeof (quarantine_key_row_t))
  };
}

void
quarantine_rows_clear (quarantine_rows_t *rows)
{
  g_clear_pointer (&rows->losses, g_array_unref);
  g_clear_pointer (&rows->keys, g_array_unref);
}

void
quarantine_rows_pack (msgpack_packer *out, const quarantine_rows_t *rows)
{
  row_codec_pack (out, &loss_layout, rows->losses);
  row_codec_pack (out, &key_layout, rows->keys);
}

void
quarantine_rows_read (row_reader_t *reader, quarantine_rows_t *out)
{
  if (!row_reader_has_next (reader))
    return;
  row_reader_rows (reader, &loss_layout, out->losses);
  row_reader_rows (reader, &key_layout, out->keys);
}

static gs_time_t
time_of_age (gs_time_t now, uint64_t age_ms)
{
  return now
         - (gs_time_t)MIN (age_ms, (uint64_t)(QUARANTINE_TTL / GS_MSEC))
               * GS_MSEC;
}

/* A release of a key that is not in quarantine here is kept for the case that
   a node which does not know of it sends the quarantine.  */
static void
import_release (quarantine_t *quarantine, gs_time_t now,
                const quarantine_key_row_t *row)
{
  gs_time_t at = time_of_age (now, row->age_ms);
  quarantine_suspect_t *suspect;

  if (now >= at + QUARANTINE_TTL)
    return;
  suspect
      = quarantine_suspect_ensure (quarantine, row->key, row->is_request != 0);
  if (suspect->quarantined_at == 0)
    {
      /* Ages are rounded on their way, each time a bit.  */
      if (at > suspect->released_at + GS_SEC)
        suspect->released_at = at;
    }
  else if (at >= suspect->quarantined_at)
    {
      suspect->released_at = at;
      quarantine_suspect_release (quarantine, now, suspect,
                                  "answered_at_peer");
    }
}

/* The earliest time counts, so that a quarantine ends although nodes tell each
   other of it again and again.  */
static void
import_key (quarantine_t *quarantine, gs_time_t now,
            const quarantine_key_row_t *row)
{
  gs_time_t at = time_of_age (now, row->age_ms);
  quarantine_suspect_t *suspect
      = quarantine_suspect_find (quarantine, row->key);

  if (now >= at + quarantine->ttl
      || (suspect != NULL && at <= suspect->released_at))
    return;
  suspect
      = quarantine_suspect_ensure (quarantine, row->key, row->is_request != 0);
  if (suspect->quarantined_at != 0)
    {
      suspect->quarantined_at = MIN (suspect->quarantined_at, at);
      return;
    }
  quarantine_suspect_add (quarantine, now, suspect, at);
  quarantine_explained_clear (quarantine, now, suspect);
  if (quarantine->decides)
    gs_log (GS_LOG_WARN, "quarantine", "%s=%llx age_ms=%llu source=peer",
            quarantine_kind_name (suspect), (unsigned long long)row->key,
            (unsigned long long)row->age_ms);
}

void
quarantine_import (quarantine_t *quarantine, gs_time_t now,
                   const quarantine_rows_t *rows)
{
  for (guint i = 0; i < rows->losses->len; i++)
    {
      const quarantine_loss_row_t *row
          = &g_array_index (rows->losses, quarantine_loss_row_t, i);
      quarantine_loss_t loss
          = { .prompt = row->prompt,
              .process = row->process,
              .service = row->service,
              .sent_at = time_of_age (now, row->sent_age_ms),
              .lost_at = time_of_age (now, row->lost_age_ms),
              .position = row->position,
              .cleared = row->cleared != 0 };

      quarantine_loss_put (quarantine, now, row->key, row->is_request != 0,
                           &loss);
    }
  for (guint i = 0; i < rows->keys->len; i++)
    {
      const quarantine_key_row_t *row
          = &g_array_index (rows->keys, quarantine_key_row_t, i);

      if (row->released != 0)
        import_release (quarantine, now, row);
      else
        import_key (quarantine, now, row);
    }
}

static uint64_t
age_ms (gs_time_t now, gs_time_t then)
{
  return (uint64_t)(MAX (now - then, 0) / GS_MSEC);
}

static int
compare_loss_ages (gconstpointer a, gconstpointer b)
{
  const quarantine_loss_row_t *left = a;
  const quarantine_loss_row_t *right = b;

  return left->lost_age_ms < right->lost_age_ms
             ? -1
             : left->lost_age_ms > right->lost_age_ms;
}

static void
export_losses (const quarantine_suspect_t *suspect, gs_time_t now, GArray *out)
{
  for (guint i = 0; i < suspect->losses->len; i++)
    {
      const quarantine_loss_t *loss = quarantine_loss (suspect, i);
      quarantine_loss_row_t row = { .key = suspect->key,
                                    .prompt = loss->prompt,
                                    .process = loss->process,
                                    .service = loss->service,
                                    .sent_age_ms = age_ms (now, loss->sent_at),
                                    .lost_age_ms = age_ms (now, loss->lost_at),
                                    .position = loss->position,
                                    .cleared = loss->cleared,
                                    .is_request = suspect->is_request };

      if (now <= loss->changed_at + QUARANTINE_SEND_PERIOD)
        g_array_append_val (out, row);
    }
}

bool
quarantine_key_find (const quarantine_t *quarantine, gs_time_t now,
                     uint64_t key, quarantine_key_row_t *out)
{
  const quarantine_suspect_t *suspect
      = quarantine_suspect_find (quarantine, key);
  bool quarantined;

  if (suspect == NULL)
    return false;
  quarantined = quarantine_suspect_end (quarantine, suspect, now) != 0;
  *out = (quarantine_key_row_t){
    .key = key,
    .age_ms = age_ms (now, quarantined ? suspect->quarantined_at
                                       : suspect->released_at),
    .is_request = suspect->is_request,
    .released = !quarantined,
  };
  return quarantined
         || (suspect->released_at != 0
             && now <= suspect->released_at + QUARANTINE_TTL);
}

static void
export_keys (const quarantine_t *quarantine, gs_time_t now, bool released,
             guint max, GArray *out)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (out->len < max && g_hash_table_iter_next (&iter, &key, NULL))
    {
      quarantine_key_row_t row;

      if (quarantine_key_find (quarantine, now, *(const uint64_t *)key, &row)
          && (row.released != 0) == released)
        g_array_append_val (out, row);
    }
}

void
quarantine_export (quarantine_t *quarantine, gs_time_t now,
                   quarantine_rows_t *out)
{
  GHashTableIter iter;
  gpointer value;

  out->made_at = now;
  quarantine_expire (quarantine, now);
  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    export_losses (value, now, out->losses);
  if (out->losses->len > QUARANTINE_LOSSES_SENT_MAX)
    {
      g_array_sort (out->losses, compare_loss_ages);
      g_array_set_size (out->losses, QUARANTINE_LOSSES_SENT_MAX);
    }
  /* A quarantine that is not sent costs more than a release.  */
  export_keys (quarantine, now, false, QUARANTINE_KEYS_MAX, out->keys);
  export_keys (quarantine, now, true, QUARANTINE_KEYS_MAX, out->keys);
}

void
quarantine_keys_export (quarantine_t *quarantine, gs_time_t now, GArray *out)
{
  quarantine_expire (quarantine, now);
  export_keys (quarantine, now, false, G_MAXUINT, out);
  export_keys (quarantine, now, true, G_MAXUINT, out);
}

void
quarantine_key_set (quarantine_t *quarantine, gs_time_t now,
                    const quarantine_key_row_t *row)
{
  const quarantine_suspect_t *suspect
      = quarantine_suspect_find (quarantine, row->key);
  quarantine_key_row_t adjusted = *row;

  /* Clocks of other nodes are not comparable with the time of an event that
     this process has seen.  */
  if (suspect != NULL
      && time_of_age (now, row->age_ms) <= (row->released != 0
                                                ? suspect->quarantined_at
                                                : suspect->released_at))
    adjusted.age_ms = 0;
  if (row->released == 0)
    import_key (quarantine, now, &adjusted);
  else if (suspect != NULL && suspect->quarantined_at != 0)
    import_release (quarantine, now, &adjusted);
}

unsigned
quarantine_count (const quarantine_t *quarantine)
{
  return quarantine->quarantined_count;
}
