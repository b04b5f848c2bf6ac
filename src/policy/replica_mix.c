#include "policy/replica_mix.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Replicas of a data centre that is reclaimed leave the list within this time
   of each other.  */
#define LOSS_TIME (2 * GS_SEC)
/* Losses that are covered until enough has been observed; at most half of the
   data centres, as each of the others needs a spot replica for each replica
   that must remain.  */
#define LOSSES_COVERED_DEFAULT 2
/* Share of time in which more data centres may be out than are covered.  */
#define RISK_MAX 0.01
/* With 95 % confidence what was not seen in this many independent periods has
   a share below RISK_MAX.  */
#define OBSERVED_PERIODS_MIN (3 / RISK_MAX)

bool
replica_mix_ready_record (replica_mix_history_t *history, gs_time_t now,
                          unsigned data_centre, unsigned ready,
                          unsigned ordered)
{
  replica_mix_outage_t *outage = &history->outages[data_centre];
  bool lost = ready < ordered && 2 * ready < outage->reference;

  if (lost)
    {
      outage->losses++;
      history->series_losses++;
      outage->lost_ready = outage->reference;
      outage->rejects = true;
      outage->is_out = true;
    }
  else if (outage->is_out && !outage->rejects
           && 2 * ready >= MIN (outage->lost_ready, ordered))
    outage->is_out = false;
  if (lost || ready >= outage->reference
      || now >= outage->reference_at + LOSS_TIME)
    {
      outage->reference = ready;
      outage->reference_at = now;
    }
  return lost;
}

void
replica_mix_accepted_record (replica_mix_history_t *history,
                             unsigned data_centre)
{
  history->outages[data_centre].rejects = false;
}

void
replica_mix_rejected_record (replica_mix_history_t *history,
                             unsigned data_centre, unsigned ready,
                             unsigned wanted)
{
  replica_mix_outage_t *outage = &history->outages[data_centre];

  if (outage->is_out || 2 * ready >= wanted)
    return;
  history->series_losses++;
  outage->rejects = true;
  outage->is_out = true;
  outage->lost_ready = wanted;
}

unsigned
replica_mix_out_count (const replica_mix_history_t *history, unsigned count)
{
  unsigned out = 0;

  for (unsigned i = 0; i < count; i++)
    out += history->outages[i].is_out;
  return out;
}

void
replica_mix_time_record (replica_mix_history_t *history, gs_time_t now,
                         unsigned count)
{
  if (replica_mix_out_count (history, count) == 0)
    history->series_losses = 0;
  if (history->observed_at != 0 && now > history->observed_at)
    {
      double elapsed = (double)(now - history->observed_at) / GS_SEC;

      history->observed_sec += elapsed;
      history->out_sec[replica_mix_out_count (history, count)] += elapsed;
      for (unsigned i = 0; i < count; i++)
        if (history->outages[i].is_out)
          history->outages[i].out_sec += elapsed;
    }
  history->observed_at = now;
}

/* Times further apart than an outage lasts are independent.  Before the first
   one nobody knows how long that is.
   @return whether enough has been observed to tell how many there are at
   once  */
static bool
is_observed (const replica_mix_history_t *history, gs_time_t boot_time)
{
  double period = (double)boot_time / GS_SEC;
  double losses = 0;

  for (unsigned i = 0; i < REPLICA_MIX_DATA_CENTRES_MAX; i++)
    {
      const replica_mix_outage_t *outage = &history->outages[i];

      losses += outage->losses;
      period = MAX (period, outage->out_sec / MAX (outage->losses, 1));
    }
  return losses > 0 && history->observed_sec >= OBSERVED_PERIODS_MIN * period;
}

/* @return losses to cover in calm times  */
static unsigned
losses_covered_calm (const replica_mix_history_t *history, unsigned count,
                     gs_time_t boot_time)
{
  double beyond = 0;
  unsigned covered = count;

  if (!is_observed (history, boot_time))
    return MIN (LOSSES_COVERED_DEFAULT, count / 2);
  while (covered > 1
         && beyond + history->out_sec[covered]
                < RISK_MAX * history->observed_sec)
    beyond += history->out_sec[covered--];
  return covered;
}

/* A series may be one loss longer than what is covered in calm times, and each
   loss may be followed by another one.  Losses count until all data centres
   have their replicas back, as more replicas elsewhere would not be ready
   before those.  */
unsigned
replica_mix_losses_to_cover (const replica_mix_history_t *history,
                             unsigned count, gs_time_t boot_time)
{
  unsigned calm = losses_covered_calm (history, count, boot_time);
  unsigned lost = history->series_losses;

  return lost == 0 ? calm : MAX (calm + 1, lost + 1) - lost;
}

double
replica_mix_price_factor (const replica_mix_history_t *history,
                          unsigned data_centre, gs_time_t boot_time)
{
  if (!is_observed (history, boot_time))
    return 1;
  return 1
         + history->outages[data_centre].losses / history->observed_sec
               * (double)boot_time / GS_SEC;
}

/* Fills data centres in the order of their prices, each up to a bound.
   @param order indices of data centres by rising price
   @param bound bound on each data centre, besides its own
   @param sum replicas to reach
   @return replicas that did not fit */
static double
fill (const replica_mix_data_centre_t *data_centres, const unsigned *order,
      unsigned count, unsigned bound, double sum, unsigned *spot)
{
  for (unsigned i = 0; i < count; i++)
    {
      unsigned room = MIN (data_centres[i].max, bound);

      spot[i] = MAX (spot[i], MIN (data_centres[i].min, room));
      sum -= spot[i];
    }
  for (unsigned i = 0; i < count && sum > 0; i++)
    {
      unsigned room = MIN (data_centres[order[i]].max, bound);
      unsigned added = room > spot[order[i]]
                           ? MIN (room - spot[order[i]], (unsigned)ceil (sum))
                           : 0;

      spot[order[i]] += added;
      sum -= added;
    }
  return MAX (sum, 0);
}

static void
sort_by_price (const replica_mix_data_centre_t *data_centres, unsigned count,
               unsigned *order)
{
  for (unsigned i = 0; i < count; i++)
    {
      unsigned j = i;

      for (; j > 0 && data_centres[order[j - 1]].price > data_centres[i].price;
           j--)
        order[j] = order[j - 1];
      order[j] = i;
    }
}

/* The sum without the largest values, as many as there are losses, is the
   maximum over the bound of the sum of what lies below the bound, less the
   bound times the losses.  So the cheapest plan for each bound is found by
   filling up to it, and the best of these is the cheapest of all.  */
unsigned
replica_mix_plan (const replica_mix_goal_t *goal,
                  const replica_mix_data_centre_t *data_centres,
                  unsigned count, unsigned *spot)
{
  unsigned order[REPLICA_MIX_DATA_CENTRES_MAX];
  unsigned trial[REPLICA_MIX_DATA_CENTRES_MAX];
  unsigned bound_max = 0;
  unsigned on_demand = 0;
  double cost_min = INFINITY;

  if (count == 0)
    return 0;
  sort_by_price (data_centres, count, order);
  for (unsigned i = 0; i < count; i++)
    bound_max = MAX (bound_max, data_centres[i].max);
  bound_max = MIN (bound_max, (unsigned)ceil (MAX (goal->remaining, 1)));
  for (unsigned bound = 0; bound <= bound_max; bound++)
    {
      double missing;
      double cost;

      memset (trial, 0, sizeof trial);
      missing = ceil (fill (data_centres, order, count, bound,
                            goal->remaining + (double)bound * goal->losses,
                            trial));
      missing += ceil (fill (data_centres, order, count, UINT_MAX,
                             goal->total - missing, trial));
      cost = missing * data_centres[order[0]].price;
      for (unsigned i = 0; i < count; i++)
        cost += trial[i] * data_centres[i].price * goal->spot_price;
      if (cost < cost_min - 1e-9)
        {
          cost_min = cost;
          on_demand = (unsigned)missing;
          memcpy (spot, trial, count * sizeof *spot);
        }
    }
  return on_demand;
}
