#include "node/node.h"

#include "control/control.h"
#include "garnetstack/log.h"
#include "garnetstack/rng.h"
#include "node/addresses.h"
#include "node/front.h"
#include "node/operator_port.h"
#include "node/peer.h"
#include "node/worker.h"

#include <glib.h>
#include <stdatomic.h>
#include <unistd.h>

#define LEAVE_POLL_INTERVAL_USEC 20000
/* The handover of open requests begins this long before the deadline, or
   halfway to the deadline if that is later.  */
#define HANDOVER_TIMEOUT (3 * GS_SEC)

struct gs_node
{
  gs_settings_t settings;
  uint64_t incarnation;
  gs_snapshot_hub_t *hub;
  gs_control_t *control;
  gs_peer_t *peer;
  gs_worker_t *workers[16];
  atomic_uint worker_count; /* raised after a worker is stored, because
                               peer callbacks run on other threads */
  gs_front_t *front;
  gs_operator_port_t *operator_port;
  _Atomic gs_time_t leave_deadline; /* set by the platform, otherwise 0 */
};

static void
on_peer_up (void *context, const char *name, uint64_t incarnation)
{
  gs_node_t *node = context;

  gs_control_peer_up (node->control, name, incarnation);
  for (unsigned i = 0; i < node->worker_count; i++)
    gs_worker_peer_changed (node->workers[i], incarnation, false);
}

static void
on_peer_down (void *context, const char *name, uint64_t incarnation)
{
  gs_node_t *node = context;

  gs_control_peer_down (node->control, name, incarnation);
  for (unsigned i = 0; i < node->worker_count; i++)
    gs_worker_peer_changed (node->workers[i], incarnation, true);
}

/* Frames in transit on the closed connection may be lost, so the workers treat
   a replaced connection as one that was lost and restored.  */
static void
on_peer_replaced (void *context, const char *name, uint64_t incarnation)
{
  gs_node_t *node = context;

  for (unsigned i = 0; i < node->worker_count; i++)
    {
      gs_worker_peer_changed (node->workers[i], incarnation, true);
      gs_worker_peer_changed (node->workers[i], incarnation, false);
    }
}

/* Sets @p out to a number whose low bits select the worker for the frame.
   @return false if the frame is for the control thread */
static bool
frame_sequence (const gs_frame_t *frame, uint64_t *out)
{
  switch (frame->type)
    {
    case GS_FRAME_BACKUP_PUT:
      *out = frame->backup_put.sequence;
      return true;
    case GS_FRAME_BACKUP_ACK:
      *out = frame->backup_ack.sequence;
      return true;
    case GS_FRAME_BACKUP_DONE:
      *out = frame->backup_done.sequence;
      return true;
    case GS_FRAME_BACKUP_PROGRESS:
      *out = frame->backup_progress.sequence;
      return true;
    case GS_FRAME_FETCH:
      *out = frame->fetch.sequence;
      return true;
    case GS_FRAME_FETCH_CHUNK:
      *out = frame->fetch_chunk.fetch;
      return true;
    case GS_FRAME_FETCH_END:
      *out = frame->fetch_end.fetch;
      return true;
    case GS_FRAME_USAGE:
      *out = frame->usage.shard;
      return true;
    default:
      return false;
    }
}

static void
on_peer_frame (void *context, const char *name, uint64_t incarnation,
               const gs_frame_t *frame)
{
  gs_node_t *node = context;
  uint64_t sequence;

  if (!frame_sequence (frame, &sequence))
    gs_control_frame_receive (node->control, name, incarnation, frame);
  else if (node->worker_count == node->settings.workers)
    gs_worker_frame_post (
        gs_worker_by_sequence (node->workers, node->worker_count, sequence),
        incarnation, frame);
}

static void
on_leave_request (void *context, gs_time_t deadline)
{
  gs_node_t *node = context;

  atomic_store (&node->leave_deadline,
                deadline != 0 ? deadline : GS_TIME_NEVER);
}

bool
gs_node_leave_requested (const gs_node_t *node, gs_time_t *deadline)
{
  *deadline = atomic_load (&node->leave_deadline);
  return *deadline != 0;
}

static gs_status_t
create_workers (gs_node_t *node)
{
  for (unsigned i = 0; i < node->settings.workers; i++)
    {
      gs_worker_options_t options
          = { &node->settings, node->incarnation, i,
              node->hub,       node->peer,        node->workers };
      gs_status_t status = gs_worker_create (&node->workers[i], &options);

      if (status != GS_OK)
        return status;
      node->worker_count = i + 1;
    }
  return GS_OK;
}

static gs_status_t
create_parts (gs_node_t *node)
{
  gs_control_options_t control = { &node->settings, node->incarnation,
                                   node->hub, on_leave_request, node };
  gs_peer_handler_t handler
      = { node, on_peer_up, on_peer_down, on_peer_replaced, on_peer_frame };
  gs_status_t status = gs_control_create (&node->control, &control);

  if (status == GS_OK)
    status = gs_peer_create (&node->peer, &node->settings, node->incarnation,
                             &handler);
  if (status == GS_OK)
    status = create_workers (node);
  if (status != GS_OK)
    return status;
  gs_control_start (node->control, node->peer);
  gs_front_options_t front
      = { &node->settings, node->hub, node->workers, node->worker_count };
  gs_operator_port_options_t port
      = { &node->settings,
          node->incarnation,
          node->hub,
          node->control,
          { &node->settings, node->workers, node->worker_count } };

  status = gs_front_create (&node->front, &front);
  if (status == GS_OK)
    status = gs_operator_port_create (&node->operator_port, &port);
  return status;
}

gs_status_t
gs_node_create (gs_node_t **out, const gs_settings_t *settings)
{
  gs_node_t *node = g_new0 (gs_node_t, 1);
  gs_status_t status;

  *out = NULL;
  node->settings = *settings;
  node->incarnation = gs_rng_entropy ();
  gs_snapshot_hub_create (&node->hub);
  status = create_parts (node);
  if (status != GS_OK)
    {
      gs_node_destroy (node);
      return status;
    }
  gs_log (GS_LOG_INFO, "node_started", "incarnation=%016llx",
          (unsigned long long)node->incarnation);
  *out = node;
  return GS_OK;
}

static size_t
open_requests (const gs_node_t *node)
{
  size_t open = gs_front_open_count (node->front);

  for (unsigned i = 0; i < node->worker_count; i++)
    open += gs_worker_open_count (node->workers[i]);
  return open;
}

void
gs_node_leave (gs_node_t *node, gs_time_t deadline)
{
  gs_time_t now = gs_clock_now ();
  gs_time_t addresses_expire_at = now + GS_ADDRESS_TTL;
  gs_time_t handover_at
      = deadline - MIN (HANDOVER_TIMEOUT, (deadline - now) / 2);

  gs_log (GS_LOG_INFO, "node_leaving", "open=%zu", open_requests (node));
  gs_control_leave (node->control);
  /* Callers may still use this node until their address lists expire.  */
  while (gs_clock_now () < MIN (addresses_expire_at, handover_at))
    usleep (LEAVE_POLL_INTERVAL_USEC);
  gs_front_quiesce (node->front);
  while (open_requests (node) > 0 && gs_clock_now () < handover_at)
    usleep (LEAVE_POLL_INTERVAL_USEC);
  for (unsigned i = 0; i < node->worker_count; i++)
    gs_worker_leave (node->workers[i], deadline);
  while (open_requests (node) > 0 && gs_clock_now () < deadline)
    usleep (LEAVE_POLL_INTERVAL_USEC);
  gs_log (GS_LOG_INFO, "node_left", "open=%zu", open_requests (node));
}

/* Stops threads that post to a queue before the thread that reads it.  */
void
gs_node_destroy (gs_node_t *node)
{
  if (node == NULL)
    return;
  gs_operator_port_destroy (node->operator_port);
  if (node->control != NULL)
    gs_control_stop (node->control);
  gs_peer_stop (node->peer);
  for (unsigned i = 0; i < node->worker_count; i++)
    gs_worker_destroy (node->workers[i]);
  gs_peer_destroy (node->peer);
  gs_front_destroy (node->front);
  gs_control_destroy (node->control);
  gs_snapshot_hub_destroy (node->hub);
  g_free (node);
}
