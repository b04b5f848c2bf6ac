/**
 * @file json_load.h
 * Decodes JSON whose parts come from different writers, such as a list of
 * objects.  A part that jansson does not accept, or that is nested too deeply
 * to be handled safely, does not make the whole unreadable.
 */
#ifndef GS_WIRE_JSON_LOAD_H
#define GS_WIRE_JSON_LOAD_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/** Arrays and objects that may be nested; those of the platform and of the
    nodes themselves are nested less than ten times. */
#define GS_JSON_DEPTH_MAX 64

/**
 * Decode a JSON text.  A value in it that cannot be represented is replaced by
 * a mark: a number out of range, a string that is not UTF-8 or holds a NUL, a
 * word that is no literal, and what is nested more than GS_JSON_DEPTH_MAX
 * times.
 * @param marked receives whether any value was replaced
 * @return the value, which the caller releases; NULL if the text is no JSON
 * all the same
 */
json_t *gs_json_load (const char *text, size_t length, bool *marked);

/** @return whether a value is or contains a mark of gs_json_load() */
bool gs_json_is_marked (const json_t *value);

#endif
