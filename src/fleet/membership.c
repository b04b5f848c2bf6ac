#include "fleet/membership.h"

#include "garnetstack/log.h"

#include <string.h>

/* The store normally answers within milliseconds, and takes up to fifty times
   as long when degraded.  */
#define STORE_TIMEOUT GS_SEC
/* Time until a failed write is repeated.  */
#define RETRY_INTERVAL (300 * GS_MSEC)
/* By which wall clocks of two processes of a node may differ: they are stepped
   by seconds at times.  */
#define CLOCK_STEP_MAX (5 * GS_SEC)
#define RESTARTS_MAX 30

typedef enum
{
  ENTRY_ABSENT,  /* not written yet */
  ENTRY_WRITTEN, /* in the store */
  ENTRY_REMOVED
} entry_state_t;

struct membership
{
  const gs_object_store_t *store;
  peers_t *peers;
  digest_member_t self;
  feed_t *feed;
  entry_state_t entry_state;
  uint64_t entry_revision; /* 0 when none is known */
  bool busy;               /* a write or removal is open */
  bool leaving;            /* the entry is to be removed */
  int64_t started_ms;      /* of this process, by the wall clock */
  int64_t series_ms; /* a process that started before belongs to no series of
                        restarts with this one */
  unsigned restarts; /* see peers_restarts_set() */
  gs_time_t due;     /* earliest time of the next write or removal */
};

static void
ignore_event (void *context, gs_time_t now)
{
  (void)context;
  (void)now;
}

/* Records that all nodes are known.  Has this node's entry written again if
   the store came back from an older copy without it.  */
static void
on_listed (void *context, gs_time_t now)
{
  membership_t *membership = context;

  peers_members_listed_set (membership->peers);
  if (membership->entry_state != ENTRY_WRITTEN || membership->leaving
      || feed_has (membership->feed, membership->self.name)
      || gs_object_revision_era (feed_revision (membership->feed))
             <= gs_object_revision_era (membership->entry_revision))
    return;
  gs_log (GS_LOG_WARN, "node_entry_lost", "revision=%llu",
          (unsigned long long)membership->entry_revision);
  membership->entry_state = ENTRY_ABSENT;
  membership->entry_revision = 0;
  membership->due = now;
}

static bool
is_own_incarnation (const membership_t *membership, const json_t *value)
{
  const char *incarnation
      = json_string_value (json_object_get (value, "incarnation"));

  return incarnation != NULL
         && g_ascii_strtoull (incarnation, NULL, 16)
                == membership->self.incarnation;
}

/* A store that came back from an older copy may have the entry that this one
   replaced.  */
static void
own_entry_check (membership_t *membership, gs_time_t now,
                 const gs_object_t *object)
{
  if (object->removed || membership->entry_state != ENTRY_WRITTEN
      || membership->leaving
      || gs_object_revision_era (object->revision)
             <= gs_object_revision_era (membership->entry_revision))
    return;
  membership->entry_revision = object->revision;
  if (is_own_incarnation (membership, object->value))
    return;
  gs_log (GS_LOG_WARN, "node_entry_older", "revision=%llu",
          (unsigned long long)object->revision);
  membership->entry_state = ENTRY_ABSENT;
  membership->due = now;
}

static void
on_entry (void *context, gs_time_t now, const gs_object_t *object)
{
  membership_t *membership = context;
  digest_member_t member = { .incarnation = 0 };

  if (strcmp (object->name, membership->self.name) == 0)
    {
      own_entry_check (membership, now, object);
      return;
    }
  if (object->removed)
    g_strlcpy (member.name, object->name, sizeof member.name);
  else if (peers_member_decode (&member, object->name, object->value) != GS_OK)
    {
      gs_log (GS_LOG_WARN, "node_skipped", "name=%s reason=\"%s\"",
              object->name, gs_error_last ());
      return;
    }
  peers_listed_set (membership->peers, now, &member, !object->removed);
}

void
membership_create (membership_t **out, const gs_object_store_t *store,
                   peers_t *peers, const digest_member_t *self,
                   gs_time_t restart_window, uint64_t seed)
{
  membership_t *membership = g_new0 (membership_t, 1);
  feed_listener_t listener
      = { membership, on_entry, on_listed, ignore_event, ignore_event };

  membership->store = store;
  membership->peers = peers;
  membership->self = *self;
  membership->started_ms = gs_clock_wall () / GS_MSEC;
  membership->series_ms
      = membership->started_ms - (restart_window + CLOCK_STEP_MAX) / GS_MSEC;
  feed_create (&membership->feed, store, MEMBERSHIP_KIND, &listener, seed);
  *out = membership;
}

void
membership_destroy (membership_t *membership)
{
  if (membership == NULL)
    return;
  feed_destroy (membership->feed);
  g_free (membership);
}

feed_t *
membership_feed (const membership_t *membership)
{
  return membership->feed;
}

static json_t *
entry_encode (const membership_t *membership)
{
  json_t *value = peers_member_encode (&membership->self);

  json_object_set_new (value, "started_ms",
                       json_integer (membership->started_ms));
  json_object_set_new (value, "restarts", json_integer (membership->restarts));
  return value;
}

/* Reads the entry of the process before this one, which may have ended just
   now.  An entry of an earlier version has no time of its start.  */
static void
predecessor_read (membership_t *membership, const json_t *value)
{
  const json_t *started = json_object_get (value, "started_ms");
  json_int_t restarts
      = json_integer_value (json_object_get (value, "restarts"));

  if (is_own_incarnation (membership, value))
    return;
  membership->restarts = 1;
  if (json_is_integer (started)
      && json_integer_value (started) > membership->series_ms)
    membership->restarts = 1 + (unsigned)CLAMP (restarts, 0, RESTARTS_MAX);
}

static void
on_written (void *argument, const gs_object_result_t *result)
{
  membership_t *membership = argument;

  membership->busy = false;
  if (result->status == GS_OK)
    {
      membership->entry_state = ENTRY_WRITTEN;
      peers_restarts_set (membership->peers, membership->restarts);
      membership->entry_revision
          = result->count == 1 ? result->objects[0].revision : 0;
      return;
    }
  /* The entry is from an earlier process of this node, or from this process's
     own write whose answer was lost.  The next write replaces it.  */
  if (result->status == GS_ECONFLICT && result->count == 1)
    {
      membership->entry_revision = result->objects[0].revision;
      predecessor_read (membership, result->objects[0].value);
    }
  else if (result->status == GS_ENOTFOUND)
    membership->entry_revision = 0;
  else
    membership->due = gs_clock_now () + RETRY_INTERVAL;
}

static void
on_removed (void *argument, const gs_object_result_t *result)
{
  membership_t *membership = argument;

  membership->busy = false;
  if (result->status == GS_OK || result->status == GS_ENOTFOUND
      || result->status == GS_ECONFLICT)
    membership->entry_state = ENTRY_REMOVED;
  else
    membership->due = gs_clock_now () + RETRY_INTERVAL;
}

void
membership_tick (membership_t *membership, gs_time_t now, bool follow)
{
  const gs_object_store_t *store = membership->store;

  if (!membership->leaving)
    feed_tick (membership->feed, now,
               follow || feed_revision (membership->feed) == 0);
  if (membership->busy || now < membership->due)
    return;
  if (!membership->leaving && membership->entry_state == ENTRY_ABSENT)
    {
      membership->busy = true;
      store->put (store->context, MEMBERSHIP_KIND, membership->self.name,
                  membership->entry_revision, entry_encode (membership),
                  now + STORE_TIMEOUT, on_written, membership);
    }
  else if (membership->leaving && membership->entry_state == ENTRY_WRITTEN)
    {
      membership->busy = true;
      store->remove (store->context, MEMBERSHIP_KIND, membership->self.name,
                     membership->entry_revision, now + STORE_TIMEOUT,
                     on_removed, membership);
    }
}

void
membership_leave (membership_t *membership, gs_time_t now)
{
  membership->leaving = true;
  membership_tick (membership, now, false);
}
