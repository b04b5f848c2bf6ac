#include "garnetstack/store.h"

#include "garnetstack/metrics.h"
#include "ports/http_status.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  gs_loop_t *loop;
  char *url;
  GHashTable *pending; /* set of pending_t, owned */
} store_http_t;

typedef struct
{
  store_http_t *store;
  gs_store_cb_t callback;
  void *argument;
} pending_t;

static void
on_done (void *context, const gs_http_result_t *result)
{
  pending_t *pending = context;
  gs_store_result_t out = { .status = gs_http_status (result) };

  if (out.status == GS_EREFUSED || out.status == GS_EUNREACHABLE
      || out.status == GS_EUNKNOWN || out.status == GS_ETIMEOUT)
    gs_metric_add (GS_METRIC_STORE_FAILURES, 1);
  out.version = g_ascii_strtoull (result->version, NULL, 10);
  out.body = result->body;
  out.length = result->body_length;
  pending->callback (pending->argument, &out);
  g_hash_table_remove (pending->store->pending, pending);
}

static void
start (store_http_t *store, const char *method, char *url,
       const char *const *headers, const char *body, size_t length,
       gs_time_t deadline, gs_store_cb_t callback, void *argument)
{
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  pending_t *pending = g_new (pending_t, 1);

  gs_metric_add (strcmp (method, "GET") == 0 ? GS_METRIC_STORE_READS
                                             : GS_METRIC_STORE_WRITES,
                 1);
  *pending = (pending_t){ store, callback, argument };
  g_hash_table_add (store->pending, pending);
  request.method = method;
  request.url = url;
  request.headers = headers;
  request.body = body;
  request.body_length = length;
  request.deadline = deadline;
  /* libcurl resends on a pooled connection that died early; a write that
     took effect would then conflict with itself.  */
  request.new_connection = strcmp (method, "GET") != 0;
  request.on_done = on_done;
  request.context = pending;
  gs_loop_http (NULL, store->loop, &request);
  g_free (url);
}

static void
store_get (void *context, const char *key, gs_time_t deadline,
           gs_store_cb_t callback, void *argument)
{
  store_http_t *store = context;

  start (store, "GET", g_strdup_printf ("%s/objects/%s", store->url, key),
         NULL, NULL, 0, deadline, callback, argument);
}

static void
store_put (void *context, const char *key, uint64_t if_version,
           const char *body, size_t length, gs_time_t deadline,
           gs_store_cb_t callback, void *argument)
{
  store_http_t *store = context;
  char header[64];
  const char *headers[] = { header, NULL };

  g_snprintf (header, sizeof header, "If-Version: %llu",
              (unsigned long long)if_version);
  start (store, "PUT", g_strdup_printf ("%s/objects/%s", store->url, key),
         headers, body, length, deadline, callback, argument);
}

static void
store_remove (void *context, const char *key, uint64_t if_version,
              gs_time_t deadline, gs_store_cb_t callback, void *argument)
{
  store_http_t *store = context;
  char header[64];
  const char *headers[] = { header, NULL };

  g_snprintf (header, sizeof header, "If-Version: %llu",
              (unsigned long long)if_version);
  start (store, "DELETE", g_strdup_printf ("%s/objects/%s", store->url, key),
         headers, NULL, 0, deadline, callback, argument);
}

static void
store_list (void *context, const char *prefix, gs_time_t deadline,
            gs_store_cb_t callback, void *argument)
{
  store_http_t *store = context;

  start (store, "GET",
         g_strdup_printf ("%s/objects?prefix=%s", store->url, prefix), NULL,
         NULL, 0, deadline, callback, argument);
}

static void
store_watch (void *context, const char *prefix, uint64_t after,
             gs_time_t deadline, gs_store_cb_t callback, void *argument)
{
  store_http_t *store = context;
  gs_time_t wait = deadline - gs_clock_now () - GS_SEC;

  start (store, "GET",
         g_strdup_printf ("%s/watch?prefix=%s&after=%llu&wait_ms=%lld",
                          store->url, prefix, (unsigned long long)after,
                          (long long)MAX (wait / GS_MSEC, 0)),
         NULL, NULL, 0, deadline, callback, argument);
}

gs_status_t
gs_store_http_create (gs_store_port_t *out, gs_loop_t *loop, const char *url)
{
  store_http_t *store = g_new0 (store_http_t, 1);

  store->loop = loop;
  store->url = g_strdup (url);
  store->pending = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  *out = (gs_store_port_t){ store,      store_get,   store_put,
                            store_list, store_watch, store_remove };
  return GS_OK;
}

void
gs_store_http_destroy (gs_store_port_t *port)
{
  store_http_t *store = port->context;

  if (store == NULL)
    return;
  g_hash_table_unref (store->pending);
  g_free (store->url);
  g_free (store);
  port->context = NULL;
}
