#include "fleet/stream_origins.h"

#include <string.h>
#include <xxhash.h>

/* Callers that wait longer than this may find their streams forgotten.  */
#define TTL_MAX (600 * GS_SEC)

static const row_layout_t stream_origin_layout
    = { sizeof (stream_origin_row_t),
        STREAM_ORIGIN_ROWS_MAX,
        3,
        { ROW_COLUMN (ROW_NUMBER, stream_origin_row_t, stream),
          ROW_COLUMN (ROW_NUMBER, stream_origin_row_t, version),
          ROW_COLUMN (ROW_NUMBER, stream_origin_row_t, left_ms) } };

static const row_layout_t stream_origin_key_layout
    = { sizeof (stream_origin_key_t),
        STREAM_ORIGIN_KEYS_MAX,
        1,
        { ROW_COLUMN (ROW_NUMBER, stream_origin_key_t, stream) } };

typedef struct
{
  stream_origin_t origin;
  unsigned source;
} origin_entry_t;

struct stream_origins
{
  GQueue entries;       /* of origin_entry_t, in the order of their numbers */
  uint64_t last_number; /* of the last entry; 0 before the first one */
  GHashTable *by_stream;
};

void
stream_origins_create (stream_origins_t **out)
{
  stream_origins_t *origins = g_new0 (stream_origins_t, 1);

  g_queue_init (&origins->entries);
  origins->by_stream = g_hash_table_new (g_int64_hash, g_int64_equal);
  *out = origins;
}

void
stream_origins_destroy (stream_origins_t *origins)
{
  if (origins == NULL)
    return;
  g_hash_table_unref (origins->by_stream);
  g_queue_clear_full (&origins->entries, g_free);
  g_free (origins);
}

uint64_t
stream_origins_hash (const char *attempt)
{
  return XXH3_64bits (attempt, strlen (attempt));
}

/* Removes entries from the front only, so that numbers stay contiguous; one
   that expires later than those behind it keeps them for a while.  */
static void
remove_expired (stream_origins_t *origins, gs_time_t now)
{
  const origin_entry_t *entry;

  while ((entry = g_queue_peek_head (&origins->entries)) != NULL
         && (entry->origin.expires_at <= now
             || g_queue_get_length (&origins->entries) >= STREAM_ORIGINS_MAX))
    {
      if (entry->source != 0)
        g_hash_table_remove (origins->by_stream, &entry->origin.stream);
      g_free (g_queue_pop_head (&origins->entries));
    }
}

void
stream_origins_add (stream_origins_t *origins, gs_time_t now,
                    const stream_origin_t *origin, unsigned source)
{
  origin_entry_t *entry;

  remove_expired (origins, now);
  entry = g_hash_table_lookup (origins->by_stream, &origin->stream);
  /* An aggregator may hear of a stream of its data centre from the other
     aggregator before the node where it began.  */
  if (origin->expires_at <= now
      || (entry != NULL && entry->origin.version == origin->version
          && (source == STREAM_ORIGIN_OTHER
              || entry->source != STREAM_ORIGIN_OTHER)))
    return;
  /* The earlier entry keeps its number, and is no longer found.  */
  if (entry != NULL)
    {
      g_hash_table_remove (origins->by_stream, &origin->stream);
      entry->source = 0;
    }
  entry = g_new (origin_entry_t, 1);
  *entry = (origin_entry_t){ *origin, source };
  entry->origin.expires_at = MIN (origin->expires_at, now + TTL_MAX);
  g_queue_push_tail (&origins->entries, entry);
  g_hash_table_insert (origins->by_stream, &entry->origin.stream, entry);
  origins->last_number++;
}

void
stream_origins_import (stream_origins_t *origins, gs_time_t now,
                       const GArray *rows, unsigned source)
{
  for (guint i = 0; i < rows->len; i++)
    {
      const stream_origin_row_t *row
          = &g_array_index (rows, stream_origin_row_t, i);
      uint64_t left_ms = MIN (row->left_ms, (uint64_t)(TTL_MAX / GS_MSEC));
      stream_origin_t origin
          = { row->stream, row->version, now + (gs_time_t)left_ms * GS_MSEC };

      stream_origins_add (origins, now, &origin, source);
    }
}

bool
stream_origins_find (const stream_origins_t *origins, gs_time_t now,
                     uint64_t stream, uint64_t *version)
{
  const origin_entry_t *entry
      = g_hash_table_lookup (origins->by_stream, &stream);

  if (entry == NULL || entry->origin.expires_at <= now)
    return false;
  *version = entry->origin.version;
  return true;
}

uint64_t
stream_origins_last (const stream_origins_t *origins)
{
  return origins->last_number;
}

static void
append_row (const origin_entry_t *entry, gs_time_t now, GArray *out)
{
  stream_origin_row_t row
      = { entry->origin.stream, entry->origin.version,
          (uint64_t)((entry->origin.expires_at - now) / GS_MSEC) };

  g_array_append_val (out, row);
}

uint64_t
stream_origins_export (const stream_origins_t *origins, gs_time_t now,
                       uint64_t after, unsigned sources, GArray *out)
{
  uint64_t missing
      = after < origins->last_number ? origins->last_number - after : 0;
  guint length = origins->entries.length;
  GList *link = missing >= length
                    ? origins->entries.head
                    : g_queue_peek_nth_link ((GQueue *)&origins->entries,
                                             length - (guint)missing);
  uint64_t number = origins->last_number - MIN (missing, length);

  for (; missing > 0 && link != NULL && out->len < STREAM_ORIGIN_ROWS_MAX;
       link = link->next, number++)
    {
      const origin_entry_t *entry = link->data;

      if ((entry->source & sources) != 0 && entry->origin.expires_at > now)
        append_row (entry, now, out);
    }
  return number;
}

void
stream_origins_look_up (const stream_origins_t *origins, gs_time_t now,
                        const GArray *keys, GArray *out)
{
  for (guint i = 0; i < keys->len && out->len < STREAM_ORIGIN_ROWS_MAX; i++)
    {
      const stream_origin_key_t *key
          = &g_array_index (keys, stream_origin_key_t, i);
      const origin_entry_t *entry
          = g_hash_table_lookup (origins->by_stream, &key->stream);

      if (entry != NULL && entry->origin.expires_at > now)
        append_row (entry, now, out);
    }
}

void
stream_origins_part_init (stream_origins_part_t *part)
{
  *part = (stream_origins_part_t){
    .rows = g_array_new (FALSE, TRUE, sizeof (stream_origin_row_t))
  };
}

void
stream_origins_part_clear (stream_origins_part_t *part)
{
  if (part->rows != NULL)
    g_array_unref (part->rows);
  part->rows = NULL;
}

void
stream_origins_part_pack (msgpack_packer *out,
                          const stream_origins_part_t *part)
{
  msgpack_pack_uint64 (out, part->last);
  msgpack_pack_uint64 (out, part->received);
  msgpack_pack_uint64 (out, part->received_from);
  row_codec_pack (out, &stream_origin_layout, part->rows);
}

void
stream_origins_part_read (row_reader_t *reader, stream_origins_part_t *part)
{
  if (!row_reader_has_next (reader))
    return;
  part->last = row_reader_number (reader);
  part->received = row_reader_number (reader);
  part->received_from = row_reader_number (reader);
  row_reader_rows (reader, &stream_origin_layout, part->rows);
}

void
stream_origin_keys_pack (msgpack_packer *out, const GArray *keys)
{
  row_codec_pack (out, &stream_origin_key_layout, keys);
}

void
stream_origin_keys_read (row_reader_t *reader, GArray *out)
{
  row_reader_rows (reader, &stream_origin_key_layout, out);
}
