#include "garnetstack/log.h"

#include "garnetstack/clock.h"
#include "garnetstack/metrics.h"
#include "util/flood.h"
#include "util/log_sink.h"

#include <log4c.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#define BODY_BYTES 2048
#define LINE_HEAD_BYTES 256
#define ESCAPE_BYTES 4
#define DELETE_CHARACTER 0x7f
#define SPECIAL_CHARACTERS "\"\\="
#define ESCAPED_CHARACTERS "\"\\"
#define NODE_NAME_BYTES 64
static log4c_category_t *category;
static gs_log_level_t threshold = GS_LOG_INFO;
static char node_name[NODE_NAME_BYTES] = "-";
static gs_flood_t flood;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static gs_log_sink_t *sink;
/* Routine lines: the second that is counted, and how many lines were written
   and dropped in it.  */
static int64_t routine_second;
static unsigned routine_written;
static unsigned routine_dropped;

static const char *const level_names[] = { "error", "warn", "info", "debug" };

static const int log4c_levels[]
    = { LOG4C_PRIORITY_ERROR, LOG4C_PRIORITY_WARN, LOG4C_PRIORITY_INFO,
        LOG4C_PRIORITY_DEBUG };

static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  (void)layout;
  return event->evt_msg;
}

static const log4c_layout_type_t line_layout = { "gs_line", format_line };

static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void)appender;
  gs_log_sink_write (sink, event->evt_rendered_msg);
  return 0;
}

static const log4c_appender_type_t line_appender
    = { "gs_sink", NULL, append_line, NULL };

gs_status_t
gs_log_open (gs_log_level_t level, const char *node)
{
  return gs_log_open_on (level, node, STDOUT_FILENO);
}

gs_status_t
gs_log_open_on (gs_log_level_t level, const char *node, int fd)
{
  log4c_appender_t *appender;
  gs_status_t status;

  log4c_layout_type_set (&line_layout);
  log4c_appender_type_set (&line_appender);
  appender = log4c_appender_get ("gs");
  log4c_appender_set_type (appender, &line_appender);
  log4c_appender_set_layout (appender, log4c_layout_get ("gs"));
  log4c_layout_set_type (log4c_layout_get ("gs"), &line_layout);
  category = log4c_category_get ("garnetstack");
  if (category == NULL)
    return gs_error_set (GS_EIO, "cannot get the log4c category");
  log4c_category_set_appender (category, appender);
  log4c_category_set_priority (category, log4c_levels[level]);
  threshold = level;
  snprintf (node_name, sizeof node_name, "%s", node);
  status = gs_log_sink_create (&sink, fd);
  if (status != GS_OK)
    category = NULL;
  return status;
}

void
gs_log_close (void)
{
  pthread_mutex_lock (&lock);
  category = NULL;
  pthread_mutex_unlock (&lock);
  gs_log_sink_destroy (sink);
  sink = NULL;
  log4c_fini ();
}

gs_status_t
gs_log_level_parse (gs_log_level_t *out, const char *name)
{
  for (size_t i = 0; i < sizeof level_names / sizeof *level_names; i++)
    if (strcmp (name, level_names[i]) == 0)
      {
        *out = (gs_log_level_t)i;
        return GS_OK;
      }
  return gs_error_set (GS_EINVAL, "unknown log level '%s'", name);
}

const char *
gs_log_quote (gs_log_value_t *out, const char *value)
{
  size_t length = 0;
  bool plain = *value != '\0';

  for (const char *c = value; plain && *c != '\0'; c++)
    plain = (unsigned char)*c > ' ' && *c != DELETE_CHARACTER
            && strchr (SPECIAL_CHARACTERS, *c) == NULL;
  if (!plain)
    out->text[length++] = '"';
  /* Reserves space for one escape sequence, the closing quote and NUL.  */
  for (; *value != '\0' && length + ESCAPE_BYTES + 2 < sizeof out->text;
       value++)
    {
      unsigned char c = (unsigned char)*value;

      if (c < ' ' || c == DELETE_CHARACTER)
        length += (size_t)snprintf (out->text + length, ESCAPE_BYTES + 1,
                                    "\\x%02x", c);
      else
        {
          if (strchr (ESCAPED_CHARACTERS, c) != NULL)
            out->text[length++] = '\\';
          out->text[length++] = (char)c;
        }
    }
  if (!plain)
    out->text[length++] = '"';
  out->text[length] = '\0';
  return out->text;
}

/* Replaces control characters, so that an event is always one line.  */
static void
replace_control_characters (char *line)
{
  for (; *line != '\0'; line++)
    if ((unsigned char)*line < ' ' || *line == DELETE_CHARACTER)
      *line = ' ';
}

static void
write_line (gs_log_level_t level, const char *event, const char *body,
            unsigned suppressed)
{
  char line[BODY_BYTES + LINE_HEAD_BYTES];
  int64_t wall = gs_clock_wall ();
  int length = snprintf (
      line, sizeof line, "ts=%lld.%06lld level=%s node=%s event=%s %s",
      (long long)(wall / GS_SEC), (long long)(wall % GS_SEC),
      level_names[level], node_name, event, body);

  if (suppressed > 0 && (size_t)length < sizeof line)
    snprintf (line + length, sizeof line - (size_t)length, " suppressed=%u",
              suppressed);
  log4c_category_log (category, log4c_levels[level], "%s", line);
}

/* Writes the number of dropped lines, before the next line that is written. */
static void
write_dropped_counts (void)
{
  char body[LINE_HEAD_BYTES];
  int error;
  unsigned lost = gs_log_sink_lost_take (sink, &error);

  if (lost > 0)
    {
      if (error != 0)
        snprintf (body, sizeof body, "reason=write_failed errno=%d lines=%u",
                  error, lost);
      else
        snprintf (body, sizeof body, "reason=slow_reader lines=%u", lost);
      write_line (GS_LOG_WARN, "log_left_out", body, 0);
    }
  if (routine_dropped > 0 && gs_clock_wall () / GS_SEC != routine_second)
    {
      snprintf (body, sizeof body, "reason=rate second=%lld lines=%u",
                (long long)routine_second, routine_dropped);
      write_line (GS_LOG_INFO, "log_left_out", body, 0);
      routine_dropped = 0;
    }
}

static void
write_event (gs_log_level_t level, const char *event, char *body)
{
  unsigned suppressed;
  uint64_t hash;

  replace_control_characters (body);
  hash = XXH3_64bits (body, strlen (body))
         ^ XXH3_64bits (event, strlen (event));
  pthread_mutex_lock (&lock);
  if (category != NULL)
    {
      write_dropped_counts ();
      if (gs_flood_line_admit (&flood, hash, gs_clock_wall () / GS_SEC,
                               &suppressed))
        write_line (level, event, body, suppressed);
      else
        gs_metric_add (GS_METRIC_LOG_LINES_SUPPRESSED, 1);
    }
  pthread_mutex_unlock (&lock);
}

void
gs_log (gs_log_level_t level, const char *event, const char *format, ...)
{
  char body[BODY_BYTES];
  va_list args;

  if (level > threshold)
    return;
  va_start (args, format);
  vsnprintf (body, sizeof body, format, args);
  va_end (args);
  write_event (level, event, body);
}

/* Counts a routine line as written or dropped.
   @return true if the line is within the limit of this second  */
static bool
routine_line_admit (void)
{
  int64_t second = gs_clock_wall () / GS_SEC;
  bool admitted;

  pthread_mutex_lock (&lock);
  if (second != routine_second && category != NULL)
    {
      write_dropped_counts ();
      routine_second = second;
      routine_written = 0;
    }
  admitted = routine_written < GS_LOG_ROUTINE_LINES_PER_SEC_MAX;
  if (admitted)
    routine_written++;
  else
    routine_dropped++;
  pthread_mutex_unlock (&lock);
  if (!admitted)
    gs_metric_add (GS_METRIC_LOG_LINES_SUPPRESSED, 1);
  return admitted;
}

void
gs_log_routine (const char *event, const char *format, ...)
{
  char body[BODY_BYTES];
  va_list args;

  if (threshold < GS_LOG_INFO || !routine_line_admit ())
    return;
  va_start (args, format);
  vsnprintf (body, sizeof body, format, args);
  va_end (args);
  write_event (GS_LOG_INFO, event, body);
}
