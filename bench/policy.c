#include "world.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Index of the probe hash that the prefix baseline uses as its key; shorter
   prompts use their last one.  */
#define PREFIX_PROBE_INDEX 7

static bool
is_live (const world_node_t *node, unsigned replica)
{
  return node->snapshot->upstreams[replica].state == GS_VM_LIVE;
}

static bool
is_usable (const world_node_t *node, const world_request_t *request,
           unsigned replica)
{
  return is_live (node, replica) && (int)replica != request->avoid;
}

static unsigned
replica_load (const world_node_t *node, unsigned replica)
{
  const gs_upstream_info_t *upstream = &node->snapshot->upstreams[replica];

  return MAX (node->in_flight[replica], upstream->running + upstream->queued);
}

static world_verdict_t
random_choose (world_node_t *node, gs_time_t now, world_request_t *request,
               unsigned *replica)
{
  for (unsigned i = 0; i < 4 * node->snapshot->upstream_count; i++)
    {
      *replica = (unsigned)gs_rng_below (&node->rng,
                                         node->snapshot->upstream_count);
      if (is_usable (node, request, *replica))
        return WORLD_DISPATCH;
    }
  return WORLD_WAIT;
}

static world_verdict_t
round_robin_choose (world_node_t *node, gs_time_t now,
                    world_request_t *request, unsigned *replica)
{
  for (unsigned i = 0; i < node->snapshot->upstream_count; i++)
    {
      *replica = node->round_robin_next++
                 % (unsigned)node->snapshot->upstream_count;
      if (is_usable (node, request, *replica))
        return WORLD_DISPATCH;
    }
  return WORLD_WAIT;
}

static world_verdict_t
least_in_flight_choose (world_node_t *node, gs_time_t now,
                        world_request_t *request, unsigned *replica)
{
  double best = INFINITY;

  for (unsigned i = 0; i < node->snapshot->upstream_count; i++)
    {
      double load = replica_load (node, i) + gs_rng_unit (&node->rng);

      if (!is_usable (node, request, i) || load >= best)
        continue;
      best = load;
      *replica = i;
    }
  return isinf (best) ? WORLD_WAIT : WORLD_DISPATCH;
}

static world_verdict_t
two_choices_choose (world_node_t *node, gs_time_t now,
                    world_request_t *request, unsigned *replica)
{
  unsigned first = 0;
  unsigned second = 0;

  if (random_choose (node, now, request, &first) != WORLD_DISPATCH
      || random_choose (node, now, request, &second) != WORLD_DISPATCH)
    return WORLD_WAIT;
  *replica = replica_load (node, first) <= replica_load (node, second)
                 ? first
                 : second;
  return WORLD_DISPATCH;
}

/* Rendezvous hashing by the prefix of the prompt.  */
static world_verdict_t
prefix_hash_choose (world_node_t *node, gs_time_t now,
                    world_request_t *request, unsigned *replica)
{
  uint64_t key
      = request->probe.count > 0
            ? request->probe
                  .hashes[MIN (request->probe.count - 1, PREFIX_PROBE_INDEX)]
            : request->id;
  uint64_t best = 0;
  bool found = false;

  for (unsigned i = 0; i < node->snapshot->upstream_count; i++)
    {
      uint64_t weight = gs_prefix_chain_next (key, &i, sizeof i);

      if (!is_usable (node, request, i) || (found && weight <= best))
        continue;
      best = weight;
      *replica = i;
      found = true;
    }
  return found ? WORLD_DISPATCH : WORLD_WAIT;
}

static void
init_query (gs_route_query_t *out, gs_time_t now, world_request_t *request)
{
  *out = (gs_route_query_t)GS_ROUTE_QUERY_INIT;
  out->target = "model";
  out->prompt_tokens = request->spec.prompt_tokens + request->emitted;
  out->output_tokens = request->spec.output_tokens;
  out->prefix = &request->probe;
  out->deadline = request->deadline;
  out->first_token_deadline
      = request->arrived_at + request->spec.kind->first_token_target;
  out->token_interval = request->spec.kind->token_interval_target;
}

static world_verdict_t
router_choose (world_node_t *node, gs_time_t now, world_request_t *request,
               unsigned *replica)
{
  gs_route_query_t query;
  gs_route_decision_t decision;
  const gs_route_candidate_t *chosen;
  char avoid[GS_NAME_BYTES];

  init_query (&query, now, request);
  query.weight_cost = node->weight_cost;
  if (request->avoid >= 0)
    {
      g_snprintf (avoid, sizeof avoid, "r%d", request->avoid);
      query.avoid = avoid;
    }
  gs_router_decide (node->router, now, &query, &decision);
  if (decision.reason == GS_ROUTE_SATURATED
      || decision.reason == GS_ROUTE_NO_UPSTREAM)
    return WORLD_WAIT;
  chosen = &decision.candidates[decision.chosen];
  request->first_token_expected_at = chosen->first_token_at;
  request->token_interval_expected = chosen->nominal_token_interval;
  gs_router_commit (node->router, now, &query, &decision);
  *replica = (unsigned)atoi (
      gs_router_upstream_name (node->router, chosen->slot) + 1);
  return WORLD_DISPATCH;
}

static world_verdict_t
governor_admit (world_node_t *node, gs_time_t now, world_request_t *request)
{
  gs_route_query_t query;
  gs_time_t retry_after;
  char account[GS_NAME_BYTES];

  init_query (&query, now, request);
  query.weight_cost = node->weight_cost;
  g_snprintf (account, sizeof account, "a%u", request->spec.account);
  return gs_governor_capacity_check (node->governor, now, node->router,
                                     account, &query, &retry_after)
                 == GS_OK
             ? WORLD_DISPATCH
             : WORLD_REJECT;
}

const world_policy_t world_policies[] = {
  { "garnetstack", true, router_choose, governor_admit },
  { "random", false, random_choose, NULL },
  { "round_robin", false, round_robin_choose, NULL },
  { "least_in_flight", false, least_in_flight_choose, NULL },
  { "two_choices", false, two_choices_choose, NULL },
  { "prefix_hash", false, prefix_hash_choose, NULL },
  { NULL, false, NULL, NULL },
};
