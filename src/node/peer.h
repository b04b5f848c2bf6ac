/**
 * @file peer.h
 * TCP connections to the other nodes, run by a thread of their own.  A
 * connection carries frames only after each end has proved that it knows the
 * shared key.
 */
#ifndef GS_NODE_PEER_H
#define GS_NODE_PEER_H

#include "garnetstack/frame.h"
#include "garnetstack/settings.h"
#include "garnetstack/snapshot.h"

typedef struct gs_peer gs_peer_t;

/** Callbacks; all of them run on the peer thread. */
typedef struct
{
  void *context;
  /** The first verified connection to a process was established. */
  void (*on_up) (void *context, const char *name, uint64_t incarnation);
  /** The last verified connection to a process was closed. */
  void (*on_down) (void *context, const char *name, uint64_t incarnation);
  /** A connection was closed while another one to the same process is
      verified; frames in transit on the closed one may be lost. */
  void (*on_replaced) (void *context, const char *name, uint64_t incarnation);
  /** A frame arrived on a verified connection; @p frame is valid during the
      call. */
  void (*on_frame) (void *context, const char *name, uint64_t incarnation,
                    const gs_frame_t *frame);
} gs_peer_handler_t;

/** Listen on the peer port and start the thread.
    @param settings copied
    @param incarnation of this process
    @param handler copied; its context must outlive the thread
    @return GS_OK, or GS_EIO when the port cannot be listened on */
gs_status_t gs_peer_create (gs_peer_t **out, const gs_settings_t *settings,
                            uint64_t incarnation,
                            const gs_peer_handler_t *handler);

/** Stop the thread; frames sent after this call are discarded. */
void gs_peer_stop (gs_peer_t *peer);

/** Stop the thread if it runs, close all connections and free @p peer, which
    may be NULL.  No callback is called for the connections closed here. */
void gs_peer_destroy (gs_peer_t *peer);

/** Replace the list of nodes to connect to; copied.  Any thread. */
void gs_peer_nodes_set (gs_peer_t *peer, const gs_node_info_t *nodes,
                        size_t count);

/** State of this node that each heartbeat carries. */
typedef struct
{
  uint64_t generation;    /**< of the catalogue that this node uses */
  uint64_t digest;        /**< of that catalogue */
  uint64_t list_revision; /**< of the last list of VMs applied, 0 for none */
  uint64_t notice_digest; /**< of the names of the VMs about to leave */
  bool leaving;           /**< this node is leaving */
} gs_peer_status_t;

/** Set the state that heartbeats carry; any thread.
    @param immediate_max number of randomly chosen peers that get a heartbeat
    immediately; the others get the state with their next heartbeat */
void gs_peer_status_set (gs_peer_t *peer, const gs_peer_status_t *status,
                         unsigned immediate_max);

/** Send a frame to every connected process of this node's region; any
    thread. */
void gs_peer_region_send (gs_peer_t *peer, const gs_frame_t *frame);

/** Send a frame to every connected process of this node's region together
    with the next heartbeats.  It replaces an attached frame that was not sent
    yet.  Any thread. */
void gs_peer_heartbeat_attach (gs_peer_t *peer, const gs_frame_t *frame);

/** @return time between two heartbeats to a peer.  It grows with the number
    of peers, which bounds the heartbeat bytes that a node sends per second. */
gs_time_t gs_peer_heartbeat_interval (size_t peers);

/** Send a frame to one process; it is dropped when the process is not
    connected.  Any thread. */
void gs_peer_send (gs_peer_t *peer, uint64_t incarnation,
                   const gs_frame_t *frame);

/** Send a frame to every connected process; any thread. */
void gs_peer_broadcast (gs_peer_t *peer, const gs_frame_t *frame);

#endif
