/**
 * @file usage_ledger.h
 * Decides which window of usage is reported next, and with which counts.  A
 * window is reported with one set of counts only, whichever node reports it:
 * the counts are written to a record in the store before they are sent, and a
 * later holder of the duty sends the counts of the record.  The functions make
 * no calls and read no clock.
 */
#ifndef GS_POLICY_USAGE_LEDGER_H
#define GS_POLICY_USAGE_LEDGER_H

#include "garnetstack/clock.h"
#include "garnetstack/status.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  USAGE_NOTHING,
  USAGE_READ,  /**< read the record from the store */
  USAGE_WRITE, /**< sum the counts of .window and write them over .revision */
  USAGE_SEND   /**< send .window with the counts of the record */
} usage_action_kind_t;

typedef struct
{
  usage_action_kind_t kind;
  int64_t window;
  uint64_t revision; /**< that the record must have; 0 when there is none */
} usage_action_t;

/** Windows are numbered: time of the wall clock divided by their length. */
typedef struct
{
  gs_time_t window_length;
  gs_time_t settle_delay;   /**< after a window, for all counts to arrive */
  gs_time_t report_timeout; /**< after a window, for its report to arrive */
  bool valid;           /**< the record below is believed to be the store's */
  bool busy;            /**< the last action's call is open */
  bool sent;            /**< the record's window needs no further report */
  int64_t first_window; /**< first window to report when there is no record */
  int64_t window;       /**< of the record; 0 for none */
  int64_t sent_window;  /**< last window that any process has sent, as far as
                             known; 0 for none */
  uint64_t revision;    /**< of the record; 0 for none */
  uint64_t record_era;  /**< era of the store in which it was written */
  bool written;         /**< by this process, since it last read it */
  json_t *counts;       /**< of the record: account -> requests */
  int64_t assumed_window; /**< last window that another process may have sent
                               unknown to this one; 0 for none */
  int64_t own_window;     /**< last window that this process has sent */
  json_t *own_counts;     /**< the counts that it sent */
  json_t *write_counts;   /**< counts of the last write that was started */
  uint64_t write_era;     /**< era at that time */
  gs_time_t due;          /**< earliest time of the next call */
} usage_ledger_t;

/** @param window_length length of a window
    @param report_timeout time after a window's end within which its report
    is accepted */
void usage_ledger_init (usage_ledger_t *ledger, gs_time_t window_length,
                        gs_time_t report_timeout);

/** Free what the ledger holds. */
void usage_ledger_clear (usage_ledger_t *ledger);

/** Read the record again before the next action, as another node may have
    written it. */
void usage_ledger_invalidate (usage_ledger_t *ledger);

/** Fix the first window to report when there is no record: the one before that
    of @p wall.  Has no effect after the first call. */
void usage_ledger_begin (usage_ledger_t *ledger, int64_t wall);

/** Record that a window has been sent, by this node or another one.  No window
    up to it is reported anew, even if the store has lost the record. */
void usage_ledger_sent_record (usage_ledger_t *ledger, int64_t window);

/** Assume that another process has sent each window whose counts had settled
    at @p wall, as the store may have lost the records of these.  No such
   window is reported anew; one that is recorded still is. */
void usage_ledger_assume_sent (usage_ledger_t *ledger, int64_t wall);

/**
 * Handle that the store came back from an older copy.  Windows that may have
 * been sent by then are not reported anew; a holder knows which these are.
 * @param is_holder whether this process may act for the duty
 */
void usage_ledger_store_reset (usage_ledger_t *ledger, int64_t wall,
                               bool is_holder);

/**
 * Decide the next action.  Its result is to be passed to the function of that
 * action below; until then there is no other action.
 * @param wall microseconds since the Unix epoch
 * @return at most one call to make
 */
usage_action_t usage_ledger_next (usage_ledger_t *ledger, gs_time_t now,
                                  int64_t wall);

/** Take the result of USAGE_READ.
    @param status GS_ENOTFOUND when there is no record
    @param value the record, borrowed */
void usage_ledger_read_done (usage_ledger_t *ledger, gs_time_t now,
                             gs_status_t status, uint64_t revision,
                             const json_t *value);

/** Prepare the write of USAGE_WRITE.
    @param era of the store, 0 if it has none
    @param counts account -> requests; taken over
    @return the record to write, owned by the caller */
json_t *usage_ledger_write_start (usage_ledger_t *ledger, int64_t window,
                                  uint64_t era, json_t *counts);

/** Take the result of USAGE_WRITE.
    @param revision of the record after a successful write
    @param window that was written */
void usage_ledger_write_done (usage_ledger_t *ledger, gs_time_t now,
                              gs_status_t status, uint64_t revision,
                              int64_t window);

/** Take the result of USAGE_SEND. */
void usage_ledger_send_done (usage_ledger_t *ledger, gs_time_t now,
                             gs_status_t status);

#endif
