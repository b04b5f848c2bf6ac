#include "check.h"

#include "control/config.h"

#define PEER 77

static GArray *actions;

static gs_config_id_t
make_id (uint64_t generation, uint64_t digest)
{
  return (gs_config_id_t){ generation, digest };
}

static unsigned
count_actions (gs_config_action_kind_t kind)
{
  unsigned count = 0;

  for (guint i = 0; i < actions->len; i++)
    count += g_array_index (actions, gs_config_action_t, i).kind == kind;
  return count;
}

static void
start (gs_config_t *config, bool watcher)
{
  actions = g_array_new (FALSE, FALSE, sizeof (gs_config_action_t));
  gs_config_init (config, GS_SEC, 1);
  gs_config_watcher_set (config, GS_SEC, watcher);
}

static void
end (void)
{
  g_array_unref (actions);
}

/* Each case: text in force, text received from a peer or the store, and
   whether it must be adopted.  */
static void
only_a_later_text_is_adopted (void)
{
  static const struct
  {
    gs_config_id_t held;
    gs_config_id_t offered;
    bool adopted;
  } cases[] = {
    { { 0, 0 }, { 1, 5 }, true },  { { 1, 5 }, { 1, 5 }, false },
    { { 2, 5 }, { 1, 9 }, false }, { { 2, 5 }, { 3, 1 }, true },
    { { 2, 5 }, { 2, 6 }, true },  { { 2, 5 }, { 2, 4 }, false },
    { { 2, 5 }, { 0, 0 }, false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    for (int from_store = 0; from_store < 2; from_store++)
      {
        gs_config_t config;
        bool adopted;

        start (&config, false);
        gs_config_text_receive (&config, GS_SEC, cases[i].held, actions);
        g_array_set_size (actions, 0);
        adopted = from_store ? gs_config_read_done (&config, GS_SEC, GS_OK, 9,
                                                    cases[i].offered, actions)
                             : gs_config_text_receive (
                                 &config, GS_SEC, cases[i].offered, actions);
        CU_ASSERT_EQUAL (adopted, cases[i].adopted);
        CU_ASSERT_EQUAL (count_actions (GS_CONFIG_ADOPT), cases[i].adopted);
        CU_ASSERT_EQUAL (count_actions (GS_CONFIG_ANNOUNCE), cases[i].adopted);
        CU_ASSERT (gs_config_id_compare (config.current, adopted
                                                             ? cases[i].offered
                                                             : cases[i].held)
                   == 0);
        end ();
      }
}

static void
a_restored_store_is_repaired_by_a_watcher_only (void)
{
  for (int watcher = 0; watcher < 2; watcher++)
    {
      gs_config_t config;

      start (&config, watcher);
      gs_config_text_receive (&config, GS_SEC, make_id (6, 1), actions);
      gs_config_tick (&config, GS_SEC, actions);
      g_array_set_size (actions, 0);
      gs_config_read_done (&config, GS_SEC, GS_OK, 4, make_id (5, 1), actions);
      CU_ASSERT_EQUAL (config.current.generation, 6);
      CU_ASSERT_EQUAL (count_actions (GS_CONFIG_WRITE_BACK), watcher);
      if (watcher)
        {
          CU_ASSERT_EQUAL (
              g_array_index (actions, gs_config_action_t, 0).version, 4);
          gs_config_write_done (&config, GS_SEC, GS_ECONFLICT, 0);
          CU_ASSERT_EQUAL (config.current.generation, 6);
          CU_ASSERT_FALSE (config.store_busy);
        }
      end ();
    }
}

static void
a_read_follows_a_watch_that_reports_a_change_or_cannot_resume (void)
{
  static const struct
  {
    gs_status_t status;
    bool changed;
    unsigned reads;
  } cases[] = { { GS_OK, false, 0 },       { GS_OK, true, 1 },
                { GS_ELIMIT, false, 1 },   { GS_ENOTFOUND, false, 1 },
                { GS_EREFUSED, false, 0 }, { GS_EUNKNOWN, false, 0 },
                { GS_ETIMEOUT, false, 0 }, { GS_EUNREACHABLE, false, 0 } };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      gs_config_t config;

      start (&config, true);
      gs_config_tick (&config, GS_SEC, actions);
      CU_ASSERT_EQUAL (count_actions (GS_CONFIG_READ), 1);
      gs_config_read_done (&config, GS_SEC, GS_OK, 3, make_id (1, 1), actions);
      gs_config_tick (&config, GS_SEC, actions);
      CU_ASSERT_EQUAL (count_actions (GS_CONFIG_WATCH), 1);
      g_array_set_size (actions, 0);
      gs_config_watch_done (&config, 2 * GS_SEC, cases[i].status, 3,
                            cases[i].changed, actions);
      CU_ASSERT_EQUAL (count_actions (GS_CONFIG_READ), cases[i].reads);
      end ();
    }
}

/* Back-off limits the calls of a watcher to a store that keeps failing.  */
static void
calls_to_a_failing_store_are_bounded (void)
{
  gs_config_t config;
  unsigned calls = 0;

  start (&config, true);
  for (gs_time_t now = GS_SEC; now < 3601 * GS_SEC; now += 100 * GS_MSEC)
    {
      gs_config_announcement_receive (&config, now, PEER, make_id (1, 1),
                                      actions);
      g_array_set_size (actions, 0);
      gs_config_tick (&config, now, actions);
      if (count_actions (GS_CONFIG_READ) + count_actions (GS_CONFIG_WATCH)
          == 0)
        continue;
      calls++;
      gs_config_read_done (&config, now, GS_EREFUSED, 0, make_id (0, 0),
                           actions);
    }
  CU_ASSERT (calls >= 3600 * GS_SEC / GS_CONFIG_BACKOFF_MAX);
  CU_ASSERT (calls <= 2 * 3600 * GS_SEC / GS_CONFIG_BACKOFF_MAX + 10);
  end ();
}

static void
a_node_is_ready_only_while_in_contact_with_store_or_peers (void)
{
  gs_config_t config;
  gs_time_t now = GS_SEC;

  start (&config, false);
  CU_ASSERT (gs_config_ready_until (&config, now) <= now);
  /* With the store alone the node is ready only after the time in which peers
     are awaited.  */
  gs_config_read_done (&config, now, GS_OK, 1, make_id (1, 1), actions);
  CU_ASSERT (gs_config_ready_until (&config, now) <= now);
  now += GS_SEC;
  CU_ASSERT (gs_config_ready_until (&config, now) > now);
  now += GS_CONFIG_ISOLATION_TIMEOUT;
  CU_ASSERT (gs_config_ready_until (&config, now) <= now);
  gs_config_announcement_receive (&config, now, PEER, make_id (1, 1), actions);
  CU_ASSERT (gs_config_ready_until (&config, now)
             == now + GS_CONFIG_ISOLATION_TIMEOUT);
  now += GS_CONFIG_ISOLATION_TIMEOUT;
  CU_ASSERT (gs_config_ready_until (&config, now) <= now);
  end ();
}

static void
a_node_without_peers_reads_the_store_before_its_readiness_ends (void)
{
  gs_config_t config;
  gs_time_t now = 10 * GS_SEC;

  start (&config, false);
  gs_config_text_receive (&config, now, make_id (1, 1), actions);
  g_array_set_size (actions, 0);
  gs_config_tick (&config, now + GS_SEC, actions);
  CU_ASSERT_EQUAL (actions->len, 0);
  gs_config_tick (&config, now + GS_CONFIG_ISOLATION_TIMEOUT - GS_SEC,
                  actions);
  CU_ASSERT_EQUAL (count_actions (GS_CONFIG_READ), 1);
  end ();
}

static void
an_unanswered_pull_is_repeated (void)
{
  gs_config_t config;

  start (&config, false);
  gs_config_announcement_receive (&config, GS_SEC, PEER, make_id (4, 1),
                                  actions);
  CU_ASSERT_EQUAL (count_actions (GS_CONFIG_PULL), 1);
  CU_ASSERT_FALSE (gs_config_is_editable (&config));
  gs_config_announcement_receive (&config, GS_SEC + 1, PEER, make_id (4, 1),
                                  actions);
  CU_ASSERT_EQUAL (count_actions (GS_CONFIG_PULL), 1);
  gs_config_tick (&config, GS_SEC + GS_CONFIG_PULL_TIMEOUT, actions);
  CU_ASSERT_EQUAL (count_actions (GS_CONFIG_PULL), 2);
  gs_config_text_receive (&config, 2 * GS_SEC, make_id (4, 1), actions);
  CU_ASSERT_TRUE (gs_config_is_editable (&config));
  end ();
}

static void
edits_resume_when_the_only_peer_with_a_later_text_is_lost (void)
{
  gs_config_t config;

  start (&config, false);
  gs_config_text_receive (&config, GS_SEC, make_id (3, 1), actions);
  gs_config_announcement_receive (&config, GS_SEC, PEER, make_id (4, 1),
                                  actions);
  CU_ASSERT_FALSE (gs_config_is_editable (&config));
  gs_config_peer_remove (&config, PEER);
  CU_ASSERT_TRUE (gs_config_is_editable (&config));
  end ();
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "only_a_later_text_is_adopted", only_a_later_text_is_adopted },
    { "a_restored_store_is_repaired_by_a_watcher_only",
      a_restored_store_is_repaired_by_a_watcher_only },
    { "a_read_follows_a_watch_that_reports_a_change_or_cannot_resume",
      a_read_follows_a_watch_that_reports_a_change_or_cannot_resume },
    { "calls_to_a_failing_store_are_bounded",
      calls_to_a_failing_store_are_bounded },
    { "a_node_is_ready_only_while_in_contact_with_store_or_peers",
      a_node_is_ready_only_while_in_contact_with_store_or_peers },
    { "a_node_without_peers_reads_the_store_before_its_readiness_ends",
      a_node_without_peers_reads_the_store_before_its_readiness_ends },
    { "an_unanswered_pull_is_repeated", an_unanswered_pull_is_repeated },
    { "edits_resume_when_the_only_peer_with_a_later_text_is_lost",
      edits_resume_when_the_only_peer_with_a_later_text_is_lost },
  };

  return CHECK_RUN ("config", cases);
}
