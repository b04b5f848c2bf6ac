#include "routing/governor.h"

#include <string.h>

/* Encoded size of a usage row and of the message without rows.  */
#define USAGE_ROW_BYTES 25
#define USAGE_HEADER_BYTES 60
#define RETRY_AFTER_MIN (100 * GS_MSEC)
#define RETRY_AFTER_MAX (30 * GS_SEC)
/* Further retries are not delayed.  */
#define PENDING_RETRIES_MAX 4096
/* Keeps fractions of a share in integer weights.  */
#define WEIGHT_SCALE 1000
/* Namespaces of target names in gs_limits_name_hash().  */
#define MODEL_KIND "model"
#define SERVICE_KIND "service"
/* Number of limits that apply to a request: account, class, target.  */
#define REQUEST_LIMITS_MAX 3
/* Bounds on the predicted time to first token, in percent of the latency
   target, if no replica meets that target.  The first bound applies without
   pressure, the second one under pressure to accounts with full headroom.
   Under pressure, requests with reduced headroom are rejected if no replica
   meets their latency target.  */
#define LOW_PRESSURE_LATENCY_PERCENT_MAX 150
#define HIGH_PRESSURE_LATENCY_PERCENT_MAX 80

typedef struct
{
  unsigned limit_row;       /* in limits */
  unsigned class_limit_row; /* in limits */
  unsigned admission_row;   /* in admission */
  gs_retry_budget_t retries;
  gs_retry_budget_t *class_retries; /* owned by the governor */
} governor_account_t;

struct gs_governor
{
  unsigned workers;
  gs_rng_t rng;
  gs_limits_t *limits;
  gs_admission_t *admission;
  gs_wait_queue_t *queue;
  GHashTable *accounts;        /* name -> governor_account_t */
  GHashTable *class_retries;   /* class name -> gs_retry_budget_t */
  GHashTable *pending_retries; /* request -> gs_time_t */
  uint64_t generation;         /* of the catalogue that was applied last */
  uint64_t sequence;           /* of the latest snapshot */
  unsigned nodes;
  gs_time_t export_at;
  gs_time_t export_interval;
};

void
gs_governor_create (gs_governor_t **out, unsigned workers, uint64_t seed)
{
  gs_governor_t *governor = g_new0 (gs_governor_t, 1);

  governor->workers = MAX (workers, 1);
  gs_rng_seed (&governor->rng, seed);
  gs_limits_create (&governor->limits);
  gs_admission_create (&governor->admission);
  gs_wait_queue_create (&governor->queue);
  governor->accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  governor->class_retries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  governor->pending_retries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  governor->export_interval = GS_GOVERNOR_EXPORT_INTERVAL_MIN;
  *out = governor;
}

void
gs_governor_destroy (gs_governor_t *governor)
{
  if (governor == NULL)
    return;
  g_hash_table_unref (governor->pending_retries);
  g_hash_table_unref (governor->accounts);
  g_hash_table_unref (governor->class_retries);
  gs_wait_queue_destroy (governor->queue);
  gs_admission_destroy (governor->admission);
  gs_limits_destroy (governor->limits);
  g_free (governor);
}

/* Return this worker's part of a system-wide limit, at least 1; 0, which
   stands for no limit, is kept.  */
static uint64_t
worker_share (const gs_governor_t *governor, uint64_t limit)
{
  return limit == 0 ? 0 : MAX (limit / governor->workers, 1);
}

static gs_retry_budget_t *
ensure_class_budget (gs_governor_t *governor, const char *name)
{
  gs_retry_budget_t *budget
      = g_hash_table_lookup (governor->class_retries, name);

  if (budget != NULL)
    return budget;
  budget = g_new (gs_retry_budget_t, 1);
  *budget = (gs_retry_budget_t)GS_RETRY_BUDGET_INIT;
  g_hash_table_insert (governor->class_retries, g_strdup (name), budget);
  return budget;
}

/* Return the weight of an account: the share of its class, divided by the
   number of accounts in the class.  */
static unsigned
account_weight (const gs_catalogue_t *catalogue, const gs_class_t *class_ref)
{
  size_t members = 0;

  if (class_ref == NULL)
    return 1;
  for (size_t i = 0; i < gs_catalogue_count (catalogue, GS_KIND_ACCOUNT); i++)
    members += ((const gs_account_t *)gs_catalogue_at (catalogue,
                                                       GS_KIND_ACCOUNT, i))
                   ->class_ref
               == class_ref;
  return (unsigned)(class_ref->share * WEIGHT_SCALE / MAX (members, 1));
}

static void
set_account (gs_governor_t *governor, const gs_catalogue_t *catalogue,
             const gs_account_t *entry)
{
  const gs_class_t *class_ref = entry->class_ref;
  const char *class_name = class_ref != NULL ? class_ref->entry.name : "";
  governor_account_t *account
      = g_hash_table_lookup (governor->accounts, entry->entry.name);
  gs_limit_values_t values = { .max = { 0 } };
  gs_limit_values_t class_values = { .max = { 0 } };
  uint64_t name_hash = gs_limits_name_hash ("account", entry->entry.name);

  if (account == NULL)
    {
      account = g_new0 (governor_account_t, 1);
      account->retries = (gs_retry_budget_t)GS_RETRY_BUDGET_INIT;
      g_hash_table_insert (governor->accounts, g_strdup (entry->entry.name),
                           account);
    }
  values.max[GS_LIMIT_REQUESTS]
      = worker_share (governor, entry->requests_per_sec);
  values.max[GS_LIMIT_TOKENS] = worker_share (governor, entry->tokens_per_sec);
  values.max[GS_LIMIT_IN_FLIGHT]
      = worker_share (governor, entry->in_flight_max);
  if (class_ref != NULL)
    class_values.max[GS_LIMIT_IN_FLIGHT]
        = worker_share (governor, class_ref->in_flight_max);
  account->limit_row = gs_limits_set (governor->limits, name_hash, &values);
  account->class_limit_row = gs_limits_set (
      governor->limits, gs_limits_name_hash ("class", class_name),
      &class_values);
  account->admission_row = gs_admission_set (
      governor->admission, name_hash, account_weight (catalogue, class_ref),
      class_ref != NULL ? class_ref->priority : 0);
  account->class_retries = ensure_class_budget (governor, class_name);
}

static void
set_accounts (gs_governor_t *governor, const gs_catalogue_t *catalogue)
{
  for (size_t i = 0; i < gs_catalogue_count (catalogue, GS_KIND_ACCOUNT); i++)
    set_account (
        governor, catalogue,
        (const gs_account_t *)gs_catalogue_at (catalogue, GS_KIND_ACCOUNT, i));
}

static void
set_target (gs_governor_t *governor, const char *kind, const char *name,
            uint64_t in_flight_max)
{
  gs_limit_values_t values = { .max = { 0 } };

  values.max[GS_LIMIT_IN_FLIGHT] = worker_share (governor, in_flight_max);
  gs_limits_set (governor->limits, gs_limits_name_hash (kind, name), &values);
}

/* Set limits of models or adapters.  Both use one namespace, because requests
   name them in the same field.  */
static void
set_models (gs_governor_t *governor, const gs_catalogue_t *catalogue,
            gs_kind_t kind)
{
  for (size_t i = 0; i < gs_catalogue_count (catalogue, kind); i++)
    {
      const gs_model_t *model
          = (const gs_model_t *)gs_catalogue_at (catalogue, kind, i);

      set_target (governor, MODEL_KIND, model->entry.name,
                  model->in_flight_max);
    }
}

static void
set_services (gs_governor_t *governor, const gs_catalogue_t *catalogue)
{
  for (size_t i = 0; i < gs_catalogue_count (catalogue, GS_KIND_SERVICE); i++)
    {
      const gs_service_t *service = (const gs_service_t *)gs_catalogue_at (
          catalogue, GS_KIND_SERVICE, i);

      set_target (governor, SERVICE_KIND, service->entry.name,
                  service->in_flight_max);
    }
}

/* Set the number of nodes that share the limits and the interval between usage
   messages.  The interval grows with nodes and rows, which bounds the
   bandwidth of the messages.  */
static void
set_members (gs_governor_t *governor, const gs_snapshot_t *snapshot)
{
  gs_time_t bytes;
  unsigned nodes = 0;

  for (size_t i = 0; i < snapshot->node_count; i++)
    nodes += snapshot->nodes[i].state == GS_VM_LIVE;
  governor->nodes = MAX (nodes, 1);
  bytes
      = (gs_time_t)(governor->nodes - 1)
        * (USAGE_HEADER_BYTES
           + (gs_time_t)USAGE_ROW_BYTES * gs_limits_count (governor->limits));
  governor->export_interval
      = MAX (GS_GOVERNOR_EXPORT_INTERVAL_MIN,
             bytes * GS_SEC / GS_GOVERNOR_EXPORT_BYTES_PER_SEC_MAX);
  gs_limits_members_set (governor->limits, governor->nodes,
                         governor->export_interval);
}

void
gs_governor_refresh (gs_governor_t *governor, gs_time_t now,
                     const gs_snapshot_t *snapshot)
{
  if (governor->sequence == snapshot->sequence)
    return;
  governor->sequence = snapshot->sequence;
  if (snapshot->catalogue != NULL
      && gs_catalogue_generation (snapshot->catalogue) != governor->generation)
    {
      governor->generation = gs_catalogue_generation (snapshot->catalogue);
      set_accounts (governor, snapshot->catalogue);
      set_models (governor, snapshot->catalogue, GS_KIND_ADAPTER);
      set_models (governor, snapshot->catalogue, GS_KIND_MODEL);
      set_services (governor, snapshot->catalogue);
    }
  set_members (governor, snapshot);
}

static uint32_t
tokens_of (const gs_request_spec_t *spec)
{
  return spec->prompt_tokens + spec->tokens_max;
}

typedef struct
{
  unsigned rows[REQUEST_LIMITS_MAX];
  unsigned count;
} limit_rows_t;

/* Return the limits that apply to a request.  A target without a catalogue
   entry has no limit.  */
static limit_rows_t
request_limits (const gs_governor_t *governor,
                const governor_account_t *account,
                const gs_request_spec_t *spec)
{
  limit_rows_t limits
      = { { account->limit_row, account->class_limit_row }, 2 };
  const char *kind
      = spec->kind == GS_REQUEST_GENERATE ? MODEL_KIND : SERVICE_KIND;
  uint64_t name_hash = gs_limits_name_hash (kind, spec->target);

  limits.count += gs_limits_find (&limits.rows[limits.count], governor->limits,
                                  name_hash);
  return limits;
}

static void
cancel_limits (gs_governor_t *governor, gs_time_t now,
               const limit_rows_t *limits, const gs_request_spec_t *spec)
{
  for (unsigned i = 0; i < limits->count; i++)
    gs_limits_cancel (governor->limits, now, limits->rows[i],
                      tokens_of (spec));
}

static gs_status_t
limit_error (unsigned index, const gs_request_spec_t *spec)
{
  if (index == 0)
    return gs_error_set (GS_EREFUSED, "account '%s' is over its limit",
                         spec->account);
  if (index == 1)
    return gs_error_set (GS_EREFUSED, "the class of '%s' is over its limit",
                         spec->account);
  return gs_error_set (GS_EREFUSED, "'%s' is over its limit", spec->target);
}

/* Count a request under all its limits, or under none if one rejects it.  */
static gs_status_t
admit_limits (gs_governor_t *governor, gs_time_t now,
              const limit_rows_t *limits, const gs_request_spec_t *spec,
              gs_time_t *retry_after)
{
  limit_rows_t admitted = *limits;

  for (admitted.count = 0; admitted.count < limits->count; admitted.count++)
    if (gs_limits_admit (governor->limits, now, limits->rows[admitted.count],
                         tokens_of (spec), retry_after)
        != GS_OK)
      {
        cancel_limits (governor, now, &admitted, spec);
        return limit_error (admitted.count, spec);
      }
  return GS_OK;
}

/* Return how late the earliest predicted first token is, or 0 if in time.  */
static gs_time_t
first_token_lateness (const gs_route_query_t *query,
                      const gs_route_decision_t *decision, gs_time_t now,
                      unsigned latency_percent_max)
{
  gs_time_t allowed = query->first_token_deadline - now;
  gs_time_t earliest = GS_TIME_NEVER;

  if (decision->reason == GS_ROUTE_CHEAPEST || decision->count == 0)
    return 0;
  for (unsigned i = 0; i < decision->count; i++)
    earliest = MIN (earliest, decision->candidates[i].first_token_at - now);
  if (decision->reason == GS_ROUTE_EARLIEST
      && earliest <= allowed / 100 * latency_percent_max)
    return 0;
  return MAX (earliest - allowed, RETRY_AFTER_MIN);
}

gs_status_t
gs_governor_capacity_check (gs_governor_t *governor, gs_time_t now,
                            gs_router_t *router, const char *account_name,
                            gs_route_query_t *query, gs_time_t *retry_after)
{
  const governor_account_t *account
      = g_hash_table_lookup (governor->accounts, account_name);
  gs_route_decision_t decision;
  unsigned latency_percent_max = HIGH_PRESSURE_LATENCY_PERCENT_MAX;
  gs_time_t lateness;

  if (account == NULL)
    return GS_OK;
  query->headroom_percent = gs_admission_headroom (governor->admission, now,
                                                   account->admission_row);
  if (gs_admission_pressure_is_low (governor->admission, now))
    latency_percent_max = LOW_PRESSURE_LATENCY_PERCENT_MAX;
  else if (query->headroom_percent < 100)
    latency_percent_max = 0;
  gs_router_decide (router, now, query, &decision);
  lateness = first_token_lateness (query, &decision, now, latency_percent_max);
  gs_admission_request_record (
      governor->admission, now, account->admission_row,
      query->prompt_tokens + query->output_tokens, lateness == 0,
      decision.reason == GS_ROUTE_CHEAPEST);
  if (lateness == 0)
    return GS_OK;
  *retry_after = MIN (
      lateness / 2
          + (gs_time_t)gs_rng_below (&governor->rng, (uint64_t)lateness + 1),
      RETRY_AFTER_MAX);
  return gs_error_set (GS_EREFUSED, "no upstream of '%s' can answer in time",
                       query->target);
}

gs_status_t
gs_governor_admit (gs_governor_t *governor, gs_time_t now,
                   const gs_snapshot_t *snapshot, gs_router_t *router,
                   const gs_request_spec_t *spec, gs_time_t *retry_after)
{
  governor_account_t *account
      = g_hash_table_lookup (governor->accounts, spec->account);
  size_t bytes = spec->body != NULL ? g_bytes_get_size (spec->body) : 0;
  gs_route_query_t query;
  limit_rows_t limits;
  gs_status_t status;

  if (!gs_wait_queue_fits (governor->queue, now, bytes))
    {
      *retry_after = GS_SEC;
      return gs_error_set (GS_EREFUSED, "the wait queue is full");
    }
  if (account == NULL)
    return GS_OK;
  limits = request_limits (governor, account, spec);
  status = admit_limits (governor, now, &limits, spec, retry_after);
  if (status != GS_OK)
    return status;
  gs_route_query_fill (&query, now, snapshot, spec);
  if (spec->kind == GS_REQUEST_GENERATE)
    status = gs_governor_capacity_check (governor, now, router, spec->account,
                                         &query, retry_after);
  if (status != GS_OK)
    {
      cancel_limits (governor, now, &limits, spec);
      return status;
    }
  gs_retry_budget_add (&account->retries, now);
  gs_retry_budget_add (account->class_retries, now);
  return GS_OK;
}

static uint64_t
request_key (gs_request_id_t id)
{
  return id.incarnation ^ (id.sequence * 0x9e3779b97f4a7c15U);
}

static gs_status_t
check_retry (gs_governor_t *governor, gs_time_t now,
             const gs_request_spec_t *spec, uint64_t key, gs_time_t retry_at)
{
  governor_account_t *account
      = g_hash_table_lookup (governor->accounts, spec->account);

  if (now < retry_at)
    return gs_error_set (GS_EREFUSED, "the retry is not due yet");
  if (account != NULL
      && (!gs_retry_budget_take (&account->retries, now)
          || !gs_retry_budget_take (account->class_retries, now)))
    return gs_error_set (GS_EREFUSED, "retry budget of '%s' is exhausted",
                         spec->account);
  g_hash_table_remove (governor->pending_retries, &key);
  return GS_OK;
}

/* Only an attempt after a failure at a live upstream counts as a retry.
   Requests of a lost upstream move to another one without delay.  */
gs_status_t
gs_governor_route_check (gs_governor_t *governor, gs_time_t now,
                         const gs_router_t *router, gs_request_id_t id,
                         const gs_request_spec_t *spec, uint32_t attempt,
                         const char *avoid)
{
  uint64_t key = request_key (id);
  gs_time_t *pending = g_hash_table_lookup (governor->pending_retries, &key);
  gs_time_t retry_at;

  if (pending == NULL && avoid != NULL
      && gs_router_upstream_is_live (router, avoid)
      && g_hash_table_size (governor->pending_retries) < PENDING_RETRIES_MAX)
    {
      retry_at = gs_retry_time (&governor->rng, now, attempt, spec->deadline);
      pending = g_memdup2 (&retry_at, sizeof retry_at);
      g_hash_table_insert (governor->pending_retries,
                           g_memdup2 (&key, sizeof key), pending);
    }
  if (pending != NULL
      && check_retry (governor, now, spec, key, *pending) != GS_OK)
    return GS_EREFUSED;
  if (!gs_wait_queue_is_at_head (governor->queue, now, spec->deadline, key))
    return gs_error_set (GS_EREFUSED,
                         "waiting requests have an earlier deadline");
  return GS_OK;
}

void
gs_governor_route_report (gs_governor_t *governor, gs_time_t now,
                          gs_request_id_t id, const gs_request_spec_t *spec,
                          bool found)
{
  size_t bytes = spec->body != NULL ? g_bytes_get_size (spec->body) : 0;

  if (found)
    gs_wait_queue_remove (governor->queue, request_key (id));
  else
    gs_wait_queue_add (governor->queue, now, spec->deadline, request_key (id),
                       bytes);
}

void
gs_governor_release (gs_governor_t *governor, gs_time_t now,
                     gs_request_id_t id, const gs_request_spec_t *spec,
                     uint32_t tokens)
{
  governor_account_t *account
      = g_hash_table_lookup (governor->accounts, spec->account);
  uint64_t key = request_key (id);
  limit_rows_t limits;

  gs_wait_queue_remove (governor->queue, key);
  g_hash_table_remove (governor->pending_retries, &key);
  if (account == NULL)
    return;
  limits = request_limits (governor, account, spec);
  for (unsigned i = 0; i < limits.count; i++)
    gs_limits_release (governor->limits, now, limits.rows[i],
                       spec->tokens_max - MIN (tokens, spec->tokens_max));
}

size_t
gs_governor_export (gs_governor_t *governor, gs_time_t now,
                    gs_usage_row_t *rows, size_t max)
{
  if (now < governor->export_at)
    return 0;
  governor->export_at = now + governor->export_interval;
  return gs_limits_export (governor->limits, now, rows, max);
}

void
gs_governor_import (gs_governor_t *governor, gs_time_t now, uint64_t peer,
                    const gs_usage_row_t *rows, size_t count)
{
  gs_limits_import (governor->limits, now, peer, rows, count);
}
