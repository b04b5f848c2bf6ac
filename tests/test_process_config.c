/* Configuration on a cluster of node processes.  Cases edit the catalogue,
   most of them during a fault, and check the generation in force on the nodes.
 */
#include "check.h"
#include "control_harness.h"

#include <stdio.h>
#include <string.h>

#define SUITE "configuration on real processes"
/* Longer than any lease or silence timeout of a node.  */
#define PAUSE_DURATION (12 * GS_SEC)

static void
edit_reaches_every_node (void)
{
  uint64_t before = cluster_generation (&cluster, 1);
  char name[32];

  check_status (add_entry (1, name), 200);
  check_edit_is_active (name, before + 1);
}

static void
edits_of_different_entries_are_both_in_force (void)
{
  uint64_t before = cluster_generation (&cluster, 0);
  char names[2][32];
  char text[ENTRY_BYTES];

  CU_ASSERT_TRUE (cluster_wait_generation (&cluster, before));
  for (unsigned i = 0; i < 2; i++)
    {
      next_unique_name (names[i]);
      account_entry (text, names[i], "one of two");
      check_status (
          edit_catalogue (i, i == 0 ? CLUSTER_OPERATOR : CLUSTER_OPERATOR_2,
                          before, text),
          200);
    }
  check_edit_is_active (names[0], before + 2);
  check_edit_is_active (names[1], before + 2);
}

static void
later_edit_of_the_same_entry_conflicts (void)
{
  uint64_t before;
  char name[32];
  char text[ENTRY_BYTES];

  check_status (add_entry (0, name), 200);
  before = cluster_generation (&cluster, 0);
  CU_ASSERT_TRUE (cluster_wait_generation (&cluster, before));
  account_entry (text, name, "by the first");
  check_status (edit_catalogue (0, CLUSTER_OPERATOR, before, text), 200);
  account_entry (text, name, "by the second");
  check_status (edit_catalogue (2, CLUSTER_OPERATOR_2, before, text), 409);
  check_edit_is_active ("by the first", before + 1);
  CU_ASSERT_FALSE (catalogue_has (2, "by the second"));
}

static void
two_edits_at_once_have_one_winner (void)
{
  cluster_answer_t answers[2];
  uint64_t before;
  char name[32];
  char text[ENTRY_BYTES];
  unsigned winners = 0;

  check_status (add_entry (0, name), 200);
  before = cluster_generation (&cluster, 0);
  CU_ASSERT_TRUE (cluster_wait_generation (&cluster, before));
  for (unsigned i = 0; i < 2; i++)
    {
      account_entry (text, name, i == 0 ? "won by dana" : "won by eli");
      start_catalogue_edit (&answers[i], 1 + i,
                            i == 0 ? CLUSTER_OPERATOR : CLUSTER_OPERATOR_2,
                            before, text);
    }
  for (unsigned i = 0; i < 2; i++)
    {
      cluster_answer_wait (&cluster, &answers[i]);
      if (answers[i].http_status == 200)
        winners++;
      else
        CU_ASSERT_EQUAL (answers[i].http_status, 409);
      if (answers[i].http_status == 200)
        check_edit_is_active (i == 0 ? "won by dana" : "won by eli",
                              before + 1);
      cluster_answer_clear (&answers[i]);
    }
  CU_ASSERT_EQUAL (winners, 1);
}

static void
unknown_operator_is_rejected (void)
{
  uint64_t before = cluster_generation (&cluster, 0);
  char text[ENTRY_BYTES];

  account_entry (text, "intruder", "not allowed");
  check_status (edit_catalogue (0, "wrong-key", before, text), 401);
  check_status (edit_catalogue (0, CLUSTER_ACCOUNT, before, text), 401);
  CU_ASSERT_FALSE (catalogue_has (0, "intruder"));
}

static void
invalid_edit_changes_nothing (void)
{
  uint64_t before = cluster_generation (&cluster, 0);

  check_status (edit_catalogue (0, CLUSTER_OPERATOR, before,
                                "[account bad]\nowner=curdwright\npurpose=x\n"
                                "class=missing\nkeys=zz\n"),
                400);
  CU_ASSERT_EQUAL (cluster_generation (&cluster, 0), before);
}

/* Makes an edit during a fault of the store.  An edit that is answered with
   200 must be in force in the next generation; any other answer must be 503.
 */
static void
edit_during_fault (const char *text, bool success_expected)
{
  uint64_t before = cluster_generation (&cluster, 0);
  uint64_t affected_before = cluster_fault_count (&cluster);
  char name[32];
  long status;

  inject_fault (text);
  status = add_entry (0, name);
  CU_ASSERT_TRUE (cluster_fault_count (&cluster) > affected_before);
  inject_fault ("{\"fault\":\"clear\"}");
  if (success_expected)
    check_status (status, 200);
  if (status == 200)
    {
      check_edit_is_active (name, before + 1);
      CU_ASSERT_EQUAL (cluster_generation (&cluster, 0), before + 1);
    }
  else
    check_status (status, 503);
}

static void
lost_write_answer_is_read_back (void)
{
  edit_during_fault ("{\"target\":\"store\",\"fault\":\"lost_after_effect\","
                     "\"method\":\"PUT\",\"path\":\"/objects/catalogue\"}",
                     true);
}

static void
lost_write_is_reported (void)
{
  edit_during_fault (
      "{\"target\":\"store\",\"fault\":\"lost\",\"method\":\"PUT\","
      "\"path\":\"/objects/catalogue\"}",
      false);
}

static void
rejected_write_is_reported (void)
{
  edit_during_fault (
      "{\"target\":\"store\",\"fault\":\"refuse\",\"method\":\"PUT\","
      "\"path\":\"/objects/catalogue\"}",
      false);
}

static void
slow_store_delays_an_edit (void)
{
  edit_during_fault ("{\"target\":\"store\",\"fault\":\"late\",\"ms\":700,"
                     "\"method\":\"PUT\",\"path\":\"/objects/catalogue\"}",
                     true);
}

static void
edit_during_an_outage_is_rejected (void)
{
  uint64_t before = cluster_generation (&cluster, 0);
  char name[32];

  inject_fault ("{\"target\":\"store\",\"fault\":\"outage\"}");
  check_status (add_entry (0, name), 503);
  inject_fault ("{\"fault\":\"clear\"}");
  CU_ASSERT_FALSE (catalogue_has (0, name));
  CU_ASSERT_EQUAL (cluster_generation (&cluster, 0), before);
  check_status (add_entry (0, name), 200);
  check_edit_is_active (name, before + 1);
}

static void
repeated_change_id_changes_once (void)
{
  uint64_t before = cluster_generation (&cluster, 0);
  char name[32];
  char text[ENTRY_BYTES];

  next_unique_name (name);
  account_entry (text, name, "sent twice");
  for (unsigned i = 0; i < 2; i++)
    {
      char header[64];
      cluster_answer_t answer;

      g_snprintf (header, sizeof header, "X-Change-Id: %s", name);
      cluster_operator_call (&answer, &cluster, i, "PUT", "/v1/catalogue",
                             CLUSTER_OPERATOR, header, text);
      CU_ASSERT_EQUAL (answer.http_status, 200);
      cluster_answer_clear (&answer);
      check_edit_is_active (name, before + 1);
    }
  CU_ASSERT_EQUAL (cluster_generation (&cluster, 0), before + 1);
}

static void
restored_store_resets_no_node (void)
{
  char name[32];
  uint64_t before;

  check_status (add_entry (0, name), 200);
  before = cluster_generation (&cluster, 0);
  check_edit_is_active (name, before);
  inject_fault ("{\"target\":\"store\",\"fault\":\"restore\",\"back\":1}");
  cluster_run_for (&cluster, 3 * GS_SEC);
  check_edit_is_active (name, before);
  /* A new node receives the higher generation from its peers.  */
  cluster_node_signal (&cluster, 3, SIGKILL);
  replace_node (3);
  check_edit_is_active (name, before);
  check_status (add_entry (1, name), 200);
  check_edit_is_active (name, before + 1);
}

static void
node_starts_from_its_peers_during_an_outage (void)
{
  uint64_t before = cluster_generation (&cluster, 0);

  cluster_node_signal (&cluster, 2, SIGKILL);
  cluster_node_renew (&cluster, 2);
  inject_fault ("{\"target\":\"store\",\"fault\":\"outage\"}");
  cluster_node_start (&cluster, 2);
  CU_ASSERT_TRUE (cluster_wait_ready (&cluster));
  CU_ASSERT_EQUAL (cluster_generation (&cluster, 2), before);
  start_calls (CALL_STREAM, 4, 2, 30);
  check_calls ();
  inject_fault ("{\"fault\":\"clear\"}");
}

static void
compacted_watch_misses_no_edit (void)
{
  uint64_t before = cluster_generation (&cluster, 0);
  char name[32];

  inject_fault ("{\"target\":\"store\",\"fault\":\"compact\"}");
  check_status (add_entry (4, name), 200);
  inject_fault ("{\"target\":\"store\",\"fault\":\"compact\"}");
  check_edit_is_active (name, before + 1);
}

static void
cut_watch_misses_no_edit (void)
{
  uint64_t before = cluster_generation (&cluster, 0);
  char name[32];

  inject_fault ("{\"target\":\"store\",\"fault\":\"lost\",\"path\":\"/watch\","
                "\"count\":4}");
  check_status (add_entry (3, name), 200);
  check_edit_is_active (name, before + 1);
  inject_fault ("{\"fault\":\"clear\"}");
}

static void
paused_node_catches_up (void)
{
  uint64_t before = cluster_generation (&cluster, 0);
  char name[32];

  cluster_node_signal (&cluster, 3, SIGSTOP);
  check_status (add_entry (0, name), 200);
  check_edit_is_active (name, before + 1);
  cluster_run_for (&cluster, PAUSE_DURATION);
  cluster_node_signal (&cluster, 3, SIGCONT);
  check_edit_is_active (name, before + 1);
  CU_ASSERT_TRUE (cluster_wait_ready (&cluster));
}

static void
node_without_store_and_peers_is_not_ready (void)
{
  inject_fault ("{\"target\":\"store\",\"fault\":\"outage\"}");
  start_with_wrong_key (4);
  CU_ASSERT_FALSE (is_ready (4));
  inject_fault ("{\"fault\":\"clear\"}");
  cluster_node_signal (&cluster, 4, SIGKILL);
  replace_node (4);
}

static void
nodes_are_ready_only_after_a_store_outage (void)
{
  uint64_t before = cluster_generation (&cluster, 0);

  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    {
      cluster_node_signal (&cluster, i, SIGKILL);
      cluster_node_renew (&cluster, i);
    }
  inject_fault ("{\"target\":\"store\",\"fault\":\"outage\"}");
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    cluster_node_start (&cluster, i);
  cluster_run_for (&cluster, 2 * GS_SEC);
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    CU_ASSERT_FALSE (is_ready (i));
  inject_fault ("{\"fault\":\"clear\"}");
  CU_ASSERT_TRUE (cluster_wait_ready (&cluster));
  CU_ASSERT_EQUAL (cluster_generation (&cluster, 0), before);
  start_calls (CALL_CHARGE, 4, 0, 0);
  check_calls ();
}

static const check_case_t cases[] = {
  { "an edit reaches every node", edit_reaches_every_node },
  { "edits of different entries are both in force",
    edits_of_different_entries_are_both_in_force },
  { "a later edit of the same entry conflicts",
    later_edit_of_the_same_entry_conflicts },
  { "two edits at once have one winner", two_edits_at_once_have_one_winner },
  { "an unknown operator is rejected", unknown_operator_is_rejected },
  { "an invalid edit changes nothing", invalid_edit_changes_nothing },
  { "a lost write answer is read back", lost_write_answer_is_read_back },
  { "a lost write is reported as such", lost_write_is_reported },
  { "a rejected write is reported as such", rejected_write_is_reported },
  { "a slow store delays an edit", slow_store_delays_an_edit },
  { "an edit during an outage is rejected",
    edit_during_an_outage_is_rejected },
  { "a repeated change id changes once", repeated_change_id_changes_once },
  { "a compacted watch misses no edit", compacted_watch_misses_no_edit },
  { "a cut watch misses no edit", cut_watch_misses_no_edit },
  { "a restored store resets no node to an older generation",
    restored_store_resets_no_node },
  { "a node starts from its peers during an outage",
    node_starts_from_its_peers_during_an_outage },
  { "a paused node catches up with the newest generation",
    paused_node_catches_up },
  { "a node without store and peers is not ready",
    node_without_store_and_peers_is_not_ready },
  { "nodes started in a store outage are ready only after it",
    nodes_are_ready_only_after_a_store_outage },
};

int
main (void)
{
  return control_run (SUITE, cases, G_N_ELEMENTS (cases));
}
