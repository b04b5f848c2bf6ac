/**
 * @file response_memory.h
 * Shares the memory that open responses hold between them.  A response may
 * grow while as much as it has is left free, so that a few that do not end
 * leave room for the others; a small one is always buffered.  Plain counters;
 * no I/O.
 */
#ifndef GS_UTIL_RESPONSE_MEMORY_H
#define GS_UTIL_RESPONSE_MEMORY_H

#include <stdbool.h>
#include <stddef.h>

/** Bytes of a response that are buffered however little is free. */
#define RESPONSE_BYTES_ASSURED ((size_t)64 << 10)

typedef struct response_memory
{
  size_t limit; /**< in bytes */
  size_t used;
} response_memory_t;

/** Take memory for a response that grows.
    @param own bytes that the response has already
    @param length bytes that are added
    @return false, without taking any, if the response is too large */
bool response_memory_take (response_memory_t *memory, size_t own,
                           size_t length);

/** Account for memory that a response has already.  */
void response_memory_add (response_memory_t *memory, size_t length);

/** @return whether open responses hold all of the memory; new ones would
    exceed it */
bool response_memory_is_full (const response_memory_t *memory);

void response_memory_return (response_memory_t *memory, size_t length);

#endif
