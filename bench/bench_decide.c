#include "bench.h"

#include "garnetstack/router.h"

#include <glib.h>
#include <stdio.h>

#define BLOCKS 150
#define PREFIXES 200
#define RUNNING_MAX 20
#define REFRESHES 100
#define START_TIME (1000 * GS_SEC)

static gs_snapshot_t *
make_snapshot (unsigned replicas, gs_rng_t *rng)
{
  gs_snapshot_t *snapshot = gs_snapshot_new (5, replicas);

  snapshot->sequence = 1;
  for (unsigned i = 0; i < replicas; i++)
    {
      gs_upstream_info_t *upstream = &snapshot->upstreams[i];

      g_snprintf (upstream->name, sizeof upstream->name, "r%u", i);
      g_strlcpy (upstream->target, "model", sizeof upstream->target);
      upstream->price_micros = 200000 + gs_rng_below (rng, 800000);
      upstream->reported_at = START_TIME;
      upstream->running = (uint32_t)gs_rng_below (rng, RUNNING_MAX);
    }
  return snapshot;
}

/* Makes the probes of PREFIXES prompts of 4,800 tokens, the length of the
   longest prompts.  */
static gs_prefix_probe_t *
make_probes (gs_rng_t *rng)
{
  gs_prefix_probe_t *probes = g_new (gs_prefix_probe_t, PREFIXES);
  uint64_t hashes[BLOCKS];

  for (unsigned i = 0; i < PREFIXES; i++)
    {
      for (unsigned b = 0; b < BLOCKS; b++)
        hashes[b] = gs_rng_next (rng);
      gs_prefix_probe_select (&probes[i], hashes, BLOCKS);
    }
  return probes;
}

static void
decide (gs_router_t *router, const gs_prefix_probe_t *probes, gs_time_t now,
        gs_rng_t *rng)
{
  gs_route_query_t query = GS_ROUTE_QUERY_INIT;
  gs_route_decision_t decision;

  query.target = "model";
  query.prompt_tokens = BLOCKS * GS_PREFIX_BLOCK_TOKENS;
  query.output_tokens = 200;
  query.prefix = &probes[gs_rng_below (rng, PREFIXES)];
  query.first_token_deadline = now + 2 * GS_SEC;
  query.token_interval = 60 * GS_MSEC;
  query.deadline = now + 30 * GS_SEC;
  gs_router_decide (router, now, &query, &decision);
  if (decision.reason != GS_ROUTE_CHEAPEST
      && decision.reason != GS_ROUTE_EARLIEST)
    return;
  gs_router_commit (router, now, &query, &decision);
  gs_router_attempt_end (
      router, now,
      gs_router_upstream_name (router,
                               decision.candidates[decision.chosen].slot),
      GS_OK);
}

/* @return time to process a snapshot in which the load of every replica has
   changed.  */
static double
refresh_usec (gs_router_t *router, gs_snapshot_t *snapshot)
{
  gs_time_t started_at = gs_clock_now ();

  for (unsigned i = 0; i < REFRESHES; i++)
    {
      snapshot->sequence++;
      for (size_t r = 0; r < snapshot->upstream_count; r++)
        snapshot->upstreams[r].reported_at += GS_MSEC;
      gs_router_refresh (router, START_TIME, snapshot);
    }
  return (double)(gs_clock_now () - started_at) / REFRESHES;
}

int
bench_decide (int argc, char **argv)
{
  static const unsigned sizes[] = { 9, 18, 100, 1100, 4000 };
  unsigned only_size
      = argc > 1 ? (unsigned)g_ascii_strtoull (argv[1], NULL, 10) : 0;
  unsigned decisions
      = argc > 2 ? (unsigned)g_ascii_strtoull (argv[2], NULL, 10) : 200000;

  for (size_t s = 0; s < G_N_ELEMENTS (sizes); s++)
    {
      gs_router_options_t options = GS_ROUTER_OPTIONS_INIT;
      gs_router_t *router;
      gs_snapshot_t *snapshot;
      gs_prefix_probe_t *probes;
      gs_rng_t rng;
      gs_time_t started_at;

      if (only_size != 0 && sizes[s] != only_size)
        continue;
      gs_rng_seed (&rng, 1);
      snapshot = make_snapshot (sizes[s], &rng);
      probes = make_probes (&rng);
      gs_router_create (&router, &options);
      gs_router_refresh (router, START_TIME, snapshot);
      started_at = gs_clock_now ();
      for (unsigned i = 0; i < decisions; i++)
        decide (router, probes, START_TIME + (gs_time_t)i, &rng);
      printf ("decide replicas=%u decisions=%u ns_per_decision=%.0f ",
              sizes[s], decisions,
              (double)(gs_clock_now () - started_at) * 1000 / decisions);
      printf ("usec_per_refresh=%.0f\n", refresh_usec (router, snapshot));
      gs_router_destroy (router);
      gs_snapshot_free (snapshot);
      g_free (probes);
    }
  return 0;
}
