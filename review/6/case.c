#include "../stand-2/stand.h"

#include <stdlib.h>

/* A drill of the store and the end of all processes while two software
   versions serve.  ORDER allows two streams that hold events of both.  */

#define NODES 3
#define ALL_NODES 7U
#define STREAMS 30
#define MIXED_MAX 2
#define EVENTS 40
#define EVENT_INTERVAL_MSEC 100
#define DEADLINE (12 * GS_SEC)
#define AGE (3600 * GS_SEC)

/* A replica of the second version registers.  */
static void
release (stand_t *stand, unsigned replica)
{
  stand->world.replicas[replica].started_ms = gs_clock_wall () / GS_MSEC;
  gw_replica_version_set (&stand->world, replica, "v2");
  stand_log (stand, "replica %u registers with version v2", replica);
}

static void
start_nodes (stand_t *stand)
{
  for (unsigned i = 0; i < NODES; i++)
    stand_node_start (stand, i, false);
}

int
main (int argc, char **argv)
{
  static stand_t stand;
  const char *first_era = getenv ("FIRST_ERA");
  bool calm = stand_is_calm ();
  unsigned mixed = 0;
  unsigned complete = 0;
  unsigned resumed = 0;

  stand_create (&stand, argc > 1 ? argv[1] : "record.txt", 4, NODES, 12000);
  stand.events = EVENTS;
  stand.event_interval_ms = EVENT_INTERVAL_MSEC;
  /* The store names its era in all answers: 0 before it first comes back from
     a copy, unless FIRST_ERA=1.  */
  stand.world.era = 1;
  stand.world.era_offset = g_strcmp0 (first_era, "1") == 0 ? 0 : 1;
  gw_replicas_age_set (&stand.world, AGE);
  gw_object_remove (&stand.world, "servers", stand.world.replicas[2].id);
  gw_object_remove (&stand.world, "servers", stand.world.replicas[3].id);
  for (unsigned i = 0; i < NODES; i++)
    stand_node_start (&stand, i, true);
  stand_wait (&stand, 22 * GS_SEC);

  gw_store_copy (&stand.world);
  stand_log (&stand, "the store is copied");
  stand_wait (&stand, 22500 * GS_MSEC);
  release (&stand, 2);
  release (&stand, 3);
  stand_wait (&stand, 24 * GS_SEC);
  for (unsigned i = 0; i < STREAMS; i++)
    stand_stream_start (&stand, DEADLINE, ALL_NODES, ALL_NODES, 3);
  stand_wait (&stand, 25 * GS_SEC);
  if (!calm)
    {
      for (unsigned i = 0; i < NODES; i++)
        stand_node_kill (&stand, i);
      gw_store_set_back (&stand.world);
      stand_log (&stand, "the store comes back from its copy");
      stand_wait (&stand, 25500 * GS_MSEC);
      stand.started_before = true;
      start_nodes (&stand);
      stand_wait (&stand, 26 * GS_SEC);
      gw_replica_publish (&stand.world, 2, "ready");
      gw_replica_publish (&stand.world, 3, "ready");
      stand_log (&stand, "replicas 2 and 3 are registered again");
    }
  stand_streams_end (&stand);
  for (unsigned i = 0; i < STREAMS; i++)
    {
      mixed += stand_stream_versions (&stand.streams[i]) > 1;
      complete += stand.streams[i].complete;
      resumed += stand.streams[i].try_count > 1;
    }
  stand_log (&stand, "streams=%u complete=%u resumed=%u of_two_versions=%u",
             STREAMS, complete, resumed, mixed);
  printf ("streams=%d complete=%u resumed=%u of_two_versions=%u\n", STREAMS,
          complete, resumed, mixed);
  stand_destroy (&stand);
  return mixed > MIXED_MAX ? 1 : 0;
}
