#include "world_desk.h"

#include <string.h>

#define KEEP_ALIVE "Keep-Alive: timeout=5\r\n"
#define LATE_USEC_MAX 30000
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
  taken = desk->slots == 0 || replica->running < desk->slots;
  replica->running += taken;
  arrival->refused = !taken;
  pthread_mutex_unlock (&replica->world->lock);
  return taken;
}

static void
slot_return (const arrival_t *arrival)
{
  world_replica_t *replica = arrival->replica_state;

  pthread_mutex_lock (&replica->world->lock);
  replica->running--;
  pthread_mutex_unlock (&replica->world->lock);
}

/* Writes an answer, and sometimes the same once more, at once or later.  */
static void
answer_send (raw_conn_t *conn, const world_desk_t *desk, const char *text)
{
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
  g_usleep (happens (50) ? 0 : (gulong)g_random_int_range (0, LATE_USEC_MAX));
  raw_send (conn, text, length);
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

static bool
desk_respond (void *context, raw_conn_t *conn, arrival_t *arrival)
{
  const world_desk_t *desk = context;
  bool stream = strstr (arrival->first_line, "/stream/") != NULL;
  bool lost = happens (desk->lost_percent);
  char *text;

  if (!slot_take (desk, arrival))
    text = g_strdup_printf ("HTTP/1.1 503 X\r\nX-Attempt-Id: %s\r\n"
                            "X-Not-Executed: 1\r\n" KEEP_ALIVE
                            "Content-Length: 0\r\n\r\n",
                            arrival->id);
  else
    {
      g_usleep ((gulong)g_random_int_range (0, (gint32)desk->work_ms_max * 1000
                                                   + 1));
      slot_return (arrival);
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
    }
  answer_send (conn, desk, text);
  g_free (text);
  return true;
}

void
world_desk_set (gateway_world_t *world, const world_desk_t *desk)
{
  pthread_mutex_lock (&world->lock);
  world->respond = desk_respond;
  world->respond_context = (void *)desk;
  pthread_mutex_unlock (&world->lock);
}
