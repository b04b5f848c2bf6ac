#include "gateway/duties.h"

#include "control/lease.h"
#include "garnetstack/log.h"
#include "gateway/gauges.h"
#include "gateway/rollout_duty.h"
#include "gateway/scaler_record.h"
#include "policy/usage_ledger.h"

#include <limits.h>
#include <math.h>
#include <string.h>

#define LEASE_NAME "lease"
/* Peers tell a process that starts which usage window was sent last; the first
   call to a peer that does not answer is repeated after a second.  Reports are
   due seconds after a window's end.  */
#define USAGE_START_DELAY (1500 * GS_MSEC)
/* Fencing tokens of one era; far more than nodes take the lease.  */
#define ERA_TOKEN_SHIFT 20
/* Eras of a store that has never come back from an older copy: it counts from
   one of these.  */
#define ERA_FIRST_MIN 1
#define ERA_FIRST_MAX 2
#define USAGE_NAME "usage"
/* The store normally answers within milliseconds, and takes up to fifty times
   as long when degraded.  */
#define STORE_TIMEOUT (800 * GS_MSEC)
/* Longer, as no request waits for the provider, and a call that is abandoned
   early and repeated counts twice against the rate limit.  */
#define PROVIDER_TIMEOUT (1500 * GS_MSEC)
/* Times of the lease as ratios of the deployment's lease time, which is the
   shortest time between two holders.  The term is long enough for three
   attempts at a renewal, and short enough that usage is still reported in time
   when the holder is lost.  */
#define LEASE_TERM_RATIO 1.4
#define LEASE_RENEW_RATIO 0.45
#define LEASE_PAUSE_RATIO 0.15
/* Time until a failed lease call is repeated, so that many attempts fit into
   the rest of the term once a renewal is due.  */
#define LEASE_RETRY_INTERVAL (150 * GS_MSEC)
/* Nodes that request the lease.  Two of them may be lost together; if all
   nodes did, their calls would take the store's limit from the configuration
   and the replicas that callers need.  */
#define LEASE_CANDIDATES_MAX 3
/* A leaving node runs for at least a second more than this, in which it
   releases the lease.  */
#define LEAVE_KEEP_TIME (3 * GS_SEC)
/* How often the scaler runs.  */
#define SCALE_INTERVAL (250 * GS_MSEC)
/* Half-life of the smoothed rates given to the scaler: digests arrive every
   third of a second, and requests in bursts.  */
#define LOAD_HALF_LIFE (1500 * GS_MSEC)
/* Orders for a service at one time: spot and on-demand replicas in each data
   centre.  */
#define ORDERS_MAX (2 * SCALER_DATA_CENTRES_MAX)

/* Rates of the demand for a service, over all nodes.  */
typedef struct
{
  uint64_t uncached_tokens; /* counters at the last measurement */
  uint64_t requests;
  uint64_t rejected;
  double uncached_tokens_per_sec; /* exponentially smoothed rates */
  double requests_per_sec;
  double rejected_per_sec;
  bool has_requests; /* the service has had requests */
} demand_rates_t;

struct duties
{
  duties_options_t options;
  gs_lease_t lease;
  uint64_t era;              /* of the store, as last known; 0 for none */
  bool doubts_record;        /* the store may have come back older before this
                                process began, and lack records of usage */
  uint64_t fencing;          /* token of the held lease; 0 for none */
  gs_time_t takeover_at;     /* a new holder does not act before */
  gs_time_t acted_at;        /* when this node last could act, in this process
                                or before it */
  unsigned open_calls;       /* to the provider */
  uint64_t takeover_fencing; /* token that takeover_at was set for */
  usage_ledger_t ledger;
  gs_time_t usage_due;    /* earliest report of this process */
  int64_t writing_window; /* window of the open write of the usage record */
  scaler_t *scaler;
  scaler_record_t scaler_record;
  gs_time_t scale_due;
  gs_time_t scaled_at;
  GHashTable *rates; /* service -> demand_rates_t */
  traffic_report_t *report;
  gs_route_table_t *table;
  gs_replica_list_t *replicas;
  const rollout_duty_t *rollouts; /* NULL for none */
};

void
duties_create (duties_t **out, const duties_options_t *options)
{
  duties_t *duties = g_new0 (duties_t, 1);
  double lease_time = (double)options->deployment->lease_time;
  gs_lease_times_t times
      = { .term = (gs_time_t)(lease_time * LEASE_TERM_RATIO),
          .renew_interval = (gs_time_t)(lease_time * LEASE_RENEW_RATIO),
          .pause_max = (gs_time_t)(lease_time * LEASE_PAUSE_RATIO),
          .retry_interval = LEASE_RETRY_INTERVAL };

  duties->options = *options;
  duties->acted_at = gs_clock_now ();
  duties->usage_due = gs_clock_now () + USAGE_START_DELAY;
  gs_lease_init (&duties->lease, options->deployment->node,
                 options->incarnation);
  gs_lease_times_set (&duties->lease, &times);
  scaler_create (&duties->scaler);
  scaler_record_init (&duties->scaler_record, DUTIES_KIND, options->store,
                      duties->scaler);
  duties->rates
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  usage_ledger_init (&duties->ledger, options->deployment->usage_window,
                     options->deployment->usage_report_timeout);
  *out = duties;
}

void
duties_destroy (duties_t *duties)
{
  if (duties == NULL)
    return;
  usage_ledger_clear (&duties->ledger);
  scaler_destroy (duties->scaler);
  g_hash_table_unref (duties->rates);
  traffic_report_free (duties->report);
  gs_route_table_unref (duties->table);
  gs_replica_list_unref (duties->replicas);
  g_free (duties);
}

void
duties_rollouts_set (duties_t *duties, const struct rollout_duty *rollouts)
{
  duties->rollouts = rollouts;
}

void
duties_report_set (duties_t *duties, traffic_report_t *report)
{
  traffic_report_free (duties->report);
  duties->report = report;
}

const traffic_report_t *
duties_report (const duties_t *duties)
{
  return duties->report;
}

const gs_replica_list_t *
duties_replicas (const duties_t *duties)
{
  return duties->replicas;
}

void
duties_routes_set (duties_t *duties, gs_route_table_t *table)
{
  gs_route_table_unref (duties->table);
  duties->table = gs_route_table_ref (table);
}

void
duties_replicas_set (duties_t *duties, gs_replica_list_t *list)
{
  gs_replica_list_unref (duties->replicas);
  duties->replicas = gs_replica_list_ref (list);
}

/* A store in its second era counts from 1 and is new, or from 0 and has come
   back from an older copy, before which only an earlier process can have
   written.
   @return whether a store without a record has never had one  */
static bool
absent_is_new (const duties_t *duties, uint64_t era)
{
  return era <= ERA_FIRST_MAX && duties->options.deployment->first_start;
}

/* A store that came back from an older copy may have lost the lease and the
   record of usage.  Tokens of an era are higher than those of earlier ones,
   which the store may have lost as well.  */
static void
update_era (duties_t *duties, gs_time_t now)
{
  const gs_object_store_t *store = duties->options.store;
  uint64_t era = store->era != NULL ? store->era (store->context) : 0;

  if (era <= duties->era)
    return;
  if (duties->era != 0)
    {
      gs_log (GS_LOG_WARN, "lease_reset", "era=%llu before=%llu fencing=%llu",
              (unsigned long long)era, (unsigned long long)duties->era,
              (unsigned long long)duties->fencing);
      usage_ledger_store_reset (&duties->ledger, gs_clock_monotonic_wall (),
                                gs_lease_is_valid (&duties->lease, now));
      duties->doubts_record = false;
      gs_lease_store_reset (&duties->lease, now, era << ERA_TOKEN_SHIFT);
    }
  else if (era > ERA_FIRST_MIN)
    {
      gs_log (GS_LOG_INFO, "lease_reset_assumed", "era=%llu",
              (unsigned long long)era);
      gs_lease_reset_assume (&duties->lease, now, era << ERA_TOKEN_SHIFT,
                             absent_is_new (duties, era));
      duties->doubts_record = true;
    }
  else
    duties->lease.fencing_floor
        = MAX (duties->lease.fencing_floor, era << ERA_TOKEN_SHIFT);
  duties->era = era;
}

/* @return status of a call; the outcome is unknown if the store has come back
   older since it responded  */
static gs_status_t
status_in_era (const duties_t *duties, const gs_object_result_t *result)
{
  return result->status == GS_OK && result->era < duties->era ? GS_EUNKNOWN
                                                              : result->status;
}

static void
on_lease_read (void *argument, const gs_object_result_t *result)
{
  duties_t *duties = argument;
  gs_lease_record_t record;
  gs_time_t now = gs_clock_now ();
  char *text = NULL;
  bool readable = false;

  if (result->status == GS_OK && result->count == 1)
    {
      text = json_dumps (result->objects[0].value, JSON_COMPACT);
      readable
          = text != NULL
            && gs_lease_record_parse (&record, text, strlen (text)) == GS_OK;
      if (!readable)
        gs_log (GS_LOG_WARN, "lease_not_readable", "reason=\"%s\"",
                gs_error_last ());
    }
  gs_lease_read_done (&duties->lease, now,
                      result->status == GS_OK && !readable
                          ? GS_EINVAL
                          : status_in_era (duties, result),
                      result->count == 1 ? result->objects[0].revision : 0,
                      readable ? &record : NULL);
  free (text);
}

static void
on_lease_written (void *argument, const gs_object_result_t *result)
{
  duties_t *duties = argument;

  gs_lease_write_done (&duties->lease, gs_clock_now (),
                       status_in_era (duties, result),
                       result->count == 1 ? result->objects[0].revision : 0);
}

static void
tick_lease (duties_t *duties, gs_time_t now, bool wanted)
{
  const gs_object_store_t *store = duties->options.store;
  gs_lease_action_t action = gs_lease_tick (&duties->lease, now, wanted);
  char *text;

  if (action.kind == GS_LEASE_READ)
    store->get (store->context, DUTIES_KIND, LEASE_NAME, now + STORE_TIMEOUT,
                on_lease_read, duties);
  else if (action.kind == GS_LEASE_WRITE)
    {
      text = gs_lease_record_format (&action.record);
      store->put (store->context, DUTIES_KIND, LEASE_NAME, action.version,
                  json_loads (text, 0, NULL), now + STORE_TIMEOUT,
                  on_lease_written, duties);
      g_free (text);
    }
}

/* If another node held the lease before, the new holder does not act until the
   earlier one may no longer act by any node's clock, so that calls of the two
   never interleave.  A node that finds its own record, after a restart or
   after it could not reach the store, acts at once.  So does one that follows
   a holder which resigned, unless it has acted before that holder: two changes
   of the holder within a lease time would interleave too.  */
static gs_time_t
takeover_time (const duties_t *duties, gs_time_t now)
{
  gs_time_t lease_time = duties->options.deployment->lease_time;

  if (!duties->lease.taken_from_other)
    return now;
  if (duties->lease.taken_resigned)
    return MAX (now, duties->acted_at + lease_time);
  return now + lease_time;
}

static void
update_holder (duties_t *duties, gs_time_t now)
{
  uint64_t fencing = gs_lease_is_valid (&duties->lease, now)
                         ? duties->lease.record.fencing
                         : 0;

  if (fencing == duties->fencing)
    return;
  if (fencing != 0)
    {
      if (fencing != duties->takeover_fencing)
        duties->takeover_at = takeover_time (duties, now);
      duties->takeover_fencing = fencing;
      usage_ledger_invalidate (&duties->ledger);
      scaler_reset (duties->scaler);
      scaler_record_invalidate (&duties->scaler_record);
    }
  gauges_plan_clear ();
  gs_log (GS_LOG_INFO, fencing != 0 ? "duty_taken" : "duty_lost",
          "fencing=%llu store_answered_ms=%lld",
          (unsigned long long)(fencing != 0 ? fencing : duties->fencing),
          (long long)((now - duties->lease.store_response_at) / GS_MSEC));
  duties->fencing = fencing;
}

/* A holder that the store does not answer cannot renew the lease and cannot
   report usage, while other nodes wait for the end of its term and more: seven
   seconds in which nobody orders replicas.  Where the store answers another
   node, the holder therefore resigns, once its calls have ended.  */
static bool
must_resign (const duties_t *duties, gs_time_t now)
{
  return duties->fencing != 0 && gs_lease_is_valid (&duties->lease, now)
         && gs_lease_is_renewal_overdue (&duties->lease, now)
         && peers_has_follower (duties->options.peers, now);
}

static void
resign (duties_t *duties)
{
  gs_log (GS_LOG_WARN, "duty_resigned", "fencing=%llu reason=store_silent",
          (unsigned long long)duties->fencing);
  gs_lease_resign (&duties->lease);
  duties->options.on_resigned (duties->options.context);
}

gs_lease_resignation_t
duties_resignation (const duties_t *duties)
{
  return duties->lease.resignation;
}

void
duties_resignation_set (duties_t *duties, gs_time_t now,
                        const gs_lease_resignation_t *resignation)
{
  gs_lease_resignation_set (&duties->lease, now, resignation);
}

bool
duties_may_act (const duties_t *duties, gs_time_t now)
{
  return duties->fencing != 0 && now >= duties->takeover_at
         && gs_lease_is_valid (&duties->lease, now);
}

int64_t
duties_usage_window (const duties_t *duties)
{
  return duties->ledger.sent_window;
}

/* A window that has not begun cannot have been sent; without the bound one
   message could end all reports.  */
void
duties_usage_window_raise (duties_t *duties, int64_t window)
{
  gs_time_t length = duties->options.deployment->usage_window;

  if (window <= gs_clock_monotonic_wall () / length)
    usage_ledger_sent_record (&duties->ledger, window);
}

bool
duties_is_holder (const duties_t *duties)
{
  return duties->fencing != 0;
}

static gs_duty_t
own_duty (const duties_t *duties)
{
  return (gs_duty_t){ duties->options.deployment->node, duties->fencing };
}

/* @return account -> requests in a window, over all processes  */
static json_t *
sum_window_usage (const duties_t *duties, gs_time_t now, int64_t window)
{
  json_t *counts = json_object ();
  aggregate_t sum;

  aggregate_init (&sum);
  for (unsigned i = 0; duties->table != NULL
                       && i < gs_route_table_account_count (duties->table);
       i++)
    json_object_set_new (counts,
                         gs_route_table_account (duties->table, i)->name,
                         json_integer (0));
  peers_fleet_sum (duties->options.peers, now, &sum);
  for (guint i = 0; i < sum.usage->len; i++)
    {
      const traffic_usage_t *row
          = &g_array_index (sum.usage, traffic_usage_t, i);

      if (row->window == window)
        json_object_set_new (counts, row->account,
                             json_integer ((json_int_t)row->requests));
    }
  aggregate_clear (&sum);
  return counts;
}

static void
on_usage_read (void *argument, const gs_object_result_t *result)
{
  duties_t *duties = argument;
  const gs_object_t *object = result->count == 1 ? result->objects : NULL;

  usage_ledger_read_done (&duties->ledger, gs_clock_now (),
                          status_in_era (duties, result),
                          object != NULL ? object->revision : 0,
                          object != NULL ? object->value : NULL);
  if (!duties->doubts_record || !duties->ledger.valid)
    return;
  /* A holder that was killed may have sent windows of which the store has lost
     the record.  */
  if (duties->ledger.record_era != duties->era
      && (object != NULL || !absent_is_new (duties, duties->era)))
    usage_ledger_assume_sent (&duties->ledger, gs_clock_monotonic_wall ());
  duties->doubts_record = false;
}

static void
on_usage_written (void *argument, const gs_object_result_t *result)
{
  duties_t *duties = argument;

  usage_ledger_write_done (
      &duties->ledger, gs_clock_now (), status_in_era (duties, result),
      result->count == 1 ? result->objects[0].revision : 0,
      duties->writing_window);
}

static void
on_usage_sent (void *argument, gs_status_t status)
{
  duties_t *duties = argument;

  duties->open_calls--;
  gs_log (status == GS_OK ? GS_LOG_INFO : GS_LOG_WARN, "usage_reported",
          "window=%lld status=%s fencing=%llu",
          (long long)duties->ledger.window, gs_status_name (status),
          (unsigned long long)duties->fencing);
  usage_ledger_send_done (&duties->ledger, gs_clock_now (), status);
}

static void
send_usage (duties_t *duties, gs_time_t now)
{
  const gs_provider_t *provider = duties->options.provider;
  const json_t *counts = duties->ledger.counts;
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (gs_usage_count_t));
  gs_duty_t duty = own_duty (duties);
  const char *account;
  json_t *requests;

  json_object_foreach ((json_t *)counts, account, requests)
  {
    gs_usage_count_t row
        = { account, (uint64_t)json_integer_value (requests) };

    g_array_append_val (rows, row);
  }
  duties->open_calls++;
  provider->report_usage (provider->context, &duty, duties->ledger.window,
                          (const gs_usage_count_t *)(void *)rows->data,
                          rows->len, now + PROVIDER_TIMEOUT, on_usage_sent,
                          duties);
  g_array_unref (rows);
}

static void
tick_usage (duties_t *duties, gs_time_t now)
{
  const gs_object_store_t *store = duties->options.store;
  usage_action_t action
      = usage_ledger_next (&duties->ledger, now, gs_clock_monotonic_wall ());
  json_t *record;

  switch (action.kind)
    {
    case USAGE_NOTHING:
      break;
    case USAGE_READ:
      store->get (store->context, DUTIES_KIND, USAGE_NAME, now + STORE_TIMEOUT,
                  on_usage_read, duties);
      break;
    case USAGE_WRITE:
      duties->writing_window = action.window;
      record = usage_ledger_write_start (
          &duties->ledger, action.window, duties->era,
          sum_window_usage (duties, now, action.window));
      store->put (store->context, DUTIES_KIND, USAGE_NAME, action.revision,
                  record, now + STORE_TIMEOUT, on_usage_written, duties);
      break;
    case USAGE_SEND:
      send_usage (duties, now);
      break;
    }
}

/* Updates the smoothed rate of a counter.  The sum over the nodes drops when a
   process's digest expires; such a drop is left out of the rate.  */
static void
update_rate (double *rate, uint64_t *last_count, uint64_t count,
             double elapsed)
{
  double weight = exp2 (-elapsed / (double)LOAD_HALF_LIFE);

  if (elapsed > 0 && count >= *last_count)
    *rate = *rate * weight
            + (1 - weight) * (double)(count - *last_count) * (double)GS_SEC
                  / elapsed;
  *last_count = count;
}

static traffic_demand_t
find_demand (const aggregate_t *fleet, const char *service)
{
  for (guint i = 0; i < fleet->demand->len; i++)
    {
      const traffic_demand_t *row
          = &g_array_index (fleet->demand, traffic_demand_t, i);

      if (strcmp (row->service, service) == 0)
        return *row;
    }
  return (traffic_demand_t){ .requests = 0 };
}

static scaler_load_t
measure_load (duties_t *duties, gs_time_t now, const aggregate_t *fleet,
              const char *service)
{
  traffic_demand_t sum = find_demand (fleet, service);
  demand_rates_t *rates = g_hash_table_lookup (duties->rates, service);
  double elapsed
      = duties->scaled_at != 0 ? (double)(now - duties->scaled_at) : 0;
  scaler_load_t load = { .read_speed = duties->report->read_tokens_per_msec };

  if (rates == NULL)
    {
      rates = g_new0 (demand_rates_t, 1);
      g_hash_table_insert (duties->rates, g_strdup (service), rates);
    }
  update_rate (&rates->uncached_tokens_per_sec, &rates->uncached_tokens,
               sum.uncached_tokens, elapsed);
  update_rate (&rates->requests_per_sec, &rates->requests, sum.requests,
               elapsed);
  update_rate (&rates->rejected_per_sec, &rates->rejected, sum.rejected,
               elapsed);
  rates->has_requests |= sum.requests > 0;
  load.uncached_tokens_per_sec = rates->uncached_tokens_per_sec;
  load.requests_per_sec = rates->requests_per_sec;
  load.rejected_per_sec = rates->rejected_per_sec;
  load.in_flight = sum.in_flight;
  load.queued = sum.queued;
  load.has_requests = rates->has_requests;
  return load;
}

typedef struct
{
  duties_t *duties;
  scaler_order_t order;
  uint64_t fencing;
} order_call_t;

static void
on_order_done (void *argument, gs_status_t status)
{
  order_call_t *call = argument;
  const scaler_order_t *order = &call->order;

  call->duties->open_calls--;
  gs_log (status == GS_OK ? GS_LOG_INFO : GS_LOG_WARN, "replicas_ordered",
          "service=%s data_centre=%s spot=%d wanted=%u there=%u need=%.1f"
          " status=%s fencing=%llu",
          order->service, order->data_centre, order->spot, order->wanted,
          order->ready, order->need, gs_status_name (status),
          (unsigned long long)call->fencing);
  scaler_order_record (call->duties->scaler, gs_clock_now (), order, status);
  g_free (call);
}

static void
send_order (duties_t *duties, gs_time_t now, const scaler_order_t *order)
{
  const gs_provider_t *provider = duties->options.provider;
  order_call_t *call = g_new (order_call_t, 1);
  gs_duty_t duty = own_duty (duties);
  unsigned targets
      = duties->rollouts != NULL ? rollout_duty_target_count (
            duties->rollouts, order->service, order->data_centre, order->spot)
                                 : 0;

  *call = (order_call_t){ duties, *order, duties->fencing };
  duties->open_calls++;
  provider->order_replicas (provider->context, &duty, order->service,
                            order->data_centre, order->spot,
                            order->wanted + targets, now + PROVIDER_TIMEOUT,
                            on_order_done, call);
}

static void
report_plan (duties_t *duties, const char *service)
{
  scaler_mix_summary_t plan = { .need = 0 };
  bool changed = scaler_mix_summary (duties->scaler, service, &plan);

  if (changed)
    gs_log (GS_LOG_INFO, "replicas_planned",
            "service=%s need=%.1f covered=%.1f losses=%u out=%u periodic=%d"
            " fencing=%llu",
            service, plan.need, plan.covered, plan.losses, plan.out,
            plan.periodic, (unsigned long long)duties->fencing);
  if (plan.need > 0)
    gauges_plan_set (service, &plan);
}

static void
tick_scaler (duties_t *duties, gs_time_t now)
{
  scaler_order_t orders[ORDERS_MAX];
  aggregate_t fleet;
  bool has_spot_price = false;

  if (now < duties->scale_due || duties->table == NULL
      || duties->replicas == NULL || duties->report == NULL)
    return;
  duties->scale_due = now + SCALE_INTERVAL;
  aggregate_init (&fleet);
  peers_fleet_sum (duties->options.peers, now, &fleet);
  for (unsigned i = 0; i < gs_route_table_service_count (duties->table); i++)
    {
      const gs_path_service_t *service
          = gs_route_table_service (duties->table, i);
      scaler_load_t load = measure_load (duties, now, &fleet, service->name);
      gs_replica_list_t *replicas
          = duties->rollouts != NULL ? rollout_duty_planned_replicas (
                duties->rollouts, service->name, duties->replicas)
                                     : gs_replica_list_ref (duties->replicas);
      unsigned count = scaler_plan (duties->scaler, now, service, replicas,
                                    &load, orders, ORDERS_MAX);

      report_plan (duties, service->name);
      gs_replica_list_unref (replicas);
      for (unsigned j = 0; j < count; j++)
        send_order (duties, now, &orders[j]);
      has_spot_price
          |= service->scale.present && service->scale.spot_price > 0;
    }
  scaler_record_tick (&duties->scaler_record, now, has_spot_price);
  duties->scaled_at = now;
  aggregate_clear (&fleet);
}

duties_wish_t
duties_wish_choose (const duties_standing_t *standing, gs_time_t now)
{
  if (!standing->can_serve || standing->rank == UINT_MAX)
    return DUTIES_RELEASE;
  if (standing->leave_started_at != 0)
    return standing->all_report
                   && now < standing->leave_started_at + LEAVE_KEEP_TIME
               ? DUTIES_KEEP
               : DUTIES_RELEASE;
  return standing->rank < LEASE_CANDIDATES_MAX ? DUTIES_SEEK : DUTIES_KEEP;
}

void
duties_tick (duties_t *duties, gs_time_t now, duties_wish_t wish)
{
  update_era (duties, now);
  tick_lease (duties, now,
              wish == DUTIES_SEEK
                  || (wish == DUTIES_KEEP && duties->fencing != 0));
  if (must_resign (duties, now))
    {
      if (duties->open_calls > 0)
        return;
      resign (duties);
    }
  update_holder (duties, now);
  if (!duties_may_act (duties, now))
    return;
  duties->acted_at = now;
  usage_ledger_begin (&duties->ledger, gs_clock_monotonic_wall ());
  if (now >= duties->usage_due)
    tick_usage (duties, now);
  tick_scaler (duties, now);
}
