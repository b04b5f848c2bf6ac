#include "garnetstack/admission.h"

#include <glib.h>

#define RETRY_DELAY_BASE (20 * GS_MSEC)
#define RETRY_DOUBLINGS_MAX 5

static void
refill_credit (gs_retry_budget_t *budget, gs_time_t now)
{
  double seconds = budget->refilled_at == 0
                       ? 0
                       : (double)(now - budget->refilled_at) / GS_SEC;

  budget->credit = MIN (budget->credit + seconds * GS_RETRY_CREDIT_PER_SEC,
                        GS_RETRY_CREDIT_MAX);
  budget->refilled_at = now;
}

void
gs_retry_budget_add (gs_retry_budget_t *budget, gs_time_t now)
{
  refill_credit (budget, now);
  budget->credit = MIN (budget->credit + GS_RETRY_CREDIT_PER_ATTEMPT,
                        GS_RETRY_CREDIT_MAX);
}

bool
gs_retry_budget_take (gs_retry_budget_t *budget, gs_time_t now)
{
  refill_credit (budget, now);
  if (budget->credit < 1)
    return false;
  budget->credit -= 1;
  return true;
}

gs_time_t
gs_retry_time (gs_rng_t *rng, gs_time_t now, uint32_t attempt,
               gs_time_t deadline)
{
  uint32_t doublings = MIN (attempt, RETRY_DOUBLINGS_MAX);
  gs_time_t delay_max = RETRY_DELAY_BASE << doublings;
  gs_time_t retry_at
      = now + delay_max / 2
        + (gs_time_t)gs_rng_below (rng, (uint64_t)delay_max / 2 + 1);

  return retry_at < deadline ? retry_at : GS_TIME_NEVER;
}
