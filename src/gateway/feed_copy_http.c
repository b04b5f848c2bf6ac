#include "gateway/feed_copy_http.h"

#include "ports/http_status.h"

#include <glib.h>

/* A connection that takes longer to open has lost packets or an unreachable
   peer.  */
#define CONNECT_TIMEOUT (300 * GS_MSEC)

struct feed_copy_http
{
  gs_loop_t *loop;
  const char *path;
  size_t body_bytes_max;
  feed_copy_t *copy;    /* owner of the open call */
  gs_http_call_t *call; /* NULL when none is open */
  GString *body;
};

void
feed_copy_http_create (feed_copy_http_t **out, gs_loop_t *loop,
                       const char *path, size_t body_bytes_max)
{
  feed_copy_http_t *http = g_new0 (feed_copy_http_t, 1);

  http->loop = loop;
  http->path = path;
  http->body_bytes_max = body_bytes_max;
  http->body = g_string_new (NULL);
  *out = http;
}

void
feed_copy_http_destroy (feed_copy_http_t *http)
{
  if (http == NULL)
    return;
  g_string_free (http->body, TRUE);
  g_free (http);
}

static bool
on_data (void *context, const char *data, size_t length)
{
  feed_copy_http_t *http = context;

  if (http->body->len + length > http->body_bytes_max)
    return false;
  g_string_append_len (http->body, data, (gssize)length);
  feed_copy_data_receive (http->copy, gs_clock_now (), length);
  return true;
}

/* The buffer is as large as the largest object and is needed only during a
   copy.  */
static void
release_body (feed_copy_http_t *http)
{
  g_string_free (http->body, TRUE);
  http->body = g_string_new (NULL);
}

static void
on_done (void *context, const gs_http_result_t *result)
{
  feed_copy_http_t *http = context;
  feed_copy_result_t done = { .status = gs_http_result_status (result),
                              .body = http->body->str,
                              .length = http->body->len,
                              .reason = result->reason };

  http->call = NULL;
  feed_copy_finish (http->copy, gs_clock_now (), &done);
  release_body (http);
}

static void
start (void *context, gs_time_t now, feed_copy_t *copy,
       const gs_endpoint_t *peer, uint64_t after_revision)
{
  feed_copy_http_t *http = context;
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  char *url
      = g_strdup_printf ("http://%s:%u%s?above=%llu", peer->host, peer->port,
                         http->path, (unsigned long long)after_revision);

  http->copy = copy;
  request.url = url;
  request.connect_deadline = now + CONNECT_TIMEOUT;
  request.tcp_keepalive = true;
  request.accepts_gzip = true;
  request.on_data = on_data;
  request.on_done = on_done;
  request.context = http;
  gs_loop_http (&http->call, http->loop, &request);
  g_free (url);
}

static void
cancel (void *context)
{
  feed_copy_http_t *http = context;

  gs_loop_http_cancel (http->call);
  http->call = NULL;
  release_body (http);
}

feed_copy_transport_t
feed_copy_http_transport (feed_copy_http_t *http)
{
  return (feed_copy_transport_t){ http, start, cancel };
}
