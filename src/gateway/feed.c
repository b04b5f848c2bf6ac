#include "gateway/feed.h"

#include "garnetstack/log.h"
#include "garnetstack/metrics.h"
#include "garnetstack/settings.h"

#include <glib.h>
#include <string.h>

/* Each watch ends after this time, so that a silent connection is detected
   even if TCP keepalive does not detect it.  A change missed meanwhile still
   takes effect within the 3 s for which a node counts as disturbed plus 2 s. */
#define WATCH_TIME (3500 * GS_MSEC)
/* The store normally answers within a few milliseconds, and takes up to fifty
   times as long when degraded.  */
#define LIST_TIME (1500 * GS_MSEC)
/* Pause after a watch that returned changes, so that the next watch returns
   several at once: the store charges for each call.  The pause is a twentieth
   of the 2 s within which a change must take effect.  */
#define GATHER_TIME (100 * GS_MSEC)
/* Exponential backoff after a failed call; the bound is well below the 2 s
   within which a change must take effect.  */
#define RETRY_FIRST (100 * GS_MSEC)
#define RETRY_MOST (400 * GS_MSEC)
/* A peer that needs older removals than these gets a full export.  */
#define GONE_MAX 256

typedef struct
{
  char *name;
  uint64_t revision;
  json_t *value;
} held_t;

/* Records the removal of an object, for exports to other nodes.  */
typedef struct
{
  char name[GS_NAME_BYTES];
  uint64_t revision; /* store revision by which the object was removed */
} gone_t;

struct feed
{
  const gs_object_store_t *store;
  char *kind;
  feed_listener_t listener;
  gs_rng_t rng;
  GHashTable *held;       /* name -> held_t */
  GQueue gone;            /* of gone_t, oldest first */
  uint64_t forgotten;     /* removals up to this revision may be missing */
  uint64_t revision;      /* store revision of the objects */
  uint64_t list_revision; /* of the first page of the list in progress */
  char *list_after;       /* last name of the previous page; NULL for none */
  GHashTable *listed;     /* names in the list in progress */
  bool listing;           /* the next call is a list, not a watch */
  bool busy;              /* a call is open */
  gs_time_t due;          /* earliest time of the next call */
  gs_time_t retry;
  gs_time_t lost_at;
};

static void
held_free (gpointer data)
{
  held_t *held = data;

  json_decref (held->value);
  g_free (held->name);
  g_free (held);
}

void
feed_create (feed_t **out, const gs_object_store_t *store, const char *kind,
             const feed_listener_t *listener, uint64_t seed)
{
  feed_t *feed = g_new0 (feed_t, 1);

  feed->store = store;
  feed->kind = g_strdup (kind);
  feed->listener = *listener;
  feed->listing = true;
  feed->retry = RETRY_FIRST;
  gs_rng_seed (&feed->rng, seed);
  feed->held
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, held_free);
  feed->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  *out = feed;
}

void
feed_destroy (feed_t *feed)
{
  if (feed == NULL)
    return;
  g_queue_clear_full (&feed->gone, g_free);
  g_hash_table_unref (feed->listed);
  g_hash_table_unref (feed->held);
  g_free (feed->list_after);
  g_free (feed->kind);
  g_free (feed);
}

static void
note_lost (feed_t *feed, gs_time_t now, gs_status_t status)
{
  if (feed->lost_at == 0)
    {
      feed->lost_at = now;
      gs_log (GS_LOG_WARN, "feed_lost",
              "kind=%s status=%s revision=%llu objects=%u", feed->kind,
              gs_status_name (status), (unsigned long long)feed->revision,
              g_hash_table_size (feed->held));
      feed->listener.on_lost (feed->listener.context, now);
    }
  feed->due
      = now + feed->retry / 2
        + (gs_time_t)(gs_rng_unit (&feed->rng) * (double)feed->retry / 2);
  feed->retry = MIN (2 * feed->retry, RETRY_MOST);
}

static void
note_back (feed_t *feed, gs_time_t now)
{
  feed->retry = RETRY_FIRST;
  feed->due = now;
  if (feed->lost_at == 0)
    return;
  gs_log (GS_LOG_INFO, "feed_back", "kind=%s away_ms=%lld revision=%llu",
          feed->kind, (long long)((now - feed->lost_at) / GS_MSEC),
          (unsigned long long)feed->revision);
  feed->lost_at = 0;
  feed->listener.on_back (feed->listener.context, now);
}

static void
note_gone (feed_t *feed, const char *name, uint64_t revision)
{
  gone_t *gone = g_new (gone_t, 1);

  /* A truncated name is of no use to others: they get a full export.  */
  if (g_strlcpy (gone->name, name, sizeof gone->name) >= sizeof gone->name)
    feed->forgotten = MAX (feed->forgotten, revision);
  gone->revision = revision;
  g_queue_push_tail (&feed->gone, gone);
  if (g_queue_get_length (&feed->gone) > GONE_MAX)
    {
      gone = g_queue_pop_head (&feed->gone);
      feed->forgotten = MAX (feed->forgotten, gone->revision);
      g_free (gone);
    }
}

/* @param revision store revision that the change was reported at  */
static void
keep (feed_t *feed, const gs_object_t *object, uint64_t revision)
{
  held_t *held;

  if (object->removed)
    {
      note_gone (feed, object->name, revision);
      g_hash_table_remove (feed->held, object->name);
      return;
    }
  held = g_new0 (held_t, 1);
  held->name = g_strdup (object->name);
  held->revision = object->revision;
  held->value = json_incref (object->value);
  g_hash_table_replace (feed->held, held->name, held);
}

/* Ignores an object older than the cached one: the store and peers may report
   the same changes in any order.  */
static void
take_object (feed_t *feed, gs_time_t now, const gs_object_t *object,
             uint64_t revision)
{
  const held_t *held = g_hash_table_lookup (feed->held, object->name);

  if (held != NULL && object->revision < held->revision)
    return;
  /* An object created and removed between two calls of this feed was never
     cached here, but other nodes may have it.  */
  if (held == NULL && object->removed)
    {
      note_gone (feed, object->name, revision);
      return;
    }
  keep (feed, object, revision);
  feed->listener.on_object (feed->listener.context, now, object);
}

/* Removes the objects that a complete list does not contain.  */
static void
drop_unlisted (feed_t *feed, gs_time_t now)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, feed->held);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      gs_object_t gone = { .name = name, .removed = true };

      if (g_hash_table_contains (feed->listed, name))
        continue;
      feed->listener.on_object (feed->listener.context, now, &gone);
      note_gone (feed, name, feed->revision);
      g_hash_table_iter_remove (&iter);
    }
  g_hash_table_remove_all (feed->listed);
}

static void
end_list (feed_t *feed, gs_time_t now, uint64_t revision)
{
  feed->revision = MAX (feed->revision, revision);
  drop_unlisted (feed, now);
  /* A list does not show objects that were created and removed before it.  */
  feed->forgotten = MAX (feed->forgotten, feed->revision);
  feed->listener.on_listed (feed->listener.context, now);
}

static void
on_list (void *argument, const gs_object_result_t *result)
{
  feed_t *feed = argument;
  gs_time_t now = gs_clock_now ();

  feed->busy = false;
  if (result->status != GS_OK)
    {
      g_clear_pointer (&feed->list_after, g_free);
      note_lost (feed, now, result->status);
      return;
    }
  note_back (feed, now);
  /* The watch starts at the first page's revision, so that it reports changes
     made while the other pages are read.  */
  if (feed->list_after == NULL)
    {
      g_hash_table_remove_all (feed->listed);
      feed->list_revision = result->revision;
    }
  for (unsigned i = 0; i < result->count; i++)
    {
      g_hash_table_add (feed->listed, g_strdup (result->objects[i].name));
      take_object (feed, now, &result->objects[i], result->revision);
    }
  if (result->more && result->count > 0)
    {
      g_free (feed->list_after);
      feed->list_after = g_strdup (result->objects[result->count - 1].name);
      return;
    }
  g_clear_pointer (&feed->list_after, g_free);
  feed->listing = false;
  end_list (feed, now, feed->list_revision);
}

static void
on_watch (void *argument, const gs_object_result_t *result)
{
  feed_t *feed = argument;
  gs_time_t now = gs_clock_now ();

  feed->busy = false;
  if (result->status == GS_ELIMIT)
    {
      gs_log (GS_LOG_INFO, "feed_restarted",
              "kind=%s reason=history_gone revision=%llu", feed->kind,
              (unsigned long long)feed->revision);
      feed->listing = true;
      feed->due = now;
      return;
    }
  if (result->status != GS_OK)
    {
      note_lost (feed, now, result->status);
      return;
    }
  note_back (feed, now);
  for (unsigned i = 0; i < result->count; i++)
    take_object (feed, now, &result->objects[i], result->revision);
  feed->revision = MAX (feed->revision, result->revision);
  if (result->count > 0)
    feed->due = now + GATHER_TIME;
}

void
feed_tick (feed_t *feed, gs_time_t now, bool follow)
{
  if (feed->busy || now < feed->due || !follow)
    return;
  feed->busy = true;
  gs_metric_add (GS_METRIC_STORE_READS, 1);
  if (feed->listing)
    feed->store->list (feed->store->context, feed->kind, feed->list_after,
                       now + LIST_TIME, on_list, feed);
  else
    feed->store->watch (feed->store->context, feed->kind, feed->revision,
                        now + WATCH_TIME, on_watch, feed);
}

void
feed_leave_to_others (feed_t *feed, gs_time_t now)
{
  if (feed->lost_at != 0 && !feed->busy)
    note_back (feed, now);
}

uint64_t
feed_revision (const feed_t *feed)
{
  return feed->revision;
}

gs_time_t
feed_lost_at (const feed_t *feed)
{
  return feed->lost_at;
}

static json_t *
export_held (const feed_t *feed, uint64_t above)
{
  json_t *objects = json_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, feed->held);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const held_t *held = value;

      if (held->revision > above)
        json_array_append_new (objects, json_pack ("{s:s, s:I, s:O}", "name",
                                                   held->name, "revision",
                                                   (json_int_t)held->revision,
                                                   "value", held->value));
    }
  return objects;
}

static json_t *
export_gone (const feed_t *feed, uint64_t above)
{
  json_t *names = json_array ();

  for (GList *link = feed->gone.head; link != NULL; link = link->next)
    {
      const gone_t *gone = link->data;

      /* An object that was created again is among the exported objects, or
         the importing feed has it already.  */
      if (gone->revision > above
          && !g_hash_table_contains (feed->held, gone->name))
        json_array_append_new (names, json_string (gone->name));
    }
  return names;
}

char *
feed_export (const feed_t *feed, uint64_t above)
{
  bool whole = above == 0 || above < feed->forgotten;
  json_t *root = json_pack (
      "{s:I, s:b, s:o, s:o}", "revision", (json_int_t)feed->revision, "whole",
      whole, "objects", export_held (feed, whole ? 0 : above), "gone",
      whole ? json_array () : export_gone (feed, above));
  char *dumped = json_dumps (root, JSON_COMPACT);
  char *text = g_strdup (dumped);

  free (dumped);
  json_decref (root);
  return text;
}

static void
import_gone (feed_t *feed, gs_time_t now, const json_t *names,
             uint64_t revision)
{
  size_t i;
  json_t *name;

  json_array_foreach (names, i, name)
  {
    gs_object_t gone = { .name = json_string_value (name), .removed = true };
    const held_t *held = gone.name != NULL
                             ? g_hash_table_lookup (feed->held, gone.name)
                             : NULL;

    if (gone.name == NULL)
      continue;
    /* Exported removals have no revision of their own.  The cached object's
       keeps take_object() from ignoring the removal as older.  */
    gone.revision = held != NULL ? held->revision : revision;
    take_object (feed, now, &gone, revision);
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
    g_hash_table_add (feed->listed, g_strdup (object.name));
    take_object (feed, now, &object, revision);
  }
}

gs_status_t
feed_import (feed_t *feed, gs_time_t now, const char *text, size_t length)
{
  json_t *root = json_loadb (text, length, 0, NULL);
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
  g_hash_table_remove_all (feed->listed);
  /* Removals first: a removed object may have been created again since.  */
  import_gone (feed, now, json_object_get (root, "gone"), revision);
  import_objects (feed, now, objects, revision);
  if (whole)
    end_list (feed, now, revision);
  else
    feed->revision = revision;
  feed->listing = false;
  gs_log (GS_LOG_DEBUG, "feed_taken_over",
          "kind=%s revision=%llu objects=%u whole=%d store_lost=%d",
          feed->kind, (unsigned long long)revision,
          g_hash_table_size (feed->held), whole, feed->lost_at != 0);

cleanup:
  json_decref (root);
  return status;
}
