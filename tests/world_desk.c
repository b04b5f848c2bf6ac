#include "world_desk.h"

#include <poll.h>
#include <string.h>

#define KEEP_ALIVE "Keep-Alive: timeout=5\r\n"
#define LATE_MSEC_MAX 30
#define PIECE_USEC_MAX 50000
#define SLOW_PARTS 4
#define SLOW_INTERVAL_USEC 300000
#define SILENCE_TIMEOUT (5 * GS_SEC)

static bool
happens (unsigned percent)
{
  return g_random_int_range (0, 100) < (int)percent;
}

/* @return false if the replica has no slot for the request  */
static bool
slot_take (const world_desk_t *desk, arrival_t *arrival)
{
  world_replica_t *replica = arrival->replica_state;
  bool taken;

  pthread_mutex_lock (&replica->world->lock);
  taken = desk->slots == 0 || replica->desk_running < desk->slots;
  replica->desk_running += taken;
  arrival->refused = !taken;
  pthread_mutex_unlock (&replica->world->lock);
  return taken;
}

static void
slot_return (const arrival_t *arrival)
{
  world_replica_t *replica = arrival->replica_state;

  pthread_mutex_lock (&replica->world->lock);
  replica->desk_running--;
  pthread_mutex_unlock (&replica->world->lock);
}

/* @return text of a rejection, freed with g_free()  */
static char *
rejection_of (const char *id)
{
  return g_strdup_printf ("HTTP/1.1 503 X\r\nX-Attempt-Id: %s\r\n"
                          "X-Not-Executed: 1\r\n" KEEP_ALIVE
                          "Content-Length: 0\r\n\r\n",
                          id);
}

/* Writes what was written on the connection before, once or twice, sometimes
   in two pieces.  */
static void
copy_send (raw_conn_t *conn, const world_desk_t *desk, const char *text)
{
  unsigned count = happens (desk->two_percent) ? 2 : 1;
  size_t length = strlen (text);
  size_t first = happens (desk->torn_percent) ? length / 2 : 0;

  for (unsigned i = 0; i < count; i++)
    {
      raw_send (conn, text, first);
      if (first != 0)
        g_usleep ((gulong)g_random_int_range (0, PIECE_USEC_MAX));
      raw_send (conn, text + first, length - first);
    }
}

/* Writes the copy that is left on the connection, if it is due.  */
static void
late_copy_send (raw_conn_t *conn, const world_desk_t *desk,
                world_connection_t *connection)
{
  if (connection->late_copy->len == 0
      || gs_clock_now () < connection->late_due_at)
    return;
  copy_send (conn, desk, connection->late_copy->str);
  g_string_truncate (connection->late_copy, 0);
}

/* Returns when the next request begins or the copy is due and written; what is
   not written yet is left to that request.  */
static void
late_copy_wait (raw_conn_t *conn, const world_desk_t *desk,
                world_connection_t *connection)
{
  gs_time_t left = connection->late_due_at - gs_clock_now ();
  struct pollfd polled = { .fd = conn->fd, .events = POLLIN };

  if (connection->late_copy->len == 0
      || (left > 0
          && (conn->received->len > 0
              || poll (&polled, 1, (int)(left / GS_MSEC) + 1) > 0)))
    return;
  late_copy_send (conn, desk, connection);
}

/* Writes an answer, and sometimes the same once more, at once or later.  */
static void
answer_send (raw_conn_t *conn, const world_desk_t *desk,
             world_connection_t *connection, const char *text)
{
  unsigned late_ms_max
      = desk->late_ms_max != 0 ? desk->late_ms_max : LATE_MSEC_MAX;
  size_t length = strlen (text);
  size_t part = length / SLOW_PARTS + 1;

  if (happens (desk->slow_percent))
    for (size_t from = 0; from < length; from += part)
      {
        raw_send (conn, text + from, MIN (part, length - from));
        g_usleep (SLOW_INTERVAL_USEC);
      }
  else
    raw_send (conn, text, length);
  if (!happens (desk->again_percent))
    return;
  g_string_assign (connection->late_copy, text);
  connection->late_due_at
      = gs_clock_now ()
        + (happens (50)
               ? 0
               : g_random_int_range (0, (gint32)late_ms_max) * GS_MSEC);
  late_copy_wait (conn, desk, connection);
}

/* Ends a request that has run without its answer.  */
static void
answer_lose (raw_conn_t *conn, const arrival_t *arrival)
{
  switch (g_random_int_range (0, 5))
    {
    case 0:
      raw_reset_on_close (conn);
      break;
    case 1:
      raw_wait_close (conn, gs_clock_now () + SILENCE_TIMEOUT);
      break;
    case 2:
      raw_printf (conn, "HTTP/1.1 503 X\r\nX-Attempt-Id: %s\r\nX-Not-Exec",
                  arrival->id);
      break;
    case 3:
      raw_printf (
          conn,
          "HTTP/1.1 200 X\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n"
          "Content-Length: 1000\r\n\r\nbegin",
          arrival->id);
      raw_reset_on_close (conn);
      break;
    default:
      break;
    }
}

/* @return text of a rejection that is remembered for its connection, freed
   with g_free()  */
static char *
rejection_record (world_connection_t *connection, const char *id)
{
  g_hash_table_add (connection->refused, g_strdup (id));
  g_strlcpy (connection->refused_last, id, sizeof connection->refused_last);
  return rejection_of (id);
}

static void
rejection_copy_send (raw_conn_t *conn, const world_desk_t *desk,
                     const char *id)
{
  char *text = rejection_of (id);

  copy_send (conn, desk, text);
  g_free (text);
}

/* @return id of the request whose rejection is written once more before the
   answer to another one or to itself; NULL for none  */
static const char *
rejection_choose (const world_desk_t *desk,
                  const world_connection_t *connection, const char *id)
{
  if (g_hash_table_contains (connection->refused, id)
      && happens (desk->own_copy_percent))
    return id;
  if (connection->refused_last[0] != '\0'
      && happens (desk->refusal_copy_percent))
    return connection->refused_last;
  return NULL;
}

static void
desk_on_head (void *context, raw_conn_t *conn, world_connection_t *connection,
              const raw_message_t *request)
{
  const world_desk_t *desk = context;
  char *id = raw_message_header (request, "X-Attempt-Id");
  const char *copied;
  char *text;

  connection->refused_early = false;
  connection->copy_due[0] = '\0';
  if (strstr (request->first_line, "/desk ") != NULL && id != NULL)
    {
      late_copy_send (conn, desk, connection);
      copied = rejection_choose (desk, connection, id);
      if (copied != NULL && happens (50))
        rejection_copy_send (conn, desk, copied);
      else if (copied != NULL)
        g_strlcpy (connection->copy_due, copied, sizeof connection->copy_due);
      connection->refused_early = happens (desk->early_percent);
    }
  if (connection->refused_early)
    {
      text = rejection_record (connection, id);
      raw_send (conn, text, strlen (text));
      g_free (text);
    }
  g_free (id);
}

/* @return whether the request was rejected before its body was read  */
static bool
was_refused_early (arrival_t *arrival)
{
  bool refused = arrival->connection_state->refused_early;

  pthread_mutex_lock (&arrival->replica_state->world->lock);
  arrival->refused |= refused;
  pthread_mutex_unlock (&arrival->replica_state->world->lock);
  return refused;
}

static void
answered_set (arrival_t *arrival)
{
  pthread_mutex_lock (&arrival->replica_state->world->lock);
  arrival->answered = true;
  pthread_mutex_unlock (&arrival->replica_state->world->lock);
}

static bool
desk_respond (void *context, raw_conn_t *conn, arrival_t *arrival)
{
  const world_desk_t *desk = context;
  world_connection_t *connection = arrival->connection_state;
  bool stream = strstr (arrival->first_line, "/stream/") != NULL;
  bool lost = happens (desk->lost_percent);
  char *text;

  if (was_refused_early (arrival))
    return true;
  if (!slot_take (desk, arrival))
    text = rejection_record (connection, arrival->id);
  else
    {
      g_usleep ((gulong)g_random_int_range (0, (gint32)desk->work_ms_max * 1000
                                                   + 1));
      slot_return (arrival);
      late_copy_send (conn, desk, connection);
      if (connection->copy_due[0] != '\0')
        rejection_copy_send (conn, desk, connection->copy_due);
      text = g_strdup_printf (
          "HTTP/1.1 200 X\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s.%s\r\n"
          "%s" KEEP_ALIVE "Content-Length: %zu\r\n\r\n%s%s%s",
          arrival->id, arrival->id,
          stream ? "Content-Type: text/event-stream\r\n" : "",
          strlen (arrival->id)
              + (stream ? strlen ("id: 1\ndata: ") + strlen ("\n\n") : 0),
          stream ? "id: 1\ndata: " : "", arrival->id, stream ? "\n\n" : "");
      if (lost)
        {
          answer_lose (conn, arrival);
          g_free (text);
          return false;
        }
      answered_set (arrival);
    }
  answer_send (conn, desk, connection, text);
  g_free (text);
  return true;
}

void
world_desk_set (gateway_world_t *world, const world_desk_t *desk)
{
  pthread_mutex_lock (&world->lock);
  world->respond = desk_respond;
  world->on_head = desk_on_head;
  world->respond_context = (void *)desk;
  pthread_mutex_unlock (&world->lock);
}
