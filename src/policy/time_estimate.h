/**
 * @file time_estimate.h
 * Moving averages of measured times, and of the load that arrives.  Plain
 * data, all zero at first; reads no clock.
 */
#ifndef GS_POLICY_TIME_ESTIMATE_H
#define GS_POLICY_TIME_ESTIMATE_H

#include "garnetstack/clock.h"

#include <stdbool.h>

/** Mean and mean deviation of a time, as RFC 6298 averages round trips. */
typedef struct
{
  double mean;
  double deviation;
  bool known;
} time_estimate_t;

/** Requests that arrive, and the time that each is expected to take. */
typedef struct
{
  double gap;  /* mean time between two arrivals */
  double work; /* mean time that an arrival takes */
  gs_time_t last_at;
  unsigned count; /* up to 2 */
} load_estimate_t;

void time_estimate_record (time_estimate_t *estimate, gs_time_t time);

/** @return a time that most are shorter than; 0 if none is known */
gs_time_t time_estimate_upper (const time_estimate_t *estimate);

/** @param work time that the arrival is expected to take */
void load_estimate_record (load_estimate_t *load, gs_time_t now, double work);

/** @return how many arrivals are expected to be at work at once; falls as soon
    as none arrives */
double load_estimate_at (const load_estimate_t *load, gs_time_t now);

/** @return a load that the true one exceeds by all likelihood: the expected
   one less its standard error */
double load_estimate_lower (const load_estimate_t *load, gs_time_t now);

#endif
