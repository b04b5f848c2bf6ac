/**
 * @file caller.h
 * One caller's side of a request: writes what the core decides to the
 * caller's HTTP exchange in the form that the caller asked for.
 */
#ifndef GS_NODE_CALLER_H
#define GS_NODE_CALLER_H

#include "garnetstack/request.h"
#include "garnetstack/server.h"

typedef struct gs_caller gs_caller_t;

typedef enum
{
  GS_FORM_COMPLETION,
  GS_FORM_CHAT,
  GS_FORM_SERVICE,
  GS_FORM_FOUND /**< asked for by id: a stream, or the answer of a call */
} gs_caller_form_t;

/** @return a caller that holds a reference of @p exchange. */
gs_caller_t *gs_caller_create (gs_exchange_t *exchange, gs_caller_form_t form,
                               bool stream, const char *model);

/** Say what the usage of an answer is counted from.
    @param in_stream end a stream with the usage */
void gs_caller_set_usage (gs_caller_t *caller, uint32_t prompt_tokens,
                          uint32_t tokens_max, bool in_stream);

/** Receives what callers do in place of an HTTP exchange. */
typedef struct
{
  void *context;
  void (*accepted) (void *context, gs_request_id_t id);
  void (*chunk) (void *context, uint32_t offset, const char *text,
                 size_t length, uint64_t digest);
  void (*end) (void *context, const gs_request_action_t *action);
} gs_caller_sink_t;

/** @return a caller that passes everything to @p sink; copied. */
gs_caller_t *gs_caller_create_sink (const gs_caller_sink_t *sink);
void gs_caller_destroy (gs_caller_t *caller);

/** Tell the caller that the request is accepted. */
void gs_caller_accepted (gs_caller_t *caller, gs_request_id_t id);

/** Pass on one token.  @param digest of the text with it */
void gs_caller_chunk (gs_caller_t *caller, uint32_t offset, const char *text,
                      size_t length, uint64_t digest);

/** Name the node that goes on with the request; before an end by a move. */
void gs_caller_name_taker (gs_caller_t *caller, const char *name,
                           const char *address, uint16_t port);

/** Pass on the end; the caller object is freed. */
void gs_caller_end (gs_caller_t *caller, const gs_request_action_t *action);

/**
 * Answer an exchange with an error in JSON.
 * @param id request id as text, "" when there is none
 * @param retry_after microseconds until a retry makes sense, 0 for none
 */
void gs_reply_error (gs_exchange_t *exchange, unsigned status,
                     const char *type, const char *message, const char *id,
                     const char *outcome, gs_time_t retry_after);

#endif
