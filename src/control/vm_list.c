#include "control/vm_list.h"

#include "wire/vm_json.h"

#include <string.h>
#include <xxhash.h>

struct gs_vm_list
{
  GHashTable *digests; /* name -> uint64_t digest of the entry */
};

void
gs_vm_list_create (gs_vm_list_t **out)
{
  *out = g_new0 (gs_vm_list_t, 1);
  (*out)->digests
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gs_vm_list_destroy (gs_vm_list_t *list)
{
  if (list == NULL)
    return;
  g_hash_table_unref (list->digests);
  g_free (list);
}

static void
fill_node (gs_node_info_t *out, const gs_vm_t *vm)
{
  g_strlcpy (out->name, vm->name, sizeof out->name);
  g_strlcpy (out->address, vm->address, sizeof out->address);
  g_strlcpy (out->region, vm->region, sizeof out->region);
  g_strlcpy (out->data_centre, vm->data_centre, sizeof out->data_centre);
  out->caller_port = vm->port;
  out->peer_port = vm->peer_port;
}

static void
fill_upstream (gs_upstream_info_t *out, const gs_vm_t *vm)
{
  bool service = strcmp (vm->kind, "service") == 0;

  g_strlcpy (out->name, vm->name, sizeof out->name);
  g_strlcpy (out->address, vm->address, sizeof out->address);
  g_strlcpy (out->target, vm->target, sizeof out->target);
  g_strlcpy (out->data_centre, vm->data_centre, sizeof out->data_centre);
  out->port = vm->port;
  out->kind = service ? GS_UPSTREAM_SERVICE : GS_UPSTREAM_ENGINE;
  out->reclaimable = vm->reclaimable;
  out->price_micros = vm->price_micros;
}

GArray *
gs_vm_rows_create (const gs_vm_t *vms, size_t count)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (gs_vm_row_t));

  for (size_t i = 0; i < count; i++)
    {
      const gs_vm_t *vm = &vms[i];
      gs_vm_row_t row = { 0 };

      row.is_node = strcmp (vm->kind, "node") == 0;
      fill_node (&row.node, vm);
      fill_upstream (&row.upstream, vm);
      row.node.state = vm->leaving ? GS_VM_LEAVING : GS_VM_LIVE;
      row.upstream.state = row.node.state;
      g_strlcpy (row.region, vm->region, sizeof row.region);
      g_strlcpy (row.token, vm->token, sizeof row.token);
      g_array_append_val (rows, row);
    }
  return rows;
}

GArray *
gs_vms_from_json (const json_t *array)
{
  GArray *vms = g_array_new (FALSE, TRUE, sizeof (gs_vm_t));
  const json_t *item;
  size_t i;

  json_array_foreach (array, i, item)
  {
    gs_vm_t vm;

    gs_vm_from_json (&vm, item);
    if (vm.name[0] != '\0')
      g_array_append_val (vms, vm);
  }
  return vms;
}

static uint64_t
vm_digest (const gs_vm_t *vm)
{
  json_t *object = gs_vm_to_json (vm);
  char *text = json_dumps (object, JSON_COMPACT);
  uint64_t digest = XXH3_64bits (text, strlen (text));

  free (text);
  json_decref (object);
  return digest;
}

/* Stores the digest of an entry.
   @return true if the entry is new or changed  */
static bool
store_digest (gs_vm_list_t *list, const gs_vm_t *vm)
{
  uint64_t digest = vm_digest (vm);
  uint64_t *stored = g_hash_table_lookup (list->digests, vm->name);

  if (stored != NULL && *stored == digest)
    return false;
  stored = g_new (uint64_t, 1);
  *stored = digest;
  g_hash_table_insert (list->digests, g_strdup (vm->name), stored);
  return true;
}

/* Removes the entries that are not in a new list.
   @return their names  */
static json_t *
remove_missing (gs_vm_list_t *list, const gs_vm_t *vms, size_t count)
{
  GHashTable *present = g_hash_table_new (g_str_hash, g_str_equal);
  json_t *removed = json_array ();
  GHashTableIter iterator;
  gpointer name;

  for (size_t i = 0; i < count; i++)
    g_hash_table_add (present, (gpointer)vms[i].name);
  g_hash_table_iter_init (&iterator, list->digests);
  while (g_hash_table_iter_next (&iterator, &name, NULL))
    {
      if (g_hash_table_contains (present, name))
        continue;
      json_array_append_new (removed, json_string (name));
      g_hash_table_iter_remove (&iterator);
    }
  g_hash_table_unref (present);
  return removed;
}

json_t *
gs_vm_list_replace (gs_vm_list_t *list, const gs_vm_t *vms, size_t count)
{
  json_t *changed = json_array ();
  json_t *removed;

  for (size_t i = 0; i < count; i++)
    if (store_digest (list, &vms[i]))
      json_array_append_new (changed, gs_vm_to_json (&vms[i]));
  removed = remove_missing (list, vms, count);
  if (json_array_size (changed) + json_array_size (removed) > 0)
    return json_pack ("{s:o,s:o}", "vms", changed, "gone", removed);
  json_decref (changed);
  json_decref (removed);
  return NULL;
}

void
gs_vm_list_changes_apply (gs_vm_list_t *list, const json_t *changes)
{
  GArray *vms = gs_vms_from_json (json_object_get (changes, "vms"));
  const json_t *item;
  size_t i;

  for (guint j = 0; j < vms->len; j++)
    store_digest (list, &g_array_index (vms, gs_vm_t, j));
  json_array_foreach (json_object_get (changes, "gone"), i, item)
  {
    if (json_is_string (item))
      g_hash_table_remove (list->digests, json_string_value (item));
  }
  g_array_unref (vms);
}
