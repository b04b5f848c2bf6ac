#include "stand.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define READY_TIMEOUT (15 * GS_SEC)
#define POLL_INTERVAL_USEC 20000
/* Callers abandon a stream after a gap of this length, and a new connection
   after a second.  */
#define EVENT_GAP_MAX (2 * GS_SEC)
/* Pause of a caller whose connection was refused.  */
#define REFUSED_PAUSE_USEC 300000
/* Between the end of a process and its start.  */
#define RESTART_DELAY_USEC 200000
/* bounds.grace_s */
#define GRACE_TIME (8 * GS_SEC)

typedef enum
{
  PORT_FRONT,
  PORT_READY,
  PORT_DIRECTORY,
  PORT_CONTROL,
  PORT_METRICS
} stand_port_t;

bool
stand_is_calm (void)
{
  return g_strcmp0 (getenv ("TROUBLE"), "0") == 0;
}

gs_time_t
stand_now (const stand_t *stand)
{
  return gs_clock_now () - stand->began_at;
}

void
stand_wait (const stand_t *stand, gs_time_t at)
{
  gs_time_t left = at - stand_now (stand);

  if (left > 0)
    g_usleep ((gulong)left);
}

void
stand_log (stand_t *stand, const char *format, ...)
{
  va_list arguments;

  pthread_mutex_lock (&stand->lock);
  fprintf (stand->record, "%8.3f ", (double)stand_now (stand) / GS_SEC);
  va_start (arguments, format);
  vfprintf (stand->record, format, arguments);
  va_end (arguments);
  fputc ('\n', stand->record);
  fflush (stand->record);
  pthread_mutex_unlock (&stand->lock);
}

/* A replica sends one event after the other; each names its version.  */
static bool
send_stream (void *context, raw_conn_t *conn, arrival_t *arrival)
{
  stand_t *stand = context;
  raw_message_t request = { .head = arrival->head };
  char *last_text = raw_message_header (&request, "Last-Event-Id");
  unsigned last
      = last_text != NULL ? (unsigned)strtoul (last_text, NULL, 10) : 0;
  const char *version = arrival->version != NULL ? arrival->version : "v1";

  stand_log (stand, "run id=%s replica=%u version=%s after_event=%u",
             arrival->id, arrival->replica, version, last);
  raw_printf (conn,
              "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
              "X-Response-Seal: seal-%s\r\n"
              "Content-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n\r\n",
              arrival->id, arrival->id);
  for (unsigned i = last + 1; i <= stand->events; i++)
    {
      char event[64];
      int length = g_snprintf (event, sizeof event, "id: %u\ndata: %s\n\n", i,
                               version);

      raw_printf (conn, "%x\r\n%s\r\n", (unsigned)length, event);
      if (raw_wait_close (conn, gs_clock_now ()
                                    + stand->event_interval_ms * GS_MSEC))
        break;
    }
  raw_printf (conn, "0\r\n\r\n");
  g_free (last_text);
  return false;
}

static json_t *
route_create (const char *prefix, const char *kind, unsigned timeout_ms,
              bool resumable)
{
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b, s:b, s:b, s:i}",
      "name", prefix, "host", "caller.example", "path_prefix", prefix,
      "route_kind", kind, "timeout_ms", (int)timeout_ms, "goal_ms", 500,
      "priority", 1, "service", "pool", "max_attempts", 2, "anonymous", 0,
      "session_affinity", 0, "stream_resume", resumable, "gap_aim_ms", 500);
}

static void
configuration_write (stand_t *stand)
{
  gw_object_put (
      &stand->world, "config", "main",
      json_pack ("{s:i, s:[o, o], s:[{s:s, s:s, s:i}],"
                 " s:{s:i, s:i, s:i, s:i},"
                 " s:[{s:s, s:[s], s:i, s:s, s:i, s:i, s:i}]}",
                 "version", 7, "routes",
                 route_create ("/a/", "streaming", stand->timeout_ms, true),
                 route_create ("/n/", "non_idempotent", 1500, false),
                 "services", "name", "pool", "health_path", WORLD_HEALTH_PATH,
                 "max_conns", 240, "limits", "max_header_bytes",
                 STAND_HEAD_BYTES_MAX, "max_body_bytes", 4194304,
                 "header_timeout_ms", 3000, "idle_timeout_ms", 15000,
                 "tenants", "name", WORLD_ACCOUNT, "api_keys", WORLD_API_KEY,
                 "priority", 1, "unit", "token_count", "plain_tokens", 200,
                 "rate_per_s", 0, "burst", 0));
}

void
stand_create (stand_t *stand, const char *record, unsigned replicas,
              unsigned nodes, unsigned timeout_ms)
{
  memset (stand, 0, sizeof *stand);
  pthread_mutex_init (&stand->lock, NULL);
  gs_rng_seed (&stand->rng, gs_rng_entropy ());
  stand->began_at = gs_clock_now ();
  stand->record = fopen (record, "w");
  if (stand->record == NULL)
    exit (2);
  stand->node_count = nodes;
  stand->timeout_ms = timeout_ms;
  gw_create (&stand->world, replicas);
  stand->world.respond = send_stream;
  stand->world.respond_context = stand;
  configuration_write (stand);
}

void
stand_destroy (stand_t *stand)
{
  for (unsigned i = 0; i < stand->node_count; i++)
    {
      if (stand->nodes[i].pid != 0)
        stand_node_kill (stand, i);
      if (stand->nodes[i].settings == NULL)
        continue;
      if (getenv ("KEEP_LOGS") == NULL)
        {
          g_unlink (stand->nodes[i].settings);
          g_unlink (stand->nodes[i].log);
        }
      for (unsigned j = 0; j < G_N_ELEMENTS (stand->nodes[i].ports); j++)
        reserved_port_release (&stand->nodes[i].ports[j]);
    }
  gw_destroy (&stand->world);
  fclose (stand->record);
}

/* Each node has a loopback address of its own: 127.0.0.2 and so on.  */
static unsigned
node_host (unsigned index)
{
  return index + 2;
}

static void
settings_write (const stand_t *stand, unsigned index)
{
  const stand_node_t *node = &stand->nodes[index];
  const gateway_world_t *world = &stand->world;
  const reserved_port_t *ports = node->ports;
  unsigned host = node_host (index);
  char *text = g_strdup_printf (
      "node=front-%u\nrole=gateway\nmachine_class=front\n"
      "serves=front,control,directory\nip=127.0.0.%u\nzone=a\nregion=r\n"
      "zones.a=r\nbind.front=127.0.0.%u:%u\nbind.ready=127.0.0.%u:%u\n"
      "bind.directory=127.0.0.%u:%u\nbind.control=127.0.0.%u:%u\n"
      "seed_nodes=127.0.0.2:%u\nbootstrap=%s\nlimits.memory_mb=390\n"
      "limits.max_fds=6150\ndiscovery=platform\nentry=directory\n"
      "heartbeat_ms=1200\ncontracts=base,drain,config,cost,retry,recover,"
      "engine,stream,tenants,quota,leader,platform\nbounds.contact_ms=3000\n"
      "bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.config_apply_ms=2000\n"
      "bounds.budget_ratio=0.2\nbounds.budget_window_s=10\n"
      "bounds.retry_slack=56\nbounds.quota_window_s=8\nbounds.quota_over=0.1\n"
      "bounds.quota_slack=140000\nbounds.lease_ms=3000\nbounds.window_s=5\n"
      "bounds.usage_late_s=10\nbounds.ttl_max_s=5\n"
      "platform.address=127.0.0.1:%u\nplatform.form=objects\n"
      "provider.address=127.0.0.1:%u\n",
      index, host, host, ports[PORT_FRONT].port, host, ports[PORT_READY].port,
      host, ports[PORT_DIRECTORY].port, host, ports[PORT_CONTROL].port,
      stand->nodes[0].ports[PORT_CONTROL].port,
      stand->started_before ? "false" : "true",
      raw_server_port (world->stores[index].server),
      raw_server_port (world->provider));

  g_file_set_contents (node->settings, text, -1, NULL);
  g_free (text);
}

/* @return the connection; its descriptor is negative if it was refused  */
static raw_conn_t
node_connect (const stand_t *stand, unsigned index, stand_port_t port)
{
  raw_conn_t conn = { .fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0),
                      .received = g_string_new (NULL) };
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons (stand->nodes[index].ports[port].port) };
  int on = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK - 1 + node_host (index));
  setsockopt (conn.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (conn.fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      raw_close (&conn);
      conn.fd = -1;
    }
  return conn;
}

bool
stand_connect (const stand_t *stand, unsigned node, raw_conn_t *out)
{
  *out = node_connect (stand, node, PORT_FRONT);
  return out->fd >= 0;
}

static bool
node_is_ready (const stand_t *stand, unsigned index)
{
  raw_conn_t conn = node_connect (stand, index, PORT_READY);
  GString *answer;
  bool ready;

  if (conn.fd < 0)
    return false;
  raw_printf (&conn, "GET /garnetstack/ready HTTP/1.1\r\nHost: x\r\n"
                     "Connection: close\r\n\r\n");
  answer = raw_read_until (&conn, GS_SEC, NULL);
  ready = g_str_has_prefix (answer->str, "HTTP/1.1 200");
  g_string_free (answer, TRUE);
  raw_close (&conn);
  return ready;
}

/* Runs the command of the deploy file with a metrics port that is free.  */
static void
node_exec (const stand_node_t *node)
{
  const char *binary = getenv ("GS_BINARY");
  int log = open (node->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  char metrics[8];

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  g_snprintf (metrics, sizeof metrics, "%u", node->ports[PORT_METRICS].port);
  setenv ("GARNETSTACK_NODE_FILE", node->settings, true);
  dup2 (log, STDOUT_FILENO);
  dup2 (log, STDERR_FILENO);
  if (binary != NULL)
    execl (binary, binary, "gateway", "--metrics-port", metrics, NULL);
  _exit (127);
}

void
stand_node_start (stand_t *stand, unsigned index, bool ready)
{
  stand_node_t *node = &stand->nodes[index];
  gs_time_t deadline = gs_clock_now () + READY_TIMEOUT;

  if (node->settings == NULL)
    {
      for (unsigned i = 0; i < G_N_ELEMENTS (node->ports); i++)
        reserved_port_take (&node->ports[i], node_host (index));
      node->settings = g_strdup_printf ("%s/front-%u.conf",
                                        stand->world.directory, index);
      node->log
          = g_strdup_printf ("%s/front-%u.log", stand->world.directory, index);
    }
  settings_write (stand, index);
  stand_log (stand, "node %u starts", index);
  node->pid = fork ();
  if (node->pid == 0)
    node_exec (node);
  while (ready && !node_is_ready (stand, index))
    {
      if (gs_clock_now () > deadline)
        {
          fprintf (stderr, "node %u is not ready\n", index);
          exit (2);
        }
      g_usleep (POLL_INTERVAL_USEC);
    }
  if (ready)
    stand_log (stand, "node %u is ready", index);
}

void
stand_node_kill (stand_t *stand, unsigned index)
{
  stand_node_t *node = &stand->nodes[index];

  stand_log (stand, "node %u gets SIGKILL", index);
  kill (node->pid, SIGKILL);
  waitpid (node->pid, NULL, 0);
  node->pid = 0;
}

void
stand_node_stop (stand_t *stand, unsigned index)
{
  stand_node_t *node = &stand->nodes[index];

  stand_log (stand, "node %u gets SIGTERM", index);
  node->kill_at = gs_clock_now () + GRACE_TIME;
  kill (node->pid, SIGTERM);
}

void
stand_node_wait (stand_t *stand, unsigned index)
{
  stand_node_t *node = &stand->nodes[index];

  while (waitpid (node->pid, NULL, WNOHANG) != node->pid)
    {
      if (gs_clock_now () > node->kill_at)
        {
          stand_node_kill (stand, index);
          return;
        }
      g_usleep (POLL_INTERVAL_USEC);
    }
  node->pid = 0;
  stand_log (stand, "node %u has ended", index);
}

void
stand_node_restart (stand_t *stand, unsigned index)
{
  stand_node_stop (stand, index);
  stand_node_wait (stand, index);
  g_usleep (RESTART_DELAY_USEC);
  stand_node_start (stand, index, true);
}

unsigned
stand_resumed_count (const stand_t *stand, unsigned count, unsigned *went_on)
{
  unsigned taken_up = 0;

  *went_on = 0;
  for (unsigned i = 0; i < count; i++)
    {
      const stand_stream_t *stream = &stand->streams[i];
      bool resumed = false;
      bool continued = false;

      for (unsigned j = 1; j < stream->try_count; j++)
        {
          resumed |= stream->tries[j].from > 0 && stream->tries[j].status != 0;
          continued |= stream->tries[j].events > 0;
        }
      taken_up += resumed;
      *went_on += resumed && continued;
    }
  return taken_up;
}

static unsigned
draw_node (stand_t *stand, unsigned nodes)
{
  unsigned index;

  pthread_mutex_lock (&stand->lock);
  do
    index = (unsigned)gs_rng_below (&stand->rng, stand->node_count);
  while ((nodes & 1U << index) == 0);
  pthread_mutex_unlock (&stand->lock);
  return index;
}

/* Takes the complete events out of what was received.  */
static void
events_take (stand_stream_t *stream, stand_try_t *attempt, GString *received)
{
  char *end;

  while ((end = strstr (received->str, "\n\n")) != NULL)
    {
      char *begin = strstr (received->str, "id: ");
      char version[8] = "";
      unsigned id = 0;

      if (begin != NULL && begin < end
          && sscanf (begin, "id: %u\ndata: %7s", &id, version) == 2 && id > 0
          && id <= STAND_EVENTS_MAX)
        {
          g_strlcpy (stream->versions[id], version,
                     sizeof stream->versions[id]);
          stream->last = id;
          attempt->events++;
        }
      g_string_erase (received, 0, end + 2 - received->str);
    }
}

/* @return whether the answer had a status */
static bool
answer_read (stand_stream_t *stream, stand_try_t *attempt, raw_conn_t *conn,
             double *retry_after)
{
  raw_message_t answer;
  char *text;

  if (!raw_read_head (conn, &answer))
    return false;
  attempt->status = (unsigned)strtoul (answer.first_line + 9, NULL, 10);
  text = raw_message_header (&answer, "Retry-After");
  *retry_after = text != NULL ? g_ascii_strtod (text, NULL) : 0;
  g_free (text);
  raw_message_clear (&answer);
  while (attempt->status == 200 && stream->last < stream->stand->events)
    {
      char buffer[4096];
      ssize_t length;

      events_take (stream, attempt, conn->received);
      length = recv (conn->fd, buffer, sizeof buffer, 0);
      if (length <= 0)
        break;
      g_string_append_len (conn->received, buffer, length);
    }
  stream->complete = stream->last == stream->stand->events;
  return true;
}

/* Sends one attempt and reads its answer.
   @return whether the node answered */
static bool
attempt_run (stand_stream_t *stream, gs_time_t left, double *retry_after)
{
  stand_t *stand = stream->stand;
  stand_try_t *attempt = &stream->tries[stream->try_count++];
  const struct timeval gap = { EVENT_GAP_MAX / GS_SEC, 0 };
  const char *first = NULL;
  char resumes[96] = "";
  raw_conn_t conn;
  bool answered;

  for (unsigned i = 0; first == NULL && i + 1 < stream->try_count; i++)
    if (stream->tries[i].events > 0)
      first = stream->tries[i].id;
  attempt->node = draw_node (
      stand, stream->try_count == 1 ? stream->nodes : stream->nodes_next);
  g_snprintf (attempt->id, sizeof attempt->id, "s%u-%u", stream->index,
              stream->try_count);
  attempt->from = stream->last;
  attempt->at = stand_now (stand);
  if (first != NULL)
    g_snprintf (resumes, sizeof resumes,
                "Last-Event-Id: %u\r\nResumes: %s\r\n", stream->last, first);
  conn = node_connect (stand, attempt->node, PORT_FRONT);
  if (conn.fd < 0)
    return false;
  setsockopt (conn.fd, SOL_SOCKET, SO_RCVTIMEO, &gap, sizeof gap);
  raw_printf (&conn,
              "POST /a/%u/desk HTTP/1.1\r\nHost: caller.example\r\n"
              "X-Attempt-Id: %s\r\nX-Deadline-Ms: %lld\r\n"
              "X-Api-Key: " WORLD_API_KEY "\r\n%sConnection: close\r\n"
              "Content-Length: %zu\r\n\r\n%s",
              stream->index, attempt->id, (long long)(left / GS_MSEC), resumes,
              strlen (attempt->id), attempt->id);
  answered = answer_read (stream, attempt, &conn, retry_after);
  raw_close (&conn);
  stand_log (stand,
             "answer id=%s node=%u status=%u after_event=%u events=%u last=%u"
             " retry_after=%.3f%s%s",
             attempt->id, attempt->node, attempt->status, attempt->from,
             attempt->events, stream->last, *retry_after,
             first != NULL ? " resumes=" : "", first != NULL ? first : "");
  return answered;
}

static void *
stream_run (void *context)
{
  stand_stream_t *stream = context;
  gs_time_t deadline = gs_clock_now () + stream->timeout;
  unsigned answers = 0;

  while (!stream->complete && answers <= stream->retries
         && stream->try_count < STAND_TRIES_MAX)
    {
      gs_time_t left = deadline - gs_clock_now ();
      double retry_after = 0;

      if (left <= 0)
        break;
      if (!attempt_run (stream, left, &retry_after))
        g_usleep (REFUSED_PAUSE_USEC);
      else
        answers++;
      /* It is honoured up to a third of the time that is left.  */
      left = deadline - gs_clock_now ();
      if (retry_after > 0 && left > 0)
        g_usleep (
            (gulong)MIN (retry_after * (double)GS_SEC, (double)left / 3));
    }
  return NULL;
}

void
stand_stream_start (stand_t *stand, gs_time_t timeout, unsigned nodes,
                    unsigned nodes_next, unsigned retries)
{
  stand_stream_t *stream = &stand->streams[stand->stream_count];

  if (stand->stream_count == STAND_STREAMS_MAX)
    return;
  stream->stand = stand;
  stream->index = stand->stream_count++;
  stream->timeout = timeout;
  stream->nodes = nodes;
  stream->nodes_next = nodes_next;
  stream->retries = retries;
  pthread_create (&stream->thread, NULL, stream_run, stream);
}

unsigned
stand_stream_versions (const stand_stream_t *stream)
{
  unsigned count = 0;

  for (unsigned i = 1; i <= STAND_EVENTS_MAX; i++)
    {
      bool is_new = stream->versions[i][0] != '\0';

      for (unsigned j = 1; is_new && j < i; j++)
        is_new = strcmp (stream->versions[i], stream->versions[j]) != 0;
      count += is_new;
    }
  return count;
}

void
stand_streams_end (stand_t *stand)
{
  for (unsigned i = 0; i < stand->stream_count; i++)
    pthread_join (stand->streams[i].thread, NULL);
  for (unsigned i = 0; i < stand->stream_count; i++)
    {
      const stand_stream_t *stream = &stand->streams[i];
      GString *text = g_string_new (NULL);

      for (unsigned j = 1; j <= STAND_EVENTS_MAX; j++)
        if (stream->versions[j][0] != '\0'
            && strcmp (stream->versions[j], stream->versions[j - 1]) != 0)
          g_string_append_printf (text, " %s from event %u",
                                  stream->versions[j], j);
      stand_log (stand, "stream %u tries=%u last=%u%s", i, stream->try_count,
                 stream->last, text->str);
      g_string_free (text, TRUE);
    }
}
