/**
 * @file settings.h
 * Settings of a node, read from an INI file when the node starts.
 */
#ifndef GARNETSTACK_SETTINGS_H
#define GARNETSTACK_SETTINGS_H

#include "garnetstack/log.h"
#include "garnetstack/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GS_NAME_BYTES 64
#define GS_ADDRESS_BYTES 46
#define GS_URL_BYTES 256

/** Settings of a node.  Contains no pointers, so it may be copied. */
typedef struct
{
  char name[GS_NAME_BYTES];
  char address[GS_ADDRESS_BYTES]; /**< IP address for peers and callers */
  char region[GS_NAME_BYTES];
  char data_centre[GS_NAME_BYTES];
  uint16_t caller_port;
  uint16_t operator_port;
  uint16_t peer_port;
  unsigned workers;         /**< number of traffic threads */
  size_t body_bytes_max;    /**< largest request body */
  size_t bodies_bytes_max;  /**< limit on the sum of the request bodies
                                 of all open requests */
  unsigned connections_max; /**< limit of open caller connections */
  unsigned idle_seconds;    /**< idle time after which a caller connection
                                 is closed */
  unsigned receive_seconds; /**< timeout for receiving a complete
                                 request */
  char platform_url[GS_URL_BYTES]; /**< object API, cloud API, VM list */
  char weight_store_url[GS_URL_BYTES];
  char peer_key[GS_URL_BYTES];        /**< key shared by all nodes */
  char tls_certificate[GS_URL_BYTES]; /**< path, "" for plain HTTP */
  char tls_key[GS_URL_BYTES];         /**< path, "" for plain HTTP */
  bool operator_tls; /**< use the certificate on the operator port too */
  gs_log_level_t log_level;
} gs_settings_t;

/** Receives one fault of a settings or catalogue file: its place and the
    reason. */
typedef void (*gs_fault_cb_t) (void *context, const char *file,
                               const char *section, const char *key,
                               const char *reason);

/**
 * Read settings from @p path.  Reports all faults, not only the first.
 * @param on_fault called once per fault, with section and key "-" when the
 * file cannot be read or parsed; may be NULL
 * @return GS_OK, or GS_EINVAL when at least one fault was found
 */
gs_status_t gs_settings_read (gs_settings_t *out, const char *path,
                              gs_fault_cb_t on_fault, void *context);

#endif
