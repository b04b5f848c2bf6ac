#include "policy/rollout_share.h"

#include "garnetstack/rng.h"

#include <glib.h>

/* Limit of the credit: a node that could not send for a while, for lack of
   requests or of its share, does not send several requests in a row.  */
#define CREDIT_MAX 2.0
/* Above the rounding errors of counts below 2^40 times a share.  */
#define ROUNDING_MARGIN 1e-6

void
rollout_share_init (rollout_share_t *share, double expose_share)
{
  *share = (rollout_share_t){
    .probation_share = CLAMP (expose_share, 0, 1) * ROLLOUT_PROBATION_RATIO,
  };
}

void
rollout_share_seed (rollout_share_t *share, uint64_t seed)
{
  gs_rng_t rng;

  gs_rng_seed (&rng, seed);
  share->credit = gs_rng_unit (&rng);
}

/* Whether one more request for the target stays within the fixed share.  */
static bool
share_allows_request (const rollout_share_t *share)
{
  double allowed = (double)share->requests * share->probation_share;

  return (double)(share->exposed + 1) <= allowed + ROUNDING_MARGIN;
}

static bool
credit_take (rollout_share_t *share, double fraction)
{
  share->credit = MIN (share->credit + CLAMP (fraction, 0, 1), CREDIT_MAX);
  return share->credit + ROUNDING_MARGIN >= 1;
}

bool
rollout_share_take (rollout_share_t *share, rollout_stage_t stage,
                    double fraction)
{
  bool exposed = false;

  share->requests++;
  switch (stage)
    {
    case ROLLOUT_PROBATION:
      exposed = credit_take (share, fraction) && share_allows_request (share);
      break;
    case ROLLOUT_SHIFT:
      exposed = credit_take (share, fraction);
      break;
    case ROLLOUT_DRAINING:
    case ROLLOUT_COMPLETED:
      share->exposed++;
      return true;
    case ROLLOUT_IDLE:
    case ROLLOUT_ROLLED_BACK:
      break;
    }
  if (exposed)
    {
      share->credit = MAX (share->credit - 1, 0);
      share->exposed++;
    }
  return exposed;
}

void
rollout_share_cancel (rollout_share_t *share)
{
  if (share->exposed == 0)
    return;
  share->exposed--;
  share->credit = MIN (share->credit + 1, CREDIT_MAX);
}
