#include "check.h"

#include "garnetstack/snapshot.h"

#include <pthread.h>
#include <stdatomic.h>

#define PUBLICATION_COUNT 20000

static atomic_bool stop;

/* Counts snapshots that are out of order or were read while partly written:
   the writer gives both nodes of a snapshot the same generation.  */
static void *
read_snapshots (void *context)
{
  gs_snapshot_reader_t *reader = gs_snapshot_reader_create (context);
  uint64_t last = 0;
  size_t faults = 0;

  while (!atomic_load (&stop))
    {
      const gs_snapshot_t *snapshot = gs_snapshot_begin (reader);

      if (snapshot->sequence < last)
        faults++;
      last = snapshot->sequence;
      if (snapshot->node_count == 2
          && snapshot->nodes[0].generation != snapshot->nodes[1].generation)
        faults++;
      gs_snapshot_end (reader);
    }
  gs_snapshot_reader_release (reader);
  return (void *)faults;
}

static void
readers_see_whole_snapshots_in_order (void)
{
  gs_snapshot_hub_t *hub;
  pthread_t threads[4];
  void *faults;

  gs_snapshot_hub_create (&hub);
  for (int i = 0; i < 4; i++)
    pthread_create (&threads[i], NULL, read_snapshots, hub);
  for (uint64_t i = 0; i < PUBLICATION_COUNT; i++)
    {
      gs_snapshot_t *snapshot = gs_snapshot_new (2, 0);

      snapshot->nodes[0].generation = i;
      snapshot->nodes[1].generation = i;
      gs_snapshot_publish (hub, snapshot);
    }
  atomic_store (&stop, true);
  for (int i = 0; i < 4; i++)
    {
      pthread_join (threads[i], &faults);
      CU_ASSERT_PTR_NULL (faults);
    }
  gs_snapshot_hub_destroy (hub);
}

int
main (void)
{
  static const check_case_t cases[]
      = { { "readers_see_whole_snapshots_in_order",
            readers_see_whole_snapshots_in_order } };

  return CHECK_RUN ("snapshot", cases);
}
