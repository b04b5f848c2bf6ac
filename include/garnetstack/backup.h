/**
 * @file backup.h
 * Copies of requests that other processes accepted.  A copy is a single record
 * in memory that is held while the request is open; no quorum and no
 * replication group is involved.  Like the core of request.h, the core is a
 * function over a table: it takes the time and one event, and does no input or
 * output.
 */
#ifndef GARNETSTACK_BACKUP_H
#define GARNETSTACK_BACKUP_H

#include "garnetstack/request.h"

/** Most copies, and most bytes of copies, in one table.  A copy beyond either
    is not acknowledged, and the process that accepted the request asks
    another node. */
#define GS_BACKUP_COPIES_MAX 4096
#define GS_BACKUP_BYTES_MAX ((size_t)32 << 20)

/** Time from the loss of the connection to a process until its requests are
    taken over. */
#define GS_TAKEOVER_DELAY GS_SEC

typedef enum
{
  GS_BACKUP_PUT,      /**< whole record; take it over at once if handed_over */
  GS_BACKUP_PROGRESS, /**< text from offset on */
  GS_BACKUP_DONE,     /**< the request ended; outcome RECEIVED: only drop the
                           copy */
  GS_BACKUP_PEER_LOST,
  GS_BACKUP_PEER_RECONNECTED, /**< the same process is connected again */
  GS_BACKUP_TICK
} gs_backup_event_type_t;

typedef struct
{
  gs_backup_event_type_t type;
  gs_request_id_t id;
  uint64_t peer;           /**< incarnation of the process concerned */
  gs_request_spec_t *spec; /**< PUT; the core takes over its body */
  const gs_request_progress_t *progress; /**< PUT, PROGRESS and DONE */
  uint32_t offset; /**< PROGRESS and DONE: index of the text's first token */
  gs_request_state_t outcome; /**< DONE; so are the fields up to reason */
  long http_status;
  const char *content_type; /**< of a call's answer, may be NULL */
  gs_time_t retry_after;
  const char *reason;
  bool leaving; /**< PUT: this process shuts down and takes nothing over */
} gs_backup_event_t;

typedef enum
{
  GS_BACKUP_ACTION_ACK,       /**< acknowledge to peer */
  GS_BACKUP_ACTION_TAKE_OVER, /**< take over the request */
  GS_BACKUP_ACTION_KEEP       /**< keep the complete answer for callers */
} gs_backup_action_type_t;

/** Pointers are valid until the next step.  Whoever performs TAKE_OVER or
    KEEP takes a reference of the spec's body. */
typedef struct
{
  gs_backup_action_type_t type;
  gs_request_id_t id;
  uint64_t peer;    /**< process that the copy came from */
  bool handed_over; /**< the peer handed the request over; an ACK then says
                         that it is taken over */
  const gs_request_spec_t *spec;
  gs_request_progress_t progress;
  gs_request_state_t outcome;
  long http_status;
  char content_type[GS_CONTENT_TYPE_BYTES];
  gs_time_t retry_after;
  char reason[GS_NAME_BYTES];
} gs_backup_action_t;

typedef struct gs_backup_core gs_backup_core_t;

/** Create an empty table. @return GS_OK. */
gs_status_t gs_backup_core_create (gs_backup_core_t **out);

/** Free the table and its copies; @p core may be NULL. */
void gs_backup_core_destroy (gs_backup_core_t *core);

/** Process one event.
    @param actions GArray of gs_backup_action_t to append to */
void gs_backup_core_step (gs_backup_core_t *core, gs_time_t now,
                          const gs_backup_event_t *event, GArray *actions);

/** @return number of copies held. */
size_t gs_backup_core_count (const gs_backup_core_t *core);

#endif
