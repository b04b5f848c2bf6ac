/**
 * @file shape.h
 * Check of msgpack data from outside before it is passed to the msgpack
 * library, which allocates the size that the header of a container announces:
 * a few bytes could make it allocate gigabytes.
 */
#ifndef GS_WIRE_SHAPE_H
#define GS_WIRE_SHAPE_H

#include <stdbool.h>
#include <stddef.h>

/**
 * Check that data is exactly one complete value.
 * @param depth number of arrays that may be nested
 * @return whether the value consists of unsigned integers, strings, byte
 *   strings and arrays of these only, each as long as its header says
 */
bool gs_shape_is_bounded (const char *data, size_t length, unsigned depth);

#endif
