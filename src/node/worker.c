#include "node/worker_private.h"

#include "garnetstack/log.h"
#include "garnetstack/metrics.h"

#include <string.h>

#define TICK_INTERVAL (10 * GS_MSEC)
#define LEAVING_CHECK_INTERVAL (200 * GS_MSEC)

typedef struct
{
  gs_worker_t *worker;
  gs_request_spec_t spec;
  gs_caller_t *caller;
} submission_t;

typedef struct
{
  gs_worker_t *worker;
  gs_request_event_t event;
  char *data; /* copy of the event's text, owned */
  char content_type[GS_CONTENT_TYPE_BYTES];
} posted_event_t;

typedef struct
{
  gs_worker_t *worker;
  uint64_t peer;
  bool lost;
} peer_change_t;

typedef struct
{
  gs_worker_t *worker;
  uint64_t peer;
  GByteArray *bytes; /* the frame, encoded */
} posted_frame_t;

typedef struct
{
  gs_worker_t *worker;
  gs_request_id_t id;
  uint32_t offset;
  uint64_t digest;
  char account[GS_NAME_BYTES];
  gs_caller_t *caller;
} posted_fetch_t;

/* Tells the caller which node continues a request that moved.  */
static void
set_successor (gs_worker_t *worker, const gs_request_action_t *action)
{
  const gs_snapshot_t *snapshot = gs_snapshot_begin (worker->reader);

  for (size_t i = 0; i < snapshot->node_count; i++)
    {
      const gs_node_info_t *node = &snapshot->nodes[i];

      if (node->incarnation == action->peer)
        gs_caller_successor_set (action->caller, node->name, node->address,
                                 node->caller_port);
    }
  gs_snapshot_end (worker->reader);
}

static void
end_caller (gs_worker_t *worker, const gs_request_action_t *action)
{
  gs_log (GS_LOG_INFO, "request_end",
          "request=%016llx-%016llx outcome=%s attempts=%u reason=\"%s\"",
          (unsigned long long)action->id.incarnation,
          (unsigned long long)action->id.sequence,
          gs_request_state_name (action->outcome), action->attempt,
          action->reason);
  if (action->caller == NULL)
    return;
  if (action->outcome == GS_STATE_MOVED)
    set_successor (worker, action);
  gs_caller_end (action->caller, action);
}

static void
perform_action (gs_worker_t *worker, const gs_request_action_t *action)
{
  gs_trace_action_add (worker->trace, gs_clock_wall (), action);
  switch (action->type)
    {
    case GS_ACTION_BACKUP_PUT:
      backup_put_send (worker, action);
      break;
    case GS_ACTION_BACKUP_PROGRESS:
      backup_progress_send (worker, action);
      break;
    case GS_ACTION_BACKUP_DONE:
      backup_done_send (worker, action);
      break;
    case GS_ACTION_CLAIM:
      claim_send (worker, action);
      break;
    case GS_ACTION_CLAIM_READ:
      claim_read (worker, action);
      break;
    case GS_ACTION_ASK_HOLDER:
      fetch_ask_holder (worker, action);
      break;
    case GS_ACTION_MOVE_KV:
      attempt_move_kv (worker, action);
      break;
    case GS_ACTION_DISPATCH:
      attempt_start (worker, action);
      break;
    case GS_ACTION_CANCEL:
      attempt_cancel (worker, action);
      break;
    case GS_ACTION_CALLER_ACCEPTED:
      gs_caller_accepted (action->caller, action->id);
      break;
    case GS_ACTION_CALLER_CHUNK:
      gs_caller_chunk (action->caller, action->offset, action->data,
                       action->length, action->digest);
      break;
    case GS_ACTION_CALLER_END:
      end_caller (worker, action);
      break;
    }
}

void
worker_step (gs_worker_t *worker, const gs_request_event_t *event)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (gs_request_action_t));

  gs_request_core_step (worker->core, gs_clock_now (), event, actions, NULL);
  for (guint i = 0; i < actions->len; i++)
    perform_action (worker, &g_array_index (actions, gs_request_action_t, i));
  g_array_unref (actions);
  atomic_store (&worker->open_count,
                gs_request_core_open_count (worker->core));
}

static gs_status_t
port_admit (void *context, gs_time_t now, const gs_request_spec_t *spec,
            gs_time_t *retry_after)
{
  gs_worker_t *worker = context;
  const gs_snapshot_t *snapshot = gs_snapshot_begin (worker->reader);
  gs_status_t status;

  if (snapshot->ready && now < snapshot->ready_until)
    {
      gs_router_refresh (worker->router, now, snapshot);
      gs_governor_refresh (worker->governor, now, snapshot);
      status = gs_governor_admit (worker->governor, now, snapshot,
                                  worker->router, spec, retry_after);
    }
  else
    {
      *retry_after = GS_SEC;
      status = gs_error_set (GS_EREFUSED, "the node is not ready");
    }
  gs_snapshot_end (worker->reader);
  if (status != GS_OK)
    {
      gs_metric_add (GS_METRIC_ADMISSIONS_REFUSED, 1);
      gs_log (GS_LOG_INFO, "refused",
              "account=%s target=%s retry_ms=%lld reason=\"%s\"",
              spec->account, spec->target, (long long)(*retry_after / GS_MSEC),
              gs_error_last ());
    }
  return status;
}

static gs_status_t
port_route (void *context, gs_time_t now, gs_request_id_t id,
            const gs_request_spec_t *spec, uint32_t attempt, const char *avoid,
            gs_route_t *out)
{
  gs_worker_t *worker = context;
  const gs_snapshot_t *snapshot = gs_snapshot_begin (worker->reader);
  gs_status_t status = gs_governor_route_check (
      worker->governor, now, worker->router, id, spec, attempt, avoid);

  if (status == GS_OK)
    {
      status = gs_router_route (worker->router, now, snapshot, id, spec,
                                attempt, avoid, out);
      gs_governor_route_report (worker->governor, now, id, spec,
                                status == GS_OK);
      gs_trace_decision_add (worker->trace, gs_clock_wall (), id, attempt,
                             "route", "%s",
                             gs_router_last_decision (worker->router));
    }
  else
    gs_trace_decision_add (worker->trace, gs_clock_wall (), id, attempt,
                           "wait", "target=%s reason=\"%s\"", spec->target,
                           gs_error_last ());
  gs_snapshot_end (worker->reader);
  return status;
}

static void
port_ended (void *context, gs_time_t now, gs_request_id_t id,
            const gs_request_spec_t *spec, uint32_t tokens)
{
  gs_worker_t *worker = context;

  gs_governor_release (worker->governor, now, id, spec, tokens);
}

static void
port_route_done (void *context, gs_time_t now, const char *upstream,
                 gs_status_t status)
{
  gs_worker_t *worker = context;

  gs_router_attempt_end (worker->router, now, upstream, status);
}

/* Chooses a live peer at random, one in another data centre if there is
   any.  */
static uint64_t
port_backup (void *context, gs_request_id_t id, uint64_t avoid)
{
  gs_worker_t *worker = context;
  const gs_snapshot_t *snapshot = gs_snapshot_begin (worker->reader);
  uint64_t best = 0;
  uint64_t best_score = 0;

  for (size_t i = 0; i < snapshot->node_count; i++)
    {
      const gs_node_info_t *node = &snapshot->nodes[i];
      uint64_t score = gs_rng_next (&worker->rng) >> 2;

      if (!node->connected || node->state != GS_VM_LIVE
          || node->incarnation == worker->options.incarnation
          || node->incarnation == avoid)
        continue;
      if (strcmp (node->data_centre, worker->options.settings->data_centre)
          != 0)
        score += UINT64_MAX / 2;
      if (score >= best_score)
        {
          best_score = score;
          best = node->incarnation;
        }
    }
  gs_snapshot_end (worker->reader);
  return best;
}

/* Returns copies of the names, because the caller passes them to
   worker_step(), which begins a read section of its own and so cannot run
   inside this one.  Also updates worker->self_leaving.  */
static GPtrArray *
leaving_upstreams (gs_worker_t *worker)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  const gs_snapshot_t *snapshot = gs_snapshot_begin (worker->reader);

  for (size_t i = 0; i < snapshot->upstream_count; i++)
    if (snapshot->upstreams[i].state == GS_VM_LEAVING)
      g_ptr_array_add (names, g_strdup (snapshot->upstreams[i].name));
  worker->self_leaving = snapshot->self_leaving;
  gs_snapshot_end (worker->reader);
  return names;
}

static GArray *
leaving_peers (gs_worker_t *worker)
{
  GArray *peers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  const gs_snapshot_t *snapshot = gs_snapshot_begin (worker->reader);

  for (size_t i = 0; i < snapshot->node_count; i++)
    {
      const gs_node_info_t *node = &snapshot->nodes[i];

      if (node->state == GS_VM_LEAVING && node->incarnation != 0
          && node->incarnation != worker->options.incarnation)
        g_array_append_val (peers, node->incarnation);
    }
  gs_snapshot_end (worker->reader);
  return peers;
}

static void
report_leaving_vms (gs_worker_t *worker)
{
  GPtrArray *names = leaving_upstreams (worker);
  GArray *peers = leaving_peers (worker);

  for (guint i = 0; i < names->len; i++)
    {
      gs_request_event_t event = { .type = GS_EVENT_UPSTREAM_LEAVING };

      event.data = names->pdata[i];
      worker_step (worker, &event);
    }
  for (guint i = 0; i < peers->len; i++)
    {
      gs_request_event_t event = { .type = GS_EVENT_PEER_LEAVING };

      event.peer = g_array_index (peers, uint64_t, i);
      worker_step (worker, &event);
    }
  g_ptr_array_unref (names);
  g_array_unref (peers);
}

static void
report_leave (gs_worker_t *worker)
{
  gs_request_event_t event = { .type = GS_EVENT_LEAVE };

  event.deadline = atomic_load (&worker->leave_deadline);
  if (event.deadline == 0 || worker->leave_reported)
    return;
  worker->leave_reported = true;
  worker_step (worker, &event);
}

static void
on_tick (void *context)
{
  gs_worker_t *worker = context;
  gs_request_event_t event = { .type = GS_EVENT_TICK };
  gs_time_t now = gs_clock_now ();
  const gs_snapshot_t *snapshot = gs_snapshot_begin (worker->reader);

  gs_router_refresh (worker->router, now, snapshot);
  gs_governor_refresh (worker->governor, now, snapshot);
  gs_snapshot_end (worker->reader);
  usage_tick (worker, now);
  if (now >= worker->leaving_check_at)
    {
      worker->leaving_check_at = now + LEAVING_CHECK_INTERVAL;
      report_leaving_vms (worker);
    }
  report_leave (worker);
  worker_step (worker, &event);
  backup_tick (worker);
  fetch_tick (worker);
}

static void *
run_loop (void *context)
{
  gs_worker_t *worker = context;

  gs_loop_run (worker->loop);
  return NULL;
}

gs_status_t
gs_worker_create (gs_worker_t **out, const gs_worker_options_t *options)
{
  char name[16];
  gs_worker_t *worker = g_new0 (gs_worker_t, 1);
  gs_request_port_t port = { worker,          port_admit,  port_route,
                             port_route_done, port_backup, port_ended };
  gs_router_options_t router = GS_ROUTER_OPTIONS_INIT;

  worker->options = *options;
  gs_rng_seed (&worker->rng, gs_rng_entropy ());
  worker->attempts
      = g_hash_table_new (gs_request_id_hash, gs_request_id_equal);
  worker->fetches = g_hash_table_new (g_int64_hash, g_int64_equal);
  worker->trace = gs_trace_create (options->settings->name, GS_TRACE_RECORDS);
  worker->reader = gs_snapshot_reader_create (options->hub);
  gs_loop_create (&worker->loop);
  gs_engine_http_create (&worker->engine, worker->loop);
  gs_service_http_create (&worker->service, worker->loop);
  gs_store_http_create (&worker->store, worker->loop,
                        options->settings->platform_url);
  router.data_centre = options->settings->data_centre;
  router.seed = gs_rng_next (&worker->rng);
  router.workers = MAX (options->settings->workers, 1);
  gs_router_create (&worker->router, &router);
  gs_governor_create (&worker->governor, router.workers,
                      gs_rng_next (&worker->rng));
  gs_request_core_create (&worker->core, options->incarnation, options->shard,
                          &port);
  gs_backup_core_create (&worker->backup);
  gs_loop_tick_set (worker->loop, TICK_INTERVAL, on_tick, worker);
  *out = worker;
  g_snprintf (name, sizeof name, "worker-%u", options->shard);
  gs_thread_start (&worker->thread, name, run_loop, worker);
  return GS_OK;
}

void
gs_worker_destroy (gs_worker_t *worker)
{
  if (worker == NULL)
    return;
  gs_loop_stop (worker->loop);
  gs_thread_join (worker->thread);
  gs_loop_destroy (worker->loop);
  attempt_free_all (worker);
  fetch_free_all (worker);
  gs_backup_core_destroy (worker->backup);
  gs_request_core_destroy (worker->core);
  gs_governor_destroy (worker->governor);
  gs_router_destroy (worker->router);
  gs_service_http_destroy (&worker->service);
  gs_engine_http_destroy (&worker->engine);
  gs_store_http_destroy (&worker->store);
  gs_snapshot_reader_release (worker->reader);
  gs_trace_destroy (worker->trace);
  g_free (worker);
}

static void
on_submission (void *context)
{
  submission_t *submission = context;
  gs_request_event_t event = { .type = GS_EVENT_SUBMIT };

  event.spec = &submission->spec;
  event.caller = submission->caller;
  gs_trace_submission_set (submission->worker->trace, &submission->spec);
  worker_step (submission->worker, &event);
  gs_trace_submission_set (submission->worker->trace, NULL);
  g_free (submission);
}

void
gs_worker_submit (gs_worker_t *worker, const gs_request_spec_t *spec,
                  gs_caller_t *caller)
{
  submission_t *submission = g_new (submission_t, 1);
  gs_request_action_t rejection
      = { .type = GS_ACTION_CALLER_END,
          .outcome = GS_STATE_NOT_RUN,
          .http_status = 503,
          .retry_after = GS_SEC,
          .reason = "the queue of the node is full" };

  *submission = (submission_t){ worker, *spec, caller };
  if (gs_loop_post (worker->loop, on_submission, submission) == GS_OK)
    return;
  g_bytes_unref (submission->spec.body);
  g_free (submission);
  gs_caller_end (caller, &rejection);
}

static void
on_posted_event (void *context)
{
  posted_event_t *posted = context;

  posted->event.data = posted->data;
  posted->event.content_type = posted->content_type;
  worker_step (posted->worker, &posted->event);
  g_free (posted->data);
  g_free (posted);
}

void
worker_event_post (gs_worker_t *worker, const gs_request_event_t *event)
{
  posted_event_t *posted = g_new (posted_event_t, 1);

  *posted = (posted_event_t){ .worker = worker, .event = *event };
  if (event->content_type != NULL)
    g_strlcpy (posted->content_type, event->content_type,
               sizeof posted->content_type);
  if (event->length > 0)
    posted->data = g_memdup2 (event->data, event->length);
  if (gs_loop_post (worker->loop, on_posted_event, posted) != GS_OK)
    {
      g_free (posted->data);
      g_free (posted);
    }
}

static void
on_posted_frame (void *context)
{
  posted_frame_t *posted = context;
  gs_frame_memory_t *memory;
  gs_frame_t frame;

  if (gs_frame_decode (&frame, &memory,
                       (const char *)posted->bytes->data
                           + GS_FRAME_HEADER_BYTES,
                       posted->bytes->len - GS_FRAME_HEADER_BYTES)
      == GS_OK)
    {
      if (frame.type == GS_FRAME_USAGE)
        usage_frame_receive (posted->worker, posted->peer, &frame);
      else if (frame.type >= GS_FRAME_FETCH)
        fetch_frame_receive (posted->worker, posted->peer, &frame);
      else
        backup_frame_receive (posted->worker, posted->peer, &frame);
      gs_frame_memory_free (memory);
    }
  g_byte_array_unref (posted->bytes);
  g_free (posted);
}

void
gs_worker_frame_post (gs_worker_t *worker, uint64_t peer,
                      const gs_frame_t *frame)
{
  posted_frame_t *posted = g_new (posted_frame_t, 1);

  *posted = (posted_frame_t){ worker, peer, g_byte_array_new () };
  gs_frame_encode (posted->bytes, frame);
  if (gs_loop_post (worker->loop, on_posted_frame, posted) != GS_OK)
    {
      g_byte_array_unref (posted->bytes);
      g_free (posted);
    }
}

static void
on_peer_change (void *context)
{
  peer_change_t *posted = context;
  gs_request_event_t event = { .type = GS_EVENT_PEER_LOST };

  backup_peer_changed (posted->worker, posted->peer, posted->lost);
  if (posted->lost)
    {
      event.peer = posted->peer;
      worker_step (posted->worker, &event);
      fetch_peer_lost (posted->worker, posted->peer);
    }
  g_free (posted);
}

void
gs_worker_peer_changed (gs_worker_t *worker, uint64_t peer, bool lost)
{
  peer_change_t *posted = g_new (peer_change_t, 1);

  *posted = (peer_change_t){ worker, peer, lost };
  if (gs_loop_post (worker->loop, on_peer_change, posted) != GS_OK)
    g_free (posted);
}

static void
on_posted_fetch (void *context)
{
  posted_fetch_t *posted = context;

  fetch_start (posted->worker, posted->id, posted->offset, posted->digest,
               posted->account, posted->id.incarnation, 0, posted->caller);
  g_free (posted);
}

void
gs_worker_fetch (gs_worker_t *worker, gs_request_id_t id, uint32_t offset,
                 uint64_t digest, const char *account, gs_caller_t *caller)
{
  posted_fetch_t *posted = g_new0 (posted_fetch_t, 1);
  gs_request_action_t rejection
      = { .type = GS_ACTION_CALLER_END,
          .outcome = GS_STATE_FAILED,
          .http_status = 503,
          .retry_after = GS_SEC,
          .reason = "the queue of the node is full" };

  posted->worker = worker;
  posted->id = id;
  posted->offset = offset;
  posted->digest = digest;
  posted->caller = caller;
  g_strlcpy (posted->account, account, sizeof posted->account);
  if (gs_loop_post (worker->loop, on_posted_fetch, posted) == GS_OK)
    return;
  g_free (posted);
  rejection.id = id;
  gs_caller_end (caller, &rejection);
}

/* Sets a flag that the worker polls, because its queue may be full at a time
   when the deadline is close.  */
void
gs_worker_leave (gs_worker_t *worker, gs_time_t deadline)
{
  atomic_store (&worker->leave_deadline, deadline);
}

gs_worker_t *
gs_worker_by_sequence (gs_worker_t *const *workers, unsigned count,
                       uint64_t sequence)
{
  return workers[(sequence & ((1U << GS_SHARD_BITS) - 1)) % count];
}

size_t
gs_worker_open_count (const gs_worker_t *worker)
{
  return atomic_load (&worker->open_count);
}

typedef struct
{
  gs_worker_t *worker;
  gs_worker_trace_cb_t callback;
  void *context;
} trace_visit_t;

static void
on_trace_visit (void *context)
{
  trace_visit_t *visit = context;

  visit->callback (visit->context, visit->worker->trace);
  g_free (visit);
}

gs_status_t
gs_worker_trace_visit (gs_worker_t *worker, gs_worker_trace_cb_t callback,
                       void *context)
{
  trace_visit_t *visit = g_new (trace_visit_t, 1);
  gs_status_t status;

  *visit = (trace_visit_t){ worker, callback, context };
  status = gs_loop_post (worker->loop, on_trace_visit, visit);
  if (status != GS_OK)
    g_free (visit);
  return status;
}
