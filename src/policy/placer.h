/**
 * @file placer.h
 * Decides which replica of a service runs a request.  For model engines the
 * placer predicts the time to the first event from the replica's backlog, the
 * part of the prompt that is likely to be in its prefix cache and the observed
 * prompt reading speed; for other services it takes the least loaded replica.
 * Load is the load of this node plus the load that peers have reported.  The
 * functions work on tables only; they read no clock and do no I/O.
 */
#ifndef GS_POLICY_PLACER_H
#define GS_POLICY_PLACER_H

#include "garnetstack/header_codec.h"
#include "garnetstack/replica.h"
#include "garnetstack/rng.h"
#include "garnetstack/route_table.h"
#include "policy/crossing.h"
#include "policy/statements.h"

/** Row number that stands for no replica. */
#define PLACER_ROW_NONE UINT32_MAX

typedef struct placer placer_t;

/** A request that needs a replica. */
typedef struct
{
  const char *service;
  bool engine;           /**< the service's replicas are model engines */
  uint64_t cache_tokens; /**< memory of an engine, in tokens; 0 if unknown */
  unsigned connections_max; /**< limit of a replica; 0 if unknown */
  uint32_t prompt_tokens;
  uint32_t output_tokens; /**< expected length of the answer */
  /** Blocks of the prompt from its start; the last one belongs to this request
      alone. */
  const gs_prompt_block_t *blocks;
  unsigned block_count;
  uint64_t version; /**< placer_version_hash() of the software version that the
                         replica must have; 0 for any */
  const uint64_t *versions; /**< versions of which the replica must have one */
  unsigned version_count;   /**< 0 for any version */
  uint64_t excluded_version; /**< hash of a version that it must not have; 0
                                  for none */
  bool no_wait;      /**< the slots of an engine hold although a version is
                          required; a resumed stream may wait beyond them */
  uint32_t avoid;    /**< row that is chosen only if no other replica has room;
                          PLACER_ROW_NONE for none */
  gs_time_t goal_at; /**< when the answer or its first event should be here; 0
                          if there is no such time */
  uint64_t data_centre; /**< crossing_centre_hash() of this node's; 0 if data
                             centres do not matter */
  crossing_verdict_t crossing; /**< which data centres' replicas it may get */
} placer_query_t;

/** The chosen replica and the values that led to the choice. */
typedef struct
{
  uint32_t row;
  uint32_t uncached_tokens; /**< prompt tokens that are not cached there */
  uint32_t in_flight;       /**< requests that run there, as far as known */
  uint32_t backlog_tokens;  /**< prompt tokens that are to be read first */
  uint32_t candidates;      /**< usable replicas of the service */
  uint32_t full;            /**< candidates that take no more requests */
  gs_time_t first_event_expected_at; /**< predicted time of the first event */
  crossing_reason_t crossing;        /**< why the replica's data centre */
} placer_choice_t;

/** Load that one node puts on a replica. */
typedef struct
{
  char replica[GS_NAME_BYTES];
  uint32_t in_flight;       /**< requests */
  uint32_t backlog_tokens;  /**< prompt tokens that are not yet read */
  uint32_t reserved_tokens; /**< memory reserved for running requests */
} placer_load_t;

/** Load that a set of other nodes puts on a replica. */
typedef struct
{
  uint64_t replica;   /**< placer_replica_hash() of its id */
  uint32_t in_flight; /**< as in placer_load_t, added up */
  uint64_t backlog_tokens;
  uint64_t reserved_tokens;
} placer_peer_load_t;

/** What an attempt occupies at a replica, from placer_attempt_begin() to
    placer_attempt_end(). */
typedef struct
{
  uint32_t row;
  uint32_t generation;      /**< of the row: a replica may start again */
  uint32_t uncached_tokens; /**< not yet read; 0 after the first event */
  uint32_t reserved_tokens; /**< prompt and expected output */
  gs_time_t sent_at;
  gs_time_t first_event_expected_at;
} placer_ticket_t;

/**
 * @param out receives the placer; freed with placer_destroy()
 * @param seed of the random numbers that break ties
 */
void placer_create (placer_t **out, uint64_t seed);
void placer_destroy (placer_t *placer);

/** Replace the list of replicas.  A replica with an id that was listed before
    keeps its load.  One that comes back after it was missing is still bound by
    what it said, unless it has started again. */
void placer_replicas_set (placer_t *placer, gs_time_t now,
                          const gs_replica_list_t *list);

/** @return hash that stands for a replica in the reports of other nodes */
uint64_t placer_replica_hash (const char *id);

/** @return hash that stands for a process of a replica, which may start again
    under the id that it had */
uint64_t placer_process_hash (const gs_replica_t *replica);

/** @return hash that stands for a software version; never 0 */
uint64_t placer_version_hash (const char *version);

/** Replace the load that all peers put on replicas.
    @param peers number of nodes that place requests besides this one */
void placer_peer_loads_set (placer_t *placer, const placer_peer_load_t *loads,
                            unsigned count, unsigned peers);

/**
 * Set the nodes that share limits which replicas name.
 * @param nodes hashes of the nodes that accept requests, this one first
 * @param members nodes that may send requests, those not heard of included
 */
void placer_nodes_set (placer_t *placer, gs_time_t now, const uint64_t *nodes,
                       size_t count, unsigned members);

/**
 * Set the nodes that may send requests to brittle replicas, which each have a
 * fixed part of these.
 * @param members hashes of all nodes, this one first, those without a recent
 * message included
 * @param count 0 while the nodes are not known
 */
void placer_members_set (placer_t *placer, gs_time_t now,
                         const uint64_t *members, size_t count);

/** What a replica says of itself in an answer. */
typedef struct
{
  double limit_per_sec;    /**< requests a second that it takes from all nodes
                                together; negative if it names no limit */
  bool brittle;            /**< it falls over when it rejects too many */
  double rejections_max;   /**< a second, if it is brittle */
  bool leaving;            /**< it takes no new requests any more */
  gs_time_t refused_until; /**< it wants no requests from this node until
                                then; 0 if it says nothing of it */
} placer_statement_t;

/** Record what a replica says of itself in an answer to an attempt.
    @return whether that changes what it said before */
bool placer_statement_record (placer_t *placer, gs_time_t now,
                              const placer_ticket_t *ticket,
                              const placer_statement_t *statement);

/** Adopt statements of replicas that other nodes have received. */
void placer_statements_import (placer_t *placer, gs_time_t now,
                               const statement_t *statements, unsigned count);

/** Append the last statement of each replica.
    @param out array of statement_t */
void placer_statements_export (const placer_t *placer, gs_time_t now,
                               GArray *out);

/**
 * Choose a replica for a request.
 * @return GS_OK; GS_ENOTFOUND if the service has no usable replica;
 * GS_ELIMIT if all usable replicas are full
 */
gs_status_t placer_pick (placer_t *placer, gs_time_t now,
                         const placer_query_t *query, placer_choice_t *out);

/**
 * Count an attempt that is sent to the chosen replica.
 * @param ticket receives what is counted, for placer_attempt_end()
 */
void placer_attempt_begin (placer_t *placer, gs_time_t now,
                           const placer_query_t *query,
                           const placer_choice_t *choice,
                           placer_ticket_t *ticket);

/** Record the first event of an attempt: its prompt has been read. */
void placer_first_event_record (placer_t *placer, gs_time_t now,
                                placer_ticket_t *ticket);

/** How an attempt ended. */
typedef enum
{
  PLACER_SUCCEEDED,
  PLACER_FAILED,           /**< it ran and failed, or its outcome is unknown */
  PLACER_UNREACHABLE,      /**< nothing could be sent */
  PLACER_FULL,             /**< rejected by the replica for lack of capacity */
  PLACER_REPLICA_MISMATCH, /**< another replica has the address now */
  PLACER_CANCELLED /**< the caller disconnected; the replica isn't blamed */
} placer_outcome_t;

/** Remove an attempt from the load.  By its outcome the replica may be ejected
    or count as full for some time.
    @param ticket is invalid afterwards */
void placer_attempt_end (placer_t *placer, gs_time_t now,
                         placer_ticket_t *ticket, placer_outcome_t outcome);

/** Draw replicas of any service that take requests, ejected ones included.
    @param rows receives up to @p max different rows
    @return their number */
unsigned placer_sample (placer_t *placer, unsigned max, uint32_t *rows);

/** @return whether the replica of a row is brittle: a health check that it
    rejects for lack of room would count against it */
bool placer_row_is_brittle (const placer_t *placer, gs_time_t now,
                            uint32_t row);

/** End all ejections: this node could not reach any replica, so none is to
    blame. */
void placer_ejections_clear (placer_t *placer);

/** @return the replica of a row, owned by the placer and valid until the next
    placer_replicas_set(); its id is "" if the replica is no longer listed and
    no attempt runs there */
const gs_replica_t *placer_replica (const placer_t *placer, uint32_t row);

/** Append the load that this node puts on replicas.
    @param max length of @p out at which to stop
    @param out array of placer_load_t */
void placer_loads_export (const placer_t *placer, unsigned max, GArray *out);

/** @return observed prompt reading speed of an engine, in tokens per
    millisecond */
double placer_read_speed (const placer_t *placer);

/**
 * @return the earliest time at which a ready replica of a service takes a
 * request from this node, if all of them have said that they take none now; 0
 * if one takes requests or there is none
 */
gs_time_t placer_opens_at (const placer_t *placer, gs_time_t now,
                           const char *service);

/**
 * Sum up the slots of the ready replicas of a service that name no limit,
 * those that are left out at present included.
 * @param slots receives their number
 * @param taken receives the number that running requests occupy
 */
void placer_slots_count (const placer_t *placer, gs_time_t now,
                         const char *service, unsigned *slots,
                         unsigned *taken);

/** Sum up the load of a service by data centre.
    @param engine the service's replicas are model engines
    @param out receives up to @p max data centres with ready replicas; ejected
    ones do not count as slots
    @return their number */
unsigned placer_centres_export (const placer_t *placer, gs_time_t now,
                                const char *service, bool engine, unsigned max,
                                crossing_centre_t *out);

/** @return requests a second that this node may send to the ready replicas of
    a service that name a limit */
double placer_limited_rate (const placer_t *placer, gs_time_t now,
                            const char *service);

#endif
