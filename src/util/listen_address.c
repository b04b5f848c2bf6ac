#include "util/listen_address.h"

#include <arpa/inet.h>
#include <string.h>

gs_status_t
gs_listen_address_parse (struct sockaddr_storage *out, const char *address,
                         uint16_t port)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *)out;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;

  memset (out, 0, sizeof *out);
  if (inet_pton (AF_INET, address, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons (port);
      return GS_OK;
    }
  if (inet_pton (AF_INET6, address, &v6->sin6_addr) == 1)
    {
      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons (port);
      return GS_OK;
    }
  return gs_error_set (GS_EINVAL, "'%s' is not an IP address", address);
}
