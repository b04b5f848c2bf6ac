#include "ports/http_status.h"

gs_status_t
gs_http_result_status (const gs_http_result_t *result)
{
  if (result->status != GS_OK)
    return result->status;
  switch (result->http_status)
    {
    case 200:
    case 201:
      return GS_OK;
    case 404:
      return GS_ENOTFOUND;
    case 409:
      return GS_ECONFLICT;
    case 410:
      return GS_ELIMIT;
    case 429:
    case 503:
      return GS_EREFUSED;
    case 400:
      return GS_EINVAL;
    default:
      return GS_EUNKNOWN;
    }
}

const char *
gs_json_text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL ? text : "";
}

uint64_t
gs_json_number (const json_t *object, const char *key)
{
  json_int_t value = json_integer_value (json_object_get (object, key));

  return value > 0 ? (uint64_t)value : 0;
}
