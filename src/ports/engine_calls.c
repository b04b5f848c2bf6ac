#include "ports/engine_calls.h"
#include "ports/http_status.h"

#include <glib.h>
#include <string.h>

#define KV_BYTES_MAX ((size_t)256 << 20)

/* One of the callbacks is set.  */
typedef struct
{
  gs_engine_cb_t plain;
  gs_engine_report_cb_t load;
  gs_block_events_cb_t events;
  void *argument;
  uint64_t after;
  size_t answer_bytes_max; /* 0 for the loop's bound */
} pending_t;

static void
start (gs_loop_t *loop, const char *method, char *url, const char *body,
       size_t length, gs_time_t deadline, gs_http_done_cb_t done,
       pending_t pending)
{
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;

  request.method = method;
  request.url = url;
  request.body = body;
  request.body_length = length;
  request.deadline = deadline;
  /* libcurl resends on a kept connection that died early.  */
  request.new_connection = strcmp (method, "GET") != 0;
  request.body_bytes_max = pending.answer_bytes_max;
  request.on_done = done;
  request.context = g_memdup2 (&pending, sizeof pending);
  request.context_free = g_free;
  gs_loop_http (NULL, loop, &request);
  g_free (url);
}

static void
on_plain (void *context, const gs_http_result_t *result)
{
  pending_t *pending = context;
  gs_engine_result_t out
      = { gs_http_status (result), result->body, result->body_length };

  pending->plain (pending->argument, &out);
  g_free (pending);
}

/* @return the names of a list, NULL-ended; they belong to the list.  */
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
count_of (const json_t *root, const char *key)
{
  return (uint32_t)MIN (gs_json_number (root, key), (uint64_t)UINT32_MAX);
}

static void
on_load (void *context, const gs_http_result_t *result)
{
  pending_t *pending = context;
  gs_engine_report_t out = { .status = gs_http_status (result) };
  json_t *root = json_loadb (result->body, result->body_length, 0, NULL);
  GPtrArray *adapters = read_names (json_object_get (root, "adapters"));

  if (out.status == GS_OK && !json_is_object (root))
    out.status = gs_error_set (GS_EINVAL, "the load is not JSON");
  out.running = count_of (root, "running");
  out.queued = count_of (root, "queued");
  out.queued_tokens = count_of (root, "queued_tokens");
  out.kv_blocks_free = count_of (root, "kv_blocks_free");
  out.batch_max = count_of (root, "batch_max");
  out.adapters = (const char *const *)adapters->pdata;
  out.fencing = gs_json_number (root, "fencing");
  out.sequence = gs_json_number (root, "sequence");
  g_strlcpy (out.model, gs_json_text (root, "model"), sizeof out.model);
  g_strlcpy (out.version, gs_json_text (root, "version"), sizeof out.version);
  g_strlcpy (out.role, gs_json_text (root, "role"), sizeof out.role);
  pending->load (pending->argument, &out);
  g_ptr_array_unref (adapters);
  json_decref (root);
  g_free (pending);
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
on_events (void *context, const gs_http_result_t *result)
{
  pending_t *pending = context;
  gs_block_events_t out
      = { .status = gs_http_status (result), .revision = pending->after };
  json_t *root = json_loadb (result->body, result->body_length, 0, NULL);
  GArray *events = read_events (json_object_get (root, "events"));

  if (out.status == GS_OK && !json_is_object (root))
    out.status = gs_error_set (GS_EINVAL, "the cache events are not JSON");
  if (out.status == GS_OK)
    {
      out.revision = gs_json_number (root, "revision");
      out.first = gs_json_number (root, "first");
      out.gap = out.first > pending->after + 1;
      out.events = (const gs_block_event_t *)events->data;
      out.count = events->len;
    }
  pending->events (pending->argument, &out);
  g_array_unref (events);
  json_decref (root);
  g_free (pending);
}

void
gs_engine_http_cancel (void *context, const char *url, const char *request_id,
                       uint32_t attempt, gs_time_t deadline,
                       gs_engine_cb_t callback, void *argument)
{
  json_t *root = json_pack ("{s:s,s:I}", "request_id", request_id, "attempt",
                            (json_int_t)attempt);
  char *body = json_dumps (root, JSON_COMPACT);

  start (context, "POST", g_strdup_printf ("%s/cancel", url), body,
         strlen (body), deadline, on_plain,
         (pending_t){ .plain = callback, .argument = argument });
  free (body);
  json_decref (root);
}

void
gs_engine_http_load (void *context, const char *url, gs_time_t deadline,
                     gs_engine_report_cb_t callback, void *argument)
{
  start (context, "GET", g_strdup_printf ("%s/load", url), NULL, 0, deadline,
         on_load, (pending_t){ .load = callback, .argument = argument });
}

void
gs_engine_http_cache_events (void *context, const char *url, uint64_t after,
                             gs_time_t deadline, gs_block_events_cb_t callback,
                             void *argument)
{
  char *full = g_strdup_printf ("%s/cache_events?after=%llu", url,
                                (unsigned long long)after);

  start (
      context, "GET", full, NULL, 0, deadline, on_events,
      (pending_t){ .events = callback, .argument = argument, .after = after });
}

void
gs_engine_http_kv_get (void *context, const char *url, const char *request_id,
                       gs_time_t deadline, gs_engine_cb_t callback,
                       void *argument)
{
  start (context, "GET", g_strdup_printf ("%s/kv/%s", url, request_id), NULL,
         0, deadline, on_plain,
         (pending_t){ .plain = callback,
                      .argument = argument,
                      .answer_bytes_max = KV_BYTES_MAX });
}

void
gs_engine_http_kv_put (void *context, const char *url, const char *request_id,
                       const char *body, size_t length, gs_time_t deadline,
                       gs_engine_cb_t callback, void *argument)
{
  start (context, "PUT", g_strdup_printf ("%s/kv/%s", url, request_id), body,
         length, deadline, on_plain,
         (pending_t){ .plain = callback, .argument = argument });
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
  start (context, "POST", g_strdup_printf ("%s/orders", url), body,
         strlen (body), deadline, on_plain,
         (pending_t){ .plain = callback, .argument = argument });
  free (body);
  json_decref (root);
}
