#include "check.h"
#include "raw_http.h"

#include "garnetstack/loop.h"
#include "garnetstack/server.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#define POSTERS 4
#define POSTS 5000
#define PENDING_BYTES ((size_t)1 << 20)
#define FLOOD_BLOCKS 64

typedef struct
{
  gs_loop_t *loop;
  unsigned tasks_run;
  unsigned refused[POSTERS];
  unsigned number;
} posting_t;

static void
count_task (void *context)
{
  posting_t *posting = context;

  posting->tasks_run++;
  if (posting->tasks_run == POSTERS * POSTS)
    gs_loop_stop (posting->loop);
}

static void *
post_many (void *context)
{
  posting_t *posting = context;

  for (unsigned i = 0; i < POSTS; i++)
    while (gs_loop_post (posting->loop, count_task, posting) != GS_OK)
      sched_yield ();
  return NULL;
}

static void
tasks_posted_by_many_threads_all_run (void)
{
  posting_t posting = { 0 };
  pthread_t threads[POSTERS];

  gs_loop_create (&posting.loop);
  for (int i = 0; i < POSTERS; i++)
    pthread_create (&threads[i], NULL, post_many, &posting);
  gs_loop_run (posting.loop);
  for (int i = 0; i < POSTERS; i++)
    pthread_join (threads[i], NULL);
  CU_ASSERT_EQUAL (posting.tasks_run, POSTERS * POSTS);
  gs_loop_destroy (posting.loop);
}

#define REPOSTS_MAX 100000

typedef struct
{
  gs_loop_t *loop;
  unsigned posts;
  unsigned ticks;
} reposting_t;

static void
post_again (void *context)
{
  reposting_t *reposting = context;

  if (reposting->ticks > 0 || ++reposting->posts == REPOSTS_MAX)
    gs_loop_stop (reposting->loop);
  else
    gs_loop_post (reposting->loop, post_again, reposting);
}

static void
count_tick (void *context)
{
  ((reposting_t *)context)->ticks++;
}

/* Guards against a server with work left that keeps the loop from its timers
   and other descriptors.  */
static void
a_task_that_posts_itself_leaves_the_loop_its_ticks (void)
{
  reposting_t reposting = { 0 };

  gs_loop_create (&reposting.loop);
  gs_loop_tick_set (reposting.loop, 0, count_tick, &reposting);
  gs_loop_post (reposting.loop, post_again, &reposting);
  gs_loop_run (reposting.loop);
  CU_ASSERT (reposting.ticks > 0);
  CU_ASSERT (reposting.posts < REPOSTS_MAX);
  gs_loop_destroy (reposting.loop);
}

#define PIPES 5

typedef struct
{
  gs_loop_t *loop;
  int fds[PIPES][2];
  unsigned calls[PIPES];
  unsigned total;
} pipes_t;

/* Removes the watch of the descriptor that is ready and that of the next
   one, so that every second ready descriptor is unwatched before its turn.  */
static void
on_pipe (void *context, int fd, short events)
{
  pipes_t *pipes = context;

  for (int i = 0; i < PIPES; i++)
    if (pipes->fds[i][0] == fd)
      {
        pipes->calls[i]++;
        gs_loop_unwatch (pipes->loop, fd);
        gs_loop_unwatch (pipes->loop, pipes->fds[(i + 1) % PIPES][0]);
      }
  pipes->total++;
}

static void
stop_loop (void *context)
{
  gs_loop_stop (context);
}

static void
no_callback_after_unwatch (void)
{
  pipes_t pipes = { 0 };

  gs_loop_create (&pipes.loop);
  for (int i = 0; i < PIPES; i++)
    {
      CU_ASSERT_EQUAL_FATAL (pipe (pipes.fds[i]), 0);
      CU_ASSERT_EQUAL (write (pipes.fds[i][1], "x", 1), 1);
      gs_loop_watch (pipes.loop, pipes.fds[i][0], 0, on_pipe, &pipes);
      gs_loop_watch (pipes.loop, pipes.fds[i][0], POLLIN, on_pipe, &pipes);
    }
  gs_loop_tick_set (pipes.loop, 50 * GS_MSEC, stop_loop, pipes.loop);
  gs_loop_run (pipes.loop);
  for (int i = 0; i < PIPES; i++)
    {
      CU_ASSERT_EQUAL (pipes.calls[i], i % 2 == 0 ? 1 : 0);
      close (pipes.fds[i][0]);
      close (pipes.fds[i][1]);
    }
  CU_ASSERT_EQUAL (pipes.total, 3);
  gs_loop_destroy (pipes.loop);
}

/* Connections whose ends hang up; the first one that is reported closes the
   other, and watches a new connection that gets its descriptor.  */
typedef struct
{
  gs_loop_t *loop;
  int fds[2][2];
  int new_fds[2];
  unsigned calls;
  unsigned new_calls;
} successors_t;

static void
on_new_connection (void *context, int fd, short events)
{
  ((successors_t *)context)->new_calls++;
}

static void
on_first_hangup (void *context, int fd, short events)
{
  successors_t *state = context;
  int other = state->fds[fd == state->fds[0][0]][0];

  if (state->calls++ > 0)
    return;
  gs_loop_unwatch (state->loop, fd);
  gs_loop_unwatch (state->loop, other);
  CU_ASSERT_EQUAL (socketpair (AF_UNIX, SOCK_STREAM, 0, state->new_fds), 0);
  CU_ASSERT_EQUAL (dup2 (state->new_fds[0], other), other);
  gs_loop_watch (state->loop, other, POLLRDHUP, on_new_connection, state);
}

/* Guards against a request that is cut off because another connection hung up
   whose descriptor it got.  */
static void
a_hangup_is_not_reported_to_the_next_connection_of_its_descriptor (void)
{
  successors_t state = { .calls = 0 };

  gs_loop_create (&state.loop);
  for (int i = 0; i < 2; i++)
    CU_ASSERT_EQUAL_FATAL (socketpair (AF_UNIX, SOCK_STREAM, 0, state.fds[i]),
                           0);
  for (int i = 0; i < 2; i++)
    {
      gs_loop_watch (state.loop, state.fds[i][0], POLLRDHUP, on_first_hangup,
                     &state);
      close (state.fds[i][1]);
    }
  gs_loop_tick_set (state.loop, 50 * GS_MSEC, stop_loop, state.loop);
  gs_loop_run (state.loop);
  CU_ASSERT_EQUAL (state.calls, 1);
  CU_ASSERT_EQUAL (state.new_calls, 0);
  /* Its own hang-up is reported.  */
  close (state.new_fds[1]);
  gs_loop_run (state.loop);
  CU_ASSERT (state.new_calls > 0);
  gs_loop_destroy (state.loop);
}

typedef struct
{
  gs_loop_t *loop;
  gs_status_t status;
  long http_status;
  GString *body;
} fetch_t;

static void
on_fetched (void *context, const gs_http_result_t *result)
{
  fetch_t *fetch = context;

  fetch->status = result->status;
  fetch->http_status = result->http_status;
  g_string_assign (fetch->body, result->body);
  gs_loop_stop (fetch->loop);
}

static void
echo (void *context, gs_exchange_t *exchange)
{
  size_t length;
  const char *body = gs_exchange_body (exchange, &length);

  if (strcmp (gs_exchange_path (exchange), "/flood") == 0)
    {
      char block[65536] = { 0 };

      gs_exchange_start (exchange, 200, "text/plain", NULL);
      for (int i = 0; i < FLOOD_BLOCKS; i++)
        gs_exchange_write (exchange, block, sizeof block);
      gs_exchange_finish (exchange);
      return;
    }
  if (strcmp (gs_exchange_path (exchange), "/cut") == 0)
    {
      gs_exchange_start (exchange, 200, "text/plain", NULL);
      gs_exchange_write (exchange, body, length);
      gs_exchange_abort (exchange);
      return;
    }
  gs_exchange_start (exchange, 200, "text/plain", NULL);
  gs_exchange_write (exchange, body, length);
  gs_exchange_finish (exchange);
}

static void
fetch_path (fetch_t *fetch, uint16_t port, const char *path)
{
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  char *url = g_strdup_printf ("http://127.0.0.1:%u%s", port, path);

  gs_loop_create (&fetch->loop);
  fetch->body = g_string_new (NULL);
  request.method = "POST";
  request.url = url;
  request.body = "hello";
  request.body_length = 5;
  request.on_done = on_fetched;
  request.context = fetch;
  request.deadline = gs_clock_now () + 30 * GS_SEC;
  gs_loop_http (NULL, fetch->loop, &request);
  gs_loop_run (fetch->loop);
  gs_loop_destroy (fetch->loop);
  g_free (url);
}

static void
request_status_tells_how_the_response_ended (void)
{
  static const struct
  {
    const char *path;
    bool listening;
    gs_status_t status;
  } rows[] = { { "/whole", true, GS_OK },
               { "/cut", true, GS_EUNKNOWN },
               { "/flood", true, GS_EUNKNOWN },
               { "/none", false, GS_EUNREACHABLE } };
  gs_server_options_t options = GS_SERVER_OPTIONS_INIT;

  options.handler = echo;
  options.pending_bytes_max = PENDING_BYTES;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      gs_server_t *server;
      fetch_t fetch = { 0 };
      uint16_t port;

      CU_ASSERT_EQUAL_FATAL (gs_server_create (&server, &options), GS_OK);
      port = gs_server_port (server);
      if (!rows[i].listening)
        gs_server_destroy (server);
      fetch_path (&fetch, port, rows[i].path);
      CU_ASSERT_EQUAL (fetch.status, rows[i].status);
      if (rows[i].status == GS_OK)
        CU_ASSERT_STRING_EQUAL (fetch.body->str, "hello");
      if (rows[i].listening)
        gs_server_destroy (server);
      g_string_free (fetch.body, TRUE);
    }
}

#define UPLOAD_BYTES ((size_t)32 << 20)

typedef struct
{
  const char *head;
  bool reads_upload; /* before the answer */
  bool resets;       /* in place of closing */
  gs_status_t status;
} early_answer_t;

static void
answer_early (void *context, raw_conn_t *conn)
{
  const early_answer_t *early = context;
  raw_message_t request;

  if (!raw_read_head (conn, &request))
    return;
  if (early->reads_upload)
    raw_read_body (conn, &request);
  raw_printf (conn, "%s", early->head);
  raw_printf (conn, "a part of the body");
  if (!early->resets)
    shutdown (conn->fd, SHUT_WR);
  /* The caller reads this before the connection is reset.  */
  g_usleep (100000);
  raw_reset_on_close (conn);
  raw_message_clear (&request);
}

/* Guards against a part of a body that is taken for the whole, because a
   server that fails ends its connection while the request is being sent.  */
static void
an_answer_without_length_ends_after_the_request (void)
{
  static const early_answer_t rows[] = {
    { "HTTP/1.1 200 OK\r\n\r\n", true, false, GS_OK },
    { "HTTP/1.1 200 OK\r\n\r\n", false, false, GS_EUNKNOWN },
    { "HTTP/1.1 200 OK\r\n\r\n", false, true, GS_EUNKNOWN },
    { "HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n", true, false, GS_OK },
    { "HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n", false, false,
      GS_EUNKNOWN },
    { "HTTP/1.1 413 Content Too Large\r\n\r\n", false, false, GS_OK },
  };
  char *body = g_strnfill (UPLOAD_BYTES, 'u');

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      gs_http_request_t request = GS_HTTP_REQUEST_INIT;
      fetch_t fetch = { 0 };
      raw_server_t *server;
      char *url;

      raw_server_create (&server, answer_early, (void *)&rows[i]);
      url = g_strdup_printf ("http://127.0.0.1:%u/", raw_server_port (server));
      gs_loop_create (&fetch.loop);
      fetch.body = g_string_new (NULL);
      request.method = "POST";
      request.url = url;
      request.body = body;
      request.body_length = UPLOAD_BYTES;
      request.on_done = on_fetched;
      request.context = &fetch;
      request.deadline = gs_clock_now () + 30 * GS_SEC;
      gs_loop_http (NULL, fetch.loop, &request);
      gs_loop_run (fetch.loop);
      if (fetch.status != rows[i].status)
        printf ("\n  row %zu: %s ", i, gs_status_name (fetch.status));
      CU_ASSERT_EQUAL (fetch.status, rows[i].status);
      gs_loop_destroy (fetch.loop);
      raw_server_destroy (server);
      g_string_free (fetch.body, TRUE);
      g_free (url);
    }
  g_free (body);
}

typedef struct
{
  const char *text;
  size_t length;
} cut_response_t;

static void
respond_cut (void *context, raw_conn_t *conn)
{
  const cut_response_t *response = context;
  raw_message_t request;

  if (!raw_read_request (conn, &request))
    return;
  raw_send (conn, response->text, response->length);
  raw_message_clear (&request);
}

/* Guards against a call that succeeds with an empty body.  */
static void
a_response_that_ends_within_its_head_is_not_received (void)
{
  static const char text[] = "HTTP/1.1 103 Early Hints\r\nX-More: 1\r\n\r\n"
                             "HTTP/1.1 200 OK\r\nX-Version: 1\r\n"
                             "Content-Type: text/plain\r\n\r\n";

  for (size_t length = 0; length < sizeof text; length++)
    {
      cut_response_t response = { text, length };
      fetch_t fetch = { 0 };
      raw_server_t *server;

      raw_server_create (&server, respond_cut, &response);
      fetch_path (&fetch, raw_server_port (server), "/");
      CU_ASSERT_EQUAL (fetch.status,
                       length < sizeof text - 1 ? GS_EUNKNOWN : GS_OK);
      raw_server_destroy (server);
      g_string_free (fetch.body, TRUE);
    }
}

#define RESPONSE_DEADLINE_MS 400

/* Times after the request, in milliseconds.  */
typedef struct
{
  unsigned head_ms; /* 0: never */
  unsigned body_ms; /* 0: never */
  gs_status_t status;
} slow_response_t;

static void
respond_slowly (void *context, raw_conn_t *conn)
{
  const slow_response_t *times = context;
  raw_message_t request;

  if (!raw_read_request (conn, &request))
    return;
  raw_message_clear (&request);
  if (times->head_ms != 0)
    {
      g_usleep (times->head_ms * 1000);
      raw_printf (conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe");
    }
  if (times->body_ms != 0)
    {
      g_usleep ((times->body_ms - times->head_ms) * 1000);
      raw_printf (conn, "llo");
    }
  raw_wait_close (conn, gs_clock_now () + 10 * GS_SEC);
}

/* A change that comes late in a long poll needs time to arrive, while a silent
   connection must be found early.  */
static void
a_response_that_has_begun_may_take_longer (void)
{
  static const slow_response_t rows[] = { { 100, 200, GS_OK },
                                          { 100, 900, GS_OK },
                                          { 0, 0, GS_ETIMEOUT },
                                          { 100, 0, GS_ETIMEOUT } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      gs_http_request_t request = GS_HTTP_REQUEST_INIT;
      gs_time_t begin = gs_clock_now ();
      raw_server_t *server;
      fetch_t fetch = { .body = g_string_new (NULL) };
      char *url;

      raw_server_create (&server, respond_slowly, (void *)&rows[i]);
      url = g_strdup_printf ("http://127.0.0.1:%u/", raw_server_port (server));
      gs_loop_create (&fetch.loop);
      request.url = url;
      request.on_done = on_fetched;
      request.context = &fetch;
      request.response_deadline = begin + RESPONSE_DEADLINE_MS * GS_MSEC;
      request.deadline = begin + 3 * GS_SEC;
      gs_loop_http (NULL, fetch.loop, &request);
      gs_loop_run (fetch.loop);
      CU_ASSERT_EQUAL (fetch.status, rows[i].status);
      if (rows[i].status == GS_OK)
        CU_ASSERT_STRING_EQUAL (fetch.body->str, "hello");
      CU_ASSERT_EQUAL (gs_clock_now () < begin + 2 * GS_SEC,
                       rows[i].status == GS_OK || rows[i].head_ms == 0);
      gs_loop_destroy (fetch.loop);
      raw_server_destroy (server);
      g_string_free (fetch.body, TRUE);
      g_free (url);
    }
}

/* More than the buffers of both ends of a connection hold.  */
#define LARGE_BODY_BYTES ((size_t)32 << 20)
/* TCP_USER_TIMEOUT and keepalive together must have ended a connection by
   then.  */
#define DEAD_TIMEOUT (6 * GS_SEC)

typedef struct
{
  gs_loop_t *loop;
  gs_time_t silent_until; /* when the server begins to read */
  gs_status_t status;
  gs_time_t ended_at;
} silent_transfer_t;

static void
serve_after_silence (void *context, raw_conn_t *conn)
{
  const silent_transfer_t *transfer = context;
  raw_message_t request;

  while (gs_clock_now () < transfer->silent_until)
    g_usleep (10000);
  if (!raw_read_request (conn, &request))
    return;
  raw_printf (conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  raw_message_clear (&request);
}

static void
on_silent_transfer_done (void *context, const gs_http_result_t *result)
{
  silent_transfer_t *transfer = context;

  transfer->status = result->status;
  transfer->ended_at = gs_clock_now ();
  gs_loop_stop (transfer->loop);
}

/* @param silence how long the server reads nothing */
static silent_transfer_t
send_to_silent_server (gs_time_t silence)
{
  silent_transfer_t transfer
      = { .silent_until = gs_clock_now () + silence, .status = GS_OK };
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  char *body = g_malloc0 (LARGE_BODY_BYTES);
  raw_server_t *server;
  char *url;

  gs_loop_create (&transfer.loop);
  raw_server_create (&server, serve_after_silence, &transfer);
  url = g_strdup_printf ("http://127.0.0.1:%u/", raw_server_port (server));
  request.method = "POST";
  request.url = url;
  request.body = body;
  request.body_length = LARGE_BODY_BYTES;
  request.tcp_keepalive = true;
  request.no_resend = true;
  request.on_done = on_silent_transfer_done;
  request.context = &transfer;
  gs_loop_http (NULL, transfer.loop, &request);
  gs_loop_run (transfer.loop);
  raw_server_destroy (server);
  gs_loop_destroy (transfer.loop);
  g_free (url);
  g_free (body);
  return transfer;
}

/* Guards against a TCP_USER_TIMEOUT that ends connections to a sound server
   which is silent for about a second.  */
static void
a_server_that_is_silent_for_a_second_keeps_its_connection (void)
{
  silent_transfer_t transfer = send_to_silent_server (1500 * GS_MSEC);

  CU_ASSERT_EQUAL (transfer.status, GS_OK);
}

/* Guards against connections that stay open without a sign of life: the server
   takes no more bytes and acknowledges none.  */
static void
a_server_that_takes_no_bytes_loses_its_connection (void)
{
  gs_time_t start = gs_clock_now ();
  silent_transfer_t transfer = send_to_silent_server (2 * DEAD_TIMEOUT);

  CU_ASSERT_EQUAL (transfer.status, GS_EUNKNOWN);
  CU_ASSERT (transfer.ended_at < start + DEAD_TIMEOUT);
}

#define SENDS_MAX 4
#define SEND_WHOLE 0
#define SEND_NO_ROOM (-1)
#define SEND_RESET (-2)

/* What the next calls of send() on this thread do: send everything, fail, or
   send as many bytes as the number says.  */
static __thread const int *send_plan;
static __thread unsigned sends_left;

/* Takes the place of send() in the C library, in libcurl too.  */
ssize_t send_as_planned (int fd, const void *data, size_t length,
                         int flags) __asm__("send");

ssize_t
send_as_planned (int fd, const void *data, size_t length, int flags)
{
  int planned = SEND_WHOLE;

  if (sends_left > 0)
    {
      planned = *send_plan++;
      sends_left--;
    }
  if (planned < 0)
    {
      errno = planned == SEND_NO_ROOM ? EAGAIN : ECONNRESET;
      return -1;
    }
  if (planned > 0)
    length = MIN (length, (size_t)planned);
  return syscall (SYS_sendto, fd, data, length, flags, NULL, 0);
}

typedef struct
{
  raw_server_t *server;
  bool answers_first; /* the first request on a connection is answered */
  bool resets;
  bool refuses;  /* new connections, from the first lost request on */
  unsigned lost; /* requests that arrived and were not answered */
} losing_server_t;

static void
lose_requests (void *context, raw_conn_t *conn)
{
  losing_server_t *losing = context;
  raw_message_t request;

  if (losing->answers_first)
    {
      if (!raw_read_request (conn, &request))
        return;
      raw_message_clear (&request);
      raw_printf (conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
  if (!raw_read_head (conn, &request))
    return;
  losing->lost++;
  if (losing->refuses)
    raw_server_refuse (losing->server);
  if (losing->resets)
    raw_reset_on_close (conn);
  raw_message_clear (&request);
}

static void
fetch_with_plan (fetch_t *fetch, const losing_server_t *losing,
                 size_t body_length, const int plan[SENDS_MAX])
{
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  char *url = g_strdup_printf ("http://127.0.0.1:%u/",
                               raw_server_port (losing->server));
  char *body = g_strnfill (body_length, 'x');

  request.method = "POST";
  request.url = url;
  request.body = body;
  request.body_length = body_length;
  request.no_resend = true;
  request.on_done = on_fetched;
  request.context = fetch;
  request.deadline = gs_clock_now () + 30 * GS_SEC;
  gs_loop_http (NULL, fetch->loop, &request);
  send_plan = plan;
  sends_left = plan != NULL ? SENDS_MAX : 0;
  gs_loop_run (fetch->loop);
  sends_left = 0;
  g_free (body);
  g_free (url);
}

/* Guards against a request that has run and is taken for one that was not
   sent, as its first bytes had to wait for room in the socket.  */
static void
a_request_that_a_server_received_is_never_called_unsent (void)
{
  static const size_t body_lengths[] = { 20, 60000, 200000 };
  static const int plans[][SENDS_MAX]
      = { { SEND_WHOLE },
          { SEND_NO_ROOM },
          { SEND_NO_ROOM, SEND_NO_ROOM },
          { SEND_NO_ROOM, 10 },
          { SEND_NO_ROOM, 10, SEND_RESET },
          { SEND_NO_ROOM, 500, SEND_NO_ROOM, SEND_RESET },
          { SEND_NO_ROOM, SEND_RESET },
          { 10 },
          { 10, SEND_NO_ROOM },
          { 500, SEND_RESET },
          { SEND_RESET } };
  unsigned called_unsent = 0;
  unsigned lost = 0;

  for (unsigned i = 0; i < G_N_ELEMENTS (plans) * 3 * 8; i++)
    {
      losing_server_t losing = { .answers_first = (i & 1) != 0,
                                 .resets = (i & 2) != 0,
                                 .refuses = (i & 4) != 0 };
      size_t body_length = body_lengths[i / 8 % 3];
      fetch_t fetch = { .body = g_string_new (NULL) };

      raw_server_create (&losing.server, lose_requests, &losing);
      gs_loop_create (&fetch.loop);
      if (losing.answers_first)
        fetch_with_plan (&fetch, &losing, body_length, NULL);
      fetch_with_plan (&fetch, &losing, body_length, plans[i / 24]);
      gs_loop_destroy (fetch.loop);
      raw_server_destroy (losing.server);
      CU_ASSERT_NOT_EQUAL (fetch.status, GS_OK);
      lost += losing.lost;
      called_unsent += losing.lost > 0 && fetch.status == GS_EUNREACHABLE;
      g_string_free (fetch.body, TRUE);
    }
  printf ("\n  %u of %u requests that arrived are called unsent ",
          called_unsent, lost);
  CU_ASSERT (lost > 0);
  CU_ASSERT_EQUAL (called_unsent, 0);
}

typedef struct
{
  const char *response;
  atomic_uint connections;
  atomic_uint requests;
} keeping_server_t;

static void
serve_kept (void *context, raw_conn_t *conn)
{
  keeping_server_t *keeping = context;
  raw_message_t request;

  atomic_fetch_add (&keeping->connections, 1);
  while (raw_read_request (conn, &request))
    {
      raw_message_clear (&request);
      atomic_fetch_add (&keeping->requests, 1);
      raw_printf (conn, "%s", keeping->response);
    }
}

typedef struct
{
  fetch_t fetch; /* the context of on_fetched() */
  gs_http_call_t *call;
  bool retires;
} retiring_t;

static bool
retire_at_end_of_head (void *context, const char *line, size_t length)
{
  retiring_t *retiring = context;

  (void)length;
  if (retiring->retires && line[0] == '\r')
    gs_loop_http_connection_retire (retiring->call);
  return true;
}

static void
fetch_kept (retiring_t *retiring, uint16_t port)
{
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  char *url = g_strdup_printf ("http://127.0.0.1:%u/", port);

  request.method = "POST";
  request.url = url;
  request.body = "hello";
  request.body_length = 5;
  request.no_resend = true;
  request.on_line = retire_at_end_of_head;
  request.on_done = on_fetched;
  request.context = retiring;
  request.deadline = gs_clock_now () + 30 * GS_SEC;
  gs_loop_http (&retiring->call, retiring->fetch.loop, &request);
  gs_loop_run (retiring->fetch.loop);
  CU_ASSERT_EQUAL (retiring->fetch.status, GS_OK);
  g_free (url);
}

#define KEPT_REQUESTS 4

/* Guards against a request on a connection that must carry no other one.  */
static void
a_retired_connection_carries_no_other_request (void)
{
  static const char *const responses[]
      = { "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 429 X\r\nContent-Length: 4\r\n\r\nbusy",
          "HTTP/1.1 421 X\r\nTransfer-Encoding: chunked\r\n\r\n"
          "4\r\nbusy\r\n0\r\nX-More: 1\r\n\r\n",
          "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 503 X\r\n"
          "Connection: keep-alive\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 204 X\r\n\r\n" };

  for (size_t i = 0; i < 2 * G_N_ELEMENTS (responses); i++)
    {
      keeping_server_t keeping = { .response = responses[i / 2] };
      retiring_t retiring = { .fetch = { .body = g_string_new (NULL) },
                              .retires = i % 2 != 0 };
      raw_server_t *server;

      raw_server_create (&server, serve_kept, &keeping);
      gs_loop_create (&retiring.fetch.loop);
      for (unsigned j = 0; j < KEPT_REQUESTS; j++)
        fetch_kept (&retiring, raw_server_port (server));
      gs_loop_destroy (retiring.fetch.loop);
      raw_server_destroy (server);
      CU_ASSERT_EQUAL (atomic_load (&keeping.requests), KEPT_REQUESTS);
      CU_ASSERT_EQUAL (atomic_load (&keeping.connections),
                       retiring.retires ? KEPT_REQUESTS : 1);
      g_string_free (retiring.fetch.body, TRUE);
    }
}

typedef enum
{
  UNREAD_COPY,    /* the answer once more */
  UNREAD_GARBAGE, /* bytes that are no answer */
  UNREAD_BYTE,    /* the first byte of an answer */
  UNREAD_END,     /* the connection is closed */
  UNREAD_COUNT
} unread_kind_t;

typedef struct
{
  unread_kind_t kind;
  atomic_uint connections;
  atomic_uint arrivals;
  atomic_bool answered; /* the client has read the first answer */
  atomic_bool written;  /* what follows it */
} unread_server_t;

static void
answer_with_surplus (void *context, raw_conn_t *conn)
{
  unread_server_t *server = context;
  bool is_first = atomic_fetch_add (&server->connections, 1) == 0;
  raw_message_t request;

  while (raw_read_request (conn, &request))
    {
      atomic_fetch_add (&server->arrivals, 1);
      raw_printf (conn, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                  request.body->len, request.body->str);
      if (is_first)
        {
          while (!atomic_load (&server->answered))
            g_usleep (1000);
          if (server->kind == UNREAD_COPY)
            raw_printf (conn,
                        "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                        request.body->len, request.body->str);
          else if (server->kind != UNREAD_END)
            raw_printf (conn, server->kind == UNREAD_BYTE ? "H" : "xxxx\r\n");
          else
            shutdown (conn->fd, SHUT_WR);
          atomic_store (&server->written, true);
        }
      is_first = false;
      raw_message_clear (&request);
    }
}

static void
send_text (fetch_t *fetch, const raw_server_t *server, const char *text,
           bool no_resend)
{
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  char *url
      = g_strdup_printf ("http://127.0.0.1:%u/", raw_server_port (server));

  request.method = "POST";
  request.url = url;
  request.body = text;
  request.body_length = strlen (text);
  request.no_resend = no_resend;
  request.deadline = gs_clock_now () + 30 * GS_SEC;
  request.on_done = on_fetched;
  request.context = fetch;
  gs_loop_http (NULL, fetch->loop, &request);
  gs_loop_run (fetch->loop);
  g_free (url);
}

/* Guards against an answer that is read by the request after its own, and by
   all that follow: bytes that have arrived on a kept connection before a
   request is sent there do not belong to it.  */
static void
a_kept_connection_with_unread_bytes_carries_no_request (void)
{
  for (unsigned i = 0; i < 2 * UNREAD_COUNT; i++)
    {
      unread_server_t unread = { .kind = (unread_kind_t)(i / 2) };
      fetch_t fetch = { .body = g_string_new (NULL) };
      raw_server_t *server;

      raw_server_create (&server, answer_with_surplus, &unread);
      gs_loop_create (&fetch.loop);
      send_text (&fetch, server, "first", i % 2 == 0);
      CU_ASSERT_EQUAL (fetch.status, GS_OK);
      atomic_store (&unread.answered, true);
      while (!atomic_load (&unread.written))
        g_usleep (1000);
      send_text (&fetch, server, "second", i % 2 == 0);
      CU_ASSERT_EQUAL (fetch.status, GS_OK);
      CU_ASSERT_STRING_EQUAL (fetch.body->str, "second");
      send_text (&fetch, server, "third", i % 2 == 0);
      CU_ASSERT_EQUAL (fetch.status, GS_OK);
      CU_ASSERT_STRING_EQUAL (fetch.body->str, "third");
      CU_ASSERT_EQUAL (atomic_load (&unread.arrivals), 3);
      CU_ASSERT_EQUAL (atomic_load (&unread.connections), 2);
      printf ("\n  kind %u, no_resend %d: %s, \"%s\", %u arrivals, %u "
              "connections ",
              unread.kind, i % 2 == 0, gs_status_name (fetch.status),
              fetch.body->str, atomic_load (&unread.arrivals),
              atomic_load (&unread.connections));
      gs_loop_destroy (fetch.loop);
      raw_server_destroy (server);
      g_string_free (fetch.body, TRUE);
    }
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "an answer without length ends after the request",
      an_answer_without_length_ends_after_the_request },
    { "a server that is silent for a second keeps its connection",
      a_server_that_is_silent_for_a_second_keeps_its_connection },
    { "a server that takes no bytes loses its connection",
      a_server_that_takes_no_bytes_loses_its_connection },
    { "tasks_posted_by_many_threads_all_run",
      tasks_posted_by_many_threads_all_run },
    { "a task that posts itself leaves the loop its ticks",
      a_task_that_posts_itself_leaves_the_loop_its_ticks },
    { "no_callback_after_unwatch", no_callback_after_unwatch },
    { "a hang-up is not reported to the next connection of its descriptor",
      a_hangup_is_not_reported_to_the_next_connection_of_its_descriptor },
    { "request_status_tells_how_the_response_ended",
      request_status_tells_how_the_response_ended },
    { "a response that ends within its head is not received",
      a_response_that_ends_within_its_head_is_not_received },
    { "a request that a server received is never called unsent",
      a_request_that_a_server_received_is_never_called_unsent },
    { "a kept connection with unread bytes carries no request",
      a_kept_connection_with_unread_bytes_carries_no_request },
    { "a retired connection carries no other request",
      a_retired_connection_carries_no_other_request },
    { "a response that has begun may take longer",
      a_response_that_has_begun_may_take_longer },
  };

  return CHECK_RUN ("loop", cases);
}
