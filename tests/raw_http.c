#include "raw_http.h"

#include "reserved_port.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BLOCK_BYTES 16384
#define LISTEN_BACKLOG_MAX 64

/* More than a backlog of one connection holds.  */
#define FILLERS_COUNT 4

#define LOOPBACK_NETWORK (INADDR_LOOPBACK & IN_CLASSA_NET)

struct raw_server
{
  int fd;
  uint32_t address; /* in host byte order */
  uint16_t port;
  reserved_port_t reserved; /* its port is 0 when the caller chose one */
  raw_handler_t handler;
  void *context;
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t conn_ended;
  GHashTable *fds; /* of open connections */
  bool stopping;
  bool hung; /* accepts no connections */
  pthread_cond_t unhung;
  int fillers[FILLERS_COUNT]; /* take the listener's backlog while it hangs */
};

typedef struct
{
  raw_server_t *server;
  int fd;
} server_conn_t;

void
raw_message_clear (raw_message_t *message)
{
  g_free (message->first_line);
  g_free (message->head);
  if (message->body != NULL)
    g_string_free (message->body, TRUE);
  *message = (raw_message_t){ NULL, NULL, NULL };
}

char *
raw_message_header (const raw_message_t *message, const char *name)
{
  char **lines = g_strsplit (message->head, "\r\n", -1);
  size_t length = strlen (name);
  char *value = NULL;

  for (char **line = lines; *line != NULL && value == NULL; line++)
    if (g_ascii_strncasecmp (*line, name, length) == 0
        && (*line)[length] == ':')
      value = g_strstrip (g_strdup (*line + length + 1));
  g_strfreev (lines);
  return value;
}

static bool
receive (raw_conn_t *conn)
{
  char block[BLOCK_BYTES];
  ssize_t count;

  do
    count = recv (conn->fd, block, sizeof block, 0);
  while (count < 0 && errno == EINTR);
  if (count <= 0)
    return false;
  g_string_append_len (conn->received, block, count);
  return true;
}

static bool
read_bytes (raw_conn_t *conn, GString *out, size_t length)
{
  while (conn->received->len < length)
    if (!receive (conn))
      return false;
  g_string_append_len (out, conn->received->str, (gssize)length);
  g_string_erase (conn->received, 0, (gssize)length);
  return true;
}

/* @return text up to and including @p end, freed by the caller; NULL if the
   connection ended first  */
static char *
read_through (raw_conn_t *conn, const char *end)
{
  char *found;
  char *text;

  while ((found = strstr (conn->received->str, end)) == NULL)
    if (!receive (conn))
      return NULL;
  text = g_strndup (conn->received->str,
                    (gsize)(found - conn->received->str) + strlen (end));
  g_string_erase (conn->received, 0, (gssize)strlen (text));
  return text;
}

static bool
read_chunks (raw_conn_t *conn, GString *out)
{
  GString *line_end = g_string_new (NULL);
  size_t size;
  bool complete = true;

  do
    {
      char *line = read_through (conn, "\r\n");

      if (line == NULL)
        {
          complete = false;
          break;
        }
      size = strtoul (line, NULL, 16);
      g_free (line);
      complete
          = read_bytes (conn, out, size) && read_bytes (conn, line_end, 2);
    }
  while (complete && size > 0);
  g_string_free (line_end, TRUE);
  return complete;
}

bool
raw_read_head (raw_conn_t *conn, raw_message_t *out)
{
  *out = (raw_message_t){ NULL, NULL, g_string_new (NULL) };
  out->head = read_through (conn, "\r\n\r\n");
  if (out->head == NULL)
    {
      raw_message_clear (out);
      return false;
    }
  out->first_line = g_strndup (out->head, strcspn (out->head, "\r"));
  return true;
}

bool
raw_read_body (raw_conn_t *conn, raw_message_t *message)
{
  char *length = raw_message_header (message, "Content-Length");
  char *coding = raw_message_header (message, "Transfer-Encoding");
  bool complete = true;

  if (length != NULL)
    complete = read_bytes (conn, message->body, strtoul (length, NULL, 10));
  else if (coding != NULL)
    complete = read_chunks (conn, message->body);
  g_free (length);
  g_free (coding);
  return complete;
}

bool
raw_read_request (raw_conn_t *conn, raw_message_t *out)
{
  bool complete;

  if (!raw_read_head (conn, out))
    return false;
  complete = raw_read_body (conn, out);
  if (!complete)
    raw_message_clear (out);
  return complete;
}

void
raw_send (raw_conn_t *conn, const char *data, size_t length)
{
  while (length > 0)
    {
      ssize_t count = send (conn->fd, data, length, MSG_NOSIGNAL);

      if (count <= 0)
        return;
      data += count;
      length -= (size_t)count;
    }
}

void
raw_printf (raw_conn_t *conn, const char *format, ...)
{
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  raw_send (conn, text, strlen (text));
  g_free (text);
}

void
raw_reset_on_close (raw_conn_t *conn)
{
  struct linger at_once = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (conn->fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

bool
raw_wait_close (raw_conn_t *conn, gs_time_t deadline)
{
  for (;;)
    {
      struct pollfd polled = { .fd = conn->fd, .events = POLLIN };
      gs_time_t left = deadline - gs_clock_now ();

      if (left <= 0)
        return false;
      if (poll (&polled, 1, (int)(left / GS_MSEC) + 1) > 0 && !receive (conn))
        return true;
    }
}

static void *
conn_run (void *context)
{
  server_conn_t *accepted = context;
  raw_server_t *server = accepted->server;
  raw_conn_t conn = { accepted->fd, g_string_new (NULL) };

  server->handler (server->context, &conn);
  pthread_mutex_lock (&server->lock);
  g_hash_table_remove (server->fds, GINT_TO_POINTER (conn.fd));
  raw_close (&conn);
  pthread_cond_signal (&server->conn_ended);
  pthread_mutex_unlock (&server->lock);
  g_free (accepted);
  return NULL;
}

static void *
listener_run (void *context)
{
  raw_server_t *server = context;

  for (;;)
    {
      /* A process that is started later would keep the connection open when
         its handler has closed it.  */
      int fd = accept4 (server->fd, NULL, NULL, SOCK_CLOEXEC);
      server_conn_t *accepted;
      pthread_t thread;

      if (fd < 0)
        return NULL;
      pthread_mutex_lock (&server->lock);
      while (server->hung && !server->stopping)
        pthread_cond_wait (&server->unhung, &server->lock);
      pthread_mutex_unlock (&server->lock);
      accepted = g_new (server_conn_t, 1);
      *accepted = (server_conn_t){ server, fd };
      pthread_mutex_lock (&server->lock);
      g_hash_table_add (server->fds, GINT_TO_POINTER (fd));
      pthread_mutex_unlock (&server->lock);
      pthread_create (&thread, NULL, conn_run, accepted);
      pthread_detach (thread);
    }
}

static void
server_listen (raw_server_t *server, uint16_t port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int on = 1;

  server->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  address.sin_addr.s_addr = htonl (server->address);
  /* Connections from before a crash may still use the port.  */
  setsockopt (server->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (server->fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (server->fd, LISTEN_BACKLOG_MAX) != 0)
    {
      perror ("raw server");
      exit (1);
    }
  server->port = port;
  pthread_create (&server->thread, NULL, listener_run, server);
}

void
raw_server_create (raw_server_t **out, raw_handler_t handler, void *context)
{
  raw_server_create_at (out, INADDR_LOOPBACK, 0, handler, context);
}

/* A listener that is shut down gives up a port that the kernel has chosen for
   it, so a free port is reserved until the server is destroyed.  */
void
raw_server_create_at (raw_server_t **out, uint32_t address, uint16_t port,
                      raw_handler_t handler, void *context)
{
  raw_server_t *server = g_new0 (raw_server_t, 1);

  if (port == 0)
    {
      reserved_port_take (&server->reserved, address - LOOPBACK_NETWORK);
      port = server->reserved.port;
    }

  server->handler = handler;
  server->context = context;
  server->fds = g_hash_table_new (NULL, NULL);
  pthread_mutex_init (&server->lock, NULL);
  pthread_cond_init (&server->conn_ended, NULL);
  pthread_cond_init (&server->unhung, NULL);
  server->address = address;
  server_listen (server, port);
  *out = server;
}

uint16_t
raw_server_port (const raw_server_t *server)
{
  return server->port;
}

static void
connections_shut_down (raw_server_t *server)
{
  GHashTableIter iter;
  gpointer fd;

  pthread_mutex_lock (&server->lock);
  g_hash_table_iter_init (&iter, server->fds);
  while (g_hash_table_iter_next (&iter, &fd, NULL))
    shutdown (GPOINTER_TO_INT (fd), SHUT_RDWR);
  pthread_mutex_unlock (&server->lock);
}

/* Connecting to no address resets a connection, whatever its thread does.  */
void
raw_server_crash (raw_server_t *server)
{
  static const struct sockaddr none = { .sa_family = AF_UNSPEC };
  GHashTableIter iter;
  gpointer fd;

  shutdown (server->fd, SHUT_RDWR);
  pthread_mutex_lock (&server->lock);
  g_hash_table_iter_init (&iter, server->fds);
  while (g_hash_table_iter_next (&iter, &fd, NULL))
    (void)connect (GPOINTER_TO_INT (fd), &none, sizeof none);
  pthread_mutex_unlock (&server->lock);
}

void
raw_server_restart (raw_server_t *server)
{
  /* A listener that still runs would never be joined.  */
  shutdown (server->fd, SHUT_RDWR);
  pthread_join (server->thread, NULL);
  close (server->fd);
  server_listen (server, server->port);
}

void
raw_server_refuse (raw_server_t *server)
{
  shutdown (server->fd, SHUT_RDWR);
}

/* Connections that come while the backlog is full get no answer.  */
static void
backlog_fill (raw_server_t *server)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (server->port) };

  address.sin_addr.s_addr = htonl (server->address);
  listen (server->fd, 0);
  for (unsigned i = 0; i < FILLERS_COUNT; i++)
    {
      server->fillers[i]
          = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      (void)connect (server->fillers[i], (struct sockaddr *)&address,
                     sizeof address);
    }
}

void
raw_server_hang (raw_server_t *server, bool hung)
{
  pthread_mutex_lock (&server->lock);
  if (hung == server->hung)
    {
      pthread_mutex_unlock (&server->lock);
      return;
    }
  server->hung = hung;
  pthread_cond_broadcast (&server->unhung);
  pthread_mutex_unlock (&server->lock);
  if (hung)
    {
      backlog_fill (server);
      return;
    }
  for (unsigned i = 0; i < FILLERS_COUNT; i++)
    close (server->fillers[i]);
  listen (server->fd, LISTEN_BACKLOG_MAX);
}

void
raw_server_destroy (raw_server_t *server)
{
  if (server == NULL)
    return;
  raw_server_hang (server, false);
  shutdown (server->fd, SHUT_RDWR);
  pthread_join (server->thread, NULL);
  close (server->fd);
  if (server->reserved.port != 0)
    reserved_port_release (&server->reserved);
  connections_shut_down (server);
  pthread_mutex_lock (&server->lock);
  while (g_hash_table_size (server->fds) > 0)
    pthread_cond_wait (&server->conn_ended, &server->lock);
  pthread_mutex_unlock (&server->lock);
  pthread_cond_destroy (&server->unhung);
  pthread_cond_destroy (&server->conn_ended);
  pthread_mutex_destroy (&server->lock);
  g_hash_table_unref (server->fds);
  g_free (server);
}

bool
raw_connect (raw_conn_t *conn, uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  conn->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  conn->received = g_string_new (NULL);
  address.sin_port = htons (port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (connect (conn->fd, (struct sockaddr *)&address, sizeof address) == 0)
    return true;
  raw_close (conn);
  return false;
}

void
raw_close (raw_conn_t *conn)
{
  close (conn->fd);
  g_string_free (conn->received, TRUE);
  conn->received = NULL;
}

GString *
raw_read_until (raw_conn_t *conn, gs_time_t quiet, const char *until)
{
  GString *out;

  for (;;)
    {
      struct pollfd polled = { .fd = conn->fd, .events = POLLIN };

      if (until != NULL && strstr (conn->received->str, until) != NULL)
        break;
      if (poll (&polled, 1, (int)(quiet / GS_MSEC)) <= 0 || !receive (conn))
        break;
    }
  out = g_string_new_len (conn->received->str, (gssize)conn->received->len);
  g_string_truncate (conn->received, 0);
  return out;
}
