#include "fleet_private.h"

#include "garnetstack/frame.h"
#include "node/peer.h"
#include "wire/digest.h"

#include <string.h>
#include <time.h>

#define REST_FROM (4 * GS_SEC)
#define CHANGE_AT (8 * GS_SEC)
#define LATENCY_REGION (1 * GS_MSEC)
#define LATENCY_FAR (30 * GS_MSEC)
#define LATENCY_STORE (5 * GS_MSEC)
#define CALL_WAIT (2 * GS_SEC)
#define NOTICES_WAIT (5 * GS_SEC)
#define POLLERS 2
#define NOTICE_NAME "engine-1"
/* IP and TCP headers with time stamps of a segment, and of the segment that
   acknowledges it.  */
#define HEADER_BYTES 104

static void run_actions (fleet_t *fleet, node_t *node);

static uint16_t
index_of (const fleet_t *fleet, const node_t *node)
{
  return (uint16_t)(node - fleet->nodes);
}

static gs_config_id_t
mark_of (uint64_t generation)
{
  return (gs_config_id_t){ generation, generation };
}

void
fleet_schedule (fleet_t *fleet, gs_time_t at, const event_t *event)
{
  gs_time_t msec = at / GS_MSEC;

  if (msec > FLEET_MSEC_MAX)
    return;
  if (fleet->buckets[msec] == NULL)
    fleet->buckets[msec] = g_array_new (FALSE, FALSE, sizeof (event_t));
  g_array_append_vals (fleet->buckets[msec], event, 1);
}

static bool
lost (fleet_t *fleet)
{
  return gs_rng_unit (&fleet->rng) < fleet->options.loss;
}

static bool
at_rest (const fleet_t *fleet)
{
  return fleet->now >= REST_FROM && fleet->now < CHANGE_AT;
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
count_frames (const fleet_t *fleet, node_t *node, size_t bytes, unsigned count)
{
  if (!at_rest (fleet))
    return;
  node->bytes += bytes * count;
  node->frames += count;
}

static void
send (fleet_t *fleet, node_t *from, uint16_t to, event_t event, size_t bytes)
{
  bool far = strcmp (from->region, fleet->nodes[to].region) != 0;

  count_frames (fleet, from, bytes, 1);
  if (lost (fleet))
    return;
  if (far && fleet->options.cut_off
      && (strcmp (from->region, "r0") == 0
          || strcmp (fleet->nodes[to].region, "r0") == 0))
    return;
  event.from = index_of (fleet, from);
  event.to = to;
  fleet_schedule (fleet, fleet->now + (far ? LATENCY_FAR : LATENCY_REGION),
                  &event);
}

static void
send_heartbeat (fleet_t *fleet, node_t *node, uint16_t to)
{
  gs_frame_t frame = { .type = GS_FRAME_HEARTBEAT };
  event_t event = { .kind = EVENT_HEARTBEAT };

  frame.heartbeat.sequence = (uint64_t)fleet->now / GS_MSEC;
  frame.heartbeat.echo = frame.heartbeat.sequence;
  frame.heartbeat.generation = node->config.current.generation;
  frame.heartbeat.digest = UINT64_MAX;
  frame.heartbeat.list_revision = 100000;
  frame.heartbeat.notice_digest = UINT64_MAX;
  event.generation = node->config.current.generation;
  event.notice_digest = node->members.notice_digest;
  send (fleet, node, to, event, frame_bytes (&frame));
}

static void
send_notice (fleet_t *fleet, node_t *node, uint16_t to)
{
  gs_frame_t frame = { .type = GS_FRAME_NOTICE };
  event_t event = { .kind = EVENT_NOTICE };

  frame.notice.name = gs_bytes_from_text (NOTICE_NAME);
  frame.notice.remaining_ms = 30000;
  send (fleet, node, to, event, frame_bytes (&frame));
}

static void
take_notice (fleet_t *fleet, node_t *node, bool pass_on)
{
  gs_time_t *time = &fleet->out->notice_times[index_of (fleet, node)];

  if (!gs_membership_notice_add (&node->members, fleet->now, NOTICE_NAME,
                                 fleet->now + 30 * GS_SEC))
    return;
  *time = fleet->now - CHANGE_AT;
  for (guint i = 0; pass_on && i < node->peers->len; i++)
    send_notice (fleet, node, g_array_index (node->peers, uint16_t, i));
}

/* A call to the store: answered after the latency, or not at all.  */
static void
call_store (fleet_t *fleet, node_t *node, event_kind_t kind, gs_time_t wait)
{
  event_t event = { .kind = kind, .to = index_of (fleet, node) };

  fleet->store_calls += at_rest (fleet);
  fleet->calls_in_second[fleet->now / GS_SEC]++;
  event.token = ++node->token;
  event.failed = fleet->options.store_down || lost (fleet);
  node->watch_open = kind == EVENT_WATCH && !event.failed;
  fleet_schedule (
      fleet, fleet->now + (event.failed ? CALL_WAIT : wait + LATENCY_STORE),
      &event);
}

static void
announce (fleet_t *fleet, node_t *node)
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
pull (fleet_t *fleet, node_t *node, uint64_t peer)
{
  gs_frame_t frame = { .type = GS_FRAME_CATALOGUE_PULL };
  event_t event = { .kind = EVENT_PULL };

  send (fleet, node, (uint16_t)(peer - 1), event, frame_bytes (&frame));
}

static void
run_action (fleet_t *fleet, node_t *node, const gs_config_action_t *action)
{
  switch (action->kind)
    {
    case GS_CONFIG_READ:
      call_store (fleet, node, EVENT_READ, 0);
      break;
    case GS_CONFIG_WATCH:
      call_store (fleet, node, EVENT_WATCH, GS_CONFIG_WATCH_TIMEOUT);
      break;
    case GS_CONFIG_WRITE_BACK:
      call_store (fleet, node, EVENT_WRITTEN, 0);
      break;
    case GS_CONFIG_ADOPT:
      if (node->config.current.generation == 2)
        fleet->out->config_times[index_of (fleet, node)]
            = fleet->now - CHANGE_AT;
      break;
    case GS_CONFIG_ANNOUNCE:
      announce (fleet, node);
      break;
    case GS_CONFIG_PULL:
      pull (fleet, node, action->peer);
      break;
    }
}

static void
run_actions (fleet_t *fleet, node_t *node)
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
ask_notices (fleet_t *fleet, node_t *node)
{
  event_t event = { .kind = EVENT_NOTICES, .to = index_of (fleet, node) };

  fleet->list_calls += at_rest (fleet);
  node->notices_open = true;
  event.failed = lost (fleet);
  event.token = ++node->notices_token;
  fleet_schedule (fleet,
                  fleet->now
                      + (event.failed        ? NOTICES_WAIT + CALL_WAIT
                         : fleet->notice_out ? LATENCY_STORE
                                             : NOTICES_WAIT),
                  &event);
}

static void
send_loads (fleet_t *fleet, node_t *node)
{
  gs_load_record_t records[64];
  gs_frame_t frame = { .type = GS_FRAME_LOADS };
  GByteArray *packed = g_byte_array_new ();

  for (unsigned i = 0; i < MIN (node->loads, 64); i++)
    records[i] = (gs_load_record_t){ UINT32_MAX, 8, 3, 4000, 16, 100 };
  gs_loads_pack (packed, records, MIN (node->loads, 64));
  frame.loads.records
      = (gs_bytes_t){ (const char *)packed->data, packed->len };
  /* In the same segments as the heartbeats.  */
  if (at_rest (fleet))
    node->bytes += frame_bytes (&frame) * node->region_peers;
  g_byte_array_unref (packed);
}

static void
take_tick (fleet_t *fleet, node_t *node)
{
  event_t event = { .kind = EVENT_TICK, .to = index_of (fleet, node) };
  bool seeks = node->watcher || fleet->options.plain;

  fleet_schedule (fleet, fleet->now + FLEET_TICK, &event);
  gs_config_watcher_set (&node->config, fleet->now, seeks);
  gs_config_tick (&node->config, fleet->now, fleet->actions);
  run_actions (fleet, node);
  if (seeks && !node->notices_open && fleet->now >= node->notices_due)
    ask_notices (fleet, node);
  if (fleet->options.plain)
    return;
  if (fleet->now < node->heartbeat_due)
    return;
  node->heartbeat_due
      = fleet->now + gs_peer_heartbeat_interval (node->peers->len);
  for (guint i = 0; i < node->peers->len; i++)
    send_heartbeat (fleet, node, g_array_index (node->peers, uint16_t, i));
  if (node->loads > 0)
    send_loads (fleet, node);
}

static void
take_heartbeat (fleet_t *fleet, node_t *node, const event_t *event)
{
  const node_t *from = &fleet->nodes[event->from];

  gs_membership_heartbeat_receive (&node->members, fleet->now, from->name,
                                   event->from + 1,
                                   mark_of (event->generation), false);
  gs_config_announcement_receive (&node->config, fleet->now, event->from + 1,
                                  mark_of (event->generation), fleet->actions);
  run_actions (fleet, node);
  if (event->notice_digest != node->members.notice_digest
      && node->members.notice_digest != 0)
    send_notice (fleet, node, event->from);
}

static void
take_watch (fleet_t *fleet, node_t *node, const event_t *event)
{
  bool changed = fleet->store_generation > node->config.revision;

  if (event->token != node->token)
    return;
  node->watch_open = false;
  gs_config_watch_done (&node->config, fleet->now,
                        event->failed ? GS_ETIMEOUT : GS_OK,
                        fleet->store_generation, changed, fleet->actions);
  run_actions (fleet, node);
}

void
fleet_take_text (fleet_t *fleet, node_t *node, uint64_t generation)
{
  gs_config_text_receive (&node->config, fleet->now, mark_of (generation),
                          fleet->actions);
  run_actions (fleet, node);
}

static void
answer_pull (fleet_t *fleet, node_t *node, uint16_t to)
{
  event_t event = { .kind = EVENT_TEXT };

  event.generation = node->config.current.generation;
  send (fleet, node, to, event, 0);
}

static void
take_notices (fleet_t *fleet, node_t *node, const event_t *event)
{
  if (event->token != node->notices_token)
    return;
  node->notices_open = false;
  node->notices_due = fleet->now + (event->failed ? GS_SEC / 2 : 50 * GS_MSEC);
  if (!event->failed && fleet->notice_out)
    take_notice (fleet, node, !fleet->options.plain);
}

static void
take_event (fleet_t *fleet, const event_t *event)
{
  node_t *node = &fleet->nodes[event->to];

  switch (event->kind)
    {
    case EVENT_TICK:
      take_tick (fleet, node);
      break;
    case EVENT_HEARTBEAT:
      take_heartbeat (fleet, node, event);
      break;
    case EVENT_PULL:
      answer_pull (fleet, node, event->from);
      break;
    case EVENT_TEXT:
      fleet_take_text (fleet, node, event->generation);
      break;
    case EVENT_NOTICE:
      take_notice (fleet, node, false);
      break;
    case EVENT_READ:
      gs_config_read_done (&node->config, fleet->now,
                           event->failed ? GS_ETIMEOUT : GS_OK,
                           fleet->store_generation,
                           mark_of (fleet->store_generation), fleet->actions);
      run_actions (fleet, node);
      break;
    case EVENT_WATCH:
      take_watch (fleet, node, event);
      break;
    case EVENT_WRITTEN:
      gs_config_write_done (&node->config, fleet->now,
                            event->failed ? GS_ETIMEOUT : GS_OK,
                            fleet->store_generation);
      break;
    case EVENT_NOTICES:
      take_notices (fleet, node, event);
      break;
    }
}

/* The store accepts a generation by one node and the cloud sends a notice:
   whoever waits is answered.  */
static void
make_changes (fleet_t *fleet)
{
  fleet->notice_out = true;
  if (!fleet->options.store_down)
    {
      fleet->store_generation = 2;
      fleet_take_text (fleet, &fleet->nodes[fleet->options.nodes - 1], 2);
    }
  for (unsigned i = 0; i < fleet->options.nodes; i++)
    {
      node_t *node = &fleet->nodes[i];
      event_t event = { .to = (uint16_t)i };

      event.kind = EVENT_WATCH;
      event.token = node->token;
      if (node->watch_open)
        fleet_schedule (fleet, fleet->now + LATENCY_STORE, &event);
      event.kind = EVENT_NOTICES;
      event.token = node->notices_token;
      event.failed = lost (fleet);
      if (node->notices_open && !event.failed)
        fleet_schedule (fleet, fleet->now + LATENCY_STORE, &event);
    }
}

static void
summarise (fleet_t *fleet, double cpu)
{
  fleet_result_t *out = fleet->out;
  const fleet_options_t *options = &fleet->options;
  double rest = (double)(CHANGE_AT - REST_FROM) / (double)GS_SEC;
  uint64_t frames = 0;
  unsigned watchers
      = options->plain
            ? options->nodes
            : MIN (options->regions * GS_CONFIG_WATCHERS_MAX, options->nodes);

  for (unsigned i = 0; i < options->nodes; i++)
    {
      const node_t *node = &fleet->nodes[i];
      double bytes = (double)node->bytes / rest;
      double wire = bytes + (double)node->frames * HEADER_BYTES / rest;

      frames += node->frames;
      out->bytes_per_sec = MAX (out->bytes_per_sec, bytes);
      out->wire_bytes_per_sec = MAX (out->wire_bytes_per_sec, wire);
    }
  out->frames_per_sec = (double)frames / rest / options->nodes;
  out->store_reads_per_sec = (double)fleet->store_calls / rest;
  /* Watchers read the VM list each second, all others once a minute.  */
  out->list_calls_per_sec = (double)fleet->list_calls / rest + watchers
                            + (options->nodes - watchers) / 60.0;
  out->upstream_calls_per_sec
      = options->upstreams
        * (double)(options->plain ? options->nodes : POLLERS);
  for (size_t i = 0; i < G_N_ELEMENTS (fleet->calls_in_second); i++)
    out->store_peak_per_sec
        = MAX (out->store_peak_per_sec, fleet->calls_in_second[i]);
  out->cpu_share = cpu / (FLEET_MSEC_MAX / 1000.0) / options->nodes;
}

static void
clean_up (fleet_t *fleet)
{
  for (unsigned i = 0; i < fleet->options.nodes; i++)
    {
      g_array_unref (fleet->nodes[i].peers);
      gs_membership_clear (&fleet->nodes[i].members);
    }
  for (int i = 0; i <= FLEET_MSEC_MAX; i++)
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
  fleet->nodes = g_new0 (node_t, options->nodes);
  fleet->actions = g_array_new (FALSE, FALSE, sizeof (gs_config_action_t));
  fleet->store_generation = 1;
  gs_rng_seed (&fleet->rng, options->seed);
  fleet_name_nodes (fleet);
  for (unsigned i = 0; i < options->nodes; i++)
    {
      out->config_times[i] = FLEET_NEVER;
      out->notice_times[i] = FLEET_NEVER;
      fleet_start_node (fleet, &fleet->nodes[i]);
    }
  start = clock ();
  for (int msec = 0; msec <= FLEET_MSEC_MAX; msec++)
    {
      fleet->now = msec * GS_MSEC;
      if (fleet->now == CHANGE_AT)
        make_changes (fleet);
      for (guint i = 0;
           fleet->buckets[msec] != NULL && i < fleet->buckets[msec]->len; i++)
        {
          event_t event = g_array_index (fleet->buckets[msec], event_t, i);

          take_event (fleet, &event);
        }
    }
  summarise (fleet, (double)(clock () - start) / CLOCKS_PER_SEC);
  clean_up (fleet);
}

void
fleet_free (fleet_result_t *result)
{
  g_free (result->config_times);
  g_free (result->notice_times);
}
