/**
 * @file server.h
 * HTTP server over libmicrohttpd.  The handler receives each request as an
 * exchange on a server thread.  The response may be sent later and from
 * another thread, as a whole or as a stream.
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

/** Handles a request whose body has been received completely.  The exchange
    must be answered, either by the handler or later.  To answer it later, keep
    it with gs_exchange_ref(). */
typedef void (*gs_server_cb_t) (void *context, gs_exchange_t *exchange);

typedef struct
{
  const char *address; /**< IP address to listen on, as text */
  uint16_t port;       /**< 0 lets the system choose */
  unsigned threads;    /**< number of server threads, unless loop is set */
  /** Serve on the thread of this loop instead of on own threads; NULL for own
      threads.  The loop must not run yet, unless the caller is on its
      thread. */
  gs_loop_t *loop;
  unsigned connections_max;
  size_t connection_bytes;  /**< memory per connection, which also limits
                                 the size and number of headers, and the size
                                 of the response's head */
  size_t body_bytes_max;    /**< largest request body */
  size_t bodies_bytes_max;  /**< limit on the sum of the request bodies of
                                 all open exchanges */
  size_t pending_bytes_max; /**< an exchange is aborted when more unsent
                                 response data than this is queued */
  /** Accounts for the unsent data of all responses; NULL for none.  Only with
      loop.  A streamed response that the account rejects is aborted. */
  struct response_memory *response_memory;
  unsigned idle_seconds;       /**< idle time after which a connection is
                                    closed */
  unsigned receive_seconds;    /**< timeout for receiving a complete request */
  const char *tls_certificate; /**< PEM text; NULL for plain HTTP */
  const char *tls_key;         /**< PEM text; NULL for plain HTTP */
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

/**
 * Create a server and start to listen.
 * @param out receives the server, or NULL on failure; freed with
 * gs_server_destroy()
 * @param options its loop and context must outlive the server
 * @return GS_OK, GS_EINVAL when the address is not an IP address, or GS_EIO
 * when the server cannot listen on it
 */
gs_status_t gs_server_create (gs_server_t **out,
                              const gs_server_options_t *options);

/** Close connections that have exceeded the idle or receive timeout.  The
    owner of a server on a loop calls this about once per second. */
void gs_server_tick (gs_server_t *server);

/** Set the idle timeout.  It applies to a connection from its next request
    on. */
void gs_server_idle_timeout_set (gs_server_t *server, unsigned seconds);

/** Stop accepting connections; open exchanges continue. */
void gs_server_quiesce (gs_server_t *server);

/** @return number of exchanges whose response is not yet complete. */
unsigned gs_server_open_count (gs_server_t *server);

/** @return sum of the request bodies of all open exchanges, in bytes. */
size_t gs_server_body_bytes (gs_server_t *server);

/** Close all connections and free the server; NULL is allowed. */
void gs_server_destroy (gs_server_t *server);

/** @return the port listened on. */
uint16_t gs_server_port (const gs_server_t *server);

const char *gs_exchange_method (const gs_exchange_t *exchange);
const char *gs_exchange_path (const gs_exchange_t *exchange);

/** @return path and query as sent by the client, not decoded. */
const char *gs_exchange_target (const gs_exchange_t *exchange);

/** @return value of a header, or NULL if there is none; valid until the
    handler returns. */
const char *gs_exchange_header (const gs_exchange_t *exchange,
                                const char *name);

/** Receives one header; name and value are as sent by the client. */
typedef void (*gs_exchange_header_cb_t) (void *context, const char *name,
                                         const char *value);

/** Call @p callback for each header in the order received.  May be called
    only until the handler returns. */
void gs_exchange_each_header (const gs_exchange_t *exchange,
                              gs_exchange_header_cb_t callback, void *context);

/** @return size in bytes of the request line and the headers as received */
size_t gs_exchange_head_bytes (const gs_exchange_t *exchange);

/** @param headers names and values, NULL-terminated
    @return whether the head of a response finds room in the connection's
    memory, beside the head of the request.  A response whose head does not
    must not be sent: the connection would be closed without it.  One without
    headers always does. */
bool gs_exchange_head_fits (const gs_exchange_t *exchange,
                            const char *content_type,
                            const char *const *headers);

/** @return time at which the request line was received. */
gs_time_t gs_exchange_received_at (const gs_exchange_t *exchange);

typedef void (*gs_exchange_disconnect_cb_t) (void *context);

/**
 * Set the callback for a connection that ends before the response is complete.
 * It is called at most once, on the thread of the loop.  Only for a server on
 * a loop.
 * @param callback NULL to remove the callback
 */
void gs_exchange_disconnect_cb_set (gs_exchange_t *exchange,
                                    gs_exchange_disconnect_cb_t callback,
                                    void *context);

/** @return value of a query argument, or NULL if there is none; valid until
    the handler returns. */
const char *gs_exchange_query (const gs_exchange_t *exchange,
                               const char *name);

/**
 * @param length receives the length of the body in bytes; may be NULL
 * @return the request body, NUL-terminated; owned by the exchange
 */
const char *gs_exchange_body (const gs_exchange_t *exchange, size_t *length);

gs_exchange_t *gs_exchange_ref (gs_exchange_t *exchange);
void gs_exchange_unref (gs_exchange_t *exchange);

/**
 * Send a complete response.  Does nothing if a response was already started.
 * @param status HTTP status code
 * @param content_type NULL for none
 * @param headers names and values in turn, NULL-terminated; may be NULL
 */
void gs_exchange_reply (gs_exchange_t *exchange, unsigned status,
                        const char *content_type, const char *const *headers,
                        const char *body, size_t length);

/** Start a streamed response; parameters as for gs_exchange_reply().  Does
    nothing if a response was already started. */
void gs_exchange_start (gs_exchange_t *exchange, unsigned status,
                        const char *content_type, const char *const *headers);

/** Append data to a streamed response.  Aborts the exchange when the data not
    yet sent would exceed pending_bytes_max or its share of response_memory.
    @return false if this call has aborted the exchange */
bool gs_exchange_write (gs_exchange_t *exchange, const char *data,
                        size_t length);

/** @return bytes of a streamed response that are not sent yet */
size_t gs_exchange_unsent_bytes (gs_exchange_t *exchange);

/** End a streamed response. */
void gs_exchange_finish (gs_exchange_t *exchange);

/** Close the connection without completing the response. */
void gs_exchange_abort (gs_exchange_t *exchange);

/** @return true once the response is complete or the connection has been
    closed. */
bool gs_exchange_closed (gs_exchange_t *exchange);

#endif
