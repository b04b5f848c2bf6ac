/**
 * @file passing.h
 * How requests that are passed on unchanged say what they need, and how
 * replicas say what became of them: the project's types, and the callbacks of
 * the adapter that reads and writes the wire's names.
 */
#ifndef GARNETSTACK_PASSING_H
#define GARNETSTACK_PASSING_H

#include "garnetstack/clock.h"
#include "garnetstack/server.h"
#include "garnetstack/settings.h"

#include <glib.h>

/** Most parts of a prompt that are looked at. */
#define GS_PROMPT_PARTS_MAX 8

/** A part of a prompt; requests with the same id share it. */
typedef struct
{
  uint64_t id;
  uint32_t tokens;
} gs_prompt_part_t;

/** What a request says of itself. */
typedef struct
{
  char id[GS_NAME_BYTES];  /**< of one attempt of a caller; "" if none */
  char host[GS_URL_BYTES]; /**< "" if none */
  char key[GS_URL_BYTES];  /**< of the client account; "" if none */
  gs_time_t wait;          /**< the caller waits so long; 0 if not told */
  bool has_token_counts;
  uint32_t prompt_tokens;
  uint32_t output_tokens_max;
  uint32_t output_tokens_hint; /**< the caller's guess; 0 if none */
  uint64_t resume_after;       /**< number of the last event that the caller
                                    has; 0 for none */
  unsigned part_count;
  gs_prompt_part_t parts[GS_PROMPT_PARTS_MAX]; /**< in the prompt's order */
} gs_passed_request_t;

/** What a node adds when it sends a request on. */
typedef struct
{
  const char *replica;   /**< id of the replica that is to run it */
  const char *account;   /**< name of the client account; NULL for none */
  gs_time_t deadline;    /**< the replica stops then */
  int priority;          /**< 0 to 9, 0 first; below 0 to say none */
  uint64_t resume_after; /**< number of the last event that was passed on */
} gs_passed_extra_t;

/** The head of a replica's answer. */
typedef struct
{
  unsigned status;
  bool complete;          /**< the empty line has come */
  bool not_run;           /**< the replica says so */
  bool is_signed;         /**< the replica has signed it */
  bool encoded;           /**< the body is not in the form asked for */
  char id[GS_NAME_BYTES]; /**< attempt that it answers; "" if not told */
  char content_type[GS_URL_BYTES];
  unsigned keep_seconds; /**< the connection is kept idle so long; 0 if
                              not told */
  GPtrArray *headers;    /**< names and values in turn, to pass on */
} gs_passed_head_t;

void gs_passed_head_init (gs_passed_head_t *head);
void gs_passed_head_clear (gs_passed_head_t *head);

/** Callbacks of the adapter. */
typedef struct
{
  /** Read what a request says of itself. */
  void (*read_request) (gs_passed_request_t *out,
                        const gs_exchange_t *exchange);
  /** @return headers to send to the replica, for gs_http_request_t; freed
      with g_strfreev() */
  char **(*write_headers) (const gs_exchange_t *exchange,
                           const gs_passed_extra_t *extra);
  /** Take in a line of an answer's head. */
  void (*read_line) (gs_passed_head_t *head, const char *line, size_t length);
} gs_passing_t;

#endif
