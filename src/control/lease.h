/**
 * @file lease.h
 * State machine of a lease on an object of the store, with a fencing token
 * that rises with each holder.  The lease decides whether this node may give
 * orders for a pool.  It needs no synchronised clocks: the holder measures the
 * term from before it sent the last successful renewal, other nodes from after
 * they read that renewal.  A margin covers clock drift and the time between a
 * check of the lease and the order that follows.  The functions do no input
 * or output; the caller performs the store calls.
 */
#ifndef GS_CONTROL_LEASE_H
#define GS_CONTROL_LEASE_H

#include "garnetstack/clock.h"
#include "garnetstack/settings.h"
#include "garnetstack/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Other nodes respect a renewal for this long after they read it. */
#define GS_LEASE_TERM (15 * GS_SEC)
/** Interval at which the holder renews. */
#define GS_LEASE_RENEW_INTERVAL (5 * GS_SEC)
/** Largest difference that drift makes between two nodes' clocks in a
    term. */
#define GS_LEASE_DRIFT_MAX (GS_LEASE_TERM / 1000)
/** Longest time from a check of the lease until the order is sent. */
#define GS_LEASE_PAUSE_MAX (2 * GS_SEC)

/** Content of the lease object in the store. */
typedef struct
{
  char holder[GS_NAME_BYTES]; /**< "" when released */
  uint64_t incarnation;       /**< process of the holder */
  uint64_t fencing;           /**< fencing token; rises with each holder */
  uint64_t renewal;           /**< rises with each write */
} gs_lease_record_t;

typedef enum
{
  GS_LEASE_NONE, /**< make no call */
  GS_LEASE_READ, /**< read the lease object */
  GS_LEASE_WRITE /**< replace version .version of the object by .record */
} gs_lease_action_kind_t;

/** Store call that the caller has to make. */
typedef struct
{
  gs_lease_action_kind_t kind;
  uint64_t version;
  gs_lease_record_t record;
} gs_lease_action_t;

/** Durations of a lease; GS_LEASE_TIMES_INIT sets the constants above. */
typedef struct
{
  gs_time_t term;           /**< as GS_LEASE_TERM */
  gs_time_t renew_interval; /**< as GS_LEASE_RENEW_INTERVAL */
  gs_time_t pause_max;      /**< as GS_LEASE_PAUSE_MAX */
  gs_time_t retry_interval; /**< delay after the first failure of the store */
} gs_lease_times_t;

#define GS_LEASE_TIMES_INIT                                                   \
  {                                                                           \
    .term = GS_LEASE_TERM, .renew_interval = GS_LEASE_RENEW_INTERVAL,         \
    .pause_max = GS_LEASE_PAUSE_MAX, .retry_interval = GS_SEC                 \
  }

/** A holder's statement that it has stopped acting.  It goes from node to node
    when the holder cannot write to the store. */
typedef struct
{
  uint64_t fencing;     /**< token that is no longer used; 0 for none */
  uint64_t incarnation; /**< process of the holder */
} gs_lease_resignation_t;

/** State of one lease on this node, as holder or as candidate. */
typedef struct
{
  char self[GS_NAME_BYTES]; /**< name of this node */
  uint64_t incarnation;     /**< of this process */
  gs_lease_times_t times;
  gs_lease_record_t record; /**< as last read or written */
  uint64_t version;         /**< of the object; 0 for none */
  uint64_t fencing_floor;   /**< highest fencing token known to be in use */
  bool record_known;        /**< the object has been read */
  bool call_in_flight;      /**< a store call is in flight */
  bool write_in_flight;     /**< the call in flight is a write */
  /** The object must be read before the next write: the outcome of the last
      write is unknown, or a higher token is in use. */
  bool record_stale;
  /** The lease was acquired neither as its first holder nor from an earlier
      process of this node: another node may have acted until then. */
  bool taken_from_other;
  /** The lease was acquired from a holder that had resigned, and so has
      stopped acting whatever its term. */
  bool taken_resigned;
  gs_lease_resignation_t resignation;
  gs_lease_record_t last_write; /**< record of the last write sent */
  gs_time_t last_write_at;      /**< just before that write was sent */
  gs_time_t record_seen_at;     /**< when the record was first read */
  gs_time_t store_response_at;  /**< last response of the store */
  unsigned failures;            /**< consecutive failed store calls */
  gs_time_t due;                /**< earliest time of the next call */
  /** Until then another node may hold a lease that the store has lost, unless
      the record has a token above lost_fencing_max. */
  gs_time_t lost_lease_deadline;
  /** Highest token that may have been in use before the store last came back
      from an older copy; 0 if it has not. */
  uint64_t lost_fencing_max;
  /** If there is no record, nobody has held the lease. */
  bool absent_is_new;
  gs_time_t act_deadline; /**< orders must be sent before; 0 for none */
} gs_lease_t;

/** Initialise as not holding the lease, with GS_LEASE_TIMES_INIT.
    @param self name of this node
    @param incarnation of this process */
void gs_lease_init (gs_lease_t *lease, const char *self, uint64_t incarnation);

/** Replace the durations; call it right after gs_lease_init().  All nodes that
    compete for the lease need the same ones. */
void gs_lease_times_set (gs_lease_t *lease, const gs_lease_times_t *times);

/**
 * Advance the lease to @p now; call periodically.
 * @param wanted true if this node is to acquire or keep the lease; false to
 * release it
 * @return at most one store call for the caller to make
 */
gs_lease_action_t gs_lease_tick (gs_lease_t *lease, gs_time_t now,
                                 bool wanted);

/** Handle the response to a read.
    @param version of the object
    @param record its content, NULL if there is none */
void gs_lease_read_done (gs_lease_t *lease, gs_time_t now, gs_status_t status,
                         uint64_t version, const gs_lease_record_t *record);

/** Handle the response to a write.
    @param version of the object after the write */
void gs_lease_write_done (gs_lease_t *lease, gs_time_t now, gs_status_t status,
                          uint64_t version);

/** Stop acting without the store, so that another node need not wait for the
    end of the term.  No order of this node may be in flight.  Takes effect at
    other nodes with gs_lease_resignation_set() of .resignation. */
void gs_lease_resign (gs_lease_t *lease);

/** @return whether this node's renewal has failed and is overdue */
bool gs_lease_is_renewal_overdue (const gs_lease_t *lease, gs_time_t now);

/** Handle a holder's resignation.  One with a token that is lower than that of
    the last one, or higher than any in the store, is ignored. */
void gs_lease_resignation_set (gs_lease_t *lease, gs_time_t now,
                               const gs_lease_resignation_t *resignation);

/** Handle a report that a fencing token is in use.  A token higher than that
    of this node ends its lease. */
void gs_lease_fence (gs_lease_t *lease, uint64_t fencing);

/**
 * Handle that the store came back from an older copy, which may lack the last
 * holder, its renewals and its token.  A holder reads the lease before it acts
 * again; others wait a whole term.
 * @param fencing_floor higher than each token that was used before
 */
void gs_lease_store_reset (gs_lease_t *lease, gs_time_t now,
                           uint64_t fencing_floor);

/**
 * Handle that the store may have come back from an older copy at some time
 * before this process began.  Unless the record is of a holder since then, the
 * process waits a whole term, also for the lease of its predecessor.
 * @param fencing_floor higher than each token that was used before
 * @param absent_is_new whether a store without a record is a new one
 */
void gs_lease_reset_assume (gs_lease_t *lease, gs_time_t now,
                            uint64_t fencing_floor, bool absent_is_new);

/** @return true if this node holds the lease and may send an order at @p now.
    Check before each order. */
bool gs_lease_is_valid (const gs_lease_t *lease, gs_time_t now);

/** Parse the content of the lease object.
    @param length of @p text in bytes
    @return GS_OK or GS_EINVAL */
gs_status_t gs_lease_record_parse (gs_lease_record_t *out, const char *text,
                                   size_t length);

/** @return the content of the lease object for a record; the caller frees it
    with g_free(). */
char *gs_lease_record_format (const gs_lease_record_t *record);

#endif
