#include "control/control_private.h"

#include "control/rendezvous.h"
#include "garnetstack/log.h"
#include "garnetstack/metrics.h"
#include "garnetstack/rng.h"

#include <string.h>

/* A watcher reads the VM list at this interval and sends the changes to the
   other nodes.  */
#define LIST_INTERVAL GS_SEC
/* Other nodes read the complete list at about this interval, in case they
   missed changes.  */
#define LIST_RESYNC_INTERVAL (60 * GS_SEC)
/* A node that missed changes reads the complete list after a random part of
   this time.  If it learns of them from a heartbeat, it waits half of this
   time in addition.  */
#define LIST_CATCH_UP_DELAY (2 * GS_SEC)
/* A starting node reads the list after a random part of this time.  */
#define START_DELAY_MAX (GS_SEC / 2)
/* The platform holds a call for notices open for this long.  */
#define NOTICES_POLL_TIMEOUT (5 * GS_SEC)
/* Delay between two calls for notices.  */
#define NOTICES_POLL_INTERVAL (50 * GS_MSEC)
/* The time until removal in a notice is capped at one day.  */
#define NOTICE_LEFT_MAX_MSEC 86400000
#define BACKOFF_MIN (500 * GS_MSEC)
#define BACKOFF_SHIFT_MAX 4
#define REGION_INTERVAL (200 * GS_MSEC)
/* A node chooses this many nodes of every other region to connect to.  */
#define REGION_LINK_COUNT 2
/* Rendezvous key by which the watchers of a region are chosen.  */
#define WATCH_JOB "platform"

static gs_time_t
random_below (gs_time_t bound)
{
  return (gs_time_t)(gs_rng_entropy () % (uint64_t)bound);
}

static gs_time_t
compute_backoff (unsigned *failures)
{
  gs_time_t delay = BACKOFF_MIN << MIN (*failures, BACKOFF_SHIFT_MAX);

  (*failures)++;
  return delay / 2 + random_below (delay / 2);
}

void
gs_members_wire_open (gs_control_t *control)
{
  gs_membership_init (&control->board.members);
  gs_vm_list_create (&control->members.list);
  control->members.region = g_ptr_array_new_with_free_func (g_free);
  control->members.list_due = gs_clock_now () + random_below (START_DELAY_MAX);
}

void
gs_members_wire_close (gs_control_t *control)
{
  g_ptr_array_unref (control->members.region);
  gs_vm_list_destroy (control->members.list);
  gs_membership_clear (&control->board.members);
}

/* @return true if either node chooses the other by rendezvous hashing.  Both
   ends compute the same result, so no negotiation is needed.  */
static bool
is_linked (const gs_control_t *control, const gs_node_info_t *node,
           const GPtrArray *own_region, const GPtrArray *other_region)
{
  const char *self = control->options.settings->name;

  return gs_rendezvous_is_chosen (self, node->name,
                                  (const char *const *)other_region->pdata,
                                  other_region->len, REGION_LINK_COUNT)
         || gs_rendezvous_is_chosen (node->name, self,
                                     (const char *const *)own_region->pdata,
                                     own_region->len, REGION_LINK_COUNT);
}

/* Connects this node to all nodes of its own region and to a few nodes of
   every other region.  */
static void
choose_peers (gs_control_t *control)
{
  const gs_membership_t *members = &control->board.members;
  const gs_settings_t *settings = control->options.settings;
  GArray *chosen = g_array_new (FALSE, FALSE, sizeof (gs_node_info_t));
  GPtrArray *own_region = gs_membership_region_list (members, settings->region,
                                                     settings->name, false);
  GHashTable *regions = g_hash_table_new_full (
      g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
  gs_handle_t handle = GS_HANDLE_NONE;

  while ((handle = gs_table_next (members->nodes, handle)) != GS_HANDLE_NONE)
    {
      gs_member_node_t *node = gs_table_get (members->nodes, handle);
      bool is_remote = strcmp (node->info.region, settings->region) != 0;
      GPtrArray *other_region
          = g_hash_table_lookup (regions, node->info.region);

      if (is_remote && other_region == NULL)
        {
          other_region = gs_membership_region_list (members, node->info.region,
                                                    node->info.name, false);
          g_hash_table_insert (regions, node->info.region, other_region);
        }
      if (node->info.peer_port != 0
          && (!is_remote
              || is_linked (control, &node->info, own_region, other_region)))
        g_array_append_val (chosen, node->info);
    }
  gs_peer_nodes_set (control->peer, (gs_node_info_t *)chosen->data,
                     chosen->len);
  g_hash_table_unref (regions);
  g_ptr_array_unref (own_region);
  g_array_unref (chosen);
}

/* Starts to drain this node when the platform announces its removal.  */
static void
check_self_leaving (gs_control_t *control, gs_time_t now)
{
  const gs_member_node_t *self = gs_membership_node_find (
      &control->board.members, control->options.settings->name);

  if (self == NULL || self->info.state == GS_VM_LIVE || control->board.leaving)
    return;
  control->board.leaving = true;
  control->changed = true;
  gs_log (GS_LOG_WARN, "self_leaving", "left_ms=%lld",
          (long long)(self->info.reclaim_deadline != 0
                          ? (self->info.reclaim_deadline - now) / GS_MSEC
                          : 0));
  gs_control_status_announce (control, UINT_MAX);
  if (control->options.on_leave != NULL)
    control->options.on_leave (control->options.leave_context,
                               self->info.reclaim_deadline);
}

/* Publishes membership changes immediately instead of at the next tick,
   because they decide which nodes and upstreams get work.  */
static void
publish_if_changed (gs_control_t *control, gs_time_t now)
{
  if (!control->board.members.changed)
    return;
  control->changed = true;
  check_self_leaving (control, now);
  gs_control_publish (control, now);
}

static void
send_changes (gs_control_t *control, uint64_t base, uint64_t revision,
              const json_t *changes)
{
  char *text = json_dumps (changes, JSON_COMPACT);
  gs_frame_t frame = { .type = GS_FRAME_VM_CHANGES };

  frame.vm_changes.base = base;
  frame.vm_changes.revision = revision;
  frame.vm_changes.text = gs_bytes_from_text (text);
  gs_peer_region_send (control->peer, &frame);
  free (text);
}

static void
apply_list (gs_control_t *control, gs_time_t now,
            const gs_vm_list_result_t *list)
{
  gs_membership_t *members = &control->board.members;
  uint64_t base = members->list_revision;
  GArray *rows = gs_vm_rows_create (list->vms, list->count);
  json_t *changes
      = gs_vm_list_replace (control->members.list, list->vms, list->count);

  gs_membership_list_apply (members, now, list->revision,
                            (gs_vm_row_t *)rows->data, rows->len, true);
  if (changes != NULL && control->members.watcher && base != 0
      && list->revision > base)
    send_changes (control, base, list->revision, changes);
  if (changes != NULL)
    choose_peers (control);
  gs_control_status_announce (control, 0);
  json_decref (changes);
  g_array_unref (rows);
}

static void
on_list_done (void *argument, const gs_vm_list_result_t *result)
{
  gs_control_t *control = argument;
  gs_members_wire_t *wire = &control->members;
  gs_time_t now = gs_clock_now ();

  wire->list_in_flight = false;
  if (result->status != GS_OK)
    {
      wire->list_due = now + compute_backoff (&wire->list_failures);
      return;
    }
  wire->list_failures = 0;
  wire->list_due
      = now
        + (wire->watcher ? LIST_INTERVAL
                         : LIST_RESYNC_INTERVAL / 2
                               + random_below (LIST_RESYNC_INTERVAL));
  apply_list (control, now, result);
  publish_if_changed (control, now);
}

static void
send_notice (gs_control_t *control, gs_time_t now, uint64_t incarnation,
             const char *name, gs_time_t deadline)
{
  gs_frame_t frame = { .type = GS_FRAME_NOTICE };

  frame.notice.name = gs_bytes_from_text (name);
  frame.notice.remaining_ms = (uint64_t)(MAX (deadline - now, 0) / GS_MSEC);
  if (incarnation != 0)
    gs_peer_send (control->peer, incarnation, &frame);
  else
    gs_peer_broadcast (control->peer, &frame);
}

static void
add_notice (gs_control_t *control, gs_time_t now, const char *name,
            uint64_t left_ms, bool forward)
{
  gs_time_t left = (gs_time_t)MIN (left_ms, NOTICE_LEFT_MAX_MSEC) * GS_MSEC;

  if (!gs_membership_notice_add (&control->board.members, now, name,
                                 now + left))
    return;
  gs_metric_add (GS_METRIC_NOTICES, 1);
  if (forward)
    send_notice (control, now, 0, name, now + left);
}

void
gs_members_wire_drain (gs_control_t *control, gs_time_t now, const char *vm,
                       gs_time_t deadline)
{
  add_notice (control, now, vm, (uint64_t)((deadline - now) / GS_MSEC), true);
  gs_control_status_announce (control, 0);
}

static void
on_notices_done (void *argument, const gs_notices_t *result)
{
  gs_control_t *control = argument;
  gs_members_wire_t *wire = &control->members;
  gs_time_t now = gs_clock_now ();

  wire->notices_in_flight = false;
  if (result->status != GS_OK)
    {
      wire->notices_due = now + compute_backoff (&wire->notice_failures);
      return;
    }
  wire->notice_failures = 0;
  wire->notices_due = now + NOTICES_POLL_INTERVAL;
  wire->notice_revision = result->revision;
  for (size_t i = 0; i < result->count; i++)
    {
      const gs_notice_t *notice = &result->notices[i];
      gs_time_t left = MAX (notice->deadline - now, 0);

      add_notice (control, now, notice->name, (uint64_t)(left / GS_MSEC),
                  true);
    }
  gs_control_status_announce (control, 0);
  publish_if_changed (control, now);
}

static void
request_notices (gs_control_t *control)
{
  gs_members_wire_t *wire = &control->members;

  wire->notices_in_flight = true;
  control->cloud.notices (control->cloud.context, wire->notice_revision,
                          gs_clock_now () + NOTICES_POLL_TIMEOUT
                              + GS_CONTROL_CALL_TIMEOUT,
                          on_notices_done, control);
}

/* Until a peer has sent a message or the settle time is over, listed nodes
   count as members of the region without a connection.  Otherwise each of
   several nodes that start together would consider itself the only member.  */
static void
update_region (gs_control_t *control, gs_time_t now)
{
  gs_members_wire_t *wire = &control->members;
  const gs_settings_t *settings = control->options.settings;
  bool connected_only = control->board.config.peer_message_at != 0
                        || now >= control->board.config.settle_deadline;

  if (now < wire->region_due)
    return;
  wire->region_due = now + REGION_INTERVAL;
  g_ptr_array_unref (wire->region);
  wire->region
      = gs_membership_region_list (&control->board.members, settings->region,
                                   settings->name, connected_only);
  wire->watcher
      = gs_table_count (control->board.members.nodes) > 0
        && gs_rendezvous_is_chosen (WATCH_JOB, settings->name,
                                    (const char *const *)wire->region->pdata,
                                    wire->region->len, GS_CONFIG_WATCHERS_MAX);
}

void
gs_members_wire_tick (gs_control_t *control, gs_time_t now)
{
  gs_members_wire_t *wire = &control->members;

  update_region (control, now);
  gs_membership_tick (&control->board.members, now);
  if (wire->watcher && wire->list_failures == 0)
    wire->list_due = MIN (wire->list_due, now + LIST_INTERVAL);
  if (!wire->list_in_flight && now >= wire->list_due)
    {
      wire->list_in_flight = true;
      control->vm_list.list (control->vm_list.context,
                             now + GS_CONTROL_CALL_TIMEOUT, on_list_done,
                             control);
    }
  if (wire->watcher && !wire->notices_in_flight && now >= wire->notices_due)
    request_notices (control);
  check_self_leaving (control, now);
}

static void
receive_vm_changes (gs_control_t *control, gs_time_t now,
                    const gs_frame_vm_changes_t *frame)
{
  gs_membership_t *members = &control->board.members;
  gs_members_wire_t *wire = &control->members;
  json_t *root;
  json_t *item;
  GArray *vms;
  GArray *rows;
  size_t i;

  if (frame->revision <= members->list_revision)
    return;
  if (frame->base > members->list_revision)
    {
      wire->list_due
          = MIN (wire->list_due, now + random_below (LIST_CATCH_UP_DELAY));
      return;
    }
  root = json_loadb (frame->text.data, frame->text.length, 0, NULL);
  vms = gs_vms_from_json (json_object_get (root, "vms"));
  rows = gs_vm_rows_create ((const gs_vm_t *)vms->data, vms->len);
  gs_membership_list_apply (members, now, frame->revision,
                            (gs_vm_row_t *)rows->data, rows->len, false);
  json_array_foreach (json_object_get (root, "gone"), i, item)
  {
    if (json_is_string (item))
      gs_membership_vm_remove (members, json_string_value (item));
  }
  gs_vm_list_changes_apply (wire->list, root);
  choose_peers (control);
  gs_control_status_announce (control, 0);
  g_array_unref (rows);
  g_array_unref (vms);
  json_decref (root);
}

/* Sends all notices to a peer whose digest of notices differs.  The peer
   likewise sends its own, so both end up with the union.  */
static void
send_all_notices (gs_control_t *control, gs_time_t now, uint64_t incarnation)
{
  GHashTableIter iterator;
  gpointer name;
  gpointer deadline;

  g_hash_table_iter_init (&iterator, control->board.members.notices);
  while (g_hash_table_iter_next (&iterator, &name, &deadline))
    send_notice (control, now, incarnation, name, *(gs_time_t *)deadline);
}

static void
receive_heartbeat (gs_control_t *control, gs_time_t now, const char *name,
                   uint64_t incarnation, const gs_frame_heartbeat_t *heartbeat)
{
  gs_membership_t *members = &control->board.members;
  gs_members_wire_t *wire = &control->members;
  gs_config_id_t config_id = { heartbeat->generation, heartbeat->digest };

  if (!gs_membership_heartbeat_receive (members, now, name, incarnation,
                                        config_id, heartbeat->leaving != 0))
    return;
  gs_config_wire_announcement (control, now, incarnation, config_id);
  if (heartbeat->notice_digest != members->notice_digest)
    send_all_notices (control, now, incarnation);
  if (heartbeat->list_revision > members->list_revision)
    wire->list_due
        = MIN (wire->list_due, now + LIST_CATCH_UP_DELAY / 2
                                   + random_below (LIST_CATCH_UP_DELAY));
}

void
gs_members_wire_frame (gs_control_t *control, gs_time_t now, const char *name,
                       uint64_t incarnation, const gs_frame_t *frame)
{
  char vm[GS_NAME_BYTES];

  if (frame->type == GS_FRAME_HEARTBEAT)
    receive_heartbeat (control, now, name, incarnation, &frame->heartbeat);
  else if (frame->type == GS_FRAME_VM_CHANGES)
    receive_vm_changes (control, now, &frame->vm_changes);
  else if (frame->notice.name.length < sizeof vm)
    {
      memcpy (vm, frame->notice.name.data, frame->notice.name.length);
      vm[frame->notice.name.length] = '\0';
      add_notice (control, now, vm, frame->notice.remaining_ms, false);
      gs_control_status_announce (control, 0);
    }
  publish_if_changed (control, now);
}
