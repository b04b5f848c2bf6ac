/**
 * @file peers.h
 * The other nodes of the fleet: their addresses, which of them are live, and
 * what they report.
 *
 * In a small fleet each pair of nodes exchanges digests.  In a fleet of more
 * than PEERS_SMALL_FLEET_MAX nodes that would take bytes and time in
 * proportion to the number of nodes.  There the first nodes of each data
 * centre, in an order that all nodes share, are its aggregators: the other
 * nodes send them reports and get back a view of the fleet; aggregators of
 * different data centres exchange summaries, each of its own data centre.  So
 * a report is known everywhere after three exchanges, and a node that is not
 * an aggregator makes the same number of calls in a fleet of any size.
 * Which version began a stream is sent to all nodes of a small fleet and to
 * all aggregators of a large one, whose other nodes ask for it.  A node
 * whose data centre is not known, such as one of an earlier version, exchanges
 * digests with all.
 *
 * Runs on the control thread; makes no calls of its own but through its
 * transport, and reads no clock.
 */
#ifndef GS_FLEET_PEERS_H
#define GS_FLEET_PEERS_H

#include "fleet/digest.h"
#include "fleet/peer_message.h"

#include <jansson.h>

/** Time between two exchanges of a node with another one.  Only where all
    nodes of a large fleet exchange digests, it grows in proportion to their
    number. */
#define PEERS_EXCHANGE_INTERVAL (300 * GS_MSEC)
#define PEERS_SMALL_FLEET_MAX 10
/** Time between two reports to an aggregator, and between two summaries.  What
    a node knows comes over three exchanges, each of them shorter than between
    two nodes of a small fleet. */
#define PEERS_REPORT_INTERVAL (150 * GS_MSEC)
/** In a data centre with more nodes than this the time between two reports
    grows in proportion, so that the bytes of its aggregators do not. */
#define PEERS_REPORTING_NODES_MAX 24
/** Aggregators of a data centre; either suffices while the other one fails. */
#define PEERS_AGGREGATORS 2
/** A node that misses this many exchanges is no longer live, and its address
    is not given to callers. */
#define PEERS_MISSED_EXCHANGES_MAX 3.6
/** The last report of a process is used for usage reports for this long after
    it was received. */
#define PEERS_REPORT_TTL (30 * GS_SEC)
/** Time that a call to a peer may take.  Within a region a response takes a
    few milliseconds, and some tens of milliseconds from a node that is slowed
    down. */
#define PEERS_CALL_TIMEOUT (500 * GS_MSEC)

/** Paths of the peer port: digests, reports and summaries, and copies of the
    store's configuration, replicas and nodes. */
#define PEERS_DIGEST_PATH "/digest"
#define PEERS_REPORT_PATH "/report"
#define PEERS_SUMMARY_PATH "/summary"
#define PEERS_CONFIG_PATH "/config"
#define PEERS_REPLICAS_PATH "/replicas"
#define PEERS_MEMBERS_PATH "/members"

typedef struct peers peers_t;

/** How a call to a peer ended. */
typedef struct
{
  long http_status; /**< 0 if there was no complete response */
  const char *body;
  size_t length;
} peers_reply_t;

typedef void (*peers_reply_cb_t) (void *context, gs_time_t now,
                                  const peers_reply_t *reply);

/** Carries calls to other nodes. */
typedef struct
{
  void *context;
  /**
   * Start a POST, which ends by PEERS_CALL_TIMEOUT.
   * @param body borrowed
   * @param on_reply called once, unless the transport is destroyed before
   * @param reply_context passed to @p on_reply, which frees it; freed with
   * g_free() if the transport is destroyed
   */
  void (*post) (void *context, gs_time_t now, const gs_endpoint_t *endpoint,
                const char *path, const GByteArray *body,
                peers_reply_cb_t on_reply, void *reply_context);
} peers_transport_t;

/** State of a node that is sent with each message. */
typedef struct
{
  uint32_t flags;             /**< PEER_READY etc. */
  bool store_lost;            /**< the store does not answer it */
  uint64_t config_revision;   /**< store revision; 0 for none */
  uint64_t replicas_revision; /**< store revision; 0 for none */
  uint64_t members_revision;  /**< store revision; 0 for none */
  uint64_t usage_window;      /**< last usage window that any node has sent; 0
                                   for none */
  /** Last resignation of a holder of the duties that the sender knows of;
      zero for none. */
  gs_lease_resignation_t resignation;
} peers_state_t;

typedef struct
{
  void *context;
  /** Get the state of this node. */
  void (*get_state) (void *context, peers_state_t *out);
  /** @return the last report of this node's traffic thread, borrowed; NULL
      before the first */
  const traffic_report_t *(*get_report) (void *context);
  /** A message of a peer was received.
      @param endpoint of the peer, where its copies may be read */
  void (*on_peer_state) (void *context, gs_time_t now,
                         const gs_endpoint_t *endpoint,
                         const peers_state_t *state);
} peers_listener_t;

/** Exchanges roll-outs with the messages between nodes. */
typedef struct
{
  void *context;
  /** Append what this node knows.
      @param out array of rollout_row_t */
  void (*get_rows) (void *context, gs_time_t now, GArray *out);
  /** A peer has sent what it knows. */
  void (*on_rows) (void *context, gs_time_t now, const GArray *rows);
} peers_rollouts_t;

/** @param out receives the peers, freed with peers_destroy()
    @param self copied; with the data centre of this node
    @param seeds copied; addresses to contact first, of @p seed_count nodes
    @param seed of the random part of intervals */
void peers_create (peers_t **out, const digest_member_t *self,
                   const gs_endpoint_t *seeds, unsigned seed_count,
                   const peers_listener_t *listener,
                   const peers_transport_t *transport, uint64_t seed);

/** No call may be open: the transport must have been destroyed. */
void peers_destroy (peers_t *peers);

/** Exchange roll-outs from now on.
    @param rollouts copied */
void peers_rollouts_set (peers_t *peers, const peers_rollouts_t *rollouts);

/** Call the peers that are due and drop those that have expired; to be called
    periodically. */
void peers_tick (peers_t *peers, gs_time_t now);

/** Make all calls now that this node makes periodically. */
void peers_notify_all (peers_t *peers, gs_time_t now);

/** Process a message that a peer sent.
    @param path PEERS_DIGEST_PATH, PEERS_REPORT_PATH or PEERS_SUMMARY_PATH
    @return this node's answer, freed with g_byte_array_unref(), or NULL if the
    message was rejected */
GByteArray *peers_message_receive (peers_t *peers, gs_time_t now,
                                   const char *path, const char *data,
                                   size_t length);

/** Set whether a node is listed in the store. */
void peers_listed_set (peers_t *peers, gs_time_t now,
                       const digest_member_t *member, bool listed);

/** Record that the store's list of nodes has been read. */
void peers_members_listed_set (peers_t *peers);

/** Set the place of this process in a series of restarts of this node: 0 if
    no process was before it, 1 if that had run for long, and so on.  The next
    process is able to read it. */
void peers_restarts_set (peers_t *peers, unsigned restarts);

/** @return whether the store's list of nodes has been read and the place of
    this process in a series of restarts is known */
bool peers_is_fleet_known (const peers_t *peers);

/** @return number of nodes that share the fleet-wide limits: this one, those
    listed in the store, and those that were recently heard of. */
unsigned peers_member_count (const peers_t *peers, gs_time_t now);

/** Append the hashes of these nodes, this one first.
    @param out array of uint64_t; gets nothing while this node knows of no
    other one and has not read the store's list */
void peers_members_hash (const peers_t *peers, gs_time_t now, GArray *out);

/** @return position of this node, from 0, among the live nodes that accept
    requests, in an order that all nodes share; only aggregators count in a
    large fleet, and UINT_MAX is returned for a node that is none.  The first
    nodes in the order perform the tasks that only a few perform for all. */
unsigned peers_rank (const peers_t *peers, gs_time_t now);

/** @return true if another live node follows the store and gets responses from
    it. */
bool peers_has_follower (const peers_t *peers, gs_time_t now);

/** @return a time at which more than half of the nodes had no later list of
    replicas than this one; 0 if none is known, as in a large fleet, where a
    node does not exchange messages with the others */
gs_time_t peers_in_step_at (const peers_t *peers, gs_time_t now);

/** Call the other nodes at once, whose answers show whether this one is in
    step; calls of theirs do not show it, and put off this node's own. */
void peers_in_step_request (peers_t *peers, gs_time_t now);

/** @return whether another node is live, by its name. */
bool peers_name_is_live (const peers_t *peers, gs_time_t now,
                         const char *name);

/** @return number of other live nodes. */
unsigned peers_live_count (const peers_t *peers, gs_time_t now);

/** Write the callers' addresses of other live nodes that accept requests.  If
    there are more than @p max, the choice differs between nodes but not over
    time.
    @param reaching only those that reach replicas
    @return number of addresses written */
unsigned peers_live_addresses (const peers_t *peers, gs_time_t now,
                               bool reaching, gs_endpoint_t *out,
                               unsigned max);

/** @return the reports of the other live nodes, for traffic_peers_set(); freed
    with traffic_peers_free(). */
traffic_peers_t *peers_view_create (peers_t *peers, gs_time_t now);

/** Add up usage counts and demand of all processes, including this one and
    those that ended within PEERS_REPORT_TTL.  In a large fleet only
    aggregators receive them all.
    @param out initialized */
void peers_fleet_sum (const peers_t *peers, gs_time_t now, aggregate_t *out);

/** @return what this node and others know of requests that crash replicas;
    owned by @p peers */
quarantine_t *peers_quarantine (const peers_t *peers);

/** Add streams that have begun at this node.
    @param rows of stream_origin_row_t */
void peers_origins_add (peers_t *peers, gs_time_t now, const GArray *rows);

/** Ask the aggregators for streams that this node does not know; those that it
    asked for before are forgotten.  Does nothing in a small fleet, where all
    nodes receive all streams.
    @param keys of stream_origin_key_t */
void peers_origins_request (peers_t *peers, gs_time_t now, const GArray *keys);

/** @return the streams that this node knows of; owned by @p peers */
stream_origins_t *peers_origins (const peers_t *peers);

/** @return which streams this node keeps in the store, as flags of their
    sources: those that began at it in a small fleet, and those of its data
    centre in a large one if it is the first live node there; else 0 */
unsigned peers_origins_kept (const peers_t *peers, gs_time_t now);

/** @return the value of a node's entry in the store; freed by the caller with
    json_decref() */
json_t *peers_member_encode (const digest_member_t *member);

/** @param name name of the entry
    @return GS_OK, or GS_EINVAL for a malformed entry */
gs_status_t peers_member_decode (digest_member_t *out, const char *name,
                                 const json_t *value);

#endif
