/**
 * @file tsan.h
 * Annotations that tell ThreadSanitizer about the memory ordering of
 * Concurrency Kit, whose inline assembly it does not see.  In other builds the
 * macros do nothing.
 */
#ifndef GS_UTIL_TSAN_H
#define GS_UTIL_TSAN_H

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define GS_TSAN_RELEASE(address) __tsan_release (address)
#define GS_TSAN_ACQUIRE(address) __tsan_acquire (address)
#else
#define GS_TSAN_RELEASE(address) ((void)(address))
#define GS_TSAN_ACQUIRE(address) ((void)(address))
#endif

#endif
