#include "check.h"
#include "gateway_steps.h"

#include <string.h>

#define ONE_SECOND GS_SEC
/* A replica's connection is closed within this time after the caller's.  */
#define CANCEL_TIMEOUT (500 * GS_MSEC)

/* The expected response to a caller for a replica's behaviour, and the number
   of attempts that reach a replica.  */
typedef struct
{
  const char *target;
  unsigned status;   /* 0: the connection ends without a complete response */
  unsigned arrivals; /* sum over both replicas */
  const char *body;  /* "" for any; "=" for the attempt's ID */
} response_case_t;

static const response_case_t response_cases[] = {
  { "/a/never/good", 200, 1, "=" },
  { "/a/free/good", 200, 1, "=" },
  { "/a/never/fails", 500, 1, "=" },
  { "/a/free/fails", 500, 2, "=" },
  { "/a/free/fails-once", 200, 2, "=" },
  /* It is unknown whether the replica executed the request, so only idempotent
     requests are retried.  */
  { "/a/never/die", 502, 1, "" },
  { "/a/never/die-once", 502, 1, "" },
  { "/a/free/die-once", 200, 2, "=" },
  { "/a/never/noise", 502, 1, "" },
  /* Heads that RFC 9112 does not allow.  */
  { "/a/never/status-000", 502, 1, "" },
  { "/a/never/status-666", 502, 1, "" },
  { "/a/never/two-blanks", 502, 1, "" },
  { "/a/never/no-blank", 502, 1, "" },
  { "/a/never/other-protocol", 502, 1, "" },
  { "/a/never/two-lengths", 502, 1, "" },
  { "/a/never/reset-content", 502, 1, "" },
  { "/a/free/status-666-once", 200, 2, "=" },
  { "/a/free/noise-once", 200, 2, "=" },
  /* The replica did not execute the request: it is sent to another replica, or
     rejected.  */
  { "/a/never/full-once", 200, 2, "=" },
  { "/a/never/full", 503, 4, "" }, /* retried, then rejected */
  { "/a/never/moved-once", 200, 2, "=" },
  /* These statuses tell callers that nothing ran.  A replica that does not say
     so itself may have run the request.  */
  { "/a/never/busy", 502, 1, "" },
  { "/a/never/busy-sealed", 502, 1, "" },
  { "/a/never/too-many", 502, 1, "" },
  { "/a/never/timed-out", 502, 1, "" },
  { "/a/never/misdirected", 502, 1, "" },
  { "/a/free/busy-once", 200, 2, "=" },
  /* A response that has no seal, has an unexpected encoding, is incomplete or
     belongs to another request is not forwarded.  A response without framing
     is complete if the connection is not reset.  */
  { "/a/never/unsigned", 502, 1, "" },
  { "/a/never/encoded", 502, 1, "" },
  { "/a/never/foreign", 502, 1, "" },
  { "/a/free/foreign-once", 200, 2, "=" },
  { "/a/never/short", 502, 1, "" },
  { "/a/never/unframed", 200, 1, "whole" },
  { "/a/never/unframed-reset", 502, 1, "" },
  /* What a replica says after its answer does not change the answer.  */
  { "/a/never/trailer", 200, 1, "" },
  { "/a/never/extra", 200, 1, "=" },
};

static void
callers_get_complete_responses_or_accurate_errors (void)
{

  start_gateway (2);
  for (size_t i = 0; i < G_N_ELEMENTS (response_cases); i++)
    {
      const response_case_t *row = &response_cases[i];
      char *id = g_strdup_printf ("row-%zu", i);
      char *answer = gw_request (&world, 0, "POST", row->target, id, "", "x");
      const char *body = strstr (answer, "\r\n\r\n");
      const char *expected = strcmp (row->body, "=") == 0 ? id : row->body;
      bool good = status_of (answer) == row->status
                  && gw_arrivals_count (&world, id) == row->arrivals
                  && (*expected == '\0'
                      || (body != NULL && strcmp (body + 4, expected) == 0));

      if (!good)
        printf ("\n  %s: %u arrivals, %s\n", row->target,
                gw_arrivals_count (&world, id), answer);
      CU_ASSERT_TRUE (good);
      g_free (answer);
      g_free (id);
    }
  end_world ();
}

static void
a_rejection_has_a_retry_time (void)
{
  char *answer;
  char *retry_after;

  start_gateway (1);
  answer = gw_request (&world, 0, "POST", "/a/never/full", "full-1", "", "x");
  retry_after = header_of (answer, "Retry-After");
  CU_ASSERT_EQUAL (status_of (answer), 503);
  CU_ASSERT_PTR_NOT_NULL_FATAL (retry_after);
  if (retry_after == NULL)
    return;
  CU_ASSERT (g_ascii_strtod (retry_after, NULL) > 0);
  g_free (retry_after);
  g_free (answer);
  end_world ();
}

static void
requests_are_forwarded_without_internal_headers (void)
{
  static const char extra[]
      = "X-Model: m\r\nX-Token-Counts: 100,20\r\n"
        "X-Prompt-Prefix: a:60,b:40\r\nX-Empty:\r\n"
        "X-Tenant: forged\r\nX-Kv-Hold: 1\r\nX-Pin-Ms: 9\r\n"
        "X-Kv-Backup: 1.2.3.4:1\r\nKv-From: 1.2.3.4:1/x\r\n"
        "X-Request-Priority: 0\r\nX-Expect-Instance: forged\r\n";
  const arrival_t *arrival;
  char *answer;
  char *time_left;

  start_gateway (1);
  answer
      = gw_request (&world, 0, "POST", "/a/free/%7e/../x%2fy/good?b=2&a=%20",
                    "as-sent", extra, "the body");
  CU_ASSERT_EQUAL (status_of (answer), 200);
  arrival = gw_arrival_find (&world, "as-sent");
  CU_ASSERT_PTR_NOT_NULL_FATAL (arrival);
  if (arrival == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (arrival->first_line,
                          "POST /a/free/%7e/../x%2fy/good?b=2&a=%20 HTTP/1.1");
  CU_ASSERT_STRING_EQUAL (arrival->body->str, "the body");
  CU_ASSERT_TRUE (head_has_line (arrival->head, "X-Model: m"));
  CU_ASSERT_TRUE (head_has_line (arrival->head, "X-Token-Counts: 100,20"));
  CU_ASSERT_TRUE (head_has_line (arrival->head, "X-Prompt-Prefix: a:60,b:40"));
  CU_ASSERT_TRUE (head_has_line (arrival->head, "X-Tenant: " WORLD_ACCOUNT));
  CU_ASSERT_TRUE (head_has_line (arrival->head, "X-Expect-Instance: i-0"));
  CU_ASSERT_PTR_NULL (strstr (arrival->head, "forged"));
  CU_ASSERT_PTR_NULL (strstr (arrival->head, WORLD_API_KEY));
  CU_ASSERT_PTR_NULL (strstr (arrival->head, "X-Kv-"));
  CU_ASSERT_PTR_NULL (strstr (arrival->head, "Kv-From"));
  CU_ASSERT_PTR_NULL (strstr (arrival->head, "X-Pin-Ms"));
  time_left = header_of (arrival->head, "X-Deadline-Ms");
  CU_ASSERT_PTR_NOT_NULL_FATAL (time_left);
  if (time_left == NULL)
    return;
  CU_ASSERT (strtol (time_left, NULL, 10) > 1000
             && strtol (time_left, NULL, 10) <= 2500);
  g_free (time_left);
  g_free (answer);
  end_world ();
}

static void
a_chunked_body_is_forwarded_completely (void)
{
  raw_conn_t conn;
  GString *answer;
  const arrival_t *arrival;

  start_gateway (1);
  CU_ASSERT_TRUE_FATAL (gw_connect (&conn, &world, 0));
  gw_send (&conn, "POST", "/a/never/good", "chunks",
           "Transfer-Encoding: chunked\r\n", NULL);
  raw_printf (&conn, "3\r\nabc\r\n");
  g_usleep (30000);
  raw_printf (&conn, "4\r\ndefg\r\n0\r\n\r\n");
  answer = raw_read_until (&conn, 2 * ONE_SECOND, "\r\n\r\nchunks");
  CU_ASSERT_EQUAL (status_of (answer->str), 200);
  arrival = gw_arrival_find (&world, "chunks");
  CU_ASSERT_PTR_NOT_NULL_FATAL (arrival);
  if (arrival == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (arrival->body->str, "abcdefg");
  g_string_free (answer, TRUE);
  raw_close (&conn);
  end_world ();
}

/* Malformed or unauthorized requests, also those whose end a gateway and a
   replica could see at different places (request smuggling).  */
static const struct
{
  const char *text;
  unsigned status;
} invalid_requests[] = {
  { "POST /a/never/good HTTP/1.1\r\nHost: caller.example\r\n"
    "X-Attempt-Id: bad\r\nX-Api-Key: " WORLD_API_KEY
    "\r\nContent-Length: 5\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /a/never/good HTTP/1.1"
    "\r\nHost: caller.example\r\nX-Attempt-Id: bad\r\n\r\n",
    400 },
  { "POST /a/never/good HTTP/1.1\r\nHost: caller.example\r\n"
    "X-Attempt-Id: bad\r\nX-Api-Key: " WORLD_API_KEY
    "\r\nContent-Length: 1\r\n"
    "Content-Length: 2\r\n\r\nxy",
    400 },
  { "POST /a/never/good HTTP/1.1\r\nHost: caller.example\r\n"
    "X-Attempt-Id: bad\r\nX-Api-Key: " WORLD_API_KEY "\r\n"
    "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    400 },
  { "POST /a/never/good HTTP/1.1\r\nHost: caller.example\r\n"
    "X-Attempt-Id: bad\r\nX-Api-Key: " WORLD_API_KEY "\r\n"
    "Content-Length : 3\r\nContent-Length: 0\r\n\r\nabc",
    400 },
  { "POST /a/never/good HTTP/1.1\r\nHost: caller.example\r\n"
    "X-Api-Key: " WORLD_API_KEY "\r\nContent-Length: 0\r\n\r\n",
    400 },
  { "POST /a/never/good HTTP/1.1\r\nHost: caller.example\r\n"
    "X-Attempt-Id: bad\r\nX-Api-Key: wrong\r\nContent-Length: 0\r\n\r\n",
    401 },
  { "POST /b/never/good HTTP/1.1\r\nHost: caller.example\r\n"
    "X-Attempt-Id: bad\r\nX-Api-Key: " WORLD_API_KEY
    "\r\nContent-Length: 0\r\n\r\n",
    404 },
  { "POST /a/never/good HTTP/1.1\r\nHost: other.example\r\n"
    "X-Attempt-Id: bad\r\nX-Api-Key: " WORLD_API_KEY
    "\r\nContent-Length: 0\r\n\r\n",
    404 },
  { "POST /a/never/good HTTP/1.1\r\nHost: caller.example\r\n"
    "X-Attempt-Id: bad\r\nX-Api-Key: " WORLD_API_KEY
    "\r\nContent-Length: 99999999\r\n\r\n",
    413 },
};

static void
invalid_requests_reach_no_replica (void)
{

  start_gateway (1);
  for (size_t i = 0; i < G_N_ELEMENTS (invalid_requests); i++)
    {
      raw_conn_t conn;
      GString *answer;

      CU_ASSERT_TRUE_FATAL (gw_connect (&conn, &world, 0));
      raw_printf (&conn, "%s", invalid_requests[i].text);
      answer = raw_read_until (&conn, ONE_SECOND, NULL);
      if (status_of (answer->str) != invalid_requests[i].status)
        printf ("\n  row %zu: %s\n", i, answer->str);
      CU_ASSERT_EQUAL (status_of (answer->str), invalid_requests[i].status);
      CU_ASSERT_EQUAL (gw_arrivals_count (&world, "bad"), 0);
      g_string_free (answer, TRUE);
      raw_close (&conn);
    }
  end_world ();
}

#define HEAD_BYTES_MAX 16384
#define HEADER_COUNT 400

/* @return a request with many headers, which have no space after the colon  */
static GString *
make_request_with_headers (const char *id, size_t head_bytes, unsigned count)
{
  GString *text = g_string_new (NULL);
  size_t each;
  size_t left;

  g_string_printf (text,
                   "POST /a/never/good HTTP/1.1\r\nHost: caller.example\r\n"
                   "X-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\n"
                   "X-Api-Key: " WORLD_API_KEY "\r\nContent-Length: 1\r\n",
                   id);
  left = head_bytes - text->len - strlen ("\r\n");
  each = left / count;
  for (unsigned i = 0; i < count; i++)
    {
      size_t bytes = i == 0 ? left - each * (count - 1) : each;
      char *value = g_strnfill (bytes - strlen ("X:\r\n"), 'v');

      g_string_append_printf (text, "X:%s\r\n", value);
      g_free (value);
    }
  g_string_append (text, "\r\nb");
  return text;
}

/* Guards against requests within the limit that are rejected for the number of
   their headers.  */
static void
a_head_of_many_headers_is_measured_by_its_bytes (void)
{
  static const size_t sizes[] = { HEAD_BYTES_MAX, HEAD_BYTES_MAX + 1 };
  static const unsigned statuses[] = { 200, 431 };

  start_gateway (1);
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      char *id = g_strdup_printf ("many-%zu", i);
      GString *request
          = make_request_with_headers (id, sizes[i], HEADER_COUNT);
      raw_conn_t conn;
      GString *answer;

      CU_ASSERT_TRUE_FATAL (gw_connect (&conn, &world, 0));
      raw_send (&conn, request->str, request->len);
      answer = raw_read_until (&conn, ONE_SECOND, "\r\n\r\n");
      CU_ASSERT_EQUAL (status_of (answer->str), statuses[i]);
      CU_ASSERT_EQUAL (gw_arrivals_count (&world, id), statuses[i] == 200);
      raw_close (&conn);
      g_string_free (answer, TRUE);
      g_string_free (request, TRUE);
      g_free (id);
    }
  end_world ();
}

/* Guards against requests within the limit that are rejected because records
   of their headers fill the memory of the connection.  */
static void
a_head_within_the_limit_may_have_any_number_of_headers (void)
{
  static const unsigned counts[] = { 440, 1000, 3000 };

  start_gateway (1);
  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      char *id = g_strdup_printf ("any-%zu", i);
      GString *request
          = make_request_with_headers (id, HEAD_BYTES_MAX, counts[i]);
      raw_conn_t conn;
      GString *answer;

      CU_ASSERT_TRUE_FATAL (gw_connect (&conn, &world, 0));
      raw_send (&conn, request->str, request->len);
      answer = raw_read_until (&conn, ONE_SECOND, "\r\n\r\n");
      printf ("\n  %u headers: status %u ", counts[i],
              status_of (answer->str));
      CU_ASSERT_EQUAL (status_of (answer->str), 200);
      raw_close (&conn);
      g_string_free (answer, TRUE);
      g_string_free (request, TRUE);
      g_free (id);
    }
  end_world ();
}

/* Guards against connections that are closed without an answer because the
   head of the replica's answer finds no room.  */
static void
an_answer_with_a_large_head_is_passed_on_or_replaced (void)
{
  static const size_t sizes[] = { 3000, 24000, 40000, 60000 };
  static const unsigned statuses[] = { 200, 200, 502, 502 };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      char *value = g_strnfill (sizes[i], 'x');
      char *headers = g_strdup_printf ("X-Long: %s\r\n", value);
      char *answer;

      start_gateway (1);
      gw_replica_headers_set (&world, 0, headers);
      answer
          = gw_request (&world, 0, "POST", "/a/never/good", "large", "", "x");
      CU_ASSERT_EQUAL (status_of (answer), statuses[i]);
      CU_ASSERT_EQUAL (gw_arrivals_count (&world, "large"), 1);
      end_world ();
      g_free (answer);
      g_free (headers);
      g_free (value);
    }
}

/* The configuration allows heads of 16 KiB, by bytes; a node buffers at most
   64 KiB of a head.  */
static void
a_head_above_the_limit_reaches_no_replica (void)
{
  static const size_t sizes[] = { 12000, 20000, 60000 };
  static const unsigned statuses[] = { 200, 431, 431 };

  start_gateway (1);
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      char *value = g_strnfill (sizes[i], 'x');
      char *extra = g_strdup_printf ("X-Long: %s\r\n", value);
      char *id = g_strdup_printf ("head-%zu", i);
      char *answer
          = gw_request (&world, 0, "POST", "/a/never/good", id, extra, "x");

      if (status_of (answer) != statuses[i])
        printf ("\n  %zu bytes: %s\n", sizes[i], answer);
      CU_ASSERT_EQUAL (status_of (answer), statuses[i]);
      CU_ASSERT_EQUAL (gw_arrivals_count (&world, id),
                       statuses[i] == 200 ? 1 : 0);
      g_free (answer);
      g_free (id);
      g_free (extra);
      g_free (value);
    }
  end_world ();
}

/* The caller closes the connection within the body, which has a length or is
   chunked.  */
static void
a_truncated_body_reaches_no_replica (void)
{
  static const char *const framing_headers[]
      = { "Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n" };
  static const char *const partial_bodies[] = { "half", "a\r\nhalf" };

  start_gateway (1);
  for (size_t i = 0; i < G_N_ELEMENTS (framing_headers); i++)
    {
      raw_conn_t conn;

      CU_ASSERT_TRUE_FATAL (gw_connect (&conn, &world, 0));
      gw_send (&conn, "POST", "/a/never/good", "early-end", framing_headers[i],
               NULL);
      raw_printf (&conn, "%s", partial_bodies[i]);
      g_usleep (100000);
      raw_close (&conn);
    }
  g_usleep (CANCEL_TIMEOUT);
  CU_ASSERT_EQUAL (gw_arrivals_count (&world, "early-end"), 0);
  end_world ();
}

/* A replica responds before the gateway has sent the whole body.  On the
   replica's connection only the rest of that body may follow, or nothing:
   bytes of the body must not be read as the next request.  */
static void
an_early_response_keeps_requests_apart (void)
{
  char *body = g_strnfill (90000, 'b');

  start_gateway (1);
  for (unsigned i = 0; i < 8; i++)
    {
      char *id = g_strdup_printf ("before-%u", i);
      char *next = g_strdup_printf ("after-%u", i);
      char *answer
          = gw_request (&world, 0, "POST", "/a/free/early", id, "", body);
      const arrival_t *arrival = gw_arrival_find (&world, id);

      CU_ASSERT_EQUAL (status_of (answer), 200);
      CU_ASSERT_TRUE (g_str_has_suffix (answer, id));
      g_free (answer);
      answer = gw_request (&world, 0, "POST", "/a/free/good", next, "", "x");
      CU_ASSERT_EQUAL (status_of (answer), 200);
      CU_ASSERT_TRUE (g_str_has_suffix (answer, next));
      g_usleep (100000);
      pthread_mutex_lock (&world.lock);
      CU_ASSERT_TRUE (arrival != NULL
                      && g_str_has_prefix (body, arrival->body->str));
      pthread_mutex_unlock (&world.lock);
      g_free (answer);
      g_free (next);
      g_free (id);
    }
  /* No replica read anything else as a request.  */
  pthread_mutex_lock (&world.lock);
  CU_ASSERT_EQUAL (world.arrivals->len, 16);
  pthread_mutex_unlock (&world.lock);
  g_free (body);
  end_world ();
}

/* Status 413 must reach a caller that is still sending the body.  */
static void
a_body_above_the_limit_gets_status_413 (void)
{
  static char block[4096];
  raw_conn_t conn;
  GString *answer;

  memset (block, 'x', sizeof block);
  start_gateway (1);
  CU_ASSERT_TRUE_FATAL (gw_connect (&conn, &world, 0));
  gw_send (&conn, "POST", "/a/never/good", "large",
           "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n", NULL);
  for (unsigned i = 0; i < 100; i++)
    {
      raw_printf (&conn, "%zx\r\n", sizeof block);
      raw_send (&conn, block, sizeof block);
      raw_printf (&conn, "\r\n");
    }
  raw_printf (&conn, "0\r\n\r\n");
  answer = raw_read_until (&conn, 2 * ONE_SECOND, "HTTP/1.1 413");
  CU_ASSERT_PTR_NOT_NULL (strstr (answer->str, "HTTP/1.1 413"));
  CU_ASSERT_EQUAL (gw_arrivals_count (&world, "large"), 0);
  g_string_free (answer, TRUE);
  raw_close (&conn);
  end_world ();
}

/* Requests that are rejected because the replica is full are refunded to the
   account with the amount that was charged, so the limit holds for the others.
   About ten requests per second are too few to count as a surge and more than
   the limit.  */
static void
a_request_limit_holds_among_rejected_requests (void)
{
  gs_time_t end;
  unsigned accepted = 0;
  unsigned sent = 0;
  unsigned executable = 0;

  start_gateway (1);
  gw_configure_limit (&world, 2, "request", 5, 5);
  g_usleep (GS_SEC);
  end = gs_clock_now () + 7 * GS_SEC;
  while (gs_clock_now () < end)
    {
      char *id = g_strdup_printf ("limited-%u", sent);
      const char *target = sent % 8 == 7 ? "/a/never/full" : "/a/never/good";
      char *answer = gw_request (&world, 0, "POST", target, id,
                                 "X-Token-Counts: 100,20\r\n", "x");

      accepted += status_of (answer) == 200;
      executable += sent % 8 != 7;
      sent++;
      g_free (answer);
      g_free (id);
      /* The gateway uses a replica that was full again after this time.  */
      g_usleep (75000);
    }
  if (accepted < MIN (executable, 40) || accepted > 45)
    printf ("\n  %u of %u accepted", accepted, executable);
  /* At most five per second over eight seconds and the burst; hardly fewer. */
  CU_ASSERT (accepted >= MIN (executable, 40));
  CU_ASSERT (accepted <= 45);
  end_world ();
}

static void
events_are_forwarded_as_they_arrive (void)
{
  raw_conn_t conn;
  GString *first;
  GString *rest;

  start_gateway (1);
  CU_ASSERT_TRUE_FATAL (gw_connect (&conn, &world, 0));
  gw_send (&conn, "POST", "/a/stream/once/good", "events", "", "x");
  /* The replica sends one event every 60 ms; the first must be forwarded
     before the third exists.  */
  first = raw_read_until (&conn, 2 * ONE_SECOND, "id: 1");
  CU_ASSERT_PTR_NOT_NULL (strstr (first->str, "id: 1"));
  CU_ASSERT_PTR_NULL (strstr (first->str, "id: 3"));
  rest = raw_read_until (&conn, 2 * ONE_SECOND, "\r\n0\r\n\r\n");
  g_string_append (first, rest->str);
  CU_ASSERT_TRUE (is_complete_stream (first->str, 6));
  g_string_free (first, TRUE);
  g_string_free (rest, TRUE);
  raw_close (&conn);
  end_world ();
}

static void
a_truncated_stream_does_not_end_regularly (void)
{
  char *answer;

  start_gateway (2);
  answer
      = gw_request (&world, 0, "POST", "/a/stream/once/torn", "torn", "", "x");
  CU_ASSERT_EQUAL (status_of (answer), 200);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "data: event 3\n\n"));
  CU_ASSERT_PTR_NULL (strstr (answer, "id: 4"));
  CU_ASSERT_PTR_NULL (strstr (answer, "\r\n0\r\n\r\n"));
  CU_ASSERT_EQUAL (gw_arrivals_count (&world, "torn"), 1);
  g_free (answer);
  end_world ();
}

static void
a_resumed_stream_has_no_missing_or_repeated_events (void)
{
  char *answer;

  start_gateway (2);
  answer = gw_request (&world, 0, "POST", "/a/stream/resume/torn-once",
                       "resumed", "", "x");
  CU_ASSERT_EQUAL (status_of (answer), 200);
  CU_ASSERT_TRUE (is_complete_stream (answer, 6));
  CU_ASSERT_EQUAL (gw_arrivals_count (&world, "resumed"), 2);
  CU_ASSERT_PTR_NULL (strstr (strstr (answer, "id: 4") + 1, "id: 4"));
  g_free (answer);
  end_world ();
}

/* libcurl resends a request if a reused connection turns out to be closed, so
   a request that is not idempotent could run twice.  */
static void
a_request_is_sent_once_on_a_closed_connection (void)
{
  char *answer;

  start_gateway (1);
  for (unsigned i = 0; i < 5; i++)
    {
      char *id = g_strdup_printf ("dead-%u", i);

      answer
          = gw_request (&world, 0, "POST", "/a/never/good", "warm", "", "x");
      CU_ASSERT_EQUAL (status_of (answer), 200);
      g_free (answer);
      answer = gw_request (&world, 0, "POST", "/a/never/die", id, "", "x");
      CU_ASSERT_EQUAL (status_of (answer), 502);
      CU_ASSERT_EQUAL (gw_arrivals_count (&world, id), 1);
      g_free (answer);
      g_free (id);
    }
  end_world ();
}

#define KEPT_CONNECTION_ROUNDS 40

/* Where replicas say how long they keep connections, calls that may run once
   use kept ones as well.  The replica runs such a call and closes, or resets,
   the connection without an answer, now and then while another call is under
   way on a second one.  */
static void
a_request_lost_on_a_kept_connection_is_not_refused (void)
{
  static const char *const targets[] = { "/a/never/die", "/a/never/reset" };
  unsigned reused = 0;

  start_gateway (1);
  gw_replica_headers_set (&world, 0, "Keep-Alive: timeout=15\r\n");
  for (unsigned i = 0; i < KEPT_CONNECTION_ROUNDS; i++)
    {
      char *id = g_strdup_printf ("kept-%u", i);
      char *warm = g_strdup_printf ("warm-%u", i);
      char *answer
          = gw_request (&world, 0, "POST", "/a/never/good", warm, "", "x");

      CU_ASSERT_EQUAL (status_of (answer), 200);
      g_free (answer);
      answer = gw_request (&world, 0, "POST", targets[i % 2], id, "", "x");
      reused += gw_arrival_find (&world, id) != NULL
                && gw_arrival_find (&world, id)->on_kept_connection;
      if (status_of (answer) != 502 || gw_arrivals_count (&world, id) != 1)
        printf ("\n  %s: %u arrivals, %s", id, gw_arrivals_count (&world, id),
                answer);
      CU_ASSERT_EQUAL (status_of (answer), 502);
      CU_ASSERT_EQUAL (gw_arrivals_count (&world, id), 1);
      g_free (answer);
      g_free (warm);
      g_free (id);
    }
  printf ("\n  %u of %u on kept connections ", reused, KEPT_CONNECTION_ROUNDS);
  CU_ASSERT (reused > KEPT_CONNECTION_ROUNDS / 2);
  end_world ();
}

static void
a_late_second_response_reaches_no_caller (void)
{

  start_gateway (1);
  for (unsigned i = 0; i < 20; i++)
    {
      char *id = g_strdup_printf ("late-%u", i);
      char *answer
          = gw_request (&world, 0, "POST", "/a/free/late-extra", id, "", "x");

      CU_ASSERT_TRUE (status_of (answer) != 200
                      || g_str_has_suffix (answer, id));
      CU_ASSERT_PTR_NULL (strstr (answer, "extra"));
      g_usleep (i % 4 * 30000);
      g_free (answer);
      g_free (id);
    }
  end_world ();
}

static void
a_request_is_cancelled_when_the_caller_disconnects (void)
{
  const arrival_t *arrival = NULL;
  raw_conn_t conn;
  gs_time_t closed_at;

  start_gateway (1);
  CU_ASSERT_TRUE_FATAL (gw_connect (&conn, &world, 0));
  gw_send (&conn, "POST", "/a/free/hang", "gone", "", "x");
  for (unsigned i = 0; i < 100 && arrival == NULL; i++)
    {
      g_usleep (10000);
      arrival = gw_arrival_find (&world, "gone");
    }
  CU_ASSERT_PTR_NOT_NULL_FATAL (arrival);
  if (arrival == NULL)
    return;
  closed_at = gs_clock_now ();
  raw_close (&conn);
  g_usleep (CANCEL_TIMEOUT);
  CU_ASSERT (arrival->closed_at != 0
             && arrival->closed_at <= closed_at + CANCEL_TIMEOUT);
  end_world ();
}

static void
a_request_without_a_response_times_out (void)
{
  gs_time_t begin;
  char *answer;

  start_gateway (1);
  begin = gs_clock_now ();
  answer = gw_request (&world, 0, "POST", "/a/never/hang", "slow", "", "x");
  CU_ASSERT_EQUAL (status_of (answer), 504);
  CU_ASSERT (gs_clock_now () - begin < 3 * ONE_SECOND);
  g_free (answer);
  end_world ();
}

/* A request that exceeds the replica's capacity waits at the node, also if the
   node has just started and has not yet seen a request complete.  */
static void
a_request_waits_for_a_free_slot (void)
{
  raw_conn_t conns[WORLD_IN_FLIGHT_MAX];
  const arrival_t *arrival;
  gs_time_t begin;
  char *answer;

  CU_ASSERT_TRUE_FATAL (start_saturated (conns));
  begin = gs_clock_now ();
  answer = gw_request (&world, 0, "POST", "/a/never/good", "waits", "", "x");
  CU_ASSERT_EQUAL (status_of (answer), 200);
  arrival = gw_arrival_find (&world, "waits");
  CU_ASSERT (arrival != NULL && arrival->arrived_at > begin + 50 * GS_MSEC);
  g_free (answer);
  end_saturated (conns);
}

static const check_case_t cases[] = {
  { "callers get complete responses or accurate errors",
    callers_get_complete_responses_or_accurate_errors },
  { "a rejection has a retry time", a_rejection_has_a_retry_time },
  { "requests are forwarded without internal headers",
    requests_are_forwarded_without_internal_headers },
  { "a chunked body is forwarded completely",
    a_chunked_body_is_forwarded_completely },
  { "invalid requests reach no replica", invalid_requests_reach_no_replica },
  { "a head of many headers is measured by its bytes",
    a_head_of_many_headers_is_measured_by_its_bytes },
  { "a head within the limit may have any number of headers",
    a_head_within_the_limit_may_have_any_number_of_headers },
  { "an answer with a large head is passed on or replaced",
    an_answer_with_a_large_head_is_passed_on_or_replaced },
  { "a head above the limit reaches no replica",
    a_head_above_the_limit_reaches_no_replica },
  { "a truncated body reaches no replica",
    a_truncated_body_reaches_no_replica },
  { "an early response keeps requests apart",
    an_early_response_keeps_requests_apart },
  { "a body above the limit gets status 413",
    a_body_above_the_limit_gets_status_413 },
  { "a request limit holds among rejected requests",
    a_request_limit_holds_among_rejected_requests },
  { "events are forwarded as they arrive",
    events_are_forwarded_as_they_arrive },
  { "a truncated stream does not end regularly",
    a_truncated_stream_does_not_end_regularly },
  { "a resumed stream has no missing or repeated events",
    a_resumed_stream_has_no_missing_or_repeated_events },
  { "a request is sent once on a closed connection",
    a_request_is_sent_once_on_a_closed_connection },
  { "a request lost on a kept connection is not refused",
    a_request_lost_on_a_kept_connection_is_not_refused },
  { "a late second response reaches no caller",
    a_late_second_response_reaches_no_caller },
  { "a request is cancelled when the caller disconnects",
    a_request_is_cancelled_when_the_caller_disconnects },
  { "a request without a response times out",
    a_request_without_a_response_times_out },
  { "a request waits for a free slot", a_request_waits_for_a_free_slot },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway", cases);
}
