/**
 * @file rollout_counts.h
 * Lists of rollout_count_t: added up over nodes, and encoded in the messages
 * between them.
 */
#ifndef GS_FLEET_ROLLOUT_COUNTS_H
#define GS_FLEET_ROLLOUT_COUNTS_H

#include "policy/rollout_judge.h"
#include "wire/row_codec.h"

/** Rows in a report or an aggregate; further ones are left out.  Only services
    with a roll-out have any. */
#define ROLLOUT_COUNTS_MAX 1024

/** Add the counts of other processes.
    @param sum array of rollout_count_t */
void rollout_counts_add (GArray *sum, const GArray *part);

/** Raise counts to those of another list of the same processes. */
void rollout_counts_raise (GArray *sum, const GArray *other);

void rollout_counts_pack (msgpack_packer *out, const GArray *counts);

/** @param out array of rollout_count_t; replaced */
void rollout_counts_read (row_reader_t *reader, GArray *out);

#endif
