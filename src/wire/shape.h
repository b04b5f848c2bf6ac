/**
 * @file shape.h
 * Checks msgpack bytes before the library sees them: it allocates what the
 * head of a container announces, so a few bytes could ask for gigabytes.
 */
#ifndef GS_WIRE_SHAPE_H
#define GS_WIRE_SHAPE_H

#include <stdbool.h>
#include <stddef.h>

/** @return whether @p data is exactly one value of natural numbers, texts,
    byte strings and arrays of these up to a depth, each as long as it says. */
bool gs_shape_is_bounded (const char *data, size_t length, unsigned depth);

#endif
