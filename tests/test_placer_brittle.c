#include "check.h"
#include "garnetstack/rng.h"
#include "policy/placer.h"

#include <string.h>

/* Guards against brittle replicas that fall over under the requests of all
   nodes together.  Plays the load: callers ask at all nodes for 1.4 times what
   the replicas have room for, while replicas get less room, fall over and come
   back, and nodes start anew.  Nodes tell each other nothing of their loads.
 */

#define STEP (5 * GS_MSEC)
#define START (100 * GS_SEC)
#define PLAY_TIME (14 * GS_SEC)
#define STREAM_TIME (400 * GS_MSEC)
#define FIRST_EVENT_TIME (60 * GS_MSEC)
#define DOWN_TIME GS_SEC
/* What happens in each play, in this order.  */
#define ROOM_SHRINKS_AT (START + 2 * GS_SEC)
#define REPLICA_CRASHES_AT (START + 5 * GS_SEC)
#define NODE_STARTS_AT (START + 7 * GS_SEC)
#define ALL_NODES_START_AT (START + 9 * GS_SEC)
#define NODES_MAX 80
#define REPLICAS_MAX 40
#define RING 64
#define SENDS_MAX 4

typedef struct
{
  unsigned nodes;
  unsigned replicas;
  unsigned slots;
  unsigned rejections_max;
  unsigned room; /* from ROOM_SHRINKS_AT on */
} play_t;

typedef struct
{
  unsigned starts;
  unsigned running;
  gs_time_t down_until; /* 0 while it runs */
  gs_time_t rejections[RING];
  unsigned rejection_count;
} fake_replica_t;

typedef struct
{
  unsigned node;
  unsigned replica;
  unsigned starts; /* of the replica */
  placer_t *placer;
  placer_ticket_t ticket;
  gs_time_t first_event_at; /* 0 once it has come */
  gs_time_t ends_at;
} fake_request_t;

typedef struct
{
  const play_t *play;
  placer_t *placers[NODES_MAX];
  fake_replica_t replicas[REPLICAS_MAX];
  GArray *requests; /* of fake_request_t */
  gs_replica_list_t *list;
  gs_rng_t rng;
  unsigned falls;
  unsigned rejected;
  unsigned served;
} world_t;

static const placer_query_t query
    = { .service = "engine", .avoid = PLACER_ROW_NONE };

static void
list_publish (world_t *world, gs_time_t now)
{
  world->list->count = 0;
  for (unsigned i = 0; i < world->play->replicas; i++)
    {
      gs_replica_t *row = &world->list->rows[world->list->count];

      if (world->replicas[i].down_until != 0)
        continue;
      *row = (gs_replica_t){ .state = GS_REPLICA_READY,
                             .slots = world->play->slots,
                             .terminates_at = GS_TIME_NEVER };
      g_snprintf (row->id, sizeof row->id, "i-%u-%u", i,
                  world->replicas[i].starts);
      g_strlcpy (row->service, query.service, sizeof row->service);
      g_snprintf (row->address, sizeof row->address, "127.0.0.1:%u", 1000 + i);
      world->list->count++;
    }
  for (unsigned i = 0; i < world->play->nodes; i++)
    placer_replicas_set (world->placers[i], now, world->list);
}

static void
node_start (world_t *world, gs_time_t now, unsigned node)
{
  uint64_t members[NODES_MAX];

  for (unsigned i = 0; i < world->play->nodes; i++)
    members[i] = (node + i) % world->play->nodes + 1000;
  /* What it has sent before still runs.  */
  for (guint i = 0; i < world->requests->len; i++)
    {
      fake_request_t *request
          = &g_array_index (world->requests, fake_request_t, i);

      if (request->node == node)
        request->placer = NULL;
    }
  placer_destroy (world->placers[node]);
  placer_create (&world->placers[node], node + (uint64_t)now);
  placer_replicas_set (world->placers[node], now, world->list);
  placer_members_set (world->placers[node], now, members, world->play->nodes);
}

static void
statement_deliver (const world_t *world, gs_time_t now,
                   const fake_request_t *request)
{
  placer_statement_t statement
      = { .limit_per_sec = -1,
          .brittle = true,
          .rejections_max = world->play->rejections_max };

  placer_statement_record (request->placer, now, &request->ticket, &statement);
}

static void
replica_crash (world_t *world, gs_time_t now, unsigned index)
{
  world->replicas[index].down_until = now + DOWN_TIME;
  world->replicas[index].running = 0;
  list_publish (world, now);
}

static void
rejection_record (world_t *world, gs_time_t now, unsigned index)
{
  fake_replica_t *replica = &world->replicas[index];
  unsigned number = replica->rejection_count++;
  unsigned max = world->play->rejections_max;

  world->rejected++;
  replica->rejections[number % RING] = now;
  if (number < max
      || now - replica->rejections[(number - max) % RING] >= GS_SEC)
    return;
  world->falls++;
  replica->rejection_count = 0;
  replica_crash (world, now, index);
}

static unsigned
room_at (const world_t *world, gs_time_t now)
{
  return now < ROOM_SHRINKS_AT ? world->play->slots : world->play->room;
}

/* @return false if the request is to be sent to another replica  */
static bool
request_send (world_t *world, gs_time_t now, unsigned node)
{
  fake_request_t request = { .node = node,
                             .placer = world->placers[node],
                             .first_event_at = now + FIRST_EVENT_TIME };
  placer_choice_t choice;
  fake_replica_t *replica;

  if (placer_pick (request.placer, now, &query, &choice) != GS_OK)
    return true;
  placer_attempt_begin (request.placer, now, &query, &choice, &request.ticket);
  sscanf (placer_replica (request.placer, choice.row)->id, "i-%u-",
          &request.replica);
  replica = &world->replicas[request.replica];
  request.starts = replica->starts;
  request.ends_at
      = now + STREAM_TIME / 2
        + (gs_time_t)gs_rng_below (&world->rng, (uint64_t)STREAM_TIME);
  if (replica->running < room_at (world, now))
    {
      replica->running++;
      g_array_append_val (world->requests, request);
      return true;
    }
  statement_deliver (world, now, &request);
  placer_attempt_end (request.placer, now, &request.ticket, PLACER_FULL);
  rejection_record (world, now, request.replica);
  return false;
}

static void
requests_advance (world_t *world, gs_time_t now)
{
  for (guint i = 0; i < world->requests->len;)
    {
      fake_request_t *request
          = &g_array_index (world->requests, fake_request_t, i);
      fake_replica_t *replica = &world->replicas[request->replica];
      bool lost
          = replica->down_until != 0 || replica->starts != request->starts;

      if (request->placer != NULL && !lost && request->first_event_at != 0
          && now >= request->first_event_at)
        {
          request->first_event_at = 0;
          statement_deliver (world, now, request);
          placer_first_event_record (request->placer, now, &request->ticket);
        }
      if (!lost && now < request->ends_at)
        {
          i++;
          continue;
        }
      replica->running -= !lost;
      world->served += !lost && request->placer != NULL;
      if (request->placer != NULL)
        placer_attempt_end (request->placer, now, &request->ticket,
                            lost ? PLACER_FAILED : PLACER_SUCCEEDED);
      g_array_remove_index_fast (world->requests, i);
    }
}

static void
events_run (world_t *world, gs_time_t now)
{
  bool back = false;

  for (unsigned i = 0; i < world->play->replicas; i++)
    if (world->replicas[i].down_until != 0
        && now >= world->replicas[i].down_until)
      {
        world->replicas[i].down_until = 0;
        world->replicas[i].starts++;
        back = true;
      }
  if (back)
    list_publish (world, now);
  if (now == REPLICA_CRASHES_AT && world->replicas[0].down_until == 0)
    replica_crash (world, now, 0);
  if (now == NODE_STARTS_AT && world->play->nodes > 1)
    {
      GArray *statements = g_array_new (FALSE, FALSE, sizeof (statement_t));

      placer_statements_export (world->placers[1], now, statements);
      node_start (world, now, 0);
      placer_statements_import (world->placers[0], now,
                                (const statement_t *)(void *)statements->data,
                                statements->len);
      g_array_unref (statements);
    }
  for (unsigned i = 0; now == ALL_NODES_START_AT && i < world->play->nodes;
       i++)
    node_start (world, now, i);
}

static void
play_run (const play_t *play, world_t *world)
{
  double per_step = 1.4 * play->replicas * play->slots * STEP / STREAM_TIME;
  double due = 0;

  *world = (world_t){ .play = play };
  world->list = g_malloc0 (sizeof *world->list
                           + REPLICAS_MAX * sizeof *world->list->rows);
  world->requests = g_array_new (FALSE, FALSE, sizeof (fake_request_t));
  gs_rng_seed (&world->rng, 5);
  for (unsigned i = 0; i < play->nodes; i++)
    placer_create (&world->placers[i], i);
  list_publish (world, START);
  for (unsigned i = 0; i < play->nodes; i++)
    node_start (world, START, i);
  for (gs_time_t now = START; now < START + PLAY_TIME; now += STEP)
    {
      requests_advance (world, now);
      events_run (world, now);
      due += per_step;
      while (due >= 1)
        {
          unsigned node = (unsigned)gs_rng_below (&world->rng, play->nodes);
          unsigned sends = 0;

          due -= 1;

          while (sends++ < SENDS_MAX && !request_send (world, now, node))
            ;
        }
    }
  for (unsigned i = 0; i < play->nodes; i++)
    placer_destroy (world->placers[i]);
  g_array_unref (world->requests);
  g_free (world->list);
}

static void
brittle_replicas_stay_up_and_serve (void)
{
  static const play_t plays[] = {
    { 6, 8, 8, 8, 4 },      { 6, 8, 8, 3, 4 },   { 12, 10, 16, 8, 8 },
    { 34, 20, 24, 8, 12 },  { 34, 4, 6, 8, 3 },  { 76, 40, 16, 8, 8 },
    { 34, 20, 24, 20, 24 }, { 1, 10, 16, 8, 8 },
  };
  static world_t world;

  for (size_t i = 0; i < G_N_ELEMENTS (plays); i++)
    {
      const play_t *play = &plays[i];
      unsigned capacity = (unsigned)((double)play->replicas * play->room
                                     * PLAY_TIME / STREAM_TIME);

      play_run (play, &world);
      printf ("\n  %u nodes, %u replicas of %u slots, %u rejections borne:"
              " %u fell over, %u allowed; %u rejected, %u served, room for"
              " %u ",
              play->nodes, play->replicas, play->slots, play->rejections_max,
              world.falls, 2 + play->replicas / 10, world.rejected,
              world.served, capacity);
      CU_ASSERT (world.falls <= 2 + play->replicas / 10);
      CU_ASSERT (world.served >= capacity / 2);
    }
}

static const check_case_t cases[] = {
  { "brittle replicas stay up and serve", brittle_replicas_stay_up_and_serve },
};

int
main (void)
{
  return CHECK_RUN ("placer_brittle", cases);
}
