/**
 * @file log.h
 * Structured log through log4c: one line of key=value pairs per event, to
 * standard output.  Writing never waits: a thread of its own hands the lines
 * on, and a reader that is too slow costs lines, which are counted.
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
 * Open the log.  Call once before any thread starts.
 * @param level least severe level written
 * @param node name written as node= in each line; copied
 * @return GS_OK or GS_EIO
 */
gs_status_t gs_log_open (gs_log_level_t level, const char *node);

/** The same, to another descriptor, which stays the caller's. */
gs_status_t gs_log_open_on (gs_log_level_t level, const char *node, int fd);

/** Close the log. */
void gs_log_close (void);

/** @return 0 and sets @p out, or GS_EINVAL for an unknown name. */
gs_status_t gs_log_level_parse (gs_log_level_t *out, const char *name);

#define GS_LOG_VALUE_BYTES 256

/** Room for one quoted value. */
typedef struct
{
  char text[GS_LOG_VALUE_BYTES];
} gs_log_value_t;

/**
 * Write a value that comes from outside so that it can't be taken for other
 * pairs: quoted when it holds more than plain characters, quotes and control
 * characters escaped, cut when it is too long.
 * @return the text in @p out
 */
const char *gs_log_quote (gs_log_value_t *out, const char *value);

/**
 * Write one event.  Equal lines above a rate are left out and counted; the
 * count is written with the next such line.
 * @param event name of the event, a string literal
 * @param format printf format of the key=value pairs that follow
 */
void gs_log (gs_log_level_t level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Routine lines written in one second; those beyond are left out first, and
    their number is a line.  Four times the requests that the largest node of
    the known deployments takes on its heaviest day, at two lines each. */
#define GS_LOG_ROUTINE_PER_SEC 600

/** Write an event of the usual course, such as a request that was answered;
    left out before any other when there are too many. */
void gs_log_routine (const char *event, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
