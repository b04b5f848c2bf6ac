/* Contract tests of the service port against a fake service: status and number
   of executions of a call that is not idempotent, under each fault.  */
#include "port_harness.h"

#include "garnetstack/engine.h"

#define KEY "charge-1"
#define TARGET "\"target\":\"services\","

typedef struct
{
  harness_t harness;
  gs_service_port_t port;
  char *url;
  gs_status_t status;
  long http_status;
  char *body;
} test_t;

static void
on_result (void *argument, const gs_service_result_t *result)
{
  test_t *test = argument;

  test->status = result->status;
  test->http_status = result->http_status;
  g_free (test->body);
  test->body = g_strndup (result->body, result->length);
  harness_done (&test->harness);
}

static void
start (test_t *test)
{
  memset (test, 0, sizeof *test);
  harness_start (&test->harness, 0, 1);
  gs_service_http_create (&test->port, test->harness.loop);
  test->url = g_strdup_printf (
      "http://127.0.0.1:%u",
      fake_world_upstream_port (test->harness.world, "order-desk-0"));
}

static void
stop (test_t *test)
{
  harness_stop (&test->harness);
  gs_service_http_destroy (&test->port);
  g_free (test->url);
  g_free (test->body);
}

static void
call (test_t *test, const char *url, const char *key, uint64_t fencing,
      bool idempotent, bool brief)
{
  const gs_service_call_t what = { .url = url,
                                   .method = "POST",
                                   .path = "/charges",
                                   .request_id = "r-1",
                                   .key = key,
                                   .fencing = fencing,
                                   .idempotent = idempotent,
                                   .body = "{}",
                                   .body_length = 2,
                                   .deadline = harness_deadline (brief) };

  test->port.call (test->port.context, &what, on_result, test);
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
    unsigned executions;
    long http_status; /* of a response */
  } rows[] = {
    { "no fault", NULL, false, GS_OK, 1, 200 },
    { "late response", "{" TARGET "\"fault\":\"late\",\"ms\":50}", false,
      GS_OK, 1, 200 },
    { "response past the deadline",
      "{" TARGET "\"fault\":\"late\",\"ms\":2000}", true, GS_ETIMEOUT, 1, 0 },
    { "slow response", "{" TARGET "\"fault\":\"slow\",\"ms\":50}", false,
      GS_OK, 1, 200 },
    { "no response", "{" TARGET "\"fault\":\"silent\"}", true, GS_ETIMEOUT, 1,
      0 },
    { "request lost", "{" TARGET "\"fault\":\"lost\"}", false, GS_EUNKNOWN, 0,
      0 },
    { "response lost", "{" TARGET "\"fault\":\"lost_after_effect\"}", false,
      GS_EUNKNOWN, 1, 0 },
    { "request rejected", "{" TARGET "\"fault\":\"refuse\"}", false, GS_OK, 0,
      503 },
    { "outage", "{" TARGET "\"fault\":\"outage\"}", false, GS_EUNKNOWN, 0, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      test_t test;

      start (&test);
      harness_fault (&test.harness, rows[i].fault);
      call (&test, test.url, KEY, 0, false, rows[i].brief);
      harness_check (test.status == rows[i].expected, rows[i].name,
                     gs_status_name (test.status));
      if (rows[i].expected == GS_OK)
        harness_check (test.http_status == rows[i].http_status, rows[i].name,
                       "wrong HTTP status");
      harness_check (fake_world_executions (test.harness.world, KEY)
                         == rows[i].executions,
                     rows[i].name, "wrong number of executions");
      stop (&test);
    }
}

static void
test_refused_connection_is_told_apart (void)
{
  test_t test;

  start (&test);
  call (&test, "http://127.0.0.1:1", KEY, 0, false, false);
  CU_ASSERT_EQUAL (test.status, GS_EUNREACHABLE);
  stop (&test);
}

/* Makes a call that leaves a pooled connection behind.  Then the service
   executes a second call and cuts the connection before the first byte of the
   response.
   @return executions of the second call  */
static unsigned
executions_over_a_pooled_connection (bool idempotent)
{
  test_t test;
  unsigned executions;

  start (&test);
  call (&test, test.url, "first", 0, true, false);
  CU_ASSERT_EQUAL (test.status, GS_OK);
  harness_fault (&test.harness, "{" TARGET "\"fault\":\"lost_after_effect\"}");
  call (&test, test.url, KEY, 0, idempotent, false);
  executions = fake_world_executions (test.harness.world, KEY);
  stop (&test);
  return executions;
}

static void
test_call_is_not_resent_on_a_pooled_connection (void)
{
  CU_ASSERT_EQUAL (executions_over_a_pooled_connection (false), 1);
  /* libcurl does send an idempotent call again in the same situation.  */
  CU_ASSERT_EQUAL (executions_over_a_pooled_connection (true), 2);
}

static void
test_honoured_key (void)
{
  test_t test;

  start (&test);
  fake_world_set (test.harness.world,
                  "{\"name\":\"services\",\"honour_key\":true}");
  call (&test, test.url, KEY, 0, false, false);
  call (&test, test.url, KEY, 0, false, false);
  CU_ASSERT_EQUAL (test.status, GS_OK);
  CU_ASSERT_EQUAL (fake_world_executions (test.harness.world, KEY), 1);
  stop (&test);
}

static void
test_fencing (void)
{
  test_t test;

  start (&test);
  fake_world_set (test.harness.world,
                  "{\"name\":\"services\",\"check_fencing\":true}");
  call (&test, test.url, "new", 5, false, false);
  CU_ASSERT_EQUAL (test.http_status, 200);
  call (&test, test.url, KEY, 4, false, false);
  CU_ASSERT_EQUAL (test.http_status, 409);
  CU_ASSERT_EQUAL (fake_world_executions (test.harness.world, KEY), 0);
  stop (&test);
}

static void
test_answer_names_its_request (void)
{
  test_t test;

  start (&test);
  call (&test, test.url, KEY, 0, false, false);
  CU_ASSERT_PTR_NOT_NULL (strstr (test.body, "\"key\":\"" KEY "\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (test.body, "\"request\":\"r-1\""));
  stop (&test);
}

int
main (void)
{
  const check_case_t cases[]
      = { { "each fault has its status and executions", test_each_fault },
          { "a refused connection is reported as unreachable",
            test_refused_connection_is_told_apart },
          { "a call that is not idempotent is not resent",
            test_call_is_not_resent_on_a_pooled_connection },
          { "a service that honours the key executes once",
            test_honoured_key },
          { "a lower fencing token is rejected", test_fencing },
          { "a response names its request", test_answer_names_its_request } };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  return CHECK_RUN ("contract of the service port", cases);
}
