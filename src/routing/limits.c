#include "garnetstack/limits.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define DEMAND_HALF_LIFE GS_SEC
/* Capacity of a token bucket, in seconds of its rate.  */
#define BUCKET_CAPACITY_SEC 1.0
#define DEMAND_SCALE 1000.0
#define IN_FLIGHT_RETRY_AFTER (250 * GS_MSEC)
#define MEMBERS_MAX 4096

typedef struct
{
  uint64_t name_hash;
  gs_limit_values_t limits;
  double recent_demand[GS_LIMIT_COUNT]; /* exponentially decaying rates */
  gs_time_t decayed_at;
  double exported[GS_LIMIT_COUNT];         /* own demand as last exported */
  double peer_demand[GS_LIMIT_COUNT];      /* reported by other members */
  double bucket_level[GS_LIMIT_IN_FLIGHT]; /* of the token buckets */
  gs_time_t refilled_at;
  uint32_t in_flight;
} limit_row_t;

typedef struct
{
  gs_time_t received_at;
  GArray *demand; /* double[GS_LIMIT_COUNT] by row */
} limit_member_t;

struct gs_limits
{
  GArray *rows; /* of limit_row_t */
  GHashTable *by_name;
  GHashTable *members;   /* other ones, not expired: id -> limit_member_t */
  unsigned member_count; /* this one included */
  gs_time_t interval;
  gs_time_t expire_at; /* next check for expired members */
};

static void
member_free (gpointer data)
{
  limit_member_t *member = data;

  g_array_unref (member->demand);
  g_free (member);
}

void
gs_limits_create (gs_limits_t **out)
{
  gs_limits_t *limits = g_new0 (gs_limits_t, 1);

  limits->rows = g_array_new (FALSE, TRUE, sizeof (limit_row_t));
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
gs_limits_name_hash (const char *kind, const char *name)
{
  return XXH3_64bits_withSeed (name, strlen (name),
                               XXH3_64bits (kind, strlen (kind)));
}

void
gs_limits_members_set (gs_limits_t *limits, unsigned members,
                       gs_time_t interval)
{
  limits->member_count = MAX (members, 1);
  limits->interval = interval;
}

static limit_row_t *
row_at (gs_limits_t *limits, unsigned row)
{
  return &g_array_index (limits->rows, limit_row_t, row);
}

static int
find_row (const gs_limits_t *limits, uint64_t name_hash)
{
  guint row
      = GPOINTER_TO_UINT (g_hash_table_lookup (limits->by_name, &name_hash));

  return (int)row - 1;
}

unsigned
gs_limits_set (gs_limits_t *limits, uint64_t name_hash,
               const gs_limit_values_t *values)
{
  int existing = find_row (limits, name_hash);
  limit_row_t row = { .name_hash = name_hash, .limits = *values };

  if (existing >= 0)
    {
      row_at (limits, (unsigned)existing)->limits = *values;
      return (unsigned)existing;
    }
  g_array_append_val (limits->rows, row);
  g_hash_table_insert (limits->by_name,
                       g_memdup2 (&name_hash, sizeof name_hash),
                       GUINT_TO_POINTER (limits->rows->len));
  return limits->rows->len - 1;
}

bool
gs_limits_find (unsigned *row, const gs_limits_t *limits, uint64_t name_hash)
{
  int existing = find_row (limits, name_hash);

  *row = (unsigned)MAX (existing, 0);
  return existing >= 0;
}

unsigned
gs_limits_count (const gs_limits_t *limits)
{
  return limits->rows->len;
}

/* Remove members whose latest report is too old.  */
static void
expire_members (gs_limits_t *limits, gs_time_t now)
{
  gs_time_t member_ttl = limits->interval * GS_LIMIT_MEMBER_TTL_INTERVALS;
  GHashTableIter iter;
  gpointer value;

  if (now < limits->expire_at)
    return;
  limits->expire_at = now + limits->interval / 4;
  g_hash_table_iter_init (&iter, limits->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      limit_member_t *member = value;

      if (member->received_at + member_ttl > now)
        continue;
      for (guint i = 0; i < member->demand->len; i++)
        row_at (limits, i / GS_LIMIT_COUNT)->peer_demand[i % GS_LIMIT_COUNT]
            -= g_array_index (member->demand, double, i);
      g_hash_table_iter_remove (&iter);
    }
}

double
gs_limits_share (gs_limits_t *limits, gs_time_t now, unsigned row,
                 gs_limit_kind_t kind)
{
  limit_row_t *row_state = row_at (limits, row);
  double limit = (double)row_state->limits.max[kind];
  double active_members;
  double demand;
  double demand_share;

  expire_members (limits, now);
  active_members
      = MIN (g_hash_table_size (limits->members) + 1, limits->member_count);
  demand = row_state->exported[kind] + MAX (row_state->peer_demand[kind], 0);
  demand_share
      = demand > 0 ? row_state->exported[kind] / demand : 1 / active_members;
  return limit * active_members / limits->member_count
         * ((100 - GS_LIMIT_DEMAND_PERCENT) / 100.0 / active_members
            + GS_LIMIT_DEMAND_PERCENT / 100.0 * demand_share);
}

static void
decay_demand (limit_row_t *row, gs_time_t now)
{
  double factor
      = exp2 (-(double)(now - row->decayed_at) / (double)DEMAND_HALF_LIFE);

  for (int kind = 0; kind < GS_LIMIT_COUNT; kind++)
    row->recent_demand[kind] *= factor;
  row->decayed_at = now;
}

static void
record_demand (limit_row_t *row, gs_time_t now, uint32_t tokens)
{
  double weight = M_LN2 / ((double)DEMAND_HALF_LIFE / GS_SEC);

  decay_demand (row, now);
  row->recent_demand[GS_LIMIT_REQUESTS] += weight;
  row->recent_demand[GS_LIMIT_TOKENS] += weight * tokens;
}

static void
refill_buckets (gs_limits_t *limits, gs_time_t now, unsigned row,
                const double *shares)
{
  limit_row_t *row_state = row_at (limits, row);
  double seconds = (double)(now - row_state->refilled_at) / GS_SEC;

  for (int kind = 0; kind < GS_LIMIT_IN_FLIGHT; kind++)
    {
      double capacity = MAX (shares[kind] * BUCKET_CAPACITY_SEC, 1);

      row_state->bucket_level[kind]
          = row_state->refilled_at == 0
                ? capacity
                : MIN (row_state->bucket_level[kind] + shares[kind] * seconds,
                       capacity);
    }
  row_state->refilled_at = now;
}

/* Return the time until a bucket is refilled to a level.  */
static gs_time_t
refill_time (double bucket_level, double target, double rate)
{
  return (gs_time_t)((target - bucket_level) / MAX (rate, 1e-3) * GS_SEC)
         + GS_MSEC;
}

gs_status_t
gs_limits_admit (gs_limits_t *limits, gs_time_t now, unsigned row,
                 uint32_t tokens, gs_time_t *retry_after)
{
  limit_row_t *row_state = row_at (limits, row);
  const uint64_t *max = row_state->limits.max;
  double *bucket_level = row_state->bucket_level;
  double shares[GS_LIMIT_COUNT];

  for (int kind = 0; kind < GS_LIMIT_COUNT; kind++)
    shares[kind] = gs_limits_share (limits, now, row, (gs_limit_kind_t)kind);
  record_demand (row_state, now, tokens);
  refill_buckets (limits, now, row, shares);
  *retry_after = 0;
  if (max[GS_LIMIT_REQUESTS] != 0 && bucket_level[GS_LIMIT_REQUESTS] < 1)
    *retry_after = refill_time (bucket_level[GS_LIMIT_REQUESTS], 1,
                                shares[GS_LIMIT_REQUESTS]);
  if (max[GS_LIMIT_TOKENS] != 0 && bucket_level[GS_LIMIT_TOKENS] <= 0)
    *retry_after
        = MAX (*retry_after, refill_time (bucket_level[GS_LIMIT_TOKENS], 0,
                                          shares[GS_LIMIT_TOKENS]));
  if (max[GS_LIMIT_IN_FLIGHT] != 0
      && row_state->in_flight + 1 > MAX (shares[GS_LIMIT_IN_FLIGHT], 1))
    {
      row_state->recent_demand[GS_LIMIT_IN_FLIGHT] += 1;
      *retry_after = MAX (*retry_after, IN_FLIGHT_RETRY_AFTER);
    }
  if (*retry_after != 0)
    return gs_error_set (GS_EREFUSED, "the limit is exceeded");
  bucket_level[GS_LIMIT_REQUESTS] -= 1;
  bucket_level[GS_LIMIT_TOKENS] -= tokens;
  row_state->in_flight++;
  return GS_OK;
}

void
gs_limits_release (gs_limits_t *limits, gs_time_t now, unsigned row,
                   uint32_t unused)
{
  limit_row_t *row_state = row_at (limits, row);

  if (row_state->in_flight > 0)
    row_state->in_flight--;
  row_state->bucket_level[GS_LIMIT_TOKENS] += unused;
}

void
gs_limits_cancel (gs_limits_t *limits, gs_time_t now, unsigned row,
                  uint32_t tokens)
{
  gs_limits_release (limits, now, row, tokens);
  row_at (limits, row)->bucket_level[GS_LIMIT_REQUESTS] += 1;
}

size_t
gs_limits_export (gs_limits_t *limits, gs_time_t now, gs_usage_row_t *rows,
                  size_t max)
{
  size_t count = 0;

  for (guint i = 0; i < limits->rows->len; i++)
    {
      limit_row_t *row = row_at (limits, i);
      uint64_t any = 0;
      gs_usage_row_t out = { .name_hash = row->name_hash };

      decay_demand (row, now);
      for (int kind = 0; kind < GS_LIMIT_COUNT; kind++)
        {
          double demand = row->recent_demand[kind]
                          + (kind == GS_LIMIT_IN_FLIGHT ? row->in_flight : 0);

          out.demand[kind] = (uint64_t)(demand * DEMAND_SCALE);
          any |= out.demand[kind];
        }
      if (any != 0 && count == max)
        continue;
      for (int kind = 0; kind < GS_LIMIT_COUNT; kind++)
        row->exported[kind] = (double)out.demand[kind] / DEMAND_SCALE;
      if (any != 0)
        rows[count++] = out;
    }
  return count;
}

static limit_member_t *
ensure_member (gs_limits_t *limits, uint64_t id)
{
  limit_member_t *member = g_hash_table_lookup (limits->members, &id);

  if (member != NULL || g_hash_table_size (limits->members) >= MEMBERS_MAX)
    return member;
  member = g_new0 (limit_member_t, 1);
  member->demand = g_array_new (FALSE, TRUE, sizeof (double));
  g_hash_table_insert (limits->members, g_memdup2 (&id, sizeof id), member);
  return member;
}

static void
set_peer_demand (gs_limits_t *limits, limit_member_t *member, unsigned row,
                 gs_limit_kind_t kind, double demand)
{
  guint at = row * GS_LIMIT_COUNT + (guint)kind;
  double *current;

  if (member->demand->len <= at)
    g_array_set_size (member->demand, limits->rows->len * GS_LIMIT_COUNT);
  current = &g_array_index (member->demand, double, at);
  row_at (limits, row)->peer_demand[kind] += demand - *current;
  *current = demand;
}

void
gs_limits_import (gs_limits_t *limits, gs_time_t now, uint64_t member_id,
                  const gs_usage_row_t *rows, size_t count)
{
  limit_member_t *member = ensure_member (limits, member_id);

  if (member == NULL)
    return;
  member->received_at = now;
  for (guint i = 0; i < limits->rows->len; i++)
    for (int kind = 0; kind < GS_LIMIT_COUNT; kind++)
      set_peer_demand (limits, member, i, (gs_limit_kind_t)kind, 0);
  for (size_t i = 0; i < count; i++)
    {
      int row = find_row (limits, rows[i].name_hash);

      for (int kind = 0; kind < GS_LIMIT_COUNT && row >= 0; kind++)
        set_peer_demand (limits, member, (unsigned)row, (gs_limit_kind_t)kind,
                         (double)rows[i].demand[kind] / DEMAND_SCALE);
    }
}
