/**
 * @file raw_http.h
 * Plain sockets that speak HTTP/1.1 byte by byte, so that a test can say
 * what no library would: a listener with a thread for each connection, and a
 * caller.
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
  GString *in; /* received and not yet taken */
} raw_conn_t;

/** A request or an answer; cleared with raw_message_clear(). */
typedef struct
{
  char *first; /* its first line */
  char *head;  /* first line and headers */
  GString *body;
} raw_message_t;

void raw_message_clear (raw_message_t *message);

/** @return value of a header, freed with g_free(), or NULL. */
char *raw_header (const raw_message_t *message, const char *name);

/** Read a request up to its body. @return false at the end */
bool raw_read_head (raw_conn_t *conn, raw_message_t *out);

/** Read the body of a request whose head was read. @return false when it
    ends early; what came is kept */
bool raw_read_body (raw_conn_t *conn, raw_message_t *message);

/** Read a request with a length or in chunks. @return false at the end */
bool raw_read_request (raw_conn_t *conn, raw_message_t *out);

void raw_send (raw_conn_t *conn, const char *data, size_t length);
void raw_printf (raw_conn_t *conn, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Make the close of a connection a reset. */
void raw_set_reset (raw_conn_t *conn);

/** @return true when the other side closed before @p deadline. */
bool raw_wait_close (raw_conn_t *conn, gs_time_t deadline);

typedef void (*raw_handler_t) (void *context, raw_conn_t *conn);
typedef struct raw_server raw_server_t;

/** Listen on a free port of the loopback address. The handler's return closes
    the connection. */
void raw_server_create (raw_server_t **out, raw_handler_t handler,
                        void *context);
uint16_t raw_server_port (const raw_server_t *server);

/** Close all and wait for the threads. */
void raw_server_destroy (raw_server_t *server);

/** Connect. @return false when refused */
bool raw_connect (raw_conn_t *conn, uint16_t port);
void raw_close (raw_conn_t *conn);

/** Read until the other side closes, or nothing came for @p quiet, or all
    of @p until has been seen (NULL for never). @return what came */
GString *raw_read_all (raw_conn_t *conn, gs_time_t quiet, const char *until);

#endif
