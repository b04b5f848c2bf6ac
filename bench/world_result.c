#include "world_private.h"

#include <stdlib.h>
#include <string.h>

#define USAGE_INTERVAL (10 * GS_SEC)

static gs_time_t
replica_busy_time (const replica_state_t *state)
{
  return state->busy
         + (state->model != NULL ? gs_engine_model_busy (state->model) : 0);
}

void
world_usage_record (world_t *world)
{
  for (unsigned i = 0; i < world->replica_count; i++)
    {
      replica_state_t *state = &world->replicas[i];
      gs_time_t busy = replica_busy_time (state);

      if (world->now <= world->options.warm_until)
        {
          state->busy_at_start = busy;
          state->active_cost = 0;
        }
      else if (busy > state->busy_at_usage)
        state->active_cost
            += state->price * USAGE_INTERVAL / GS_SEC / HOUR_SEC;
      state->busy_at_usage = busy;
    }
  if (world->now < world->options.measure_until)
    world_event_push (world, world->now + USAGE_INTERVAL, EVENT_USAGE, 0);
  else
    for (unsigned i = 0; i < world->replica_count; i++)
      world->replicas[i].busy_at_usage
          = replica_busy_time (&world->replicas[i])
            - world->replicas[i].busy_at_start;
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

static double
p95 (GArray *values)
{
  if (values->len == 0)
    return 0;
  qsort (values->data, values->len, sizeof (double), compare_doubles);
  return g_array_index (values, double, values->len * 95 / 100);
}

void
world_summarize (world_result_t *out, world_t *world)
{
  double seconds
      = (double)(world->options.measure_until - world->options.warm_until)
        / GS_SEC;
  double in_target = 0;
  double cost = 0;
  double active_cost = 0;

  memset (out, 0, sizeof *out);
  for (unsigned i = 0; i < WORKLOAD_ACCOUNTS; i++)
    {
      in_target += (double)world->in_target[i];
      out->offered += world->offered[i];
      out->served[i]
          = (double)world->in_target[i] / MAX ((double)world->offered[i], 1);
      out->demand[i] = (double)world->offered[i] / seconds
                       / world_capacity (world->options.user);
    }
  for (unsigned i = 0; i < world->replica_count; i++)
    {
      cost += world->replicas[i].price / HOUR_SEC
              * (double)world->replicas[i].busy_at_usage / GS_SEC;
      active_cost += world->replicas[i].active_cost;
    }
  out->cost = cost / MAX (in_target, 1) * 1000;
  out->active_cost = active_cost / MAX (in_target, 1) * 1000;
  out->share = in_target / MAX ((double)out->offered, 1);
  out->goodput = in_target / seconds / world_capacity (world->options.user);
  out->first_p95_ms = p95 (world->first_ms);
  out->token_p95_ms = p95 (world->token_ms);
  out->cached = 1 - world->computed_tokens / MAX (world->prompt_tokens, 1);
  out->recomputed_total = world->recomputed;
  out->recomputed = world->recomputed / MAX ((double)world->answered, 1);
  out->rejected = (double)world->rejected / MAX ((double)out->offered, 1);
  out->retries = (double)world->retries / MAX ((double)out->offered, 1);
}
