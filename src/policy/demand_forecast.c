#include "policy/demand_forecast.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Periods that are searched, in intervals, and the ratio between two of them.
   A period is fitted once one and a quarter of it have been seen; with less a
   trend looks like a part of a period.  */
#define PERIOD_MIN 16.0
#define PERIOD_RATIO 1.06
#define PERIODS_SEEN_MIN 1.25
/* Share of the variance that a periodic component must explain, else it is not
   used.  A single burst is explained to three quarters.  */
#define EXPLAINED_RATIO_MIN 0.85
/* A swing below this share of the level isn't worth a forecast.  */
#define SWING_RATIO_MIN 0.05
/* Intervals whose mean residual shows a burst, and intervals after which half
   of it is assumed to be over.  */
#define RESIDUAL_INTERVALS 2
#define RESIDUAL_HALF_LIFE 20.0
/* Without a periodic component: intervals whose slope is the trend, which is
   assumed to go on for as long, and those of the deviation.  */
#define TREND_INTERVALS 8
#define RECENT_INTERVALS 24
/* Standard deviations above the mean that a peak includes; exceeded in 2 % of
   the time.  */
#define PEAK_DEVIATIONS 2.0
/* Intervals between the times at which a peak is looked for.  */
#define PEAK_STEP_INTERVALS 2
/* State that is older than this many intervals says nothing about the present
   level.  */
#define STATE_INTERVALS_MAX (DEMAND_INTERVALS_MAX / 2)
#define STATE_NEED_MAX 1e6

static double
mean_at (const demand_forecast_t *forecast, int64_t interval)
{
  return forecast->means[interval % DEMAND_INTERVALS_MAX];
}

static double
mean_of_all (const demand_forecast_t *forecast)
{
  double sum = 0;

  for (unsigned i = 0; i < forecast->count; i++)
    sum += mean_at (forecast, forecast->newest - i);
  return sum / forecast->count;
}

/* Least squares fit of level + cosine + sine to the differences from the mean
   of all intervals.
   @param fit receives the three coefficients, relative to the newest interval
   @return sum of the squared residuals; INFINITY if the fit is singular */
static double
fit_period (const demand_forecast_t *forecast, double period, double mean,
            double fit[3])
{
  double matrix[3][4] = { { 0 } };
  double sums[3] = { 0 };
  double residuals = 0;
  double step[2] = { cos (2 * G_PI / period), -sin (2 * G_PI / period) };
  double row[3] = { 1, 1, 0 };

  for (unsigned i = 0; i < forecast->count; i++)
    {
      double value = mean_at (forecast, forecast->newest - i) - mean;
      double cosine = row[1] * step[0] - row[2] * step[1];

      for (int j = 0; j < 3; j++)
        {
          for (int k = 0; k < 3; k++)
            matrix[j][k] += row[j] * row[k];
          matrix[j][3] += row[j] * value;
        }
      residuals += value * value;
      row[2] = row[1] * step[1] + row[2] * step[0];
      row[1] = cosine;
    }
  for (int j = 0; j < 3; j++)
    sums[j] = matrix[j][3];
  for (int j = 0; j < 3; j++)
    {
      if (fabs (matrix[j][j]) < 1e-6)
        return INFINITY;
      for (int k = 0; k < 3; k++)
        if (k != j)
          {
            double ratio = matrix[k][j] / matrix[j][j];

            for (int l = j; l < 4; l++)
              matrix[k][l] -= ratio * matrix[j][l];
          }
    }
  for (int j = 0; j < 3; j++)
    {
      fit[j] = matrix[j][3] / matrix[j][j];
      residuals -= fit[j] * sums[j];
    }
  return MAX (residuals, 0);
}

static double
variance_sum (const demand_forecast_t *forecast, double mean)
{
  double squares = 0;

  for (unsigned i = 0; i < forecast->count; i++)
    {
      double value = mean_at (forecast, forecast->newest - i) - mean;

      squares += value * value;
    }
  return squares;
}

/* Finds the period that explains most of the variance.  */
static void
update_fit (demand_forecast_t *forecast)
{
  double mean = mean_of_all (forecast);
  double total = variance_sum (forecast, mean);
  double best = INFINITY;

  forecast->period = 0;
  forecast->fitted_at = forecast->newest;
  for (double period = PERIOD_MIN;
       period * PERIODS_SEEN_MIN <= forecast->count; period *= PERIOD_RATIO)
    {
      double fit[3];
      double residuals = fit_period (forecast, period, mean, fit);

      if (residuals >= best || residuals > (1 - EXPLAINED_RATIO_MIN) * total
          || hypot (fit[1], fit[2]) < SWING_RATIO_MIN * mean)
        continue;
      best = residuals;
      forecast->period = period;
      forecast->level = mean + fit[0];
      forecast->cosine = fit[1];
      forecast->sine = fit[2];
      forecast->fit_deviation = sqrt (residuals / forecast->count);
    }
}

void
demand_forecast_init (demand_forecast_t *forecast, gs_time_t boot_time)
{
  gs_time_t msec = boot_time / DEMAND_INTERVALS_PER_BOOT / GS_MSEC;

  *forecast = (demand_forecast_t){ .interval = MAX (msec, 1) * GS_MSEC };
}

void
demand_forecast_record (demand_forecast_t *forecast, gs_time_t now,
                        double need)
{
  int64_t interval = now / forecast->interval;

  forecast->last = need;
  if (forecast->count == 0
      || interval - forecast->newest >= DEMAND_INTERVALS_MAX)
    {
      *forecast = (demand_forecast_t){ .interval = forecast->interval,
                                       .count = 1,
                                       .newest = interval,
                                       .last = need };
      forecast->means[interval % DEMAND_INTERVALS_MAX] = need;
      forecast->samples = 1;
      return;
    }
  if (interval < forecast->newest)
    return;
  if (interval > forecast->newest)
    {
      double last = mean_at (forecast, forecast->newest);

      if (forecast->newest >= forecast->fitted_at + 2)
        update_fit (forecast);
      for (int64_t i = forecast->newest + 1; i < interval; i++)
        forecast->means[i % DEMAND_INTERVALS_MAX] = last;
      forecast->count
          = (unsigned)MIN (forecast->count + (interval - forecast->newest),
                           DEMAND_INTERVALS_MAX);
      forecast->newest = interval;
      forecast->samples = 0;
    }
  forecast->samples++;
  if (forecast->samples == 1)
    forecast->means[interval % DEMAND_INTERVALS_MAX] = need;
  else
    forecast->means[interval % DEMAND_INTERVALS_MAX]
        += (need - mean_at (forecast, interval)) / forecast->samples;
}

bool
demand_forecast_is_periodic (const demand_forecast_t *forecast)
{
  return forecast->period > 0;
}

static double
fit_at (const demand_forecast_t *forecast, double interval)
{
  double angle
      = 2 * G_PI * (interval - (double)forecast->fitted_at) / forecast->period;

  return forecast->level + forecast->cosine * cos (angle)
         + forecast->sine * sin (angle);
}

/* @return mean residual of the newest intervals; more than the usual deviation
   if a burst has begun or ended */
static double
recent_residual (const demand_forecast_t *forecast)
{
  unsigned count = MIN (RESIDUAL_INTERVALS, forecast->count);
  double sum = 0;

  for (unsigned i = 0; i < count; i++)
    sum += mean_at (forecast, forecast->newest - i)
           - fit_at (forecast, (double)(forecast->newest - i));
  return sum / count;
}

/* @return change of the need in an interval, from the first and second half of
   the last intervals */
static double
recent_trend (const demand_forecast_t *forecast)
{
  double change = 0;

  if (forecast->count < TREND_INTERVALS)
    return 0;
  for (int i = 0; i < TREND_INTERVALS; i++)
    change += mean_at (forecast, forecast->newest - i)
              * (i < TREND_INTERVALS / 2 ? 1 : -1);
  return change / (TREND_INTERVALS / 2.0) / (TREND_INTERVALS / 2.0);
}

static double
recent_deviation (const demand_forecast_t *forecast)
{
  unsigned count = MIN (RECENT_INTERVALS, forecast->count);
  double squares = 0;

  for (unsigned i = 1; i < count; i++)
    {
      double change = mean_at (forecast, forecast->newest - i + 1)
                      - mean_at (forecast, forecast->newest - i);

      squares += change * change;
    }
  return count > 1 ? sqrt (squares / (count - 1)) : 0;
}

double
demand_forecast_at (const demand_forecast_t *forecast, gs_time_t at,
                    double *deviation)
{
  double interval = (double)at / (double)forecast->interval;
  double ahead = MAX (interval - (double)forecast->newest, 0);
  double mean;

  if (deviation != NULL)
    *deviation = demand_forecast_is_periodic (forecast)
                     ? forecast->fit_deviation
                     : recent_deviation (forecast);
  if (forecast->count == 0)
    return 0;
  if (demand_forecast_is_periodic (forecast))
    mean = fit_at (forecast, interval)
           + recent_residual (forecast) * exp2 (-ahead / RESIDUAL_HALF_LIFE);
  else
    mean = mean_at (forecast, forecast->newest)
           + recent_trend (forecast) * MIN (ahead, TREND_INTERVALS);
  return MAX (mean, 0);
}

double
demand_forecast_peak (const demand_forecast_t *forecast, gs_time_t from,
                      gs_time_t to, gs_time_t recent)
{
  double peak = forecast->last;

  if (!demand_forecast_is_periodic (forecast))
    for (unsigned i = 0;
         i < forecast->count && i < recent / forecast->interval; i++)
      peak = MAX (peak, mean_at (forecast, forecast->newest - i));
  for (gs_time_t at = from; at <= to;
       at += PEAK_STEP_INTERVALS * forecast->interval)
    {
      double deviation;
      double mean = demand_forecast_at (forecast, at, &deviation);

      peak = MAX (peak, demand_forecast_is_periodic (forecast)
                            ? mean + PEAK_DEVIATIONS * deviation
                            : mean);
    }
  return peak;
}

json_t *
demand_forecast_encode (const demand_forecast_t *forecast,
                        gs_time_t wall_shift)
{
  json_t *means = json_array ();

  for (unsigned i = forecast->count; i > 0; i--)
    json_array_append_new (
        means, json_integer ((json_int_t)lround (
                   10 * mean_at (forecast, forecast->newest - i + 1))));
  return json_pack (
      "{s:I,s:I,s:o}", "interval_ms",
      (json_int_t)(forecast->interval / GS_MSEC), "newest_ms",
      (json_int_t)((forecast->newest * forecast->interval + wall_shift)
                   / GS_MSEC),
      "need_tenths", means);
}

gs_status_t
demand_forecast_decode (demand_forecast_t *forecast, const json_t *value,
                        gs_time_t now, gs_time_t wall_shift)
{
  const json_t *means = json_object_get (value, "need_tenths");
  const json_t *newest = json_object_get (value, "newest_ms");
  const json_t *interval = json_object_get (value, "interval_ms");
  demand_forecast_t decoded = { .interval = forecast->interval };
  size_t count = json_array_size (means);
  json_int_t newest_ms = json_integer_value (newest);
  gs_time_t at;

  if (!json_is_integer (newest) || newest_ms < 0
      || newest_ms > INT64_MAX / GS_MSEC || count == 0
      || count > DEMAND_INTERVALS_MAX)
    return gs_error_set (GS_EINVAL, "a forecast is malformed");
  at = newest_ms * GS_MSEC - wall_shift;
  if (json_integer_value (interval) * GS_MSEC != forecast->interval)
    return gs_error_set (GS_EINVAL, "a forecast has another interval");
  if (at > now || at < now - STATE_INTERVALS_MAX * forecast->interval
      || at < 0)
    return gs_error_set (GS_EINVAL, "a forecast is too old");
  decoded.newest = at / forecast->interval;
  decoded.count = (unsigned)MIN ((int64_t)count, decoded.newest);
  for (unsigned i = 0; i < decoded.count; i++)
    {
      const json_t *mean = json_array_get (means, count - 1 - i);
      double need = json_number_value (mean) / 10;

      if (!json_is_number (mean) || need < 0 || need > STATE_NEED_MAX)
        return gs_error_set (GS_EINVAL, "a forecast has an invalid need");
      decoded.means[(decoded.newest - i) % DEMAND_INTERVALS_MAX] = need;
    }
  decoded.last = mean_at (&decoded, decoded.newest);
  decoded.samples = 1;
  *forecast = decoded;
  return GS_OK;
}
