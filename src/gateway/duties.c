#include "gateway/duties.h"

#include "control/lease.h"
#include "garnetstack/log.h"
#include "gateway/usage_ledger.h"

#include <math.h>
#include <string.h>

#define LEASE_NAME "lease"
#define USAGE_NAME "usage"
/* The store answers within milliseconds, and fifty times as slowly on a bad
   day.  */
#define STORE_TIME (800 * GS_MSEC)
/* Longer, as nobody waits for the provider, and a call that is given up early
   and made again counts twice against its rate.  */
#define PROVIDER_TIME (1500 * GS_MSEC)
/* Terms of the lease, in shortest times between two holders: long enough for
   three tries at a renewal, short enough that a report of usage is not late
   when its holder is lost.  */
#define LEASE_TERM_PART 1.4
#define LEASE_RENEW_PART 0.45
#define LEASE_PAUSE_PART 0.15
/* A call for the lease that failed is made again after this, so that many fit
   into what is left of the term once a renewal is due.  */
#define LEASE_RETRY (150 * GS_MSEC)
/* How often orders are thought over.  */
#define SCALE_INTERVAL (250 * GS_MSEC)
/* Half-life of the rates that orders follow: digests come every third of a
   second, requests in clumps.  */
#define LOAD_HALF_LIFE (1500 * GS_MSEC)
/* Orders for a service at one time: two sorts in each data centre.  */
#define ORDERS_MAX (2 * SCALER_PLACES_MAX)

/* What a service was asked for, of all nodes.  */
typedef struct
{
  uint64_t missing_tokens; /* sums of the counters, at the last look */
  uint64_t requests;
  uint64_t refused;
  double missing_per_sec; /* these fade */
  double requests_per_sec;
  double refused_per_sec;
  bool seen;
} meter_t;

struct duties
{
  duties_options_t options;
  gs_lease_t lease;
  uint64_t fencing;    /* under which this node acts; 0 for none */
  gs_time_t acts_from; /* a new holder waits until the one before is past */
  uint64_t waited_for; /* number that acts_from was set for */
  usage_ledger_t ledger;
  int64_t writing_window;
  scaler_t *scaler;
  gs_time_t scale_due;
  gs_time_t scaled_at;
  GHashTable *meters; /* service -> meter_t */
  traffic_report_t *report;
  gs_route_table_t *table;
  gs_replica_list_t *list;
};

void
duties_create (duties_t **out, const duties_options_t *options)
{
  duties_t *duties = g_new0 (duties_t, 1);
  double shortest = (double)options->deployment->lease_time;
  gs_lease_times_t times = { .term = (gs_time_t)(shortest * LEASE_TERM_PART),
                             .renew = (gs_time_t)(shortest * LEASE_RENEW_PART),
                             .pause = (gs_time_t)(shortest * LEASE_PAUSE_PART),
                             .retry = LEASE_RETRY };

  duties->options = *options;
  gs_lease_init (&duties->lease, options->deployment->node,
                 options->incarnation);
  gs_lease_set_times (&duties->lease, &times);
  scaler_create (&duties->scaler);
  duties->meters
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
  g_hash_table_unref (duties->meters);
  traffic_report_free (duties->report);
  gs_route_table_unref (duties->table);
  gs_replica_list_unref (duties->list);
  g_free (duties);
}

void
duties_set_report (duties_t *duties, traffic_report_t *report)
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
  return duties->list;
}

void
duties_set_routes (duties_t *duties, gs_route_table_t *table)
{
  gs_route_table_unref (duties->table);
  duties->table = gs_route_table_ref (table);
}

void
duties_set_replicas (duties_t *duties, gs_replica_list_t *list)
{
  gs_replica_list_unref (duties->list);
  duties->list = gs_replica_list_ref (list);
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
            && gs_lease_record_read (&record, text, strlen (text)) == GS_OK;
      if (!readable)
        gs_log (GS_LOG_WARN, "lease_not_readable", "reason=\"%s\"",
                gs_error_last ());
    }
  gs_lease_read_done (&duties->lease, now,
                      result->status == GS_OK && !readable ? GS_EINVAL
                                                           : result->status,
                      result->count == 1 ? result->objects[0].revision : 0,
                      readable ? &record : NULL);
  free (text);
}

static void
on_lease_written (void *argument, const gs_object_result_t *result)
{
  duties_t *duties = argument;

  gs_lease_write_done (&duties->lease, gs_clock_now (), result->status,
                       result->count == 1 ? result->objects[0].revision : 0);
}

static void
tick_lease (duties_t *duties, gs_time_t now, bool wanted)
{
  const gs_object_store_t *store = duties->options.store;
  gs_lease_action_t action = gs_lease_tick (&duties->lease, now, wanted);
  char *text;

  if (action.kind == GS_LEASE_READ)
    store->get (store->context, DUTIES_KIND, LEASE_NAME, now + STORE_TIME,
                on_lease_read, duties);
  else if (action.kind == GS_LEASE_WRITE)
    {
      text = gs_lease_record_text (&action.record);
      store->put (store->context, DUTIES_KIND, LEASE_NAME, action.version,
                  json_loads (text, 0, NULL), now + STORE_TIME,
                  on_lease_written, duties);
      g_free (text);
    }
}

/* A new holder acts only once another that held before may act no more by
   anybody's clock, so that two never act in turns.  A node that was cut from
   the store, or started again, and found its own record goes on at once.  */
static void
note_holder (duties_t *duties, gs_time_t now)
{
  uint64_t fencing = gs_lease_may_act (&duties->lease, now)
                         ? duties->lease.record.fencing
                         : 0;

  if (fencing == duties->fencing)
    return;
  if (fencing != 0)
    {
      if (fencing != duties->waited_for)
        duties->acts_from = now
                            + (duties->lease.from_other
                                   ? duties->options.deployment->lease_time
                                   : 0);
      duties->waited_for = fencing;
      usage_ledger_forget (&duties->ledger);
      scaler_forget (duties->scaler);
    }
  gs_log (GS_LOG_INFO, fencing != 0 ? "duty_taken" : "duty_lost",
          "fencing=%llu store_answered_ms=%lld",
          (unsigned long long)(fencing != 0 ? fencing : duties->fencing),
          (long long)((now - duties->lease.read_at) / GS_MSEC));
  duties->fencing = fencing;
}

bool
duties_holds (const duties_t *duties, gs_time_t now)
{
  return duties->fencing != 0 && now >= duties->acts_from
         && gs_lease_may_act (&duties->lease, now);
}

static gs_duty_t
own_duty (const duties_t *duties)
{
  return (gs_duty_t){ duties->options.deployment->node, duties->fencing };
}

static void
add_usage (json_t *counts, int64_t window, const GArray *usage)
{
  for (guint i = 0; i < usage->len; i++)
    {
      const traffic_usage_t *row = &g_array_index (usage, traffic_usage_t, i);
      json_int_t sum
          = json_integer_value (json_object_get (counts, row->account));

      if (row->window == window)
        json_object_set_new (counts, row->account,
                             json_integer (sum + (json_int_t)row->requests));
    }
}

typedef struct
{
  json_t *counts;
  int64_t window;
} sum_t;

static void
add_peer (void *context, const digest_t *digest, gs_time_t heard_at)
{
  sum_t *sum = context;

  (void)heard_at;
  add_usage (sum->counts, sum->window, digest->report->usage);
}

static json_t *
count_window (const duties_t *duties, gs_time_t now, int64_t window)
{
  sum_t sum = { json_object (), window };

  for (unsigned i = 0;
       duties->table != NULL && i < gs_route_table_accounts (duties->table);
       i++)
    json_object_set_new (sum.counts,
                         gs_route_table_account (duties->table, i)->name,
                         json_integer (0));
  if (duties->report != NULL)
    add_usage (sum.counts, window, duties->report->usage);
  peers_each (duties->options.peers, now, add_peer, &sum);
  return sum.counts;
}

static void
on_usage_read (void *argument, const gs_object_result_t *result)
{
  duties_t *duties = argument;
  const gs_object_t *object = result->count == 1 ? result->objects : NULL;

  usage_ledger_read_done (&duties->ledger, gs_clock_now (), result->status,
                          object != NULL ? object->revision : 0,
                          object != NULL ? object->value : NULL);
}

static void
on_usage_written (void *argument, const gs_object_result_t *result)
{
  duties_t *duties = argument;

  usage_ledger_write_done (&duties->ledger, gs_clock_now (), result->status,
                           result->count == 1 ? result->objects[0].revision
                                              : 0,
                           duties->writing_window);
}

static void
on_usage_sent (void *argument, gs_status_t status)
{
  duties_t *duties = argument;

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
  provider->report_usage (provider->context, &duty, duties->ledger.window,
                          (const gs_usage_count_t *)(void *)rows->data,
                          rows->len, now + PROVIDER_TIME, on_usage_sent,
                          duties);
  g_array_unref (rows);
}

static void
tick_usage (duties_t *duties, gs_time_t now)
{
  const gs_object_store_t *store = duties->options.store;
  usage_action_t action
      = usage_ledger_next (&duties->ledger, now, gs_clock_carried_wall ());
  json_t *record;

  switch (action.kind)
    {
    case USAGE_NOTHING:
      break;
    case USAGE_READ:
      store->get (store->context, DUTIES_KIND, USAGE_NAME, now + STORE_TIME,
                  on_usage_read, duties);
      break;
    case USAGE_WRITE:
      duties->writing_window = action.window;
      record = usage_ledger_start_write (
          &duties->ledger, action.window,
          count_window (duties, now, action.window));
      store->put (store->context, DUTIES_KIND, USAGE_NAME, action.revision,
                  record, now + STORE_TIME, on_usage_written, duties);
      break;
    case USAGE_SEND:
      send_usage (duties, now);
      break;
    }
}

/* Sums over the nodes.  */
typedef struct
{
  const char *service;
  gs_time_t now;
  gs_time_t silence; /* a node counts as present for so long */
  uint64_t requests;
  uint64_t refused;
  uint64_t missing_tokens;
  double in_flight;
  double waiting;
} demand_sum_t;

static void
add_demand (demand_sum_t *sum, const GArray *demand, bool present)
{
  for (guint i = 0; i < demand->len; i++)
    {
      const traffic_demand_t *row
          = &g_array_index (demand, traffic_demand_t, i);

      if (strcmp (row->service, sum->service) != 0)
        continue;
      sum->requests += row->requests;
      sum->refused += row->refused;
      sum->missing_tokens += row->missing_tokens;
      sum->in_flight += present ? row->in_flight : 0;
      sum->waiting += present ? row->waiting : 0;
    }
}

static void
add_peer_demand (void *context, const digest_t *digest, gs_time_t heard_at)
{
  demand_sum_t *sum = context;

  add_demand (sum, digest->report->demand,
              sum->now <= heard_at + sum->silence);
}

/* Follow the rate of a counter.  The sum over the nodes falls when a process
   is forgotten; that says nothing of the rate.  */
static void
follow (double *rate, uint64_t *before, uint64_t now, double passed)
{
  double part = exp2 (-passed / (double)LOAD_HALF_LIFE);

  if (passed > 0 && now >= *before)
    *rate = *rate * part
            + (1 - part) * (double)(now - *before) * (double)GS_SEC / passed;
  *before = now;
}

static scaler_load_t
measure_load (duties_t *duties, gs_time_t now, const char *service)
{
  demand_sum_t sum = { .service = service,
                       .now = now,
                       .silence = peers_silence (duties->options.peers) };
  meter_t *meter = g_hash_table_lookup (duties->meters, service);
  double passed
      = duties->scaled_at != 0 ? (double)(now - duties->scaled_at) : 0;
  scaler_load_t load = { .read_speed = duties->report->read_speed };

  if (meter == NULL)
    {
      meter = g_new0 (meter_t, 1);
      g_hash_table_insert (duties->meters, g_strdup (service), meter);
    }
  add_demand (&sum, duties->report->demand, true);
  peers_each (duties->options.peers, now, add_peer_demand, &sum);
  follow (&meter->missing_per_sec, &meter->missing_tokens, sum.missing_tokens,
          passed);
  follow (&meter->requests_per_sec, &meter->requests, sum.requests, passed);
  follow (&meter->refused_per_sec, &meter->refused, sum.refused, passed);
  meter->seen |= sum.requests > 0;
  load.missing_tokens_per_sec = meter->missing_per_sec;
  load.requests_per_sec = meter->requests_per_sec;
  load.refused_per_sec = meter->refused_per_sec;
  load.in_flight = sum.in_flight;
  load.waiting = sum.waiting;
  load.seen = meter->seen;
  return load;
}

typedef struct
{
  duties_t *duties;
  scaler_order_t order;
  uint64_t fencing;
} order_call_t;

static void
on_ordered (void *argument, gs_status_t status)
{
  order_call_t *call = argument;
  const scaler_order_t *order = &call->order;

  gs_log (status == GS_OK ? GS_LOG_INFO : GS_LOG_WARN, "replicas_ordered",
          "service=%s data_centre=%s spot=%d wanted=%u there=%u need=%.1f"
          " status=%s fencing=%llu",
          order->service, order->data_centre, order->spot, order->wanted,
          order->there, order->need, gs_status_name (status),
          (unsigned long long)call->fencing);
  scaler_ordered (call->duties->scaler, gs_clock_now (), order, status);
  g_free (call);
}

static void
send_order (duties_t *duties, gs_time_t now, const scaler_order_t *order)
{
  const gs_provider_t *provider = duties->options.provider;
  order_call_t *call = g_new (order_call_t, 1);
  gs_duty_t duty = own_duty (duties);

  *call = (order_call_t){ duties, *order, duties->fencing };
  provider->order_replicas (provider->context, &duty, order->service,
                            order->data_centre, order->spot, order->wanted,
                            now + PROVIDER_TIME, on_ordered, call);
}

static void
tick_scale (duties_t *duties, gs_time_t now)
{
  scaler_order_t orders[ORDERS_MAX];

  if (now < duties->scale_due || duties->table == NULL || duties->list == NULL
      || duties->report == NULL)
    return;
  duties->scale_due = now + SCALE_INTERVAL;
  for (unsigned i = 0; i < gs_route_table_services (duties->table); i++)
    {
      const gs_path_service_t *service
          = gs_route_table_service (duties->table, i);
      scaler_load_t load = measure_load (duties, now, service->name);
      unsigned count = scaler_plan (duties->scaler, now, service, duties->list,
                                    &load, orders, ORDERS_MAX);

      for (unsigned j = 0; j < count; j++)
        send_order (duties, now, &orders[j]);
    }
  duties->scaled_at = now;
}

void
duties_tick (duties_t *duties, gs_time_t now, bool wanted)
{
  tick_lease (duties, now, wanted);
  note_holder (duties, now);
  if (!duties_holds (duties, now))
    return;
  tick_usage (duties, now);
  tick_scale (duties, now);
}
