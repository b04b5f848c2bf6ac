/**
 * @file record.h
 * A request in the table of the core, and the functions that the files of the
 * core share.
 */
#ifndef GS_REQUEST_RECORD_H
#define GS_REQUEST_RECORD_H

#include "garnetstack/metrics.h"
#include "garnetstack/request.h"

/* Interval of retries of routing and of access to the claim.  */
#define RETRY_INTERVAL (50 * GS_MSEC)

typedef enum
{
  CLAIM_NONE,
  CLAIM_WRITING,
  CLAIM_READING,
  CLAIM_ASKING, /* waits for the reply of the claim's holder */
  CLAIM_HELD    /* the claim names this process as holder */
} claim_stage_t;

/** A caller that receives the answer of a request. */
typedef struct
{
  void *caller;
  /* Index of the next token to send.  It may lie beyond the text of a process
     that took the request over.  */
  uint32_t next_token;
  uint64_t digest;    /* of the text that the caller has */
  bool text_verified; /* that text equals the text held here */
} follower_t;

typedef struct
{
  gs_request_id_t id;
  gs_request_spec_t spec;
  gs_request_state_t state;
  GArray *followers; /* follower_t */
  GString *text;     /* emitted text; of a call, the body of the answer */
  GArray *ends;      /* uint32_t, offset in the text of each token's end */
  GArray *digests;   /* uint64_t, of the text up to and including each token */
  uint32_t attempt;  /* number of the last attempt */
  bool admitted;     /* the port's admit accepted and counted it */
  /* Backup. */
  uint64_t backup;
  uint64_t previous_backup; /* released when the new one holds a copy */
  bool backup_acked;        /* the backup has acknowledged the copy */
  gs_time_t backup_ack_due; /* time to ask another backup */
  uint32_t progress_sent;   /* number of tokens sent to the backup */
  gs_time_t progress_due;   /* earliest time to send more */
  bool handover_requested;  /* the backup is asked to take the request over */
  gs_time_t handover_deadline;
  /* Claim of a call that is not idempotent. */
  claim_stage_t claim;
  uint64_t claim_version;
  gs_time_t claim_retry_at;
  gs_time_t claim_deadline;
  bool adopted;             /* taken over from another process */
  bool handed_over;         /* that process gave up the right to dispatch */
  uint64_t previous_holder; /* that process; the claim may name it as holder */
  /* Attempts. */
  gs_time_t retry_at; /* time to route again while ACCEPTED, 0 if not due */
  gs_time_t dispatched_at;
  uint32_t tokens_at_dispatch;
  gs_route_t route;
  gs_stream_id_t stream;
  bool shared; /* another process may be working on the stream too */
  gs_attempt_mode_t mode;
  bool token_received;             /* the attempt produced a token */
  uint32_t attempts_without_token; /* in a row */
  gs_metric_t recompute_cause;
  bool kv_moving; /* KV cache is being transferred to route */
  bool maybe_ran; /* an upstream may have worked on the request */
  /* Outcome. */
  long http_status;
  char content_type[GS_CONTENT_TYPE_BYTES]; /* of a call's answer */
  gs_time_t retry_after;
  char reason[GS_NAME_BYTES];
  gs_time_t ended_at;
} record_t;

struct gs_request_core
{
  uint64_t incarnation;
  uint64_t next_sequence;
  gs_request_port_t port;
  GHashTable *records; /* by id */
  GQueue *ended;       /* record_t, oldest first */
  /* record_t that ended in the last step.  The actions of that step point to
     the spec, therefore the body is released only by the next step.  */
  GPtrArray *ended_in_step;
  size_t ended_bytes;
  size_t open;              /* number of open requests */
  size_t open_bytes;        /* of their bodies */
  gs_time_t leave_deadline; /* 0 unless the process shuts down */
};

/** Outcome with which a request ends. */
typedef struct
{
  gs_request_state_t outcome;
  long http_status;
  const char *content_type; /* of data, NULL if none */
  const char *data;         /* body of a call's answer */
  size_t length;
  gs_time_t retry_after;
  const char *reason;
} ending_t;

/** @return true while the request has not ended */
bool record_is_open (const record_t *record);

/** @return true for a call that may be dispatched only with a claim */
bool record_needs_claim (const record_t *record);

/** @return number of emitted tokens */
uint32_t record_token_count (const record_t *record);

/** @return offset in the text of a token's first byte */
size_t record_token_start (const record_t *record, uint32_t token);

/** Append an action for a request.
    @return the action, valid until the next one is appended */
gs_request_action_t *record_action_append (GArray *actions,
                                           gs_request_action_type_t type,
                                           const record_t *record);

/** Fill in the progress of an action, with the emitted text from a token
    on. */
void record_progress_fill (gs_request_action_t *action, const record_t *record,
                           uint32_t from);

/** End a request; append the actions that inform its backup and callers. */
void record_finish (gs_request_core_t *core, gs_time_t now, record_t *record,
                    const ending_t *ending, GArray *actions);

/** @return bytes of memory of an ended request, without its body */
size_t record_bytes (const record_t *record);

/** Append the action that tells a caller the outcome. */
void record_caller_end_append (const record_t *record, void *caller,
                               GArray *actions);

/** End a request without any action. */
void record_end (gs_request_core_t *core, gs_time_t now, record_t *record,
                 const ending_t *ending);

/** Append a token to the text. */
void record_token_add (record_t *record, const char *data, size_t length);

/** @return digest of the text before a token */
uint64_t record_digest (const record_t *record, uint32_t token);

/** Append the action that rejects a caller whose text differs from the text
    held here. */
void record_text_reject (const record_t *record, void *caller,
                         GArray *actions);

/** Add an open request; the table takes over the body of @p spec. */
record_t *record_add (gs_request_core_t *core, gs_request_id_t id,
                      const gs_request_spec_t *spec);

/* attempt.c: attempts at upstreams. */
void attempt_dispatch (gs_request_core_t *core, gs_time_t now,
                       record_t *record, const char *avoid, GArray *actions);
void attempt_resume (gs_request_core_t *core, gs_time_t now, record_t *record,
                     GArray *actions);
void attempt_on_chunk (gs_request_core_t *core, gs_time_t now,
                       record_t *record, const gs_request_event_t *event,
                       GArray *actions);
void attempt_on_end (gs_request_core_t *core, gs_time_t now, record_t *record,
                     const gs_request_event_t *event, GArray *actions);
void attempt_on_kv_moved (gs_request_core_t *core, gs_time_t now,
                          record_t *record, const gs_request_event_t *event,
                          GArray *actions);
void attempt_on_upstream_leaving (gs_request_core_t *core, gs_time_t now,
                                  record_t *record, GArray *actions);
void attempt_abort (gs_request_core_t *core, gs_time_t now, record_t *record,
                    bool keep_stream, GArray *actions);

/* claim.c: claims of calls that are not idempotent. */
void claim_start (gs_request_core_t *core, gs_time_t now, record_t *record,
                  GArray *actions);
void claim_on_event (gs_request_core_t *core, gs_time_t now, record_t *record,
                     const gs_request_event_t *event, GArray *actions);
void claim_on_tick (gs_request_core_t *core, gs_time_t now, record_t *record,
                    GArray *actions);

/* handover.c: backups, and the takeover of requests by other processes. */
void handover_backup_choose (gs_request_core_t *core, gs_time_t now,
                             record_t *record, uint64_t avoid,
                             GArray *actions);
void handover_on_ack (gs_request_core_t *core, gs_time_t now, record_t *record,
                      const gs_request_event_t *event, GArray *actions);
void handover_on_tick (gs_request_core_t *core, gs_time_t now,
                       record_t *record, GArray *actions);
void handover_start (gs_request_core_t *core, gs_time_t now, record_t *record,
                     GArray *actions);
void handover_keep (gs_request_core_t *core, gs_time_t now,
                    const gs_request_event_t *event);
void handover_adopt (gs_request_core_t *core, gs_time_t now,
                     const gs_request_event_t *event, GArray *actions);

#endif
