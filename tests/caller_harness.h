/**
 * @file caller_harness.h
 * Callers that behave like a client program.  A caller that loses its
 * connection resumes at another node with the request id and the offset, or,
 * when it received no id, sends the same call again.  Each answer is compared
 * with the one that the fake engines produce for this prompt.
 */
#ifndef GS_TESTS_CALLER_HARNESS_H
#define GS_TESTS_CALLER_HARNESS_H

#include "garnetstack/loop.h"

#include <glib.h>
#include <stdint.h>

typedef enum
{
  CALL_STREAM, /**< generation, streamed */
  CALL_WHOLE,  /**< generation, not streamed */
  CALL_CHARGE, /**< service call that may not be repeated */
  CALL_QUERY,  /**< service call that may be repeated */
  CALL_KIND_COUNT
} call_kind_t;

/** How a call ended; bits, so that a test can allow several. */
typedef enum
{
  CALL_PENDING = 0,
  CALL_ANSWERED = 1,
  CALL_NOT_RUN = 2,
  CALL_UNKNOWN = 4,
  CALL_FAILED = 8,
  CALL_MIXED = 16, /**< the answer differs from the expected one */
  CALL_LOST = 32   /**< no outcome within all failovers or the timeout */
} call_result_t;

typedef struct callers callers_t;

typedef struct
{
  callers_t *callers;
  call_kind_t kind;
  unsigned node; /* current node, by number */
  char *url;     /* of the node that an error named for resuming, NULL to
                    use the node above */
  char *account_key;
  char *prompt;
  char *key; /* Idempotency-Key */
  uint32_t tokens;
  unsigned silence_timeout_sec; /* silence before failover, 0: no limit */
  unsigned retries_left;        /* remaining repetitions after "not run" */
  unsigned failovers_left;      /* remaining failovers */
  gs_http_call_t *transfer;
  GString *input; /* received data after the last newline */
  GString *text;
  uint32_t next; /* offset of the next token */
  char id[64];
  char digest[24];        /* of the text so far, from the latest chunk */
  bool complete;          /* the end marker of the stream was received */
  bool out_of_order;      /* a chunk had an unexpected offset */
  bool resume_url_is_new; /* the node of url has not been tried yet */
  char outcome[32];       /* of the latest error, "" for none */
  call_result_t result;
  unsigned reconnects;
  gs_time_t retry_at; /* 0: not waiting */
  gs_time_t started;
  gs_time_t ended;
} caller_t;

/** All callers of a test, on one event loop. */
struct callers
{
  gs_loop_t *loop;
  char **nodes; /* base URLs, NULL-ended; owned by the test */
  GPtrArray *all;
  unsigned pending;
};

void callers_init (callers_t *callers, gs_loop_t *loop, char **nodes);
void callers_clear (callers_t *callers);

/** Send calls whose retry time has come; called about every 10 ms. */
void callers_tick (callers_t *callers);

/**
 * Create a call; the next callers_tick() sends it.
 * @param name makes prompt and key unique
 * @return the caller, owned by @p callers
 */
caller_t *caller_start (callers_t *callers, call_kind_t kind, unsigned node,
                        const char *account_key, const char *name,
                        uint32_t tokens, size_t prompt_bytes);

/** Close the caller's connection; the caller resumes at node @p node. */
void caller_disconnect (caller_t *caller, unsigned node);

/** @return name of a result, a static string. */
const char *call_result_name (call_result_t result);

#endif
