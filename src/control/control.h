/**
 * @file control.h
 * Control thread: owns the blackboard, follows the state of the platform and
 * publishes snapshots to the traffic threads.
 */
#ifndef GS_CONTROL_CONTROL_H
#define GS_CONTROL_CONTROL_H

#include "control/apply.h"
#include "garnetstack/frame.h"
#include "garnetstack/server.h"
#include "garnetstack/snapshot.h"
#include "node/peer.h"

typedef struct gs_control gs_control_t;

typedef struct
{
  const gs_settings_t *settings; /**< must outlive the control thread */
  uint64_t incarnation;          /**< of this process */
  gs_snapshot_hub_t *hub;
  /** Called on the control thread when the platform reclaims this VM.
      @param deadline of the reclamation; 0 if the platform gave none */
  void (*on_leave) (void *context, gs_time_t deadline);
  void *leave_context;
} gs_control_options_t;

/** Create the control thread's state without starting the thread.
    @param options copied
    @return GS_OK */
gs_status_t gs_control_create (gs_control_t **out,
                               const gs_control_options_t *options);

/** Start the thread.
    @param peer connections to the other nodes; must outlive the thread */
void gs_control_start (gs_control_t *control, gs_peer_t *peer);

/** Stop the thread and wait for its end; nothing is published afterwards. */
void gs_control_stop (gs_control_t *control);

/** Stop the thread if it runs and free everything. */
void gs_control_destroy (gs_control_t *control);

/* The functions below may be called from any thread.  They queue an event for
   the control thread.  If its queue is full, an edit is rejected and any other
   event is dropped.  */

/** A connection to a peer was established. */
void gs_control_peer_up (gs_control_t *control, const char *name,
                         uint64_t incarnation);

/** A connection to a peer was lost. */
void gs_control_peer_down (gs_control_t *control, const char *name,
                           uint64_t incarnation);

/** A frame was received from a peer.
    @param frame copied */
void gs_control_frame_receive (gs_control_t *control, const char *name,
                               uint64_t incarnation, const gs_frame_t *frame);

/** Start to drain this node: it gets no new work and callers are directed to
    other nodes. */
void gs_control_leave (gs_control_t *control);

/**
 * Submit an operator's edit of the catalogue.  Its exchange is answered once
 * the store has responded or the edit is rejected.
 * @param edit ownership is taken
 */
void gs_control_edit_submit (gs_control_t *control, gs_edit_request_t *edit);

#endif
