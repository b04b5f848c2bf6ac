#include "garnetstack/metrics.h"
#include "request/record.h"

#include <string.h>

static void
record_free (gpointer data)
{
  record_t *record = data;

  if (record->spec.body != NULL)
    g_bytes_unref (record->spec.body);
  g_array_unref (record->followers);
  g_string_free (record->text, TRUE);
  g_array_unref (record->ends);
  g_array_unref (record->digests);
  g_free (record);
}

gs_status_t
gs_request_core_create (gs_request_core_t **out, uint64_t incarnation,
                        unsigned shard, const gs_request_port_t *port)
{
  gs_request_core_t *core = g_new0 (gs_request_core_t, 1);

  core->incarnation = incarnation;
  core->next_sequence = ((uint64_t)1 << GS_SHARD_BITS) | shard;
  core->port = *port;
  core->records = g_hash_table_new_full (
      gs_request_id_hash, gs_request_id_equal, NULL, record_free);
  core->ended = g_queue_new ();
  core->ended_in_step = g_ptr_array_new ();
  *out = core;
  return GS_OK;
}

void
gs_request_core_destroy (gs_request_core_t *core)
{
  if (core == NULL)
    return;
  g_queue_free (core->ended);
  g_ptr_array_unref (core->ended_in_step);
  g_hash_table_unref (core->records);
  g_free (core);
}

size_t
gs_request_core_open_count (const gs_request_core_t *core)
{
  return core->open;
}

gs_status_t
gs_request_core_state (const gs_request_core_t *core, gs_request_id_t id,
                       gs_request_state_t *out)
{
  const record_t *record = g_hash_table_lookup (core->records, &id);

  if (record == NULL)
    return gs_error_set (GS_ENOTFOUND, "no such request");
  *out = record->state;
  return GS_OK;
}

const gs_request_spec_t *
gs_request_core_spec (const gs_request_core_t *core, gs_request_id_t id)
{
  const record_t *record = g_hash_table_lookup (core->records, &id);

  return record != NULL ? &record->spec : NULL;
}

static void
release_bodies (gs_request_core_t *core)
{
  for (guint i = 0; i < core->ended_in_step->len; i++)
    {
      record_t *record = core->ended_in_step->pdata[i];

      g_bytes_unref (record->spec.body);
      record->spec.body = NULL;
    }
  g_ptr_array_set_size (core->ended_in_step, 0);
}

/* Removes the oldest ended requests: those beyond their time to live, and as
   many as needed to bring the memory of all below its bound.  */
static void
evict (gs_request_core_t *core, gs_time_t now)
{
  record_t *oldest;

  while ((oldest = g_queue_peek_head (core->ended)) != NULL
         && (now - oldest->ended_at >= GS_ANSWER_TTL
             || core->ended_bytes > GS_ANSWER_BYTES_MAX))
    {
      g_queue_pop_head (core->ended);
      core->ended_bytes -= record_bytes (oldest);
      g_hash_table_remove (core->records, &oldest->id);
    }
}

static void
on_submit (gs_request_core_t *core, gs_time_t now,
           const gs_request_event_t *event, GArray *actions,
           gs_request_id_t *id)
{
  gs_request_id_t new_id = { core->incarnation, core->next_sequence };
  bool full = core->open >= GS_REQUESTS_OPEN_MAX
              || core->open_bytes + g_bytes_get_size (event->spec->body)
                     > GS_REQUESTS_OPEN_BYTES_MAX;
  record_t *record = record_add (core, new_id, event->spec);
  follower_t follower = { event->caller, 0, 0, true };
  ending_t rejected = { .outcome = GS_STATE_NOT_RUN,
                        .http_status = 429,
                        .retry_after = GS_SEC,
                        .reason = full ? "too many open requests" : "limit" };

  core->next_sequence += (uint64_t)1 << GS_SHARD_BITS;
  if (event->caller != NULL)
    g_array_append_val (record->followers, follower);
  gs_metric_add (GS_METRIC_REQUESTS_RECEIVED, 1);
  if (id != NULL)
    *id = record->id;
  if (full
      || core->port.admit (core->port.context, now, &record->spec,
                           &rejected.retry_after)
             != GS_OK)
    {
      record_finish (core, now, record, &rejected, actions);
      return;
    }
  record->admitted = true;
  gs_metric_add (GS_METRIC_REQUESTS_ACCEPTED, 1);
  handover_backup_choose (core, now, record, 0, actions);
}

static void
end_at_deadline (gs_request_core_t *core, gs_time_t now, record_t *record,
                 GArray *actions)
{
  bool is_running = record->state == GS_STATE_DISPATCHED;
  bool holder_lost = record->adopted && !record->handed_over;
  bool is_call = record_needs_claim (record);
  bool may_have_run
      = is_running || record->maybe_ran || record->handover_requested
        || (is_call && holder_lost && record->claim != CLAIM_HELD);
  ending_t ending = { .outcome = !may_have_run ? GS_STATE_NOT_RUN
                                 : is_call     ? GS_STATE_UNKNOWN
                                               : GS_STATE_FAILED,
                      .http_status = 504,
                      .retry_after = GS_SEC,
                      .reason = "deadline" };

  attempt_abort (core, now, record, false, actions);
  record_finish (core, now, record, &ending, actions);
}

static void
tick_record (gs_request_core_t *core, gs_time_t now, record_t *record,
             GArray *actions)
{
  if (now >= record->spec.deadline)
    {
      end_at_deadline (core, now, record, actions);
      return;
    }
  if (core->leave_deadline != 0)
    handover_start (core, now, record, actions);
  handover_on_tick (core, now, record, actions);
  if (record->handover_requested)
    return;
  claim_on_tick (core, now, record, actions);
  if (record->state == GS_STATE_ACCEPTED && record->retry_at != 0
      && now >= record->retry_at)
    attempt_dispatch (core, now, record, NULL, actions);
}

static bool
event_concerns (const record_t *record, const gs_request_event_t *event)
{
  switch (event->type)
    {
    case GS_EVENT_PEER_LOST:
    case GS_EVENT_PEER_LEAVING:
      return record->backup == event->peer;
    case GS_EVENT_UPSTREAM_LEAVING:
      return strcmp (record->route.upstream, event->data) == 0;
    default:
      return true;
    }
}

/* Handles an event that concerns all open requests.  A backup that only
   announces its shutdown is kept while there is no other.  */
static void
on_all_records (gs_request_core_t *core, gs_time_t now,
                const gs_request_event_t *event, GArray *actions)
{
  GList *values = g_hash_table_get_values (core->records);

  for (GList *item = values; item != NULL; item = item->next)
    {
      record_t *record = item->data;

      if (!record_is_open (record) || !event_concerns (record, event))
        continue;
      if (event->type == GS_EVENT_UPSTREAM_LEAVING)
        attempt_on_upstream_leaving (core, now, record, actions);
      else if (event->type == GS_EVENT_TICK || event->type == GS_EVENT_LEAVE)
        tick_record (core, now, record, actions);
      else if (!record->handover_requested
               && (event->type == GS_EVENT_PEER_LOST
                   || core->port.backup (core->port.context, record->id,
                                         event->peer)
                          != 0))
        handover_backup_choose (core, now, record, event->peer, actions);
    }
  g_list_free (values);
}

static void
send_tokens (const record_t *record, const gs_request_event_t *event,
             GArray *actions)
{
  gs_request_action_t *action
      = record_action_append (actions, GS_ACTION_CALLER_ACCEPTED, record);

  action->caller = event->caller;
  action->spec = NULL;
  for (uint32_t i = event->offset; i < record_token_count (record); i++)
    {
      size_t start = record_token_start (record, i);

      action = record_action_append (actions, GS_ACTION_CALLER_CHUNK, record);
      action->caller = event->caller;
      action->spec = NULL;
      action->offset = i;
      action->data = record->text->str + start;
      action->length = record_token_start (record, i + 1) - start;
      action->digest = record_digest (record, i + 1);
    }
}

/* A caller gets the rest only if its text equals the text held here.  Two
   processes may have computed different answers while they were not
   connected.  */
static void
on_attach (record_t *record, const gs_request_event_t *event, GArray *actions)
{
  uint32_t tokens = record_token_count (record);
  follower_t follower = { event->caller, MAX (event->offset, tokens),
                          event->digest, event->offset <= tokens };
  bool same = event->offset <= tokens
                  ? record_digest (record, event->offset) == event->digest
                  : record_is_open (record);

  if (!same)
    {
      record_text_reject (record, event->caller, actions);
      return;
    }
  send_tokens (record, event, actions);
  if (record_is_open (record))
    g_array_append_val (record->followers, follower);
  else
    record_caller_end_append (record, event->caller, actions);
}

static void
on_record_event (gs_request_core_t *core, gs_time_t now, record_t *record,
                 const gs_request_event_t *event, GArray *actions)
{
  switch (event->type)
    {
    case GS_EVENT_ATTACH:
      on_attach (record, event, actions);
      break;
    case GS_EVENT_BACKUP_ACK:
      handover_on_ack (core, now, record, event, actions);
      break;
    case GS_EVENT_CLAIM:
    case GS_EVENT_CLAIM_READ:
    case GS_EVENT_HOLDER_REPLY:
      claim_on_event (core, now, record, event, actions);
      break;
    case GS_EVENT_CHUNK:
      attempt_on_chunk (core, now, record, event, actions);
      break;
    case GS_EVENT_END:
      attempt_on_end (core, now, record, event, actions);
      break;
    case GS_EVENT_KV_MOVED:
      attempt_on_kv_moved (core, now, record, event, actions);
      break;
    default:
      break;
    }
}

void
gs_request_core_step (gs_request_core_t *core, gs_time_t now,
                      const gs_request_event_t *event, GArray *actions,
                      gs_request_id_t *id)
{
  record_t *record;

  release_bodies (core);
  evict (core, now);
  switch (event->type)
    {
    case GS_EVENT_SUBMIT:
      on_submit (core, now, event, actions, id);
      return;
    case GS_EVENT_ADOPT:
      handover_adopt (core, now, event, actions);
      return;
    case GS_EVENT_KEEP:
      handover_keep (core, now, event);
      return;
    case GS_EVENT_LEAVE:
      core->leave_deadline = event->deadline;
      on_all_records (core, now, event, actions);
      return;
    case GS_EVENT_TICK:
    case GS_EVENT_PEER_LOST:
    case GS_EVENT_PEER_LEAVING:
    case GS_EVENT_UPSTREAM_LEAVING:
      on_all_records (core, now, event, actions);
      return;
    default:
      break;
    }
  record = g_hash_table_lookup (core->records, &event->id);
  if (record != NULL)
    on_record_event (core, now, record, event, actions);
}
