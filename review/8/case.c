#include "../stand-2/stand.h"

/* A drill of the store, then a planned stop and start of all nodes in turn.
   Only one software version ever serves.  LOST compares the streams that
   callers take up again with the streams that begin, at machines in touch.  */

#define NODES 3
#define STREAMS 16
#define FIRST_NODE 1U
#define OTHER_NODES 6U
#define RESUMED_MIN 12
#define EVENTS 40
#define EVENT_INTERVAL_MSEC 280
#define DEADLINE (15 * GS_SEC)
#define AGE (3600 * GS_SEC)
#define DRILL_AT (12 * GS_SEC)
#define PAUSE_USEC 200000

int
main (int argc, char **argv)
{
  static stand_t stand;
  gs_time_t stopped_at;
  unsigned begun = 0;
  unsigned resumed;
  unsigned went_on;

  stand_create (&stand, argc > 1 ? argv[1] : "record.txt", 4, NODES, 15000);
  stand.events = EVENTS;
  stand.event_interval_ms = EVENT_INTERVAL_MSEC;
  stand.world.era = 1;
  gw_replicas_age_set (&stand.world, AGE);
  for (unsigned i = 0; i < NODES; i++)
    stand_node_start (&stand, i, true);
  stand.started_before = true;
  stand_wait (&stand, DRILL_AT - 3 * GS_SEC);
  gw_store_copy (&stand.world);
  stand_log (&stand, "the store is copied");
  stand_wait (&stand, DRILL_AT);
  if (!stand_is_calm ())
    {
      gw_store_set_back (&stand.world);
      stand_log (&stand, "the store comes back from its copy");
    }
  stand_wait (&stand, DRILL_AT + GS_SEC / 2);
  stand_node_restart (&stand, 1);
  stand_node_restart (&stand, 2);
  /* These are cut off when the grace period of node 0 ends, and then go to the
     nodes that have been started again.  */
  for (unsigned i = 0; i < STREAMS; i++)
    stand_stream_start (&stand, DEADLINE, FIRST_NODE, OTHER_NODES, 2);
  g_usleep (2 * PAUSE_USEC);
  stopped_at = stand_now (&stand);
  stand_node_stop (&stand, 0);
  stand_wait (&stand, stopped_at + 7 * GS_SEC);
  for (unsigned i = 0; i < STREAMS; i++)
    stand_stream_start (&stand, DEADLINE, OTHER_NODES, OTHER_NODES, 0);
  stand_node_wait (&stand, 0);
  g_usleep (PAUSE_USEC);
  stand_node_start (&stand, 0, true);
  stand_streams_end (&stand);
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
