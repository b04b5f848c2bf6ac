#include "reserved_port.h"

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

void
reserved_port_take (reserved_port_t *out, unsigned host)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int on = 1;

  out->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  address.sin_addr.s_addr = htonl ((INADDR_LOOPBACK & IN_CLASSA_NET) + host);
  if (setsockopt (out->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
      || bind (out->fd, (struct sockaddr *)&address, sizeof address) != 0
      || getsockname (out->fd, (struct sockaddr *)&address, &size) != 0)
    {
      perror ("reserved port");
      exit (1);
    }
  out->port = ntohs (address.sin_port);
}

void
reserved_port_release (reserved_port_t *reserved)
{
  close (reserved->fd);
  reserved->fd = -1;
}
