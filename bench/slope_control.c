#include "slope_roles.h"

#include "control/config.h"
#include "control/membership.h"
#include "garnetstack/catalogue.h"
#include "garnetstack/frame.h"
#include "wire/digest.h"

#include <string.h>

static gs_slope_sample_t
publish_snapshots (uint32_t nodes, uint32_t upstreams)
{
  gs_snapshot_hub_t *hub;
  size_t before = gs_heap_bytes ();
  double start;
  gs_slope_sample_t sample = { 0 };

  gs_snapshot_hub_create (&hub);
  gs_snapshot_publish (hub, gs_slope_snapshot (nodes, upstreams));
  sample.memory = (double)(gs_heap_bytes () - before);
  start = gs_processor_usec ();
  for (unsigned i = 0; i < gs_slope_repeats; i++)
    gs_snapshot_publish (hub, gs_slope_snapshot (nodes, upstreams));
  gs_slope_sample_finish (&sample, start);
  gs_snapshot_hub_destroy (hub);
  return sample;
}

static gs_slope_sample_t
run_snapshot_nodes (uint32_t n)
{
  return publish_snapshots (n, 0);
}

static gs_slope_sample_t
run_snapshot_upstreams (uint32_t n)
{
  return publish_snapshots (0, n);
}

static gs_slope_sample_t
run_catalogue_entries (uint32_t n)
{
  char *text = gs_slope_catalogue (n);
  size_t length = strlen (text);
  size_t before = gs_heap_bytes ();
  gs_catalogue_t *catalogue;
  gs_slope_sample_t sample = { .wire = (double)length };
  double start;

  gs_catalogue_parse (&catalogue, text, length, "bench", NULL, NULL);
  sample.memory = (double)(gs_heap_bytes () - before);
  gs_catalogue_unref (catalogue);
  start = gs_processor_usec ();
  for (unsigned i = 0; i < gs_slope_repeats; i++)
    {
      gs_catalogue_parse (&catalogue, text, length, "bench", NULL, NULL);
      gs_catalogue_unref (catalogue);
    }
  gs_slope_sample_finish (&sample, start);
  g_free (text);
  return sample;
}

static gs_slope_sample_t
code_frames (const gs_frame_t *frame, uint32_t count)
{
  gs_slope_sample_t sample = { 0 };
  double start = gs_processor_usec ();

  for (unsigned repeat = 0; repeat < gs_slope_repeats; repeat++)
    {
      GByteArray *bytes = g_byte_array_new ();

      for (uint32_t i = 0; i < count; i++)
        {
          gs_frame_t out;
          gs_frame_memory_t *memory;

          g_byte_array_set_size (bytes, 0);
          gs_frame_encode (bytes, frame);
          gs_frame_decode (&out, &memory,
                           (char *)bytes->data + GS_FRAME_HEADER_BYTES,
                           bytes->len - GS_FRAME_HEADER_BYTES);
          gs_frame_memory_free (memory);
        }
      sample.wire = (double)bytes->len * count;
      g_byte_array_unref (bytes);
    }
  gs_slope_sample_finish (&sample, start);
  return sample;
}

static gs_slope_sample_t
run_heartbeats (uint32_t n)
{
  gs_frame_t frame = { .type = GS_FRAME_HEARTBEAT };

  frame.heartbeat.sequence = 1U << 20;
  frame.heartbeat.generation = 1U << 20;
  return code_frames (&frame, n);
}

static gs_slope_sample_t
run_load_digests (uint32_t n)
{
  gs_load_record_t *records = g_new0 (gs_load_record_t, n);
  gs_slope_sample_t sample = { 0 };
  double start;

  for (uint32_t i = 0; i < n; i++)
    records[i]
        = (gs_load_record_t){ UINT32_MAX - i, 24, 300, 100000, 24, 300 };
  start = gs_processor_usec ();
  for (unsigned repeat = 0; repeat < gs_slope_repeats; repeat++)
    {
      GByteArray *bytes = g_byte_array_new ();
      GArray *out = g_array_new (FALSE, FALSE, sizeof (gs_load_record_t));

      gs_loads_pack (bytes, records, n);
      gs_loads_unpack (out, (const char *)bytes->data, bytes->len);
      sample.wire = bytes->len;
      g_array_unref (out);
      g_byte_array_unref (bytes);
    }
  gs_slope_sample_finish (&sample, start);
  g_free (records);
  return sample;
}

static gs_slope_sample_t
run_vm_list (uint32_t n)
{
  gs_vm_row_t *rows = g_new0 (gs_vm_row_t, n);
  gs_membership_t members;
  size_t before;
  double start;
  gs_slope_sample_t sample = { 0 };

  for (uint32_t i = 0; i < n; i++)
    gs_slope_upstream (&rows[i].upstream, i);
  before = gs_heap_bytes ();
  gs_membership_init (&members);
  gs_membership_list_apply (&members, GS_SEC, 1, rows, n, true);
  sample.memory = (double)(gs_heap_bytes () - before);
  start = gs_processor_usec ();
  for (unsigned i = 0; i < gs_slope_repeats; i++)
    gs_membership_list_apply (&members, (i + 2) * GS_SEC, i + 2, rows, n,
                              true);
  gs_slope_sample_finish (&sample, start);
  gs_membership_clear (&members);
  g_free (rows);
  return sample;
}

const gs_slope_role_t gs_control_roles[] = {
  { "snapshot_nodes", "nodes", "publication", 24, 6, run_snapshot_nodes },
  { "snapshot_upstreams", "upstreams", "publication", 64, 6,
    run_snapshot_upstreams },
  { "catalogue_entries", "entries", "adoption", 64, 6, run_catalogue_entries },
  { "heartbeats", "peers", "round", 24, 6, run_heartbeats },
  { "load_digests", "upstreams", "digest", 64, 6, run_load_digests },
  { "vm_list", "upstreams", "list", 64, 6, run_vm_list },
  { NULL, NULL, NULL, 0, 0, NULL },
};
