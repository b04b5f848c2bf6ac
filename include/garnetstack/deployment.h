/**
 * @file deployment.h
 * What a node of a gateway deployment is told at start: where it stands, what
 * it listens on, where the platform is, and the bounds it has to keep.
 */
#ifndef GARNETSTACK_DEPLOYMENT_H
#define GARNETSTACK_DEPLOYMENT_H

#include "garnetstack/clock.h"
#include "garnetstack/settings.h"

#include <stdbool.h>

/** Most peers that the settings name. */
#define GS_SEEDS_MAX 8

/** An IP number and a port; port 0 for none. */
typedef struct
{
  char host[GS_ADDRESS_BYTES];
  uint16_t port;
} gs_endpoint_t;

/** Read "HOST:PORT". @return GS_OK or GS_EINVAL. */
gs_status_t gs_endpoint_parse (gs_endpoint_t *out, const char *text);

/** Plain values, copied freely.  Durations are in microseconds. */
typedef struct
{
  char node[GS_NAME_BYTES];
  char data_centre[GS_NAME_BYTES];
  gs_endpoint_t callers;   /**< callers' requests */
  gs_endpoint_t readiness; /**< asked by the platform */
  gs_endpoint_t addresses; /**< asked by callers for where to connect */
  gs_endpoint_t peers;     /**< other nodes */
  uint16_t metrics_port;   /**< 0 for none */
  gs_endpoint_t seeds[GS_SEEDS_MAX]; /**< peers' addresses, maybe stale */
  unsigned seed_count;
  unsigned seeds_left_out; /**< could not be read */
  bool first_start;        /**< the whole system starts for the first time */
  gs_endpoint_t store;
  gs_endpoint_t provider;
  unsigned memory_mb;
  unsigned descriptors_max;
  gs_time_t drain;           /**< a leaving replica serves for so long */
  gs_time_t grace;           /**< from the signal to end to the kill */
  gs_time_t lease;           /**< shortest time between two holders */
  gs_time_t usage_window;    /**< length of a window of usage reports */
  gs_time_t usage_late;      /**< a report is due so long after its window */
  gs_time_t address_ttl_max; /**< callers keep the list of addresses so long */
  double resend_ratio;       /**< resends allowed for each request */
  unsigned resend_slack;     /**< resends allowed besides, over all nodes */
  gs_time_t resend_window;
  gs_time_t quota_window; /**< limits of accounts are judged over it */
  double quota_over;      /**< part by which a limit may be exceeded there */
  double quota_slack;     /**< amount by which it may be exceeded besides */
} gs_deployment_t;

#endif
