/**
 * @file vm_json.h
 * JSON form of an entry of the VM list, in the platform's answers and in the
 * changes that nodes forward.
 */
#ifndef GS_WIRE_VM_JSON_H
#define GS_WIRE_VM_JSON_H

#include "garnetstack/cloud.h"

#include <jansson.h>

/** Read an entry.  Members that are missing or of another type become empty
    or 0. */
void gs_vm_from_json (gs_vm_t *out, const json_t *object);

/** @return the entry as an object, which the caller frees with
    json_decref() */
json_t *gs_vm_to_json (const gs_vm_t *vm);

#endif
