/* The plan of the scaler where the price of spot replicas is known.  */

#include "policy/scaler_private.h"

#include <glib.h>
#include <math.h>

/* Ratio of the forecast need that remains after the losses that are covered.
   Below SHORTAGE_NEED_RATIO requests are rejected; the rest is for a burst of
   1.28 times the forecast that meets these losses.  */
#define COVERED_NEED_RATIO 0.9
/* Once a series has begun, that is from its second loss on, the whole need
   remains: it lasts for seconds only, and requests that wait meanwhile are
   late.  */
#define SERIES_NEED_RATIO 1.0
/* The forecast covers the start of an ordered replica, and another one that
   would be paid for if a replica were released now and ordered again.  */
#define FORECAST_BOOT_TIMES 2
/* An ordered replica is listed as ready within this time of its start.  */
#define SHORTAGE_SETTLE_TIME GS_SEC
/* The first needs of a load are too low, as rates are smoothed; nothing is
   released on account of them for this many boot times.  */
#define LOAD_SETTLE_BOOT_TIMES 2

static gs_time_t
load_settled_at (const service_plan_t *plan, gs_time_t boot_time)
{
  return plan->load_since + LOAD_SETTLE_BOOT_TIMES * boot_time;
}

static bool
is_load_settled (const service_plan_t *plan, gs_time_t now,
                 gs_time_t boot_time)
{
  return plan->load_since != 0 && now >= load_settled_at (plan, boot_time);
}

static bool
is_series (const service_plan_t *plan)
{
  return replica_mix_out_count (&plan->history, plan->data_centre_count)
         >= SERIES_LOST_MIN;
}

static void
record_losses (service_plan_t *plan, gs_time_t now)
{
  for (unsigned i = 0; i < plan->data_centre_count; i++)
    {
      data_centre_state_t *data_centre = &plan->data_centres[i];
      order_state_t *orders = &data_centre->orders[1];

      if (replica_mix_ready_record (&plan->history, now, i,
                                    data_centre->ready[1],
                                    data_centre->spot_wanted))
        {
          /* The last order is void, so it is repeated at once.  */
          orders->valid = false;
          orders->retry_at = now;
        }
    }
  replica_mix_time_record (&plan->history, now, plan->data_centre_count);
}

static bool
is_without_spot (const service_plan_t *plan, unsigned index, gs_time_t now)
{
  return plan->history.outages[index].rejects
         || scaler_spot_is_unavailable (&plan->data_centres[index], now);
}

/* Sets the rows of the mix.  @return whether a data centre can't provide spot
   replicas and has fewer than it should */
static bool
rows_set (const service_plan_t *plan, gs_time_t now,
          const gs_scale_limits_t *limits, bool all_available,
          replica_mix_data_centre_t *rows)
{
  bool without = false;

  for (unsigned i = 0; i < plan->data_centre_count; i++)
    {
      const data_centre_state_t *data_centre = &plan->data_centres[i];
      unsigned room = limits->replicas_max
                      - MIN (limits->replicas_max, data_centre->ready[0]);

      rows[i] = (replica_mix_data_centre_t){
        .price
        = MAX (data_centre->price, 1e-6)
          * replica_mix_price_factor (&plan->history, i, plan->boot_time),
        .min = MIN (MAX (limits->replicas_min, 1), room),
        .max = room,
      };
      if (!all_available && is_without_spot (plan, i, now))
        {
          rows[i].max = MIN (data_centre->ready[1], room);
          rows[i].min = rows[i].max;
          without = true;
        }
    }
  return without;
}

/* A lower number is ordered only when all plans of a boot time were lower, as
   a replica that is started again is paid for before it serves.  */
static void
spot_target_set (data_centre_state_t *data_centre, gs_time_t now,
                 unsigned wanted, gs_time_t boot_time)
{
  if (wanted < data_centre->spot_target)
    {
      data_centre->spot_lower = MAX (data_centre->spot_lower, wanted);
      if (now < data_centre->spot_target_at + boot_time)
        return;
      wanted = data_centre->spot_lower;
    }
  data_centre->spot_target = wanted;
  data_centre->spot_target_at = now;
  data_centre->spot_lower = 0;
}

/* Plans the spot replicas of each data centre.  Where none are available the
   number is the one of a plan without outages, so that orders go on and find
   out when they are available again.
   @return on-demand replicas that are part of the cheapest plan; there are
   some in calm times if a spot replica costs nearly as much as an on-demand
   one */
static unsigned
spot_plan (service_plan_t *plan, gs_time_t now,
           const gs_scale_limits_t *limits, const replica_mix_goal_t *goal,
           bool may_release)
{
  replica_mix_data_centre_t rows[SCALER_DATA_CENTRES_MAX];
  unsigned spot[SCALER_DATA_CENTRES_MAX];
  unsigned usual[SCALER_DATA_CENTRES_MAX];
  unsigned on_demand;
  bool without;

  rows_set (plan, now, limits, true, rows);
  replica_mix_plan (goal, rows, plan->data_centre_count, usual);
  without = rows_set (plan, now, limits, false, rows);
  on_demand = replica_mix_plan (goal, rows, plan->data_centre_count, spot);
  plan->spot_planned = 0;
  for (unsigned i = 0; i < plan->data_centre_count; i++)
    {
      data_centre_state_t *data_centre = &plan->data_centres[i];
      unsigned wanted
          = is_without_spot (plan, i, now) ? MAX (usual[i], 1) : spot[i];

      if (without)
        wanted = MAX (wanted, MIN (data_centre->ready[1], rows[i].max));
      spot_target_set (data_centre, now, wanted, limits->boot_time);
      data_centre->spot_wanted = MAX (data_centre->spot_target,
                                      may_release ? 0 : data_centre->ready[1]);
      data_centre->spot_wanted
          = MIN (data_centre->spot_wanted,
                 limits->replicas_max
                     - MIN (limits->replicas_max, data_centre->ready[0]));
      plan->spot_planned += wanted;
    }
  return on_demand;
}

/* @return on-demand replicas that must be there when the next data centre is
   lost, as the spot replicas that can be had would not be enough */
static unsigned
on_demand_for_losses (const service_plan_t *plan, gs_time_t now,
                      const gs_scale_limits_t *limits,
                      const replica_mix_goal_t *goal)
{
  replica_mix_data_centre_t rows[SCALER_DATA_CENTRES_MAX];
  unsigned spot[SCALER_DATA_CENTRES_MAX];

  rows_set (plan, now, limits, false, rows);
  return replica_mix_plan (goal, rows, plan->data_centre_count, spot);
}

/* Orders for spot replicas may be accepted and have no effect.
   @return on-demand replicas that are missing although ordered replicas have
   had the time to start */
static unsigned
on_demand_for_shortage (service_plan_t *plan, gs_time_t now,
                        const gs_scale_limits_t *limits, double covered)
{
  unsigned spot = 0;
  unsigned on_demand = 0;

  for (unsigned i = 0; i < plan->data_centre_count; i++)
    {
      on_demand += plan->data_centres[i].ready[0];
      spot += plan->data_centres[i].ready[1];
    }
  if (spot + on_demand >= covered)
    {
      plan->short_since = 0;
      return 0;
    }
  if (plan->short_since == 0)
    plan->short_since = now;
  return now >= plan->short_since + limits->boot_time + SHORTAGE_SETTLE_TIME
             ? (unsigned)ceil (covered - spot)
             : 0;
}

/* @return on-demand replicas that exist or have been ordered */
static unsigned
count_on_demand (const service_plan_t *plan)
{
  unsigned count = 0;

  for (unsigned i = 0; i < plan->data_centre_count; i++)
    {
      const data_centre_state_t *data_centre = &plan->data_centres[i];
      const order_state_t *orders = &data_centre->orders[0];

      count += orders->valid ? MAX (orders->ordered, data_centre->ready[0])
                             : data_centre->ready[0];
    }
  return count;
}

/* @return on-demand replicas that stay for what ready spot replicas lack.  One
   is released for each spot replica that becomes ready.  */
static unsigned
on_demand_kept (service_plan_t *plan, gs_time_t now,
                const gs_scale_limits_t *limits, double need, double covered)
{
  unsigned ready = 0;
  unsigned most = 0;
  double missing;

  for (unsigned i = 0; i < plan->data_centre_count; i++)
    {
      ready += plan->data_centres[i].ready[1];
      most = MAX (most, plan->data_centres[i].ready[1]);
    }
  if (!plan->initial_released)
    {
      double target = SPOT_READY_RATIO_MIN
                      * MIN (plan->spot_planned, plan->initial_replicas);

      missing = plan->initial_replicas * (1 - ready / MAX (target, 1));
      if (is_load_settled (plan, now, limits->boot_time))
        missing = MIN (missing, MIN (target, need) - ready);
      plan->initial_released = plan->load_since != 0 && missing <= 0;
    }
  else
    missing
        = covered - ready
          + (replica_mix_out_count (&plan->history, plan->data_centre_count)
                     >= SERIES_LOST_MIN
                 ? most
                 : 0);
  return missing > 0 ? MIN ((unsigned)ceil (missing), count_on_demand (plan))
                     : 0;
}

/* Distributes the on-demand replicas: those that exist stay where they are,
   the cheapest first, and new ones go to the data centres in turn.  */
static void
on_demand_distribute (service_plan_t *plan, const gs_scale_limits_t *limits,
                      unsigned total)
{
  data_centre_state_t *by_price[SCALER_DATA_CENTRES_MAX];
  bool distributed = true;

  scaler_data_centres_sort (plan, by_price);
  for (unsigned i = 0; i < plan->data_centre_count; i++)
    {
      const order_state_t *orders = &by_price[i]->orders[0];
      unsigned present
          = MAX (by_price[i]->ready[0], orders->valid ? orders->ordered : 0);

      by_price[i]->on_demand_wanted = MIN (present, total);
      total -= by_price[i]->on_demand_wanted;
    }
  while (total > 0 && distributed)
    {
      distributed = false;
      for (unsigned i = 0; i < plan->data_centre_count && total > 0; i++)
        if (by_price[i]->on_demand_wanted
                + MAX (by_price[i]->ready[1], by_price[i]->spot_wanted)
            < limits->replicas_max)
          {
            by_price[i]->on_demand_wanted++;
            total--;
            distributed = true;
          }
    }
}

void
scaler_mix_plan (service_plan_t *plan, gs_time_t now,
                 const gs_scale_limits_t *limits, const scaler_load_t *load,
                 double need)
{
  gs_time_t boot_time = plan->boot_time;
  replica_mix_goal_t goal = { .spot_price = limits->spot_price };
  unsigned kept;
  unsigned ordered;
  double peak = need;
  double soon = need;

  record_losses (plan, now);
  if (load->has_requests)
    {
      if (plan->load_since == 0)
        plan->load_since = now;
      /* The rise of the smoothed rates would look like a trend.  */
      if (now >= plan->load_since + boot_time)
        demand_forecast_record (&plan->forecast, now, need);
      soon = MAX (need,
                  demand_forecast_peak (&plan->forecast, now, now + boot_time,
                                        SHORTAGE_SLOTS * plan->need_slot));
      peak = MAX (need,
                  demand_forecast_peak (&plan->forecast, now,
                                        now + FORECAST_BOOT_TIMES * boot_time,
                                        NEED_SLOTS * plan->need_slot));
      goal.remaining
          = peak * (is_series (plan) ? SERIES_NEED_RATIO : COVERED_NEED_RATIO);
      goal.total = peak;
    }
  else
    {
      goal.remaining = plan->initial_replicas / 2.0;
      goal.total = plan->initial_replicas;
    }
  goal.losses = replica_mix_losses_to_cover (
      &plan->history, plan->data_centre_count, boot_time);
  plan->summary = (scaler_mix_summary_t){
    .need = peak,
    .covered = goal.remaining,
    .losses = goal.losses,
    .out = replica_mix_out_count (&plan->history, plan->data_centre_count),
    .periodic = demand_forecast_is_periodic (&plan->forecast),
  };
  ordered = spot_plan (plan, now, limits, &goal,
                       is_load_settled (plan, now, boot_time));
  kept = on_demand_kept (plan, now, limits, soon, SHORTAGE_NEED_RATIO * soon);
  if (load->has_requests)
    {
      goal.remaining = SHORTAGE_NEED_RATIO * soon;
      goal.total = goal.remaining;
      if (plan->summary.out > 0)
        ordered = on_demand_for_losses (plan, now, limits, &goal);
      ordered = MAX (
          ordered, on_demand_for_shortage (plan, now, limits, goal.remaining));
    }
  else
    ordered = 0;
  on_demand_distribute (plan, limits, MAX (kept, ordered));
}

bool
scaler_mix_summary (scaler_t *scaler, const char *service,
                    scaler_mix_summary_t *out)
{
  service_plan_t *plan = g_hash_table_lookup (scaler->plans, service);
  scaler_mix_summary_t before;

  if (plan == NULL || plan->summary.need <= 0)
    return false;
  before = plan->reported;
  plan->reported = plan->summary;
  *out = plan->summary;
  return before.need <= 0 || before.losses != out->losses
         || before.out != out->out || before.periodic != out->periodic;
}
