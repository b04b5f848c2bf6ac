#include "slope_roles.h"

#include <glib.h>
#include <malloc.h>
#include <time.h>
#include <valgrind/callgrind.h>

#define DATA_CENTRES 9
#define PRICE_MICROS 1000000

unsigned gs_slope_repeats = 64;

size_t
gs_heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

double
gs_processor_usec (void)
{
  struct timespec now;

  CALLGRIND_TOGGLE_COLLECT;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

void
gs_slope_upstream (gs_upstream_info_t *upstream, uint32_t index)
{
  g_snprintf (upstream->name, sizeof upstream->name, "engine-%u", index);
  g_strlcpy (upstream->address, "127.0.0.1", sizeof upstream->address);
  g_strlcpy (upstream->target, GS_SLOPE_TARGET, sizeof upstream->target);
  g_snprintf (upstream->data_centre, sizeof upstream->data_centre, "dc-%u",
              index % DATA_CENTRES);
  upstream->port = (uint16_t)(1024 + index);
  upstream->kind = GS_UPSTREAM_ENGINE;
  upstream->price_micros = PRICE_MICROS;
  upstream->running = index % 7;
}

void
gs_slope_sample_finish (gs_slope_sample_t *sample, double start)
{
  sample->usec = (gs_processor_usec () - start) / gs_slope_repeats;
  sample->operations = gs_slope_repeats;
}

gs_snapshot_t *
gs_slope_snapshot (uint32_t nodes, uint32_t upstreams)
{
  gs_snapshot_t *snapshot = gs_snapshot_new (nodes, upstreams);

  for (uint32_t i = 0; i < nodes; i++)
    {
      g_snprintf (snapshot->nodes[i].name, GS_NAME_BYTES, "node-%u", i);
      snapshot->nodes[i].incarnation = i + 1;
      snapshot->nodes[i].connected = true;
    }
  for (uint32_t i = 0; i < upstreams; i++)
    gs_slope_upstream (&snapshot->upstreams[i], i);
  return snapshot;
}

char *
gs_slope_catalogue (uint32_t accounts)
{
  GString *text = g_string_new (
      "[class counter]\nowner=curdwright\npurpose=a clerk waits\n");

  for (uint32_t i = 0; i < accounts; i++)
    {
      char name[32];
      char *digest;

      g_snprintf (name, sizeof name, "shop-%u", i);
      digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, name, -1);
      g_string_append_printf (
          text,
          "[account %s]\nowner=curdwright\npurpose=a shop\nclass=counter\n"
          "keys=%s\nrequests_per_sec=100\n",
          name, digest);
      g_free (digest);
    }
  return g_string_free (text, FALSE);
}
