/**
 * @file traffic_private.h
 * State of the traffic thread, shared by its sources and relay*.c.
 */
#ifndef GS_GATEWAY_TRAFFIC_PRIVATE_H
#define GS_GATEWAY_TRAFFIC_PRIVATE_H

#include "garnetstack/loop.h"
#include "garnetstack/server.h"
#include "garnetstack/thread.h"
#include "gateway/events.h"
#include "policy/admission_queue.h"
#include "policy/resend_budget.h"
#include "policy/return_schedule.h"
#include "policy/replica_reach.h"
#include "policy/surplus_answers.h"
#include "fleet/service_versions.h"
#include "gateway/traffic.h"
#include "gateway/usage_count.h"
#include "util/response_memory.h"

typedef struct relay relay_t;
typedef struct relay_rollouts relay_rollouts_t;

/** Per-service state. */
typedef struct
{
  char *name;
  admission_queue_t *queue;
  return_schedule_t *returns;
  bool serving; /* the queue is being served */
  resend_budget_t budget;
  traffic_demand_t demand;
  unsigned keep_alive_seconds; /* of its replicas; 0 if unknown */
  crossing_t crossing;
  double crossing_share_logged;
} traffic_service_t;

struct traffic
{
  traffic_options_t options;
  gs_loop_t *loop;
  gs_server_t *server;
  gs_thread_t *thread;
  gs_route_table_t *table; /* NULL until the first one arrives */
  gs_replica_list_t *replicas;
  placer_t *placer;
  quota_t *quota;
  quarantine_t *quarantine;
  surplus_answers_t *surplus_answers;
  replica_reach_t reach;
  bool has_contact;          /* a replica has sent bytes since the last tick */
  gs_time_t last_contact_at; /* when the last byte of a replica came */
  GArray *detours;           /* of traffic_detour_t */
  service_versions_t *versions;
  /* A version that this node does not know of has begun no stream that was
     resumed by then.  */
  gs_time_t versions_known_until;
  bool versions_wanted; /* see traffic_report_t */
  stream_origins_t *origins;
  relay_rollouts_t *rollouts;
  uint64_t origins_sent_to_control; /* last row given to on_origins() */
  gs_time_t origins_due;            /* earliest time of the next ones */
  GArray *origins_wanted; /* of stream_origin_key_t, since the last report */
  bool keeps_origins;     /* see traffic_origins_keep_update() */
  service_versions_record_t versions_record; /* last one; arrays NULL if it is
                                                not known */
  gs_time_t stream_time_max; /* longest time that a caller of a stream that
                                may be resumed was seen to wait */
  response_memory_t response_memory;
  GHashTable *paused;   /* set of relays, see relay_flow_check() */
  GHashTable *services; /* service name -> traffic_service_t */
  usage_count_t *usage;
  GHashTable *relays; /* set of relay_t */
  gs_rng_t rng;
  gs_time_t started_at; /* of this process */
  bool restarts_known;
  unsigned restarts;     /* place of this process in a series of restarts */
  unsigned members;      /* nodes of the fleet, this one included */
  unsigned peers_source; /* how the last data about them were divided */
  gs_time_t peers_updated_at;  /* last update of the data about other nodes */
  gs_time_t loads_received_at; /* when the last load of other nodes came */
  bool has_far_nodes; /* nodes of other data centres accept requests */
  gs_time_t last_tick_at;
  gs_time_t report_due;
  gs_time_t server_tick_due;  /* next gs_server_tick() */
  gs_time_t leave_started_at; /* when this node started to leave, else 0 */
  gs_time_t leave_deadline;   /* when requests that are still open end */
};

/** @return the state of a service, created if there is none; owned by
    @p traffic. */
traffic_service_t *traffic_service_ensure (traffic_t *traffic,
                                           const char *name);

/** @return the limits on resends, which hold for all nodes together. */
resend_bounds_t traffic_resend_bounds (const traffic_t *traffic);

/** @return how long ago a stream that a caller resumes may have begun at
    most */
gs_time_t traffic_stream_lookback (const traffic_t *traffic);

/** Hand streams that have begun at this node to the control thread, which
    tells the other nodes: which of them will need one is not known here. */
void traffic_origins_send (traffic_t *traffic, gs_time_t now);

/** Ask the other nodes, with the next report, which version began a stream. */
void traffic_origin_request (traffic_t *traffic, uint64_t stream);

/** Decide whether the store has to keep the version of each stream: several
    versions have served, or processes that start after all nodes have been
    killed could not tell that only one has. */
void traffic_origins_keep_update (traffic_t *traffic, gs_time_t now);

/** Accept a request; called on the traffic thread. */
void relay_start (traffic_t *traffic, gs_exchange_t *exchange);

/** Send queued requests that have a free replica, and reject those that have
    been queued for too long. */
void relay_queues_serve (traffic_t *traffic, gs_time_t now);

/** Compute for each service which share of its requests is sent to other data
    centres. */
void traffic_crossing_update (traffic_t *traffic, gs_time_t now);

/** Let paused streams go on whose callers have caught up. */
void relay_flows_resume (traffic_t *traffic);

/** Ask replicas whether this node reaches them, if that is in doubt. */
void relay_probes_send (traffic_t *traffic, gs_time_t now);

/** @param out receives a table without roll-outs, freed with
    relay_rollouts_destroy() */
void relay_rollouts_create (relay_rollouts_t **out, double expose_share);
void relay_rollouts_destroy (relay_rollouts_t *rollouts);

/** Replace the roll-outs.  One with the same order keeps its counters.
    @param rows array of traffic_rollout_t */
void relay_rollouts_set (relay_rollouts_t *rollouts, const GArray *rows);

/** Append the counters of each roll-out.
    @param out array of rollout_count_t */
void relay_rollouts_export (const relay_rollouts_t *rollouts, GArray *out);

/** Abort all open requests without a response. */
void relay_abort_all (traffic_t *traffic);

/** End all open requests with answers that are true of them, as the process is
    about to end. */
void relay_end_all (traffic_t *traffic, gs_time_t now);

#endif
