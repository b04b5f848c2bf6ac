/**
 * @file limits.h
 * Limits of accounts, classes and targets that hold across all nodes.  The
 * traffic threads with the same number on each node are members: each one
 * reports its demand to the others and takes a share of every limit according
 * to the reports.  Members without recent reports keep an equal share, so that
 * the sides of a network partition together stay within the limit.
 */
#ifndef GARNETSTACK_LIMITS_H
#define GARNETSTACK_LIMITS_H

#include "garnetstack/clock.h"
#include "garnetstack/status.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  GS_LIMIT_REQUESTS,  /**< per second */
  GS_LIMIT_TOKENS,    /**< per second, of prompts and responses */
  GS_LIMIT_IN_FLIGHT, /**< concurrent requests */
  GS_LIMIT_COUNT
} gs_limit_kind_t;

/** Limits of one name; 0 stands for no limit. */
typedef struct
{
  uint64_t max[GS_LIMIT_COUNT];
} gs_limit_values_t;

/** Demand for one name at one member, in thousandths. */
typedef struct
{
  uint64_t name_hash; /**< gs_limits_name_hash() of account, class or target */
  uint64_t demand[GS_LIMIT_COUNT];
} gs_usage_row_t;

/** Upper bound on the rows of one usage message. */
#define GS_USAGE_ROWS_MAX 256
/** Percentage of a limit that is shared by demand; members share the rest
    equally. */
#define GS_LIMIT_DEMAND_PERCENT 90
/** A member expires after this many intervals without a report. */
#define GS_LIMIT_MEMBER_TTL_INTERVALS 3

typedef struct gs_limits gs_limits_t;

/** Create limits with one member.
    @param out receives the limits; destroy them with gs_limits_destroy() */
void gs_limits_create (gs_limits_t **out);

/** Free limits; NULL is ignored. */
void gs_limits_destroy (gs_limits_t *limits);

/** @return hash of a name, which identifies it in usage messages.
    @param kind namespace of the name: "account", "class", "model" or
    "service" */
uint64_t gs_limits_name_hash (const char *kind, const char *name);

/** Set the number of members, this one included.
    @param interval between the reports of a member */
void gs_limits_members_set (gs_limits_t *limits, unsigned members,
                            gs_time_t interval);

/** Set the limits of a name.
    @return index of its row, for the functions below */
unsigned gs_limits_set (gs_limits_t *limits, uint64_t name_hash,
                        const gs_limit_values_t *values);

/** Find the row of a name.
    @return false if no limits are set for it */
bool gs_limits_find (unsigned *row, const gs_limits_t *limits,
                     uint64_t name_hash);

/** @return number of names with limits. */
unsigned gs_limits_count (const gs_limits_t *limits);

/**
 * Admit a request if it is within the limits of a row.  A rejected one counts
 * as demand only.
 * @param tokens of the prompt and the longest response
 * @param retry_after receives the time until a retry if rejected, else 0
 * @return GS_OK or GS_EREFUSED
 */
gs_status_t gs_limits_admit (gs_limits_t *limits, gs_time_t now, unsigned row,
                             uint32_t tokens, gs_time_t *retry_after);

/** Count an admitted request as ended.
    @param unused tokens that were admitted but not used; these are returned */
void gs_limits_release (gs_limits_t *limits, gs_time_t now, unsigned row,
                        uint32_t unused);

/** Undo the admission of a request that was not processed.
    @param tokens as passed to gs_limits_admit() */
void gs_limits_cancel (gs_limits_t *limits, gs_time_t now, unsigned row,
                       uint32_t tokens);

/** Write the demand of this member for the others.  This member's own shares
    are computed from the exported values.
    @param rows room for @p max rows; names without demand are omitted
    @return number of rows */
size_t gs_limits_export (gs_limits_t *limits, gs_time_t now,
                         gs_usage_row_t *rows, size_t max);

/** Replace the demand of another member by its latest report.  Rows of
    names without limits are ignored. */
void gs_limits_import (gs_limits_t *limits, gs_time_t now, uint64_t member_id,
                       const gs_usage_row_t *rows, size_t count);

/** @return share of a limit that this member may use, in units of the
    limit. */
double gs_limits_share (gs_limits_t *limits, gs_time_t now, unsigned row,
                        gs_limit_kind_t kind);

/** Append encoded rows to a message body. */
void gs_usage_encode (GByteArray *out, const gs_usage_row_t *rows,
                      size_t count);

/** Decode a message body.
    @param rows room for @p max rows
    @param count receives the number of rows
    @return GS_OK, or GS_EINVAL if the body is malformed */
gs_status_t gs_usage_decode (gs_usage_row_t *rows, size_t max, size_t *count,
                             const char *data, size_t length);

#endif
