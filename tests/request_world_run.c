#include "request_world_private.h"

#include <stdio.h>
#include <string.h>

#define SEARCH_INTERVAL_TICKS 20
#define LEAVING_INTERVAL_TICKS 40
#define CONNECTION_RESET_TIMEOUT (100 * GS_MSEC)

static void
disconnect_caller (world_t *world, caller_t *caller)
{
  caller->generation++;
  caller->search_until = world->now + SEARCH_TIMEOUT;
}

static void
connect_caller (world_t *world, caller_t *caller, unsigned node,
                connection_t **out)
{
  connection_t *connection = g_new0 (connection_t, 1);

  *connection = (connection_t){ caller, caller->generation, node };
  g_ptr_array_add (world->connections, connection);
  caller->node = node;
  caller->search_until = 0;
  caller->last_received_at = world->now;
  *out = connection;
}

int
world_submit (world_t *world, unsigned node, bool call, unsigned key)
{
  gs_request_spec_t spec = { 0 };
  gs_request_event_t event = { .type = GS_EVENT_SUBMIT };
  connection_t *connection;
  caller_t *caller = NULL;
  int number = 0;

  while (number < WORLD_REQUESTS && world->callers[number].in_use)
    number++;
  if (number == WORLD_REQUESTS || !world_node_is_running (&world->nodes[node])
      || world->nodes[node].leaving)
    return -1;
  caller = &world->callers[number];
  *caller = (caller_t){ .in_use = true,
                        .call = call,
                        .key = key,
                        .deadline = world->now + REQUEST_TIMEOUT };
  spec.kind = call ? GS_REQUEST_CALL : GS_REQUEST_GENERATE;
  spec.idempotent = !call;
  spec.deadline = caller->deadline;
  spec.tokens_max = TOKENS;
  spec.prompt_tokens = WORLD_PROMPT_TOKENS;
  snprintf (spec.key, sizeof spec.key, "%u", key);
  spec.body = g_bytes_new (NULL, 0);
  connect_caller (world, caller, node, &connection);
  event.spec = &spec;
  event.caller = connection;
  world_core_step (&world->nodes[node], &event, &caller->id);
  return number;
}

/* Reconnects a caller to the first running node that knows its request; after
   the search timeout its outcome is unknown.  */
static void
reconnect_caller (world_t *world, caller_t *caller)
{
  gs_request_event_t event = { .type = GS_EVENT_ATTACH };
  connection_t *connection;

  for (unsigned i = 0; i < WORLD_NODES; i++)
    {
      world_node_t *node = &world->nodes[i];
      gs_request_state_t state;

      if (!world_node_is_running (node)
          || gs_request_core_state (node->core, caller->id, &state) != GS_OK
          || state == GS_STATE_MOVED)
        continue;
      connect_caller (world, caller, i, &connection);
      event.id = caller->id;
      event.offset = caller->tokens;
      event.digest = caller->digest;
      event.caller = connection;
      world_core_step (node, &event, NULL);
      return;
    }
  if (world->now >= caller->search_until)
    caller->outcome = GS_STATE_UNKNOWN;
}

static void
step_callers (world_t *world)
{
  for (int i = 0; i < WORLD_REQUESTS; i++)
    {
      caller_t *caller = &world->callers[i];

      if (!caller->in_use || caller->outcome != GS_STATE_RECEIVED)
        continue;
      if (caller->search_until != 0)
        reconnect_caller (world, caller);
      else if (!world->nodes[caller->node].alive
               || world->now - caller->last_received_at
                      > CALLER_SILENCE_TIMEOUT)
        disconnect_caller (world, caller);
    }
}

static void
report_peer (world_node_t *node, uint64_t peer, bool lost)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (gs_backup_action_t));
  gs_backup_event_t backup
      = { .type = lost ? GS_BACKUP_PEER_LOST : GS_BACKUP_PEER_RECONNECTED };
  gs_request_event_t event = { .type = GS_EVENT_PEER_LOST };

  backup.peer = peer;
  event.peer = peer;
  gs_backup_core_step (node->backup, node->world->now, &backup, actions);
  if (lost)
    world_core_step (node, &event, NULL);
  g_array_unref (actions);
}

static void
check_peer (world_node_t *node, world_node_t *peer)
{
  world_t *world = node->world;
  bool reachable = world_node_is_running (peer)
                   && world_nodes_connected (world, node, peer);
  gs_time_t limit = peer->alive ? PEER_SILENCE_MAX : CONNECTION_RESET_TIMEOUT;

  if (reachable)
    {
      node->last_contact_at[peer->index] = world->now;
      if (node->peer_lost[peer->index])
        report_peer (node, peer->incarnation, false);
      node->peer_lost[peer->index] = false;
    }
  else if (!node->peer_lost[peer->index]
           && world->now - node->last_contact_at[peer->index] > limit)
    {
      node->peer_lost[peer->index] = true;
      report_peer (node, peer->incarnation, true);
    }
}

static void
acknowledge (world_node_t *node, const gs_backup_action_t *action)
{
  world_t *world = node->world;

  for (unsigned i = 0; i < WORLD_NODES; i++)
    {
      world_node_t *peer = &world->nodes[i];
      message_t *message;

      if (!peer->alive || peer->incarnation != action->peer
          || !world_nodes_connected (world, node, peer))
        continue;
      world->costs.acks++;
      message = world_message_post (world, i, HOP_LATENCY);
      message->event.type = GS_EVENT_BACKUP_ACK;
      message->event.id = action->id;
      message->event.peer = node->incarnation;
      message->event.taken_over = action->handed_over;
    }
}

static void
step_backup (world_node_t *node, const gs_backup_event_t *backup)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (gs_backup_action_t));

  gs_backup_core_step (node->backup, node->world->now, backup, actions);
  for (guint i = 0; i < actions->len; i++)
    {
      const gs_backup_action_t *action
          = &g_array_index (actions, gs_backup_action_t, i);
      gs_request_event_t event = { .type = GS_EVENT_ADOPT };
      gs_request_spec_t spec = *action->spec;

      if (action->type == GS_BACKUP_ACTION_ACK)
        {
          acknowledge (node, action);
          continue;
        }
      g_bytes_ref (spec.body);
      event.id = action->id;
      event.spec = &spec;
      event.progress = &action->progress;
      event.peer = action->peer;
      if (action->type == GS_BACKUP_ACTION_KEEP)
        {
          event.type = GS_EVENT_KEEP;
          event.outcome = action->outcome;
          event.http_status = action->http_status;
          event.data = action->reason;
        }
      world_core_step (node, &event, NULL);
    }
  g_array_unref (actions);
}

static void
deliver (world_t *world, message_t *message)
{
  world_node_t *node = &world->nodes[message->node];

  if (!node->alive || node->incarnation != message->incarnation)
    return;
  message->progress.text = message->data;
  message->progress.ends = message->ends;
  if (message->to_backup)
    {
      message->backup.progress = &message->progress;
      message->backup.spec = &message->spec;
      message->backup.leaving = node->leaving;
      step_backup (node, &message->backup);
      message->spec.body = NULL;
      return;
    }
  message->event.data = message->data;
  world_core_step (node, &message->event, NULL);
}

/* Delivers messages that are due.  Messages to a paused process are kept and
   delivered in order when it resumes.  */
static void
deliver_due (world_t *world)
{
  for (;;)
    {
      message_t *first = NULL;

      for (guint i = 0; i < world->messages->len; i++)
        {
          message_t *message = world->messages->pdata[i];
          world_node_t *node = &world->nodes[message->node];

          if (message->due > world->now
              || (node->alive && !world_node_is_running (node)))
            continue;
          if (first == NULL || message->due < first->due
              || (message->due == first->due && message->order < first->order))
            first = message;
        }
      if (first == NULL)
        return;
      g_ptr_array_remove_fast (world->messages, first);
      deliver (world, first);
      world_message_free (first);
    }
}

static void
post_chunk (world_node_t *node, const attempt_t *attempt, uint32_t offset,
            gs_time_t delay)
{
  message_t *message = world_message_post (node->world, node->index, delay);

  message->event.type = GS_EVENT_CHUNK;
  message->event.id = attempt->id;
  message->event.attempt = attempt->attempt;
  message->event.offset = offset;
  message->event.length = TOKEN_BYTES;
  message->data
      = g_strdup_printf ("w%010x ", attempt->stream->token_ids[offset]);
}

/* Sends the next token.  Three in a hundred are sent twice and two in a
   hundred late, after the tokens that follow.  */
static bool
step_attempt (world_t *world, attempt_t *attempt)
{
  world_node_t *node = &world->nodes[attempt->node];
  stream_t *stream = attempt->stream;
  uint64_t roll = gs_rng_below (&world->rng, 100);

  if (!node->alive || node->incarnation != attempt->incarnation)
    return false;
  if (world->engine_dead[attempt->engine])
    {
      world_attempt_end_post (node, attempt, GS_EUNKNOWN);
      return false;
    }
  if (world->ticks % world->token_interval != 0)
    return true;
  if (attempt->next == TOKENS)
    {
      world_attempt_end_post (node, attempt, GS_OK);
      return false;
    }
  if (attempt->next == stream->count)
    {
      stream->token_ids[stream->count++] = (uint32_t)gs_rng_next (&world->rng);
      world->costs.decoded++;
    }
  post_chunk (node, attempt, attempt->next,
              roll < 2 ? 5 * HOP_LATENCY : HOP_LATENCY);
  if (roll > 96)
    post_chunk (node, attempt, attempt->next, HOP_LATENCY);
  attempt->next++;
  return true;
}

static void
step_engines (world_t *world)
{
  for (guint i = world->attempts->len; i > 0; i--)
    if (!step_attempt (world, world->attempts->pdata[i - 1]))
      g_ptr_array_remove_index_fast (world->attempts, i - 1);
}

static void
report_leaving (world_t *world, world_node_t *node)
{
  for (unsigned i = 0; i < WORLD_NODES; i++)
    if (world->nodes[i].leaving && world->nodes[i].alive && i != node->index)
      {
        gs_request_event_t event = { .type = GS_EVENT_PEER_LEAVING };

        event.peer = world->nodes[i].incarnation;
        world_core_step (node, &event, NULL);
      }
  for (unsigned i = 0; i < WORLD_ENGINES; i++)
    if (world->engine_leaving[i] && !world->engine_dead[i])
      {
        char name[] = { (char)('a' + (int)i), '\0' };
        gs_request_event_t event = { .type = GS_EVENT_UPSTREAM_LEAVING };

        event.data = name;
        world_core_step (node, &event, NULL);
      }
}

static void
step_node (world_t *world, world_node_t *node)
{
  gs_request_event_t tick = { .type = GS_EVENT_TICK };
  gs_backup_event_t backup = { .type = GS_BACKUP_TICK };

  if (node->alive && node->stop_at != 0 && world->now >= node->stop_at)
    world_node_stop (node);
  if (!world_node_is_running (node))
    return;
  for (unsigned i = 0; i < WORLD_NODES; i++)
    if (i != node->index)
      check_peer (node, &world->nodes[i]);
  if (world->ticks % LEAVING_INTERVAL_TICKS == 0)
    report_leaving (world, node);
  world_core_step (node, &tick, NULL);
  step_backup (node, &backup);
}

/* Returns the state of a request at the running nodes.  A node from which the
   request was moved away counts only if no other node knows the request.  */
static gs_request_state_t
find_request_state (world_t *world, gs_request_id_t id, bool *found)
{
  gs_request_state_t best = GS_STATE_RECEIVED;

  *found = false;
  for (unsigned i = 0; i < WORLD_NODES; i++)
    {
      gs_request_state_t state;

      if (!world_node_is_running (&world->nodes[i])
          || gs_request_core_state (world->nodes[i].core, id, &state) != GS_OK)
        continue;
      if (!*found || best == GS_STATE_MOVED)
        best = state;
      *found = true;
    }
  return best;
}

static bool
step_holder_query (world_t *world, const holder_query_t *query)
{
  world_node_t *node = &world->nodes[query->node];
  gs_request_event_t event = { .type = GS_EVENT_HOLDER_REPLY };
  bool found;
  gs_request_state_t state = find_request_state (world, query->id, &found);

  if (!node->alive || node->incarnation != query->incarnation)
    return false;
  if (!world_node_is_running (node)
      || (found && (state <= GS_STATE_DISPATCHED || state == GS_STATE_MOVED))
      || (!found && world->now < query->deadline))
    return true;
  event.id = query->requester_id;
  event.status = found ? GS_OK : GS_ENOTFOUND;
  event.outcome = state;
  event.http_status = 200;
  world_core_step (node, &event, NULL);
  return false;
}

static void
step_holder_queries (world_t *world)
{
  for (guint i = world->holder_queries->len; i > 0; i--)
    {
      holder_query_t query
          = g_array_index (world->holder_queries, holder_query_t, i - 1);

      if (!step_holder_query (world, &query))
        g_array_remove_index_fast (world->holder_queries, i - 1);
    }
}

void
world_step (world_t *world)
{
  world->now += WORLD_TICK_INTERVAL;
  world->ticks++;
  deliver_due (world);
  step_engines (world);
  for (unsigned i = 0; i < WORLD_NODES; i++)
    step_node (world, &world->nodes[i]);
  if (world->ticks % SEARCH_INTERVAL_TICKS == 0)
    {
      step_callers (world);
      step_holder_queries (world);
    }
}

static void
disconnect_engine (world_t *world, unsigned engine)
{
  for (guint i = world->attempts->len; i > 0; i--)
    {
      attempt_t *attempt = world->attempts->pdata[i - 1];

      if (attempt->engine != engine)
        continue;
      if (world->nodes[attempt->node].alive)
        world_attempt_end_post (&world->nodes[attempt->node], attempt,
                                GS_EUNKNOWN);
      g_ptr_array_remove_index_fast (world->attempts, i - 1);
    }
}

world_costs_t
world_costs (const world_t *world)
{
  return world->costs;
}

void
world_set_token_interval (world_t *world, unsigned ticks)
{
  world->token_interval = ticks;
}

void
world_restrict_engine (world_t *world, int engine)
{
  for (int i = 0; i < WORLD_ENGINES; i++)
    world->engine_leaving[i] = engine >= 0 && i != engine;
}

void
world_fault (world_t *world, world_fault_t fault, unsigned node, int request)
{
  world_node_t *target = &world->nodes[node];
  gs_request_event_t leave = { .type = GS_EVENT_LEAVE };

  switch (fault)
    {
    case FAULT_RECLAIM:
      if (!world_node_is_running (target) || target->leaving)
        return;
      target->leaving = true;
      target->stop_at = world->now + RECLAIM_NOTICE_DURATION;
      leave.deadline = target->stop_at;
      world_core_step (target, &leave, NULL);
      break;
    case FAULT_KILL:
      if (target->alive)
        {
          world_node_stop (target);
          world->kills++;
        }
      break;
    case FAULT_SILENT:
      target->silent_until = world->now + SILENCE_DURATION;
      break;
    case FAULT_STORE_OUTAGE:
      world->store_down_until = world->now + STORE_OUTAGE_DURATION;
      break;
    case FAULT_STORE_REPLY_LOST:
      world->store_replies_lost += 3;
      break;
    case FAULT_PAUSE:
      target->paused_until = world->now + PAUSE_DURATION;
      break;
    case FAULT_DUPLICATE:
      world_submit (world, (node + 1) % WORLD_NODES,
                    world->callers[request].call, world->callers[request].key);
      break;
    case FAULT_ENGINE_KILL:
      world->engine_dead[node % WORLD_ENGINES] = true;
      world->engine_leaving[node % WORLD_ENGINES] = true;
      break;
    case FAULT_ENGINE_DRAIN:
      world->engine_leaving[node % WORLD_ENGINES] = true;
      break;
    case FAULT_ENGINE_DISCONNECT:
      disconnect_engine (world, node % WORLD_ENGINES);
      break;
    case FAULT_COUNT:
      break;
    }
}

unsigned
world_holder (const world_t *world, int request)
{
  gs_request_state_t state;

  for (unsigned i = 0; i < WORLD_NODES; i++)
    if (world->nodes[i].alive
        && gs_request_core_state (world->nodes[i].core,
                                  world->callers[request].id, &state)
               == GS_OK
        && state <= GS_STATE_DISPATCHED)
      return i;
  return world->callers[request].node;
}

gs_request_state_t
world_state (const world_t *world, int request)
{
  const world_node_t *node = &world->nodes[world->callers[request].node];
  gs_request_state_t state = GS_STATE_RECEIVED;

  if (node->alive)
    gs_request_core_state (node->core, world->callers[request].id, &state);
  return state;
}

unsigned
world_backup (const world_t *world, int request)
{
  unsigned holder = world_holder (world, request);

  for (unsigned i = 0; i < WORLD_NODES; i++)
    if (i != holder && world->nodes[i].alive
        && gs_backup_core_count (world->nodes[i].backup) > 0)
      return i;
  return (holder + 1) % WORLD_NODES;
}

gs_request_state_t
world_outcome (const world_t *world, int request)
{
  return world->callers[request].outcome;
}

bool
world_is_settled (const world_t *world)
{
  for (int i = 0; i < WORLD_REQUESTS; i++)
    if (world->callers[i].in_use
        && world->callers[i].outcome == GS_STATE_RECEIVED)
      return false;
  return true;
}
