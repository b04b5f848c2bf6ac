#include "policy/scaler.h"

#include "policy/scaler_private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Share of a replica's time that reading prompts may take.  The rest generates
   tokens and is headroom, as prompts arrive in bursts and must not wait for
   each other.  */
#define READ_TIME_RATIO_MAX 0.45
/* Highest factor by which rejections raise the need.  If hardly any request is
   served the load is unknown, so the orders grow step by step.  */
#define DEMAND_RATIO_MAX 3.0
/* Share of the slots that may be taken on average.  */
#define SLOTS_TAKEN_RATIO_MAX 0.6
/* Spot replicas are ordered so that the need is still met when this many data
   centres have lost theirs, and for at most SPOT_NEED_RATIO_MAX times the
   need.  What is not lost is capacity for a burst while new replicas start. */
#define LOST_DATA_CENTRES_COVERED 2
#define SPOT_NEED_RATIO_MAX 2.0
/* An order without effect is repeated after the boot time of a replica plus
   this time.  */
#define ORDER_EFFECT_TIMEOUT (2500 * GS_MSEC)
/* Shortest time between two orders of one kind in one data centre.  */
#define ORDER_INTERVAL_MIN GS_SEC
/* Shortest time from a rejected order to the next.  */
#define ORDER_REJECTED_INTERVAL (2 * GS_SEC)
/* How long a data centre that rejected an order for spot replicas counts as
   unable to provide any: until the next order has been answered.  */
#define SPOT_UNAVAILABLE_TTL (ORDER_REJECTED_INTERVAL + ORDER_INTERVAL_MIN)
void
scaler_create (scaler_t **out)
{
  *out = g_new0 (scaler_t, 1);
  (*out)->plans
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
scaler_destroy (scaler_t *scaler)
{
  if (scaler == NULL)
    return;
  g_hash_table_unref (scaler->plans);
  json_decref (scaler->state);
  g_free (scaler);
}

void
scaler_reset (scaler_t *scaler)
{
  g_hash_table_remove_all (scaler->plans);
  json_decref (scaler->state);
  scaler->state = NULL;
}

data_centre_state_t *
scaler_data_centre_find (service_plan_t *plan, const char *name)
{
  for (unsigned i = 0; i < plan->data_centre_count; i++)
    if (strcmp (plan->data_centres[i].name, name) == 0)
      return &plan->data_centres[i];
  return NULL;
}

/* Adds the data centres that have a price.  */
static void
data_centres_set (service_plan_t *plan, const gs_scale_limits_t *limits)
{
  GHashTableIter iter;
  gpointer name;
  gpointer price;

  g_hash_table_iter_init (&iter, limits->data_centre_prices);
  while (g_hash_table_iter_next (&iter, &name, &price))
    {
      data_centre_state_t *data_centre = scaler_data_centre_find (plan, name);

      if (data_centre == NULL
          && plan->data_centre_count < SCALER_DATA_CENTRES_MAX)
        {
          data_centre = &plan->data_centres[plan->data_centre_count++];
          g_strlcpy (data_centre->name, name, sizeof data_centre->name);
        }
      if (data_centre != NULL)
        data_centre->price = *(const double *)price;
    }
}

static unsigned
count_ready (service_plan_t *plan, const char *service,
             const gs_replica_list_t *replicas)
{
  unsigned total = 0;

  for (unsigned i = 0; i < plan->data_centre_count; i++)
    memset (plan->data_centres[i].ready, 0,
            sizeof plan->data_centres[i].ready);
  for (unsigned i = 0; i < replicas->count; i++)
    {
      const gs_replica_t *replica = &replicas->rows[i];
      data_centre_state_t *data_centre;

      if (strcmp (replica->service, service) != 0
          || replica->state != GS_REPLICA_READY)
        continue;
      data_centre = scaler_data_centre_find (plan, replica->data_centre);
      if (data_centre != NULL)
        data_centre->ready[replica->spot]++;
      total++;
    }
  return total;
}

/* @return demand per served request.  Rejected requests are never sent, so
   without this factor an overload would look like a small load.  Nothing tells
   which of them were repeats, and callers that do not return need a replica as
   much as those that do.  */
static double
demand_per_served (const scaler_load_t *load)
{
  double served = load->requests_per_sec - load->rejected_per_sec;

  if (load->rejected_per_sec <= 0)
    return 1;
  return served > 0 ? MIN (load->requests_per_sec / served, DEMAND_RATIO_MAX)
                    : DEMAND_RATIO_MAX;
}

/* @return replicas that the present demand needs, at least one  */
static double
need_compute (const gs_path_service_t *service, const scaler_load_t *load)
{
  double reading = load->uncached_tokens_per_sec
                   / (MAX (load->read_speed, 1.0) * 1000.0)
                   / READ_TIME_RATIO_MAX;
  double running = (load->in_flight + load->queued) / MAX (service->slots, 1)
                   / SLOTS_TAKEN_RATIO_MAX;

  return MAX (MAX (reading, running), 1.0) * demand_per_served (load);
}

/* @return spot replicas that are ordered for each replica that is needed  */
static double
spot_need_ratio (const service_plan_t *plan)
{
  double remaining
      = (double)plan->data_centre_count - LOST_DATA_CENTRES_COVERED;

  if (remaining < 1)
    return SPOT_NEED_RATIO_MAX;
  return MIN (plan->data_centre_count / remaining, SPOT_NEED_RATIO_MAX);
}

/* Records the need.  Without a history the present replicas are taken as the
   need, so that a new holder of the duty releases none that the load may
   need.  */
static void
need_record (service_plan_t *plan, gs_time_t now, double need, unsigned ready)
{
  int64_t slot = now / plan->need_slot;

  if (!plan->has_needs)
    {
      for (int i = 0; i < NEED_SLOTS; i++)
        plan->needs[i] = ready / spot_need_ratio (plan);
      plan->has_needs = true;
      plan->slot = slot;
    }
  for (int64_t i = MAX (plan->slot + 1, slot - NEED_SLOTS + 1); i <= slot; i++)
    plan->needs[i % NEED_SLOTS] = 0;
  plan->slot = slot;
  plan->needs[slot % NEED_SLOTS] = MAX (plan->needs[slot % NEED_SLOTS], need);
}

bool
scaler_spot_is_unavailable (const data_centre_state_t *data_centre,
                            gs_time_t now)
{
  return now < data_centre->spot_unavailable_until;
}

static double
need_max (const service_plan_t *plan, int slots)
{
  double highest = 0;

  for (int i = 0; i < slots; i++)
    highest = MAX (highest, plan->needs[(plan->slot - i) % NEED_SLOTS]);
  return highest;
}

/* While no spot replicas are available, reclaims follow each other faster than
   a replica starts.  @return spot replicas that the next reclaim may take if
   such a series has begun, else 0  */
static unsigned
next_loss_estimate (const service_plan_t *plan, gs_time_t now)
{
  unsigned lost_data_centres = 0;
  unsigned most = 0;

  for (unsigned i = 0; i < plan->data_centre_count; i++)
    {
      lost_data_centres
          += plan->data_centres[i].ready[1] == 0
             && scaler_spot_is_unavailable (&plan->data_centres[i], now);
      most = MAX (most, plan->data_centres[i].ready[1]);
    }
  return lost_data_centres >= SERIES_LOST_MIN ? most : 0;
}

/* Sets how many on-demand replicas fill in.  They replace missing spot
   replicas because they are available when spot replicas are not.  */
static void
fill_in_update (service_plan_t *plan, gs_time_t now, unsigned spot_ready)
{
  double remaining = spot_ready - next_loss_estimate (plan, now);
  double missing
      = need_max (plan, SHORTAGE_SLOTS) * SHORTAGE_NEED_RATIO - remaining;

  if (missing > 0 && (unsigned)ceil (missing) >= plan->fill_in)
    {
      plan->fill_in = (unsigned)ceil (missing);
      plan->fill_in_until = now + NEED_BOOT_TIMES * plan->boot_time;
    }
  else if (now >= plan->fill_in_until)
    plan->fill_in = missing > 0 ? (unsigned)ceil (missing) : 0;
}

/* @return spot replicas wanted in a data centre.  Replicas that some data
   centres can't provide are ordered in the others, and meanwhile none are
   released.
   @param total spot replicas wanted in all data centres
   @param spare ready replicas beyond the total that all data centres together
   may release; lowered by the number that this one releases  */
static unsigned
spot_wanted (const service_plan_t *plan,
             const data_centre_state_t *data_centre, gs_time_t now,
             const gs_scale_limits_t *limits, double total, unsigned *spare)
{
  unsigned available_count = 0;
  unsigned room = limits->replicas_max
                  - MIN (limits->replicas_max, data_centre->ready[0]);
  unsigned wanted;
  double unavailable_ready = 0;

  for (unsigned i = 0; i < plan->data_centre_count; i++)
    if (scaler_spot_is_unavailable (&plan->data_centres[i], now))
      unavailable_ready += plan->data_centres[i].ready[1];
    else
      available_count++;
  if (scaler_spot_is_unavailable (data_centre, now))
    wanted = (unsigned)ceil (total / plan->data_centre_count);
  else
    wanted = (unsigned)ceil (MAX (total - unavailable_ready, 0)
                             / available_count);
  if (available_count < plan->data_centre_count)
    wanted = MAX (wanted, data_centre->ready[1]);
  if (wanted < data_centre->ready[1])
    {
      unsigned released = MIN (data_centre->ready[1] - wanted, *spare);

      wanted = data_centre->ready[1] - released;
      *spare -= released;
    }
  return MIN (MAX (wanted, MAX (limits->replicas_min, 1)), room);
}

static int
compare_price (gconstpointer a, gconstpointer b)
{
  const data_centre_state_t *left = *(data_centre_state_t *const *)a;
  const data_centre_state_t *right = *(data_centre_state_t *const *)b;

  return left->price < right->price   ? -1
         : left->price > right->price ? 1
                                      : strcmp (left->name, right->name);
}

void
scaler_data_centres_sort (service_plan_t *plan, data_centre_state_t **by_price)
{
  for (unsigned i = 0; i < plan->data_centre_count; i++)
    by_price[i] = &plan->data_centres[i];
  qsort (by_price, plan->data_centre_count, sizeof (data_centre_state_t *),
         compare_price);
}

/* Distributes the on-demand replicas that fill in over the data centres in
   turn, starting with the cheapest.  */
static void
fill_in_distribute (service_plan_t *plan, const gs_scale_limits_t *limits)
{
  data_centre_state_t *by_price[SCALER_DATA_CENTRES_MAX];
  unsigned remaining = plan->fill_in;
  bool distributed = true;

  scaler_data_centres_sort (plan, by_price);
  for (unsigned i = 0; i < plan->data_centre_count; i++)
    by_price[i]->on_demand_wanted = 0;
  while (remaining > 0 && distributed)
    {
      distributed = false;
      for (unsigned i = 0; i < plan->data_centre_count && remaining > 0; i++)
        if (by_price[i]->on_demand_wanted + by_price[i]->ready[1]
            < limits->replicas_max)
          {
            by_price[i]->on_demand_wanted++;
            remaining--;
            distributed = true;
          }
    }
}

/* Sets the on-demand replicas of each data centre.  Those that existed at the
   start stay until spot replicas have replaced them.  */
static void
on_demand_plan (service_plan_t *plan, const gs_scale_limits_t *limits,
                unsigned spot_ready, double spot_total)
{
  fill_in_distribute (plan, limits);
  if ((double)spot_ready
      >= SPOT_READY_RATIO_MIN * MIN (spot_total, plan->initial_replicas))
    return;
  for (unsigned i = 0; i < plan->data_centre_count; i++)
    if (!plan->data_centres[i].orders[0].valid)
      plan->data_centres[i].on_demand_wanted
          = MAX (plan->data_centres[i].on_demand_wanted,
                 plan->data_centres[i].ready[0]);
}

/* @return whether to place an order.  A changed number is ordered soon; an
   order without effect is repeated only after a replica should have started.
 */
static bool
is_order_due (const order_state_t *state, gs_time_t now, unsigned wanted,
              unsigned ready, gs_time_t boot)
{
  if (state->pending || now < state->retry_at)
    return false;
  if (!state->valid)
    return wanted != ready;
  if (wanted != state->ordered)
    return now >= state->ordered_at + ORDER_INTERVAL_MIN;
  return ready != wanted
         && now >= state->ordered_at + boot + ORDER_EFFECT_TIMEOUT;
}

static bool
order_add (scaler_order_t *out, const gs_path_service_t *service,
           data_centre_state_t *data_centre, bool spot, unsigned wanted,
           gs_time_t now, double need)
{
  order_state_t *state = &data_centre->orders[spot];

  if (!is_order_due (state, now, wanted, data_centre->ready[spot],
                     service->scale.boot_time))
    return false;
  *out = (scaler_order_t){ .spot = spot,
                           .wanted = wanted,
                           .ready = data_centre->ready[spot],
                           .need = need };
  g_strlcpy (out->service, service->name, sizeof out->service);
  g_strlcpy (out->data_centre, data_centre->name, sizeof out->data_centre);
  state->ordered_at = now;
  state->valid = true;
  state->pending = true;
  state->ordered = wanted;
  return true;
}

/* Sets the replicas of each data centre without regard to their prices.  */
static void
even_plan (service_plan_t *plan, gs_time_t now,
           const gs_scale_limits_t *limits, const scaler_load_t *load,
           double need, unsigned ready, unsigned spot_ready)
{
  unsigned spare;
  double total;

  if (load->has_requests)
    {
      need_record (plan, now, need, ready);
      fill_in_update (plan, now, spot_ready);
    }
  total = load->has_requests
              ? need_max (plan, NEED_SLOTS) * spot_need_ratio (plan)
              : plan->initial_replicas;
  on_demand_plan (plan, limits, spot_ready, total);
  spare = (unsigned)MAX (spot_ready - ceil (total), 0);
  for (unsigned i = 0; i < plan->data_centre_count; i++)
    plan->data_centres[i].spot_wanted = spot_wanted (
        plan, &plan->data_centres[i], now, limits, total, &spare);
}

unsigned
scaler_plan (scaler_t *scaler, gs_time_t now, const gs_path_service_t *service,
             const gs_replica_list_t *replicas, const scaler_load_t *load,
             scaler_order_t *out, unsigned max)
{
  const gs_scale_limits_t *limits = &service->scale;
  service_plan_t *plan = g_hash_table_lookup (scaler->plans, service->name);
  unsigned ready;
  unsigned spot_ready = 0;
  unsigned count = 0;
  double need;

  if (!limits->present || limits->replicas_max == 0)
    return 0;
  if (plan == NULL)
    {
      plan = g_new0 (service_plan_t, 1);
      g_hash_table_insert (scaler->plans, g_strdup (service->name), plan);
    }
  if (plan->boot_time != MAX (limits->boot_time, BOOT_TIME_MIN))
    {
      plan->boot_time = MAX (limits->boot_time, BOOT_TIME_MIN);
      demand_forecast_init (&plan->forecast, plan->boot_time);
    }
  plan->need_slot = plan->boot_time / NEED_SLOTS_PER_BOOT;
  data_centres_set (plan, limits);
  if (plan->data_centre_count == 0)
    return 0;
  ready = count_ready (plan, service->name, replicas);
  for (unsigned i = 0; i < plan->data_centre_count; i++)
    spot_ready += plan->data_centres[i].ready[1];
  /* Replicas that start together with the system register one by one, so the
     number may still rise until there is load.  */
  if (plan->initial_replicas == 0)
    plan->initial_replicas = ready;
  else if (!load->has_requests)
    plan->initial_replicas = MAX (plan->initial_replicas, ready - spot_ready);
  need = need_compute (service, load);
  if (limits->spot_price > 0)
    {
      scaler_state_restore (scaler, plan, service->name, now);
      scaler_mix_plan (plan, now, limits, load, need);
    }
  else
    even_plan (plan, now, limits, load, need, ready, spot_ready);
  for (unsigned i = 0; i < plan->data_centre_count && count + 2 <= max; i++)
    {
      data_centre_state_t *data_centre = &plan->data_centres[i];

      if (order_add (&out[count], service, data_centre, true,
                     data_centre->spot_wanted, now, need))
        count++;
      if (order_add (&out[count], service, data_centre, false,
                     data_centre->on_demand_wanted, now, need))
        count++;
    }
  return count;
}

void
scaler_order_record (scaler_t *scaler, gs_time_t now,
                     const scaler_order_t *order, gs_status_t status)
{
  service_plan_t *plan = g_hash_table_lookup (scaler->plans, order->service);
  data_centre_state_t *data_centre
      = plan != NULL ? scaler_data_centre_find (plan, order->data_centre)
                     : NULL;
  order_state_t *state
      = data_centre != NULL ? &data_centre->orders[order->spot] : NULL;

  if (state == NULL)
    return;
  state->pending = false;
  if (status == GS_ECONFLICT && order->spot)
    {
      data_centre->spot_unavailable_until = now + SPOT_UNAVAILABLE_TTL;
      replica_mix_rejected_record (
          &plan->history, (unsigned)(data_centre - plan->data_centres),
          data_centre->ready[1], order->wanted);
    }
  if (status == GS_OK)
    {
      if (order->spot && order->wanted > order->ready)
        replica_mix_accepted_record (
            &plan->history, (unsigned)(data_centre - plan->data_centres));
      return;
    }
  state->valid = false;
  state->retry_at = MAX (state->retry_at, now + ORDER_REJECTED_INTERVAL);
}
