#include "check.h"
#include "raw_http.h"

#include "garnetstack/loop.h"

#include <string.h>

/* Guards against a connection that has carried a refusal and carries another
   request, however the refusal and its transfer look.  */

#define LARGE_BODY_BYTES ((size_t)4 << 20)
#define COPY                                                                  \
  "HTTP/1.1 503 X\r\nX-Attempt-Id: 1\r\nX-Not-Executed: 1\r\n"                \
  "Content-Length: 0\r\n\r\n"

typedef struct
{
  const char *name;
  const char *response; /* to the first request of a connection */
  const char *later;    /* written 50 ms after it */
  const char *method;
  size_t body_length;
  bool early;   /* the response comes before the body is read */
  bool pauses;  /* the transfer is paused within the body */
  bool expires; /* the deadline passes within the body */
  bool keeps;   /* the refusal does not retire its connection */
  bool open;    /* expected: the next request uses the same connection */
} retire_case_t;

static const retire_case_t retire_cases[] = {
  { "control: head only, not retired", COPY, NULL, "POST", 1, .keeps = true,
    .open = true },
  { "head only", COPY, NULL, "POST", 1, .open = false },
  { "head only, no request body", COPY, NULL, "GET", 0, .open = false },
  { "with a body",
    "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
    NULL, "POST", 1, .open = false },
  { "after 1xx", "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nX-A: 1\r\n\r\n" COPY,
    NULL, "POST", 1, .open = false },
  { "204", "HTTP/1.1 204 X\r\nX-Not-Executed: 1\r\n\r\n", NULL, "POST", 1,
    .open = false },
  { "304", "HTTP/1.1 304 X\r\nX-Not-Executed: 1\r\n\r\n", NULL, "GET", 0,
    .open = false },
  { "HEAD",
    "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 40\r\n\r\n", NULL,
    "HEAD", 0, .open = false },
  { "chunked with trailers",
    "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n"
    "\r\n4\r\nfull\r\n0\r\nX-T: 1\r\n\r\n",
    NULL, "POST", 1, .open = false },
  { "chunked, trailers later",
    "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n"
    "\r\n4\r\nfull\r\n0\r\n",
    "X-T: 1\r\n\r\n", "POST", 1, .open = false },
  { "before the body is read", COPY, NULL, "POST", LARGE_BODY_BYTES,
    .early = true },
  { "with a body, before the body is read",
    "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
    NULL, "POST", LARGE_BODY_BYTES, .early = true },
  { "200 with X-Not-Executed, before the body is read",
    "HTTP/1.1 200 X\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
    NULL, "POST", LARGE_BODY_BYTES, .early = true },
  { "paused",
    "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 8\r\n\r\nfull",
    "full", "POST", 1, .pauses = true },
  { "deadline within the body",
    "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 8\r\n\r\nfull",
    NULL, "POST", 1, .expires = true },
  { "copy in the same segment", COPY COPY, NULL, "POST", 1, .open = false },
  { "copy within the head", "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n" COPY,
    NULL, "POST", 1, .open = false },
  { "copy later", COPY, COPY, "POST", 1, .open = false },
  { "copy in two pieces", COPY "HTTP/1.1 503 X\r\nX-Atte", "mpt-Id: 1\r\n\r\n",
    "POST", 1, .open = false },
  { "connection named kept",
    "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nConnection: keep-alive\r\n"
    "Keep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n",
    NULL, "POST", 1, .open = false },
};

typedef struct
{
  const retire_case_t *row;
  gs_loop_t *loop;
  gs_http_call_t *call;
  gs_status_t status;
  long http_status;
  bool kept;
  bool resumes;
  bool retires;
  char id[8];
} retire_t;

static void
serve_refusal (void *context, raw_conn_t *conn)
{
  const retire_case_t *row = context;
  raw_message_t request;

  if (!raw_read_head (conn, &request))
    return;
  if (!row->early)
    raw_read_body (conn, &request);
  raw_message_clear (&request);
  raw_send (conn, row->response, strlen (row->response));
  if (row->early)
    {
      /* Reads on, so that the connection is not reset.  */
      raw_wait_close (conn, gs_clock_now () + GS_SEC);
      return;
    }
  if (row->later != NULL)
    {
      g_usleep (50000);
      raw_send (conn, row->later, strlen (row->later));
    }
  while (raw_read_request (conn, &request))
    {
      raw_message_clear (&request);
      raw_printf (conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: 2\r\n"
                        "Content-Length: 0\r\n\r\n");
    }
}

static bool
on_line (void *context, const char *line, size_t length)
{
  retire_t *fetch = context;

  if (length > 15 && strncasecmp (line, "X-Not-Executed:", 15) == 0
      && fetch->retires)
    gs_loop_http_connection_retire (fetch->call);
  if (length > 14 && strncasecmp (line, "X-Attempt-Id: ", 14) == 0)
    fetch->id[0] = line[14];
  return true;
}

static void
on_tick (void *context)
{
  retire_t *fetch = context;

  if (fetch->resumes && fetch->call != NULL)
    gs_loop_http_pause (fetch->call, false);
}

static bool
on_data (void *context, const char *data, size_t length)
{
  retire_t *fetch = context;

  (void)data;
  (void)length;
  if (fetch->row->pauses && !fetch->resumes)
    {
      fetch->resumes = true;
      gs_loop_http_pause (fetch->call, true);
    }
  return true;
}

static void
on_done (void *context, const gs_http_result_t *result)
{
  retire_t *fetch = context;

  fetch->call = NULL;
  fetch->status = result->status;
  fetch->http_status = result->http_status;
  fetch->kept = result->kept_connection;
  gs_loop_stop (fetch->loop);
}

static void
run_request (retire_t *fetch, const raw_server_t *server, const char *method,
             size_t body_length, gs_time_t timeout)
{
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  char *url
      = g_strdup_printf ("http://127.0.0.1:%u/", raw_server_port (server));
  char *body = g_strnfill (body_length, 'x');

  fetch->id[0] = '-';
  request.method = method;
  request.url = url;
  request.body = body_length > 0 ? body : NULL;
  request.body_length = body_length;
  request.no_resend = true;
  request.on_line = on_line;
  request.on_data = on_data;
  request.on_done = on_done;
  request.context = fetch;
  request.deadline = gs_clock_now () + timeout;
  gs_loop_http (&fetch->call, fetch->loop, &request);
  gs_loop_run (fetch->loop);
  g_free (body);
  g_free (url);
}

static void
a_connection_that_is_retired_carries_no_other_request (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (retire_cases); i++)
    {
      const retire_case_t *row = &retire_cases[i];
      retire_t fetch = { .row = row, .retires = !row->keeps };
      raw_server_t *server;
      gs_status_t first;
      long first_status;

      raw_server_create (&server, serve_refusal, (void *)row);
      gs_loop_create (&fetch.loop);
      gs_loop_tick_set (fetch.loop, 100 * GS_MSEC, on_tick, &fetch);
      run_request (&fetch, server, row->method, row->body_length,
                   row->expires ? 200 * GS_MSEC : 3 * GS_SEC);
      first = fetch.status;
      first_status = fetch.http_status;
      g_usleep (120000);
      fetch.retires = false;
      fetch.resumes = true;
      run_request (&fetch, server, "POST", 1, 2 * GS_SEC);
      printf ("\n  %-50s first %d/%ld, then %d/%ld id %s on a %s connection ",
              row->name, (int)first, first_status, (int)fetch.status,
              fetch.http_status, fetch.id, fetch.kept ? "kept" : "new");
      CU_ASSERT_EQUAL (fetch.kept, row->open);
      gs_loop_destroy (fetch.loop);
      raw_server_destroy (server);
    }
}

/* Not retired: what the next request gets beside bytes that nobody asked for.
 */
static const retire_case_t surplus_cases[] = {
  { "surplus while idle", COPY, COPY, "POST", 1, .keeps = true },
  { "surplus in the same segment, no body", COPY COPY, NULL, "POST", 1,
    .keeps = true },
  { "surplus in the same segment, body",
    "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nfull" COPY, NULL, "POST", 1,
    .keeps = true },
  { "surplus in the same segment, chunked",
    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n"
    "0\r\n\r\n" COPY,
    NULL, "POST", 1, .keeps = true },
  { "surplus in two pieces, no body", COPY "HTTP/1.1 503 X\r\nX-Atte",
    "mpt-Id: 1\r\n\r\n", "POST", 1, .keeps = true },
  { "surplus in two pieces, chunked, the second one begins an answer",
    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n"
    "0\r\n\r\nx",
    COPY, "POST", 1, .keeps = true },
  { "101 with a length, then the answer",
    "HTTP/1.1 101 X\r\nContent-Length: 0\r\n\r\n", COPY, "POST", 1,
    .keeps = true },
};

static void
bytes_that_wait_on_an_idle_connection_are_not_read_for_the_next_request (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (surplus_cases); i++)
    {
      const retire_case_t *row = &surplus_cases[i];
      retire_t fetch = { .row = row };
      raw_server_t *server;
      gs_status_t first;
      long first_status;

      raw_server_create (&server, serve_refusal, (void *)row);
      gs_loop_create (&fetch.loop);
      run_request (&fetch, server, row->method, row->body_length, 3 * GS_SEC);
      first = fetch.status;
      first_status = fetch.http_status;
      g_usleep (120000);
      fetch.resumes = true;
      run_request (&fetch, server, "POST", 1, 2 * GS_SEC);
      printf ("\n  %-50s first %d/%ld, then %d/%ld id %s on a %s connection ",
              row->name, (int)first, first_status, (int)fetch.status,
              fetch.http_status, fetch.id, fetch.kept ? "kept" : "new");
      /* A surplus answer would bear the id 1.  */
      CU_ASSERT (fetch.http_status != 503 || !fetch.kept);
      gs_loop_destroy (fetch.loop);
      raw_server_destroy (server);
    }
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "a connection that is retired carries no other request",
      a_connection_that_is_retired_carries_no_other_request },
    { "bytes that wait on an idle connection are not read for the next "
      "request",
      bytes_that_wait_on_an_idle_connection_are_not_read_for_the_next_request },
  };

  return CHECK_RUN ("loop_retire", cases);
}
