#include "control/membership.h"

#include "garnetstack/log.h"
#include "wire/digest.h"

#include <string.h>
#include <xxhash.h>

/* A VM is removed when this many consecutive lists lack it, because a single
   list may lag.  */
#define MISSED_LISTS_MAX 2
/* This many consecutive older lists mean that the platform was restored from
   an older state.  */
#define STALE_LISTS_MAX 3
/* A VM that is still listed this long after the deadline of its notice was
   not reclaimed after all.  */
#define NOTICE_EXPIRY_DELAY (60 * GS_SEC)

static uint64_t
hash_name (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

void
gs_membership_init (gs_membership_t *members)
{
  *members = (gs_membership_t){ 0 };
  gs_table_create (&members->nodes, sizeof (gs_member_node_t));
  gs_table_create (&members->upstreams, sizeof (gs_member_upstream_t));
  members->node_by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  members->upstream_by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  members->upstream_by_digest = g_hash_table_new (NULL, NULL);
  members->notices
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gs_membership_clear (gs_membership_t *members)
{
  g_hash_table_unref (members->notices);
  g_hash_table_unref (members->upstream_by_digest);
  g_hash_table_unref (members->upstream_by_name);
  g_hash_table_unref (members->node_by_name);
  gs_table_destroy (members->upstreams);
  gs_table_destroy (members->nodes);
}

static gs_handle_t
find_handle (GHashTable *by_name, const char *name)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (by_name, name));
}

gs_member_node_t *
gs_membership_node_find (const gs_membership_t *members, const char *name)
{
  return gs_table_get (members->nodes,
                       find_handle (members->node_by_name, name));
}

gs_member_upstream_t *
gs_membership_upstream_find (const gs_membership_t *members, const char *name)
{
  return gs_table_get (members->upstreams,
                       find_handle (members->upstream_by_name, name));
}

static gs_vm_state_t
compute_state (const gs_membership_t *members, const char *name, bool leaving)
{
  if (leaving || g_hash_table_contains (members->notices, name))
    return GS_VM_LEAVING;
  return GS_VM_LIVE;
}

static void
update_node_state (gs_membership_t *members, gs_member_node_t *node)
{
  const gs_time_t *deadline
      = g_hash_table_lookup (members->notices, node->info.name);
  gs_vm_state_t state = compute_state (
      members, node->info.name, node->listed_leaving || node->self_leaving);

  node->info.reclaim_deadline = deadline != NULL ? *deadline : 0;
  if (state == node->info.state)
    return;
  node->info.state = state;
  members->changed = true;
}

static void
update_upstream_state (gs_membership_t *members,
                       gs_member_upstream_t *upstream)
{
  const gs_time_t *deadline
      = g_hash_table_lookup (members->notices, upstream->info.name);
  gs_vm_state_t state
      = compute_state (members, upstream->info.name, upstream->listed_leaving);

  upstream->info.reclaim_deadline = deadline != NULL ? *deadline : 0;
  if (state == upstream->info.state)
    return;
  upstream->info.state = state;
  members->changed = true;
}

static void
update_state_by_name (gs_membership_t *members, const char *name)
{
  gs_member_node_t *node = gs_membership_node_find (members, name);
  gs_member_upstream_t *upstream = gs_membership_upstream_find (members, name);

  if (node != NULL)
    update_node_state (members, node);
  if (upstream != NULL)
    update_upstream_state (members, upstream);
}

static void
remove_node (gs_membership_t *members, const char *name)
{
  char key[GS_NAME_BYTES];

  g_strlcpy (key, name, sizeof key);
  gs_table_remove (members->nodes, find_handle (members->node_by_name, key));
  g_hash_table_remove (members->node_by_name, key);
  members->changed = true;
}

static void
remove_upstream (gs_membership_t *members, const char *name)
{
  char key[GS_NAME_BYTES];

  g_strlcpy (key, name, sizeof key);
  g_hash_table_remove (members->upstream_by_digest,
                       GUINT_TO_POINTER (gs_upstream_digest (key)));
  gs_table_remove (members->upstreams,
                   find_handle (members->upstream_by_name, key));
  g_hash_table_remove (members->upstream_by_name, key);
  members->changed = true;
}

static gs_member_node_t *
add_node (gs_membership_t *members, const char *name)
{
  gs_handle_t handle = gs_table_add (members->nodes);
  gs_member_node_t *node = gs_table_get (members->nodes, handle);

  if (node == NULL)
    return NULL;
  g_strlcpy (node->info.name, name, sizeof node->info.name);
  g_hash_table_insert (members->node_by_name, g_strdup (name),
                       GUINT_TO_POINTER (handle));
  members->changed = true;
  return node;
}

/* Removes a node that the last list lacked and whose address a new node now
   uses.  */
static void
remove_stale_node_by_address (gs_membership_t *members,
                              const gs_node_info_t *info)
{
  gs_handle_t handle = GS_HANDLE_NONE;

  while ((handle = gs_table_next (members->nodes, handle)) != GS_HANDLE_NONE)
    {
      gs_member_node_t *node = gs_table_get (members->nodes, handle);

      if (strcmp (node->info.name, info->name) != 0 && node->missed_lists > 0
          && node->info.peer_port == info->peer_port
          && strcmp (node->info.address, info->address) == 0)
        remove_node (members, node->info.name);
    }
}

static void
remove_stale_upstream_by_address (gs_membership_t *members,
                                  const gs_upstream_info_t *info)
{
  gs_handle_t handle = GS_HANDLE_NONE;

  while ((handle = gs_table_next (members->upstreams, handle))
         != GS_HANDLE_NONE)
    {
      gs_member_upstream_t *upstream
          = gs_table_get (members->upstreams, handle);

      if (strcmp (upstream->info.name, info->name) != 0
          && upstream->missed_lists > 0 && upstream->info.port == info->port
          && strcmp (upstream->info.address, info->address) == 0)
        remove_upstream (members, upstream->info.name);
    }
}

static void
apply_node_row (gs_membership_t *members, const gs_vm_row_t *row)
{
  gs_member_node_t *node = gs_membership_node_find (members, row->node.name);
  gs_node_info_t info = row->node;

  if (node == NULL)
    {
      remove_stale_node_by_address (members, &info);
      node = add_node (members, info.name);
      if (node == NULL)
        return;
    }
  /* Fields that the list does not contain keep their values.  */
  info.incarnation = node->info.incarnation;
  info.generation = node->info.generation;
  info.connected = node->info.connected;
  info.heartbeat_at = node->info.heartbeat_at;
  info.reclaim_deadline = node->info.reclaim_deadline;
  info.state = node->info.state;
  if (info.caller_port != node->info.caller_port
      || info.peer_port != node->info.peer_port
      || strcmp (info.address, node->info.address) != 0
      || strcmp (info.region, node->info.region) != 0
      || strcmp (info.data_centre, node->info.data_centre) != 0)
    members->changed = true;
  node->info = info;
  node->listed_leaving = row->node.state != GS_VM_LIVE;
  node->missed_lists = 0;
  update_node_state (members, node);
}

/* @return false if the name now belongs to another VM.  */
static bool
is_same_vm (const gs_member_upstream_t *upstream, const gs_vm_row_t *row)
{
  return upstream->info.port == row->upstream.port
         && strcmp (upstream->info.address, row->upstream.address) == 0
         && strcmp (upstream->token, row->token) == 0;
}

static void
apply_upstream_row (gs_membership_t *members, const gs_vm_row_t *row)
{
  const char *name = row->upstream.name;
  gs_member_upstream_t *upstream = gs_membership_upstream_find (members, name);
  gs_upstream_info_t info = row->upstream;

  if (upstream != NULL && !is_same_vm (upstream, row))
    {
      remove_upstream (members, name);
      upstream = NULL;
    }
  if (upstream == NULL)
    {
      gs_handle_t handle;

      remove_stale_upstream_by_address (members, &info);
      handle = gs_table_add (members->upstreams);
      upstream = gs_table_get (members->upstreams, handle);
      if (upstream == NULL)
        return;
      g_hash_table_insert (members->upstream_by_name, g_strdup (name),
                           GUINT_TO_POINTER (handle));
      upstream->info = info;
      upstream->info.state = GS_VM_LIVE;
      g_strlcpy (upstream->token, row->token, sizeof upstream->token);
      g_strlcpy (upstream->region, row->region, sizeof upstream->region);
      upstream->digest = gs_upstream_digest (name);
      g_hash_table_insert (members->upstream_by_digest,
                           GUINT_TO_POINTER (upstream->digest),
                           GUINT_TO_POINTER (handle));
      members->changed = true;
    }
  upstream->info.kind = info.kind;
  upstream->info.reclaimable = info.reclaimable;
  upstream->info.price_micros = info.price_micros;
  if (strcmp (upstream->info.target, info.target) != 0)
    members->changed = true;
  g_strlcpy (upstream->info.target, info.target, sizeof upstream->info.target);
  upstream->listed_leaving = info.state != GS_VM_LIVE;
  upstream->missed_lists = 0;
  update_upstream_state (members, upstream);
}

/* Removes VMs that too many consecutive lists lack.  A connected node stays:
   the list may lag, but the node's process is authenticated.  */
static void
remove_unlisted (gs_membership_t *members, GHashTable *present)
{
  gs_handle_t handle = GS_HANDLE_NONE;

  while ((handle = gs_table_next (members->nodes, handle)) != GS_HANDLE_NONE)
    {
      gs_member_node_t *node = gs_table_get (members->nodes, handle);

      if (!g_hash_table_contains (present, node->info.name))
        node->missed_lists++;
      if (node->missed_lists >= MISSED_LISTS_MAX && !node->info.connected)
        remove_node (members, node->info.name);
    }
  handle = GS_HANDLE_NONE;
  while ((handle = gs_table_next (members->upstreams, handle))
         != GS_HANDLE_NONE)
    {
      gs_member_upstream_t *upstream
          = gs_table_get (members->upstreams, handle);

      if (!g_hash_table_contains (present, upstream->info.name))
        upstream->missed_lists++;
      if (upstream->missed_lists >= MISSED_LISTS_MAX)
        remove_upstream (members, upstream->info.name);
    }
}

void
gs_membership_list_apply (gs_membership_t *members, gs_time_t now,
                          uint64_t revision, const gs_vm_row_t *rows,
                          size_t count, bool is_complete)
{
  GHashTable *present;

  /* Lists may arrive out of order.  A list without a revision is always
     applied, and so are the lists of a platform that was restored from an
     older state.  */
  if (revision != 0 && revision < members->list_revision
      && ++members->stale_lists < STALE_LISTS_MAX)
    return;
  members->stale_lists = 0;
  members->list_revision = revision;
  present = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < count; i++)
    g_hash_table_add (present, rows[i].is_node
                                   ? (gpointer)rows[i].node.name
                                   : (gpointer)rows[i].upstream.name);
  if (is_complete)
    remove_unlisted (members, present);
  for (size_t i = 0; i < count; i++)
    if (rows[i].is_node)
      apply_node_row (members, &rows[i]);
    else
      apply_upstream_row (members, &rows[i]);
  g_hash_table_unref (present);
}

void
gs_membership_vm_remove (gs_membership_t *members, const char *name)
{
  gs_member_node_t *node = gs_membership_node_find (members, name);

  if (node != NULL && node->info.connected)
    node->missed_lists = MISSED_LISTS_MAX;
  else if (node != NULL)
    remove_node (members, name);
  else if (gs_membership_upstream_find (members, name) != NULL)
    remove_upstream (members, name);
}

bool
gs_membership_notice_add (gs_membership_t *members, gs_time_t now,
                          const char *name, gs_time_t deadline)
{
  gs_time_t *value;

  if (now > deadline + NOTICE_EXPIRY_DELAY
      || g_hash_table_contains (members->notices, name))
    return false;
  value = g_new (gs_time_t, 1);
  *value = deadline;
  g_hash_table_insert (members->notices, g_strdup (name), value);
  members->notice_digest ^= hash_name (name);
  gs_log (GS_LOG_INFO, "vm_leaving", "vm=\"%s\" reason=notice left_ms=%lld",
          name, (long long)((deadline - now) / GS_MSEC));
  update_state_by_name (members, name);
  members->changed = true;
  return true;
}

void
gs_membership_peer_up (gs_membership_t *members, gs_time_t now,
                       const char *name, uint64_t incarnation)
{
  gs_member_node_t *node = gs_membership_node_find (members, name);

  if (node == NULL)
    node = add_node (members, name);
  if (node == NULL)
    return;
  if (node->info.incarnation != incarnation)
    node->self_leaving = false;
  node->info.incarnation = incarnation;
  node->info.connected = true;
  node->info.heartbeat_at = now;
  node->heartbeat_at = now;
  update_node_state (members, node);
  members->changed = true;
}

void
gs_membership_peer_down (gs_membership_t *members, const char *name,
                         uint64_t incarnation)
{
  gs_member_node_t *node = gs_membership_node_find (members, name);

  if (node == NULL || node->info.incarnation != incarnation)
    return;
  node->info.connected = false;
  members->changed = true;
  if (node->missed_lists >= MISSED_LISTS_MAX)
    remove_node (members, name);
}

bool
gs_membership_heartbeat_receive (gs_membership_t *members, gs_time_t now,
                                 const char *name, uint64_t incarnation,
                                 gs_config_id_t config_id, bool leaving)
{
  gs_member_node_t *node = gs_membership_node_find (members, name);

  if (node == NULL || node->info.incarnation != incarnation)
    return false;
  node->heartbeat_at = now;
  node->info.heartbeat_at = now;
  if (gs_config_id_compare (node->config_id, config_id) != 0)
    {
      members->changed = true;
      node->info.generation_at = now;
    }
  node->config_id = config_id;
  node->info.generation = config_id.generation;
  node->self_leaving = leaving;
  update_node_state (members, node);
  return true;
}

void
gs_membership_tick (gs_membership_t *members, gs_time_t now)
{
  GHashTableIter iterator;
  gpointer name;
  gpointer deadline;

  g_hash_table_iter_init (&iterator, members->notices);
  while (g_hash_table_iter_next (&iterator, &name, &deadline))
    {
      char key[GS_NAME_BYTES];

      if (now <= *(gs_time_t *)deadline + NOTICE_EXPIRY_DELAY)
        continue;
      g_strlcpy (key, name, sizeof key);
      members->notice_digest ^= hash_name (key);
      g_hash_table_iter_remove (&iterator);
      update_state_by_name (members, key);
    }
}

gs_member_upstream_t *
gs_membership_upstream_find_by_digest (const gs_membership_t *members,
                                       uint32_t digest)
{
  return gs_table_get (
      members->upstreams,
      GPOINTER_TO_UINT (g_hash_table_lookup (members->upstream_by_digest,
                                             GUINT_TO_POINTER (digest))));
}

bool
gs_membership_upstream_is_in_region (const gs_membership_t *members,
                                     const gs_member_upstream_t *upstream,
                                     const char *region)
{
  return upstream->region[0] == '\0' || strcmp (upstream->region, region) == 0;
}

GPtrArray *
gs_membership_region_list (const gs_membership_t *members, const char *region,
                           const char *self, bool connected_only)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  gs_handle_t handle = GS_HANDLE_NONE;

  g_ptr_array_add (names, g_strdup (self));
  while ((handle = gs_table_next (members->nodes, handle)) != GS_HANDLE_NONE)
    {
      const gs_member_node_t *node = gs_table_get (members->nodes, handle);

      if (node->info.state == GS_VM_LIVE
          && (!connected_only || node->info.connected)
          && strcmp (node->info.region, region) == 0
          && strcmp (node->info.name, self) != 0)
        g_ptr_array_add (names, g_strdup (node->info.name));
    }
  return names;
}
