#include "request_world_private.h"

#include <stdio.h>
#include <string.h>

static void perform_action (world_node_t *node,
                            const gs_request_action_t *action);

void
world_violation_record (world_t *world, const char *description,
                        const caller_t *caller)
{
  if (world->violation[0] == '\0')
    snprintf (world->violation, sizeof world->violation,
              "%s: request %d at %lld ms", description,
              (int)(caller - world->callers),
              (long long)(world->now / GS_MSEC));
}

bool
world_node_is_running (const world_node_t *node)
{
  return node->alive && node->paused_until <= node->world->now;
}

static world_node_t *
find_node (world_t *world, uint64_t incarnation)
{
  for (unsigned i = 0; i < WORLD_NODES; i++)
    if (world->nodes[i].alive && world->nodes[i].incarnation == incarnation)
      return &world->nodes[i];
  return NULL;
}

static caller_t *
find_caller (world_t *world, gs_request_id_t id)
{
  for (int i = 0; i < WORLD_REQUESTS; i++)
    if (world->callers[i].in_use
        && gs_request_id_equal (&world->callers[i].id, &id))
      return &world->callers[i];
  return NULL;
}

void
world_core_step (world_node_t *node, const gs_request_event_t *event,
                 gs_request_id_t *id)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (gs_request_action_t));

  gs_request_core_step (node->core, node->world->now, event, actions, id);
  for (guint i = 0; i < actions->len; i++)
    perform_action (node, &g_array_index (actions, gs_request_action_t, i));
  g_array_unref (actions);
}

message_t *
world_message_post (world_t *world, unsigned node, gs_time_t delay)
{
  message_t *message = g_new0 (message_t, 1);

  message->due = world->now + delay;
  message->order = world->order++;
  message->node = node;
  message->incarnation = world->nodes[node].incarnation;
  g_ptr_array_add (world->messages, message);
  return message;
}

void
world_message_free (message_t *message)
{
  if (message->spec.body != NULL)
    g_bytes_unref (message->spec.body);
  g_free (message->data);
  g_free (message->ends);
  g_free (message);
}

bool
world_nodes_connected (const world_t *world, const world_node_t *a,
                       const world_node_t *b)
{
  return a->silent_until <= world->now && b->silent_until <= world->now;
}

static void
copy_progress (message_t *message, const gs_request_progress_t *progress)
{
  message->progress = *progress;
  message->data = g_memdup2 (progress->text, progress->text_length);
  message->ends
      = g_memdup2 (progress->ends, progress->tokens * sizeof (uint32_t));
}

static void
send_backup (world_node_t *node, const gs_request_action_t *action,
             gs_backup_event_type_t type)
{
  world_t *world = node->world;
  world_node_t *peer = find_node (world, action->peer);
  message_t *message;

  if (type == GS_BACKUP_PUT)
    world->costs.records++;
  else if (type == GS_BACKUP_PROGRESS)
    world->costs.progress_updates++;
  else
    world->costs.ends++;
  if (peer == NULL || !world_nodes_connected (world, node, peer))
    return;
  message = world_message_post (world, peer->index, HOP_LATENCY);
  message->to_backup = true;
  message->backup.type = type;
  message->backup.id = action->id;
  message->backup.peer = node->incarnation;
  message->backup.offset = action->offset;
  message->backup.outcome = action->outcome;
  message->backup.http_status = action->http_status;
  message->backup.reason = "ended";
  copy_progress (message, &action->progress);
  if (type == GS_BACKUP_PUT)
    {
      message->spec = *action->spec;
      g_bytes_ref (message->spec.body);
    }
}

static unsigned
spec_key (const gs_request_spec_t *spec)
{
  return (unsigned)strtoul (spec->key, NULL, 10);
}

/* The write takes effect at once and the reply is sent later, so that a reply
   can be lost after the write succeeded.  */
static void
store_write (world_node_t *node, const gs_request_action_t *action)
{
  world_t *world = node->world;
  unsigned key = spec_key (action->spec);
  message_t *message
      = world_message_post (world, node->index, 2 * HOP_LATENCY);
  gs_claim_t claim = { action->id, node->incarnation, action->peer };

  world->costs.store_calls++;
  message->event.type = GS_EVENT_CLAIM;
  message->event.id = action->id;
  if (world->store_down_until > world->now)
    message->event.status = GS_EREFUSED;
  else if (world->versions[key] != action->version)
    message->event.status = GS_ECONFLICT;
  else
    {
      gs_claim_format (world->claims[key], &claim);
      message->event.version = ++world->versions[key];
    }
  if (world->store_replies_lost > 0 && message->event.status != GS_EREFUSED)
    {
      world->store_replies_lost--;
      message->event.status = GS_EUNKNOWN;
    }
}

static void
store_read (world_node_t *node, const gs_request_action_t *action)
{
  world_t *world = node->world;
  unsigned key = spec_key (action->spec);
  message_t *message
      = world_message_post (world, node->index, 2 * HOP_LATENCY);

  world->costs.store_calls++;
  message->event.type = GS_EVENT_CLAIM_READ;
  message->event.id = action->id;
  if (world->store_down_until > world->now)
    message->event.status = GS_EREFUSED;
  else if (world->versions[key] == 0)
    message->event.status = GS_ENOTFOUND;
  message->event.version = world->versions[key];
  message->data = g_strdup (world->claims[key]);
  message->event.length = strlen (message->data);
}

static stream_t *
find_stream (world_t *world, unsigned engine, gs_request_id_t id,
             gs_stream_id_t name)
{
  for (int i = 0; i < STREAMS_MAX; i++)
    if (world->streams[i].in_use && world->streams[i].engine == engine
        && world->streams[i].name.holder == name.holder
        && world->streams[i].name.attempt == name.attempt
        && gs_request_id_equal (&world->streams[i].id, &id))
      return &world->streams[i];
  return NULL;
}

/* Returns an empty stream.  An existing stream of the same name is replaced.
 */
static stream_t *
new_stream (world_t *world, unsigned engine, gs_request_id_t id,
            gs_stream_id_t name)
{
  stream_t *stream = find_stream (world, engine, id, name);
  int i = 0;

  while (stream == NULL && world->streams[i].in_use)
    i = (i + 1) % STREAMS_MAX;
  if (stream == NULL)
    stream = &world->streams[i];
  *stream
      = (stream_t){ .in_use = true, .engine = engine, .id = id, .name = name };
  return stream;
}

void
world_attempt_end_post (world_node_t *node, const attempt_t *attempt,
                        gs_status_t status)
{
  message_t *message
      = world_message_post (node->world, node->index, HOP_LATENCY);

  message->event.type = GS_EVENT_END;
  message->event.id = attempt->id;
  message->event.attempt = attempt->attempt;
  message->event.offset = attempt->next;
  message->event.status = status;
  message->event.http_status = 200;
}

static void
execute_call (world_node_t *node, const gs_request_action_t *action)
{
  world_t *world = node->world;
  unsigned key = spec_key (action->spec);
  caller_t *caller = find_caller (world, action->id);
  message_t *message;

  world->executions[key]++;
  if (caller != NULL)
    caller->executions++;
  if (world->executions[key] > 1)
    world_violation_record (world, "a call ran twice", caller);
  if (caller != NULL && caller->outcome == GS_STATE_NOT_RUN)
    world_violation_record (world, "a call ran after not_run was reported",
                            caller);
  message = world_message_post (world, node->index, CALL_DURATION);
  message->event.type = GS_EVENT_END;
  message->event.id = action->id;
  message->event.attempt = action->attempt;
  message->event.http_status = 200;
}

/* Initializes a stream with the tokens that the request already emitted.  */
static void
load_token_ids (stream_t *stream, const gs_request_action_t *action)
{
  stream->count = action->offset;
  for (uint32_t i = 0; i < action->offset; i++)
    stream->token_ids[i] = (uint32_t)strtoul (
        action->progress.text + (size_t)i * TOKEN_BYTES + 1, NULL, 16);
}

static void
start_attempt (world_node_t *node, const gs_request_action_t *action)
{
  world_t *world = node->world;
  unsigned engine = (unsigned)(action->route.upstream[0] - 'a');
  bool computes_prompt = action->mode == GS_ATTEMPT_MODE_NEW
                         || action->mode == GS_ATTEMPT_MODE_PREFILL;
  attempt_t attempt
      = { node->index, node->incarnation, action->id, action->attempt, engine,
          NULL,        action->offset };

  if (action->spec->kind == GS_REQUEST_CALL)
    {
      execute_call (node, action);
      return;
    }
  if (world->engine_dead[engine])
    {
      world_attempt_end_post (node, &attempt, GS_EUNREACHABLE);
      return;
    }
  attempt.stream
      = computes_prompt
            ? new_stream (world, engine, action->id, action->progress.stream)
            : find_stream (world, engine, action->id, action->progress.stream);
  if (attempt.stream == NULL)
    {
      world_attempt_end_post (node, &attempt, GS_ENOTFOUND);
      return;
    }
  if (computes_prompt)
    {
      load_token_ids (attempt.stream, action);
      world->costs.prefilled += action->spec->prompt_tokens + action->offset;
    }
  g_ptr_array_add (world->attempts, g_memdup2 (&attempt, sizeof attempt));
}

static void
cancel_attempt (world_node_t *node, const gs_request_action_t *action)
{
  GPtrArray *attempts = node->world->attempts;

  for (guint i = attempts->len; i > 0; i--)
    {
      attempt_t *attempt = attempts->pdata[i - 1];

      if (attempt->incarnation == node->incarnation
          && attempt->attempt == action->attempt
          && gs_request_id_equal (&attempt->id, &action->id))
        g_ptr_array_remove_index_fast (attempts, i - 1);
    }
}

static void
move_kv (world_node_t *node, const gs_request_action_t *action)
{
  world_t *world = node->world;
  unsigned from = (unsigned)(action->from.upstream[0] - 'a');
  unsigned to = (unsigned)(action->route.upstream[0] - 'a');
  stream_t *source
      = find_stream (world, from, action->id, action->progress.stream);
  message_t *message
      = world_message_post (world, node->index, 2 * HOP_LATENCY);
  stream_t *target;

  message->event.type = GS_EVENT_KV_MOVED;
  message->event.id = action->id;
  message->event.attempt = action->attempt;
  message->event.status = GS_ENOTFOUND;
  if (source == NULL || world->engine_dead[from] || world->engine_dead[to])
    return;
  target = new_stream (world, to, action->id, action->progress.stream);
  memcpy (target->token_ids, source->token_ids, sizeof source->token_ids);
  target->count = source->count;
  world->costs.kv_moves++;
  message->event.status = GS_OK;
}

static void
receive_chunk (world_node_t *node, const gs_request_action_t *action)
{
  const connection_t *connection = action->caller;
  caller_t *caller = connection->caller;

  if (connection->generation != caller->generation)
    return;
  caller->last_received_at = node->world->now;
  if (action->offset != caller->tokens || action->length != TOKEN_BYTES)
    {
      world_violation_record (node->world, "a token came out of order",
                              caller);
      return;
    }
  memcpy (caller->text + (size_t)caller->tokens * TOKEN_BYTES, action->data,
          action->length);
  caller->tokens++;
  caller->digest = action->digest;
}

static bool
stream_matches_caller (const stream_t *stream, const caller_t *caller)
{
  char token_text[TOKEN_BYTES + 1];

  if (!stream->in_use || stream->count != TOKENS
      || !gs_request_id_equal (&stream->id, &caller->id))
    return false;
  for (uint32_t i = 0; i < TOKENS; i++)
    {
      snprintf (token_text, sizeof token_text, "w%010x ",
                stream->token_ids[i]);
      if (memcmp (token_text, caller->text + (size_t)i * TOKEN_BYTES,
                  TOKEN_BYTES)
          != 0)
        return false;
    }
  return true;
}

static void
check_outcome (world_node_t *node, caller_t *caller,
               const gs_request_action_t *action)
{
  bool matches = false;

  if (caller->call && action->outcome == GS_STATE_NOT_RUN
      && caller->executions > 0)
    world_violation_record (
        node->world, "not_run was reported for a call that ran", caller);
  if (caller->call || action->outcome != GS_STATE_ANSWERED)
    return;
  if (caller->tokens != TOKENS)
    world_violation_record (node->world, "an answer was incomplete", caller);
  for (int i = 0; i < STREAMS_MAX && !matches; i++)
    matches = stream_matches_caller (&node->world->streams[i], caller);
  if (!matches)
    world_violation_record (node->world, "an answer mixes two computations",
                            caller);
}

static void
receive_outcome (world_node_t *node, const gs_request_action_t *action)
{
  const connection_t *connection = action->caller;
  caller_t *caller;

  if (connection == NULL
      || connection->generation != connection->caller->generation)
    return;
  caller = connection->caller;
  if (action->outcome == GS_STATE_MOVED)
    {
      caller->generation++;
      caller->search_until = node->world->now + SEARCH_TIMEOUT;
      return;
    }
  if (action->outcome == GS_STATE_FAILED && action->http_status == 409)
    {
      caller->tokens = 0;
      caller->digest = 0;
      caller->generation++;
      caller->search_until = node->world->now + SEARCH_TIMEOUT;
      return;
    }
  check_outcome (node, caller, action);
  if (caller->outcome != GS_STATE_RECEIVED)
    world_violation_record (node->world, "two outcomes were reported", caller);
  caller->outcome = action->outcome;
}

static void
query_holder (world_node_t *node, const gs_request_action_t *action)
{
  holder_query_t query
      = { node->index, node->incarnation, action->id, action->holder_id,
          node->world->now + SEARCH_TIMEOUT };

  g_array_append_val (node->world->holder_queries, query);
}

static void
perform_action (world_node_t *node, const gs_request_action_t *action)
{
  switch (action->type)
    {
    case GS_ACTION_BACKUP_PUT:
      send_backup (node, action, GS_BACKUP_PUT);
      break;
    case GS_ACTION_BACKUP_PROGRESS:
      send_backup (node, action, GS_BACKUP_PROGRESS);
      break;
    case GS_ACTION_BACKUP_DONE:
      send_backup (node, action, GS_BACKUP_DONE);
      break;
    case GS_ACTION_CLAIM:
      store_write (node, action);
      break;
    case GS_ACTION_CLAIM_READ:
      store_read (node, action);
      break;
    case GS_ACTION_ASK_HOLDER:
      query_holder (node, action);
      break;
    case GS_ACTION_MOVE_KV:
      move_kv (node, action);
      break;
    case GS_ACTION_DISPATCH:
      start_attempt (node, action);
      break;
    case GS_ACTION_CANCEL:
      cancel_attempt (node, action);
      break;
    case GS_ACTION_CALLER_ACCEPTED:
      ((connection_t *)action->caller)->caller->accepted = true;
      break;
    case GS_ACTION_CALLER_CHUNK:
      receive_chunk (node, action);
      break;
    case GS_ACTION_CALLER_END:
      receive_outcome (node, action);
      break;
    }
}

static gs_status_t
port_admit (void *context, gs_time_t now, const gs_request_spec_t *spec,
            gs_time_t *retry_after)
{
  return GS_OK;
}

static gs_status_t
port_route (void *context, gs_time_t now, gs_request_id_t id,
            const gs_request_spec_t *spec, uint32_t attempt, const char *avoid,
            gs_route_t *out)
{
  world_t *world = ((world_node_t *)context)->world;
  unsigned start = (unsigned)gs_rng_below (&world->rng, WORLD_ENGINES);

  for (unsigned i = 0; i < WORLD_ENGINES; i++)
    {
      unsigned engine = (start + i) % WORLD_ENGINES;
      char name = (char)('a' + (int)engine);

      if (world->engine_leaving[engine] || (avoid != NULL && avoid[0] == name))
        continue;
      memset (out, 0, sizeof *out);
      out->upstream[0] = name;
      return GS_OK;
    }
  return GS_EREFUSED;
}

static void
port_route_done (void *context, gs_time_t now, const char *upstream,
                 gs_status_t status)
{
}

static uint64_t
port_backup (void *context, gs_request_id_t id, uint64_t avoid)
{
  world_node_t *node = context;
  unsigned start = (unsigned)gs_rng_below (&node->world->rng, WORLD_NODES);

  for (unsigned i = 0; i < WORLD_NODES; i++)
    {
      world_node_t *peer = &node->world->nodes[(start + i) % WORLD_NODES];

      if (peer != node && !node->peer_lost[peer->index] && !peer->leaving
          && peer->incarnation != avoid)
        return peer->incarnation;
    }
  return 0;
}

static void
start_node (world_t *world, unsigned index)
{
  world_node_t *node = &world->nodes[index];
  gs_request_port_t port
      = { node, port_admit, port_route, port_route_done, port_backup, NULL };

  memset (node, 0, sizeof *node);
  node->world = world;
  node->index = index;
  node->alive = true;
  node->incarnation = ++world->next_incarnation;
  gs_request_core_create (&node->core, node->incarnation, 0, &port);
  gs_backup_core_create (&node->backup);
}

world_t *
world_create (uint64_t seed)
{
  world_t *world = g_new0 (world_t, 1);

  gs_rng_seed (&world->rng, seed);
  world->now = GS_SEC;
  world->token_interval = 1;
  world->messages = g_ptr_array_new ();
  world->attempts = g_ptr_array_new_with_free_func (g_free);
  world->connections = g_ptr_array_new_with_free_func (g_free);
  world->holder_queries = g_array_new (FALSE, FALSE, sizeof (holder_query_t));
  for (unsigned i = 0; i < WORLD_NODES; i++)
    start_node (world, i);
  return world;
}

void
world_node_stop (world_node_t *node)
{
  gs_request_core_destroy (node->core);
  gs_backup_core_destroy (node->backup);
  node->core = NULL;
  node->backup = NULL;
  node->alive = false;
}

void
world_destroy (world_t *world)
{
  for (unsigned i = 0; i < WORLD_NODES; i++)
    if (world->nodes[i].alive)
      world_node_stop (&world->nodes[i]);
  for (guint i = 0; i < world->messages->len; i++)
    world_message_free (world->messages->pdata[i]);
  g_ptr_array_unref (world->messages);
  g_ptr_array_unref (world->attempts);
  g_ptr_array_unref (world->connections);
  g_array_unref (world->holder_queries);
  g_free (world);
}

gs_time_t
world_now (const world_t *world)
{
  return world->now;
}

gs_rng_t *
world_rng (world_t *world)
{
  return &world->rng;
}

const char *
world_violation (const world_t *world)
{
  return world->violation[0] != '\0' ? world->violation : NULL;
}

unsigned
world_kill_count (const world_t *world)
{
  return world->kills;
}
