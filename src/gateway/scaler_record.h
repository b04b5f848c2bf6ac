/**
 * @file scaler_record.h
 * Keeps the state of the scaler in the store, so that the next holder of the
 * duty takes it over.  The state only saves the time to learn it again: every
 * failure of the store is ignored.  Runs on the control thread.
 */
#ifndef GS_GATEWAY_SCALER_RECORD_H
#define GS_GATEWAY_SCALER_RECORD_H

#include "garnetstack/object_store.h"
#include "policy/scaler.h"

/** Name of the object. */
#define SCALER_RECORD_NAME "scaler"

typedef struct
{
  const gs_object_store_t *store; /**< borrowed */
  scaler_t *scaler;               /**< borrowed */
  const char *kind;               /**< of the object; a literal */
  bool valid;                     /**< the revision is believed */
  bool restored;  /**< the state was read since scaler_record_invalidate() */
  bool busy;      /**< a call is open */
  uint64_t calls; /**< number of the open call, or of the last one */
  uint64_t ignored_calls; /**< calls up to this number are void */
  uint64_t revision;      /**< of the object; 0 for none */
  gs_time_t due;          /**< earliest time of the next call */
} scaler_record_t;

void scaler_record_init (scaler_record_t *record, const char *kind,
                         const gs_object_store_t *store, scaler_t *scaler);

/** Read the object again, as another node may have written it. */
void scaler_record_invalidate (scaler_record_t *record);

/** Make the call that is due.  Only the holder of the duty calls this.
    @param has_spot_price a service names the price of spot replicas; without
    one there is nothing to keep and no call is made */
void scaler_record_tick (scaler_record_t *record, gs_time_t now,
                         bool has_spot_price);

#endif
