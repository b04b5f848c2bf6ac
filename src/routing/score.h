/**
 * @file score.h
 * Predicts latency and cost of an attempt at each candidate, and chooses the
 * candidate with the lowest score.  The functions hold no state.
 */
#ifndef GS_ROUTING_SCORE_H
#define GS_ROUTING_SCORE_H

#include "garnetstack/router.h"
#include "routing/replica.h"

/** Inputs shared by all candidates of a decision. */
typedef struct
{
  const gs_engine_estimate_t *engine;
  const gs_route_query_t *query;
  gs_time_t now;
  gs_time_t report_age; /**< estimated age of load reports on arrival */
  double routers;       /**< routers that send to the same replicas */
  double output_tokens; /**< expected */
} score_context_t;

/** Predict time to first token, token interval and cost at a replica. */
void score_predict (gs_route_candidate_t *candidate,
                    const score_context_t *context, const replica_t *replica);

/** Compute the scores from the predictions and choose a candidate. */
void score_choose (gs_route_decision_t *decision,
                   const score_context_t *context);

#endif
