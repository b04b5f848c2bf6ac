#include "gateway/peers_http.h"

/* A connection that takes longer to open has lost packets or an unreachable
   peer.  */
#define CONNECT_TIMEOUT (300 * GS_MSEC)

typedef struct
{
  peers_reply_cb_t on_reply;
  void *context; /* freed by on_reply */
} http_call_t;

static void
on_done (void *context, const gs_http_result_t *result)
{
  http_call_t *call = context;
  bool received = result->status == GS_OK;
  peers_reply_t reply = { .http_status = received ? result->http_status : 0,
                          .body = result->body,
                          .length = result->body_length };

  call->on_reply (call->context, gs_clock_now (), &reply);
  g_free (call);
}

static void
call_free (void *context)
{
  http_call_t *call = context;

  g_free (call->context);
  g_free (call);
}

static void
post (void *context, gs_time_t now, const gs_endpoint_t *endpoint,
      const char *path, const GByteArray *body, peers_reply_cb_t on_reply,
      void *reply_context)
{
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  http_call_t *call = g_new (http_call_t, 1);
  char *url = g_strdup_printf ("http://%s:%u%s", endpoint->host,
                               endpoint->port, path);

  *call = (http_call_t){ on_reply, reply_context };
  request.method = "POST";
  request.url = url;
  request.body = (const char *)body->data;
  request.body_length = body->len;
  request.deadline = now + PEERS_CALL_TIMEOUT;
  request.connect_deadline = now + CONNECT_TIMEOUT;
  request.tcp_keepalive = true;
  request.on_done = on_done;
  request.context = call;
  request.context_free = call_free;
  gs_loop_http (NULL, context, &request);
  g_free (url);
}

void
peers_http_init (peers_transport_t *out, gs_loop_t *loop)
{
  *out = (peers_transport_t){ loop, post };
}
