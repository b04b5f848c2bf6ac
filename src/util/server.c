#include "util/server_private.h"

#include "garnetstack/clock.h"
#include "util/listen_address.h"
#include "util/request_head.h"

#include <poll.h>
#include <string.h>

/* A body that is too long is read up to this multiple of the limit.  */
#define DISCARD_RATIO_MAX 8
#define STREAM_BLOCK_BYTES 16384
#define HTTP_BAD_REQUEST 400
#define HTTP_CONTENT_TOO_LARGE 413
#define HTTP_HEADERS_TOO_LARGE 431
#define HTTP_SERVICE_UNAVAILABLE 503
/* Memory of a connection that libmicrohttpd takes for each header, cookie and
   argument, besides the text.  */
#define HEADER_RECORD_BYTES 64
/* A request is accepted only if the head of its response may be as large as
   this; a smaller part of the memory of small connections.  */
#define RESPONSE_HEAD_BYTES_MIN 2048
#define RESPONSE_HEAD_MEMORY_DIVISOR 8
/* Limit of consecutive runs of a daemon that always has work, so that the
   loop gets to its other descriptors.  */
#define DAEMON_RUNS_MAX 16
/* Each run of a daemon reads once from a connection, so what a long head
   leaves of the connection's memory must not bound the bytes that a run reads.
 */
#define READ_BYTES_MIN 8192
/* The client has closed the connection or shut down its sending side.  Both
   count as a disconnect, because clients that wait for a response do not
   close half of a connection.  */
static void
on_hangup (void *context, int fd, short events)
{
  gs_exchange_t *exchange = context;
  gs_exchange_disconnect_cb_t on_disconnect = exchange->on_disconnect;

  (void)events;
  gs_loop_unwatch (exchange->server->loop, fd);
  exchange->watched_fd = -1;
  exchange->on_disconnect = NULL;
  if (on_disconnect != NULL)
    on_disconnect (exchange->disconnect_context);
}

/* libmicrohttpd does not notice a hang-up while a connection is suspended.  */
static void
watch_hangup (gs_exchange_t *exchange)
{
  gs_loop_t *loop = exchange->server->loop;

  if (loop == NULL || exchange->watched_fd >= 0
      || exchange->on_disconnect == NULL)
    return;
  exchange->watched_fd
      = MHD_get_connection_info (exchange->connection,
                                 MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
  gs_loop_watch (loop, exchange->watched_fd, POLLRDHUP, on_hangup, exchange);
}

/* The caller holds the lock from its check for data until the suspension is
   recorded.  Otherwise a resume in between would be lost.  */
static void
suspend_locked (gs_exchange_t *exchange)
{
  watch_hangup (exchange);
  MHD_suspend_connection (exchange->connection);
  exchange->suspended = true;
}

static ssize_t
read_stream (void *context, uint64_t position, char *buffer, size_t size)
{
  gs_exchange_t *exchange = context;
  ssize_t result;
  size_t unread;

  pthread_mutex_lock (&exchange->lock);
  unread = exchange->response_body->len - exchange->response_body_read;
  if (exchange->aborted)
    result = MHD_CONTENT_READER_END_WITH_ERROR;
  else if (unread > 0)
    {
      size_t count = MIN (unread, size);

      memcpy (buffer,
              exchange->response_body->str + exchange->response_body_read,
              count);
      exchange->response_body_read += count;
      if (exchange->response_body_read == exchange->response_body->len)
        gs_exchange_response_release (exchange);
      result = (ssize_t)count;
    }
  else if (exchange->ended)
    result = MHD_CONTENT_READER_END_OF_STREAM;
  else
    {
      suspend_locked (exchange);
      result = 0;
    }
  pthread_mutex_unlock (&exchange->lock);
  return result;
}

static void
release_stream (void *context)
{
  gs_exchange_unref (context);
}

static struct MHD_Response *
make_response (gs_exchange_t *exchange)
{
  struct MHD_Response *response;

  if (exchange->streaming)
    response = MHD_create_response_from_callback (
        MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream,
        gs_exchange_ref (exchange), release_stream);
  else
    {
      /* The library frees the body.  It is accounted for until the exchange
         ends.  */
      size_t length = exchange->response_body->len;
      char *body = g_string_free (exchange->response_body, FALSE);

      exchange->response_body = g_string_new (NULL);
      response = MHD_create_response_from_buffer (length, body,
                                                  MHD_RESPMEM_MUST_FREE);
    }
  if (exchange->content_type != NULL)
    MHD_add_response_header (response, "Content-Type", exchange->content_type);
  for (char **header = exchange->headers;
       header != NULL && header[0] != NULL && header[1] != NULL; header += 2)
    MHD_add_response_header (response, header[0], header[1]);
  return response;
}

static enum MHD_Result
queue_response (gs_exchange_t *exchange)
{
  struct MHD_Response *response;
  enum MHD_Result result;

  if (exchange->aborted && !exchange->streaming)
    return MHD_NO;
  response = make_response (exchange);
  exchange->queued = true;
  result
      = MHD_queue_response (exchange->connection, exchange->status, response);
  MHD_destroy_response (response);
  return result;
}

static gs_exchange_t *
exchange_new (gs_server_t *server, struct MHD_Connection *connection,
              const char *target)
{
  gs_exchange_t *exchange = g_new0 (gs_exchange_t, 1);

  atomic_init (&exchange->references, 1);
  pthread_mutex_init (&exchange->lock, NULL);
  exchange->server = server;
  exchange->connection = connection;
  exchange->target = g_strdup (target);
  exchange->raw_target = target;
  exchange->received_at = gs_clock_now ();
  exchange->watched_fd = -1;
  exchange->body = g_string_new (NULL);
  exchange->response_body = g_string_new (NULL);
  atomic_fetch_add (&server->open_count, 1);
  pthread_mutex_lock (&server->lock);
  if (server->stopping)
    {
      exchange->started = true;
      exchange->aborted = true;
      exchange->handled = true;
    }
  g_hash_table_insert (server->exchanges, connection, exchange);
  pthread_mutex_unlock (&server->lock);
  return exchange;
}

/* Called when the request line has been read, before the headers are.  */
static void *
on_request_line (void *context, const char *uri,
                 struct MHD_Connection *connection)
{
  return exchange_new (context, connection, uri);
}

static bool
reserve_body (gs_exchange_t *exchange, size_t length)
{
  gs_server_t *server = exchange->server;

  if (atomic_fetch_add (&server->body_bytes_reserved, length) + length
      > server->body_bytes_reserved_max)
    {
      atomic_fetch_sub (&server->body_bytes_reserved, length);
      return false;
    }
  exchange->body_bytes_reserved += length;
  return true;
}

/* Receives a part of the body.  A body above the limit is read and discarded
   up to a multiple of the limit, so that the client can read the error
   response.
   @return MHD_NO to close the connection  */
static enum MHD_Result
receive_body (gs_exchange_t *exchange, const char *data, size_t length)
{
  size_t limit = exchange->server->body_bytes_max;

  exchange->body_bytes_received += length;
  if (exchange->server->loop != NULL)
    exchange->server->body_expected
        |= exchange->body_bytes_received < exchange->body_bytes_announced;
  if (exchange->body_bytes_received > limit)
    exchange->rejection_status = HTTP_CONTENT_TOO_LARGE;
  else if (exchange->rejection_status == 0 && !reserve_body (exchange, length))
    exchange->rejection_status = HTTP_SERVICE_UNAVAILABLE;
  if (exchange->rejection_status == 0)
    g_string_append_len (exchange->body, data, (gssize)length);
  return exchange->body_bytes_received / DISCARD_RATIO_MAX > limit ? MHD_NO
                                                                   : MHD_YES;
}

static void
reply_rejection (gs_exchange_t *exchange)
{
  static const char *const retry[] = { "Retry-After", "1", NULL };
  static const char *const close[] = { "Connection", "close", NULL };
  const char *type = "too_large";
  const char *message = "the body is above the limit";
  const char *const *headers = NULL;
  char *text;

  if (exchange->rejection_status == HTTP_SERVICE_UNAVAILABLE)
    {
      type = "busy";
      message = "too many bodies at once";
      headers = retry;
    }
  else if (exchange->rejection_status == HTTP_BAD_REQUEST)
    {
      type = "bad_request";
      message = "the head cannot be read in one way only";
      headers = close;
    }
  else if (exchange->rejection_status == HTTP_HEADERS_TOO_LARGE)
    {
      type = "headers_too_large";
      message = "too many headers";
    }
  text = g_strdup_printf ("{\"error\":{\"type\":\"%s\",\"message\":\"%s\","
                          "\"request_id\":\"\",\"outcome\":\"not_run\"}}",
                          type, message);
  exchange->handled = true;
  gs_exchange_reply (exchange, exchange->rejection_status, "application/json",
                     headers, text, strlen (text));
  g_free (text);
}

/* libmicrohttpd reads into half of a connection's memory, which bytes of the
   next request may fill, or into more if the head is longer.  Records of what
   it has read, and the head of the response, have to fit into the rest.  */
static size_t
find_response_head_room (gs_exchange_t *exchange)
{
  struct MHD_Connection *connection = exchange->connection;
  size_t memory = exchange->server->connection_bytes;
  const char *cookies = gs_exchange_header (exchange, "Cookie");
  int records = MHD_get_connection_values (
      connection, MHD_HEADER_KIND | MHD_COOKIE_KIND | MHD_GET_ARGUMENT_KIND,
      NULL, NULL);
  size_t used = MAX (memory / 2, exchange->head_bytes)
                + (size_t)MAX (records, 0) * HEADER_RECORD_BYTES
                + (cookies != NULL ? strlen (cookies) : 0);

  return used < memory ? memory - used : 0;
}

static bool
has_response_head_room (const gs_exchange_t *exchange)
{
  size_t memory = exchange->server->connection_bytes;

  return exchange->response_head_bytes_max
         >= MIN ((size_t)RESPONSE_HEAD_BYTES_MIN,
                 memory / RESPONSE_HEAD_MEMORY_DIVISOR);
}

/* Checks the headers.  A body that is too long by its Content-Length is
   rejected before it is received.  */
static enum MHD_Result
check_headers (gs_exchange_t *exchange, const char *url, const char *method,
               const char *version)
{
  const char *length = gs_exchange_header (exchange, "Content-Length");
  uint64_t announced
      = length != NULL ? g_ascii_strtoull (length, NULL, 10) : UINT64_MAX;
  gs_request_line_t line = { exchange->connection, method, exchange->target,
                             exchange->raw_target, version };
  enum MHD_Result result;

  exchange->headers_checked = true;
  exchange->body_bytes_announced = announced;
  exchange->method = g_strdup (method);
  exchange->path = g_strdup (url);
  exchange->head_bytes
      = MHD_get_connection_info (exchange->connection,
                                 MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
            ->header_size;
  exchange->response_head_bytes_max = find_response_head_room (exchange);
  if (!gs_request_head_is_sound (&line))
    exchange->rejection_status = HTTP_BAD_REQUEST;
  else if (!has_response_head_room (exchange))
    exchange->rejection_status = HTTP_HEADERS_TOO_LARGE;
  else if (length != NULL && announced > exchange->server->body_bytes_max)
    exchange->rejection_status = HTTP_CONTENT_TOO_LARGE;
  else
    return MHD_YES;
  reply_rejection (exchange);
  pthread_mutex_lock (&exchange->lock);
  result = queue_response (exchange);
  pthread_mutex_unlock (&exchange->lock);
  return result;
}

static gs_sweep_connection_t *
sweep_connection_of (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection,
                                  MHD_CONNECTION_INFO_SOCKET_CONTEXT)
      ->socket_context;
}

static enum MHD_Result
on_request (void *context, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *upload,
            size_t *upload_size, void **state)
{
  gs_server_t *server = context;
  gs_exchange_t *exchange = *state;
  enum MHD_Result result = MHD_YES;

  if (!exchange->headers_checked)
    MHD_set_connection_option (connection, MHD_CONNECTION_OPTION_TIMEOUT,
                               atomic_load (&server->idle_seconds));
  if (!exchange->headers_checked)
    return check_headers (exchange, url, method, version);
  if (*upload_size > 0)
    {
      result = receive_body (exchange, upload, *upload_size);
      *upload_size = 0;
      return result;
    }
  if (!exchange->handled)
    {
      exchange->handled = true;
      gs_sweep_timeout_stop (sweep_connection_of (connection));
      if (exchange->rejection_status != 0)
        reply_rejection (exchange);
      else
        server->handler (server->context, exchange);
    }
  pthread_mutex_lock (&exchange->lock);
  if (exchange->queued)
    result = MHD_YES;
  else if (exchange->started)
    result = queue_response (exchange);
  else
    suspend_locked (exchange);
  pthread_mutex_unlock (&exchange->lock);
  return result;
}

static void
on_completed (void *context, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  gs_server_t *server = context;
  gs_exchange_t *exchange = *state;

  if (exchange == NULL)
    return;
  if (exchange->watched_fd >= 0)
    gs_loop_unwatch (server->loop, exchange->watched_fd);
  exchange->watched_fd = -1;
  gs_sweep_timeout_start (sweep_connection_of (connection));
  pthread_mutex_lock (&exchange->lock);
  exchange->connection = NULL;
  gs_exchange_response_release (exchange);
  pthread_mutex_unlock (&exchange->lock);
  if (exchange->on_disconnect != NULL
      && code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
    exchange->on_disconnect (exchange->disconnect_context);
  exchange->on_disconnect = NULL;
  pthread_mutex_lock (&server->lock);
  g_hash_table_remove (server->exchanges, connection);
  pthread_mutex_unlock (&server->lock);
  atomic_fetch_sub (&server->open_count, 1);
  atomic_fetch_sub (&server->body_bytes_reserved,
                    exchange->body_bytes_reserved);
  gs_exchange_unref (exchange);
  *state = NULL;
}

/* libmicrohttpd reports no end of a request whose arguments find no room in
   the connection's memory.  */
static void
on_connection (void *context, struct MHD_Connection *connection,
               void **socket_context, enum MHD_ConnectionNotificationCode code)
{
  gs_server_t *server = context;
  void *exchange;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    *socket_context = gs_sweep_connection_add (
        server->sweep,
        MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd);
  else
    {
      pthread_mutex_lock (&server->lock);
      exchange = g_hash_table_lookup (server->exchanges, connection);
      pthread_mutex_unlock (&server->lock);
      on_completed (server, connection, &exchange,
                    MHD_REQUEST_TERMINATED_WITH_ERROR);
      gs_sweep_connection_remove (*socket_context);
    }
}

static void
server_free (gs_server_t *server)
{
  if (server->exchanges != NULL)
    {
      gs_sweep_destroy (server->sweep);
      g_hash_table_unref (server->exchanges);
      pthread_mutex_destroy (&server->lock);
    }
  g_free (server);
}

/* Runs the daemon until it has no work that is ready.  Its descriptor does not
   become readable for such work, so what is left after DAEMON_RUNS_MAX runs
   is done in a task of its own.  The rest of a body may have arrived although
   the daemon does not report it.  */
static void
run_daemon (void *context, int fd, short events)
{
  gs_server_t *server = context;
  MHD_UNSIGNED_LONG_LONG timeout_ms;

  (void)fd;
  (void)events;
  for (unsigned runs = 0; runs < DAEMON_RUNS_MAX; runs++)
    {
      server->body_expected = false;
      MHD_run (server->daemon);
      if (!server->body_expected
          && (MHD_get_timeout (server->daemon, &timeout_ms) != MHD_YES
              || timeout_ms > 0))
        return;
    }
  gs_server_run_post (server);
}

static void
on_posted_run (void *context)
{
  gs_server_t *server = context;

  server->run_pending = false;
  run_daemon (server, -1, 0);
}

/* Resuming a connection does not wake a daemon that has no thread.  */
void
gs_server_run_post (gs_server_t *server)
{
  if (server->loop == NULL || server->run_pending)
    return;
  server->run_pending = true;
  if (gs_loop_post (server->loop, on_posted_run, server) != GS_OK)
    server->run_pending = false;
}

void
gs_server_tick (gs_server_t *server)
{
  gs_sweep_run (server->sweep);
  run_daemon (server, -1, 0);
}

void
gs_server_idle_timeout_set (gs_server_t *server, unsigned seconds)
{
  atomic_store (&server->idle_seconds, seconds);
}

gs_status_t
gs_server_create (gs_server_t **out, const gs_server_options_t *options)
{
  gs_server_t *server = g_new0 (gs_server_t, 1);
  struct sockaddr_storage address;
  struct MHD_OptionItem tls[]
      = { { MHD_OPTION_HTTPS_MEM_CERT, 0, (void *)options->tls_certificate },
          { MHD_OPTION_HTTPS_MEM_KEY, 0, (void *)options->tls_key },
          { MHD_OPTION_END, 0, NULL } };
  unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
  gs_status_t status
      = gs_listen_address_parse (&address, options->address, options->port);

  *out = NULL;
  if (status != GS_OK)
    goto cleanup;
  if (options->loop == NULL)
    flags |= MHD_USE_INTERNAL_POLLING_THREAD;
  if (options->tls_certificate != NULL)
    flags |= MHD_USE_TLS;
  else
    tls[0] = (struct MHD_OptionItem){ MHD_OPTION_END, 0, NULL };
  if (address.ss_family == AF_INET6)
    flags |= MHD_USE_IPv6;
  server->handler = options->handler;
  server->context = options->context;
  server->connection_bytes = options->connection_bytes;
  server->body_bytes_max = options->body_bytes_max;
  server->pending_bytes_max = options->pending_bytes_max;
  server->response_memory = options->response_memory;
  server->body_bytes_reserved_max = options->bodies_bytes_max;
  pthread_mutex_init (&server->lock, NULL);
  server->exchanges = g_hash_table_new (NULL, NULL);
  server->loop = options->loop;
  atomic_init (&server->idle_seconds, options->idle_seconds);
  server->sweep = gs_sweep_create (
      (gs_time_t)options->receive_seconds * GS_SEC, options->loop == NULL);
  /* libmicrohttpd rejects a thread pool of size 1; 0 means no pool.  */
  server->daemon = MHD_start_daemon (
      flags, options->port, NULL, NULL, on_request, server,
      MHD_OPTION_URI_LOG_CALLBACK, on_request_line, server,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, server, MHD_OPTION_SOCK_ADDR,
      &address, MHD_OPTION_CONNECTION_LIMIT, options->connections_max,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, options->connection_bytes,
      MHD_OPTION_CONNECTION_TIMEOUT, options->idle_seconds,
      MHD_OPTION_THREAD_POOL_SIZE, options->threads > 1 ? options->threads : 0,
      MHD_OPTION_CONNECTION_MEMORY_INCREMENT,
      MIN ((size_t)READ_BYTES_MIN, options->connection_bytes / 4),
      MHD_OPTION_ARRAY, tls, MHD_OPTION_END);
  if (server->daemon == NULL)
    status = gs_error_set (GS_EIO, "cannot listen on %s port %u",
                           options->address, options->port);
  else if (options->loop != NULL)
    {
      server->ready_fd
          = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD)
                ->epoll_fd;
      gs_loop_watch (options->loop, server->ready_fd, POLLIN, run_daemon,
                     server);
    }

cleanup:
  if (status != GS_OK)
    server_free (server);
  else
    *out = server;
  return status;
}

void
gs_server_quiesce (gs_server_t *server)
{
  MHD_socket listener = MHD_quiesce_daemon (server->daemon);

  if (listener != MHD_INVALID_SOCKET)
    close (listener);
}

unsigned
gs_server_open_count (gs_server_t *server)
{
  return atomic_load (&server->open_count);
}

size_t
gs_server_body_bytes (gs_server_t *server)
{
  return atomic_load (&server->body_bytes_reserved);
}

/* libmicrohttpd aborts the process when a daemon is stopped while one of its
   connections is suspended, so each open exchange is aborted first.  */
static void
abort_open_exchanges (gs_server_t *server)
{
  GHashTableIter iter;
  gpointer exchange;

  pthread_mutex_lock (&server->lock);
  server->stopping = true;
  g_hash_table_iter_init (&iter, server->exchanges);
  while (g_hash_table_iter_next (&iter, NULL, &exchange))
    gs_exchange_abort (exchange);
  pthread_mutex_unlock (&server->lock);
}

void
gs_server_destroy (gs_server_t *server)
{
  if (server == NULL)
    return;
  abort_open_exchanges (server);
  if (server->loop != NULL)
    {
      gs_loop_unwatch (server->loop, server->ready_fd);
      run_daemon (server, -1, 0);
    }
  MHD_stop_daemon (server->daemon);
  server_free (server);
}

uint16_t
gs_server_port (const gs_server_t *server)
{
  return MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}
