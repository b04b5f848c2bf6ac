#include "peers_world.h"

#include "garnetstack/rng.h"

#include <stdio.h>
#include <string.h>

/* Interval at which the control thread of a node runs.  */
#define TICK_INTERVAL (20 * GS_MSEC)
/* One way, between nodes; with the time that a node takes to respond.  */
#define DELAY_MIN (500)
#define DELAY_RANGE (20 * GS_MSEC)
#define START_TIME (100 * GS_SEC)
#define NODE_PORT 7000
/* HTTP heads of a request and its response, and headers of the packets.  */
#define EXCHANGE_OVERHEAD_BYTES 500

typedef struct
{
  peers_world_t *world;
  unsigned index;
  digest_member_t member;
  peers_t *peers;
  traffic_report_t *report;
  peers_state_t state;
  gs_time_t tick_at;
  bool up;
  bool frozen;
  bool cut_outgoing;
  bool cut_incoming;
  uint64_t bytes;
  uint64_t crossing;
} world_node_t;

/* A request or a response that is on its way.  */
typedef struct
{
  gs_time_t at;
  uint64_t order; /* of its creation */
  unsigned from;
  unsigned to;
  bool response;
  long http_status;
  char path[16];
  GByteArray *body;
  peers_reply_cb_t on_reply;
  void *context;
  uint64_t caller_incarnation;
} message_t;

struct peers_world
{
  peers_world_options_t options;
  gs_time_t now;
  world_node_t *nodes;
  GSequence *messages; /* of message_t */
  uint64_t next_order;
  uint64_t next_incarnation;
  gs_rng_t rng;
};

static void
message_free (gpointer data)
{
  message_t *message = data;

  if (message->body != NULL)
    g_byte_array_unref (message->body);
  g_free (message);
}

static int
compare_messages (gconstpointer a, gconstpointer b, gpointer context)
{
  const message_t *left = a;
  const message_t *right = b;

  if (left->at != right->at)
    return left->at < right->at ? -1 : 1;
  return left->order < right->order ? -1 : left->order > right->order;
}

static void
send_message (peers_world_t *world, message_t *message, gs_time_t delay)
{
  message->at = world->now + delay;
  message->order = world->next_order++;
  g_sequence_insert_sorted (world->messages, message, compare_messages, NULL);
}

static gs_time_t
random_delay (peers_world_t *world)
{
  return DELAY_MIN + (gs_time_t)gs_rng_below (&world->rng, DELAY_RANGE);
}

static void
count_bytes (peers_world_t *world, unsigned from, unsigned to, size_t bytes)
{
  world_node_t *ends[] = { &world->nodes[from], &world->nodes[to] };
  bool crossing
      = strcmp (ends[0]->member.data_centre, ends[1]->member.data_centre) != 0;

  for (unsigned i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      ends[i]->bytes += bytes + EXCHANGE_OVERHEAD_BYTES / 2;
      if (crossing)
        ends[i]->crossing += bytes + EXCHANGE_OVERHEAD_BYTES / 2;
    }
}

static void
post (void *context, gs_time_t now, const gs_endpoint_t *endpoint,
      const char *path, const GByteArray *body, peers_reply_cb_t on_reply,
      void *reply_context)
{
  world_node_t *node = context;
  peers_world_t *world = node->world;
  message_t *message = g_new0 (message_t, 1);
  unsigned to = endpoint->port - NODE_PORT;
  bool lost = node->cut_outgoing || to >= world->options.nodes
              || world->nodes[to].cut_incoming
              || gs_rng_unit (&world->rng) < world->options.loss;

  message->from = node->index;
  message->to = to;
  message->caller_incarnation = node->member.incarnation;
  message->on_reply = on_reply;
  message->context = reply_context;
  if (lost)
    {
      message->response = true;
      send_message (world, message, PEERS_CALL_TIMEOUT);
      return;
    }
  count_bytes (world, node->index, to, body->len);
  g_strlcpy (message->path, path, sizeof message->path);
  message->body = g_byte_array_new ();
  g_byte_array_append (message->body, body->data, body->len);
  send_message (world, message, random_delay (world));
}

static void
deliver_request (peers_world_t *world, message_t *request)
{
  world_node_t *callee = &world->nodes[request->to];
  message_t *response = g_new0 (message_t, 1);
  GByteArray *answer = NULL;

  response->from = request->from;
  response->response = true;
  response->on_reply = request->on_reply;
  response->context = request->context;
  response->caller_incarnation = request->caller_incarnation;
  if (callee->frozen)
    {
      send_message (world, response, PEERS_CALL_TIMEOUT);
      return;
    }
  if (callee->up)
    answer = peers_message_receive (callee->peers, world->now, request->path,
                                    (const char *)request->body->data,
                                    request->body->len);
  if (answer != NULL)
    {
      count_bytes (world, request->to, request->from, answer->len);
      response->http_status = 200;
      response->body = answer;
    }
  else if (callee->up)
    response->http_status = 400;
  send_message (world, response, random_delay (world));
}

static void
deliver_response (peers_world_t *world, message_t *response)
{
  world_node_t *caller = &world->nodes[response->from];
  peers_reply_t reply = { .http_status = response->http_status };

  if (!caller->up
      || caller->member.incarnation != response->caller_incarnation)
    {
      g_free (response->context);
      return;
    }
  if (caller->frozen)
    {
      message_t *later = g_memdup2 (response, sizeof *response);

      later->http_status = 0;
      later->body = NULL;
      send_message (world, later, TICK_INTERVAL);
      return;
    }
  if (response->body != NULL)
    {
      reply.body = (const char *)response->body->data;
      reply.length = response->body->len;
    }
  response->on_reply (response->context, world->now, &reply);
}

static void
get_state (void *context, peers_state_t *out)
{
  *out = ((world_node_t *)context)->state;
}

static const traffic_report_t *
get_report (void *context)
{
  return ((world_node_t *)context)->report;
}

/* Copies arrive a moment after a peer has told of a newer revision.  */
static void
on_peer_state (void *context, gs_time_t now, const gs_endpoint_t *endpoint,
               const peers_state_t *state)
{
  world_node_t *node = context;

  node->state.config_revision
      = MAX (node->state.config_revision, state->config_revision);
  node->state.replicas_revision
      = MAX (node->state.replicas_revision, state->replicas_revision);
}

static void
list_members (peers_world_t *world, world_node_t *node)
{
  for (unsigned i = 0; i < world->options.nodes; i++)
    if (i != node->index)
      peers_listed_set (node->peers, world->now, &world->nodes[i].member,
                        true);
}

void
peers_world_start (peers_world_t *world, unsigned index)
{
  world_node_t *node = &world->nodes[index];
  peers_listener_t listener = { node, get_state, get_report, on_peer_state };
  peers_transport_t transport = { node, post };
  gs_endpoint_t seeds[3];

  if (node->up)
    return;
  for (unsigned i = 0; i < G_N_ELEMENTS (seeds); i++)
    {
      g_strlcpy (seeds[i].host, "10.0.0.1", sizeof seeds[i].host);
      seeds[i].port = (uint16_t)(NODE_PORT + i);
    }
  node->member.incarnation = ++world->next_incarnation;
  node->up = true;
  node->tick_at
      = world->now + (gs_time_t)gs_rng_below (&world->rng, TICK_INTERVAL);
  peers_create (&node->peers, &node->member, seeds, G_N_ELEMENTS (seeds),
                &listener, &transport, node->member.incarnation);
  if (world->options.listed_once)
    list_members (world, node);
}

void
peers_world_kill (peers_world_t *world, unsigned index)
{
  world_node_t *node = &world->nodes[index];

  if (!node->up)
    return;
  node->up = false;
  node->frozen = false;
  /* Open calls are dropped when their responses arrive.  */
  peers_destroy (node->peers);
  node->peers = NULL;
}

void
peers_world_create (peers_world_t **out, const peers_world_options_t *options)
{
  peers_world_t *world = g_new0 (peers_world_t, 1);

  world->options = *options;
  world->now = START_TIME;
  world->nodes = g_new0 (world_node_t, options->nodes);
  world->messages = g_sequence_new (message_free);
  gs_rng_seed (&world->rng, options->seed);
  for (unsigned i = 0; i < options->nodes; i++)
    {
      world_node_t *node = &world->nodes[i];

      node->world = world;
      node->index = i;
      node->report = traffic_report_create ();
      node->state = (peers_state_t){ .flags = PEER_READY };
      g_snprintf (node->member.name, sizeof node->member.name,
                  "front-zone-%u-%u", i % options->data_centres,
                  i / options->data_centres);
      g_snprintf (node->member.data_centre, sizeof node->member.data_centre,
                  "zone-%u", i % options->data_centres);
      g_strlcpy (node->member.peers.host, "10.0.0.1",
                 sizeof node->member.peers.host);
      node->member.peers.port = (uint16_t)(NODE_PORT + i);
      node->member.callers = node->member.peers;
    }
  for (unsigned i = 0; i < options->nodes; i++)
    peers_world_start (world, i);
  *out = world;
}

void
peers_world_destroy (peers_world_t *world)
{
  GSequenceIter *iter;

  if (world == NULL)
    return;
  for (iter = g_sequence_get_begin_iter (world->messages);
       !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    g_free (((message_t *)g_sequence_get (iter))->context);
  g_sequence_free (world->messages);
  for (unsigned i = 0; i < world->options.nodes; i++)
    {
      peers_destroy (world->nodes[i].peers);
      traffic_report_free (world->nodes[i].report);
    }
  g_free (world->nodes);
  g_free (world);
}

static void
deliver_due (peers_world_t *world)
{
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (world->messages);
      message_t *message;

      if (g_sequence_iter_is_end (first))
        return;
      message = g_sequence_get (first);
      if (message->at > world->now)
        return;
      if (message->response)
        deliver_response (world, message);
      else
        deliver_request (world, message);
      g_sequence_remove (first);
    }
}

void
peers_world_run (peers_world_t *world, gs_time_t duration)
{
  gs_time_t end = world->now + duration;

  while (world->now < end)
    {
      world->now += GS_MSEC;
      deliver_due (world);
      for (unsigned i = 0; i < world->options.nodes; i++)
        {
          world_node_t *node = &world->nodes[i];

          if (world->now < node->tick_at)
            continue;
          node->tick_at = world->now + TICK_INTERVAL;
          if (node->up && !node->frozen)
            peers_tick (node->peers, world->now);
        }
    }
}

gs_time_t
peers_world_now (const peers_world_t *world)
{
  return world->now;
}

peers_t *
peers_world_peers (peers_world_t *world, unsigned node)
{
  return world->nodes[node].peers;
}

void
peers_world_freeze (peers_world_t *world, unsigned node, bool frozen)
{
  world->nodes[node].frozen = frozen;
}

void
peers_world_cut (peers_world_t *world, unsigned node, bool outgoing,
                 bool incoming)
{
  world->nodes[node].cut_outgoing = outgoing;
  world->nodes[node].cut_incoming = incoming;
}

peers_state_t *
peers_world_state (peers_world_t *world, unsigned node)
{
  return &world->nodes[node].state;
}

traffic_report_t *
peers_world_report (peers_world_t *world, unsigned node)
{
  return world->nodes[node].report;
}

bool
peers_world_knows_live (peers_world_t *world, unsigned node, unsigned other)
{
  return peers_name_is_live (world->nodes[node].peers, world->now,
                             world->nodes[other].member.name);
}

uint64_t
peers_world_bytes_take (peers_world_t *world, unsigned node,
                        uint64_t *crossing)
{
  uint64_t bytes = world->nodes[node].bytes;

  *crossing = world->nodes[node].crossing;
  world->nodes[node].bytes = 0;
  world->nodes[node].crossing = 0;
  return bytes;
}
