#include "slope_roles.h"

#include "garnetstack/backup.h"
#include "garnetstack/frame.h"
#include "garnetstack/prefix.h"
#include "garnetstack/request.h"
#include "garnetstack/router.h"

#include <string.h>

#define BODY_BYTES 4096
#define PROMPT_TOKENS 1024
#define TOKENS_MAX 450
#define TOKEN "w0123456 "
#define BACKUP_PEER 7
#define DEADLINE (60 * GS_SEC)

static gs_request_spec_t
make_spec (void)
{
  gs_request_spec_t spec = { .kind = GS_REQUEST_GENERATE,
                             .idempotent = true,
                             .account = "shop-large",
                             .target = GS_SLOPE_TARGET,
                             .deadline = DEADLINE,
                             .prompt_tokens = PROMPT_TOKENS,
                             .tokens_max = TOKENS_MAX };

  spec.body = g_bytes_new_take (g_malloc0 (BODY_BYTES), BODY_BYTES);
  return spec;
}

static gs_status_t
port_admit (void *context, gs_time_t now, const gs_request_spec_t *spec,
            gs_time_t *retry_after)
{
  return GS_OK;
}

static gs_status_t
port_route (void *context, gs_time_t now, gs_request_id_t id,
            const gs_request_spec_t *spec, uint32_t attempt, const char *avoid,
            gs_route_t *out)
{
  g_strlcpy (out->upstream, "engine-1", sizeof out->upstream);
  g_strlcpy (out->url, "http://127.0.0.1:1", sizeof out->url);
  return GS_OK;
}

static void
port_route_done (void *context, gs_time_t now, const char *upstream,
                 gs_status_t status)
{
}

static uint64_t
port_backup (void *context, gs_request_id_t id, uint64_t avoid)
{
  return BACKUP_PEER;
}

static void
step_core (gs_request_core_t *core, gs_time_t now, gs_request_event_t event,
           gs_request_id_t id, GArray *actions)
{
  event.id = id;
  g_array_set_size (actions, 0);
  gs_request_core_step (core, now, &event, actions, NULL);
}

/* @return a core with n requests dispatched to an upstream.
   @param ids receives their n identifiers  */
static gs_request_core_t *
make_core (uint32_t n, gs_request_id_t *ids, GArray *actions)
{
  gs_request_port_t port = { .admit = port_admit,
                             .route = port_route,
                             .route_done = port_route_done,
                             .backup = port_backup };
  gs_request_core_t *core;

  gs_request_core_create (&core, 1, 0, &port);
  for (uint32_t i = 0; i < n; i++)
    {
      gs_request_spec_t spec = make_spec ();
      gs_request_event_t submit = { .type = GS_EVENT_SUBMIT, .spec = &spec };

      g_array_set_size (actions, 0);
      gs_request_core_step (core, 0, &submit, actions, &ids[i]);
      step_core (core, 0,
                 (gs_request_event_t){ .type = GS_EVENT_BACKUP_ACK,
                                       .peer = BACKUP_PEER },
                 ids[i], actions);
    }
  return core;
}

static gs_slope_sample_t
run_requests_open (uint32_t n)
{
  gs_request_id_t *ids = g_new (gs_request_id_t, n);
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (gs_request_action_t));
  size_t before = gs_heap_bytes ();
  gs_request_core_t *core = make_core (n, ids, actions);
  gs_slope_sample_t sample = { .memory = (double)(gs_heap_bytes () - before) };
  double start = gs_processor_usec ();

  for (unsigned i = 0; i < gs_slope_repeats; i++)
    step_core (core, i, (gs_request_event_t){ .type = GS_EVENT_TICK }, ids[0],
               actions);
  gs_slope_sample_finish (&sample, start);
  gs_request_core_destroy (core);
  g_array_unref (actions);
  g_free (ids);
  return sample;
}

static gs_slope_sample_t
run_core_tokens (uint32_t n)
{
  gs_request_id_t id;
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (gs_request_action_t));
  gs_request_core_t *core = make_core (1, &id, actions);
  gs_request_event_t chunk = { .type = GS_EVENT_CHUNK,
                               .attempt = 1,
                               .data = TOKEN,
                               .length = sizeof TOKEN - 1 };
  gs_slope_sample_t sample = { 0 };
  size_t before = gs_heap_bytes ();
  double start = gs_processor_usec ();

  for (uint32_t i = 0; i < n; i++)
    {
      chunk.offset = i;
      step_core (core, i, chunk, id, actions);
    }
  sample.usec = gs_processor_usec () - start;
  sample.memory = (double)(gs_heap_bytes () - before);
  gs_request_core_destroy (core);
  g_array_unref (actions);
  return sample;
}

/* Encodes the frame that copies a request with its whole text to the backup
   node.  @return length of the frame.  */
static size_t
encode_backup_put (const gs_request_action_t *action, GByteArray *bytes)
{
  gs_frame_t frame = { .type = GS_FRAME_BACKUP_PUT };
  gs_frame_backup_put_t *put = &frame.backup_put;
  gsize length;
  const char *body = g_bytes_get_data (action->spec->body, &length);

  put->incarnation = action->id.incarnation;
  put->sequence = action->id.sequence;
  put->remaining_usec = DEADLINE;
  put->account = gs_bytes_from_text (action->spec->account);
  put->target = gs_bytes_from_text (action->spec->target);
  put->path = gs_bytes_from_text (action->spec->path);
  put->key = gs_bytes_from_text (action->spec->key);
  put->method = gs_bytes_from_text (action->spec->method);
  put->upstream = gs_bytes_from_text (action->progress.route.upstream);
  put->url = gs_bytes_from_text (action->progress.route.url);
  put->body = (gs_bytes_t){ body, length };
  put->text
      = (gs_bytes_t){ action->progress.text, action->progress.text_length };
  put->ends = (gs_bytes_t){ (const char *)action->progress.ends,
                            action->progress.tokens * sizeof (uint32_t) };
  g_byte_array_set_size (bytes, 0);
  gs_frame_encode (bytes, &frame);
  return bytes->len;
}

static gs_slope_sample_t
run_handover (uint32_t n)
{
  gs_request_id_t *ids = g_new (gs_request_id_t, n);
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (gs_request_action_t));
  GByteArray *bytes = g_byte_array_new ();
  gs_request_core_t *core = make_core (n, ids, actions);
  gs_slope_sample_t sample = { 0 };
  double start;

  for (uint32_t i = 0; i < n; i++)
    for (uint32_t token = 0; token < TOKENS_MAX / 2; token++)
      step_core (core, 0,
                 (gs_request_event_t){ .type = GS_EVENT_CHUNK,
                                       .attempt = 1,
                                       .offset = token,
                                       .data = TOKEN,
                                       .length = sizeof TOKEN - 1 },
                 ids[i], actions);
  start = gs_processor_usec ();
  step_core (
      core, 1,
      (gs_request_event_t){ .type = GS_EVENT_LEAVE, .deadline = DEADLINE },
      ids[0], actions);
  for (guint i = 0; i < actions->len; i++)
    {
      const gs_request_action_t *action
          = &g_array_index (actions, gs_request_action_t, i);

      if (action->type == GS_ACTION_BACKUP_PUT)
        sample.wire += (double)encode_backup_put (action, bytes);
    }
  sample.usec = gs_processor_usec () - start;
  gs_request_core_destroy (core);
  g_byte_array_unref (bytes);
  g_array_unref (actions);
  g_free (ids);
  return sample;
}

static gs_slope_sample_t
run_backup_records (uint32_t n)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (gs_backup_action_t));
  gs_request_progress_t progress = { .attempt = 1 };
  size_t before = gs_heap_bytes ();
  gs_backup_core_t *core;
  gs_slope_sample_t sample = { 0 };
  double start;

  gs_backup_core_create (&core);
  start = gs_processor_usec ();
  for (uint32_t i = 0; i < n; i++)
    {
      gs_request_spec_t spec = make_spec ();
      gs_backup_event_t event = { .type = GS_BACKUP_PUT,
                                  .id = { 1, i },
                                  .peer = 1,
                                  .spec = &spec,
                                  .progress = &progress };

      g_array_set_size (actions, 0);
      gs_backup_core_step (core, 0, &event, actions);
    }
  sample.usec = gs_processor_usec () - start;
  sample.memory = (double)(gs_heap_bytes () - before);
  gs_backup_core_destroy (core);
  g_array_unref (actions);
  return sample;
}

static gs_slope_sample_t
run_backup_bytes (uint32_t n)
{
  gs_request_spec_t spec = make_spec ();
  GByteArray *bytes = g_byte_array_new ();
  gs_request_action_t action = { .id = { 1, 1 }, .spec = &spec };
  gs_slope_sample_t sample = { 0 };
  double start;

  g_bytes_unref (spec.body);
  spec.body = g_bytes_new_take (g_malloc0 (n), n);
  start = gs_processor_usec ();
  for (unsigned i = 0; i < gs_slope_repeats; i++)
    {
      gs_frame_t out;
      gs_frame_memory_t *memory;

      sample.wire = (double)encode_backup_put (&action, bytes);
      gs_frame_decode (&out, &memory,
                       (char *)bytes->data + GS_FRAME_HEADER_BYTES,
                       bytes->len - GS_FRAME_HEADER_BYTES);
      gs_frame_memory_free (memory);
    }
  gs_slope_sample_finish (&sample, start);
  g_byte_array_unref (bytes);
  g_bytes_unref (spec.body);
  return sample;
}

static gs_slope_sample_t
run_router (uint32_t n)
{
  gs_snapshot_t *snapshot = gs_slope_snapshot (0, n);
  gs_router_options_t options = GS_ROUTER_OPTIONS_INIT;
  gs_route_query_t query = GS_ROUTE_QUERY_INIT;
  gs_route_decision_t decision;
  gs_router_t *router;
  size_t before = gs_heap_bytes ();
  gs_slope_sample_t sample = { 0 };
  double start;

  options.data_centre = "dc-0";
  query.target = GS_SLOPE_TARGET;
  query.prompt_tokens = PROMPT_TOKENS;
  query.output_tokens = TOKENS_MAX;
  query.first_token_deadline = 530 * GS_MSEC;
  gs_router_create (&router, &options);
  gs_router_refresh (router, 0, snapshot);
  sample.memory = (double)(gs_heap_bytes () - before);
  start = gs_processor_usec ();
  for (unsigned i = 0; i < gs_slope_repeats; i++)
    {
      gs_router_decide (router, i, &query, &decision);
      gs_router_commit (router, i, &query, &decision);
      gs_router_attempt_end (
          router, i,
          gs_router_upstream_name (router,
                                   decision.candidates[decision.chosen].slot),
          GS_OK);
    }
  gs_slope_sample_finish (&sample, start);
  gs_router_destroy (router);
  gs_snapshot_free (snapshot);
  return sample;
}

static gs_slope_sample_t
run_prefix_blocks (uint32_t n)
{
  gs_prefix_index_t *index;
  gs_slope_sample_t sample = { 0 };
  double start;

  gs_prefix_index_create (&index, n, 1);
  sample.memory = (double)gs_prefix_index_bytes (index);
  start = gs_processor_usec ();
  for (uint32_t i = 0; i < n; i++)
    gs_prefix_index_add (index, i, 0, gs_prefix_chain_next (i, "block", 5));
  sample.usec = gs_processor_usec () - start;
  gs_prefix_index_destroy (index);
  return sample;
}

const gs_slope_role_t gs_traffic_roles[] = {
  { "requests_open", "requests in flight", "tick", 32, 6, run_requests_open },
  { "core_tokens", "tokens", "answer", 64, 6, run_core_tokens },
  { "handover", "requests in flight", "handover", 32, 6, run_handover },
  { "backup_records", "records", "filling", 64, 6, run_backup_records },
  { "backup_bytes", "body bytes", "record", 1024, 6, run_backup_bytes },
  { "router_upstreams", "upstreams", "decision", 64, 6, run_router },
  { "prefix_blocks", "blocks", "filling", 4096, 6, run_prefix_blocks },
  { NULL, NULL, NULL, 0, 0, NULL },
};
