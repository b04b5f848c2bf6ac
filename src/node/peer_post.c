#include "node/peer_private.h"

#include <string.h>

/* Messages that other threads post to the peer thread.  */

typedef struct
{
  gs_peer_t *peer;
  uint64_t incarnation; /* or GS_PEER_BROADCAST or GS_PEER_OWN_REGION */
  GByteArray *bytes;    /* encoded frame */
} send_event_t;

typedef struct
{
  gs_peer_t *peer;
  GArray *nodes;
} nodes_event_t;

typedef struct
{
  gs_peer_t *peer;
  gs_peer_status_t status;
  unsigned immediate_max;
} status_event_t;

static void
on_nodes (void *context)
{
  nodes_event_t *event = context;

  g_array_unref (event->peer->nodes);
  event->peer->nodes = event->nodes;
  g_free (event);
}

void
gs_peer_nodes_set (gs_peer_t *peer, const gs_node_info_t *nodes, size_t count)
{
  nodes_event_t *event = g_new (nodes_event_t, 1);

  event->peer = peer;
  event->nodes = g_array_new (FALSE, FALSE, sizeof (gs_node_info_t));
  if (count > 0)
    g_array_append_vals (event->nodes, nodes, (guint)count);
  if (gs_loop_post (peer->loop, on_nodes, event) != GS_OK)
    {
      g_array_unref (event->nodes);
      g_free (event);
    }
}

/* Sends a heartbeat to some peers, starting at a random one.  */
static void
send_heartbeats (gs_peer_t *peer, unsigned count)
{
  guint total = peer->connections->len;
  guint first = total > 0 ? (guint)gs_rng_below (&peer->rng, total) : 0;

  for (guint i = 0; i < total && count > 0; i++)
    {
      gs_peer_connection_t *connection
          = peer->connections->pdata[(first + i) % total];

      if (!connection->verified)
        continue;
      gs_peer_heartbeat_send (connection);
      count--;
    }
}

static void
on_status (void *context)
{
  status_event_t *event = context;

  event->peer->status = event->status;
  send_heartbeats (event->peer, event->immediate_max);
  g_free (event);
}

void
gs_peer_status_set (gs_peer_t *peer, const gs_peer_status_t *status,
                    unsigned immediate_max)
{
  status_event_t *event = g_new (status_event_t, 1);

  *event = (status_event_t){ peer, *status, immediate_max };
  if (gs_loop_post (peer->loop, on_status, event) != GS_OK)
    g_free (event);
}

static void
on_attach (void *context)
{
  send_event_t *event = context;
  gs_peer_t *peer = event->peer;

  g_clear_pointer (&peer->attached_frame, g_byte_array_unref);
  peer->attached_frame = event->bytes;
  g_free (event);
}

void
gs_peer_heartbeat_attach (gs_peer_t *peer, const gs_frame_t *frame)
{
  send_event_t *event = g_new (send_event_t, 1);

  *event = (send_event_t){ peer, GS_PEER_OWN_REGION, g_byte_array_new () };
  gs_frame_encode (event->bytes, frame);
  if (gs_loop_post (peer->loop, on_attach, event) == GS_OK)
    return;
  g_byte_array_unref (event->bytes);
  g_free (event);
}

static void
on_send (void *context)
{
  send_event_t *event = context;
  gs_peer_t *peer = event->peer;

  if (event->incarnation > GS_PEER_OWN_REGION)
    {
      gs_peer_connection_t *connection
          = gs_peer_connection_find (peer, event->incarnation, NULL);

      if (connection != NULL)
        gs_peer_connection_send_bytes (connection, event->bytes);
    }
  else
    for (guint i = 0; i < peer->connections->len; i++)
      if (gs_peer_connection_addressed (peer->connections->pdata[i],
                                        event->incarnation))
        gs_peer_connection_send_bytes (peer->connections->pdata[i],
                                       event->bytes);
  g_byte_array_unref (event->bytes);
  g_free (event);
}

void
gs_peer_send (gs_peer_t *peer, uint64_t incarnation, const gs_frame_t *frame)
{
  send_event_t *event = g_new (send_event_t, 1);

  *event = (send_event_t){ peer, incarnation, g_byte_array_new () };
  gs_frame_encode (event->bytes, frame);
  if (gs_loop_post (peer->loop, on_send, event) != GS_OK)
    {
      g_byte_array_unref (event->bytes);
      g_free (event);
    }
}

void
gs_peer_broadcast (gs_peer_t *peer, const gs_frame_t *frame)
{
  gs_peer_send (peer, GS_PEER_BROADCAST, frame);
}

void
gs_peer_region_send (gs_peer_t *peer, const gs_frame_t *frame)
{
  gs_peer_send (peer, GS_PEER_OWN_REGION, frame);
}
