/**
 * @file trace.h
 * Records that a traffic thread keeps for operators: the latest decisions in a
 * ring buffer, the open requests, and the usage of each account.  A trace
 * belongs to one thread; others access it through gs_worker_trace_visit().
 */
#ifndef GS_NODE_TRACE_H
#define GS_NODE_TRACE_H

#include "garnetstack/request.h"

#include <jansson.h>

/** Size of the ring buffer of a traffic thread; it takes at most 4 MB. */
#define GS_TRACE_RECORDS 8192
#define GS_TRACE_DETAIL_BYTES 400

typedef struct gs_trace gs_trace_t;

/** @param node name of this node; copied
    @param records size of the ring buffer */
gs_trace_t *gs_trace_create (const char *node, unsigned records);
void gs_trace_destroy (gs_trace_t *trace);

/** Set the request that is being submitted, NULL afterwards.  Actions without
    a spec, such as a rejection, count for the account of this request. */
void gs_trace_submission_set (gs_trace_t *trace,
                              const gs_request_spec_t *spec);

/** Record an action of the request core. @param wall time of day */
void gs_trace_action_add (gs_trace_t *trace, gs_time_t wall,
                          const gs_request_action_t *action);

/** Record a decision. @param decision a string literal; not copied */
void gs_trace_decision_add (gs_trace_t *trace, gs_time_t wall,
                            gs_request_id_t id, uint32_t attempt,
                            const char *decision, const char *format, ...)
    __attribute__ ((format (printf, 6, 7)));

/** Append the recorded decisions about a request to @p rows, oldest first. */
void gs_trace_decisions_append (const gs_trace_t *trace, gs_request_id_t id,
                                json_t *rows);

/** Append one row for each open request to @p rows. */
void gs_trace_requests_append (const gs_trace_t *trace, gs_time_t wall,
                               json_t *rows);

/** Add the counts of each account to the object @p totals, by name. */
void gs_trace_accounts_add (const gs_trace_t *trace, json_t *totals);

#endif
