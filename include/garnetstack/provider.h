/**
 * @file provider.h
 * Interface to those calls to the platform that only one node at a time makes:
 * the node that holds the lease of the duties.  Each call carries the holder's
 * fencing token, which rises with each new holder.  Each function returns at
 * once; its callback runs exactly once for each call.
 */
#ifndef GARNETSTACK_PROVIDER_H
#define GARNETSTACK_PROVIDER_H

#include "garnetstack/clock.h"
#include "garnetstack/status.h"

#include <stdbool.h>
#include <stdint.h>

/** The duty under which a call is made. */
typedef struct
{
  const char *holder; /**< name of the node that holds the lease; borrowed */
  uint64_t fencing;   /**< fencing token of the lease */
} gs_duty_t;

/** Requests of one client account in a window. */
typedef struct
{
  const char *account; /**< borrowed */
  uint64_t requests;
} gs_usage_count_t;

/** @param argument as given to the call
    @param status GS_OK; GS_ECONFLICT when no replica is available; otherwise
    as in gs_object_result_t */
typedef void (*gs_provider_cb_t) (void *argument, gs_status_t status);

/** A provider.  Its functions copy the duty, the strings and the counts;
    @p deadline is the time by which a call ends. */
typedef struct
{
  void *context; /**< first argument of each function */
  /** Report how many requests of each account began to run in a window.
      @param window number of the window since the Unix epoch
      @param counts one element for each account
      @param count number of elements */
  void (*report_usage) (void *context, const gs_duty_t *duty, int64_t window,
                        const gs_usage_count_t *counts, unsigned count,
                        gs_time_t deadline, gs_provider_cb_t callback,
                        void *argument);
  /** Set how many replicas a service is to have in a data centre.
      @param spot reclaimable replicas if true, on-demand ones if false
      @param wanted total number of replicas of that kind, not the number to
      add */
  void (*order_replicas) (void *context, const gs_duty_t *duty,
                          const char *service, const char *data_centre,
                          bool spot, unsigned wanted, gs_time_t deadline,
                          gs_provider_cb_t callback, void *argument);
} gs_provider_t;

#endif
