/**
 * @file version_history.h
 * Keeps in the store which software versions each service had, from when to
 * when, so that nodes still know them after all have been killed.  Each
 * process reads the record at startup, while it lists a version that the
 * record lacks, and on request; the holder of the lease writes it when the set
 * of versions changes.  Runs on the control thread.
 */
#ifndef GS_FLEET_VERSION_HISTORY_H
#define GS_FLEET_VERSION_HISTORY_H

#include "garnetstack/object_store.h"
#include "fleet/service_versions.h"

/** Kind of the store's objects, one for each service. */
#define VERSION_HISTORY_KIND "gateway-versions"
/** A new version is recorded this long after it was listed, and begins no
    streams before.  By then all nodes have listed it and have stored the
    origins of the streams that run. */
#define VERSION_HISTORY_DELAY (600 * GS_MSEC)
/** A difference between the wall clocks of two nodes that is tolerated. */
#define VERSION_HISTORY_SKEW_MAX (5 * GS_SEC)

typedef struct version_history version_history_t;

/** @param out receives the history, freed with version_history_destroy()
    @param store borrowed
    @param first_start true if the whole system starts for the first time, so
    that the store has lost no record of it */
void version_history_create (version_history_t **out,
                             const gs_object_store_t *store, bool first_start);

/** Free the history, which may be NULL.  No call to the store may be open. */
void version_history_destroy (version_history_t *history);

/** Replace the list of replicas; a list that is not complete must not be
    given. */
void version_history_replicas_set (version_history_t *history, gs_time_t now,
                                   const gs_replica_list_t *list);

/** Set the longest time that streams last, as this node knows.  The record
    keeps it in whole seconds, and the longest one. */
void version_history_stream_time_set (version_history_t *history,
                                      gs_time_t stream_time);

/** Read the record again, for service_versions_record_t.read_at.  If that
    fails, it is not repeated. */
void version_history_read_request (version_history_t *history);

/** Make the calls to the store that are due.  To be called often.
    @param writes whether this node writes changes for all */
void version_history_tick (version_history_t *history, gs_time_t now,
                           int64_t wall_ms, bool writes);

/**
 * Get the record if it has changed since the last call.
 * @param out receives the record, freed with service_versions_record_clear()
 * @return false, without a record, if it has not changed or is not known yet,
 * or no list of replicas has been set
 */
bool version_history_export (version_history_t *history,
                             service_versions_record_t *out);

#endif
