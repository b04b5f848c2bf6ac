#include "garnetstack/status.h"

#include <stdarg.h>
#include <stdio.h>

#define MESSAGE_BYTES 512

static _Thread_local char last_message[MESSAGE_BYTES];

gs_status_t
gs_error_set (gs_status_t status, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  vsnprintf (last_message, sizeof last_message, format, args);
  va_end (args);
  return status;
}

const char *
gs_error_last (void)
{
  return last_message;
}

const char *
gs_status_name (gs_status_t status)
{
  switch (status)
    {
    case GS_OK:
      return "ok";
    case GS_EINVAL:
      return "invalid";
    case GS_ENOTFOUND:
      return "not_found";
    case GS_ECONFLICT:
      return "conflict";
    case GS_EREFUSED:
      return "refused";
    case GS_EUNREACHABLE:
      return "unreachable";
    case GS_EUNKNOWN:
      return "unknown";
    case GS_ETIMEOUT:
      return "timeout";
    case GS_EAUTH:
      return "unauthorized";
    case GS_ELIMIT:
      return "limit";
    case GS_EIO:
      return "io";
    }
  return "unnamed";
}
