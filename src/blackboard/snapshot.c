#include "garnetstack/snapshot.h"

#include "util/tsan.h"

#include <ck_epoch.h>
#include <ck_pr.h>
#include <glib.h>
#include <pthread.h>

typedef struct
{
  gs_snapshot_t snapshot; /* first member, so that the pointers convert */
  ck_epoch_entry_t epoch_entry;
  gs_snapshot_hub_t *hub; /* set when the snapshot is replaced */
} hub_snapshot_t;

struct gs_snapshot_hub
{
  ck_epoch_record_t writer_record;
  ck_epoch_t epoch;
  hub_snapshot_t *current;
  pthread_mutex_t readers_mutex; /* protects readers */
  GPtrArray *readers; /* all records; ck keeps links to released ones */
};

struct gs_snapshot_reader
{
  ck_epoch_record_t record; /* first member: ck_epoch_recycle returns it */
  gs_snapshot_hub_t *hub;
};

gs_snapshot_t *
gs_snapshot_new (size_t nodes, size_t upstreams)
{
  hub_snapshot_t *hub_snapshot = g_new0 (hub_snapshot_t, 1);

  hub_snapshot->snapshot.node_count = nodes;
  hub_snapshot->snapshot.nodes = g_new0 (gs_node_info_t, nodes);
  hub_snapshot->snapshot.upstream_count = upstreams;
  hub_snapshot->snapshot.upstreams = g_new0 (gs_upstream_info_t, upstreams);
  return &hub_snapshot->snapshot;
}

void
gs_snapshot_free (gs_snapshot_t *snapshot)
{
  if (snapshot == NULL)
    return;
  gs_catalogue_unref (snapshot->catalogue);
  g_free (snapshot->nodes);
  g_free (snapshot->upstreams);
  g_free (snapshot->cache_events);
  g_free (snapshot->leases);
  g_free (snapshot->placements);
  g_free (snapshot);
}

static void
snapshot_reclaim (ck_epoch_entry_t *epoch_entry)
{
  hub_snapshot_t *hub_snapshot
      = (hub_snapshot_t *)((char *)epoch_entry
                           - G_STRUCT_OFFSET (hub_snapshot_t, epoch_entry));

  /* Pairs with the release in gs_snapshot_end: ck runs this callback only
     after all readers have left their sections.  */
  GS_TSAN_ACQUIRE (&hub_snapshot->hub->epoch);
  gs_snapshot_free (&hub_snapshot->snapshot);
}

gs_status_t
gs_snapshot_hub_create (gs_snapshot_hub_t **out)
{
  gs_snapshot_hub_t *hub = g_new0 (gs_snapshot_hub_t, 1);

  ck_epoch_init (&hub->epoch);
  ck_epoch_register (&hub->epoch, &hub->writer_record, NULL);
  hub->current = (hub_snapshot_t *)gs_snapshot_new (0, 0);
  pthread_mutex_init (&hub->readers_mutex, NULL);
  hub->readers = g_ptr_array_new_with_free_func (g_free);
  *out = hub;
  return GS_OK;
}

void
gs_snapshot_hub_destroy (gs_snapshot_hub_t *hub)
{
  if (hub == NULL)
    return;
  ck_epoch_barrier (&hub->writer_record);
  gs_snapshot_free (&hub->current->snapshot);
  g_ptr_array_unref (hub->readers);
  pthread_mutex_destroy (&hub->readers_mutex);
  g_free (hub);
}

void
gs_snapshot_publish (gs_snapshot_hub_t *hub, gs_snapshot_t *snapshot)
{
  hub_snapshot_t *old = hub->current;

  snapshot->sequence = old->snapshot.sequence + 1;
  GS_TSAN_RELEASE (&hub->current);
  ck_pr_fence_store ();
  ck_pr_store_ptr (&hub->current, (hub_snapshot_t *)snapshot);
  old->hub = hub;
  ck_epoch_call (&hub->writer_record, &old->epoch_entry, snapshot_reclaim);
  ck_epoch_poll (&hub->writer_record);
}

gs_snapshot_reader_t *
gs_snapshot_reader_create (gs_snapshot_hub_t *hub)
{
  ck_epoch_record_t *record = ck_epoch_recycle (&hub->epoch, NULL);
  gs_snapshot_reader_t *reader;

  if (record != NULL)
    {
      reader = (gs_snapshot_reader_t *)record;
      reader->hub = hub;
      return reader;
    }
  reader = g_new0 (gs_snapshot_reader_t, 1);
  reader->hub = hub;
  ck_epoch_register (&hub->epoch, &reader->record, NULL);
  pthread_mutex_lock (&hub->readers_mutex);
  g_ptr_array_add (hub->readers, reader);
  pthread_mutex_unlock (&hub->readers_mutex);
  return reader;
}

void
gs_snapshot_reader_release (gs_snapshot_reader_t *reader)
{
  ck_epoch_unregister (&reader->record);
}

const gs_snapshot_t *
gs_snapshot_begin (gs_snapshot_reader_t *reader)
{
  hub_snapshot_t *hub_snapshot;

  ck_epoch_begin (&reader->record, NULL);
  hub_snapshot = ck_pr_load_ptr (&reader->hub->current);
  GS_TSAN_ACQUIRE (&reader->hub->current);
  return &hub_snapshot->snapshot;
}

void
gs_snapshot_end (gs_snapshot_reader_t *reader)
{
  GS_TSAN_RELEASE (&reader->hub->epoch);
  ck_epoch_end (&reader->record, NULL);
}
