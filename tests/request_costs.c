/* Prints the recomputation caused when one engine is lost during 50 answers to
   long prompts, for each recovery mode, and the messages that one request
   needs.  */
#include "request_world.h"

#include <stdio.h>

#define ANSWERS 50
#define TOKEN_INTERVAL_TICKS 10 /* 50 ms per token */
#define FAULT_TICKS 150
#define RUN_TICKS_MAX 4000

static bool
run_all (world_t *world)
{
  for (unsigned i = 0; i < RUN_TICKS_MAX && !world_is_settled (world); i++)
    world_step (world);
  return world_is_settled (world);
}

static void
measure (const char *name, int fault)
{
  world_t *world = world_create (11);
  world_costs_t before;
  world_costs_t after;
  unsigned answered = 0;

  world_set_token_interval (world, TOKEN_INTERVAL_TICKS);
  world_restrict_engine (world, 0);
  for (unsigned i = 0; i < ANSWERS; i++)
    world_submit (world, i % WORLD_NODES, false, i);
  for (unsigned i = 0; i < FAULT_TICKS; i++)
    world_step (world);
  before = world_costs (world);
  world_restrict_engine (world, -1);
  if (fault >= 0)
    world_fault (world, (world_fault_t)fault, 0, 0);
  run_all (world);
  after = world_costs (world);
  for (int i = 0; i < ANSWERS; i++)
    answered += world_outcome (world, i) == GS_STATE_ANSWERED;
  printf ("way=%s answers=%d answered=%u emitted_before=%llu "
          "kv_moves=%llu prefilled_again=%llu decoded_again=%lld\n",
          name, ANSWERS, answered, (unsigned long long)before.decoded,
          (unsigned long long)after.kv_moves,
          (unsigned long long)(after.prefilled - before.prefilled),
          (long long)after.decoded - (long long)ANSWERS * WORLD_TOKENS);
  world_destroy (world);
}

/* Baseline: the callers discard their partial answers and submit all requests
   again.  */
static void
measure_start_again (void)
{
  world_t *world = world_create (11);
  world_costs_t before;

  world_set_token_interval (world, TOKEN_INTERVAL_TICKS);
  world_restrict_engine (world, 0);
  for (unsigned i = 0; i < ANSWERS; i++)
    world_submit (world, i % WORLD_NODES, false, i);
  for (unsigned i = 0; i < FAULT_TICKS; i++)
    world_step (world);
  before = world_costs (world);
  printf ("way=start_again answers=%d emitted_before=%llu "
          "prefilled_again=%llu decoded_again=%llu\n",
          ANSWERS, (unsigned long long)before.decoded,
          (unsigned long long)ANSWERS * WORLD_PROMPT_TOKENS,
          (unsigned long long)before.decoded);
  world_destroy (world);
}

static void
measure_messages (bool call)
{
  world_t *world = world_create (3);
  world_costs_t costs;

  world_submit (world, 0, call, 1);
  run_all (world);
  for (unsigned i = 0; i < 10; i++)
    world_step (world);
  costs = world_costs (world);
  printf ("messages kind=%s copies=%llu acks=%llu progress=%llu ends=%llu "
          "store_calls=%llu\n",
          call ? "call" : "generation", (unsigned long long)costs.records,
          (unsigned long long)costs.acks,
          (unsigned long long)costs.progress_updates,
          (unsigned long long)costs.ends,
          (unsigned long long)costs.store_calls);
  world_destroy (world);
}

int
main (void)
{
  measure ("none", -1);
  measure ("resume", FAULT_ENGINE_DISCONNECT);
  measure ("move", FAULT_ENGINE_DRAIN);
  measure ("prefill", FAULT_ENGINE_KILL);
  measure_start_again ();
  measure_messages (false);
  measure_messages (true);
  return 0;
}
