#include "garnetstack/cloud.h"
#include "garnetstack/frame.h"
#include "ports/http_status.h"
#include "wire/vm_json.h"

#include <glib.h>

typedef struct
{
  gs_loop_t *loop;
  char *url;
} vm_list_http_t;

typedef struct
{
  gs_vm_list_cb_t callback;
  void *argument;
} vm_list_call_t;

/* Skips entries without a name and later entries of the same name.  */
static GArray *
read_list (const json_t *list)
{
  GArray *vms = g_array_new (FALSE, TRUE, sizeof (gs_vm_t));
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    const char *name = gs_json_text (item, "name");
    gs_vm_t vm;

    if (name[0] == '\0' || !g_hash_table_add (names, (gpointer)name))
      continue;
    gs_vm_from_json (&vm, item);
    g_array_append_val (vms, vm);
  }
  g_hash_table_unref (names);
  return vms;
}

static void
on_done (void *context, const gs_http_result_t *result)
{
  vm_list_call_t *call = context;
  gs_vm_list_result_t out = { .status = gs_http_result_status (result) };
  json_t *root = json_loadb (result->body, result->body_length, 0, NULL);
  const json_t *list = json_object_get (root, "vms");
  GArray *vms = read_list (list);

  if (out.status == GS_OK && !json_is_array (list))
    out.status = gs_error_set (GS_EINVAL, "response contains no VM list");
  if (out.status == GS_OK)
    {
      out.revision = gs_json_number (root, "revision");
      out.vms = (const gs_vm_t *)vms->data;
      out.count = vms->len;
    }
  call->callback (call->argument, &out);
  g_array_unref (vms);
  json_decref (root);
  g_free (call);
}

static void
vm_list_read (void *context, gs_time_t deadline, gs_vm_list_cb_t callback,
              void *argument)
{
  vm_list_http_t *list = context;
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  vm_list_call_t *call = g_new (vm_list_call_t, 1);
  char *url = g_strdup_printf ("%s/vms", list->url);

  *call = (vm_list_call_t){ callback, argument };
  request.url = url;
  request.deadline = deadline;
  request.body_bytes_max = GS_FRAME_BYTES_MAX;
  request.on_done = on_done;
  request.context = call;
  request.context_free = g_free;
  gs_loop_http (NULL, list->loop, &request);
  g_free (url);
}

gs_status_t
gs_vm_list_http_create (gs_vm_list_port_t *out, gs_loop_t *loop,
                        const char *url)
{
  vm_list_http_t *list = g_new0 (vm_list_http_t, 1);

  list->loop = loop;
  list->url = g_strdup (url);
  *out = (gs_vm_list_port_t){ list, vm_list_read };
  return GS_OK;
}

void
gs_vm_list_http_destroy (gs_vm_list_port_t *port)
{
  vm_list_http_t *list = port->context;

  if (list == NULL)
    return;
  g_free (list->url);
  g_free (list);
  port->context = NULL;
}
