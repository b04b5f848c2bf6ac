#include "bench.h"

#include "garnetstack/router.h"

#include <glib.h>
#include <stdio.h>

#define BLOCKS 150
#define PREFIXES 200
#define RUNNING_MOST 20
#define REFRESHES 100
#define START (1000 * GS_SEC)

static gs_snapshot_t *
picture_of (unsigned replicas, gs_rng_t *rng)
{
  gs_snapshot_t *picture = gs_snapshot_new (5, replicas);

  picture->sequence = 1;
  for (unsigned i = 0; i < replicas; i++)
    {
      gs_upstream_info_t *upstream = &picture->upstreams[i];

      g_snprintf (upstream->name, sizeof upstream->name, "r%u", i);
      g_strlcpy (upstream->target, "model", sizeof upstream->target);
      upstream->price_micros = 200000 + gs_rng_below (rng, 800000);
      upstream->reported_at = START;
      upstream->running = (uint32_t)gs_rng_below (rng, RUNNING_MOST);
    }
  return picture;
}

/* Makes the probes of PREFIXES prompts of 4,800 tokens, the length of the
   longest prompts.  */
static gs_prefix_probe_t *
probes_of (gs_rng_t *rng)
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
refresh_usec (gs_router_t *router, gs_snapshot_t *picture)
{
  gs_time_t before = gs_clock_now ();

  for (unsigned i = 0; i < REFRESHES; i++)
    {
      picture->sequence++;
      for (size_t r = 0; r < picture->upstream_count; r++)
        picture->upstreams[r].reported_at += GS_MSEC;
      gs_router_refresh (router, START, picture);
    }
  return (double)(gs_clock_now () - before) / REFRESHES;
}

int
bench_decide (int argc, char **argv)
{
  static const unsigned sizes[] = { 9, 18, 100, 1100, 4000 };
  unsigned only
      = argc > 1 ? (unsigned)g_ascii_strtoull (argv[1], NULL, 10) : 0;
  unsigned decisions
      = argc > 2 ? (unsigned)g_ascii_strtoull (argv[2], NULL, 10) : 200000;

  for (size_t s = 0; s < G_N_ELEMENTS (sizes); s++)
    {
      gs_router_options_t options = GS_ROUTER_OPTIONS_INIT;
      gs_router_t *router;
      gs_snapshot_t *picture;
      gs_prefix_probe_t *probes;
      gs_rng_t rng;
      gs_time_t before;

      if (only != 0 && sizes[s] != only)
        continue;
      gs_rng_seed (&rng, 1);
      picture = picture_of (sizes[s], &rng);
      probes = probes_of (&rng);
      gs_router_create (&router, &options);
      gs_router_refresh (router, START, picture);
      before = gs_clock_now ();
      for (unsigned i = 0; i < decisions; i++)
        decide (router, probes, START + (gs_time_t)i, &rng);
      printf ("decide replicas=%u decisions=%u ns_per_decision=%.0f ",
              sizes[s], decisions,
              (double)(gs_clock_now () - before) * 1000 / decisions);
      printf ("usec_per_refresh=%.0f\n", refresh_usec (router, picture));
      gs_router_destroy (router);
      gs_snapshot_free (picture);
      g_free (probes);
    }
  return 0;
}
