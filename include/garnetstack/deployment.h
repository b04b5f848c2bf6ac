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

/** Whether requests are sent to replicas in other data centres. */
typedef enum
{
  GS_CROSSING_ALWAYS, /**< data centres do not matter */
  GS_CROSSING_AUTO,   /**< only where that is worth more than it costs */
  GS_CROSSING_NEVER
} gs_crossing_t;

/** Plain values, copied freely.  Durations are in microseconds. */
typedef struct
{
  char node[GS_NAME_BYTES]; /**< name of this node */
  char data_centre[GS_NAME_BYTES];
  gs_endpoint_t caller_endpoint;    /**< listens for callers' requests */
  gs_endpoint_t readiness_endpoint; /**< listens for readiness probes */
  gs_endpoint_t addresses_endpoint; /**< listens for lookups of addresses */
  gs_endpoint_t peer_endpoint;      /**< listens for other nodes */
  uint16_t metrics_port;            /**< 0 for none */
  unsigned detours_max; /**< nodes that a request is passed on to, one after
                           the other, while this one reaches no replica */
  gs_crossing_t crossing;
  gs_time_t quarantine_time; /**< how long requests that make replicas crash
                                  are refused; 0 to send them on */
  /** Peers to contact first; some may no longer exist. */
  gs_endpoint_t seeds[GS_SEEDS_MAX];
  unsigned seed_count;
  unsigned seeds_invalid; /**< number of seeds that could not be parsed */
  bool first_start;       /**< the whole system starts for the first time */
  /** The platform's object store. */
  gs_endpoint_t store_endpoint;
  /** The platform's calls for usage reports and replica orders. */
  gs_endpoint_t provider_endpoint;
  unsigned memory_mb;       /**< limit on the process's memory, in MiB */
  unsigned descriptors_max; /**< limit on the process's file descriptors */
  gs_time_t drain_time;     /**< how long a removed replica still serves */
  gs_time_t grace_period;   /**< from the signal to stop until the kill */
  /** Shortest time between one holder of the lease of the duties and the
      next. */
  gs_time_t lease_time;
  gs_time_t usage_window; /**< length of a window of usage reports */
  /** Time after the end of a usage window within which its report must
      arrive. */
  gs_time_t usage_report_timeout;
  gs_time_t addresses_ttl_max; /**< how long callers may cache addresses */
  double resend_ratio;         /**< resends allowed per request */
  /** Resends allowed in a resend window in addition to resend_ratio, for all
      nodes together. */
  unsigned resend_slack;
  gs_time_t resend_window; /**< over which resends are counted */
  gs_time_t quota_window;  /**< over which limits of accounts apply */
  /** Share of an account's limit by which the account's use in a quota window
      may exceed the limit. */
  double quota_over_ratio;
  /** Tokens by which an account's use in a quota window may exceed the limit
      in addition to quota_over_ratio. */
  double quota_slack;
  bool rollouts; /**< the system moves traffic to new versions when ordered */
  /** Part of the requests of a service that a bad version may get between the
      order and its deadline, and requests that it may get beyond that. */
  double expose_share;
  unsigned expose_slack;
  /** Time from the 50th bad response of a version until the last request that
      is sent to it. */
  gs_time_t rollback_time;
} gs_deployment_t;

#endif
