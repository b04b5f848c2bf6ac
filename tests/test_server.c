#include "check.h"
#include "raw_http.h"

#include "garnetstack/server.h"

#include <dlfcn.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>

/* Guards against requests that a server on a loop leaves unread, and responses
   that it leaves unsent, until another event wakes the loop.  */

#define ANSWER_TIMEOUT (500 * GS_MSEC)
#define HEAD_BYTES 15000
#define BODY_BYTES_MAX ((size_t)4 << 20)
/* As for the callers of a gateway, whose configurations allow heads of 16 KiB.
 */
#define CONNECTION_BYTES ((size_t)64 << 10)
#define CALLER_HEAD_BYTES_MAX 16384
#define RECORDS_SERVED_MAX 440
#define SERVER_TICK_INTERVAL (10 * GS_MSEC)

static atomic_bool pending_work_hidden;

/* Stands before the function of the library.  */
enum MHD_Result
MHD_get_timeout (struct MHD_Daemon *daemon, MHD_UNSIGNED_LONG_LONG *timeout)
{
  enum MHD_Result (*next) (struct MHD_Daemon *, MHD_UNSIGNED_LONG_LONG *);

  *(void **)&next = dlsym (RTLD_NEXT, "MHD_get_timeout");
  return atomic_load (&pending_work_hidden) ? MHD_NO : next (daemon, timeout);
}

typedef struct
{
  gs_loop_t *loop;
  gs_server_t *server;
  pthread_t thread;
} idle_server_t;

static void
answer_with_length (void *context, gs_exchange_t *exchange)
{
  size_t length;
  char *text;

  (void)context;
  gs_exchange_body (exchange, &length);
  text = g_strdup_printf ("%zu bytes", length);
  gs_exchange_reply (exchange, 200, "text/plain", NULL, text, strlen (text));
  g_free (text);
}

static void *
run_loop (void *context)
{
  gs_loop_run (context);
  return NULL;
}

/* The loop has no other events and no tick.  */
static void
idle_server_start (idle_server_t *idle)
{
  gs_server_options_t options = GS_SERVER_OPTIONS_INIT;

  gs_loop_create (&idle->loop);
  options.loop = idle->loop;
  options.handler = answer_with_length;
  options.body_bytes_max = BODY_BYTES_MAX;
  CU_ASSERT_EQUAL_FATAL (gs_server_create (&idle->server, &options), GS_OK);
  pthread_create (&idle->thread, NULL, run_loop, idle->loop);
}

static void
idle_server_stop (idle_server_t *idle)
{
  gs_loop_stop (idle->loop);
  pthread_join (idle->thread, NULL);
  gs_server_destroy (idle->server);
  gs_loop_destroy (idle->loop);
}

/* @return a request with a head of about @p head_bytes  */
static GString *
make_upload (size_t head_bytes, size_t body_bytes)
{
  GString *request = g_string_new ("POST / HTTP/1.1\r\nHost: x\r\nX-Pad: ");

  while (request->len < head_bytes)
    g_string_append_c (request, 'p');
  g_string_append_printf (request, "\r\nContent-Length: %zu\r\n\r\n",
                          body_bytes);
  for (size_t i = 0; i < body_bytes; i++)
    g_string_append_c (request, 'b');
  return request;
}

static void
check_uploads_are_answered (void)
{
  static const struct
  {
    size_t head_bytes;
    size_t body_bytes;
  } rows[] = { { HEAD_BYTES, 72000 },   { HEAD_BYTES, 400000 },
               { 100, 72000 },          { 100, 1000000 },
               { 100, BODY_BYTES_MAX }, { HEAD_BYTES, BODY_BYTES_MAX } };
  /* Of a request that is not read.  */
  static const struct timeval send_timeout = { .tv_usec = 500000 };
  idle_server_t idle;

  idle_server_start (&idle);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GString *request = make_upload (rows[i].head_bytes, rows[i].body_bytes);
      char *expected = g_strdup_printf ("%zu bytes", rows[i].body_bytes);
      raw_conn_t conn;
      GString *answer;

      CU_ASSERT_TRUE_FATAL (raw_connect (&conn, gs_server_port (idle.server)));
      setsockopt (conn.fd, SOL_SOCKET, SO_SNDTIMEO, &send_timeout,
                  sizeof send_timeout);
      raw_send (&conn, request->str, request->len);
      answer = raw_read_until (&conn, ANSWER_TIMEOUT, expected);
      if (strstr (answer->str, expected) == NULL)
        printf ("\n  head %zu, body %zu: no answer in %lld ms ",
                rows[i].head_bytes, rows[i].body_bytes,
                (long long)(ANSWER_TIMEOUT / GS_MSEC));
      CU_ASSERT_PTR_NOT_NULL (strstr (answer->str, expected));
      g_string_free (answer, TRUE);
      raw_close (&conn);
      g_free (expected);
      g_string_free (request, TRUE);
    }
  idle_server_stop (&idle);
}

static void
an_idle_server_reads_uploads_at_once (void)
{
  check_uploads_are_answered ();
}

/* Guards against relying on the library to report unread bytes.  */
static void
an_idle_server_reads_uploads_that_the_library_does_not_report (void)
{
  atomic_store (&pending_work_hidden, true);
  check_uploads_are_answered ();
  atomic_store (&pending_work_hidden, false);
}

typedef struct
{
  size_t response_header_bytes; /* that the handler would like to send */
  atomic_uint handled;          /* of method POST */
  unsigned refused;             /* responses whose head has no room */
} room_t;

static void
answer_with_header (void *context, gs_exchange_t *exchange)
{
  room_t *room = context;
  char *value = g_strnfill (room->response_header_bytes, 'r');
  const char *headers[] = { "X-Padding", value, NULL };
  bool fits = gs_exchange_head_fits (exchange, "text/plain", headers);

  room->refused += !fits;
  atomic_fetch_add (&room->handled,
                    strcmp (gs_exchange_method (exchange), "POST") == 0);
  gs_exchange_reply (exchange, fits ? 200 : 502, "text/plain",
                     fits ? headers : NULL, "end.", 4);
  g_free (value);
}

static void
tick_server (void *context)
{
  gs_server_tick (((idle_server_t *)context)->server);
}

typedef enum
{
  RECORD_HEADERS,
  RECORD_ARGUMENTS,
  RECORD_COOKIES,
  RECORD_KINDS
} record_kind_t;

/* @return a request with a head of about @p head_bytes, with so many headers,
   arguments or cookies  */
static GString *
make_head (record_kind_t kind, unsigned records, size_t head_bytes)
{
  GString *head = g_string_new ("POST /?");
  size_t each = (head_bytes - 100) / records;

  for (unsigned i = 0; kind == RECORD_ARGUMENTS && i < records; i++)
    g_string_append_printf (head, "%*sa&", (int)MAX (each, 2) - 2, "");
  for (char *c = head->str + strlen ("POST /?"); *c != '\0'; c++)
    *c = *c == ' ' ? 'a' : *c;
  g_string_append (head, " HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n");
  if (kind == RECORD_COOKIES)
    g_string_append (head, "Cookie: ");
  for (unsigned i = 0; kind != RECORD_ARGUMENTS && i < records; i++)
    {
      char *value = g_strnfill (MAX (each, 6) - 5, 'v');

      g_string_append_printf (
          head, kind == RECORD_COOKIES ? "a=%s; " : "a:%s\r\n", value);
      g_free (value);
    }
  g_string_append (head, kind == RECORD_COOKIES ? "a=b\r\n\r\n" : "\r\n");
  return head;
}

/* Sends a small request and then one with many records on one connection.
   @param next_bytes of a further request that follow at once
   @return status of the answer; 0 if the connection was closed  */
static unsigned
send_head (uint16_t port, const GString *head, size_t next_bytes)
{
  GString *text = g_string_new_len (head->str, (gssize)head->len);
  raw_conn_t conn;
  GString *answer;
  unsigned status = 0;

  CU_ASSERT_TRUE_FATAL (raw_connect (&conn, port));
  raw_printf (&conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  answer = raw_read_until (&conn, GS_SEC, "end.");
  CU_ASSERT_TRUE (g_str_has_prefix (answer->str, "HTTP/1.1 "));
  g_string_free (answer, TRUE);
  g_string_append (text, "body");
  if (next_bytes > 0)
    g_string_append_printf (text,
                            "PUT / HTTP/1.1\r\nHost: x\r\n"
                            "Content-Length: %zu\r\n\r\n%*s",
                            next_bytes, (int)next_bytes, "");
  raw_send (&conn, text->str, text->len);
  answer = raw_read_until (&conn, GS_SEC, "\r\n\r\n");
  if (answer->len > strlen ("HTTP/1.1 "))
    status = (unsigned)strtoul (answer->str + strlen ("HTTP/1.1 "), NULL, 10);
  raw_close (&conn);
  g_string_free (answer, TRUE);
  g_string_free (text, TRUE);
  return status;
}

/* Guards against requests that are run and whose connection is then closed
   without an answer, as the head of the answer finds no room beside records of
   their headers, and against requests that are rejected for the number of
   their headers although they are of usual size.  */
static void
requests_with_many_headers_are_answered_or_not_run (void)
{
  static const unsigned counts[]
      = { 1, 60, 200, 300, RECORDS_SERVED_MAX, 500, 700, 1000, 2500 };
  static const size_t sizes[] = { 1500, 6000, 11000, CALLER_HEAD_BYTES_MAX };
  static const size_t responses[] = { 100, 1500, 9000, 40000 };
  static const size_t next[] = { 0, 60000 };
  gs_server_options_t options = GS_SERVER_OPTIONS_INIT;
  unsigned sent = 0;
  unsigned lost = 0;
  unsigned rejected = 0;
  gs_time_t end;
  room_t room = { 0 };
  idle_server_t idle;

  gs_loop_create (&idle.loop);
  options.loop = idle.loop;
  options.handler = answer_with_header;
  options.context = &room;
  options.connection_bytes = CONNECTION_BYTES;
  CU_ASSERT_EQUAL_FATAL (gs_server_create (&idle.server, &options), GS_OK);
  gs_loop_tick_set (idle.loop, SERVER_TICK_INTERVAL, tick_server, &idle);
  pthread_create (&idle.thread, NULL, run_loop, idle.loop);
  for (unsigned i = 0;
       i < G_N_ELEMENTS (counts) * G_N_ELEMENTS (sizes)
               * G_N_ELEMENTS (responses) * G_N_ELEMENTS (next) * RECORD_KINDS;
       i++)
    {
      unsigned rest = i / RECORD_KINDS;
      unsigned count = counts[rest % G_N_ELEMENTS (counts)];
      size_t size = sizes[rest / G_N_ELEMENTS (counts) % G_N_ELEMENTS (sizes)];
      GString *head = make_head (i % RECORD_KINDS, count, size);
      unsigned status;
      unsigned before;

      rest /= G_N_ELEMENTS (counts) * G_N_ELEMENTS (sizes);
      room.response_header_bytes = responses[rest % G_N_ELEMENTS (responses)];
      if (head->len <= CALLER_HEAD_BYTES_MAX)
        {
          before = atomic_load (&room.handled);
          status = send_head (gs_server_port (idle.server), head,
                              next[rest / G_N_ELEMENTS (responses)]);
          sent++;
          lost += status != 200 && status != 502
                  && atomic_load (&room.handled) > before;
          rejected += status == 431 && i % RECORD_KINDS == RECORD_HEADERS
                      && count <= RECORDS_SERVED_MAX;
        }
      g_string_free (head, TRUE);
    }
  printf ("\n  %u requests: %u run without an answer, %u of up to %u headers "
          "rejected, %u with an answer that has no room ",
          sent, lost, rejected, RECORDS_SERVED_MAX, room.refused);
  CU_ASSERT_EQUAL (lost, 0);
  CU_ASSERT_EQUAL (rejected, 0);
  /* A leaving node waits for open requests.  */
  end = gs_clock_now () + GS_SEC;
  while (gs_server_open_count (idle.server) > 0 && gs_clock_now () < end)
    g_usleep (1000);
  CU_ASSERT_EQUAL (gs_server_open_count (idle.server), 0);
  idle_server_stop (&idle);
}

static const check_case_t cases[] = {
  { "requests with many headers are answered or not run",
    requests_with_many_headers_are_answered_or_not_run },
  { "an idle server reads uploads at once",
    an_idle_server_reads_uploads_at_once },
  { "an idle server reads uploads that the library does not report",
    an_idle_server_reads_uploads_that_the_library_does_not_report },
};

int
main (void)
{
  return CHECK_RUN ("server", cases);
}
