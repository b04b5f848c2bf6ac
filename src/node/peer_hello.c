#include "node/peer_private.h"

#include "garnetstack/log.h"
#include "garnetstack/metrics.h"

#include <string.h>

#define NONCE_BYTES 16
#define MAC_BYTES 32

void
gs_peer_hello_send (gs_peer_connection_t *connection)
{
  gs_peer_t *peer = connection->peer;
  uint64_t nonce[NONCE_BYTES / sizeof (uint64_t)];
  gs_frame_t frame = { .type = GS_FRAME_HELLO };

  for (size_t i = 0; i < G_N_ELEMENTS (nonce); i++)
    nonce[i] = gs_rng_entropy ();
  frame.hello.name = gs_bytes_from_text (peer->settings.name);
  frame.hello.region = gs_bytes_from_text (peer->settings.region);
  frame.hello.data_centre = gs_bytes_from_text (peer->settings.data_centre);
  frame.hello.incarnation = peer->incarnation;
  frame.hello.nonce = (gs_bytes_t){ (const char *)nonce, sizeof nonce };
  gs_frame_encode (connection->hello_sent, &frame);
  g_byte_array_append (connection->out, connection->hello_sent->data,
                       connection->hello_sent->len);
  gs_peer_connection_watch (connection);
}

/* The MAC covers the role of its sender, so that a node's own proof cannot be
   reflected back to it as the proof of the peer.  */
static void
compute_mac (guint8 out[MAC_BYTES], const gs_peer_connection_t *connection,
             bool is_dialer, const GByteArray *first, const GByteArray *second)
{
  const char *key = connection->peer->settings.peer_key;
  GHmac *hmac
      = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)key, strlen (key));
  gsize length = MAC_BYTES;

  g_hmac_update (hmac, (const guchar *)(is_dialer ? "d" : "a"), 1);
  g_hmac_update (hmac, first->data, first->len);
  g_hmac_update (hmac, second->data, second->len);
  g_hmac_get_digest (hmac, out, &length);
  g_hmac_unref (hmac);
}

/* The region that a node claims must be that of the node list.  The list may
   lag: a node that is not in it yet must claim the region of this node.  */
static bool
region_allowed (const gs_peer_t *peer, const char *name, const char *region)
{
  for (guint i = 0; i < peer->nodes->len; i++)
    {
      const gs_node_info_t *node
          = &g_array_index (peer->nodes, gs_node_info_t, i);

      if (strcmp (node->name, name) == 0)
        return strcmp (node->region, region) == 0;
    }
  return strcmp (peer->settings.region, region) == 0;
}

static bool
reject (const gs_peer_connection_t *connection, gs_metric_t metric,
        const char *reason)
{
  gs_log_value_t name;

  gs_metric_add (GS_METRIC_PEERS_REFUSED, 1);
  if (metric != GS_METRIC_PEERS_REFUSED)
    gs_metric_add (metric, 1);
  gs_log (GS_LOG_WARN, "peer_refused", "peer=%s reason=%s",
          gs_log_quote (&name, connection->name), reason);
  return false;
}

bool
gs_peer_hello_receive (gs_peer_connection_t *connection,
                       const gs_frame_t *frame, const char *body,
                       size_t length)
{
  gs_peer_t *peer = connection->peer;
  const gs_frame_hello_t *hello = &frame->hello;
  guint32 head = GUINT32_TO_BE ((guint32)length);
  guint8 mac[MAC_BYTES];
  gs_frame_t proof = { .type = GS_FRAME_PROOF };

  if (connection->has_hello || hello->name.length == 0
      || hello->name.length >= GS_NAME_BYTES
      || hello->region.length >= GS_NAME_BYTES
      || hello->nonce.length != NONCE_BYTES)
    return false;
  connection->has_hello = true;
  memcpy (connection->name, hello->name.data, hello->name.length);
  connection->name[hello->name.length] = '\0';
  connection->incarnation = hello->incarnation;
  memcpy (connection->region, hello->region.data, hello->region.length);
  connection->region[hello->region.length] = '\0';
  if (hello->incarnation == peer->incarnation)
    return reject (connection, GS_METRIC_PEERS_REFLECTED, "own_incarnation");
  if (!region_allowed (peer, connection->name, connection->region))
    return reject (connection, GS_METRIC_PEERS_FOREIGN, "foreign_region");
  g_byte_array_append (connection->hello_received, (const guint8 *)&head,
                       sizeof head);
  g_byte_array_append (connection->hello_received, (const guint8 *)body,
                       (guint)length);
  compute_mac (mac, connection, connection->dialer, connection->hello_sent,
               connection->hello_received);
  proof.proof.mac = (gs_bytes_t){ (const char *)mac, sizeof mac };
  gs_peer_connection_send (connection, &proof);
  return true;
}

bool
gs_peer_proof_receive (gs_peer_connection_t *connection,
                       const gs_frame_t *frame)
{
  guint8 mac[MAC_BYTES];
  guint8 difference = 0;

  if (!connection->has_hello || connection->verified
      || frame->proof.mac.length != MAC_BYTES)
    return false;
  compute_mac (mac, connection, !connection->dialer,
               connection->hello_received, connection->hello_sent);
  for (size_t i = 0; i < MAC_BYTES; i++)
    difference |= mac[i] ^ (guint8)frame->proof.mac.data[i];
  if (difference != 0)
    return reject (connection, GS_METRIC_PEERS_REFUSED, "wrong_proof");
  connection->verified = true;
  return true;
}
