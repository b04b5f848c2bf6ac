/**
 * @file listen_address.h
 * Converts an IP address in text form to a socket address.
 */
#ifndef GS_UTIL_LISTEN_ADDRESS_H
#define GS_UTIL_LISTEN_ADDRESS_H

#include "garnetstack/status.h"

#include <stdint.h>
#include <sys/socket.h>

/**
 * @param address IPv4 or IPv6 address as text
 * @param port in host byte order
 * @return GS_OK, or GS_EINVAL when @p address is not an IP address
 */
gs_status_t gs_listen_address_parse (struct sockaddr_storage *out,
                                     const char *address, uint16_t port);

#endif
