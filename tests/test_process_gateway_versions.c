#include "check.h"
#include "gateway_steps.h"

#include <signal.h>
#include <string.h>

/* Guards against streams that go on at a replica with another software version
   than the one that began them, after a lost replica or when their callers
   resume them at any node.  */

#define STREAMS 12
#define EVENT_COUNT 6
#define EVENTS_READ 2 /* before a caller disconnects */
/* Time in which all nodes know of a stream that has begun.  */
#define KNOWN_TIMEOUT GS_SEC
/* A stream that can't go on is refused within this time.  */
#define REFUSAL_TIMEOUT (1500 * GS_MSEC)
#define DEADLINE_HEADERS                                                      \
  "Host: caller.example\r\nX-Deadline-Ms: 12000\r\n"                          \
  "X-Api-Key: " WORLD_API_KEY "\r\nConnection: close\r\n"

typedef struct
{
  unsigned complete;  /* went on to their ends */
  unsigned refused;   /* with status 503, and reached no replica */
  unsigned elsewhere; /* reached another version than before */
} outcome_t;

/* Each request has a body of its own: equal requests under which several
   replicas break off are put into quarantine.  */
static void
send_stream_request (raw_conn_t *conn, const char *behaviour, const char *id,
                     const char *headers)
{
  raw_printf (conn,
              "POST /a/stream/resume/%s HTTP/1.1\r\nX-Attempt-Id: "
              "%s\r\n" DEADLINE_HEADERS "%sContent-Length: %zu\r\n\r\n%s",
              behaviour, id, headers, strlen (id), id);
}

static bool
is_same_version (const char *id, const char *other_id)
{
  return g_strcmp0 (gw_arrival_version (&world, id),
                    gw_arrival_version (&world, other_id))
         == 0;
}

/* Starts gateways and four replicas, half of them with a second version.  */
static void
start_two_versions (unsigned gateways)
{
  start_world (WORLD_REPLICAS_MAX);
  gw_replica_version_set (&world, 2, "v2");
  gw_replica_version_set (&world, 3, "v2");
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  for (unsigned i = 0; i < gateways; i++)
    gw_start (&world, i, true);
  g_usleep ((gulong)KNOWN_TIMEOUT);
}

/* Begins streams at gateways in turn, whose callers disconnect after
   EVENTS_READ events.  */
static void
begin_streams (unsigned gateways)
{
  raw_conn_t conns[STREAMS];
  char id[32];

  for (unsigned i = 0; i < STREAMS; i++)
    {
      CU_ASSERT_TRUE_FATAL (gw_connect (&conns[i], &world, i % gateways));
      g_snprintf (id, sizeof id, "begun-%u", i);
      send_stream_request (&conns[i], "good", id, "");
    }
  for (unsigned i = 0; i < STREAMS; i++)
    {
      g_string_free (raw_read_until (&conns[i], GS_SEC, "data: event 2\n\n"),
                     TRUE);
      raw_close (&conns[i]);
    }
}

/* @return whether an answer has the events that its caller lacks  */
static bool
has_remaining_events (const GString *answer)
{
  return strstr (answer->str, "data: event 2\n") == NULL
         && strstr (answer->str, "data: event 3\n") != NULL
         && strstr (answer->str, "data: event 6\n") != NULL
         && g_str_has_suffix (answer->str, "0\r\n\r\n");
}

/* Resumes all streams at once, each at a gateway other than its first one if
   there are several.  */
static outcome_t
resume_streams (unsigned gateways)
{
  raw_conn_t conns[STREAMS];
  outcome_t out = { 0, 0, 0 };
  char begun[32];
  char id[32];

  for (unsigned i = 0; i < STREAMS; i++)
    {
      char headers[96];

      CU_ASSERT_TRUE_FATAL (
          gw_connect (&conns[i], &world, (i + 1) % gateways));
      g_snprintf (begun, sizeof begun, "begun-%u", i);
      g_snprintf (id, sizeof id, "resumed-%u", i);
      g_snprintf (headers, sizeof headers,
                  "Last-Event-Id: %u\r\nResumes: %s\r\n", EVENTS_READ, begun);
      send_stream_request (&conns[i], "good", id, headers);
    }
  for (unsigned i = 0; i < STREAMS; i++)
    {
      GString *answer = raw_read_until (&conns[i], 4 * GS_SEC, NULL);

      g_snprintf (begun, sizeof begun, "begun-%u", i);
      g_snprintf (id, sizeof id, "resumed-%u", i);
      out.complete += has_remaining_events (answer);
      out.refused += status_of (answer->str) == 503
                     && gw_arrival_version (&world, id) == NULL;
      out.elsewhere += gw_arrival_version (&world, id) != NULL
                       && !is_same_version (id, begun);
      raw_close (&conns[i]);
      g_string_free (answer, TRUE);
    }
  printf ("\n  %u of %u streams went on, %u refused, %u at another version ",
          out.complete, STREAMS, out.refused, out.elsewhere);
  return out;
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
   another one of them.  */
static void
streams_go_on_while_an_upgrade_rolls (void)
{
  outcome_t outcome;

  start_world (WORLD_REPLICAS_MAX);
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  for (unsigned i = 0; i < 2; i++)
    gw_start (&world, i, true);
  g_usleep ((gulong)KNOWN_TIMEOUT);
  begin_streams (2);
  gw_replica_version_set (&world, 2, "v2");
  gw_replica_version_set (&world, 3, "v2");
  g_usleep (100000);
  outcome = resume_streams (2);
  CU_ASSERT_EQUAL (outcome.elsewhere, 0);
  CU_ASSERT_EQUAL (outcome.complete, STREAMS);
  end_world ();
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

static const check_case_t cases[] = {
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
