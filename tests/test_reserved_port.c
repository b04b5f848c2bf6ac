/* Guards against "cannot listen": a port that was free on 127.0.0.1, or free
   a moment ago, may belong to another program on the address where the
   process listens.  */

#include "check.h"
#include "process_harness.h"
#include "reserved_port.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#define HOST 2
#define CLUSTER_HOST 1
#define OTHER_PROGRAMS 200

static int
bind_port (unsigned host, uint16_t port, bool reuse)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl ((INADDR_LOOPBACK & IN_CLASSA_NET) + host);
  if (reuse)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
a_reserved_port_is_refused_to_other_programs (void)
{
  reserved_port_t reserved;
  int fd;

  reserved_port_take (&reserved, HOST);
  fd = bind_port (HOST, reserved.port, false);
  CU_ASSERT_EQUAL (fd, -1);
  if (fd >= 0)
    close (fd);
  reserved_port_release (&reserved);
}

static void
the_process_listens_on_its_reserved_port (void)
{
  reserved_port_t reserved;

  reserved_port_take (&reserved, HOST);
  for (int start = 0; start < 2; start++)
    {
      int fd = bind_port (HOST, reserved.port, true);

      CU_ASSERT_TRUE_FATAL (fd >= 0);
      CU_ASSERT_EQUAL (listen (fd, 1), 0);
      close (fd);
    }
  reserved_port_release (&reserved);
}

static void
reserved_ports_differ (void)
{
  reserved_port_t reserved[OTHER_PROGRAMS];

  for (unsigned i = 0; i < OTHER_PROGRAMS; i++)
    {
      reserved_port_take (&reserved[i], HOST);
      for (unsigned j = 0; j < i; j++)
        CU_ASSERT_NOT_EQUAL (reserved[i].port, reserved[j].port);
    }
  for (unsigned i = 0; i < OTHER_PROGRAMS; i++)
    reserved_port_release (&reserved[i]);
}

static void
check_is_reserved (uint16_t port)
{
  int fd = bind_port (CLUSTER_HOST, port, false);

  CU_ASSERT_EQUAL (fd, -1);
  if (fd >= 0)
    close (fd);
}

/* Guards against a port that two test programs choose at the same time, or
   that a stand-in gets before the node listens.  */
static void
the_ports_of_a_cluster_are_reserved_before_its_nodes_start (void)
{
  cluster_t cluster;

  cluster_create (&cluster, 1, 1);
  cluster_node_renew (&cluster, 0);
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    {
      check_is_reserved (cluster.nodes[i].caller_port);
      check_is_reserved (cluster.nodes[i].operator_port);
      check_is_reserved (cluster.nodes[i].peer_port);
    }
  cluster_stop (&cluster);
}

static const check_case_t cases[] = {
  { "a reserved port is refused to other programs",
    a_reserved_port_is_refused_to_other_programs },
  { "the process listens on its reserved port",
    the_process_listens_on_its_reserved_port },
  { "reserved ports differ", reserved_ports_differ },
  { "the ports of a cluster are reserved before its nodes start",
    the_ports_of_a_cluster_are_reserved_before_its_nodes_start },
};

int
main (void)
{
  return CHECK_RUN ("reserved port", cases);
}
