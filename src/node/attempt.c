#include "node/worker_private.h"

#include <string.h>

#define PROGRESS_TIMEOUT (10 * GS_SEC)
#define KV_TRANSFER_TIMEOUT (2 * GS_SEC)
#define CANCEL_TIMEOUT (2 * GS_SEC)

/* An attempt in progress at an upstream.  */
typedef struct
{
  gs_worker_t *worker;
  gs_request_id_t id;
  uint32_t attempt;
  uint32_t next_offset;
  gs_route_observation_t observation; /* latencies, reported to the router */
  char upstream[GS_NAME_BYTES];
  char url[GS_URL_BYTES];
  gs_engine_stream_t *stream;     /* of an engine, otherwise NULL */
  gs_service_transfer_t *pending; /* of a service, otherwise NULL */
} attempt_t;

/* A transfer of a stream's KV cache from one engine to another.  */
typedef struct
{
  gs_worker_t *worker;
  gs_request_id_t id;
  uint32_t attempt;
  char stream[GS_STREAM_ID_TEXT_BYTES];
  char target_url[GS_URL_BYTES]; /* engine that receives it */
} kv_move_t;

void
attempt_free_all (gs_worker_t *worker)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, worker->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_free (value);
  g_hash_table_unref (worker->attempts);
}

static void
on_token (void *argument, uint32_t offset, const char *text, size_t length)
{
  attempt_t *attempt = argument;
  gs_request_event_t event = { .type = GS_EVENT_CHUNK };

  event.id = attempt->id;
  event.attempt = attempt->attempt;
  event.offset = offset;
  event.data = text;
  event.length = length;
  attempt->next_offset = offset + 1;
  if (attempt->observation.tokens++ == 0)
    attempt->observation.first_token_at = gs_clock_now ();
  worker_step (attempt->worker, &event);
}

/* Reports the attempt's latencies to the router and its end to the request
   core, then frees it.  @p event has the result; the rest is set here.  */
static void
end_attempt (attempt_t *attempt, gs_request_event_t *event)
{
  gs_worker_t *worker = attempt->worker;

  attempt->observation.ended_at = gs_clock_now ();
  gs_router_observe (worker->router, attempt->observation.ended_at,
                     &attempt->observation);
  if (g_hash_table_lookup (worker->attempts, &attempt->id) == attempt)
    g_hash_table_remove (worker->attempts, &attempt->id);
  event->type = GS_EVENT_END;
  event->id = attempt->id;
  event->attempt = attempt->attempt;
  event->offset = attempt->next_offset;
  worker_step (worker, event);
  g_free (attempt);
}

static void
on_engine_end (void *argument, const gs_engine_end_t *end)
{
  gs_request_event_t event
      = { .status = end->status, .http_status = end->http_status };

  event.content_type = "";
  end_attempt (argument, &event);
}

static void
on_service_end (void *argument, const gs_service_result_t *result)
{
  gs_request_event_t event
      = { .status = result->status, .http_status = result->http_status };

  event.content_type = result->content_type;
  event.data = result->body;
  event.length = result->length;
  end_attempt (argument, &event);
}

static gs_engine_mode_t
engine_mode (gs_attempt_mode_t mode)
{
  switch (mode)
    {
    case GS_ATTEMPT_MODE_RESUME:
      return GS_ENGINE_RESUME;
    case GS_ATTEMPT_MODE_MOVED:
      return GS_ENGINE_MOVED;
    case GS_ATTEMPT_MODE_PREFILL:
      return GS_ENGINE_PREFILL;
    default:
      return GS_ENGINE_NEW;
    }
}

static void
start_engine_stream (attempt_t *attempt, const gs_request_action_t *action,
                     const char *id)
{
  const gs_request_spec_t *spec = action->spec;
  gs_engine_port_t *port = &attempt->worker->engine;
  char stream[GS_STREAM_ID_TEXT_BYTES];
  gs_engine_call_t call = { .url = action->route.url,
                            .stream_id = stream,
                            .request_id = id,
                            .attempt = action->attempt,
                            .mode = engine_mode (action->mode),
                            .resume_from = action->offset,
                            .priority = spec->priority,
                            .deadline = spec->deadline };

  gs_stream_id_format (stream, action->id, action->progress.stream);
  call.body = g_bytes_get_data (spec->body, &call.body_length);
  if (action->mode == GS_ATTEMPT_MODE_PREFILL)
    {
      call.emitted = action->progress.text;
      call.emitted_length = action->progress.text_length;
    }
  call.progress_deadline = gs_clock_now () + PROGRESS_TIMEOUT;
  attempt->stream = port->generate (port->context, &call, on_token,
                                    on_engine_end, attempt);
}

static void
start_service_call (attempt_t *attempt, const gs_request_action_t *action,
                    const char *id)
{
  const gs_request_spec_t *spec = action->spec;
  gs_service_port_t *port = &attempt->worker->service;
  gs_service_call_t call = { .url = action->route.url,
                             .method = spec->method,
                             .path = spec->path,
                             .request_id = id,
                             .key = spec->key,
                             .content_type = spec->content_type,
                             .deadline = spec->deadline };

  call.body = g_bytes_get_data (spec->body, &call.body_length);
  call.progress_deadline = gs_clock_now () + PROGRESS_TIMEOUT;
  attempt->pending
      = port->call (port->context, &call, on_service_end, attempt);
}

static void
observe_start (attempt_t *attempt, const gs_request_action_t *action)
{
  gs_route_observation_t *observation = &attempt->observation;

  g_strlcpy (attempt->upstream, action->route.upstream,
             sizeof attempt->upstream);
  observation->upstream = attempt->upstream;
  observation->dispatched_at = gs_clock_now ();
  observation->first_token_expected_at = action->route.first_token_expected_at;
  observation->token_interval_expected = action->route.token_interval_expected;
}

void
attempt_start (gs_worker_t *worker, const gs_request_action_t *action)
{
  attempt_t *attempt = g_new0 (attempt_t, 1);
  char id[GS_REQUEST_ID_TEXT_BYTES];

  attempt->worker = worker;
  attempt->id = action->id;
  attempt->attempt = action->attempt;
  attempt->next_offset = action->offset;
  observe_start (attempt, action);
  g_strlcpy (attempt->url, action->route.url, sizeof attempt->url);
  gs_request_id_format (id, action->id);
  if (action->spec->kind == GS_REQUEST_GENERATE)
    start_engine_stream (attempt, action, id);
  else
    start_service_call (attempt, action, id);
  g_hash_table_replace (worker->attempts, &attempt->id, attempt);
}

static void
ignore_result (void *argument, const gs_engine_result_t *result)
{
}

/* Lets the engine free the stream's memory.  The result is ignored, because
   the request does not depend on it.  */
static void
send_cancel (const attempt_t *attempt, const gs_request_action_t *action)
{
  gs_engine_port_t *port = &attempt->worker->engine;
  char stream[GS_STREAM_ID_TEXT_BYTES];

  gs_stream_id_format (stream, action->id, action->progress.stream);
  port->cancel (port->context, attempt->url, stream, attempt->attempt,
                gs_clock_now () + CANCEL_TIMEOUT, ignore_result, NULL);
}

void
attempt_cancel (gs_worker_t *worker, const gs_request_action_t *action)
{
  attempt_t *attempt = g_hash_table_lookup (worker->attempts, &action->id);

  if (attempt == NULL || attempt->attempt != action->attempt)
    return;
  g_hash_table_remove (worker->attempts, &action->id);
  if (attempt->stream == NULL)
    worker->service.abandon (worker->service.context, attempt->pending);
  else
    worker->engine.abandon (worker->engine.context, attempt->stream);
  if (attempt->stream != NULL && !action->keep_stream)
    send_cancel (attempt, action);
  g_free (attempt);
}

static void
end_kv_move (kv_move_t *move, gs_status_t status)
{
  gs_request_event_t event = { .type = GS_EVENT_KV_MOVED };

  event.id = move->id;
  event.attempt = move->attempt;
  event.status = status;
  worker_step (move->worker, &event);
  g_free (move);
}

static void
on_kv_imported (void *argument, const gs_engine_result_t *result)
{
  end_kv_move (argument, result->status);
}

static void
on_kv_exported (void *argument, const gs_engine_result_t *result)
{
  kv_move_t *move = argument;
  gs_engine_port_t *port = &move->worker->engine;

  if (result->status != GS_OK)
    end_kv_move (move, result->status);
  else
    port->kv_put (port->context, move->target_url, move->stream, result->body,
                  result->length, gs_clock_now () + KV_TRANSFER_TIMEOUT,
                  on_kv_imported, move);
}

void
attempt_move_kv (gs_worker_t *worker, const gs_request_action_t *action)
{
  kv_move_t *move = g_new0 (kv_move_t, 1);

  move->worker = worker;
  move->id = action->id;
  move->attempt = action->attempt;
  g_strlcpy (move->target_url, action->route.url, sizeof move->target_url);
  gs_stream_id_format (move->stream, action->id, action->progress.stream);
  worker->engine.kv_get (worker->engine.context, action->from.url,
                         move->stream, gs_clock_now () + KV_TRANSFER_TIMEOUT,
                         on_kv_exported, move);
}
