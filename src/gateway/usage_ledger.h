/**
 * @file usage_ledger.h
 * Which window of usage is reported next, and with which counts.  A window is
 * reported once only, whoever reports it: its counts are written into the
 * store before they are sent, and a successor sends what stands there.  Plain
 * functions.
 */
#ifndef GS_GATEWAY_USAGE_LEDGER_H
#define GS_GATEWAY_USAGE_LEDGER_H

#include "garnetstack/clock.h"
#include "garnetstack/status.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  USAGE_NOTHING,
  USAGE_READ,  /**< read the record from the store */
  USAGE_WRITE, /**< count .window and write it over .revision */
  USAGE_SEND   /**< send .window with the counts of the record */
} usage_action_kind_t;

typedef struct
{
  usage_action_kind_t kind;
  int64_t window;
  uint64_t revision;
} usage_action_t;

typedef struct
{
  gs_time_t length; /**< of a window */
  gs_time_t settle; /**< from a window's end until all counts are in */
  gs_time_t late;   /**< a report is of use so long after its window */
  bool known;       /**< the record is as in the store */
  bool busy;
  bool sent;         /**< the record's window was taken by the platform */
  int64_t first;     /**< window to begin with when there is no record */
  int64_t window;    /**< of the record; 0 for none */
  uint64_t revision; /**< of the record; 0 for none */
  json_t *counts;    /**< of the record, account -> requests */
  json_t *writing;   /**< counts under way */
  gs_time_t due;     /**< of the next call */
} usage_ledger_t;

void usage_ledger_init (usage_ledger_t *ledger, gs_time_t length,
                        gs_time_t late);
void usage_ledger_clear (usage_ledger_t *ledger);

/** Another may have written: read before anything else. */
void usage_ledger_forget (usage_ledger_t *ledger);

/** @param wall wall clock @return at most one call to make */
usage_action_t usage_ledger_next (usage_ledger_t *ledger, gs_time_t now,
                                  int64_t wall);

/** The record was read; @p value is NULL when there is none. */
void usage_ledger_read_done (usage_ledger_t *ledger, gs_time_t now,
                             gs_status_t status, uint64_t revision,
                             const json_t *value);

/** Counts of a window are about to be written; taken over.
    @return the record to write */
json_t *usage_ledger_start_write (usage_ledger_t *ledger, int64_t window,
                                  json_t *counts);

void usage_ledger_write_done (usage_ledger_t *ledger, gs_time_t now,
                              gs_status_t status, uint64_t revision,
                              int64_t window);

void usage_ledger_send_done (usage_ledger_t *ledger, gs_time_t now,
                             gs_status_t status);

#endif
