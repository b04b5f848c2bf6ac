#include "gateway/relay_private.h"

#include <string.h>

/* Largest response, or event of a stream, that is buffered.  */
#define RESPONSE_BYTES_MAX ((size_t)16 << 20)

void
relay_attempt_end (relay_t *relay, gs_time_t now, placer_outcome_t outcome)
{
  if (relay->ticket.row == PLACER_ROW_NONE)
    return;
  relay_rollout_ended (relay, now, outcome);
  relay_crossing_end (relay, now, outcome);
  placer_attempt_end (relay->traffic->placer, now, &relay->ticket, outcome);
  relay->service->demand.in_flight--;
  admission_queue_end_record (
      relay->service->queue, &relay->entry,
      outcome == PLACER_SUCCEEDED ? now - relay->sent_at : 0);
}

static bool
is_success (const gs_response_head_t *head)
{
  return head->status >= 200 && head->status < 300;
}

/* @return whether a status tells a caller that its request has not run  */
static bool
is_promise (unsigned status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static bool
is_stream (const relay_t *relay)
{
  return relay->route->streaming && is_success (&relay->head)
         && relay->head.is_signed && !relay->head.encoded;
}

/* Records the first event of a stream, or the whole response.  Both show that
   the request has run, so it is counted in the usage, once.  */
static void
record_response (relay_t *relay)
{
  gs_time_t now = gs_clock_now ();

  if (relay->attempt_responded)
    return;
  relay->attempt_responded = true;
  if (relay->first_response_at == 0)
    relay->first_response_at = now;
  /* Another node knows the replica, and counts the request.  */
  if (relay->detoured)
    {
      relay->resumed |= is_stream (relay);
      return;
    }
  if (relay->route->resend_policy == GS_RESEND_RESUME && is_stream (relay))
    relay->version = placer_version_hash (relay->replica_version);
  relay_rollout_responded (relay, now);
  placer_first_event_record (relay->traffic->placer, now, &relay->ticket);
  admission_queue_response_record (relay->service->queue, &relay->entry,
                                   now - relay->sent_at);
  if (!relay->usage_counted && relay->account != NULL)
    usage_count_add (relay->traffic->usage, gs_clock_monotonic_wall (),
                     relay->account->name);
  relay->usage_counted = true;
}

/* Records what the replica says of itself in its answer.  With status 421
   another replica answers, which has the address now.  */
static void
record_statement (relay_t *relay)
{
  const gs_response_head_t *head = &relay->head;
  placer_statement_t statement
      = { .limit_per_sec = head->has_limit ? head->limit_per_sec : -1,
          .brittle = head->has_brittle,
          .rejections_max = head->rejections_max,
          .leaving = head->leaving };
  traffic_t *traffic = relay->traffic;
  gs_time_t now = gs_clock_now ();

  if (head->status == 421 || relay->detoured)
    return;
  if (head->status == 503 && head->retry_after > 0)
    statement.refused_until = now + head->retry_after;
  if (head->has_limit)
    relay_log_limit (relay);
  if (placer_statement_record (traffic->placer, now, &relay->ticket,
                               &statement))
    traffic->report_due = now;
}

/* A replica may write a response to an earlier request once more on a kept
   connection.  Only the attempt id tells which request a response belongs to.
 */
static bool
is_own_response (const relay_t *relay)
{
  if (relay->head.malformed)
    return false;
  if (relay->head.id[0] != '\0')
    return strcmp (relay->head.id, relay->request.id) == 0;
  return relay->detoured || !gs_loop_http_is_kept (relay->call);
}

/* Others that wait on idle connections of the replica would be lost as well,
   and new connections may find no room beside these.  */
static void
record_surplus_answer (const relay_t *relay)
{
  surplus_answers_add (relay->traffic->surplus_answers, gs_clock_now (),
                       relay->process);
  gs_loop_http_idle_connections_close (relay->call);
}

static const char *
content_type (const relay_t *relay)
{
  return relay->head.content_type[0] != '\0' ? relay->head.content_type : NULL;
}

/* @return whether the head finds room in the response to the caller, if it is
   to be passed on  */
static bool
is_head_deliverable (const relay_t *relay)
{
  GPtrArray *headers = relay->head.headers;
  bool fits;

  if (relay->head_sent || relay->head.not_run)
    return true;
  g_ptr_array_add (headers, NULL);
  fits = gs_exchange_head_fits (relay->exchange, content_type (relay),
                                (const char *const *)headers->pdata);
  g_ptr_array_remove_index (headers, headers->len - 1);
  return fits;
}

bool
relay_on_line (void *context, const char *line, size_t length)
{
  relay_t *relay = context;

  relay->traffic->has_contact |= !relay->detoured;
  /* Trailers follow the body; they do not change what the head says.  */
  if (relay->head.complete)
    return true;
  relay->traffic->options.header_codec->read_line (&relay->head, line, length);
  if (!relay->head.complete)
    return true;
  if (relay->head.keep_alive_seconds != 0 && !relay->detoured)
    relay->service->keep_alive_seconds = relay->head.keep_alive_seconds;
  /* A copy of a refusal may follow it and bear the id of a request that is
     under way again, so nothing else is sent on its connection.  */
  if (relay->head.not_run || is_promise (relay->head.status))
    gs_loop_http_connection_retire (relay->call);
  relay->response_mismatched = !is_own_response (relay);
  if (!relay->response_mismatched)
    {
      record_statement (relay);
      if (relay->head.status != 421 && !relay->detoured)
        relay_quarantine_alive (relay, gs_clock_now ());
      relay->response_too_large = !is_head_deliverable (relay);
    }
  else if (!relay->detoured && gs_loop_http_is_kept (relay->call))
    record_surplus_answer (relay);
  return !relay->response_mismatched && !relay->response_too_large;
}

/* @return names and values of the response headers, NULL-terminated; owned by
   the head  */
static const char *const *
response_headers (relay_t *relay)
{
  GPtrArray *headers = relay->head.headers;

  if (relay->traffic->leave_started_at != 0)
    {
      g_ptr_array_add (headers, g_strdup ("Connection"));
      g_ptr_array_add (headers, g_strdup ("close"));
    }
  g_ptr_array_add (headers, NULL);
  return (const char *const *)headers->pdata;
}

static void
start_stream (relay_t *relay)
{
  if (relay->head_sent)
    return;
  relay->head_sent = true;
  gs_exchange_start (relay->exchange, relay->head.status, content_type (relay),
                     response_headers (relay));
}

/* Accounts for a buffer that has grown or shrunk.
   @return false if the response is too large  */
bool
relay_buffered_set (relay_t *relay, size_t length)
{
  response_memory_t *memory = &relay->traffic->response_memory;

  if (length > RESPONSE_BYTES_MAX
      || (length > relay->buffered
          && !response_memory_take (memory, relay->buffered,
                                    length - relay->buffered)))
    {
      relay->response_too_large = true;
      return false;
    }
  if (length < relay->buffered)
    response_memory_return (memory, relay->buffered - length);
  relay->buffered = length;
  return true;
}

bool
relay_on_data (void *context, const char *data, size_t length)
{
  relay_t *relay = context;
  GString *complete;
  bool continues;

  relay->traffic->has_contact |= !relay->detoured;
  relay_crossing_received (relay, length);
  if (!is_stream (relay))
    {
      if (!relay_buffered_set (relay, relay->body->len + length))
        return false;
      g_string_append_len (relay->body, data, (gssize)length);
      return true;
    }
  complete = g_string_new (NULL);
  continues = events_feed (&relay->events, data, length, complete);
  relay->response_mismatched |= !continues;
  if (complete->len > 0)
    {
      record_response (relay);
      start_stream (relay);
      relay->response_too_large |= !gs_exchange_write (
          relay->exchange, complete->str, complete->len);
      relay_flow_check (relay);
    }
  g_string_free (complete, TRUE);
  return relay_buffered_set (relay, relay->events.partial->len) && continues;
}

/* @return whether the request may run once more.  A node that it was passed on
   to may have used up all its runs.  */
static bool
may_run_again (const relay_t *relay)
{
  /* A stream without event ids cannot go on in the middle.  */
  if (relay->head_sent && relay->events.last_id == 0)
    return false;
  return relay->possible_runs == 0
         || (relay->route->resend_policy != GS_RESEND_NEVER && !relay->detoured
             && relay_runs_left (relay) > 0);
}

/* @return whether the response, or its first event, can be here in time if the
   request is sent again now  */
static bool
has_time_to_resend (const relay_t *relay, gs_time_t now)
{
  return now
             + admission_queue_response_time (relay->service->queue,
                                              &relay->entry)
         < relay->deadline;
}

static bool
has_sends_left (const relay_t *relay)
{
  return relay->attempts - MIN (relay->misdirected, RELAY_SENDS_MAX)
         < RELAY_SENDS_MAX;
}

/* @return true if the request may be resent; takes the resend from the
   budget  */
static bool
reserve_resend (relay_t *relay, gs_time_t now)
{
  resend_bounds_t bounds = traffic_resend_bounds (relay->traffic);
  bool granted;

  if (!has_sends_left (relay) || !has_time_to_resend (relay, now))
    return false;
  if (!may_run_again (relay))
    return false;
  granted = resend_budget_take (&relay->service->budget, now, &bounds);
  relay_log_resend (relay, now, granted);
  return granted;
}

/* Resends the request to another replica if allowed, else ends it.
   @param arrived true if the attempt reached its replica; only then is the
   resend charged to the budget  */
static void
resend_or_fail (relay_t *relay, gs_time_t now, bool arrived,
                const char *reason)
{
  events_partial_discard (&relay->events);
  if (arrived ? reserve_resend (relay, now)
              : has_sends_left (relay) && has_time_to_resend (relay, now))
    relay_dispatch (relay, now);
  else
    relay_fail (relay, now, reason);
}

static void
handle_not_run (relay_t *relay, gs_time_t now)
{
  bool wrong_replica = relay->head.status == 421;

  relay->possible_runs--;
  relay->misdirected += wrong_replica;
  relay_log_attempt (relay, "not_run",
                     wrong_replica ? "other_replica" : "replica_refused");
  relay->avoid_row = relay->ticket.row;
  relay_attempt_end (relay, now,
                     wrong_replica ? PLACER_REPLICA_MISMATCH : PLACER_FULL);
  if (relay->head.status == 400)
    relay_end_with_error (relay, 400, "replica_rejected", 0);
  else
    resend_or_fail (relay, now, true,
                    wrong_replica ? "replica_gone" : "replica_full");
}

/* @return whether a stream has ended inside an event, which its replica has
   then broken off however the connection has ended  */
static bool
has_partial_event (const relay_t *relay)
{
  return is_stream (relay) && relay->events.partial->len > 0;
}

/* If the replica does not state that it has not run the request, it may have.
   @return whether forwarding the response would promise too much  */
static bool
is_unstated_refusal (const gs_response_head_t *head)
{
  return !head->not_run && is_promise (head->status);
}

/* Handles an attempt without a response to forward.  Unless its replica could
   not be reached, it may have run.  */
static void
handle_lost_attempt (relay_t *relay, gs_time_t now,
                     const gs_http_result_t *result)
{
  bool not_sent = result->status == GS_EUNREACHABLE;
  /* libcurl ends a transfer up to a millisecond before its deadline, so the
     reason comes from its status and not from the clock.  */
  const char *reason
      = relay->response_mismatched ? "foreign_answer"
        : result->status == GS_OK && is_unstated_refusal (&relay->head)
            ? "refusal_not_stated"
        : relay->response_too_large     ? "answer_too_large"
        : result->status == GS_OK       ? "answer_not_valid"
        : not_sent                      ? "replica_unreachable"
        : result->status == GS_ETIMEOUT ? "deadline"
                                        : "replica_lost";

  if (not_sent)
    relay->possible_runs--;
  /* Bytes that are no response may be the end of a surplus answer.  */
  if (!relay->detoured && result->kept_connection
      && (result->is_garbled
          || (result->status == GS_OK && !relay->head.complete)))
    surplus_answers_add (relay->traffic->surplus_answers, now, relay->process);
  if (!relay->detoured && (not_sent || result->status == GS_EUNKNOWN))
    replica_reach_doubt (&relay->traffic->reach);
  if (!relay->response_mismatched && !relay->detoured
      && !relay_rollout_is_exposed (relay)
      && (result->status == GS_EUNKNOWN || has_partial_event (relay)))
    relay_quarantine_lost (relay, now);
  relay_log_attempt (relay, not_sent ? "not_sent" : "unknown",
                     result->status == GS_OK || relay->response_too_large
                         ? reason
                         : result->reason);
  relay->avoid_row = relay->ticket.row;
  relay_attempt_end (relay, now,
                     not_sent ? PLACER_UNREACHABLE : PLACER_FAILED);
  resend_or_fail (relay, now, !not_sent, reason);
}

static bool
is_retryable_failure (const relay_t *relay)
{
  return relay->head.status >= 500
         && relay->route->resend_policy != GS_RESEND_NEVER;
}

static void
forward_response (relay_t *relay, gs_time_t now)
{
  unsigned status = relay->head.status;

  record_response (relay);
  relay_attempt_end (relay, now,
                     status >= 500 ? PLACER_FAILED : PLACER_SUCCEEDED);
  if (is_success (&relay->head) && relay->head.framed && !relay->detoured)
    relay_quarantine_answered (relay, now);
  relay_log_end (relay, now, "answered", status, "replica_answered");
  if (is_stream (relay))
    {
      start_stream (relay);
      gs_exchange_finish (relay->exchange);
    }
  else
    gs_exchange_reply (relay->exchange, status, content_type (relay),
                       response_headers (relay), relay->body->str,
                       relay->body->len);
  relay_free (relay);
}

/* Ends or resends a request that another node has ended with an answer of its
   own.  What answers at the address of a node may be another process, so its
   status is no proof that the request has not run.  */
static void
handle_node_answer (relay_t *relay, gs_time_t now)
{
  unsigned status = relay->head.status;
  bool not_run = strcmp (relay->head.not_run_id, relay->request.id) == 0;
  bool may_try_again
      = status >= 500 && relay->head.retry_after == 0
        && relay->detours < relay->traffic->options.deployment->detours_max;

  relay_log_attempt (relay, not_run ? "not_run" : "unknown", "node_answered");
  relay->possible_runs -= not_run;
  if (may_try_again
      && (not_run ? has_time_to_resend (relay, now)
                  : reserve_resend (relay, now)))
    relay_dispatch (relay, now);
  else if (relay->possible_runs > 0)
    relay_fail (relay, now, "node_failed");
  else if (status == 503 && relay->head.retry_after == 0)
    relay_reject (relay, now, "node_rejected");
  else
    relay_end_with_error (relay, status, "node_rejected",
                          relay->head.retry_after);
}

void
relay_on_done (void *context, const gs_http_result_t *result)
{
  relay_t *relay = context;
  gs_time_t now = gs_clock_now ();
  const gs_response_head_t *head = &relay->head;

  relay->call = NULL;
  relay_flow_end (relay);
  relay->kept_connection = result->kept_connection;
  relay->send_started = result->send_started;
  relay->local_port = result->local_port;
  if (result->status != GS_OK || !head->complete || relay->response_mismatched)
    handle_lost_attempt (relay, now, result);
  else if (relay->detoured && !is_success (head)
           && (!head->is_signed || is_promise (head->status)))
    handle_node_answer (relay, now);
  else if (head->not_run)
    handle_not_run (relay, now);
  else if (head->encoded || (is_success (head) && !head->is_signed)
           || (relay->head_sent && !is_stream (relay))
           || is_unstated_refusal (head) || has_partial_event (relay))
    handle_lost_attempt (relay, now, result);
  else if (is_retryable_failure (relay) && reserve_resend (relay, now))
    {
      relay_log_attempt (relay, "failed", "replica_failed");
      relay->avoid_row = relay->ticket.row;
      relay_attempt_end (relay, now, PLACER_FAILED);
      relay_dispatch (relay, now);
    }
  else
    forward_response (relay, now);
}
