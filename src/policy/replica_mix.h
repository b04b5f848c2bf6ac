/**
 * @file replica_mix.h
 * Chooses the cheapest number of spot replicas in each data centre, and of
 * on-demand replicas, such that enough remain when the provider reclaims the
 * spot replicas of several data centres.  Learns from reclaims how many data
 * centres are without spot replicas at the same time.  The functions read no
 * clock and do no I/O.
 */
#ifndef GS_POLICY_REPLICA_MIX_H
#define GS_POLICY_REPLICA_MIX_H

#include "garnetstack/clock.h"

#include <stdbool.h>

/** Data centres in which a service may have replicas; rows of a table. */
#define REPLICA_MIX_DATA_CENTRES_MAX 32

/** Losses of spot replicas in one data centre. */
typedef struct
{
  unsigned reference;     /**< most ready spot replicas of the last moments */
  gs_time_t reference_at; /**< when there were that many */
  bool rejects;        /**< lost, or an order was rejected, and none has been
                            accepted since */
  bool is_out;         /**< lost or not available, and less than half are ready
                            again */
  unsigned lost_ready; /**< ready replicas before the last loss, or those
                            that were not available */
  double losses;       /**< number of losses */
  double out_sec;      /**< time out, in total */
} replica_mix_outage_t;

/** What has been learned about reclaims; initialized with zeros. */
typedef struct
{
  gs_time_t observed_at;  /**< last observation; 0 for none */
  double observed_sec;    /**< time observed, in total */
  unsigned series_losses; /**< losses since a data centre has been out */
  /** Time in which so many data centres were out at once. */
  double out_sec[REPLICA_MIX_DATA_CENTRES_MAX + 1];
  replica_mix_outage_t outages[REPLICA_MIX_DATA_CENTRES_MAX];
} replica_mix_history_t;

/** A data centre, as it is given to the plan. */
typedef struct
{
  double price; /**< of an on-demand replica, per second; above 0 */
  unsigned min; /**< fewest spot replicas */
  unsigned max; /**< most spot replicas; those that are ready if no more are
                     available */
} replica_mix_data_centre_t;

/** What the plan must achieve. */
typedef struct
{
  double spot_price; /**< as a ratio of the price of an on-demand replica */
  unsigned losses;   /**< data centres whose loss is covered */
  double remaining;  /**< replicas that remain after these losses */
  double total;      /**< spot and on-demand replicas without a loss */
} replica_mix_goal_t;

/** Record the ready spot replicas of a data centre.  Call it for each data
    centre before replica_mix_time_record().
    @param ordered replicas in the last order; fewer than that are a loss, not
    the effect of an order
    @return whether the data centre has just lost its spot replicas */
bool replica_mix_ready_record (replica_mix_history_t *history, gs_time_t now,
                               unsigned data_centre, unsigned ready,
                               unsigned ordered);

/** Record that the provider has accepted an order for spot replicas. */
void replica_mix_accepted_record (replica_mix_history_t *history,
                                  unsigned data_centre);

/** Record that the provider has rejected an order for spot replicas.  A data
    centre that has less than half of those it should have counts as out, so
    that a new holder of the duty sees a series that has begun before.
    @param wanted replicas that were ordered */
void replica_mix_rejected_record (replica_mix_history_t *history,
                                  unsigned data_centre, unsigned ready,
                                  unsigned wanted);

/** Count the time since the last call by the number of data centres out. */
void replica_mix_time_record (replica_mix_history_t *history, gs_time_t now,
                              unsigned count);

/** @return data centres that have lost their spot replicas and do not have
    them back */
unsigned replica_mix_out_count (const replica_mix_history_t *history,
                                unsigned count);

/** @return how many further losses of data centres are to be covered */
unsigned replica_mix_losses_to_cover (const replica_mix_history_t *history,
                                      unsigned count, gs_time_t boot_time);

/** @return factor by which losses raise the price of a spot replica in a data
    centre, as each loss is followed by @p boot_time of paid start */
double replica_mix_price_factor (const replica_mix_history_t *history,
                                 unsigned data_centre, gs_time_t boot_time);

/**
 * Choose the cheapest mix.
 * @param data_centres @p count rows, at most REPLICA_MIX_DATA_CENTRES_MAX
 * @param spot receives the spot replicas of each data centre
 * @return on-demand replicas, in any data centre
 */
unsigned replica_mix_plan (const replica_mix_goal_t *goal,
                           const replica_mix_data_centre_t *data_centres,
                           unsigned count, unsigned *spot);

#endif
