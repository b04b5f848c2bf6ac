#include "fleet/service_versions.h"

#include "policy/placer.h"

#include <string.h>

#define LISTED_NOW GS_TIME_NEVER

typedef struct
{
  uint64_t version;
  gs_time_t last_listed_at; /* LISTED_NOW while it is listed */
  /* When it was last recorded as serving: LISTED_NOW while it is, or is listed
     before there is a record; -GS_TIME_NEVER for never.  */
  gs_time_t recorded_until;
  bool ready;            /* a listed replica accepts requests */
  gs_time_t ready_since; /* when the first one of these started; GS_TIME_NEVER
                            if that is not known */
} version_row_t;

typedef struct
{
  version_row_t rows[SERVICE_VERSIONS_MAX];
  unsigned count;
  /* When a replica started that was listed before the record was known;
     another version may have served until then.  -GS_TIME_NEVER if that cannot
     be.  */
  gs_time_t first_replaced_at;
  /* From when on all versions are recorded; GS_TIME_NEVER if none are.  */
  gs_time_t complete_from;
  /* Until when versions that the record has lost, and those that were not
     recorded, may have begun streams; -GS_TIME_NEVER for never.  */
  gs_time_t gap_until;
  gs_time_t unrecorded_until;
  bool unrecorded_begin; /* versions that are not recorded begin streams */
  uint64_t beginning[SERVICE_VERSIONS_MAX];
  unsigned beginning_count; /* 0 for any version */
} service_row_t;

struct service_versions
{
  GHashTable *services; /* name -> service_row_t */
  bool has_record;      /* the store's record is known */
};

void
service_versions_record_init (service_versions_record_t *record)
{
  *record = (service_versions_record_t){
    .services = g_array_new (FALSE, TRUE, sizeof (service_record_t)),
    .versions = g_array_new (FALSE, TRUE, sizeof (service_version_record_t)),
  };
}

void
service_versions_record_clear (service_versions_record_t *record)
{
  g_clear_pointer (&record->services, g_array_unref);
  g_clear_pointer (&record->versions, g_array_unref);
}

void
service_versions_create (service_versions_t **out)
{
  service_versions_t *versions = g_new0 (service_versions_t, 1);

  versions->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  *out = versions;
}

void
service_versions_destroy (service_versions_t *versions)
{
  if (versions == NULL)
    return;
  g_hash_table_unref (versions->services);
  g_free (versions);
}

static void
end_listing (service_versions_t *versions, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, versions->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      service_row_t *service = value;

      for (unsigned i = 0; i < service->count; i++)
        {
          if (service->rows[i].last_listed_at == LISTED_NOW)
            service->rows[i].last_listed_at = now;
          service->rows[i].ready = false;
          service->rows[i].ready_since = GS_TIME_NEVER;
        }
    }
}

static service_row_t *
service_ensure (service_versions_t *versions, const char *name)
{
  service_row_t *service = g_hash_table_lookup (versions->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (service_row_t, 1);
  service->first_replaced_at = -GS_TIME_NEVER;
  service->complete_from = GS_TIME_NEVER;
  service->gap_until = -GS_TIME_NEVER;
  service->unrecorded_until = -GS_TIME_NEVER;
  g_hash_table_insert (versions->services, g_strdup (name), service);
  return service;
}

static version_row_t *
version_find (service_row_t *service, uint64_t version)
{
  for (unsigned i = 0; i < service->count; i++)
    if (service->rows[i].version == version)
      return &service->rows[i];
  return NULL;
}

static version_row_t *
version_ensure (service_row_t *service, uint64_t version)
{
  version_row_t *row = version_find (service, version);

  if (row != NULL)
    return row;
  row = &service->rows[0];
  for (unsigned i = 1; i < service->count; i++)
    if (service->rows[i].last_listed_at < row->last_listed_at)
      row = &service->rows[i];
  if (service->count < SERVICE_VERSIONS_MAX)
    row = &service->rows[service->count++];
  *row = (version_row_t){ .version = version,
                          .last_listed_at = -GS_TIME_NEVER,
                          .recorded_until = -GS_TIME_NEVER,
                          .ready_since = GS_TIME_NEVER };
  return row;
}

/* Sets the versions at which streams may begin, after the list or the record
   has changed.  */
static void
service_update_beginning (service_row_t *service, gs_time_t now)
{
  bool has_unrecorded = false;
  bool before = service->unrecorded_begin;

  service->beginning_count = 0;
  for (unsigned i = 0; i < service->count; i++)
    {
      const version_row_t *row = &service->rows[i];
      bool recorded = row->recorded_until == LISTED_NOW;

      if (recorded && row->ready)
        service->beginning[service->beginning_count++] = row->version;
      has_unrecorded |= !recorded && row->last_listed_at == LISTED_NOW;
    }
  service->unrecorded_begin = has_unrecorded && service->beginning_count == 0;
  if (before || service->unrecorded_begin)
    service->unrecorded_until = now;
  if (!has_unrecorded)
    service->beginning_count = 0;
}

static void
update_beginning (service_versions_t *versions, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (!versions->has_record)
    return;
  g_hash_table_iter_init (&iter, versions->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    service_update_beginning (value, now);
}

void
service_versions_set (service_versions_t *versions, gs_time_t now,
                      int64_t wall_ms, const gs_replica_list_t *list)
{
  end_listing (versions, now);
  for (unsigned i = 0; i < list->count; i++)
    {
      const gs_replica_t *replica = &list->rows[i];
      service_row_t *service = service_ensure (versions, replica->service);
      gs_time_t started_at
          = now - (gs_time_t)(wall_ms - replica->started_ms) * GS_MSEC;
      version_row_t *row
          = version_ensure (service, placer_version_hash (replica->version));

      row->last_listed_at = LISTED_NOW;
      if (replica->state == GS_REPLICA_READY)
        {
          row->ready = true;
          if (replica->started_ms != 0)
            row->ready_since = MIN (row->ready_since, started_at);
        }
      if (!versions->has_record && replica->started_ms != 0)
        service->first_replaced_at
            = MAX (service->first_replaced_at, MIN (started_at, now));
    }
  update_beginning (versions, now);
}

/* @return a time of the wall clock as one of this node's, later by the largest
   skew, and not after @p now  */
static gs_time_t
time_from_wall (gs_time_t now, int64_t wall_ms, int64_t at_ms, gs_time_t skew)
{
  return MIN (now, now - (gs_time_t)(wall_ms - at_ms) * GS_MSEC + skew);
}

/* Until there is a record, the versions of the first list are as good as
   recorded: no others have been seen.  */
static void
record_listed (service_versions_t *versions, gs_time_t now, bool has_gap)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, versions->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      service_row_t *service = value;

      if (service->complete_from != GS_TIME_NEVER)
        continue;
      for (unsigned i = 0; i < service->count; i++)
        if (service->rows[i].last_listed_at == LISTED_NOW)
          service->rows[i].recorded_until = LISTED_NOW;
      if (has_gap)
        service->gap_until = now;
    }
}

static void
record_import_service (service_versions_t *versions, gs_time_t now,
                       int64_t wall_ms,
                       const service_versions_record_t *record,
                       const service_record_t *from)
{
  service_row_t *service = service_ensure (versions, from->service);

  service->complete_from = time_from_wall (
      now, wall_ms, from->complete_from_ms, record->clock_skew_max);
  for (unsigned i = 0; i < service->count; i++)
    service->rows[i].recorded_until
        = MIN (service->rows[i].recorded_until, now);
  /* Later on this node sees all versions itself.  */
  if (!versions->has_record && from->gap_until_ms != 0)
    service->gap_until = time_from_wall (now, wall_ms, from->gap_until_ms,
                                         record->clock_skew_max);
}

static void
record_import_version (service_versions_t *versions, gs_time_t now,
                       int64_t wall_ms,
                       const service_versions_record_t *record,
                       const service_version_record_t *from)
{
  service_row_t *service = service_ensure (versions, from->service);
  uint64_t version = placer_version_hash (from->version);
  bool is_new = version_find (service, version) == NULL;
  version_row_t *row = version_ensure (service, version);
  gs_time_t left_at
      = time_from_wall (now, wall_ms, from->to_ms, record->clock_skew_max);

  if (from->to_ms == 0)
    {
      row->recorded_until = LISTED_NOW;
      /* It has left unseen, at this time at the latest.  */
      if (is_new)
        row->last_listed_at = now;
      return;
    }
  row->recorded_until = MAX (row->recorded_until, left_at);
  row->last_listed_at = MAX (row->last_listed_at, left_at);
}

void
service_versions_record_set (service_versions_t *versions, gs_time_t now,
                             int64_t wall_ms,
                             const service_versions_record_t *record)
{
  for (guint i = 0; i < record->services->len; i++)
    record_import_service (
        versions, now, wall_ms, record,
        &g_array_index (record->services, service_record_t, i));
  for (guint i = 0; i < record->versions->len; i++)
    record_import_version (
        versions, now, wall_ms, record,
        &g_array_index (record->versions, service_version_record_t, i));
  if (!versions->has_record)
    record_listed (versions, now, record->has_gap);
  versions->has_record = true;
  update_beginning (versions, now);
}

const uint64_t *
service_versions_beginning (const service_versions_t *versions,
                            const char *service, unsigned *count)
{
  const service_row_t *row = g_hash_table_lookup (versions->services, service);

  *count = row != NULL ? row->beginning_count : 0;
  return *count > 0 ? row->beginning : NULL;
}

static unsigned
count_versions (const service_row_t *service, gs_time_t from,
                uint64_t *version)
{
  unsigned count = 0;

  for (unsigned i = 0; i < service->count; i++)
    if (service->rows[i].last_listed_at >= from)
      {
        count++;
        *version = service->rows[i].version;
      }
  return count;
}

/* Versions that are not recorded have begun no streams while a recorded one
   had replicas that accept requests, and one of these has run all the time.
   @return whether all streams began at the one version that is recorded  */
static bool
find_single_recorded (const service_row_t *service, gs_time_t from,
                      uint64_t *version)
{
  const version_row_t *found = NULL;

  if (service->complete_from >= from || service->gap_until >= from
      || service->unrecorded_until >= from)
    return false;
  for (unsigned i = 0; i < service->count; i++)
    {
      const version_row_t *row = &service->rows[i];

      if (row->recorded_until < from || row->last_listed_at < from)
        continue;
      if (found != NULL)
        return false;
      found = row;
    }
  if (found == NULL || !found->ready || found->ready_since >= from)
    return false;
  *version = found->version;
  return true;
}

/* @return whether one version alone is known to have served  */
static bool
find_single_listed (const service_row_t *service, gs_time_t from,
                    uint64_t *version)
{
  return service->first_replaced_at < from && service->gap_until < from
         && count_versions (service, from, version) == 1;
}

bool
service_versions_get_single (const service_versions_t *versions, gs_time_t now,
                             const char *service, gs_time_t lookback,
                             uint64_t *version)
{
  const service_row_t *row = g_hash_table_lookup (versions->services, service);
  gs_time_t from = now - lookback;
  uint64_t found;

  if (!versions->has_record || row == NULL
      || (!find_single_listed (row, from, &found)
          && !find_single_recorded (row, from, &found)))
    return false;
  *version = found;
  return true;
}

bool
service_versions_is_listed (const service_versions_t *versions,
                            const char *service)
{
  const service_row_t *row = g_hash_table_lookup (versions->services, service);

  for (unsigned i = 0; row != NULL && i < row->count; i++)
    if (row->rows[i].last_listed_at == LISTED_NOW)
      return true;
  return false;
}

bool
service_versions_are_mixed (const service_versions_t *versions, gs_time_t now,
                            gs_time_t lookback)
{
  gs_time_t from = now - lookback;
  GHashTableIter iter;
  gpointer value;
  uint64_t version;

  g_hash_table_iter_init (&iter, versions->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const service_row_t *service = value;

      if (count_versions (service, from, &version) > 1
          || (service->first_replaced_at >= from
              && !find_single_recorded (service, from, &version)))
        return true;
    }
  return false;
}
