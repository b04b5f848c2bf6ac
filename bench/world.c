#include "world_private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_INTERVAL (50 * GS_MSEC)
#define REQUEST_TIMEOUT (30 * GS_SEC)
#define DRAIN_DURATION (20 * GS_SEC)
#define NOTICE_DURATION (5 * GS_SEC)
#define RECLAIM_INTERVAL (2 * GS_SEC)
#define BURST_DURATION (15 * GS_SEC)
#define SLOWDOWN_FACTOR 10
#define ATTEMPTS_MAX 4

static void
request_free (gpointer data)
{
  world_request_t *request = data;

  g_array_unref (request->spec.blocks);
  g_free (request);
}

static bool
is_in_measured_window (const world_t *world)
{
  return world->now >= world->options.warm_until
         && world->now < world->options.measure_until;
}

static void route_request (world_t *world, world_request_t *request);

static void
record_answer (world_t *world, world_request_t *request)
{
  const workload_kind_t *kind = request->spec.kind;
  double first
      = (double)(request->first_token_at - request->arrived_at) / GS_MSEC;
  double interval
      = request->emitted > 1
            ? (double)(request->last_token_at - request->first_token_at)
                  / (request->emitted - 1) / GS_MSEC
            : 0;

  if (request->measured)
    {
      world->answered++;
      g_array_append_val (world->first_ms, first);
      g_array_append_val (world->token_ms, interval);
      if (first * GS_MSEC <= (double)kind->first_token_target
          && interval * GS_MSEC <= (double)kind->token_interval_target)
        world->in_target[request->spec.account]++;
    }
}

static void
remove_request (world_t *world, world_request_t *request)
{
  g_hash_table_remove (world->requests, &request->id);
}

static void
end_attempt (world_t *world, world_request_t *request, gs_status_t status)
{
  world_node_t *node = &world->nodes[request->node];
  char name[GS_NAME_BYTES];
  gs_route_observation_t observation = { .upstream = name };

  node->in_flight[request->replica]--;
  if (world->policy->uses_router)
    {
      g_snprintf (name, sizeof name, "r%d", request->replica);
      observation.dispatched_at = request->dispatched_at;
      observation.first_token_expected_at = request->first_token_expected_at;
      observation.token_interval_expected = request->token_interval_expected;
      observation.first_token_at = request->attempt_first_token_at;
      observation.ended_at = world->now;
      observation.tokens = request->attempt_tokens;
      gs_router_attempt_end (node->router, world->now, name, status);
      gs_router_observe (node->router, world->now, &observation);
    }
  request->avoid = request->replica;
  request->replica = -1;
}

/* Adds the tokens that a replica computed although some replica had computed
   them before.  All prompt tokens of a retry count as computed before.  */
static void
count_recomputed (world_t *world, const world_request_t *request,
                  uint32_t computed)
{
  const GArray *blocks = request->spec.blocks;
  uint32_t computed_blocks = 0;
  uint32_t new_tokens;

  for (guint i = 0; i < blocks->len; i++)
    {
      uint64_t *key = &g_array_index (blocks, uint64_t, i);

      if (g_hash_table_contains (world->computed, key))
        computed_blocks++;
      else
        g_hash_table_add (world->computed, g_memdup2 (key, sizeof *key));
    }
  new_tokens
      = request->spec.prompt_tokens - computed_blocks * GS_PREFIX_BLOCK_TOKENS;
  if (request->attempt > 1)
    new_tokens = 0;
  if (request->measured)
    {
      world->prompt_tokens += request->spec.prompt_tokens;
      world->computed_tokens += computed;
    }
  if (request->measured && computed > new_tokens)
    world->recomputed += computed - new_tokens;
}

static void
on_token (void *context, const gs_engine_token_t *token)
{
  world_t *world = context;
  world_request_t *request = g_hash_table_lookup (world->requests, &token->id);

  if (request == NULL)
    return;
  if (token->index == 0)
    {
      request->attempt_first_token_at = world->now;
      count_recomputed (world, request, token->computed_tokens);
    }
  if (request->emitted == 0)
    request->first_token_at = world->now;
  request->emitted++;
  request->attempt_tokens++;
  request->last_token_at = world->now;
  if (!token->last)
    return;
  end_attempt (world, request, GS_OK);
  record_answer (world, request);
  remove_request (world, request);
}

static void
dispatch (world_t *world, world_request_t *request, unsigned replica)
{
  replica_state_t *state = &world->replicas[replica];
  gs_engine_job_t job = { .id = request->id };
  gs_time_t due;

  request->replica = (int)replica;
  request->attempt++;
  if (request->attempt > 1 && request->measured)
    world->retries++;
  request->dispatched_at = world->now;
  request->attempt_first_token_at = 0;
  request->attempt_tokens = 0;
  world->nodes[request->node].in_flight[replica]++;
  if (state->model == NULL)
    {
      end_attempt (world, request, GS_EUNREACHABLE);
      if (request->attempt < ATTEMPTS_MAX)
        route_request (world, request);
      else
        remove_request (world, request);
      return;
    }
  job.prompt_tokens = request->spec.prompt_tokens + request->emitted;
  job.output_tokens = MAX (request->spec.output_tokens, request->emitted + 1)
                      - request->emitted;
  job.blocks = (uint64_t *)request->spec.blocks->data;
  job.block_count = request->spec.blocks->len;
  due = gs_engine_model_due (state->model);
  gs_engine_model_submit (state->model, world->now, &job);
  if (due == GS_TIME_NEVER)
    world_event_push (world, gs_engine_model_due (state->model), EVENT_ENGINE,
                      replica);
}

static void
reject_request (world_t *world, world_request_t *request)
{
  world->rejected += request->measured;
  remove_request (world, request);
}

static void
route_request (world_t *world, world_request_t *request)
{
  world_node_t *node = &world->nodes[request->node];
  unsigned replica = 0;
  world_verdict_t verdict;

  if (world->now >= request->deadline)
    {
      reject_request (world, request);
      return;
    }
  verdict = world->policy->choose (node, world->now, request, &replica);
  if (verdict == WORLD_DISPATCH)
    dispatch (world, request, replica);
  else if (verdict == WORLD_REJECT)
    reject_request (world, request);
  else
    world_event_push (world, world->now + RETRY_INTERVAL, EVENT_RETRY,
                      request->id);
}

/* @return arrivals per second, raised during a burst of the largest
   account.  */
static double
arrival_rate (const world_t *world)
{
  const world_options_t *options = &world->options;
  gs_time_t middle = (options->warm_until + options->measure_until) / 2;

  if (options->burst_factor > 1 && world->now >= middle
      && world->now < middle + BURST_DURATION)
    return world->rate
           * (1
              + (options->burst_factor - 1) * options->user->account_percent[0]
                    / 100.0);
  return world->rate;
}

/* @return 0, the largest account, for arrivals that belong to a burst, else
   -1 to draw the account.  */
static int
choose_account (world_t *world)
{
  double extra = arrival_rate (world) / world->rate - 1;

  return gs_rng_unit (&world->arrivals) < extra / (1 + extra) ? 0 : -1;
}

static void
add_arrival (world_t *world)
{
  world_request_t *request = g_new0 (world_request_t, 1);
  gs_time_t next;

  workload_next (world->workload, world->now, choose_account (world),
                 &request->spec);
  gs_prefix_probe_select (&request->probe,
                          (uint64_t *)request->spec.blocks->data,
                          request->spec.blocks->len);
  request->id = world->next_id++;
  request->arrived_at = world->now;
  request->deadline = world->now + REQUEST_TIMEOUT;
  request->node = (unsigned)gs_rng_below (&world->arrivals, WORLD_NODES);
  request->replica = -1;
  request->avoid = -1;
  request->measured = is_in_measured_window (world);
  world->offered[request->spec.account] += request->measured;
  g_hash_table_insert (world->requests, &request->id, request);
  next = world->now
         + (gs_time_t)(-log (1 - gs_rng_unit (&world->arrivals))
                       / arrival_rate (world) * GS_SEC);
  if (world->now < world->options.measure_until + DRAIN_DURATION)
    world_event_push (world, next, EVENT_ARRIVAL, 0);
  if (world->policy->admit != NULL
      && world->policy->admit (&world->nodes[request->node], world->now,
                               request)
             == WORLD_REJECT)
    reject_request (world, request);
  else
    route_request (world, request);
}

static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  uint64_t left = ((const world_request_t *)a)->id;
  uint64_t right = ((const world_request_t *)b)->id;

  return left < right ? -1 : left > right;
}

/* Stops a replica and retries its requests in order of arrival.  */
static void
fail_replica (world_t *world, unsigned index)
{
  replica_state_t *state = &world->replicas[index];
  GList *requests = g_hash_table_get_values (world->requests);

  state->busy += gs_engine_model_busy (state->model);
  gs_engine_model_destroy (state->model);
  state->model = NULL;
  state->lost_at = world->now;
  requests = g_list_sort (requests, compare_ids);
  for (GList *item = requests; item != NULL; item = item->next)
    {
      world_request_t *request = item->data;

      if (request->replica != (int)index)
        continue;
      end_attempt (world, request, GS_EUNKNOWN);
      if (request->attempt < ATTEMPTS_MAX)
        route_request (world, request);
      else
        remove_request (world, request);
    }
  g_list_free (requests);
}

/* Stops the replicas whose notice has run out and gives notice to the next
   reclaimable one.  */
static void
advance_reclaims (world_t *world)
{
  for (unsigned i = 0; i < world->replica_count; i++)
    {
      replica_state_t *state = &world->replicas[i];

      if (state->notified_at != 0 && state->model != NULL
          && world->now >= state->notified_at + NOTICE_DURATION)
        fail_replica (world, i);
    }
  for (unsigned i = 0;
       i < world->replica_count && world->reclaimed < world->options.reclaims;
       i++)
    {
      replica_state_t *state = &world->replicas[i];

      if (!state->reclaimable || state->notified_at != 0)
        continue;
      state->notified_at = world->now;
      world->reclaimed++;
      break;
    }
  world_event_push (world, world->now + RECLAIM_INTERVAL, EVENT_FAULT, 0);
}

static void
inject_fault (world_t *world)
{
  const world_options_t *options = &world->options;

  if (options->lose_data_centre)
    for (unsigned i = 0; i < world->replica_count; i++)
      if (world->replicas[i].data_centre == 1
          && world->replicas[i].model != NULL)
        fail_replica (world, i);
  if (options->slow_replica)
    gs_engine_model_set_slowdown (world->replicas[0].model, SLOWDOWN_FACTOR);
  if (options->reclaims > 0)
    advance_reclaims (world);
}

static void
run_engine (world_t *world, unsigned index)
{
  replica_state_t *state = &world->replicas[index];

  if (state->model == NULL || gs_engine_model_due (state->model) != world->now)
    return;
  gs_engine_model_step (state->model, on_token, world);
  if (gs_engine_model_due (state->model) != GS_TIME_NEVER)
    world_event_push (world, gs_engine_model_due (state->model), EVENT_ENGINE,
                      index);
}

static void
handle_event (world_t *world, const world_event_t *event)
{
  world_request_t *request;

  switch (event->type)
    {
    case EVENT_ARRIVAL:
      add_arrival (world);
      break;
    case EVENT_ENGINE:
      run_engine (world, (unsigned)event->index);
      break;
    case EVENT_SAMPLE:
      world_loads_sample (world);
      break;
    case EVENT_REFRESH:
      world_node_refresh (world, (unsigned)event->index);
      break;
    case EVENT_RETRY:
      request = g_hash_table_lookup (world->requests, &event->index);
      if (request != NULL && request->replica < 0)
        route_request (world, request);
      break;
    case EVENT_FAULT:
      inject_fault (world);
      break;
    case EVENT_USAGE:
      world_usage_record (world);
      break;
    }
}

static void
init_world (world_t *world, const world_options_t *options,
            const world_policy_t *policy)
{
  gs_time_t middle = (options->warm_until + options->measure_until) / 2;

  memset (world, 0, sizeof *world);
  world->options = *options;
  world->policy = policy;
  gs_rng_seed (&world->rng, options->seed);
  gs_rng_seed (&world->arrivals, gs_rng_next (&world->rng));
  workload_create (&world->workload, options->user, gs_rng_next (&world->rng));
  world->events = g_array_new (FALSE, FALSE, sizeof (world_event_t));
  world->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                           request_free);
  world->computed
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  world->first_ms = g_array_new (FALSE, FALSE, sizeof (double));
  world->token_ms = g_array_new (FALSE, FALSE, sizeof (double));
  world->rate = world_capacity (options->user) * options->load_percent / 100.0;
  world_replicas_create (world);
  world_catalogue_create (world);
  world_event_push (world, 0, EVENT_SAMPLE, 0);
  world_nodes_create (world);
  world_event_push (world, GS_SEC, EVENT_ARRIVAL, 0);
  world_event_push (world, options->warm_until, EVENT_USAGE, 0);
  world_event_push (world, middle, EVENT_FAULT, 0);
}

static void
free_world (world_t *world)
{
  for (unsigned i = 0; i < world->replica_count; i++)
    gs_engine_model_destroy (world->replicas[i].model);
  for (unsigned i = 0; i < WORLD_NODES; i++)
    {
      gs_governor_destroy (world->nodes[i].governor);
      gs_router_destroy (world->nodes[i].router);
      gs_snapshot_free (world->nodes[i].snapshot);
      g_free (world->nodes[i].in_flight);
    }
  gs_catalogue_unref (world->catalogue);
  g_free (world->replicas);
  g_array_unref (world->token_ms);
  g_array_unref (world->first_ms);
  g_hash_table_unref (world->computed);
  g_hash_table_unref (world->requests);
  g_array_unref (world->events);
  workload_destroy (world->workload);
}

void
world_run (world_result_t *out, const world_options_t *options,
           const world_policy_t *policy)
{
  world_t *world = g_new (world_t, 1);
  gs_time_t end = options->measure_until + DRAIN_DURATION;

  init_world (world, options, policy);
  while (world->events->len > 0)
    {
      world_event_t event = world_event_pop (world);

      if (event.at >= end)
        break;
      world->now = event.at;
      handle_event (world, &event);
    }
  world_summarize (out, world);
  free_world (world);
  g_free (world);
}
