#include "fakes/world.h"

#include <string.h>

/* A past or current content of the list.  */
typedef struct
{
  gs_time_t since;
  uint64_t revision;
  json_t *vms;
} state_t;

struct vm_list
{
  json_t *vms; /* current VMs */
  GPtrArray
      *past; /* of state_t, oldest first; older than the lag are dropped */
  uint64_t revision;
  gs_time_t lag;
};

static void
state_free (gpointer data)
{
  state_t *state = data;

  json_decref (state->vms);
  g_free (state);
}

vm_list_t *
vm_list_create (void)
{
  vm_list_t *vms = g_new0 (vm_list_t, 1);

  vms->vms = json_array ();
  vms->past = g_ptr_array_new_with_free_func (state_free);
  return vms;
}

void
vm_list_destroy (vm_list_t *vms)
{
  g_ptr_array_unref (vms->past);
  json_decref (vms->vms);
  g_free (vms);
}

static void
keep_state (vm_list_t *vms)
{
  state_t *state = g_new (state_t, 1);

  state->since = gs_clock_now ();
  state->revision = ++vms->revision;
  state->vms = json_deep_copy (vms->vms);
  g_ptr_array_add (vms->past, state);
}

static size_t
index_of (const vm_list_t *vms, const char *name)
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
  size_t i = index_of (vms, name);

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
  size_t i = index_of (vms, json_text (vm, "name"));

  if (i != SIZE_MAX)
    json_object_update (json_array_get (vms->vms, i), (json_t *)vm);
  else
    json_array_append_new (vms->vms, json_deep_copy (vm));
  keep_state (vms);
}

void
vm_list_remove (vm_list_t *vms, const char *name)
{
  size_t i = index_of (vms, name);

  if (i == SIZE_MAX)
    return;
  json_array_remove (vms->vms, i);
  keep_state (vms);
}

void
vm_list_set_lag (vm_list_t *vms, gs_time_t lag)
{
  vms->lag = lag;
}

/* Drops older states.  @return the newest state that is at least as old as
   the lag, or the oldest kept.  */
static const state_t *
visible_state (vm_list_t *vms)
{
  gs_time_t until = gs_clock_now () - vms->lag;

  while (vms->past->len > 1
         && ((const state_t *)vms->past->pdata[1])->since <= until)
    g_ptr_array_remove_index (vms->past, 0);
  return vms->past->len > 0 ? vms->past->pdata[0] : NULL;
}

void
vm_list_take (vm_list_t *vms, const fake_call_t *call)
{
  const state_t *state = visible_state (vms);
  json_t *items = state != NULL ? json_copy (state->vms) : json_array ();
  uint64_t revision = state != NULL ? state->revision : 0;

  fake_disturb (call, items);
  fake_reply_json (
      call, 200,
      json_pack ("{s:I,s:o}", "revision", (json_int_t)revision, "vms", items));
}
