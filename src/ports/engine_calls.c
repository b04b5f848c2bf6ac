#include "ports/engine_calls.h"
#include "ports/http_status.h"

#include <glib.h>
#include <string.h>

#define KV_BYTES_MAX ((size_t)256 << 20)

/* Context of a call.  Exactly one of the callbacks is set.  */
typedef struct
{
  gs_engine_cb_t on_result;
  gs_engine_report_cb_t on_report;
  gs_block_events_cb_t on_events;
  void *argument;
  uint64_t after;
  size_t response_bytes_max; /* 0 for the loop's default */
  bool is_poll; /* repeated soon, so that a wrong response does little harm */
} engine_call_t;

static void
call_start (gs_loop_t *loop, const char *method, char *url, const char *body,
            size_t length, gs_time_t deadline, gs_http_done_cb_t done,
            engine_call_t call)
{
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;

  request.method = method;
  request.url = url;
  request.body = body;
  request.body_length = length;
  request.deadline = deadline;
  /* libcurl sends a request again when a reused connection turns out to be
     closed, which must not happen to calls with an effect.  Nothing but its
     place on a connection tells which call a response belongs to, and an
     engine may write an earlier one there once more.  */
  request.new_connection = !call.is_poll;
  request.body_bytes_max = call.response_bytes_max;
  request.on_done = done;
  request.context = g_memdup2 (&call, sizeof call);
  request.context_free = g_free;
  gs_loop_http (NULL, loop, &request);
  g_free (url);
}

static void
on_result_done (void *context, const gs_http_result_t *result)
{
  engine_call_t *call = context;
  gs_engine_result_t out
      = { gs_http_result_status (result), result->body, result->body_length };

  call->on_result (call->argument, &out);
  g_free (call);
}

/* @return the names in a list, NULL-terminated; the strings are owned by the
   list.  */
static GPtrArray *
read_names (const json_t *list)
{
  GPtrArray *names = g_ptr_array_new ();
  json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    if (json_is_string (item))
      g_ptr_array_add (names, (gpointer)json_string_value (item));
  }
  g_ptr_array_add (names, NULL);
  return names;
}

static uint32_t
member_uint32 (const json_t *root, const char *key)
{
  return (uint32_t)MIN (gs_json_number (root, key), (uint64_t)UINT32_MAX);
}

static void
on_report_done (void *context, const gs_http_result_t *result)
{
  engine_call_t *call = context;
  gs_engine_report_t out = { .status = gs_http_result_status (result) };
  json_t *root = json_loadb (result->body, result->body_length, 0, NULL);
  GPtrArray *adapters = read_names (json_object_get (root, "adapters"));

  if (out.status == GS_OK && !json_is_object (root))
    out.status = gs_error_set (GS_EINVAL, "load report is not a JSON object");
  out.running = member_uint32 (root, "running");
  out.queued = member_uint32 (root, "queued");
  out.queued_tokens = member_uint32 (root, "queued_tokens");
  out.kv_blocks_free = member_uint32 (root, "kv_blocks_free");
  out.batch_max = member_uint32 (root, "batch_max");
  out.adapters = (const char *const *)adapters->pdata;
  out.fencing = gs_json_number (root, "fencing");
  out.sequence = gs_json_number (root, "sequence");
  g_strlcpy (out.model, gs_json_text (root, "model"), sizeof out.model);
  g_strlcpy (out.version, gs_json_text (root, "version"), sizeof out.version);
  g_strlcpy (out.role, gs_json_text (root, "role"), sizeof out.role);
  call->on_report (call->argument, &out);
  g_ptr_array_unref (adapters);
  json_decref (root);
  g_free (call);
}

static GArray *
read_events (const json_t *list)
{
  GArray *events = g_array_new (FALSE, TRUE, sizeof (gs_block_event_t));
  json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    gs_block_event_t event
        = { strcmp (gs_json_text (item, "op"), "add") == 0,
            g_ascii_strtoull (gs_json_text (item, "block"), NULL, 16) };

    g_array_append_val (events, event);
  }
  return events;
}

static void
on_events_done (void *context, const gs_http_result_t *result)
{
  engine_call_t *call = context;
  gs_block_events_t out
      = { .status = gs_http_result_status (result), .revision = call->after };
  json_t *root = json_loadb (result->body, result->body_length, 0, NULL);
  GArray *events = read_events (json_object_get (root, "events"));

  if (out.status == GS_OK && !json_is_object (root))
    out.status
        = gs_error_set (GS_EINVAL, "cache events are not a JSON object");
  if (out.status == GS_OK)
    {
      out.revision = gs_json_number (root, "revision");
      out.first = gs_json_number (root, "first");
      out.gap = out.first > call->after + 1;
      out.events = (const gs_block_event_t *)events->data;
      out.count = events->len;
    }
  call->on_events (call->argument, &out);
  g_array_unref (events);
  json_decref (root);
  g_free (call);
}

void
gs_engine_http_cancel (void *context, const char *url, const char *stream_id,
                       uint32_t attempt, gs_time_t deadline,
                       gs_engine_cb_t callback, void *argument)
{
  json_t *root = json_pack ("{s:s,s:I}", "request_id", stream_id, "attempt",
                            (json_int_t)attempt);
  char *body = json_dumps (root, JSON_COMPACT);

  call_start (context, "POST", g_strdup_printf ("%s/cancel", url), body,
              strlen (body), deadline, on_result_done,
              (engine_call_t){ .on_result = callback, .argument = argument });
  free (body);
  json_decref (root);
}

void
gs_engine_http_load (void *context, const char *url, gs_time_t deadline,
                     gs_engine_report_cb_t callback, void *argument)
{
  call_start (context, "GET", g_strdup_printf ("%s/load", url), NULL, 0,
              deadline, on_report_done,
              (engine_call_t){ .on_report = callback,
                               .argument = argument,
                               .is_poll = true });
}

void
gs_engine_http_cache_events (void *context, const char *url, uint64_t after,
                             gs_time_t deadline, gs_block_events_cb_t callback,
                             void *argument)
{
  char *full = g_strdup_printf ("%s/cache_events?after=%llu", url,
                                (unsigned long long)after);

  call_start (context, "GET", full, NULL, 0, deadline, on_events_done,
              (engine_call_t){ .on_events = callback,
                               .argument = argument,
                               .after = after,
                               .is_poll = true });
}

void
gs_engine_http_kv_get (void *context, const char *url, const char *stream_id,
                       gs_time_t deadline, gs_engine_cb_t callback,
                       void *argument)
{
  call_start (context, "GET", g_strdup_printf ("%s/kv/%s", url, stream_id),
              NULL, 0, deadline, on_result_done,
              (engine_call_t){ .on_result = callback,
                               .argument = argument,
                               .response_bytes_max = KV_BYTES_MAX });
}

void
gs_engine_http_kv_put (void *context, const char *url, const char *stream_id,
                       const char *body, size_t length, gs_time_t deadline,
                       gs_engine_cb_t callback, void *argument)
{
  call_start (context, "PUT", g_strdup_printf ("%s/kv/%s", url, stream_id),
              body, length, deadline, on_result_done,
              (engine_call_t){ .on_result = callback, .argument = argument });
}

void
gs_engine_http_order (void *context, const char *url,
                      const gs_engine_order_t *order, gs_time_t deadline,
                      gs_engine_cb_t callback, void *argument)
{
  json_t *adapters = json_array ();
  json_t *root;
  char *body;

  for (size_t i = 0; order->adapters != NULL && order->adapters[i] != NULL;
       i++)
    json_array_append_new (adapters, json_string (order->adapters[i]));
  root = json_pack ("{s:I,s:s,s:s,s:o,s:s}", "fencing",
                    (json_int_t)order->fencing, "model", order->model,
                    "version", order->version, "adapters", adapters, "role",
                    order->role);
  body = json_dumps (root, JSON_COMPACT);
  call_start (context, "POST", g_strdup_printf ("%s/orders", url), body,
              strlen (body), deadline, on_result_done,
              (engine_call_t){ .on_result = callback, .argument = argument });
  free (body);
  json_decref (root);
}
