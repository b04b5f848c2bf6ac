#include "fleet/peers_private.h"

#include <string.h>

static char *
endpoint_text (const gs_endpoint_t *endpoint)
{
  return g_strdup_printf ("%s:%u", endpoint->host, endpoint->port);
}

json_t *
peers_member_encode (const digest_member_t *member)
{
  char *callers = endpoint_text (&member->callers);
  char *peers = endpoint_text (&member->peers);
  char *incarnation
      = g_strdup_printf ("%016llx", (unsigned long long)member->incarnation);
  json_t *value = json_pack ("{s:s, s:s, s:s, s:s}", "incarnation",
                             incarnation, "callers", callers, "peers", peers,
                             "data_centre", member->data_centre);

  g_free (incarnation);
  g_free (peers);
  g_free (callers);
  return value;
}

gs_status_t
peers_member_decode (digest_member_t *out, const char *name,
                     const json_t *value)
{
  const char *incarnation
      = json_string_value (json_object_get (value, "incarnation"));
  const char *callers = json_string_value (json_object_get (value, "callers"));
  const char *peers = json_string_value (json_object_get (value, "peers"));
  const char *data_centre
      = json_string_value (json_object_get (value, "data_centre"));

  *out = (digest_member_t){ .incarnation = 0 };
  if (incarnation == NULL || callers == NULL || peers == NULL
      || g_strlcpy (out->name, name, sizeof out->name) >= sizeof out->name
      || gs_endpoint_parse (&out->callers, callers) != GS_OK
      || gs_endpoint_parse (&out->peers, peers) != GS_OK
      || (data_centre != NULL
          && g_strlcpy (out->data_centre, data_centre, sizeof out->data_centre)
                 >= sizeof out->data_centre))
    return gs_error_set (GS_EINVAL, "entry of node %s is malformed", name);
  out->incarnation = g_ascii_strtoull (incarnation, NULL, 16);
  return GS_OK;
}

void
peers_members_listed_set (peers_t *peers)
{
  peers->members_listed = true;
}

void
peers_restarts_set (peers_t *peers, unsigned restarts)
{
  peers->restarts_known = true;
  peers->restarts = restarts;
}

static bool
are_members_known (const peers_t *peers)
{
  return peers->members_listed || g_hash_table_size (peers->by_name) > 0;
}

/* The peers that have called are too few while other nodes start as well.  */
bool
peers_is_fleet_known (const peers_t *peers)
{
  return peers->restarts_known && peers->members_listed;
}

static bool
is_member (const peers_t *peers, gs_time_t now, const peer_t *peer)
{
  uint32_t flags;

  return peer->listed || now <= peer->last_heard_at + PEER_TTL
         || peers_is_live (peers, peer, now, &flags);
}

unsigned
peers_member_count (const peers_t *peers, gs_time_t now)
{
  unsigned count = 1;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += is_member (peers, now, value);
  return count;
}

static gint
compare_latest_first (gconstpointer a, gconstpointer b)
{
  const gs_time_t *left = a;
  const gs_time_t *right = b;

  return (*left < *right) - (*left > *right);
}

gs_time_t
peers_in_step_at (const peers_t *peers, gs_time_t now)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (gs_time_t));
  gs_time_t in_step_at = 0;
  GHashTableIter iter;
  gpointer value;
  guint needed;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_member (peers, now, value))
      g_array_append_val (times, ((const peer_t *)value)->in_step_at);
  g_array_sort (times, compare_latest_first);
  needed = (times->len + 1) / 2;
  if (needed == 0)
    in_step_at = now;
  else if (peers->role == PEERS_ROLE_MESH)
    in_step_at = g_array_index (times, gs_time_t, needed - 1);
  g_array_unref (times);
  return in_step_at;
}

void
peers_in_step_request (peers_t *peers, gs_time_t now)
{
  if (peers->role == PEERS_ROLE_MESH)
    peers_notify_all (peers, now);
}

void
peers_members_hash (const peers_t *peers, gs_time_t now, GArray *out)
{
  GHashTableIter iter;
  gpointer value;

  if (!are_members_known (peers))
    return;
  g_array_append_val (out, peers->node);
  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_member (peers, now, value))
      g_array_append_val (out, ((const peer_t *)value)->node);
}
