#include "control/control_private.h"

#include "control/drain.h"

#include <string.h>

/* A snapshot is published at this interval even without a change, so that the
   ages in it and the time until which the node is ready stay current.  */
#define PUBLISH_INTERVAL (500 * GS_MSEC)

static void
copy_nodes (const gs_control_t *control, gs_snapshot_t *snapshot)
{
  const gs_table_t *nodes = control->board.members.nodes;
  const gs_settings_t *settings = control->options.settings;
  gs_handle_t handle = GS_HANDLE_NONE;
  size_t i = 0;

  while ((handle = gs_table_next (nodes, handle)) != GS_HANDLE_NONE)
    {
      const gs_member_node_t *node = gs_table_get (nodes, handle);
      gs_node_info_t *info = &snapshot->nodes[i++];

      *info = node->info;
      if (strcmp (info->name, settings->name) != 0)
        continue;
      info->incarnation = control->options.incarnation;
      info->generation = control->board.config.current.generation;
      info->generation_at = control->board.adopted_at;
      info->heartbeat_at = gs_clock_now ();
    }
}

/* Pending cache events refer to upstreams by handle; those of the snapshot
   refer to them by index.  */
static void
copy_upstreams (gs_control_t *control, gs_snapshot_t *snapshot)
{
  const gs_table_t *upstreams = control->board.members.upstreams;
  GArray *events = control->load.cache_events;
  GHashTable *indices = g_hash_table_new (NULL, NULL);
  gs_handle_t handle = GS_HANDLE_NONE;
  size_t i = 0;

  while ((handle = gs_table_next (upstreams, handle)) != GS_HANDLE_NONE)
    {
      gs_member_upstream_t *upstream = gs_table_get (upstreams, handle);

      g_hash_table_insert (indices, GUINT_TO_POINTER (handle),
                           GSIZE_TO_POINTER (i + 1));
      snapshot->upstreams[i++] = upstream->info;
      upstream->info.cache_first_revision = 0;
    }
  snapshot->cache_events = g_new0 (gs_cache_event_t, events->len);
  for (guint n = 0; n < events->len; n++)
    {
      const gs_pending_cache_event_t *event
          = &g_array_index (events, gs_pending_cache_event_t, n);
      gsize index = GPOINTER_TO_SIZE (
          g_hash_table_lookup (indices, GUINT_TO_POINTER (event->upstream)));

      if (index == 0)
        continue;
      snapshot->cache_events[snapshot->cache_event_count++]
          = (gs_cache_event_t){ (uint32_t)(index - 1), event->evicted,
                                event->block };
    }
  g_array_set_size (events, 0);
  g_hash_table_unref (indices);
}

static void
copy_store_state (const gs_control_t *control, gs_snapshot_t *snapshot)
{
  const gs_config_t *config = &control->board.config;

  snapshot->store.response_at = config->store_response_at;
  snapshot->store.failures = config->store_failures;
  snapshot->store.watcher = control->members.watcher;
  snapshot->store.generation = config->stored.generation;
}

void
gs_control_publish (gs_control_t *control, gs_time_t now)
{
  gs_blackboard_t *board = &control->board;
  gs_snapshot_t *snapshot;

  if (!control->changed && now < control->publish_due)
    return;
  control->changed = false;
  board->members.changed = false;
  control->publish_due = now + PUBLISH_INTERVAL;
  snapshot = gs_snapshot_new (gs_table_count (board->members.nodes),
                              gs_table_count (board->members.upstreams));
  copy_nodes (control, snapshot);
  copy_upstreams (control, snapshot);
  copy_store_state (control, snapshot);
  gs_placement_wire_publish (control, snapshot);
  if (board->catalogue != NULL)
    snapshot->catalogue = gs_catalogue_ref (board->catalogue);
  snapshot->adopted_at = board->adopted_at;
  snapshot->self_leaving = board->leaving;
  gs_drain_apply (snapshot, control->options.settings->name);
  snapshot->ready_until = gs_config_ready_until (&board->config, now);
  /* A leaving node still serves callers that continue to use its address, so
     it stays ready.  */
  snapshot->ready = snapshot->ready_until > now;
  gs_snapshot_publish (control->options.hub, snapshot);
}
