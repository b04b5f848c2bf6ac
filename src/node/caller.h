/**
 * @file caller.h
 * Response to one caller: writes tokens and outcome of a request to the
 * caller's HTTP exchange, in the format that the caller asked for.
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
  GS_FORM_LOOKUP /**< lookup by id: a stream, or the response of a call */
} gs_caller_form_t;

/** @param model copied
    @return a caller that holds a reference to @p exchange; freed by
    gs_caller_end() or gs_caller_destroy() */
gs_caller_t *gs_caller_create (gs_exchange_t *exchange, gs_caller_form_t form,
                               bool stream, const char *model);

/** Set the values from which token usage and finish reason are reported.
    @param tokens_max limit of the request, 0 if not known
    @param in_stream end a stream with the usage */
void gs_caller_usage_set (gs_caller_t *caller, uint32_t prompt_tokens,
                          uint32_t tokens_max, bool in_stream);

/** Callbacks that receive a response in place of an HTTP exchange. */
typedef struct
{
  void *context;
  void (*accepted) (void *context, gs_request_id_t id);
  void (*chunk) (void *context, uint32_t offset, const char *text,
                 size_t length, uint64_t digest);
  void (*end) (void *context, const gs_request_action_t *action);
} gs_caller_sink_t;

/** @param sink copied; all callbacks are set
    @return a caller that passes all calls to @p sink */
gs_caller_t *gs_caller_create_sink (const gs_caller_sink_t *sink);

/** Free a caller without a response. */
void gs_caller_destroy (gs_caller_t *caller);

/** Tell the caller that the request is accepted. */
void gs_caller_accepted (gs_caller_t *caller, gs_request_id_t id);

/** Send one token.
    @param offset index of the token
    @param digest of the whole text up to and including this token */
void gs_caller_chunk (gs_caller_t *caller, uint32_t offset, const char *text,
                      size_t length, uint64_t digest);

/** Set the node that continues a request that moved.  Must be called before
    gs_caller_end() with outcome GS_STATE_MOVED. */
void gs_caller_successor_set (gs_caller_t *caller, const char *name,
                              const char *address, uint16_t port);

/** Send the outcome and free @p caller. */
void gs_caller_end (gs_caller_t *caller, const gs_request_action_t *action);

/**
 * Reply to an exchange with an error in JSON.
 * @param id request id as text, "" if there is none
 * @param retry_after microseconds until the caller may retry, 0 for none
 */
void gs_reply_error (gs_exchange_t *exchange, unsigned status,
                     const char *type, const char *message, const char *id,
                     const char *outcome, gs_time_t retry_after);

#endif
