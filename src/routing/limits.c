#include "garnetstack/limits.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define HALF_LIFE GS_SEC
/* Capacity of a token bucket, in seconds of its rate.  */
#define BURST_SEC 1.0
#define THOUSAND 1000.0
#define IN_FLIGHT_RETRY (250 * GS_MSEC)
#define MEMBERS_MAX 4096

typedef struct
{
  uint64_t name;
  gs_limit_values_t limits;
  double offered[GS_LIMIT_COUNT]; /* exponentially decaying rates */
  gs_time_t offered_at;
  double told[GS_LIMIT_COUNT];      /* own demand as last exported */
  double others[GS_LIMIT_COUNT];    /* reported demand of the other members */
  double level[GS_LIMIT_IN_FLIGHT]; /* of the token buckets */
  gs_time_t level_at;
  uint32_t in_flight;
} row_t;

typedef struct
{
  gs_time_t heard_at;
  GArray *demand; /* double[GS_LIMIT_COUNT] by row */
} member_t;

struct gs_limits
{
  GArray *rows; /* of row_t */
  GHashTable *by_name;
  GHashTable *members; /* other members with a recent report: id -> member_t */
  unsigned member_count; /* this one included */
  gs_time_t interval;
  gs_time_t expire_due;
};

static void
member_free (gpointer data)
{
  member_t *member = data;

  g_array_unref (member->demand);
  g_free (member);
}

void
gs_limits_create (gs_limits_t **out)
{
  gs_limits_t *limits = g_new0 (gs_limits_t, 1);

  limits->rows = g_array_new (FALSE, TRUE, sizeof (row_t));
  limits->by_name
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  limits->members = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                           member_free);
  limits->member_count = 1;
  limits->interval = GS_SEC;
  *out = limits;
}

void
gs_limits_destroy (gs_limits_t *limits)
{
  if (limits == NULL)
    return;
  g_hash_table_unref (limits->members);
  g_hash_table_unref (limits->by_name);
  g_array_unref (limits->rows);
  g_free (limits);
}

uint64_t
gs_limits_name (const char *kind, const char *name)
{
  return XXH3_64bits_withSeed (name, strlen (name),
                               XXH3_64bits (kind, strlen (kind)));
}

void
gs_limits_set_members (gs_limits_t *limits, unsigned members,
                       gs_time_t interval)
{
  limits->member_count = MAX (members, 1);
  limits->interval = interval;
}

static row_t *
row_at (gs_limits_t *limits, unsigned row)
{
  return &g_array_index (limits->rows, row_t, row);
}

static int
find_row (const gs_limits_t *limits, uint64_t name)
{
  guint row = GPOINTER_TO_UINT (g_hash_table_lookup (limits->by_name, &name));

  return (int)row - 1;
}

unsigned
gs_limits_set (gs_limits_t *limits, uint64_t name,
               const gs_limit_values_t *values)
{
  int known = find_row (limits, name);
  row_t row = { .name = name, .limits = *values };

  if (known >= 0)
    {
      row_at (limits, (unsigned)known)->limits = *values;
      return (unsigned)known;
    }
  g_array_append_val (limits->rows, row);
  g_hash_table_insert (limits->by_name, g_memdup2 (&name, sizeof name),
                       GUINT_TO_POINTER (limits->rows->len));
  return limits->rows->len - 1;
}

bool
gs_limits_find (unsigned *row, const gs_limits_t *limits, uint64_t name)
{
  int known = find_row (limits, name);

  *row = (unsigned)MAX (known, 0);
  return known >= 0;
}

unsigned
gs_limits_count (const gs_limits_t *limits)
{
  return limits->rows->len;
}

/* Remove members whose latest report is too old.  */
static void
expire (gs_limits_t *limits, gs_time_t now)
{
  gs_time_t silence = limits->interval * GS_LIMIT_SILENCE_INTERVALS;
  GHashTableIter iter;
  gpointer value;

  if (now < limits->expire_due)
    return;
  limits->expire_due = now + limits->interval / 4;
  g_hash_table_iter_init (&iter, limits->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      member_t *member = value;

      if (member->heard_at + silence > now)
        continue;
      for (guint i = 0; i < member->demand->len; i++)
        row_at (limits, i / GS_LIMIT_COUNT)->others[i % GS_LIMIT_COUNT]
            -= g_array_index (member->demand, double, i);
      g_hash_table_iter_remove (&iter);
    }
}

double
gs_limits_share (gs_limits_t *limits, gs_time_t now, unsigned row,
                 gs_limit_kind_t kind)
{
  row_t *state = row_at (limits, row);
  double limit = (double)state->limits.most[kind];
  double heard;
  double demand;
  double part;

  expire (limits, now);
  heard = MIN (g_hash_table_size (limits->members) + 1, limits->member_count);
  demand = state->told[kind] + MAX (state->others[kind], 0);
  part = demand > 0 ? state->told[kind] / demand : 1 / heard;
  return limit * heard / limits->member_count
         * ((100 - GS_LIMIT_DEMAND_PERCENT) / 100.0 / heard
            + GS_LIMIT_DEMAND_PERCENT / 100.0 * part);
}

static void
fade (row_t *row, gs_time_t now)
{
  double factor = exp2 (-(double)(now - row->offered_at) / (double)HALF_LIFE);

  for (int kind = 0; kind < GS_LIMIT_COUNT; kind++)
    row->offered[kind] *= factor;
  row->offered_at = now;
}

static void
note_offer (row_t *row, gs_time_t now, uint32_t tokens)
{
  double weight = M_LN2 / ((double)HALF_LIFE / GS_SEC);

  fade (row, now);
  row->offered[GS_LIMIT_REQUESTS] += weight;
  row->offered[GS_LIMIT_TOKENS] += weight * tokens;
}

static void
refill (gs_limits_t *limits, gs_time_t now, unsigned row, const double *shares)
{
  row_t *state = row_at (limits, row);
  double seconds = (double)(now - state->level_at) / GS_SEC;

  for (int kind = 0; kind < GS_LIMIT_IN_FLIGHT; kind++)
    {
      double most = MAX (shares[kind] * BURST_SEC, 1);

      state->level[kind]
          = state->level_at == 0
                ? most
                : MIN (state->level[kind] + shares[kind] * seconds, most);
    }
  state->level_at = now;
}

/* Return the time until a bucket is refilled to a level.  */
static gs_time_t
time_to (double level, double least, double rate)
{
  return (gs_time_t)((least - level) / MAX (rate, 1e-3) * GS_SEC) + GS_MSEC;
}

gs_status_t
gs_limits_admit (gs_limits_t *limits, gs_time_t now, unsigned row,
                 uint32_t tokens, gs_time_t *retry_after)
{
  row_t *state = row_at (limits, row);
  const uint64_t *most = state->limits.most;
  double *level = state->level;
  double shares[GS_LIMIT_COUNT];

  for (int kind = 0; kind < GS_LIMIT_COUNT; kind++)
    shares[kind] = gs_limits_share (limits, now, row, (gs_limit_kind_t)kind);
  note_offer (state, now, tokens);
  refill (limits, now, row, shares);
  *retry_after = 0;
  if (most[GS_LIMIT_REQUESTS] != 0 && level[GS_LIMIT_REQUESTS] < 1)
    *retry_after
        = time_to (level[GS_LIMIT_REQUESTS], 1, shares[GS_LIMIT_REQUESTS]);
  if (most[GS_LIMIT_TOKENS] != 0 && level[GS_LIMIT_TOKENS] <= 0)
    *retry_after = MAX (*retry_after, time_to (level[GS_LIMIT_TOKENS], 0,
                                               shares[GS_LIMIT_TOKENS]));
  if (most[GS_LIMIT_IN_FLIGHT] != 0
      && state->in_flight + 1 > MAX (shares[GS_LIMIT_IN_FLIGHT], 1))
    {
      state->offered[GS_LIMIT_IN_FLIGHT] += 1;
      *retry_after = MAX (*retry_after, IN_FLIGHT_RETRY);
    }
  if (*retry_after != 0)
    return gs_error_set (GS_EREFUSED, "the limit is exceeded");
  level[GS_LIMIT_REQUESTS] -= 1;
  level[GS_LIMIT_TOKENS] -= tokens;
  state->in_flight++;
  return GS_OK;
}

void
gs_limits_release (gs_limits_t *limits, gs_time_t now, unsigned row,
                   uint32_t unused)
{
  row_t *state = row_at (limits, row);

  if (state->in_flight > 0)
    state->in_flight--;
  state->level[GS_LIMIT_TOKENS] += unused;
}

void
gs_limits_cancel (gs_limits_t *limits, gs_time_t now, unsigned row,
                  uint32_t tokens)
{
  gs_limits_release (limits, now, row, tokens);
  row_at (limits, row)->level[GS_LIMIT_REQUESTS] += 1;
}

size_t
gs_limits_export (gs_limits_t *limits, gs_time_t now, gs_usage_row_t *rows,
                  size_t max)
{
  size_t count = 0;

  for (guint i = 0; i < limits->rows->len; i++)
    {
      row_t *row = row_at (limits, i);
      uint64_t any = 0;
      gs_usage_row_t out = { .name = row->name };

      fade (row, now);
      for (int kind = 0; kind < GS_LIMIT_COUNT; kind++)
        {
          double demand = row->offered[kind]
                          + (kind == GS_LIMIT_IN_FLIGHT ? row->in_flight : 0);

          out.demand[kind] = (uint64_t)(demand * THOUSAND);
          any |= out.demand[kind];
        }
      if (any != 0 && count == max)
        continue;
      for (int kind = 0; kind < GS_LIMIT_COUNT; kind++)
        row->told[kind] = (double)out.demand[kind] / THOUSAND;
      if (any != 0)
        rows[count++] = out;
    }
  return count;
}

static member_t *
ensure_member (gs_limits_t *limits, uint64_t id)
{
  member_t *member = g_hash_table_lookup (limits->members, &id);

  if (member != NULL || g_hash_table_size (limits->members) >= MEMBERS_MAX)
    return member;
  member = g_new0 (member_t, 1);
  member->demand = g_array_new (FALSE, TRUE, sizeof (double));
  g_hash_table_insert (limits->members, g_memdup2 (&id, sizeof id), member);
  return member;
}

static void
set_demand (gs_limits_t *limits, member_t *member, unsigned row,
            gs_limit_kind_t kind, double demand)
{
  guint at = row * GS_LIMIT_COUNT + (guint)kind;
  double *known;

  if (member->demand->len <= at)
    g_array_set_size (member->demand, limits->rows->len * GS_LIMIT_COUNT);
  known = &g_array_index (member->demand, double, at);
  row_at (limits, row)->others[kind] += demand - *known;
  *known = demand;
}

void
gs_limits_import (gs_limits_t *limits, gs_time_t now, uint64_t member,
                  const gs_usage_row_t *rows, size_t count)
{
  member_t *known = ensure_member (limits, member);

  if (known == NULL)
    return;
  known->heard_at = now;
  for (guint i = 0; i < limits->rows->len; i++)
    for (int kind = 0; kind < GS_LIMIT_COUNT; kind++)
      set_demand (limits, known, i, (gs_limit_kind_t)kind, 0);
  for (size_t i = 0; i < count; i++)
    {
      int row = find_row (limits, rows[i].name);

      for (int kind = 0; kind < GS_LIMIT_COUNT && row >= 0; kind++)
        set_demand (limits, known, (unsigned)row, (gs_limit_kind_t)kind,
                    (double)rows[i].demand[kind] / THOUSAND);
    }
}
