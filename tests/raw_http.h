/**
 * @file raw_http.h
 * HTTP/1.1 over plain sockets, for tests that send what no HTTP library would.
 * Contains a server with a thread for each connection, and client functions.
 */
#ifndef GS_TESTS_RAW_HTTP_H
#define GS_TESTS_RAW_HTTP_H

#include "garnetstack/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int fd;
  GString *received; /* bytes received and not yet read by the caller */
} raw_conn_t;

/** A request or a response, freed with raw_message_clear(). */
typedef struct
{
  char *first_line; /* request line or status line, without its line end */
  char *head;       /* first line and headers, with the empty line */
  GString *body;
} raw_message_t;

/** Free the contents of a message. */
void raw_message_clear (raw_message_t *message);

/** @return value of a header, freed with g_free(), or NULL if absent. */
char *raw_message_header (const raw_message_t *message, const char *name);

/** Read a request up to its body.
    @param out filled on success; freed with raw_message_clear()
    @return false if the connection ended */
bool raw_read_head (raw_conn_t *conn, raw_message_t *out);

/** Read the body of a request whose head was read; a body has a length or is
    chunked.
    @return false if the connection ended early; the body then holds the
    complete chunks that were received */
bool raw_read_body (raw_conn_t *conn, raw_message_t *message);

/** Read a request with its body.
    @param out filled on success; freed with raw_message_clear()
    @return false if the connection ended early */
bool raw_read_request (raw_conn_t *conn, raw_message_t *out);

/** Send all bytes; errors are ignored. */
void raw_send (raw_conn_t *conn, const char *data, size_t length);
void raw_printf (raw_conn_t *conn, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Make raw_close() and the server reset the connection instead of closing it
    regularly. */
void raw_reset_on_close (raw_conn_t *conn);

/** Wait until the other side closes.
    @return false if it is still open at @p deadline */
bool raw_wait_close (raw_conn_t *conn, gs_time_t deadline);

/** Handles one connection, which is closed when the handler returns. */
typedef void (*raw_handler_t) (void *context, raw_conn_t *conn);
typedef struct raw_server raw_server_t;

/** Listen on a free port of the loopback address; the test program exits if
    that fails.
    @param handler runs in a thread of its own for each connection */
void raw_server_create (raw_server_t **out, raw_handler_t handler,
                        void *context);

/** Listen as raw_server_create() does, on a port of an address.
    @param address in host byte order
    @param port 0 for a free one */
void raw_server_create_at (raw_server_t **out, uint32_t address, uint16_t port,
                           raw_handler_t handler, void *context);
uint16_t raw_server_port (const raw_server_t *server);

/** End as a process that crashes: close the listener and reset all
    connections.  May be called by a handler. */
void raw_server_crash (raw_server_t *server);

/** Listen again on the same port after raw_server_crash(); the test program
    exits if that fails. */
void raw_server_restart (raw_server_t *server);

/** Refuse new connections from now on; open ones stay.  Ended by
    raw_server_restart(). */
void raw_server_refuse (raw_server_t *server);

/** Let new connections hang without an answer, as behind a partition; open
    ones stay.
    @param hung false to accept connections again */
void raw_server_hang (raw_server_t *server, bool hung);

/** Shut down the listener and all connections, and wait for the threads. */
void raw_server_destroy (raw_server_t *server);

/** Connect to a port of the loopback address.
    @return false if the connection was refused; @p conn is then closed */
bool raw_connect (raw_conn_t *conn, uint16_t port);
void raw_close (raw_conn_t *conn);

/** Read until the other side closes, nothing arrives for @p quiet, or the text
    @p until has been received.
    @param until NULL for none
    @return the bytes received, freed by the caller */
GString *raw_read_until (raw_conn_t *conn, gs_time_t quiet, const char *until);

#endif
