#include "garnetstack/deployment.h"

#include <glib.h>
#include <string.h>

gs_status_t
gs_endpoint_parse (gs_endpoint_t *out, const char *text)
{
  const char *colon = strrchr (text, ':');
  guint64 port;

  if (colon == NULL || (size_t)(colon - text) >= sizeof out->host
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, UINT16_MAX, &port,
                                      NULL))
    return gs_error_set (GS_EINVAL, "'%s' is not HOST:PORT", text);
  g_strlcpy (out->host, text, (gsize)(colon - text) + 1);
  out->port = (uint16_t)port;
  return GS_OK;
}
