/**
 * @file log.h
 * Structured log through log4c: one line of key=value pairs per event, written
 * to standard output.  Logging never blocks the caller: a separate thread
 * writes the lines.  Lines are dropped and counted while their reader is too
 * slow.
 */
#ifndef GARNETSTACK_LOG_H
#define GARNETSTACK_LOG_H

#include "garnetstack/status.h"

typedef enum
{
  GS_LOG_ERROR,
  GS_LOG_WARN,
  GS_LOG_INFO,
  GS_LOG_DEBUG
} gs_log_level_t;

/**
 * Open the log.  Call before any other thread starts.
 * @param level least severe level that is written
 * @param node name written as node= in each line; copied
 * @return GS_OK or GS_EIO
 */
gs_status_t gs_log_open (gs_log_level_t level, const char *node);

/** Like gs_log_open(), but write to @p fd, which the caller keeps open until
    gs_log_close() and then closes. */
gs_status_t gs_log_open_on (gs_log_level_t level, const char *node, int fd);

/** Write the lines still buffered, for a bounded time, and close the log. */
void gs_log_close (void);

/** @return GS_OK and sets @p out, or GS_EINVAL for an unknown name. */
gs_status_t gs_log_level_parse (gs_log_level_t *out, const char *name);

#define GS_LOG_VALUE_BYTES 256

/** Buffer for one quoted value. */
typedef struct
{
  char text[GS_LOG_VALUE_BYTES];
} gs_log_value_t;

/**
 * Format an untrusted value so that it cannot be read as further key=value
 * pairs.  The value is quoted unless it consists of plain characters only,
 * quotes, backslashes and control characters are escaped, and a long value is
 * truncated.
 * @return the text in @p out
 */
const char *gs_log_quote (gs_log_value_t *out, const char *value);

/**
 * Write one event.  Equal lines beyond a limit per second are suppressed; the
 * next such line that is written states their number.
 * @param event name of the event, a string literal
 * @param format printf format of the key=value pairs that follow
 */
void gs_log (gs_log_level_t level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Limit of routine lines per second.  Further ones are dropped, and a line
    states their number.  The limit allows two lines for each request at four
    times the request rate of the largest node in the known deployments on its
    busiest day. */
#define GS_LOG_ROUTINE_LINES_PER_SEC_MAX 600

/** Write an event of normal operation at level info, such as a completed
    request.  Routine lines have a limit per second of their own, so that they
    cannot crowd out other events. */
void gs_log_routine (const char *event, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
