/**
 * @file rollout_plan.h
 * The steps of a roll-out.  The owner, the node that holds the duties, derives
 * the next record from the order, the last record that the store has
 * confirmed, the verdict and the replicas, and writes it to the store before
 * any node acts on it.  The other nodes follow the record, and return to
 * probation when they cannot confirm it.  Plain functions; they read no clock.
 */
#ifndef GS_POLICY_ROLLOUT_PLAN_H
#define GS_POLICY_ROLLOUT_PLAN_H

#include "policy/rollout_judge.h"
#include "policy/rollout_share.h"

/** Part of the duration by which a good version is completed. */
#define ROLLOUT_COMPLETE_RATIO 0.85

/** Longest time that all nodes need to restart. */
#define ROLLOUT_RESTART_MAX (4 * GS_SEC)

/** What an operator has ordered for a service. */
typedef struct
{
  uint64_t id;        /**< hash of service, target and the revision at which
                           the target was set; 0 if there is no order */
  uint64_t target;    /**< hash of the version */
  gs_time_t duration; /**< from the order to its deadline */
} rollout_order_t;

/** Settings `bounds`. */
typedef struct
{
  double expose_share;   /**< of all requests between order and deadline */
  unsigned expose_slack; /**< requests beyond that share */
  gs_time_t rollback;    /**< time from the 50th bad response to the last
                              request that is sent to a bad version */
} rollout_bounds_t;

/** State of a roll-out, one object per service in the store. */
typedef struct
{
  uint64_t order;  /**< rollout_order_t.id; 0 if there is no record */
  uint64_t target; /**< hash of the version */
  rollout_stage_t stage;
  double fraction;         /**< of new requests for the target */
  gs_time_t elapsed;       /**< since the order, when the record was derived */
  gs_time_t stage_elapsed; /**< since the order, when the stage began */
  gs_time_t step_elapsed;  /**< since the order, when the fraction was set */
  int64_t wall_ms;         /**< Unix time when the record was derived */
  uint64_t requests;       /**< dispatched since the order, over the fleet */
  uint64_t exposed;        /**< of these, at the target */
  uint32_t running_max; /**< requests at old replicas when the drain began */
  rollout_reason_t reason; /**< of #ROLLOUT_ROLLED_BACK */
} rollout_record_t;

/** What the owner knows when it derives the next record. */
typedef struct
{
  gs_time_t elapsed; /**< since the order, see rollout_plan_elapsed() */
  int64_t wall_ms;   /**< Unix time */
  bool may_write; /**< this node may act as the owner, the store answers, and
                       no write of the record is open or of unknown
                       outcome */
  unsigned old_ready;      /**< listed replicas of other versions that accept
                                requests */
  unsigned target_ready;   /**< those of the target */
  uint32_t old_running;    /**< requests at old replicas, over the fleet */
  gs_time_t drain_time;    /**< within which nearly all requests of the service
                                end, as learned; 0 if unknown */
  double requests_per_sec; /**< for the service, over the fleet, recently */
  gs_time_t lag; /**< age of the counts: report, message and the delay until a
                      new record is in force at all nodes; 0 if unknown */
  rollout_result_t result; /**< of the judge */
} rollout_view_t;

/**
 * Estimate the time since the order.  Clocks of nodes may differ and jump, so
 * the own monotonic clock counts.  The wall clock is used only by a process
 * that finds order and record when it starts, and adds at most the time of a
 * restart of all nodes, #ROLLOUT_RESTART_MAX.
 * @param record last one of this order, or NULL
 * @param record_seen_at when this node first saw that record; the time of
 *   @p order_seen_at if both were in the store when this process started
 * @param order_seen_at when this node first saw the order
 */
gs_time_t rollout_plan_elapsed (const rollout_record_t *record, gs_time_t now,
                                gs_time_t record_seen_at,
                                gs_time_t order_seen_at, int64_t wall_ms);

/**
 * Derive the owner's next record.
 * @param order id 0 if it was withdrawn
 * @param record the last one that the store has confirmed; order 0 if there is
 *   none.  A record of another order is rolled back if it had not ended, and
 *   replaced by the next step.
 * @param next receives the record to write, or the present one
 * @return whether @p next is to be written.  Other nodes learn of it only
 *   after the store has confirmed the write; the status of the order follows
 *   the confirmed record.
 */
bool rollout_plan_step (const rollout_order_t *order,
                        const rollout_record_t *record,
                        const rollout_view_t *view,
                        const rollout_bounds_t *bounds,
                        rollout_record_t *next);

/** @return whether the judge is to be restarted, as all requests of the
   service reach the target with the record @p after for the first time */
bool rollout_plan_load_differs (const rollout_record_t *before,
                                const rollout_record_t *after);

/**
 * The stage that one node acts on.
 * @param record the latest one that this node knows; order 0 if none
 * @param unconfirmed time since the owner, by any path, last confirmed that
 *   record: age of the latest read of the store or of the owner's message
 * @param verdict of this node's own judge; a bad target gets nothing
 * @param fraction receives the fraction for rollout_share_take()
 */
rollout_stage_t rollout_plan_node_stage (const rollout_order_t *order,
                                         const rollout_record_t *record,
                                         const rollout_bounds_t *bounds,
                                         gs_time_t unconfirmed,
                                         rollout_verdict_t verdict,
                                         double *fraction);

/** @return name of a stage for log lines and metrics, static */
const char *rollout_stage_name (rollout_stage_t stage);

/** @return state of the order's status: "running", "completed" or
    "rolled_back", static */
const char *rollout_stage_state (rollout_stage_t stage);

#endif
