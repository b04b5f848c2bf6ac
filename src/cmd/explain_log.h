/**
 * @file explain_log.h
 * Explains requests from a log file, without querying a node, which may no
 * longer exist.
 */
#ifndef GS_CMD_EXPLAIN_LOG_H
#define GS_CMD_EXPLAIN_LOG_H

#include "garnetstack/status.h"

#include <stdio.h>

/**
 * Print the log lines of a request, and the state changes that its nodes
 * logged around that time: of the replicas that received the request, the
 * store, the peers and the configuration.
 * @param path log file of one or more nodes
 * @return GS_OK; GS_ENOTFOUND when no line names the request; GS_EIO when the
 * file cannot be read
 */
gs_status_t gs_explain_log (FILE *out, const char *path, const char *id);

/**
 * Print the requests whose end the log does not explain: those that ended
 * without a reason, and those that have no end although their node neither
 * restarted nor was reported silent afterwards.
 * @param count receives the number of these requests
 * @return GS_OK, or GS_EIO when the file cannot be read
 */
gs_status_t gs_explain_unexplained_print (FILE *out, const char *path,
                                          unsigned *count);

#endif
