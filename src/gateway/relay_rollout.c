#include "gateway/relay_private.h"

#include "garnetstack/meter.h"
#include "policy/rollout_judge.h"

#include <string.h>

/* Counters of one roll-out at this node.  */
typedef struct
{
  traffic_rollout_t state;
  rollout_share_t share;
  GArray *counts; /* of rollout_count_t */
} service_rollout_t;

struct relay_rollouts
{
  double expose_share;
  GHashTable *services; /* service -> service_rollout_t */
};

static void
service_rollout_free (gpointer data)
{
  service_rollout_t *service = data;

  g_array_unref (service->counts);
  g_free (service);
}

void
relay_rollouts_create (relay_rollouts_t **out, double expose_share)
{
  relay_rollouts_t *rollouts = g_new0 (relay_rollouts_t, 1);

  rollouts->expose_share = expose_share;
  rollouts->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                              service_rollout_free);
  *out = rollouts;
}

void
relay_rollouts_destroy (relay_rollouts_t *rollouts)
{
  if (rollouts == NULL)
    return;
  g_hash_table_unref (rollouts->services);
  g_free (rollouts);
}

static bool
is_listed (const GArray *rows, const char *service)
{
  for (guint i = 0; i < rows->len; i++)
    if (strcmp (g_array_index (rows, traffic_rollout_t, i).service, service)
        == 0)
      return true;
  return false;
}

void
relay_rollouts_set (relay_rollouts_t *rollouts, const GArray *rows)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, rollouts->services);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!is_listed (rows, key))
      g_hash_table_iter_remove (&iter);
  for (guint i = 0; i < rows->len; i++)
    {
      const traffic_rollout_t *row
          = &g_array_index (rows, traffic_rollout_t, i);
      service_rollout_t *service
          = g_hash_table_lookup (rollouts->services, row->service);
      bool is_new = service == NULL || service->state.order != row->order;

      if (service == NULL)
        {
          service = g_new0 (service_rollout_t, 1);
          service->counts
              = g_array_new (FALSE, TRUE, sizeof (rollout_count_t));
          service->state = *row;
          g_hash_table_insert (rollouts->services, service->state.service,
                               service);
        }
      service->state = *row;
      if (!is_new)
        continue;
      rollout_share_init (&service->share, rollouts->expose_share);
      g_array_set_size (service->counts, 0);
    }
}

void
relay_rollouts_export (const relay_rollouts_t *rollouts, GArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, rollouts->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const service_rollout_t *service = value;

      g_array_append_vals (out, service->counts->data, service->counts->len);
    }
}

static service_rollout_t *
find_service (const relay_t *relay)
{
  return g_hash_table_lookup (relay->traffic->rollouts->services,
                              relay->service->name);
}

/* @return whether the target is to get the request  */
static bool
choose_target (relay_t *relay, service_rollout_t *service)
{
  const traffic_rollout_t *state = &service->state;
  relay_rollout_t *rollout = &relay->rollout;

  if (!rollout->decided || rollout->decided_order != state->order)
    {
      rollout->decided = true;
      rollout->decided_order = state->order;
      rollout->decided_target = rollout_share_take (
          &service->share, state->stage, state->fraction);
    }
  switch (state->stage)
    {
    case ROLLOUT_PROBATION:
    case ROLLOUT_SHIFT:
      return rollout->decided_target && relay->attempts == 0;
    case ROLLOUT_DRAINING:
    case ROLLOUT_COMPLETED:
      return true;
    default:
      return false;
    }
}

static void
old_version_require (const service_rollout_t *service, placer_query_t *query)
{
  query->version = service->state.base;
  query->excluded_version = service->state.target;
}

void
relay_rollout_query_set (relay_t *relay, placer_query_t *query)
{
  service_rollout_t *service = find_service (relay);

  if (service == NULL)
    return;
  query->no_wait = query->version == 0;
  /* A stream can go on at its own version only.  One that began at a target
     which was rolled back ends.  */
  if (query->version != 0)
    {
      if (service->state.stage == ROLLOUT_ROLLED_BACK)
        query->excluded_version = service->state.target;
    }
  else if (choose_target (relay, service))
    query->version = service->state.target;
  else
    old_version_require (service, query);
}

bool
relay_rollout_fall_back (relay_t *relay, gs_status_t status,
                         placer_query_t *query)
{
  service_rollout_t *service = find_service (relay);

  if (service == NULL || relay->version != 0
      || query->version != service->state.target)
    return false;
  if (service->state.stage == ROLLOUT_PROBATION
      || service->state.stage == ROLLOUT_SHIFT)
    {
      rollout_share_cancel (&service->share);
      relay->rollout.decided_target = false;
      old_version_require (service, query);
    }
  else if (status != GS_ENOTFOUND)
    return false;
  else
    query->version = service->state.base;
  return true;
}

/* @return the counter of a request's route; requests of routes beyond the
   limit share one  */
static rollout_count_t *
ensure_count (service_rollout_t *service, const relay_t *relay, bool at_target)
{
  uint64_t route = placer_replica_hash (relay->route->name);
  rollout_count_t count
      = { .order = service->state.order, .is_target = at_target };

  for (unsigned i = 0; i < 2; i++)
    {
      for (guint j = 0; j < service->counts->len; j++)
        {
          rollout_count_t *row
              = &g_array_index (service->counts, rollout_count_t, j);

          if (row->route == route && row->is_target == at_target)
            return row;
        }
      if (i == 0 && service->counts->len < 2 * (ROLLOUT_ROUTES_MAX - 1))
        break;
      route = 0;
    }
  count.route = route;
  memcpy (count.service, service->state.service, sizeof count.service);
  g_array_append_val (service->counts, count);
  return &g_array_index (service->counts, rollout_count_t,
                         service->counts->len - 1);
}

void
relay_rollout_sent (relay_t *relay)
{
  service_rollout_t *service = find_service (relay);
  relay_rollout_t *rollout = &relay->rollout;
  char labels[128];

  rollout->order = service != NULL ? service->state.order : 0;
  rollout->responded_at = 0;
  rollout->events_before = relay->events.count;
  if (rollout->order == 0)
    return;
  rollout->at_target
      = placer_version_hash (relay->replica_version) == service->state.target;
  ensure_count (service, relay, rollout->at_target)->requests++;
  g_snprintf (labels, sizeof labels, "service=\"%s\",version=\"%s\"",
              service->state.service, rollout->at_target ? "target" : "old");
  gs_meter_add ("rollout_requests_total", labels, 1);
}

void
relay_rollout_responded (relay_t *relay, gs_time_t now)
{
  relay->rollout.responded_at = now;
}

static double
to_msec (gs_time_t time)
{
  return (double)time / GS_MSEC;
}

/* Attempts that could not be sent, that their replica has rejected as not run,
   or whose caller has left say nothing of the version.  */
void
relay_rollout_ended (relay_t *relay, gs_time_t now, placer_outcome_t outcome)
{
  service_rollout_t *service = find_service (relay);
  relay_rollout_t *rollout = &relay->rollout;
  uint64_t events = relay->events.count - rollout->events_before;
  rollout_count_t *count;

  if (service == NULL || rollout->order == 0
      || rollout->order != service->state.order
      || (outcome != PLACER_SUCCEEDED && outcome != PLACER_FAILED))
    return;
  count = ensure_count (service, relay, rollout->at_target);
  count->answers++;
  count->failures += outcome == PLACER_FAILED;
  rollout->order = 0;
  if (rollout->responded_at == 0)
    return;
  count->first_event[rollout_count_bucket (to_msec (
      rollout->responded_at - relay->ticket.first_event_expected_at))]++;
  if (events > 1)
    count->per_event[rollout_count_bucket (
        to_msec (now - rollout->responded_at) / (double)(events - 1))]++;
}

bool
relay_rollout_is_exposed (const relay_t *relay)
{
  const service_rollout_t *service = find_service (relay);

  return service != NULL && relay->rollout.order != 0
         && relay->rollout.order == service->state.order
         && relay->rollout.at_target
         && service->state.stage != ROLLOUT_COMPLETED;
}
