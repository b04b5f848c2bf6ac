/**
 * @file rollout_judge.h
 * Sequential test of the target version of a roll-out against the old version
 * over the same period, by route: failures, delay of the first event, and time
 * per event.  Every node runs it over the counts of the whole fleet, so that a
 * new owner need not collect evidence again and a node without contact to the
 * owner stops sending to a bad target by itself.
 *
 * Stated error rates, per roll-out: a good version is called bad with a
 * probability below 1 %; a version with a tenth of bad responses, failed or
 * four times slower, is called sound with a probability below 1 %, and is
 * called bad in the first update after its 25th bad response, unless the old
 * version's own latencies overlap with the slow ones; then it takes up to
 * three times as many.  Reads no clock.
 */
#ifndef GS_POLICY_ROLLOUT_JUDGE_H
#define GS_POLICY_ROLLOUT_JUDGE_H

#include "garnetstack/clock.h"
#include "garnetstack/deployment.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Buckets of a latency histogram; each bound is twice the one before. */
#define ROLLOUT_BUCKETS 12
/** Upper bound of the first bucket, in milliseconds; the last bucket has
    none. */
#define ROLLOUT_BUCKET_MIN_MSEC 4.0
/** Interval over which the time per event of a stream is counted; shorter ones
    would count one slow stream many times. */
#define ROLLOUT_EVENT_INTERVAL GS_SEC
/** Routes that are judged one by one; requests of further routes of a service
    are counted in one row with route 0. */
#define ROLLOUT_ROUTES_MAX 64

/** Requests of one route at one version.  The counters of a node start at zero
    with its process and with each order, and only rise.  Rows with the same
    service, order, route and is_target are added up over the fleet. */
typedef struct
{
  char service[GS_NAME_BYTES];
  uint64_t order;    /**< rollout_order_t.id; rows of other orders are ignored
                      */
  uint64_t route;    /**< hash of the route */
  bool is_target;    /**< at the target, else at the old version */
  uint64_t requests; /**< dispatched, resends and resumed streams included */
  uint64_t answers;  /**< ended: complete responses and failures */
  uint64_t failures; /**< of the answers: 5xx except a stated rejection, broken
                          or truncated responses, time-outs; not those that
                          the caller has cancelled, nor those at a replica
                          that had announced its end */
  /** Requests by the delay of their first event or, for other responses, of
      their first byte, beyond the prediction; counted when that arrives. */
  uint32_t first_event[ROLLOUT_BUCKETS];
  /** Streams by their mean time per event after the first, once for each
      ROLLOUT_EVENT_INTERVAL that a stream runs and once at its end if it was
      shorter.  A count at the end of each stream only would compare streams
      of different times, above all when the old version drains. */
  uint32_t per_event[ROLLOUT_BUCKETS];
} rollout_count_t;

/** @return index of the bucket for a time in milliseconds; negative times are
    in the first bucket */
unsigned rollout_count_bucket (double msec);

/** Add the counters of @p from to @p to. */
void rollout_count_add (rollout_count_t *to, const rollout_count_t *from);

/** Evidence up to which an undecided target is taken to be sound when no time
    is left.  Latencies of the old version may be too far apart for a verdict;
    a bad version has more evidence by then. */
#define ROLLOUT_EVIDENCE_MAX 4.0

/** Verdict on the target. */
typedef enum
{
  ROLLOUT_UNDECIDED,
  ROLLOUT_SOUND,
  ROLLOUT_BAD
} rollout_verdict_t;

/** Why a target is bad or was rolled back.  The values are stored. */
typedef enum
{
  ROLLOUT_REASON_NONE = 0,
  ROLLOUT_REASON_FAILURES = 1,    /**< fails more often */
  ROLLOUT_REASON_FIRST_EVENT = 2, /**< first events are later */
  ROLLOUT_REASON_PER_EVENT = 3,   /**< events are further apart */
  ROLLOUT_REASON_NO_REPLICAS = 4, /**< no ready target replica in time */
  ROLLOUT_REASON_UNDECIDED = 5,   /**< no verdict in time */
  ROLLOUT_REASON_WITHDRAWN = 6    /**< the order was removed or replaced */
} rollout_reason_t;

/** @return name of a reason for log lines and metrics, static */
const char *rollout_reason_name (rollout_reason_t reason);

/** State of the test. */
typedef struct
{
  rollout_verdict_t verdict; /**< #ROLLOUT_BAD is final for an order */
  rollout_reason_t reason;   /**< of #ROLLOUT_BAD */
  uint64_t route;            /**< of #ROLLOUT_BAD; 0 for all routes together */
  /** Log-likelihood ratio of a bad version against a good one where it is
      highest; negative if all speaks for a good one, 0 without answers.  An
      undecided target is rather sound below #ROLLOUT_EVIDENCE_MAX. */
  double evidence;
  uint64_t requests; /**< dispatched since the order, over the fleet */
  uint64_t exposed;  /**< of these, at the target */
  uint64_t answers;  /**< at the target */
  uint64_t bad;      /**< of these, failed */
} rollout_result_t;

typedef struct rollout_judge rollout_judge_t;

/** @param out receives the judge of one service, freed with
    rollout_judge_destroy()
    @param order whose rows count */
void rollout_judge_create (rollout_judge_t **out, uint64_t order);
void rollout_judge_destroy (rollout_judge_t *judge);

/**
 * Take in the present counts of the fleet.  Only what a row has risen by since
 * the update before counts.  A row that has fallen, since a node's process has
 * ended or a report is missing, counts again above its highest value, so that
 * a report that comes back is not counted twice; one that has fallen by more
 * than a quarter counts from its new value on.
 * @param now not before the time of the last update
 * @param rows of the service, at most one for each route and version; rows of
 *   other orders are ignored
 */
void rollout_judge_update (rollout_judge_t *judge, gs_time_t now,
                           const rollout_count_t *rows, size_t count);

/** Discard the evidence for a sound version, and keep that for a bad one.
    Called when the load on the target has changed, as a verdict must come
    from answers under that load. */
void rollout_judge_restart (rollout_judge_t *judge);

/** Write the state of the test. */
void rollout_judge_result (const rollout_judge_t *judge,
                           rollout_result_t *out);

#endif
