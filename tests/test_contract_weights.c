/* Contract tests of the weight store port against a fake store, under each
   fault.  */
#include "port_harness.h"

#include "garnetstack/weights.h"

#define TARGET "\"target\":\"weights\","
/* More calls than the fake grants in two seconds; the calls may fall into two
   windows of a second.  */
#define CALLS_OVER_RATE 40

typedef struct
{
  harness_t harness;
  gs_weights_port_t port;
  gs_status_t status;
  uint64_t bytes;
} test_t;

static void
on_result (void *argument, const gs_weights_result_t *result)
{
  test_t *test = argument;

  test->status = result->status;
  test->bytes = result->bytes;
  harness_done (&test->harness);
}

static void
start (test_t *test)
{
  memset (test, 0, sizeof *test);
  harness_start (&test->harness, 0, 0);
  gs_weights_http_create (&test->port, test->harness.loop, test->harness.url);
}

static void
stop (test_t *test)
{
  harness_stop (&test->harness);
  gs_weights_http_destroy (&test->port);
}

static void
fetch (test_t *test, const char *version, bool brief)
{
  test->port.fetch (test->port.context, "assistant", version,
                    harness_deadline (brief), on_result, test);
  harness_wait (&test->harness);
}

static void
test_each_fault (void)
{
  static const struct
  {
    const char *name;
    const char *fault;
    bool brief;
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
      test_t test;

      start (&test);
      harness_fault (&test.harness, rows[i].fault);
      fetch (&test, "v1", rows[i].brief);
      harness_check (test.status == rows[i].expected, rows[i].name,
                     gs_status_name (test.status));
      harness_check ((test.bytes > 0) == (rows[i].expected == GS_OK),
                     rows[i].name, "wrong size");
      stop (&test);
    }
}

static void
test_rate_is_refused_apart (void)
{
  test_t test;
  unsigned granted = 0;
  unsigned refused = 0;

  start (&test);
  for (int i = 0; i < CALLS_OVER_RATE; i++)
    {
      fetch (&test, "v1", false);
      granted += test.status == GS_OK;
      refused += test.status == GS_EREFUSED;
    }
  CU_ASSERT_EQUAL (granted + refused, CALLS_OVER_RATE);
  CU_ASSERT_TRUE (granted > 0);
  CU_ASSERT_TRUE (refused > 0);
  stop (&test);
}

int
main (void)
{
  const check_case_t cases[]
      = { { "each fault has its status", test_each_fault },
          { "calls above the rate limit are rejected",
            test_rate_is_refused_apart } };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  return CHECK_RUN ("contract of the weight store port", cases);
}
