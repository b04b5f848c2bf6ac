/**
 * @file crossing.h
 * Routing between data centres: which part of a service's load is sent from
 * this node's data centre to others, and to which.  Load is counted in slots
 * of replicas.  The share is computed from the load that the data centre's
 * callers offer, not by feedback on the load that is left, so that old inputs
 * do not make it oscillate (docs/design/leaving-a-data-centre.md).  Plain
 * state; reads no clock and does no I/O.
 */
#ifndef GS_POLICY_CROSSING_H
#define GS_POLICY_CROSSING_H

#include "garnetstack/clock.h"
#include "garnetstack/rng.h"

#include <stdbool.h>
#include <stdint.h>

/** Data centres of a service; rows of a table. */
#define CROSSING_CENTRES_MAX 32
/** Stands for no data centre. */
#define CROSSING_CENTRE_NONE 0

/** Load of a service in one data centre, as known at this node. */
typedef struct
{
  uint64_t id;  /**< crossing_centre_hash() of its name */
  double slots; /**< of the replicas that accept requests */
  double taken; /**< slots that running requests occupy, of all nodes */
  double own;   /**< those of this node's requests */
} crossing_centre_t;

/** How much a request needs to leave its data centre. */
typedef enum
{
  CROSSING_NEED_NONE,   /**< it may still wait for a local replica */
  CROSSING_NEED_LATE,   /**< no local replica would serve it on time */
  CROSSING_NEED_URGENT, /**< it has waited for a part of its queue time */
  CROSSING_NEED_LAST    /**< it is refused otherwise */
} crossing_need_t;

/** Another data centre as a receiver of requests. */
typedef struct
{
  uint64_t id;
  double share; /**< of this node's requests that are sent there */
  double away;  /**< mean of the running requests of this data centre's
                     callers there */
  double room;  /**< free slots beyond the reserve for its own callers; less
                     than 0 if the reserve is in use */
  double free;  /**< free slots */
  double urgent_reserve; /**< free slots that it keeps from urgent requests */
  unsigned failures;     /**< of attempts there, in a row */
  unsigned closures;     /**< in a row */
  gs_time_t closed_until;
} crossing_target_t;

/** State of one service at one node. */
typedef struct
{
  uint64_t local;      /**< this node's data centre */
  bool spread;         /**< ready replicas are in several data centres, some
                          of them local */
  double share;        /**< sum of the targets' shares */
  double local_taken;  /**< mean of the load of the local data centre */
  double local_own;    /**< mean of this node's part of it */
  double excess_ratio; /**< of the offered load, before it is smoothed */
  gs_time_t updated_at;
  unsigned count;
  crossing_target_t targets[CROSSING_CENTRES_MAX];
} crossing_t;

/** @return hash of a data centre's name; never CROSSING_CENTRE_NONE */
uint64_t crossing_centre_hash (const char *name);

/** @param local hash of this node's data centre */
void crossing_init (crossing_t *crossing, uint64_t local);

/** @param age of what is known of other nodes' load; GS_TIME_NEVER if nothing
   is
    @param useful how old it may be at most
    @return how much it says, from 0 to 1 */
double crossing_freshness (gs_time_t age, gs_time_t useful);

/**
 * Compute the share of each other data centre.
 * @param centres those with replicas that accept requests, in any order
 * @param nodes number of nodes in this data centre, this one included
 * @param queued requests that wait at this node for a slot
 * @param freshness how much the load of other nodes says, from 0 to 1
 */
void crossing_update (crossing_t *crossing, gs_time_t now,
                      const crossing_centre_t *centres, unsigned count,
                      unsigned nodes, double queued, double freshness);

/** Draw whether a new request belongs to the share.
    @return the data centre it is to be sent to, else CROSSING_CENTRE_NONE */
uint64_t crossing_draw (const crossing_t *crossing, gs_time_t now,
                        gs_rng_t *rng);

/** @return whether a request that no local replica serves on time may be sent
    to a data centre: the more it needs that, the less is kept for callers
    there */
bool crossing_is_open (const crossing_t *crossing, gs_time_t now, uint64_t id,
                       crossing_need_t need);

/** Which replicas a request may get. */
typedef enum
{
  CROSSING_FREE,       /**< those of all data centres alike */
  CROSSING_FORBIDDEN,  /**< local ones */
  CROSSING_LOCAL_FIRST /**< local ones, others as crossing_verdict_t says */
} crossing_rule_t;

/** What the placer is told for one request. */
typedef struct
{
  crossing_rule_t rule;
  const crossing_t *state; /**< for CROSSING_LOCAL_FIRST */
  uint64_t target;         /**< data centre from crossing_draw(), or
                                CROSSING_CENTRE_NONE */
  crossing_need_t need;    /**< as far as its waiting time tells */
  gs_time_t hold_until;    /**< until then it waits for a local slot if all are
                                taken and it would still be on time elsewhere */
} crossing_verdict_t;

/** Why a replica of a data centre was chosen. */
typedef enum
{
  CROSSING_REASON_ANY,   /**< without regard to data centres */
  CROSSING_REASON_LOCAL, /**< a local one */
  CROSSING_REASON_SHARE, /**< the request belongs to the share */
  CROSSING_REASON_LATE,  /**< local ones would serve it late */
  CROSSING_REASON_FULL,  /**< no local one takes requests */
  CROSSING_REASON_PREFIX /**< the replica that has its prefix cached answers
                              sooner than a local one would prefill it */
} crossing_reason_t;

/** @return name of a reason in logs and metrics */
const char *crossing_reason_name (crossing_reason_t reason);

/** Record the end of an attempt at a replica of a data centre.
    @param failed its replica could not be reached, or broke the attempt off
    @return whether that closes the data centre for some time */
bool crossing_attempt_end (crossing_t *crossing, gs_time_t now, uint64_t id,
                           bool failed);

#endif
