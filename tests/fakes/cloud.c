#include "fakes/world.h"

#include <string.h>

typedef struct
{
  char *name;
  gs_time_t due; /* time of the reclaim */
  bool announced;
  uint64_t revision; /* revision of the notice, 0 without one */
} notice_t;

typedef struct
{
  fake_call_t call; /* holds a reference to the exchange */
  uint64_t after;
  gs_time_t due;
} pending_call_t;

struct cloud
{
  GPtrArray *notices; /* of notice_t */
  GPtrArray *waiting; /* of pending_call_t */
  uint64_t revision;
};

static void
notice_free (gpointer data)
{
  notice_t *notice = data;

  g_free (notice->name);
  g_free (notice);
}

static void
pending_call_free (gpointer data)
{
  pending_call_t *waiting = data;

  gs_exchange_unref (waiting->call.exchange);
  g_free (waiting);
}

cloud_t *
cloud_create (void)
{
  cloud_t *cloud = g_new0 (cloud_t, 1);

  cloud->notices = g_ptr_array_new_with_free_func (notice_free);
  cloud->waiting = g_ptr_array_new_with_free_func (pending_call_free);
  return cloud;
}

void
cloud_destroy (cloud_t *cloud)
{
  g_ptr_array_unref (cloud->waiting);
  g_ptr_array_unref (cloud->notices);
  g_free (cloud);
}

static void
handle_create (const fake_call_t *call)
{
  fake_world_t *world = call->world;
  size_t length;
  const char *body = gs_exchange_body (call->exchange, &length);
  json_t *request = json_loadb (body, length, 0, NULL);
  const char *kind = json_text (request, "kind");
  const char *target = json_text (request, "target");
  char *name = g_strdup_printf ("%s-new-%u", target, ++world->created);

  if (strcmp (kind, "engine") != 0 && strcmp (kind, "service") != 0)
    fake_reply_json (call, 409,
                     json_pack ("{s:s}", "reason", "no image of that kind"));
  else if (upstream_start (world, name, request) != GS_OK)
    fake_reply_json (call, 409, json_pack ("{s:s}", "reason", "no capacity"));
  else
    {
      records_event_add (world->records, "vms_created",
                         json_pack ("{s:s,s:s,s:s}", "name", name, "token",
                                    json_text (request, "token"),
                                    "data_centre",
                                    json_text (request, "data_centre")));
      fake_reply_json (call, 200, json_pack ("{s:s}", "name", name));
    }
  g_free (name);
  json_decref (request);
}

static void
remove_vm (fake_world_t *world, const char *name)
{
  records_event_add (world->records, "vms_gone", json_string (name));
  vm_list_remove (world->vms, name);
  upstream_close (world, name);
}

void
cloud_call_handle (cloud_t *cloud, const fake_call_t *call, const char *path)
{
  static const char prefix[] = "/cloud/vms/";
  const char *method = gs_exchange_method (call->exchange);

  if (strcmp (path, "/cloud/vms") == 0 && strcmp (method, "POST") == 0)
    handle_create (call);
  else if (g_str_has_prefix (path, prefix) && strcmp (method, "DELETE") == 0)
    {
      const char *name = path + sizeof prefix - 1;
      bool known = vm_list_find (call->world->vms, name) != NULL;

      if (known)
        remove_vm (call->world, name);
      fake_reply_json (call, known ? 200 : 404, json_object ());
    }
  else
    fake_reply_json (call, 404, json_object ());
}

/* @return true when the call was answered or its connection is closed.  */
static bool
answer_notices (const cloud_t *cloud, const pending_call_t *waiting,
                gs_time_t now)
{
  json_t *items = json_array ();

  for (guint i = 0; i < cloud->notices->len; i++)
    {
      const notice_t *notice = cloud->notices->pdata[i];

      if (notice->announced && notice->revision > waiting->after)
        json_array_append_new (
            items,
            json_pack ("{s:s,s:I}", "name", notice->name, "left_ms",
                       (json_int_t)(MAX (notice->due - now, 0) / GS_MSEC)));
    }
  if (json_array_size (items) == 0 && now < waiting->due)
    {
      json_decref (items);
      return gs_exchange_closed (waiting->call.exchange);
    }
  fake_items_alter (&waiting->call, items);
  fake_reply_json (&waiting->call, 200,
                   json_pack ("{s:I,s:o}", "revision",
                              (json_int_t)cloud->revision, "notices", items));
  return true;
}

void
cloud_notices_handle (cloud_t *cloud, const fake_call_t *call)
{
  const char *after = gs_exchange_query (call->exchange, "after");
  const char *wait = gs_exchange_query (call->exchange, "wait_ms");
  pending_call_t *waiting = g_new0 (pending_call_t, 1);
  gs_time_t now = gs_clock_now ();

  waiting->call = *call;
  gs_exchange_ref (call->exchange);
  waiting->after = after != NULL ? g_ascii_strtoull (after, NULL, 10) : 0;
  waiting->due
      = now + (wait != NULL ? g_ascii_strtoll (wait, NULL, 10) : 0) * GS_MSEC;
  if (answer_notices (cloud, waiting, now))
    pending_call_free (waiting);
  else
    g_ptr_array_add (cloud->waiting, waiting);
}

static void
reclaim_vm (fake_world_t *world, const char *name, gs_time_t due,
            bool announced)
{
  cloud_t *cloud = world->cloud;
  notice_t *notice = g_new0 (notice_t, 1);
  json_t *leaving;

  notice->name = g_strdup (name);
  notice->due = due;
  notice->announced = announced;
  g_ptr_array_add (cloud->notices, notice);
  if (!announced)
    return;
  notice->revision = ++cloud->revision;
  leaving = json_pack ("{s:s,s:s}", "name", name, "state", "leaving");
  vm_list_put (world->vms, leaving);
  json_decref (leaving);
}

gs_status_t
cloud_reclaim (fake_world_t *world, const json_t *reclaim)
{
  const char *name = json_text (reclaim, "name");
  const char *data_centre = json_text (reclaim, "data_centre");
  const json_t *announced = json_object_get (reclaim, "announced");
  gs_time_t due
      = gs_clock_now () + json_number (reclaim, "notice_ms", 0) * GS_MSEC;
  json_t *all = json_deep_copy (vm_list_all (world->vms));
  unsigned count = 0;
  json_t *vm;
  size_t i;

  json_array_foreach (all, i, vm)
  {
    if (strcmp (json_text (vm, "name"), name) != 0
        && (data_centre[0] == '\0'
            || strcmp (json_text (vm, "data_centre"), data_centre) != 0))
      continue;
    reclaim_vm (world, json_text (vm, "name"), due,
                !json_is_false (announced));
    count++;
  }
  json_decref (all);
  cloud_tick (world, gs_clock_now ());
  return count > 0 ? GS_OK
                   : gs_error_set (GS_ENOTFOUND, "no such VM: '%s'", name);
}

void
cloud_tick (fake_world_t *world, gs_time_t now)
{
  cloud_t *cloud = world->cloud;

  for (guint i = cloud->notices->len; i > 0; i--)
    {
      const notice_t *notice = cloud->notices->pdata[i - 1];

      if (now < notice->due)
        continue;
      remove_vm (world, notice->name);
      g_ptr_array_remove_index (cloud->notices, i - 1);
    }
  for (guint i = cloud->waiting->len; i > 0; i--)
    if (answer_notices (cloud, cloud->waiting->pdata[i - 1], now))
      g_ptr_array_remove_index_fast (cloud->waiting, i - 1);
}
