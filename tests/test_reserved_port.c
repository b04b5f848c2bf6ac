/* Guards against "cannot listen": a port that was free on 127.0.0.1, or free
   a moment ago, may belong to another program on the address where the
   process listens.  */

#include "check.h"
#include "reserved_port.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#define HOST 2
#define OTHER_PROGRAMS 200

static int
bind_port (uint16_t port, bool reuse)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl ((INADDR_LOOPBACK & IN_CLASSA_NET) + HOST);
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
  fd = bind_port (reserved.port, false);
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
      int fd = bind_port (reserved.port, true);

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

static const check_case_t cases[] = {
  { "a reserved port is refused to other programs",
    a_reserved_port_is_refused_to_other_programs },
  { "the process listens on its reserved port",
    the_process_listens_on_its_reserved_port },
  { "reserved ports differ", reserved_ports_differ },
};

int
main (void)
{
  return CHECK_RUN ("reserved port", cases);
}
