/**
 * @file client.h
 * Blocking HTTP client for the operator port of a node.
 */
#ifndef GS_CMD_CLIENT_H
#define GS_CMD_CLIENT_H

#include "cmd/options.h"
#include "garnetstack/status.h"

#include <jansson.h>
#include <stdint.h>

/** HTTP request. */
typedef struct
{
  const char *method;
  const char *path;       /**< path and query */
  const char *body;       /**< NULL for none */
  uint64_t if_generation; /**< If-Generation header */
  const char *change_id;  /**< NULL for none */
} gs_client_request_t;

/** HTTP response. */
typedef struct
{
  long http_status;
  GString *body;
  uint64_t generation; /**< X-Generation header, 0 if none */
} gs_client_response_t;

/**
 * Send a request to the first node that can be connected to.
 * @param out freed with gs_client_response_clear(), also after a failure
 * @return GS_OK; GS_EUNREACHABLE when no node could be connected to;
 * GS_EUNKNOWN when the request may have been executed but its response was
 * lost
 */
gs_status_t gs_client_call (gs_client_response_t *out,
                            const gs_node_options_t *options,
                            const gs_client_request_t *request);

/** Send a request to the node at @p index; otherwise as gs_client_call(). */
gs_status_t gs_client_call_node (gs_client_response_t *out,
                                 const gs_node_options_t *options,
                                 unsigned index,
                                 const gs_client_request_t *request);
void gs_client_response_clear (gs_client_response_t *response);

/** @return the exit code for an HTTP status. */
int gs_client_exit_code (long http_status);

/** Print an error response to stderr, with one line for each fault.
    @return the exit code */
int gs_client_error_print (const char *command,
                           const gs_client_response_t *response);

/** Print why gs_client_call() failed to stderr.
    @return the exit code */
int gs_client_failure_print (const char *command, gs_status_t status);

#endif
