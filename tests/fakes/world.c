#include "fakes/world.h"

#include <stdio.h>
#include <string.h>

#define TICK_INTERVAL (2 * GS_MSEC)
#define CONNECTIONS_MAX 4096
#define BODY_BYTES_MAX ((size_t)2 << 20)
#define DATA_CENTRE_COUNT 4

static void
dispatch (fake_call_t *call, const char *path)
{
  fake_world_t *world = call->world;
  bool store
      = g_str_has_prefix (path, "/objects") || strcmp (path, "/watch") == 0;

  if (g_str_has_prefix (path, "/control/"))
    control_call_handle (call, path);
  else if (store && !faults_call_apply (call, "store", "platform"))
    store_call_handle (world->store, call, path);
  else if (strcmp (path, "/vms") == 0
           && !faults_call_apply (call, "vms", "platform"))
    vm_list_call_handle (world->vms, call);
  else if (strcmp (path, "/notices") == 0
           && !faults_call_apply (call, "notices", "platform"))
    cloud_notices_handle (world->cloud, call);
  else if (g_str_has_prefix (path, "/cloud/")
           && !faults_call_apply (call, "cloud", "platform"))
    cloud_call_handle (world->cloud, call, path);
  else if (g_str_has_prefix (path, "/weights/")
           && !faults_call_apply (call, "weights", "platform"))
    weights_call_handle (world->weights, call, path);
  else
    /* Has no effect on a call that faults_call_apply() has answered.  */
    fake_reply_json (call, 404, json_object ());
}

static void
on_exchange (void *context, gs_exchange_t *exchange)
{
  fake_world_t *world = context;
  fake_call_t call = { world, exchange, FAULT_NONE, 0, 0 };

  pthread_mutex_lock (&world->lock);
  dispatch (&call, gs_exchange_path (exchange));
  pthread_mutex_unlock (&world->lock);
}

static void
on_tick (void *context)
{
  fake_world_t *world = context;
  gs_time_t now = gs_clock_now ();

  pthread_mutex_lock (&world->lock);
  faults_tick (world->faults, now);
  store_tick (world->store, now);
  cloud_tick (world, now);
  for (guint i = 0; i < world->upstreams->len; i++)
    {
      upstream_t *upstream = world->upstreams->pdata[i];

      if (upstream->engine != NULL)
        engine_tick (upstream->engine, now);
    }
  pthread_mutex_unlock (&world->lock);
  upstream_free_closed (world);
}

static void *
run_loop (void *context)
{
  gs_loop_run (context);
  return NULL;
}

static gs_status_t
start_upstreams (fake_world_t *world, unsigned count, const char *kind,
                 const char *target)
{
  gs_status_t status = GS_OK;

  for (unsigned i = 0; i < count && status == GS_OK; i++)
    {
      char name[64];
      char data_centre[16];
      json_t *vm;

      snprintf (name, sizeof name, "%s-%u", target, i);
      snprintf (data_centre, sizeof data_centre, "ne-%c",
                'a' + (int)(i % DATA_CENTRE_COUNT));
      /* Half of the engines of each data centre check fencing tokens.  */
      vm = json_pack ("{s:s,s:s,s:s,s:s,s:b,s:s,s:s,s:s}", "kind", kind,
                      "target", target, "data_centre", data_centre, "class",
                      i % DATA_CENTRE_COUNT == 0 ? "on_demand" : "reclaimable",
                      "check_fencing", i / DATA_CENTRE_COUNT % 2 == 0, "model",
                      target, "version", "v1", "role", "serve");
      status = upstream_start (world, name, vm);
      json_decref (vm);
    }
  return status;
}

gs_status_t
fake_world_create (fake_world_t **out, const fake_world_options_t *options)
{
  gs_server_options_t server = GS_SERVER_OPTIONS_INIT;
  fake_world_t *world = g_new0 (fake_world_t, 1);
  gs_status_t status;

  *out = NULL;
  pthread_mutex_init (&world->lock, NULL);
  gs_loop_create (&world->loop);
  world->faults = faults_create ();
  world->store = store_create ();
  world->vms = vm_list_create ();
  world->cloud = cloud_create ();
  world->weights = weights_create ();
  world->records = records_create ();
  world->upstreams = g_ptr_array_new ();
  world->closed = g_ptr_array_new ();
  gs_loop_tick_set (world->loop, TICK_INTERVAL, on_tick, world);
  pthread_create (&world->thread, NULL, run_loop, world->loop);
  server.port = options->port;
  server.handler = on_exchange;
  server.context = world;
  server.connections_max = CONNECTIONS_MAX;
  server.body_bytes_max = BODY_BYTES_MAX;
  status = gs_server_create (&world->server, &server);
  pthread_mutex_lock (&world->lock);
  if (status == GS_OK)
    status = start_upstreams (world, options->engines, "engine", "assistant");
  if (status == GS_OK)
    status
        = start_upstreams (world, options->services, "service", "order-desk");
  pthread_mutex_unlock (&world->lock);
  if (status != GS_OK)
    fake_world_destroy (world);
  else
    *out = world;
  return status;
}

void
fake_world_destroy (fake_world_t *world)
{
  if (world == NULL)
    return;
  gs_loop_stop (world->loop);
  pthread_join (world->thread, NULL);
  gs_server_destroy (world->server);
  while (world->upstreams->len > 0)
    upstream_close (world, ((upstream_t *)world->upstreams->pdata[0])->name);
  upstream_free_closed (world);
  gs_loop_destroy (world->loop);
  g_ptr_array_unref (world->closed);
  g_ptr_array_unref (world->upstreams);
  records_destroy (world->records);
  weights_destroy (world->weights);
  cloud_destroy (world->cloud);
  vm_list_destroy (world->vms);
  store_destroy (world->store);
  faults_destroy (world->faults);
  pthread_mutex_destroy (&world->lock);
  g_free (world);
}

uint16_t
fake_world_port (const fake_world_t *world)
{
  return gs_server_port (world->server);
}

static gs_status_t
control_post_locked (fake_world_t *world, const char *path, const char *text)
{
  json_t *body = json_loads (text, 0, NULL);
  gs_status_t status;

  pthread_mutex_lock (&world->lock);
  status = control_post (world, path, body);
  pthread_mutex_unlock (&world->lock);
  json_decref (body);
  return status;
}

gs_status_t
fake_world_fault_inject (fake_world_t *world, const char *text)
{
  return control_post_locked (world, "/control/faults", text);
}

gs_status_t
fake_world_vms_reclaim (fake_world_t *world, const char *text)
{
  return control_post_locked (world, "/control/reclaim", text);
}

gs_status_t
fake_world_upstreams_set (fake_world_t *world, const char *text)
{
  return control_post_locked (world, "/control/upstream", text);
}

unsigned
fake_world_executions_count (fake_world_t *world, const char *key)
{
  unsigned count;

  pthread_mutex_lock (&world->lock);
  count = records_executions_count (world->records, key);
  pthread_mutex_unlock (&world->lock);
  return count;
}

uint16_t
fake_world_upstream_port (fake_world_t *world, const char *name)
{
  const upstream_t *upstream;
  uint16_t port;

  pthread_mutex_lock (&world->lock);
  upstream = upstream_find (world, name);
  port = upstream != NULL ? gs_server_port (upstream->server) : 0;
  pthread_mutex_unlock (&world->lock);
  return port;
}
