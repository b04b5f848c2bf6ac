/**
 * @file demand_forecast.h
 * Forecast of the need of one service: its recent level, its trend and, where
 * one is found, a periodic component, with the deviation of the forecast.  The
 * functions read no clock and do no I/O.
 */
#ifndef GS_POLICY_DEMAND_FORECAST_H
#define GS_POLICY_DEMAND_FORECAST_H

#include "garnetstack/clock.h"
#include "garnetstack/status.h"

#include <jansson.h>
#include <stdbool.h>

/** Intervals in the time that a replica takes to start.  The mean need of each
    interval is kept, so what is known of the demand spans 32 start times: a
    swing that is shorter than some of them cannot be followed by orders, and
    one that is much longer needs no forecast. */
#define DEMAND_INTERVALS_PER_BOOT 8
#define DEMAND_INTERVALS_MAX (32 * DEMAND_INTERVALS_PER_BOOT)

/** Initialized with demand_forecast_init(). */
typedef struct
{
  gs_time_t interval; /**< length */
  double
      means[DEMAND_INTERVALS_MAX]; /**< mean need, by interval modulo size */
  unsigned count;                  /**< intervals that are known */
  int64_t newest;                  /**< number of the newest interval */
  unsigned samples;                /**< in the newest interval */
  double last;                     /**< last need recorded */
  double period;                   /**< in intervals; 0 if none was found */
  double level;                    /**< fit at the interval fitted_at */
  double cosine;
  double sine;
  double fit_deviation; /**< of the means from the fit */
  int64_t fitted_at;    /**< newest interval at the last fit; 0 for none */
} demand_forecast_t;

/** @param boot_time that a replica takes to start */
void demand_forecast_init (demand_forecast_t *forecast, gs_time_t boot_time);

/** Record a need, several times in each interval. */
void demand_forecast_record (demand_forecast_t *forecast, gs_time_t now,
                             double need);

/** @return whether a periodic component is in use */
bool demand_forecast_is_periodic (const demand_forecast_t *forecast);

/** Forecast the need at a time.
    @param deviation receives the standard deviation of the forecast; may be
    NULL */
double demand_forecast_at (const demand_forecast_t *forecast, gs_time_t at,
                           double *deviation);

/** @param recent without a periodic component a need of this long ago may come
    back at any time
    @return need that is not exceeded between two times, but for a small
    chance */
double demand_forecast_peak (const demand_forecast_t *forecast, gs_time_t from,
                             gs_time_t to, gs_time_t recent);

/** Encode the state for a later process, whose clock may differ.
    @param wall_shift wall clock time minus the time of the records
    @return a new reference */
json_t *demand_forecast_encode (const demand_forecast_t *forecast,
                                gs_time_t wall_shift);

/** Decode a state; intervals since then count as equal to the last one.
    @return GS_OK, or GS_EINVAL if the value is malformed, in the future or too
    old to be of use; the forecast is then unchanged */
gs_status_t demand_forecast_decode (demand_forecast_t *forecast,
                                    const json_t *value, gs_time_t now,
                                    gs_time_t wall_shift);

#endif
