#include "policy/replica_limit.h"

#include <glib.h>
#include <xxhash.h>

/* Nodes that share a limit beyond one for each request a second.  Each may
   have one request in reserve, so that a replica gets few at once.  */
#define SHARERS_EXTRA 3

bool
replica_limit_is_set (const replica_limit_t *limit, gs_time_t now)
{
  return limit->per_sec > 0 && now <= limit->stated_at + REPLICA_LIMIT_TTL;
}

/* @return time between two requests of this node  */
static gs_time_t
request_interval (const replica_limit_t *limit)
{
  return (gs_time_t)(limit->sharers / limit->per_sec * (double)GS_SEC);
}

/* @return how far due may lie ahead while a request is allowed: a node with a
   high rate may send as many at once as the replica takes in a second from
   all, divided by the nodes that share this  */
static gs_time_t
reserve_time (const replica_limit_t *limit)
{
  return MAX (GS_SEC - request_interval (limit), 0);
}

/* A node that begins to share a limit has no request in reserve, as others may
   have used it up.  */
static void
empty_reserve (replica_limit_t *limit, gs_time_t now)
{
  if (limit->sharers > 0)
    limit->due = now + request_interval (limit) + reserve_time (limit);
}

bool
replica_limit_state (replica_limit_t *limit, gs_time_t now,
                     gs_time_t stated_at, double per_sec)
{
  bool was_set = replica_limit_is_set (limit, now);
  double before = limit->per_sec;

  if (stated_at <= limit->stated_at)
    return false;
  limit->stated_at = stated_at;
  limit->per_sec = per_sec > 0 ? MAX (per_sec, REPLICA_LIMIT_MIN) : 0;
  if (!was_set)
    limit->sharers = 0;
  return was_set ? limit->per_sec != before
                 : replica_limit_is_set (limit, now);
}

void
replica_limit_share (replica_limit_t *limit, gs_time_t now, uint64_t replica,
                     const uint64_t *nodes, size_t count, unsigned members)
{
  unsigned sharers_max
      = (unsigned)MIN (limit->per_sec, (double)G_MAXINT) + SHARERS_EXTRA;
  unsigned before = limit->sharers;
  uint64_t words[] = { replica, count > 0 ? nodes[0] : 0 };
  uint64_t own = XXH3_64bits (words, sizeof words);
  unsigned rank = 0;

  for (size_t i = 1; i < count && rank < sharers_max; i++)
    {
      words[1] = nodes[i];
      rank += XXH3_64bits (words, sizeof words) < own;
    }
  limit->sharers
      = rank < sharers_max ? MAX (MIN (sharers_max, members), 1) : 0;
  if (before == 0)
    empty_reserve (limit, now);
  else if (limit->sharers > 0)
    limit->due = MIN (limit->due,
                      now + request_interval (limit) + reserve_time (limit));
}

gs_time_t
replica_limit_opens_at (const replica_limit_t *limit, gs_time_t now)
{
  if (!replica_limit_is_set (limit, now))
    return 0;
  return limit->sharers > 0
             ? limit->due - reserve_time (limit)
             : now + MAX ((gs_time_t)((double)GS_SEC / limit->per_sec), 1);
}

bool
replica_limit_allows (const replica_limit_t *limit, gs_time_t now)
{
  return replica_limit_opens_at (limit, now) <= now;
}

void
replica_limit_take (replica_limit_t *limit, gs_time_t now)
{
  if (replica_limit_is_set (limit, now) && limit->sharers > 0)
    limit->due = MAX (limit->due, now) + request_interval (limit);
}

double
replica_limit_own_rate (const replica_limit_t *limit, gs_time_t now)
{
  return replica_limit_is_set (limit, now) && limit->sharers > 0
             ? limit->per_sec / limit->sharers
             : 0;
}
