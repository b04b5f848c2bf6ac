#include "fakes/world.h"

#include <string.h>

/* A past or current content of the list.  */
typedef struct
{
  gs_time_t since;
  uint64_t revision;
  json_t *vms;
} vm_snapshot_t;

struct vm_list
{
  json_t *vms;          /* current VMs */
  GPtrArray *snapshots; /* of vm_snapshot_t, oldest first */
  uint64_t revision;
  gs_time_t lag;
};

static void
vm_snapshot_free (gpointer data)
{
  vm_snapshot_t *snapshot = data;

  json_decref (snapshot->vms);
  g_free (snapshot);
}

vm_list_t *
vm_list_create (void)
{
  vm_list_t *vms = g_new0 (vm_list_t, 1);

  vms->vms = json_array ();
  vms->snapshots = g_ptr_array_new_with_free_func (vm_snapshot_free);
  return vms;
}

void
vm_list_destroy (vm_list_t *vms)
{
  g_ptr_array_unref (vms->snapshots);
  json_decref (vms->vms);
  g_free (vms);
}

static void
add_snapshot (vm_list_t *vms)
{
  vm_snapshot_t *snapshot = g_new (vm_snapshot_t, 1);

  snapshot->since = gs_clock_now ();
  snapshot->revision = ++vms->revision;
  snapshot->vms = json_deep_copy (vms->vms);
  g_ptr_array_add (vms->snapshots, snapshot);
}

static size_t
find_index (const vm_list_t *vms, const char *name)
{
  json_t *vm;
  size_t i;

  json_array_foreach (vms->vms, i, vm)
  {
    if (strcmp (json_text (vm, "name"), name) == 0)
      return i;
  }
  return SIZE_MAX;
}

const json_t *
vm_list_find (const vm_list_t *vms, const char *name)
{
  size_t i = find_index (vms, name);

  return i == SIZE_MAX ? NULL : json_array_get (vms->vms, i);
}

const json_t *
vm_list_all (const vm_list_t *vms)
{
  return vms->vms;
}

void
vm_list_put (vm_list_t *vms, const json_t *vm)
{
  size_t i = find_index (vms, json_text (vm, "name"));

  if (i != SIZE_MAX)
    json_object_update (json_array_get (vms->vms, i), (json_t *)vm);
  else
    json_array_append_new (vms->vms, json_deep_copy (vm));
  add_snapshot (vms);
}

void
vm_list_remove (vm_list_t *vms, const char *name)
{
  size_t i = find_index (vms, name);

  if (i == SIZE_MAX)
    return;
  json_array_remove (vms->vms, i);
  add_snapshot (vms);
}

void
vm_list_set_lag (vm_list_t *vms, gs_time_t lag)
{
  vms->lag = lag;
}

/* Drops older states.  @return the newest state that is at least as old as
   the lag, or the oldest kept.  */
static const vm_snapshot_t *
visible_snapshot (vm_list_t *vms)
{
  gs_time_t until = gs_clock_now () - vms->lag;

  while (vms->snapshots->len > 1
         && ((const vm_snapshot_t *)vms->snapshots->pdata[1])->since <= until)
    g_ptr_array_remove_index (vms->snapshots, 0);
  return vms->snapshots->len > 0 ? vms->snapshots->pdata[0] : NULL;
}

void
vm_list_call_handle (vm_list_t *vms, const fake_call_t *call)
{
  const vm_snapshot_t *snapshot = visible_snapshot (vms);
  json_t *items = snapshot != NULL ? json_copy (snapshot->vms) : json_array ();
  uint64_t revision = snapshot != NULL ? snapshot->revision : 0;

  fake_items_alter (call, items);
  fake_reply_json (
      call, 200,
      json_pack ("{s:I,s:o}", "revision", (json_int_t)revision, "vms", items));
}
