#include "garnetstack/metrics.h"
#include "node/worker_private.h"

#include <string.h>

#define SEARCH_TIMEOUT (5 * GS_SEC) /* to find the node of a request */
#define SEARCH_RETRY_INTERVAL (300 * GS_MSEC)

/* A caller's read of a request that another node holds.  */
typedef struct
{
  uint64_t number; /* its low bits are the shard, to route replies */
  gs_request_id_t id;
  uint32_t offset; /* of the next token */
  uint64_t digest; /* of the text before that token */
  char account[GS_NAME_BYTES];
  gs_caller_t *caller;
  uint64_t peer;      /* that holds the request, 0 during the search */
  gs_time_t deadline; /* of the search */
  gs_time_t retry_at;
} fetch_t;

/* A fetch by another node that this node serves.  */
typedef struct
{
  gs_worker_t *worker;
  uint64_t peer;
  uint64_t fetch; /* its number at that node */
  uint32_t offset;
} served_fetch_t;

/* A query of the outcome of the holder, which is the request that holds an
   idempotency key.  Another request with the same key waits for the result. */
typedef struct
{
  gs_worker_t *worker;        /* of the waiting request */
  gs_request_id_t waiting_id; /* receives the result */
} holder_query_t;

typedef struct
{
  gs_worker_t *worker; /* with the shard of the holder */
  gs_worker_t *origin; /* worker of the waiting request */
  gs_request_id_t id;  /* of the holder */
  gs_request_id_t waiting_id;
  uint64_t peer;   /* node of the holder */
  uint64_t backup; /* node that backs up the holder */
  char account[GS_NAME_BYTES];
} posted_query_t;

static void
fetch_remove (gs_worker_t *worker, fetch_t *fetch)
{
  g_hash_table_remove (worker->fetches, &fetch->number);
  g_free (fetch);
}

void
fetch_free_all (gs_worker_t *worker)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, worker->fetches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gs_caller_destroy (((fetch_t *)value)->caller);
      g_free (value);
    }
  g_hash_table_unref (worker->fetches);
}

static void
end_not_found (gs_worker_t *worker, fetch_t *fetch)
{
  gs_request_action_t action = { .type = GS_ACTION_CALLER_END,
                                 .outcome = GS_STATE_UNKNOWN,
                                 .http_status = 404,
                                 .reason = "no node holds this request" };

  action.id = fetch->id;
  gs_caller_end (fetch->caller, &action);
  fetch_remove (worker, fetch);
}

static void
send_fetch (gs_worker_t *worker, const fetch_t *fetch, uint64_t peer)
{
  gs_frame_t frame = { .type = GS_FRAME_FETCH };

  frame.fetch.incarnation = fetch->id.incarnation;
  frame.fetch.sequence = fetch->id.sequence;
  frame.fetch.fetch = fetch->number;
  frame.fetch.offset = fetch->offset;
  frame.fetch.digest = fetch->digest;
  frame.fetch.account = gs_bytes_from_text (fetch->account);
  if (peer != 0)
    gs_peer_send (worker->options.peer, peer, &frame);
  else
    gs_peer_broadcast (worker->options.peer, &frame);
}

static bool
holds_request (const gs_worker_t *worker, gs_request_id_t id,
               const char *account)
{
  const gs_request_spec_t *spec = gs_request_core_spec (worker->core, id);

  return spec != NULL && strcmp (spec->account, account) == 0;
}

static void
attach_caller (gs_worker_t *worker, gs_request_id_t id, uint32_t offset,
               uint64_t digest, gs_caller_t *caller)
{
  gs_request_event_t event = { .type = GS_EVENT_ATTACH };

  event.id = id;
  event.offset = offset;
  event.digest = digest;
  event.caller = caller;
  worker_step (worker, &event);
}

void
fetch_start (gs_worker_t *worker, gs_request_id_t id, uint32_t offset,
             uint64_t digest, const char *account, uint64_t peer,
             uint64_t backup_peer, gs_caller_t *caller)
{
  gs_time_t now = gs_clock_now ();
  fetch_t *fetch;

  if (holds_request (worker, id, account))
    {
      attach_caller (worker, id, offset, digest, caller);
      return;
    }
  fetch = g_new0 (fetch_t, 1);
  worker->next_fetch += (uint64_t)1 << GS_SHARD_BITS;
  fetch->number = worker->next_fetch | worker->options.shard;
  fetch->id = id;
  fetch->offset = offset;
  fetch->digest = digest;
  g_strlcpy (fetch->account, account, sizeof fetch->account);
  fetch->caller = caller;
  fetch->deadline = now + SEARCH_TIMEOUT;
  fetch->retry_at = now + SEARCH_RETRY_INTERVAL;
  g_hash_table_insert (worker->fetches, &fetch->number, fetch);
  if (peer != 0)
    send_fetch (worker, fetch, peer);
  if (backup_peer != 0 && backup_peer != peer)
    send_fetch (worker, fetch, backup_peer);
}

/* Checks this node first, because the request may have moved here since the
   last attempt.  */
static void
search_retry (gs_worker_t *worker, fetch_t *fetch, gs_time_t now)
{
  if (holds_request (worker, fetch->id, fetch->account))
    {
      gs_caller_t *caller = fetch->caller;
      gs_request_id_t id = fetch->id;
      uint32_t offset = fetch->offset;
      uint64_t digest = fetch->digest;

      fetch_remove (worker, fetch);
      attach_caller (worker, id, offset, digest, caller);
      return;
    }
  if (now >= fetch->deadline)
    {
      end_not_found (worker, fetch);
      return;
    }
  fetch->retry_at = now + SEARCH_RETRY_INTERVAL;
  send_fetch (worker, fetch, 0);
}

void
fetch_tick (gs_worker_t *worker)
{
  gs_time_t now = gs_clock_now ();
  GList *values = g_hash_table_get_values (worker->fetches);

  for (GList *item = values; item != NULL; item = item->next)
    {
      fetch_t *fetch = item->data;

      if (fetch->peer == 0 && now >= fetch->retry_at)
        search_retry (worker, fetch, now);
    }
  g_list_free (values);
}

/* Starts the search again, from the token that the caller needs next.  */
static void
search_restart (fetch_t *fetch)
{
  fetch->peer = 0;
  fetch->retry_at = gs_clock_now ();
  fetch->deadline = fetch->retry_at + SEARCH_TIMEOUT;
}

void
fetch_peer_lost (gs_worker_t *worker, uint64_t peer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, worker->fetches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((fetch_t *)value)->peer == peer)
      search_restart (value);
}

static void
serve_chunk (void *context, uint32_t offset, const char *text, size_t length,
             uint64_t digest)
{
  served_fetch_t *served = context;
  gs_frame_t frame = { .type = GS_FRAME_FETCH_CHUNK };

  frame.fetch_chunk.fetch = served->fetch;
  frame.fetch_chunk.offset = offset;
  frame.fetch_chunk.digest = digest;
  frame.fetch_chunk.text = (gs_bytes_t){ text, length };
  gs_peer_send (served->worker->options.peer, served->peer, &frame);
}

/* An empty chunk tells the other node that this node holds the request.  */
static void
serve_accepted (void *context, gs_request_id_t id)
{
  served_fetch_t *served = context;

  serve_chunk (served, served->offset, "", 0, 0);
}

static void
serve_end (void *context, const gs_request_action_t *action)
{
  served_fetch_t *served = context;
  gs_frame_t frame = { .type = GS_FRAME_FETCH_END };
  gs_frame_fetch_end_t *end = &frame.fetch_end;

  end->fetch = served->fetch;
  end->found = 1;
  end->outcome = action->outcome;
  end->http_status = (uint64_t)action->http_status;
  end->retry_after = (uint64_t)action->retry_after;
  end->reason = gs_bytes_from_text (action->reason);
  end->body = (gs_bytes_t){ action->data, action->length };
  end->content_type = gs_bytes_from_text (
      action->content_type != NULL ? action->content_type : "");
  gs_peer_send (served->worker->options.peer, served->peer, &frame);
  g_free (served);
}

static void
on_fetch (gs_worker_t *worker, uint64_t peer, const gs_frame_fetch_t *in)
{
  gs_request_id_t id = { in->incarnation, in->sequence };
  char account[GS_NAME_BYTES];
  gs_caller_sink_t sink = { NULL, serve_accepted, serve_chunk, serve_end };
  gs_frame_t frame = { .type = GS_FRAME_FETCH_END };
  served_fetch_t *served;

  if (in->account.length >= sizeof account)
    return;
  memcpy (account, in->account.data, in->account.length);
  account[in->account.length] = '\0';
  if (!holds_request (worker, id, account))
    {
      frame.fetch_end.fetch = in->fetch;
      gs_peer_send (worker->options.peer, peer, &frame);
      return;
    }
  served = g_new (served_fetch_t, 1);
  *served = (served_fetch_t){ worker, peer, in->fetch, (uint32_t)in->offset };
  sink.context = served;
  attach_caller (worker, id, (uint32_t)in->offset, in->digest,
                 gs_caller_create_sink (&sink));
}

static void
on_chunk (gs_worker_t *worker, uint64_t peer, const gs_frame_fetch_chunk_t *in)
{
  fetch_t *fetch = g_hash_table_lookup (worker->fetches, &in->fetch);

  if (fetch != NULL && fetch->peer == 0)
    {
      fetch->peer = peer;
      gs_caller_accepted (fetch->caller, fetch->id);
    }
  if (fetch == NULL || fetch->peer != peer || in->offset != fetch->offset)
    {
      gs_metric_add (GS_METRIC_CHUNKS_DROPPED, 1);
      return;
    }
  if (in->text.length == 0)
    return;
  gs_caller_chunk (fetch->caller, fetch->offset, in->text.data,
                   in->text.length, in->digest);
  fetch->offset++;
  fetch->digest = in->digest;
}

static void
on_end (gs_worker_t *worker, uint64_t peer, const gs_frame_fetch_end_t *in)
{
  fetch_t *fetch = g_hash_table_lookup (worker->fetches, &in->fetch);
  gs_request_action_t action = { .type = GS_ACTION_CALLER_END };
  char content_type[GS_CONTENT_TYPE_BYTES] = "";

  if (fetch == NULL || in->found == 0
      || (fetch->peer != 0 && fetch->peer != peer)
      || in->outcome > GS_STATE_MOVED)
    return;
  if (in->outcome == GS_STATE_MOVED)
    {
      search_restart (fetch);
      return;
    }
  action.id = fetch->id;
  action.outcome = (gs_request_state_t)in->outcome;
  action.http_status = (long)in->http_status;
  action.retry_after = (gs_time_t)in->retry_after;
  action.data = in->body.data;
  action.length = in->body.length;
  memcpy (content_type, in->content_type.data,
          MIN (in->content_type.length, sizeof content_type - 1));
  action.content_type = content_type;
  memcpy (action.reason, in->reason.data,
          MIN (in->reason.length, sizeof action.reason - 1));
  gs_caller_end (fetch->caller, &action);
  fetch_remove (worker, fetch);
}

void
fetch_frame_receive (gs_worker_t *worker, uint64_t peer,
                     const gs_frame_t *frame)
{
  switch (frame->type)
    {
    case GS_FRAME_FETCH:
      on_fetch (worker, peer, &frame->fetch);
      break;
    case GS_FRAME_FETCH_CHUNK:
      on_chunk (worker, peer, &frame->fetch_chunk);
      break;
    case GS_FRAME_FETCH_END:
      on_end (worker, peer, &frame->fetch_end);
      break;
    default:
      break;
    }
}

static void
query_accepted (void *context, gs_request_id_t id)
{
}

static void
query_chunk (void *context, uint32_t offset, const char *text, size_t length,
             uint64_t digest)
{
}

/* Posts the event: the query runs on the worker with the shard of the holder,
   which may be another thread than that of the waiting request.  */
static void
query_end (void *context, const gs_request_action_t *action)
{
  holder_query_t *query = context;
  gs_request_event_t event = { .type = GS_EVENT_HOLDER_REPLY };

  event.id = query->waiting_id;
  event.status
      = action->http_status == 404 && action->outcome == GS_STATE_UNKNOWN
            ? GS_ENOTFOUND
            : GS_OK;
  event.outcome = action->outcome;
  event.http_status = action->http_status;
  event.content_type = action->content_type;
  event.data = action->data;
  event.length = action->length;
  worker_event_post (query->worker, &event);
  g_free (query);
}

static void
on_query (void *context)
{
  posted_query_t *posted = context;
  holder_query_t *query = g_new (holder_query_t, 1);
  gs_caller_sink_t sink = { query, query_accepted, query_chunk, query_end };

  *query = (holder_query_t){ posted->origin, posted->waiting_id };
  fetch_start (posted->worker, posted->id, 0, 0, posted->account, posted->peer,
               posted->backup, gs_caller_create_sink (&sink));
  g_free (posted);
}

void
fetch_ask_holder (gs_worker_t *worker, const gs_request_action_t *action)
{
  posted_query_t *posted = g_new0 (posted_query_t, 1);

  posted->worker = gs_worker_by_sequence (worker->options.workers,
                                          worker->options.settings->workers,
                                          action->holder_id.sequence);
  posted->origin = worker;
  posted->id = action->holder_id;
  posted->waiting_id = action->id;
  posted->peer = action->peer;
  posted->backup = action->backup;
  g_strlcpy (posted->account, action->spec->account, sizeof posted->account);
  if (gs_loop_post (posted->worker->loop, on_query, posted) != GS_OK)
    g_free (posted);
}
