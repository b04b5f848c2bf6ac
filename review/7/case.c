#include "../stand-2/stand.h"

/* Planned work only: the replicas of a service are replaced one after the
   other, by ones of the same software version, while the machines are stopped
   and started in turn.  LOST compares the streams that callers take up again
   with the streams that begin, at machines in touch.  */

#define NODES 3
#define STREAMS 16
#define FIRST_NODE 1U
#define OTHER_NODES 6U
#define RESUMED_MIN 12
#define OLD_REPLICAS 4
#define REPLICAS 8
#define EVENTS 40
#define EVENT_INTERVAL_MSEC 300
#define DEADLINE (15 * GS_SEC)
#define AGE (3600 * GS_SEC)
#define RELEASE_AT (25 * GS_SEC)
#define RELEASE_GAP GS_SEC
/* From the report that a replica drains to its end: drain_ms and a little
   longer.  */
#define DRAIN_TIME (3 * GS_SEC)
#define STEP_USEC 20000

typedef struct
{
  gs_time_t at;
  bool done;
} step_t;

typedef struct
{
  stand_t *stand;
  step_t starts[OLD_REPLICAS];
  step_t drains[OLD_REPLICAS];
  step_t ends[OLD_REPLICAS];
  bool replaced; /* false to leave the replicas as they are */
  pthread_t thread;
} release_t;

static bool
is_due (const release_t *release, step_t *step)
{
  if (step->done || stand_now (release->stand) < step->at)
    return false;
  step->done = true;
  return true;
}

/* A new replica starts, then an old one drains and ends.  */
static void *
release_run (void *context)
{
  release_t *release = context;
  gateway_world_t *world = &release->stand->world;

  while (!release->ends[OLD_REPLICAS - 1].done)
    {
      for (unsigned i = 0; i < OLD_REPLICAS; i++)
        {
          unsigned added = OLD_REPLICAS + i;

          if (is_due (release, &release->starts[i]))
            {
              world->replicas[added].started_ms = gs_clock_wall () / GS_MSEC;
              gw_replica_publish (world, added, "ready");
              stand_log (release->stand, "replica %u starts", added);
            }
          if (is_due (release, &release->drains[i]))
            {
              gw_replica_publish (world, i, "draining");
              stand_log (release->stand, "replica %u drains", i);
            }
          if (is_due (release, &release->ends[i]))
            {
              gw_object_remove (world, "servers", world->replicas[i].id);
              raw_server_crash (world->replicas[i].server);
              stand_log (release->stand, "replica %u has ended", i);
            }
        }
      g_usleep (STEP_USEC);
    }
  return NULL;
}

static void
release_start (release_t *release, stand_t *stand)
{
  *release = (release_t){ .stand = stand };
  for (unsigned i = 0; i < OLD_REPLICAS; i++)
    {
      gs_time_t at = RELEASE_AT + i * RELEASE_GAP;

      release->starts[i].at = at;
      release->drains[i].at = at + RELEASE_GAP / 2;
      release->ends[i].at = at + RELEASE_GAP / 2 + DRAIN_TIME;
    }
  pthread_create (&release->thread, NULL, release_run, release);
}

int
main (int argc, char **argv)
{
  static stand_t stand;
  release_t release;
  bool calm = stand_is_calm ();
  unsigned begun = 0;
  unsigned resumed;
  unsigned went_on;

  stand_create (&stand, argc > 1 ? argv[1] : "record.txt", REPLICAS, NODES,
                15000);
  stand.events = EVENTS;
  stand.event_interval_ms = EVENT_INTERVAL_MSEC;
  stand.world.era = 1;
  gw_replicas_age_set (&stand.world, AGE);
  for (unsigned i = OLD_REPLICAS; i < REPLICAS; i++)
    gw_object_remove (&stand.world, "servers", stand.world.replicas[i].id);
  for (unsigned i = 0; i < NODES; i++)
    stand_node_start (&stand, i, true);
  stand.started_before = true;
  if (!calm)
    release_start (&release, &stand);
  stand_wait (&stand, RELEASE_AT + GS_SEC / 2);
  stand_node_stop (&stand, 1);
  stand_wait (&stand, RELEASE_AT + 5 * GS_SEC / 2);
  stand_node_stop (&stand, 2);
  /* These are cut off when the grace period of node 0 ends, and then go to the
     nodes that have been started again.  */
  stand_wait (&stand, RELEASE_AT + 4 * GS_SEC);
  for (unsigned i = 0; i < STREAMS; i++)
    stand_stream_start (&stand, DEADLINE, FIRST_NODE, OTHER_NODES, 2);
  stand_wait (&stand, RELEASE_AT + 9 * GS_SEC / 2);
  stand_node_stop (&stand, 0);
  stand_node_wait (&stand, 1);
  stand_node_start (&stand, 1, true);
  stand_node_wait (&stand, 2);
  stand_node_start (&stand, 2, true);
  stand_wait (&stand, RELEASE_AT + 23 * GS_SEC / 2);
  for (unsigned i = 0; i < STREAMS; i++)
    stand_stream_start (&stand, DEADLINE, OTHER_NODES, OTHER_NODES, 0);
  stand_node_wait (&stand, 0);
  stand_node_start (&stand, 0, true);
  stand_streams_end (&stand);
  if (!calm)
    pthread_join (release.thread, NULL);
  resumed = stand_resumed_count (&stand, STREAMS, &went_on);
  for (unsigned i = STREAMS; i < 2 * STREAMS; i++)
    begun += stand.streams[i].tries[0].events > 0;
  stand_log (&stand, "resumed=%u went_on=%u new=%d begun=%u", resumed, went_on,
             STREAMS, begun);
  printf ("resumed=%u went_on=%u new=%d begun=%u\n", resumed, went_on, STREAMS,
          begun);
  stand_destroy (&stand);
  if (resumed < RESUMED_MIN)
    return 2;
  return 2 * went_on * STREAMS < begun * resumed ? 1 : 0;
}
