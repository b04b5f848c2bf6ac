/**
 * @file replica.h
 * A replica of a service as it is registered in the store, and immutable lists
 * of replicas that traffic threads share.
 */
#ifndef GARNETSTACK_REPLICA_H
#define GARNETSTACK_REPLICA_H

#include "garnetstack/deployment.h"

#include <glib.h>

typedef enum
{
  GS_REPLICA_READY,
  GS_REPLICA_DRAINING /**< finishes its requests; gets no new ones */
} gs_replica_state_t;

typedef struct
{
  char id[GS_NAME_BYTES]; /**< unique among replicas; a restart may keep it */
  char service[GS_NAME_BYTES];
  char address[GS_NAME_BYTES]; /**< IP:PORT; may be reused by another replica
                                    after this one has terminated */
  char data_centre[GS_NAME_BYTES];
  char version[GS_NAME_BYTES]; /**< of its software; "" if unknown */
  gs_replica_state_t state;
  bool spot;               /**< the provider may reclaim it */
  unsigned slots;          /**< requests that it runs at once */
  int64_t started_ms;      /**< wall clock time of its start; 0 if unknown */
  gs_time_t terminates_at; /**< announced time of its end, or GS_TIME_NEVER */
  gs_time_t warm_up_until; /**< end of the warm-up, in which it is slower; 0
                                if unknown */
  uint64_t revision;       /**< of its entry in the store */
} gs_replica_t;

/** Immutable, shared between threads by a reference count. */
typedef struct
{
  gatomicrefcount references;
  uint64_t sequence; /**< rises with each list that the process creates */
  unsigned count;
  gs_replica_t rows[];
} gs_replica_list_t;

/** @return @p list, which may be NULL, with one more reference */
gs_replica_list_t *gs_replica_list_ref (gs_replica_list_t *list);

/** Drop a reference; the last one frees the list.  @p list may be NULL. */
void gs_replica_list_unref (gs_replica_list_t *list);

#endif
