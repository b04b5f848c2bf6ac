#include "routing/score.h"

/* Largest shares of the latency targets that predictions may use.  */
#define FIRST_TOKEN_RATIO_MAX 0.6
#define TOKEN_INTERVAL_RATIO_MAX 0.95
/* Share of a batch that is filled.  The load sent by other routers is only an
   estimate, and a sequence beyond the batch waits until another one ends.  */
#define BATCH_RATIO_MAX 0.9
/* Recomputing a whole prompt weighs three times the mean cost.  */
#define RECOMPUTE_WEIGHT 3
/* The batch limit of a new replica rises linearly over this time.  */
#define SLOW_START_INTERVAL (10 * GS_SEC)
#define SLOW_START_BATCH_MIN 2
#define SEC_PER_HOUR 3600.0
/* A queue beyond this share of the batch limit makes a replica full.  */
#define QUEUE_RATIO_MAX 0.25

static double
step_duration (const gs_engine_estimate_t *engine, double batch)
{
  return (double)engine->step_base + (double)engine->step_per_sequence * batch;
}

/* Prompt tokens computed per second while a batch is being decoded.  */
static double
prefill_rate (const gs_engine_estimate_t *engine, double batch)
{
  double chunk_sec = engine->chunk_tokens / engine->prefill_tokens_per_sec;

  return engine->chunk_tokens
         / (chunk_sec + step_duration (engine, batch) / GS_SEC);
}

static double
batch_limit (const score_context_t *context, const replica_t *replica)
{
  double limit = replica->batch_max != 0 ? replica->batch_max
                                         : context->engine->batch_max;
  gs_time_t age = context->now - replica->first_seen;

  limit = limit * BATCH_RATIO_MAX * context->query->headroom_percent / 100;
  if (replica->first_seen != 0 && age < SLOW_START_INTERVAL)
    limit = MAX (limit * (double)age / SLOW_START_INTERVAL,
                 SLOW_START_BATCH_MIN);
  return limit;
}

static void
predict_engine (gs_route_candidate_t *candidate,
                const score_context_t *context, const replica_t *replica)
{
  const gs_engine_estimate_t *engine = context->engine;
  const gs_route_query_t *query = context->query;
  double sequences = replica_sequences_estimate (
      replica, context->now, context->report_age, context->routers);
  double limit = batch_limit (context, replica);
  double slowness = replica_slowness (replica, context->now);
  double batch = MIN (sequences + 1, MAX (limit, 1));
  double rate = prefill_rate (engine, batch) / slowness;
  double step = step_duration (engine, batch) * slowness;
  uint32_t cached
      = MIN ((uint32_t)candidate->cached_blocks * GS_PREFIX_BLOCK_TOKENS,
             query->prompt_tokens);
  double backlog = replica_backlog_estimate (replica, context->now, rate);
  double queue_time = 0;
  double compute_sec;

  candidate->missing_tokens = query->prompt_tokens - cached;
  candidate->batch = (uint32_t)(sequences + 1);
  if (sequences + 1 > limit)
    queue_time
        = (sequences + 1 - limit) / limit * context->output_tokens * step;
  candidate->first_token_at
      = context->now
        + (gs_time_t)(queue_time + step
                      + (backlog + candidate->missing_tokens) / rate * GS_SEC);
  candidate->token_interval = step;
  candidate->nominal_token_interval = step / slowness;
  compute_sec = candidate->missing_tokens / engine->prefill_tokens_per_sec
                + context->output_tokens
                      * ((double)engine->step_per_sequence
                         + (double)engine->step_base / batch)
                      / GS_SEC;
  candidate->cost = compute_sec * slowness * replica->price / SEC_PER_HOUR;
  candidate->is_full = sequences + 1 > limit * (1 + QUEUE_RATIO_MAX);
  candidate->meets_latency_target
      = sequences + 1 <= limit
        && step <= (double)query->token_interval * TOKEN_INTERVAL_RATIO_MAX
        && (double)(candidate->first_token_at - context->now)
               <= (double)(query->first_token_deadline - context->now)
                      * FIRST_TOKEN_RATIO_MAX * query->headroom_percent / 100;
}

/* A plain service has no batch and reports no load, so its load is estimated
   by the number of attempts in flight from this router.  */
static void
predict_service (gs_route_candidate_t *candidate,
                 const score_context_t *context, const replica_t *replica)
{
  candidate->batch = replica->in_flight + 1;
  candidate->first_token_at = context->now;
  candidate->cost = candidate->batch;
  candidate->meets_latency_target = true;
}

void
score_predict (gs_route_candidate_t *candidate, const score_context_t *context,
               const replica_t *replica)
{
  if (replica->kind == GS_UPSTREAM_SERVICE)
    predict_service (candidate, context, replica);
  else
    predict_engine (candidate, context, replica);
}

/* Score the candidates that meet the latency target by cost, relative to the
   mean, and recomputation, relative to the prompt.  Relative values keep the
   effect of the weight independent of the prompt.  */
static void
score_candidates (gs_route_decision_t *decision, const gs_route_query_t *query)
{
  double cost_sum = 0;
  unsigned meeting_count = 0;

  for (unsigned i = 0; i < decision->count; i++)
    if (decision->candidates[i].meets_latency_target)
      {
        cost_sum += decision->candidates[i].cost;
        meeting_count++;
      }
  for (unsigned i = 0; i < decision->count; i++)
    {
      gs_route_candidate_t *candidate = &decision->candidates[i];
      double cost = candidate->cost * meeting_count / MAX (cost_sum, 1e-9);
      double recompute
          = (double)candidate->missing_tokens / MAX (query->prompt_tokens, 1);

      if (candidate->meets_latency_target)
        candidate->score += (cost * query->weight_cost
                             + RECOMPUTE_WEIGHT * recompute
                                   * (100 - MIN (query->weight_cost, 100)))
                            / 100;
    }
}

static bool
is_usable (const gs_route_candidate_t *candidate,
           const score_context_t *context, gs_route_reason_t reason)
{
  if (reason == GS_ROUTE_CHEAPEST)
    return candidate->meets_latency_target;
  return !candidate->is_full
         && candidate->first_token_at < context->query->deadline;
}

static bool
choose_lowest (gs_route_decision_t *decision, const score_context_t *context,
               gs_route_reason_t reason)
{
  double lowest = 0;
  bool found = false;

  for (unsigned i = 0; i < decision->count; i++)
    {
      gs_route_candidate_t *candidate = &decision->candidates[i];

      if (!is_usable (candidate, context, reason))
        continue;
      if (reason == GS_ROUTE_EARLIEST)
        candidate->score
            += (double)(candidate->first_token_at - context->now)
               + candidate->token_interval * context->output_tokens;
      if (found && candidate->score >= lowest)
        continue;
      lowest = candidate->score;
      decision->chosen = i;
      found = true;
    }
  if (found)
    decision->reason = reason;
  return found;
}

void
score_choose (gs_route_decision_t *decision, const score_context_t *context)
{
  if (decision->count == 0)
    {
      decision->reason = GS_ROUTE_NO_UPSTREAM;
      return;
    }
  score_candidates (decision, context->query);
  if (!choose_lowest (decision, context, GS_ROUTE_CHEAPEST)
      && !choose_lowest (decision, context, GS_ROUTE_EARLIEST))
    decision->reason = GS_ROUTE_SATURATED;
}
