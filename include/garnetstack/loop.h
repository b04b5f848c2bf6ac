/**
 * @file loop.h
 * Event loop of one thread: tasks posted by other threads, watched file
 * descriptors, a periodic tick and outgoing HTTP through libcurl.
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

/** @return GS_OK; the caller frees @p out with gs_loop_destroy(). */
gs_status_t gs_loop_create (gs_loop_t **out);

/** Free the loop after gs_loop_run() has returned; ends open transfers. */
void gs_loop_destroy (gs_loop_t *loop);

/**
 * Run @p callback on the loop's thread.  Safe from any thread; takes no lock.
 * @return GS_OK, or GS_ELIMIT when the queue is full
 */
gs_status_t gs_loop_post (gs_loop_t *loop, gs_loop_cb_t callback,
                          void *context);

/** Call @p callback about every @p interval; one tick per loop. */
void gs_loop_set_tick (gs_loop_t *loop, gs_time_t interval,
                       gs_loop_cb_t callback, void *context);

/** Watch @p fd for poll(2) @p events, POLLRDHUP among them; replaces an
    earlier watch of it. */
void gs_loop_watch (gs_loop_t *loop, int fd, short events,
                    gs_loop_fd_cb_t callback, void *context);

/** Stop watching @p fd. */
void gs_loop_unwatch (gs_loop_t *loop, int fd);

/** Run until gs_loop_stop(); called by the loop's own thread.  May be run
    again after it has returned. */
void gs_loop_run (gs_loop_t *loop);

/** Make gs_loop_run() return; safe from any thread. */
void gs_loop_stop (gs_loop_t *loop);

/** How a transfer ended. */
typedef struct
{
  /** GS_OK when a whole answer came; GS_EUNREACHABLE when certainly nothing
      was sent; GS_ETIMEOUT or GS_EUNKNOWN when something may have been. */
  gs_status_t status;
  long http_status;
  const char *body; /**< whole body unless on_data was given; NUL-ended */
  size_t body_length;
  const char *version;      /**< value of the X-Version header, "" if none */
  const char *content_type; /**< "" if none */
  const char *reason;       /**< why there is no whole answer; "" if none */
} gs_http_result_t;

/** @return true to go on, false to end the transfer. */
typedef bool (*gs_http_data_cb_t) (void *context, const char *data,
                                   size_t length);
typedef void (*gs_http_done_cb_t) (void *context,
                                   const gs_http_result_t *result);
/** Receives each line of the head of an answer, its end of line included: the
    status line, the headers and the empty line.  A head may be followed by
    another (status 1xx).  @return false to end the transfer. */
typedef bool (*gs_http_line_cb_t) (void *context, const char *line,
                                   size_t length);

/** One outgoing HTTP request.  Strings are copied. */
typedef struct
{
  const char *method;
  const char *url;
  const char *const *headers; /**< "Name: value", "Name;" for an empty value,
                                   "Name:" to leave one out that libcurl adds;
                                   NULL-ended; may be NULL */
  const char *target; /**< path and query to send as they are; NULL takes them
                           from the URL */
  const char *body;
  size_t body_length;
  gs_time_t deadline;
  gs_time_t progress_deadline; /**< longest silence, 0 for none */
  gs_time_t connect_deadline;  /**< of a new connection, 0 for none */
  bool fresh;                  /**< use a new connection and do not keep it */
  bool once; /**< never leaves a second time, also when a kept connection turns
                  out to be dead; libcurl would resend */
  bool probe_silence; /**< let the kernel probe the connection each second, so
                           that one that fell silent ends */
  unsigned idle_seconds_max; /**< a connection that was idle for longer is not
                                  used again; 0 for libcurl's default */
  size_t body_bytes_max;     /**< longest answer kept, 0 for the default */
  gs_http_line_cb_t on_line; /**< may be NULL */
  gs_http_data_cb_t on_data;
  gs_http_done_cb_t on_done; /**< called exactly once */
  void *context;
  /** Frees the context of a call that the end of the loop ends; may be
      NULL. */
  void (*context_free) (void *context);
} gs_http_request_t;

#define GS_HTTP_REQUEST_INIT                                                  \
  {                                                                           \
    .method = "GET"                                                           \
  }

typedef struct gs_http_call gs_http_call_t;

/**
 * Start a request; called on the loop's thread.
 * @param out receives a handle valid until on_done returns; may be NULL
 */
gs_status_t gs_loop_http (gs_http_call_t **out, gs_loop_t *loop,
                          const gs_http_request_t *request);

/** End a transfer without calling on_done. */
void gs_loop_http_cancel (gs_http_call_t *call);

#endif
