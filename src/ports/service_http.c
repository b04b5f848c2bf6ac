#include "garnetstack/engine.h"

#include <glib.h>
#include <string.h>

#define HEADERS_MAX 5
#define HEADER_BYTES_MAX 256

struct gs_service_transfer
{
  gs_service_cb_t callback;
  void *argument;
  gs_http_call_t *call;
};

static void
on_done (void *context, const gs_http_result_t *result)
{
  gs_service_transfer_t *transfer = context;
  gs_service_result_t out
      = { result->status, result->http_status, result->content_type,
          result->body, result->body_length };

  transfer->callback (transfer->argument, &out);
  g_free (transfer);
}

static gs_service_transfer_t *
service_call (void *context, const gs_service_call_t *call,
              gs_service_cb_t callback, void *argument)
{
  gs_loop_t *loop = context;
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  gs_service_transfer_t *transfer = g_new0 (gs_service_transfer_t, 1);
  char header_lines[HEADERS_MAX][HEADER_BYTES_MAX];
  const char *headers[HEADERS_MAX + 1] = { NULL };
  size_t count = 0;
  char *url = g_strdup_printf ("%s%s", call->url, call->path);

  transfer->callback = callback;
  transfer->argument = argument;
  g_snprintf (header_lines[0], HEADER_BYTES_MAX, "Content-Type: %s",
              call->content_type != NULL && call->content_type[0] != '\0'
                  ? call->content_type
                  : "application/json");
  g_snprintf (header_lines[1], HEADER_BYTES_MAX, "X-Request-Id: %s",
              call->request_id);
  headers[count++] = header_lines[0];
  headers[count++] = header_lines[1];
  if (call->key != NULL && call->key[0] != '\0')
    {
      g_snprintf (header_lines[2], HEADER_BYTES_MAX, "Idempotency-Key: %s",
                  call->key);
      headers[count++] = header_lines[2];
    }
  if (call->fencing != 0)
    {
      g_snprintf (header_lines[3], HEADER_BYTES_MAX, "X-Fencing: %llu",
                  (unsigned long long)call->fencing);
      headers[count++] = header_lines[3];
    }
  request.method = call->method;
  request.url = url;
  request.headers = headers;
  request.body = call->body_length > 0 ? call->body : NULL;
  request.body_length = call->body_length;
  request.deadline = call->deadline;
  request.progress_deadline = call->progress_deadline;
  request.connect_deadline = call->progress_deadline;
  /* Nothing but its place on a connection tells which call an answer belongs
     to, and a service may write an earlier one there once more.  On a kept
     connection libcurl may also send a call twice.  */
  request.new_connection = true;
  request.on_done = on_done;
  request.context = transfer;
  request.context_free = g_free;
  gs_loop_http (&transfer->call, loop, &request);
  g_free (url);
  return transfer;
}

static void
service_abandon (void *context, gs_service_transfer_t *transfer)
{
  gs_loop_http_cancel (transfer->call);
  g_free (transfer);
}

gs_status_t
gs_service_http_create (gs_service_port_t *out, gs_loop_t *loop)
{
  *out = (gs_service_port_t){ loop, service_call, service_abandon };
  return GS_OK;
}

void
gs_service_http_destroy (gs_service_port_t *port)
{
  port->context = NULL;
}
