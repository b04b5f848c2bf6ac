/**
 * @file admission.h
 * Admission under overload: weighted fair shares of accounts and priorities of
 * classes, expressed as the part of each replica that a request may fill.  The
 * module also has retry budgets and the queue of waiting requests.
 */
#ifndef GARNETSTACK_ADMISSION_H
#define GARNETSTACK_ADMISSION_H

#include "garnetstack/clock.h"
#include "garnetstack/rng.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct gs_admission gs_admission_t;

/** @param out receives the state; destroy it with gs_admission_destroy() */
void gs_admission_create (gs_admission_t **out);

/** Free the state; NULL is ignored. */
void gs_admission_destroy (gs_admission_t *admission);

/** Add an account, or change its weight and priority.
    @param name_hash of the account name
    @param priority of its class; 0 is the highest
    @return index of its row, for the functions below */
unsigned gs_admission_set (gs_admission_t *admission, uint64_t name_hash,
                           unsigned weight, unsigned priority);

/** @return share of recent requests that no replica could serve in time,
    0 to 1. */
double gs_admission_pressure (const gs_admission_t *admission, gs_time_t now);

/** @return whether the pressure is low enough to serve all accounts alike. */
bool gs_admission_pressure_is_low (const gs_admission_t *admission,
                                   gs_time_t now);

/**
 * @return percentage of a replica that a request of an account may fill: 100
 * without pressure; under pressure less if the account is above its fair share
 * or its class has a lower priority than another active one.
 */
unsigned gs_admission_headroom (gs_admission_t *admission, gs_time_t now,
                                unsigned row);

/**
 * Record the demand of a request and the decision on it.
 * @param work of the request, in tokens
 * @param admitted whether the request was admitted
 * @param in_time whether a replica could serve it in time
 */
void gs_admission_request_record (gs_admission_t *admission, gs_time_t now,
                                  unsigned row, double work, bool admitted,
                                  bool in_time);

/** @return admitted work of an account, relative to its fair share. */
double gs_admission_share_ratio (gs_admission_t *admission, gs_time_t now,
                                 unsigned row);

/** Retry budget: each first attempt adds a fraction of a retry. */
typedef struct
{
  double credit;         /**< available retries */
  gs_time_t refilled_at; /**< time of the last refill, 0 for never */
} gs_retry_budget_t;

/** Credit added by a first attempt, in retries. */
#define GS_RETRY_CREDIT_PER_ATTEMPT 0.1
/** Upper bound on the credit, and its initial value. */
#define GS_RETRY_CREDIT_MAX 10.0
/** Credit added per second, so that accounts with few requests can retry. */
#define GS_RETRY_CREDIT_PER_SEC 0.5

#define GS_RETRY_BUDGET_INIT                                                  \
  {                                                                           \
    .credit = GS_RETRY_CREDIT_MAX                                             \
  }

/** Add the credit of a first attempt. */
void gs_retry_budget_add (gs_retry_budget_t *budget, gs_time_t now);

/** Use the credit of one retry.
    @return false if the budget is exhausted */
bool gs_retry_budget_take (gs_retry_budget_t *budget, gs_time_t now);

/** Compute the time of a retry by exponential backoff with jitter.
    @param attempt number of the next attempt; it determines the delay
    @return GS_TIME_NEVER if the time is not before the deadline */
gs_time_t gs_retry_time (gs_rng_t *rng, gs_time_t now, uint32_t attempt,
                         gs_time_t deadline);

/** Bounded queue of requests that wait for capacity, ordered by deadline. */
typedef struct gs_wait_queue gs_wait_queue_t;

#define GS_WAIT_QUEUE_REQUESTS_MAX 512
#define GS_WAIT_QUEUE_BYTES_MAX ((size_t)32 << 20)
/** Requests at the head that may be routed at the same time. */
#define GS_WAIT_QUEUE_HEAD_MAX 8

/** @param out receives the queue; destroy it with gs_wait_queue_destroy() */
void gs_wait_queue_create (gs_wait_queue_t **out);

/** Free a queue; NULL is ignored. */
void gs_wait_queue_destroy (gs_wait_queue_t *queue);

/** Add a request unless it is queued already.  Requests leave the queue at
    their deadline.
    @param bytes size of the request body
    @return false if the queue is full */
bool gs_wait_queue_add (gs_wait_queue_t *queue, gs_time_t now,
                        gs_time_t deadline, uint64_t id, size_t bytes);

/** @return whether a request, queued or not, may be routed now: fewer than
    GS_WAIT_QUEUE_HEAD_MAX queued requests have an earlier deadline. */
bool gs_wait_queue_is_at_head (gs_wait_queue_t *queue, gs_time_t now,
                               gs_time_t deadline, uint64_t id);

/** Remove a request if it is queued. */
void gs_wait_queue_remove (gs_wait_queue_t *queue, uint64_t id);

/** @return number of queued requests. */
unsigned gs_wait_queue_length (const gs_wait_queue_t *queue);

/** @return whether a request with a body of @p bytes fits into the queue. */
bool gs_wait_queue_fits (gs_wait_queue_t *queue, gs_time_t now, size_t bytes);

#endif
