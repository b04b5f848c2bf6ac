#include "check.h"
#include "garnetstack/clock.h"
#include "raw_proxy.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Guards against a stand-in that drops a response and delivers what the server
   writes after it on the same connection, which no TCP connection does.  */

#define PAUSE_USEC 100000

static void
serve_two_parts (void *context, raw_conn_t *conn)
{
  (void)context;
  raw_printf (conn, "first");
  g_usleep (PAUSE_USEC);
  raw_printf (conn, "second");
  g_usleep (PAUSE_USEC);
}

static void
nothing_follows_data_that_were_dropped (void)
{
  raw_server_t *server;
  raw_proxy_t *proxy;
  raw_conn_t conn;
  GString *received;

  raw_server_create (&server, serve_two_parts, NULL);
  raw_proxy_create (&proxy, raw_server_port (server));
  raw_proxy_set_mode (proxy, PROXY_NO_RESPONSES);
  CU_ASSERT_TRUE_FATAL (raw_connect (&conn, raw_proxy_port (proxy)));
  g_usleep (PAUSE_USEC / 2);
  raw_proxy_set_mode (proxy, PROXY_PASS);
  received = raw_read_until (&conn, GS_SEC, NULL);
  CU_ASSERT_STRING_EQUAL (received->str, "");
  g_string_free (received, TRUE);
  raw_close (&conn);
  raw_proxy_destroy (proxy);
  raw_server_destroy (server);
}

static bool
other_socket_can_bind (uint16_t port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool bound;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  bound = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
  close (fd);
  return bound;
}

/* Guards against a path that refuses connections and whose port another
   program gets: a node that should be cut off from replicas then reaches that
   program.  */
static void
a_path_that_refuses_connections_keeps_its_port (void)
{
  raw_server_t *server;
  raw_proxy_t *proxy;
  raw_conn_t conn;

  raw_server_create (&server, serve_two_parts, NULL);
  raw_proxy_create (&proxy, raw_server_port (server));
  for (unsigned i = 0; i < 2; i++)
    {
      raw_proxy_set_mode (proxy, PROXY_REFUSE);
      CU_ASSERT_FALSE (raw_connect (&conn, raw_proxy_port (proxy)));
      CU_ASSERT_FALSE (other_socket_can_bind (raw_proxy_port (proxy)));
      raw_proxy_set_mode (proxy, PROXY_PASS);
      CU_ASSERT_TRUE_FATAL (raw_connect (&conn, raw_proxy_port (proxy)));
      raw_close (&conn);
    }
  raw_proxy_destroy (proxy);
  raw_server_destroy (server);
}

static const check_case_t cases[] = {
  { "nothing follows data that were dropped",
    nothing_follows_data_that_were_dropped },
  { "a path that refuses connections keeps its port",
    a_path_that_refuses_connections_keeps_its_port },
};

int
main (void)
{
  return CHECK_RUN ("raw_proxy", cases);
}
