#include "node/service_path.h"

#include <string.h>

#define DELETE_CHARACTER 0x7f

static bool
segment_valid (const char *start, size_t length)
{
  if (length == 1 && start[0] == '.')
    return false;
  if (length == 2 && start[0] == '.' && start[1] == '.')
    return false;
  for (size_t i = 0; i < length; i++)
    if ((unsigned char)start[i] < ' ' || start[i] == DELETE_CHARACTER
        || start[i] == '\\')
      return false;
  return true;
}

bool
gs_service_path_valid (const char *path)
{
  if (*path != '/')
    return false;
  while (*path == '/')
    {
      size_t length = strcspn (++path, "/");

      if (!segment_valid (path, length))
        return false;
      path += length;
    }
  return true;
}

static bool
is_below (const char *prefix, const char *path)
{
  size_t length = strlen (prefix);

  if (strncmp (path, prefix, length) != 0)
    return false;
  return path[length] == '\0' || path[length] == '/'
         || (length > 0 && prefix[length - 1] == '/');
}

bool
gs_service_path_below (const char *const *prefixes, const char *path)
{
  for (; *prefixes != NULL; prefixes++)
    if (is_below (*prefixes, path))
      return true;
  return false;
}
