/**
 * @file lease.h
 * Decides whether this node may act for a pool: a lease on an object of the
 * store with a fencing number that rises with each holder.  No clock is
 * shared.  The holder counts from before it sent the renewal that took
 * effect, others from after they read it, and a margin covers drift and the
 * pause between a check and the order that follows.  Plain functions.
 */
#ifndef GS_CONTROL_LEASE_H
#define GS_CONTROL_LEASE_H

#include "garnetstack/clock.h"
#include "garnetstack/settings.h"
#include "garnetstack/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A renewal lasts this long for those who read it. */
#define GS_LEASE_TERM (15 * GS_SEC)
/** The holder renews this often. */
#define GS_LEASE_RENEW (5 * GS_SEC)
/** Difference of two nodes' clocks over a term. */
#define GS_LEASE_DRIFT (GS_LEASE_TERM / 1000)
/** Longest time from a check to the end of sending the order. */
#define GS_LEASE_PAUSE (2 * GS_SEC)

/** What the store holds. */
typedef struct
{
  char holder[GS_NAME_BYTES]; /**< "" when given up */
  uint64_t incarnation;
  uint64_t fencing;
  uint64_t renewal; /**< rises with each write */
} gs_lease_record_t;

typedef enum
{
  GS_LEASE_NOTHING,
  GS_LEASE_READ,
  GS_LEASE_WRITE /**< put .record over .version */
} gs_lease_action_kind_t;

typedef struct
{
  gs_lease_action_kind_t kind;
  uint64_t version;
  gs_lease_record_t record;
} gs_lease_action_t;

/** How long a lease lasts; GS_LEASE_TIMES_INIT are the times above. */
typedef struct
{
  gs_time_t term;  /**< a renewal lasts so long for those who read it */
  gs_time_t renew; /**< the holder renews this often */
  gs_time_t pause; /**< longest time from a check to the end of sending */
  gs_time_t retry; /**< first pause after the store failed */
} gs_lease_times_t;

#define GS_LEASE_TIMES_INIT                                                   \
  {                                                                           \
    .term = GS_LEASE_TERM, .renew = GS_LEASE_RENEW, .pause = GS_LEASE_PAUSE,  \
    .retry = GS_SEC                                                           \
  }

typedef struct
{
  char self[GS_NAME_BYTES];
  uint64_t incarnation;
  gs_lease_times_t times;
  gs_lease_record_t record; /**< as last read or written */
  uint64_t version;         /**< of the object; 0 for none */
  uint64_t fencing_floor;   /**< numbers up to this are known to be used */
  bool known;               /**< the store has been read */
  bool busy;                /**< a call is open */
  bool writing;             /**< the open call is a write */
  bool doubtful;            /**< the answer to the last write was lost */
  bool from_other;          /**< it was not taken from a process of this node:
                                 another may have acted until then */
  gs_lease_record_t tried;  /**< what the last write wrote */
  gs_time_t tried_at;       /**< just before it was sent */
  gs_time_t seen_at;        /**< when the record was first read */
  gs_time_t read_at;        /**< last answer of the store */
  unsigned failures;        /**< of the store, in a row */
  gs_time_t due;            /**< next call not before */
  gs_time_t act_deadline;   /**< orders must be sent before; 0 for none */
} gs_lease_t;

void gs_lease_init (gs_lease_t *lease, const char *self, uint64_t incarnation);

/** Use other times, the same for all who want the lease; right after
    gs_lease_init(). */
void gs_lease_set_times (gs_lease_t *lease, const gs_lease_times_t *times);

/**
 * Time has passed.
 * @param wanted this node is to hold the lease if it can
 * @return at most one call to make
 */
gs_lease_action_t gs_lease_tick (gs_lease_t *lease, gs_time_t now,
                                 bool wanted);

/** The store answered a read; @p record is NULL when there is none. */
void gs_lease_read_done (gs_lease_t *lease, gs_time_t now, gs_status_t status,
                         uint64_t version, const gs_lease_record_t *record);

/** The store answered a write. */
void gs_lease_write_done (gs_lease_t *lease, gs_time_t now, gs_status_t status,
                          uint64_t version);

/** A higher number than this node's is in use: it no longer holds. */
void gs_lease_fenced (gs_lease_t *lease, uint64_t fencing);

/** @return true when an order may be sent now.  To be asked before each. */
bool gs_lease_may_act (const gs_lease_t *lease, gs_time_t now);

/** Read a record of the store.  @return GS_OK or GS_EINVAL. */
gs_status_t gs_lease_record_read (gs_lease_record_t *out, const char *text,
                                  size_t length);

/** @return text of a record, freed by the caller with g_free(). */
char *gs_lease_record_text (const gs_lease_record_t *record);

#endif
