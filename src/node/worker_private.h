/**
 * @file worker_private.h
 * State of a traffic thread, shared by the files that perform the actions of
 * its cores.  Only the worker's thread uses it, except for atomic fields.
 */
#ifndef GS_NODE_WORKER_PRIVATE_H
#define GS_NODE_WORKER_PRIVATE_H

#include "garnetstack/backup.h"
#include "garnetstack/loop.h"
#include "garnetstack/router.h"
#include "garnetstack/engine.h"
#include "garnetstack/store.h"
#include "garnetstack/thread.h"
#include "node/worker.h"
#include "routing/governor.h"

#include <stdatomic.h>

struct gs_worker
{
  gs_worker_options_t options;
  gs_loop_t *loop;
  gs_thread_t *thread;
  gs_request_core_t *core;
  gs_backup_core_t *backup;
  gs_router_t *router;
  gs_governor_t *governor;
  gs_store_port_t store;
  gs_engine_port_t engine;
  gs_service_port_t service;
  gs_snapshot_reader_t *reader;
  gs_rng_t rng;
  gs_trace_t *trace;
  GHashTable *attempts; /* request id -> attempt_t */
  GHashTable *fetches;  /* number -> fetch_t */
  uint64_t next_fetch;
  gs_time_t leaving_check_at;  /* next check for VMs that leave */
  bool self_leaving;           /* this node leaves, at the latest check */
  atomic_llong leave_deadline; /* 0 until the node leaves */
  bool leave_reported;         /* to the request core */
  atomic_size_t open_count;    /* requests that have not ended */
};

/** Pass one event to the request core and perform the resulting actions. */
void worker_step (gs_worker_t *worker, const gs_request_event_t *event);

/** Queue an event for worker_step(), to run after the current actions.  The
    event's text is copied; the event is dropped when the queue is full. */
void worker_event_post (gs_worker_t *worker, const gs_request_event_t *event);

/* attempt.c: attempts at upstreams, and moves of KV cache. */
void attempt_start (gs_worker_t *worker, const gs_request_action_t *action);
void attempt_cancel (gs_worker_t *worker, const gs_request_action_t *action);
void attempt_move_kv (gs_worker_t *worker, const gs_request_action_t *action);
void attempt_free_all (gs_worker_t *worker);

/* usage.c: exchange of demand with the same worker of other nodes, which
   share the limits. */
void usage_tick (gs_worker_t *worker, gs_time_t now);
void usage_frame_receive (gs_worker_t *worker, uint64_t peer,
                          const gs_frame_t *frame);

/* claim.c: claims in the store, which grant the right to dispatch. */
void claim_send (gs_worker_t *worker, const gs_request_action_t *action);
void claim_read (gs_worker_t *worker, const gs_request_action_t *action);

/* backup_link.c: request backups at other nodes, and those held for them. */
void backup_put_send (gs_worker_t *worker, const gs_request_action_t *action);
void backup_progress_send (gs_worker_t *worker,
                           const gs_request_action_t *action);
void backup_done_send (gs_worker_t *worker, const gs_request_action_t *action);
void backup_frame_receive (gs_worker_t *worker, uint64_t peer,
                           const gs_frame_t *frame);
void backup_peer_changed (gs_worker_t *worker, uint64_t peer, bool lost);
void backup_tick (gs_worker_t *worker);

/* fetch.c: reads requests that other nodes hold, and serves such reads.
   fetch_start() first asks @p peer and @p backup_peer, 0 for none; without a
   reply from either, it searches all nodes. */
void fetch_start (gs_worker_t *worker, gs_request_id_t id, uint32_t offset,
                  uint64_t digest, const char *account, uint64_t peer,
                  uint64_t backup_peer, gs_caller_t *caller);
void fetch_ask_holder (gs_worker_t *worker, const gs_request_action_t *action);
void fetch_frame_receive (gs_worker_t *worker, uint64_t peer,
                          const gs_frame_t *frame);
void fetch_peer_lost (gs_worker_t *worker, uint64_t peer);
void fetch_tick (gs_worker_t *worker);
void fetch_free_all (gs_worker_t *worker);

#endif
