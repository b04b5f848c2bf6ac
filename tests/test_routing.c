#include "check.h"

#include "garnetstack/router.h"

#include <string.h>

#define NOW (100 * GS_SEC)
#define REPLICAS 4

static gs_snapshot_t *
snapshot_of (size_t count)
{
  gs_snapshot_t *snapshot = gs_snapshot_new (1, count);

  snapshot->sequence = 1;
  for (size_t i = 0; i < count; i++)
    {
      gs_upstream_info_t *upstream = &snapshot->upstreams[i];

      g_snprintf (upstream->name, sizeof upstream->name, "u%zu", i);
      g_strlcpy (upstream->target, "m", sizeof upstream->target);
      upstream->price_micros = 1000000;
      upstream->reported_at = NOW;
    }
  return snapshot;
}

static gs_router_t *
router_of (const gs_snapshot_t *snapshot)
{
  gs_router_options_t options = GS_ROUTER_OPTIONS_INIT;
  gs_router_t *router;

  gs_router_create (&router, &options);
  gs_router_refresh (router, NOW, snapshot);
  return router;
}

static gs_route_query_t
query_of (void)
{
  gs_route_query_t query = GS_ROUTE_QUERY_INIT;

  query.target = "m";
  query.prompt_tokens = 640;
  query.output_tokens = 100;
  query.first_token_deadline = NOW + GS_SEC;
  query.token_interval = 60 * GS_MSEC;
  query.deadline = NOW + 30 * GS_SEC;
  return query;
}

/* Return the name of the chosen replica, or the reason if none is chosen.  */
static const char *
choice_of (gs_router_t *router, const gs_route_query_t *query)
{
  gs_route_decision_t decision;

  gs_router_decide (router, NOW, query, &decision);
  if (decision.reason == GS_ROUTE_CHEAPEST
      || decision.reason == GS_ROUTE_EARLIEST)
    return gs_router_upstream_name (router,
                                    decision.candidates[decision.chosen].slot);
  return gs_route_reason_name (decision.reason);
}

typedef struct
{
  const char *name;
  gs_upstream_info_t upstreams[REPLICAS]; /* only state, price and load */
  bool reclaimable;                       /* of the query */
  const char *avoid;
  const char *expected;
} choice_case_t;

/* Replica with a state, a price, running sequences and queued tokens.  */
#define REPLICA(state_, price_, running_, tokens_)                            \
  {                                                                           \
    .state = (state_), .price_micros = (price_), .running = (running_),       \
    .queued_tokens = (tokens_)                                                \
  }
#define GONE REPLICA (GS_VM_GONE, 1, 0, 0)
#define RECLAIMABLE(price_)                                                   \
  {                                                                           \
    .price_micros = (price_), .reclaimable = true                             \
  }

static const choice_case_t choice_cases[] = {
  { "the cheapest that meets the target",
    { REPLICA (0, 5, 9, 0), REPLICA (0, 2, 9, 0), REPLICA (0, 9, 9, 0), GONE },
    true,
    NULL,
    "u1" },
  { "the fuller batch, whose step is shared by more sequences",
    { REPLICA (0, 5, 2, 0), REPLICA (0, 5, 16, 0), GONE, GONE },
    true,
    NULL,
    "u1" },
  { "not one whose first token would be late",
    { REPLICA (0, 1, 9, 40000), REPLICA (0, 9, 9, 0), GONE, GONE },
    true,
    NULL,
    "u1" },
  { "not one whose batch is full",
    { REPLICA (0, 1, 24, 0), REPLICA (0, 9, 9, 0), GONE, GONE },
    true,
    NULL,
    "u1" },
  { "not one that is leaving",
    { REPLICA (GS_VM_LEAVING, 1, 9, 0), REPLICA (0, 9, 9, 0), GONE, GONE },
    true,
    NULL,
    "u1" },
  { "not a reclaimable one for a class that excludes these",
    { RECLAIMABLE (1), REPLICA (0, 9, 0, 0), GONE, GONE },
    false,
    NULL,
    "u1" },
  { "not the avoided one",
    { REPLICA (0, 1, 9, 0), REPLICA (0, 9, 9, 0), GONE, GONE },
    true,
    "u0",
    "u1" },
  { "the avoided one if there is no other",
    { REPLICA (0, 1, 9, 0), GONE, GONE, GONE },
    true,
    "u0",
    "u0" },
  { "the earliest if none meets the target",
    { REPLICA (0, 1, 9, 90000), REPLICA (0, 9, 9, 30000), GONE, GONE },
    true,
    NULL,
    "u1" },
  { "none if all are full",
    { REPLICA (0, 1, 40, 0), REPLICA (0, 9, 40, 0), GONE, GONE },
    true,
    NULL,
    "saturated" },
  { "none if all are gone",
    { GONE, GONE, GONE, GONE },
    true,
    NULL,
    "no_upstream" },
};

static void
the_best_usable_replica_is_chosen (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (choice_cases); i++)
    {
      gs_snapshot_t *snapshot = snapshot_of (REPLICAS);
      gs_route_query_t query = query_of ();
      gs_router_t *router;
      const char *chosen;

      for (size_t r = 0; r < REPLICAS; r++)
        {
          gs_upstream_info_t *upstream = &snapshot->upstreams[r];
          const gs_upstream_info_t *row = &choice_cases[i].upstreams[r];

          upstream->state = row->state;
          upstream->price_micros = row->price_micros;
          upstream->reclaimable = row->reclaimable;
          upstream->running = row->running;
          upstream->queued_tokens = row->queued_tokens;
        }
      router = router_of (snapshot);
      query.reclaimable = choice_cases[i].reclaimable;
      query.avoid = choice_cases[i].avoid;
      chosen = choice_of (router, &query);
      CU_ASSERT_STRING_EQUAL (chosen, choice_cases[i].expected);
      if (strcmp (chosen, choice_cases[i].expected) != 0)
        printf ("\n    case \"%s\": %s\n", choice_cases[i].name, chosen);
      gs_router_destroy (router);
      gs_snapshot_free (snapshot);
    }
}

static void
the_class_weighs_cost_against_recomputation (void)
{
  static const struct
  {
    unsigned weight_cost;
    const char *expected;
  } rows[] = { { 100, "u1" }, { 30, "u0" }, { 0, "u0" } };
  gs_snapshot_t *snapshot = snapshot_of (2);
  gs_router_t *router;
  gs_route_query_t query = query_of ();
  gs_prefix_probe_t probe;
  gs_route_decision_t decision;
  char prompt[20 * GS_PREFIX_BLOCK_BYTES];

  snapshot->upstreams[0].price_micros = 4000000;
  router = router_of (snapshot);
  memset (prompt, 'p', sizeof prompt);
  gs_prefix_probe_hash (&probe, prompt, sizeof prompt);
  query.prefix = &probe;
  query.avoid = "u1";
  gs_router_decide (router, NOW, &query, &decision);
  gs_router_commit (router, NOW, &query, &decision);
  gs_router_attempt_end (router, NOW, "u0", GS_OK);
  query.avoid = NULL;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      query.weight_cost = rows[i].weight_cost;
      CU_ASSERT_STRING_EQUAL (choice_of (router, &query), rows[i].expected);
    }
  gs_router_destroy (router);
  gs_snapshot_free (snapshot);
}

/* Create a snapshot of two replicas with the given settings of their VMs; u0
   is the cheaper one.  */
static gs_snapshot_t *
snapshot_with_limits (const char *first, const char *second)
{
  gs_snapshot_t *snapshot = snapshot_of (2);
  char *text = g_strdup_printf ("[class c]\nowner=o\npurpose=p\n"
                                "[vm u0]\nowner=o\npurpose=p\nclass=c\n%s"
                                "[vm u1]\nowner=o\npurpose=p\nclass=c\n%s",
                                first, second);

  snapshot->upstreams[1].price_micros = 9000000;
  CU_ASSERT_EQUAL_FATAL (gs_catalogue_parse (&snapshot->catalogue, text,
                                             strlen (text), "t", NULL, NULL),
                         GS_OK);
  g_free (text);
  return snapshot;
}

/* Each row: settings of u0 and u1, routers per node, the choice for the third
   attempt, and the choice for the next one after an attempt at u0 ended.  */
static void
attempts_at_a_vm_stay_within_its_limit (void)
{
  static const struct
  {
    const char *first;
    const char *second;
    unsigned workers;
    const char *third;
    const char *after_end;
  } rows[] = {
    { "", "", 1, "u0", "u0" },
    { "in_flight_max=3\n", "", 1, "u0", "u0" },
    { "in_flight_max=2\n", "", 1, "u1", "u0" },
    { "in_flight_max=4\n", "", 2, "u1", "u0" },
    { "in_flight_max=1\n", "in_flight_max=1\n", 1, "saturated", "u0" },
    { "in_flight_max=1\n", "in_flight_max=1\n", 8, "saturated", "u0" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      gs_snapshot_t *snapshot
          = snapshot_with_limits (rows[i].first, rows[i].second);
      gs_router_options_t options = GS_ROUTER_OPTIONS_INIT;
      gs_route_query_t query = query_of ();
      gs_route_decision_t decision;
      gs_router_t *router;

      options.workers = rows[i].workers;
      gs_router_create (&router, &options);
      gs_router_refresh (router, NOW, snapshot);
      for (unsigned j = 0; j < 2; j++)
        {
          gs_router_decide (router, NOW, &query, &decision);
          gs_router_commit (router, NOW, &query, &decision);
        }
      CU_ASSERT_STRING_EQUAL (choice_of (router, &query), rows[i].third);
      gs_router_attempt_end (router, NOW, "u0", GS_OK);
      CU_ASSERT_STRING_EQUAL (choice_of (router, &query), rows[i].after_end);
      gs_router_destroy (router);
      gs_snapshot_free (snapshot);
    }
}

/* Report failed attempts at a replica.  */
static void
report_failures (gs_router_t *router, const char *name, unsigned times)
{
  for (unsigned i = 0; i < times; i++)
    gs_router_attempt_end (router, NOW, name, GS_EUNREACHABLE);
}

static void
failures_eject_replicas_unless_most_have_failed (void)
{
  static const struct
  {
    unsigned failures;
    unsigned failing;
    const char *expected;
  } rows[] = {
    { 2, 1, "u0" }, /* too few */
    { 3, 1, "u1" }, /* ejected */
    { 3, 2, "u2" },
    { 3, 4, "u0" }, /* all failed: ejections are ignored */
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      gs_snapshot_t *snapshot = snapshot_of (REPLICAS);
      gs_route_query_t query = query_of ();
      gs_router_t *router;
      char name[GS_NAME_BYTES];

      for (unsigned r = 0; r < REPLICAS; r++)
        snapshot->upstreams[r].price_micros = (r + 1) * 1000000ULL;
      router = router_of (snapshot);
      for (unsigned r = 0; r < rows[i].failing; r++)
        {
          g_snprintf (name, sizeof name, "u%u", r);
          report_failures (router, name, rows[i].failures);
        }
      CU_ASSERT_STRING_EQUAL (choice_of (router, &query), rows[i].expected);
      gs_router_destroy (router);
      gs_snapshot_free (snapshot);
    }
}

static void
a_slow_replica_is_avoided_until_its_slowness_decays (void)
{
  gs_snapshot_t *snapshot = snapshot_of (2);
  gs_route_query_t query = query_of ();
  gs_route_decision_t decision;
  gs_router_t *router;
  gs_route_observation_t slow = { "u0",
                                  NOW - 9 * GS_SEC,
                                  NOW - 8 * GS_SEC,
                                  NOW - 8 * GS_SEC,
                                  NOW,
                                  20 * GS_MSEC,
                                  21 };

  snapshot->upstreams[0].price_micros = 1000;
  router = router_of (snapshot);
  CU_ASSERT_STRING_EQUAL (choice_of (router, &query), "u0");
  gs_router_observe (router, NOW, &slow);
  CU_ASSERT_STRING_EQUAL (choice_of (router, &query), "u1");
  query.first_token_deadline += 600 * GS_SEC;
  query.deadline += 600 * GS_SEC;
  gs_router_decide (router, NOW + 300 * GS_SEC, &query, &decision);
  CU_ASSERT_STRING_EQUAL (
      gs_router_upstream_name (router,
                               decision.candidates[decision.chosen].slot),
      "u0");
  gs_router_destroy (router);
  gs_snapshot_free (snapshot);
}

static void
a_new_replica_is_filled_slowly (void)
{
  gs_snapshot_t *snapshot = snapshot_of (1);
  gs_snapshot_t *next = snapshot_of (2);
  gs_route_query_t query = query_of ();
  gs_route_decision_t decision;
  gs_router_t *router = router_of (snapshot);
  unsigned new_replica_count = 0;

  next->sequence = 2;
  next->upstreams[1].price_micros = 1;
  next->upstreams[1].reported_at = NOW + 1;
  gs_router_refresh (router, NOW, next);
  for (unsigned i = 0; i < 12; i++)
    {
      gs_router_decide (router, NOW, &query, &decision);
      gs_router_commit (router, NOW, &query, &decision);
      new_replica_count += decision.candidates[decision.chosen].slot == 1;
    }
  CU_ASSERT (new_replica_count >= 1);
  CU_ASSERT (new_replica_count <= 2);
  gs_router_destroy (router);
  gs_snapshot_free (next);
  gs_snapshot_free (snapshot);
}

static void
cache_events_of_a_snapshot_change_the_choice (void)
{
  static const struct
  {
    bool evicted;
    uint64_t revision; /* in the second snapshot */
    const char *expected;
  } rows[] = { { false, 21, "u1" }, { true, 21, "u0" }, { false, 5, "u1" } };
  uint64_t hashes[20];
  gs_prefix_probe_t probe;

  for (uint64_t i = 0; i < 20; i++)
    hashes[i] = (i + 7) * 0x9e3779b97f4a7c15U;
  gs_prefix_probe_select (&probe, hashes, 20);
  for (size_t row = 0; row < G_N_ELEMENTS (rows); row++)
    {
      gs_snapshot_t *snapshot = snapshot_of (2);
      gs_route_query_t query = query_of ();
      gs_router_t *router;

      snapshot->upstreams[0].price_micros = 900000;
      snapshot->upstreams[1].cache_first_revision = 1;
      snapshot->upstreams[1].cache_revision = 20;
      snapshot->cache_event_count = 20;
      snapshot->cache_events = g_new0 (gs_cache_event_t, 20);
      for (size_t i = 0; i < 20; i++)
        snapshot->cache_events[i] = (gs_cache_event_t){ 1, false, hashes[i] };
      router = router_of (snapshot);
      query.prefix = &probe;
      CU_ASSERT_STRING_EQUAL (choice_of (router, &query), "u1");
      snapshot->sequence = 2;
      snapshot->upstreams[1].cache_first_revision = 1;
      snapshot->upstreams[1].cache_revision = rows[row].revision;
      for (size_t i = 0; i < 20; i++)
        snapshot->cache_events[i].evicted = rows[row].evicted;
      gs_router_refresh (router, NOW, snapshot);
      CU_ASSERT_STRING_EQUAL (choice_of (router, &query), rows[row].expected);
      gs_router_destroy (router);
      gs_snapshot_free (snapshot);
    }
}

static void
a_large_target_is_sampled_and_prefix_holders_are_compared (void)
{
  gs_snapshot_t *snapshot = snapshot_of (1100);
  gs_route_query_t query = query_of ();
  gs_route_decision_t decision;
  gs_prefix_probe_t probe;
  gs_router_t *router;
  uint64_t hash = 99;

  snapshot->upstreams[777].cache_first_revision = 1;
  snapshot->upstreams[777].cache_revision = 1;
  snapshot->cache_event_count = 1;
  snapshot->cache_events = g_new0 (gs_cache_event_t, 1);
  snapshot->cache_events[0] = (gs_cache_event_t){ 777, false, hash };
  router = router_of (snapshot);
  gs_prefix_probe_select (&probe, &hash, 1);
  query.prefix = &probe;
  query.prompt_tokens = 40;
  gs_router_decide (router, NOW, &query, &decision);
  CU_ASSERT (decision.count <= GS_ROUTE_CANDIDATES_MAX);
  CU_ASSERT_STRING_EQUAL (
      gs_router_upstream_name (router,
                               decision.candidates[decision.chosen].slot),
      "u777");
  gs_router_destroy (router);
  gs_snapshot_free (snapshot);
}

static void
a_request_for_an_adapter_is_routed_to_its_base_model (void)
{
  static const char text[]
      = "[class c]\nowner=o\npurpose=p\n"
        "[model m]\nowner=o\npurpose=p\nclass=c\nversions=v\nactive=v\n"
        "[adapter tone]\nowner=o\npurpose=p\nclass=c\nversions=v\nactive=v\n"
        "base=m\n";
  static const struct
  {
    const char *target;
    gs_status_t status;
  } rows[] = { { "m", GS_OK }, { "tone", GS_OK }, { "other", GS_EREFUSED } };
  gs_snapshot_t *snapshot = snapshot_of (2);
  gs_router_t *router;

  CU_ASSERT_EQUAL_FATAL (gs_catalogue_parse (&snapshot->catalogue, text,
                                             sizeof text - 1, "t", NULL, NULL),
                         GS_OK);
  router = router_of (snapshot);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      gs_request_spec_t spec = { .kind = GS_REQUEST_GENERATE,
                                 .deadline = NOW + 30 * GS_SEC,
                                 .prompt_tokens = 100,
                                 .tokens_max = 50 };
      gs_route_t route;

      g_strlcpy (spec.target, rows[i].target, sizeof spec.target);
      CU_ASSERT_EQUAL (gs_router_route (router, NOW, snapshot,
                                        (gs_request_id_t){ 1, i }, &spec, 1,
                                        NULL, &route),
                       rows[i].status);
    }
  gs_router_destroy (router);
  gs_snapshot_free (snapshot);
}

static void
service_calls_go_to_the_replica_with_fewest_in_flight (void)
{
  gs_snapshot_t *snapshot = snapshot_of (2);
  gs_route_query_t query = query_of ();
  gs_route_decision_t decision;
  gs_router_t *router;
  unsigned counts[2] = { 0, 0 };

  snapshot->upstreams[0].kind = GS_UPSTREAM_SERVICE;
  snapshot->upstreams[1].kind = GS_UPSTREAM_SERVICE;
  router = router_of (snapshot);
  query.kind = GS_UPSTREAM_SERVICE;
  for (unsigned i = 0; i < 80; i++)
    {
      gs_router_decide (router, NOW, &query, &decision);
      counts[decision.candidates[decision.chosen].slot]++;
      gs_router_commit (router, NOW, &query, &decision);
    }
  CU_ASSERT_EQUAL (counts[0], 40);
  CU_ASSERT_EQUAL (counts[1], 40);
  gs_router_destroy (router);
  gs_snapshot_free (snapshot);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "the_best_usable_replica_is_chosen", the_best_usable_replica_is_chosen },
    { "the_class_weighs_cost_against_recomputation",
      the_class_weighs_cost_against_recomputation },
    { "failures_eject_replicas_unless_most_have_failed",
      failures_eject_replicas_unless_most_have_failed },
    { "a_slow_replica_is_avoided_until_its_slowness_decays",
      a_slow_replica_is_avoided_until_its_slowness_decays },
    { "a_new_replica_is_filled_slowly", a_new_replica_is_filled_slowly },
    { "cache_events_of_a_snapshot_change_the_choice",
      cache_events_of_a_snapshot_change_the_choice },
    { "a_large_target_is_sampled_and_prefix_holders_are_compared",
      a_large_target_is_sampled_and_prefix_holders_are_compared },
    { "attempts_at_a_vm_stay_within_its_limit",
      attempts_at_a_vm_stay_within_its_limit },
    { "a_request_for_an_adapter_is_routed_to_its_base_model",
      a_request_for_an_adapter_is_routed_to_its_base_model },
    { "service_calls_go_to_the_replica_with_fewest_in_flight",
      service_calls_go_to_the_replica_with_fewest_in_flight },
  };

  return CHECK_RUN ("routing", cases);
}
