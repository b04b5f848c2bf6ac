#include "fleet/quarantine_store.h"

#include "fleet/stored_record.h"
#include "garnetstack/log.h"

#include <limits.h>
#include <stdlib.h>

#define OBJECT_NAME "keys"
/* Ages are rounded to milliseconds.  */
#define AGE_TOLERANCE (20 * GS_MSEC)
#define CHANGE_MAX 1000000000U

/* State of a key.  Clocks of nodes differ, so changes are numbered.  */
typedef struct
{
  unsigned change; /* 0 if the object has not had the key yet */
  bool is_request;
  bool released;
  bool is_new;  /* decided here, or received from a peer, since the object was
                   last read or written */
  gs_time_t at; /* when it was put into quarantine, or released, as this
                   process knows */
} key_state_t;

struct quarantine_store
{
  stored_record_t *record;
  quarantine_t *quarantine;
  GHashTable *known;   /* key -> key_state_t, what the object is to have */
  GHashTable *stored;  /* the same, of the object as last read or written */
  GHashTable *writing; /* the same, of the value of the last encode() */
  gs_time_t check_due;
  int64_t wall_ms; /* of the last tick */
};

static GHashTable *
keys_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

static void
keys_set (GHashTable *keys, uint64_t key, const key_state_t *state)
{
  g_hash_table_insert (keys, g_memdup2 (&key, sizeof key),
                       g_memdup2 (state, sizeof *state));
}

static gs_time_t
row_time (gs_time_t now, const quarantine_key_row_t *row)
{
  return now - (gs_time_t)row->age_ms * GS_MSEC;
}

/* @return whether a key was put into quarantine or released since a change.
   Another node may have sent a decision from before the change, of which the
   time is that of another clock if this process was not there.  */
static bool
is_changed (gs_time_t now, const quarantine_key_row_t *row,
            const key_state_t *state)
{
  gs_time_t at = row_time (now, row);

  return (row->released != 0) != state->released
             ? at > state->at - QUARANTINE_STORE_SKEW_MAX
             : at > state->at + AGE_TOLERANCE;
}

static void
apply_state (const quarantine_store_t *copy, gs_time_t now, uint64_t key,
             const key_state_t *state)
{
  quarantine_key_row_t row
      = { .key = key,
          .age_ms = (uint64_t)(MAX (now - state->at, 0) / GS_MSEC),
          .is_request = state->is_request,
          .released = state->released };

  quarantine_key_set (copy->quarantine, now, &row);
}

/* Takes over what has changed in the quarantine.  */
static void
take_changes (const quarantine_store_t *copy, gs_time_t now)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (quarantine_key_row_t));

  quarantine_keys_export (copy->quarantine, now, rows);
  for (guint i = 0; i < rows->len; i++)
    {
      const quarantine_key_row_t *row
          = &g_array_index (rows, quarantine_key_row_t, i);
      const key_state_t *known = g_hash_table_lookup (copy->known, &row->key);

      if (known == NULL || is_changed (now, row, known))
        keys_set (copy->known, row->key,
                  &(key_state_t){ known != NULL ? known->change : 0,
                                  row->is_request != 0, row->released != 0,
                                  true, row_time (now, row) });
      else if ((row->released != 0) != known->released)
        apply_state (copy, now, row->key, known);
    }
  g_array_unref (rows);
}

/* @return whether what this process knows of a key came after what is stored.
   What is not in the object yet has no number to compare.  */
static bool
is_later (const key_state_t *known, const key_state_t *stored)
{
  if (!known->is_new)
    return known->change > stored->change;
  if (known->change == 0)
    return known->at > stored->at;
  return known->at > stored->at - QUARANTINE_STORE_SKEW_MAX;
}

/* @param stored state in the object  */
static void
merge_key (quarantine_store_t *copy, gs_time_t now, uint64_t key,
           const key_state_t *stored)
{
  const key_state_t *known = g_hash_table_lookup (copy->known, &key);
  key_state_t next = *stored;

  keys_set (copy->stored, key, stored);
  if (known != NULL && known->released == stored->released)
    {
      next = *known;
      next.change = MAX (known->change, stored->change);
      next.is_new &= known->change >= stored->change;
    }
  else if (known != NULL && is_later (known, stored))
    {
      next = *known;
      next.change = MAX (known->change, stored->change);
    }
  else
    apply_state (copy, now, key, stored);
  keys_set (copy->known, key, &next);
}

/* Merges a list of the object.  Its times are those of the wall clock, since
   it outlives the processes.  A value that cannot be read is skipped.  */
static void
merge_list (quarantine_store_t *copy, gs_time_t now, const gs_object_t *object,
            bool released)
{
  const char *name = released ? "released" : "keys";
  json_t *entry;
  size_t i;

  json_array_foreach (json_object_get (object->value, name), i, entry)
  {
    const char *text = json_string_value (json_object_get (entry, "id"));
    const json_t *at
        = json_object_get (entry, released ? "released_ms" : "since_ms");
    json_int_t change = json_integer_value (json_object_get (entry, "change"));
    key_state_t state = { .released = released };
    gs_time_t age;

    if (text == NULL || !json_is_integer (at) || i >= QUARANTINE_KEYS_MAX)
      {
        gs_log (GS_LOG_WARN, "quarantine_skipped",
                "revision=%llu list=%s index=%zu",
                (unsigned long long)object->revision, name, i);
        continue;
      }
    state.is_request = json_is_true (json_object_get (entry, "is_request"));
    state.change = (unsigned)CLAMP (change, 1, CHANGE_MAX);
    age = (copy->wall_ms
           - CLAMP ((int64_t)json_integer_value (at), 0, copy->wall_ms))
          * GS_MSEC;
    state.at = now - age;
    if (age < QUARANTINE_TTL)
      merge_key (copy, now, strtoull (text, NULL, 16), &state);
  }
}

/* Removes changes that no object holds any more.  */
static void
known_expire (quarantine_store_t *copy, gs_time_t now)
{
  GHashTableIter iter;
  gpointer state;

  g_hash_table_iter_init (&iter, copy->known);
  while (g_hash_table_iter_next (&iter, NULL, &state))
    if (now > ((const key_state_t *)state)->at + 2 * QUARANTINE_TTL)
      g_hash_table_iter_remove (&iter);
}

static void
merge (void *context, gs_time_t now, const gs_object_t *object)
{
  quarantine_store_t *copy = context;
  unsigned before = quarantine_count (copy->quarantine);

  known_expire (copy, now);
  take_changes (copy, now);
  g_hash_table_remove_all (copy->stored);
  if (object == NULL)
    return;
  merge_list (copy, now, object, false);
  merge_list (copy, now, object, true);
  if (quarantine_count (copy->quarantine) != before)
    gs_log (GS_LOG_INFO, "quarantine_merged",
            "source=store revision=%llu stored=%u known_before=%u known=%u",
            (unsigned long long)object->revision,
            g_hash_table_size (copy->stored), before,
            quarantine_count (copy->quarantine));
}

/* Numbers a change that is not in the object yet.
   @return whether the object has to be written for a key.  A release of which
   the object has no quarantine is not worth a write.  */
static bool
number_change (const quarantine_store_t *copy, uint64_t key,
               key_state_t *known)
{
  const key_state_t *stored = g_hash_table_lookup (copy->stored, &key);

  if (known->is_new || known->change == 0)
    known->change = MIN (known->change + 1, CHANGE_MAX);
  known->is_new = false;
  if (stored == NULL)
    return !known->released;
  return stored->change < known->change || stored->released != known->released;
}

static json_t *
encode_key (const quarantine_store_t *copy, gs_time_t now, uint64_t key,
            const key_state_t *state)
{
  char id[17];

  g_snprintf (id, sizeof id, "%llx", (unsigned long long)key);
  return json_pack ("{s:s, s:b, s:I, s:I}", "id", id, "is_request",
                    state->is_request, "change", (json_int_t)state->change,
                    state->released ? "released_ms" : "since_ms",
                    (json_int_t)(copy->wall_ms - (now - state->at) / GS_MSEC));
}

static json_t *
encode (void *context, gs_time_t now)
{
  quarantine_store_t *copy = context;
  json_t *keys = json_array ();
  json_t *released = json_array ();
  unsigned missing = 0;
  json_t *value = NULL;
  GHashTableIter iter;
  gpointer key;
  gpointer known;

  known_expire (copy, now);
  take_changes (copy, now);
  g_hash_table_remove_all (copy->writing);
  g_hash_table_iter_init (&iter, copy->known);
  while (g_hash_table_iter_next (&iter, &key, &known))
    {
      key_state_t state = *(const key_state_t *)known;
      json_t *list = state.released ? released : keys;

      if (now >= state.at + QUARANTINE_TTL
          || json_array_size (list) >= QUARANTINE_KEYS_MAX)
        continue;
      missing += number_change (copy, *(const uint64_t *)key, &state);
      json_array_append_new (
          list, encode_key (copy, now, *(const uint64_t *)key, &state));
      keys_set (copy->writing, *(const uint64_t *)key, &state);
    }
  if (missing > 0)
    {
      gs_log (GS_LOG_INFO, "quarantine_write",
              "keys=%zu released=%zu missing=%u", json_array_size (keys),
              json_array_size (released), missing);
      value = json_pack ("{s:O, s:O}", "keys", keys, "released", released);
    }
  json_decref (released);
  json_decref (keys);
  return value;
}

static void
written (void *context)
{
  quarantine_store_t *copy = context;
  GHashTable *stored = copy->stored;
  GHashTableIter iter;
  gpointer key;
  gpointer state;

  copy->stored = copy->writing;
  copy->writing = stored;
  g_hash_table_iter_init (&iter, copy->stored);
  while (g_hash_table_iter_next (&iter, &key, &state))
    keys_set (copy->known, *(const uint64_t *)key, state);
}

void
quarantine_store_create (quarantine_store_t **out,
                         const gs_object_store_t *store,
                         quarantine_t *quarantine)
{
  quarantine_store_t *copy = g_new0 (quarantine_store_t, 1);
  stored_record_content_t content = { copy, merge, encode, written };

  copy->quarantine = quarantine;
  copy->known = keys_new ();
  copy->stored = keys_new ();
  copy->writing = keys_new ();
  stored_record_create (&copy->record, store, QUARANTINE_STORE_KIND,
                        OBJECT_NAME, &content);
  *out = copy;
}

void
quarantine_store_destroy (quarantine_store_t *copy)
{
  if (copy == NULL)
    return;
  stored_record_destroy (copy->record);
  g_hash_table_unref (copy->writing);
  g_hash_table_unref (copy->stored);
  g_hash_table_unref (copy->known);
  g_free (copy);
}

/* @return whether a key is in quarantine here or in the object  */
static bool
has_keys (const quarantine_store_t *copy)
{
  GHashTableIter iter;
  gpointer state;
  bool found = quarantine_count (copy->quarantine) > 0;

  g_hash_table_iter_init (&iter, copy->stored);
  while (!found && g_hash_table_iter_next (&iter, NULL, &state))
    found = !((const key_state_t *)state)->released;
  return found;
}

void
quarantine_store_tick (quarantine_store_t *copy, gs_time_t now,
                       int64_t wall_ms, unsigned rank, bool writes)
{
  bool takes_part = writes || rank != UINT_MAX;

  copy->wall_ms = wall_ms;
  if (takes_part && now >= copy->check_due && has_keys (copy))
    {
      copy->check_due = now
                        + QUARANTINE_STORE_CHECK_INTERVAL
                              * (rank == UINT_MAX ? 1 : rank + 1);
      stored_record_read_request (copy->record);
    }
  /* What has been released may be in quarantine in an older store.  */
  stored_record_tick (copy->record, now,
                      takes_part
                          && (quarantine_count (copy->quarantine) > 0
                              || g_hash_table_size (copy->known) > 0),
                      writes);
}
