/**
 * @file response_check.h
 * Checks that the head of a response can be read in one way only, before
 * libcurl's reading of it is believed: that accepts more than RFC 9112 allows.
 * When a proxy and a server disagree on where a response ends, a part of it is
 * taken for the whole, or for another one.
 */
#ifndef GS_UTIL_RESPONSE_CHECK_H
#define GS_UTIL_RESPONSE_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** State of the heads of one response, those of status 1xx included; zero
    before the first line. */
typedef struct
{
  unsigned status;      /**< of the last status line; 0 before it */
  bool header_expected; /**< the next line belongs to a head or the trailers */
  bool has_length;
  uint64_t length; /**< value of Content-Length */
  bool chunked;
} gs_response_check_t;

/**
 * Check the next line of a head, or of the trailers.
 * @param line with its line end; not NUL-terminated
 * @return false if a response must not contain it there
 */
bool gs_response_check_line (gs_response_check_t *check, const char *line,
                             size_t length);

/** @return whether the body ends with its connection */
bool gs_response_check_is_unframed (const gs_response_check_t *check);

/** @return whether the response may have a body */
bool gs_response_check_allows_body (const gs_response_check_t *check);

#endif
