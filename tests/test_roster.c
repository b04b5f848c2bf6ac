#include "check.h"
#include "gateway/roster.h"

#include <string.h>

#define DRAIN (2 * GS_SEC)
/* How long a replica without an entry may be used after the store has
   recovered.  */
#define RETURN_BOUND (2 * GS_SEC)

static gs_replica_t
entry (const char *id, gs_replica_state_t state, uint64_t revision)
{
  gs_replica_t out = { .service = "pool",
                       .address = "127.0.0.1:1",
                       .state = state,
                       .slots = 4,
                       .revision = revision };

  g_strlcpy (out.id, id, sizeof out.id);
  return out;
}

/* Writes another entry, as only changes are exported.  @return whether a
   replica is listed  */
static bool
is_listed (roster_t *roster, gs_time_t now, const char *id)
{
  gs_replica_t touch = entry ("touch", GS_REPLICA_READY, (uint64_t)now);
  gs_replica_list_t *list;
  bool found = false;

  roster_tick (roster, now);
  roster_put (roster, now, &touch);
  list = roster_export (roster);
  for (unsigned i = 0; i < list->count; i++)
    found |= strcmp (list->rows[i].id, id) == 0;
  gs_replica_list_unref (list);
  return found;
}

typedef struct
{
  const char *name;
  gs_time_t lost_at;    /* 0 for never */
  gs_time_t back_at;    /* 0 for not yet */
  gs_time_t removed_at; /* when the removal is seen */
  gs_replica_state_t state;
  gs_time_t until; /* when the replica is dropped from the list */
} row_t;

static const row_t rows[] = {
  { "a removal ends it at once", 0, 0, 10 * GS_SEC, GS_REPLICA_READY,
    10 * GS_SEC },
  { "an entry that lapsed with the store is used for a while", 5 * GS_SEC,
    9 * GS_SEC, 9500 * GS_MSEC, GS_REPLICA_READY, 11 * GS_SEC },
  { "one missing later is gone", 5 * GS_SEC, 9 * GS_SEC, 11 * GS_SEC,
    GS_REPLICA_READY, 11 * GS_SEC },
  { "a draining one is gone, store or not", 5 * GS_SEC, 9 * GS_SEC,
    9100 * GS_MSEC, GS_REPLICA_DRAINING, 9100 * GS_MSEC },
  { "never past the drain time of a removal", 5 * GS_SEC, 0, 6 * GS_SEC,
    GS_REPLICA_READY, 8 * GS_SEC },
};

static void
removed_replicas_are_used_only_as_long_as_allowed (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const row_t *row = &rows[i];
      gs_replica_t replica = entry ("a", row->state, 1);
      roster_t *roster;

      roster_create (&roster, DRAIN);
      roster_put (roster, GS_SEC, &replica);
      if (row->lost_at != 0)
        roster_store_lost (roster, row->lost_at);
      if (row->back_at != 0)
        roster_store_back (roster, row->back_at);
      roster_remove (roster, row->removed_at, "a");
      if (row->until > row->removed_at)
        CU_ASSERT_TRUE (is_listed (roster, row->until - 400 * GS_MSEC, "a"));
      CU_ASSERT_FALSE (is_listed (roster, row->until, "a"));
      CU_ASSERT (row->until <= row->removed_at + DRAIN);
      CU_ASSERT (row->back_at == 0
                 || row->until
                        <= MAX (row->back_at + RETURN_BOUND, row->removed_at));
      roster_destroy (roster);
    }
}

static void
an_entry_that_comes_back_is_kept (void)
{
  gs_replica_t first = entry ("a", GS_REPLICA_READY, 1);
  gs_replica_t again = entry ("a", GS_REPLICA_READY, 5);
  roster_t *roster;

  roster_create (&roster, DRAIN);
  roster_put (roster, GS_SEC, &first);
  roster_store_lost (roster, 2 * GS_SEC);
  roster_store_back (roster, 6 * GS_SEC);
  roster_remove (roster, 6 * GS_SEC, "a");
  roster_put (roster, 7 * GS_SEC, &again);
  CU_ASSERT_TRUE (is_listed (roster, 60 * GS_SEC, "a"));
  roster_destroy (roster);
}

static void
nothing_is_exported_when_nothing_changed (void)
{
  gs_replica_t replica = entry ("a", GS_REPLICA_READY, 1);
  gs_replica_list_t *list;
  roster_t *roster;

  roster_create (&roster, DRAIN);
  roster_put (roster, GS_SEC, &replica);
  list = roster_export (roster);
  CU_ASSERT_PTR_NOT_NULL_FATAL (list);
  if (list == NULL)
    return;
  CU_ASSERT_EQUAL (list->count, 1);
  gs_replica_list_unref (list);
  roster_put (roster, 2 * GS_SEC, &replica);
  CU_ASSERT_PTR_NULL (roster_export (roster));
  roster_destroy (roster);
}

static const check_case_t cases[] = {
  { "removed replicas are used only as long as allowed",
    removed_replicas_are_used_only_as_long_as_allowed },
  { "an entry that comes back is kept", an_entry_that_comes_back_is_kept },
  { "nothing is exported when nothing changed",
    nothing_is_exported_when_nothing_changed },
};

int
main (void)
{
  return CHECK_RUN ("roster", cases);
}
