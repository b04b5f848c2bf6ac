/**
 * @file rollout_record.h
 * The object of the store in which the owner of a roll-out keeps its state.
 */
#ifndef GS_FLEET_ROLLOUT_RECORD_H
#define GS_FLEET_ROLLOUT_RECORD_H

#include "policy/rollout_plan.h"

#include <jansson.h>

/** Kind of the store's objects for records; each has the name of its
    service. */
#define ROLLOUT_RECORD_KIND "gateway-rollouts"

typedef struct
{
  rollout_record_t record;
  char version[GS_NAME_BYTES]; /**< the target */
  /** Revision of the order's object after the owner has written the final
      status there; 0 before.  A later revision is a new order. */
  uint64_t settled_revision;
} rollout_stored_t;

/** @return the value to write; the caller frees it with json_decref() */
json_t *rollout_record_encode (const rollout_stored_t *stored);

/** @return GS_OK, or GS_EINVAL for a malformed value */
gs_status_t rollout_record_decode (rollout_stored_t *out, const json_t *value);

#endif
