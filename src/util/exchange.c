#include "util/server_private.h"

/* A larger buffer is freed when all of it is sent.  */
#define KEPT_BUFFER_BYTES_MAX 4096
/* What libmicrohttpd writes in the head of a response: the status line, Date,
   Connection, and Content-Length or Transfer-Encoding.  */
#define OWN_HEAD_BYTES_MAX 256

gs_exchange_t *
gs_exchange_ref (gs_exchange_t *exchange)
{
  atomic_fetch_add (&exchange->references, 1);
  return exchange;
}

void
gs_exchange_unref (gs_exchange_t *exchange)
{
  if (exchange == NULL || atomic_fetch_sub (&exchange->references, 1) != 1)
    return;
  pthread_mutex_destroy (&exchange->lock);
  g_string_free (exchange->response_body, TRUE);
  g_string_free (exchange->body, TRUE);
  g_strfreev (exchange->headers);
  g_free (exchange->content_type);
  g_free (exchange->path);
  g_free (exchange->target);
  g_free (exchange->method);
  g_free (exchange);
}

static void
resume_locked (gs_exchange_t *exchange)
{
  if (!exchange->suspended || exchange->connection == NULL)
    return;
  exchange->suspended = false;
  MHD_resume_connection (exchange->connection);
  gs_server_run_post (exchange->server);
}

const char *
gs_exchange_method (const gs_exchange_t *exchange)
{
  return exchange->method;
}

const char *
gs_exchange_path (const gs_exchange_t *exchange)
{
  return exchange->path;
}

const char *
gs_exchange_target (const gs_exchange_t *exchange)
{
  return exchange->target;
}

const char *
gs_exchange_header (const gs_exchange_t *exchange, const char *name)
{
  return MHD_lookup_connection_value (exchange->connection, MHD_HEADER_KIND,
                                      name);
}

typedef struct
{
  gs_exchange_header_cb_t callback;
  void *context;
} header_iteration_t;

static enum MHD_Result
on_header (void *context, enum MHD_ValueKind kind, const char *name,
           const char *value)
{
  header_iteration_t *iteration = context;

  (void)kind;
  iteration->callback (iteration->context, name, value != NULL ? value : "");
  return MHD_YES;
}

void
gs_exchange_each_header (const gs_exchange_t *exchange,
                         gs_exchange_header_cb_t callback, void *context)
{
  header_iteration_t iteration = { callback, context };

  MHD_get_connection_values (exchange->connection, MHD_HEADER_KIND, on_header,
                             &iteration);
}

size_t
gs_exchange_head_bytes (const gs_exchange_t *exchange)
{
  return exchange->head_bytes;
}

static size_t
header_bytes (const char *name, const char *value)
{
  return strlen (name) + strlen (": ") + strlen (value) + strlen ("\r\n");
}

bool
gs_exchange_head_fits (const gs_exchange_t *exchange, const char *content_type,
                       const char *const *headers)
{
  size_t bytes = OWN_HEAD_BYTES_MAX;

  if (content_type != NULL)
    bytes += header_bytes ("Content-Type", content_type);
  for (; headers != NULL && headers[0] != NULL && headers[1] != NULL;
       headers += 2)
    bytes += header_bytes (headers[0], headers[1]);
  return bytes <= exchange->response_head_bytes_max;
}

gs_time_t
gs_exchange_received_at (const gs_exchange_t *exchange)
{
  return exchange->received_at;
}

void
gs_exchange_disconnect_cb_set (gs_exchange_t *exchange,
                               gs_exchange_disconnect_cb_t callback,
                               void *context)
{
  exchange->on_disconnect = callback;
  exchange->disconnect_context = context;
}

const char *
gs_exchange_query (const gs_exchange_t *exchange, const char *name)
{
  return MHD_lookup_connection_value (exchange->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

const char *
gs_exchange_body (const gs_exchange_t *exchange, size_t *length)
{
  if (length != NULL)
    *length = exchange->body->len;
  return exchange->body->str;
}

/* The server may be gone when nothing is accounted for.  */
static void
account_locked (gs_exchange_t *exchange, size_t length)
{
  size_t accounted = exchange->response_bytes_accounted;

  if (length > accounted)
    response_memory_add (exchange->server->response_memory,
                         length - accounted);
  else if (length < accounted)
    response_memory_return (exchange->server->response_memory,
                            accounted - length);
  exchange->response_bytes_accounted = length;
}

void
gs_exchange_response_release (gs_exchange_t *exchange)
{
  if (exchange->response_body->allocated_len > KEPT_BUFFER_BYTES_MAX)
    {
      g_string_free (exchange->response_body, TRUE);
      exchange->response_body = g_string_new (NULL);
    }
  g_string_truncate (exchange->response_body, 0);
  exchange->response_body_read = 0;
  account_locked (exchange, 0);
}

static void
start_locked (gs_exchange_t *exchange, unsigned status,
              const char *content_type, const char *const *headers)
{
  exchange->started = true;
  exchange->status = status;
  exchange->content_type = g_strdup (content_type);
  exchange->headers = g_strdupv ((char **)headers);
}

void
gs_exchange_reply (gs_exchange_t *exchange, unsigned status,
                   const char *content_type, const char *const *headers,
                   const char *body, size_t length)
{
  pthread_mutex_lock (&exchange->lock);
  if (!exchange->started)
    {
      start_locked (exchange, status, content_type, headers);
      g_string_append_len (exchange->response_body, body, (gssize)length);
      if (exchange->connection != NULL
          && exchange->server->response_memory != NULL)
        account_locked (exchange, length);
      exchange->ended = true;
      resume_locked (exchange);
    }
  pthread_mutex_unlock (&exchange->lock);
}

void
gs_exchange_start (gs_exchange_t *exchange, unsigned status,
                   const char *content_type, const char *const *headers)
{
  pthread_mutex_lock (&exchange->lock);
  if (!exchange->started)
    {
      start_locked (exchange, status, content_type, headers);
      exchange->streaming = true;
      resume_locked (exchange);
    }
  pthread_mutex_unlock (&exchange->lock);
}

/* Moves unsent data to the begin of the buffer when at least half of it is
   sent, so that a buffer that never gets empty does not grow without bound. */
static void
compact_locked (gs_exchange_t *exchange)
{
  size_t sent = exchange->response_body_read;

  if (sent < exchange->response_body->len - sent)
    return;
  g_string_erase (exchange->response_body, 0, (gssize)sent);
  exchange->response_body_read = 0;
  if (exchange->server->response_memory != NULL)
    account_locked (exchange, exchange->response_body->len);
}

/* @return false if the response holds too much  */
static bool
append_locked (gs_exchange_t *exchange, const char *data, size_t length)
{
  response_memory_t *memory = exchange->server->response_memory;

  compact_locked (exchange);
  if (exchange->response_body->len - exchange->response_body_read + length
      > exchange->server->pending_bytes_max)
    return false;
  if (memory != NULL)
    {
      if (!response_memory_take (memory, exchange->response_bytes_accounted,
                                 length))
        return false;
      exchange->response_bytes_accounted += length;
    }
  g_string_append_len (exchange->response_body, data, (gssize)length);
  return true;
}

static void
abort_locked (gs_exchange_t *exchange)
{
  gs_exchange_response_release (exchange);
  exchange->started = true;
  exchange->aborted = true;
  exchange->ended = true;
}

bool
gs_exchange_write (gs_exchange_t *exchange, const char *data, size_t length)
{
  bool accepted = true;

  pthread_mutex_lock (&exchange->lock);
  if (exchange->connection != NULL && !exchange->ended)
    {
      accepted = append_locked (exchange, data, length);
      if (!accepted)
        abort_locked (exchange);
      resume_locked (exchange);
    }
  pthread_mutex_unlock (&exchange->lock);
  return accepted;
}

size_t
gs_exchange_unsent_bytes (gs_exchange_t *exchange)
{
  size_t unsent;

  pthread_mutex_lock (&exchange->lock);
  unsent = exchange->response_body->len - exchange->response_body_read;
  pthread_mutex_unlock (&exchange->lock);
  return unsent;
}

void
gs_exchange_finish (gs_exchange_t *exchange)
{
  pthread_mutex_lock (&exchange->lock);
  exchange->ended = true;
  resume_locked (exchange);
  pthread_mutex_unlock (&exchange->lock);
}

void
gs_exchange_abort (gs_exchange_t *exchange)
{
  pthread_mutex_lock (&exchange->lock);
  abort_locked (exchange);
  resume_locked (exchange);
  pthread_mutex_unlock (&exchange->lock);
}

bool
gs_exchange_closed (gs_exchange_t *exchange)
{
  bool closed;

  pthread_mutex_lock (&exchange->lock);
  closed = exchange->connection == NULL;
  pthread_mutex_unlock (&exchange->lock);
  return closed;
}
