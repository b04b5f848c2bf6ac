#include "control/control_private.h"

#include "control/pool_spec.h"
#include "control/rendezvous.h"
#include "garnetstack/metrics.h"
#include "wire/digest.h"

#include <string.h>

/* Each poller of an engine polls it at this interval.  */
#define POLL_INTERVAL GS_SEC
#define POLL_TIMEOUT GS_SEC
#define TICK_INTERVAL (200 * GS_MSEC)
/* Nodes of a region that poll an engine for its load.  The first one by
   rendezvous hashing is the primary; only it polls for cache events.  */
#define POLLER_COUNT 2
/* If the primary poller has forwarded no load of an engine for this long,
   another poller forwards its own.  */
#define FORWARD_TIMEOUT (4 * GS_SEC)
/* Bytes of cache events that a node sends per second, summed over peers.  */
#define CACHE_BYTES_PER_SEC_MAX 8192
#define CACHE_EVENT_BYTES 10
/* Cache events that may wait for the next snapshot.  Events above this bound
   are dropped, which readers see as a gap in the revisions.  */
#define CACHE_EVENTS_MAX 65536

/* Polling of one engine by this node.  */
typedef struct
{
  gs_control_t *control;
  char name[GS_NAME_BYTES];
  gs_time_t due;
  bool load_in_flight;
  bool cache_in_flight;
  bool is_primary;    /* this node is the primary poller */
  bool wanted;        /* the upstream is still to be polled */
  bool forwards_load; /* this node is a poller, not only the holder of a pool's
                         lease */
  gs_time_t requested_at;  /* when the last poll for the load was sent */
  uint64_t cache_revision; /* revision of the last cache event received */
  gs_load_record_t load;   /* as last reported */
  bool load_unsent;        /* load has not been forwarded yet */
} engine_poll_t;

void
gs_load_wire_open (gs_control_t *control)
{
  control->load.polls
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  control->load.cache_events
      = g_array_new (FALSE, FALSE, sizeof (gs_pending_cache_event_t));
}

void
gs_load_wire_close (gs_control_t *control)
{
  g_array_unref (control->load.cache_events);
  g_hash_table_unref (control->load.polls);
}

static void
update_load (gs_control_t *control, gs_time_t reported_at,
             gs_member_upstream_t *upstream, const gs_load_record_t *load)
{
  gs_upstream_info_t *info = &upstream->info;

  if (reported_at <= info->reported_at)
    return;
  info->reported_at = reported_at;
  info->running = load->running;
  info->queued = load->queued;
  info->queued_tokens = load->queued_tokens;
  info->batch_max = load->batch_max;
  control->changed = true;
}

static void
update_serving (gs_time_t reported_at, gs_member_upstream_t *upstream,
                const gs_engine_report_t *report)
{
  gs_engine_state_t *served = &upstream->served;

  served->reported_at = reported_at;
  served->fencing = report->fencing;
  g_strlcpy (served->model, report->model, sizeof served->model);
  g_strlcpy (served->version, report->version, sizeof served->version);
  gs_adapters_join (served->adapters, sizeof served->adapters,
                    report->adapters);
}

static void
on_load_done (void *argument, const gs_engine_report_t *report)
{
  engine_poll_t *poll = argument;
  gs_control_t *control = poll->control;
  gs_member_upstream_t *upstream
      = gs_membership_upstream_find (&control->board.members, poll->name);

  poll->load_in_flight = false;
  if (report->status != GS_OK || upstream == NULL)
    return;
  poll->load = (gs_load_record_t){
    gs_upstream_digest (poll->name), report->running,   report->queued,
    report->queued_tokens,           report->batch_max, 0
  };
  poll->load_unsent = poll->forwards_load;
  update_serving (poll->requested_at, upstream, report);
  update_load (control, poll->requested_at, upstream, &poll->load);
}

/* Takes bytes from a budget that is replenished over time.  Events that
   exceed the budget are not sent; receivers see a gap in the revisions.
   @return false if the budget does not suffice  */
static bool
take_cache_budget (gs_load_wire_t *wire, gs_time_t now, size_t bytes,
                   size_t peers)
{
  gs_time_t elapsed = MIN (now - wire->cache_budget_at, GS_SEC);

  wire->cache_budget_at = now;
  wire->cache_budget
      = MIN (wire->cache_budget + elapsed * CACHE_BYTES_PER_SEC_MAX / GS_SEC,
             CACHE_BYTES_PER_SEC_MAX);
  if (wire->cache_budget < (int64_t)(bytes * peers))
    return false;
  wire->cache_budget -= (int64_t)(bytes * peers);
  return true;
}

static void
add_cache_events (gs_control_t *control, gs_handle_t handle,
                  const gs_cache_record_t *records, size_t count,
                  uint64_t first, uint64_t revision)
{
  gs_member_upstream_t *upstream
      = gs_table_get (control->board.members.upstreams, handle);

  if (count == 0 || control->load.cache_events->len + count > CACHE_EVENTS_MAX
      || revision <= upstream->info.cache_revision)
    return;
  /* Events before these are missing, so the snapshot has a complete sequence
     only from these on.  */
  if (upstream->info.cache_first_revision == 0
      || first > upstream->info.cache_revision + 1)
    upstream->info.cache_first_revision = first;
  upstream->info.cache_revision = revision;
  for (size_t i = 0; i < count; i++)
    {
      gs_pending_cache_event_t event
          = { handle, records[i].evicted, records[i].block };

      g_array_append_val (control->load.cache_events, event);
    }
  control->changed = true;
}

static gs_handle_t
find_handle (const gs_control_t *control, const char *name)
{
  return GPOINTER_TO_UINT (
      g_hash_table_lookup (control->board.members.upstream_by_name, name));
}

static void
send_cache_events (gs_control_t *control, const engine_poll_t *poll,
                   const GArray *records, uint64_t first, uint64_t revision)
{
  size_t peers = control->members.region->len - 1;
  gs_frame_t frame = { .type = GS_FRAME_CACHE_EVENTS };
  GByteArray *packed;

  if (peers == 0
      || !take_cache_budget (&control->load, gs_clock_now (),
                             records->len * CACHE_EVENT_BYTES, peers))
    return;
  packed = g_byte_array_new ();
  gs_cache_pack (packed, (gs_cache_record_t *)records->data, records->len);
  frame.cache_events.name = gs_bytes_from_text (poll->name);
  frame.cache_events.first = first;
  frame.cache_events.revision = revision;
  frame.cache_events.events
      = (gs_bytes_t){ (const char *)packed->data, packed->len };
  gs_peer_region_send (control->peer, &frame);
  g_byte_array_unref (packed);
}

static void
on_cache_done (void *argument, const gs_block_events_t *events)
{
  engine_poll_t *poll = argument;
  gs_control_t *control = poll->control;
  gs_handle_t handle = find_handle (control, poll->name);
  GArray *records;

  poll->cache_in_flight = false;
  if (events->status != GS_OK || handle == GS_HANDLE_NONE)
    return;
  records = g_array_new (FALSE, FALSE, sizeof (gs_cache_record_t));
  for (size_t i = 0; i < events->count; i++)
    {
      gs_cache_record_t record
          = { !events->events[i].add, events->events[i].block };

      g_array_append_val (records, record);
    }
  /* The revision may be lower than before: an engine that restarted counts
     from the beginning.  */
  poll->cache_revision = events->revision;
  add_cache_events (control, handle, (gs_cache_record_t *)records->data,
                    records->len, events->first, events->revision);
  if (records->len > 0)
    send_cache_events (control, poll, records, events->first,
                       events->revision);
  g_array_unref (records);
}

static void
poll_upstream (gs_control_t *control, gs_time_t now,
               const gs_upstream_info_t *info, engine_poll_t *poll)
{
  gs_engine_port_t *engine = &control->engine;
  char *url;

  if (now < poll->due)
    return;
  poll->due = now + POLL_INTERVAL;
  url = g_strdup_printf ("http://%s:%u", info->address, info->port);
  if (!poll->load_in_flight)
    {
      poll->load_in_flight = true;
      poll->requested_at = now;
      gs_metric_add (GS_METRIC_LOADS_ASKED, 1);
      engine->load (engine->context, url, now + POLL_TIMEOUT, on_load_done,
                    poll);
    }
  if (poll->is_primary && !poll->cache_in_flight)
    {
      poll->cache_in_flight = true;
      engine->cache_events (engine->context, url, poll->cache_revision,
                            now + POLL_TIMEOUT, on_cache_done, poll);
    }
  g_free (url);
}

static engine_poll_t *
get_poll (gs_control_t *control, const char *name)
{
  engine_poll_t *poll = g_hash_table_lookup (control->load.polls, name);

  if (poll != NULL)
    return poll;
  poll = g_new0 (engine_poll_t, 1);
  poll->control = control;
  g_strlcpy (poll->name, name, sizeof poll->name);
  g_hash_table_insert (control->load.polls, poll->name, poll);
  return poll;
}

/* A poll with a call in flight is freed only after the response, because the
   callback refers to it.  */
static gboolean
is_poll_finished (gpointer name, gpointer value, gpointer context)
{
  const engine_poll_t *poll = value;

  return !poll->wanted && !poll->load_in_flight && !poll->cache_in_flight;
}

/* Polls the engines for which this node is a poller, and those of pools whose
   lease it holds: placement needs what they serve.  */
static void
update_polls (gs_control_t *control, gs_time_t now)
{
  const gs_table_t *upstreams = control->board.members.upstreams;
  const char *const *region
      = (const char *const *)control->members.region->pdata;
  size_t nodes = control->members.region->len;
  const char *self = control->options.settings->name;
  gs_handle_t handle = GS_HANDLE_NONE;
  GHashTableIter iterator;
  gpointer poll;

  g_hash_table_iter_init (&iterator, control->load.polls);
  while (g_hash_table_iter_next (&iterator, NULL, &poll))
    ((engine_poll_t *)poll)->wanted = false;
  while ((handle = gs_table_next (upstreams, handle)) != GS_HANDLE_NONE)
    {
      const gs_member_upstream_t *upstream = gs_table_get (upstreams, handle);
      const char *name = upstream->info.name;
      engine_poll_t *engine_poll;

      if (upstream->info.kind != GS_UPSTREAM_ENGINE
          || !gs_membership_upstream_is_in_region (
              &control->board.members, upstream,
              control->options.settings->region)
          || (!gs_rendezvous_is_chosen (name, self, region, nodes,
                                        POLLER_COUNT)
              && !gs_placement_wire_is_holder (control,
                                               upstream->info.target)))
        continue;
      engine_poll = get_poll (control, name);
      engine_poll->wanted = true;
      engine_poll->forwards_load
          = gs_rendezvous_is_chosen (name, self, region, nodes, POLLER_COUNT);
      engine_poll->is_primary
          = gs_rendezvous_is_chosen (name, self, region, nodes, 1);
      poll_upstream (control, now, &upstream->info, engine_poll);
    }
  g_hash_table_foreach_remove (control->load.polls, is_poll_finished, NULL);
}

/* @return true if this node should forward the load: as the primary poller,
   or if no other poller has forwarded it for FORWARD_TIMEOUT.  */
static bool
should_forward (const gs_control_t *control, gs_time_t now,
                const engine_poll_t *poll)
{
  const gs_member_upstream_t *upstream
      = gs_membership_upstream_find (&control->board.members, poll->name);

  if (upstream == NULL || poll->is_primary)
    return upstream != NULL;
  return now > upstream->load_forwarded_at + FORWARD_TIMEOUT;
}

static void
send_loads (gs_control_t *control, gs_time_t now)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (gs_load_record_t));
  gs_frame_t frame = { .type = GS_FRAME_LOADS };
  GByteArray *packed = g_byte_array_new ();
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, control->load.polls);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      engine_poll_t *poll = value;

      if (!poll->load_unsent || !should_forward (control, now, poll))
        continue;
      poll->load_unsent = false;
      poll->load.age_ms = (uint32_t)((now - poll->requested_at) / GS_MSEC);
      g_array_append_val (records, poll->load);
    }
  if (records->len > 0)
    {
      gs_loads_pack (packed, (gs_load_record_t *)records->data, records->len);
      frame.loads.records
          = (gs_bytes_t){ (const char *)packed->data, packed->len };
      gs_peer_heartbeat_attach (control->peer, &frame);
    }
  g_byte_array_unref (packed);
  g_array_unref (records);
}

void
gs_load_wire_tick (gs_control_t *control, gs_time_t now)
{
  if (now < control->load.due)
    return;
  control->load.due = now + TICK_INTERVAL;
  update_polls (control, now);
  if (now < control->load.send_due)
    return;
  control->load.send_due
      = now + gs_peer_heartbeat_interval (control->members.region->len);
  send_loads (control, now);
}

static void
receive_loads (gs_control_t *control, gs_time_t now,
               const gs_frame_loads_t *frame)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (gs_load_record_t));

  gs_loads_unpack (records, frame->records.data, frame->records.length);
  for (guint i = 0; i < records->len; i++)
    {
      const gs_load_record_t *record
          = &g_array_index (records, gs_load_record_t, i);
      gs_member_upstream_t *upstream = gs_membership_upstream_find_by_digest (
          &control->board.members, record->name_digest);

      if (upstream == NULL)
        continue;
      upstream->load_forwarded_at = now;
      update_load (control, now - record->age_ms * GS_MSEC, upstream, record);
    }
  g_array_unref (records);
}

static void
receive_cache_events (gs_control_t *control,
                      const gs_frame_cache_events_t *frame)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (gs_cache_record_t));
  char name[GS_NAME_BYTES];
  gs_handle_t handle;

  gs_cache_unpack (records, frame->events.data, frame->events.length);
  if (frame->name.length < sizeof name)
    {
      memcpy (name, frame->name.data, frame->name.length);
      name[frame->name.length] = '\0';
      handle = find_handle (control, name);
      if (handle != GS_HANDLE_NONE)
        add_cache_events (control, handle, (gs_cache_record_t *)records->data,
                          records->len, frame->first, frame->revision);
    }
  g_array_unref (records);
}

void
gs_load_wire_frame (gs_control_t *control, gs_time_t now,
                    const gs_frame_t *frame)
{
  if (frame->type == GS_FRAME_LOADS)
    receive_loads (control, now, &frame->loads);
  else
    receive_cache_events (control, &frame->cache_events);
}
