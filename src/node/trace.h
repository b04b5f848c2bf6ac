/**
 * @file trace.h
 * What a traffic thread remembers for operators: the last decisions in a ring
 * of fixed size, the requests that are open, and the usage of each account.
 * One thread owns a trace; others visit it through gs_worker_visit().
 */
#ifndef GS_NODE_TRACE_H
#define GS_NODE_TRACE_H

#include "garnetstack/request.h"

#include <jansson.h>

/** Decisions kept by one traffic thread; at most 4 MB. */
#define GS_TRACE_RECORDS 8192
#define GS_TRACE_DETAIL_BYTES 400

typedef struct gs_trace gs_trace_t;

/** @param node name of this node; copied */
gs_trace_t *gs_trace_create (const char *node, unsigned records);
void gs_trace_destroy (gs_trace_t *trace);

/** Say what is being submitted, so that its first action is attributed. */
void gs_trace_submit (gs_trace_t *trace, const gs_request_spec_t *spec);

/** Remember an action of the core. @param wall time of day */
void gs_trace_action (gs_trace_t *trace, gs_time_t wall,
                      const gs_request_action_t *action);

/** Remember a decision. @param decision a string literal */
void gs_trace_note (gs_trace_t *trace, gs_time_t wall, gs_request_id_t id,
                    uint32_t attempt, const char *decision, const char *format,
                    ...) __attribute__ ((format (printf, 6, 7)));

/** Append the decisions about a request to @p rows, oldest first. */
void gs_trace_explain (const gs_trace_t *trace, gs_request_id_t id,
                       json_t *rows);

/** Append one row for each open request to @p rows. */
void gs_trace_requests (const gs_trace_t *trace, gs_time_t wall, json_t *rows);

/** Add the counts of each account to the object @p totals, by name. */
void gs_trace_accounts (const gs_trace_t *trace, json_t *totals);

#endif
