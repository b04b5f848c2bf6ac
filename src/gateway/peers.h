/**
 * @file peers.h
 * The other nodes: which there are, when each was last heard, and what it
 * said.  Digests go both ways in one HTTP exchange, so each pair needs one
 * every interval.  Runs on the control thread.
 */
#ifndef GS_GATEWAY_PEERS_H
#define GS_GATEWAY_PEERS_H

#include "garnetstack/loop.h"
#include "garnetstack/object_store.h"
#include "gateway/digest.h"

/** Time between two exchanges of a pair, in a fleet of PEERS_FEW nodes or
    fewer; in larger ones longer in proportion, so that what a node sends does
    not grow with the fleet. */
#define PEERS_INTERVAL (300 * GS_MSEC)
#define PEERS_FEW 10
/** A node that misses so many exchanges is not named to callers. */
#define PEERS_MISSED 3.6
/** What a node reported is used for so long after it was last heard, for
    usage reports. */
#define PEERS_REMEMBERED (30 * GS_SEC)

/** What nodes ask each other for: a digest for a digest, and copies of what
    the store holds of the configuration and of replicas. */
#define PEERS_DIGEST_PATH "/digest"
#define PEERS_CONFIG_PATH "/config"
#define PEERS_REPLICAS_PATH "/replicas"

typedef struct peers peers_t;

typedef struct
{
  void *context;
  /** Fill in the present digest of this node, but for its members. */
  void (*fill) (void *context, digest_t *digest);
  /** A peer was heard. */
  void (*on_digest) (void *context, gs_time_t now, const digest_t *digest);
} peers_listener_t;

void peers_create (peers_t **out, gs_loop_t *loop, const digest_member_t *self,
                   const gs_deployment_t *settings,
                   const peers_listener_t *listener, uint64_t seed);

/** To be called after the loop has ended its calls. */
void peers_destroy (peers_t *peers);

/** Call those that are due; called often. */
void peers_tick (peers_t *peers, gs_time_t now);

/** Tell all at once. */
void peers_hurry (peers_t *peers, gs_time_t now);

/** Take in a digest that a peer sent.
    @return this node's, freed with g_byte_array_unref(), or NULL */
GByteArray *peers_receive (peers_t *peers, gs_time_t now, const char *data,
                           size_t length);

/** A node is, or is no longer, listed in the store. */
void peers_set_listed (peers_t *peers, const digest_member_t *member,
                       bool listed);

/** @return nodes that share what must hold over all, this one included. */
unsigned peers_members (const peers_t *peers, gs_time_t now);

/** @return how long a node may be silent and still counts as heard. */
gs_time_t peers_silence (const peers_t *peers);

/** @return nodes heard that take requests and come before this one in an
    order that all nodes share; those that come first do what a few do for
    all. */
unsigned peers_before (const peers_t *peers, gs_time_t now);

/** @return whether a node that was heard follows the store, and the store
    answers it. */
bool peers_follower_heard (const peers_t *peers, gs_time_t now);

/** @return nodes heard lately, without this one. */
unsigned peers_heard (const peers_t *peers, gs_time_t now);

/** Addresses for callers, of the nodes that were heard and take requests.
    @return number written */
unsigned peers_addresses (const peers_t *peers, gs_time_t now,
                          gs_endpoint_t *out, unsigned max);

/** What the nodes heard lately have, for the traffic thread, which frees it
    with traffic_peers_free(). */
traffic_peers_t *peers_view (const peers_t *peers, gs_time_t now);

typedef void (*peers_each_cb_t) (void *context, const digest_t *digest,
                                 gs_time_t heard_at);

/** Call for the last digest of each process heard within PEERS_REMEMBERED,
    also those of processes that have ended. */
void peers_each (const peers_t *peers, gs_time_t now, peers_each_cb_t callback,
                 void *context);

/** @return the member of a node, to write into the store. */
json_t *peers_member_encode (const digest_member_t *member);
gs_status_t peers_member_decode (digest_member_t *out, const char *name,
                                 const json_t *value);

#endif
