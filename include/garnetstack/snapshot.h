/**
 * @file snapshot.h
 * Immutable snapshots of the state that the control thread shares with the
 * traffic threads.  The control thread publishes a snapshot; readers take no
 * lock, and epoch-based reclamation frees a replaced snapshot once no reader
 * uses it.
 */
#ifndef GARNETSTACK_SNAPSHOT_H
#define GARNETSTACK_SNAPSHOT_H

#include "garnetstack/catalogue.h"
#include "garnetstack/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  GS_VM_LIVE,
  GS_VM_LEAVING, /**< about to leave, receives no new requests */
  GS_VM_GONE     /**< the VM no longer exists */
} gs_vm_state_t;

/** An entry node. */
typedef struct
{
  char name[GS_NAME_BYTES];
  char address[GS_ADDRESS_BYTES];
  char region[GS_NAME_BYTES];
  char data_centre[GS_NAME_BYTES];
  uint16_t caller_port;
  uint16_t peer_port;
  uint64_t incarnation;    /**< 0 until a connection to it was verified */
  uint64_t generation;     /**< catalogue generation that it last reported */
  gs_time_t generation_at; /**< when that report was received, 0 for never */
  gs_vm_state_t state;
  gs_time_t reclaim_deadline; /**< time at which the VM is reclaimed, 0 without
                              a notice */
  gs_time_t heartbeat_at;     /**< last heartbeat, 0 for never */
  bool connected;             /**< a verified connection to it is open */
} gs_node_info_t;

typedef enum
{
  GS_UPSTREAM_ENGINE,
  GS_UPSTREAM_SERVICE
} gs_upstream_kind_t;

/** An upstream: a model engine or a replica of a plain service. */
typedef struct
{
  char name[GS_NAME_BYTES];
  char address[GS_ADDRESS_BYTES];
  uint16_t port;
  gs_upstream_kind_t kind;
  char target[GS_NAME_BYTES]; /**< model or service that it serves */
  char data_centre[GS_NAME_BYTES];
  bool reclaimable;
  uint64_t price_micros; /**< price of one hour, in millionths */
  gs_vm_state_t state;
  gs_time_t reclaim_deadline; /**< time at which the VM is reclaimed, 0 without
                              a notice */
  /* Last reported load. */
  gs_time_t reported_at; /**< time of the load report, 0 for never */
  uint32_t running;
  uint32_t queued;
  uint32_t queued_tokens; /**< prompt tokens waiting for prefill */
  uint32_t batch_max;     /**< concurrent sequences, 0 when unknown */
  /* Events of the prefix cache in this snapshot. */
  uint64_t cache_first_revision; /**< of the first event, 0 for none */
  uint64_t cache_revision;       /**< of the last known event */
} gs_upstream_info_t;

/** Change of an upstream's prefix cache. */
typedef struct
{
  uint32_t upstream; /**< index into the snapshot's upstreams */
  bool evicted;      /**< false when the block was added */
  uint64_t block;    /**< chain hash of the prompt block, see prefix.h */
} gs_cache_event_t;

/** Lease of a pool, as known to this node. */
typedef struct
{
  char pool[GS_NAME_BYTES];
  char holder[GS_NAME_BYTES]; /**< node that holds the lease, "" for none */
  uint64_t fencing;           /**< fencing token, increases with each holder */
  gs_time_t act_deadline;     /**< this node acts for the pool until then; 0
                                 if it is not the holder */
  gs_time_t reported_at;      /**< last report of the holder, 0 for never */
} gs_lease_info_t;

/** Desired and actual VMs of a pool in one data centre. */
typedef struct
{
  char pool[GS_NAME_BYTES];
  char data_centre[GS_NAME_BYTES];
  uint32_t wanted_reclaimable;
  uint32_t wanted_on_demand;
  uint32_t live;      /**< in the VM list and not leaving */
  uint32_t leaving;   /**< in the VM list, leaving */
  uint32_t creating;  /**< ordered, not yet listed */
  gs_time_t retry_at; /**< next attempt after rejected orders, 0 for none */
} gs_placement_info_t;

/** State of the store, as seen by this node. */
typedef struct
{
  gs_time_t response_at;   /**< last response, 0 for never */
  uint32_t failures;       /**< consecutive failed calls */
  uint32_t writes_waiting; /**< queued writes */
  bool watcher;            /**< this node watches the store for its region */
  uint64_t generation;     /**< generation of the catalogue in the store */
} gs_store_info_t;

/** One immutable snapshot. */
typedef struct
{
  uint64_t sequence;         /**< number of the publication */
  gs_catalogue_t *catalogue; /**< NULL before the first generation */
  size_t node_count;
  gs_node_info_t *nodes;
  size_t upstream_count;
  gs_upstream_info_t *upstreams;
  size_t cache_event_count;
  gs_cache_event_t *cache_events; /**< since the previous snapshot; owned */
  bool self_leaving;              /**< this node is leaving */
  bool ready;                     /**< may accept requests */
  gs_time_t ready_until; /**< not ready after this time, even if `ready` */
  gs_time_t adopted_at;  /**< time at which this node adopted the catalogue */
  gs_store_info_t store;
  size_t lease_count;
  gs_lease_info_t *leases; /**< owned */
  size_t placement_count;
  gs_placement_info_t *placements; /**< owned */
} gs_snapshot_t;

typedef struct gs_snapshot_hub gs_snapshot_hub_t;
typedef struct gs_snapshot_reader gs_snapshot_reader_t;

/** Create a hub, which holds the current snapshot: at first an empty one.
    Freed with gs_snapshot_hub_destroy(). */
gs_status_t gs_snapshot_hub_create (gs_snapshot_hub_t **out);

/** Free the hub, its readers and the current snapshot.  No reader may be in a
    read section.  NULL is allowed. */
void gs_snapshot_hub_destroy (gs_snapshot_hub_t *hub);

/**
 * Publish a snapshot; control thread only.  The hub takes ownership of
 * @p snapshot and of its catalogue reference.
 */
void gs_snapshot_publish (gs_snapshot_hub_t *hub, gs_snapshot_t *snapshot);

/** Register a reader for the calling thread; freed with the hub. */
gs_snapshot_reader_t *gs_snapshot_reader_create (gs_snapshot_hub_t *hub);

/** Release a reader; a later reader may reuse its record. */
void gs_snapshot_reader_release (gs_snapshot_reader_t *reader);

/** Enter a read section, without a lock.
    @return the current snapshot, never NULL, valid until gs_snapshot_end() on
    the same reader */
const gs_snapshot_t *gs_snapshot_begin (gs_snapshot_reader_t *reader);

/** Leave the read section. */
void gs_snapshot_end (gs_snapshot_reader_t *reader);

/** Allocate a snapshot with zeroed nodes and upstreams of the given counts.
    @return the snapshot, passed to gs_snapshot_publish() or freed with
    gs_snapshot_free() */
gs_snapshot_t *gs_snapshot_new (size_t nodes, size_t upstreams);

/** Free a snapshot that was never published; NULL is allowed. */
void gs_snapshot_free (gs_snapshot_t *snapshot);

#endif
