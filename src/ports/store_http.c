#include "garnetstack/store.h"

#include "garnetstack/metrics.h"
#include "ports/http_status.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  gs_loop_t *loop;
  char *url;
  GHashTable *calls; /* set of store_call_t in progress, owned */
} store_http_t;

typedef struct
{
  store_http_t *store;
  gs_store_cb_t callback;
  void *argument;
} store_call_t;

static void
on_done (void *context, const gs_http_result_t *result)
{
  store_call_t *call = context;
  gs_store_result_t out = { .status = gs_http_result_status (result) };

  if (out.status == GS_EREFUSED || out.status == GS_EUNREACHABLE
      || out.status == GS_EUNKNOWN || out.status == GS_ETIMEOUT)
    gs_metric_add (GS_METRIC_STORE_FAILURES, 1);
  out.version = g_ascii_strtoull (result->version, NULL, 10);
  out.body = result->body;
  out.length = result->body_length;
  call->callback (call->argument, &out);
  g_hash_table_remove (call->store->calls, call);
}

static void
call_start (store_http_t *store, const char *method, char *url,
            const char *const *headers, const char *body, size_t length,
            gs_time_t deadline, gs_store_cb_t callback, void *argument)
{
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  store_call_t *call = g_new (store_call_t, 1);

  gs_metric_add (strcmp (method, "GET") == 0 ? GS_METRIC_STORE_READS
                                             : GS_METRIC_STORE_WRITES,
                 1);
  *call = (store_call_t){ store, callback, argument };
  g_hash_table_add (store->calls, call);
  request.method = method;
  request.url = url;
  request.headers = headers;
  request.body = body;
  request.body_length = length;
  request.deadline = deadline;
  /* libcurl sends a request again when a reused connection turns out to be
     closed.  A write that had taken effect would then conflict with itself. */
  request.new_connection = strcmp (method, "GET") != 0;
  request.on_done = on_done;
  request.context = call;
  gs_loop_http (NULL, store->loop, &request);
  g_free (url);
}

static void
store_get (void *context, const char *key, gs_time_t deadline,
           gs_store_cb_t callback, void *argument)
{
  store_http_t *store = context;

  call_start (store, "GET", g_strdup_printf ("%s/objects/%s", store->url, key),
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
  call_start (store, "PUT", g_strdup_printf ("%s/objects/%s", store->url, key),
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
  call_start (store, "DELETE",
              g_strdup_printf ("%s/objects/%s", store->url, key), headers,
              NULL, 0, deadline, callback, argument);
}

static void
store_list (void *context, const char *prefix, gs_time_t deadline,
            gs_store_cb_t callback, void *argument)
{
  store_http_t *store = context;

  call_start (store, "GET",
              g_strdup_printf ("%s/objects?prefix=%s", store->url, prefix),
              NULL, NULL, 0, deadline, callback, argument);
}

static void
store_watch (void *context, const char *prefix, uint64_t after,
             gs_time_t deadline, gs_store_cb_t callback, void *argument)
{
  store_http_t *store = context;
  /* The store answers an idle watch a second before the call's deadline.  */
  gs_time_t wait = deadline - gs_clock_now () - GS_SEC;

  call_start (store, "GET",
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
  store->calls = g_hash_table_new_full (NULL, NULL, g_free, NULL);
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
  g_hash_table_unref (store->calls);
  g_free (store->url);
  g_free (store);
  port->context = NULL;
}
