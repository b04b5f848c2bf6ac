#include "control/membership.h"

#include "garnetstack/log.h"
#include "wire/digest.h"

#include <string.h>
#include <xxhash.h>

/* The list lags: a VM is gone only when this many lists in a row lack it.  */
#define MISSING_MAX 2
/* After this many older lists in a row the platform was set back.  */
#define OLD_LISTS_MAX 3
/* A VM that is still listed this long after it was to be taken back is
   counted as kept.  */
#define NOTICE_VOID_AFTER (60 * GS_SEC)

static uint64_t
name_digest (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

void
gs_membership_init (gs_membership_t *members)
{
  *members = (gs_membership_t){ 0 };
  gs_table_create (&members->nodes, sizeof (gs_member_node_t));
  gs_table_create (&members->upstreams, sizeof (gs_member_upstream_t));
  members->by_name
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
  g_hash_table_unref (members->by_name);
  gs_table_destroy (members->upstreams);
  gs_table_destroy (members->nodes);
}

static gs_handle_t
find (GHashTable *by_name, const char *name)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (by_name, name));
}

gs_member_node_t *
gs_membership_node (const gs_membership_t *members, const char *name)
{
  return gs_table_get (members->nodes, find (members->by_name, name));
}

gs_member_upstream_t *
gs_membership_upstream (const gs_membership_t *members, const char *name)
{
  return gs_table_get (members->upstreams,
                       find (members->upstream_by_name, name));
}

static gs_vm_state_t
state_of (const gs_membership_t *members, const char *name, bool leaving)
{
  if (leaving || g_hash_table_contains (members->notices, name))
    return GS_VM_LEAVING;
  return GS_VM_LIVE;
}

static void
settle_node (gs_membership_t *members, gs_member_node_t *node)
{
  const gs_time_t *left
      = g_hash_table_lookup (members->notices, node->info.name);
  gs_vm_state_t state = state_of (members, node->info.name,
                                  node->listed_leaving || node->self_leaving);

  node->info.reclaim_deadline = left != NULL ? *left : 0;
  if (state == node->info.state)
    return;
  node->info.state = state;
  members->changed = true;
}

static void
settle_upstream (gs_membership_t *members, gs_member_upstream_t *upstream)
{
  const gs_time_t *left
      = g_hash_table_lookup (members->notices, upstream->info.name);
  gs_vm_state_t state
      = state_of (members, upstream->info.name, upstream->listed_leaving);

  upstream->info.reclaim_deadline = left != NULL ? *left : 0;
  if (state == upstream->info.state)
    return;
  upstream->info.state = state;
  members->changed = true;
}

static void
settle_name (gs_membership_t *members, const char *name)
{
  gs_member_node_t *node = gs_membership_node (members, name);
  gs_member_upstream_t *upstream = gs_membership_upstream (members, name);

  if (node != NULL)
    settle_node (members, node);
  if (upstream != NULL)
    settle_upstream (members, upstream);
}

static void
remove_node (gs_membership_t *members, const char *name)
{
  char key[GS_NAME_BYTES];

  g_strlcpy (key, name, sizeof key);
  gs_table_remove (members->nodes, find (members->by_name, key));
  g_hash_table_remove (members->by_name, key);
  members->changed = true;
}

static void
remove_upstream (gs_membership_t *members, const char *name)
{
  char key[GS_NAME_BYTES];

  g_strlcpy (key, name, sizeof key);
  g_hash_table_remove (members->upstream_by_digest,
                       GUINT_TO_POINTER (gs_upstream_digest (key)));
  gs_table_remove (members->upstreams, find (members->upstream_by_name, key));
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
  g_hash_table_insert (members->by_name, g_strdup (name),
                       GUINT_TO_POINTER (handle));
  members->changed = true;
  return node;
}

/* An address that a new VM uses again no longer belongs to the old one.  */
static void
drop_node_at (gs_membership_t *members, const gs_node_info_t *info)
{
  gs_handle_t handle = GS_HANDLE_NONE;

  while ((handle = gs_table_next (members->nodes, handle)) != GS_HANDLE_NONE)
    {
      gs_member_node_t *old = gs_table_get (members->nodes, handle);

      if (strcmp (old->info.name, info->name) != 0 && old->missing > 0
          && old->info.peer_port == info->peer_port
          && strcmp (old->info.address, info->address) == 0)
        remove_node (members, old->info.name);
    }
}

static void
drop_upstream_at (gs_membership_t *members, const gs_upstream_info_t *info)
{
  gs_handle_t handle = GS_HANDLE_NONE;

  while ((handle = gs_table_next (members->upstreams, handle))
         != GS_HANDLE_NONE)
    {
      gs_member_upstream_t *old = gs_table_get (members->upstreams, handle);

      if (strcmp (old->info.name, info->name) != 0 && old->missing > 0
          && old->info.port == info->port
          && strcmp (old->info.address, info->address) == 0)
        remove_upstream (members, old->info.name);
    }
}

static void
take_node (gs_membership_t *members, const gs_vm_row_t *row)
{
  gs_member_node_t *node = gs_membership_node (members, row->node.name);
  gs_node_info_t info = row->node;

  if (node == NULL)
    {
      drop_node_at (members, &info);
      node = add_node (members, info.name);
      if (node == NULL)
        return;
    }
  /* What the list knows is replaced; what this node has seen stays.  */
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
  node->missing = 0;
  settle_node (members, node);
}

static bool
same_upstream (const gs_member_upstream_t *known, const gs_vm_row_t *row)
{
  return known->info.port == row->upstream.port
         && strcmp (known->info.address, row->upstream.address) == 0
         && strcmp (known->token, row->token) == 0;
}

static void
take_upstream (gs_membership_t *members, const gs_vm_row_t *row)
{
  const char *name = row->upstream.name;
  gs_member_upstream_t *known = gs_membership_upstream (members, name);
  gs_upstream_info_t info = row->upstream;

  if (known != NULL && !same_upstream (known, row))
    {
      remove_upstream (members, name);
      known = NULL;
    }
  if (known == NULL)
    {
      gs_handle_t handle;

      drop_upstream_at (members, &info);
      handle = gs_table_add (members->upstreams);
      known = gs_table_get (members->upstreams, handle);
      if (known == NULL)
        return;
      g_hash_table_insert (members->upstream_by_name, g_strdup (name),
                           GUINT_TO_POINTER (handle));
      known->info = info;
      known->info.state = GS_VM_LIVE;
      g_strlcpy (known->token, row->token, sizeof known->token);
      g_strlcpy (known->region, row->region, sizeof known->region);
      known->digest = gs_upstream_digest (name);
      g_hash_table_insert (members->upstream_by_digest,
                           GUINT_TO_POINTER (known->digest),
                           GUINT_TO_POINTER (handle));
      members->changed = true;
    }
  known->info.kind = info.kind;
  known->info.reclaimable = info.reclaimable;
  known->info.price_micros = info.price_micros;
  if (strcmp (known->info.target, info.target) != 0)
    members->changed = true;
  g_strlcpy (known->info.target, info.target, sizeof known->info.target);
  known->listed_leaving = info.state != GS_VM_LIVE;
  known->missing = 0;
  settle_upstream (members, known);
}

/* Counts a list that lacks a VM.  A node that is connected stays: the list
   lags, its process proved itself.  */
static void
count_missing (gs_membership_t *members, GHashTable *present)
{
  gs_handle_t handle = GS_HANDLE_NONE;

  while ((handle = gs_table_next (members->nodes, handle)) != GS_HANDLE_NONE)
    {
      gs_member_node_t *node = gs_table_get (members->nodes, handle);

      if (!g_hash_table_contains (present, node->info.name))
        node->missing++;
      if (node->missing >= MISSING_MAX && !node->info.connected)
        remove_node (members, node->info.name);
    }
  handle = GS_HANDLE_NONE;
  while ((handle = gs_table_next (members->upstreams, handle))
         != GS_HANDLE_NONE)
    {
      gs_member_upstream_t *upstream
          = gs_table_get (members->upstreams, handle);

      if (!g_hash_table_contains (present, upstream->info.name))
        upstream->missing++;
      if (upstream->missing >= MISSING_MAX)
        remove_upstream (members, upstream->info.name);
    }
}

void
gs_membership_listed (gs_membership_t *members, gs_time_t now,
                      uint64_t revision, const gs_vm_row_t *rows, size_t count,
                      bool whole)
{
  GHashTable *present;

  /* A list may be older than what is known.  One without revisions has 0 and
     is taken as it comes, and so is one of a platform that was set back.  */
  if (revision != 0 && revision < members->list_revision
      && ++members->old_lists < OLD_LISTS_MAX)
    return;
  members->old_lists = 0;
  members->list_revision = revision;
  present = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < count; i++)
    g_hash_table_add (present, rows[i].is_node
                                   ? (gpointer)rows[i].node.name
                                   : (gpointer)rows[i].upstream.name);
  if (whole)
    count_missing (members, present);
  for (size_t i = 0; i < count; i++)
    if (rows[i].is_node)
      take_node (members, &rows[i]);
    else
      take_upstream (members, &rows[i]);
  g_hash_table_unref (present);
}

void
gs_membership_unlisted (gs_membership_t *members, const char *name)
{
  gs_member_node_t *node = gs_membership_node (members, name);

  if (node != NULL && node->info.connected)
    node->missing = MISSING_MAX;
  else if (node != NULL)
    remove_node (members, name);
  else if (gs_membership_upstream (members, name) != NULL)
    remove_upstream (members, name);
}

bool
gs_membership_notice (gs_membership_t *members, gs_time_t now,
                      const char *name, gs_time_t deadline)
{
  gs_time_t *held;

  if (now > deadline + NOTICE_VOID_AFTER
      || g_hash_table_contains (members->notices, name))
    return false;
  held = g_new (gs_time_t, 1);
  *held = deadline;
  g_hash_table_insert (members->notices, g_strdup (name), held);
  members->notice_digest ^= name_digest (name);
  gs_log (GS_LOG_INFO, "vm_leaving", "vm=\"%s\" reason=notice left_ms=%lld",
          name, (long long)((deadline - now) / GS_MSEC));
  settle_name (members, name);
  members->changed = true;
  return true;
}

void
gs_membership_peer_up (gs_membership_t *members, gs_time_t now,
                       const char *name, uint64_t incarnation)
{
  gs_member_node_t *node = gs_membership_node (members, name);

  if (node == NULL)
    node = add_node (members, name);
  if (node == NULL)
    return;
  if (node->info.incarnation != incarnation)
    node->self_leaving = false;
  node->info.incarnation = incarnation;
  node->info.connected = true;
  node->info.heartbeat_at = now;
  node->heard_at = now;
  settle_node (members, node);
  members->changed = true;
}

void
gs_membership_peer_down (gs_membership_t *members, const char *name,
                         uint64_t incarnation)
{
  gs_member_node_t *node = gs_membership_node (members, name);

  if (node == NULL || node->info.incarnation != incarnation)
    return;
  node->info.connected = false;
  members->changed = true;
  if (node->missing >= MISSING_MAX)
    remove_node (members, name);
}

bool
gs_membership_heartbeat (gs_membership_t *members, gs_time_t now,
                         const char *name, uint64_t incarnation,
                         gs_config_id_t mark, bool leaving)
{
  gs_member_node_t *node = gs_membership_node (members, name);

  if (node == NULL || node->info.incarnation != incarnation)
    return false;
  node->heard_at = now;
  node->info.heartbeat_at = now;
  if (gs_config_id_compare (node->mark, mark) != 0)
    {
      members->changed = true;
      node->info.generation_at = now;
    }
  node->mark = mark;
  node->info.generation = mark.generation;
  node->self_leaving = leaving;
  settle_node (members, node);
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

      if (now <= *(gs_time_t *)deadline + NOTICE_VOID_AFTER)
        continue;
      g_strlcpy (key, name, sizeof key);
      members->notice_digest ^= name_digest (key);
      g_hash_table_iter_remove (&iterator);
      settle_name (members, key);
    }
}

gs_member_upstream_t *
gs_membership_upstream_by_digest (const gs_membership_t *members,
                                  uint32_t digest)
{
  return gs_table_get (
      members->upstreams,
      GPOINTER_TO_UINT (g_hash_table_lookup (members->upstream_by_digest,
                                             GUINT_TO_POINTER (digest))));
}

bool
gs_membership_in_region (const gs_membership_t *members,
                         const gs_member_upstream_t *upstream,
                         const char *region)
{
  return upstream->region[0] == '\0' || strcmp (upstream->region, region) == 0;
}

GPtrArray *
gs_membership_region (const gs_membership_t *members, const char *region,
                      const char *self, bool heard_only)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  gs_handle_t handle = GS_HANDLE_NONE;

  g_ptr_array_add (names, g_strdup (self));
  while ((handle = gs_table_next (members->nodes, handle)) != GS_HANDLE_NONE)
    {
      const gs_member_node_t *node = gs_table_get (members->nodes, handle);

      if (node->info.state == GS_VM_LIVE
          && (!heard_only || node->info.connected)
          && strcmp (node->info.region, region) == 0
          && strcmp (node->info.name, self) != 0)
        g_ptr_array_add (names, g_strdup (node->info.name));
    }
  return names;
}
