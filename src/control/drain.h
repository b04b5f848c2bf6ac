/**
 * @file drain.h
 * Draining of VMs that operators request by a catalogue entry [vm NAME] with
 * drain=true.
 */
#ifndef GS_CONTROL_DRAIN_H
#define GS_CONTROL_DRAIN_H

#include "garnetstack/snapshot.h"

/**
 * Mark the nodes and upstreams that the snapshot's catalogue drains as
 * leaving. They get no new work and are not named to callers; requests in
 * progress continue.
 * @param self name of this node
 */
void gs_drain_apply (gs_snapshot_t *snapshot, const char *self);

/** @return the catalogue entry that drains the VM @p name, or NULL; owned by
    the snapshot. */
const gs_vm_entry_t *gs_drain_entry_find (const gs_snapshot_t *snapshot,
                                          const char *name);

#endif
