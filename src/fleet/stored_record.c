#include "fleet/stored_record.h"

#include "garnetstack/log.h"

#include <glib.h>
#include <string.h>

/* As for the other objects of the nodes: the store normally answers within
   milliseconds, and takes up to fifty times as long when degraded.  */
#define STORE_TIMEOUT (800 * GS_MSEC)
/* Interval at which a call that failed is repeated.  A store that is back has
   the record again within little more than this.  */
#define RETRY_INTERVAL (150 * GS_MSEC)
/* The interval doubles with each failure up to this many times, so that an
   outage costs few calls.  */
#define RETRY_SHIFT_MAX 2
/* Interval at which a writer looks for changes.  */
#define CHECK_INTERVAL (100 * GS_MSEC)

struct stored_record
{
  const gs_object_store_t *store;
  const char *kind;
  const char *name;
  stored_record_content_t content;
  const char
      *read_reason; /* why the object is to be read; NULL if it is not */
  bool busy;
  bool fresh;        /* read, and not checked for what it lacks since */
  uint64_t revision; /* of the object; 0 if there is none */
  uint64_t era;      /* of the store when it last answered */
  unsigned failures; /* in a row */
  gs_time_t due;
  gs_time_t now; /* of the last tick */
};

void
stored_record_create (stored_record_t **out, const gs_object_store_t *store,
                      const char *kind, const char *name,
                      const stored_record_content_t *content)
{
  stored_record_t *record = g_new0 (stored_record_t, 1);

  record->store = store;
  record->kind = kind;
  record->name = name;
  record->content = *content;
  record->read_reason = "start";
  *out = record;
}

void
stored_record_destroy (stored_record_t *record)
{
  g_free (record);
}

static uint64_t
store_era (const stored_record_t *record)
{
  return record->store->era != NULL
             ? record->store->era (record->store->context)
             : 0;
}

void
stored_record_read_request (stored_record_t *record)
{
  if (record->read_reason == NULL)
    record->read_reason = "check";
}

static void
schedule_retry (stored_record_t *record)
{
  record->due = record->now
                + (RETRY_INTERVAL << MIN (record->failures, RETRY_SHIFT_MAX));
  record->failures++;
}

/* @param object NULL if the store has none  */
static void
merge (stored_record_t *record, const gs_object_result_t *result,
       const gs_object_t *object)
{
  record->failures = 0;
  record->era = result->era;
  record->revision = object != NULL ? object->revision : 0;
  record->fresh = true;
  record->content.merge (record->content.context, record->now, object);
}

static void
on_read (void *argument, const gs_object_result_t *result)
{
  stored_record_t *record = argument;
  bool found = result->status == GS_OK && result->count == 1;

  record->busy = false;
  if (!found && result->status != GS_ENOTFOUND)
    {
      schedule_retry (record);
      return;
    }
  if (strcmp (record->read_reason, "check") != 0)
    gs_log (GS_LOG_INFO, "record_read",
            "kind=%s reason=%s found=%d revision=%llu era=%llu", record->kind,
            record->read_reason, found,
            found ? (unsigned long long)result->objects[0].revision : 0,
            (unsigned long long)result->era);
  record->read_reason = NULL;
  merge (record, result, found ? &result->objects[0] : NULL);
}

static void
on_written (void *argument, const gs_object_result_t *result)
{
  stored_record_t *record = argument;

  record->busy = false;
  gs_log (result->status == GS_OK ? GS_LOG_INFO : GS_LOG_WARN,
          "record_written", "kind=%s status=%s revision=%llu era=%llu",
          record->kind, gs_status_name (result->status),
          result->count == 1 ? (unsigned long long)result->objects[0].revision
                             : 0,
          (unsigned long long)result->era);
  if (result->status == GS_OK && result->count == 1)
    {
      record->failures = 0;
      record->era = result->era;
      record->revision = result->objects[0].revision;
      record->content.written (record->content.context);
    }
  else if (result->status == GS_ECONFLICT && result->count == 1)
    merge (record, result, &result->objects[0]);
  else
    {
      /* The write may have taken effect, or the object was lost.  */
      record->read_reason = "write_in_doubt";
      if (result->status != GS_ENOTFOUND && result->status != GS_ECONFLICT)
        schedule_retry (record);
    }
}

void
stored_record_tick (stored_record_t *record, gs_time_t now, bool follows,
                    bool writes)
{
  const gs_object_store_t *store = record->store;
  json_t *value;

  record->now = now;
  if (record->busy || now < record->due)
    return;
  if (record->read_reason == NULL && follows
      && store_era (record) != record->era)
    record->read_reason = "new_era";
  if (record->read_reason != NULL)
    {
      record->busy = true;
      store->get (store->context, record->kind, record->name,
                  now + STORE_TIMEOUT, on_read, record);
      return;
    }
  if (!writes && !record->fresh)
    return;
  record->fresh = false;
  record->due = now + CHECK_INTERVAL;
  value = record->content.encode (record->content.context, now);
  if (value == NULL)
    return;
  record->busy = true;
  store->put (store->context, record->kind, record->name, record->revision,
              value, now + STORE_TIMEOUT, on_written, record);
}
