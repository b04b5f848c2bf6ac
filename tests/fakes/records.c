#include "fakes/world.h"

#include <string.h>

struct records
{
  GHashTable *executions; /* Idempotency-Key -> count */
  json_t *calls;          /* key -> list of executions */
  json_t *generations;    /* request id -> prompt and attempts */
  json_t *lists;          /* name -> list of events */
};

records_t *
records_create (void)
{
  records_t *records = g_new0 (records_t, 1);

  records->executions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  records->calls = json_object ();
  records->generations = json_object ();
  records->lists = json_object ();
  return records;
}

void
records_destroy (records_t *records)
{
  json_decref (records->lists);
  json_decref (records->generations);
  json_decref (records->calls);
  g_hash_table_unref (records->executions);
  g_free (records);
}

static void
append_item (json_t *object, const char *key, json_t *item)
{
  json_t *list = json_object_get (object, key);

  if (list == NULL)
    {
      list = json_array ();
      json_object_set_new (object, key, list);
    }
  json_array_append_new (list, item);
}

void
records_generation_add (records_t *records, const char *request_id,
                        const char *prompt, const char *mode, const char *vm,
                        unsigned recomputed)
{
  json_t *generation = json_object_get (records->generations, request_id);

  if (generation == NULL)
    {
      generation = json_pack ("{s:s}", "prompt", prompt);
      json_object_set_new (records->generations, request_id, generation);
    }
  append_item (generation, "attempts",
               json_pack ("{s:s,s:s,s:i}", "mode", mode, "vm", vm,
                          "recomputed", (int)recomputed));
}

void
records_event_add (records_t *records, const char *list, json_t *event)
{
  append_item (records->lists, list, event);
}

unsigned
records_executions_count (const records_t *records, const char *key)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (records->executions, key));
}

void
records_execution_add (records_t *records, const char *key,
                       const char *request_id, const char *vm)
{
  unsigned count = records_executions_count (records, key) + 1;

  g_hash_table_replace (records->executions, g_strdup (key),
                        GUINT_TO_POINTER (count));
  append_item (records->calls, key,
               json_pack ("{s:s,s:s}", "request_id", request_id, "vm", vm));
}

json_t *
records_executions_json (const records_t *records)
{
  json_t *root = json_object ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, records->executions);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_object_set_new (root, key,
                         json_integer ((json_int_t)GPOINTER_TO_UINT (value)));
  return root;
}

json_t *
records_json (const records_t *records)
{
  return json_pack ("{s:O,s:O,s:O}", "generations", records->generations,
                    "calls", records->calls, "events", records->lists);
}
