/**
 * @file header_codec.h
 * Headers as the project's types: those of a request that a node forwards
 * unchanged to a replica, and those of the replica's response.  Only the
 * adapter that implements gs_header_codec_t knows their names on the wire.
 */
#ifndef GARNETSTACK_HEADER_CODEC_H
#define GARNETSTACK_HEADER_CODEC_H

#include "garnetstack/clock.h"
#include "garnetstack/server.h"
#include "garnetstack/settings.h"

#include <glib.h>

/** Prompt blocks that are read from a request; further ones are ignored. */
#define GS_PROMPT_BLOCKS_MAX 32

/** A block of a prompt, which a replica may have in its prefix cache.
    Requests that contain the same block give the same id for it. */
typedef struct
{
  uint64_t id;
  uint32_t tokens; /**< length of the block */
} gs_prompt_block_t;

/** Headers of a caller's request.  A header that is missing or cannot be read
    leaves its field empty or 0. */
typedef struct
{
  char id[GS_NAME_BYTES];  /**< id that the caller gave this attempt */
  char host[GS_URL_BYTES]; /**< value of the Host header */
  char key[GS_URL_BYTES];  /**< API key of the client account */
  gs_time_t timeout;       /**< how long the caller waits for the response */
  bool has_token_counts;   /**< the next two fields are set */
  uint32_t prompt_tokens;
  uint32_t output_tokens_max;
  uint32_t output_tokens_hint; /**< the caller's estimate of the output */
  uint64_t resume_after;       /**< number of the last event that the caller
                                    received */
  char resumes[GS_NAME_BYTES]; /**< id of the attempt that brought the first
                                    event of the stream that the caller
                                    resumes; "" if it resumes none */
  bool from_node;              /**< another node passes the request on */
  unsigned runs_left;          /**< how often it may still run, as that node
                                    says; 0 if it does not say */
  unsigned block_count;
  gs_prompt_block_t blocks[GS_PROMPT_BLOCKS_MAX]; /**< in the prompt's order */
} gs_request_headers_t;

/** Headers that a node sets when it forwards a request to a replica or to
    another node. */
typedef struct
{
  bool to_node;          /**< the receiver is a node, which gets the caller's
                              headers and sets those for the replica itself */
  unsigned runs_left;    /**< to a node: how often the request may still run */
  const char *resumes;   /**< to a node with resume_after: the attempt that
                              began the stream; else NULL */
  const char *replica;   /**< id of the replica that is to run the request */
  const char *account;   /**< name of the client account; NULL for none */
  gs_time_t deadline;    /**< when the replica stops running the request */
  int priority;          /**< 0 (highest) to 9; negative for none */
  uint64_t resume_after; /**< number of the last event that was forwarded to
                              the caller; 0 for none */
} gs_forward_headers_t;

/** Status line and headers of a replica's response. */
typedef struct
{
  unsigned status; /**< HTTP status */
  bool complete;   /**< the empty line after the headers was read */
  bool malformed;  /**< not one regular head, as where two responses have run
                        into each other */
  bool not_run;    /**< the replica states that it did not run the
                        request */
  char not_run_id[GS_NAME_BYTES]; /**< id of the request that a node states
                                       it has not run; "" if none */
  bool is_signed;                 /**< a signature header is present; it is not
                                       verified */
  bool framed;            /**< the body has a length or is chunked; otherwise
                               it ends with the connection */
  bool encoded;           /**< the body has a content encoding, such as gzip */
  char id[GS_NAME_BYTES]; /**< id of the attempt that the response belongs to;
                               "" if not given */
  char content_type[GS_URL_BYTES]; /**< "" if not given */
  unsigned keep_alive_seconds; /**< how long the replica keeps the connection
                                    open while idle; 0 if not given */
  bool has_limit;              /**< the replica names a limit */
  double limit_per_sec;        /**< requests a second that it takes from all
                                    nodes together */
  bool has_brittle;            /**< the replica says that it is brittle */
  double rejections_max;       /**< requests a second that it can reject for
                                    lack of room; more make it fall over */
  bool leaving;                /**< the replica says that it leaves */
  gs_time_t retry_after; /**< how long the replica wants no requests from this
                              node; 0 if not given */
  GPtrArray *headers;    /**< headers to forward to the caller, each a name
                              followed by its value; owned */
} gs_response_head_t;

/** Initialize an empty head; the caller frees its contents with
    gs_response_head_clear(). */
void gs_response_head_init (gs_response_head_t *head);
void gs_response_head_clear (gs_response_head_t *head);

/** Callbacks of the adapter that knows the names of the headers. */
typedef struct
{
  /** Header in which a node tells another one the id of a request that has not
      run. */
  const char *not_run_name;
  /** Read the headers of a caller's request. */
  void (*read_request) (gs_request_headers_t *out,
                        const gs_exchange_t *exchange);
  /** Merge a request's own headers with those that the node sets.
      @return headers to send to the replica, as in gs_http_request_t; the
      caller frees them with g_strfreev() */
  char **(*write_headers) (const gs_exchange_t *exchange,
                           const gs_forward_headers_t *extra);
  /** Read one line of a response's head, such as the status line or a
      header, into @p head. */
  void (*read_line) (gs_response_head_t *head, const char *line,
                     size_t length);
} gs_header_codec_t;

#endif
