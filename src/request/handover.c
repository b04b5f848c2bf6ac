#include "request/record.h"

#define BACKUP_WAIT (250 * GS_MSEC)
/* Time reserved before the process ends to send callers the outcome.  */
#define GIVE_MARGIN (200 * GS_MSEC)
#define PROGRESS_INTERVAL (200 * GS_MSEC)
/* Attempts of a process that takes a request over are numbered above every
   attempt of the former holder.  */
#define ATTEMPT_HOLDER_MASK 0xffU

static void
accept_request (gs_request_core_t *core, gs_time_t now, record_t *record,
                GArray *actions)
{
  record->state = GS_STATE_ACCEPTED;
  for (guint i = 0; i < record->followers->len; i++)
    record_append (actions, GS_ACTION_CALLER_ACCEPTED, record)->caller
        = g_array_index (record->followers, follower_t, i).caller;
  attempt_dispatch (core, now, record, NULL, actions);
}

static void
put (gs_time_t now, record_t *record, GArray *actions)
{
  gs_action_t *action = record_append (actions, GS_ACTION_BACKUP_PUT, record);

  record_fill_progress (action, record, 0);
  record->progress_sent = record_tokens (record);
  record->backup_due = now + BACKUP_WAIT;
}

void
handover_ask_backup (gs_request_core_t *core, gs_time_t now, record_t *record,
                     uint64_t avoid, GArray *actions)
{
  uint64_t next = core->port.backup (core->port.context, record->id, avoid);

  if (record->backup_held)
    record->former_backup = record->backup;
  record->backup = next;
  record->backup_held = false;
  record->backup_due = now + BACKUP_WAIT;
  if (record->backup != 0)
    put (now, record, actions);
  else if (record->state == GS_STATE_RECEIVED)
    accept_request (core, now, record, actions);
}

static void
release_former (record_t *record, GArray *actions)
{
  gs_action_t *action;

  if (record->former_backup != 0 && record->former_backup != record->backup)
    {
      action = record_append (actions, GS_ACTION_BACKUP_DONE, record);
      action->peer = record->former_backup;
      action->outcome = GS_STATE_RECEIVED;
      record_fill_progress (action, record, record_tokens (record));
    }
  record->former_backup = 0;
}

void
handover_on_ack (gs_request_core_t *core, gs_time_t now, record_t *record,
                 const gs_event_t *event, GArray *actions)
{
  static const ending_t moved
      = { .outcome = GS_STATE_MOVED,
          .http_status = 503,
          .reason = "another node took over the request" };

  if (event->peer != record->backup || !record_open (record))
    return;
  record->backup_held = true;
  release_former (record, actions);
  if (record->give_asked)
    {
      if (event->given)
        record_finish (core, now, record, &moved, actions);
    }
  else if (record->state == GS_STATE_RECEIVED)
    accept_request (core, now, record, actions);
}

static void
send_progress (gs_time_t now, record_t *record, GArray *actions)
{
  gs_action_t *action;

  if (!record->backup_held || record->progress_sent == record_tokens (record)
      || now < record->progress_due)
    return;
  record->progress_due = now + PROGRESS_INTERVAL;
  action = record_append (actions, GS_ACTION_BACKUP_PROGRESS, record);
  record_fill_progress (action, record, record->progress_sent);
  record->progress_sent = record_tokens (record);
}

/* Another process may be asked although the first one may have taken over
   already.  Of a call only one of them can update the version of the claim; a
   generation may run at both, each with attempts newer than those sent from
   here.  */
static void
retry_give (gs_request_core_t *core, gs_time_t now, record_t *record,
            GArray *actions)
{
  ending_t ending
      = { .outcome
          = record->spec.idempotent ? GS_STATE_FAILED : GS_STATE_UNKNOWN,
          .http_status = 503,
          .retry_after = GS_SEC,
          .reason = "the node shuts down and no other node took over" };
  uint64_t taker;

  if (now >= record->give_deadline)
    {
      record_finish (core, now, record, &ending, actions);
      return;
    }
  taker = core->port.backup (core->port.context, record->id, record->backup);
  if (taker != 0 && taker != record->backup)
    {
      record->backup = taker;
      record->shared = true;
    }
  if (record->backup != 0)
    put (now, record, actions);
}

void
handover_on_tick (gs_request_core_t *core, gs_time_t now, record_t *record,
                  GArray *actions)
{
  send_progress (now, record, actions);
  if (record->give_asked
      && (now >= record->backup_due || now >= record->give_deadline))
    retry_give (core, now, record, actions);
  else if (!record->backup_held && now >= record->backup_due)
    handover_ask_backup (core, now, record, record->backup, actions);
}

/* A call that may be running, or whose claim is being obtained, stays until it
   ends.  Every other request is handed to its backup, which already holds most
   of its state; after that this process sends nothing to an upstream for the
   request.  */
void
handover_give (gs_request_core_t *core, gs_time_t now, record_t *record,
               GArray *actions)
{
  bool running = record->state == GS_STATE_DISPATCHED;

  if (record->give_asked || (running && !record->spec.idempotent)
      || (record_needs_claim (record) && record->claim != CLAIM_NONE
          && record->claim != CLAIM_HELD))
    return;
  attempt_drop (core, now, record, true, actions);
  record->state = GS_STATE_ACCEPTED;
  record->retry_at = 0;
  record->give_asked = true;
  record->give_deadline
      = MIN (core->leave_deadline - GIVE_MARGIN, record->spec.deadline);
  if (record->backup == 0)
    record->backup = core->port.backup (core->port.context, record->id, 0);
  record->backup_due = now + BACKUP_WAIT;
  if (record->backup != 0)
    put (now, record, actions);
}

static void
load_progress (record_t *record, const gs_progress_t *progress)
{
  uint32_t start = 0;

  for (uint32_t i = 0; i < progress->tokens; i++)
    {
      record_add_token (record, progress->text + start,
                        progress->ends[i] - start);
      start = progress->ends[i];
    }
  /* The body of a call's answer has no tokens.  */
  g_string_append_len (record->text, progress->text + start,
                       (gssize)(progress->text_length - start));
  record->attempt = progress->attempt | ATTEMPT_HOLDER_MASK;
  record->route = progress->route;
  record->stream = progress->stream;
  record->shared = progress->shared || !progress->given;
  record->claim_version = progress->claim_version;
  record->given = progress->given;
  record->maybe_ran
      = record->spec.idempotent
        && (!progress->given || progress->dispatched || progress->tokens > 0);
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
handover_keep (gs_request_core_t *core, gs_time_t now, const gs_event_t *event)
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
                const gs_event_t *event, GArray *actions)
{
  static const ending_t lost
      = { .outcome = GS_STATE_UNKNOWN,
          .http_status = 502,
          .reason = "the node that may have run the call was lost" };
  const gs_progress_t *progress = event->progress;
  record_t *record = g_hash_table_lookup (core->records, &event->id);

  if (record != NULL)
    {
      g_bytes_unref (event->spec->body);
      return;
    }
  record = record_add (core, event->id, event->spec);
  record->adopted = true;
  record->adopted_from = event->peer;
  load_progress (record, progress);
  record->state = GS_STATE_ACCEPTED;
  if (record_needs_claim (record) && !progress->given
      && (progress->dispatched || progress->claim_version != 0))
    {
      record_finish (core, now, record, &lost, actions);
      return;
    }
  handover_ask_backup (core, now, record, event->peer, actions);
  resume_adopted (core, now, record, actions);
}
