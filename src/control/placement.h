/**
 * @file placement.h
 * Decides for one pool which VMs are created, drained and deleted, and which
 * engines are sent an order.  An order says what the engine must serve and
 * carries the fencing token of the pool's lease.  The module does no I/O.  It
 * returns actions; the caller checks that it still holds the lease before it
 * runs each of them.
 */
#ifndef GS_CONTROL_PLACEMENT_H
#define GS_CONTROL_PLACEMENT_H

#include "control/spread.h"
#include "garnetstack/clock.h"
#include "garnetstack/rng.h"
#include "garnetstack/settings.h"
#include "garnetstack/status.h"

#include <glib.h>
#include <stdbool.h>

/** Size of a comma-separated list of adapter names. */
#define GS_ADAPTERS_BYTES 256

/** What the catalogue asks for a pool. */
typedef struct
{
  char pool[GS_NAME_BYTES];
  char model[GS_NAME_BYTES];
  char version[GS_NAME_BYTES];
  char adapters[GS_ADAPTERS_BYTES]; /**< sorted, separated by commas */
  bool reclaimable;                 /**< reclaimable VMs are allowed */
  unsigned replicas_min;            /**< VMs that must remain when any one data
                                         centre is lost */
  unsigned replicas_max;            /**< upper bound on the number of VMs */
} gs_pool_spec_t;

/** A VM of the pool, as listed by the platform and reported by its engine. */
typedef struct
{
  char name[GS_NAME_BYTES];
  char token[GS_NAME_BYTES]; /**< token that the VM was created with, may be
                                empty */
  char data_centre[GS_NAME_BYTES];
  bool reclaimable;
  bool leaving;          /**< gets no new work and is about to be removed */
  uint64_t price_micros; /**< 0 if unknown */
  gs_time_t reported_at; /**< last report of its engine, 0 for never */
  uint64_t fencing;      /**< fencing token of the order that the engine has
                              applied */
  char model[GS_NAME_BYTES];
  char version[GS_NAME_BYTES];
  char adapters[GS_ADAPTERS_BYTES];
  uint32_t running;
  uint32_t queued;
} gs_pool_vm_t;

typedef enum
{
  GS_PLACEMENT_CREATE, /**< create a VM */
  GS_PLACEMENT_DRAIN,  /**< notify all nodes that the VM is leaving */
  GS_PLACEMENT_DELETE, /**< delete a drained VM */
  GS_PLACEMENT_ORDER   /**< send the engine what to serve */
} gs_placement_action_kind_t;

typedef struct
{
  gs_placement_action_kind_t kind;
  char vm[GS_NAME_BYTES];    /**< empty for CREATE */
  char token[GS_NAME_BYTES]; /**< creation token, which reappears in the VM
                                list; only for CREATE */
  char data_centre[GS_NAME_BYTES];
  bool reclaimable;
  const char *reason; /**< reason in the log, a static string */
} gs_placement_action_t;

/** Reason of an order that makes the engine load weights. */
#define GS_PLACEMENT_REASON_LOAD "load"

/** State of one data centre.  Arrays are indexed by `reclaimable`: 0 for
    on-demand VMs, 1 for reclaimable ones. */
typedef struct
{
  char data_centre[GS_NAME_BYTES];
  uint64_t price_micros[2]; /**< last price seen */
  unsigned rejections[2];   /**< consecutive rejected creations */
  gs_time_t retry_at[2];    /**< earliest time of the next creation */
  unsigned wanted;          /**< VMs that the data centre should have */
  bool wants_reclaimable;   /**< class of VM to create next */
  unsigned live;
  unsigned leaving;
  unsigned creating; /**< requested, not listed yet */
} gs_placement_centre_t;

/** A VM whose creation was requested and that is not listed yet. */
typedef struct
{
  char token[GS_NAME_BYTES];
  unsigned centre; /**< index of the data centre */
  bool reclaimable;
  gs_time_t requested_at;
  bool confirmed; /**< the platform confirmed the creation */
} gs_placement_pending_t;

typedef struct
{
  gs_pool_spec_t spec;
  gs_placement_centre_t centres[GS_DATA_CENTRES_MAX];
  unsigned centre_count;
  GArray *pending;         /**< of gs_placement_pending_t */
  GHashTable *order_times; /**< VM name -> gs_time_t of the last order */
  GHashTable *draining;    /**< VM name -> gs_time_t when its drain began */
  uint64_t fencing;     /**< fencing token of the lease, 0 while this node is
                             not the holder */
  unsigned sequence;    /**< last number used in a creation token; never
                             reset, so that tokens do not repeat */
  gs_time_t held_since; /**< 0 while this node is not the holder */
  gs_time_t surplus_since;     /**< 0 while there is no surplus VM */
  gs_time_t load_due;          /**< earliest time of the next order that loads
                                    weights */
  unsigned demand;             /**< VMs that the current load needs */
  gs_time_t demand_updated_at; /**< when demand was last set, even to the same
                                  value */
  bool replicas_min_met;       /**< spec.replicas_min can be met */
  gs_rng_t rng;
} gs_placement_t;

/** A created VM that is not listed within this time is assumed not to exist.
    A new holder also waits for this time before it creates VMs, because VMs
    that its predecessor requested may not be listed yet. */
#define GS_PLACEMENT_LISTING_TIMEOUT (20 * GS_SEC)
/** A surplus must last this long before a VM is drained. */
#define GS_PLACEMENT_SURPLUS_DELAY (120 * GS_SEC)
/** Delay of loads after the weight store rejected one. */
#define GS_PLACEMENT_LOAD_BACKOFF (5 * GS_SEC)
/** A draining VM is deleted after this time even if it has work. */
#define GS_PLACEMENT_DRAIN_TIMEOUT (120 * GS_SEC)
/** Time between two orders that load weights; keeps loads under the rate of
    the weight store. */
#define GS_PLACEMENT_LOAD_INTERVAL GS_SEC
/** An order that the engine has not applied within this time is sent again. */
#define GS_PLACEMENT_ORDER_TIMEOUT (10 * GS_SEC)
/** Bounds of the exponential delay after a rejected creation. */
#define GS_PLACEMENT_CREATE_BACKOFF_MIN (5 * GS_SEC)
#define GS_PLACEMENT_CREATE_BACKOFF_MAX (300 * GS_SEC)

/** @param seed of the jitter of retries */
void gs_placement_init (gs_placement_t *placement, const char *pool,
                        uint64_t seed);
void gs_placement_clear (gs_placement_t *placement);

/**
 * Set what the catalogue asks for.
 * @param centres names of the region's data centres; those not known yet are
 * added, up to GS_DATA_CENTRES_MAX
 */
void gs_placement_spec_set (gs_placement_t *placement,
                            const gs_pool_spec_t *spec,
                            const char *const *centres, unsigned count);

/**
 * Set whether this node holds the pool's lease.  A change clears the records
 * of pending creations, drains and orders.
 * @param fencing token of the lease, 0 if this node is not the holder
 */
void gs_placement_fencing_set (gs_placement_t *placement, gs_time_t now,
                               uint64_t fencing);

/**
 * Update the state from the pool's VMs and decide which actions are due.
 * @param actions gs_placement_action_t are appended, none if this node is
 * not the holder
 */
void gs_placement_tick (gs_placement_t *placement, gs_time_t now,
                        const gs_pool_vm_t *vms, size_t count,
                        GArray *actions);

/**
 * Handle the result of a creation.
 * @param status GS_OK; GS_EREFUSED or GS_EUNREACHABLE if the VM was not
 * created; any other status leaves it open whether the VM exists
 */
void gs_placement_create_done (gs_placement_t *placement, gs_time_t now,
                               const char *token, gs_status_t status);

/** Handle an order that the engine did not accept.  It is sent again after a
    delay. */
void gs_placement_order_failed (gs_placement_t *placement, gs_time_t now,
                                const char *vm);

/** Handle a load that the weight store rejected, so that the order was not
    sent.  Loads are tried again after a delay. */
void gs_placement_load_rejected (gs_placement_t *placement, gs_time_t now,
                                 const char *vm);

/** @return true if the engine serves what the catalogue asks for and reports
    the fencing token of this node's lease. */
bool gs_placement_order_is_applied (const gs_placement_t *placement,
                                    const gs_pool_vm_t *vm);

#endif
