#include "garnetstack/admission.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define HALF_LIFE (20 * GS_SEC)
#define PRESSURE_HALF_LIFE (2 * GS_SEC)
/* Below this pressure all accounts have full headroom.  */
#define PRESSURE_LEAST 0.05
#define FAIR_INTERVAL (100 * GS_MSEC)
/* An account is active if its demand, in tokens per second, is higher.  */
#define ACTIVE_WORK 1.0
#define OVER_STEP_PERCENT 30
#define PRIORITY_STEP_PERCENT 10
#define HEADROOM_LEAST 50
#define FILL_ROUNDS 8

typedef struct
{
  unsigned weight;
  unsigned priority;
  double demand; /* tokens per second, exponentially decaying */
  double taken;  /* admitted part of the demand */
  gs_time_t noted_at;
} row_t;

struct gs_admission
{
  GArray *rows; /* of row_t */
  GHashTable *by_name;
  double late;   /* requests that could not be served in time, decaying */
  double offers; /* all requests, decaying */
  gs_time_t pressure_at;
  double fair; /* fair share for a weight of one, in tokens per second */
  unsigned first_priority; /* highest priority of an active account */
  gs_time_t fair_due;
};

void
gs_admission_create (gs_admission_t **out)
{
  gs_admission_t *admission = g_new0 (gs_admission_t, 1);

  admission->rows = g_array_new (FALSE, TRUE, sizeof (row_t));
  admission->by_name
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  admission->fair = INFINITY;
  *out = admission;
}

void
gs_admission_destroy (gs_admission_t *admission)
{
  if (admission == NULL)
    return;
  g_hash_table_unref (admission->by_name);
  g_array_unref (admission->rows);
  g_free (admission);
}

static row_t *
row_at (gs_admission_t *admission, unsigned row)
{
  return &g_array_index (admission->rows, row_t, row);
}

unsigned
gs_admission_set (gs_admission_t *admission, uint64_t name, unsigned weight,
                  unsigned priority)
{
  guint known
      = GPOINTER_TO_UINT (g_hash_table_lookup (admission->by_name, &name));
  row_t row = { 0 };

  if (known == 0)
    {
      g_array_append_val (admission->rows, row);
      known = admission->rows->len;
      g_hash_table_insert (admission->by_name, g_memdup2 (&name, sizeof name),
                           GUINT_TO_POINTER (known));
    }
  row_at (admission, known - 1)->weight = MAX (weight, 1);
  row_at (admission, known - 1)->priority = priority;
  return known - 1;
}

static void
fade (row_t *row, gs_time_t now)
{
  double factor = exp2 (-(double)(now - row->noted_at) / (double)HALF_LIFE);

  row->demand *= factor;
  row->taken *= factor;
  row->noted_at = now;
}

double
gs_admission_pressure (const gs_admission_t *admission, gs_time_t now)
{
  return admission->offers < 1 ? 0 : admission->late / admission->offers;
}

bool
gs_admission_calm (const gs_admission_t *admission, gs_time_t now)
{
  return gs_admission_pressure (admission, now) < PRESSURE_LEAST;
}

/* Return the max-min fair share for a weight of one: the level at which the
   demands, each limited to the level times its weight, add up to the admitted
   total.  */
static double
fill_level (gs_admission_t *admission, double taken)
{
  double level = INFINITY;

  for (unsigned round = 0; round < FILL_ROUNDS; round++)
    {
      double left = taken;
      double weight = 0;
      double next;

      for (guint i = 0; i < admission->rows->len; i++)
        {
          const row_t *row = row_at (admission, i);

          if (round > 0 && row->demand > level * row->weight)
            weight += row->weight;
          else if (round > 0)
            left -= row->demand;
          else if (row->demand > ACTIVE_WORK)
            weight += row->weight;
        }
      if (weight == 0)
        return level;
      next = MAX (left, 0) / weight;
      if (next == level)
        return level;
      level = next;
    }
  return level;
}

static void
update_fair (gs_admission_t *admission, gs_time_t now)
{
  double taken = 0;
  unsigned first = UINT32_MAX;

  if (now < admission->fair_due)
    return;
  admission->fair_due = now + FAIR_INTERVAL;
  for (guint i = 0; i < admission->rows->len; i++)
    {
      row_t *row = row_at (admission, i);

      fade (row, now);
      taken += row->taken;
      if (row->demand > ACTIVE_WORK)
        first = MIN (first, row->priority);
    }
  admission->fair = fill_level (admission, taken);
  admission->first_priority = first;
}

double
gs_admission_over (gs_admission_t *admission, gs_time_t now, unsigned row)
{
  row_t *state = row_at (admission, row);

  update_fair (admission, now);
  fade (state, now);
  return state->taken / (admission->fair * state->weight);
}

unsigned
gs_admission_headroom (gs_admission_t *admission, gs_time_t now, unsigned row)
{
  double over = gs_admission_over (admission, now, row) - 1;
  const row_t *state = row_at (admission, row);
  double headroom = 100;

  if (gs_admission_calm (admission, now))
    return 100;
  if (over > 0)
    headroom -= OVER_STEP_PERCENT * MIN (1 + over, 2);
  if (state->priority > admission->first_priority)
    headroom -= (double)PRIORITY_STEP_PERCENT
                * (state->priority - admission->first_priority);
  return (unsigned)MAX (headroom, HEADROOM_LEAST);
}

void
gs_admission_note (gs_admission_t *admission, gs_time_t now, unsigned row,
                   double work, bool taken, bool in_time)
{
  row_t *state = row_at (admission, row);
  double weight = M_LN2 / ((double)HALF_LIFE / GS_SEC);
  double factor = exp2 (-(double)(now - admission->pressure_at)
                        / (double)PRESSURE_HALF_LIFE);

  fade (state, now);
  state->demand += work * weight;
  if (taken)
    state->taken += work * weight;
  admission->offers = admission->offers * factor + 1;
  admission->late = admission->late * factor + !in_time;
  admission->pressure_at = now;
}
