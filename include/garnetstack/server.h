/**
 * @file server.h
 * HTTP server over libmicrohttpd.  A handler takes an exchange on a server
 * thread; any thread may answer it later, whole or in pieces.
 */
#ifndef GARNETSTACK_SERVER_H
#define GARNETSTACK_SERVER_H

#include "garnetstack/loop.h"
#include "garnetstack/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct gs_server gs_server_t;
typedef struct gs_exchange gs_exchange_t;

/** Takes a request whose body has arrived whole.  The exchange must be
    answered, now or later; keep it with gs_exchange_ref(). */
typedef void (*gs_server_cb_t) (void *context, gs_exchange_t *exchange);

typedef struct
{
  const char *address; /**< IP number to listen on */
  uint16_t port;       /**< 0 lets the system choose */
  unsigned threads;
  gs_loop_t *loop; /**< serves on this loop's thread instead of threads of its
                        own; the loop must not run yet, or be the caller's */
  unsigned connections_max;
  size_t connection_bytes; /**< memory of a connection; bounds its head */
  size_t body_bytes_max;
  size_t bodies_bytes_max;     /**< bodies of all open exchanges together */
  size_t pending_bytes_max;    /**< an exchange is cut when its reader lags
                                    behind by more */
  unsigned idle_seconds;       /**< a silent connection is closed after this */
  unsigned receive_seconds;    /**< longest time for a whole request */
  const char *tls_certificate; /**< PEM text; NULL for plain HTTP */
  const char *tls_key;
  gs_server_cb_t handler;
  void *context;
} gs_server_options_t;

#define GS_SERVER_OPTIONS_INIT                                                \
  {                                                                           \
    .address = "127.0.0.1", .threads = 1, .connections_max = 1024,            \
    .connection_bytes = (size_t)32 << 10, .body_bytes_max = (size_t)1 << 20,  \
    .bodies_bytes_max = (size_t)256 << 20,                                    \
    .pending_bytes_max = (size_t)4 << 20, .idle_seconds = 30,                 \
    .receive_seconds = 60                                                     \
  }

/** @return GS_OK, or GS_EIO when the address cannot be listened on. */
gs_status_t gs_server_create (gs_server_t **out,
                              const gs_server_options_t *options);

/** Close what has been idle or slow for too long; called about each second
    for a server on a loop. */
void gs_server_tick (gs_server_t *server);

/** Change how long a connection may be silent, from its next request on. */
void gs_server_set_idle (gs_server_t *server, unsigned seconds);

/** Stop listening; open exchanges go on. */
void gs_server_quiesce (gs_server_t *server);

/** @return number of exchanges that are not yet wholly answered. */
unsigned gs_server_open (gs_server_t *server);

/** @return bytes of bodies that open exchanges hold. */
size_t gs_server_held (gs_server_t *server);

/** Close every connection and free the server. */
void gs_server_destroy (gs_server_t *server);

/** @return the port listened on. */
uint16_t gs_server_port (const gs_server_t *server);

const char *gs_exchange_method (const gs_exchange_t *exchange);
const char *gs_exchange_path (const gs_exchange_t *exchange);

/** @return path and query as they were sent, not decoded. */
const char *gs_exchange_target (const gs_exchange_t *exchange);

/** @return value of a header, or NULL; valid while the handler runs. */
const char *gs_exchange_header (const gs_exchange_t *exchange,
                                const char *name);

/** Receives a header as it was sent. */
typedef void (*gs_exchange_header_cb_t) (void *context, const char *name,
                                         const char *value);

/** Call @p callback for each header, in the order they came in; valid while
    the handler runs. */
void gs_exchange_each_header (const gs_exchange_t *exchange,
                              gs_exchange_header_cb_t callback, void *context);

/** @return bytes of the first line and the headers, valid while the handler
    runs; spaces around values, which HTTP leaves out, aren't counted. */
size_t gs_exchange_head_bytes (const gs_exchange_t *exchange);

/** @return when the first line of the request was read. */
gs_time_t gs_exchange_received_at (const gs_exchange_t *exchange);

typedef void (*gs_exchange_gone_cb_t) (void *context);

/**
 * Be told when the other side closes before it has the whole answer.  Called
 * at most once, on the loop's thread; only for a server on a loop.
 * @param callback NULL to be told no longer
 */
void gs_exchange_on_gone (gs_exchange_t *exchange,
                          gs_exchange_gone_cb_t callback, void *context);

/** @return value of a query argument, or NULL; as for a header. */
const char *gs_exchange_query (const gs_exchange_t *exchange,
                               const char *name);

/** @return the body, NUL-ended; owned by the exchange. */
const char *gs_exchange_body (const gs_exchange_t *exchange, size_t *length);

gs_exchange_t *gs_exchange_ref (gs_exchange_t *exchange);
void gs_exchange_unref (gs_exchange_t *exchange);

/**
 * Answer whole.
 * @param content_type NULL for none
 * @param headers pairs of name and value, NULL-ended; may be NULL
 */
void gs_exchange_reply (gs_exchange_t *exchange, unsigned status,
                        const char *content_type, const char *const *headers,
                        const char *body, size_t length);

/** Begin an answer in pieces. */
void gs_exchange_start (gs_exchange_t *exchange, unsigned status,
                        const char *content_type, const char *const *headers);
void gs_exchange_write (gs_exchange_t *exchange, const char *data,
                        size_t length);

/** End an answer in pieces. */
void gs_exchange_finish (gs_exchange_t *exchange);

/** Cut the connection without a regular end of the answer. */
void gs_exchange_abort (gs_exchange_t *exchange);

/** @return true once the other side is gone or was answered wholly. */
bool gs_exchange_closed (gs_exchange_t *exchange);

#endif
