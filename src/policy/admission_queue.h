/**
 * @file admission_queue.h
 * Requests of one service that wait at this node because no replica has room:
 * the order in which they are served, and which are refused at once.  The load
 * that this answers: more requests than the replicas can serve, of classes and
 * accounts that must not starve each other, some of which can no longer be
 * served on time.  What a request may wait follows from the time that its
 * caller has and from the times that requests of its class have taken.  The
 * functions work on tables only; they read no clock and do no I/O.
 */
#ifndef GS_POLICY_ADMISSION_QUEUE_H
#define GS_POLICY_ADMISSION_QUEUE_H

#include "garnetstack/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct admission_queue admission_queue_t;

/** A request that waits or may wait; owned by the caller, and unchanged but
   for the last fields while it is in the queue. */
typedef struct
{
  void *request;
  int priority;           /**< 0 (first) to 9 */
  uint64_t request_class; /**< requests of a route */
  uint64_t account;       /**< 0 for anonymous requests */
  gs_time_t arrived_at;
  gs_time_t goal_at;    /**< when the response or its first event is due */
  gs_time_t respond_by; /**< its caller leaves if there is no response or
                             event by then */
  gs_time_t deadline;
  uint32_t tokens; /**< memory that it needs at a replica; 0 if it needs
                         no memory that is counted */
  bool bound;      /**< only some replicas can serve it: it does not delay the
                        others */
  /* Set by the queue. */
  gs_time_t on_time_until; /**< last time to send it that meets its goal */
  gs_time_t serve_until;   /**< last time to send it while its caller stays */
  bool queued;
  uint64_t passed_tokens; /**< memory of those that were placed before it as
                               they need less */
} admission_entry_t;

/** What this node may use of the replicas. */
typedef struct
{
  unsigned slots;         /**< of replicas that name no limit; all nodes */
  double taken;           /**< this node's part of the slots in use */
  double limited_per_sec; /**< requests that replicas with a limit take from
                               this node */
} admission_capacity_t;

/** Progress through the queue; all zero at first. */
typedef struct
{
  admission_entry_t *blocker; /**< first request that had no room */
  uint32_t tokens_max;        /**< larger requests are not tried */
} admission_pass_t;

/** @param out receives the queue; freed with admission_queue_destroy() */
void admission_queue_create (admission_queue_t **out);
void admission_queue_destroy (admission_queue_t *queue);

unsigned admission_queue_length (const admission_queue_t *queue);

/** Set what this node may use of the replicas. */
void admission_queue_capacity_set (admission_queue_t *queue,
                                   const admission_capacity_t *capacity);

/** Count a request that has arrived, whether it will wait or not, and set
   until when it may be sent. */
void admission_queue_arrival_record (admission_queue_t *queue, gs_time_t now,
                                     admission_entry_t *entry);

/** Forget what was measured of classes that nothing has arrived of since the
    last call, such as those of removed routes. */
void admission_queue_unused_remove (admission_queue_t *queue);

/** @return whether a new request is to wait even if a replica has room, as
    others wait that are served before it */
bool admission_queue_must_wait (admission_queue_t *queue, gs_time_t now,
                                admission_entry_t *entry);

/** Add a request unless it is expected to wait for longer than it may.
    @return whether it was added */
bool admission_queue_offer (admission_queue_t *queue, gs_time_t now,
                            admission_entry_t *entry);

/** Add a request however long it may have to wait. */
void admission_queue_hold (admission_queue_t *queue, gs_time_t now,
                           admission_entry_t *entry);

/** Remove a request, if it is in the queue. */
void admission_queue_remove (admission_queue_t *queue,
                             admission_entry_t *entry);

/** @return the requests in the order of service, an array of pointers to
    admission_entry_t; freed with g_ptr_array_unref() */
GPtrArray *admission_queue_order (admission_queue_t *queue, gs_time_t now);

/** @return whether a request is to be tried at the replicas, after those that
    were tried before it */
bool admission_pass_may_try (const admission_pass_t *pass,
                             const admission_entry_t *entry);

/** Record that a request was tried and had no room. */
void admission_pass_blocked (admission_pass_t *pass, admission_entry_t *entry);

/** Record that a request was placed. */
void admission_pass_placed (admission_pass_t *pass,
                            const admission_entry_t *entry);

/** @param ahead number of requests before it
    @return whether a request that had no room may still wait */
bool admission_queue_may_wait (admission_queue_t *queue, gs_time_t now,
                               const admission_entry_t *entry, unsigned ahead);

/** Count a request that is refused for lack of capacity. */
void admission_queue_refused_record (admission_queue_t *queue, gs_time_t now,
                                     const admission_entry_t *entry);

/** Count a request that is sent to a replica, whether it has waited or not. */
void admission_queue_sent_record (admission_queue_t *queue, gs_time_t now,
                                  const admission_entry_t *entry);

/** Record how long after it was sent a request's response, or its first event,
    came. */
void admission_queue_response_record (admission_queue_t *queue,
                                      const admission_entry_t *entry,
                                      gs_time_t response_time);

/** Count the end of a request that admission_queue_sent_record() has counted.
    @param run_time 0 if it did not run to its end */
void admission_queue_end_record (admission_queue_t *queue,
                                 const admission_entry_t *entry,
                                 gs_time_t run_time);

/** Predict when there will be room for a request that is refused now.
    @param room_at receives the time; GS_TIME_NEVER if more urgent requests
    are expected to take all places
    @param interval receives the time from that place to the next one */
void admission_queue_room_get (admission_queue_t *queue, gs_time_t now,
                               admission_entry_t *entry, gs_time_t *room_at,
                               gs_time_t *interval);

/** @return time that requests of an entry's class take at replicas; 0 if none
    has ended */
gs_time_t admission_queue_run_time (const admission_queue_t *queue,
                                    const admission_entry_t *entry);

/** @return mean time until a response, or its first event, of an entry's
   class; 0 if none has come */
gs_time_t admission_queue_response_time (const admission_queue_t *queue,
                                         const admission_entry_t *entry);

/** @return time that requests of all classes take; 0 if none has ended */
gs_time_t admission_queue_mean_run_time (const admission_queue_t *queue);

#endif
