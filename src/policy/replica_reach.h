/**
 * @file replica_reach.h
 * Whether this node reaches replicas at all.  A failed connection, or silence
 * of all replicas that should answer, makes it ask a few replicas at once; the
 * node counts as cut off when none of them answers, until one does.  A node
 * that is cut off passes requests on to other nodes (relay_detour.c).  Plain
 * state; reads no clock and does no I/O.
 */
#ifndef GS_POLICY_REPLICA_REACH_H
#define GS_POLICY_REPLICA_REACH_H

#include "garnetstack/clock.h"

#include <stdbool.h>

/** Replicas that are asked at once.  One answer suffices, and lost replicas
    alone do not look like a cut unless that many are drawn among them. */
#define REPLICA_REACH_PROBES 3
/** Time that a probe may take.  A connection that takes longer to open has
    lost packets or an unreachable peer. */
#define REPLICA_REACH_PROBE_TIMEOUT (500 * GS_MSEC)

typedef struct
{
  bool cut;
  bool suspected;       /**< probes are to be sent */
  gs_time_t cut_at;     /**< when it was found; 0 if it is not cut off */
  gs_time_t probes_due; /**< earliest time of the next probes */
  unsigned probes_open;
  bool probe_answered; /**< one of the present probes was answered */
} replica_reach_t;

/** Record that a new connection to a replica failed, or that no replica
    answers. */
void replica_reach_doubt (replica_reach_t *reach);

/**
 * Decide whether to send probes now.
 * @param available replicas that can be asked
 * @return number of probes that the caller must send, for each of which
 * replica_reach_probe_end() is to be called
 */
unsigned replica_reach_probes_begin (replica_reach_t *reach, gs_time_t now,
                                     unsigned available);

/** Record the end of a probe.
    @param answered whether the replica answered at all
    @return whether replica_reach_t.cut has changed */
bool replica_reach_probe_end (replica_reach_t *reach, gs_time_t now,
                              bool answered);

#endif
