/**
 * @file request.h
 * State machine of requests, from submission to the end.  It is a function
 * over a table: it takes the time and one event, changes the table and appends
 * the actions that the caller must perform.  It opens no socket, reads no
 * clock and takes no lock.
 */
#ifndef GARNETSTACK_REQUEST_H
#define GARNETSTACK_REQUEST_H

#include "garnetstack/clock.h"
#include "garnetstack/prefix.h"
#include "garnetstack/rng.h"
#include "garnetstack/settings.h"
#include "garnetstack/status.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define GS_KEY_BYTES 128
#define GS_CONTENT_TYPE_BYTES 128
#define GS_PATH_BYTES 1024

/** Identity of a request: incarnation of the process that accepted it and a
    number, whose low GS_SHARD_BITS bits are the shard. */
typedef struct
{
  uint64_t incarnation;
  uint64_t sequence;
} gs_request_id_t;

/** Size of an id as text, including the terminating NUL. */
#define GS_REQUEST_ID_TEXT_BYTES 34

/** Write @p id as 16 hex digits, '-', 16 hex digits. */
void gs_request_id_format (char out[GS_REQUEST_ID_TEXT_BYTES],
                           gs_request_id_t id);

/** @return GS_OK, or GS_EINVAL when @p text is not a formatted id */
gs_status_t gs_request_id_parse (gs_request_id_t *out, const char *text);

typedef enum
{
  GS_REQUEST_GENERATE, /**< generation by a model engine; idempotent */
  GS_REQUEST_CALL      /**< call to a plain service */
} gs_request_kind_t;

typedef enum
{
  GS_STATE_RECEIVED,   /**< waits for the backup's acknowledgement */
  GS_STATE_ACCEPTED,   /**< waits for the claim or for an upstream */
  GS_STATE_DISPATCHED, /**< an upstream works on it */
  GS_STATE_ANSWERED,
  GS_STATE_NOT_RUN, /**< ended; it certainly did not run */
  GS_STATE_FAILED,  /**< ended with an error of the upstream */
  GS_STATE_UNKNOWN, /**< ended; it cannot be known whether it ran */
  GS_STATE_MOVED    /**< another node took it over */
} gs_request_state_t;

/** @return lower-case name of a state, a static string */
const char *gs_request_state_name (gs_request_state_t state);

/** Content of a request as the caller sent it. */
typedef struct
{
  gs_request_kind_t kind;
  bool idempotent;
  char account[GS_NAME_BYTES];
  char target[GS_NAME_BYTES]; /**< model or service */
  char method[8];
  char path[GS_PATH_BYTES]; /**< of a service call, including the query */
  char key[GS_KEY_BYTES];   /**< Idempotency-Key, "" if none */
  char
      content_type[GS_CONTENT_TYPE_BYTES]; /**< of a call's body, "" if none */
  gs_time_t deadline;
  uint32_t prompt_tokens; /**< estimate */
  uint32_t tokens_max;
  unsigned priority;        /**< of the account's class; 0 is served first */
  gs_prefix_probe_t prefix; /**< of the prompt; empty when unknown */
  GBytes *body;             /**< owned by the record */
} gs_request_spec_t;

/** Upstream that the router chose for an attempt. */
typedef struct
{
  char upstream[GS_NAME_BYTES];
  char url[GS_URL_BYTES]; /**< base URL of the upstream */
  gs_time_t first_token_expected_at;
  double token_interval_expected; /**< microseconds */
} gs_route_t;

/** How an engine starts an attempt. */
typedef enum
{
  GS_ATTEMPT_MODE_NEW,    /**< compute the prompt; no token was emitted */
  GS_ATTEMPT_MODE_RESUME, /**< continue the stream that the engine holds */
  GS_ATTEMPT_MODE_MOVED,  /**< continue from an imported KV cache */
  GS_ATTEMPT_MODE_PREFILL /**< recompute the prompt and the emitted text */
} gs_attempt_mode_t;

/** @return name of a mode in the engine protocol, a static string */
const char *gs_attempt_mode_name (gs_attempt_mode_t mode);

/** Identity of one computation of an answer.  Every attempt that starts anew
    gets its own, so that two processes that work on the same request never
    resume or import the computation of the other. */
typedef struct
{
  uint64_t holder;  /**< process that started it, 0 if there is none */
  uint32_t attempt; /**< number of the attempt in that process */
} gs_stream_id_t;

/** Size of a stream id as text, including the terminating NUL. */
#define GS_STREAM_ID_TEXT_BYTES 64

/** Write the id of a computation as it is sent to engines. */
void gs_stream_id_format (char out[GS_STREAM_ID_TEXT_BYTES],
                          gs_request_id_t id, gs_stream_id_t stream);

/** State that a process needs to take over a request of another one. */
typedef struct
{
  uint32_t attempt;
  gs_stream_id_t stream;
  bool shared;      /**< another process may be working on the stream too */
  gs_route_t route; /**< of the attempt in progress, "" if none */
  const char *text; /**< emitted text from the event's or action's offset on */
  size_t text_length;
  const uint32_t *ends; /**< offset in the whole text of each token's end */
  uint32_t tokens;      /**< number of ends */
  bool dispatched;      /**< a call may have run */
  bool handed_over; /**< the previous holder gave up the right to dispatch */
  uint64_t claim_version; /**< of the previous holder's claim, 0 if none */
} gs_request_progress_t;

/** Callbacks to the rest of the process; the core calls them in a step. */
typedef struct
{
  void *context;
  /** Check the limits of the account.
      @return GS_OK, or GS_EREFUSED with @p retry_after set */
  gs_status_t (*admit) (void *context, gs_time_t now,
                        const gs_request_spec_t *spec, gs_time_t *retry_after);
  /** Choose an upstream for an attempt.
      @param avoid name of an upstream not to choose if there is another, may
      be NULL
      @return GS_OK, or GS_EREFUSED when no upstream can serve now */
  gs_status_t (*route) (void *context, gs_time_t now, gs_request_id_t id,
                        const gs_request_spec_t *spec, uint32_t attempt,
                        const char *avoid, gs_route_t *out);
  /** Report the end of an attempt to the router. */
  void (*route_done) (void *context, gs_time_t now, const char *upstream,
                      gs_status_t status);
  /** @return incarnation of a backup other than @p avoid, 0 if none */
  uint64_t (*backup) (void *context, gs_request_id_t id, uint64_t avoid);
  /** An admitted request ended in this table; called once per request.  May be
      NULL.
      @param tokens generated */
  void (*ended) (void *context, gs_time_t now, gs_request_id_t id,
                 const gs_request_spec_t *spec, uint32_t tokens);
} gs_request_port_t;

typedef enum
{
  GS_EVENT_SUBMIT,
  GS_EVENT_BACKUP_ACK,
  GS_EVENT_PEER_LOST,
  GS_EVENT_PEER_LEAVING,
  GS_EVENT_CLAIM,            /**< result of writing the claim to the store */
  GS_EVENT_CLAIM_READ,       /**< result of reading the claim */
  GS_EVENT_HOLDER_REPLY,     /**< reply of the claim's holder */
  GS_EVENT_KV_MOVED,         /**< a transfer of KV cache ended */
  GS_EVENT_UPSTREAM_LEAVING, /**< data is the name of the upstream */
  GS_EVENT_ATTACH,           /**< a caller asks for the text from offset on */
  GS_EVENT_ADOPT,            /**< take over a request of peer */
  GS_EVENT_KEEP,  /**< keep the answer of a request of peer for callers; data
                       is the reason */
  GS_EVENT_LEAVE, /**< this process shuts down: hand over open requests */
  GS_EVENT_CHUNK, /**< one token of an answer */
  GS_EVENT_END,   /**< the upstream ended an attempt */
  GS_EVENT_TICK
} gs_request_event_type_t;

typedef struct
{
  gs_request_event_type_t type;
  gs_request_id_t id;
  uint32_t attempt;
  uint32_t offset;  /**< CHUNK and ATTACH: index of the first token; END: index
                         after the last token */
  const char *data; /**< CHUNK: text; END and HOLDER_REPLY: body of a service
                         answer; CLAIM_READ: claim */
  size_t length;
  gs_status_t status; /**< CLAIM, CLAIM_READ, HOLDER_REPLY, KV_MOVED, END */
  long http_status;   /**< END of a service call, KEEP, HOLDER_REPLY */
  const char *content_type;   /**< END of a service call, KEEP, HOLDER_REPLY */
  uint64_t version;           /**< CLAIM and CLAIM_READ */
  gs_request_state_t outcome; /**< KEEP and HOLDER_REPLY */
  uint64_t peer;   /**< BACKUP_ACK, PEER_LOST, PEER_LEAVING, ADOPT */
  uint64_t digest; /**< ATTACH: of the text before offset */
  bool taken_over; /**< BACKUP_ACK: the peer took over the request */
  const gs_request_progress_t *progress; /**< ADOPT and KEEP */
  gs_time_t deadline;      /**< LEAVE; KEEP: time until the caller may retry */
  gs_request_spec_t *spec; /**< SUBMIT, ADOPT and KEEP; the core takes over
                                its body */
  void *caller; /**< SUBMIT and ATTACH: handle that actions return */
} gs_request_event_t;

typedef enum
{
  GS_ACTION_BACKUP_PUT,      /**< send the whole record to peer */
  GS_ACTION_BACKUP_PROGRESS, /**< send the text from offset on to peer */
  GS_ACTION_BACKUP_DONE,     /**< send the end to peer; outcome RECEIVED only
                                  releases the copy */
  GS_ACTION_CLAIM,           /**< write the claim if version matches */
  GS_ACTION_CLAIM_READ,
  GS_ACTION_ASK_HOLDER, /**< ask peer, or else backup, for the outcome of
                             holder_id */
  GS_ACTION_MOVE_KV,    /**< transfer KV cache from `from` to `route` */
  GS_ACTION_DISPATCH,
  GS_ACTION_CANCEL,
  GS_ACTION_CALLER_ACCEPTED,
  GS_ACTION_CALLER_CHUNK,
  GS_ACTION_CALLER_END
} gs_request_action_type_t;

typedef struct
{
  gs_request_action_type_t type;
  gs_request_id_t id;
  uint32_t attempt;
  uint32_t offset; /**< DISPATCH: tokens already emitted; CALLER_CHUNK: index
                        of the token */
  uint64_t peer;
  gs_route_t route;
  gs_route_t from;           /**< MOVE_KV */
  gs_attempt_mode_t mode;    /**< DISPATCH */
  bool keep_stream;          /**< CANCEL: let the engine continue the stream */
  gs_request_id_t holder_id; /**< ASK_HOLDER: request that the claim names */
  uint64_t backup;           /**< ASK_HOLDER: backup of the claim's holder */
  uint64_t version;          /**< CLAIM: expected version, 0 to create */
  gs_request_progress_t progress; /**< BACKUP_PUT, BACKUP_PROGRESS, DISPATCH */
  const gs_request_spec_t *spec;  /**< valid until the next step */
  void *caller;
  const char *data; /**< valid until the next step */
  size_t length;
  uint64_t digest; /**< CALLER_CHUNK: of the text including this token */
  gs_request_state_t outcome; /**< CALLER_END and BACKUP_DONE */
  long http_status;
  const char *content_type; /**< CALLER_END; valid until the next step */
  gs_time_t retry_after;
  char reason[GS_NAME_BYTES];
} gs_request_action_t;

typedef struct gs_request_core gs_request_core_t;

/**
 * Create an empty table.
 * @param incarnation of this process
 * @param shard number of this table, stored in the low bits of its ids
 * @param port copied; its context must outlive the core
 * @return GS_OK
 */
gs_status_t gs_request_core_create (gs_request_core_t **out,
                                    uint64_t incarnation, unsigned shard,
                                    const gs_request_port_t *port);

/** Free the table and its requests; @p core may be NULL. */
void gs_request_core_destroy (gs_request_core_t *core);

/**
 * Process one event.
 * @param actions GArray of gs_request_action_t to append to
 * @param id SUBMIT: receives the new request's id; may be NULL
 */
void gs_request_core_step (gs_request_core_t *core, gs_time_t now,
                           const gs_request_event_t *event, GArray *actions,
                           gs_request_id_t *id);

/** Get the state of a request.
    @return GS_OK, or GS_ENOTFOUND when the table does not hold it */
gs_status_t gs_request_core_state (const gs_request_core_t *core,
                                   gs_request_id_t id,
                                   gs_request_state_t *out);

/** @return content of a request, NULL when the table does not hold it; valid
    until the next step */
const gs_request_spec_t *gs_request_core_spec (const gs_request_core_t *core,
                                               gs_request_id_t id);

/** @return number of requests that have not ended */
size_t gs_request_core_open_count (const gs_request_core_t *core);

/** Bounds on the answers kept after their end: time that each is kept, and
    bytes of memory of all. */
#define GS_ANSWER_TTL (60 * GS_SEC)
#define GS_ANSWER_BYTES_MAX ((size_t)16 << 20)

/** Bounds on the open requests of one table: their number, the bytes of all
    their bodies, and the bytes of emitted text of each. */
#define GS_REQUESTS_OPEN_MAX 4096
#define GS_REQUESTS_OPEN_BYTES_MAX ((size_t)64 << 20)
#define GS_TEXT_BYTES_MAX ((size_t)1 << 20)

/** Size of a claim as text, including the terminating NUL. */
#define GS_CLAIM_BYTES 80

/** Claim on an idempotency key, an object of the store.  It names the request
    that may run with the key, and the process that may dispatch it. */
typedef struct
{
  gs_request_id_t id;
  uint64_t holder;
  uint64_t backup; /**< process that has a copy of the request, 0 if none */
} gs_claim_t;

void gs_claim_format (char out[GS_CLAIM_BYTES], const gs_claim_t *claim);

/** @return GS_OK, or GS_EINVAL when the text is not a claim */
gs_status_t gs_claim_parse (gs_claim_t *out, const char *text, size_t length);

/** Extend the digest of a text by one token.  A caller sends the digest of the
    text that it has when it asks for the rest.
    @param before digest of the text without the token, 0 for an empty text
    @param data the token
    @return digest of the text including the token */
uint64_t gs_text_digest_extend (uint64_t before, const char *data,
                                size_t length);

/** Hash and equality of request ids, for GHashTable. */
guint gs_request_id_hash (gconstpointer id);
gboolean gs_request_id_equal (gconstpointer a, gconstpointer b);

/** Number of low bits of a sequence that hold the shard. */
#define GS_SHARD_BITS 4

#endif
