#include "fleet/quarantine_store.h"

#include "garnetstack/log.h"

#include <stdlib.h>

#define OBJECT_NAME "keys"
/* As for the other objects of the nodes: the store normally answers within
   milliseconds, and takes up to fifty times as long when degraded.  */
#define STORE_TIMEOUT (800 * GS_MSEC)
#define RETRY_INTERVAL (500 * GS_MSEC)
/* Interval at which the holder of the lease looks for changes.  */
#define CHECK_INTERVAL (100 * GS_MSEC)

struct quarantine_store
{
  const gs_object_store_t *store;
  quarantine_t *quarantine;
  bool busy;
  bool read;         /* the store's object, or that there is none, is known */
  uint64_t revision; /* of the object; 0 if there is none */
  GHashTable *kept;  /* set of the keys that the object has */
  GHashTable *writing; /* set of the keys of the open write */
  gs_time_t due;
};

static GHashTable *
keys_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

static void
keys_add (GHashTable *keys, uint64_t key)
{
  g_hash_table_add (keys, g_memdup2 (&key, sizeof key));
}

void
quarantine_store_create (quarantine_store_t **out,
                         const gs_object_store_t *store,
                         quarantine_t *quarantine)
{
  quarantine_store_t *copy = g_new0 (quarantine_store_t, 1);

  copy->store = store;
  copy->quarantine = quarantine;
  copy->kept = keys_new ();
  copy->writing = keys_new ();
  *out = copy;
}

void
quarantine_store_destroy (quarantine_store_t *copy)
{
  if (copy == NULL)
    return;
  g_hash_table_unref (copy->writing);
  g_hash_table_unref (copy->kept);
  g_free (copy);
}

/* Times in the object are those of the wall clock, since it outlives the
   processes.  A value that cannot be read is skipped.  */
static void
object_import (quarantine_store_t *copy, gs_time_t now,
               const gs_object_t *object)
{
  int64_t wall = gs_clock_wall ();
  quarantine_rows_t rows;
  json_t *entry;
  size_t i;

  copy->revision = object->revision;
  g_hash_table_remove_all (copy->kept);
  quarantine_rows_init (&rows);
  json_array_foreach (json_object_get (object->value, "keys"), i, entry)
  {
    const char *text = json_string_value (json_object_get (entry, "id"));
    const json_t *at = json_object_get (entry, "since_ms");
    quarantine_key_row_t row = { .key = 0 };

    if (text == NULL || !json_is_integer (at)
        || rows.keys->len == QUARANTINE_KEYS_MAX)
      {
        gs_log (GS_LOG_WARN, "quarantine_skipped", "revision=%llu index=%zu",
                (unsigned long long)object->revision, i);
        continue;
      }
    row.is_request = json_is_true (json_object_get (entry, "is_request"));
    row.key = strtoull (text, NULL, 16);
    row.age_ms = (uint64_t)(wall / GS_MSEC
                            - CLAMP ((int64_t)json_integer_value (at), 0,
                                     wall / GS_MSEC));
    keys_add (copy->kept, row.key);
    g_array_append_val (rows.keys, row);
  }
  quarantine_import (copy->quarantine, now, &rows);
  quarantine_rows_clear (&rows);
}

static void
on_read (void *argument, const gs_object_result_t *result)
{
  quarantine_store_t *copy = argument;
  gs_time_t now = gs_clock_now ();

  copy->busy = false;
  copy->due = now + RETRY_INTERVAL;
  if (result->status == GS_OK && result->count == 1)
    object_import (copy, now, &result->objects[0]);
  else if (result->status == GS_ENOTFOUND)
    {
      copy->revision = 0;
      g_hash_table_remove_all (copy->kept);
    }
  else
    return;
  copy->read = true;
}

static void
on_written (void *argument, const gs_object_result_t *result)
{
  quarantine_store_t *copy = argument;
  gs_time_t now = gs_clock_now ();
  GHashTable *written = copy->writing;

  copy->busy = false;
  if (result->status == GS_OK && result->count == 1)
    {
      copy->revision = result->objects[0].revision;
      copy->writing = copy->kept;
      copy->kept = written;
    }
  else if (result->status == GS_ECONFLICT && result->count == 1)
    object_import (copy, now, &result->objects[0]);
  else
    {
      copy->read = false; /* whether it was written is not known */
      copy->due = now + RETRY_INTERVAL;
    }
}

/* @return the value to write, if it differs from what the store has; NULL if
   not.  Sets the keys that it has.  */
static json_t *
make_changed_value (quarantine_store_t *copy, gs_time_t now)
{
  json_t *list = json_array ();
  int64_t wall = gs_clock_wall ();
  bool changed = false;
  quarantine_rows_t rows;

  quarantine_rows_init (&rows);
  quarantine_export (copy->quarantine, now, &rows);
  g_hash_table_remove_all (copy->writing);
  for (guint i = 0; i < rows.keys->len; i++)
    {
      const quarantine_key_row_t *row
          = &g_array_index (rows.keys, quarantine_key_row_t, i);
      char id[17];

      if (row->released != 0)
        continue;
      g_snprintf (id, sizeof id, "%llx", (unsigned long long)row->key);
      json_array_append_new (
          list,
          json_pack ("{s:s, s:b, s:I}", "id", id, "is_request",
                     row->is_request != 0, "since_ms",
                     (json_int_t)(wall / GS_MSEC - (int64_t)row->age_ms)));
      keys_add (copy->writing, row->key);
      changed |= !g_hash_table_contains (copy->kept, &row->key);
    }
  changed
      |= g_hash_table_size (copy->writing) != g_hash_table_size (copy->kept);
  quarantine_rows_clear (&rows);
  if (changed)
    return json_pack ("{s:o}", "keys", list);
  json_decref (list);
  return NULL;
}

void
quarantine_store_tick (quarantine_store_t *copy, gs_time_t now, bool writes)
{
  const gs_object_store_t *store = copy->store;
  json_t *value;

  if (copy->busy || now < copy->due)
    return;
  if (!copy->read)
    {
      copy->busy = true;
      store->get (store->context, QUARANTINE_STORE_KIND, OBJECT_NAME,
                  now + STORE_TIMEOUT, on_read, copy);
      return;
    }
  copy->due = now + CHECK_INTERVAL;
  value = writes ? make_changed_value (copy, now) : NULL;
  if (value == NULL)
    return;
  copy->busy = true;
  store->put (store->context, QUARANTINE_STORE_KIND, OBJECT_NAME,
              copy->revision, value, now + STORE_TIMEOUT, on_written, copy);
}
