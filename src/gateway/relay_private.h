/**
 * @file relay_private.h
 * State of a client request that the gateway forwards to a replica.  It is
 * shared by relay.c (begin and end), relay_dispatch.c (attempts),
 * relay_answer.c (responses), relay_crossing.c (data centres),
 * relay_detour.c and relay_probe.c (nodes that are
 * cut from replicas), relay_quarantine.c, relay_admit.c (routing and
 * admission), relay_origin.c (versions of streams),
 * relay_rollout.c (versions of other requests), relay_flow.c (streams whose
 * callers are behind), relay_queue.c (queueing),
 * relay_return.c (times to retry) and relay_log.c (logs and metrics).
 */
#ifndef GS_GATEWAY_RELAY_PRIVATE_H
#define GS_GATEWAY_RELAY_PRIVATE_H

#include "gateway/traffic_private.h"

/* Sends of a request, including those that a replica rejected without running
   it, beside as many that reached another replica than the chosen one.  */
#define RELAY_SENDS_MAX 4

/** What a request has to do with the roll-out of its service. */
typedef struct
{
  uint64_t decided_order; /**< order that decided_target belongs to; 0 if its
                               version is not chosen yet */
  bool decided;           /**< a version was chosen under decided_order */
  bool decided_target;    /**< the target was chosen */
  uint64_t order;         /**< that counts the current attempt; 0 for none */
  bool at_target;         /**< the current attempt */
  gs_time_t responded_at; /**< of the current attempt; 0 if not yet */
  uint64_t events_before; /**< received by earlier attempts */
} relay_rollout_t;

struct relay
{
  traffic_t *traffic;
  gs_exchange_t *exchange;
  gs_route_table_t *table; /* owns the route, service and account */
  const gs_path_route_t *route;
  traffic_service_t *service;
  const gs_path_service_t *service_config;
  const gs_client_account_t *account; /* NULL for an anonymous request */
  gs_request_headers_t request;
  gs_time_t arrived_at;
  gs_time_t deadline;
  gs_time_t goal_at; /* when the response or first event should be here */
  uint32_t tokens;   /* as the account counts the request */
  double charged;    /* to the account's limit, in tokens or requests */
  uint64_t account_hash;
  admission_entry_t entry; /* in the queue of its service */
  /* State of the current attempt. */
  gs_http_call_t *call;
  placer_ticket_t ticket;
  gs_response_head_t head;
  bool response_mismatched; /* the response answers another attempt */
  bool response_too_large;
  bool paused;            /* receives nothing until the caller has caught up */
  bool detoured;          /* the attempt goes to another node */
  bool kept_connection;   /* the attempt went over one that was open before */
  bool send_started;      /* the attempt had a connection to be sent on */
  unsigned local_port;    /* of that connection; 0 if there was none */
  size_t buffered;        /* bytes taken from the memory for responses */
  bool attempt_responded; /* the first event or the whole response is here */
  GString *body;
  events_splitter_t events;
  /* State across attempts. */
  unsigned attempts;         /* the current one included */
  unsigned misdirected;      /* of them, those that reached a replica with
                                another id than the chosen one */
  unsigned detours;          /* attempts at other nodes */
  gs_endpoint_t detour;      /* the last one */
  unsigned possible_runs;    /* attempts that ran or may have run */
  bool resumed;              /* the caller resumes a stream */
  uint64_t version;          /* software version that began the stream; 0 if it
                                has not begun or is not known yet */
  gs_time_t origin_deadline; /* when a stream of unknown origin is refused */
  bool origin_requested;     /* other nodes were asked for its origin */
  bool usage_counted;        /* the request is counted in the usage */
  bool head_sent; /* the head of the response was sent to the caller */
  relay_rollout_t rollout;
  uint32_t avoid_row; /* placer row of the last attempt */
  placer_choice_t choice;
  uint64_t fingerprint; /* the same for all repeats of a request */
  char replica_id[GS_NAME_BYTES];
  char replica_version[GS_NAME_BYTES]; /* of its software */
  uint64_t process;                    /* of the replica */
  char replica_data_centre[GS_NAME_BYTES];
  bool crossing_drawn; /* whether the request belongs to the share that
                          crosses has been drawn */
  bool crossed;        /* the last replica is in another data centre */
  gs_time_t sent_at;
  gs_time_t first_response_at;
};

/** Pause a stream whose caller is far behind. */
void relay_flow_check (relay_t *relay);

/** Forget that a stream is paused, as its attempt has ended. */
void relay_flow_end (relay_t *relay);

/** Free a request whose exchange has ended. */
void relay_free (relay_t *relay);

/** End a request with an error response made by this node, not by a replica,
    and free it.
    @param retry_after time from now after which the caller may retry; 0 to
    leave that out */
void relay_end_with_error (relay_t *relay, unsigned status, const char *reason,
                           gs_time_t retry_after);

/** End a request that has not run, and tell its caller when to retry. */
void relay_reject (relay_t *relay, gs_time_t now, const char *reason);

/** End a request that can't be sent again, with a status that is true of its
    attempts. */
void relay_fail (relay_t *relay, gs_time_t now, const char *reason);

/** Send a request to a replica or another node, queue it, or end it.  Only a
    request that no attempt may have run is queued. */
void relay_dispatch (relay_t *relay, gs_time_t now);

/** End a request that has not run and comes, or still waits, when this node
    leaves and may not be able to finish it.
    @return false, without ending it, if it may be sent */
bool relay_reject_if_leaving (relay_t *relay, gs_time_t now);

/** End a request that is likely to make a replica crash.
    @return false, without ending it, if nothing is known against it */
bool relay_reject_if_quarantined (relay_t *relay, gs_time_t now);

/** Take the current attempt out of the load, if it is counted. */
void relay_attempt_end (relay_t *relay, gs_time_t now,
                        placer_outcome_t outcome);

/** Account for a buffer of a response that has grown or shrunk.
    @return false if the response is too large */
bool relay_buffered_set (relay_t *relay, size_t length);

/** Callbacks of the current attempt, as in gs_http_request_t. */
bool relay_on_line (void *context, const char *line, size_t length);
bool relay_on_data (void *context, const char *data, size_t length);
void relay_on_done (void *context, const gs_http_result_t *result);

/** Validate the request and look up its route and account.
    @param reason receives the reason when the request is rejected
    @return HTTP status to reject the request with, 0 to accept it */
unsigned relay_route_find (relay_t *relay, const char **reason);

/** Draw one of the route's services at random, by their weights.
    @return the service; owned by the route table */
const gs_path_service_t *relay_service_choose (const relay_t *relay);

/** Set deadline and latency goal from the route's timeouts and the time that
    the caller waits. */
void relay_deadlines_set (relay_t *relay);

/** Charge the request to its account's limit.
    @param retry_after receives, when rejected, the time from now until
    the caller may retry
    @return true if the request is within the limit or the account has none */
bool relay_account_admit (relay_t *relay, gs_time_t now,
                          gs_time_t *retry_after);

/** @return the account's priority, or the route's if the account sets none;
    0 is served first. */
int relay_priority (const relay_t *relay);

/** Set what the queue of its service knows of a request, and count it. */
void relay_queue_entry_set (relay_t *relay, gs_time_t now);

/** Set what this node may use of the replicas of a service. */
void relay_queue_capacity_update (const traffic_t *traffic,
                                  const traffic_service_t *service,
                                  gs_time_t now);

/** @return whether a request is to be queued even if a replica has room. */
bool relay_queue_must_wait (relay_t *relay, gs_time_t now);

/** Add a request to the queue of its service.
    @return false, without adding it, if the expected wait exceeds the time
    that the request may spend in the queue */
bool relay_queue_insert (relay_t *relay, gs_time_t now);

/** Add a request to the queue of its service whatever the expected wait. */
void relay_queue_hold (relay_t *relay, gs_time_t now);

/** Remove a request from the queue of its service, if it is queued. */
void relay_queue_remove (relay_t *relay);

/** Count a request that is rejected for lack of capacity. */
void relay_queue_refusal_record (relay_t *relay, gs_time_t now);

/** @return time from now after which a rejected caller should retry. */
gs_time_t relay_retry_after (relay_t *relay, gs_time_t now);

/** Note whether a routed request resumes a stream. */
void relay_origin_set (relay_t *relay, gs_time_t now);

/** Look up the software version at which a resumed stream must go on.
    @return false if it resumes one whose version is not known */
bool relay_origin_is_known (relay_t *relay, gs_time_t now);

/** Restrict the versions at which a new stream that may be resumed may
    begin. */
void relay_origin_restrict (const relay_t *relay, gs_time_t now,
                            placer_query_t *query);

/** Record that the chosen replica is to begin a stream, if it is a new one. */
void relay_origin_record (relay_t *relay, gs_time_t now);

/** Set the version that a roll-out requires or excludes for a request. */
void relay_rollout_query_set (relay_t *relay, placer_query_t *query);

/** Choose another version for a request after its first one has no room.
    @param status of placer_pick() with @p query
    @return whether @p query has changed */
bool relay_rollout_fall_back (relay_t *relay, gs_status_t status,
                              placer_query_t *query);

/** Count the attempt that was sent to a replica, its first response, and its
    end. */
void relay_rollout_sent (relay_t *relay);
void relay_rollout_responded (relay_t *relay, gs_time_t now);
void relay_rollout_ended (relay_t *relay, gs_time_t now,
                          placer_outcome_t outcome);

/** @return whether the current attempt is at a target version that may be
    bad, so that its failure must not count against the request */
bool relay_rollout_is_exposed (const relay_t *relay);

/** @return whether a request is to be passed on to another node: this one
    reaches no replica, and the request comes from a caller. */
bool relay_detour_applies (const relay_t *relay);

/** End a request that another node has passed on and that would be passed on
    again.
    @return false, without ending it, if it is none */
bool relay_detour_reject (relay_t *relay, gs_time_t now);

/** Draw the node that a request is passed on to.  @return its endpoint, owned
    by @p relay */
const gs_endpoint_t *relay_detour_choose (relay_t *relay);

/** @return how often a request may still run, at this node and others together
 */
unsigned relay_runs_left (const relay_t *relay);

/** Take back what a request that is passed on was charged. */
void relay_detour_charge_cancel (relay_t *relay, gs_time_t now);

/** Set which data centres' replicas a request may get. */
void relay_crossing_set (relay_t *relay, gs_time_t now, placer_query_t *query);

/** @return whether a queued request is about to be refused and may cross
    instead */
bool relay_crossing_is_last_chance (const relay_t *relay, gs_time_t now);

/** Choose a replica of any data centre for a request that would be refused.
    @return whether there is one; it is in relay_t.choice */
bool relay_crossing_retry (relay_t *relay, gs_time_t now,
                           placer_query_t *query);

/** Count an attempt at a replica, if that is in another data centre. */
void relay_crossing_begin (relay_t *relay, const gs_replica_t *replica);

/** Count bytes of the response to such an attempt. */
void relay_crossing_received (relay_t *relay, size_t length);

/** Record the end of such an attempt. */
void relay_crossing_end (relay_t *relay, gs_time_t now,
                         placer_outcome_t outcome);

/** Set the fingerprint of a request whose account is known. */
void relay_fingerprint_set (relay_t *relay);

/** Record how the current attempt speaks for or against the parts of the
    request's prompt. */
void relay_quarantine_lost (const relay_t *relay, gs_time_t now);
void relay_quarantine_answered (const relay_t *relay, gs_time_t now);

/** Record that the replica of the current attempt has begun to answer. */
void relay_quarantine_alive (const relay_t *relay, gs_time_t now);

/** @return when the quarantine of the request ends; 0 if it may be sent to
    replicas */
gs_time_t relay_quarantine_end (const relay_t *relay, gs_time_t now);

/** Log the chosen replica, the data that the choice depended on, and the age
    of that data. */
void relay_log_placement (const relay_t *relay, gs_time_t now);

/** Log the node that a request is passed on to. */
void relay_log_detour (const relay_t *relay, gs_time_t now);

/** Log and count whether the budget allows a request to be sent again. */
void relay_log_resend (const relay_t *relay, gs_time_t now, bool granted);

/** Log and count an attempt that ended without a response to forward. */
void relay_log_attempt (const relay_t *relay, const char *outcome,
                        const char *reason);

/** Count an answer in which a replica names a limit. */
void relay_log_limit (const relay_t *relay);

/** Log the end of a request and update its metrics. */
void relay_log_end (const relay_t *relay, gs_time_t now, const char *outcome,
                    unsigned status, const char *reason);

#endif
