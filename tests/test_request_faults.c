#include "check.h"
#include "request_world.h"

#include <stdio.h>

#define RUN_TICKS 6000 /* 30 s of virtual time */
#define SCHEDULES 1000
#define REQUESTS 16
#define FAULTS 5
#define SLOW_PACE 10 /* ticks between tokens */

/* Runs until no caller waits; the invariants are checked after each tick.
   @return false when one is violated or a caller still waits at the end */
static bool
run_to_quiet (world_t *world)
{
  for (unsigned i = 0; i < RUN_TICKS && !world_quiet (world); i++)
    {
      world_step (world);
      if (world_broken (world) != NULL)
        return false;
    }
  return world_quiet (world);
}

typedef enum
{
  AT_RECEIVED,
  AT_ACCEPTED,
  AT_DISPATCHED,
  AT_STREAMING,
  AT_ENDED,
  AT_COUNT
} moment_t;

static void
run_to_moment (world_t *world, int request, moment_t moment)
{
  static const gs_request_state_t states[]
      = { GS_STATE_RECEIVED, GS_STATE_ACCEPTED, GS_STATE_DISPATCHED,
          GS_STATE_DISPATCHED, GS_STATE_ANSWERED };

  for (unsigned i = 0;
       i < RUN_TICKS && world_state (world, request) < states[moment]; i++)
    world_step (world);
  for (unsigned i = 0; moment == AT_STREAMING && i < 15; i++)
    world_step (world);
}

typedef struct
{
  world_fault_t first;
  world_fault_t second;
  moment_t moment;
  bool call;
  unsigned gap; /* ticks between the faults */
} row_t;

static void
run_row (const row_t *row, unsigned *failures)
{
  world_t *world = world_create (7);
  int request = world_submit (world, 0, row->call, 1);
  const char *broken;

  world_set_pace (world, row->gap == 0 ? 1 : SLOW_PACE);
  run_to_moment (world, request, row->moment);
  world_fault (world, row->first, world_holder (world, request), request);
  for (unsigned i = 0; i < row->gap; i++)
    world_step (world);
  world_fault (world, row->second,
               row->second == FAULT_DUPLICATE ? world_holder (world, request)
                                              : world_backup (world, request),
               request);
  run_to_quiet (world);
  broken = world_broken (world);
  if (broken == NULL && !world_quiet (world))
    broken = "a caller got no outcome";
  if (broken == NULL && !row->call && world_kills (world) == 0
      && world_heard (world, request) != GS_STATE_ANSWERED)
    broken = "a generation was not answered";
  if (broken != NULL)
    {
      printf ("\n  faults %d,%d moment %d call %d gap %u: %s (outcome %s)",
              (int)row->first, (int)row->second, (int)row->moment, row->call,
              row->gap, broken,
              gs_request_state_name (world_heard (world, request)));
      (*failures)++;
    }
  world_destroy (world);
}

static void
every_pair_of_faults_at_every_moment_keeps_the_promises (void)
{
  unsigned failures = 0;
  unsigned rows = 0;

  for (int first = 0; first < FAULT_NODE_COUNT; first++)
    for (int second = 0; second < FAULT_NODE_COUNT; second++)
      for (int moment = 0; moment < AT_COUNT; moment++)
        for (int kind = 0; kind < 4; kind++)
          {
            row_t row = { (world_fault_t)first, (world_fault_t)second,
                          (moment_t)moment, kind % 2 == 1, kind < 2 ? 0 : 60 };

            run_row (&row, &failures);
            rows++;
          }
  printf ("\n  rows=%u failures=%u\n", rows, failures);
  CU_ASSERT_EQUAL (failures, 0);
}

static void
inject (world_t *world, int *requests, unsigned count)
{
  gs_rng_t *rng = world_rng (world);
  world_fault_t fault = (world_fault_t)gs_rng_below (rng, FAULT_COUNT);
  int request = requests[gs_rng_below (rng, count)];
  unsigned node = (unsigned)gs_rng_below (rng, WORLD_NODES);

  if (request < 0 || (fault == FAULT_KILL && world_kills (world) >= 3))
    return;
  world_fault (world, fault, node, request);
}

static const char *
run_schedule (uint64_t seed)
{
  static char broken[160];
  world_t *world = world_create (seed);
  gs_rng_t *rng = world_rng (world);
  int requests[REQUESTS];

  world_set_pace (world, seed % 2 == 0 ? 1 : SLOW_PACE);
  for (unsigned i = 0; i < REQUESTS; i++)
    requests[i] = world_submit (
        world, (unsigned)gs_rng_below (rng, WORLD_NODES), i % 2 == 1, i);
  for (unsigned i = 0; i < FAULTS; i++)
    {
      unsigned wait = (unsigned)gs_rng_below (rng, 80);

      while (wait-- > 0)
        world_step (world);
      inject (world, requests, REQUESTS);
    }
  run_to_quiet (world);
  broken[0] = '\0';
  if (world_broken (world) != NULL)
    g_strlcpy (broken, world_broken (world), sizeof broken);
  else if (!world_quiet (world))
    g_strlcpy (broken, "a caller got no outcome", sizeof broken);
  world_destroy (world);
  return broken[0] != '\0' ? broken : NULL;
}

static void
random_schedules_of_faults_keep_the_promises (void)
{
  unsigned failures = 0;

  for (uint64_t seed = 1; seed <= SCHEDULES; seed++)
    {
      const char *broken = run_schedule (seed);

      if (broken == NULL)
        continue;
      printf ("\n  seed=%llu: %s", (unsigned long long)seed, broken);
      failures++;
    }
  printf ("\n  schedules=%d seeds=1..%d failures=%u\n", SCHEDULES, SCHEDULES,
          failures);
  CU_ASSERT_EQUAL (failures, 0);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "every_pair_of_faults_at_every_moment_keeps_the_promises",
      every_pair_of_faults_at_every_moment_keeps_the_promises },
    { "random_schedules_of_faults_keep_the_promises",
      random_schedules_of_faults_keep_the_promises },
  };

  return CHECK_RUN ("request_faults", cases);
}
