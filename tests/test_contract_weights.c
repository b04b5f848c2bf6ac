/* Contract tests of the weight store port against a fake store, under each
   fault.  */
#include "port_harness.h"

#include "garnetstack/weights.h"

#define TARGET "\"target\":\"weights\","
/* More calls than the fake accepts in two of its windows of one second, as the
   calls may begin in one window and end in the next.  */
#define FETCH_COUNT 40

typedef struct
{
  harness_t harness;
  gs_weights_port_t port;
  gs_status_t status;
  uint64_t bytes;
} fixture_t;

static void
on_result (void *argument, const gs_weights_result_t *result)
{
  fixture_t *fixture = argument;

  fixture->status = result->status;
  fixture->bytes = result->bytes;
  harness_done (&fixture->harness);
}

static void
start (fixture_t *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  harness_start (&fixture->harness, 0, 0);
  gs_weights_http_create (&fixture->port, fixture->harness.loop,
                          fixture->harness.url);
}

static void
stop (fixture_t *fixture)
{
  harness_stop (&fixture->harness);
  gs_weights_http_destroy (&fixture->port);
}

static void
fetch (fixture_t *fixture, const char *version, bool short_deadline)
{
  fixture->port.fetch (fixture->port.context, "assistant", version,
                       harness_deadline (short_deadline), on_result, fixture);
  harness_wait (&fixture->harness);
}

static void
test_each_fault (void)
{
  static const struct
  {
    const char *name;
    const char *fault;
    bool short_deadline;
    gs_status_t expected;
  } rows[] = {
    { "no fault", NULL, false, GS_OK },
    { "late response", "{" TARGET "\"fault\":\"late\",\"ms\":50}", false,
      GS_OK },
    { "slow response", "{" TARGET "\"fault\":\"slow\",\"ms\":50}", false,
      GS_OK },
    { "call rejected", "{" TARGET "\"fault\":\"refuse\"}", false,
      GS_EREFUSED },
    { "request lost", "{" TARGET "\"fault\":\"lost\"}", false, GS_EUNKNOWN },
    { "response lost", "{" TARGET "\"fault\":\"lost_after_effect\"}", false,
      GS_EUNKNOWN },
    { "no response", "{" TARGET "\"fault\":\"silent\"}", true, GS_ETIMEOUT },
    { "outage", "{" TARGET "\"fault\":\"outage\"}", false, GS_EUNKNOWN },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      fixture_t fixture;

      start (&fixture);
      harness_fault (&fixture.harness, rows[i].fault);
      fetch (&fixture, "v1", rows[i].short_deadline);
      harness_check (fixture.status == rows[i].expected, rows[i].name,
                     gs_status_name (fixture.status));
      harness_check ((fixture.bytes > 0) == (rows[i].expected == GS_OK),
                     rows[i].name, "wrong size");
      stop (&fixture);
    }
}

static void
test_calls_above_the_rate_limit_are_rejected (void)
{
  fixture_t fixture;
  unsigned accepted = 0;
  unsigned rejected = 0;

  start (&fixture);
  for (int i = 0; i < FETCH_COUNT; i++)
    {
      fetch (&fixture, "v1", false);
      accepted += fixture.status == GS_OK;
      rejected += fixture.status == GS_EREFUSED;
    }
  CU_ASSERT_EQUAL (accepted + rejected, FETCH_COUNT);
  CU_ASSERT_TRUE (accepted > 0);
  CU_ASSERT_TRUE (rejected > 0);
  stop (&fixture);
}

int
main (void)
{
  const check_case_t cases[]
      = { { "each fault has its status", test_each_fault },
          { "calls above the rate limit are rejected",
            test_calls_above_the_rate_limit_are_rejected } };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  return CHECK_RUN ("contract of the weight store port", cases);
}
