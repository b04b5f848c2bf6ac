/**
 * @file connection_table.h
 * The open connections of an HTTP client, found by their descriptors and by
 * the addresses of their ends.  libcurl takes an idle connection for usable
 * although bytes wait on it, and closes none on request; this table knows
 * which connections it has and which call uses each.  Not safe for threads.
 */
#ifndef GS_UTIL_CONNECTION_TABLE_H
#define GS_UTIL_CONNECTION_TABLE_H

#include <stdbool.h>

typedef struct connection_table connection_table_t;

/** @param out receives the table, to be freed with connection_table_destroy()
 */
void connection_table_create (connection_table_t **out);

/** Free a table; the descriptors stay open. */
void connection_table_destroy (connection_table_t *table);

/** Add a socket, which need not be connected yet. */
void connection_table_add (connection_table_t *table, int fd);

/** Remove a socket that is about to be closed. */
void connection_table_remove (connection_table_t *table, int fd);

/** The ends of a connection. */
typedef struct
{
  const char *remote_host; /**< numeric address */
  int remote_port;
  int local_port;
} connection_ends_t;

/** Record that a call uses the connection between two ends.
    @param user the call; it no longer uses another connection
    @return descriptor, -1 if the table does not have the connection */
int connection_table_use (connection_table_t *table,
                          const connection_ends_t *ends, const void *user);

/** Record that a call has ended. */
void connection_table_release (connection_table_t *table, const void *user);

/** Shut down the connections that no call uses, among those to the server
    that a call is connected to.
    @return their number */
unsigned connection_table_idle_shutdown (connection_table_t *table,
                                         const void *user);

#endif
