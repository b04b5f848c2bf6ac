/**
 * @file roster.h
 * Tracks the replicas that are registered in the store.  Entries expire while
 * the store is unavailable, because replicas can't renew them, so a replica
 * whose entry is missing just after the store has recovered is used for a
 * short time.  The functions work on a table only; they read no clock and do
 * no I/O.
 */
#ifndef GS_FLEET_ROSTER_H
#define GS_FLEET_ROSTER_H

#include "garnetstack/replica.h"

/** Replicas register again within about this time after the store has
    recovered; a replica whose entry is still missing then has ended. */
#define ROSTER_RECOVERY_TIMEOUT (2 * GS_SEC)
/** A replica serves for the drain time after its entry was removed.  It is
    dropped this much earlier, so that requests arrive in time. */
#define ROSTER_DRAIN_MARGIN (300 * GS_MSEC)

typedef struct roster roster_t;

/**
 * @param out receives the roster; freed with roster_destroy()
 * @param drain how long a replica serves after its entry was removed
 */
void roster_create (roster_t **out, gs_time_t drain);
void roster_destroy (roster_t *roster);

/** Record that a call to the store failed. */
void roster_store_failure_record (roster_t *roster, gs_time_t now);
/** Record that the store answered a call. */
void roster_store_answer_record (roster_t *roster, gs_time_t now);

/** Add or update a replica whose entry was written. */
void roster_replica_put (roster_t *roster, gs_time_t now,
                         const gs_replica_t *entry);
/** Remove a replica whose entry was removed or is not readable any more.  The
    replica stays listed for some time if its entry may have expired while the
    store was unavailable. */
void roster_replica_remove (roster_t *roster, gs_time_t now, const char *id);

/** Drop removed replicas whose time has passed.  To be called periodically. */
void roster_expire (roster_t *roster, gs_time_t now);

/** @return a list of the replicas, or NULL if nothing changed since the last
    call; released with gs_replica_list_unref() */
gs_replica_list_t *roster_list_export (roster_t *roster);

#endif
