#include "check.h"
#include "request_world.h"

#include <stdio.h>

#define RUN_TICKS_MAX 6000 /* 30 s of virtual time */
#define SCHEDULE_COUNT 1000
#define REQUESTS_PER_SCHEDULE 16
#define FAULTS_PER_SCHEDULE 5
#define SLOW_TOKEN_TICKS 10 /* ticks between tokens */

/* Runs until no caller waits; the invariants are checked after each tick.
   @return false when one is violated or a caller still waits at the end */
static bool
run_until_quiet (world_t *world)
{
  for (unsigned i = 0; i < RUN_TICKS_MAX && !world_is_settled (world); i++)
    {
      world_step (world);
      if (world_violation (world) != NULL)
        return false;
    }
  return world_is_settled (world);
}

typedef enum
{
  AT_RECEIVED,
  AT_ACCEPTED,
  AT_DISPATCHED,
  AT_STREAMING,
  AT_ENDED,
  AT_COUNT
} fault_moment_t;

static void
run_until_moment (world_t *world, int request, fault_moment_t moment)
{
  static const gs_request_state_t states[]
      = { GS_STATE_RECEIVED, GS_STATE_ACCEPTED, GS_STATE_DISPATCHED,
          GS_STATE_DISPATCHED, GS_STATE_ANSWERED };

  for (unsigned i = 0;
       i < RUN_TICKS_MAX && world_state (world, request) < states[moment]; i++)
    world_step (world);
  for (unsigned i = 0; moment == AT_STREAMING && i < 15; i++)
    world_step (world);
}

typedef struct
{
  world_fault_t first;
  world_fault_t second;
  fault_moment_t moment;
  bool call;
  unsigned gap_ticks; /* ticks between the faults */
} fault_pair_t;

static void
run_pair (const fault_pair_t *pair, unsigned *failures)
{
  world_t *world = world_create (7);
  int request = world_submit (world, 0, pair->call, 1);
  const char *violation;

  world_set_token_interval (world,
                            pair->gap_ticks == 0 ? 1 : SLOW_TOKEN_TICKS);
  run_until_moment (world, request, pair->moment);
  world_fault (world, pair->first, world_holder (world, request), request);
  for (unsigned i = 0; i < pair->gap_ticks; i++)
    world_step (world);
  world_fault (world, pair->second,
               pair->second == FAULT_DUPLICATE ? world_holder (world, request)
                                               : world_backup (world, request),
               request);
  run_until_quiet (world);
  violation = world_violation (world);
  if (violation == NULL && !world_is_settled (world))
    violation = "a caller got no outcome";
  if (violation == NULL && !pair->call && world_kill_count (world) == 0
      && world_outcome (world, request) != GS_STATE_ANSWERED)
    violation = "a generation was not answered";
  if (violation != NULL)
    {
      printf ("\n  faults %d,%d moment %d call %d gap %u: %s (outcome %s)",
              (int)pair->first, (int)pair->second, (int)pair->moment,
              pair->call, pair->gap_ticks, violation,
              gs_request_state_name (world_outcome (world, request)));
      (*failures)++;
    }
  world_destroy (world);
}

static void
every_pair_of_faults_at_every_moment_keeps_the_invariants (void)
{
  unsigned failures = 0;
  unsigned pairs = 0;

  for (int first = 0; first < FAULT_NODE_COUNT; first++)
    for (int second = 0; second < FAULT_NODE_COUNT; second++)
      for (int moment = 0; moment < AT_COUNT; moment++)
        for (int kind = 0; kind < 4; kind++)
          {
            fault_pair_t pair
                = { (world_fault_t)first, (world_fault_t)second,
                    (fault_moment_t)moment, kind % 2 == 1, kind < 2 ? 0 : 60 };

            run_pair (&pair, &failures);
            pairs++;
          }
  printf ("\n  rows=%u failures=%u\n", pairs, failures);
  CU_ASSERT_EQUAL (failures, 0);
}

static void
inject (world_t *world, int *requests, unsigned count)
{
  gs_rng_t *rng = world_rng (world);
  world_fault_t fault = (world_fault_t)gs_rng_below (rng, FAULT_COUNT);
  int request = requests[gs_rng_below (rng, count)];
  unsigned node = (unsigned)gs_rng_below (rng, WORLD_NODES);

  if (request < 0 || (fault == FAULT_KILL && world_kill_count (world) >= 3))
    return;
  world_fault (world, fault, node, request);
}

static const char *
run_schedule (uint64_t seed)
{
  static char violation[160];
  world_t *world = world_create (seed);
  gs_rng_t *rng = world_rng (world);
  int requests[REQUESTS_PER_SCHEDULE];

  world_set_token_interval (world, seed % 2 == 0 ? 1 : SLOW_TOKEN_TICKS);
  for (unsigned i = 0; i < REQUESTS_PER_SCHEDULE; i++)
    requests[i] = world_submit (
        world, (unsigned)gs_rng_below (rng, WORLD_NODES), i % 2 == 1, i);
  for (unsigned i = 0; i < FAULTS_PER_SCHEDULE; i++)
    {
      unsigned wait = (unsigned)gs_rng_below (rng, 80);

      while (wait-- > 0)
        world_step (world);
      inject (world, requests, REQUESTS_PER_SCHEDULE);
    }
  run_until_quiet (world);
  violation[0] = '\0';
  if (world_violation (world) != NULL)
    g_strlcpy (violation, world_violation (world), sizeof violation);
  else if (!world_is_settled (world))
    g_strlcpy (violation, "a caller got no outcome", sizeof violation);
  world_destroy (world);
  return violation[0] != '\0' ? violation : NULL;
}

static void
random_schedules_of_faults_keep_the_invariants (void)
{
  unsigned failures = 0;

  for (uint64_t seed = 1; seed <= SCHEDULE_COUNT; seed++)
    {
      const char *violation = run_schedule (seed);

      if (violation == NULL)
        continue;
      printf ("\n  seed=%llu: %s", (unsigned long long)seed, violation);
      failures++;
    }
  printf ("\n  schedules=%d seeds=1..%d failures=%u\n", SCHEDULE_COUNT,
          SCHEDULE_COUNT, failures);
  CU_ASSERT_EQUAL (failures, 0);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "every_pair_of_faults_at_every_moment_keeps_the_invariants",
      every_pair_of_faults_at_every_moment_keeps_the_invariants },
    { "random_schedules_of_faults_keep_the_invariants",
      random_schedules_of_faults_keep_the_invariants },
  };

  return CHECK_RUN ("request_faults", cases);
}
