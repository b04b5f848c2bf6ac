/* Interpretation of HTTP responses, shared by the ports to the platform and to
   upstreams.  */
#ifndef GS_PORTS_HTTP_STATUS_H
#define GS_PORTS_HTTP_STATUS_H

#include "garnetstack/loop.h"

#include <jansson.h>

/* @return the status of a finished call: that of the transfer if the transfer
   failed, otherwise the status code that stands for the HTTP status.  */
gs_status_t gs_http_result_status (const gs_http_result_t *result);

/* @return the string member @p key, "" if missing or of another type; owned by
   the object.  */
const char *gs_json_text (const json_t *object, const char *key);

/* @return the integer member @p key, 0 if missing, negative or of another
   type.  */
uint64_t gs_json_number (const json_t *object, const char *key);

#endif
