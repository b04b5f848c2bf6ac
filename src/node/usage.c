#include "node/worker_private.h"

/* Sends this worker's demand to the other nodes when a report is due.  */
void
usage_tick (gs_worker_t *worker, gs_time_t now)
{
  gs_usage_row_t rows[GS_USAGE_ROWS_MAX];
  size_t count
      = gs_governor_export (worker->governor, now, rows, GS_USAGE_ROWS_MAX);
  gs_frame_t frame = { .type = GS_FRAME_USAGE };
  GByteArray *body;

  if (count == 0)
    return;
  body = g_byte_array_new ();
  gs_usage_encode (body, rows, count);
  frame.usage.shard = worker->options.shard;
  frame.usage.rows = (gs_bytes_t){ (const char *)body->data, body->len };
  gs_peer_broadcast (worker->options.peer, &frame);
  g_byte_array_unref (body);
}

/* Limits are shared between the workers of the same shard number, so reports
   of other shards are ignored.  */
void
usage_frame_receive (gs_worker_t *worker, uint64_t peer,
                     const gs_frame_t *frame)
{
  gs_usage_row_t rows[GS_USAGE_ROWS_MAX];
  size_t count;

  if (frame->usage.shard == worker->options.shard
      && gs_usage_decode (rows, GS_USAGE_ROWS_MAX, &count,
                          frame->usage.rows.data, frame->usage.rows.length)
             == GS_OK)
    gs_governor_import (worker->governor, gs_clock_now (), peer, rows, count);
}
