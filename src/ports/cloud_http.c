#include "garnetstack/cloud.h"
#include "ports/http_status.h"

#include <glib.h>
#include <string.h>

/* Time before a call's deadline at which the cloud answers that there are no
   notices.  */
#define WAIT_TIMEOUT_MARGIN GS_SEC

typedef struct
{
  gs_loop_t *loop;
  char *url;
} cloud_http_t;

typedef struct
{
  gs_cloud_cb_t callback;
  gs_notices_cb_t notices_callback;
  void *argument;
  uint64_t after;
} cloud_call_t;

static void
on_done (void *context, const gs_http_result_t *result)
{
  cloud_call_t *call = context;
  gs_cloud_result_t out = { .status = gs_http_result_status (result) };
  json_t *root = json_loadb (result->body, result->body_length, 0, NULL);

  /* The cloud rejects a call with HTTP status 409 or 400.  */
  if (out.status == GS_ECONFLICT || out.status == GS_EINVAL)
    out.status = GS_EREFUSED;
  out.name = gs_json_text (root, "name");
  out.reason = gs_json_text (root, "reason");
  call->callback (call->argument, &out);
  json_decref (root);
  g_free (call);
}

static GArray *
read_notices (const json_t *list)
{
  GArray *notices = g_array_new (FALSE, TRUE, sizeof (gs_notice_t));
  gs_time_t now = gs_clock_now ();
  json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    gs_notice_t notice = { .deadline = now };

    if (gs_json_text (item, "name")[0] == '\0')
      continue;
    g_strlcpy (notice.name, gs_json_text (item, "name"), sizeof notice.name);
    notice.deadline += (gs_time_t)gs_json_number (item, "left_ms") * GS_MSEC;
    g_array_append_val (notices, notice);
  }
  return notices;
}

static void
on_notices_done (void *context, const gs_http_result_t *result)
{
  cloud_call_t *call = context;
  gs_notices_t out
      = { .status = gs_http_result_status (result), .revision = call->after };
  json_t *root = json_loadb (result->body, result->body_length, 0, NULL);
  GArray *notices = read_notices (json_object_get (root, "notices"));

  if (out.status == GS_OK
      && !json_is_array (json_object_get (root, "notices")))
    out.status
        = gs_error_set (GS_EINVAL, "response contains no list of notices");
  if (out.status == GS_OK)
    {
      out.revision = gs_json_number (root, "revision");
      out.notices = (const gs_notice_t *)notices->data;
      out.count = notices->len;
    }
  call->notices_callback (call->argument, &out);
  g_array_unref (notices);
  json_decref (root);
  g_free (call);
}

static void
call_start (cloud_http_t *cloud, const char *method, char *url,
            const char *body, gs_time_t deadline, gs_http_done_cb_t done,
            cloud_call_t call)
{
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;

  request.method = method;
  request.url = url;
  request.body = body;
  request.body_length = body != NULL ? strlen (body) : 0;
  request.deadline = deadline;
  /* libcurl sends a request again when a reused connection turns out to be
     closed, but a creation must not be sent twice.  */
  request.new_connection = strcmp (method, "GET") != 0;
  request.on_done = done;
  request.context = g_memdup2 (&call, sizeof call);
  request.context_free = g_free;
  gs_loop_http (NULL, cloud->loop, &request);
  g_free (url);
}

static void
cloud_create (void *context, const gs_vm_request_t *vm, gs_time_t deadline,
              gs_cloud_cb_t callback, void *argument)
{
  cloud_http_t *cloud = context;
  json_t *root = json_pack (
      "{s:s,s:s,s:s,s:s,s:s}", "token", vm->token, "class",
      vm->reclaimable ? "reclaimable" : "on_demand", "data_centre",
      vm->data_centre, "kind", vm->kind, "target", vm->target);
  char *body = json_dumps (root, JSON_COMPACT);

  call_start (cloud, "POST", g_strdup_printf ("%s/cloud/vms", cloud->url),
              body, deadline, on_done,
              (cloud_call_t){ .callback = callback, .argument = argument });
  free (body);
  json_decref (root);
}

static void
cloud_remove (void *context, const char *name, gs_time_t deadline,
              gs_cloud_cb_t callback, void *argument)
{
  cloud_http_t *cloud = context;

  call_start (cloud, "DELETE",
              g_strdup_printf ("%s/cloud/vms/%s", cloud->url, name), NULL,
              deadline, on_done,
              (cloud_call_t){ .callback = callback, .argument = argument });
}

static void
cloud_notices (void *context, uint64_t after, gs_time_t deadline,
               gs_notices_cb_t callback, void *argument)
{
  cloud_http_t *cloud = context;
  gs_time_t wait = deadline - gs_clock_now () - WAIT_TIMEOUT_MARGIN;
  char *url = g_strdup_printf ("%s/notices?after=%llu&wait_ms=%lld",
                               cloud->url, (unsigned long long)after,
                               (long long)(MAX (wait, 0) / GS_MSEC));

  call_start (cloud, "GET", url, NULL, deadline, on_notices_done,
              (cloud_call_t){ .notices_callback = callback,
                              .argument = argument,
                              .after = after });
}

gs_status_t
gs_cloud_http_create (gs_cloud_port_t *out, gs_loop_t *loop, const char *url)
{
  cloud_http_t *cloud = g_new0 (cloud_http_t, 1);

  cloud->loop = loop;
  cloud->url = g_strdup (url);
  *out = (gs_cloud_port_t){ cloud, cloud_create, cloud_remove, cloud_notices };
  return GS_OK;
}

void
gs_cloud_http_destroy (gs_cloud_port_t *port)
{
  cloud_http_t *cloud = port->context;

  if (cloud == NULL)
    return;
  g_free (cloud->url);
  g_free (cloud);
  port->context = NULL;
}
