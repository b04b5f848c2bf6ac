#include "util/log_sink.h"

#include "garnetstack/clock.h"
#include "garnetstack/thread.h"

#include <errno.h>
#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>

/* Holds the lines of some seconds at peak load, and is a small part of the
   memory of the smallest node.  */
#define BUFFER_BYTES_MAX ((gsize)1 << 20)
/* Part of the buffer that only lines which tell a number of lost lines may
   use: without it, the number would be lost where such a line found no room.
   Several of them fit.  */
#define TOLD_BYTES_MAX ((gsize)1024)
/* Longer than each of these lines.  */
#define TOLD_LINE_BYTES_MAX ((gsize)384)
/* How long closing the log waits for the reader.  Must be shorter than the
   time that a gateway leaves for the end of its process (cmd_gateway.c).  */
#define CLOSE_TIMEOUT (300 * GS_MSEC)
/* While the reader is stalled, the thread checks at this interval whether
   CLOSE_TIMEOUT has passed, so the interval must be shorter.  */
#define POLL_INTERVAL_MSEC 100

struct gs_log_sink
{
  int fd;
  gs_thread_t *thread;
  pthread_mutex_t lock;
  pthread_cond_t wake;
  GString *buffer; /* lines that the thread has not yet fetched */
  unsigned lines_lost;
  bool telling; /* the next line tells the number of lines lost */
  int error;    /* errno of the last failed write, 0 for none */
  bool stopping;
  gs_time_t close_deadline; /* lines not written by then are discarded */
};

static bool
close_timed_out (gs_log_sink_t *sink)
{
  bool timed_out;

  pthread_mutex_lock (&sink->lock);
  timed_out = sink->stopping && gs_clock_now () >= sink->close_deadline;
  pthread_mutex_unlock (&sink->lock);
  return timed_out;
}

static void
record_write_error (gs_log_sink_t *sink, const char *rest, int error)
{
  unsigned lines = 0;

  for (; *rest != '\0'; rest++)
    lines += *rest == '\n';
  pthread_mutex_lock (&sink->lock);
  sink->lines_lost += lines;
  sink->error = error;
  pthread_mutex_unlock (&sink->lock);
}

/* The descriptor is shared with other processes, so it cannot be made
   non-blocking.  After poll(2) reports it as writable, a pipe accepts PIPE_BUF
   bytes without blocking.  */
static void
write_lines (gs_log_sink_t *sink, const GString *lines)
{
  gsize written = 0;

  while (written < lines->len && !close_timed_out (sink))
    {
      struct pollfd polled = { .fd = sink->fd, .events = POLLOUT };
      gsize chunk = MIN (lines->len - written, PIPE_BUF);
      gssize count;

      if (poll (&polled, 1, POLL_INTERVAL_MSEC) == 0)
        continue;
      count = write (sink->fd, lines->str + written, chunk);
      if (count > 0)
        written += (gsize)count;
      else if (errno != EINTR && errno != EAGAIN)
        {
          record_write_error (sink, lines->str + written, errno);
          return;
        }
    }
}

static void *
run_thread (void *context)
{
  gs_log_sink_t *sink = context;
  GString *lines = g_string_new (NULL);
  bool more = true;

  while (more)
    {
      GString *taken;

      pthread_mutex_lock (&sink->lock);
      while (sink->buffer->len == 0 && !sink->stopping)
        pthread_cond_wait (&sink->wake, &sink->lock);
      more = !sink->stopping;
      taken = sink->buffer;
      sink->buffer = lines;
      lines = taken;
      pthread_mutex_unlock (&sink->lock);
      write_lines (sink, lines);
      g_string_truncate (lines, 0);
    }
  g_string_free (lines, TRUE);
  return NULL;
}

static void
sink_free (gs_log_sink_t *sink)
{
  pthread_cond_destroy (&sink->wake);
  pthread_mutex_destroy (&sink->lock);
  g_string_free (sink->buffer, TRUE);
  g_free (sink);
}

gs_status_t
gs_log_sink_create (gs_log_sink_t **out, int fd)
{
  gs_log_sink_t *sink = g_new0 (gs_log_sink_t, 1);
  gs_status_t status;

  *out = NULL;
  sink->fd = fd;
  sink->buffer = g_string_new (NULL);
  pthread_mutex_init (&sink->lock, NULL);
  pthread_cond_init (&sink->wake, NULL);
  status = gs_thread_start (&sink->thread, "log", run_thread, sink);
  if (status == GS_OK)
    *out = sink;
  else
    sink_free (sink);
  return status;
}

void
gs_log_sink_write (gs_log_sink_t *sink, const char *line)
{
  gsize length = strlen (line);
  gsize room_kept;

  pthread_mutex_lock (&sink->lock);
  room_kept = sink->telling ? 0 : TOLD_BYTES_MAX;
  sink->telling = false;
  if (sink->buffer->len + length + room_kept >= BUFFER_BYTES_MAX)
    sink->lines_lost++;
  else
    {
      g_string_append_len (sink->buffer, line, (gssize)length);
      g_string_append_c (sink->buffer, '\n');
      if (sink->buffer->len == length + 1)
        pthread_cond_signal (&sink->wake);
    }
  pthread_mutex_unlock (&sink->lock);
}

unsigned
gs_log_sink_lost_take (gs_log_sink_t *sink, int *error)
{
  unsigned lines_lost;

  pthread_mutex_lock (&sink->lock);
  if (sink->buffer->len + TOLD_LINE_BYTES_MAX >= BUFFER_BYTES_MAX)
    {
      pthread_mutex_unlock (&sink->lock);
      *error = 0;
      return 0;
    }
  lines_lost = sink->lines_lost;
  sink->telling = lines_lost > 0;
  sink->lines_lost = 0;
  *error = sink->error;
  sink->error = 0;
  pthread_mutex_unlock (&sink->lock);
  return lines_lost;
}

void
gs_log_sink_destroy (gs_log_sink_t *sink)
{
  if (sink == NULL)
    return;
  pthread_mutex_lock (&sink->lock);
  sink->stopping = true;
  sink->close_deadline = gs_clock_now () + CLOSE_TIMEOUT;
  pthread_cond_signal (&sink->wake);
  pthread_mutex_unlock (&sink->lock);
  gs_thread_join (sink->thread);
  sink_free (sink);
}
