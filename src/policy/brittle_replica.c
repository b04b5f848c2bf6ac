#include "policy/brittle_replica.h"

#include <glib.h>
#include <math.h>
#include <xxhash.h>

/* Nodes together spend at most this part of the rejections that a replica
   bears; other callers of it, and health checks, need the rest.  */
#define REJECTIONS_RATIO 0.5
/* Longest interval between two rejections of all nodes together.  */
#define REJECTION_INTERVAL_MAX (10 * GS_SEC)
#define PAUSE_MAX BRITTLE_TTL
/* The pause is doubled with each rejection of one more request than before, up
   to this number of times: the replica's room has not changed.  */
#define PAUSE_SHIFT_MAX 3
/* Pauses of the nodes differ by up to this part, so that those that were
   rejected together do not come back together.  */
#define PAUSE_JITTER_RATIO 0.5
/* Nodes assumed until their number is known, which takes an exchange.  */
#define MEMBERS_ASSUMED 16
/* What was not rejected says little of the room after this time.  */
#define WINDOW_TTL GS_SEC

/* @return a number from 0 to 1 that differs between nodes and rejections  */
static double
draw_unit (const brittle_replica_t *brittle, gs_time_t now)
{
  uint64_t words[] = { brittle->rank, brittle->rejections, (uint64_t)now };

  return (double)(XXH3_64bits (words, sizeof words) >> 11)
         / (double)(1ULL << 53);
}

static unsigned
member_count (const brittle_replica_t *brittle)
{
  return brittle->members != 0 ? brittle->members : MEMBERS_ASSUMED;
}

/* @return time between two rejections of all nodes that the replica bears  */
static gs_time_t
rejection_interval (const brittle_replica_t *brittle)
{
  double per_sec = REJECTIONS_RATIO * brittle->rejections_max;
  double interval = per_sec > 0 ? (double)GS_SEC / per_sec : INFINITY;

  return (gs_time_t)MIN (interval, (double)REJECTION_INTERVAL_MAX);
}

static gs_time_t
pause_time (const brittle_replica_t *brittle, gs_time_t now)
{
  double factor = 1 + PAUSE_JITTER_RATIO * (draw_unit (brittle, now) - 0.5);
  gs_time_t pause = rejection_interval (brittle) * member_count (brittle)
                    << MIN (brittle->rejected_tries, PAUSE_SHIFT_MAX);

  return MIN ((gs_time_t)(factor * (double)pause), PAUSE_MAX);
}

/* @return when this node begins at a process that has not answered it yet:
   each rejection interval another node does  */
static gs_time_t
begin_time (const brittle_replica_t *brittle, gs_time_t now)
{
  gs_time_t interval = rejection_interval (brittle);
  double place = brittle->members != 0
                     ? (double)brittle->rank
                     : draw_unit (brittle, now) * MEMBERS_ASSUMED;

  return now + MIN ((gs_time_t)(place * (double)interval), PAUSE_MAX);
}

static void
window_set (brittle_replica_t *brittle, unsigned in_flight)
{
  brittle->window = in_flight;
  brittle->window_ends_at = GS_TIME_NEVER;
}

static void
brittle_begin (brittle_replica_t *brittle, gs_time_t now, unsigned in_flight)
{
  window_set (brittle, in_flight);
  brittle->tried_at = 0;
  brittle->grows_at = brittle->answered ? now : begin_time (brittle, now);
}

void
brittle_replica_state (brittle_replica_t *brittle, gs_time_t now,
                       gs_time_t sent_at, double rejections_max,
                       unsigned in_flight)
{
  bool was_set = brittle_replica_is_set (brittle, now);

  brittle->answered = true;
  if (rejections_max >= 0)
    {
      brittle->stated_at = now;
      brittle->rejections_max = rejections_max;
      if (!was_set)
        brittle_begin (brittle, now, in_flight);
    }
  else if (sent_at > brittle->stated_at)
    brittle->stated_at = 0;
}

void
brittle_replica_inherit (brittle_replica_t *brittle, gs_time_t now,
                         double rejections_max, unsigned in_flight)
{
  if (brittle_replica_is_set (brittle, now))
    return;
  brittle->stated_at = now;
  brittle->rejections_max = rejections_max;
  brittle_begin (brittle, now, in_flight);
}

bool
brittle_replica_is_set (const brittle_replica_t *brittle, gs_time_t now)
{
  return brittle->stated_at != 0 && now <= brittle->stated_at + BRITTLE_TTL;
}

static uint64_t
order_hash (uint64_t node, uint64_t replica)
{
  uint64_t words[] = { node, replica };

  return XXH3_64bits (words, sizeof words);
}

void
brittle_replica_share (brittle_replica_t *brittle, gs_time_t now,
                       uint64_t replica, const uint64_t *nodes, size_t count)
{
  bool was_known = brittle->members != 0;

  brittle->rank = 0;
  for (size_t i = 1; i < count; i++)
    brittle->rank
        += order_hash (nodes[i], replica) < order_hash (nodes[0], replica);
  brittle->members = (unsigned)count;
  if (!was_known && !brittle->answered)
    brittle->grows_at = MIN (brittle->grows_at, begin_time (brittle, now));
}

void
brittle_replica_restart (brittle_replica_t *brittle, gs_time_t now)
{
  window_set (brittle, 0);
  brittle->tried_at = 0;
  brittle->grows_at = MAX (brittle->grows_at, begin_time (brittle, now));
}

void
brittle_replica_take (brittle_replica_t *brittle, gs_time_t now,
                      unsigned in_flight)
{
  if (in_flight > brittle->window)
    {
      brittle->tried_at = now;
      brittle->grows_at = now + pause_time (brittle, now);
    }
  if (in_flight >= brittle->window || now > brittle->window_ends_at)
    window_set (brittle, in_flight);
}

void
brittle_replica_release (brittle_replica_t *brittle, gs_time_t now,
                         unsigned in_flight)
{
  if (in_flight < brittle->window && brittle->window_ends_at == GS_TIME_NEVER)
    brittle->window_ends_at = now + WINDOW_TTL;
}

void
brittle_replica_accept (brittle_replica_t *brittle, gs_time_t now,
                        gs_time_t sent_at)
{
  if (brittle->tried_at == 0 || sent_at != brittle->tried_at)
    return;
  brittle->tried_at = 0;
  brittle->rejected_tries = 0;
  brittle->grows_at = now;
}

void
brittle_replica_reject (brittle_replica_t *brittle, gs_time_t now,
                        unsigned in_flight)
{
  brittle->rejections++;
  brittle->rejected_tries += brittle->tried_at != 0;
  window_set (brittle, in_flight);
  brittle->tried_at = 0;
  brittle->grows_at = now + pause_time (brittle, now);
}

unsigned
brittle_replica_slots (const brittle_replica_t *brittle, gs_time_t now,
                       unsigned slots, unsigned in_flight)
{
  unsigned members = member_count (brittle);
  unsigned share = slots / members + (brittle->rank < slots % members);
  unsigned window
      = now > brittle->window_ends_at ? in_flight : brittle->window;

  /* Until this node has a place among the others it takes one slot.  */
  if (brittle->members == 0)
    share = 1;
  return MIN (window + (now >= brittle->grows_at), share);
}
