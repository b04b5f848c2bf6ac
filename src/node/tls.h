/**
 * @file tls.h
 * TLS certificate and key of a node, read from the files in its settings.
 */
#ifndef GS_NODE_TLS_H
#define GS_NODE_TLS_H

#include "garnetstack/server.h"
#include "garnetstack/settings.h"

typedef struct
{
  char *certificate; /**< PEM text, NULL without TLS */
  char *key;         /**< PEM text, NULL without TLS */
} gs_tls_t;

/**
 * Read the files, if the settings name any, and set the server's options.
 * @param out freed with gs_tls_clear(), also on failure; the server refers to
 * the texts and has to be destroyed first
 * @return GS_OK, or GS_EIO when a file cannot be read
 */
gs_status_t gs_tls_load (gs_tls_t *out, gs_server_options_t *server,
                         const gs_settings_t *settings);
void gs_tls_clear (gs_tls_t *tls);

#endif
