#include "garnetstack/metrics.h"
#include "request/record.h"

#include <string.h>

/* Consecutive attempts without a token after which a request fails.  */
#define ATTEMPTS_WITHOUT_TOKEN_MAX 4
/* An answer that is expected to end sooner stays on an engine that shuts
   down.  */
#define MOVE_TIME_LEFT_MIN GS_SEC

static void
count_recomputed (const record_t *record, gs_attempt_mode_t mode)
{
  bool recomputed = mode == GS_ATTEMPT_MODE_PREFILL
                    || (mode == GS_ATTEMPT_MODE_NEW && record->maybe_ran);

  if (recomputed && record->spec.kind == GS_REQUEST_GENERATE)
    gs_metric_add (record->recompute_cause,
                   record->spec.prompt_tokens + record_token_count (record));
}

static void
send_attempt (gs_request_core_t *core, gs_time_t now, record_t *record,
              gs_attempt_mode_t mode, GArray *actions)
{
  gs_request_action_t *action;

  record->attempt++;
  record->token_received = false;
  if (mode == GS_ATTEMPT_MODE_NEW || mode == GS_ATTEMPT_MODE_PREFILL)
    {
      record->stream = (gs_stream_id_t){ core->incarnation, record->attempt };
      record->shared = false;
    }
  record->state = GS_STATE_DISPATCHED;
  record->mode = mode;
  record->dispatched_at = now;
  record->tokens_at_dispatch = record_token_count (record);
  gs_metric_add (GS_METRIC_DISPATCHES, 1);
  count_recomputed (record, mode);
  /* The backup gets the attempt's number before the upstream does.  */
  if (record->backup_acked)
    {
      action
          = record_action_append (actions, GS_ACTION_BACKUP_PROGRESS, record);
      record_progress_fill (action, record, record->progress_sent);
      record->progress_sent = record_token_count (record);
    }
  action = record_action_append (actions, GS_ACTION_DISPATCH, record);
  record_progress_fill (action, record, 0);
  action->offset = record_token_count (record);
  action->route = record->route;
  action->mode = mode;
}

static gs_attempt_mode_t
fresh_mode (const record_t *record)
{
  return record_token_count (record) > 0 ? GS_ATTEMPT_MODE_PREFILL
                                         : GS_ATTEMPT_MODE_NEW;
}

void
attempt_dispatch (gs_request_core_t *core, gs_time_t now, record_t *record,
                  const char *avoid, GArray *actions)
{
  gs_status_t status;
  gs_attempt_mode_t mode = fresh_mode (record);

  if (record_needs_claim (record) && record->claim != CLAIM_HELD)
    {
      claim_start (core, now, record, actions);
      return;
    }
  status
      = core->port.route (core->port.context, now, record->id, &record->spec,
                          record->attempt + 1, avoid, &record->route);
  if (status != GS_OK)
    {
      record->retry_at = now + RETRY_INTERVAL;
      return;
    }
  record->retry_at = 0;
  send_attempt (core, now, record, mode, actions);
}

void
attempt_resume (gs_request_core_t *core, gs_time_t now, record_t *record,
                GArray *actions)
{
  send_attempt (core, now, record, GS_ATTEMPT_MODE_RESUME, actions);
}

static void
count_dropped_chunk (void)
{
  gs_metric_add (GS_METRIC_CHUNKS_DROPPED, 1);
}

/* Checks the text of followers that were ahead of the text held here, once it
   is as long as theirs.  */
static void
check_followers (record_t *record, GArray *actions)
{
  uint32_t tokens = record_token_count (record);

  for (guint i = record->followers->len; i > 0; i--)
    {
      follower_t *follower
          = &g_array_index (record->followers, follower_t, i - 1);

      if (follower->text_verified || follower->next_token > tokens)
        continue;
      follower->text_verified = true;
      if (record_digest (record, follower->next_token) == follower->digest)
        continue;
      record_text_reject (record, follower->caller, actions);
      g_array_remove_index (record->followers, i - 1);
    }
}

static void
send_to_followers (const record_t *record, const gs_request_event_t *event,
                   GArray *actions)
{
  for (guint i = 0; i < record->followers->len; i++)
    {
      follower_t *follower = &g_array_index (record->followers, follower_t, i);
      gs_request_action_t *action;

      if (follower->next_token != event->offset)
        continue;
      follower->next_token++;
      action = record_action_append (actions, GS_ACTION_CALLER_CHUNK, record);
      action->caller = follower->caller;
      action->offset = event->offset;
      action->data = event->data;
      action->length = event->length;
      action->digest = record_digest (record, event->offset + 1);
    }
}

void
attempt_on_chunk (gs_request_core_t *core, gs_time_t now, record_t *record,
                  const gs_request_event_t *event, GArray *actions)
{
  if (record->state != GS_STATE_DISPATCHED || event->attempt != record->attempt
      || event->offset != record_token_count (record)
      || record->text->len + event->length > GS_TEXT_BYTES_MAX)
    {
      count_dropped_chunk ();
      return;
    }
  record->token_received = true;
  record->attempts_without_token = 0;
  record_token_add (record, event->data, event->length);
  send_to_followers (record, event, actions);
  check_followers (record, actions);
  gs_metric_add (GS_METRIC_TOKENS_OUT, 1);
}

static void
end_call_unknown (gs_request_core_t *core, gs_time_t now, record_t *record,
                  GArray *actions)
{
  ending_t ending = { .outcome = GS_STATE_UNKNOWN,
                      .http_status = 502,
                      .reason = "the service did not answer" };

  record_finish (core, now, record, &ending, actions);
}

static void
end_without_answer (gs_request_core_t *core, gs_time_t now, record_t *record,
                    GArray *actions)
{
  ending_t ending
      = { .outcome = record->maybe_ran ? GS_STATE_FAILED : GS_STATE_NOT_RUN,
          .http_status = 503,
          .retry_after = GS_SEC,
          .reason = "no upstream answered" };

  record_finish (core, now, record, &ending, actions);
}

/* After a broken connection the engine may still hold the stream.  If resuming
   it fails without a token, the answer is recomputed elsewhere.  */
static bool
may_resume (const record_t *record, gs_status_t status)
{
  return record->spec.kind == GS_REQUEST_GENERATE
         && (record->mode != GS_ATTEMPT_MODE_RESUME || record->token_received)
         && record_token_count (record) > 0
         && (status == GS_EUNKNOWN || status == GS_ETIMEOUT);
}

/* An end that does not follow the last received token means that tokens were
   lost; the outcome of the attempt is then unknown.  */
static gs_status_t
end_status (const record_t *record, const gs_request_event_t *event)
{
  if (event->status == GS_OK && record->spec.kind == GS_REQUEST_GENERATE
      && event->offset != record_token_count (record))
    return GS_EUNKNOWN;
  return event->status;
}

void
attempt_on_end (gs_request_core_t *core, gs_time_t now, record_t *record,
                const gs_request_event_t *event, GArray *actions)
{
  ending_t answered = { .outcome = GS_STATE_ANSWERED,
                        .http_status = event->http_status,
                        .content_type = event->content_type,
                        .data = event->data,
                        .length = event->length,
                        .reason = "answered" };
  char avoid[GS_NAME_BYTES];
  gs_status_t status = end_status (record, event);

  if (record->state != GS_STATE_DISPATCHED || record->kv_moving
      || event->attempt != record->attempt)
    {
      count_dropped_chunk ();
      return;
    }
  if (status == GS_OK)
    {
      core->port.route_done (core->port.context, now, record->route.upstream,
                             GS_OK);
      record_finish (core, now, record, &answered, actions);
      return;
    }
  if (record->mode != GS_ATTEMPT_MODE_RESUME)
    record->recompute_cause = GS_METRIC_RECOMPUTED_UPSTREAM_LOST;
  if (status != GS_EUNREACHABLE)
    record->maybe_ran = true;
  record->attempts_without_token++;
  if (may_resume (record, status)
      && record->attempts_without_token < ATTEMPTS_WITHOUT_TOKEN_MAX)
    {
      send_attempt (core, now, record, GS_ATTEMPT_MODE_RESUME, actions);
      return;
    }
  core->port.route_done (core->port.context, now, record->route.upstream,
                         status);
  if (!record->spec.idempotent && status != GS_EUNREACHABLE)
    end_call_unknown (core, now, record, actions);
  else if (record->attempts_without_token >= ATTEMPTS_WITHOUT_TOKEN_MAX)
    end_without_answer (core, now, record, actions);
  else
    {
      record->state = GS_STATE_ACCEPTED;
      g_strlcpy (avoid, record->route.upstream, sizeof avoid);
      attempt_dispatch (core, now, record, avoid, actions);
    }
}

void
attempt_abort (gs_request_core_t *core, gs_time_t now, record_t *record,
               bool keep_stream, GArray *actions)
{
  gs_request_action_t *action;

  if (record->state != GS_STATE_DISPATCHED)
    return;
  action = record_action_append (actions, GS_ACTION_CANCEL, record);
  action->spec = NULL;
  action->keep_stream = keep_stream;
  action->progress.stream = record->stream;
  core->port.route_done (core->port.context, now, record->route.upstream,
                         GS_ETIMEOUT);
  record->kv_moving = false;
}

static bool
ends_soon (const record_t *record, gs_time_t now)
{
  uint32_t tokens = record_token_count (record) - record->tokens_at_dispatch;
  uint32_t left = record->spec.tokens_max > record_token_count (record)
                      ? record->spec.tokens_max - record_token_count (record)
                      : 0;

  if (tokens == 0)
    return false;
  return (now - record->dispatched_at) / tokens * left < MOVE_TIME_LEFT_MIN;
}

/* The engine continues to compute while its KV cache is fetched, although its
   attempt is cancelled here.  Tokens of this attempt that arrive after the
   next one has started have an old attempt number and are dropped.  */
void
attempt_on_upstream_leaving (gs_request_core_t *core, gs_time_t now,
                             record_t *record, GArray *actions)
{
  gs_route_t from = record->route;
  gs_route_t next;
  gs_request_action_t *action;

  if (record->spec.kind != GS_REQUEST_GENERATE || record->kv_moving
      || record->state != GS_STATE_DISPATCHED || ends_soon (record, now)
      || core->port.route (core->port.context, now, record->id, &record->spec,
                           record->attempt + 1, from.upstream, &next)
             != GS_OK)
    return;
  if (strcmp (next.upstream, from.upstream) == 0)
    {
      core->port.route_done (core->port.context, now, from.upstream, GS_OK);
      return;
    }
  attempt_abort (core, now, record, true, actions);
  record->route = next;
  record->recompute_cause = GS_METRIC_RECOMPUTED_UPSTREAM_LEAVING;
  record->maybe_ran = true;
  if (record->shared)
    {
      /* Another process may import a KV cache under the same stream id.  */
      send_attempt (core, now, record, fresh_mode (record), actions);
      return;
    }
  record->kv_moving = true;
  action = record_action_append (actions, GS_ACTION_MOVE_KV, record);
  action->progress.stream = record->stream;
  action->from = from;
  action->route = next;
}

void
attempt_on_kv_moved (gs_request_core_t *core, gs_time_t now, record_t *record,
                     const gs_request_event_t *event, GArray *actions)
{
  gs_attempt_mode_t mode
      = event->status == GS_OK ? GS_ATTEMPT_MODE_MOVED : fresh_mode (record);

  if (!record->kv_moving || event->attempt != record->attempt)
    return;
  record->kv_moving = false;
  send_attempt (core, now, record, mode, actions);
}
