/**
 * @file world_desk.h
 * Replicas that keep connections, run requests for a random time, and lose,
 * repeat or delay their answers, for requests of the behaviour "desk".
 */
#ifndef GS_TESTS_WORLD_DESK_H
#define GS_TESTS_WORLD_DESK_H

#include "gateway_world.h"

typedef struct
{
  unsigned lost_percent;  /**< requests that run and are not answered */
  unsigned again_percent; /**< answers and rejections that are written twice */
  unsigned slow_percent;  /**< answers that arrive in parts over a second */
  unsigned work_ms_max;   /**< run time */
  unsigned slots;         /**< of a replica; others are rejected.  0 for any */
} world_desk_t;

/** Set how replicas treat such requests.
    @param desk as long as the world lives */
void world_desk_set (gateway_world_t *world, const world_desk_t *desk);

#endif
