#include "gateway/scaler.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A spot replica costs 0.18 to 0.22 of an on-demand one, and a replica takes
   4 s to start; the constants below rely on these values.  */

/* Share of a replica's time that reading prompts may take.  The rest generates
   tokens and is headroom, as prompts arrive in bursts and must not wait for
   each other.  */
#define READ_PART 0.45
/* Rejections that one request causes, as most rejected callers retry once.  */
#define REFUSALS_OF_ONE 2.0
/* Highest factor by which rejections raise the need.  If hardly any request is
   served the load is unknown, so the orders grow step by step.  */
#define ASKED_MOST 3.0
/* Share of the slots that may be taken on average.  */
#define RUN_PART 0.6
/* Spot replicas that are ordered, as a ratio of the need: the load is still
   served when half of the data centres lose their spot replicas, and there is
   capacity for a burst while new replicas start.  Spot replicas cost about a
   fifth of on-demand ones.  */
#define SPOT_SPREAD 2.0
/* The highest need of this many seconds counts.  The load swings more slowly
   than that over a day, and to start a replica again takes a third of it.  */
#define NEED_SECONDS 12
/* An order without effect is repeated after the start time of a replica plus
   this time.  */
#define EFFECT_TIME (2500 * GS_MSEC)
/* Shortest time between two orders of one kind in one data centre.  */
#define ORDER_PAUSE GS_SEC
/* Shortest time from a rejected order to the next.  */
#define REFUSED_PAUSE (2 * GS_SEC)
/* How long a data centre that rejected an order for spot replicas counts as
   having none; longer than the time to the next order.  */
#define DRY_TIME (3 * GS_SEC)
/* On-demand replicas that fill in are released after this time without
   need.  */
#define FILL_IN_TIME (6 * GS_SEC)
/* On-demand replicas fill in for this ratio of the highest need of this many
   seconds.  With that many replicas prompts queue but no request is rejected,
   and an on-demand replica costs as much as four or five spot replicas.  */
#define SHORTAGE_SECONDS 3
#define SHORTAGE_PART 0.7
/* Data centres without any spot replicas from which on the loss of one more is
   expected.  */
#define SERIES_LOST 2
/* Ratio of the planned spot replicas that must be ready before the on-demand
   replicas that existed at the start are released.  */
#define TAKEN_OVER_PART 0.8

/* Orders for one kind of replica in one data centre.  */
typedef struct
{
  unsigned ordered; /* number in the last order */
  bool known;       /* the last order was accepted or is pending */
  bool open;        /* an order is pending */
  gs_time_t ordered_at;
  gs_time_t due; /* earliest time of the next order after a rejected one */
} sort_t;

typedef struct
{
  char name[GS_NAME_BYTES];
  double price;
  sort_t sorts[2]; /* indexed by spot: on demand, spot */
  unsigned ready[2];
  unsigned on_demand_wanted;
  gs_time_t dry_until; /* no spot replicas are assumed available before */
} place_t;

typedef struct
{
  double needs[NEED_SECONDS]; /* highest need of each second */
  int64_t second;             /* of the last need */
  bool begun;                 /* a need has been recorded */
  unsigned first_total;       /* replicas that existed before the first load */
  unsigned fill_in; /* on-demand replicas that replace missing spot ones */
  gs_time_t fill_in_until;
  unsigned place_count;
  place_t places[SCALER_PLACES_MAX];
} plan_t;

struct scaler
{
  GHashTable *plans; /* service -> plan_t */
};

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
  g_free (scaler);
}

void
scaler_forget (scaler_t *scaler)
{
  g_hash_table_remove_all (scaler->plans);
}

static place_t *
find_place (plan_t *plan, const char *name)
{
  for (unsigned i = 0; i < plan->place_count; i++)
    if (strcmp (plan->places[i].name, name) == 0)
      return &plan->places[i];
  return NULL;
}

/* Adds the data centres that have a price.  */
static void
set_places (plan_t *plan, const gs_scale_limits_t *limits)
{
  GHashTableIter iter;
  gpointer name;
  gpointer price;

  g_hash_table_iter_init (&iter, limits->data_centre_prices);
  while (g_hash_table_iter_next (&iter, &name, &price))
    {
      place_t *place = find_place (plan, name);

      if (place == NULL && plan->place_count < SCALER_PLACES_MAX)
        {
          place = &plan->places[plan->place_count++];
          g_strlcpy (place->name, name, sizeof place->name);
        }
      if (place != NULL)
        place->price = *(const double *)price;
    }
}

static unsigned
count_ready (plan_t *plan, const char *service,
             const gs_replica_list_t *replicas)
{
  unsigned total = 0;

  for (unsigned i = 0; i < plan->place_count; i++)
    memset (plan->places[i].ready, 0, sizeof plan->places[i].ready);
  for (unsigned i = 0; i < replicas->count; i++)
    {
      const gs_replica_t *replica = &replicas->rows[i];
      place_t *place;

      if (strcmp (replica->service, service) != 0
          || replica->state != GS_REPLICA_READY)
        continue;
      place = find_place (plan, replica->data_centre);
      if (place != NULL)
        place->ready[replica->spot]++;
      total++;
    }
  return total;
}

/* @return demand per served request.  Rejected requests are never sent, so
   without this factor an overload would look like a small load.  */
static double
asked_for_each_served (const scaler_load_t *load)
{
  double served = load->requests_per_sec - load->refused_per_sec;
  double asked = load->refused_per_sec / REFUSALS_OF_ONE;

  if (load->refused_per_sec <= 0)
    return 1;
  return served > 0 ? MIN (1 + asked / served, ASKED_MOST) : ASKED_MOST;
}

/* @return replicas that the present demand needs, at least one  */
static double
need_of (const gs_path_service_t *service, const scaler_load_t *load)
{
  double reading = load->missing_tokens_per_sec
                   / (MAX (load->read_speed, 1.0) * 1000.0) / READ_PART;
  double running
      = (load->in_flight + load->waiting) / MAX (service->slots, 1) / RUN_PART;

  return MAX (MAX (reading, running), 1.0) * asked_for_each_served (load);
}

/* Records the need.  Without a history the present replicas are taken as the
   need, so that a new holder of the duty releases none that the load may
   need.  */
static void
note_need (plan_t *plan, gs_time_t now, double need, unsigned ready)
{
  int64_t second = now / GS_SEC;

  if (!plan->begun)
    {
      for (int i = 0; i < NEED_SECONDS; i++)
        plan->needs[i] = ready / SPOT_SPREAD;
      plan->begun = true;
      plan->second = second;
    }
  for (int64_t i = MAX (plan->second + 1, second - NEED_SECONDS + 1);
       i <= second; i++)
    plan->needs[i % NEED_SECONDS] = 0;
  plan->second = second;
  plan->needs[second % NEED_SECONDS]
      = MAX (plan->needs[second % NEED_SECONDS], need);
}

static bool
is_dry (const place_t *place, gs_time_t now)
{
  return now < place->dry_until;
}

static double
highest_need (const plan_t *plan, int seconds)
{
  double highest = 0;

  for (int i = 0; i < seconds; i++)
    highest = MAX (highest, plan->needs[(plan->second - i) % NEED_SECONDS]);
  return highest;
}

/* Reclaims come in series while no spot replicas are available, faster than a
   replica starts.  @return spot replicas that the next reclaim may take if
   such a series has begun, else 0  */
static unsigned
next_loss (const plan_t *plan, gs_time_t now)
{
  unsigned lost = 0;
  unsigned most = 0;

  for (unsigned i = 0; i < plan->place_count; i++)
    {
      lost += plan->places[i].ready[1] == 0 && is_dry (&plan->places[i], now);
      most = MAX (most, plan->places[i].ready[1]);
    }
  return lost >= SERIES_LOST ? most : 0;
}

/* Sets how many on-demand replicas fill in.  They replace missing spot
   replicas because they are available when spot replicas are not.  */
static void
note_shortage (plan_t *plan, gs_time_t now, unsigned spot_ready)
{
  double staying = spot_ready - next_loss (plan, now);
  double missing
      = highest_need (plan, SHORTAGE_SECONDS) * SHORTAGE_PART - staying;

  if (missing > 0 && (unsigned)ceil (missing) >= plan->fill_in)
    {
      plan->fill_in = (unsigned)ceil (missing);
      plan->fill_in_until = now + FILL_IN_TIME;
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
spot_at (const plan_t *plan, const place_t *place, gs_time_t now,
         const gs_scale_limits_t *limits, double total, unsigned *spare)
{
  unsigned open_places = 0;
  unsigned room = limits->most - MIN (limits->most, place->ready[0]);
  unsigned wanted;
  double elsewhere = 0;

  for (unsigned i = 0; i < plan->place_count; i++)
    if (is_dry (&plan->places[i], now))
      elsewhere += plan->places[i].ready[1];
    else
      open_places++;
  if (is_dry (place, now))
    wanted = (unsigned)ceil (total / plan->place_count);
  else
    wanted = (unsigned)ceil (MAX (total - elsewhere, 0) / open_places);
  if (open_places < plan->place_count)
    wanted = MAX (wanted, place->ready[1]);
  if (wanted < place->ready[1])
    {
      unsigned given = MIN (place->ready[1] - wanted, *spare);

      wanted = place->ready[1] - given;
      *spare -= given;
    }
  return MIN (MAX (wanted, MAX (limits->least, 1)), room);
}

static int
compare_price (gconstpointer a, gconstpointer b)
{
  const place_t *left = *(place_t *const *)a;
  const place_t *right = *(place_t *const *)b;

  return left->price < right->price   ? -1
         : left->price > right->price ? 1
                                      : strcmp (left->name, right->name);
}

/* Distributes the on-demand replicas that fill in over the data centres in
   turn, starting with the cheapest.  */
static void
deal_kept (plan_t *plan, const gs_scale_limits_t *limits)
{
  place_t *by_price[SCALER_PLACES_MAX];
  unsigned left = plan->fill_in;
  bool dealt = true;

  for (unsigned i = 0; i < plan->place_count; i++)
    {
      by_price[i] = &plan->places[i];
      by_price[i]->on_demand_wanted = 0;
    }
  qsort (by_price, plan->place_count, sizeof (place_t *), compare_price);
  while (left > 0 && dealt)
    {
      dealt = false;
      for (unsigned i = 0; i < plan->place_count && left > 0; i++)
        if (by_price[i]->on_demand_wanted + by_price[i]->ready[1]
            < limits->most)
          {
            by_price[i]->on_demand_wanted++;
            left--;
            dealt = true;
          }
    }
}

/* Sets the on-demand replicas of each data centre.  Those that existed at the
   start stay until spot replicas have replaced them.  */
static void
plan_kept (plan_t *plan, const gs_scale_limits_t *limits, unsigned spot_ready,
           double spot_total)
{
  deal_kept (plan, limits);
  if ((double)spot_ready
      >= TAKEN_OVER_PART * MIN (spot_total, plan->first_total))
    return;
  for (unsigned i = 0; i < plan->place_count; i++)
    if (!plan->places[i].sorts[0].known)
      plan->places[i].on_demand_wanted
          = MAX (plan->places[i].on_demand_wanted, plan->places[i].ready[0]);
}

/* @return whether to place an order.  A changed number is ordered soon; an
   order without effect is repeated only after a replica should have started.
 */
static bool
is_due (const sort_t *sort, gs_time_t now, unsigned wanted, unsigned ready,
        gs_time_t boot)
{
  if (sort->open || now < sort->due)
    return false;
  if (!sort->known)
    return wanted != ready;
  if (wanted != sort->ordered)
    return now >= sort->ordered_at + ORDER_PAUSE;
  return ready != wanted && now >= sort->ordered_at + boot + EFFECT_TIME;
}

static bool
add_order (scaler_order_t *out, const gs_path_service_t *service,
           place_t *place, bool spot, unsigned wanted, gs_time_t now,
           double need)
{
  sort_t *sort = &place->sorts[spot];

  if (!is_due (sort, now, wanted, place->ready[spot], service->scale.boot))
    return false;
  *out = (scaler_order_t){
    .spot = spot, .wanted = wanted, .there = place->ready[spot], .need = need
  };
  g_strlcpy (out->service, service->name, sizeof out->service);
  g_strlcpy (out->data_centre, place->name, sizeof out->data_centre);
  sort->ordered_at = now;
  sort->known = true;
  sort->open = true;
  sort->ordered = wanted;
  return true;
}

unsigned
scaler_plan (scaler_t *scaler, gs_time_t now, const gs_path_service_t *service,
             const gs_replica_list_t *replicas, const scaler_load_t *load,
             scaler_order_t *out, unsigned max)
{
  const gs_scale_limits_t *limits = &service->scale;
  plan_t *plan = g_hash_table_lookup (scaler->plans, service->name);
  unsigned ready;
  unsigned spot_ready = 0;
  unsigned spare;
  unsigned count = 0;
  double need;
  double total;

  if (!limits->present || limits->most == 0)
    return 0;
  if (plan == NULL)
    {
      plan = g_new0 (plan_t, 1);
      g_hash_table_insert (scaler->plans, g_strdup (service->name), plan);
    }
  set_places (plan, limits);
  if (plan->place_count == 0)
    return 0;
  ready = count_ready (plan, service->name, replicas);
  for (unsigned i = 0; i < plan->place_count; i++)
    spot_ready += plan->places[i].ready[1];
  /* Replicas that start together with the system register one by one, so the
     number may still rise until there is load.  */
  if (plan->first_total == 0)
    plan->first_total = ready;
  else if (!load->seen)
    plan->first_total = MAX (plan->first_total, ready - spot_ready);
  need = need_of (service, load);
  if (load->seen)
    {
      note_need (plan, now, need, ready);
      note_shortage (plan, now, spot_ready);
    }
  total = load->seen ? highest_need (plan, NEED_SECONDS) * SPOT_SPREAD
                     : plan->first_total;
  plan_kept (plan, limits, spot_ready, total);
  spare = (unsigned)MAX (spot_ready - ceil (total), 0);
  for (unsigned i = 0; i < plan->place_count && count + 2 <= max; i++)
    {
      place_t *place = &plan->places[i];

      if (add_order (&out[count], service, place, true,
                     spot_at (plan, place, now, limits, total, &spare), now,
                     need))
        count++;
      if (add_order (&out[count], service, place, false,
                     place->on_demand_wanted, now, need))
        count++;
    }
  return count;
}

void
scaler_ordered (scaler_t *scaler, gs_time_t now, const scaler_order_t *order,
                gs_status_t status)
{
  plan_t *plan = g_hash_table_lookup (scaler->plans, order->service);
  place_t *place = plan != NULL ? find_place (plan, order->data_centre) : NULL;
  sort_t *sort = place != NULL ? &place->sorts[order->spot] : NULL;

  if (sort == NULL)
    return;
  sort->open = false;
  if (status == GS_ECONFLICT && order->spot)
    place->dry_until = now + DRY_TIME;
  if (status == GS_OK)
    return;
  sort->known = false;
  sort->due = MAX (sort->due, now + REFUSED_PAUSE);
}
