/**
 * @file rendezvous.h
 * Rendezvous (highest random weight) hashing: chooses the few nodes of a
 * region that do a job.  Nodes that know the same members choose the same
 * ones.  When a member is added or removed, only the jobs that it gets or had
 * move.
 */
#ifndef GS_CONTROL_RENDEZVOUS_H
#define GS_CONTROL_RENDEZVOUS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @return weight of a member for a job. */
uint64_t gs_rendezvous_weight (const char *job, const char *member);

/**
 * Check whether a member is among the @p count chosen for a job.
 * @param self name of the member
 * @param others names of the other members; may include @p self
 */
bool gs_rendezvous_is_chosen (const char *job, const char *self,
                              const char *const *others, size_t other_count,
                              unsigned count);

#endif
