#include "check.h"
#include "gateway/placer.h"

#include <string.h>

#define REPLICAS 8
#define SLOTS 4
#define PROMPT 12000
#define SHARED 5000

static gs_replica_list_t *
make_list (unsigned count)
{
  gs_replica_list_t *list
      = g_malloc0 (sizeof *list + count * sizeof *list->rows);

  g_atomic_ref_count_init (&list->references);
  list->count = count;
  for (unsigned i = 0; i < count; i++)
    {
      gs_replica_t *row = &list->rows[i];

      g_snprintf (row->id, sizeof row->id, "i-%u", i);
      g_snprintf (row->address, sizeof row->address, "10.0.0.%u:80", i);
      g_strlcpy (row->service, "pool", sizeof row->service);
      row->slots = SLOTS;
    }
  return list;
}

static placer_t *
make_placer (unsigned count, uint64_t seed)
{
  gs_replica_list_t *list = make_list (count);
  placer_t *placer;

  placer_create (&placer, seed);
  placer_set_replicas (placer, list);
  gs_replica_list_unref (list);
  return placer;
}

/* A request of a session; its own part is new each time.  */
static placer_query_t
ask (gs_prompt_block_t *parts, uint64_t session)
{
  static uint64_t own = 1000000;

  parts[0] = (gs_prompt_block_t){ 1, 500 };
  parts[1] = (gs_prompt_block_t){ session, SHARED };
  parts[2] = (gs_prompt_block_t){ own++, PROMPT - SHARED - 500 };
  return (placer_query_t){ .service = "pool",
                           .engine = true,
                           .prompt_tokens = PROMPT,
                           .output_tokens = 100,
                           .parts = parts,
                           .part_count = 3,
                           .avoid = PLACER_ROW_NONE };
}

/* @return the row, the request's end noted at once  */
static uint32_t
place (placer_t *placer, gs_time_t now, uint64_t session)
{
  gs_prompt_block_t parts[3];
  placer_query_t query = ask (parts, session);
  placer_choice_t choice;
  placer_ticket_t ticket;

  CU_ASSERT_EQUAL (placer_pick (placer, now, &query, &choice), GS_OK);
  placer_sent (placer, now, &query, &choice, &ticket);
  placer_first (placer, now + 100 * GS_MSEC, &ticket);
  placer_ended (placer, now + GS_SEC, &ticket, PLACER_GOOD);
  return choice.row;
}

/* Nodes that never heard of each other's choices still choose alike, so that
   a session's prompt is read once.  */
static void
a_session_stays_at_one_replica_from_all_nodes (void)
{
  placer_t *nodes[3];
  unsigned spread[REPLICAS] = { 0 };

  for (unsigned i = 0; i < 3; i++)
    nodes[i] = make_placer (REPLICAS, i + 1);
  for (uint64_t session = 10; session < 210; session++)
    {
      uint32_t first = place (nodes[0], GS_SEC, session);

      spread[first]++;
      for (unsigned i = 0; i < 3; i++)
        CU_ASSERT_EQUAL (
            place (nodes[i], (gs_time_t)(2 + i) * GS_SEC, session), first);
    }
  for (unsigned i = 0; i < REPLICAS; i++)
    CU_ASSERT (spread[i] > 200 / REPLICAS / 3);
  for (unsigned i = 0; i < 3; i++)
    placer_destroy (nodes[i]);
}

static void
one_busy_session_does_not_bury_its_replica (void)
{
  placer_t *placer = make_placer (REPLICAS, 1);
  gs_prompt_block_t parts[3];
  placer_choice_t choice;
  placer_ticket_t tickets[REPLICAS * SLOTS];
  unsigned at[REPLICAS] = { 0 };

  for (unsigned i = 0; i < REPLICAS * SLOTS; i++)
    {
      placer_query_t query = ask (parts, 42);

      CU_ASSERT_EQUAL_FATAL (placer_pick (placer, GS_SEC, &query, &choice),
                             GS_OK);
      placer_sent (placer, GS_SEC, &query, &choice, &tickets[i]);
      at[choice.row]++;
      CU_ASSERT (at[choice.row] <= SLOTS);
    }
  /* All slots are taken; more would only wait there. */
  placer_query_t query = ask (parts, 43);
  CU_ASSERT_EQUAL (placer_pick (placer, GS_SEC, &query, &choice), GS_ELIMIT);
  CU_ASSERT_EQUAL (choice.full, REPLICAS);
  placer_ended (placer, GS_SEC, &tickets[0], PLACER_GOOD);
  CU_ASSERT_EQUAL (placer_pick (placer, GS_SEC, &query, &choice), GS_OK);
  placer_destroy (placer);
}

static void
what_other_nodes_have_counts (void)
{
  placer_t *placer = make_placer (2, 1);
  placer_load_t loads[] = { { "i-0", SLOTS, 0, 0 }, { "i-gone", 9, 9, 9 } };
  gs_prompt_block_t parts[3];

  placer_set_peers (placer, loads, G_N_ELEMENTS (loads));
  for (uint64_t session = 1; session < 30; session++)
    {
      placer_query_t query = ask (parts, session);
      placer_choice_t choice;

      CU_ASSERT_EQUAL (placer_pick (placer, GS_SEC, &query, &choice), GS_OK);
      CU_ASSERT_STRING_EQUAL (placer_replica (placer, choice.row)->id, "i-1");
    }
  placer_destroy (placer);
}

static void
fail (placer_t *placer, gs_time_t now, placer_end_t end, uint32_t row)
{
  gs_prompt_block_t parts[3];
  placer_query_t query = ask (parts, 7);
  placer_choice_t choice = { .row = row };
  placer_ticket_t ticket;

  placer_sent (placer, now, &query, &choice, &ticket);
  placer_ended (placer, now, &ticket, end);
}

/* Calls of some milliseconds: others tell at one time of full replicas, at the
   next of empty ones, and are half as busy on average.  */
static void
old_news_of_short_calls_fill_no_replica (void)
{
  placer_t *placer = make_placer (1, 1);
  placer_query_t query = { .service = "pool", .avoid = PLACER_ROW_NONE };
  placer_load_t load = { .replica = "i-0" };
  placer_choice_t choice;
  unsigned refused = 0;

  for (unsigned i = 0; i < 200; i++)
    {
      load.in_flight = i % 2 == 0 ? SLOTS : 0;
      placer_set_peers (placer, &load, 1);
      refused
          += placer_pick (placer, GS_SEC + i * 150 * GS_MSEC, &query, &choice)
             != GS_OK;
    }
  CU_ASSERT_EQUAL (refused, 0);
  /* Others that are busy all the time do fill it.  */
  load.in_flight = 2 * SLOTS;
  for (unsigned i = 0; i < 40; i++)
    placer_set_peers (placer, &load, 1);
  CU_ASSERT_EQUAL (placer_pick (placer, 60 * GS_SEC, &query, &choice),
                   GS_ELIMIT);
  placer_destroy (placer);
}

/* A replica queues a few calls that take milliseconds.  */
static void
a_few_short_calls_more_than_slots_are_sent (void)
{
  placer_t *placer = make_placer (1, 1);
  placer_query_t query = { .service = "pool", .avoid = PLACER_ROW_NONE };
  placer_choice_t choice;
  placer_ticket_t ticket;
  unsigned sent = 0;

  while (sent < 3 * SLOTS
         && placer_pick (placer, GS_SEC, &query, &choice) == GS_OK)
    {
      placer_sent (placer, GS_SEC, &query, &choice, &ticket);
      sent++;
    }
  CU_ASSERT (sent > SLOTS && sent < 2 * SLOTS);
  placer_destroy (placer);
}

static void
replicas_that_fail_are_left_out_unless_none_is_left (void)
{
  placer_t *placer = make_placer (2, 1);
  gs_prompt_block_t parts[3];
  placer_query_t query = ask (parts, 7);
  placer_choice_t choice;

  fail (placer, GS_SEC, PLACER_UNREACHABLE, 0);
  for (unsigned i = 0; i < 20; i++)
    CU_ASSERT_EQUAL (place (placer, GS_SEC, 100 + i), 1);
  fail (placer, GS_SEC, PLACER_UNREACHABLE, 1);
  CU_ASSERT_EQUAL (placer_pick (placer, GS_SEC, &query, &choice), GS_OK);
  /* A replica that says it is full is no candidate, even the last. */
  fail (placer, 60 * GS_SEC, PLACER_FULL, 0);
  fail (placer, 60 * GS_SEC, PLACER_FULL, 1);
  CU_ASSERT_EQUAL (placer_pick (placer, 60 * GS_SEC, &query, &choice),
                   GS_ELIMIT);
  placer_destroy (placer);
}

static void
a_replica_that_is_gone_ends_what_it_has_and_gets_nothing (void)
{
  placer_t *placer = make_placer (2, 1);
  gs_replica_list_t *fewer = make_list (1);
  gs_prompt_block_t parts[3];
  placer_query_t query = ask (parts, 7);
  placer_choice_t choice = { .row = 1 };
  placer_ticket_t ticket;

  placer_sent (placer, GS_SEC, &query, &choice, &ticket);
  placer_set_replicas (placer, fewer);
  for (unsigned i = 0; i < 20; i++)
    CU_ASSERT_EQUAL (place (placer, GS_SEC, 100 + i), 0);
  placer_ended (placer, 2 * GS_SEC, &ticket, PLACER_GOOD);
  placer_set_replicas (placer, fewer);
  CU_ASSERT_STRING_EQUAL (placer_replica (placer, 1)->id, "");
  gs_replica_list_unref (fewer);
  placer_destroy (placer);
}

/* A restart keeps its id and holds nothing of before.  */
static void
a_restarted_replica_holds_nothing (void)
{
  placer_t *placer = make_placer (1, 1);
  gs_replica_list_t *again = make_list (1);
  gs_prompt_block_t parts[3];
  placer_query_t query = ask (parts, 7);
  placer_choice_t choice;

  place (placer, GS_SEC, 7);
  placer_pick (placer, 2 * GS_SEC, &query, &choice);
  CU_ASSERT_EQUAL (choice.missing_tokens, PROMPT - SHARED - 500);
  again->rows[0].born_ms = 99;
  placer_set_replicas (placer, again);
  placer_pick (placer, 4 * GS_SEC, &query, &choice);
  CU_ASSERT (choice.missing_tokens > PROMPT - SHARED - 500);
  gs_replica_list_unref (again);
  placer_destroy (placer);
}

static const check_case_t cases[] = {
  { "a session stays at one replica from all nodes",
    a_session_stays_at_one_replica_from_all_nodes },
  { "one busy session does not bury its replica",
    one_busy_session_does_not_bury_its_replica },
  { "what other nodes have counts", what_other_nodes_have_counts },
  { "old news of short calls fill no replica",
    old_news_of_short_calls_fill_no_replica },
  { "a few short calls more than slots are sent",
    a_few_short_calls_more_than_slots_are_sent },
  { "replicas that fail are left out unless none is left",
    replicas_that_fail_are_left_out_unless_none_is_left },
  { "a replica that is gone ends what it has and gets nothing",
    a_replica_that_is_gone_ends_what_it_has_and_gets_nothing },
  { "a restarted replica holds nothing", a_restarted_replica_holds_nothing },
};

int
main (void)
{
  return CHECK_RUN ("placer", cases);
}
