#include "gateway/scaler.h"

#include <math.h>
#include <string.h>

/* Part of a replica's time that reading prompts may take: the rest makes
   tokens, and prompts come in clumps that must not wait for each other.  */
#define READ_PART 0.45
/* Part of the slots that may be taken on average.  */
#define RUN_PART 0.6
/* Reclaimable replicas are ordered for so many times the need: the load is
   carried when half of the data centres lose theirs, and a burst finds room
   while new ones start.  They cost about a fifth of a kept one.  */
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
/* Kept replicas that fill in are given back after so long without need.  */
#define FILL_IN_TIME (6 * GS_SEC)

typedef struct
{
  unsigned ordered; /* last wanted */
  bool known;       /* something was ordered */
  bool open;        /* an order is on its way */
  gs_time_t due;    /* next order not before */
} sort_t;

typedef struct
{
  char name[GS_NAME_BYTES];
  double price;
  sort_t sorts[2]; /* kept, spot */
  unsigned ready[2];
} place_t;

typedef struct
{
  double needs[NEED_SECONDS]; /* highest by second */
  int64_t second;             /* of the last need */
  unsigned first_total;       /* replicas found at first */
  unsigned fill_in;           /* kept replicas wanted while short */
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

/* Replicas that the load keeps busy now.  */
static double
need_of (const gs_path_service_t *service, const scaler_load_t *load)
{
  double reading = load->missing_tokens_per_sec
                   / (MAX (load->read_speed, 1.0) * 1000.0) / READ_PART;
  double running = (load->in_flight + load->waiting)
                   / MAX (service->slots, 1) / RUN_PART;

  return MAX (MAX (reading, running), 1.0);
}

static double
note_need (plan_t *plan, gs_time_t now, double need)
{
  int64_t second = now / GS_SEC;
  double highest = 0;

  for (int64_t i = plan->second + 1; i <= second; i++)
    if (i > second - NEED_SECONDS)
      plan->needs[i % NEED_SECONDS] = 0;
  plan->second = second;
  plan->needs[second % NEED_SECONDS]
      = MAX (plan->needs[second % NEED_SECONDS], need);
  for (int i = 0; i < NEED_SECONDS; i++)
    highest = MAX (highest, plan->needs[i]);
  return highest;
}

/* While the replicas there are fewer than the load needs now, kept ones fill
   in, whatever else was ordered: reclaimable ones may not be to be had.  */
static void
note_shortage (plan_t *plan, gs_time_t now, unsigned ready, unsigned kept,
               double need)
{
  if ((double)ready < need)
    {
      plan->fill_in
          = MAX (plan->fill_in, kept + (unsigned)ceil (need - ready));
      plan->fill_in_until = now + FILL_IN_TIME;
    }
  else if (now >= plan->fill_in_until)
    plan->fill_in = 0;
}

static unsigned
spot_per_place (const plan_t *plan, const gs_scale_limits_t *limits,
                const scaler_load_t *load, double need)
{
  double total = load->seen ? need * SPOT_SPREAD : plan->first_total;

  return CLAMP ((unsigned)ceil (total / plan->place_count),
                MAX (limits->least, 1), limits->most);
}

/* @return kept replicas wanted at a place: those that fill in, dealt evenly,
   or all that are there until reclaimable ones have taken over  */
static unsigned
kept_at (const plan_t *plan, unsigned index, unsigned spot_ready,
         unsigned spot_wanted, const gs_scale_limits_t *limits)
{
  unsigned count = plan->place_count;
  unsigned dealt = plan->fill_in / count + (index < plan->fill_in % count);

  if (plan->fill_in == 0 && spot_ready * 10 < spot_wanted * 8)
    dealt = plan->places[index].ready[0];
  return MIN (dealt, limits->most - MIN (limits->most,
                                         spot_wanted / count));
}

static bool
is_due (const sort_t *sort, gs_time_t now, unsigned wanted, unsigned ready)
{
  if (sort->open || now < sort->due)
    return false;
  if (!sort->known)
    return wanted != ready;
  return wanted != sort->ordered || ready != wanted;
}

static bool
add_order (scaler_order_t *out, const gs_path_service_t *service,
           place_t *place, bool spot, unsigned wanted, gs_time_t now,
           double need)
{
  sort_t *sort = &place->sorts[spot];

  if (!is_due (sort, now, wanted, place->ready[spot]))
    return false;
  *out = (scaler_order_t){ .spot = spot, .wanted = wanted,
                           .there = place->ready[spot], .need = need };
  g_strlcpy (out->service, service->name, sizeof out->service);
  g_strlcpy (out->data_centre, place->name, sizeof out->data_centre);
  /* What changes is ordered soon; what shows no effect only after a while. */
  sort->due = now
              + (sort->known && sort->ordered == wanted
                     ? service->scale.boot + EFFECT_TIME
                     : ORDER_PAUSE);
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
  unsigned kept_ready = 0;
  unsigned spot;
  unsigned count = 0;
  double need;
  double highest;

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
  plan->first_total = MAX (plan->first_total, ready);
  for (unsigned i = 0; i < plan->place_count; i++)
    {
      kept_ready += plan->places[i].ready[0];
      spot_ready += plan->places[i].ready[1];
    }
  need = need_of (service, load);
  highest = note_need (plan, now, need);
  if (load->seen)
    note_shortage (plan, now, ready, kept_ready, need);
  spot = spot_per_place (plan, limits, load, highest);
  for (unsigned i = 0; i < plan->place_count && count + 2 <= max; i++)
    {
      place_t *place = &plan->places[i];
      unsigned kept
          = kept_at (plan, i, spot_ready, spot * plan->place_count, limits);

      if (add_order (&out[count], service, place, true, spot, now, need))
        count++;
      if (add_order (&out[count], service, place, false, kept, now, need))
        count++;
    }
  return count;
}

void
scaler_ordered (scaler_t *scaler, gs_time_t now, const scaler_order_t *order,
                gs_status_t status)
{
  plan_t *plan = g_hash_table_lookup (scaler->plans, order->service);
  place_t *place
      = plan != NULL ? find_place (plan, order->data_centre) : NULL;
  sort_t *sort = place != NULL ? &place->sorts[order->spot] : NULL;

  if (sort == NULL)
    return;
  sort->open = false;
  if (status == GS_OK)
    return;
  sort->known = false;
  sort->due = MAX (sort->due, now + REFUSED_PAUSE);
}
