#include "gateway/relay_private.h"

#include <string.h>

/* Replicas and nodes are in one region.  A connection that takes longer to
   open has lost packets or an unreachable peer.  */
#define CONNECT_TIMEOUT (500 * GS_MSEC)
/* Connections are reused only if the replica's keep-alive time is at least
   this long, because libcurl counts idle time in whole seconds.  */
#define KEEP_ALIVE_SECONDS_MIN 3

static placer_query_t
make_query (relay_t *relay, gs_time_t now)
{
  const gs_request_headers_t *request = &relay->request;
  uint32_t hint = request->output_tokens_hint;

  placer_query_t query = {
    .service = relay->service->name,
    .engine = relay->service_config->engine,
    .cache_tokens = relay->service_config->cache_tokens,
    .connections_max = relay->service_config->connections_max,
    .prompt_tokens = request->prompt_tokens,
    .output_tokens = hint != 0 ? MIN (hint, request->output_tokens_max)
                               : request->output_tokens_max / 2,
    .blocks = request->blocks,
    .block_count = request->block_count,
    .version = relay->version,
    .avoid = relay->avoid_row,
  };

  relay_origin_restrict (relay, now, &query);
  relay_crossing_set (relay, now, &query);
  return query;
}

static void
reset_attempt (relay_t *relay, gs_time_t now)
{
  relay->sent_at = now;
  relay->attempts++;
  relay->possible_runs++;
  relay->attempt_responded = false;
  relay->response_mismatched = false;
  if (relay->head_sent)
    events_resume (&relay->events);
  gs_response_head_clear (&relay->head);
  gs_response_head_init (&relay->head);
  g_string_truncate (relay->body, 0);
  relay->response_too_large = false;
  relay_buffered_set (relay, 0);
}

/* Starts the attempt that reset_attempt() has set up.  */
static void
start_attempt (relay_t *relay, gs_time_t now, const char *url, char **headers,
               gs_http_request_t *request)
{
  size_t length;
  const char *body = gs_exchange_body (relay->exchange, &length);

  request->method = gs_exchange_method (relay->exchange);
  request->url = url;
  request->target = gs_exchange_target (relay->exchange);
  request->headers = (const char *const *)headers;
  if (length > 0 || strcmp (request->method, "POST") == 0
      || strcmp (request->method, "PUT") == 0)
    request->body = body;
  request->body_length = length;
  request->deadline = relay->deadline;
  request->connect_deadline = MIN (now + CONNECT_TIMEOUT, relay->deadline);
  request->no_resend = true;
  request->tcp_keepalive = true;
  request->on_line = relay_on_line;
  request->on_data = relay_on_data;
  request->on_done = relay_on_done;
  request->context = relay;
  gs_loop_http (&relay->call, relay->traffic->loop, request);
}

/* Passes a request on to another node, which treats it as one of its own
   callers'.  */
static void
send_to_node (relay_t *relay, gs_time_t now)
{
  const gs_endpoint_t *endpoint = relay_detour_choose (relay);
  gs_forward_headers_t extra = { .to_node = true,
                                 .deadline = relay->deadline,
                                 .runs_left = relay_runs_left (relay),
                                 .resume_after = relay->events.last_id };
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  char *url = g_strdup_printf ("http://%s:%u/", endpoint->host,
                               (unsigned)endpoint->port);
  char **headers;

  if (extra.resume_after != 0 && relay->request.resumes[0] == '\0')
    extra.resumes = relay->request.id;
  headers = relay->traffic->options.header_codec->write_headers (
      relay->exchange, &extra);
  relay_detour_charge_cancel (relay, now);
  relay->detoured = true;
  reset_attempt (relay, now);
  g_strlcpy (relay->replica_id, "-", sizeof relay->replica_id);
  relay->replica_version[0] = '\0';
  relay_log_detour (relay, now);
  request.new_connection = relay->route->resend_policy == GS_RESEND_NEVER;
  start_attempt (relay, now, url, headers, &request);
  g_free (url);
  g_strfreev (headers);
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
          .priority = relay->service_config->engine ? relay_priority (relay)
                                                    : GS_PRIORITY_UNSET,
          .resume_after = relay->events.last_id };
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  char **headers = relay->traffic->options.header_codec->write_headers (
      relay->exchange, &extra);
  char *url = g_strdup_printf ("http://%s/", replica->address);
  unsigned keep_alive = relay->service->keep_alive_seconds;

  admission_queue_sent_record (relay->service->queue, now, &relay->entry);
  placer_attempt_begin (relay->traffic->placer, now, query, &relay->choice,
                        &relay->ticket);
  relay->service->demand.in_flight++;
  relay->service->demand.uncached_tokens += relay->choice.uncached_tokens;
  g_strlcpy (relay->replica_id, replica->id, sizeof relay->replica_id);
  g_strlcpy (relay->replica_version, replica->version,
             sizeof relay->replica_version);
  relay->process = placer_process_hash (replica);
  /* A connection that has carried the request may hold a copy of an answer to
     it.  */
  request.unused_connection = relay->attempts > 0;
  relay_crossing_begin (relay, replica);
  relay_origin_record (relay, now);
  relay->detoured = false;
  reset_attempt (relay, now);
  relay_rollout_sent (relay);
  relay_log_placement (relay, now);
  if (surplus_answers_expected (relay->traffic->surplus_answers, now,
                                relay->process))
    request.new_connection = true;
  else if (keep_alive >= KEEP_ALIVE_SECONDS_MIN)
    request.idle_seconds_max = keep_alive - 2;
  else if (relay->route->resend_policy == GS_RESEND_NEVER)
    request.new_connection = true;
  start_attempt (relay, now, url, headers, &request);
  g_free (url);
  g_strfreev (headers);
}

static void
reject_for_capacity (relay_t *relay, gs_time_t now, const char *reason)
{
  relay_queue_refusal_record (relay, now);
  relay_fail (relay, now, reason);
}

/* @return whether replicas of other versions than that of a resumed stream
   serve, but none of its own  */
static bool
is_version_removed (relay_t *relay, gs_time_t now)
{
  placer_query_t query = make_query (relay, now);
  placer_choice_t choice;

  if (query.version == 0)
    return false;
  relay_rollout_query_set (relay, &query);
  if (placer_pick (relay->traffic->placer, now, &query, &choice)
      != GS_ENOTFOUND)
    return false;
  query.version = 0;
  return placer_pick (relay->traffic->placer, now, &query, &choice)
         != GS_ENOTFOUND;
}

/* Keeps a resumed stream in the queue until other nodes have told of its
   origin, or rejects it.  */
static void
await_origin (relay_t *relay, gs_time_t now)
{
  if (now >= MIN (relay->origin_deadline, relay->deadline))
    relay_fail (relay, now, "origin_unknown");
  else
    relay_queue_hold (relay, now);
}

/* Handles what does not depend on room at a replica.
   @return whether the request was ended, passed on or kept in the queue  */
static bool
handle_special_cases (relay_t *relay, gs_time_t now)
{
  if (relay_reject_if_leaving (relay, now)
      || relay_reject_if_quarantined (relay, now)
      || relay_detour_reject (relay, now))
    return true;
  if (relay_detour_applies (relay))
    {
      relay_queue_remove (relay);
      send_to_node (relay, now);
      return true;
    }
  if (relay_origin_is_known (relay, now))
    return false;
  await_origin (relay, now);
  return true;
}

static gs_status_t
pick_replica (relay_t *relay, gs_time_t now, placer_query_t *query)
{
  placer_t *placer = relay->traffic->placer;
  gs_status_t status;

  *query = make_query (relay, now);
  relay_rollout_query_set (relay, query);
  status = placer_pick (placer, now, query, &relay->choice);
  if (status != GS_OK && relay_rollout_fall_back (relay, status, query))
    status = placer_pick (placer, now, query, &relay->choice);
  return status;
}

/* Sends a queued request to a replica, leaves it in the queue or rejects it.
   @param ahead number of requests before it  */
static void
serve_queued (relay_t *relay, gs_time_t now, admission_pass_t *pass,
              unsigned ahead)
{
  bool may_try = admission_pass_may_try (pass, &relay->entry);
  placer_query_t query;

  if (handle_special_cases (relay, now))
    return;
  if (is_version_removed (relay, now))
    relay_fail (relay, now, "version_removed");
  else if ((may_try || relay_crossing_is_last_chance (relay, now))
           && pick_replica (relay, now, &query) == GS_OK)
    {
      admission_pass_placed (pass, &relay->entry);
      relay_queue_remove (relay);
      send_request (relay, now, &query);
    }
  else if (!admission_queue_may_wait (relay->service->queue, now,
                                      &relay->entry, ahead))
    {
      relay_queue_remove (relay);
      reject_for_capacity (relay, now, "waited_for_room");
    }
  else if (may_try)
    admission_pass_blocked (pass, &relay->entry);
}

static void
serve_queue (const traffic_t *traffic, traffic_service_t *service,
             gs_time_t now)
{
  admission_pass_t pass = { .blocker = NULL };
  GPtrArray *order;

  if (service->serving || admission_queue_length (service->queue) == 0)
    return;
  service->serving = true;
  relay_queue_capacity_update (traffic, service, now);
  order = admission_queue_order (service->queue, now);
  for (guint i = 0; i < order->len; i++)
    {
      const admission_entry_t *entry = g_ptr_array_index (order, i);

      serve_queued (entry->request, now, &pass, i);
    }
  g_ptr_array_unref (order);
  service->serving = false;
}

/* Serves those that are before a new request first, so that it is not refused
   for them while replicas have room.  */
static bool
must_wait (relay_t *relay, gs_time_t now)
{
  if (!relay_queue_must_wait (relay, now))
    return false;
  serve_queue (relay->traffic, relay->service, now);
  return relay_queue_must_wait (relay, now);
}

/* Sends a request to a replica, queues it, or rejects it.  Only a request that
   no attempt may have run is queued.  */
void
relay_dispatch (relay_t *relay, gs_time_t now)
{
  placer_query_t query;
  gs_status_t status = GS_ELIMIT;

  if (handle_special_cases (relay, now))
    return;
  query = make_query (relay, now);
  if (!must_wait (relay, now))
    status = pick_replica (relay, now, &query);
  if (status == GS_OK)
    send_request (relay, now, &query);
  else if (relay->possible_runs > 0)
    relay_fail (relay, now, "no_other_replica");
  else if (is_version_removed (relay, now))
    relay_fail (relay, now, "version_removed");
  else if (relay_queue_insert (relay, now))
    ;
  else if (relay_crossing_retry (relay, now, &query))
    send_request (relay, now, &query);
  else
    reject_for_capacity (relay, now, "no_room");
}

void
relay_queues_serve (traffic_t *traffic, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, traffic->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    serve_queue (traffic, value, now);
}
