#include "request/record.h"

#include <string.h>

/* Time after which a call ends if the store keeps failing.  */
#define CLAIM_TIMEOUT GS_SEC

/* Ends a call that cannot get its claim.  A process that took the call over
   does not know whether the previous holder dispatched it.  */
static void
end_without_claim (gs_request_core_t *core, gs_time_t now, record_t *record,
                   const char *reason, GArray *actions)
{
  bool may_have_run = record->adopted && !record->handed_over;
  ending_t ending
      = { .outcome = may_have_run ? GS_STATE_UNKNOWN : GS_STATE_NOT_RUN,
          .http_status = 503,
          .retry_after = may_have_run ? 0 : GS_SEC,
          .reason = reason };

  record_finish (core, now, record, &ending, actions);
}

static void
end_unknown (gs_request_core_t *core, gs_time_t now, record_t *record,
             const char *reason, GArray *actions)
{
  ending_t ending
      = { .outcome = GS_STATE_UNKNOWN, .http_status = 409, .reason = reason };

  record_finish (core, now, record, &ending, actions);
}

static void
write_claim (record_t *record, uint64_t version, GArray *actions)
{
  record->claim = CLAIM_WRITING;
  record->claim_retry_at = 0;
  record_action_append (actions, GS_ACTION_CLAIM, record)->version = version;
}

static void
read_claim (record_t *record, GArray *actions)
{
  record->claim = CLAIM_READING;
  record->claim_retry_at = 0;
  record_action_append (actions, GS_ACTION_CLAIM_READ, record);
}

void
claim_start (gs_request_core_t *core, gs_time_t now, record_t *record,
             GArray *actions)
{
  if (record->claim != CLAIM_NONE)
    return;
  record->claim_deadline = MIN (now + CLAIM_TIMEOUT, record->spec.deadline);
  write_claim (record, record->handed_over ? record->claim_version : 0,
               actions);
}

/* Called when the claim names this process.  If the previous holder was lost
   before it wrote a claim, this claim only prevents that holder from
   dispatching the call.  The call is not run here either, since the previous
   holder may still be alive and may have told its caller that the call did not
   run.  */
static void
on_claim_held (gs_request_core_t *core, gs_time_t now, record_t *record,
               uint64_t version, GArray *actions)
{
  static const ending_t fenced
      = { .outcome = GS_STATE_NOT_RUN,
          .http_status = 503,
          .retry_after = GS_SEC,
          .reason = "the node was lost before it ran the call" };

  record->claim = CLAIM_HELD;
  record->claim_version = version;
  if (record->adopted && !record->handed_over)
    record_finish (core, now, record, &fenced, actions);
  else
    attempt_dispatch (core, now, record, NULL, actions);
}

static void
on_claim_written (gs_request_core_t *core, gs_time_t now, record_t *record,
                  const gs_request_event_t *event, GArray *actions)
{
  switch (event->status)
    {
    case GS_OK:
      on_claim_held (core, now, record, event->version, actions);
      break;
    case GS_ECONFLICT:
    case GS_EUNKNOWN:
    case GS_ETIMEOUT:
      read_claim (record, actions);
      break;
    default:
      record->claim_retry_at = now + RETRY_INTERVAL;
      break;
    }
}

/* The claim names this request, and its holder is the only process that may
   dispatch the call.  */
static void
on_own_claim (gs_request_core_t *core, gs_time_t now, record_t *record,
              const gs_claim_t *claim, uint64_t version, GArray *actions)
{
  if (claim->holder == core->incarnation)
    on_claim_held (core, now, record, version, actions);
  else if (record->handed_over && claim->holder == record->previous_holder)
    write_claim (record, version, actions);
  else
    end_unknown (core, now, record, "another process holds the claim",
                 actions);
}

static void
on_claim_read (gs_request_core_t *core, gs_time_t now, record_t *record,
               const gs_request_event_t *event, GArray *actions)
{
  gs_claim_t claim;
  gs_request_action_t *action;

  if (event->status == GS_ENOTFOUND)
    {
      /* An earlier write may still be in transit.  Both writes are on
         condition that no claim exists, so at most one of them succeeds.  */
      write_claim (record, 0, actions);
      return;
    }
  if (event->status != GS_OK)
    {
      record->claim_retry_at = now + RETRY_INTERVAL;
      return;
    }
  if (gs_claim_parse (&claim, event->data, event->length) != GS_OK)
    {
      end_unknown (core, now, record, "the claim cannot be parsed", actions);
      return;
    }
  if (gs_request_id_equal (&claim.id, &record->id))
    {
      on_own_claim (core, now, record, &claim, event->version, actions);
      return;
    }
  record->claim = CLAIM_ASKING;
  record->claim_version = event->version;
  action = record_action_append (actions, GS_ACTION_ASK_HOLDER, record);
  action->holder_id = claim.id;
  action->peer = claim.holder;
  action->backup = claim.backup;
}

/* Handles the reply about the earlier request that holds the key: its outcome,
   or an error status when its holder cannot be reached.  */
static void
on_holder_reply (gs_request_core_t *core, gs_time_t now, record_t *record,
                 const gs_request_event_t *event, GArray *actions)
{
  ending_t ending = { .outcome = event->outcome,
                      .http_status = event->http_status,
                      .content_type = event->content_type,
                      .data = event->data,
                      .length = event->length,
                      .reason = "outcome of the earlier call" };

  if (event->status != GS_OK)
    end_unknown (core, now, record,
                 "the outcome of the earlier call cannot be found", actions);
  else if (event->outcome == GS_STATE_NOT_RUN)
    write_claim (record, record->claim_version, actions);
  else if (event->outcome == GS_STATE_MOVED)
    {
      record->claim = CLAIM_READING;
      record->claim_retry_at = now + RETRY_INTERVAL;
      record->claim_deadline = record->spec.deadline;
    }
  else
    record_finish (core, now, record, &ending, actions);
}

void
claim_on_event (gs_request_core_t *core, gs_time_t now, record_t *record,
                const gs_request_event_t *event, GArray *actions)
{
  if (record->state != GS_STATE_ACCEPTED || record->claim_retry_at != 0)
    return;
  if (event->type == GS_EVENT_CLAIM && record->claim == CLAIM_WRITING)
    on_claim_written (core, now, record, event, actions);
  else if (event->type == GS_EVENT_CLAIM_READ
           && record->claim == CLAIM_READING)
    on_claim_read (core, now, record, event, actions);
  else if (event->type == GS_EVENT_HOLDER_REPLY
           && record->claim == CLAIM_ASKING)
    on_holder_reply (core, now, record, event, actions);
}

void
claim_on_tick (gs_request_core_t *core, gs_time_t now, record_t *record,
               GArray *actions)
{
  if (record->state != GS_STATE_ACCEPTED || record->claim_retry_at == 0)
    return;
  if (now >= record->claim_deadline)
    end_without_claim (core, now, record, "the store does not answer",
                       actions);
  else if (now >= record->claim_retry_at)
    read_claim (record, actions);
}
