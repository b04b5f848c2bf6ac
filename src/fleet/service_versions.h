/**
 * @file service_versions.h
 * Which software versions have lately served each service, to decide whether a
 * stream of unknown origin can only have begun at the version that serves now.
 * Plain table; reads no clock.
 */
#ifndef GS_FLEET_SERVICE_VERSIONS_H
#define GS_FLEET_SERVICE_VERSIONS_H

#include "garnetstack/replica.h"

typedef struct service_versions service_versions_t;

/** Versions that are remembered of a service; the one that was listed longest
    ago yields. */
#define SERVICE_VERSIONS_MAX 8

/** A version of a service in the store's record; times by the wall clock. */
typedef struct
{
  char service[GS_NAME_BYTES];
  char version[GS_NAME_BYTES];
  int64_t from_ms;
  int64_t to_ms; /**< when it was last listed; 0 while it is */
} service_version_record_t;

/** What the record says of a service besides its versions. */
typedef struct
{
  char service[GS_NAME_BYTES];
  int64_t complete_from_ms; /**< all versions that served since are recorded */
  int64_t gap_until_ms;     /**< except some that served until then; 0 for
                                 none */
} service_record_t;

/** The store's record of all services, immutable. */
typedef struct
{
  GArray *services;         /**< of service_record_t */
  GArray *versions;         /**< of service_version_record_t */
  bool has_gap;             /**< services that it lacks may have been lost */
  gs_time_t stream_time;    /**< longest time that streams were seen to last
                                 at most; 0 if unknown */
  gs_time_t clock_skew_max; /**< by which its times may be too early */
  gs_time_t read_at;        /**< when the last complete read of it began */
} service_versions_record_t;

void service_versions_record_init (service_versions_record_t *record);
void service_versions_record_clear (service_versions_record_t *record);

/** @param out receives an empty table, freed with service_versions_destroy()
 */
void service_versions_create (service_versions_t **out);
void service_versions_destroy (service_versions_t *versions);

/** Replace the list of replicas.
    @param wall_ms Unix time in milliseconds at @p now.  In lists
    before the record is set, replicas that have started lately may have
    replaced others, which this node has not seen. */
void service_versions_set (service_versions_t *versions, gs_time_t now,
                           int64_t wall_ms, const gs_replica_list_t *list);

/**
 * Replace the store's record, or state that it is absent.  Until the first
 * call no service has a single version.  To be called after the first complete
 * list of replicas has been set.
 * @param wall_ms Unix time in milliseconds at @p now
 */
void service_versions_record_set (service_versions_t *versions, gs_time_t now,
                                  int64_t wall_ms,
                                  const service_versions_record_t *record);

/**
 * Versions at which streams that may be resumed may begin: those that are
 * recorded, while one of them has a replica that accepts requests.
 * @param count receives the number of versions; 0 for any
 * @return the versions, owned by @p versions until its next change
 */
const uint64_t *service_versions_beginning (const service_versions_t *versions,
                                            const char *service,
                                            unsigned *count);

/**
 * @param lookback longest time ago that a stream may have begun
 * @param version receives the only version that has served the service in that
 * time
 * @return false if there may be several, or none is known
 */
bool service_versions_get_single (const service_versions_t *versions,
                                  gs_time_t now, const char *service,
                                  gs_time_t lookback, uint64_t *version);

/** @return whether a replica of a service is listed */
bool service_versions_is_listed (const service_versions_t *versions,
                                 const char *service);

/** @return whether any service may have had several versions in the time of
    @p lookback */
bool service_versions_are_mixed (const service_versions_t *versions,
                                 gs_time_t now, gs_time_t lookback);

#endif
