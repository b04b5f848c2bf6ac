/**
 * @file replica_limit.h
 * Rate limit that a replica in need names for all nodes together, and this
 * node's part of it.  Nodes cannot ask each other before each request, and a
 * limit may be far below one request a second and node.  So a few nodes share
 * it, chosen by a hash that all nodes compute alike, each with an equal part;
 * the others send the replica nothing.  The load that this answers: callers
 * ask for more than the limit, at all nodes.  Plain data; reads no clock.
 */
#ifndef GS_POLICY_REPLICA_LIMIT_H
#define GS_POLICY_REPLICA_LIMIT_H

#include "garnetstack/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A lower limit is treated as this one, in requests a second: some request
    must be sent to learn that the replica has recovered. */
#define REPLICA_LIMIT_MIN 0.25
/** A limit that no answer has confirmed for this long has ended. */
#define REPLICA_LIMIT_TTL (60 * GS_SEC)

/** Limit of one replica as one node knows it; all zero at first. */
typedef struct
{
  double per_sec;      /**< 0 if the replica names none */
  gs_time_t stated_at; /**< when a node last received what it says; 0 for
                            never */
  unsigned sharers;    /**< nodes that share the limit; 0 if this node may send
                            nothing */
  gs_time_t due;       /**< when all that was sent is within the limit */
} replica_limit_t;

/**
 * Record what a replica says in an answer.  An earlier statement than the last
 * one is ignored.
 * @param stated_at when the answer was received
 * @param per_sec requests a second from all nodes; 0 if it names no limit
 * @return whether the limit has changed
 */
bool replica_limit_state (replica_limit_t *limit, gs_time_t now,
                          gs_time_t stated_at, double per_sec);

/**
 * Set this node's part of the limit.
 * @param replica hash of the replica
 * @param nodes hashes of the nodes that accept requests, this one first
 * @param members nodes that may send requests, those not heard of included
 */
void replica_limit_share (replica_limit_t *limit, gs_time_t now,
                          uint64_t replica, const uint64_t *nodes,
                          size_t count, unsigned members);

/** @return whether a limit is in force. */
bool replica_limit_is_set (const replica_limit_t *limit, gs_time_t now);

/** @return whether a request may be sent to the replica now. */
bool replica_limit_allows (const replica_limit_t *limit, gs_time_t now);

/** @return earliest time at which a request may be sent to the replica; a time
    in the past if one may be sent now.  For a node that may send nothing, the
    time at which others may have sent one. */
gs_time_t replica_limit_opens_at (const replica_limit_t *limit, gs_time_t now);

/** Count a request that is sent to the replica. */
void replica_limit_take (replica_limit_t *limit, gs_time_t now);

/** @return requests a second that this node may send; 0 if no limit is in
    force or it may send none */
double replica_limit_own_rate (const replica_limit_t *limit, gs_time_t now);

#endif
