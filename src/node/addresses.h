/**
 * @file addresses.h
 * Selects the nodes that a caller should use, in order of preference.
 */
#ifndef GS_NODE_ADDRESSES_H
#define GS_NODE_ADDRESSES_H

#include "garnetstack/rng.h"
#include "garnetstack/snapshot.h"

/** Most addresses in the list for a caller. */
#define GS_ADDRESSES_MAX 8

/** Time for which a caller may use the list. */
#define GS_ADDRESS_TTL (5 * GS_SEC)

/**
 * Choose nodes for an account.  The number of nodes is proportional to the
 * account's share of the request rates of all accounts.  An account keeps the
 * same nodes while these live.  Their order is random in each list, so that
 * the account's callers spread evenly.  The first two nodes are in different
 * data centres if the live nodes are in more than one.
 * @param out receives indices into snapshot->nodes
 * @param self name of this node, which is usable without a connection
 * @return number of indices
 */
size_t gs_addresses_choose (size_t out[GS_ADDRESSES_MAX],
                            const gs_snapshot_t *snapshot, const char *self,
                            const gs_account_t *account, gs_rng_t *rng);

#endif
