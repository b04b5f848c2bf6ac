#include "fleet_private.h"

#include "garnetstack/frame.h"
#include "node/peer.h"
#include "wire/digest.h"

#include <string.h>
#include <time.h>

#define STEADY_STATE_START (4 * GS_SEC)
#define CHANGE_TIME (8 * GS_SEC)
#define LATENCY_IN_REGION (1 * GS_MSEC)
#define LATENCY_BETWEEN_REGIONS (30 * GS_MSEC)
#define LATENCY_STORE (5 * GS_MSEC)
#define CALL_TIMEOUT (2 * GS_SEC)
#define NOTICES_WAIT_TIMEOUT (5 * GS_SEC)
#define POLLERS_PER_UPSTREAM 2
#define NOTICE_NAME "engine-1"
/* IP and TCP headers, with time stamps, of a segment and of the segment that
   acknowledges it.  */
#define HEADER_BYTES 104

static void run_actions (fleet_t *fleet, fleet_node_t *node);

static uint16_t
node_index (const fleet_t *fleet, const fleet_node_t *node)
{
  return (uint16_t)(node - fleet->nodes);
}

static gs_config_id_t
config_id (uint64_t generation)
{
  return (gs_config_id_t){ generation, generation };
}

void
fleet_event_schedule (fleet_t *fleet, gs_time_t at, const fleet_event_t *event)
{
  gs_time_t msec = at / GS_MSEC;

  if (msec > FLEET_DURATION_MSEC)
    return;
  if (fleet->buckets[msec] == NULL)
    fleet->buckets[msec] = g_array_new (FALSE, FALSE, sizeof (fleet_event_t));
  g_array_append_vals (fleet->buckets[msec], event, 1);
}

static bool
is_lost (fleet_t *fleet)
{
  return gs_rng_unit (&fleet->rng) < fleet->options.loss;
}

static bool
is_steady_state (const fleet_t *fleet)
{
  return fleet->now >= STEADY_STATE_START && fleet->now < CHANGE_TIME;
}

static size_t
frame_bytes (const gs_frame_t *frame)
{
  GByteArray *bytes = g_byte_array_new ();
  size_t length;

  gs_frame_encode (bytes, frame);
  length = bytes->len;
  g_byte_array_unref (bytes);
  return length;
}

static void
count_frames (const fleet_t *fleet, fleet_node_t *node, size_t bytes,
              unsigned count)
{
  if (!is_steady_state (fleet))
    return;
  node->bytes += bytes * count;
  node->frames += count;
}

static void
send_event (fleet_t *fleet, fleet_node_t *from, uint16_t to,
            fleet_event_t event, size_t bytes)
{
  bool between_regions = strcmp (from->region, fleet->nodes[to].region) != 0;

  count_frames (fleet, from, bytes, 1);
  if (is_lost (fleet))
    return;
  if (between_regions && fleet->options.partitioned
      && (strcmp (from->region, "r0") == 0
          || strcmp (fleet->nodes[to].region, "r0") == 0))
    return;
  event.from = node_index (fleet, from);
  event.to = to;
  fleet_event_schedule (
      fleet,
      fleet->now
          + (between_regions ? LATENCY_BETWEEN_REGIONS : LATENCY_IN_REGION),
      &event);
}

static void
send_heartbeat (fleet_t *fleet, fleet_node_t *node, uint16_t to)
{
  gs_frame_t frame = { .type = GS_FRAME_HEARTBEAT };
  fleet_event_t event = { .kind = EVENT_HEARTBEAT };

  frame.heartbeat.sequence = (uint64_t)fleet->now / GS_MSEC;
  frame.heartbeat.echo = frame.heartbeat.sequence;
  frame.heartbeat.generation = node->config.current.generation;
  frame.heartbeat.digest = UINT64_MAX;
  frame.heartbeat.list_revision = 100000;
  frame.heartbeat.notice_digest = UINT64_MAX;
  event.generation = node->config.current.generation;
  event.notice_digest = node->members.notice_digest;
  send_event (fleet, node, to, event, frame_bytes (&frame));
}

static void
send_notice (fleet_t *fleet, fleet_node_t *node, uint16_t to)
{
  gs_frame_t frame = { .type = GS_FRAME_NOTICE };
  fleet_event_t event = { .kind = EVENT_NOTICE };

  frame.notice.name = gs_bytes_from_text (NOTICE_NAME);
  frame.notice.remaining_ms = 30000;
  send_event (fleet, node, to, event, frame_bytes (&frame));
}

static void
receive_notice (fleet_t *fleet, fleet_node_t *node, bool forward)
{
  gs_time_t *time = &fleet->out->notice_times[node_index (fleet, node)];

  if (!gs_membership_notice_add (&node->members, fleet->now, NOTICE_NAME,
                                 fleet->now + 30 * GS_SEC))
    return;
  *time = fleet->now - CHANGE_TIME;
  for (guint i = 0; forward && i < node->peers->len; i++)
    send_notice (fleet, node, g_array_index (node->peers, uint16_t, i));
}

/* Starts a call to the store.  The call completes after its wait and the
   latency, or fails after CALL_TIMEOUT.  */
static void
start_store_call (fleet_t *fleet, fleet_node_t *node, fleet_event_kind_t kind,
                  gs_time_t wait)
{
  fleet_event_t event = { .kind = kind, .to = node_index (fleet, node) };

  fleet->store_calls += is_steady_state (fleet);
  fleet->store_calls_by_second[fleet->now / GS_SEC]++;
  event.call_id = ++node->store_call_id;
  event.failed = fleet->options.store_down || is_lost (fleet);
  node->watch_open = kind == EVENT_WATCH_DONE && !event.failed;
  fleet_event_schedule (
      fleet, fleet->now + (event.failed ? CALL_TIMEOUT : wait + LATENCY_STORE),
      &event);
}

/* Sends heartbeats with the current generation to random peers.  */
static void
announce (fleet_t *fleet, fleet_node_t *node)
{
  guint first = node->peers->len > 0
                    ? (guint)gs_rng_below (&fleet->rng, node->peers->len)
                    : 0;

  for (guint i = 0; i < MIN (GS_CONFIG_FANOUT, node->peers->len); i++)
    send_heartbeat (
        fleet, node,
        g_array_index (node->peers, uint16_t, (first + i) % node->peers->len));
}

static void
send_pull (fleet_t *fleet, fleet_node_t *node, uint64_t peer)
{
  gs_frame_t frame = { .type = GS_FRAME_CATALOGUE_PULL };
  fleet_event_t event = { .kind = EVENT_PULL };

  send_event (fleet, node, (uint16_t)(peer - 1), event, frame_bytes (&frame));
}

static void
run_action (fleet_t *fleet, fleet_node_t *node,
            const gs_config_action_t *action)
{
  switch (action->kind)
    {
    case GS_CONFIG_READ:
      start_store_call (fleet, node, EVENT_READ_DONE, 0);
      break;
    case GS_CONFIG_WATCH:
      start_store_call (fleet, node, EVENT_WATCH_DONE,
                        GS_CONFIG_WATCH_TIMEOUT);
      break;
    case GS_CONFIG_WRITE_BACK:
      start_store_call (fleet, node, EVENT_WRITE_DONE, 0);
      break;
    case GS_CONFIG_ADOPT:
      if (node->config.current.generation == 2)
        fleet->out->config_times[node_index (fleet, node)]
            = fleet->now - CHANGE_TIME;
      break;
    case GS_CONFIG_ANNOUNCE:
      announce (fleet, node);
      break;
    case GS_CONFIG_PULL:
      send_pull (fleet, node, action->peer);
      break;
    }
}

static void
run_actions (fleet_t *fleet, fleet_node_t *node)
{
  GArray *actions = fleet->actions;

  for (guint i = 0; i < actions->len; i++)
    {
      gs_config_action_t action
          = g_array_index (actions, gs_config_action_t, i);

      run_action (fleet, node, &action);
    }
  g_array_set_size (actions, 0);
}

static void
start_notices_call (fleet_t *fleet, fleet_node_t *node)
{
  fleet_event_t event
      = { .kind = EVENT_NOTICES_DONE, .to = node_index (fleet, node) };

  fleet->list_calls += is_steady_state (fleet);
  node->notices_open = true;
  event.failed = is_lost (fleet);
  event.call_id = ++node->notices_call_id;
  fleet_event_schedule (fleet,
                        fleet->now
                            + (event.failed
                                   ? NOTICES_WAIT_TIMEOUT + CALL_TIMEOUT
                               : fleet->notice_issued ? LATENCY_STORE
                                                      : NOTICES_WAIT_TIMEOUT),
                        &event);
}

static void
send_loads (fleet_t *fleet, fleet_node_t *node)
{
  gs_load_record_t records[64];
  gs_frame_t frame = { .type = GS_FRAME_LOADS };
  GByteArray *packed = g_byte_array_new ();

  for (unsigned i = 0; i < MIN (node->forwarded_loads, 64); i++)
    records[i] = (gs_load_record_t){ UINT32_MAX, 8, 3, 4000, 16, 100 };
  gs_loads_pack (packed, records, MIN (node->forwarded_loads, 64));
  frame.loads.records
      = (gs_bytes_t){ (const char *)packed->data, packed->len };
  /* Load digests share the segments of heartbeats, so that they add no
     headers.  */
  if (is_steady_state (fleet))
    node->bytes += frame_bytes (&frame) * node->region_peers;
  g_byte_array_unref (packed);
}

static void
handle_tick (fleet_t *fleet, fleet_node_t *node)
{
  fleet_event_t event = { .kind = EVENT_TICK, .to = node_index (fleet, node) };
  bool polls = node->watcher || fleet->options.independent;

  fleet_event_schedule (fleet, fleet->now + FLEET_TICK_INTERVAL, &event);
  gs_config_watcher_set (&node->config, fleet->now, polls);
  gs_config_tick (&node->config, fleet->now, fleet->actions);
  run_actions (fleet, node);
  if (polls && !node->notices_open && fleet->now >= node->notices_due)
    start_notices_call (fleet, node);
  if (fleet->options.independent)
    return;
  if (fleet->now < node->heartbeat_due)
    return;
  node->heartbeat_due
      = fleet->now + gs_peer_heartbeat_interval (node->peers->len);
  for (guint i = 0; i < node->peers->len; i++)
    send_heartbeat (fleet, node, g_array_index (node->peers, uint16_t, i));
  if (node->forwarded_loads > 0)
    send_loads (fleet, node);
}

static void
receive_heartbeat (fleet_t *fleet, fleet_node_t *node,
                   const fleet_event_t *event)
{
  const fleet_node_t *from = &fleet->nodes[event->from];

  gs_membership_heartbeat_receive (&node->members, fleet->now, from->name,
                                   event->from + 1,
                                   config_id (event->generation), false);
  gs_config_announcement_receive (&node->config, fleet->now, event->from + 1,
                                  config_id (event->generation),
                                  fleet->actions);
  run_actions (fleet, node);
  if (event->notice_digest != node->members.notice_digest
      && node->members.notice_digest != 0)
    send_notice (fleet, node, event->from);
}

static void
complete_watch (fleet_t *fleet, fleet_node_t *node, const fleet_event_t *event)
{
  bool changed = fleet->store_generation > node->config.revision;

  if (event->call_id != node->store_call_id)
    return;
  node->watch_open = false;
  gs_config_watch_done (&node->config, fleet->now,
                        event->failed ? GS_ETIMEOUT : GS_OK,
                        fleet->store_generation, changed, fleet->actions);
  run_actions (fleet, node);
}

void
fleet_text_receive (fleet_t *fleet, fleet_node_t *node, uint64_t generation)
{
  gs_config_text_receive (&node->config, fleet->now, config_id (generation),
                          fleet->actions);
  run_actions (fleet, node);
}

static void
send_text (fleet_t *fleet, fleet_node_t *node, uint16_t to)
{
  fleet_event_t event = { .kind = EVENT_TEXT };

  event.generation = node->config.current.generation;
  send_event (fleet, node, to, event, 0);
}

static void
complete_notices_call (fleet_t *fleet, fleet_node_t *node,
                       const fleet_event_t *event)
{
  if (event->call_id != node->notices_call_id)
    return;
  node->notices_open = false;
  node->notices_due = fleet->now + (event->failed ? GS_SEC / 2 : 50 * GS_MSEC);
  if (!event->failed && fleet->notice_issued)
    receive_notice (fleet, node, !fleet->options.independent);
}

static void
handle_event (fleet_t *fleet, const fleet_event_t *event)
{
  fleet_node_t *node = &fleet->nodes[event->to];

  switch (event->kind)
    {
    case EVENT_TICK:
      handle_tick (fleet, node);
      break;
    case EVENT_HEARTBEAT:
      receive_heartbeat (fleet, node, event);
      break;
    case EVENT_PULL:
      send_text (fleet, node, event->from);
      break;
    case EVENT_TEXT:
      fleet_text_receive (fleet, node, event->generation);
      break;
    case EVENT_NOTICE:
      receive_notice (fleet, node, false);
      break;
    case EVENT_READ_DONE:
      gs_config_read_done (
          &node->config, fleet->now, event->failed ? GS_ETIMEOUT : GS_OK,
          fleet->store_generation, config_id (fleet->store_generation),
          fleet->actions);
      run_actions (fleet, node);
      break;
    case EVENT_WATCH_DONE:
      complete_watch (fleet, node, event);
      break;
    case EVENT_WRITE_DONE:
      gs_config_write_done (&node->config, fleet->now,
                            event->failed ? GS_ETIMEOUT : GS_OK,
                            fleet->store_generation);
      break;
    case EVENT_NOTICES_DONE:
      complete_notices_call (fleet, node, event);
      break;
    }
}

/* One node writes a generation to the store and the cloud issues a notice.
   Open watches and open calls for notices complete.  */
static void
apply_changes (fleet_t *fleet)
{
  fleet->notice_issued = true;
  if (!fleet->options.store_down)
    {
      fleet->store_generation = 2;
      fleet_text_receive (fleet, &fleet->nodes[fleet->options.nodes - 1], 2);
    }
  for (unsigned i = 0; i < fleet->options.nodes; i++)
    {
      fleet_node_t *node = &fleet->nodes[i];
      fleet_event_t event = { .to = (uint16_t)i };

      event.kind = EVENT_WATCH_DONE;
      event.call_id = node->store_call_id;
      if (node->watch_open)
        fleet_event_schedule (fleet, fleet->now + LATENCY_STORE, &event);
      event.kind = EVENT_NOTICES_DONE;
      event.call_id = node->notices_call_id;
      event.failed = is_lost (fleet);
      if (node->notices_open && !event.failed)
        fleet_event_schedule (fleet, fleet->now + LATENCY_STORE, &event);
    }
}

static void
compute_result (fleet_t *fleet, double cpu)
{
  fleet_result_t *out = fleet->out;
  const fleet_options_t *options = &fleet->options;
  double steady_sec
      = (double)(CHANGE_TIME - STEADY_STATE_START) / (double)GS_SEC;
  uint64_t frames = 0;
  unsigned watchers
      = options->independent
            ? options->nodes
            : MIN (options->regions * GS_CONFIG_WATCHERS_MAX, options->nodes);

  for (unsigned i = 0; i < options->nodes; i++)
    {
      const fleet_node_t *node = &fleet->nodes[i];
      double bytes = (double)node->bytes / steady_sec;
      double wire = bytes + (double)node->frames * HEADER_BYTES / steady_sec;

      frames += node->frames;
      out->bytes_per_sec = MAX (out->bytes_per_sec, bytes);
      out->wire_bytes_per_sec = MAX (out->wire_bytes_per_sec, wire);
    }
  out->frames_per_sec = (double)frames / steady_sec / options->nodes;
  out->store_reads_per_sec = (double)fleet->store_calls / steady_sec;
  /* Watchers read the VM list every second, all other nodes every minute.  */
  out->list_calls_per_sec = (double)fleet->list_calls / steady_sec + watchers
                            + (options->nodes - watchers) / 60.0;
  out->upstream_calls_per_sec
      = options->upstreams
        * (double)(options->independent ? options->nodes
                                        : POLLERS_PER_UPSTREAM);
  for (size_t i = 0; i < G_N_ELEMENTS (fleet->store_calls_by_second); i++)
    out->store_peak_per_sec
        = MAX (out->store_peak_per_sec, fleet->store_calls_by_second[i]);
  out->cpu_share = cpu / (FLEET_DURATION_MSEC / 1000.0) / options->nodes;
}

static void
free_fleet (fleet_t *fleet)
{
  for (unsigned i = 0; i < fleet->options.nodes; i++)
    {
      g_array_unref (fleet->nodes[i].peers);
      gs_membership_clear (&fleet->nodes[i].members);
    }
  for (int i = 0; i <= FLEET_DURATION_MSEC; i++)
    if (fleet->buckets[i] != NULL)
      g_array_unref (fleet->buckets[i]);
  g_array_unref (fleet->actions);
  g_free (fleet->nodes);
  g_free (fleet);
}

void
fleet_run (fleet_result_t *out, const fleet_options_t *options)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);
  clock_t start;

  *out = (fleet_result_t){ 0 };
  out->config_times = g_new (gs_time_t, options->nodes);
  out->notice_times = g_new (gs_time_t, options->nodes);
  fleet->options = *options;
  fleet->out = out;
  fleet->nodes = g_new0 (fleet_node_t, options->nodes);
  fleet->actions = g_array_new (FALSE, FALSE, sizeof (gs_config_action_t));
  fleet->store_generation = 1;
  gs_rng_seed (&fleet->rng, options->seed);
  fleet_nodes_name (fleet);
  for (unsigned i = 0; i < options->nodes; i++)
    {
      out->config_times[i] = FLEET_NEVER;
      out->notice_times[i] = FLEET_NEVER;
      fleet_node_start (fleet, &fleet->nodes[i]);
    }
  start = clock ();
  for (int msec = 0; msec <= FLEET_DURATION_MSEC; msec++)
    {
      fleet->now = msec * GS_MSEC;
      if (fleet->now == CHANGE_TIME)
        apply_changes (fleet);
      for (guint i = 0;
           fleet->buckets[msec] != NULL && i < fleet->buckets[msec]->len; i++)
        {
          fleet_event_t event
              = g_array_index (fleet->buckets[msec], fleet_event_t, i);

          handle_event (fleet, &event);
        }
    }
  compute_result (fleet, (double)(clock () - start) / CLOCKS_PER_SEC);
  free_fleet (fleet);
}

void
fleet_result_free (fleet_result_t *result)
{
  g_free (result->config_times);
  g_free (result->notice_times);
}
