/**
 * @file slope_roles.h
 * Work of each role at a given size, done with the code of the daemon.
 */
#ifndef GS_BENCH_SLOPE_ROLES_H
#define GS_BENCH_SLOPE_ROLES_H

#include "garnetstack/snapshot.h"

#include <stddef.h>
#include <stdint.h>

/** What one size cost. */
typedef struct
{
  double usec;         /**< processor time of one operation */
  double memory;       /**< bytes held on the heap */
  double wire;         /**< bytes sent by one operation */
  unsigned operations; /**< that usec is the mean of, 0 for one */
} gs_sample_t;

typedef struct
{
  const char *name;
  const char *variable;  /**< what n counts */
  const char *operation; /**< what usec and wire are of */
  uint32_t least;        /**< smallest n; each next point doubles it */
  uint32_t points;
  gs_sample_t (*run) (uint32_t n);
} gs_role_t;

/** Roles of the control thread and the peer thread, ended by one without a
    name. */
extern const gs_role_t gs_control_roles[];

/** Roles of the traffic threads, ended by one without a name. */
extern const gs_role_t gs_traffic_roles[];

/** Roles that work for operators and callers, ended by one without a name. */
extern const gs_role_t gs_service_roles[];

/** Operations that one point's time is the mean of. */
extern unsigned gs_slope_repeats;

/** Model that the upstreams of a made snapshot serve. */
#define GS_SLOPE_TARGET "assistant"

/** @return bytes held on the heap now. */
size_t gs_heap_bytes (void);

/** @return processor time of this process, microseconds.  Under callgrind
    each call also turns the counting of instructions on or off, so calls come
    in pairs around what is measured. */
double gs_processor_usec (void);

/** End what gs_slope_repeats operations have taken since @p start, a time of
    gs_processor_usec(). */
void gs_slope_take (gs_sample_t *sample, double start);

/** @return a picture of that many connected nodes and live engines. */
gs_snapshot_t *gs_slope_snapshot (uint32_t nodes, uint32_t upstreams);

/** @return a catalogue of that many accounts; freed with g_free(). */
char *gs_slope_catalogue (uint32_t accounts);

/** Describe an engine as the VM list does. */
void gs_slope_upstream (gs_upstream_info_t *upstream, uint32_t index);

#endif
