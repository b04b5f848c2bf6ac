#include "node/tls.h"

#include <glib.h>

static gs_status_t
read_file (char **out, const char *path)
{
  GError *error = NULL;
  gs_status_t status;

  if (g_file_get_contents (path, out, NULL, &error))
    return GS_OK;
  status = gs_error_set (GS_EIO, "%s", error->message);
  g_error_free (error);
  return status;
}

gs_status_t
gs_tls_load (gs_tls_t *out, gs_server_options_t *server,
             const gs_settings_t *settings)
{
  gs_status_t status;

  *out = (gs_tls_t){ NULL, NULL };
  if (settings->tls_certificate[0] == '\0')
    return GS_OK;
  status = read_file (&out->certificate, settings->tls_certificate);
  if (status == GS_OK)
    status = read_file (&out->key, settings->tls_key);
  if (status != GS_OK)
    return status;
  server->tls_certificate = out->certificate;
  server->tls_key = out->key;
  return GS_OK;
}

void
gs_tls_clear (gs_tls_t *tls)
{
  g_free (tls->certificate);
  g_free (tls->key);
}
