/**
 * @file return_schedule.h
 * When the callers that one service refuses are to retry: at the time at which
 * a place is expected to be free for them, after those that were told a time
 * before and are served before them.  The load that this answers: more
 * requests than the replicas can serve for some seconds, whose callers would
 * otherwise return together, or during the shortage, and be refused again.
 * A caller that returns is treated like any other.  The functions read no
 * clock and do no I/O.
 */
#ifndef GS_POLICY_RETURN_SCHEDULE_H
#define GS_POLICY_RETURN_SCHEDULE_H

#include "garnetstack/clock.h"

#include <stdbool.h>

typedef struct return_schedule return_schedule_t;

/** A request whose caller is told when to retry. */
typedef struct
{
  int priority;       /**< 0 (first) to 9 */
  gs_time_t deadline; /**< of the caller */
  gs_time_t run_time; /**< that requests like it take; 0 if not known */
  gs_time_t room_at;  /**< when a place is expected; GS_TIME_NEVER if none is
                         foreseen */
  gs_time_t interval; /**< between a place and the next one */
} return_request_t;

/** @param out receives the schedule; freed with return_schedule_destroy() */
void return_schedule_create (return_schedule_t **out);
void return_schedule_destroy (return_schedule_t *schedule);

/**
 * Set when the caller of a refused request is to retry.
 * @param expected receives whether a place is expected for it then; otherwise
 * the time is the last one that callers honour and that leaves time to be
 * served
 * @return when to retry, after @p now
 */
gs_time_t return_schedule_add (return_schedule_t *schedule, gs_time_t now,
                               const return_request_t *request,
                               bool *expected);

#endif
