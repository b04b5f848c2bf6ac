/**
 * @file loop.h
 * Single-threaded event loop: tasks posted by any thread, watched file
 * descriptors, a periodic tick and outgoing HTTP requests through libcurl.
 * Functions not marked as safe from any thread are called on the loop's
 * thread, or before the loop runs.
 */
#ifndef GARNETSTACK_LOOP_H
#define GARNETSTACK_LOOP_H

#include "garnetstack/clock.h"
#include "garnetstack/status.h"

#include <stdbool.h>
#include <stddef.h>

typedef struct gs_loop gs_loop_t;

typedef void (*gs_loop_cb_t) (void *context);
typedef void (*gs_loop_fd_cb_t) (void *context, int fd, short events);

/** @return GS_OK; @p out is freed with gs_loop_destroy(). */
gs_status_t gs_loop_create (gs_loop_t **out);

/** Free a loop that is not running; NULL is allowed.  Open requests are ended
    without calling on_done, and queued tasks are dropped. */
void gs_loop_destroy (gs_loop_t *loop);

/**
 * Queue @p callback to run on the loop's thread.  Safe from any thread; takes
 * no lock.
 * @return GS_OK, or GS_ELIMIT when the queue is full
 */
gs_status_t gs_loop_post (gs_loop_t *loop, gs_loop_cb_t callback,
                          void *context);

/** Call @p callback about every @p interval.  A loop has one tick; another
    call replaces it. */
void gs_loop_tick_set (gs_loop_t *loop, gs_time_t interval,
                       gs_loop_cb_t callback, void *context);

/** Call @p callback when @p fd is ready for any of the poll(2) events POLLIN,
    POLLOUT and POLLRDHUP given in @p events.  Replaces an earlier watch of
    the descriptor. */
void gs_loop_watch (gs_loop_t *loop, int fd, short events,
                    gs_loop_fd_cb_t callback, void *context);

/** Stop watching @p fd. */
void gs_loop_unwatch (gs_loop_t *loop, int fd);

/** Run until gs_loop_stop() is called.  The calling thread is the loop's
    thread.  May be called again after it has returned. */
void gs_loop_run (gs_loop_t *loop);

/** Make gs_loop_run() return; safe from any thread. */
void gs_loop_stop (gs_loop_t *loop);

/** Result of an HTTP request. */
typedef struct
{
  /** GS_OK when a complete response was received; GS_EUNREACHABLE when there
      was no connection to send the request on; GS_ETIMEOUT or GS_EUNKNOWN when
      it may have reached the server. */
  gs_status_t status;
  long http_status;
  const char *body; /**< NUL-terminated; empty if on_data was given */
  size_t body_length;
  const char *version;      /**< value of the X-Version header, "" if none */
  const char *content_type; /**< "" if none */
  const char *reason;       /**< why there is no complete response, "" if there
                                 is one */
  bool kept_connection;     /**< the request was sent on a connection that an
                                 earlier one had opened */
  bool send_started;        /**< a connection was there to send it on */
  bool is_garbled;          /**< the server sent bytes that are no response */
  unsigned local_port;      /**< of the connection; 0 if there was none */
} gs_http_result_t;

/** Receives a part of the response body.
    @return true to continue, false to end the request with an error */
typedef bool (*gs_http_data_cb_t) (void *context, const char *data,
                                   size_t length);
typedef void (*gs_http_done_cb_t) (void *context,
                                   const gs_http_result_t *result);
/** Receives each line of the response header, its line ending included: the
    status line, the header lines and the empty line.  A response with status
    1xx is followed by the lines of another one.
    @return true to continue, false to end the request with an error */
typedef bool (*gs_http_line_cb_t) (void *context, const char *line,
                                   size_t length);

/** An outgoing HTTP request.  Strings are copied. */
typedef struct
{
  const char *method;
  const char *url;
  const char *const *headers; /**< "Name: value", "Name;" for an empty value,
                                   "Name:" to omit one that libcurl adds;
                                   NULL-terminated; may be NULL */
  const char *target; /**< path and query, sent unchanged; NULL to use those of
                           the URL */
  const char *body;
  size_t body_length;
  gs_time_t deadline;          /**< of the whole request; 0 or GS_TIME_NEVER
                                    for none */
  gs_time_t response_deadline; /**< of the start of the response; 0 for none.
                                    Checked at least once a second, and each
                                    time that the loop wakes up */
  gs_time_t progress_deadline; /**< now plus the longest time without data,
                                    which is rounded down to whole seconds but
                                    is at least one; 0 for none */
  gs_time_t connect_deadline;  /**< for a new connection, 0 for none */
  bool new_connection;         /**< use a new connection and do not keep it */
  bool unused_connection;      /**< use a new connection, which may be kept */
  bool connect_only; /**< only open a connection, and close it; the result has
                          no HTTP status */
  bool no_resend; /**< send at most once, even when a reused connection turns
                  out to be dead, in which case libcurl would resend */
  bool tcp_keepalive; /**< enable TCP keepalive with one probe per second, so
                           that a dead connection ends the request */
  unsigned idle_seconds_max; /**< a connection that was idle for longer is not
                                  reused; 0 for libcurl's default */
  size_t body_bytes_max; /**< a longer response ends the request with an error,
                              unless on_data is set; 0 for the default */
  bool accepts_gzip;     /**< accept a compressed body, which is decompressed
                              before on_data or the result get it */
  gs_http_line_cb_t on_line; /**< may be NULL */
  gs_http_data_cb_t on_data; /**< NULL to collect the body in the result */
  gs_http_done_cb_t on_done; /**< called once, unless the request is cancelled
                                  or the loop is destroyed */
  void *context;
  /** Frees the context when gs_loop_destroy() ends the request; may be
      NULL. */
  void (*context_free) (void *context);
} gs_http_request_t;

#define GS_HTTP_REQUEST_INIT                                                  \
  {                                                                           \
    .method = "GET"                                                           \
  }

typedef struct gs_http_call gs_http_call_t;

/**
 * Start a request.  A kept connection on which bytes have arrived since its
 * last response is closed instead of being reused: they answer no request.
 * @param out receives a handle that is valid until on_done returns; may be
 * NULL
 * @return GS_OK; failures are reported through on_done
 */
gs_status_t gs_loop_http (gs_http_call_t **out, gs_loop_t *loop,
                          const gs_http_request_t *request);

/** @return whether a call that gets its response uses a connection that has
    carried other requests */
bool gs_loop_http_is_kept (const gs_http_call_t *call);

/** Close the connection of a call when its response is complete, so that it
    carries no other request.  May be called by on_line and on_data. */
void gs_loop_http_connection_retire (gs_http_call_t *call);

/** Close the connections to the server of a call that no call uses. */
void gs_loop_http_idle_connections_close (gs_http_call_t *call);

/** Stop receiving a response, or go on.  May be called by on_data.  Some data
    that has arrived may still be passed on after a pause, and is passed on
    by the call that ends it. */
void gs_loop_http_pause (gs_http_call_t *call, bool paused);

/** End a request without calling on_done or context_free. */
void gs_loop_http_cancel (gs_http_call_t *call);

#endif
