/**
 * @file clock.h
 * The one place where time is read.  Points in time are microseconds of a
 * clock that never goes back and counts while the machine is suspended.
 */
#ifndef GARNETSTACK_CLOCK_H
#define GARNETSTACK_CLOCK_H

#include <stdint.h>

/** A point in time, in microseconds; deadlines are stored as this type. */
typedef int64_t gs_time_t;

#define GS_MSEC ((gs_time_t)1000)
#define GS_SEC ((gs_time_t)1000000)
/** A deadline that never passes. */
#define GS_TIME_NEVER INT64_MAX

/** @return the present time of the monotonic clock. */
gs_time_t gs_clock_now (void);

/** @return microseconds since the Unix epoch; for display and for times
    that leave the machine, never for deadlines kept inside it. */
int64_t gs_clock_wall (void);

/** @return microseconds since the Unix epoch as the time of day was at the
    first call, carried on by the monotonic clock: jumps of the time of day
    after that don't count. */
int64_t gs_clock_carried_wall (void);

#endif
