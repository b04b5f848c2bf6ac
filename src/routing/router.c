#include "garnetstack/router.h"

#include "garnetstack/log.h"
#include "routing/replica.h"
#include "routing/score.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* All replicas of a target up to this size are compared; larger targets are
   sampled.  */
#define SCANNED_TARGET_SIZE_MAX 24
#define RANDOM_SAMPLE_SIZE 6
#define CHEAP_SAMPLE_SIZE 10
/* If a larger share of a target's replicas is ejected, ejections are
   ignored.  */
#define EJECTED_RATIO_MAX 0.5
/* Smaller differences of the score are overridden by a hash of prefix and
   replica, so that all nodes send a new prefix to the same replica.  */
#define TIE_BREAK_WEIGHT 0.1
#define AVOID_SCORE_PENALTY 1e12
/* Index in gs_prefix_probe_t of the longest prefix that the tie-breaking hash
   uses.  */
#define TIE_BREAK_POSITION_MAX 7
#define OUTPUT_WEIGHT 0.02
/* Attempts with fewer than two tokens count as slow if their first token takes
   this many times longer than predicted.  */
#define SLOW_FIRST_TOKEN_RATIO 2.0
#define LOG_CANDIDATES_MAX 4
#define CONCURRENT_ROUTERS_MAX 10

struct gs_router
{
  gs_router_options_t options;
  char data_centre[GS_NAME_BYTES];
  gs_rng_t rng;
  replica_table_t table;
  gs_prefix_index_t *prefixes;
  uint64_t decisions;
  bool skipped_at_limit;  /* latest decision skipped a replica at its limit */
  double output_ratio;    /* expected output tokens over the allowed maximum */
  GString *decision_text; /* the latest, as key=value pairs */
};

static const char *const reason_names[GS_ROUTE_REASON_COUNT]
    = { "cheapest", "earliest", "saturated", "no_upstream" };

const char *
gs_route_reason_name (gs_route_reason_t reason)
{
  return reason_names[reason];
}

gs_status_t
gs_router_create (gs_router_t **out, const gs_router_options_t *options)
{
  gs_router_t *router = g_new0 (gs_router_t, 1);

  router->options = *options;
  g_strlcpy (router->data_centre, options->data_centre,
             sizeof router->data_centre);
  gs_rng_seed (&router->rng, options->seed);
  replica_table_init (&router->table, options->workers);
  gs_prefix_index_create (&router->prefixes, options->prefix_entries,
                          REPLICA_SLOTS_MAX);
  router->output_ratio = 1;
  router->decision_text = g_string_sized_new (256);
  *out = router;
  return GS_OK;
}

void
gs_router_destroy (gs_router_t *router)
{
  if (router == NULL)
    return;
  gs_prefix_index_destroy (router->prefixes);
  replica_table_clear (&router->table);
  g_string_free (router->decision_text, TRUE);
  g_free (router);
}

void
gs_router_refresh (gs_router_t *router, gs_time_t now,
                   const gs_snapshot_t *snapshot)
{
  replica_table_refresh (&router->table, now, snapshot, router->prefixes);
}

const char *
gs_router_upstream_name (const gs_router_t *router, uint16_t slot)
{
  return router->table.replicas[slot].name;
}

bool
gs_router_upstream_is_live (const gs_router_t *router, const char *upstream)
{
  const replica_t *replica = replica_table_find (&router->table, upstream);

  return replica != NULL && replica->live
         && replica->snapshot_sequence == router->table.sequence;
}

/* Return whether a decision may use a replica.  Ejections are ignored if most
   replicas of the target are ejected, since a common cause is then more likely
   than a fault of each replica.  */
static bool
is_candidate (const gs_router_t *router, const replica_target_t *target,
              const replica_t *replica, gs_time_t now,
              const gs_route_query_t *query)
{
  bool respect_ejections
      = target->ejected_count <= target->slots->len * EJECTED_RATIO_MAX;

  if (!replica->live || replica->snapshot_sequence != router->table.sequence
      || replica->kind != query->kind)
    return false;
  if (replica->reclaimable && !query->reclaimable)
    return false;
  return !respect_ejections || replica->ejected_until <= now;
}

static void
add_candidate (gs_router_t *router, const replica_target_t *target,
               const score_context_t *context, uint16_t slot, uint16_t blocks,
               gs_route_decision_t *decision)
{
  replica_t *replica = &router->table.replicas[slot];
  const gs_route_query_t *query = context->query;
  gs_route_candidate_t *candidate;
  uint64_t tie_break = replica->name_hash;

  if (decision->count == GS_ROUTE_CANDIDATES_MAX
      || replica->last_decision == router->decisions
      || !is_candidate (router, target, replica, context->now, query))
    return;
  if (replica->in_flight >= replica->in_flight_max)
    {
      router->skipped_at_limit = true;
      return;
    }
  replica->last_decision = router->decisions;
  candidate = &decision->candidates[decision->count++];
  memset (candidate, 0, sizeof *candidate);
  candidate->slot = slot;
  candidate->cached_blocks = blocks;
  if (query->prefix != NULL && query->prefix->count > 0)
    tie_break ^= query->prefix->hashes[MIN (query->prefix->count - 1,
                                            TIE_BREAK_POSITION_MAX)];
  else
    tie_break ^= gs_rng_next (&router->rng);
  tie_break = (tie_break ^ (tie_break >> 32)) * 0x9e3779b97f4a7c15U;
  candidate->score
      = (double)(tie_break >> 40) / (double)(1 << 24) * TIE_BREAK_WEIGHT;
  if (query->avoid != NULL && strcmp (query->avoid, replica->name) == 0)
    candidate->score += AVOID_SCORE_PENALTY;
  score_predict (candidate, context, replica);
}

static void
add_prefix_holders (gs_router_t *router, replica_target_t *target,
                    const score_context_t *context,
                    gs_route_decision_t *decision)
{
  gs_prefix_holder_t holders[GS_PREFIX_HOLDERS_MAX];
  size_t count;

  if (context->query->prefix == NULL)
    return;
  count = gs_prefix_index_lookup (router->prefixes, context->now,
                                  context->query->prefix, holders);
  for (size_t i = 0; i < count; i++)
    if (router->table.replicas[holders[i].slot].target == target)
      add_candidate (router, target, context, holders[i].slot,
                     holders[i].blocks, decision);
}

static uint16_t
slot_at (const replica_target_t *target, uint64_t position)
{
  return g_array_index (target->slots, uint16_t, position);
}

/* Add random replicas of a large target: some from the cheapest ones, which
   are in active use, and some from all.  */
static void
add_sample (gs_router_t *router, replica_target_t *target,
            const score_context_t *context, gs_route_decision_t *decision)
{
  guint count = target->slots->len;
  uint64_t active = CLAMP (target->active_count, CHEAP_SAMPLE_SIZE, count);

  for (unsigned i = 0; i < CHEAP_SAMPLE_SIZE; i++)
    add_candidate (router, target, context,
                   slot_at (target, gs_rng_below (&router->rng, active)), 0,
                   decision);
  for (unsigned i = 0; i < RANDOM_SAMPLE_SIZE; i++)
    add_candidate (router, target, context,
                   slot_at (target, gs_rng_below (&router->rng, count)), 0,
                   decision);
}

/* Number of routers that read the same load reports and so tend to choose the
   same replica.  The bound accounts for large systems, where each router
   compares a different sample.  */
static double
concurrent_routers (const gs_router_t *router)
{
  return MIN (router->table.nodes * router->options.workers,
              CONCURRENT_ROUTERS_MAX);
}

void
gs_router_decide (gs_router_t *router, gs_time_t now,
                  const gs_route_query_t *query, gs_route_decision_t *out)
{
  replica_target_t *target
      = replica_table_target (&router->table, query->target);
  score_context_t context = {
    .engine = &router->options.engine,
    .query = query,
    .now = now,
    .report_age = lag_estimate_age (&router->table.lag),
    .routers = concurrent_routers (router),
    .output_tokens = query->output_tokens * router->output_ratio,
  };

  router->decisions++;
  router->skipped_at_limit = false;
  out->count = 0;
  out->chosen = 0;
  if (target != NULL && target->slots->len > 0)
    {
      add_prefix_holders (router, target, &context, out);
      if (target->slots->len <= SCANNED_TARGET_SIZE_MAX)
        for (guint i = 0; i < target->slots->len; i++)
          add_candidate (router, target, &context, slot_at (target, i), 0,
                         out);
      else
        add_sample (router, target, &context, out);
    }
  score_choose (out, &context);
  if (out->count == 0 && router->skipped_at_limit)
    out->reason = GS_ROUTE_SATURATED;
}

/* Adapt the number of replicas of a large target that are in active use: it
   grows fast while few candidates meet the latency target and shrinks slowly
   while most do.  */
static void
adapt_active_count (replica_target_t *target,
                    const gs_route_decision_t *decision)
{
  unsigned meeting_count = 0;

  for (unsigned i = 0; i < decision->count; i++)
    meeting_count += decision->candidates[i].meets_latency_target;
  if (meeting_count < decision->count / 4)
    target->active_count = MIN (target->active_count + 4, target->slots->len);
  else if (meeting_count > decision->count / 2
           && target->active_count > CHEAP_SAMPLE_SIZE)
    target->active_count--;
}

void
gs_router_commit (gs_router_t *router, gs_time_t now,
                  const gs_route_query_t *query,
                  const gs_route_decision_t *decision)
{
  const gs_route_candidate_t *chosen = &decision->candidates[decision->chosen];
  replica_t *replica = &router->table.replicas[chosen->slot];
  replica_target_t *target
      = replica_table_target (&router->table, query->target);
  double rate = router->options.engine.prefill_tokens_per_sec / 2;

  replica->backlog
      = replica_backlog_estimate (replica, now, rate)
        + chosen->missing_tokens * sqrt (concurrent_routers (router));
  replica->backlog_at = now;
  replica_attempt_start (replica, now);
  if (query->prefix != NULL)
    gs_prefix_index_add_probe (router->prefixes, now, chosen->slot,
                               query->prefix);
  adapt_active_count (target, decision);
}

void
gs_route_query_fill (gs_route_query_t *out, gs_time_t now,
                     const gs_snapshot_t *snapshot,
                     const gs_request_spec_t *spec)
{
  const gs_account_t *account = NULL;
  const char *model = NULL;

  *out = (gs_route_query_t)GS_ROUTE_QUERY_INIT;
  out->target = spec->target;
  out->kind = spec->kind == GS_REQUEST_GENERATE ? GS_UPSTREAM_ENGINE
                                                : GS_UPSTREAM_SERVICE;
  out->prompt_tokens = spec->prompt_tokens;
  out->output_tokens = spec->tokens_max;
  out->prefix = &spec->prefix;
  out->deadline = spec->deadline;
  out->first_token_deadline = spec->deadline;
  if (snapshot->catalogue != NULL)
    account = (const gs_account_t *)gs_catalogue_find (
        snapshot->catalogue, GS_KIND_ACCOUNT, spec->account);
  if (spec->kind == GS_REQUEST_GENERATE && snapshot->catalogue != NULL)
    model = gs_catalogue_model_resolve (snapshot->catalogue, spec->target);
  if (model != NULL)
    out->target = model;
  if (account == NULL || account->class_ref == NULL)
    return;
  out->first_token_deadline
      = now + (gs_time_t)account->class_ref->first_token_ms * GS_MSEC;
  out->token_interval = (gs_time_t)account->class_ref->token_ms * GS_MSEC;
  out->weight_cost = account->class_ref->weight_cost;
  out->reclaimable = account->class_ref->reclaimable;
}

static void
log_decision (gs_router_t *router, gs_time_t now, gs_request_id_t id,
              uint32_t attempt, const gs_route_decision_t *decision)
{
  GString *candidates_text = g_string_sized_new (256);
  char id_text[GS_REQUEST_ID_TEXT_BYTES];
  bool chosen = decision->reason == GS_ROUTE_CHEAPEST
                || decision->reason == GS_ROUTE_EARLIEST;

  for (unsigned i = 0; i < decision->count; i++)
    {
      const gs_route_candidate_t *candidate = &decision->candidates[i];

      if (i >= LOG_CANDIDATES_MAX && !(chosen && i == decision->chosen))
        continue;
      g_string_append_printf (
          candidates_text, "%s%s:score=%.3f:first_ms=%lld:batch=%u:missing=%u",
          candidates_text->len > 0 ? "," : "",
          gs_router_upstream_name (router, candidate->slot), candidate->score,
          (long long)((candidate->first_token_at - now) / GS_MSEC),
          candidate->batch, candidate->missing_tokens);
    }
  gs_request_id_format (id_text, id);
  g_string_printf (router->decision_text,
                   "upstream=%s candidates=%u reason=%s seen=\"%s\"",
                   chosen ? gs_router_upstream_name (
                       router, decision->candidates[decision->chosen].slot)
                          : "none",
                   decision->count, gs_route_reason_name (decision->reason),
                   candidates_text->str);
  gs_log (chosen ? GS_LOG_INFO : GS_LOG_WARN, "route",
          "request=%s attempt=%u %s", id_text, attempt,
          router->decision_text->str);
  g_string_free (candidates_text, TRUE);
}

const char *
gs_router_last_decision (const gs_router_t *router)
{
  return router->decision_text->str;
}

gs_status_t
gs_router_route (gs_router_t *router, gs_time_t now,
                 const gs_snapshot_t *snapshot, gs_request_id_t id,
                 const gs_request_spec_t *spec, uint32_t attempt,
                 const char *avoid, gs_route_t *out)
{
  gs_route_query_t query;
  gs_route_decision_t decision;
  const gs_route_candidate_t *chosen;

  gs_router_refresh (router, now, snapshot);
  gs_route_query_fill (&query, now, snapshot, spec);
  query.avoid = avoid;
  gs_router_decide (router, now, &query, &decision);
  log_decision (router, now, id, attempt, &decision);
  if (decision.reason == GS_ROUTE_NO_UPSTREAM)
    return gs_error_set (GS_EREFUSED, "no live upstream serves '%s'",
                         spec->target);
  if (decision.reason == GS_ROUTE_SATURATED)
    return gs_error_set (GS_EREFUSED, "every upstream of '%s' is full",
                         spec->target);
  chosen = &decision.candidates[decision.chosen];
  g_strlcpy (out->upstream, gs_router_upstream_name (router, chosen->slot),
             sizeof out->upstream);
  g_strlcpy (out->url, router->table.replicas[chosen->slot].url,
             sizeof out->url);
  out->first_token_expected_at = chosen->first_token_at;
  out->token_interval_expected = chosen->nominal_token_interval;
  gs_router_commit (router, now, &query, &decision);
  return GS_OK;
}

void
gs_router_attempt_end (gs_router_t *router, gs_time_t now,
                       const char *upstream, gs_status_t status)
{
  replica_t *replica = replica_table_find (&router->table, upstream);

  if (replica != NULL)
    replica_attempt_end (replica, now, status != GS_OK);
}

void
gs_router_observe (gs_router_t *router, gs_time_t now,
                   const gs_route_observation_t *observation)
{
  replica_t *replica
      = replica_table_find (&router->table, observation->upstream);
  double expected = (double)(observation->first_token_expected_at
                             - observation->dispatched_at);
  double actual
      = (double)(observation->first_token_at - observation->dispatched_at);

  if (replica == NULL || observation->first_token_at == 0)
    return;
  if (observation->tokens > 1 && observation->token_interval_expected > 0)
    replica_slowness_observe (
        replica, now,
        (double)(observation->ended_at - observation->first_token_at)
            / (observation->tokens - 1)
            / observation->token_interval_expected);
  else if (expected > 0 && actual > SLOW_FIRST_TOKEN_RATIO * expected)
    replica_slowness_observe (
        replica, now, actual / expected * replica_slowness (replica, now));
}
