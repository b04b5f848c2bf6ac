/**
 * @file replica.h
 * A replica of a service as it has registered itself, and immutable lists of
 * them for traffic threads.
 */
#ifndef GARNETSTACK_REPLICA_H
#define GARNETSTACK_REPLICA_H

#include "garnetstack/deployment.h"

#include <glib.h>

typedef enum
{
  GS_REPLICA_READY,
  GS_REPLICA_DRAINING /**< ends what it has; gets nothing new */
} gs_replica_state_t;

typedef struct
{
  char id[GS_NAME_BYTES]; /**< of one start; a restart may keep it */
  char service[GS_NAME_BYTES];
  char address[GS_NAME_BYTES]; /**< IP:PORT; used again by others once the
                                    replica is gone */
  char data_centre[GS_NAME_BYTES];
  gs_replica_state_t state;
  bool spot;            /**< reclaimable */
  unsigned slots;       /**< requests it runs at once */
  int64_t born_ms;      /**< wall clock of its start; 0 if not told */
  gs_time_t leaves_at;  /**< when it ends, as far as told; else never */
  gs_time_t cold_until; /**< it works more slowly before */
  uint64_t revision;    /**< of its entry in the store */
} gs_replica_t;

/** Immutable, shared between threads by a reference count. */
typedef struct
{
  gatomicrefcount references;
  uint64_t sequence; /**< rises with each list of a process */
  unsigned count;
  gs_replica_t rows[];
} gs_replica_list_t;

gs_replica_list_t *gs_replica_list_ref (gs_replica_list_t *list);
void gs_replica_list_unref (gs_replica_list_t *list);

#endif
