#include "policy/placer_private.h"

#include <string.h>

/* @return whether a row has its address rather than another row that has the
   same.  The process that the address belongs to was entered last; a row that
   gets no requests, so that no answer can refute it, does not count for that.
 */
static bool
has_address_before (const replica_row_t *row, const replica_row_t *other)
{
  if (row->refuted != other->refuted)
    return other->refuted;
  return !row->refuted && row->replica.state == GS_REPLICA_READY
         && strcmp (row->replica.service, other->replica.service) == 0
         && row->replica.revision > other->replica.revision;
}

void
placer_addresses_update (placer_t *placer)
{
  GHashTable *owners = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < placer->rows->len; i++)
    {
      replica_row_t *row = placer_row (placer, i);
      const replica_row_t *owner;

      row->superseded = false;
      if (!row->listed)
        continue;
      owner = g_hash_table_lookup (owners, row->replica.address);
      if (owner == NULL || has_address_before (row, owner))
        g_hash_table_insert (owners, row->replica.address, row);
    }
  for (guint i = 0; i < placer->rows->len; i++)
    {
      replica_row_t *row = placer_row (placer, i);
      const replica_row_t *owner
          = row->listed ? g_hash_table_lookup (owners, row->replica.address)
                        : NULL;

      row->superseded
          = owner != NULL && owner != row && has_address_before (owner, row);
    }
  g_hash_table_unref (owners);
}
