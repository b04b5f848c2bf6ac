#include "fleet/version_history.h"

#include "garnetstack/log.h"

#include <string.h>

/* As for the other objects of the nodes: the store normally answers within
   milliseconds, and takes up to fifty times as long when degraded.  */
#define STORE_TIMEOUT (800 * GS_MSEC)
#define RETRY_INTERVAL (500 * GS_MSEC)
/* Time from the listing of a version until this node looks whether the leader
   has recorded it, which may have listed it later.  */
#define READ_DELAY (VERSION_HISTORY_DELAY + 100 * GS_MSEC)
#define READ_INTERVAL_MIN (150 * GS_MSEC)
#define READ_INTERVAL_MAX (4 * GS_SEC)
/* A store that names this era, or 0 for none, has never come back older.  One
   that names the next one has come back once, or counts from there.  */
#define FIRST_ERA 1
/* Streams last no longer, so that earlier versions are left out.  */
#define VERSION_TTL_MS (600 * 1000 + VERSION_HISTORY_SKEW_MAX / GS_MSEC)

typedef struct
{
  char version[GS_NAME_BYTES];
  int64_t from_ms;
  int64_t to_ms; /* 0 while it serves */
} recorded_version_t;

typedef struct
{
  char version[GS_NAME_BYTES];
  bool ready; /* a replica accepts requests */
  gs_time_t listed_since;
} listed_version_t;

typedef struct
{
  char name[GS_NAME_BYTES];
  bool exists; /* the store has an object */
  uint64_t revision;
  uint64_t era; /* in which the object was written */
  int64_t complete_from_ms;
  int64_t gap_until_ms;
  int64_t stream_time_ms; /* longest time that streams last */
  recorded_version_t recorded[SERVICE_VERSIONS_MAX];
  unsigned recorded_count;
  listed_version_t listed[SERVICE_VERSIONS_MAX];
  unsigned listed_count;
  gs_time_t read_due;
  gs_time_t read_interval;
} history_service_t;

struct version_history
{
  const gs_object_store_t *store;
  GHashTable *services; /* name -> history_service_t */
  bool busy;
  bool read; /* all objects of the store have been read in this era */
  bool has_list;
  bool read_requested;
  gs_time_t list_started_at; /* of the list that is being read */
  gs_time_t read_at;         /* when the last complete list was started */
  bool changed;              /* since the last export */
  int64_t stream_time_ms;    /* as this node knows, in whole seconds */
  bool first_start;          /* see version_history_create() */
  bool has_gap;     /* objects may have been lost with an era of the store */
  bool listed;      /* all objects have been read once */
  uint64_t era;     /* at the last list, if listed */
  char *after_name; /* of the list that is being read */
  history_service_t *in_call; /* of the open read or write */
  gs_time_t due;
  gs_time_t now;   /* of the last tick */
  int64_t wall_ms; /* of the last tick */
};

void
version_history_create (version_history_t **out,
                        const gs_object_store_t *store, bool first_start)
{
  version_history_t *history = g_new0 (version_history_t, 1);

  history->store = store;
  history->first_start = first_start;
  history->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  *out = history;
}

void
version_history_destroy (version_history_t *history)
{
  if (history == NULL)
    return;
  g_hash_table_unref (history->services);
  g_free (history->after_name);
  g_free (history);
}

static history_service_t *
service_ensure (version_history_t *history, const char *name)
{
  history_service_t *service = g_hash_table_lookup (history->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (history_service_t, 1);
  g_strlcpy (service->name, name, sizeof service->name);
  service->read_interval = READ_INTERVAL_MIN;
  g_hash_table_insert (history->services, service->name, service);
  return service;
}

static recorded_version_t *
recorded_find (history_service_t *service, const char *version)
{
  for (unsigned i = 0; i < service->recorded_count; i++)
    if (strcmp (service->recorded[i].version, version) == 0)
      return &service->recorded[i];
  return NULL;
}

static listed_version_t *
listed_find (history_service_t *service, const char *version)
{
  for (unsigned i = 0; i < service->listed_count; i++)
    if (strcmp (service->listed[i].version, version) == 0)
      return &service->listed[i];
  return NULL;
}

static bool
is_serving (history_service_t *service, const char *version)
{
  const recorded_version_t *row = recorded_find (service, version);

  return row != NULL && row->to_ms == 0;
}

static uint64_t
store_era (const version_history_t *history)
{
  return history->store->era != NULL
             ? history->store->era (history->store->context)
             : 0;
}

static int64_t
read_integer (const json_t *entry, const char *key)
{
  return (int64_t)json_integer_value (json_object_get (entry, key));
}

/* Reads an object.  An entry without a version is left out; one that does not
   fit makes the record incomplete until now.  */
static void
object_import (version_history_t *history, int64_t wall_ms,
               const gs_object_t *object)
{
  history_service_t *service = service_ensure (history, object->name);
  json_t *entry;
  size_t i;

  if (strlen (object->name) >= sizeof service->name)
    return;
  service->exists = true;
  service->revision = object->revision;
  service->era = (uint64_t)read_integer (object->value, "era");
  service->complete_from_ms = read_integer (object->value, "complete_from_ms");
  service->gap_until_ms = read_integer (object->value, "gap_until_ms");
  service->stream_time_ms = CLAMP (
      read_integer (object->value, "stream_time_ms"), 0, VERSION_TTL_MS);
  service->recorded_count = 0;
  history->changed = true;
  json_array_foreach (json_object_get (object->value, "versions"), i, entry)
  {
    const char *text = json_string_value (json_object_get (entry, "version"));
    recorded_version_t row = { .from_ms = read_integer (entry, "from_ms"),
                               .to_ms = read_integer (entry, "to_ms") };

    if (text == NULL || service->recorded_count == SERVICE_VERSIONS_MAX
        || g_strlcpy (row.version, text, sizeof row.version)
               >= sizeof row.version)
      {
        gs_log (GS_LOG_WARN, "version_history_skipped",
                "service=%s revision=%llu index=%zu", service->name,
                (unsigned long long)object->revision, i);
        service->gap_until_ms = wall_ms;
        continue;
      }
    service->recorded[service->recorded_count++] = row;
  }
  /* An object from before the store came back may be an older copy.  */
  if (service->era != store_era (history))
    service->gap_until_ms = wall_ms;
}

static void
log_read (const version_history_t *history)
{
  gs_log (GS_LOG_INFO, "version_history_read", "services=%u era=%llu gap=%d",
          g_hash_table_size (history->services),
          (unsigned long long)history->era, history->has_gap);
}

/* Objects that are not listed may have been lost if the store has come back
   older, before this process was there or since.  */
static void
update_era (version_history_t *history)
{
  uint64_t era = store_era (history);

  if (history->listed)
    history->has_gap |= era != history->era;
  else
    history->has_gap = era > FIRST_ERA && !history->first_start;
  history->era = era;
  history->listed = true;
}

static void
on_listed (void *argument, const gs_object_result_t *result)
{
  version_history_t *history = argument;
  int64_t wall_ms = history->wall_ms;

  history->busy = false;
  history->due = history->now + RETRY_INTERVAL;
  if (result->status != GS_OK && result->status != GS_ENOTFOUND)
    {
      g_clear_pointer (&history->after_name, g_free);
      history->read_requested = false;
      return;
    }
  for (unsigned i = 0; i < result->count; i++)
    object_import (history, wall_ms, &result->objects[i]);
  g_clear_pointer (&history->after_name, g_free);
  history->due = 0;
  if (result->more && result->count > 0)
    {
      history->after_name = g_strdup (result->objects[result->count - 1].name);
      return;
    }
  update_era (history);
  if (!history->read)
    log_read (history);
  history->read = true;
  history->read_requested = false;
  history->read_at = history->list_started_at;
  history->changed = true;
}

/* Forgets which object the store has, so that it is read before the next
   write.  */
static void
service_read_again (version_history_t *history, history_service_t *service)
{
  service->read_due = history->now;
  service->exists = false;
  history->due = history->now + RETRY_INTERVAL;
  history->read = false;
}

static void
on_read (void *argument, const gs_object_result_t *result)
{
  version_history_t *history = argument;

  history->busy = false;
  if (result->status == GS_OK && result->count == 1
      && result->objects[0].revision != history->in_call->revision)
    object_import (history, history->wall_ms, &result->objects[0]);
  else if (result->status != GS_OK && result->status != GS_ENOTFOUND)
    history->due = history->now + RETRY_INTERVAL;
}

static void
on_written (void *argument, const gs_object_result_t *result)
{
  version_history_t *history = argument;
  history_service_t *service = history->in_call;
  int64_t wall_ms = history->wall_ms;

  history->busy = false;
  if ((result->status == GS_OK || result->status == GS_ECONFLICT)
      && result->count == 1)
    {
      object_import (history, wall_ms, &result->objects[0]);
      gs_log (GS_LOG_INFO, "version_history_written",
              "service=%s revision=%llu versions=%u conflict=%d",
              service->name, (unsigned long long)service->revision,
              service->recorded_count, result->status == GS_ECONFLICT);
    }
  /* Whether it was written is not known, or the object was lost.  */
  else
    service_read_again (history, service);
}

void
version_history_replicas_set (version_history_t *history, gs_time_t now,
                              const gs_replica_list_t *list)
{
  GHashTableIter iter;
  gpointer value;

  history->has_list = true;
  /* Versions that stay keep the time since when they are listed.  */
  g_hash_table_iter_init (&iter, history->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (unsigned i = 0; i < ((history_service_t *)value)->listed_count; i++)
      ((history_service_t *)value)->listed[i].ready = false;
  for (unsigned i = 0; i < list->count; i++)
    {
      const gs_replica_t *replica = &list->rows[i];
      history_service_t *service = service_ensure (history, replica->service);
      listed_version_t *row = listed_find (service, replica->version);

      if (row == NULL && service->listed_count < SERVICE_VERSIONS_MAX)
        {
          row = &service->listed[service->listed_count++];
          *row = (listed_version_t){ .listed_since = now };
          g_strlcpy (row->version, replica->version, sizeof row->version);
          service->read_interval = READ_INTERVAL_MIN;
          service->read_due = now + READ_DELAY;
        }
      if (row != NULL)
        row->ready |= replica->state == GS_REPLICA_READY;
    }
  g_hash_table_iter_init (&iter, history->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      history_service_t *service = value;
      unsigned kept = 0;

      for (unsigned i = 0; i < service->listed_count; i++)
        {
          bool listed = false;

          for (unsigned j = 0; j < list->count && !listed; j++)
            listed
                = strcmp (list->rows[j].service, service->name) == 0
                  && strcmp (list->rows[j].version, service->listed[i].version)
                         == 0;
          if (listed)
            service->listed[kept++] = service->listed[i];
        }
      if (kept < service->listed_count)
        {
          service->read_interval = READ_INTERVAL_MIN;
          service->read_due = now + READ_DELAY;
        }
      service->listed_count = kept;
    }
}

/* @return whether a recorded version has a replica that accepts requests; no
   other one begins streams meanwhile  */
static bool
has_recorded_ready (history_service_t *service)
{
  for (unsigned i = 0; i < service->listed_count; i++)
    if (service->listed[i].ready
        && is_serving (service, service->listed[i].version))
      return true;
  return false;
}

void
version_history_stream_time_set (version_history_t *history,
                                 gs_time_t stream_time)
{
  history->stream_time_ms
      = MIN ((stream_time + GS_SEC - 1) / GS_SEC * 1000, VERSION_TTL_MS);
}

/* @return whether a version is listed that the record does not have as
   serving, or the other way round  */
static bool
differs_from_list (history_service_t *service)
{
  for (unsigned i = 0; i < service->listed_count; i++)
    if (!is_serving (service, service->listed[i].version))
      return true;
  for (unsigned i = 0; i < service->recorded_count; i++)
    if (service->recorded[i].to_ms == 0
        && listed_find (service, service->recorded[i].version) == NULL)
      return true;
  return false;
}

static recorded_version_t *
recorded_add (history_service_t *next, const char *version)
{
  recorded_version_t *row = &next->recorded[0];

  if (next->recorded_count < SERVICE_VERSIONS_MAX)
    row = &next->recorded[next->recorded_count++];
  else
    for (unsigned i = 1; i < next->recorded_count; i++)
      if (row->to_ms == 0
          || (next->recorded[i].to_ms != 0
              && next->recorded[i].to_ms < row->to_ms))
        row = &next->recorded[i];
  *row = (recorded_version_t){ .to_ms = 0 };
  g_strlcpy (row->version, version, sizeof row->version);
  return row;
}

static void
remove_old (history_service_t *next, int64_t wall_ms)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < next->recorded_count; i++)
    if (next->recorded[i].to_ms == 0
        || next->recorded[i].to_ms + VERSION_TTL_MS > wall_ms)
      next->recorded[kept++] = next->recorded[i];
  next->recorded_count = kept;
}

/* Sets what the record of a service should be.
   @param next receives it
   @return whether it differs from what the store has  */
static bool
make_next (const version_history_t *history, history_service_t *service,
           gs_time_t now, int64_t wall_ms, history_service_t *next)
{
  bool may_wait = service->exists && has_recorded_ready (service);
  bool changed = false;

  *next = *service;
  for (unsigned i = 0; i < next->recorded_count; i++)
    if (next->recorded[i].to_ms == 0
        && listed_find (service, next->recorded[i].version) == NULL)
      {
        next->recorded[i].to_ms = wall_ms;
        changed = true;
      }
  for (unsigned i = 0; i < service->listed_count; i++)
    {
      const listed_version_t *listed = &service->listed[i];
      recorded_version_t *row = recorded_find (next, listed->version);

      if ((row != NULL && row->to_ms == 0)
          || (may_wait && now < listed->listed_since + VERSION_HISTORY_DELAY))
        continue;
      if (row == NULL)
        row = recorded_add (next, listed->version);
      row->from_ms = wall_ms;
      row->to_ms = 0;
      changed = true;
    }
  if (!service->exists)
    {
      next->complete_from_ms = wall_ms;
      next->gap_until_ms = history->has_gap ? wall_ms : 0;
    }
  else
    changed |= service->era != history->era;
  next->era = history->era;
  changed |= history->stream_time_ms > service->stream_time_ms;
  next->stream_time_ms
      = MAX (service->stream_time_ms, history->stream_time_ms);
  return changed;
}

static json_t *
service_encode (const history_service_t *service)
{
  json_t *versions = json_array ();

  for (unsigned i = 0; i < service->recorded_count; i++)
    {
      const recorded_version_t *row = &service->recorded[i];
      json_t *entry = json_pack ("{s:s, s:I}", "version", row->version,
                                 "from_ms", (json_int_t)row->from_ms);

      if (row->to_ms != 0)
        json_object_set_new (entry, "to_ms", json_integer (row->to_ms));
      json_array_append_new (versions, entry);
    }
  return json_pack ("{s:I, s:I, s:I, s:I, s:o}", "stream_time_ms",
                    (json_int_t)service->stream_time_ms, "era",
                    (json_int_t)service->era, "complete_from_ms",
                    (json_int_t)service->complete_from_ms, "gap_until_ms",
                    (json_int_t)service->gap_until_ms, "versions", versions);
}

/* @return whether a call was started  */
static bool
service_tick (version_history_t *history, history_service_t *service,
              gs_time_t now, int64_t wall_ms, bool writes)
{
  const gs_object_store_t *store = history->store;
  history_service_t next;

  if (writes && make_next (history, service, now, wall_ms, &next))
    {
      remove_old (&next, wall_ms);
      history->busy = true;
      history->in_call = service;
      store->put (store->context, VERSION_HISTORY_KIND, service->name,
                  service->exists ? service->revision : 0,
                  service_encode (&next), now + STORE_TIMEOUT, on_written,
                  history);
      return true;
    }
  if (writes || !differs_from_list (service) || now < service->read_due)
    return false;
  service->read_due = now + service->read_interval;
  service->read_interval = MIN (2 * service->read_interval, READ_INTERVAL_MAX);
  history->busy = true;
  history->in_call = service;
  store->get (store->context, VERSION_HISTORY_KIND, service->name,
              now + STORE_TIMEOUT, on_read, history);
  return true;
}

void
version_history_read_request (version_history_t *history)
{
  history->read_requested = true;
}

void
version_history_tick (version_history_t *history, gs_time_t now,
                      int64_t wall_ms, bool writes)
{
  const gs_object_store_t *store = history->store;
  GHashTableIter iter;
  gpointer value;

  history->now = now;
  history->wall_ms = wall_ms;
  if (history->busy || now < history->due)
    return;
  if (history->read && store_era (history) != history->era)
    history->read = false;
  if (!history->read || history->read_requested)
    {
      history->busy = true;
      if (history->after_name == NULL)
        history->list_started_at = now;
      store->list (store->context, VERSION_HISTORY_KIND, history->after_name,
                   now + STORE_TIMEOUT, on_listed, history);
      return;
    }
  if (!history->has_list)
    return;
  g_hash_table_iter_init (&iter, history->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (service_tick (history, value, now, wall_ms, writes))
      return;
}

static void
service_export (const history_service_t *service,
                service_versions_record_t *out)
{
  gs_time_t stream_time = service->stream_time_ms * GS_MSEC;
  service_record_t row = { .complete_from_ms = service->complete_from_ms,
                           .gap_until_ms = service->gap_until_ms };

  g_strlcpy (row.service, service->name, sizeof row.service);
  g_array_append_val (out->services, row);
  out->stream_time = MAX (out->stream_time, stream_time);
  for (unsigned i = 0; i < service->recorded_count; i++)
    {
      const recorded_version_t *from = &service->recorded[i];
      service_version_record_t version
          = { .from_ms = from->from_ms, .to_ms = from->to_ms };

      g_strlcpy (version.service, service->name, sizeof version.service);
      g_strlcpy (version.version, from->version, sizeof version.version);
      g_array_append_val (out->versions, version);
    }
}

bool
version_history_export (version_history_t *history,
                        service_versions_record_t *out)
{
  GHashTableIter iter;
  gpointer value;

  if (!history->read || !history->has_list || !history->changed)
    return false;
  history->changed = false;
  service_versions_record_init (out);
  out->has_gap = history->has_gap;
  out->read_at = history->read_at;
  out->clock_skew_max = VERSION_HISTORY_SKEW_MAX;
  g_hash_table_iter_init (&iter, history->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((history_service_t *)value)->exists)
      service_export (value, out);
  return true;
}
