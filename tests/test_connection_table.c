#include "check.h"
#include "raw_http.h"
#include "util/connection_table.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#define CLIENTS 3

static void
hold (void *context, raw_conn_t *conn)
{
  (void)context;
  raw_wait_close (conn, gs_clock_now () + 5 * GS_SEC);
}

static connection_ends_t
ends_of (const raw_server_t *server, int fd)
{
  struct sockaddr_in address = { 0 };
  socklen_t length = sizeof address;

  getsockname (fd, (struct sockaddr *)&address, &length);
  return (connection_ends_t){ "127.0.0.1", raw_server_port (server),
                              ntohs (address.sin_port) };
}

/* @return whether a socket has been shut down  */
static bool
is_down (int fd)
{
  char byte;

  return recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Guards against a connection that a call uses and that is shut down with the
   idle ones of its server, and against those of other servers.  */
static void
only_idle_connections_to_one_server_are_shut_down (void)
{
  raw_server_t *servers[2];
  raw_conn_t conns[CLIENTS + 1];
  connection_table_t *table;
  int users[CLIENTS + 1];

  connection_table_create (&table);
  for (unsigned i = 0; i < 2; i++)
    raw_server_create (&servers[i], hold, NULL);
  for (unsigned i = 0; i <= CLIENTS; i++)
    {
      const raw_server_t *server = servers[i / CLIENTS];
      connection_ends_t ends;

      CU_ASSERT_TRUE_FATAL (raw_connect (&conns[i], raw_server_port (server)));
      connection_table_add (table, conns[i].fd);
      ends = ends_of (server, conns[i].fd);
      CU_ASSERT_EQUAL (connection_table_use (table, &ends, &users[i]),
                       conns[i].fd);
    }
  CU_ASSERT_EQUAL (connection_table_idle_shutdown (table, &users[0]), 0);
  connection_table_release (table, &users[1]);
  connection_table_release (table, &users[CLIENTS]);
  CU_ASSERT_EQUAL (connection_table_idle_shutdown (table, &users[0]), 1);
  CU_ASSERT_FALSE (is_down (conns[0].fd));
  CU_ASSERT_TRUE (is_down (conns[1].fd));
  CU_ASSERT_FALSE (is_down (conns[2].fd));
  CU_ASSERT_FALSE (is_down (conns[CLIENTS].fd));
  for (unsigned i = 0; i <= CLIENTS; i++)
    raw_close (&conns[i]);
  for (unsigned i = 0; i < 2; i++)
    raw_server_destroy (servers[i]);
  connection_table_destroy (table);
}

/* Guards against a descriptor that is used again and named by the ends of the
   connection that had it before.  */
static void
a_removed_connection_is_not_found (void)
{
  raw_server_t *server;
  raw_conn_t conn;
  connection_table_t *table;
  connection_ends_t ends;
  int user;

  connection_table_create (&table);
  raw_server_create (&server, hold, NULL);
  CU_ASSERT_TRUE_FATAL (raw_connect (&conn, raw_server_port (server)));
  ends = ends_of (server, conn.fd);
  CU_ASSERT_EQUAL (connection_table_use (table, &ends, &user), -1);
  connection_table_add (table, conn.fd);
  CU_ASSERT_EQUAL (connection_table_use (table, &ends, &user), conn.fd);
  connection_table_remove (table, conn.fd);
  CU_ASSERT_EQUAL (connection_table_use (table, &ends, &user), -1);
  CU_ASSERT_EQUAL (connection_table_idle_shutdown (table, &user), 0);
  raw_close (&conn);
  raw_server_destroy (server);
  connection_table_destroy (table);
}

static const check_case_t cases[] = {
  { "only idle connections to one server are shut down",
    only_idle_connections_to_one_server_are_shut_down },
  { "a removed connection is not found", a_removed_connection_is_not_found },
};

int
main (void)
{
  return CHECK_RUN ("connection_table", cases);
}
