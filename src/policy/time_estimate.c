#include "policy/time_estimate.h"

#include <glib.h>
#include <math.h>

/* Weights of the newest time in its mean and deviation, those of RFC 6298.  */
#define MEAN_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25

void
time_estimate_record (time_estimate_t *estimate, gs_time_t time)
{
  double difference = (double)time - estimate->mean;

  if (!estimate->known)
    {
      *estimate = (time_estimate_t){ (double)time, (double)time / 2, true };
      return;
    }
  estimate->deviation
      += DEVIATION_WEIGHT * (fabs (difference) - estimate->deviation);
  estimate->mean += MEAN_WEIGHT * difference;
}

gs_time_t
time_estimate_upper (const time_estimate_t *estimate)
{
  return (gs_time_t)(estimate->mean + estimate->deviation);
}

void
load_estimate_record (load_estimate_t *load, gs_time_t now, double work)
{
  double gap = (double)(now - load->last_at);

  if (load->count == 0)
    load->work = work;
  else if (load->count == 1)
    load->gap = gap;
  else
    load->gap += MEAN_WEIGHT * (gap - load->gap);
  load->work += MEAN_WEIGHT * (work - load->work);
  load->last_at = now;
  load->count = MIN (load->count + 1, 2);
}

double
load_estimate_at (const load_estimate_t *load, gs_time_t now)
{
  /* A gap that is already longer than the mean says that fewer arrive.  */
  double gap = MAX (load->gap, (double)(now - load->last_at));

  return load->count < 2 ? 0 : load->work / MAX (gap, 1);
}

double
load_estimate_lower (const load_estimate_t *load, gs_time_t now)
{
  /* Of a moving average of independent gaps.  */
  double error = sqrt (MEAN_WEIGHT / (2 - MEAN_WEIGHT));

  return (1 - error) * load_estimate_at (load, now);
}
