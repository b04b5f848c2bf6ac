#include "garnetstack/metrics.h"
#include "node/worker_private.h"

#include <string.h>

/* Time for which a request is looked for. */
#define FETCH_WAIT (5 * GS_SEC)
#define FETCH_RETRY (300 * GS_MSEC)

/* A request that another node holds and a caller here waits for.  */
typedef struct
{
  uint64_t number;
  gs_request_id_t id;
  uint32_t offset; /* next wanted */
  uint64_t digest; /* of the text before it */
  char account[GS_NAME_BYTES];
  gs_caller_t *caller;
  uint64_t peer;      /* that answers, 0 while looked for */
  gs_time_t deadline; /* of the search */
  gs_time_t retry_at;
} fetch_t;

/* A fetch by another node that is served here.  */
typedef struct
{
  gs_worker_t *worker;
  uint64_t peer;
  uint64_t fetch;
  uint32_t offset;
} serving_t;

/* A question about the holder of a key.  */
typedef struct
{
  gs_worker_t *worker;
  gs_request_id_t asker;
} question_t;

typedef struct
{
  gs_worker_t *worker; /* that would hold the request asked about */
  gs_worker_t *asking;
  gs_request_id_t id;
  gs_request_id_t asker;
  uint64_t peer;
  uint64_t backup;
  char account[GS_NAME_BYTES];
} posted_question_t;

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
  gs_action_t action = { .type = GS_ACTION_CALLER_END,
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
holds (const gs_worker_t *worker, gs_request_id_t id, const char *account)
{
  const gs_request_spec_t *spec = gs_request_core_spec (worker->core, id);

  return spec != NULL && strcmp (spec->account, account) == 0;
}

static void
attach (gs_worker_t *worker, gs_request_id_t id, uint32_t offset,
        uint64_t digest, gs_caller_t *caller)
{
  gs_event_t event = { .type = GS_EVENT_ATTACH };

  event.id = id;
  event.offset = offset;
  event.digest = digest;
  event.caller = caller;
  worker_step (worker, &event);
}

void
fetch_start (gs_worker_t *worker, gs_request_id_t id, uint32_t offset,
             uint64_t digest, const char *account, uint64_t peer,
             uint64_t other, gs_caller_t *caller)
{
  gs_time_t now = gs_clock_now ();
  fetch_t *fetch;

  if (holds (worker, id, account))
    {
      attach (worker, id, offset, digest, caller);
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
  fetch->deadline = now + FETCH_WAIT;
  fetch->retry_at = now + FETCH_RETRY;
  g_hash_table_insert (worker->fetches, &fetch->number, fetch);
  if (peer != 0)
    send_fetch (worker, fetch, peer);
  if (other != 0 && other != peer)
    send_fetch (worker, fetch, other);
}

/* The request may have moved here meanwhile.  */
static void
search_again (gs_worker_t *worker, fetch_t *fetch, gs_time_t now)
{
  if (holds (worker, fetch->id, fetch->account))
    {
      gs_caller_t *caller = fetch->caller;
      gs_request_id_t id = fetch->id;
      uint32_t offset = fetch->offset;
      uint64_t digest = fetch->digest;

      fetch_remove (worker, fetch);
      attach (worker, id, offset, digest, caller);
      return;
    }
  if (now >= fetch->deadline)
    {
      end_not_found (worker, fetch);
      return;
    }
  fetch->retry_at = now + FETCH_RETRY;
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
        search_again (worker, fetch, now);
    }
  g_list_free (values);
}

static void
look_elsewhere (fetch_t *fetch)
{
  fetch->peer = 0;
  fetch->retry_at = gs_clock_now ();
  fetch->deadline = fetch->retry_at + FETCH_WAIT;
}

void
fetch_peer_lost (gs_worker_t *worker, uint64_t peer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, worker->fetches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((fetch_t *)value)->peer == peer)
      look_elsewhere (value);
}

static void
serve_chunk (void *context, uint32_t offset, const char *text, size_t length,
             uint64_t digest)
{
  serving_t *serving = context;
  gs_frame_t frame = { .type = GS_FRAME_FETCH_CHUNK };

  frame.fetch_chunk.fetch = serving->fetch;
  frame.fetch_chunk.offset = offset;
  frame.fetch_chunk.digest = digest;
  frame.fetch_chunk.text = (gs_bytes_t){ text, length };
  gs_peer_send (serving->worker->options.peer, serving->peer, &frame);
}

/* An empty piece tells the asker that the request is held here.  */
static void
serve_accepted (void *context, gs_request_id_t id)
{
  serving_t *serving = context;

  serve_chunk (serving, serving->offset, "", 0, 0);
}

static void
serve_end (void *context, const gs_action_t *action)
{
  serving_t *serving = context;
  gs_frame_t frame = { .type = GS_FRAME_FETCH_END };
  gs_frame_fetch_end_t *end = &frame.fetch_end;

  end->fetch = serving->fetch;
  end->found = 1;
  end->outcome = action->outcome;
  end->http_status = (uint64_t)action->http_status;
  end->retry_after = (uint64_t)action->retry_after;
  end->reason = gs_bytes_from_text (action->reason);
  end->body = (gs_bytes_t){ action->data, action->length };
  end->content_type = gs_bytes_from_text (
      action->content_type != NULL ? action->content_type : "");
  gs_peer_send (serving->worker->options.peer, serving->peer, &frame);
  g_free (serving);
}

static void
take_fetch (gs_worker_t *worker, uint64_t peer, const gs_frame_fetch_t *in)
{
  gs_request_id_t id = { in->incarnation, in->sequence };
  char account[GS_NAME_BYTES];
  gs_caller_sink_t sink = { NULL, serve_accepted, serve_chunk, serve_end };
  gs_frame_t frame = { .type = GS_FRAME_FETCH_END };
  serving_t *serving;

  if (in->account.length >= sizeof account)
    return;
  memcpy (account, in->account.data, in->account.length);
  account[in->account.length] = '\0';
  if (!holds (worker, id, account))
    {
      frame.fetch_end.fetch = in->fetch;
      gs_peer_send (worker->options.peer, peer, &frame);
      return;
    }
  serving = g_new (serving_t, 1);
  *serving = (serving_t){ worker, peer, in->fetch, (uint32_t)in->offset };
  sink.context = serving;
  attach (worker, id, (uint32_t)in->offset, in->digest,
          gs_caller_create_sink (&sink));
}

static void
take_chunk (gs_worker_t *worker, uint64_t peer,
            const gs_frame_fetch_chunk_t *in)
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
take_end (gs_worker_t *worker, uint64_t peer, const gs_frame_fetch_end_t *in)
{
  fetch_t *fetch = g_hash_table_lookup (worker->fetches, &in->fetch);
  gs_action_t action = { .type = GS_ACTION_CALLER_END };
  char content_type[GS_CONTENT_TYPE_BYTES] = "";

  if (fetch == NULL || in->found == 0
      || (fetch->peer != 0 && fetch->peer != peer)
      || in->outcome > GS_STATE_MOVED)
    return;
  if (in->outcome == GS_STATE_MOVED)
    {
      look_elsewhere (fetch);
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
fetch_take_frame (gs_worker_t *worker, uint64_t peer, const gs_frame_t *frame)
{
  switch (frame->type)
    {
    case GS_FRAME_FETCH:
      take_fetch (worker, peer, &frame->fetch);
      break;
    case GS_FRAME_FETCH_CHUNK:
      take_chunk (worker, peer, &frame->fetch_chunk);
      break;
    case GS_FRAME_FETCH_END:
      take_end (worker, peer, &frame->fetch_end);
      break;
    default:
      break;
    }
}

static void
question_accepted (void *context, gs_request_id_t id)
{
}

static void
question_chunk (void *context, uint32_t offset, const char *text,
                size_t length, uint64_t digest)
{
}

static void
question_end (void *context, const gs_action_t *action)
{
  question_t *question = context;
  gs_event_t event = { .type = GS_EVENT_HOLDER };

  event.id = question->asker;
  event.status
      = action->http_status == 404 && action->outcome == GS_STATE_UNKNOWN
            ? GS_ENOTFOUND
            : GS_OK;
  event.outcome = action->outcome;
  event.http_status = action->http_status;
  event.content_type = action->content_type;
  event.data = action->data;
  event.length = action->length;
  worker_post (question->worker, &event);
  g_free (question);
}

static void
ask (void *context)
{
  posted_question_t *posted = context;
  question_t *question = g_new (question_t, 1);
  gs_caller_sink_t sink
      = { question, question_accepted, question_chunk, question_end };

  *question = (question_t){ posted->asking, posted->asker };
  fetch_start (posted->worker, posted->id, 0, 0, posted->account, posted->peer,
               posted->backup, gs_caller_create_sink (&sink));
  g_free (posted);
}

void
fetch_ask_holder (gs_worker_t *worker, const gs_action_t *action)
{
  posted_question_t *posted = g_new0 (posted_question_t, 1);

  posted->worker = gs_worker_of (worker->options.workers,
                                 worker->options.settings->workers,
                                 action->holder_id.sequence);
  posted->asking = worker;
  posted->id = action->holder_id;
  posted->asker = action->id;
  posted->peer = action->peer;
  posted->backup = action->backup;
  g_strlcpy (posted->account, action->spec->account, sizeof posted->account);
  if (gs_loop_post (posted->worker->loop, ask, posted) != GS_OK)
    g_free (posted);
}
