#include "node/peer_private.h"

#include <string.h>

/* Messages that other threads post to the peer thread.  */

typedef struct
{
  gs_peer_t *peer;
  uint64_t incarnation; /* or GS_PEER_BROADCAST or GS_PEER_OWN_REGION */
  GByteArray *bytes;    /* encoded frame */
} outgoing_t;

typedef struct
{
  gs_peer_t *peer;
  GArray *nodes;
} node_list_t;

typedef struct
{
  gs_peer_t *peer;
  gs_peer_status_t status;
  unsigned at_once;
} status_event_t;

static void
apply_nodes (void *context)
{
  node_list_t *list = context;

  g_array_unref (list->peer->nodes);
  list->peer->nodes = list->nodes;
  g_free (list);
}

void
gs_peer_set_nodes (gs_peer_t *peer, const gs_node_info_t *nodes, size_t count)
{
  node_list_t *list = g_new (node_list_t, 1);

  list->peer = peer;
  list->nodes = g_array_new (FALSE, FALSE, sizeof (gs_node_info_t));
  if (count > 0)
    g_array_append_vals (list->nodes, nodes, (guint)count);
  if (gs_loop_post (peer->loop, apply_nodes, list) != GS_OK)
    {
      g_array_unref (list->nodes);
      g_free (list);
    }
}

/* Sends a heartbeat to some peers, starting at a random one.  */
static void
tell_some (gs_peer_t *peer, unsigned count)
{
  guint total = peer->connections->len;
  guint first = total > 0 ? (guint)gs_rng_below (&peer->rng, total) : 0;

  for (guint i = 0; i < total && count > 0; i++)
    {
      gs_peer_connection_t *connection
          = peer->connections->pdata[(first + i) % total];

      if (!connection->verified)
        continue;
      gs_peer_send_heartbeat (connection);
      count--;
    }
}

static void
apply_status (void *context)
{
  status_event_t *event = context;

  event->peer->status = event->status;
  tell_some (event->peer, event->at_once);
  g_free (event);
}

void
gs_peer_set_status (gs_peer_t *peer, const gs_peer_status_t *status,
                    unsigned at_once)
{
  status_event_t *event = g_new (status_event_t, 1);

  *event = (status_event_t){ peer, *status, at_once };
  if (gs_loop_post (peer->loop, apply_status, event) != GS_OK)
    g_free (event);
}

static void
apply_attach (void *context)
{
  outgoing_t *outgoing = context;
  gs_peer_t *peer = outgoing->peer;

  g_clear_pointer (&peer->attached, g_byte_array_unref);
  peer->attached = outgoing->bytes;
  g_free (outgoing);
}

void
gs_peer_attach (gs_peer_t *peer, const gs_frame_t *frame)
{
  outgoing_t *outgoing = g_new (outgoing_t, 1);

  *outgoing = (outgoing_t){ peer, GS_PEER_OWN_REGION, g_byte_array_new () };
  gs_frame_encode (outgoing->bytes, frame);
  if (gs_loop_post (peer->loop, apply_attach, outgoing) == GS_OK)
    return;
  g_byte_array_unref (outgoing->bytes);
  g_free (outgoing);
}

static void
apply_send (void *context)
{
  outgoing_t *outgoing = context;
  gs_peer_t *peer = outgoing->peer;

  if (outgoing->incarnation > GS_PEER_OWN_REGION)
    {
      gs_peer_connection_t *connection
          = gs_peer_find_verified (peer, outgoing->incarnation, NULL);

      if (connection != NULL)
        gs_peer_connection_send_bytes (connection, outgoing->bytes);
    }
  else
    for (guint i = 0; i < peer->connections->len; i++)
      if (gs_peer_addressed (peer->connections->pdata[i],
                             outgoing->incarnation))
        gs_peer_connection_send_bytes (peer->connections->pdata[i],
                                       outgoing->bytes);
  g_byte_array_unref (outgoing->bytes);
  g_free (outgoing);
}

void
gs_peer_send (gs_peer_t *peer, uint64_t incarnation, const gs_frame_t *frame)
{
  outgoing_t *outgoing = g_new (outgoing_t, 1);

  *outgoing = (outgoing_t){ peer, incarnation, g_byte_array_new () };
  gs_frame_encode (outgoing->bytes, frame);
  if (gs_loop_post (peer->loop, apply_send, outgoing) != GS_OK)
    {
      g_byte_array_unref (outgoing->bytes);
      g_free (outgoing);
    }
}

void
gs_peer_broadcast (gs_peer_t *peer, const gs_frame_t *frame)
{
  gs_peer_send (peer, GS_PEER_BROADCAST, frame);
}

void
gs_peer_send_region (gs_peer_t *peer, const gs_frame_t *frame)
{
  gs_peer_send (peer, GS_PEER_OWN_REGION, frame);
}
