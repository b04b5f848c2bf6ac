/**
 * @file scaler.h
 * Decides how many reclaimable (spot) and on-demand replicas a service has in
 * each data centre.  The provider may reclaim all spot replicas of a data
 * centre at once, so they are spread such that half of the data centres can
 * serve the load; on-demand replicas fill in while no spot replicas are
 * available.  The input is the load of all nodes as the holder of the duty,
 * the node that orders replicas (see duties.h), sees it.  The functions work
 * on tables only; they read no clock and do no I/O.
 */
#ifndef GS_POLICY_SCALER_H
#define GS_POLICY_SCALER_H

#include "garnetstack/replica.h"
#include "garnetstack/route_table.h"

#include <jansson.h>

/** Data centres in which a service may have replicas; rows of a table. */
#define SCALER_DATA_CENTRES_MAX 32

/** Load that all nodes together have for a service. */
typedef struct
{
  double uncached_tokens_per_sec; /**< prompt tokens sent that aren't cached */
  double requests_per_sec;        /**< within the limits of accounts */
  double rejected_per_sec; /**< of these, rejected for lack of capacity */
  double in_flight;        /**< requests at replicas */
  double queued;           /**< requests queued at nodes */
  double read_speed;       /**< prompt tokens a replica reads per ms */
  bool has_requests;       /**< the service has had requests */
} scaler_load_t;

/** The number of replicas of one kind that a data centre should have. */
typedef struct
{
  char service[GS_NAME_BYTES];
  char data_centre[GS_NAME_BYTES];
  bool spot;       /**< reclaimable, else on demand */
  unsigned wanted; /**< number of replicas, including those that run */
  unsigned ready;  /**< ready replicas that are listed now */
  double need;     /**< replicas that the load of the service needs now */
} scaler_order_t;

typedef struct scaler scaler_t;

/** @param out receives the scaler; freed with scaler_destroy() */
void scaler_create (scaler_t **out);
void scaler_destroy (scaler_t *scaler);

/** Drop all state.  Used when this node takes over the duty, since another
    node may have placed orders in the meantime. */
void scaler_reset (scaler_t *scaler);

/** Encode what a later holder of the duty can use: forecasts and what was
    learned from reclaims, of services that name the price of spot replicas.
    @param wall_shift wall clock time minus the time of the calls
    @return a new reference; NULL if there is nothing */
json_t *scaler_state_encode (const scaler_t *scaler, gs_time_t wall_shift);

/** Set the state of an earlier holder, which the next plans take over.  What
   is malformed in it is left out.
    @param value borrowed; a reference is kept */
void scaler_state_set (scaler_t *scaler, json_t *value, gs_time_t wall_shift);

/**
 * Plan the replicas of one service.  Each order that is returned counts as
 * pending until scaler_order_record() is called for it.
 * @param out receives the orders that are due
 * @param max size of @p out; two orders per data centre may be due
 * @return number of orders
 */
unsigned scaler_plan (scaler_t *scaler, gs_time_t now,
                      const gs_path_service_t *service,
                      const gs_replica_list_t *replicas,
                      const scaler_load_t *load, scaler_order_t *out,
                      unsigned max);

/** Last plan of a service that names the price of spot replicas. */
typedef struct
{
  double need;     /**< forecast that the plan is for */
  double covered;  /**< replicas that remain after the covered losses */
  unsigned losses; /**< further data centres whose loss is covered */
  unsigned out;    /**< data centres that lost their spot replicas */
  bool periodic;   /**< the forecast has a periodic component */
} scaler_mix_summary_t;

/** Get the last plan of a service.
    @return whether it rests on other losses or another kind of forecast than
    at the last call; false if there is none */
bool scaler_mix_summary (scaler_t *scaler, const char *service,
                         scaler_mix_summary_t *out);

/** Record the provider's answer to an order.
    @param status GS_OK; GS_ECONFLICT if no replica is available there; or any
    other error */
void scaler_order_record (scaler_t *scaler, gs_time_t now,
                          const scaler_order_t *order, gs_status_t status);

#endif
