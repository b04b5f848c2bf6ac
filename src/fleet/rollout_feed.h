/**
 * @file rollout_feed.h
 * Orders of roll-outs and the records of their owner, as this node knows them.
 * Nodes that follow the store read the orders there; the owner sets the
 * records that the store has confirmed.  Both reach the other nodes as rows in
 * the messages between nodes, the later revision wins.  Runs on the control
 * thread.
 */
#ifndef GS_FLEET_ROLLOUT_FEED_H
#define GS_FLEET_ROLLOUT_FEED_H

#include "garnetstack/object_store.h"
#include "garnetstack/rollout.h"
#include "policy/rollout_plan.h"
#include "wire/row_codec.h"

#include <glib.h>

/** Services with a roll-out that a message names. */
#define ROLLOUT_ROWS_MAX 256

/** One service in a message between nodes.  A part with revision 0 is not
    known to the sender. */
typedef struct
{
  char service[GS_NAME_BYTES];
  uint64_t target;   /**< hash of the ordered version; 0 if withdrawn */
  uint64_t revision; /**< of the order */
  uint64_t flags;    /**< gs_rollout_state_t + 256 * rollout_stage_t */
  uint64_t order;    /**< rollout_record_t.order */
  uint64_t record_target;
  uint64_t record_revision;
  uint64_t fraction_ppm; /**< of the record, in millionths */
  uint64_t age_ms;       /**< since the owner has confirmed the record */
} rollout_row_t;

extern const row_layout_t rollout_row_layout;

/** What this node knows of the roll-out of one service. */
typedef struct
{
  char service[GS_NAME_BYTES];
  /** The order.  Its text fields are set if this node has read it. */
  char *name; /**< of the object; NULL if only other nodes have read it */
  gs_rollout_t rollout;
  json_t *value;     /**< of the object; NULL if not read or removed */
  uint64_t target;   /**< hash of the version; 0 if there is no order */
  uint64_t former;   /**< hash of the version that was ordered before and not
                          completed; 0 for none */
  uint64_t revision; /**< 0 if no order was ever known */
  gs_rollout_state_t state;
  gs_time_t seen_at; /**< when this node learned of that revision */
  /** The record; order 0 if none is known. */
  rollout_record_t record;
  uint64_t record_revision;
  gs_time_t confirmed_at; /**< when the owner last confirmed the record */
  bool reordered; /**< an order whose status was final was written anew */
  bool settled;   /**< private to the user of the feed: only replicas of one
                       version were left after the end */
} rollout_entry_t;

typedef struct rollout_feed rollout_feed_t;

typedef gs_status_t (*rollout_decode_cb_t) (gs_rollout_t *out,
                                            const gs_object_t *object);

/**
 * @param out receives the feed, freed with rollout_feed_destroy()
 * @param store borrowed
 * @param kind of the orders; copied
 * @param decode reads an order
 * @param seed of the random part of retry delays
 */
void rollout_feed_create (rollout_feed_t **out, const gs_object_store_t *store,
                          const char *kind, rollout_decode_cb_t decode,
                          uint64_t seed);

/** Free the feed, which may be NULL.  No call to the store may be open. */
void rollout_feed_destroy (rollout_feed_t *feed);

/** Make the next call to the store when it is due.
    @param follows_store whether this node reads the store; until the first
    list is complete it does in any case */
void rollout_feed_tick (rollout_feed_t *feed, gs_time_t now,
                        bool follows_store);

/** @return whether all orders were listed once */
bool rollout_feed_is_listed (const rollout_feed_t *feed);

/** @return service -> rollout_entry_t, owned by the feed */
GHashTable *rollout_feed_entries (const rollout_feed_t *feed);

/** Set or confirm a record as its owner.
    @param revision of the record in the store */
void rollout_feed_record_set (rollout_entry_t *entry, gs_time_t now,
                              const rollout_record_t *record,
                              uint64_t revision);

/** Append what this node knows.
    @param out array of rollout_row_t */
void rollout_feed_export (const rollout_feed_t *feed, gs_time_t now,
                          GArray *out);

/** Adopt what another node knows.
    @param rows array of rollout_row_t */
void rollout_feed_import (rollout_feed_t *feed, gs_time_t now,
                          const GArray *rows);

#endif
