#include "world_private.h"

#include <string.h>

#define VM_LIST_LAG GS_SEC
#define DATA_CENTRES 4
#define PRICE_BASE_MICROS 400000
#define ON_DEMAND_PRICE_FACTOR 2.5
#define CACHE_EVENTS_MAX 4096

double
world_capacity (const workload_user_t *user)
{
  gs_engine_params_t params = GS_ENGINE_PARAMS_INIT;
  double prompt;
  double output;
  double seconds;

  workload_user_means (user, &prompt, &output);
  seconds = prompt / params.prefill_tokens_per_sec
            + output
                  * ((double)params.step_base / params.batch_max
                     + (double)params.step_per_sequence)
                  / GS_SEC;
  return user->replicas / seconds;
}

void
world_replicas_create (world_t *world)
{
  static const double price_factors[DATA_CENTRES] = { 1.0, 0.8, 0.9, 0.7 };
  gs_engine_params_t params = GS_ENGINE_PARAMS_INIT;

  params.cache_blocks = world->options.user->cache_blocks;
  world->replica_count = world->options.user->replicas;
  world->replicas = g_new0 (replica_state_t, world->replica_count);
  for (unsigned i = 0; i < world->replica_count; i++)
    {
      replica_state_t *state = &world->replicas[i];

      state->data_centre = i % DATA_CENTRES;
      state->reclaimable = i % 3 != 2;
      state->price = PRICE_BASE_MICROS * price_factors[state->data_centre]
                     * (state->reclaimable ? 1 : ON_DEMAND_PRICE_FACTOR);
      gs_engine_model_create (&state->model, &params);
    }
}

void
world_catalogue_create (world_t *world)
{
  GString *text = g_string_new (
      "[catalogue]\ngeneration=1\nchange_id=1\nchanged_by=bench\n"
      "[class all]\nowner=bench\npurpose=all requests\nshare=1\n");

  for (unsigned i = 0; i < WORKLOAD_ACCOUNTS; i++)
    g_string_append_printf (text,
                            "[account a%u]\nowner=bench\nclass=all\n"
                            "purpose=one customer\nkeys=%064u\n",
                            i, i);
  if (gs_catalogue_parse (&world->catalogue, text->str, text->len, "bench",
                          NULL, NULL)
      != GS_OK)
    g_error ("%s", gs_error_last ());
  g_string_free (text, TRUE);
}

void
world_nodes_create (world_t *world)
{
  for (unsigned i = 0; i < WORLD_NODES; i++)
    {
      world_node_t *node = &world->nodes[i];
      gs_router_options_t options = GS_ROUTER_OPTIONS_INIT;

      gs_rng_seed (&node->rng, gs_rng_next (&world->rng));
      options.seed = gs_rng_next (&world->rng);
      options.prefix_entries = (size_t)1 << 16;
      gs_router_create (&node->router, &options);
      gs_governor_create (&node->governor, 1, gs_rng_next (&world->rng));
      node->weight_cost = world->options.user->weight_cost;
      node->snapshot = gs_snapshot_new (0, 0);
      node->in_flight = g_new0 (unsigned, world->replica_count);
      world_event_push (world, (gs_time_t)i * REFRESH_INTERVAL / WORLD_NODES,
                        EVENT_REFRESH, i);
    }
}

void
world_loads_sample (world_t *world)
{
  for (unsigned i = 0; i < world->replica_count; i++)
    {
      replica_state_t *state = &world->replicas[i];
      load_sample_t *sample
          = &state->samples[world->sample_count % SAMPLES_MAX];
      gs_engine_cache_event_t last;
      uint64_t first;

      if (state->model == NULL)
        continue;
      gs_engine_model_load (state->model, &sample->load);
      sample->revision = state
                             ->samples[(world->sample_count + SAMPLES_MAX - 1)
                                       % SAMPLES_MAX]
                             .revision;
      while (gs_engine_model_events (state->model, sample->revision, &first,
                                     &last, 1)
             == 1)
        sample->revision = last.revision;
    }
  world->sample_count++;
  world_event_push (world, world->now + SAMPLE_INTERVAL, EVENT_SAMPLE, 0);
}

/* @return the sample taken @p lag before the newest one, or the first sample
   when the run is younger.  */
static const load_sample_t *
lagged_sample (const world_t *world, const replica_state_t *state,
               gs_time_t lag)
{
  uint64_t offset = 1 + (uint64_t)(lag / SAMPLE_INTERVAL);

  return world->sample_count < offset
             ? &state->samples[0]
             : &state->samples[(world->sample_count - offset) % SAMPLES_MAX];
}

/* Delivers the cache events of a replica up to a revision to a node, except
   for a random share that is lost.  */
static void
deliver_cache_events (world_t *world, unsigned node, unsigned replica,
                      uint64_t revision, GArray *events,
                      gs_upstream_info_t *upstream)
{
  static gs_engine_cache_event_t cache_events[CACHE_EVENTS_MAX];
  replica_state_t *state = &world->replicas[replica];
  uint64_t first;
  size_t count
      = gs_engine_model_events (state->model, state->delivered_revision[node],
                                &first, cache_events, CACHE_EVENTS_MAX);

  upstream->cache_revision = MAX (revision, state->delivered_revision[node]);
  for (size_t i = 0; i < count && cache_events[i].revision <= revision; i++)
    {
      gs_cache_event_t event
          = { replica, cache_events[i].evicted, cache_events[i].block };

      if (gs_rng_below (&world->rng, 100) < world->options.events_lost_percent)
        continue;
      if (upstream->cache_first_revision == 0)
        upstream->cache_first_revision = cache_events[i].revision;
      g_array_append_val (events, event);
    }
  state->delivered_revision[node]
      = MAX (revision, state->delivered_revision[node]);
}

void
world_node_refresh (world_t *world, unsigned index)
{
  world_node_t *node = &world->nodes[index];
  gs_snapshot_t *snapshot
      = gs_snapshot_new (WORLD_NODES, world->replica_count);
  GArray *events = g_array_new (FALSE, FALSE, sizeof (gs_cache_event_t));

  snapshot->sequence = node->snapshot->sequence + 1;
  snapshot->catalogue = gs_catalogue_ref (world->catalogue);
  for (unsigned i = 0; i < world->replica_count; i++)
    {
      replica_state_t *state = &world->replicas[i];
      gs_upstream_info_t *upstream = &snapshot->upstreams[i];
      const load_sample_t *sample
          = lagged_sample (world, state, world->options.report_lag);
      const load_sample_t *events_sample
          = lagged_sample (world, state, world->options.events_lag);

      g_snprintf (upstream->name, sizeof upstream->name, "r%u", i);
      g_strlcpy (upstream->target, "model", sizeof upstream->target);
      upstream->reclaimable = state->reclaimable;
      upstream->price_micros = (uint64_t)state->price;
      upstream->batch_max
          = ((gs_engine_params_t)GS_ENGINE_PARAMS_INIT).batch_max;
      if (state->lost_at != 0 && world->now >= state->lost_at + VM_LIST_LAG)
        upstream->state = GS_VM_GONE;
      else if (state->notified_at != 0 && world->now >= state->notified_at)
        upstream->state = GS_VM_LEAVING;
      upstream->reported_at = world->now;
      upstream->running = sample->load.running;
      upstream->queued = sample->load.queued;
      upstream->queued_tokens = sample->load.queued_tokens;
      if (state->model != NULL && world->policy->uses_router)
        deliver_cache_events (world, index, i, events_sample->revision, events,
                              upstream);
    }
  snapshot->cache_event_count = events->len;
  snapshot->cache_events
      = (gs_cache_event_t *)(void *)g_array_free (events, FALSE);
  gs_snapshot_free (node->snapshot);
  node->snapshot = snapshot;
  if (world->policy->uses_router)
    {
      gs_router_refresh (node->router, world->now, snapshot);
      gs_governor_refresh (node->governor, world->now, snapshot);
    }
  world_event_push (world, world->now + REFRESH_INTERVAL, EVENT_REFRESH,
                    index);
}
