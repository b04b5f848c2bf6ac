#include "fleet/feed.h"

#include "garnetstack/log.h"
#include "garnetstack/metrics.h"
#include "garnetstack/settings.h"
#include "wire/json_load.h"

#include <glib.h>
#include <string.h>

/* Each watch ends after this time, so that a silent connection is detected
   even if TCP keepalive does not detect it.  A change missed meanwhile still
   takes effect in time: within the 2 s that follow the 3 s for which the node
   counts as disturbed.  */
#define WATCH_TIMEOUT (3500 * GS_MSEC)
/* The store normally answers within a few milliseconds, and takes up to fifty
   times as long when degraded.  The time that a page of a list takes also
   depends on its size and on other use of this node's link, so a list that
   timed out gets twice the time, up to the maximum.  */
#define LIST_TIMEOUT_MIN (1500 * GS_MSEC)
#define LIST_TIMEOUT_MAX (4 * LIST_TIMEOUT_MIN)
/* Pause after a watch that returned changes, so that the next watch returns
   several at once and leaves the store's limit to others.  The pause is a
   small part of the time within which a change must take effect.  */
#define WATCH_BATCH_INTERVAL (100 * GS_MSEC)
/* Exponential backoff after a failed call; the bound is well below the 2 s
   within which a change must take effect.  */
#define RETRY_DELAY_MIN (100 * GS_MSEC)
#define RETRY_DELAY_MAX (400 * GS_MSEC)
/* A peer that needs older removals than these gets a full export.  */
#define TOMBSTONES_MAX 256

typedef struct
{
  char *name;
  uint64_t revision;
  json_t *value;
} cached_object_t;

/* Records the removal of an object, for exports to other nodes.  */
typedef struct
{
  char name[GS_NAME_BYTES];
  uint64_t revision; /* store revision by which the object was removed */
} tombstone_t;

struct feed
{
  const gs_object_store_t *store;
  char *kind;
  feed_listener_t listener;
  gs_rng_t rng;
  GHashTable *objects;         /* name -> cached_object_t */
  GQueue tombstones;           /* of tombstone_t, oldest first */
  uint64_t compacted_revision; /* removals up to it may be missing */
  uint64_t revision;           /* store revision of the objects */
  uint64_t list_revision;      /* of the first page of the list in progress */
  char *list_after;         /* last name of the previous page; NULL for none */
  GHashTable *listed_names; /* names in the list in progress */
  bool needs_list;          /* the next call is a list, not a watch */
  bool busy;                /* a call is open */
  uint64_t call_sequence;   /* number of the last call */
  GHashTable *calls;        /* set of feed_call_t that are open */
  gs_time_t due;            /* earliest time of the next call */
  gs_time_t retry_delay;
  gs_time_t list_timeout;
  gs_time_t store_lost_at;
};

/* Identifies a call, so that one can be given up while it is open.  */
typedef struct
{
  feed_t *feed;
  uint64_t sequence;
} feed_call_t;

static void
cached_object_free (gpointer data)
{
  cached_object_t *cached = data;

  json_decref (cached->value);
  g_free (cached->name);
  g_free (cached);
}

void
feed_create (feed_t **out, const gs_object_store_t *store, const char *kind,
             const feed_listener_t *listener, uint64_t seed)
{
  feed_t *feed = g_new0 (feed_t, 1);

  feed->store = store;
  feed->kind = g_strdup (kind);
  feed->listener = *listener;
  feed->needs_list = true;
  feed->retry_delay = RETRY_DELAY_MIN;
  feed->list_timeout = LIST_TIMEOUT_MIN;
  gs_rng_seed (&feed->rng, seed);
  feed->objects = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         cached_object_free);
  feed->listed_names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  feed->calls = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  *out = feed;
}

void
feed_destroy (feed_t *feed)
{
  if (feed == NULL)
    return;
  g_queue_clear_full (&feed->tombstones, g_free);
  g_hash_table_unref (feed->calls);
  g_hash_table_unref (feed->listed_names);
  g_hash_table_unref (feed->objects);
  g_free (feed->list_after);
  g_free (feed->kind);
  g_free (feed);
}

static void
handle_failure (feed_t *feed, gs_time_t now, gs_status_t status)
{
  if (feed->store_lost_at == 0)
    {
      feed->store_lost_at = now;
      gs_log (GS_LOG_WARN, "feed_lost",
              "kind=%s status=%s revision=%llu objects=%u", feed->kind,
              gs_status_name (status), (unsigned long long)feed->revision,
              g_hash_table_size (feed->objects));
      feed->listener.on_store_lost (feed->listener.context, now);
    }
  feed->due = now + feed->retry_delay / 2
              + (gs_time_t)(gs_rng_unit (&feed->rng)
                            * (double)feed->retry_delay / 2);
  feed->retry_delay = MIN (2 * feed->retry_delay, RETRY_DELAY_MAX);
}

static void
handle_success (feed_t *feed, gs_time_t now)
{
  feed->retry_delay = RETRY_DELAY_MIN;
  feed->due = now;
  if (feed->store_lost_at == 0)
    return;
  gs_log (GS_LOG_INFO, "feed_back", "kind=%s away_ms=%lld revision=%llu",
          feed->kind, (long long)((now - feed->store_lost_at) / GS_MSEC),
          (unsigned long long)feed->revision);
  feed->store_lost_at = 0;
  feed->listener.on_store_recovered (feed->listener.context, now);
}

static void
add_tombstone (feed_t *feed, const char *name, uint64_t revision)
{
  tombstone_t *tombstone = g_new (tombstone_t, 1);

  /* A truncated name is of no use to others: they get a full export.  */
  if (g_strlcpy (tombstone->name, name, sizeof tombstone->name)
      >= sizeof tombstone->name)
    feed->compacted_revision = MAX (feed->compacted_revision, revision);
  tombstone->revision = revision;
  g_queue_push_tail (&feed->tombstones, tombstone);
  if (g_queue_get_length (&feed->tombstones) > TOMBSTONES_MAX)
    {
      tombstone = g_queue_pop_head (&feed->tombstones);
      feed->compacted_revision
          = MAX (feed->compacted_revision, tombstone->revision);
      g_free (tombstone);
    }
}

/* @param revision store revision that the change was reported at  */
static void
update_cache (feed_t *feed, const gs_object_t *object, uint64_t revision)
{
  cached_object_t *cached;

  if (object->removed)
    {
      add_tombstone (feed, object->name, revision);
      g_hash_table_remove (feed->objects, object->name);
      return;
    }
  cached = g_new0 (cached_object_t, 1);
  cached->name = g_strdup (object->name);
  cached->revision = object->revision;
  cached->value = json_incref (object->value);
  g_hash_table_replace (feed->objects, cached->name, cached);
}

/* Ignores an object older than the cached one: the store and peers may report
   the same changes in any order.  */
static void
apply_object (feed_t *feed, gs_time_t now, const gs_object_t *object,
              uint64_t revision)
{
  const cached_object_t *cached
      = g_hash_table_lookup (feed->objects, object->name);

  if (cached != NULL && object->revision < cached->revision)
    return;
  /* An object created and removed between two calls of this feed was never
     cached here, but other nodes may have it.  */
  if (cached == NULL && object->removed)
    {
      add_tombstone (feed, object->name, revision);
      return;
    }
  update_cache (feed, object, revision);
  feed->listener.on_object (feed->listener.context, now, object);
}

/* Removes the objects that a complete list does not contain.  */
static void
remove_unlisted (feed_t *feed, gs_time_t now)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, feed->objects);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      gs_object_t removal = { .name = name, .removed = true };

      if (g_hash_table_contains (feed->listed_names, name))
        continue;
      feed->listener.on_object (feed->listener.context, now, &removal);
      add_tombstone (feed, name, feed->revision);
      g_hash_table_iter_remove (&iter);
    }
  g_hash_table_remove_all (feed->listed_names);
}

static void
finish_list (feed_t *feed, gs_time_t now, uint64_t revision)
{
  feed->revision = MAX (feed->revision, revision);
  remove_unlisted (feed, now);
  /* A list does not show objects that were created and removed before it.  */
  feed->compacted_revision = MAX (feed->compacted_revision, feed->revision);
  feed->listener.on_listed (feed->listener.context, now);
}

/* Makes the next call a new list if the store has come back from an older copy
   since the feed's objects were read: its revisions say nothing of changes
   since then.  */
static void
require_list_of_era (feed_t *feed, gs_time_t now, uint64_t era)
{
  if (era <= gs_object_revision_era (feed->revision) || feed->revision == 0
      || feed->needs_list)
    return;
  gs_log (GS_LOG_WARN, "feed_restarted",
          "kind=%s reason=store_came_back_older revision=%llu era=%llu",
          feed->kind, (unsigned long long)feed->revision,
          (unsigned long long)era);
  feed->needs_list = true;
  feed->due = now;
  /* An open watch may wait for seconds for changes that do not come.  */
  feed->call_sequence++;
  feed->busy = false;
}

/* @return false if the result belongs to an earlier era than the feed  */
static bool
check_era (feed_t *feed, gs_time_t now, const gs_object_result_t *result)
{
  require_list_of_era (feed, now, result->era);
  return result->era == 0
         || result->era >= gs_object_revision_era (feed->revision);
}

/* @return the feed if the call is its last one, else NULL  */
static feed_t *
end_call (feed_call_t *call)
{
  feed_t *feed = call->feed;
  bool is_last = call->sequence == feed->call_sequence;

  g_hash_table_remove (feed->calls, call);
  if (!is_last)
    return NULL;
  feed->busy = false;
  return feed;
}

static void
on_list (void *argument, const gs_object_result_t *result)
{
  feed_t *feed = end_call (argument);
  gs_time_t now = gs_clock_now ();

  if (feed == NULL)
    return;
  if (result->status != GS_OK)
    {
      g_clear_pointer (&feed->list_after, g_free);
      if (result->status == GS_ETIMEOUT)
        feed->list_timeout = MIN (2 * feed->list_timeout, LIST_TIMEOUT_MAX);
      handle_failure (feed, now, result->status);
      return;
    }
  handle_success (feed, now);
  /* A copy from another node has completed since the call began.  */
  if (!feed->needs_list)
    return;
  /* Pages of two eras do not belong together.  */
  if (!check_era (feed, now, result)
      || (feed->list_after != NULL
          && gs_object_revision_era (feed->list_revision)
                 != gs_object_revision_era (result->revision)))
    {
      g_clear_pointer (&feed->list_after, g_free);
      return;
    }
  /* The watch starts at the first page's revision, so that it reports changes
     made while the other pages are read.  */
  if (feed->list_after == NULL)
    {
      g_hash_table_remove_all (feed->listed_names);
      feed->list_revision = result->revision;
    }
  for (unsigned i = 0; i < result->count; i++)
    {
      g_hash_table_add (feed->listed_names,
                        g_strdup (result->objects[i].name));
      apply_object (feed, now, &result->objects[i], result->revision);
    }
  if (result->more && result->count > 0)
    {
      g_free (feed->list_after);
      feed->list_after = g_strdup (result->objects[result->count - 1].name);
      return;
    }
  g_clear_pointer (&feed->list_after, g_free);
  feed->needs_list = false;
  feed->list_timeout = LIST_TIMEOUT_MIN;
  finish_list (feed, now, feed->list_revision);
}

static void
on_watch (void *argument, const gs_object_result_t *result)
{
  feed_t *feed = end_call (argument);
  gs_time_t now = gs_clock_now ();

  if (feed == NULL)
    return;
  if (!check_era (feed, now, result) || feed->needs_list)
    return;
  if (result->status == GS_ELIMIT)
    {
      gs_log (GS_LOG_INFO, "feed_restarted",
              "kind=%s reason=history_gone revision=%llu", feed->kind,
              (unsigned long long)feed->revision);
      feed->needs_list = true;
      feed->due = now;
      return;
    }
  if (result->status != GS_OK)
    {
      /* A list is shorter than a watch's response with several versions of an
         object, which may not fit.  */
      feed->needs_list |= result->incomplete;
      handle_failure (feed, now, result->status);
      return;
    }
  handle_success (feed, now);
  /* A copy from another node is ahead of this response, and may lack objects
     that have been removed since.  */
  if (result->revision < feed->revision)
    return;
  for (unsigned i = 0; i < result->count; i++)
    apply_object (feed, now, &result->objects[i], result->revision);
  feed->revision = result->revision;
  if (result->count > 0)
    feed->due = now + WATCH_BATCH_INTERVAL;
}

void
feed_tick (feed_t *feed, gs_time_t now, bool follows_store)
{
  const gs_object_store_t *store = feed->store;
  feed_call_t *call;

  if (store->era != NULL)
    require_list_of_era (feed, now, store->era (store->context));
  if (feed->busy || now < feed->due || !follows_store)
    return;
  feed->busy = true;
  call = g_new (feed_call_t, 1);
  *call = (feed_call_t){ feed, ++feed->call_sequence };
  g_hash_table_add (feed->calls, call);
  gs_metric_add (GS_METRIC_STORE_READS, 1);
  if (feed->needs_list)
    store->list (store->context, feed->kind, feed->list_after,
                 now + feed->list_timeout, on_list, call);
  else
    store->watch (store->context, feed->kind, feed->revision,
                  now + WATCH_TIMEOUT, on_watch, call);
}

void
feed_store_lost_clear (feed_t *feed, gs_time_t now)
{
  if (feed->store_lost_at != 0 && !feed->busy)
    handle_success (feed, now);
}

bool
feed_has (const feed_t *feed, const char *name)
{
  return g_hash_table_contains (feed->objects, name);
}

const char *
feed_kind (const feed_t *feed)
{
  return feed->kind;
}

uint64_t
feed_revision (const feed_t *feed)
{
  return feed->revision;
}

gs_time_t
feed_store_lost_at (const feed_t *feed)
{
  return feed->store_lost_at;
}

static json_t *
export_objects (const feed_t *feed, uint64_t after_revision)
{
  json_t *objects = json_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, feed->objects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cached_object_t *cached = value;

      if (cached->revision > after_revision)
        json_array_append_new (
            objects,
            json_pack ("{s:s, s:I, s:O}", "name", cached->name, "revision",
                       (json_int_t)cached->revision, "value", cached->value));
    }
  return objects;
}

static json_t *
export_tombstones (const feed_t *feed, uint64_t after_revision)
{
  json_t *names = json_array ();

  for (GList *link = feed->tombstones.head; link != NULL; link = link->next)
    {
      const tombstone_t *tombstone = link->data;

      /* An object that was created again is among the exported objects, or
         the importing feed has it already.  */
      if (tombstone->revision > after_revision
          && !g_hash_table_contains (feed->objects, tombstone->name))
        json_array_append_new (names, json_string (tombstone->name));
    }
  return names;
}

char *
feed_export (const feed_t *feed, uint64_t after_revision)
{
  bool whole
      = after_revision == 0 || after_revision < feed->compacted_revision;
  json_t *root = json_pack (
      "{s:I, s:b, s:o, s:o}", "revision", (json_int_t)feed->revision, "whole",
      whole, "objects", export_objects (feed, whole ? 0 : after_revision),
      "gone",
      whole ? json_array () : export_tombstones (feed, after_revision));
  char *dumped = json_dumps (root, JSON_COMPACT);
  char *text = g_strdup (dumped);

  free (dumped);
  json_decref (root);
  return text;
}

static void
import_removals (feed_t *feed, gs_time_t now, const json_t *names,
                 uint64_t revision)
{
  size_t i;
  json_t *name;

  json_array_foreach (names, i, name)
  {
    gs_object_t removal
        = { .name = json_string_value (name), .removed = true };
    const cached_object_t *cached
        = removal.name != NULL
              ? g_hash_table_lookup (feed->objects, removal.name)
              : NULL;

    if (removal.name == NULL)
      continue;
    /* Exported removals have no revision of their own.  With the revision of
       the cached object, apply_object() does not ignore the removal as
       older.  */
    removal.revision = cached != NULL ? cached->revision : revision;
    apply_object (feed, now, &removal, revision);
  }
}

static void
import_objects (feed_t *feed, gs_time_t now, const json_t *objects,
                uint64_t revision)
{
  size_t i;
  json_t *from;

  json_array_foreach (objects, i, from)
  {
    gs_object_t object
        = { .name = json_string_value (json_object_get (from, "name")),
            .revision = (uint64_t)json_integer_value (
                json_object_get (from, "revision")),
            .value = json_object_get (from, "value") };

    if (object.name == NULL || object.value == NULL)
      continue;
    g_hash_table_add (feed->listed_names, g_strdup (object.name));
    apply_object (feed, now, &object, revision);
  }
}

gs_status_t
feed_import (feed_t *feed, gs_time_t now, const char *text, size_t length)
{
  bool marked;
  json_t *root = gs_json_load (text, length, &marked);
  const json_t *objects = json_object_get (root, "objects");
  bool whole = json_is_true (json_object_get (root, "whole"));
  uint64_t revision
      = (uint64_t)json_integer_value (json_object_get (root, "revision"));
  gs_status_t status = GS_OK;

  if (!json_is_array (objects) || revision == 0
      || (!whole && feed->revision == 0))
    {
      status = gs_error_set (GS_EINVAL, "malformed export of %s objects",
                             feed->kind);
      goto cleanup;
    }
  if (revision <= feed->revision)
    goto cleanup;
  g_clear_pointer (&feed->list_after, g_free);
  g_hash_table_remove_all (feed->listed_names);
  /* Removals first: a removed object may have been created again since.  */
  import_removals (feed, now, json_object_get (root, "gone"), revision);
  import_objects (feed, now, objects, revision);
  if (whole)
    finish_list (feed, now, revision);
  else
    feed->revision = revision;
  feed->needs_list = false;
  gs_log (GS_LOG_DEBUG, "feed_taken_over",
          "kind=%s revision=%llu objects=%u whole=%d store_lost=%d",
          feed->kind, (unsigned long long)revision,
          g_hash_table_size (feed->objects), whole, feed->store_lost_at != 0);

cleanup:
  json_decref (root);
  return status;
}
