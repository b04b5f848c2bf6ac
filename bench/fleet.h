/**
 * @file fleet.h
 * Simulation in virtual time of a whole fleet that runs the decision cores of
 * configuration and membership.  Messages have latency and loss; there is one
 * store and one source of reclaim notices.  The simulation counts messages,
 * bytes and store calls.
 */
#ifndef GS_BENCH_FLEET_H
#define GS_BENCH_FLEET_H

#include "garnetstack/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  unsigned nodes;
  unsigned regions;
  unsigned upstreams;
  double loss; /**< probability that a message or call is lost */
  /** No peers: each node polls store, VM list and upstreams itself. */
  bool independent;
  bool full_mesh;   /**< every node is connected to every other */
  bool partitioned; /**< region "r0" exchanges no messages with others */
  bool store_down;  /**< no call to the store is answered */
  bool cold_start;  /**< all nodes start without a generation in force */
  uint64_t seed;
} fleet_options_t;

typedef struct
{
  /** By node: time from the change until the new generation was in force. */
  gs_time_t *config_times;
  /** By node: time from the change until the node had the notice. */
  gs_time_t *notice_times;
  double frames_per_sec; /**< sent by the average node in steady state */
  double bytes_per_sec;  /**< payload sent by the busiest node, steady state */
  /** As bytes_per_sec, with TCP and IP headers and acknowledgements. */
  double wire_bytes_per_sec;
  /** Store calls of the fleet in steady state, watches included. */
  double store_reads_per_sec;
  double list_calls_per_sec;     /**< VM list and notices, of the fleet */
  double upstream_calls_per_sec; /**< of the fleet */
  double store_peak_per_sec;     /**< most store calls in any second */
  double cpu_share; /**< of a core, by one node, simulation included */
} fleet_result_t;

/** Value of a time in fleet_result_t when the event did not occur. */
#define FLEET_NEVER GS_TIME_NEVER

/** Simulate a fleet.  The arrays have options->nodes elements. */
void fleet_run (fleet_result_t *out, const fleet_options_t *options);

/** Free the arrays of a result. */
void fleet_result_free (fleet_result_t *result);

#endif
