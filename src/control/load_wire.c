#include "control/control_private.h"

#include "control/pool_spec.h"
#include "control/rendezvous.h"
#include "garnetstack/metrics.h"
#include "wire/digest.h"

#include <string.h>

/* Each engine is asked this often by each of its pollers.  */
#define POLL_INTERVAL GS_SEC
#define POLL_WAIT GS_SEC
#define TICK_INTERVAL (200 * GS_MSEC)
/* Nodes that ask an engine for its load; the first also for its cache.  */
#define POLLERS 2
/* Without a load passed on by the first poller for this long the second
   passes its own on.  */
#define PASS_ON_AFTER (4 * GS_SEC)
/* Bytes a second that a node sends to all peers about prefix caches.  */
#define CACHE_BYTES_PER_SEC 8192
#define CACHE_EVENT_BYTES 10
/* Events that wait for a picture; what is above is told as a gap.  */
#define CACHE_NOTES_MAX 65536

typedef struct
{
  gs_control_t *control;
  char name[GS_NAME_BYTES];
  gs_time_t due;
  bool load_busy;
  bool cache_busy;
  bool first; /* of the pollers: also asks for cache events */
  bool seen;  /* still polled */
  bool pass_on;
  gs_time_t asked_at;
  uint64_t cache_after;
  gs_load_record_t load;
  bool fresh; /* load has not been passed on */
} poll_t;

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
put_load (gs_control_t *control, gs_time_t reported_at,
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
put_served (gs_time_t reported_at, gs_member_upstream_t *upstream,
            const gs_engine_report_t *report)
{
  gs_served_t *served = &upstream->served;

  served->reported_at = reported_at;
  served->fencing = report->fencing;
  g_strlcpy (served->model, report->model, sizeof served->model);
  g_strlcpy (served->version, report->version, sizeof served->version);
  gs_adapters_join (served->adapters, sizeof served->adapters,
                    report->adapters);
}

static void
on_load (void *argument, const gs_engine_report_t *report)
{
  poll_t *poll = argument;
  gs_control_t *control = poll->control;
  gs_member_upstream_t *upstream
      = gs_membership_upstream (&control->board.members, poll->name);

  poll->load_busy = false;
  if (report->status != GS_OK || upstream == NULL)
    return;
  poll->load = (gs_load_record_t){
    gs_upstream_digest (poll->name), report->running,   report->queued,
    report->queued_tokens,           report->batch_max, 0
  };
  poll->fresh = poll->pass_on;
  put_served (poll->asked_at, upstream, report);
  put_load (control, poll->asked_at, upstream, &poll->load);
}

/* Bytes are given out by the second; what does not fit is left out, and the
   gap in the revisions tells the receivers so.  */
static bool
spend (gs_load_wire_t *wire, gs_time_t now, size_t bytes, size_t peers)
{
  gs_time_t passed = MIN (now - wire->cache_budget_at, GS_SEC);

  wire->cache_budget_at = now;
  wire->cache_budget
      = MIN (wire->cache_budget + passed * CACHE_BYTES_PER_SEC / GS_SEC,
             CACHE_BYTES_PER_SEC);
  if (wire->cache_budget < (int64_t)(bytes * peers))
    return false;
  wire->cache_budget -= (int64_t)(bytes * peers);
  return true;
}

static void
note_events (gs_control_t *control, gs_handle_t handle,
             const gs_cache_record_t *records, size_t count, uint64_t first,
             uint64_t revision)
{
  gs_member_upstream_t *upstream
      = gs_table_get (control->board.members.upstreams, handle);

  if (count == 0 || control->load.cache_events->len + count > CACHE_NOTES_MAX
      || revision <= upstream->info.cache_revision)
    return;
  /* A gap before these: what stands in the picture begins anew.  */
  if (upstream->info.cache_first_revision == 0
      || first > upstream->info.cache_revision + 1)
    upstream->info.cache_first_revision = first;
  upstream->info.cache_revision = revision;
  for (size_t i = 0; i < count; i++)
    {
      gs_pending_cache_event_t note
          = { handle, records[i].evicted, records[i].block };

      g_array_append_val (control->load.cache_events, note);
    }
  control->changed = true;
}

static gs_handle_t
handle_of (const gs_control_t *control, const char *name)
{
  return GPOINTER_TO_UINT (
      g_hash_table_lookup (control->board.members.upstream_by_name, name));
}

static void
tell_events (gs_control_t *control, const poll_t *poll, const GArray *records,
             uint64_t first, uint64_t revision)
{
  size_t peers = control->members.region->len - 1;
  gs_frame_t frame = { .type = GS_FRAME_CACHE_EVENTS };
  GByteArray *packed;

  if (peers == 0
      || !spend (&control->load, gs_clock_now (),
                 records->len * CACHE_EVENT_BYTES, peers))
    return;
  packed = g_byte_array_new ();
  gs_cache_pack (packed, (gs_cache_record_t *)records->data, records->len);
  frame.cache_events.name = gs_bytes_text (poll->name);
  frame.cache_events.first = first;
  frame.cache_events.revision = revision;
  frame.cache_events.events
      = (gs_bytes_t){ (const char *)packed->data, packed->len };
  gs_peer_send_region (control->peer, &frame);
  g_byte_array_unref (packed);
}

static void
on_cache (void *argument, const gs_block_events_t *events)
{
  poll_t *poll = argument;
  gs_control_t *control = poll->control;
  gs_handle_t handle = handle_of (control, poll->name);
  GArray *records;

  poll->cache_busy = false;
  if (events->status != GS_OK || handle == GS_HANDLE_NONE)
    return;
  records = g_array_new (FALSE, FALSE, sizeof (gs_cache_record_t));
  for (size_t i = 0; i < events->count; i++)
    {
      gs_cache_record_t record
          = { !events->events[i].add, events->events[i].block };

      g_array_append_val (records, record);
    }
  /* An engine that started anew counts from the beginning.  */
  poll->cache_after = events->revision;
  note_events (control, handle, (gs_cache_record_t *)records->data,
               records->len, events->first, events->revision);
  if (records->len > 0)
    tell_events (control, poll, records, events->first, events->revision);
  g_array_unref (records);
}

static void
poll_upstream (gs_control_t *control, gs_time_t now,
               const gs_upstream_info_t *info, poll_t *poll)
{
  gs_engine_port_t *engine = &control->engine;
  char *url;

  if (now < poll->due)
    return;
  poll->due = now + POLL_INTERVAL;
  url = g_strdup_printf ("http://%s:%u", info->address, info->port);
  if (!poll->load_busy)
    {
      poll->load_busy = true;
      poll->asked_at = now;
      gs_metric_add (GS_METRIC_LOADS_ASKED, 1);
      engine->load (engine->context, url, now + POLL_WAIT, on_load, poll);
    }
  if (poll->first && !poll->cache_busy)
    {
      poll->cache_busy = true;
      engine->cache_events (engine->context, url, poll->cache_after,
                            now + POLL_WAIT, on_cache, poll);
    }
  g_free (url);
}

static poll_t *
poll_of (gs_control_t *control, const char *name)
{
  poll_t *poll = g_hash_table_lookup (control->load.polls, name);

  if (poll != NULL)
    return poll;
  poll = g_new0 (poll_t, 1);
  poll->control = control;
  g_strlcpy (poll->name, name, sizeof poll->name);
  g_hash_table_insert (control->load.polls, poll->name, poll);
  return poll;
}

/* A poll with an open call keeps its memory until the answer.  */
static gboolean
is_over (gpointer name, gpointer value, gpointer context)
{
  const poll_t *poll = value;

  return !poll->seen && !poll->load_busy && !poll->cache_busy;
}

static void
choose_polls (gs_control_t *control, gs_time_t now)
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
    ((poll_t *)poll)->seen = false;
  while ((handle = gs_table_next (upstreams, handle)) != GS_HANDLE_NONE)
    {
      const gs_member_upstream_t *upstream = gs_table_get (upstreams, handle);
      const char *name = upstream->info.name;
      poll_t *chosen;

      if (upstream->info.kind != GS_UPSTREAM_ENGINE
          || !gs_membership_in_region (&control->board.members, upstream,
                                       control->options.settings->region)
          || (!gs_rendezvous_chosen (name, self, region, nodes, POLLERS)
              && !gs_placement_wire_acts (control, upstream->info.target)))
        continue;
      chosen = poll_of (control, name);
      chosen->seen = true;
      chosen->pass_on
          = gs_rendezvous_chosen (name, self, region, nodes, POLLERS);
      chosen->first = gs_rendezvous_chosen (name, self, region, nodes, 1);
      poll_upstream (control, now, &upstream->info, chosen);
    }
  g_hash_table_foreach_remove (control->load.polls, is_over, NULL);
}

/* The first poller passes a load on; the second does while nothing is heard
   of the first.  */
static bool
passes_on (const gs_control_t *control, gs_time_t now, const poll_t *poll)
{
  const gs_member_upstream_t *upstream
      = gs_membership_upstream (&control->board.members, poll->name);

  if (upstream == NULL || poll->first)
    return upstream != NULL;
  return now > upstream->passed_at + PASS_ON_AFTER;
}

static void
tell_loads (gs_control_t *control, gs_time_t now)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (gs_load_record_t));
  gs_frame_t frame = { .type = GS_FRAME_LOADS };
  GByteArray *packed = g_byte_array_new ();
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, control->load.polls);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      poll_t *poll = value;

      if (!poll->fresh || !passes_on (control, now, poll))
        continue;
      poll->fresh = false;
      poll->load.age_ms = (uint32_t)((now - poll->asked_at) / GS_MSEC);
      g_array_append_val (records, poll->load);
    }
  if (records->len > 0)
    {
      gs_loads_pack (packed, (gs_load_record_t *)records->data, records->len);
      frame.loads.records
          = (gs_bytes_t){ (const char *)packed->data, packed->len };
      gs_peer_attach (control->peer, &frame);
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
  choose_polls (control, now);
  if (now < control->load.send_due)
    return;
  control->load.send_due
      = now + gs_peer_heartbeat_interval (control->members.region->len);
  tell_loads (control, now);
}

static void
take_loads (gs_control_t *control, gs_time_t now,
            const gs_frame_loads_t *frame)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (gs_load_record_t));

  gs_loads_unpack (records, frame->records.data, frame->records.length);
  for (guint i = 0; i < records->len; i++)
    {
      const gs_load_record_t *record
          = &g_array_index (records, gs_load_record_t, i);
      gs_member_upstream_t *upstream = gs_membership_upstream_by_digest (
          &control->board.members, record->name_digest);

      if (upstream == NULL)
        continue;
      upstream->passed_at = now;
      put_load (control, now - record->age_ms * GS_MSEC, upstream, record);
    }
  g_array_unref (records);
}

static void
take_events (gs_control_t *control, const gs_frame_cache_events_t *frame)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (gs_cache_record_t));
  char name[GS_NAME_BYTES];
  gs_handle_t handle;

  gs_cache_unpack (records, frame->events.data, frame->events.length);
  if (frame->name.length < sizeof name)
    {
      memcpy (name, frame->name.data, frame->name.length);
      name[frame->name.length] = '\0';
      handle = handle_of (control, name);
      if (handle != GS_HANDLE_NONE)
        note_events (control, handle, (gs_cache_record_t *)records->data,
                     records->len, frame->first, frame->revision);
    }
  g_array_unref (records);
}

void
gs_load_wire_frame (gs_control_t *control, gs_time_t now,
                    const gs_frame_t *frame)
{
  if (frame->type == GS_FRAME_LOADS)
    take_loads (control, now, &frame->loads);
  else
    take_events (control, &frame->cache_events);
}
