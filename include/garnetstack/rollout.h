/**
 * @file rollout.h
 * An operator's order to move the traffic of a service to another software
 * version, as it is written in the store.
 */
#ifndef GARNETSTACK_ROLLOUT_H
#define GARNETSTACK_ROLLOUT_H

#include "garnetstack/deployment.h"

/** State that the status of an order names.  The values are sent between
    nodes. */
typedef enum
{
  GS_ROLLOUT_OPEN = 0, /**< no status, or one of another target */
  GS_ROLLOUT_RUNNING = 1,
  GS_ROLLOUT_COMPLETED = 2,
  GS_ROLLOUT_ROLLED_BACK = 3
} gs_rollout_state_t;

typedef struct
{
  char service[GS_NAME_BYTES];
  char target[GS_NAME_BYTES]; /**< version that the traffic moves to */
  gs_time_t duration;         /**< from the order to its deadline */
  gs_rollout_state_t state;   /**< as the status says */
} gs_rollout_t;

#endif
