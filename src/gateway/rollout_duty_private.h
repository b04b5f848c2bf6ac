/**
 * @file rollout_duty_private.h
 * State of the roll-outs in service, shared by rollout_duty.c (judging),
 * rollout_owner.c (planning and writing) and rollout_list.c (what this node
 * does).
 */
#ifndef GS_GATEWAY_ROLLOUT_DUTY_PRIVATE_H
#define GS_GATEWAY_ROLLOUT_DUTY_PRIVATE_H

#include "fleet/rollout_record.h"
#include "gateway/rollout_duty.h"

/* What this process keeps of the roll-out of one service.  */
typedef struct
{
  rollout_duty_t *duty;
  rollout_entry_t *entry; /* owned by the feed, which removes none */
  rollout_judge_t *judge; /* NULL before the first record */
  uint64_t judge_order;
  rollout_record_t judged; /* record under which the judge collects */
  rollout_result_t result;
  rollout_verdict_t logged_verdict;
  uint64_t requests; /* of the service at the last tick */
  gs_time_t requests_at;
  double requests_per_sec;
  /* State of the owner.  */
  bool record_read; /* the store's record, or that there is none, is known */
  bool busy;        /* a call to the store is open */
  gs_time_t due;
  unsigned status_failures; /* in a row */
  rollout_stored_t stored;  /* as the store has it; order 0 for none */
  uint64_t stored_revision; /* 0 for none */
  gs_time_t record_seen_at;
  rollout_stored_t writing;
  gs_rollout_state_t writing_state;
  uint64_t order_id; /* of the present order, as last logged */
} rollout_case_t;

struct rollout_duty
{
  rollout_duty_options_t options;
  GHashTable *cases;      /* service -> rollout_case_t */
  GHashTable *peer_loads; /* hash of a replica -> requests of other nodes */
  uint64_t era;           /* of the store, as last known */
  gs_time_t due;
};

static inline bool
rollout_is_final (rollout_stage_t stage)
{
  return stage == ROLLOUT_COMPLETED || stage == ROLLOUT_ROLLED_BACK;
}

/* @return whether the owner's record speaks of the order that is known  */
static inline bool
rollout_record_applies (const rollout_entry_t *entry)
{
  return entry->record.order != 0 && entry->record.target == entry->target;
}

rollout_bounds_t rollout_bounds_get (const rollout_duty_t *duty);

/* Make the owner's calls for one service that are due.  */
void rollout_owner_tick (rollout_case_t *item, gs_time_t now);

#endif
