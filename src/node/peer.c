#include "node/peer_private.h"

#include "garnetstack/clock.h"
#include "garnetstack/log.h"
#include "garnetstack/loop.h"
#include "garnetstack/metrics.h"
#include "garnetstack/rng.h"
#include "garnetstack/thread.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TICK_INTERVAL (100 * GS_MSEC)
#define HEARTBEAT_INTERVAL_MIN (400 * GS_MSEC)
/* Interval added per peer: at most 83 heartbeats per second are sent.  */
#define HEARTBEAT_INTERVAL_PER_PEER (12 * GS_MSEC)
/* After this many missed heartbeats a second connection is tried.  */
#define MISSED_HEARTBEATS_SUSPECT 3
/* After this many missed heartbeats the connection is closed; the peer counts
   as down when it has no other.  */
#define MISSED_HEARTBEATS_DEAD 5
#define REDIAL_INTERVAL (500 * GS_MSEC)
#define HANDSHAKE_TIMEOUT (2 * GS_SEC)
#define READ_BYTES_MAX 65536
#define OUT_BYTES_MAX ((size_t)64 << 20)

static void on_connection_ready (void *context, int fd, short events);

gs_time_t
gs_peer_heartbeat_interval (size_t peers)
{
  return MAX (HEARTBEAT_INTERVAL_MIN,
              (gs_time_t)peers * HEARTBEAT_INTERVAL_PER_PEER);
}

gs_peer_connection_t *
gs_peer_connection_find (const gs_peer_t *peer, uint64_t incarnation,
                         const gs_peer_connection_t *except)
{
  gs_peer_connection_t *found = NULL;

  for (guint i = 0; i < peer->connections->len; i++)
    {
      gs_peer_connection_t *connection = peer->connections->pdata[i];

      if (connection != except && connection->verified
          && connection->incarnation == incarnation
          && (found == NULL || connection->opened_at > found->opened_at))
        found = connection;
    }
  return found;
}

void
gs_peer_connection_watch (gs_peer_connection_t *connection)
{
  short events = POLLIN;

  if (connection->connecting || connection->out->len > 0)
    events |= POLLOUT;
  gs_loop_watch (connection->peer->loop, connection->fd, events,
                 on_connection_ready, connection);
}

static void
connection_close (gs_peer_connection_t *connection, const char *reason)
{
  gs_peer_t *peer = connection->peer;
  gs_log_value_t name;

  gs_log (GS_LOG_INFO, "peer_closed", "peer=%s verified=%d reason=%s",
          gs_log_quote (&name, connection->name), connection->verified,
          reason);
  gs_loop_unwatch (peer->loop, connection->fd);
  close (connection->fd);
  g_ptr_array_remove_fast (peer->connections, connection);
  if (connection->verified
      && gs_peer_connection_find (peer, connection->incarnation, connection)
             != NULL)
    peer->handler.on_replaced (peer->handler.context, connection->name,
                               connection->incarnation);
  else if (connection->verified)
    peer->handler.on_down (peer->handler.context, connection->name,
                           connection->incarnation);
  g_byte_array_unref (connection->hello_sent);
  g_byte_array_unref (connection->hello_received);
  g_byte_array_unref (connection->in);
  g_byte_array_unref (connection->out);
  g_free (connection);
}

void
gs_peer_connection_send (gs_peer_connection_t *connection,
                         const gs_frame_t *frame)
{
  guint before = connection->out->len;

  gs_frame_encode (connection->out, frame);
  gs_metric_add (GS_METRIC_PEER_BYTES_OUT, connection->out->len - before);
  gs_peer_connection_watch (connection);
}

static gs_peer_connection_t *
connection_new (gs_peer_t *peer, int fd, bool dialer)
{
  gs_peer_connection_t *connection = g_new0 (gs_peer_connection_t, 1);
  int yes = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  connection->peer = peer;
  connection->fd = fd;
  connection->dialer = dialer;
  connection->connecting = dialer;
  connection->hello_sent = g_byte_array_new ();
  connection->hello_received = g_byte_array_new ();
  connection->in = g_byte_array_new ();
  connection->out = g_byte_array_new ();
  connection->opened_at = gs_clock_now ();
  connection->last_read_at = connection->opened_at;
  connection->last_echo_at = connection->opened_at;
  g_strlcpy (connection->name, "-", sizeof connection->name);
  g_ptr_array_add (peer->connections, connection);
  return connection;
}

/* Called once a connection is verified; closes an older verified connection
   to the same process.  */
static bool
connection_activate (gs_peer_connection_t *connection)
{
  gs_peer_t *peer = connection->peer;
  gs_peer_connection_t *old
      = gs_peer_connection_find (peer, connection->incarnation, connection);

  if (old != NULL)
    {
      gs_metric_add (GS_METRIC_PEERS_REPLACED, 1);
      connection_close (old, "replaced");
      return true;
    }
  gs_log (GS_LOG_INFO, "peer_open", "peer=%s incarnation=%016llx",
          connection->name, (unsigned long long)connection->incarnation);
  peer->handler.on_up (peer->handler.context, connection->name,
                       connection->incarnation);
  return true;
}

/* The echo says which of our heartbeats the peer has received: a connection
   may fail in one direction only.
   @return false when the sequence does not increase */
static bool
receive_heartbeat (gs_peer_connection_t *connection, const gs_frame_t *frame)
{
  const gs_frame_heartbeat_t *heartbeat = &frame->heartbeat;

  if (heartbeat->sequence <= connection->sequence_received)
    return false;
  connection->sequence_received = heartbeat->sequence;
  if (heartbeat->echo > connection->echo_received)
    {
      connection->echo_received = heartbeat->echo;
      connection->last_echo_at = gs_clock_now ();
    }
  return true;
}

static bool
receive_frame (gs_peer_connection_t *connection, const char *body,
               size_t length)
{
  gs_peer_t *peer = connection->peer;
  gs_frame_t frame;
  gs_frame_memory_t *memory;
  bool valid = true;

  if (gs_frame_decode (&frame, &memory, body, length) != GS_OK)
    return false;
  if (frame.type == GS_FRAME_HELLO)
    valid = gs_peer_hello_receive (connection, &frame, body, length);
  else if (frame.type == GS_FRAME_PROOF)
    valid = gs_peer_proof_receive (connection, &frame)
            && connection_activate (connection);
  else if (!connection->verified)
    valid = false;
  else if (frame.type == GS_FRAME_HEARTBEAT
           && !receive_heartbeat (connection, &frame))
    valid = false;
  else
    peer->handler.on_frame (peer->handler.context, connection->name,
                            connection->incarnation, &frame);
  gs_frame_memory_free (memory);
  return valid;
}

static bool
receive_frames (gs_peer_connection_t *connection)
{
  size_t decoded = 0;
  bool valid = true;

  while (valid)
    {
      const char *start = (const char *)connection->in->data + decoded;
      size_t body;
      gs_status_t status
          = gs_frame_peek (&body, start, connection->in->len - decoded);

      if (status == GS_ENOTFOUND)
        break;
      valid
          = status == GS_OK
            && receive_frame (connection, start + GS_FRAME_HEADER_BYTES, body);
      decoded += GS_FRAME_HEADER_BYTES + body;
    }
  if (valid && decoded > 0)
    g_byte_array_remove_range (connection->in, 0, (guint)decoded);
  return valid;
}

static bool
connection_read (gs_peer_connection_t *connection)
{
  char buffer[READ_BYTES_MAX];
  ssize_t count = recv (connection->fd, buffer, sizeof buffer, 0);

  if (count == 0)
    return false;
  if (count < 0)
    return errno == EAGAIN || errno == EINTR;
  connection->last_read_at = gs_clock_now ();
  g_byte_array_append (connection->in, (const guint8 *)buffer, (guint)count);
  return receive_frames (connection);
}

static bool
connection_write (gs_peer_connection_t *connection)
{
  ssize_t count;

  if (connection->connecting)
    {
      int error = 0;
      socklen_t size = sizeof error;

      getsockopt (connection->fd, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0)
        return false;
      connection->connecting = false;
      gs_peer_hello_send (connection);
    }
  if (connection->out->len == 0)
    return true;
  count = send (connection->fd, connection->out->data, connection->out->len,
                MSG_NOSIGNAL);
  if (count < 0)
    return errno == EAGAIN || errno == EINTR;
  g_byte_array_remove_range (connection->out, 0, (guint)count);
  return true;
}

static void
on_connection_ready (void *context, int fd, short events)
{
  gs_peer_connection_t *connection = context;

  if ((events & POLLOUT) && !connection_write (connection))
    {
      connection_close (connection, "write");
      return;
    }
  if ((events & POLLIN) && !connection_read (connection))
    {
      connection_close (connection, "read");
      return;
    }
  gs_peer_connection_watch (connection);
}

static void
on_accept (void *context, int fd, short events)
{
  gs_peer_t *peer = context;
  int accepted = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  if (accepted >= 0)
    gs_peer_hello_send (connection_new (peer, accepted, false));
}

static bool
has_connection (const gs_peer_t *peer, const char *name)
{
  for (guint i = 0; i < peer->connections->len; i++)
    {
      const gs_peer_connection_t *connection = peer->connections->pdata[i];

      if (!connection->suspect && strcmp (connection->name, name) == 0)
        return true;
    }
  return false;
}

static void
dial (gs_peer_t *peer, const gs_node_info_t *node)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  gs_peer_connection_t *connection;
  int fd;

  address.sin_port = htons (node->peer_port);
  if (inet_pton (AF_INET, node->address, &address.sin_addr) != 1)
    return;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return;
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return;
    }
  connection = connection_new (peer, fd, true);
  g_strlcpy (connection->name, node->name, sizeof connection->name);
  gs_peer_connection_watch (connection);
}

/* Of two nodes only the one whose name sorts first dials, so that a pair has
   one connection.  */
static void
dial_unconnected (gs_peer_t *peer, gs_time_t now)
{
  for (guint i = 0; i < peer->nodes->len; i++)
    {
      gs_node_info_t *node = &g_array_index (peer->nodes, gs_node_info_t, i);
      gs_time_t *due = g_hash_table_lookup (peer->redial_due, node->name);

      if (strcmp (peer->settings.name, node->name) >= 0
          || has_connection (peer, node->name) || (due != NULL && now < *due))
        continue;
      if (due == NULL)
        {
          due = g_new0 (gs_time_t, 1);
          g_hash_table_insert (peer->redial_due, g_strdup (node->name), due);
        }
      *due = now + REDIAL_INTERVAL;
      dial (peer, node);
    }
}

static void
check_connections (gs_peer_t *peer, gs_time_t now)
{
  gs_time_t interval = gs_peer_heartbeat_interval (peer->connections->len);

  for (guint i = peer->connections->len; i > 0; i--)
    {
      gs_peer_connection_t *connection = peer->connections->pdata[i - 1];
      gs_time_t silence
          = now - MIN (connection->last_read_at, connection->last_echo_at);

      if (connection->verified && silence > MISSED_HEARTBEATS_DEAD * interval)
        connection_close (connection, "silent");
      else if (!connection->verified
               && now - connection->opened_at > HANDSHAKE_TIMEOUT)
        connection_close (connection, "no_proof");
      else if (connection->out->len > OUT_BYTES_MAX)
        connection_close (connection, "backlog");
      else
        connection->suspect
            = connection->verified
              && silence > MISSED_HEARTBEATS_SUSPECT * interval;
    }
}

void
gs_peer_connection_send_bytes (gs_peer_connection_t *connection,
                               const GByteArray *bytes)
{
  g_byte_array_append (connection->out, bytes->data, bytes->len);
  gs_metric_add (GS_METRIC_PEER_BYTES_OUT, bytes->len);
  gs_peer_connection_watch (connection);
}

bool
gs_peer_connection_addressed (const gs_peer_connection_t *connection,
                              uint64_t to)
{
  if (!connection->verified)
    return false;
  return to == GS_PEER_BROADCAST
         || strcmp (connection->region, connection->peer->settings.region)
                == 0;
}

void
gs_peer_heartbeat_send (gs_peer_connection_t *connection)
{
  gs_peer_t *peer = connection->peer;
  gs_frame_t frame = { .type = GS_FRAME_HEARTBEAT };

  frame.heartbeat.sequence = ++peer->heartbeat_sequence;
  frame.heartbeat.generation = peer->status.generation;
  frame.heartbeat.leaving = peer->status.leaving;
  frame.heartbeat.digest = peer->status.digest;
  frame.heartbeat.echo = connection->sequence_received;
  frame.heartbeat.list_revision = peer->status.list_revision;
  frame.heartbeat.notice_digest = peer->status.notice_digest;
  gs_peer_connection_send (connection, &frame);
}

static void
on_tick (void *context)
{
  gs_peer_t *peer = context;
  gs_time_t now = gs_clock_now ();
  gs_time_t interval;

  check_connections (peer, now);
  dial_unconnected (peer, now);
  if (now < peer->heartbeat_due)
    return;
  /* The random interval keeps nodes that started together from sending their
     heartbeats at the same time.  */
  interval = gs_peer_heartbeat_interval (peer->connections->len);
  peer->heartbeat_due
      = now + interval * 7 / 8
        + (gs_time_t)gs_rng_below (&peer->rng, (uint64_t)interval / 4);
  for (guint i = 0; i < peer->connections->len; i++)
    {
      gs_peer_connection_t *connection = peer->connections->pdata[i];

      if (!connection->verified)
        continue;
      gs_peer_heartbeat_send (connection);
      /* Sent in the same TCP segment as the heartbeat.  */
      if (peer->attached_frame != NULL
          && gs_peer_connection_addressed (connection, GS_PEER_OWN_REGION))
        gs_peer_connection_send_bytes (connection, peer->attached_frame);
    }
  g_clear_pointer (&peer->attached_frame, g_byte_array_unref);
}

static void *
run_thread (void *context)
{
  gs_peer_t *peer = context;

  gs_loop_run (peer->loop);
  return NULL;
}

static int
open_listener (const gs_settings_t *settings)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int yes = 1;

  if (fd < 0)
    return -1;
  address.sin_port = htons (settings->peer_port);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (inet_pton (AF_INET, settings->address, &address.sin_addr) != 1
      || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, SOMAXCONN) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

gs_status_t
gs_peer_create (gs_peer_t **out, const gs_settings_t *settings,
                uint64_t incarnation, const gs_peer_handler_t *handler)
{
  int listener = open_listener (settings);
  gs_peer_t *peer;

  *out = NULL;
  if (listener < 0)
    return gs_error_set (GS_EIO, "cannot listen on %s port %u for peers",
                         settings->address, settings->peer_port);
  peer = g_new0 (gs_peer_t, 1);
  peer->settings = *settings;
  peer->incarnation = incarnation;
  peer->handler = *handler;
  peer->listener = listener;
  peer->connections = g_ptr_array_new ();
  peer->nodes = g_array_new (FALSE, FALSE, sizeof (gs_node_info_t));
  peer->redial_due
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gs_rng_seed (&peer->rng, incarnation);
  gs_loop_create (&peer->loop);
  gs_loop_watch (peer->loop, listener, POLLIN, on_accept, peer);
  gs_loop_tick_set (peer->loop, TICK_INTERVAL, on_tick, peer);
  *out = peer;
  gs_thread_start (&peer->thread, "peer", run_thread, peer);
  return GS_OK;
}

static void
ignore_event (void *context, const char *name, uint64_t incarnation)
{
}

void
gs_peer_stop (gs_peer_t *peer)
{
  if (peer == NULL || peer->thread == NULL)
    return;
  gs_loop_stop (peer->loop);
  gs_thread_join (peer->thread);
  peer->thread = NULL;
}

void
gs_peer_destroy (gs_peer_t *peer)
{
  if (peer == NULL)
    return;
  gs_peer_stop (peer);
  /* The receivers of these callbacks have already stopped.  */
  peer->handler.on_down = ignore_event;
  peer->handler.on_replaced = ignore_event;
  for (guint i = peer->connections->len; i > 0; i--)
    connection_close (peer->connections->pdata[i - 1], "stop");
  close (peer->listener);
  gs_loop_destroy (peer->loop);
  g_clear_pointer (&peer->attached_frame, g_byte_array_unref);
  g_hash_table_unref (peer->redial_due);
  g_array_unref (peer->nodes);
  g_ptr_array_unref (peer->connections);
  g_free (peer);
}
