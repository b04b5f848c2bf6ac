#include "request/record.h"

#define BACKUP_ACK_TIMEOUT (250 * GS_MSEC)
/* Time reserved before the process ends to send callers the outcome.  */
#define HANDOVER_REPLY_TIME (200 * GS_MSEC)
#define PROGRESS_INTERVAL (200 * GS_MSEC)
/* Attempts of a process that takes a request over are numbered above every
   attempt of the previous holder.  */
#define ATTEMPT_HOLDER_MASK 0xffU

static void
accept_request (gs_request_core_t *core, gs_time_t now, record_t *record,
                GArray *actions)
{
  record->state = GS_STATE_ACCEPTED;
  for (guint i = 0; i < record->followers->len; i++)
    record_action_append (actions, GS_ACTION_CALLER_ACCEPTED, record)->caller
        = g_array_index (record->followers, follower_t, i).caller;
  attempt_dispatch (core, now, record, NULL, actions);
}

static void
send_put (gs_time_t now, record_t *record, GArray *actions)
{
  gs_request_action_t *action
      = record_action_append (actions, GS_ACTION_BACKUP_PUT, record);

  record_progress_fill (action, record, 0);
  record->progress_sent = record_token_count (record);
  record->backup_ack_due = now + BACKUP_ACK_TIMEOUT;
}

void
handover_backup_choose (gs_request_core_t *core, gs_time_t now,
                        record_t *record, uint64_t avoid, GArray *actions)
{
  uint64_t next = core->port.backup (core->port.context, record->id, avoid);

  if (record->backup_acked)
    record->previous_backup = record->backup;
  record->backup = next;
  record->backup_acked = false;
  record->backup_ack_due = now + BACKUP_ACK_TIMEOUT;
  if (record->backup != 0)
    send_put (now, record, actions);
  else if (record->state == GS_STATE_RECEIVED)
    accept_request (core, now, record, actions);
}

static void
release_previous_backup (record_t *record, GArray *actions)
{
  gs_request_action_t *action;

  if (record->previous_backup != 0
      && record->previous_backup != record->backup)
    {
      action = record_action_append (actions, GS_ACTION_BACKUP_DONE, record);
      action->peer = record->previous_backup;
      action->outcome = GS_STATE_RECEIVED;
      record_progress_fill (action, record, record_token_count (record));
    }
  record->previous_backup = 0;
}

void
handover_on_ack (gs_request_core_t *core, gs_time_t now, record_t *record,
                 const gs_request_event_t *event, GArray *actions)
{
  static const ending_t moved
      = { .outcome = GS_STATE_MOVED,
          .http_status = 503,
          .reason = "another node took over the request" };

  if (event->peer != record->backup || !record_is_open (record))
    return;
  record->backup_acked = true;
  release_previous_backup (record, actions);
  if (record->handover_requested)
    {
      if (event->taken_over)
        record_finish (core, now, record, &moved, actions);
    }
  else if (record->state == GS_STATE_RECEIVED)
    accept_request (core, now, record, actions);
}

static void
send_progress (gs_time_t now, record_t *record, GArray *actions)
{
  gs_request_action_t *action;

  if (!record->backup_acked
      || record->progress_sent == record_token_count (record)
      || now < record->progress_due)
    return;
  record->progress_due = now + PROGRESS_INTERVAL;
  action = record_action_append (actions, GS_ACTION_BACKUP_PROGRESS, record);
  record_progress_fill (action, record, record->progress_sent);
  record->progress_sent = record_token_count (record);
}

/* Another process may be asked although the first one may have taken over
   already.  Of a call only one of them can update the version of the claim; a
   generation may run at both, each with attempts newer than those sent from
   here.  */
static void
handover_retry (gs_request_core_t *core, gs_time_t now, record_t *record,
                GArray *actions)
{
  ending_t ending
      = { .outcome
          = record->spec.idempotent ? GS_STATE_FAILED : GS_STATE_UNKNOWN,
          .http_status = 503,
          .retry_after = GS_SEC,
          .reason = "the node shuts down and no other node took over" };
  uint64_t successor;

  if (now >= record->handover_deadline)
    {
      record_finish (core, now, record, &ending, actions);
      return;
    }
  successor
      = core->port.backup (core->port.context, record->id, record->backup);
  if (successor != 0 && successor != record->backup)
    {
      record->backup = successor;
      record->shared = true;
    }
  if (record->backup != 0)
    send_put (now, record, actions);
}

void
handover_on_tick (gs_request_core_t *core, gs_time_t now, record_t *record,
                  GArray *actions)
{
  send_progress (now, record, actions);
  if (record->handover_requested
      && (now >= record->backup_ack_due || now >= record->handover_deadline))
    handover_retry (core, now, record, actions);
  else if (!record->backup_acked && now >= record->backup_ack_due)
    handover_backup_choose (core, now, record, record->backup, actions);
}

/* A call that may be running, or whose claim is being obtained, stays until it
   ends.  Every other request is handed to its backup, which already holds most
   of its state; after that this process sends nothing to an upstream for the
   request.  */
void
handover_start (gs_request_core_t *core, gs_time_t now, record_t *record,
                GArray *actions)
{
  bool is_running = record->state == GS_STATE_DISPATCHED;

  if (record->handover_requested || (is_running && !record->spec.idempotent)
      || (record_needs_claim (record) && record->claim != CLAIM_NONE
          && record->claim != CLAIM_HELD))
    return;
  attempt_abort (core, now, record, true, actions);
  record->state = GS_STATE_ACCEPTED;
  record->retry_at = 0;
  record->handover_requested = true;
  record->handover_deadline = MIN (core->leave_deadline - HANDOVER_REPLY_TIME,
                                   record->spec.deadline);
  if (record->backup == 0)
    record->backup = core->port.backup (core->port.context, record->id, 0);
  record->backup_ack_due = now + BACKUP_ACK_TIMEOUT;
  if (record->backup != 0)
    send_put (now, record, actions);
}

static void
load_progress (record_t *record, const gs_request_progress_t *progress)
{
  uint32_t start = 0;

  for (uint32_t i = 0; i < progress->tokens; i++)
    {
      record_token_add (record, progress->text + start,
                        progress->ends[i] - start);
      start = progress->ends[i];
    }
  /* The body of a call's answer has no tokens.  */
  g_string_append_len (record->text, progress->text + start,
                       (gssize)(progress->text_length - start));
  record->attempt = progress->attempt | ATTEMPT_HOLDER_MASK;
  record->route = progress->route;
  record->stream = progress->stream;
  record->shared = progress->shared || !progress->handed_over;
  record->claim_version = progress->claim_version;
  record->handed_over = progress->handed_over;
  record->maybe_ran = record->spec.idempotent
                      && (!progress->handed_over || progress->dispatched
                          || progress->tokens > 0);
}

/* An engine that worked on the request may still hold the stream.  */
static void
resume_adopted (gs_request_core_t *core, gs_time_t now, record_t *record,
                GArray *actions)
{
  if (record->spec.kind == GS_REQUEST_GENERATE && record->stream.holder != 0)
    attempt_resume (core, now, record, actions);
  else
    attempt_dispatch (core, now, record, NULL, actions);
}

/* The backup of an ended request serves its answer to callers as the holder
   does.  */
void
handover_keep (gs_request_core_t *core, gs_time_t now,
               const gs_request_event_t *event)
{
  ending_t ending = { .outcome = event->outcome,
                      .http_status = event->http_status,
                      .content_type = event->content_type,
                      .retry_after = event->deadline,
                      .reason = event->data };
  record_t *record = g_hash_table_lookup (core->records, &event->id);

  if (record != NULL)
    {
      g_bytes_unref (event->spec->body);
      return;
    }
  record = record_add (core, event->id, event->spec);
  load_progress (record, event->progress);
  record_end (core, now, record, &ending);
}

void
handover_adopt (gs_request_core_t *core, gs_time_t now,
                const gs_request_event_t *event, GArray *actions)
{
  static const ending_t lost
      = { .outcome = GS_STATE_UNKNOWN,
          .http_status = 502,
          .reason = "the node that may have run the call was lost" };
  const gs_request_progress_t *progress = event->progress;
  record_t *record = g_hash_table_lookup (core->records, &event->id);

  if (record != NULL)
    {
      g_bytes_unref (event->spec->body);
      return;
    }
  record = record_add (core, event->id, event->spec);
  record->adopted = true;
  record->previous_holder = event->peer;
  load_progress (record, progress);
  record->state = GS_STATE_ACCEPTED;
  if (record_needs_claim (record) && !progress->handed_over
      && (progress->dispatched || progress->claim_version != 0))
    {
      record_finish (core, now, record, &lost, actions);
      return;
    }
  handover_backup_choose (core, now, record, event->peer, actions);
  resume_adopted (core, now, record, actions);
}
