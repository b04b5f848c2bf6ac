/**
 * @file request_head.h
 * Checks that libmicrohttpd has read the head of a request whole and in the
 * only possible way.  When a proxy and a server disagree on where a request
 * ends, part of one request is taken for another (request smuggling).
 */
#ifndef GS_UTIL_REQUEST_HEAD_H
#define GS_UTIL_REQUEST_HEAD_H

#include <microhttpd.h>
#include <stdbool.h>

/** Where libmicrohttpd has found the parts of a request line. */
typedef struct
{
  struct MHD_Connection *connection;
  const char *method;
  const char *target; /**< a copy, not decoded */
  /** Where the target was in the buffer, which may have been changed since. */
  const char *raw_target_begin;
  const char *version;
} gs_request_line_t;

/**
 * @return whether each byte of the head belongs to the request line or to a
 * header that libmicrohttpd reports, each on a line of its own that ends with
 * CR LF, and the length of the body is clear.  Header lines that are
 * continued, which libmicrohttpd joins wrongly, are not accepted.
 */
bool gs_request_head_is_sound (const gs_request_line_t *line);

#endif
