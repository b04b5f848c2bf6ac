/**
 * @file slope_roles.h
 * Measurement of the work of each role at a given size, with the code of the
 * daemon.
 */
#ifndef GS_BENCH_SLOPE_ROLES_H
#define GS_BENCH_SLOPE_ROLES_H

#include "garnetstack/snapshot.h"

#include <stddef.h>
#include <stdint.h>

/** Cost of a role at one size. */
typedef struct
{
  double usec;         /**< processor time of one operation */
  double memory;       /**< bytes held on the heap */
  double wire;         /**< bytes sent by one operation */
  unsigned operations; /**< number that usec is the mean of; 0 means one */
} gs_slope_sample_t;

typedef struct
{
  const char *name;
  const char *variable;  /**< unit of n, such as "nodes" */
  const char *operation; /**< operation that usec and wire measure */
  uint32_t n_min;        /**< smallest n; each further point doubles n */
  uint32_t point_count;  /**< number of points */
  gs_slope_sample_t (*run) (uint32_t n);
} gs_slope_role_t;

/** Roles of the control thread and the peer thread, ended by one without a
    name. */
extern const gs_slope_role_t gs_control_roles[];

/** Roles of the traffic threads, ended by one without a name. */
extern const gs_slope_role_t gs_traffic_roles[];

/** Roles that work for operators and callers, ended by one without a name. */
extern const gs_slope_role_t gs_service_roles[];

/** Number of operations whose mean time makes a point. */
extern unsigned gs_slope_repeats;

/** Model that the upstreams of gs_slope_snapshot() serve. */
#define GS_SLOPE_TARGET "assistant"

/** @return bytes allocated on the heap. */
size_t gs_heap_bytes (void);

/** @return processor time of the process in microseconds.  Under callgrind
    each call also turns the counting of instructions on or off, so a pair of
    calls must enclose the measured code. */
double gs_processor_usec (void);

/** Set the mean time of gs_slope_repeats operations.
    @param start value of gs_processor_usec() before the first of them */
void gs_slope_sample_finish (gs_slope_sample_t *sample, double start);

/** @return a snapshot of connected nodes and live engines; freed with
    gs_snapshot_free() unless published. */
gs_snapshot_t *gs_slope_snapshot (uint32_t nodes, uint32_t upstreams);

/** @return the text of a catalogue with a number of accounts; freed with
    g_free(). */
char *gs_slope_catalogue (uint32_t accounts);

/** Fill in an engine as the VM list reports it. */
void gs_slope_upstream (gs_upstream_info_t *upstream, uint32_t index);

#endif
