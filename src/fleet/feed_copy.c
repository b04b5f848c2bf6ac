#include "fleet/feed_copy.h"

#include "garnetstack/log.h"
#include "garnetstack/meter.h"

#include <glib.h>
#include <string.h>

struct feed_copy
{
  feed_t *feed;
  feed_copy_transport_t transport;
  bool open;
  gs_endpoint_t peer; /* of the open copy */
  gs_time_t started_at;
  gs_time_t stall_deadline;
  size_t received;        /* bytes of the open copy */
  size_t received_marked; /* value of received at the last progress */
  gs_time_t due;          /* earliest start of the next copy */
  gs_endpoint_t failed_peer;
  gs_time_t failed_peer_due; /* earliest next copy from failed_peer */
};

void
feed_copy_create (feed_copy_t **out, feed_t *feed,
                  const feed_copy_transport_t *transport)
{
  feed_copy_t *copy = g_new0 (feed_copy_t, 1);

  copy->feed = feed;
  copy->transport = *transport;
  *out = copy;
}

void
feed_copy_destroy (feed_copy_t *copy)
{
  g_free (copy);
}

static bool
is_same_endpoint (const gs_endpoint_t *a, const gs_endpoint_t *b)
{
  return a->port == b->port && strcmp (a->host, b->host) == 0;
}

void
feed_copy_offer (feed_copy_t *copy, gs_time_t now, const gs_endpoint_t *peer,
                 uint64_t revision)
{
  if (copy->open || now < copy->due || revision <= feed_revision (copy->feed)
      || (now < copy->failed_peer_due
          && is_same_endpoint (peer, &copy->failed_peer)))
    return;
  copy->open = true;
  copy->peer = *peer;
  copy->started_at = now;
  copy->stall_deadline = now + FEED_COPY_STALL_TIMEOUT;
  copy->received = 0;
  copy->received_marked = 0;
  copy->due = now + FEED_COPY_INTERVAL;
  copy->transport.start (copy->transport.context, now, copy, &copy->peer,
                         feed_revision (copy->feed));
}

static void
close_copy (feed_copy_t *copy, gs_time_t now, gs_status_t status,
            const char *reason)
{
  const char *kind = feed_kind (copy->feed);
  char labels[GS_NAME_BYTES + 64];

  copy->open = false;
  if (status != GS_OK)
    {
      copy->failed_peer = copy->peer;
      copy->failed_peer_due = now + FEED_COPY_PEER_RETRY_DELAY;
    }
  g_snprintf (labels, sizeof labels, "kind=\"%s\",result=\"%s\"", kind,
              gs_status_name (status));
  gs_meter_add ("copies_total", labels, 1);
  g_snprintf (labels, sizeof labels, "kind=\"%s\"", kind);
  gs_meter_add ("copy_bytes_total", labels, (double)copy->received);
  gs_log (status == GS_OK ? GS_LOG_DEBUG : GS_LOG_WARN,
          status == GS_OK ? "copy_done" : "copy_failed",
          "kind=%s peer=%s:%u status=%s bytes=%zu ms=%lld revision=%llu"
          " reason=\"%s\"",
          kind, copy->peer.host, copy->peer.port, gs_status_name (status),
          copy->received, (long long)((now - copy->started_at) / GS_MSEC),
          (unsigned long long)feed_revision (copy->feed), reason);
}

void
feed_copy_tick (feed_copy_t *copy, gs_time_t now)
{
  if (!copy->open || now < copy->stall_deadline)
    return;
  copy->transport.cancel (copy->transport.context);
  close_copy (copy, now, GS_ETIMEOUT, "the transfer stalled");
}

void
feed_copy_data_receive (feed_copy_t *copy, gs_time_t now, size_t length)
{
  copy->received += length;
  if (copy->received - copy->received_marked < FEED_COPY_PROGRESS_BYTES_MIN)
    return;
  copy->received_marked = copy->received;
  copy->stall_deadline = now + FEED_COPY_STALL_TIMEOUT;
}

void
feed_copy_finish (feed_copy_t *copy, gs_time_t now,
                  const feed_copy_result_t *result)
{
  gs_status_t status = result->status;
  const char *reason = result->reason;

  if (status == GS_OK)
    {
      status = feed_import (copy->feed, now, result->body, result->length);
      reason = status != GS_OK ? gs_error_last () : "";
    }
  close_copy (copy, now, status, reason);
}
