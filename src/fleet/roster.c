#include "fleet/roster.h"

#include "garnetstack/log.h"
#include "garnetstack/object_store.h"

#include <string.h>

typedef struct
{
  gs_replica_t replica;
  gs_time_t drop_at; /* GS_TIME_NEVER while the entry exists */
} roster_entry_t;

struct roster
{
  GHashTable *entries; /* id -> roster_entry_t */
  gs_time_t drain;
  gs_time_t store_failed_at;    /* first failure since the last answer; 0 for
                                   none */
  gs_time_t store_recovered_at; /* last recovery */
  uint64_t sequence;
  bool changed;
};

gs_replica_list_t *
gs_replica_list_ref (gs_replica_list_t *list)
{
  if (list != NULL)
    g_atomic_ref_count_inc (&list->references);
  return list;
}

void
gs_replica_list_unref (gs_replica_list_t *list)
{
  if (list != NULL && g_atomic_ref_count_dec (&list->references))
    g_free (list);
}

void
roster_create (roster_t **out, gs_time_t drain)
{
  roster_t *roster = g_new0 (roster_t, 1);

  roster->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  roster->drain = drain;
  roster->store_recovered_at = -ROSTER_RECOVERY_TIMEOUT;
  roster->changed = true;
  *out = roster;
}

void
roster_destroy (roster_t *roster)
{
  if (roster == NULL)
    return;
  g_hash_table_unref (roster->entries);
  g_free (roster);
}

void
roster_store_failure_record (roster_t *roster, gs_time_t now)
{
  if (roster->store_failed_at != 0)
    return;
  roster->store_failed_at = now;
  gs_log (GS_LOG_WARN, "dependency_lost", "dependency=store replicas=%u",
          g_hash_table_size (roster->entries));
}

void
roster_store_answer_record (roster_t *roster, gs_time_t now)
{
  if (roster->store_failed_at == 0)
    return;
  gs_log (GS_LOG_INFO, "dependency_back",
          "dependency=store away_ms=%lld replicas=%u",
          (long long)((now - roster->store_failed_at) / GS_MSEC),
          g_hash_table_size (roster->entries));
  roster->store_failed_at = 0;
  roster->store_recovered_at = now;
}

/* A store that came back from an older copy may have lost that a replica
   drains.  The replica does not take that back while it runs.
   @return whether an entry of a later era says less than the known one  */
static bool
is_older_state (const gs_replica_t *known, const gs_replica_t *entry)
{
  return known->state == GS_REPLICA_DRAINING
         && entry->state == GS_REPLICA_READY
         && known->started_ms == entry->started_ms
         && gs_object_revision_era (known->revision)
                < gs_object_revision_era (entry->revision);
}

void
roster_replica_put (roster_t *roster, gs_time_t now, const gs_replica_t *entry)
{
  roster_entry_t *row = g_hash_table_lookup (roster->entries, entry->id);
  gs_log_value_t version;

  if (row == NULL)
    {
      row = g_new0 (roster_entry_t, 1);
      g_strlcpy (row->replica.id, entry->id, sizeof row->replica.id);
      g_hash_table_insert (roster->entries, row->replica.id, row);
    }
  else if (row->replica.revision == entry->revision
           && row->drop_at == GS_TIME_NEVER)
    return;
  if (is_older_state (&row->replica, entry))
    return;
  row->replica = *entry;
  row->drop_at = GS_TIME_NEVER;
  roster->changed = true;
  gs_log (GS_LOG_INFO, "replica",
          "id=%s service=%s version=%s address=%s data_centre=%s state=%s"
          " spot=%d leaves_in_ms=%lld revision=%llu",
          entry->id, entry->service, gs_log_quote (&version, entry->version),
          entry->address, entry->data_centre,
          entry->state == GS_REPLICA_READY ? "ready" : "draining", entry->spot,
          entry->terminates_at == GS_TIME_NEVER
              ? -1LL
              : (long long)((entry->terminates_at - now) / GS_MSEC),
          (unsigned long long)entry->revision);
}

/* While the store is unavailable, and shortly after it has recovered, a
   missing entry does not mean that the replica has ended.  */
static bool
may_have_expired (const roster_t *roster, gs_time_t now)
{
  return roster->store_failed_at != 0
         || now < roster->store_recovered_at + ROSTER_RECOVERY_TIMEOUT;
}

static void
entry_schedule_drop (roster_t *roster, gs_time_t now, roster_entry_t *row)
{
  if (row->drop_at != GS_TIME_NEVER)
    return;
  row->drop_at = now;
  if (row->replica.state == GS_REPLICA_READY && may_have_expired (roster, now))
    row->drop_at
        = MIN (roster->store_failed_at != 0
                   ? GS_TIME_NEVER
                   : roster->store_recovered_at + ROSTER_RECOVERY_TIMEOUT,
               now + roster->drain - ROSTER_DRAIN_MARGIN);
  gs_log (GS_LOG_INFO, "replica",
          "id=%s service=%s state=gone used_on_ms=%lld", row->replica.id,
          row->replica.service, (long long)((row->drop_at - now) / GS_MSEC));
  if (row->drop_at <= now)
    roster->changed = true;
}

void
roster_replica_remove (roster_t *roster, gs_time_t now, const char *id)
{
  roster_entry_t *row = g_hash_table_lookup (roster->entries, id);

  if (row == NULL)
    return;
  entry_schedule_drop (roster, now, row);
  roster_expire (roster, now);
}

void
roster_expire (roster_t *roster, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, roster->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((roster_entry_t *)value)->drop_at <= now)
      {
        g_hash_table_iter_remove (&iter);
        roster->changed = true;
      }
}

gs_replica_list_t *
roster_list_export (roster_t *roster)
{
  unsigned count = g_hash_table_size (roster->entries);
  gs_replica_list_t *list;
  GHashTableIter iter;
  gpointer value;

  if (!roster->changed)
    return NULL;
  roster->changed = false;
  list = g_malloc0 (sizeof *list + count * sizeof list->rows[0]);
  g_atomic_ref_count_init (&list->references);
  list->sequence = ++roster->sequence;
  g_hash_table_iter_init (&iter, roster->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    list->rows[list->count++] = ((roster_entry_t *)value)->replica;
  return list;
}
