#include "fleet/origin_store.h"

#include "garnetstack/log.h"

#include <stdio.h>
#include <string.h>

/* As for the other objects of the nodes: the store normally answers within
   milliseconds, and takes up to fifty times as long when degraded.  */
#define STORE_TIMEOUT (800 * GS_MSEC)
#define RETRY_INTERVAL (500 * GS_MSEC)

typedef struct
{
  uint64_t stream;
  uint64_t version;
  int64_t expires_ms; /* by the wall clock of the node that wrote it */
} kept_row_t;

struct origin_store
{
  const gs_object_store_t *store;
  char *node;
  stream_origins_t *origins;
  bool busy;
  bool listed;       /* the objects of all nodes have been read */
  bool read;         /* the revision of the own object is known */
  char *after_name;  /* of the list that is being read */
  uint64_t revision; /* of the own object; 0 if there is none */
  uint64_t era;      /* of the store, when the own object was last read */
  GArray *rows;      /* of kept_row_t: what the own object should have */
  uint64_t taken;    /* last row of the origins that is in rows */
  uint64_t changes;  /* number of changes of rows */
  uint64_t written;  /* changes that the own object has */
  uint64_t writing;  /* changes of the open write */
  unsigned objects;  /* read at startup */
  unsigned imported; /* streams in them */
  gs_time_t due;
  gs_time_t now;   /* of the last tick */
  int64_t wall_ms; /* of the last tick */
};

void
origin_store_create (origin_store_t **out, const gs_object_store_t *store,
                     const char *node, stream_origins_t *origins)
{
  origin_store_t *kept = g_new0 (origin_store_t, 1);

  kept->store = store;
  kept->node = g_strdup (node);
  kept->origins = origins;
  kept->rows = g_array_new (FALSE, FALSE, sizeof (kept_row_t));
  *out = kept;
}

void
origin_store_destroy (origin_store_t *kept)
{
  if (kept == NULL)
    return;
  g_array_unref (kept->rows);
  g_free (kept->after_name);
  g_free (kept->node);
  g_free (kept);
}

static uint64_t
store_era (const origin_store_t *kept)
{
  return kept->store->era != NULL ? kept->store->era (kept->store->context)
                                  : 0;
}

static bool
row_parse (kept_row_t *out, const char *text)
{
  unsigned long long stream;
  unsigned long long version;
  long long expires_ms;
  int length = 0;

  if (text == NULL
      || sscanf (text, "%16llx %16llx %15lld%n", &stream, &version,
                 &expires_ms, &length)
             != 3
      || text[length] != '\0' || version == 0)
    return false;
  *out = (kept_row_t){ stream, version, expires_ms };
  return true;
}

/* @return how long a row still counts.  Its time is that of the clock of the
   node that wrote it, which may be behind.  */
static gs_time_t
row_time_left (const origin_store_t *kept, const kept_row_t *row)
{
  return (gs_time_t)(row->expires_ms - kept->wall_ms) * GS_MSEC
         + ORIGIN_STORE_SKEW_MAX;
}

/* Adds streams from the store.  What is known already is newer, and of two
   rows of a stream the later one: the first attempt may have gone to another
   replica.  */
static void
rows_import (origin_store_t *kept, const GArray *rows)
{
  for (guint i = rows->len; i > 0; i--)
    {
      const kept_row_t *row = &g_array_index (rows, kept_row_t, i - 1);
      gs_time_t left = row_time_left (kept, row);
      uint64_t version;

      if (left <= 0
          || stream_origins_find (kept->origins, kept->now, row->stream,
                                  &version))
        continue;
      stream_origins_add (
          kept->origins, kept->now,
          &(stream_origin_t){ row->stream, row->version, kept->now + left },
          STREAM_ORIGIN_OTHER);
      kept->imported++;
    }
}

static void
object_import (origin_store_t *kept, const gs_object_t *object)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (kept_row_t));
  json_t *entry;
  size_t i;

  json_array_foreach (json_object_get (object->value, "streams"), i, entry)
  {
    kept_row_t row;

    if (rows->len < ORIGIN_STORE_ROWS_MAX
        && row_parse (&row, json_string_value (entry)))
      g_array_append_val (rows, row);
    else
      gs_log (GS_LOG_WARN, "origin_skipped", "revision=%llu index=%zu",
              (unsigned long long)object->revision, i);
  }
  rows_import (kept, rows);
  kept->objects++;
  if (strcmp (object->name, kept->node) == 0)
    {
      g_array_set_size (kept->rows, 0);
      g_array_append_vals (kept->rows, rows->data, rows->len);
      kept->revision = object->revision;
    }
  g_array_unref (rows);
}

static void
on_listed (void *argument, const gs_object_result_t *result)
{
  origin_store_t *kept = argument;
  kept->busy = false;
  g_clear_pointer (&kept->after_name, g_free);
  if (result->status != GS_OK && result->status != GS_ENOTFOUND)
    {
      kept->due = kept->now + RETRY_INTERVAL;
      return;
    }
  for (unsigned i = 0; i < result->count; i++)
    object_import (kept, &result->objects[i]);
  if (result->more && result->count > 0)
    {
      kept->after_name = g_strdup (result->objects[result->count - 1].name);
      return;
    }
  kept->listed = true;
  kept->read = true;
  kept->era = store_era (kept);
  gs_log (GS_LOG_INFO, "origins_read", "objects=%u streams=%u", kept->objects,
          kept->imported);
}

static void
on_read (void *argument, const gs_object_result_t *result)
{
  origin_store_t *kept = argument;

  kept->busy = false;
  if (result->status == GS_OK && result->count == 1)
    kept->revision = result->objects[0].revision;
  else if (result->status == GS_ENOTFOUND)
    kept->revision = 0;
  else
    {
      kept->due = kept->now + RETRY_INTERVAL;
      return;
    }
  kept->read = true;
}

/* The own object holds no rows that this process does not have: it wrote them,
   or has read them at startup.  So after a conflict it is written over.  */
static void
on_written (void *argument, const gs_object_result_t *result)
{
  origin_store_t *kept = argument;

  kept->busy = false;
  if (result->status == GS_OK && result->count == 1)
    {
      kept->revision = result->objects[0].revision;
      kept->written = kept->writing;
      return;
    }
  /* Whether it was written is not known.  */
  kept->read = false;
  if (result->status != GS_ECONFLICT && result->status != GS_ENOTFOUND)
    kept->due = kept->now + RETRY_INTERVAL;
  gs_log (GS_LOG_WARN, "origins_not_written", "status=%s rows=%u",
          gs_status_name (result->status), kept->rows->len);
}

/* Takes the streams that have been added since the last call.  */
static void
take_new (origin_store_t *kept, gs_time_t now, int64_t wall_ms,
          unsigned sources)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (stream_origin_row_t));
  uint64_t before;

  do
    {
      before = kept->taken;
      g_array_set_size (rows, 0);
      kept->taken
          = stream_origins_export (kept->origins, now, before, sources, rows);
      for (guint i = 0; i < rows->len; i++)
        {
          const stream_origin_row_t *from
              = &g_array_index (rows, stream_origin_row_t, i);
          kept_row_t row = { from->stream, from->version,
                             wall_ms + (int64_t)from->left_ms };

          g_array_append_val (kept->rows, row);
          kept->changes++;
        }
    }
  while (kept->taken != before);
  g_array_unref (rows);
}

static void
remove_expired (origin_store_t *kept)
{
  guint count = 0;

  for (guint i = 0; i < kept->rows->len; i++)
    {
      const kept_row_t *row = &g_array_index (kept->rows, kept_row_t, i);

      if (row_time_left (kept, row) > 0)
        g_array_index (kept->rows, kept_row_t, count++) = *row;
    }
  g_array_set_size (kept->rows, count);
  if (count > ORIGIN_STORE_ROWS_MAX)
    {
      gs_log (GS_LOG_WARN, "origins_left_out", "rows=%u",
              count - ORIGIN_STORE_ROWS_MAX);
      g_array_remove_range (kept->rows, 0, count - ORIGIN_STORE_ROWS_MAX);
    }
}

static json_t *
rows_encode (const origin_store_t *kept)
{
  json_t *list = json_array ();

  for (guint i = 0; i < kept->rows->len; i++)
    {
      const kept_row_t *row = &g_array_index (kept->rows, kept_row_t, i);
      char text[64];

      g_snprintf (
          text, sizeof text, "%llx %llx %lld", (unsigned long long)row->stream,
          (unsigned long long)row->version, (long long)row->expires_ms);
      json_array_append_new (list, json_string (text));
    }
  return json_pack ("{s:o}", "streams", list);
}

void
origin_store_tick (origin_store_t *kept, gs_time_t now, int64_t wall_ms,
                   unsigned sources)
{
  const gs_object_store_t *store = kept->store;

  kept->now = now;
  kept->wall_ms = wall_ms;
  if (kept->busy || now < kept->due)
    return;
  if (!kept->listed)
    {
      kept->busy = true;
      store->list (store->context, ORIGIN_STORE_KIND, kept->after_name,
                   now + STORE_TIMEOUT, on_listed, kept);
      return;
    }
  if (sources != 0)
    take_new (kept, now, wall_ms, sources);
  remove_expired (kept);
  /* A store that came back from an older copy has lost rows.  */
  if (store_era (kept) != kept->era)
    {
      kept->era = store_era (kept);
      kept->read = false;
      kept->changes++;
    }
  if (kept->changes == kept->written || kept->rows->len == 0)
    return;
  kept->busy = true;
  if (!kept->read)
    {
      store->get (store->context, ORIGIN_STORE_KIND, kept->node,
                  now + STORE_TIMEOUT, on_read, kept);
      return;
    }
  kept->due = now + ORIGIN_STORE_INTERVAL;
  kept->writing = kept->changes;
  store->put (store->context, ORIGIN_STORE_KIND, kept->node, kept->revision,
              rows_encode (kept), now + STORE_TIMEOUT, on_written, kept);
}
