/**
 * @file raw_proxy.h
 * A proxy on the loopback address that delays, cuts, silences or resets what
 * goes through it, for tests that inject faults from outside a process.
 */
#ifndef GS_TESTS_RAW_PROXY_H
#define GS_TESTS_RAW_PROXY_H

#include "raw_http.h"

typedef enum
{
  PROXY_PASS,
  PROXY_DELAY,      /* each piece waits a little */
  PROXY_SILENT,     /* nothing passes; connections stay open */
  PROXY_NO_ANSWERS, /* requests pass, answers don't */
  PROXY_RESET,      /* connections are reset */
  PROXY_MODES
} proxy_mode_t;

typedef struct raw_proxy raw_proxy_t;

/** Listen and pass on to a port of the loopback address. */
void raw_proxy_create (raw_proxy_t **out, uint16_t target);
uint16_t raw_proxy_port (const raw_proxy_t *proxy);
void raw_proxy_set (raw_proxy_t *proxy, proxy_mode_t mode);
void raw_proxy_destroy (raw_proxy_t *proxy);

#endif
