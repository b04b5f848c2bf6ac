#include "policy/placer_private.h"

#include "garnetstack/log.h"

#include <string.h>

/* A rejection after a time without any shows that replicas have less room than
   before.  Their room changes together, so the others are about to reject as
   well.  */
#define QUIET_TIME (5 * GS_SEC)

/* What the replicas of a service say.  They are brittle together, so one that
   has just started is taken for brittle before it has answered.  */
typedef struct
{
  gs_time_t stated_at; /* last answer that stated it; 0 if they are not */
  gs_time_t ended_at;  /* last answer that did not state it any more */
  double rejections_max;
  gs_time_t rejected_at; /* last rejection for lack of room */
} brittle_service_t;

GHashTable *
placer_brittle_table_create (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static bool
is_brittle (const brittle_service_t *service, gs_time_t now)
{
  return service != NULL && service->stated_at != 0
         && now <= service->stated_at + BRITTLE_TTL;
}

static void
log_change (const replica_row_t *row, gs_time_t now, const char *source)
{
  const brittle_replica_t *brittle = &row->brittle;
  bool set = brittle_replica_is_set (brittle, now);

  gs_log (GS_LOG_INFO, "replica_brittle",
          "id=%s service=%s brittle=%d rejections_per_sec=%.3f own_slots=%u"
          " slots=%u in_flight=%u rank=%u members=%u begins_in_ms=%lld"
          " source=%s",
          row->replica.id, row->replica.service, set,
          set ? brittle->rejections_max : 0.0,
          set ? brittle_replica_slots (brittle, now, row->replica.slots,
                                       row->in_flight)
              : row->replica.slots,
          row->replica.slots, row->in_flight, brittle->rank, brittle->members,
          (long long)(MAX (brittle->grows_at - now, 0) / GS_MSEC), source);
}

void
placer_brittle_share (const placer_t *placer, gs_time_t now,
                      replica_row_t *row)
{
  brittle_replica_share (&row->brittle, now, row->hash,
                         (const uint64_t *)(void *)placer->member_nodes->data,
                         placer->member_nodes->len);
}

void
placer_members_set (placer_t *placer, gs_time_t now, const uint64_t *members,
                    size_t count)
{
  if (placer->member_nodes->len == count
      && (count == 0
          || memcmp (placer->member_nodes->data, members,
                     count * sizeof *members)
                 == 0))
    return;
  g_array_set_size (placer->member_nodes, 0);
  g_array_append_vals (placer->member_nodes, members, (guint)count);
  for (guint i = 0; i < placer->rows->len; i++)
    if (brittle_replica_is_set (&placer_row (placer, i)->brittle, now))
      placer_brittle_share (placer, now, placer_row (placer, i));
}

static void
row_inherit (const placer_t *placer, gs_time_t now, replica_row_t *row,
             double rejections_max)
{
  if (brittle_replica_is_set (&row->brittle, now))
    return;
  placer_brittle_share (placer, now, row);
  brittle_replica_inherit (&row->brittle, now, rejections_max, row->in_flight);
  log_change (row, now, "service");
}

/* Records that a replica of a service is brittle; the others inherit it.  */
static void
service_set (placer_t *placer, gs_time_t now, const char *name,
             gs_time_t stated_at, double rejections_max)
{
  brittle_service_t *service = g_hash_table_lookup (placer->brittle, name);
  bool before = is_brittle (service, now);

  if (service == NULL)
    {
      service = g_new0 (brittle_service_t, 1);
      g_hash_table_insert (placer->brittle, g_strdup (name), service);
    }
  service->stated_at = MAX (service->stated_at, stated_at);
  service->rejections_max = rejections_max;
  for (guint i = 0; !before && i < placer->rows->len; i++)
    {
      replica_row_t *row = placer_row (placer, i);

      if (strcmp (row->replica.service, name) == 0)
        row_inherit (placer, now, row, rejections_max);
    }
}

/* Ends what replicas that have not answered this node had inherited.  */
static void
service_end (placer_t *placer, gs_time_t now, const char *name,
             gs_time_t sent_at)
{
  brittle_service_t *service = g_hash_table_lookup (placer->brittle, name);

  if (!is_brittle (service, now) || sent_at <= service->stated_at)
    return;
  service->stated_at = 0;
  service->ended_at = now;
  for (guint i = 0; i < placer->rows->len; i++)
    {
      replica_row_t *row = placer_row (placer, i);

      if (row->brittle.answered || row->brittle.stated_at == 0
          || strcmp (row->replica.service, name) != 0)
        continue;
      row->brittle.stated_at = 0;
      log_change (row, now, "service");
    }
}

bool
placer_row_is_brittle (const placer_t *placer, gs_time_t now, uint32_t row)
{
  return brittle_replica_is_set (&placer_row (placer, row)->brittle, now);
}

void
placer_brittle_process_set (placer_t *placer, gs_time_t now,
                            replica_row_t *row)
{
  const brittle_service_t *service
      = g_hash_table_lookup (placer->brittle, row->replica.service);

  if (is_brittle (service, now))
    row_inherit (placer, now, row, service->rejections_max);
}

void
placer_brittle_answer (placer_t *placer, gs_time_t now, replica_row_t *row,
                       gs_time_t sent_at, const placer_statement_t *statement)
{
  bool before = brittle_replica_is_set (&row->brittle, now);

  if (statement->brittle && !before)
    placer_brittle_share (placer, now, row);
  brittle_replica_state (&row->brittle, now, sent_at,
                         statement->brittle ? statement->rejections_max : -1,
                         row->in_flight);
  if (brittle_replica_is_set (&row->brittle, now) != before)
    log_change (row, now, "answer");
  if (statement->brittle)
    service_set (placer, now, row->replica.service, now,
                 statement->rejections_max);
  else
    service_end (placer, now, row->replica.service, sent_at);
}

void
placer_brittle_import (placer_t *placer, gs_time_t now, replica_row_t *row,
                       const statement_t *statement)
{
  const brittle_service_t *service
      = g_hash_table_lookup (placer->brittle, row->replica.service);

  if (statement->brittle == 0
      || (service != NULL && statement->stated_at <= service->ended_at))
    return;
  service_set (placer, now, row->replica.service, statement->stated_at,
               statement_rejections (statement));
}

void
placer_brittle_reject (placer_t *placer, gs_time_t now, replica_row_t *row)
{
  brittle_service_t *service
      = g_hash_table_lookup (placer->brittle, row->replica.service);
  bool quiet;

  brittle_replica_reject (&row->brittle, now, row->in_flight);
  if (!is_brittle (service, now))
    return;
  quiet = service->rejected_at == 0 || now > service->rejected_at + QUIET_TIME;
  service->rejected_at = now;
  if (!quiet)
    return;
  gs_log (GS_LOG_INFO, "service_room_shrank", "service=%s id=%s",
          row->replica.service, row->replica.id);
  for (guint i = 0; i < placer->rows->len; i++)
    {
      replica_row_t *other = placer_row (placer, i);

      if (strcmp (other->replica.service, row->replica.service) == 0
          && brittle_replica_is_set (&other->brittle, now))
        brittle_replica_restart (&other->brittle, now);
    }
}
