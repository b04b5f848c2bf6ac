/**
 * @file service_path.h
 * Checks of the paths of service calls.
 */
#ifndef GS_NODE_SERVICE_PATH_H
#define GS_NODE_SERVICE_PATH_H

#include <stdbool.h>

/**
 * @param path decoded
 * @return true if the path is absolute and has no "." or ".." segment, control
 * character or backslash, which programs interpret differently
 */
bool gs_service_path_valid (const char *path);

/** @param prefixes ends with NULL
    @return true if @p path equals one of the prefixes or lies below one */
bool gs_service_path_below (const char *const *prefixes, const char *path);

#endif
