#include "garnetstack/admission.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define DEMAND_HALF_LIFE (20 * GS_SEC)
#define PRESSURE_HALF_LIFE (2 * GS_SEC)
/* Below this pressure all accounts have full headroom.  */
#define PRESSURE_MIN 0.05
#define FAIR_SHARE_INTERVAL (100 * GS_MSEC)
/* An account is active if its demand, in tokens per second, is higher.  */
#define ACTIVE_DEMAND_MIN 1.0
/* An account above its fair share loses this much headroom times its share
   ratio, which counts as 2 at most.  */
#define OVERUSE_STEP_PERCENT 30
/* Headroom lost per level below the highest active priority.  */
#define PRIORITY_STEP_PERCENT 10
#define HEADROOM_PERCENT_MIN 50
#define FILL_ROUNDS_MAX 8

typedef struct
{
  unsigned weight;
  unsigned priority;
  double demand;   /* tokens per second, exponentially decaying */
  double admitted; /* admitted part of the demand */
  gs_time_t decayed_at;
} admission_row_t;

struct gs_admission
{
  GArray *rows; /* of admission_row_t */
  GHashTable *by_name;
  double late_requests; /* decaying count; no replica could serve in time */
  double all_requests;  /* decaying count */
  gs_time_t pressure_at;
  double fair_share;         /* for a weight of one, in tokens per second */
  unsigned highest_priority; /* of the active accounts */
  gs_time_t fair_share_due_at;
};

void
gs_admission_create (gs_admission_t **out)
{
  gs_admission_t *admission = g_new0 (gs_admission_t, 1);

  admission->rows = g_array_new (FALSE, TRUE, sizeof (admission_row_t));
  admission->by_name
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  admission->fair_share = INFINITY;
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

static admission_row_t *
row_at (gs_admission_t *admission, unsigned row)
{
  return &g_array_index (admission->rows, admission_row_t, row);
}

unsigned
gs_admission_set (gs_admission_t *admission, uint64_t name_hash,
                  unsigned weight, unsigned priority)
{
  guint entry = GPOINTER_TO_UINT (
      g_hash_table_lookup (admission->by_name, &name_hash));
  admission_row_t row = { 0 };

  if (entry == 0)
    {
      g_array_append_val (admission->rows, row);
      entry = admission->rows->len;
      g_hash_table_insert (admission->by_name,
                           g_memdup2 (&name_hash, sizeof name_hash),
                           GUINT_TO_POINTER (entry));
    }
  row_at (admission, entry - 1)->weight = MAX (weight, 1);
  row_at (admission, entry - 1)->priority = priority;
  return entry - 1;
}

static void
decay_demand (admission_row_t *row, gs_time_t now)
{
  double factor
      = exp2 (-(double)(now - row->decayed_at) / (double)DEMAND_HALF_LIFE);

  row->demand *= factor;
  row->admitted *= factor;
  row->decayed_at = now;
}

double
gs_admission_pressure (const gs_admission_t *admission, gs_time_t now)
{
  return admission->all_requests < 1
             ? 0
             : admission->late_requests / admission->all_requests;
}

bool
gs_admission_pressure_is_low (const gs_admission_t *admission, gs_time_t now)
{
  return gs_admission_pressure (admission, now) < PRESSURE_MIN;
}

/* Return the max-min fair share for a weight of one: the level at which the
   demands, each limited to the level times its weight, add up to the admitted
   total.  */
static double
max_min_share (gs_admission_t *admission, double admitted)
{
  double level = INFINITY;

  for (unsigned round = 0; round < FILL_ROUNDS_MAX; round++)
    {
      double remaining = admitted;
      double weight = 0;
      double next;

      for (guint i = 0; i < admission->rows->len; i++)
        {
          const admission_row_t *row = row_at (admission, i);

          if (round > 0 && row->demand > level * row->weight)
            weight += row->weight;
          else if (round > 0)
            remaining -= row->demand;
          else if (row->demand > ACTIVE_DEMAND_MIN)
            weight += row->weight;
        }
      if (weight == 0)
        return level;
      next = MAX (remaining, 0) / weight;
      if (next == level)
        return level;
      level = next;
    }
  return level;
}

static void
update_fair_share (gs_admission_t *admission, gs_time_t now)
{
  double admitted = 0;
  unsigned highest_priority = UINT32_MAX;

  if (now < admission->fair_share_due_at)
    return;
  admission->fair_share_due_at = now + FAIR_SHARE_INTERVAL;
  for (guint i = 0; i < admission->rows->len; i++)
    {
      admission_row_t *row = row_at (admission, i);

      decay_demand (row, now);
      admitted += row->admitted;
      if (row->demand > ACTIVE_DEMAND_MIN)
        highest_priority = MIN (highest_priority, row->priority);
    }
  admission->fair_share = max_min_share (admission, admitted);
  admission->highest_priority = highest_priority;
}

double
gs_admission_share_ratio (gs_admission_t *admission, gs_time_t now,
                          unsigned row)
{
  admission_row_t *row_state = row_at (admission, row);

  update_fair_share (admission, now);
  decay_demand (row_state, now);
  return row_state->admitted / (admission->fair_share * row_state->weight);
}

unsigned
gs_admission_headroom (gs_admission_t *admission, gs_time_t now, unsigned row)
{
  double overuse = gs_admission_share_ratio (admission, now, row) - 1;
  const admission_row_t *row_state = row_at (admission, row);
  double headroom = 100;

  if (gs_admission_pressure_is_low (admission, now))
    return 100;
  if (overuse > 0)
    headroom -= OVERUSE_STEP_PERCENT * MIN (1 + overuse, 2);
  if (row_state->priority > admission->highest_priority)
    headroom -= (double)PRIORITY_STEP_PERCENT
                * (row_state->priority - admission->highest_priority);
  return (unsigned)MAX (headroom, HEADROOM_PERCENT_MIN);
}

void
gs_admission_request_record (gs_admission_t *admission, gs_time_t now,
                             unsigned row, double work, bool admitted,
                             bool in_time)
{
  admission_row_t *row_state = row_at (admission, row);
  double weight = M_LN2 / ((double)DEMAND_HALF_LIFE / GS_SEC);
  double factor = exp2 (-(double)(now - admission->pressure_at)
                        / (double)PRESSURE_HALF_LIFE);

  decay_demand (row_state, now);
  row_state->demand += work * weight;
  if (admitted)
    row_state->admitted += work * weight;
  admission->all_requests = admission->all_requests * factor + 1;
  admission->late_requests = admission->late_requests * factor + !in_time;
  admission->pressure_at = now;
}
