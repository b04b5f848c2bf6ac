/**
 * @file provider.h
 * Port to the calls that one node at a time makes to the platform.  The
 * fencing number rises with each new holder.
 */
#ifndef GARNETSTACK_PROVIDER_H
#define GARNETSTACK_PROVIDER_H

#include "garnetstack/clock.h"
#include "garnetstack/status.h"

#include <stdbool.h>
#include <stdint.h>

/** Who calls. */
typedef struct
{
  const char *holder;
  uint64_t fencing;
} gs_duty_t;

typedef struct
{
  const char *account;
  uint64_t requests;
} gs_usage_count_t;

/** @param status GS_OK; GS_ECONFLICT when no replica is to be had; else as
    for the store */
typedef void (*gs_provider_cb_t) (void *argument, gs_status_t status);

typedef struct
{
  void *context;
  /** Report the requests of each account that began to run in a window.
      @param window number of the window since 1970 */
  void (*report_usage) (void *context, const gs_duty_t *duty, int64_t window,
                        const gs_usage_count_t *counts, unsigned count,
                        gs_time_t deadline, gs_provider_cb_t callback,
                        void *argument);
  /** Order that a service has so many replicas of a sort in a data centre. */
  void (*order_replicas) (void *context, const gs_duty_t *duty,
                          const char *service, const char *data_centre,
                          bool spot, unsigned wanted, gs_time_t deadline,
                          gs_provider_cb_t callback, void *argument);
} gs_provider_t;

#endif
