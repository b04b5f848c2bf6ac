#include "request/record.h"

#include "garnetstack/metrics.h"

#include <string.h>

bool
record_is_open (const record_t *record)
{
  return record->state <= GS_STATE_DISPATCHED;
}

bool
record_needs_claim (const record_t *record)
{
  return record->spec.kind == GS_REQUEST_CALL && !record->spec.idempotent;
}

uint32_t
record_token_count (const record_t *record)
{
  return record->ends->len;
}

size_t
record_token_start (const record_t *record, uint32_t token)
{
  return token == 0 ? 0 : g_array_index (record->ends, uint32_t, token - 1);
}

gs_request_action_t *
record_action_append (GArray *actions, gs_request_action_type_t type,
                      const record_t *record)
{
  gs_request_action_t *action;

  g_array_set_size (actions, actions->len + 1);
  action = &g_array_index (actions, gs_request_action_t, actions->len - 1);
  memset (action, 0, sizeof *action);
  action->type = type;
  action->id = record->id;
  action->attempt = record->attempt;
  action->peer = record->backup;
  action->spec = &record->spec;
  return action;
}

void
record_progress_fill (gs_request_action_t *action, const record_t *record,
                      uint32_t from)
{
  gs_request_progress_t *progress = &action->progress;
  size_t start = record_token_start (record, from);

  action->offset = from;
  progress->attempt = record->attempt;
  progress->route = record->route;
  progress->stream = record->stream;
  progress->shared = record->shared;
  progress->text = record->text->str + start;
  progress->text_length = record->text->len - start;
  progress->ends = (const uint32_t *)(void *)record->ends->data + from;
  progress->tokens = record_token_count (record) - from;
  progress->dispatched = record->state == GS_STATE_DISPATCHED;
  progress->handed_over = record->handover_requested;
  progress->claim_version
      = record->claim == CLAIM_HELD ? record->claim_version : 0;
}

static void
count_outcome (gs_request_state_t outcome)
{
  switch (outcome)
    {
    case GS_STATE_ANSWERED:
      gs_metric_add (GS_METRIC_REQUESTS_ANSWERED, 1);
      break;
    case GS_STATE_NOT_RUN:
      gs_metric_add (GS_METRIC_REQUESTS_NOT_RUN, 1);
      break;
    case GS_STATE_FAILED:
      gs_metric_add (GS_METRIC_REQUESTS_FAILED, 1);
      break;
    case GS_STATE_UNKNOWN:
      gs_metric_add (GS_METRIC_REQUESTS_UNKNOWN, 1);
      break;
    default:
      break;
    }
}

void
record_caller_end_append (const record_t *record, void *caller,
                          GArray *actions)
{
  gs_request_action_t *action
      = record_action_append (actions, GS_ACTION_CALLER_END, record);

  action->spec = NULL;
  action->caller = caller;
  action->outcome = record->state;
  action->http_status = record->http_status;
  action->content_type = record->content_type;
  action->retry_after = record->retry_after;
  if (record->spec.kind == GS_REQUEST_CALL)
    {
      action->data = record->text->str;
      action->length = record->text->len;
    }
  g_strlcpy (action->reason, record->reason, sizeof action->reason);
}

size_t
record_bytes (const record_t *record)
{
  return sizeof *record + record->text->len
         + record_token_count (record)
               * (sizeof (uint32_t) + sizeof (uint64_t));
}

/* The record is kept, without the body, for callers that ask for the answer
   later.  */
void
record_end (gs_request_core_t *core, gs_time_t now, record_t *record,
            const ending_t *ending)
{
  record->state = ending->outcome;
  record->http_status = ending->http_status;
  record->retry_after = ending->retry_after;
  if (ending->content_type != NULL)
    g_strlcpy (record->content_type, ending->content_type,
               sizeof record->content_type);
  record->ended_at = now;
  g_strlcpy (record->reason, ending->reason, sizeof record->reason);
  if (ending->length > 0)
    g_string_append_len (record->text, ending->data, (gssize)ending->length);
  if (record->admitted && core->port.ended != NULL)
    core->port.ended (core->port.context, now, record->id, &record->spec,
                      record_token_count (record));
  core->open--;
  core->open_bytes -= g_bytes_get_size (record->spec.body);
  core->ended_bytes += record_bytes (record);
  g_queue_push_tail (core->ended, record);
  g_ptr_array_add (core->ended_in_step, record);
}

void
record_finish (gs_request_core_t *core, gs_time_t now, record_t *record,
               const ending_t *ending, GArray *actions)
{
  gs_request_action_t *action;

  record_end (core, now, record, ending);
  count_outcome (ending->outcome);
  /* A backup that took the request over holds the record itself and needs no
     report.  */
  if (record->backup != 0 && ending->outcome != GS_STATE_MOVED)
    {
      action = record_action_append (actions, GS_ACTION_BACKUP_DONE, record);
      action->outcome = ending->outcome;
      action->http_status = ending->http_status;
      action->content_type = record->content_type;
      action->retry_after = ending->retry_after;
      g_strlcpy (action->reason, ending->reason, sizeof action->reason);
      record_progress_fill (action, record, record->progress_sent);
    }
  for (guint i = 0; i < record->followers->len; i++)
    {
      const follower_t *follower
          = &g_array_index (record->followers, follower_t, i);

      if (follower->text_verified || ending->outcome != GS_STATE_ANSWERED)
        record_caller_end_append (record, follower->caller, actions);
      else
        record_text_reject (record, follower->caller, actions);
    }
  if (record->followers->len == 0)
    record_caller_end_append (record, NULL, actions);
  g_array_set_size (record->followers, 0);
}

uint64_t
record_digest (const record_t *record, uint32_t token)
{
  return token == 0 ? 0 : g_array_index (record->digests, uint64_t, token - 1);
}

void
record_token_add (record_t *record, const char *data, size_t length)
{
  uint64_t digest = gs_text_digest_extend (
      record_digest (record, record_token_count (record)), data, length);
  uint32_t end;

  g_string_append_len (record->text, data, (gssize)length);
  end = (uint32_t)record->text->len;
  g_array_append_val (record->ends, end);
  g_array_append_val (record->digests, digest);
}

void
record_text_reject (const record_t *record, void *caller, GArray *actions)
{
  gs_request_action_t *action
      = record_action_append (actions, GS_ACTION_CALLER_END, record);

  action->spec = NULL;
  action->caller = caller;
  action->outcome = GS_STATE_FAILED;
  action->http_status = 409;
  g_strlcpy (action->reason,
             "the answer was recomputed; request it from offset 0",
             sizeof action->reason);
}

record_t *
record_add (gs_request_core_t *core, gs_request_id_t id,
            const gs_request_spec_t *spec)
{
  record_t *record = g_new0 (record_t, 1);

  record->id = id;
  record->spec = *spec;
  record->state = GS_STATE_RECEIVED;
  record->followers = g_array_new (FALSE, FALSE, sizeof (follower_t));
  record->text = g_string_new (NULL);
  record->ends = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  record->recompute_cause = GS_METRIC_RECOMPUTED_UPSTREAM_LOST;
  record->digests = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_hash_table_insert (core->records, &record->id, record);
  core->open++;
  core->open_bytes += g_bytes_get_size (record->spec.body);
  return record;
}
