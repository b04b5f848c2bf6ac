/**
 * @file fleet_private.h
 * State of the fleet simulation, shared by its source files.
 */
#ifndef GS_BENCH_FLEET_PRIVATE_H
#define GS_BENCH_FLEET_PRIVATE_H

#include "fleet.h"

#include "control/config.h"
#include "control/membership.h"
#include "control/rendezvous.h"

/* Length of a run in virtual milliseconds.  */
#define FLEET_DURATION_MSEC 16000
#define FLEET_TICK_INTERVAL (100 * GS_MSEC)

/* Delivery of a frame to a node (HEARTBEAT, PULL, TEXT, NOTICE), completion
   of a call of a node (READ, WATCH, WRITTEN, NOTICES), or a tick.  */
typedef enum
{
  EVENT_TICK,
  EVENT_HEARTBEAT,
  EVENT_PULL,
  EVENT_TEXT,
  EVENT_NOTICE,
  EVENT_READ_DONE,
  EVENT_WATCH_DONE,
  EVENT_WRITE_DONE,
  EVENT_NOTICES_DONE
} fleet_event_kind_t;

typedef struct
{
  uint16_t to;
  uint16_t from;
  fleet_event_kind_t kind;
  uint32_t call_id; /* of the completed watch or call for notices */
  bool failed;
  uint64_t generation;
  uint64_t notice_digest;
} fleet_event_t;

typedef struct
{
  char name[16];
  char region[16];
  gs_config_t config;
  gs_membership_t members;
  GArray *peers; /* uint16_t, indices of nodes */
  gs_time_t heartbeat_due;
  bool watcher;
  bool watch_open;
  bool notices_open;
  uint32_t store_call_id;   /* of the latest store call */
  uint32_t notices_call_id; /* of the latest call for notices */
  gs_time_t notices_due;
  unsigned forwarded_loads; /* upstreams whose load the node forwards */
  unsigned region_peers;    /* other nodes of the region */
  uint64_t bytes;           /* sent in steady state */
  uint64_t frames;          /* sent in steady state */
} fleet_node_t;

typedef struct
{
  fleet_options_t options;
  fleet_result_t *out;
  fleet_node_t *nodes;
  GArray *buckets[FLEET_DURATION_MSEC + 1]; /* fleet_event_t, by millisecond */
  GArray *actions;                          /* gs_config_action_t */
  gs_rng_t rng;
  gs_time_t now;
  uint64_t store_generation;
  bool notice_issued; /* the source has a notice */
  uint64_t store_calls;
  uint64_t list_calls;
  unsigned store_calls_by_second[FLEET_DURATION_MSEC / 1000 + 1];
} fleet_t;

/** Set the names and regions of all nodes. */
void fleet_nodes_name (fleet_t *fleet);

/** Connect a node to its peers, set its duties and schedule its ticks. */
void fleet_node_start (fleet_t *fleet, fleet_node_t *node);

/** Schedule an event; events after the end of the run are dropped. */
void fleet_event_schedule (fleet_t *fleet, gs_time_t at,
                           const fleet_event_t *event);

/** Deliver the text of a generation to a node. */
void fleet_text_receive (fleet_t *fleet, fleet_node_t *node,
                         uint64_t generation);

#endif
