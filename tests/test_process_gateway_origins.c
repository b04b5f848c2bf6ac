#include "check.h"
#include "stream_steps.h"

#include <signal.h>

/* Guards against streams that nodes refuse, although others knew which version
   began them, because a node that has just started, or whose record is in
   doubt, cannot tell that one version alone has served.  The nodes that know
   the streams have no such doubt.  */

/* Time in which all nodes, and the store, know of a stream.  */
#define KNOWN_TIMEOUT GS_SEC
/* Longer than a stream may last.  */
#define OLD_AGE (3600 * GS_SEC)
#define FIRST_REPLICAS 2

typedef struct
{
  const char *name;
  /* Gives nodes that start later on a reason for doubt.  */
  void (*prepare) (void);
  /* Undoes it, after a node has started; or NULL.  */
  void (*recover) (void);
} doubt_t;

/* The store comes back from an older copy.  */
static void
set_store_back (void)
{
  gw_store_copy (&world);
  g_usleep ((gulong)KNOWN_TIMEOUT);
  gw_store_set_back (&world);
  g_usleep ((gulong)KNOWN_TIMEOUT);
}

static void
set_store_back_twice (void)
{
  set_store_back ();
  set_store_back ();
}

static void
start_replicas (const char *version)
{
  for (unsigned i = FIRST_REPLICAS; i < WORLD_REPLICAS_DEFAULT; i++)
    {
      world.replicas[i].started_ms = gs_clock_wall () / GS_MSEC;
      if (version != NULL)
        gw_replica_version_set (&world, i, version);
      else
        gw_replica_publish (&world, i, "ready");
    }
  g_usleep ((gulong)KNOWN_TIMEOUT);
}

/* Replicas of the same version replace all others.  */
static void
replace_replicas (void)
{
  start_replicas (NULL);
  for (unsigned i = 0; i < FIRST_REPLICAS; i++)
    gw_replica_publish (&world, i, "draining");
  g_usleep ((gulong)KNOWN_TIMEOUT);
  for (unsigned i = 0; i < FIRST_REPLICAS; i++)
    gw_object_remove (&world, "servers", world.replicas[i].id);
  g_usleep ((gulong)KNOWN_TIMEOUT);
}

static void
add_version (void)
{
  start_replicas ("v2");
}

static void
set_store_back_and_add_version (void)
{
  set_store_back ();
  add_version ();
}

static void
silence_store (void)
{
  gw_store_set_mode (&world, STORE_SILENT);
}

static void
restore_store (void)
{
  gw_store_set_mode (&world, STORE_NORMAL);
}

static const doubt_t doubts[] = {
  { "the store came back from a copy", set_store_back, NULL },
  { "the store came back twice", set_store_back_twice, NULL },
  { "all replicas were replaced", replace_replicas, NULL },
  { "the store is away", silence_store, restore_store },
  { "another version serves as well", add_version, NULL },
  { "another version joined after the store came back",
    set_store_back_and_add_version, NULL },
};

/* Two nodes and replicas of one version, which have run for long.
   @param first_era first number that the store names as its era  */
static void
start_nodes (unsigned first_era)
{
  start_world (WORLD_REPLICAS_DEFAULT);
  world.era = 1;
  world.era_offset = 1 - first_era;
  gw_replicas_age_set (&world, OLD_AGE);
  for (unsigned i = FIRST_REPLICAS; i < WORLD_REPLICAS_DEFAULT; i++)
    gw_object_remove (&world, "servers", world.replicas[i].id);
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  for (unsigned i = 0; i < 2; i++)
    gw_start (&world, i, true);
  world.started_before = true;
  g_usleep ((gulong)KNOWN_TIMEOUT);
}

static void
streams_go_on_at_a_node_that_started_in_doubt_after_their_node_ended (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (doubts); i++)
    {
      raw_conn_t conns[STREAMS];
      outcome_t outcome;

      printf ("\n  %s:", doubts[i].name);
      start_nodes (1);
      doubts[i].prepare ();
      gw_signal (&world, 1, SIGKILL);
      gw_start (&world, 1, true);
      begin_streams (1);
      g_usleep ((gulong)KNOWN_TIMEOUT);
      gw_signal (&world, 0, SIGKILL);
      for (unsigned j = 0; j < STREAMS; j++)
        send_resume (&conns[j], j, 1);
      outcome = read_resumed (conns);
      if (doubts[i].recover != NULL)
        doubts[i].recover ();
      CU_ASSERT_EQUAL (outcome.elsewhere, 0);
      CU_ASSERT_EQUAL (outcome.complete, STREAMS);
      end_world ();
    }
}

/* The store keeps the streams while processes that start could not tell
   their version.  */
static void
streams_go_on_after_all_nodes_ended_in_doubt (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (doubts); i++)
    {
      outcome_t outcome;

      if (doubts[i].recover != NULL)
        continue;
      printf ("\n  %s:", doubts[i].name);
      start_nodes (1);
      doubts[i].prepare ();
      begin_streams (2);
      g_usleep ((gulong)KNOWN_TIMEOUT);
      for (unsigned j = 0; j < 2; j++)
        gw_signal (&world, j, SIGKILL);
      for (unsigned j = 0; j < 2; j++)
        gw_start (&world, j, true);
      outcome = resume_streams (2);
      CU_ASSERT_EQUAL (outcome.elsewhere, 0);
      CU_ASSERT_EQUAL (outcome.complete, STREAMS);
      end_world ();
    }
}

/* Kills all nodes while two versions serve, and sets the store back.
   @param copy_early whether the copy is from before the second version  */
static outcome_t
resume_after_kill_and_set_back (unsigned first_era, bool copy_early)
{
  start_nodes (first_era);
  if (copy_early)
    gw_store_copy (&world);
  add_version ();
  begin_streams (2);
  g_usleep ((gulong)KNOWN_TIMEOUT);
  if (!copy_early)
    gw_store_copy (&world);
  for (unsigned i = 0; i < 2; i++)
    gw_signal (&world, i, SIGKILL);
  gw_store_set_back (&world);
  for (unsigned i = 0; i < 2; i++)
    gw_start (&world, i, true);
  for (unsigned i = FIRST_REPLICAS; i < WORLD_REPLICAS_DEFAULT; i++)
    gw_replica_publish (&world, i, "ready");
  return resume_streams (2);
}

/* Guards against streams that go on at another version, because a store that
   counts its eras from 0 and has come back once is taken for a new one that
   counts from 1.  Streams that the copy has go on.  */
static void
streams_keep_their_version_after_the_store_first_came_back (void)
{
  for (unsigned first_era = 0; first_era <= 1; first_era++)
    {
      outcome_t outcome;

      printf ("\n  eras from %u, the copy lacks a version:", first_era);
      outcome = resume_after_kill_and_set_back (first_era, true);
      CU_ASSERT_EQUAL (outcome.elsewhere, 0);
      CU_ASSERT_EQUAL (outcome.refused, STREAMS);
      end_world ();
      printf ("\n  eras from %u, the copy has the streams:", first_era);
      outcome = resume_after_kill_and_set_back (first_era, false);
      CU_ASSERT_EQUAL (outcome.elsewhere, 0);
      CU_ASSERT_EQUAL (outcome.complete, STREAMS);
      end_world ();
    }
}

static const check_case_t cases[] = {
  { "streams keep their version after the store first came back",
    streams_keep_their_version_after_the_store_first_came_back },
  { "streams go on at a node that started in doubt after their node ended",
    streams_go_on_at_a_node_that_started_in_doubt_after_their_node_ended },
  { "streams go on after all nodes ended in doubt",
    streams_go_on_after_all_nodes_ended_in_doubt },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_origins", cases);
}
