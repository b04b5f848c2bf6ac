#include "policy/crossing.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Slots that a data centre keeps for its own callers, as a multiple of the
   square root of its slots, which is the standard deviation of the number of
   running requests if they arrive independently.  Urgent requests would be
   refused otherwise, so they leave only what old inputs may hide.  */
#define RESERVE 1.0
#define URGENT_RESERVE 0.25
/* Time constant of the smoothing of shares and of requests away: longer than
   the 300 ms after which a change is known at all nodes.  */
#define SMOOTHING_TIME GS_SEC
/* Time constant of the means that tell this node's part of its data centre's
   load: long, as the part changes slowly and few requests run at one node.  */
#define PART_TIME (4 * GS_SEC)
/* Failed attempts in a row that close a data centre, and for how long.  The
   time doubles with each closure.  */
#define FAILURES_MAX 3
#define CLOSE_TIME_MIN GS_SEC
#define CLOSE_SHIFT_MAX 3

uint64_t
crossing_centre_hash (const char *name)
{
  return MAX (XXH3_64bits (name, strlen (name)), 1);
}

void
crossing_init (crossing_t *crossing, uint64_t local)
{
  *crossing = (crossing_t){ .local = local };
}

static crossing_target_t *
target_find (const crossing_t *crossing, uint64_t id)
{
  for (unsigned i = 0; i < crossing->count; i++)
    if (crossing->targets[i].id == id)
      return (crossing_target_t *)&crossing->targets[i];
  return NULL;
}

static const crossing_centre_t *
centre_find (const crossing_centre_t *centres, unsigned count, uint64_t id)
{
  for (unsigned i = 0; i < count; i++)
    if (centres[i].id == id)
      return &centres[i];
  return NULL;
}

static bool
is_closed (const crossing_target_t *target, gs_time_t now)
{
  return target->closed_until > now;
}

double
crossing_freshness (gs_time_t age, gs_time_t useful)
{
  return age == GS_TIME_NEVER ? 0 : MAX (0, 1 - (double)age / (double)useful);
}

/* Replaces the targets; those that were there keep their state.  */
static void
targets_set (crossing_t *crossing, const crossing_centre_t *centres,
             unsigned count, double freshness)
{
  crossing_target_t targets[CROSSING_CENTRES_MAX];
  unsigned used = 0;

  for (unsigned i = 0; i < count && used < CROSSING_CENTRES_MAX; i++)
    {
      const crossing_centre_t *centre = &centres[i];
      crossing_target_t target = { .id = centre->id };
      const crossing_target_t *before;

      if (centre->id == crossing->local)
        continue;
      before = target_find (crossing, centre->id);
      if (before != NULL)
        target = *before;
      target.free = centre->slots - centre->taken;
      target.urgent_reserve = URGENT_RESERVE * sqrt (centre->slots);
      target.room = target.free - RESERVE * sqrt (centre->slots);
      if (target.room > 0)
        target.room *= freshness;
      targets[used++] = target;
    }
  memcpy (crossing->targets, targets, used * sizeof *targets);
  crossing->count = used;
}

/* @return the part of other data centres' room that this one may use: those
   that are short divide it in proportion to their slots  */
static double
room_ratio (const crossing_centre_t *centres, unsigned count,
            const crossing_centre_t *local)
{
  double short_slots = 0;

  for (unsigned i = 0; i < count; i++)
    if (centres[i].id == local->id || centres[i].taken >= centres[i].slots)
      short_slots += centres[i].slots;
  return short_slots > 0 ? local->slots / short_slots : 0;
}

/* @return load of the data centre's callers as a multiple of that of this
   node's: the number of nodes, but less if this node has more than its share
   of callers.  A node with fewer does not use the local load to tell, as that
   includes requests of other data centres.  */
static double
part_update (crossing_t *crossing, const crossing_centre_t *local,
             unsigned nodes, gs_time_t elapsed)
{
  double weight = 1 - exp (-(double)elapsed / PART_TIME);

  crossing->local_taken += weight * (local->taken - crossing->local_taken);
  crossing->local_own += weight * (local->own - crossing->local_own);
  return crossing->local_own > 0
             ? CLAMP (crossing->local_taken / crossing->local_own, 1, nodes)
             : nodes;
}

/* Updates how many requests of this data centre's callers run at the targets.
   This node's requests stand for those of the others: the tables of load do
   not say whose requests run at a replica.
   @return the sum over all targets  */
static double
away_update (crossing_t *crossing, const crossing_centre_t *centres,
             unsigned count, double factor, double weight)
{
  double sum = 0;

  for (unsigned i = 0; i < crossing->count; i++)
    {
      crossing_target_t *target = &crossing->targets[i];
      const crossing_centre_t *centre
          = centre_find (centres, count, target->id);

      target->away += weight * (centre->own * factor - target->away);
      sum += target->away;
    }
  return sum;
}

/* Sets the shares to which the smoothed ones tend.
   @param offered load of the local data centre's callers
   @param shares receives one value for each target  */
static void
shares_compute (crossing_t *crossing, gs_time_t now,
                const crossing_centre_t *centres, unsigned count,
                const crossing_centre_t *local, double offered, double *shares)
{
  double excess = MAX (0, offered - local->slots);
  double ratio = room_ratio (centres, count, local);
  double allowed = 0;

  crossing->excess_ratio = offered > 0 ? excess / offered : 0;
  for (unsigned i = 0; i < crossing->count; i++)
    {
      const crossing_target_t *target = &crossing->targets[i];

      shares[i] = is_closed (target, now)
                      ? 0
                      : MAX (0, target->away + ratio * target->room);
      allowed += shares[i];
    }
  for (unsigned i = 0; i < crossing->count; i++)
    shares[i]
        *= offered > 0 ? MIN (1, excess / MAX (allowed, 1e-9)) / offered : 0;
}

void
crossing_update (crossing_t *crossing, gs_time_t now,
                 const crossing_centre_t *centres, unsigned count,
                 unsigned nodes, double queued, double freshness)
{
  const crossing_centre_t *local
      = centre_find (centres, count, crossing->local);
  gs_time_t elapsed = now - crossing->updated_at;
  double weight = 1 - exp (-(double)elapsed / SMOOTHING_TIME);
  double shares[CROSSING_CENTRES_MAX] = { 0 };
  double offered;

  crossing->updated_at = now;
  targets_set (crossing, centres, count, freshness);
  crossing->spread = local != NULL && crossing->count > 0;
  if (!crossing->spread)
    {
      crossing->share = 0;
      return;
    }
  if (freshness > 0)
    {
      double factor = part_update (crossing, local, nodes, elapsed);

      offered = local->taken + queued * factor
                + away_update (crossing, centres, count, factor, weight);
      shares_compute (crossing, now, centres, count, local, offered, shares);
    }
  crossing->share = 0;
  for (unsigned i = 0; i < crossing->count; i++)
    {
      crossing_target_t *target = &crossing->targets[i];

      target->share
          = is_closed (target, now)
                ? 0
                : target->share + weight * (shares[i] - target->share);
      crossing->share += target->share;
    }
}

uint64_t
crossing_draw (const crossing_t *crossing, gs_time_t now, gs_rng_t *rng)
{
  double drawn = gs_rng_unit (rng);

  if (!crossing->spread)
    return CROSSING_CENTRE_NONE;
  for (unsigned i = 0; i < crossing->count; i++)
    {
      const crossing_target_t *target = &crossing->targets[i];

      if (drawn < target->share)
        return is_closed (target, now) ? CROSSING_CENTRE_NONE : target->id;
      drawn -= target->share;
    }
  return CROSSING_CENTRE_NONE;
}

bool
crossing_is_open (const crossing_t *crossing, gs_time_t now, uint64_t id,
                  crossing_need_t need)
{
  const crossing_target_t *target = target_find (crossing, id);

  /* Like an ejected replica, a closed data centre is better than none.  */
  if (need == CROSSING_NEED_LAST)
    return true;
  if (target == NULL || is_closed (target, now))
    return false;
  return need == CROSSING_NEED_URGENT ? target->free > target->urgent_reserve
                                      : target->room > 0;
}

const char *
crossing_reason_name (crossing_reason_t reason)
{
  static const char *const names[] = {
    [CROSSING_REASON_ANY] = "any",     [CROSSING_REASON_LOCAL] = "local",
    [CROSSING_REASON_SHARE] = "share", [CROSSING_REASON_LATE] = "late",
    [CROSSING_REASON_FULL] = "full",   [CROSSING_REASON_PREFIX] = "prefix"
  };

  return names[reason];
}

bool
crossing_attempt_end (crossing_t *crossing, gs_time_t now, uint64_t id,
                      bool failed)
{
  crossing_target_t *target = target_find (crossing, id);

  if (target == NULL)
    return false;
  if (!failed)
    {
      target->failures = 0;
      target->closures = 0;
      return false;
    }
  if (is_closed (target, now) || ++target->failures < FAILURES_MAX)
    return false;
  target->closed_until
      = now + (CLOSE_TIME_MIN << MIN (target->closures, CLOSE_SHIFT_MAX));
  target->closures++;
  target->failures = 0;
  return true;
}
