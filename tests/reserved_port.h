/**
 * @file reserved_port.h
 * Ports for processes that a test starts.  A port stays bound, without
 * listening, on the address where the process will listen, so that no other
 * program gets it in the meantime.  The process takes it by SO_REUSEADDR.
 */
#ifndef GS_TESTS_RESERVED_PORT_H
#define GS_TESTS_RESERVED_PORT_H

#include <stdint.h>

typedef struct
{
  uint16_t port;
  int fd; /* holds the port */
} reserved_port_t;

/** Reserve a port that the kernel chooses; the test program exits if there is
    none.
    @param host number added to 127.0.0.0 */
void reserved_port_take (reserved_port_t *out, unsigned host);

/** Give the port up; a process that listens there keeps it. */
void reserved_port_release (reserved_port_t *reserved);

#endif
