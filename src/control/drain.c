#include "control/drain.h"

#include <string.h>

const gs_vm_entry_t *
gs_drain_entry_find (const gs_snapshot_t *snapshot, const char *name)
{
  const gs_vm_entry_t *entry;

  if (snapshot->catalogue == NULL)
    return NULL;
  entry = (const gs_vm_entry_t *)gs_catalogue_find (snapshot->catalogue,
                                                    GS_KIND_VM, name);
  return entry != NULL && entry->drain ? entry : NULL;
}

void
gs_drain_apply (gs_snapshot_t *snapshot, const char *self)
{
  for (size_t i = 0; i < snapshot->upstream_count; i++)
    {
      gs_upstream_info_t *upstream = &snapshot->upstreams[i];

      if (upstream->state == GS_VM_LIVE
          && gs_drain_entry_find (snapshot, upstream->name) != NULL)
        upstream->state = GS_VM_LEAVING;
    }
  for (size_t i = 0; i < snapshot->node_count; i++)
    {
      gs_node_info_t *node = &snapshot->nodes[i];

      if (node->state == GS_VM_LIVE
          && gs_drain_entry_find (snapshot, node->name) != NULL)
        node->state = GS_VM_LEAVING;
    }
  if (gs_drain_entry_find (snapshot, self) != NULL)
    snapshot->self_leaving = true;
}
