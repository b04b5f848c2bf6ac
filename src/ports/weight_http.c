#include "garnetstack/weights.h"
#include "ports/http_status.h"

#include <glib.h>

typedef struct
{
  gs_loop_t *loop;
  char *url;
} weights_http_t;

typedef struct
{
  gs_weights_cb_t callback;
  void *argument;
} weights_call_t;

static void
on_done (void *context, const gs_http_result_t *result)
{
  weights_call_t *call = context;
  gs_weights_result_t out = { .status = gs_http_result_status (result) };
  json_t *root = json_loadb (result->body, result->body_length, 0, NULL);

  out.bytes = gs_json_number (root, "bytes");
  call->callback (call->argument, &out);
  json_decref (root);
  g_free (call);
}

static void
weights_fetch (void *context, const char *model, const char *version,
               gs_time_t deadline, gs_weights_cb_t callback, void *argument)
{
  weights_http_t *weights = context;
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  weights_call_t *call = g_new (weights_call_t, 1);
  char *url
      = g_strdup_printf ("%s/weights/%s/%s", weights->url, model, version);

  *call = (weights_call_t){ callback, argument };
  request.url = url;
  request.deadline = deadline;
  request.on_done = on_done;
  request.context = call;
  request.context_free = g_free;
  gs_loop_http (NULL, weights->loop, &request);
  g_free (url);
}

gs_status_t
gs_weights_http_create (gs_weights_port_t *out, gs_loop_t *loop,
                        const char *url)
{
  weights_http_t *weights = g_new0 (weights_http_t, 1);

  weights->loop = loop;
  weights->url = g_strdup (url);
  *out = (gs_weights_port_t){ weights, weights_fetch };
  return GS_OK;
}

void
gs_weights_http_destroy (gs_weights_port_t *port)
{
  weights_http_t *weights = port->context;

  if (weights == NULL)
    return;
  g_free (weights->url);
  g_free (weights);
  port->context = NULL;
}
