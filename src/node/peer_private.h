/**
 * @file peer_private.h
 * State and internal functions of the peer connections, shared by
 * peer.c, peer_hello.c and peer_post.c.
 */
#ifndef GS_NODE_PEER_PRIVATE_H
#define GS_NODE_PEER_PRIVATE_H

#include "garnetstack/loop.h"
#include "garnetstack/rng.h"
#include "garnetstack/thread.h"
#include "node/peer.h"

/* Destinations of a frame that stand for several processes.  Incarnations are
   random 64-bit numbers and in practice never these values.  */
#define GS_PEER_BROADCAST 0
#define GS_PEER_OWN_REGION 1

typedef struct
{
  gs_peer_t *peer;
  int fd;
  bool dialer;     /* this node opened the connection */
  bool connecting; /* connect() is in progress */
  bool has_hello;  /* the peer's hello was received */
  bool verified;   /* the peer has proved that it knows the key */
  bool suspect;    /* silent in one direction; the peer is dialed again */
  char name[GS_NAME_BYTES]; /* of the peer, "-" while unknown */
  char region[GS_NAME_BYTES];
  uint64_t incarnation;
  uint64_t sequence_received; /* of the peer's last heartbeat */
  uint64_t echo_received; /* highest of our sequences that the peer echoed */
  GByteArray *hello_sent; /* our hello, encoded */
  GByteArray *hello_received; /* the peer's hello, encoded */
  GByteArray *in;             /* received bytes that are not decoded yet */
  GByteArray *out;            /* bytes to send */
  gs_time_t last_read_at;     /* time of the last read */
  gs_time_t last_echo_at;     /* time when echo_received last rose */
  gs_time_t opened_at;
} gs_peer_connection_t;

struct gs_peer
{
  gs_settings_t settings;
  uint64_t incarnation;
  gs_peer_handler_t handler;
  gs_loop_t *loop;
  gs_thread_t *thread;
  int listener;
  GPtrArray *connections;
  GArray *nodes;          /* of gs_node_info_t */
  GHashTable *redial_due; /* name -> gs_time_t*, earliest time to dial again */
  gs_time_t heartbeat_due;
  uint64_t heartbeat_sequence;
  gs_peer_status_t status;
  GByteArray *attached_frame; /* frame to send with the next heartbeats */
  gs_rng_t rng;
};

/** Queue a frame on a connection. */
void gs_peer_connection_send (gs_peer_connection_t *connection,
                              const gs_frame_t *frame);

/** Queue encoded frames on a connection. */
void gs_peer_connection_send_bytes (gs_peer_connection_t *connection,
                                    const GByteArray *bytes);

/** @return the newest verified connection to a process other than @p except,
    NULL when there is none */
gs_peer_connection_t *
gs_peer_connection_find (const gs_peer_t *peer, uint64_t incarnation,
                         const gs_peer_connection_t *except);

/** @param to GS_PEER_BROADCAST or GS_PEER_OWN_REGION
    @return true when a frame with destination @p to is sent on this
    connection */
bool gs_peer_connection_addressed (const gs_peer_connection_t *connection,
                                   uint64_t to);

/** Queue a heartbeat with the current state of this node. */
void gs_peer_heartbeat_send (gs_peer_connection_t *connection);

/** Poll for input, and for output while there are bytes to send. */
void gs_peer_connection_watch (gs_peer_connection_t *connection);

/** Queue this node's hello. */
void gs_peer_hello_send (gs_peer_connection_t *connection);

/** Check the peer's hello and answer it with this node's proof.
    @return false when the connection is to be closed */
bool gs_peer_hello_receive (gs_peer_connection_t *connection,
                            const gs_frame_t *frame, const char *body,
                            size_t length);

/** Check the peer's proof.
    @return false when the connection is to be closed */
bool gs_peer_proof_receive (gs_peer_connection_t *connection,
                            const gs_frame_t *frame);

#endif
