/**
 * @file peers.h
 * The other nodes of the fleet: their addresses, when each last sent a digest,
 * and its content.  One HTTP exchange carries the digests of both nodes, so
 * each pair of nodes needs one exchange per interval.  A node is live until
 * its last digest is older than peers_silence_timeout().  Runs on the control
 * thread.
 */
#ifndef GS_GATEWAY_PEERS_H
#define GS_GATEWAY_PEERS_H

#include "garnetstack/loop.h"
#include "garnetstack/object_store.h"
#include "gateway/digest.h"

/** Time between two exchanges of a pair of nodes, in fleets of up to
    PEERS_SMALL_FLEET_MAX nodes.  In larger fleets the time grows in proportion
    to the number of nodes, so that the traffic of a node does not grow. */
#define PEERS_EXCHANGE_INTERVAL (300 * GS_MSEC)
#define PEERS_SMALL_FLEET_MAX 10
/** A node that misses this many exchanges is no longer live, and its address
    is not given to callers. */
#define PEERS_MISSED_EXCHANGES_MAX 3.6
/** The last digest of a process is used for usage reports for this long after
    it was received. */
#define PEERS_DIGEST_TTL (30 * GS_SEC)

/** Paths of the peer port: exchange of digests, and copies of the store's
    configuration and replicas. */
#define PEERS_DIGEST_PATH "/digest"
#define PEERS_CONFIG_PATH "/config"
#define PEERS_REPLICAS_PATH "/replicas"

typedef struct peers peers_t;

typedef struct
{
  void *context;
  /** Fill in the current digest of this node, except for its members. */
  void (*fill) (void *context, digest_t *digest);
  /** A peer's digest was received; valid during the call. */
  void (*on_digest) (void *context, gs_time_t now, const digest_t *digest);
} peers_listener_t;

void peers_create (peers_t **out, gs_loop_t *loop, const digest_member_t *self,
                   const gs_deployment_t *settings,
                   const peers_listener_t *listener, uint64_t seed);

/** Must be called after gs_loop_destroy(), which ends the open calls. */
void peers_destroy (peers_t *peers);

/** Call the peers that are due and drop those that have expired; to be called
    periodically. */
void peers_tick (peers_t *peers, gs_time_t now);

/** Exchange digests with all peers now. */
void peers_notify_all (peers_t *peers, gs_time_t now);

/** Process a digest that a peer sent.
    @return this node's digest, freed with g_byte_array_unref(), or NULL if the
    peer's was rejected */
GByteArray *peers_digest_receive (peers_t *peers, gs_time_t now,
                                  const char *data, size_t length);

/** Set whether a node is listed in the store. */
void peers_listed_set (peers_t *peers, const digest_member_t *member,
                       bool listed);

/** @return number of nodes that share the fleet-wide limits: this one, those
    listed in the store, and those that recently sent a digest. */
unsigned peers_member_count (const peers_t *peers, gs_time_t now);

/** @return how long a node is live after its last digest. */
gs_time_t peers_silence_timeout (const peers_t *peers);

/** @return position of this node, from 0, among the live nodes that accept
    requests, in an order that all nodes share.  The first nodes in the order
    perform the tasks that only a few nodes perform for all. */
unsigned peers_rank (const peers_t *peers, gs_time_t now);

/** @return true if another live node follows the store and gets responses from
    it. */
bool peers_has_follower (const peers_t *peers, gs_time_t now);

/** @return number of other live nodes. */
unsigned peers_live_count (const peers_t *peers, gs_time_t now);

/** Write the callers' addresses of the other live nodes that accept requests.
    @return number of addresses written */
unsigned peers_live_addresses (const peers_t *peers, gs_time_t now,
                               gs_endpoint_t *out, unsigned max);

/** @return the reports of the other live nodes, for traffic_peers_set(); freed
    with traffic_peers_free(). */
traffic_peers_t *peers_view_create (const peers_t *peers, gs_time_t now);

typedef void (*peers_digest_cb_t) (void *context, const digest_t *digest,
                                   gs_time_t received_at);

/** Call @p callback for the last digest of each process that was received
    within PEERS_DIGEST_TTL, including processes that have ended. */
void peers_digest_foreach (const peers_t *peers, gs_time_t now,
                           peers_digest_cb_t callback, void *context);

/** @return the value of a node's entry in the store; freed by the caller with
    json_decref() */
json_t *peers_member_encode (const digest_member_t *member);

/** @param name name of the entry
    @return GS_OK, or GS_EINVAL for a malformed entry */
gs_status_t peers_member_decode (digest_member_t *out, const char *name,
                                 const json_t *value);

#endif
