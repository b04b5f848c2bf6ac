/**
 * @file world_desk.h
 * Replicas that keep connections, run requests for a random time, and lose,
 * repeat or delay their answers, for requests of the behaviour "desk".  A copy
 * of an answer may be written when the next one is due, and bear the id of the
 * request that is under way.
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
  unsigned late_ms_max;   /**< until the copy of an answer; 0 for 30 */
  unsigned two_percent;   /**< copies that are written twice */
  unsigned torn_percent;  /**< copies that are written in two pieces */
  /** Requests before whose answer the last rejection of their connection is
      written once more, half of them before their body is read. */
  unsigned refusal_copy_percent;
  /** The same for requests that were rejected there themselves. */
  unsigned own_copy_percent;
  unsigned early_percent; /**< requests rejected before their body is read */
} world_desk_t;

/** Set how replicas treat such requests.
    @param desk as long as the world lives */
void world_desk_set (gateway_world_t *world, const world_desk_t *desk);

#endif
