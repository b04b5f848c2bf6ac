#include "check.h"
#include "stream_steps.h"

#include <signal.h>
#include <string.h>

/* Guards against streams that go on at a replica with another software version
   than the one that began them, after a lost replica or when their callers
   resume them at any node.  */

/* Time in which all nodes know of a stream that has begun.  */
#define KNOWN_TIMEOUT GS_SEC
/* A stream that can't go on is refused within this time.  */
#define REFUSAL_TIMEOUT (1500 * GS_MSEC)
/* Nine tenths of the streams whose version still has replicas.  */
#define CONTINUED_MIN(count) (((count)*9 + 9) / 10)
/* Longer than a stream may last.  */
#define OLD_AGE (3600 * GS_SEC)
#define RECORD_TIMEOUT (8 * GS_SEC)
/* Starts gateways and four replicas, half of them with a second version.  */
static void
start_two_versions (unsigned gateways)
{
  start_world (WORLD_REPLICAS_DEFAULT);
  gw_replica_version_set (&world, 2, "v2");
  gw_replica_version_set (&world, 3, "v2");
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  for (unsigned i = 0; i < gateways; i++)
    gw_start (&world, i, true);
  g_usleep ((gulong)KNOWN_TIMEOUT);
}

static void
a_stream_is_resumed_at_its_version_at_any_node (void)
{
  outcome_t outcome;

  start_two_versions (2);
  begin_streams (2);
  g_usleep ((gulong)KNOWN_TIMEOUT);
  outcome = resume_streams (2);
  CU_ASSERT_EQUAL (outcome.elsewhere, 0);
  CU_ASSERT_EQUAL (outcome.complete, STREAMS);
  end_world ();
}

static void
a_stream_is_resumed_at_its_version_at_a_node_that_has_restarted (void)
{
  outcome_t outcome;

  start_two_versions (2);
  begin_streams (2);
  g_usleep ((gulong)KNOWN_TIMEOUT);
  gw_signal (&world, 1, SIGKILL);
  gw_start (&world, 1, true);
  g_usleep ((gulong)KNOWN_TIMEOUT);
  outcome = resume_streams (2);
  CU_ASSERT_EQUAL (outcome.elsewhere, 0);
  CU_ASSERT_EQUAL (outcome.complete, STREAMS);
  end_world ();
}

static void
a_stream_that_no_node_knows_is_refused_while_two_versions_serve (void)
{
  gs_time_t start;
  outcome_t outcome;

  start_two_versions (2);
  begin_streams (2);
  for (unsigned i = 0; i < 2; i++)
    gw_signal (&world, i, SIGKILL);
  /* What the nodes kept in the store is lost as well.  */
  gw_object_remove (&world, "gateway-origins", "node-0");
  gw_object_remove (&world, "gateway-origins", "node-1");
  for (unsigned i = 0; i < 2; i++)
    gw_start (&world, i, true);
  start = gs_clock_now ();
  outcome = resume_streams (2);
  CU_ASSERT_EQUAL (outcome.elsewhere, 0);
  CU_ASSERT_EQUAL (outcome.complete + outcome.refused, STREAMS);
  CU_ASSERT (gs_clock_now () < start + REFUSAL_TIMEOUT);
  end_world ();
}

static void
a_stream_is_refused_at_once_when_its_version_is_gone (void)
{
  gs_time_t start;
  outcome_t outcome;

  start_two_versions (2);
  begin_streams (2);
  for (unsigned i = 0; i < 2; i++)
    gw_replica_publish (&world, i, "draining");
  g_usleep ((gulong)KNOWN_TIMEOUT);
  start = gs_clock_now ();
  outcome = resume_streams (2);
  CU_ASSERT_EQUAL (outcome.elsewhere, 0);
  CU_ASSERT_EQUAL (outcome.complete + outcome.refused, STREAMS);
  CU_ASSERT (outcome.complete < STREAMS);
  CU_ASSERT (gs_clock_now () < start + REFUSAL_TIMEOUT);
  end_world ();
}

static void
a_stream_is_resumed_without_knowledge_while_one_version_serves (void)
{
  outcome_t outcome;

  start_world (2);
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  for (unsigned i = 0; i < 2; i++)
    gw_start (&world, i, true);
  begin_streams (2);
  for (unsigned i = 0; i < 2; i++)
    gw_signal (&world, i, SIGKILL);
  for (unsigned i = 0; i < 2; i++)
    gw_start (&world, i, true);
  outcome = resume_streams (2);
  CU_ASSERT_EQUAL (outcome.elsewhere, 0);
  CU_ASSERT_EQUAL (outcome.complete, STREAMS);
  end_world ();
}

/* All streams begin before there is a second version, so no node has told
   another one of them.  Guards also against a node that has not heard of the
   replicas of the second version, which have the addresses of earlier ones. */
static void
streams_go_on_while_an_upgrade_rolls (void)
{
  static const gs_time_t delays[] = { 0, 20 * GS_MSEC, 100 * GS_MSEC };

  for (size_t i = 0; i < G_N_ELEMENTS (delays); i++)
    {
      outcome_t outcome;

      start_world (WORLD_REPLICAS_DEFAULT);
      gw_configure (&world, 1, "/a/", WORLD_API_KEY);
      for (unsigned j = 0; j < 2; j++)
        gw_start (&world, j, true);
      g_usleep ((gulong)KNOWN_TIMEOUT);
      begin_streams (2);
      gw_replica_version_set (&world, 2, "v2");
      gw_replica_version_set (&world, 3, "v2");
      g_usleep ((gulong)delays[i]);
      outcome = resume_streams (2);
      CU_ASSERT_EQUAL (outcome.elsewhere, 0);
      CU_ASSERT_EQUAL (outcome.complete, STREAMS);
      end_world ();
    }
}

/* Streams of a round that lose their replica: fewer than the failures in a row
   after which a replica is left out.  */
#define SENT_AGAIN 2
#define SENT_AGAIN_ROUNDS 3

/* A replica is lost before the first event.  Guards against a stream that goes
   to another version while the one that was recorded for it may stand in the
   store.  */
static void
a_stream_that_is_sent_again_keeps_its_version (void)
{
  for (unsigned round = 0; round < SENT_AGAIN_ROUNDS; round++)
    {
      raw_conn_t conns[SENT_AGAIN];
      char id[32];

      start_two_versions (1);
      for (unsigned i = 0; i < SENT_AGAIN; i++)
        {
          CU_ASSERT_TRUE_FATAL (gw_connect (&conns[i], &world, 0));
          g_snprintf (id, sizeof id, "again-%u", i);
          send_stream_request (&conns[i], "die-once", id, "");
        }
      for (unsigned i = 0; i < SENT_AGAIN; i++)
        {
          GString *answer = raw_read_until (&conns[i], 4 * GS_SEC, NULL);
          const arrival_t *first;

          g_snprintf (id, sizeof id, "again-%u", i);
          first = gw_arrival_find (&world, id);
          CU_ASSERT_PTR_NOT_NULL (first);
          if (first != NULL)
            CU_ASSERT_EQUAL (
                g_strcmp0 (first->version != NULL ? first->version : "v1",
                           gw_arrival_version (&world, id)),
                0);
          CU_ASSERT_EQUAL (gw_arrivals_count (&world, id), 2);
          CU_ASSERT_TRUE (is_complete_stream (answer->str, EVENT_COUNT));
          raw_close (&conns[i]);
          g_string_free (answer, TRUE);
        }
      end_world ();
    }
}

/* The replica is lost within an event, and the node resumes the stream.  */
static void
a_stream_goes_on_at_its_version_when_a_replica_is_lost (void)
{
  raw_conn_t conns[STREAMS];
  unsigned elsewhere = 0;
  unsigned complete = 0;
  char id[32];

  start_two_versions (1);
  for (unsigned i = 0; i < STREAMS; i++)
    {
      CU_ASSERT_TRUE_FATAL (gw_connect (&conns[i], &world, 0));
      g_snprintf (id, sizeof id, "torn-%u", i);
      send_stream_request (&conns[i], "torn-once", id, "");
    }
  for (unsigned i = 0; i < STREAMS; i++)
    {
      GString *answer = raw_read_until (&conns[i], 4 * GS_SEC, NULL);
      const arrival_t *first;

      g_snprintf (id, sizeof id, "torn-%u", i);
      first = gw_arrival_find (&world, id);
      elsewhere
          += first != NULL
             && g_strcmp0 (first->version != NULL ? first->version : "v1",
                           gw_arrival_version (&world, id))
                    != 0;
      complete += is_complete_stream (answer->str, EVENT_COUNT);
      raw_close (&conns[i]);
      g_string_free (answer, TRUE);
    }
  printf ("\n  %u of %u streams complete, %u at another version ", complete,
          STREAMS, elsewhere);
  CU_ASSERT_EQUAL (elsewhere, 0);
  CU_ASSERT_EQUAL (complete, STREAMS);
  end_world ();
}

/* A release of two replicas beside two of the first version, with a kill of
   all nodes.  */
typedef struct
{
  const char *name;
  bool begins_mixed;  /* streams begin while both versions serve */
  gs_time_t kill_at;  /* after the second version is listed, if they do not */
  unsigned removed;   /* replicas of the first version that are removed */
  int removal;        /* before (-1), during (0) or after (1) the kill */
  bool store_is_down; /* while the second version appears */
} release_step_t;

static bool
is_recorded (void *context)
{
  return gw_object_contains (&world, "gateway-versions", "pool", context);
}

static void
kill_all (unsigned gateways)
{
  for (unsigned i = 0; i < gateways; i++)
    gw_signal (&world, i, SIGKILL);
}

static void
start_all (unsigned gateways)
{
  for (unsigned i = 0; i < gateways; i++)
    gw_start (&world, i, false);
  for (unsigned i = 0; i < gateways; i++)
    while (!gw_is_ready (&world, i))
      g_usleep (10000);
}

/* A replica that is removed runs no more requests.  */
static void
remove_replicas (unsigned count)
{
  char id[16];

  for (unsigned i = 0; i < count; i++)
    {
      g_snprintf (id, sizeof id, "i-%u", i);
      gw_object_remove (&world, "servers", id);
      gw_replica_crash (&world, i);
    }
}

/* @return streams whose version still has replicas  */
static unsigned
count_continuable (const release_step_t *step)
{
  unsigned count = 0;
  char id[32];

  for (unsigned i = 0; i < STREAMS; i++)
    {
      g_snprintf (id, sizeof id, "begun-%u", i);
      count += step->removed < 2
               || g_strcmp0 (gw_arrival_version (&world, id), "v2") == 0;
    }
  return count;
}

/* Writes the record that an earlier fleet has left, of one version that has
   served for long.  */
static void
write_old_record (void)
{
  json_int_t from = (gs_clock_wall () - OLD_AGE) / GS_MSEC;

  gw_object_put (&world, "gateway-versions", "pool",
                 json_pack ("{s:i, s:I, s:i, s:[{s:s, s:I}]}", "era", 0,
                            "complete_from_ms", from, "gap_until_ms", 0,
                            "versions", "version", "v1", "from_ms", from));
}

static void
start_release (const release_step_t *step)
{
  start_world (WORLD_REPLICAS_DEFAULT);
  gw_replicas_age_set (&world, OLD_AGE);
  if (!step->begins_mixed)
    {
      gw_object_remove (&world, "servers", "i-2");
      gw_object_remove (&world, "servers", "i-3");
      write_old_record ();
    }
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  for (unsigned i = 0; i < 2; i++)
    gw_start (&world, i, true);
  CU_ASSERT_TRUE (gw_wait_until (is_recorded, "v1", RECORD_TIMEOUT));
  if (step->begins_mixed)
    {
      gw_replica_version_set (&world, 2, "v2");
      gw_replica_version_set (&world, 3, "v2");
      CU_ASSERT_TRUE (gw_wait_until (is_recorded, "v2", RECORD_TIMEOUT));
    }
  g_usleep ((gulong)KNOWN_TIMEOUT);
  begin_streams (2);
}

static void
run_release_step (const release_step_t *step)
{
  unsigned continuable;
  gs_time_t start;
  outcome_t outcome;

  start_release (step);
  if (step->store_is_down)
    gw_store_set_mode (&world, STORE_DROPS_RESPONSES);
  if (!step->begins_mixed)
    {
      gw_replica_version_set (&world, 2, "v2");
      gw_replica_version_set (&world, 3, "v2");
    }
  g_usleep ((gulong)(step->begins_mixed ? KNOWN_TIMEOUT : step->kill_at));
  if (step->removal < 0)
    remove_replicas (step->removed);
  kill_all (2);
  if (step->removal == 0)
    remove_replicas (step->removed);
  gw_store_set_mode (&world, STORE_NORMAL);
  start_all (2);
  if (step->removal > 0)
    {
      remove_replicas (step->removed);
      g_usleep ((gulong)KNOWN_TIMEOUT);
    }
  continuable = count_continuable (step);
  start = gs_clock_now ();
  printf ("\n  %s: %u can go on", step->name, continuable);
  outcome = resume_streams (2);
  CU_ASSERT_EQUAL (outcome.elsewhere, 0);
  CU_ASSERT_EQUAL (outcome.complete + outcome.refused, STREAMS);
  CU_ASSERT (outcome.complete >= CONTINUED_MIN (continuable));
  CU_ASSERT (gs_clock_now () < start + REFUSAL_TIMEOUT);
  end_world ();
}

/* Guards against streams that are refused, or go on at another version,
   because all nodes that knew their versions were killed.  */
static void
streams_go_on_at_their_versions_after_a_kill_of_all_nodes (void)
{
  static const release_step_t steps[] = {
    { .name = "both versions stay", .begins_mixed = true },
    { .name = "old version removed just before the kill",
      .begins_mixed = true,
      .removed = 2,
      .removal = -1 },
    { .name = "old version removed during the kill",
      .begins_mixed = true,
      .removed = 2 },
    { .name = "old version removed just after the kill",
      .begins_mixed = true,
      .removed = 2,
      .removal = 1 },
    { .name = "half of the old version removed",
      .begins_mixed = true,
      .removed = 1 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    run_release_step (&steps[i]);
}

/* Guards against the same when the nodes are killed before, while and after
   the second version is recorded, and when the store fails meanwhile.  */
static void
streams_go_on_after_a_kill_at_each_step_of_a_release (void)
{
  static const release_step_t steps[] = {
    { .name = "killed as the second version appears" },
    { .name = "killed after 100 ms", .kill_at = 100 * GS_MSEC },
    { .name = "killed after 300 ms", .kill_at = 300 * GS_MSEC },
    { .name = "killed after 600 ms", .kill_at = 600 * GS_MSEC },
    { .name = "killed after 1500 ms", .kill_at = 1500 * GS_MSEC },
    { .name = "old version removed at once, then killed",
      .removed = 2,
      .removal = -1 },
    { .name = "old version removed while all are down",
      .kill_at = 300 * GS_MSEC,
      .removed = 2 },
    { .name = "responses of the store lost",
      .kill_at = 600 * GS_MSEC,
      .store_is_down = true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    run_release_step (&steps[i]);
}

/* The only version that the new processes see has been running for long, and
   another one began the streams.  Guards against a node that takes it for the
   only one that has served.  */
static void
a_version_that_left_while_all_were_down_is_not_forgotten (void)
{
  outcome_t outcome;

  start_release (&(release_step_t){ .begins_mixed = false });
  kill_all (2);
  remove_replicas (2);
  gw_replica_version_set (&world, 2, "v2");
  gw_replica_version_set (&world, 3, "v2");
  start_all (2);
  outcome = resume_streams (2);
  CU_ASSERT_EQUAL (outcome.elsewhere, 0);
  CU_ASSERT_EQUAL (outcome.refused, STREAMS);
  end_world ();
}

/* Guards against a node that has not read which versions have served and takes
   the listed one for the only one.  */
static void
streams_are_refused_while_the_record_cannot_be_read (void)
{
  outcome_t outcome;

  start_release (&(release_step_t){ .begins_mixed = false });
  gw_signal (&world, 1, SIGKILL);
  gw_store_set_mode_for (&world, 1, STORE_UNAVAILABLE);
  remove_replicas (2);
  gw_replica_version_set (&world, 2, "v2");
  gw_replica_version_set (&world, 3, "v2");
  gw_start (&world, 1, true);
  outcome = resume_streams (2);
  CU_ASSERT_EQUAL (outcome.elsewhere, 0);
  CU_ASSERT_EQUAL (outcome.refused, STREAMS);
  end_world ();
}

/* The copy was made before the second version was recorded.  */
static void
streams_are_refused_after_the_store_lost_the_record (void)
{
  outcome_t outcome;

  start_release (&(release_step_t){ .begins_mixed = false });
  gw_store_copy (&world);
  gw_replica_version_set (&world, 2, "v2");
  gw_replica_version_set (&world, 3, "v2");
  CU_ASSERT_TRUE (gw_wait_until (is_recorded, "v2", RECORD_TIMEOUT));
  kill_all (2);
  gw_store_set_back (&world);
  remove_replicas (2);
  gw_replica_version_set (&world, 2, "v2");
  gw_replica_version_set (&world, 3, "v2");
  start_all (2);
  outcome = resume_streams (2);
  CU_ASSERT_EQUAL (outcome.elsewhere, 0);
  CU_ASSERT_EQUAL (outcome.refused, STREAMS);
  end_world ();
}

static unsigned
count_begun_at (const char *version)
{
  unsigned count = 0;
  char id[32];

  for (unsigned i = 0; i < STREAMS; i++)
    {
      g_snprintf (id, sizeof id, "begun-%u", i);
      count += g_strcmp0 (gw_arrival_version (&world, id), version) == 0;
    }
  return count;
}

/* Guards against streams whose version nobody knows after a kill of all nodes,
   because it was in use before it was recorded.  */
static void
a_version_that_is_not_recorded_begins_no_stream (void)
{
  outcome_t outcome;

  start_world (WORLD_REPLICAS_DEFAULT);
  gw_replicas_age_set (&world, OLD_AGE);
  gw_object_remove (&world, "servers", "i-2");
  gw_object_remove (&world, "servers", "i-3");
  write_old_record ();
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  gw_store_lock_kind (&world, "gateway-versions");
  for (unsigned i = 0; i < 2; i++)
    gw_start (&world, i, true);
  gw_replica_version_set (&world, 2, "v2");
  gw_replica_version_set (&world, 3, "v2");
  g_usleep ((gulong)(2 * KNOWN_TIMEOUT));
  begin_streams (2);
  CU_ASSERT_EQUAL (count_begun_at ("v1"), STREAMS);
  kill_all (2);
  start_all (2);
  outcome = resume_streams (2);
  CU_ASSERT_EQUAL (outcome.elsewhere, 0);
  CU_ASSERT_EQUAL (outcome.complete, STREAMS);
  end_world ();
}

/* The version that is not recorded serves when the recorded one has left.
   Guards against a node that takes all streams for those of the recorded one
   when replicas of it are back.  */
static void
streams_of_a_version_that_was_never_recorded_are_not_joined (void)
{
  outcome_t outcome;

  start_world (WORLD_REPLICAS_DEFAULT);
  gw_replicas_age_set (&world, OLD_AGE);
  gw_object_remove (&world, "servers", "i-2");
  gw_object_remove (&world, "servers", "i-3");
  write_old_record ();
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  gw_store_lock_kind (&world, "gateway-versions");
  for (unsigned i = 0; i < 2; i++)
    gw_start (&world, i, true);
  gw_replica_version_set (&world, 2, "v2");
  gw_replica_version_set (&world, 3, "v2");
  gw_object_remove (&world, "servers", "i-0");
  gw_object_remove (&world, "servers", "i-1");
  g_usleep ((gulong)KNOWN_TIMEOUT);
  begin_streams (2);
  CU_ASSERT_EQUAL (count_begun_at ("v2"), STREAMS);
  gw_store_lock_kind (&world, "gateway-origins");
  kill_all (2);
  gw_object_remove (&world, "gateway-origins", "node-0");
  gw_object_remove (&world, "gateway-origins", "node-1");
  gw_replicas_age_set (&world, GS_SEC);
  start_all (2);
  outcome = resume_streams (2);
  CU_ASSERT_EQUAL (outcome.elsewhere, 0);
  CU_ASSERT_EQUAL (outcome.refused, STREAMS);
  end_world ();
}

/* A second version joins while the last of the gateways stands still, and
   streams begin at the others.  */
static void
start_release_beside_stopped_node (unsigned gateways)
{
  start_world (WORLD_REPLICAS_DEFAULT);
  gw_replicas_age_set (&world, OLD_AGE);
  gw_object_remove (&world, "servers", "i-2");
  gw_object_remove (&world, "servers", "i-3");
  write_old_record ();
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  for (unsigned i = 0; i < gateways; i++)
    gw_start (&world, i, true);
  g_usleep ((gulong)KNOWN_TIMEOUT);
  gw_signal (&world, gateways - 1, SIGSTOP);
  gw_replica_version_set (&world, 2, "v2");
  gw_replica_version_set (&world, 3, "v2");
  CU_ASSERT_TRUE (gw_wait_until (is_recorded, "v2", RECORD_TIMEOUT));
  g_usleep ((gulong)KNOWN_TIMEOUT);
  begin_streams (gateways - 1);
  CU_ASSERT (count_begun_at ("v2") > 0);
}

/* The requests wait in the node's sockets when it goes on.  */
static void
a_node_that_stood_still_while_a_version_joined_joins_no_streams (void)
{
  for (unsigned gateways = 2; gateways <= 3; gateways++)
    {
      raw_conn_t conns[STREAMS];
      outcome_t outcome;

      start_release_beside_stopped_node (gateways);
      for (unsigned i = 0; i < STREAMS; i++)
        send_resume (&conns[i], i, gateways - 1);
      gw_signal (&world, gateways - 1, SIGCONT);
      outcome = read_resumed (conns);
      CU_ASSERT_EQUAL (outcome.elsewhere, 0);
      CU_ASSERT (outcome.complete >= CONTINUED_MIN (STREAMS));
      CU_ASSERT_EQUAL (outcome.complete + outcome.refused, STREAMS);
      end_world ();
    }
}

/* Sends a request that resumes a stream which began at no node.  */
static void
send_unknown_resume (raw_conn_t *conn, unsigned stream, unsigned gateway)
{
  char headers[96];
  char id[32];

  CU_ASSERT_TRUE_FATAL (gw_connect (conn, &world, gateway));
  g_snprintf (id, sizeof id, "unknown-%u", stream);
  g_snprintf (headers, sizeof headers,
              "Last-Event-Id: %u\r\nResumes: elsewhere-%u\r\n", EVENTS_READ,
              stream);
  send_stream_request (conn, "good", id, headers);
}

static void
expect_unknown_refused (raw_conn_t conns[STREAMS])
{
  char id[32];

  for (unsigned i = 0; i < STREAMS; i++)
    {
      GString *answer = raw_read_until (&conns[i], 4 * GS_SEC, NULL);

      g_snprintf (id, sizeof id, "unknown-%u", i);
      CU_ASSERT_EQUAL (status_of (answer->str), 503);
      CU_ASSERT_PTR_NULL (gw_arrival_version (&world, id));
      raw_close (&conns[i]);
      g_string_free (answer, TRUE);
    }
}

/* The others stand still in turn, so that the node hears nothing more of them;
   a message with streams may wait in its sockets.  */
static void
a_node_that_is_cut_off_while_a_version_joins_joins_no_streams (void)
{
  raw_conn_t conns[STREAMS];
  raw_conn_t unknown[STREAMS];
  outcome_t outcome;

  start_release_beside_stopped_node (2);
  gw_store_set_mode_for (&world, 1, STORE_SILENT);
  gw_signal (&world, 0, SIGSTOP);
  gw_signal (&world, 1, SIGCONT);
  for (unsigned i = 0; i < STREAMS; i++)
    {
      send_resume (&conns[i], i, 1);
      send_unknown_resume (&unknown[i], i, 1);
    }
  outcome = read_resumed (conns);
  expect_unknown_refused (unknown);
  CU_ASSERT_EQUAL (outcome.elsewhere, 0);
  CU_ASSERT_EQUAL (outcome.complete + outcome.refused, STREAMS);
  gw_signal (&world, 0, SIGCONT);
  end_world ();
}

/* Guards against nodes that refuse what they may resume because they cannot
   ask the store.  */
static void
streams_go_on_while_the_store_is_away_and_one_version_serves (void)
{
  raw_conn_t conns[STREAMS];
  outcome_t outcome;

  start_world (WORLD_REPLICAS_DEFAULT);
  gw_replicas_age_set (&world, OLD_AGE);
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  for (unsigned i = 0; i < 3; i++)
    gw_start (&world, i, true);
  g_usleep ((gulong)KNOWN_TIMEOUT);
  begin_streams (3);
  gw_store_set_mode (&world, STORE_SILENT);
  gw_signal (&world, 0, SIGKILL);
  for (unsigned i = 0; i < STREAMS; i++)
    send_resume (&conns[i], i, 1 + i % 2);
  outcome = read_resumed (conns);
  CU_ASSERT_EQUAL (outcome.complete, STREAMS);
  end_world ();
}

static const check_case_t cases[] = {
  { "a node that stood still while a version joined joins no streams",
    a_node_that_stood_still_while_a_version_joined_joins_no_streams },
  { "a node that is cut off while a version joins joins no streams",
    a_node_that_is_cut_off_while_a_version_joins_joins_no_streams },
  { "streams go on while the store is away and one version serves",
    streams_go_on_while_the_store_is_away_and_one_version_serves },
  { "a version that is not recorded begins no stream",
    a_version_that_is_not_recorded_begins_no_stream },
  { "streams of a version that was never recorded are not joined",
    streams_of_a_version_that_was_never_recorded_are_not_joined },
  { "a stream that is sent again keeps its version",
    a_stream_that_is_sent_again_keeps_its_version },
  { "a version that left while all were down is not forgotten",
    a_version_that_left_while_all_were_down_is_not_forgotten },
  { "streams are refused after the store lost the record",
    streams_are_refused_after_the_store_lost_the_record },
  { "streams are refused while the record cannot be read",
    streams_are_refused_while_the_record_cannot_be_read },
  { "streams go on after a kill at each step of a release",
    streams_go_on_after_a_kill_at_each_step_of_a_release },
  { "streams go on at their versions after a kill of all nodes",
    streams_go_on_at_their_versions_after_a_kill_of_all_nodes },
  { "a stream goes on at its version when a replica is lost",
    a_stream_goes_on_at_its_version_when_a_replica_is_lost },
  { "a stream is refused at once when its version is gone",
    a_stream_is_refused_at_once_when_its_version_is_gone },
  { "a stream is resumed at its version at a node that has restarted",
    a_stream_is_resumed_at_its_version_at_a_node_that_has_restarted },
  { "a stream is resumed at its version at any node",
    a_stream_is_resumed_at_its_version_at_any_node },
  { "a stream is resumed without knowledge while one version serves",
    a_stream_is_resumed_without_knowledge_while_one_version_serves },
  { "a stream that no node knows is refused while two versions serve",
    a_stream_that_no_node_knows_is_refused_while_two_versions_serve },
  { "streams go on while an upgrade rolls",
    streams_go_on_while_an_upgrade_rolls },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_versions", cases);
}
