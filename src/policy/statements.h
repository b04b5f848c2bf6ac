/**
 * @file statements.h
 * What replicas last said of themselves in their answers, as the nodes tell
 * each other.  Each node keeps the latest statement of each replica, so a
 * message that arrives late or twice changes nothing.  Plain table; reads no
 * clock.
 */
#ifndef GS_POLICY_STATEMENTS_H
#define GS_POLICY_STATEMENTS_H

#include "garnetstack/clock.h"
#include "wire/row_codec.h"

#include <glib.h>

/** Statements in a table or a message; further ones are left out. */
#define STATEMENTS_MAX 4096

/** Last statement of a replica. */
typedef struct
{
  uint64_t replica;      /**< placer_replica_hash() of its id */
  uint64_t started_ms;   /**< start of its process; 0 if unknown */
  uint64_t leaving;      /**< 1 if it leaves, which no statement takes back */
  uint64_t limit_micros; /**< requests in 10^6 s that it takes from all nodes
                              together; 0 if it names no limit */
  uint64_t brittle;      /**< 0 if it is not, else see
                              statement_rejections() */
  gs_time_t stated_at;   /**< when a node received it, by this node's clock */
} statement_t;

/** @return rejections a second that a brittle replica bears */
double statement_rejections (const statement_t *statement);

/** Set that a replica is brittle. */
void statement_rejections_set (statement_t *statement, double per_sec);

/** A statement in a message: age in place of a time, as clocks differ. */
typedef struct
{
  uint64_t replica;
  uint64_t started_ms;
  uint64_t leaving;
  uint64_t limit_micros;
  uint64_t age_ms;
  uint64_t brittle;
} statement_row_t;

extern const row_layout_t statement_layout; /**< of statement_row_t */

typedef struct statements statements_t;

/** @param out receives an empty table, freed with statements_destroy() */
void statements_create (statements_t **out);
void statements_destroy (statements_t *statements);

/** Add a statement, unless a later one of its replica is known. */
void statements_put (statements_t *statements, const statement_t *statement);

/** Add statements from a message. */
void statements_import (statements_t *statements, gs_time_t now,
                        const GArray *rows);

/** @param out array of statement_row_t; gets the statements in force and the
    ends of those that were in force lately */
void statements_export (statements_t *statements, gs_time_t now, GArray *out);

/** @return a copy of the statements, an array of statement_t; freed with
    g_array_unref() */
GArray *statements_list (const statements_t *statements);

#endif
