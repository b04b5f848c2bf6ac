#include "fakes/world.h"

#include <string.h>

static gs_status_t
change_settings (fake_world_t *world, const json_t *settings)
{
  const char *name = json_text (settings, "name");
  unsigned count = 0;

  if (strcmp (name, "weights") == 0)
    {
      weights_set_rate (world->weights,
                        (unsigned)json_number (settings, "per_second", 0));
      return GS_OK;
    }
  for (guint i = 0; i < world->upstreams->len; i++)
    {
      upstream_t *upstream = world->upstreams->pdata[i];
      const char *group = upstream->engine != NULL ? "engines" : "services";

      if (strcmp (name, upstream->name) != 0 && strcmp (name, group) != 0)
        continue;
      if (upstream->engine != NULL)
        engine_set (upstream->engine, settings);
      else
        service_set (upstream->service, settings);
      count++;
    }
  return count > 0 ? GS_OK
                   : gs_error_set (GS_ENOTFOUND, "no upstream '%s'", name);
}

gs_status_t
control_post (fake_world_t *world, const char *path, const json_t *body)
{
  if (!json_is_object (body))
    return gs_error_set (GS_EINVAL, "the body is not a JSON object");
  if (strcmp (path, "/control/vms") == 0)
    vm_list_put (world->vms, body);
  else if (strcmp (path, "/control/faults") == 0)
    return faults_add (world, body);
  else if (strcmp (path, "/control/reclaim") == 0)
    return cloud_reclaim (world, body);
  else if (strcmp (path, "/control/upstream") == 0)
    return change_settings (world, body);
  else
    return gs_error_set (GS_ENOTFOUND,
                         "no such path of the control interface");
  return GS_OK;
}

static json_t *
engines_json (const fake_world_t *world)
{
  json_t *root = json_object ();

  for (guint i = 0; i < world->upstreams->len; i++)
    {
      const upstream_t *upstream = world->upstreams->pdata[i];

      if (upstream->engine != NULL)
        json_object_set_new (root, upstream->name,
                             engine_state (upstream->engine));
    }
  return root;
}

void
control_call_handle (const fake_call_t *call, const char *path)
{
  fake_world_t *world = call->world;
  size_t length;
  const char *text = gs_exchange_body (call->exchange, &length);
  json_t *body;

  if (strcmp (path, "/control/executions") == 0)
    {
      fake_reply_json (call, 200, records_executions_json (world->records));
      return;
    }
  if (strcmp (path, "/control/records") == 0)
    {
      fake_reply_json (call, 200, records_json (world->records));
      return;
    }
  if (strcmp (path, "/control/engines") == 0)
    {
      fake_reply_json (call, 200, engines_json (world));
      return;
    }
  if (strcmp (path, "/control/stats") == 0)
    {
      fake_reply_json (
          call, 200,
          json_pack ("{s:o,s:I}", "store", store_stats (world->store),
                     "faults_met",
                     (json_int_t)faults_calls_affected (world->faults)));
      return;
    }
  body = json_loadb (text, length, 0, NULL);
  if (control_post (world, path, body) == GS_OK)
    fake_reply_json (call, 200, json_object ());
  else
    fake_reply_json (call, 400,
                     json_pack ("{s:s}", "reason", gs_error_last ()));
  json_decref (body);
}
