#include "check.h"

#include "routing/governor.h"

#include <string.h>

#define NOW (100 * GS_SEC)
#define REPLICAS 2
#define NODES 5
#define KEY_FORMAT "%064u"

static gs_catalogue_t *
create_catalogue (void)
{
  static const char format[]
      = "[catalogue]\ngeneration=1\nchange_id=1\nchanged_by=t\n"
        "[operator t]\nowner=t\npurpose=t\nclass=clerks\nkeys=" KEY_FORMAT "\n"
        "[class clerks]\nowner=t\npurpose=t\npriority=0\nshare=50\n"
        "first_token_ms=1000\ntoken_ms=60\nin_flight_max=8\n"
        "[class drafts]\nowner=t\npurpose=t\npriority=1\nshare=50\n"
        "first_token_ms=1000\ntoken_ms=60\n"
        "[account shop]\nowner=t\npurpose=t\nclass=clerks\nkeys=" KEY_FORMAT
        "\n"
        "requests_per_sec=5\nin_flight_max=3\n"
        "[account other]\nowner=t\npurpose=t\nclass=drafts\nkeys=" KEY_FORMAT
        "\n"
        "[model small]\nowner=t\npurpose=t\nclass=drafts\nversions=v\n"
        "active=v\nin_flight_max=4\n"
        "[adapter tone]\nowner=t\npurpose=t\nclass=drafts\nbase=small\n"
        "versions=v\nactive=v\nin_flight_max=3\n"
        "[service desk]\nowner=t\npurpose=t\nclass=drafts\nroutes=/\n"
        "in_flight_max=2\n";
  char *text = g_strdup_printf (format, 1U, 2U, 3U);
  gs_catalogue_t *catalogue;

  if (gs_catalogue_parse (&catalogue, text, strlen (text), "test", NULL, NULL)
      != GS_OK)
    printf ("\n    %s", gs_error_last ());
  g_free (text);
  return catalogue;
}

typedef struct
{
  gs_governor_t *governor;
  gs_router_t *router;
  gs_snapshot_t *snapshot;
} fixture_t;

static void
setup (fixture_t *fixture, uint32_t running, uint32_t queued_tokens)
{
  gs_router_options_t options = GS_ROUTER_OPTIONS_INIT;
  gs_snapshot_t *snapshot = gs_snapshot_new (1, REPLICAS);

  snapshot->sequence = 1;
  snapshot->catalogue = create_catalogue ();
  for (unsigned i = 0; i < REPLICAS; i++)
    {
      gs_upstream_info_t *upstream = &snapshot->upstreams[i];

      g_snprintf (upstream->name, sizeof upstream->name, "u%u", i);
      g_strlcpy (upstream->target, "m", sizeof upstream->target);
      upstream->price_micros = 1000000;
      upstream->reported_at = NOW;
      upstream->running = running;
      upstream->queued_tokens = queued_tokens;
    }
  fixture->snapshot = snapshot;
  gs_router_create (&fixture->router, &options);
  gs_governor_create (&fixture->governor, 1, 1);
  gs_router_refresh (fixture->router, NOW, snapshot);
  gs_governor_refresh (fixture->governor, NOW, snapshot);
}

static void
teardown (fixture_t *fixture)
{
  gs_governor_destroy (fixture->governor);
  gs_router_destroy (fixture->router);
  gs_snapshot_free (fixture->snapshot);
}

static gs_request_spec_t
spec_of (const char *account)
{
  gs_request_spec_t spec = { .kind = GS_REQUEST_GENERATE,
                             .idempotent = true,
                             .deadline = NOW + 30 * GS_SEC,
                             .prompt_tokens = 100,
                             .tokens_max = 50 };

  g_strlcpy (spec.account, account, sizeof spec.account);
  g_strlcpy (spec.target, "m", sizeof spec.target);
  return spec;
}

static unsigned
admit (fixture_t *fixture, const char *account, unsigned times,
       gs_time_t *retry_after)
{
  gs_request_spec_t spec = spec_of (account);
  unsigned admitted = 0;

  for (unsigned i = 0; i < times; i++)
    admitted += gs_governor_admit (fixture->governor, NOW, fixture->snapshot,
                                   fixture->router, &spec, retry_after)
                == GS_OK;
  return admitted;
}

static void
requests_are_admitted_or_rejected_with_a_time_to_retry (void)
{
  static const struct
  {
    const char *name;
    const char *account;
    uint32_t running;
    uint32_t queued_tokens;
    unsigned admitted; /* of ten */
  } rows[] = {
    { "limit of requests in flight", "shop", 0, 0, 3 },
    { "no limit reached", "other", 0, 0, 10 },
    { "all replicas full", "other", 60, 0, 0 },
    { "first token far too late", "other", 0, 90000, 0 },
    { "account without an entry", "gone", 0, 0, 10 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      fixture_t fixture;
      gs_time_t retry_after = 0;
      unsigned admitted;

      setup (&fixture, rows[i].running, rows[i].queued_tokens);
      admitted = admit (&fixture, rows[i].account, 10, &retry_after);
      CU_ASSERT_EQUAL (admitted, rows[i].admitted);
      CU_ASSERT_EQUAL (retry_after > 0, rows[i].admitted < 10);
      if (admitted != rows[i].admitted)
        printf ("\n    %s: %u", rows[i].name, admitted);
      teardown (&fixture);
    }
}

static gs_status_t
admit_to (fixture_t *fixture, gs_request_kind_t kind, const char *target,
          const char *account, gs_time_t *retry_after)
{
  gs_request_spec_t spec = spec_of (account);

  spec.kind = kind;
  g_strlcpy (spec.target, target, sizeof spec.target);
  return gs_governor_admit (fixture->governor, NOW, fixture->snapshot,
                            fixture->router, &spec, retry_after);
}

/* Each row: a target and the requests admitted to it over all accounts.  The
   end of one request admits one more.  */
static void
requests_to_a_target_stay_within_its_limit (void)
{
  static const struct
  {
    gs_request_kind_t kind;
    const char *target;
    unsigned admitted; /* of six */
  } rows[] = {
    { GS_REQUEST_GENERATE, "small", 4 }, { GS_REQUEST_GENERATE, "tone", 3 },
    { GS_REQUEST_CALL, "desk", 2 },      { GS_REQUEST_CALL, "small", 6 },
    { GS_REQUEST_GENERATE, "desk", 6 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      fixture_t fixture;
      gs_request_spec_t spec = spec_of ("other");
      gs_time_t retry_after = 0;
      unsigned admitted = 0;

      spec.kind = rows[i].kind;
      g_strlcpy (spec.target, rows[i].target, sizeof spec.target);
      setup (&fixture, 0, 0);
      for (unsigned j = 0; j < 6; j++)
        admitted += admit_to (&fixture, rows[i].kind, rows[i].target,
                              j % 2 == 0 ? "other" : "shop", &retry_after)
                    == GS_OK;
      CU_ASSERT_EQUAL (admitted, rows[i].admitted);
      CU_ASSERT_EQUAL (retry_after > 0, rows[i].admitted < 6);
      gs_governor_release (fixture.governor, NOW, (gs_request_id_t){ 1, 1 },
                           &spec, 0);
      CU_ASSERT_EQUAL (admit_to (&fixture, rows[i].kind, rows[i].target,
                                 "other", &retry_after),
                       GS_OK);
      if (rows[i].admitted < 6)
        CU_ASSERT_EQUAL (admit_to (&fixture, rows[i].kind, rows[i].target,
                                   "other", &retry_after),
                         GS_EREFUSED);
      teardown (&fixture);
    }
}

static void
rejected_and_ended_requests_do_not_count (void)
{
  fixture_t fixture;
  gs_request_spec_t spec = spec_of ("shop");
  gs_request_id_t id = { 1, 1 };
  gs_time_t retry_after;

  setup (&fixture, 60, 0);
  CU_ASSERT_EQUAL (admit (&fixture, "shop", 5, &retry_after), 0);
  for (unsigned i = 0; i < REPLICAS; i++)
    fixture.snapshot->upstreams[i].running = 0;
  fixture.snapshot->sequence = 2;
  for (unsigned i = 0; i < REPLICAS; i++)
    fixture.snapshot->upstreams[i].reported_at = NOW + 1;
  gs_router_refresh (fixture.router, NOW, fixture.snapshot);
  CU_ASSERT_EQUAL (admit (&fixture, "shop", 5, &retry_after), 3);
  gs_governor_release (fixture.governor, NOW, id, &spec, 10);
  CU_ASSERT_EQUAL (admit (&fixture, "shop", 5, &retry_after), 1);
  teardown (&fixture);
}

/* Poll for permission to route a second attempt.  Return the time at which it
   is granted.  */
static gs_time_t
permitted_at (fixture_t *fixture, uint64_t sequence, const char *avoid)
{
  gs_request_spec_t spec = spec_of ("other");
  gs_request_id_t id = { 1, sequence };
  gs_time_t now = NOW;

  while (now < NOW + 20 * GS_SEC
         && gs_governor_route_check (fixture->governor, now, fixture->router,
                                     id, &spec, 2, now == NOW ? avoid : NULL)
                != GS_OK)
    now += 50 * GS_MSEC;
  return now;
}

static void
a_retry_is_delayed_unless_the_upstream_was_lost (void)
{
  static const struct
  {
    const char *avoid;
    bool waits;
  } rows[] = { { NULL, false }, { "unlisted", false }, { "u0", true } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      fixture_t fixture;

      setup (&fixture, 0, 0);
      CU_ASSERT_EQUAL (permitted_at (&fixture, 1, rows[i].avoid) > NOW,
                       rows[i].waits);
      teardown (&fixture);
    }
}

static void
retries_stop_when_their_budget_is_exhausted (void)
{
  fixture_t fixture;
  unsigned soon = 0;

  setup (&fixture, 0, 0);
  for (uint64_t i = 1; i <= 40; i++)
    soon += permitted_at (&fixture, i, "u0") <= NOW + GS_SEC;
  CU_ASSERT (soon >= 10);
  CU_ASSERT (soon <= 12);
  teardown (&fixture);
}

static void
queued_requests_with_earlier_deadlines_go_first (void)
{
  fixture_t fixture;
  gs_request_spec_t spec = spec_of ("other");
  gs_request_id_t late = { 1, 999 };

  setup (&fixture, 0, 0);
  for (uint64_t i = 1; i <= GS_WAIT_QUEUE_HEAD_MAX; i++)
    {
      gs_request_id_t id = { 1, i };

      gs_governor_route_report (fixture.governor, NOW, id, &spec, false);
    }
  spec.deadline += GS_SEC;
  CU_ASSERT_EQUAL (gs_governor_route_check (fixture.governor, NOW,
                                            fixture.router, late, &spec, 1,
                                            NULL),
                   GS_EREFUSED);
  gs_governor_route_report (fixture.governor, NOW, (gs_request_id_t){ 1, 1 },
                            &spec, true);
  CU_ASSERT_EQUAL (gs_governor_route_check (fixture.governor, NOW,
                                            fixture.router, late, &spec, 1,
                                            NULL),
                   GS_OK);
  teardown (&fixture);
}

static void
usage_messages_stay_within_their_bandwidth (void)
{
  static const unsigned nodes[] = { 2, 5, 370 };

  for (size_t i = 0; i < G_N_ELEMENTS (nodes); i++)
    {
      fixture_t fixture;
      gs_snapshot_t *snapshot = gs_snapshot_new (nodes[i], 0);
      gs_usage_row_t rows[GS_USAGE_ROWS_MAX];
      gs_time_t retry_after;
      size_t bytes = 0;

      setup (&fixture, 0, 0);
      snapshot->sequence = 2;
      gs_governor_refresh (fixture.governor, NOW, snapshot);
      for (gs_time_t now = NOW; now < NOW + 100 * GS_SEC; now += 10 * GS_MSEC)
        {
          GByteArray *body = g_byte_array_new ();
          size_t count;

          admit (&fixture, "other", 1, &retry_after);
          count = gs_governor_export (fixture.governor, now, rows,
                                      GS_USAGE_ROWS_MAX);
          gs_usage_encode (body, rows, count);
          if (count > 0)
            bytes += body->len * (nodes[i] - 1);
          g_byte_array_unref (body);
        }
      CU_ASSERT (bytes > 0);
      CU_ASSERT (bytes <= 100 * GS_GOVERNOR_EXPORT_BYTES_PER_SEC_MAX);
      gs_snapshot_free (snapshot);
      teardown (&fixture);
    }
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "requests_are_admitted_or_rejected_with_a_time_to_retry",
      requests_are_admitted_or_rejected_with_a_time_to_retry },
    { "requests_to_a_target_stay_within_its_limit",
      requests_to_a_target_stay_within_its_limit },
    { "rejected_and_ended_requests_do_not_count",
      rejected_and_ended_requests_do_not_count },
    { "a_retry_is_delayed_unless_the_upstream_was_lost",
      a_retry_is_delayed_unless_the_upstream_was_lost },
    { "retries_stop_when_their_budget_is_exhausted",
      retries_stop_when_their_budget_is_exhausted },
    { "queued_requests_with_earlier_deadlines_go_first",
      queued_requests_with_earlier_deadlines_go_first },
    { "usage_messages_stay_within_their_bandwidth",
      usage_messages_stay_within_their_bandwidth },
  };

  return CHECK_RUN ("governor", cases);
}
