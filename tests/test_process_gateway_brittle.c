#include "check.h"
#include "gateway_steps.h"

#include <signal.h>
#include <string.h>

/* Guards against brittle replicas that fall over, as they have to reject more
   requests than they bear, while callers ask for more than fits and nodes or
   replicas come and go.  */

#define GATEWAYS WORLD_GATEWAYS_DEFAULT
#define PLAY_TIME (12 * GS_SEC)
#define REQUESTS_MAX 3200
/* A stream takes about 360 ms, so eight replicas run 177 streams a second with
   all their room; this is 1.4 times that.  */
#define REQUEST_INTERVAL_USEC 4000
#define STREAM_TIME (360 * GS_MSEC)
/* Brittle replicas let fewer requests wait from then on.  */
#define ROOM_SHRINKS_AT (1500 * GS_MSEC)
#define EVENTS_MAX 8

typedef enum
{
  EVENT_NONE,
  EVENT_KILL_NODE,
  EVENT_START_NODE,
  EVENT_KILL_ALL,
  EVENT_START_ALL,
  EVENT_CRASH_REPLICA
} event_kind_t;

typedef struct
{
  gs_time_t at;
  event_kind_t kind;
  unsigned which;
} play_event_t;

typedef struct
{
  unsigned replicas;
  unsigned rejections_max;
  unsigned room; /* from ROOM_SHRINKS_AT on */
  play_event_t events[EVENTS_MAX];
} play_t;

typedef struct
{
  unsigned sent;
  unsigned answered;
  unsigned falls;
} play_result_t;

static void
event_run (const play_event_t *event)
{
  for (unsigned i = 0; i < GATEWAYS; i++)
    {
      if (event->kind == EVENT_KILL_ALL
          || (event->kind == EVENT_KILL_NODE && event->which == i))
        gw_signal (&world, i, SIGKILL);
      if (event->kind == EVENT_START_ALL
          || (event->kind == EVENT_START_NODE && event->which == i))
        gw_start (&world, i, false);
    }
  if (event->kind == EVENT_CRASH_REPLICA)
    gw_replica_crash (&world, event->which);
}

static void
run_due_events (const play_t *play, gs_time_t start, unsigned *next)
{
  while (*next < EVENTS_MAX && play->events[*next].kind != EVENT_NONE
         && gs_clock_now () >= start + play->events[*next].at)
    event_run (&play->events[(*next)++]);
}

static play_result_t
play_run (const play_t *play)
{
  static raw_conn_t conns[REQUESTS_MAX];
  play_result_t result = { 0, 0, 0 };
  unsigned next = 0;
  gs_time_t start;

  start_gateway (play->replicas);
  for (unsigned i = 1; i < GATEWAYS; i++)
    gw_start (&world, i, true);
  gw_brittle_bounds_set (&world, play->rejections_max, WORLD_SLOTS);
  gw_brittle_set (&world, true);
  start = gs_clock_now ();
  for (unsigned i = 0;
       gs_clock_now () < start + PLAY_TIME && result.sent < REQUESTS_MAX; i++)
    {
      char *id = g_strdup_printf ("brittle-%u", i);

      if (gs_clock_now () >= start + ROOM_SHRINKS_AT)
        gw_brittle_bounds_set (&world, play->rejections_max, play->room);
      run_due_events (play, start, &next);
      if (gw_connect (&conns[result.sent], &world, i % GATEWAYS))
        gw_send (&conns[result.sent++], "POST", "/a/stream/once/good", id,
                 "Connection: close\r\n", "x");
      g_free (id);
      gw_replicas_restart (&world);
      g_usleep (REQUEST_INTERVAL_USEC);
    }
  for (unsigned i = 0; i < result.sent; i++)
    {
      GString *answer = raw_read_until (&conns[i], 4 * GS_SEC, NULL);

      result.answered += is_complete_stream (answer->str, 6);
      raw_close (&conns[i]);
      g_string_free (answer, TRUE);
    }
  result.falls = gw_falls_count (&world);
  end_world ();
  return result;
}

/* 2 and a tenth of the replicas may fall over.  Half of what the replicas have
   room for is answered at least.  */
static void
play_check (const play_t *play)
{
  play_result_t result = play_run (play);
  unsigned capacity
      = (unsigned)(play->replicas * play->room * PLAY_TIME / STREAM_TIME);

  printf ("\n  %u replicas fell over, %u allowed; %u of %u answered, room for"
          " %u ",
          result.falls, 2 + play->replicas / 10, result.answered, result.sent,
          capacity);
  CU_ASSERT (result.falls <= 2 + play->replicas / 10);
  CU_ASSERT (result.answered >= MIN (capacity, result.sent) / 2);
}

static void
brittle_replicas_with_less_room_do_not_fall_over (void)
{
  static const play_t play
      = { .replicas = 8, .rejections_max = 8, .room = WORLD_SLOTS / 2 };

  play_check (&play);
}

static void
brittle_replicas_that_come_back_do_not_fall_over_again (void)
{
  static const play_t play = { .replicas = 8,
                               .rejections_max = 8,
                               .room = WORLD_SLOTS / 2,
                               .events = {
                                   { 3 * GS_SEC, EVENT_CRASH_REPLICA, 1 },
                                   { 4 * GS_SEC, EVENT_CRASH_REPLICA, 4 },
                                   { 6 * GS_SEC, EVENT_CRASH_REPLICA, 6 },
                               } };

  play_check (&play);
}

static void
brittle_replicas_bear_nodes_that_are_killed_and_come_back (void)
{
  static const play_t play = { .replicas = 8,
                               .rejections_max = 8,
                               .room = WORLD_SLOTS / 2,
                               .events = {
                                   { 3 * GS_SEC, EVENT_KILL_NODE, 2 },
                                   { 4 * GS_SEC, EVENT_START_NODE, 2 },
                                   { 5 * GS_SEC, EVENT_CRASH_REPLICA, 3 },
                                   { 6 * GS_SEC, EVENT_KILL_NODE, 4 },
                                   { 7 * GS_SEC, EVENT_START_NODE, 4 },
                               } };

  play_check (&play);
}

static void
brittle_replicas_bear_that_all_nodes_are_killed_and_come_back (void)
{
  static const play_t play = { .replicas = 8,
                               .rejections_max = 8,
                               .room = WORLD_SLOTS / 2,
                               .events = {
                                   { 4 * GS_SEC, EVENT_KILL_ALL, 0 },
                                   { 9 * GS_SEC / 2, EVENT_START_ALL, 0 },
                                   { 6 * GS_SEC, EVENT_CRASH_REPLICA, 3 },
                                   /* The replicas still run what the nodes
                                      have sent before.  */
                                   { 8 * GS_SEC, EVENT_KILL_ALL, 0 },
                                   { 8 * GS_SEC, EVENT_START_ALL, 0 },
                               } };

  play_check (&play);
}

static void
brittle_replicas_that_bear_few_rejections_do_not_fall_over (void)
{
  static const play_t play = { .replicas = 8,
                               .rejections_max = 3,
                               .room = WORLD_SLOTS / 2,
                               .events = {
                                   { 4 * GS_SEC, EVENT_CRASH_REPLICA, 1 },
                               } };

  play_check (&play);
}

static void
few_brittle_replicas_before_many_nodes_do_not_fall_over (void)
{
  static const play_t play = { .replicas = 2,
                               .rejections_max = 8,
                               .room = WORLD_SLOTS / 2,
                               .events = {
                                   { 4 * GS_SEC, EVENT_CRASH_REPLICA, 1 },
                                   { 7 * GS_SEC, EVENT_CRASH_REPLICA, 0 },
                               } };

  play_check (&play);
}

static const check_case_t cases[] = {
  { "brittle replicas bear nodes that are killed and come back",
    brittle_replicas_bear_nodes_that_are_killed_and_come_back },
  { "brittle replicas bear that all nodes are killed and come back",
    brittle_replicas_bear_that_all_nodes_are_killed_and_come_back },
  { "brittle replicas that bear few rejections do not fall over",
    brittle_replicas_that_bear_few_rejections_do_not_fall_over },
  { "brittle replicas that come back do not fall over again",
    brittle_replicas_that_come_back_do_not_fall_over_again },
  { "brittle replicas with less room do not fall over",
    brittle_replicas_with_less_room_do_not_fall_over },
  { "few brittle replicas before many nodes do not fall over",
    few_brittle_replicas_before_many_nodes_do_not_fall_over },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_brittle", cases);
}
