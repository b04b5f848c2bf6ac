#include "stream_steps.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define DEADLINE_HEADERS                                                      \
  "Host: caller.example\r\nX-Deadline-Ms: 12000\r\n"                          \
  "X-Api-Key: " WORLD_API_KEY "\r\nConnection: close\r\n"

/* Each request has a body of its own: equal requests under which several
   replicas break off are put into quarantine.  */
void
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

/* Begins streams at gateways in turn, whose callers disconnect after
   EVENTS_READ events.  */
void
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

void
send_resume (raw_conn_t *conn, unsigned stream, unsigned gateway)
{
  char headers[96];
  char id[32];

  CU_ASSERT_TRUE_FATAL (gw_connect (conn, &world, gateway));
  g_snprintf (id, sizeof id, "resumed-%u", stream);
  g_snprintf (headers, sizeof headers,
              "Last-Event-Id: %u\r\nResumes: begun-%u\r\n", EVENTS_READ,
              stream);
  send_stream_request (conn, "good", id, headers);
}

outcome_t
read_resumed (raw_conn_t conns[STREAMS])
{
  outcome_t out = { 0, 0, 0 };
  char begun[32];
  char id[32];

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

/* Resumes all streams at once, each at a gateway other than its first one if
   there are several.  */
outcome_t
resume_streams (unsigned gateways)
{
  raw_conn_t conns[STREAMS];

  for (unsigned i = 0; i < STREAMS; i++)
    send_resume (&conns[i], i, (i + 1) % gateways);
  return read_resumed (conns);
}
