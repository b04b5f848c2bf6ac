#include "fakes/world.h"

#include <string.h>

#define CONNECTIONS_MAX 4096
#define BODY_BYTES_MAX ((size_t)4 << 20)

static void
on_exchange (void *context, gs_exchange_t *exchange)
{
  upstream_t *upstream = context;
  fake_world_t *world = upstream->world;
  const char *group = upstream->engine != NULL ? "engines" : "services";
  fake_call_t call = { world, exchange, FAULT_NONE, 0, 0 };

  pthread_mutex_lock (&world->lock);
  if (!faults_call_apply (&call, upstream->name, group))
    {
      if (upstream->engine != NULL)
        engine_call_handle (upstream->engine, &call);
      else
        service_call_handle (upstream->service, &call);
    }
  pthread_mutex_unlock (&world->lock);
}

static void
upstream_free (upstream_t *upstream)
{
  gs_server_destroy (upstream->server);
  if (upstream->engine != NULL)
    engine_destroy (upstream->engine);
  if (upstream->service != NULL)
    service_destroy (upstream->service);
  g_free (upstream->name);
  g_free (upstream);
}

upstream_t *
upstream_find (const fake_world_t *world, const char *name)
{
  for (guint i = 0; i < world->upstreams->len; i++)
    {
      upstream_t *upstream = world->upstreams->pdata[i];

      if (strcmp (upstream->name, name) == 0)
        return upstream;
    }
  return NULL;
}

static const char *
text_or_default (const json_t *object, const char *key, const char *fallback)
{
  const char *text = json_text (object, key);

  return text[0] != '\0' ? text : fallback;
}

static void
list_vm (upstream_t *upstream, const json_t *vm)
{
  const char *class_name = text_or_default (vm, "class", "reclaimable");
  bool reclaimable = strcmp (class_name, "reclaimable") == 0;
  json_t *entry = json_pack (
      "{s:s,s:s,s:s,s:s,s:i,s:s,s:s,s:s,s:i,s:s,s:s}", "name", upstream->name,
      "kind", json_text (vm, "kind"), "target", json_text (vm, "target"),
      "address", "127.0.0.1", "port", (int)gs_server_port (upstream->server),
      "data_centre", text_or_default (vm, "data_centre", "ne-a"), "region",
      text_or_default (vm, "region", "new-england"), "class", class_name,
      "price_micros", reclaimable ? 1000000 : 3000000, "state", "live",
      "token", json_text (vm, "token"));

  vm_list_put (upstream->world->vms, entry);
  json_decref (entry);
}

gs_status_t
upstream_start (fake_world_t *world, const char *name, const json_t *vm)
{
  gs_server_options_t options = GS_SERVER_OPTIONS_INIT;
  upstream_t *upstream = g_new0 (upstream_t, 1);
  bool engine = strcmp (json_text (vm, "kind"), "engine") == 0;

  upstream->world = world;
  upstream->name = g_strdup (name);
  options.handler = on_exchange;
  options.context = upstream;
  options.connections_max = CONNECTIONS_MAX;
  options.body_bytes_max = BODY_BYTES_MAX;
  if (engine)
    {
      upstream->engine = engine_create (upstream);
      engine_set (upstream->engine, vm);
      engine_tick (upstream->engine, gs_clock_now ());
    }
  else
    upstream->service = service_create (upstream);
  if (gs_server_create (&upstream->server, &options) != GS_OK)
    {
      upstream_free (upstream);
      return GS_EIO;
    }
  g_ptr_array_add (world->upstreams, upstream);
  list_vm (upstream, vm);
  return GS_OK;
}

void
upstream_close (fake_world_t *world, const char *name)
{
  upstream_t *upstream = upstream_find (world, name);

  if (upstream == NULL)
    return;
  g_ptr_array_remove (world->upstreams, upstream);
  g_ptr_array_add (world->closed, upstream);
}

void
upstream_free_closed (fake_world_t *world)
{
  GPtrArray *closed;

  pthread_mutex_lock (&world->lock);
  closed = world->closed;
  world->closed = g_ptr_array_new ();
  pthread_mutex_unlock (&world->lock);
  for (guint i = 0; i < closed->len; i++)
    upstream_free (closed->pdata[i]);
  g_ptr_array_unref (closed);
}
