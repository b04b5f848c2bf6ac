/**
 * @file placer.h
 * Decides which replica of a service runs a request.  For model engines it
 * predicts the time to the first event from what waits there, what of the
 * prompt the replica is likely to hold and how fast it has read prompts
 * lately; for other services it takes the least used.  Answers the load of
 * this node, plus what the other nodes told of theirs.  Plain functions over
 * tables; no clock, no call.
 */
#ifndef GS_GATEWAY_PLACER_H
#define GS_GATEWAY_PLACER_H

#include "garnetstack/passing.h"
#include "garnetstack/replica.h"
#include "garnetstack/rng.h"
#include "garnetstack/route_table.h"

#define PLACER_ROW_NONE UINT32_MAX

typedef struct placer placer_t;

typedef struct
{
  const char *service;
  bool engine;
  uint64_t cache_tokens;    /**< an engine's memory; 0 if not known */
  unsigned connections_max; /**< a replica takes; 0 if not known */
  uint32_t prompt_tokens;
  uint32_t output_tokens; /**< expected */
  const gs_prompt_block_t *parts;
  unsigned part_count;
  uint32_t avoid; /**< row that is taken only when there is no other, or
                       PLACER_ROW_NONE */
} placer_query_t;

/** A choice and why. */
typedef struct
{
  uint32_t row;
  uint32_t missing_tokens; /**< of the prompt, to be read */
  uint32_t in_flight;      /**< there, as far as known */
  uint32_t backlog_tokens; /**< to be read there before */
  uint32_t candidates;
  uint32_t full;               /**< candidates without a free slot */
  gs_time_t first_expected_at; /**< the first event */
} placer_choice_t;

/** What a node has at a replica. */
typedef struct
{
  char replica[GS_NAME_BYTES];
  uint32_t in_flight;
  uint32_t backlog_tokens;
  uint32_t held_tokens;
} placer_load_t;

/** What a request holds at a replica, from placer_sent() to placer_ended(). */
typedef struct
{
  uint32_t row;
  uint32_t missing_tokens; /**< not yet read; 0 after the first event */
  uint32_t held_tokens;
  gs_time_t sent_at;
  gs_time_t first_expected_at;
} placer_ticket_t;

void placer_create (placer_t **out, uint64_t seed);
void placer_destroy (placer_t *placer);

void placer_set_replicas (placer_t *placer, const gs_replica_list_t *list);

/** Replace what the other nodes have at all replicas. */
void placer_set_peers (placer_t *placer, const placer_load_t *loads,
                       unsigned count);

/**
 * Choose.
 * @return GS_OK; GS_ENOTFOUND when the service has no replica to use;
 * GS_ELIMIT when all are full
 */
gs_status_t placer_pick (placer_t *placer, gs_time_t now,
                         const placer_query_t *query, placer_choice_t *out);

/** A request goes to the replica chosen. */
void placer_sent (placer_t *placer, gs_time_t now, const placer_query_t *query,
                  const placer_choice_t *choice, placer_ticket_t *ticket);

/** Its first event has come. */
void placer_first (placer_t *placer, gs_time_t now, placer_ticket_t *ticket);

typedef enum
{
  PLACER_GOOD,
  PLACER_FAILED,      /**< it ran and failed, or its fate is not known */
  PLACER_UNREACHABLE, /**< nothing could be sent */
  PLACER_FULL,        /**< it said that it takes no more */
  PLACER_OTHER,       /**< another replica has its address */
  PLACER_LEFT         /**< the caller left; says nothing of the replica */
} placer_end_t;

void placer_ended (placer_t *placer, gs_time_t now, placer_ticket_t *ticket,
                   placer_end_t end);

/** @return the replica of a row, valid until the next list; its id is "" once
    it is gone and nothing runs there */
const gs_replica_t *placer_replica (const placer_t *placer, uint32_t row);

/** Append what this node has at replicas, of placer_load_t, up to @p max. */
void placer_export (const placer_t *placer, unsigned max, GArray *out);

/** @return tokens of prompts that an engine reads in a millisecond, as
    observed. */
double placer_read_speed (const placer_t *placer);

/** Slots of the ready replicas of a service, and how many are taken. */
void placer_room (const placer_t *placer, const char *service, unsigned *slots,
                  unsigned *taken);

#endif
