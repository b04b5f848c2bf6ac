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

static const check_case_t cases[] = {
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
