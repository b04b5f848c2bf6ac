/**
 * @file config.h
 * State machine that selects the catalogue generation in force on this node
 * and the source (store or peer) of a newer one.  Each function takes an event
 * and the current time, updates gs_config_t and appends the actions that the
 * caller has to perform.  The functions do no input or output.
 */
#ifndef GS_CONTROL_CONFIG_H
#define GS_CONTROL_CONFIG_H

#include "garnetstack/clock.h"
#include "garnetstack/rng.h"
#include "garnetstack/status.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Identity of one catalogue text, ordered by generation, then by digest.  A
    store restored from a backup can lead to two texts of one generation; the
    digest makes all nodes prefer the same one. */
typedef struct
{
  uint64_t generation; /**< 0 for none */
  uint64_t digest;
} gs_config_id_t;

/** @return a value below, equal to or above 0 if @p a is ordered before, equal
    to or after @p b. */
int gs_config_id_compare (gs_config_id_t a, gs_config_id_t b);

/** @return the identity of a catalogue text.
    @param generation generation that the text states
    @param length of @p text in bytes */
gs_config_id_t gs_config_id_compute (uint64_t generation, const char *text,
                                     size_t length);

typedef enum
{
  GS_CONFIG_READ,       /**< read the catalogue object from the store */
  GS_CONFIG_WATCH,      /**< watch the store for a revision above .version */
  GS_CONFIG_WRITE_BACK, /**< replace version .version in the store by the
                             text in force */
  GS_CONFIG_ADOPT,      /**< the received text is now in force */
  GS_CONFIG_ANNOUNCE,   /**< announce the text in force to some peers */
  GS_CONFIG_PULL        /**< request the text of .peer */
} gs_config_action_kind_t;

typedef struct
{
  gs_config_action_kind_t kind;
  uint64_t peer;    /**< incarnation; for GS_CONFIG_PULL */
  uint64_t version; /**< store revision or object version */
} gs_config_action_t;

/** State of the configuration controller of one node. */
typedef struct
{
  gs_config_id_t current;  /**< text in force on this node; never moves back */
  gs_config_id_t stored;   /**< text in the store at store_version */
  uint64_t store_version;  /**< version of the catalogue object */
  uint64_t revision;       /**< last store revision observed */
  gs_config_id_t highest;  /**< highest text announced by any peer */
  uint64_t highest_peer;   /**< incarnation of that peer, 0 for none */
  bool watcher;            /**< this node watches the store */
  bool store_busy;         /**< a store call is in flight */
  bool watch_broken;       /**< a watch failed or a write-back ended: the
                                next call is a read */
  unsigned store_failures; /**< consecutive failed store calls */
  gs_time_t store_due;     /**< earliest time of the next store call */
  gs_time_t read_due;      /**< when a watcher reads instead of watching */
  gs_time_t store_response_at; /**< last response of the store, 0 for never */
  gs_time_t peer_message_at;   /**< last message of a peer, 0 for never */
  gs_time_t pull_due;          /**< earliest time of the next pull */
  gs_time_t settle_deadline;   /**< until then a new node awaits its peers */
  gs_rng_t rng;
} gs_config_t;

/** Interval of a watcher's store calls after a failed watch. */
#define GS_CONFIG_POLL_INTERVAL (500 * GS_MSEC)
/** How long one watch may stay open. */
#define GS_CONFIG_WATCH_TIMEOUT (1500 * GS_MSEC)
/** A node that received nothing from the store or a peer for this long stops
    accepting requests. */
#define GS_CONFIG_ISOLATION_TIMEOUT (3 * GS_SEC)
/** An unanswered pull is repeated after this. */
#define GS_CONFIG_PULL_TIMEOUT (500 * GS_MSEC)
/** Upper bound of the delay between store calls while the store fails. */
#define GS_CONFIG_BACKOFF_MAX (8 * GS_SEC)
/** Largest number of nodes of a region that watch the store. */
#define GS_CONFIG_WATCHERS_MAX 2
/** Number of peers to which a new generation is announced immediately. */
#define GS_CONFIG_FANOUT 8

/** Initialise with no catalogue in force.
    @param seed of the random delays, which spread the first store calls of
    nodes that start together */
void gs_config_init (gs_config_t *config, gs_time_t now, uint64_t seed);

/** Set whether this node is one of the region's watchers of the store. */
void gs_config_watcher_set (gs_config_t *config, gs_time_t now, bool watcher);

/** Append the actions that are due at @p now; call periodically. */
void gs_config_tick (gs_config_t *config, gs_time_t now, GArray *actions);

/** Handle a peer's announcement of the text that it has in force.
    @param peer incarnation of the peer */
void gs_config_announcement_receive (gs_config_t *config, gs_time_t now,
                                     uint64_t peer, gs_config_id_t id,
                                     GArray *actions);

/** Handle a valid text received from a peer or from an operator's edit.
    @return true if the text is adopted */
bool gs_config_text_receive (gs_config_t *config, gs_time_t now,
                             gs_config_id_t id, GArray *actions);

/** Handle the loss of a peer, from which no text can be pulled any more.
    @param peer incarnation of the peer */
void gs_config_peer_remove (gs_config_t *config, uint64_t peer);

/**
 * Handle the response to a read of the catalogue object.
 * @param status GS_ENOTFOUND if the object does not exist
 * @param version of the object
 * @param id identity of the text read; generation 0 if there is no valid one
 * @return true if the text is adopted
 */
bool gs_config_read_done (gs_config_t *config, gs_time_t now,
                          gs_status_t status, uint64_t version,
                          gs_config_id_t id, GArray *actions);

/** Handle the end of a watch.
    @param revision of the store when the watch ended
    @param changed true if the catalogue object is among the changes */
void gs_config_watch_done (gs_config_t *config, gs_time_t now,
                           gs_status_t status, uint64_t revision, bool changed,
                           GArray *actions);

/** Handle the response to a write-back.
    @param version of the object after the write */
void gs_config_write_done (gs_config_t *config, gs_time_t now,
                           gs_status_t status, uint64_t version);

/** @return the time until which requests may be accepted under the text in
    force; a time in the past if they may not. */
gs_time_t gs_config_ready_until (const gs_config_t *config, gs_time_t now);

/** @return false while a peer has a later text than this node; an operator's
    edit must not be based on the older one. */
bool gs_config_is_editable (const gs_config_t *config);

#endif
