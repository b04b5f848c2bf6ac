/**
 * @file fuzz.h
 * Entry point of a fuzz target, under the name that libFuzzer prescribes.
 */
#ifndef GS_FUZZ_FUZZ_H
#define GS_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#endif
