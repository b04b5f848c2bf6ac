/**
 * @file limits.h
 * Limits of accounts and classes that hold over all nodes.  Each traffic
 * thread is a member: it tells the others what it is asked for, and takes a
 * share of each limit by what it heard.  Members that are not heard keep an
 * equal part, so that sides which cannot hear each other together stay
 * within the limit.
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
  GS_LIMIT_TOKENS,    /**< per second, of prompts and answers */
  GS_LIMIT_IN_FLIGHT, /**< requests at once */
  GS_LIMIT_COUNT
} gs_limit_kind_t;

/** A limit of 0 does not limit. */
typedef struct
{
  uint64_t most[GS_LIMIT_COUNT];
} gs_limit_values_t;

/** What a member is asked for under one name, in thousandths. */
typedef struct
{
  uint64_t name; /**< gs_limits_name() of the account or class */
  uint64_t demand[GS_LIMIT_COUNT];
} gs_usage_row_t;

/** Most rows of one usage message. */
#define GS_USAGE_ROWS_MAX 256
/** Part of a limit that follows demand; the rest is shared equally. */
#define GS_LIMIT_DEMAND_PERCENT 90
/** A member that is silent for so long is counted as not heard. */
#define GS_LIMIT_SILENCE_INTERVALS 3

typedef struct gs_limits gs_limits_t;

void gs_limits_create (gs_limits_t **out);
void gs_limits_destroy (gs_limits_t *limits);

/** @return number that stands for a name in messages. */
uint64_t gs_limits_name (const char *kind, const char *name);

/** Set the number of members that share the limits, this one included, and
    how often they tell each other. */
void gs_limits_set_members (gs_limits_t *limits, unsigned members,
                            gs_time_t interval);

/** Set the limits under a name. @return its row, for the calls below. */
unsigned gs_limits_set (gs_limits_t *limits, uint64_t name,
                        const gs_limit_values_t *values);

/** @return true and the row under a name, false when none is set. */
bool gs_limits_find (unsigned *row, const gs_limits_t *limits, uint64_t name);

/** @return number of names with limits. */
unsigned gs_limits_count (const gs_limits_t *limits);

/**
 * Count one request, or refuse it.
 * @param tokens of the prompt and the longest answer
 * @param retry_after receives a time from now when refused
 * @return GS_OK or GS_EREFUSED, which counts as demand only
 */
gs_status_t gs_limits_admit (gs_limits_t *limits, gs_time_t now, unsigned row,
                             uint32_t tokens, gs_time_t *retry_after);

/** Give back what a request held; @p unused of its tokens were not used. */
void gs_limits_release (gs_limits_t *limits, gs_time_t now, unsigned row,
                        uint32_t unused);

/** Take back an admission that came to nothing. */
void gs_limits_cancel (gs_limits_t *limits, gs_time_t now, unsigned row,
                       uint32_t tokens);

/** Write what to tell the others, and use the same for the own share. */
size_t gs_limits_export (gs_limits_t *limits, gs_time_t now,
                         gs_usage_row_t *rows, size_t max);

/** Take in what another member told. */
void gs_limits_import (gs_limits_t *limits, gs_time_t now, uint64_t member,
                       const gs_usage_row_t *rows, size_t count);

/** @return the share of a limit that this member may use. */
double gs_limits_share (gs_limits_t *limits, gs_time_t now, unsigned row,
                        gs_limit_kind_t kind);

/** Append rows as a message body. */
void gs_usage_encode (GByteArray *out, const gs_usage_row_t *rows,
                      size_t count);

/** @return GS_OK and @p count, or GS_EINVAL for a malformed body. */
gs_status_t gs_usage_decode (gs_usage_row_t *rows, size_t max, size_t *count,
                             const char *data, size_t length);

#endif
