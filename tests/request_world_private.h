/**
 * @file request_world_private.h
 * State of the simulation, shared by request_world.c and
 * request_world_run.c.
 */
#ifndef GS_TESTS_REQUEST_WORLD_PRIVATE_H
#define GS_TESTS_REQUEST_WORLD_PRIVATE_H

#include "request_world.h"

#define HOP_LATENCY (2 * GS_MSEC)
#define CALL_DURATION (20 * GS_MSEC)
#define PEER_SILENCE_MAX (2 * GS_SEC)
#define SILENCE_DURATION (4 * GS_SEC)
#define STORE_OUTAGE_DURATION (3 * GS_SEC)
#define PAUSE_DURATION (5 * GS_SEC)
#define RECLAIM_NOTICE_DURATION (2 * GS_SEC)
#define REQUEST_TIMEOUT (12 * GS_SEC)
#define CALLER_SILENCE_TIMEOUT (3 * GS_SEC)
#define SEARCH_TIMEOUT (5 * GS_SEC)
#define TOKENS WORLD_TOKENS
#define TOKEN_BYTES 12
#define KEYS_MAX 64
#define STREAMS_MAX 1024

typedef struct
{
  world_t *world;
  unsigned index;
  uint64_t incarnation;
  gs_request_core_t *core;
  gs_backup_core_t *backup;
  bool alive;
  bool leaving;
  gs_time_t stop_at;
  gs_time_t paused_until;
  gs_time_t silent_until;
  bool peer_lost[WORLD_NODES]; /* peers reported to the cores as lost */
  gs_time_t last_contact_at[WORLD_NODES];
} world_node_t;

/* Message in flight to the request core or the backup core of a node.  */
typedef struct
{
  gs_time_t due;
  uint64_t order;
  unsigned node;
  uint64_t incarnation; /* of the receiver; a later one drops it */
  bool to_backup;
  gs_request_event_t event;
  gs_backup_event_t backup;
  gs_request_spec_t spec;
  gs_request_progress_t progress;
  char *data;
  uint32_t *ends;
} message_t;

/* State of a generation at an engine.  Each new token is random, so text that
   mixes two computations is detected.  */
typedef struct
{
  bool in_use;
  unsigned engine;
  gs_request_id_t id;
  gs_stream_id_t name;
  uint32_t token_ids[TOKENS];
  uint32_t count;
} stream_t;

typedef struct
{
  unsigned node;
  uint64_t incarnation;
  gs_request_id_t id;
  uint32_t attempt;
  unsigned engine;
  stream_t *stream;
  uint32_t next;
} attempt_t;

typedef struct
{
  bool in_use;
  gs_request_id_t id;
  bool call;
  unsigned key;
  unsigned node;       /* current or latest connection */
  unsigned generation; /* of the current connection */
  gs_time_t last_received_at;
  gs_time_t deadline;
  gs_time_t search_until; /* 0 while connected */
  char text[TOKENS * TOKEN_BYTES + 1];
  uint32_t tokens;
  uint64_t digest;
  gs_request_state_t outcome;
  bool accepted;
  unsigned executions;
} caller_t;

/* Connection of a caller to a node.  Output for a connection of an earlier
   generation than the caller's is dropped.  */
typedef struct
{
  caller_t *caller;
  unsigned generation;
  unsigned node;
} connection_t;

typedef struct
{
  unsigned node;
  uint64_t incarnation;
  gs_request_id_t requester_id;
  gs_request_id_t id;
  gs_time_t deadline;
} holder_query_t;

struct world
{
  unsigned ticks;
  gs_rng_t rng;
  gs_time_t now;
  uint64_t order;
  uint64_t next_incarnation;
  world_node_t nodes[WORLD_NODES];
  GPtrArray *messages;
  GPtrArray *attempts;
  GPtrArray *connections;
  GArray *holder_queries;
  stream_t streams[STREAMS_MAX];
  bool engine_dead[WORLD_ENGINES];
  bool engine_leaving[WORLD_ENGINES];
  char claims[KEYS_MAX][GS_CLAIM_BYTES];
  uint64_t versions[KEYS_MAX];
  gs_time_t store_down_until;
  unsigned store_replies_lost;
  unsigned executions[KEYS_MAX];
  caller_t callers[WORLD_REQUESTS];
  unsigned kills;
  unsigned token_interval;
  world_costs_t costs;
  char violation[160];
};

/* request_world.c */
void world_core_step (world_node_t *node, const gs_request_event_t *event,
                      gs_request_id_t *id);
bool world_node_is_running (const world_node_t *node);
bool world_nodes_connected (const world_t *world, const world_node_t *a,
                            const world_node_t *b);
message_t *world_message_post (world_t *world, unsigned node, gs_time_t delay);
void world_message_free (message_t *message);
void world_attempt_end_post (world_node_t *node, const attempt_t *attempt,
                             gs_status_t status);
void world_violation_record (world_t *world, const char *description,
                             const caller_t *caller);
void world_node_stop (world_node_t *node);

#endif
