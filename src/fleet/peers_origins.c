#include "fleet/peers_private.h"

void
peers_origins_add (peers_t *peers, gs_time_t now, const GArray *rows)
{
  stream_origins_import (peers->origins, now, rows, STREAM_ORIGIN_OWN);
}

stream_origins_t *
peers_origins (const peers_t *peers)
{
  return peers->origins;
}

unsigned
peers_origins_kept (const peers_t *peers, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (peers->role == PEERS_ROLE_MESH)
    return STREAM_ORIGIN_OWN;
  if (peers->role == PEERS_ROLE_LEAF)
    return 0;
  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      uint32_t flags;

      if (peer->data_centre == peers->data_centre && peer->node < peers->node
          && peers_is_live (peers, peer, now, &flags)
          && (flags & PEER_LEAVING) == 0)
        return 0;
    }
  return STREAM_ORIGIN_OWN | STREAM_ORIGIN_DATA_CENTRE;
}

void
peers_origins_fill (const peers_t *peers, gs_time_t now, const peer_t *peer,
                    unsigned sources, stream_origins_part_t *out)
{
  if (peer == NULL)
    return;
  /* In a large fleet the other aggregators send what began elsewhere; from all
     of them it would fill the link of a node that has started.  */
  if (peer->origins_sent < peer->origins_before
      && peers->role == PEERS_ROLE_MESH)
    sources = STREAM_ORIGIN_ALL;
  out->last = stream_origins_export (peers->origins, now, peer->origins_sent,
                                     sources, out->rows);
  out->received = peer->origins_received;
  out->received_from = peer->origins_incarnation;
}

void
peers_origins_view_fill (const peers_t *peers, gs_time_t now,
                         const peer_t *peer, const peer_message_t *report,
                         stream_origins_part_t *out)
{
  if (!report->asks_for_origins)
    {
      peers_origins_fill (peers, now, peer, STREAM_ORIGIN_ALL, out);
      return;
    }
  if (peer->call == CALL_REPORT)
    peers_origins_fill (peers, now, peer,
                        STREAM_ORIGIN_OWN | STREAM_ORIGIN_DATA_CENTRE, out);
  else
    {
      out->last = peer->origins_sent;
      out->received = peer->origins_received;
      out->received_from = peer->origins_incarnation;
    }
  stream_origins_look_up (peers->origins, now, report->origins_wanted,
                          out->rows);
}

static bool
is_known (const peers_t *peers, gs_time_t now, uint64_t stream)
{
  uint64_t version;

  return stream_origins_find (peers->origins, now, stream, &version);
}

void
peers_origins_wanted_fill (const peers_t *peers, gs_time_t now, GArray *out)
{
  for (guint i = 0; i < peers->origins_wanted->len; i++)
    {
      const stream_origin_key_t *key
          = &g_array_index (peers->origins_wanted, stream_origin_key_t, i);

      if (!is_known (peers, now, key->stream))
        g_array_append_val (out, *key);
    }
}

static void
call_aggregators (peers_t *peers, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      peer_t *peer = value;

      if (peer->call == CALL_REPORT && !peer->unreachable)
        peer->next_call_at = now;
    }
  peers_tick (peers, now);
}

void
peers_origins_request (peers_t *peers, gs_time_t now, const GArray *keys)
{
  bool added = false;

  if (peers->role == PEERS_ROLE_MESH)
    return;
  for (guint i = 0; i < keys->len && !added; i++)
    {
      uint64_t stream = g_array_index (keys, stream_origin_key_t, i).stream;

      added = !is_known (peers, now, stream);
      for (guint j = 0; j < peers->origins_wanted->len && added; j++)
        added = g_array_index (peers->origins_wanted, stream_origin_key_t, j)
                    .stream
                != stream;
    }
  g_array_set_size (peers->origins_wanted, 0);
  g_array_append_vals (peers->origins_wanted, keys->data,
                       MIN (keys->len, STREAM_ORIGIN_KEYS_MAX));
  if (added)
    call_aggregators (peers, now);
}

void
peers_origins_receive (peers_t *peers, gs_time_t now, peer_t *peer,
                       const stream_origins_part_t *part, unsigned source)
{
  if (peer->origins_incarnation != peer->member.incarnation)
    {
      peer->origins_incarnation = peer->member.incarnation;
      peer->origins_sent = 0;
      peer->origins_received = 0;
      peer->origins_before = stream_origins_last (peers->origins);
    }
  /* Rows for an earlier process at this address leave out what it had.  */
  if (part->received_from == peers->self.incarnation)
    {
      peer->origins_sent
          = MIN (part->received, stream_origins_last (peers->origins));
      peer->origins_received = part->last;
    }
  stream_origins_import (peers->origins, now, part->rows, source);
}
