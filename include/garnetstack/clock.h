/**
 * @file clock.h
 * Clocks.  Code reads the time through these functions only, except where a
 * system call needs another clock.  Points in time are in microseconds of
 * CLOCK_BOOTTIME, which never goes back and continues while the system is
 * suspended.
 */
#ifndef GARNETSTACK_CLOCK_H
#define GARNETSTACK_CLOCK_H

#include <stdint.h>

/** A point in time or a duration, in microseconds. */
typedef int64_t gs_time_t;

#define GS_MSEC ((gs_time_t)1000)
#define GS_SEC ((gs_time_t)1000000)
/** A deadline that never passes. */
#define GS_TIME_NEVER INT64_MAX

/** @return the current time of the monotonic clock. */
gs_time_t gs_clock_now (void);

/** @return microseconds since the Unix epoch by the system's wall clock, which
    can jump; for display and for times sent to other systems, never for local
    deadlines. */
int64_t gs_clock_wall (void);

/** @return microseconds since the Unix epoch: the wall clock at the first call
    of this function plus the monotonic time since then.  Later jumps of the
    wall clock have no effect. */
int64_t gs_clock_monotonic_wall (void);

#endif
