/**
 * @file raw_proxy.h
 * A TCP proxy on the loopback address that can delay, withhold or drop data
 * and reset connections, for tests that inject network faults.
 */
#ifndef GS_TESTS_RAW_PROXY_H
#define GS_TESTS_RAW_PROXY_H

#include "raw_http.h"

typedef enum
{
  PROXY_PASS,
  PROXY_DELAY,        /* each received block is delayed */
  PROXY_SILENT,       /* nothing is forwarded; connections stay open */
  PROXY_NO_RESPONSES, /* requests are forwarded, responses are dropped */
  PROXY_RESET,        /* connections are reset */
  PROXY_HANG,         /* as PROXY_SILENT, and new connections get no answer */
  PROXY_REFUSE,       /* new connections are refused, open ones go on */
  PROXY_MODE_COUNT
} proxy_mode_t;

typedef struct raw_proxy raw_proxy_t;

/** Listen on a free port and forward connections to a port of the loopback
    address. */
void raw_proxy_create (raw_proxy_t **out, uint16_t target);
uint16_t raw_proxy_port (const raw_proxy_t *proxy);

/** Set the mode for new and open connections. */
void raw_proxy_set_mode (raw_proxy_t *proxy, proxy_mode_t mode);
void raw_proxy_destroy (raw_proxy_t *proxy);

#endif
