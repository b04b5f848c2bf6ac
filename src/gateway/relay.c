#include "gateway/relay_private.h"

#include "garnetstack/log.h"
#include "garnetstack/meter.h"

#include <math.h>
#include <string.h>

/* Replicas that one request is offered to at most, those included that say
   that they did not run it.  */
#define SENDS_MAX 4
/* With less time left a request is not sent once more.  */
#define RESEND_TIME_LEAST (60 * GS_MSEC)
/* Replicas and nodes stand within a region; a connection that takes longer to
   open has lost packets or nobody there.  */
#define CONNECT_TIME (500 * GS_MSEC)
/* Largest answer that is kept until it is whole.  */
#define ANSWER_BYTES_MAX ((size_t)16 << 20)
/* Keep-alive time of replicas from which on their connections are used again;
   libcurl counts idle time in whole seconds.  */
#define KEEP_SECONDS_LEAST 3
/* Half-life of the rate at which requests end here.  */
#define RATE_HALF_LIFE (2 * GS_SEC)
/* A node that is told to end takes requests for so long, while callers learn
   of it; then it sends them elsewhere.  */
#define LEAVE_TAKES (2500 * GS_MSEC)
/* When callers are asked to come back to a node that has no configuration yet:
   it has one some tenths of a second after it found a peer or the store.  And
   when to go to another, as this one ends.  */
#define UNCONFIGURED_RETRY (500 * GS_MSEC)
#define LEAVING_RETRY (100 * GS_MSEC)
/* Timers of the client library count whole milliseconds.  */
#define DEADLINE_SLACK (5 * GS_MSEC)

static void serve_one (relay_t *relay, gs_time_t now);

static void
relay_free (relay_t *relay)
{
  traffic_t *traffic = relay->traffic;

  relay_stop_waiting (relay);
  if (relay->charged > 0 && relay->runs == 0)
    quota_cancel (traffic->quota, gs_clock_now (), relay->account_hash,
                  relay->charged);
  gs_exchange_on_gone (relay->exchange, NULL, NULL);
  gs_exchange_unref (relay->exchange);
  g_hash_table_remove (traffic->relays, relay);
  gs_response_head_clear (&relay->head);
  events_clear (&relay->events);
  g_string_free (relay->body, TRUE);
  gs_route_table_unref (relay->table);
  g_free (relay);
}

/* The end of a request with an answer of the node's own.  */
static void
answer_own (relay_t *relay, unsigned status, const char *reason,
            gs_time_t retry_after)
{
  gs_time_t now = gs_clock_now ();
  bool leaving = relay->traffic->leave_at != 0;
  bool not_run = status == 503 || status == 429;
  char seconds[32];
  char *text = g_strdup_printf (
      "{\"error\":{\"type\":\"%s\",\"outcome\":\"%s\"}}", reason,
      not_run || status < 500 ? "not_run" : "unknown");
  const char *headers[5] = { NULL };
  unsigned count = 0;

  if (retry_after > 0)
    {
      g_snprintf (seconds, sizeof seconds, "%lld.%03lld",
                  (long long)(retry_after / GS_SEC),
                  (long long)(retry_after % GS_SEC / GS_MSEC));
      headers[count++] = "Retry-After";
      headers[count++] = seconds;
    }
  if (leaving)
    {
      headers[count++] = "Connection";
      headers[count++] = "close";
    }
  relay_log_end (relay, now,
                 not_run        ? "refused"
                 : status < 500 ? "denied"
                                : "failed",
                 status, reason);
  if (relay->started)
    gs_exchange_abort (relay->exchange);
  else
    gs_exchange_reply (relay->exchange, status, "application/json", headers,
                       text, strlen (text));
  g_free (text);
  relay_free (relay);
}

static void
refuse (relay_t *relay, gs_time_t now, const char *reason)
{
  answer_own (relay, 503, reason, relay_retry_after (relay, now));
}

static bool
is_over (const relay_t *relay, gs_time_t now)
{
  return now + DEADLINE_SLACK >= relay->deadline;
}

/* No more can be done.  Only what has certainly not run may be called so. */
static void
give_up (relay_t *relay, gs_time_t now, const char *reason)
{
  if (relay->runs == 0 && now < relay->deadline)
    refuse (relay, now, reason);
  else if (relay->runs == 0)
    answer_own (relay, 503, reason, 0);
  else
    answer_own (relay, is_over (relay, now) ? 504 : 502, reason, 0);
}

static void
note_ended (traffic_service_t *service, gs_time_t now)
{
  double passed = (double)(now - service->ended_at);

  service->ended_per_sec
      = service->ended_per_sec * exp2 (-passed / RATE_HALF_LIFE)
        + M_LN2 * GS_SEC / RATE_HALF_LIFE;
  service->ended_at = now;
}

static void
end_attempt (relay_t *relay, gs_time_t now, placer_end_t end)
{
  if (relay->ticket.row == PLACER_ROW_NONE)
    return;
  placer_ended (relay->traffic->placer, now, &relay->ticket, end);
  relay->service->demand.in_flight--;
  note_ended (relay->service, now);
}

/* The caller has closed its connection.  */
static void
on_gone (void *context)
{
  relay_t *relay = context;
  gs_time_t now = gs_clock_now ();

  if (relay->call != NULL)
    gs_loop_http_cancel (relay->call);
  relay->call = NULL;
  end_attempt (relay, now, PLACER_LEFT);
  relay_log_end (relay, now, "left", 0, "caller_closed");
  gs_exchange_abort (relay->exchange);
  relay_free (relay);
}

/* The answer, or its first event, has begun: the request runs.  */
static void
note_began (relay_t *relay)
{
  gs_time_t now = gs_clock_now ();

  if (relay->attempt_began)
    return;
  relay->attempt_began = true;
  placer_first (relay->traffic->placer, now, &relay->ticket);
  if (relay->first_at == 0)
    relay->first_at = now;
  if (!relay->counted && relay->account != NULL)
    usage_count_note (relay->traffic->usage, gs_clock_carried_wall (),
                      relay->account->name);
  relay->counted = true;
}

static bool
is_success (const gs_response_head_t *head)
{
  return head->status >= 200 && head->status < 300;
}

static bool
is_stream (const relay_t *relay)
{
  return relay->route->streaming && is_success (&relay->head)
         && relay->head.is_signed && !relay->head.encoded;
}

static bool
on_line (void *context, const char *line, size_t length)
{
  relay_t *relay = context;

  relay->traffic->options.passing->read_line (&relay->head, line, length);
  if (!relay->head.complete)
    return true;
  if (relay->head.keep_alive_seconds != 0)
    relay->service->keep_seconds = relay->head.keep_alive_seconds;
  /* The answer to a request before, which came late on the connection.  */
  relay->foreign = relay->head.id[0] != '\0'
                   && strcmp (relay->head.id, relay->request.id) != 0;
  return !relay->foreign;
}

/* @return names and values to pass back, NULL-ended; owned by the head  */
static const char *const *
pass_back (relay_t *relay)
{
  GPtrArray *headers = relay->head.headers;

  if (relay->traffic->leave_at != 0)
    {
      g_ptr_array_add (headers, g_strdup ("Connection"));
      g_ptr_array_add (headers, g_strdup ("close"));
    }
  g_ptr_array_add (headers, NULL);
  return (const char *const *)headers->pdata;
}

static const char *
content_type (const relay_t *relay)
{
  return relay->head.content_type[0] != '\0' ? relay->head.content_type : NULL;
}

static void
start_stream (relay_t *relay)
{
  if (relay->started)
    return;
  relay->started = true;
  gs_exchange_start (relay->exchange, relay->head.status, content_type (relay),
                     pass_back (relay));
}

static bool
on_data (void *context, const char *data, size_t length)
{
  relay_t *relay = context;
  GString *whole;

  if (!is_stream (relay))
    {
      if (relay->body->len + length > ANSWER_BYTES_MAX)
        return false;
      g_string_append_len (relay->body, data, (gssize)length);
      return true;
    }
  whole = g_string_new (NULL);
  events_feed (&relay->events, data, length, whole);
  if (whole->len > 0)
    {
      note_began (relay);
      start_stream (relay);
      gs_exchange_write (relay->exchange, whole->str, whole->len);
    }
  g_string_free (whole, TRUE);
  return true;
}

static bool
may_resend (relay_t *relay, gs_time_t now)
{
  resend_bounds_t bounds = traffic_resend_bounds (relay->traffic);

  if (relay->sends >= SENDS_MAX || now + RESEND_TIME_LEAST > relay->deadline)
    return false;
  if (relay->runs > 0
      && (relay->route->repeat == GS_REPEAT_NEVER
          || relay->runs >= relay->route->runs_max))
    return false;
  return resend_budget_take (&relay->service->budget, now, &bounds);
}

/* Another replica, if that is allowed; else the end.
   @param arrived whether the attempt reached its replica  */
static void
go_elsewhere (relay_t *relay, gs_time_t now, bool arrived, const char *reason)
{
  relay->avoid = relay->ticket.row;
  events_drop_held (&relay->events);
  if (arrived ? may_resend (relay, now)
              : relay->sends < SENDS_MAX
                    && now + RESEND_TIME_LEAST < relay->deadline)
    serve_one (relay, now);
  else
    give_up (relay, now, reason);
}

static void
on_not_run (relay_t *relay, gs_time_t now)
{
  uint32_t row = relay->ticket.row;
  bool other = relay->head.status == 421;

  relay->runs--;
  relay_log_attempt (relay, "not_run",
                     other ? "other_replica" : "replica_refused");
  end_attempt (relay, now, other ? PLACER_OTHER : PLACER_FULL);
  relay->ticket.row = row;
  if (relay->head.status == 400)
    answer_own (relay, 400, "replica_rejected", 0);
  else
    go_elsewhere (relay, now, true, other ? "replica_gone" : "replica_full");
}

/* Its fate is not known, or it ran and failed without an answer to pass on. */
static void
on_lost (relay_t *relay, gs_time_t now, const gs_http_result_t *result)
{
  uint32_t row = relay->ticket.row;
  bool unsent = result->status == GS_EUNREACHABLE;
  /* libcurl ends a transfer up to a millisecond before its deadline.  */
  const char *reason = relay->foreign                  ? "foreign_answer"
                       : result->status == GS_OK       ? "answer_not_valid"
                       : unsent                        ? "replica_unreachable"
                       : result->status == GS_ETIMEOUT ? "deadline"
                                                       : "replica_lost";

  if (unsent)
    relay->runs--;
  relay_log_attempt (relay, unsent ? "not_sent" : "unknown",
                     result->status == GS_OK ? reason : result->reason);
  end_attempt (relay, now, unsent ? PLACER_UNREACHABLE : PLACER_FAILED);
  relay->ticket.row = row;
  go_elsewhere (relay, now, !unsent, reason);
}

static bool
is_retryable_failure (const relay_t *relay)
{
  return relay->head.status >= 500 && relay->route->repeat != GS_REPEAT_NEVER;
}

static void
pass_answer (relay_t *relay, gs_time_t now)
{
  unsigned status = relay->head.status;

  note_began (relay);
  end_attempt (relay, now, status >= 500 ? PLACER_FAILED : PLACER_GOOD);
  relay_log_end (relay, now, "answered", status, "replica_answered");
  if (is_stream (relay))
    {
      start_stream (relay);
      gs_exchange_finish (relay->exchange);
    }
  else
    gs_exchange_reply (relay->exchange, status, content_type (relay),
                       pass_back (relay), relay->body->str, relay->body->len);
  relay_free (relay);
}

static void
on_done (void *context, const gs_http_result_t *result)
{
  relay_t *relay = context;
  gs_time_t now = gs_clock_now ();
  const gs_response_head_t *head = &relay->head;

  relay->call = NULL;
  if (result->status != GS_OK || !head->complete || relay->foreign)
    on_lost (relay, now, result);
  else if (head->not_run)
    on_not_run (relay, now);
  else if (head->encoded || (is_success (head) && !head->is_signed)
           || (relay->started && !is_stream (relay))
           || (is_stream (relay) && relay->events.held->len > 0))
    on_lost (relay, now, result);
  else if (is_retryable_failure (relay) && may_resend (relay, now))
    {
      relay_log_attempt (relay, "failed", "replica_failed");
      relay->avoid = relay->ticket.row;
      end_attempt (relay, now, PLACER_FAILED);
      serve_one (relay, now);
    }
  else
    pass_answer (relay, now);
}

static placer_query_t
make_query (const relay_t *relay)
{
  const gs_request_headers_t *request = &relay->request;
  uint32_t hint = request->output_tokens_hint;

  return (placer_query_t){
    .service = relay->service->name,
    .engine = relay->service_row->engine,
    .cache_tokens = relay->service_row->cache_tokens,
    .connections_max = relay->service_row->connections_max,
    .prompt_tokens = request->prompt_tokens,
    .output_tokens = hint != 0 ? MIN (hint, request->output_tokens_max)
                               : request->output_tokens_max / 2,
    .parts = request->blocks,
    .part_count = request->block_count,
    .avoid = relay->avoid,
  };
}

static void
send_request (relay_t *relay, gs_time_t now, const placer_query_t *query)
{
  const gs_replica_t *replica
      = placer_replica (relay->traffic->placer, relay->choice.row);
  gs_forward_headers_t extra
      = { .replica = replica->id,
          .account = relay->account != NULL ? relay->account->name : NULL,
          .deadline = relay->deadline,
          .priority = relay->service_row->engine ? relay_priority (relay)
                                                 : GS_PRIORITY_UNSET,
          .resume_after = relay->events.last_id };
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  char **headers = relay->traffic->options.passing->write_headers (
      relay->exchange, &extra);
  char *url = g_strdup_printf ("http://%s/", replica->address);
  size_t length;
  const char *body = gs_exchange_body (relay->exchange, &length);
  unsigned keep = relay->service->keep_seconds;

  placer_sent (relay->traffic->placer, now, query, &relay->choice,
               &relay->ticket);
  relay->service->demand.in_flight++;
  relay->service->demand.missing_tokens += relay->choice.missing_tokens;
  g_strlcpy (relay->replica, replica->id, sizeof relay->replica);
  relay->sent_at = now;
  relay->sends++;
  relay->runs++;
  relay->attempt_began = false;
  relay->foreign = false;
  gs_response_head_clear (&relay->head);
  gs_response_head_init (&relay->head);
  g_string_truncate (relay->body, 0);
  relay_log_placed (relay, now);
  request.method = gs_exchange_method (relay->exchange);
  request.url = url;
  request.target = gs_exchange_target (relay->exchange);
  request.headers = (const char *const *)headers;
  if (length > 0 || strcmp (request.method, "POST") == 0
      || strcmp (request.method, "PUT") == 0)
    request.body = body;
  request.body_length = length;
  request.deadline = relay->deadline;
  request.connect_deadline = MIN (now + CONNECT_TIME, relay->deadline);
  request.once = true;
  request.probe_silence = true;
  if (keep >= KEEP_SECONDS_LEAST)
    request.idle_seconds_max = keep - 2;
  else if (relay->route->repeat == GS_REPEAT_NEVER)
    request.fresh = true;
  request.on_line = on_line;
  request.on_data = on_data;
  request.on_done = on_done;
  request.context = relay;
  gs_loop_http (&relay->call, relay->traffic->loop, &request);
  g_free (url);
  g_strfreev (headers);
}

static void
refuse_for_room (relay_t *relay, gs_time_t now, const char *reason)
{
  relay->service->demand.refused++;
  give_up (relay, now, reason);
}

/* Send a request, or let it wait, or refuse it.  */
static void
serve_one (relay_t *relay, gs_time_t now)
{
  placer_query_t query = make_query (relay);
  gs_status_t status
      = placer_pick (relay->traffic->placer, now, &query, &relay->choice);

  if (status == GS_OK)
    send_request (relay, now, &query);
  else if (relay->runs > 0)
    give_up (relay, now, "no_other_replica");
  else if (!relay_wait (relay, now))
    refuse_for_room (relay, now, "no_room");
}

static void
serve_service (traffic_t *traffic, traffic_service_t *service, gs_time_t now)
{
  bool room = true;
  GList *next;

  for (GList *link = service->waiting.head; link != NULL; link = next)
    {
      relay_t *relay = link->data;
      placer_query_t query = make_query (relay);

      next = link->next;
      if (room
          && placer_pick (traffic->placer, now, &query, &relay->choice)
                 == GS_OK)
        {
          relay_stop_waiting (relay);
          send_request (relay, now, &query);
        }
      else if (now >= relay_waits_until (relay))
        {
          relay_stop_waiting (relay);
          refuse_for_room (relay, now, "waited_for_room");
        }
      else
        room = false;
    }
}

void
relay_serve_waiting (traffic_t *traffic, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, traffic->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!g_queue_is_empty (&((traffic_service_t *)value)->waiting))
      serve_service (traffic, value, now);
}

void
relay_end_all (traffic_t *traffic)
{
  GList *open_relays = g_hash_table_get_keys (traffic->relays);

  for (GList *link = open_relays; link != NULL; link = link->next)
    {
      relay_t *relay = link->data;

      if (relay->call != NULL)
        gs_loop_http_cancel (relay->call);
      gs_exchange_abort (relay->exchange);
      relay_free (relay);
    }
  g_list_free (open_relays);
}

static relay_t *
relay_new (traffic_t *traffic, gs_exchange_t *exchange)
{
  relay_t *relay = g_new0 (relay_t, 1);

  relay->traffic = traffic;
  relay->exchange = gs_exchange_ref (exchange);
  relay->table = gs_route_table_ref (traffic->table);
  relay->arrived_at = gs_exchange_received_at (exchange);
  relay->ticket.row = PLACER_ROW_NONE;
  relay->avoid = PLACER_ROW_NONE;
  relay->body = g_string_new (NULL);
  events_init (&relay->events);
  gs_response_head_init (&relay->head);
  traffic->options.passing->read_request (&relay->request, exchange);
  g_hash_table_add (traffic->relays, relay);
  gs_exchange_on_gone (exchange, on_gone, relay);
  return relay;
}

/* A node that is about to end takes nothing that it may not finish.  */
static bool
is_too_late (const traffic_t *traffic, gs_time_t now)
{
  return traffic->leave_at != 0 && now > traffic->leave_at + LEAVE_TAKES;
}

void
relay_begin (traffic_t *traffic, gs_exchange_t *exchange)
{
  gs_time_t now = gs_clock_now ();
  relay_t *relay = relay_new (traffic, exchange);
  gs_time_t again = 0;
  const char *reason;
  unsigned status;

  if (relay->table == NULL)
    {
      answer_own (relay, 503, "no_configuration", UNCONFIGURED_RETRY);
      return;
    }
  status = relay_find_route (relay, &reason);
  if (status != 0)
    {
      answer_own (relay, status, reason, 0);
      return;
    }
  relay_set_times (relay);
  relay->service_row = relay_choose_service (relay);
  relay->service = traffic_service (traffic, relay->service_row->name);
  resend_budget_note (&relay->service->budget, now);
  if (is_too_late (traffic, now))
    answer_own (relay, 503, "node_leaving", LEAVING_RETRY);
  else if (!relay_take_limit (relay, now, &again))
    answer_own (relay, 429, "account_limit", again);
  else
    {
      relay->service->demand.requests++;
      serve_one (relay, now);
    }
}
