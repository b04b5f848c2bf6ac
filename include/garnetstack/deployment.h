/**
 * @file deployment.h
 * Settings of a gateway node, read at its start: its identity, the endpoints
 * it listens on, those of the platform, and the limits and times of the
 * deployment.
 */
#ifndef GARNETSTACK_DEPLOYMENT_H
#define GARNETSTACK_DEPLOYMENT_H

#include "garnetstack/clock.h"
#include "garnetstack/settings.h"

#include <stdbool.h>

/** Seed nodes that are read from the settings; further ones are ignored. */
#define GS_SEEDS_MAX 8

/** An IP address and a port; port 0 if the endpoint is not set. */
typedef struct
{
  char host[GS_ADDRESS_BYTES];
  uint16_t port;
} gs_endpoint_t;

/** Parse "HOST:PORT".
    @return GS_OK, or GS_EINVAL with @p out unchanged */
gs_status_t gs_endpoint_parse (gs_endpoint_t *out, const char *text);

/** Plain values, copied freely.  Durations are in microseconds. */
typedef struct
{
  char node[GS_NAME_BYTES]; /**< name of this node */
  char data_centre[GS_NAME_BYTES];
  gs_endpoint_t callers;   /**< listens for callers' requests */
  gs_endpoint_t readiness; /**< listens for the platform's readiness probe */
  gs_endpoint_t addresses; /**< listens for callers that request the addresses
                                of nodes */
  gs_endpoint_t peers;     /**< listens for other nodes */
  uint16_t metrics_port;   /**< 0 for none */
  gs_endpoint_t seeds[GS_SEEDS_MAX]; /**< peers to contact first; some may no
                                          longer exist */
  unsigned seed_count;
  unsigned seeds_left_out;   /**< invalid entries of the list of seed nodes */
  bool first_start;          /**< the whole system starts for the first time */
  gs_endpoint_t store;       /**< the platform's object store */
  gs_endpoint_t provider;    /**< the platform's usage reports and orders */
  unsigned memory_mb;        /**< memory of the process, in MiB */
  unsigned descriptors_max;  /**< file descriptors of the process */
  gs_time_t drain;           /**< how long a removed replica still serves */
  gs_time_t grace;           /**< from the signal to stop until the kill */
  gs_time_t lease;           /**< shortest time between two holders of the
                                  lease of the duties */
  gs_time_t usage_window;    /**< length of a window of usage reports */
  gs_time_t usage_late;      /**< from the end of a window until its report is
                                  too late */
  gs_time_t answer_kept_max; /**< how long callers may cache addresses */
  double resend_ratio;       /**< resends allowed per request */
  unsigned resend_slack;     /**< resends allowed in addition in a window, of
                                  all nodes together */
  gs_time_t resend_window;   /**< over which resends are counted */
  gs_time_t quota_window;    /**< over which limits of accounts apply */
  double quota_over;         /**< part of a limit by which its use in a window
                                  may exceed it */
  double quota_slack;        /**< tokens by which the use in a window may
                                  exceed a limit in addition */
} gs_deployment_t;

#endif
