#include "garnetstack/log.h"
#include "garnetstack/metrics.h"
#include "node/worker_private.h"

#include <string.h>

/* Bound on the time to the deadline that a peer states.  */
#define DEADLINE_REMAINING_MAX (3600 * GS_SEC)

static GByteArray *
encode_ends (const gs_request_progress_t *progress)
{
  GByteArray *bytes = g_byte_array_new ();

  for (uint32_t i = 0; i < progress->tokens; i++)
    {
      guint32 end = GUINT32_TO_BE (progress->ends[i]);

      g_byte_array_append (bytes, (const guint8 *)&end, sizeof end);
    }
  return bytes;
}

static GArray *
decode_ends (const gs_bytes_t *bytes)
{
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (uint32_t));

  for (size_t at = 0; at + sizeof (guint32) <= bytes->length;
       at += sizeof (guint32))
    {
      guint32 end;

      memcpy (&end, bytes->data + at, sizeof end);
      end = GUINT32_FROM_BE (end);
      g_array_append_val (ends, end);
    }
  return ends;
}

/* @return true when the token ends do not decrease and stay within the text,
   which starts at @p start_max or before */
static bool
ends_valid (const GArray *ends, size_t start_max, size_t text_length)
{
  uint32_t last = 0;

  for (guint i = 0; i < ends->len; i++)
    {
      uint32_t end = g_array_index (ends, uint32_t, i);

      if (end < last || end > start_max + text_length)
        return false;
      last = end;
    }
  return true;
}

static void
copy_text (char *out, size_t size, gs_bytes_t bytes)
{
  size_t length = MIN (bytes.length, size - 1);

  memcpy (out, bytes.data, length);
  out[length] = '\0';
}

static gs_bytes_t
bytes_of (const GByteArray *array)
{
  return (gs_bytes_t){ (const char *)array->data, array->len };
}

void
backup_put_send (gs_worker_t *worker, const gs_request_action_t *action)
{
  const gs_request_spec_t *spec = action->spec;
  const gs_request_progress_t *progress = &action->progress;
  gs_frame_t frame = { .type = GS_FRAME_BACKUP_PUT };
  gs_frame_backup_put_t *put = &frame.backup_put;
  GByteArray *ends = encode_ends (progress);
  gsize length;
  const char *body = g_bytes_get_data (spec->body, &length);

  put->incarnation = action->id.incarnation;
  put->sequence = action->id.sequence;
  put->kind = spec->kind;
  put->idempotent = spec->idempotent;
  put->remaining_usec = (uint64_t)MAX (spec->deadline - gs_clock_now (), 0);
  put->account = gs_bytes_from_text (spec->account);
  put->target = gs_bytes_from_text (spec->target);
  put->path = gs_bytes_from_text (spec->path);
  put->key = gs_bytes_from_text (spec->key);
  put->method = gs_bytes_from_text (spec->method);
  put->body = (gs_bytes_t){ body, length };
  put->prompt_tokens = spec->prompt_tokens;
  put->tokens_max = spec->tokens_max;
  put->attempt = progress->attempt;
  put->upstream = gs_bytes_from_text (progress->route.upstream);
  put->url = gs_bytes_from_text (progress->route.url);
  put->text = (gs_bytes_t){ progress->text, progress->text_length };
  put->ends = bytes_of (ends);
  put->dispatched = progress->dispatched;
  put->handed_over = progress->handed_over;
  put->claim_version = progress->claim_version;
  put->stream_holder = progress->stream.holder;
  put->stream_attempt = progress->stream.attempt;
  put->priority = spec->priority;
  put->content_type = gs_bytes_from_text (spec->content_type);
  put->shared = progress->shared;
  gs_peer_send (worker->options.peer, action->peer, &frame);
  g_byte_array_unref (ends);
}

void
backup_progress_send (gs_worker_t *worker, const gs_request_action_t *action)
{
  const gs_request_progress_t *progress = &action->progress;
  gs_frame_t frame = { .type = GS_FRAME_BACKUP_PROGRESS };
  gs_frame_backup_progress_t *out = &frame.backup_progress;
  GByteArray *ends = encode_ends (progress);

  out->incarnation = action->id.incarnation;
  out->sequence = action->id.sequence;
  out->offset = action->offset;
  out->attempt = progress->attempt;
  out->upstream = gs_bytes_from_text (progress->route.upstream);
  out->url = gs_bytes_from_text (progress->route.url);
  out->text = (gs_bytes_t){ progress->text, progress->text_length };
  out->ends = bytes_of (ends);
  out->dispatched = progress->dispatched;
  out->claim_version = progress->claim_version;
  out->stream_holder = progress->stream.holder;
  out->stream_attempt = progress->stream.attempt;
  out->shared = progress->shared;
  gs_peer_send (worker->options.peer, action->peer, &frame);
  g_byte_array_unref (ends);
}

void
backup_done_send (gs_worker_t *worker, const gs_request_action_t *action)
{
  const gs_request_progress_t *progress = &action->progress;
  gs_frame_t frame = { .type = GS_FRAME_BACKUP_DONE };
  gs_frame_backup_done_t *done = &frame.backup_done;
  GByteArray *ends = encode_ends (progress);

  done->incarnation = action->id.incarnation;
  done->sequence = action->id.sequence;
  done->outcome = action->outcome;
  done->offset = action->offset;
  done->text = (gs_bytes_t){ progress->text, progress->text_length };
  done->ends = bytes_of (ends);
  done->http_status = (uint64_t)action->http_status;
  done->retry_after = (uint64_t)action->retry_after;
  done->reason = gs_bytes_from_text (action->reason);
  done->content_type = gs_bytes_from_text (
      action->content_type != NULL ? action->content_type : "");
  gs_peer_send (worker->options.peer, action->peer, &frame);
  g_byte_array_unref (ends);
}

static void
send_ack (gs_worker_t *worker, const gs_backup_action_t *action)
{
  gs_frame_t frame = { .type = GS_FRAME_BACKUP_ACK };

  frame.backup_ack.incarnation = action->id.incarnation;
  frame.backup_ack.sequence = action->id.sequence;
  frame.backup_ack.taken_over = action->handed_over;
  gs_peer_send (worker->options.peer, action->peer, &frame);
}

/* Passes a request of another process to the request core: to take it over,
   or to keep its answer.  */
static void
pass_to_request_core (gs_worker_t *worker, const gs_backup_action_t *action)
{
  gs_request_spec_t spec = *action->spec;
  gs_request_event_t event = { .type = GS_EVENT_ADOPT };

  g_bytes_ref (spec.body);
  event.id = action->id;
  event.spec = &spec;
  event.progress = &action->progress;
  event.peer = action->peer;
  if (action->type == GS_BACKUP_ACTION_KEEP)
    {
      event.type = GS_EVENT_KEEP;
      event.outcome = action->outcome;
      event.http_status = action->http_status;
      event.content_type = action->content_type;
      event.deadline = action->retry_after;
      event.data = action->reason;
    }
  else
    {
      gs_metric_add (GS_METRIC_REQUESTS_TAKEN_OVER, 1);
      gs_log (GS_LOG_INFO, "request_taken_over",
              "request=%016llx-%016llx from=%016llx given=%d tokens=%u",
              (unsigned long long)action->id.incarnation,
              (unsigned long long)action->id.sequence,
              (unsigned long long)action->peer, action->handed_over,
              (unsigned)action->progress.tokens);
    }
  worker_step (worker, &event);
}

static void
step_backup (gs_worker_t *worker, const gs_backup_event_t *event)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (gs_backup_action_t));

  gs_backup_core_step (worker->backup, gs_clock_now (), event, actions);
  for (guint i = 0; i < actions->len; i++)
    {
      const gs_backup_action_t *action
          = &g_array_index (actions, gs_backup_action_t, i);

      if (action->type == GS_BACKUP_ACTION_ACK)
        send_ack (worker, action);
      else
        pass_to_request_core (worker, action);
    }
  g_array_unref (actions);
}

static void
receive_put (gs_worker_t *worker, uint64_t peer,
             const gs_frame_backup_put_t *put)
{
  gs_request_spec_t spec = { 0 };
  gs_request_progress_t progress = { 0 };
  gs_backup_event_t event = { .type = GS_BACKUP_PUT, .peer = peer };
  GArray *ends = decode_ends (&put->ends);

  spec.kind
      = put->kind == GS_REQUEST_CALL ? GS_REQUEST_CALL : GS_REQUEST_GENERATE;
  spec.idempotent = put->idempotent != 0;
  copy_text (spec.account, sizeof spec.account, put->account);
  copy_text (spec.target, sizeof spec.target, put->target);
  copy_text (spec.method, sizeof spec.method, put->method);
  copy_text (spec.path, sizeof spec.path, put->path);
  copy_text (spec.key, sizeof spec.key, put->key);
  copy_text (spec.content_type, sizeof spec.content_type, put->content_type);
  spec.deadline = gs_clock_now ()
                  + (gs_time_t)MIN (put->remaining_usec,
                                    (uint64_t)DEADLINE_REMAINING_MAX);
  spec.prompt_tokens = (uint32_t)put->prompt_tokens;
  spec.tokens_max = (uint32_t)put->tokens_max;
  progress.attempt = (uint32_t)put->attempt;
  copy_text (progress.route.upstream, sizeof progress.route.upstream,
             put->upstream);
  copy_text (progress.route.url, sizeof progress.route.url, put->url);
  progress.text = put->text.data;
  progress.text_length = put->text.length;
  progress.ends = (const uint32_t *)(void *)ends->data;
  progress.tokens = ends->len;
  progress.dispatched = put->dispatched != 0;
  progress.handed_over = put->handed_over != 0;
  progress.claim_version = put->claim_version;
  progress.stream
      = (gs_stream_id_t){ put->stream_holder, (uint32_t)put->stream_attempt };
  spec.priority = (unsigned)put->priority;
  progress.shared = put->shared != 0;
  event.id = (gs_request_id_t){ put->incarnation, put->sequence };
  event.spec = &spec;
  event.progress = &progress;
  event.leaving = worker->self_leaving;
  if (ends_valid (ends, 0, put->text.length))
    {
      spec.body = g_bytes_new (put->body.data, put->body.length);
      step_backup (worker, &event);
    }
  g_array_unref (ends);
}

static void
receive_progress (gs_worker_t *worker, uint64_t peer,
                  const gs_frame_backup_progress_t *in)
{
  gs_request_progress_t progress = { 0 };
  gs_backup_event_t event = { .type = GS_BACKUP_PROGRESS, .peer = peer };
  GArray *ends = decode_ends (&in->ends);

  progress.attempt = (uint32_t)in->attempt;
  copy_text (progress.route.upstream, sizeof progress.route.upstream,
             in->upstream);
  copy_text (progress.route.url, sizeof progress.route.url, in->url);
  progress.text = in->text.data;
  progress.text_length = in->text.length;
  progress.ends = (const uint32_t *)(void *)ends->data;
  progress.tokens = ends->len;
  progress.dispatched = in->dispatched != 0;
  progress.shared = in->shared != 0;
  progress.claim_version = in->claim_version;
  progress.stream
      = (gs_stream_id_t){ in->stream_holder, (uint32_t)in->stream_attempt };
  event.id = (gs_request_id_t){ in->incarnation, in->sequence };
  event.offset = (uint32_t)in->offset;
  event.progress = &progress;
  if (ends_valid (ends, GS_TEXT_BYTES_MAX, in->text.length))
    step_backup (worker, &event);
  g_array_unref (ends);
}

static void
receive_done (gs_worker_t *worker, uint64_t peer,
              const gs_frame_backup_done_t *in)
{
  gs_request_progress_t progress = { 0 };
  gs_backup_event_t event = { .type = GS_BACKUP_DONE, .peer = peer };
  GArray *ends = decode_ends (&in->ends);
  char reason[GS_NAME_BYTES];
  char content_type[GS_CONTENT_TYPE_BYTES];

  copy_text (reason, sizeof reason, in->reason);
  copy_text (content_type, sizeof content_type, in->content_type);
  progress.text = in->text.data;
  progress.text_length = in->text.length;
  progress.ends = (const uint32_t *)(void *)ends->data;
  progress.tokens = ends->len;
  event.id = (gs_request_id_t){ in->incarnation, in->sequence };
  event.offset = (uint32_t)in->offset;
  event.progress = &progress;
  event.outcome = in->outcome <= GS_STATE_MOVED
                      ? (gs_request_state_t)in->outcome
                      : GS_STATE_RECEIVED;
  event.http_status = (long)in->http_status;
  event.content_type = content_type;
  event.retry_after = (gs_time_t)in->retry_after;
  event.reason = reason;
  if (ends_valid (ends, GS_TEXT_BYTES_MAX, in->text.length))
    step_backup (worker, &event);
  g_array_unref (ends);
}

static void
receive_ack (gs_worker_t *worker, uint64_t peer,
             const gs_frame_backup_ack_t *ack)
{
  gs_request_event_t event = { .type = GS_EVENT_BACKUP_ACK };

  event.id = (gs_request_id_t){ ack->incarnation, ack->sequence };
  event.peer = peer;
  event.taken_over = ack->taken_over != 0;
  worker_step (worker, &event);
}

void
backup_frame_receive (gs_worker_t *worker, uint64_t peer,
                      const gs_frame_t *frame)
{
  switch (frame->type)
    {
    case GS_FRAME_BACKUP_PUT:
      receive_put (worker, peer, &frame->backup_put);
      break;
    case GS_FRAME_BACKUP_ACK:
      receive_ack (worker, peer, &frame->backup_ack);
      break;
    case GS_FRAME_BACKUP_PROGRESS:
      receive_progress (worker, peer, &frame->backup_progress);
      break;
    case GS_FRAME_BACKUP_DONE:
      receive_done (worker, peer, &frame->backup_done);
      break;
    default:
      break;
    }
}

void
backup_peer_changed (gs_worker_t *worker, uint64_t peer, bool lost)
{
  gs_backup_event_t event
      = { .type = lost ? GS_BACKUP_PEER_LOST : GS_BACKUP_PEER_RECONNECTED };

  event.peer = peer;
  step_backup (worker, &event);
}

void
backup_tick (gs_worker_t *worker)
{
  gs_backup_event_t event = { .type = GS_BACKUP_TICK };

  step_backup (worker, &event);
}
