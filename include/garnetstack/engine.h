/**
 * @file engine.h
 * Client interfaces to the upstreams: model engines and plain services.  One
 * port serves all upstreams, and each call names the base URL.  Calls return
 * at once; results are passed to callbacks on the thread that runs the port's
 * loop.
 */
#ifndef GARNETSTACK_ENGINE_H
#define GARNETSTACK_ENGINE_H

#include "garnetstack/loop.h"
#include "garnetstack/settings.h"
#include "garnetstack/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** How an attempt starts. */
typedef enum
{
  GS_ENGINE_NEW,
  GS_ENGINE_RESUME, /**< continue a stream that the engine still holds */
  GS_ENGINE_MOVED,  /**< continue from a KV cache that was imported */
  GS_ENGINE_PREFILL /**< compute prompt and emitted text again */
} gs_engine_mode_t;

/** One attempt to generate text.  The strings are copied. */
typedef struct
{
  const char *url;        /**< base URL of the engine */
  const char *stream_id;  /**< id of the computation to resume, cancel or
                               export; sent to engines as request_id */
  const char *request_id; /**< of the client's request */
  uint32_t attempt;
  gs_engine_mode_t mode;
  uint32_t resume_from;  /**< index of the first token to send */
  unsigned priority;     /**< 0 is served first */
  const char *body;      /**< JSON object with model, prompt and max_tokens */
  size_t body_length;    /**< bytes of @c body */
  const char *emitted;   /**< text emitted so far, NULL to leave it out */
  size_t emitted_length; /**< bytes of @c emitted */
  gs_time_t deadline;    /**< of the whole response */
  gs_time_t progress_deadline; /**< now plus the longest time without data or
                                    a connection, 0 for no limit */
} gs_engine_call_t;

/**
 * Receives one token.  Tokens that the engine sends late, twice or out of
 * order are passed on as they arrive.
 * @param offset index of the token in the whole text
 * @param text not NUL-terminated; valid during the callback
 */
typedef void (*gs_engine_text_cb_t) (void *argument, uint32_t offset,
                                     const char *text, size_t length);

/** End of an attempt. */
typedef struct
{
  /** GS_OK only when the end marker was received; GS_EUNREACHABLE when the
      engine certainly did not run the attempt; GS_ENOTFOUND when the engine
      does not hold the stream or the KV cache; otherwise the response is
      incomplete. */
  gs_status_t status;
  long http_status; /**< 0 without a response */
} gs_engine_end_t;

typedef void (*gs_engine_end_cb_t) (void *argument,
                                    const gs_engine_end_t *end);

/** State that an engine reported, which may be stale.  Valid only with status
    GS_OK. */
typedef struct
{
  gs_status_t status;
  uint32_t running;
  uint32_t queued;
  uint32_t queued_tokens;
  uint32_t kv_blocks_free;
  uint32_t batch_max; /**< sequences computed at once, 0 if not reported */
  uint64_t fencing;   /**< fencing token of the last order */
  uint64_t sequence;  /**< increases with each report, 0 if missing */
  char model[GS_NAME_BYTES];
  char version[GS_NAME_BYTES];
  char role[GS_NAME_BYTES];
  const char *const *adapters; /**< NULL-terminated; valid during the
                                   callback */
} gs_engine_report_t;

typedef void (*gs_engine_report_cb_t) (void *argument,
                                       const gs_engine_report_t *report);

/** Prompt block that was added to or evicted from an engine's prefix cache. */
typedef struct
{
  bool add;       /**< otherwise evicted */
  uint64_t block; /**< hash of the block */
} gs_block_event_t;

/** Events of a prefix cache after a revision; valid during the callback. */
typedef struct
{
  gs_status_t status;
  uint64_t revision; /**< of the last event; @c after of the next call */
  uint64_t first;    /**< revision of the first event */
  bool gap;          /**< events between @c after and the first were lost */
  const gs_block_event_t *events;
  size_t count;
} gs_block_events_t;

typedef void (*gs_block_events_cb_t) (void *argument,
                                      const gs_block_events_t *events);

/** Result of a call without a stream; the body is valid during the
    callback. */
typedef struct
{
  gs_status_t status;
  const char *body;
  size_t length;
} gs_engine_result_t;

typedef void (*gs_engine_cb_t) (void *argument,
                                const gs_engine_result_t *result);

/** Complete desired state of an engine.  Orders are idempotent. */
typedef struct
{
  uint64_t fencing; /**< fencing token of the sender */
  const char *model;
  const char *version;
  const char *const *adapters; /**< NULL-terminated; may be NULL */
  const char *role;
} gs_engine_order_t;

/** Handle of a running attempt. */
typedef struct gs_engine_stream gs_engine_stream_t;

/** Interface to engines. */
typedef struct
{
  void *context;
  /** Start an attempt.  @return a handle, valid until on_end
      is called */
  gs_engine_stream_t *(*generate) (void *context, const gs_engine_call_t *call,
                                   gs_engine_text_cb_t on_token,
                                   gs_engine_end_cb_t on_end, void *argument);
  /** Close the connection of an attempt without calling on_end.  The engine
      is not told to stop. */
  void (*abandon) (void *context, gs_engine_stream_t *stream);
  /** Tell an engine to stop the attempts of a stream up to @p attempt. */
  void (*cancel) (void *context, const char *url, const char *stream_id,
                  uint32_t attempt, gs_time_t deadline,
                  gs_engine_cb_t callback, void *argument);
  /** Read the state of an engine. */
  void (*load) (void *context, const char *url, gs_time_t deadline,
                gs_engine_report_cb_t callback, void *argument);
  /** Read the events of the prefix cache after revision @p after. */
  void (*cache_events) (void *context, const char *url, uint64_t after,
                        gs_time_t deadline, gs_block_events_cb_t callback,
                        void *argument);
  /** Export the KV cache of a stream.  The body of the result is opaque. */
  void (*kv_get) (void *context, const char *url, const char *stream_id,
                  gs_time_t deadline, gs_engine_cb_t callback, void *argument);
  /** Import a KV cache that kv_get() returned. */
  void (*kv_put) (void *context, const char *url, const char *stream_id,
                  const char *body, size_t length, gs_time_t deadline,
                  gs_engine_cb_t callback, void *argument);
  /** Send an order.  The result is GS_ECONFLICT when the engine has seen a
      higher fencing token. */
  void (*order) (void *context, const char *url,
                 const gs_engine_order_t *order, gs_time_t deadline,
                 gs_engine_cb_t callback, void *argument);
} gs_engine_port_t;

/**
 * Create a port that calls engines over HTTP.
 * @param loop runs the transfers and callbacks; must outlive the port's calls
 * @return GS_OK.  The caller frees the port with gs_engine_http_destroy()
 *   after the loop has ended.
 */
gs_status_t gs_engine_http_create (gs_engine_port_t *out, gs_loop_t *loop);
void gs_engine_http_destroy (gs_engine_port_t *port);

/** Call of a plain service.  The strings are copied. */
typedef struct
{
  const char *url; /**< base URL of the service */
  const char *method;
  const char *path;
  const char *request_id;
  const char *key;          /**< value of Idempotency-Key, "" if none */
  uint64_t fencing;         /**< fencing token, 0 if none */
  const char *content_type; /**< "" for JSON */
  const char *body;
  size_t body_length;
  gs_time_t deadline;
  gs_time_t progress_deadline; /**< now plus the longest time without data or
                                    a connection, 0 for no limit */
} gs_service_call_t;

/** Result of a call of a service. */
typedef struct
{
  /** GS_OK when the service responded, with any HTTP status;
      GS_EUNREACHABLE when the service certainly received nothing; otherwise
      the call may have run. */
  gs_status_t status;
  long http_status;
  const char *content_type; /**< "" if none; valid during the callback */
  const char *body;         /**< valid during the callback */
  size_t length;
} gs_service_result_t;

typedef void (*gs_service_cb_t) (void *argument,
                                 const gs_service_result_t *result);

/** Handle of a running call. */
typedef struct gs_service_transfer gs_service_transfer_t;

/** Interface to services. */
typedef struct
{
  void *context;
  /** Start a call, which is sent at most once.  @return a handle, valid until
      the callback is called */
  gs_service_transfer_t *(*call) (void *context, const gs_service_call_t *call,
                                  gs_service_cb_t callback, void *argument);
  /** Close the connection of a call without calling its callback. */
  void (*abandon) (void *context, gs_service_transfer_t *transfer);
} gs_service_port_t;

/**
 * Create a port that calls services over HTTP.
 * @param loop runs the transfers and callbacks; must outlive the port's calls
 * @return GS_OK.  The caller frees the port with gs_service_http_destroy()
 *   after the loop has ended.
 */
gs_status_t gs_service_http_create (gs_service_port_t *out, gs_loop_t *loop);
void gs_service_http_destroy (gs_service_port_t *port);

#endif
