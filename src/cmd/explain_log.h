/**
 * @file explain_log.h
 * Explains a request from a log file, also when its node is gone.
 */
#ifndef GS_CMD_EXPLAIN_LOG_H
#define GS_CMD_EXPLAIN_LOG_H

#include "garnetstack/status.h"

#include <stdio.h>

/**
 * Print the lines of a request, and what its node came to believe meanwhile:
 * about the replicas it was sent to, the store, the peers, the configuration.
 * @param path file of one or more nodes' lines
 * @return GS_OK; GS_ENOTFOUND when no line names the request; GS_EIO
 */
gs_status_t gs_explain_log (FILE *out, const char *path, const char *id);

/**
 * Print the requests that ended without their answer and have no line that
 * names a cause.
 * @param count receives their number
 * @return GS_OK or GS_EIO
 */
gs_status_t gs_explain_unexplained (FILE *out, const char *path,
                                    unsigned *count);

#endif
