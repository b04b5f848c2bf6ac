/**
 * @file scaler.h
 * Decides how many replicas a service has, reclaimable and on demand, and in
 * which data centres.  Reclaimable replicas of a data centre may go all at
 * once, so they are spread such that half of the data centres carry the load;
 * on-demand ones fill in when no reclaimable ones are to be had.  Answers the
 * load of all nodes as the holder of the duty sees it.  Plain functions over
 * tables; no clock, no call.
 */
#ifndef GS_GATEWAY_SCALER_H
#define GS_GATEWAY_SCALER_H

#include "garnetstack/replica.h"
#include "garnetstack/route_table.h"

/** Data centres that a service has a price for; the known deployments have
    four. */
#define SCALER_PLACES_MAX 32

/** Load of a service, of all nodes. */
typedef struct
{
  double missing_tokens_per_sec; /**< of prompts, to be read */
  double requests_per_sec;       /**< within the limits of accounts */
  double refused_per_sec;        /**< of these, for want of room */
  double in_flight;              /**< requests at replicas */
  double waiting;                /**< requests that wait at nodes */
  double read_speed;             /**< tokens per millisecond of a replica */
  bool seen;                     /**< there were requests at all */
} scaler_load_t;

/** An order: so many replicas of a sort in a data centre. */
typedef struct
{
  char service[GS_NAME_BYTES];
  char data_centre[GS_NAME_BYTES];
  bool spot;
  unsigned wanted;
  unsigned there; /**< ready ones, as listed */
  double need;    /**< replicas that the load needs now */
} scaler_order_t;

typedef struct scaler scaler_t;

void scaler_create (scaler_t **out);
void scaler_destroy (scaler_t *scaler);

/** Forget what was ordered: another may have ordered since. */
void scaler_forget (scaler_t *scaler);

/**
 * Decide for one service.
 * @param out receives orders that are due
 * @return their number
 */
unsigned scaler_plan (scaler_t *scaler, gs_time_t now,
                      const gs_path_service_t *service,
                      const gs_replica_list_t *replicas,
                      const scaler_load_t *load, scaler_order_t *out,
                      unsigned max);

/** An order was answered.
    @param status GS_OK; GS_ECONFLICT when no replica is to be had there */
void scaler_ordered (scaler_t *scaler, gs_time_t now,
                     const scaler_order_t *order, gs_status_t status);

#endif
