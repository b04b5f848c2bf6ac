#include "gateway/scaler.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* The parts, times and factors below were chosen by the markets of
   tests/test_scaler.c; where a comment names a price or a time to start, it is
   that of the deployments' sheets (0.18 to 0.22 of an on-demand one, 4 s).  */

/* Part of a replica's time that reading prompts may take: the rest makes
   tokens, and prompts come in clumps that must not wait for each other.  */
#define READ_PART 0.45
/* A refused caller comes back once, mostly.  */
#define REFUSALS_OF_ONE 2.0
/* When hardly anything is served, the load is known so badly that orders grow
   step by step.  */
#define ASKED_MOST 3.0
/* Part of the slots that may be taken on average.  */
#define RUN_PART 0.6
/* Reclaimable replicas are ordered for so many times the need: the load is
   carried when half of the data centres lose theirs, and a burst finds room
   while new ones start.  They cost about a fifth of an on-demand one.  */
#define SPOT_SPREAD 2.0
/* The need is the highest of so many seconds; the swing of the load by day is
   slower, and starting a replica again takes a third of this.  */
#define NEED_SECONDS 12
/* An order that shows no effect is given again after the start of a replica
   and so long.  */
#define EFFECT_TIME (2500 * GS_MSEC)
/* Shortest time between two orders of one sort in one data centre.  */
#define ORDER_PAUSE GS_SEC
/* What could not be had is asked for again after this.  */
#define REFUSED_PAUSE (2 * GS_SEC)
/* A place counts as without reclaimable replicas until it was asked again. */
#define DRY_TIME (3 * GS_SEC)
/* On-demand replicas that fill in are given back after so long without
   need.  */
#define FILL_IN_TIME (6 * GS_SEC)
/* On-demand replicas fill in for the highest need of so many seconds, and for
   this part of it: with that many, prompts wait for each other but nothing is
   refused, and an on-demand replica costs as much as four or five others.  */
#define SHORTAGE_SECONDS 3
#define SHORTAGE_PART 0.7
/* Data centres that have lost all of theirs, and get none, when the next loss
   is reckoned with.  */
#define SERIES_LOST 2
/* Part of the reclaimable replicas that must be ready before on-demand ones
   that were there at first are given back.  */
#define TAKEN_OVER_PART 0.8

typedef struct
{
  unsigned ordered; /* last wanted */
  bool known;       /* something was ordered */
  bool open;        /* an order is on its way */
  gs_time_t ordered_at;
  gs_time_t due; /* next order not before, as the last was refused */
} sort_t;

typedef struct
{
  char name[GS_NAME_BYTES];
  double price;
  sort_t sorts[2]; /* on demand, spot */
  unsigned ready[2];
  unsigned on_demand_wanted;
  gs_time_t dry_until; /* no reclaimable ones were to be had lately */
} place_t;

typedef struct
{
  double needs[NEED_SECONDS]; /* highest by second */
  int64_t second;             /* of the last need */
  bool begun;                 /* needs were noted */
  unsigned first_total;       /* replicas found before any load came */
  unsigned fill_in;           /* on-demand replicas wanted while short */
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

/* The data centres are those that have a price.  */
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

/* What is sent to replicas as a multiple, to count what was refused for want
   of room: a load that can't be served must not pass for a small one.  */
static double
asked_for_each_served (const scaler_load_t *load)
{
  double served = load->requests_per_sec - load->refused_per_sec;
  double asked = load->refused_per_sec / REFUSALS_OF_ONE;

  if (load->refused_per_sec <= 0)
    return 1;
  return served > 0 ? MIN (1 + asked / served, ASKED_MOST) : ASKED_MOST;
}

/* Replicas that the load keeps busy now, or would.  */
static double
need_of (const gs_path_service_t *service, const scaler_load_t *load)
{
  double reading = load->missing_tokens_per_sec
                   / (MAX (load->read_speed, 1.0) * 1000.0) / READ_PART;
  double running
      = (load->in_flight + load->waiting) / MAX (service->slots, 1) / RUN_PART;

  return MAX (MAX (reading, running), 1.0) * asked_for_each_served (load);
}

/* Before there is a history, what is there counts as what was needed: a new
   holder of the duty takes nothing away that the load may need.  */
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

/* What one more reclaim would take, once it is not the first: they come in
   series while none are to be had, faster than a replica starts.  */
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

/* When reclaimable replicas are fewer than the load needs, on-demand ones fill
   in: they can be had when reclaimable ones can't.  */
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

/* Reclaimable replicas wanted at a place.  What can't be had at some places
   is asked for at the others, and nothing is given back meanwhile.
   @param spare what all places together may give back: what is ready beyond
   the total; lowered by what this one gives back  */
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

/* Deal the on-demand replicas that fill in one by one, to the cheapest place
   first.  */
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

/* On-demand ones that were there at first stay until reclaimable ones have
   taken over.  */
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

/* What changes is ordered soon; what shows no effect is ordered again only
   after a replica would have started.  */
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
  /* Replicas that start with the system are not all listed at once.  */
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
