/**
 * @file brittle_replica.h
 * This node's part of a replica that says that it is brittle: it falls over
 * when it has to reject more than a few requests a second for lack of room.
 * How much room it has is not known, and nodes learn of each other's requests
 * too late to agree on the last free slots.  So each node has a fixed part of
 * the slots, and within it a window: the requests that it has had there at
 * once without a rejection.  It tries one more at a time, when the one before
 * has been answered.  A rejection closes the window to what still runs, and
 * the node tries again after a pause that keeps the rejections of all nodes
 * below the replica's bound.  At a replica that has not answered this node
 * yet, nodes begin one after the other.  The load that this answers: callers
 * ask for more than the replicas can run, at all nodes, while replicas and
 * nodes start.  Plain data; reads no clock.
 */
#ifndef GS_POLICY_BRITTLE_REPLICA_H
#define GS_POLICY_BRITTLE_REPLICA_H

#include "garnetstack/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A replica that no answer has called brittle for this long is not. */
#define BRITTLE_TTL (60 * GS_SEC)

/** What one node knows of one process of a replica; all zero at first. */
typedef struct
{
  gs_time_t stated_at;   /**< when the process, or before its first answer
                              another one of its service, last stated it; 0 if
                              it is not brittle */
  double rejections_max; /**< a second, of all nodes together */
  bool answered;         /**< the process has answered this node */
  unsigned rank;         /**< of this node among those that share it, from 0 */
  unsigned members;      /**< nodes that share it; 0 if unknown */
  unsigned window;       /**< requests at once that were not rejected */
  gs_time_t window_ends_at; /**< when it closes; GS_TIME_NEVER while it is used
                                 up */
  gs_time_t grows_at;       /**< when one more may be tried */
  gs_time_t tried_at;  /**< when one more was sent that has no answer yet; 0
                            for none */
  unsigned rejections; /**< so far */
  unsigned rejected_tries; /**< in a row */
} brittle_replica_t;

/**
 * Record what an answer of the process says.
 * @param rejections_max a second; negative if it does not call the replica
 * brittle
 * @param sent_at when the request was sent; an answer to one from before the
 * replica was brittle does not end that
 * @param in_flight requests of this node that run there
 */
void brittle_replica_state (brittle_replica_t *brittle, gs_time_t now,
                            gs_time_t sent_at, double rejections_max,
                            unsigned in_flight);

/** Record that another replica of the service is brittle.  Changes nothing if
    this one is known to be. */
void brittle_replica_inherit (brittle_replica_t *brittle, gs_time_t now,
                              double rejections_max, unsigned in_flight);

/** @return whether the replica is brittle */
bool brittle_replica_is_set (const brittle_replica_t *brittle, gs_time_t now);

/**
 * Set which nodes share the replica.
 * @param replica hash of the replica
 * @param nodes hashes of all nodes that may send requests, this one first,
 * those without a recent message included
 * @param count 0 if the nodes are not known yet
 */
void brittle_replica_share (brittle_replica_t *brittle, gs_time_t now,
                            uint64_t replica, const uint64_t *nodes,
                            size_t count);

/** Begin anew, as at a process that has not answered yet: replicas of the
    service have less room than before. */
void brittle_replica_restart (brittle_replica_t *brittle, gs_time_t now);

/** Count a request that is sent.
    @param in_flight requests of this node that run there, with this one */
void brittle_replica_take (brittle_replica_t *brittle, gs_time_t now,
                           unsigned in_flight);

/** Count a request that has ended, before what follows from its outcome.
    @param in_flight requests of this node that still run there */
void brittle_replica_release (brittle_replica_t *brittle, gs_time_t now,
                              unsigned in_flight);

/** Record that the replica runs a request.
    @param sent_at when it was sent */
void brittle_replica_accept (brittle_replica_t *brittle, gs_time_t now,
                             gs_time_t sent_at);

/** Record that the replica has rejected a request for lack of room.
    @param in_flight requests of this node that still run there */
void brittle_replica_reject (brittle_replica_t *brittle, gs_time_t now,
                             unsigned in_flight);

/** @param slots of the replica
    @param in_flight requests of this node that run there
    @return how many requests this node may have there at once */
unsigned brittle_replica_slots (const brittle_replica_t *brittle,
                                gs_time_t now, unsigned slots,
                                unsigned in_flight);

#endif
