#include "fakes/world.h"

#include <string.h>

#define WATCH_WAIT_DEFAULT_MS 30000

typedef struct
{
  uint64_t version;
  GBytes *body;
} stored_object_t;

/* A change of the store, as kept in its log.  */
typedef struct
{
  uint64_t revision;
  char *key;
  GBytes *body; /* NULL when removed */
} change_t;

typedef struct
{
  fake_call_t call; /* holds a reference to the exchange */
  char *prefix;
  uint64_t after;
  gs_time_t due;
} pending_watch_t;

/* Calls of one kind, and the highest count of a second.  */
typedef struct
{
  uint64_t total;
  uint64_t second;
  uint64_t in_second;
  uint64_t in_second_max;
} call_rate_t;

struct store
{
  GHashTable *objects; /* key -> stored_object_t */
  GPtrArray *log;      /* of change_t */
  GPtrArray *waiting;  /* of pending_watch_t */
  uint64_t revision;
  uint64_t compacted; /* watches from before this revision get 410 */
  call_rate_t reads;
  call_rate_t writes;
  call_rate_t watches;
};

static void
object_free (gpointer data)
{
  stored_object_t *object = data;

  g_bytes_unref (object->body);
  g_free (object);
}

static void
change_free (gpointer data)
{
  change_t *change = data;

  g_bytes_unref (change->body);
  g_free (change->key);
  g_free (change);
}

static void
pending_watch_free (gpointer data)
{
  pending_watch_t *waiting = data;

  gs_exchange_unref (waiting->call.exchange);
  g_free (waiting->prefix);
  g_free (waiting);
}

store_t *
store_create (void)
{
  store_t *store = g_new0 (store_t, 1);

  store->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free);
  store->log = g_ptr_array_new_with_free_func (change_free);
  store->waiting = g_ptr_array_new_with_free_func (pending_watch_free);
  return store;
}

void
store_destroy (store_t *store)
{
  g_ptr_array_unref (store->waiting);
  g_ptr_array_unref (store->log);
  g_hash_table_unref (store->objects);
  g_free (store);
}

static void
count_call (call_rate_t *rate)
{
  uint64_t second = (uint64_t)(gs_clock_now () / GS_SEC);

  rate->total++;
  if (second != rate->second)
    rate->in_second = 0;
  rate->second = second;
  rate->in_second++;
  rate->in_second_max = MAX (rate->in_second_max, rate->in_second);
}

static json_t *
rate_json (const call_rate_t *rate)
{
  return json_pack ("{s:I,s:I}", "total", (json_int_t)rate->total,
                    "per_second_max", (json_int_t)rate->in_second_max);
}

json_t *
store_stats (const store_t *store)
{
  return json_pack (
      "{s:o,s:o,s:o,s:I,s:i}", "reads", rate_json (&store->reads), "writes",
      rate_json (&store->writes), "watches", rate_json (&store->watches),
      "revision", (json_int_t)store->revision, "objects",
      (int)g_hash_table_size (store->objects));
}

static void
reply_version (const fake_call_t *call, unsigned status, uint64_t version,
               const char *body, size_t length)
{
  char text[24];
  const char *headers[] = { "X-Version", text, NULL };

  g_snprintf (text, sizeof text, "%llu", (unsigned long long)version);
  fake_reply (call, status, headers, body, length);
}

static void
apply_change (store_t *store, const change_t *change)
{
  stored_object_t *object;

  store->revision = change->revision;
  if (change->body == NULL)
    {
      g_hash_table_remove (store->objects, change->key);
      return;
    }
  object = g_new (stored_object_t, 1);
  object->version = change->revision;
  object->body = g_bytes_ref (change->body);
  g_hash_table_replace (store->objects, g_strdup (change->key), object);
}

/* @return the changes after a revision as JSON, NULL for none.  */
static json_t *
changes_after (const store_t *store, const char *prefix, uint64_t after)
{
  json_t *changes = json_array ();

  for (guint i = store->log->len; i > 0; i--)
    {
      const change_t *change = store->log->pdata[i - 1];

      if (change->revision <= after)
        break;
      if (g_str_has_prefix (change->key, prefix))
        json_array_insert_new (changes, 0,
                               json_pack ("{s:s,s:I,s:b}", "key", change->key,
                                          "version",
                                          (json_int_t)change->revision,
                                          "deleted", change->body == NULL));
    }
  if (json_array_size (changes) > 0)
    return changes;
  json_decref (changes);
  return NULL;
}

static void
reply_changes (const store_t *store, const fake_call_t *call, json_t *changes)
{
  json_t *root;
  char *text;

  fake_items_alter (call, changes);
  root = json_pack ("{s:I,s:o}", "revision", (json_int_t)store->revision,
                    "changes", changes);
  text = json_dumps (root, JSON_COMPACT);
  reply_version (call, 200, store->revision, text, strlen (text));
  free (text);
  json_decref (root);
}

/* @return true when the watch was answered or its connection is closed.  */
static bool
answer_watch (const store_t *store, const pending_watch_t *waiting,
              gs_time_t now)
{
  json_t *changes;

  if (waiting->after < store->compacted || waiting->after > store->revision)
    {
      reply_version (&waiting->call, 410, store->revision, "", 0);
      return true;
    }
  changes = changes_after (store, waiting->prefix, waiting->after);
  if (changes == NULL && now < waiting->due)
    return gs_exchange_closed (waiting->call.exchange);
  reply_changes (store, &waiting->call,
                 changes != NULL ? changes : json_array ());
  return true;
}

void
store_tick (store_t *store, gs_time_t now)
{
  for (guint i = store->waiting->len; i > 0; i--)
    if (answer_watch (store, store->waiting->pdata[i - 1], now))
      g_ptr_array_remove_index_fast (store->waiting, i - 1);
}

static void
handle_watch (store_t *store, const fake_call_t *call)
{
  const char *prefix = gs_exchange_query (call->exchange, "prefix");
  const char *after = gs_exchange_query (call->exchange, "after");
  const char *wait = gs_exchange_query (call->exchange, "wait_ms");
  pending_watch_t *waiting = g_new0 (pending_watch_t, 1);
  gs_time_t now = gs_clock_now ();

  count_call (&store->watches);
  waiting->call = *call;
  gs_exchange_ref (call->exchange);
  waiting->prefix = g_strdup (prefix != NULL ? prefix : "");
  waiting->after = after != NULL ? g_ascii_strtoull (after, NULL, 10) : 0;
  waiting->due = now
                 + (wait != NULL ? g_ascii_strtoll (wait, NULL, 10)
                                 : WATCH_WAIT_DEFAULT_MS)
                       * GS_MSEC;
  if (answer_watch (store, waiting, now))
    pending_watch_free (waiting);
  else
    g_ptr_array_add (store->waiting, waiting);
}

static void
handle_get (store_t *store, const fake_call_t *call, const char *key)
{
  const stored_object_t *object = g_hash_table_lookup (store->objects, key);
  gsize length;
  const char *body;

  if (object == NULL)
    {
      reply_version (call, 404, 0, "", 0);
      return;
    }
  body = g_bytes_get_data (object->body, &length);
  reply_version (call, 200, object->version, body, length);
}

static void
handle_list (const store_t *store, const fake_call_t *call)
{
  const char *prefix = gs_exchange_query (call->exchange, "prefix");
  json_t *items = json_array ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, store->objects);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (prefix == NULL || g_str_has_prefix (key, prefix))
      json_array_append_new (
          items, json_pack ("{s:s,s:I}", "key", (const char *)key, "version",
                            (json_int_t)((stored_object_t *)value)->version));
  fake_items_alter (call, items);
  fake_reply_json (call, 200,
                   json_pack ("{s:I,s:o}", "revision",
                              (json_int_t)store->revision, "objects", items));
}

/* Writes or removes an object if its version equals If-Version.  */
static void
handle_write (store_t *store, const fake_call_t *call, const char *key,
              bool remove)
{
  const stored_object_t *object = g_hash_table_lookup (store->objects, key);
  const char *expected = gs_exchange_header (call->exchange, "If-Version");
  uint64_t current = object != NULL ? object->version : 0;
  change_t *change;
  size_t length;
  const char *body = gs_exchange_body (call->exchange, &length);

  if (expected != NULL && g_ascii_strtoull (expected, NULL, 10) != current)
    {
      reply_version (call, 409, current, "", 0);
      return;
    }
  if (remove && object == NULL)
    {
      reply_version (call, 404, 0, "", 0);
      return;
    }
  change = g_new0 (change_t, 1);
  change->revision = store->revision + 1;
  change->key = g_strdup (key);
  change->body = remove ? NULL : g_bytes_new (body, length);
  g_ptr_array_add (store->log, change);
  apply_change (store, change);
  reply_version (call, 200, change->revision, "", 0);
  store_tick (store, gs_clock_now ());
}

void
store_call_handle (store_t *store, const fake_call_t *call, const char *path)
{
  const char *method = gs_exchange_method (call->exchange);
  bool remove = strcmp (method, "DELETE") == 0;

  if (strcmp (path, "/watch") == 0)
    handle_watch (store, call);
  else if (remove || strcmp (method, "PUT") == 0)
    {
      count_call (&store->writes);
      handle_write (store, call, path + strlen ("/objects/"), remove);
    }
  else
    {
      count_call (&store->reads);
      if (strcmp (path, "/objects") == 0)
        handle_list (store, call);
      else
        handle_get (store, call, path + strlen ("/objects/"));
    }
}

gs_status_t
store_restore (store_t *store, uint64_t revision, uint64_t back)
{
  guint keep_count = 0;

  if (back > 0)
    revision = store->revision > back ? store->revision - back : 0;
  if (revision > store->revision)
    return gs_error_set (GS_EINVAL,
                         "revision is newer than that of the store");
  g_hash_table_remove_all (store->objects);
  store->revision = 0;
  for (; keep_count < store->log->len; keep_count++)
    {
      const change_t *change = store->log->pdata[keep_count];

      if (change->revision > revision)
        break;
      apply_change (store, change);
    }
  g_ptr_array_set_size (store->log, (gint)keep_count);
  store->compacted = MIN (store->compacted, store->revision);
  store_tick (store, gs_clock_now ());
  return GS_OK;
}

void
store_compact (store_t *store)
{
  store->compacted = store->revision;
  store_tick (store, gs_clock_now ());
}
