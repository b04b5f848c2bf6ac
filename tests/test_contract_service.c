/* Contract tests of the service port against a fake service: status and number
   of executions of a call, under each fault.  */
#include "port_harness.h"
#include "surplus_upstream.h"

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
} fixture_t;

static void
on_result (void *argument, const gs_service_result_t *result)
{
  fixture_t *fixture = argument;

  fixture->status = result->status;
  fixture->http_status = result->http_status;
  g_free (fixture->body);
  fixture->body = g_strndup (result->body, result->length);
  harness_done (&fixture->harness);
}

static void
start (fixture_t *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  harness_start (&fixture->harness, 0, 1);
  gs_service_http_create (&fixture->port, fixture->harness.loop);
  fixture->url = g_strdup_printf (
      "http://127.0.0.1:%u",
      fake_world_upstream_port (fixture->harness.world, "order-desk-0"));
}

static void
stop (fixture_t *fixture)
{
  harness_stop (&fixture->harness);
  gs_service_http_destroy (&fixture->port);
  g_free (fixture->url);
  g_free (fixture->body);
}

static void
call (fixture_t *fixture, const char *url, const char *key, uint64_t fencing,
      bool short_deadline)
{
  const gs_service_call_t request
      = { .url = url,
          .method = "POST",
          .path = "/charges",
          .request_id = "r-1",
          .key = key,
          .fencing = fencing,
          .body = "{}",
          .body_length = 2,
          .deadline = harness_deadline (short_deadline) };

  fixture->port.call (fixture->port.context, &request, on_result, fixture);
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
      fixture_t fixture;

      start (&fixture);
      harness_fault (&fixture.harness, rows[i].fault);
      call (&fixture, fixture.url, KEY, 0, rows[i].short_deadline);
      harness_check (fixture.status == rows[i].expected, rows[i].name,
                     gs_status_name (fixture.status));
      if (rows[i].expected == GS_OK)
        harness_check (fixture.http_status == rows[i].http_status,
                       rows[i].name, "wrong HTTP status");
      harness_check (fake_world_executions_count (fixture.harness.world, KEY)
                         == rows[i].executions,
                     rows[i].name, "wrong number of executions");
      stop (&fixture);
    }
}

static void
test_refused_connection_is_unreachable (void)
{
  fixture_t fixture;

  start (&fixture);
  call (&fixture, "http://127.0.0.1:1", KEY, 0, false);
  CU_ASSERT_EQUAL (fixture.status, GS_EUNREACHABLE);
  stop (&fixture);
}

/* Guards against a call that waits for its whole deadline for a connection to
   a service that is cut off, and reaches no other one.  */
static void
test_a_connection_that_does_not_open_is_unreachable (void)
{
  gs_service_call_t request = { .method = "POST",
                                .path = "/charges",
                                .request_id = "r-1",
                                .body = "{}",
                                .body_length = 2 };
  harness_full_port_t port;
  fixture_t fixture;

  start (&fixture);
  harness_full_port_open (&port);
  request.url = port.url;
  request.deadline = harness_deadline (false);
  request.progress_deadline = harness_deadline (true);
  fixture.port.call (fixture.port.context, &request, on_result, &fixture);
  harness_wait (&fixture.harness);
  CU_ASSERT_EQUAL (fixture.status, GS_EUNREACHABLE);
  CU_ASSERT (gs_clock_now () < request.deadline - HARNESS_TIMEOUT / 2);
  stop (&fixture);
  harness_full_port_close (&port);
}

/* Makes a call that could leave a pooled connection behind.  Then the service
   executes a second call and cuts the connection before the first byte of the
   response, where libcurl sends a call on a pooled connection again.  */
static void
test_call_is_not_resent (void)
{
  fixture_t fixture;

  start (&fixture);
  call (&fixture, fixture.url, "first", 0, false);
  CU_ASSERT_EQUAL (fixture.status, GS_OK);
  harness_fault (&fixture.harness,
                 "{" TARGET "\"fault\":\"lost_after_effect\"}");
  call (&fixture, fixture.url, KEY, 0, false);
  CU_ASSERT_EQUAL (fixture.status, GS_EUNKNOWN);
  CU_ASSERT_EQUAL (fake_world_executions_count (fixture.harness.world, KEY),
                   1);
  stop (&fixture);
}

static void
test_key_is_honoured (void)
{
  fixture_t fixture;

  start (&fixture);
  fake_world_upstreams_set (fixture.harness.world,
                            "{\"name\":\"services\",\"honour_key\":true}");
  call (&fixture, fixture.url, KEY, 0, false);
  call (&fixture, fixture.url, KEY, 0, false);
  CU_ASSERT_EQUAL (fixture.status, GS_OK);
  CU_ASSERT_EQUAL (fake_world_executions_count (fixture.harness.world, KEY),
                   1);
  stop (&fixture);
}

static void
test_fencing (void)
{
  fixture_t fixture;

  start (&fixture);
  fake_world_upstreams_set (fixture.harness.world,
                            "{\"name\":\"services\",\"check_fencing\":true}");
  call (&fixture, fixture.url, "new", 5, false);
  CU_ASSERT_EQUAL (fixture.http_status, 200);
  call (&fixture, fixture.url, KEY, 4, false);
  CU_ASSERT_EQUAL (fixture.http_status, 409);
  CU_ASSERT_EQUAL (fake_world_executions_count (fixture.harness.world, KEY),
                   0);
  stop (&fixture);
}

static void
test_response_names_its_request (void)
{
  fixture_t fixture;

  start (&fixture);
  call (&fixture, fixture.url, KEY, 0, false);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.body, "\"key\":\"" KEY "\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.body, "\"request\":\"r-1\""));
  stop (&fixture);
}

#define SURPLUS_CALLS 40

/* The body names the request.  */
static char *
answer_with_request (void *context, const raw_message_t *request)
{
  const long *http_status = context;
  char *id = raw_message_header (request, "X-Request-Id");
  char *answer
      = g_strdup_printf ("HTTP/1.1 %ld X\r\nContent-Type: "
                         "text/plain\r\nContent-Length: %zu\r\n\r\n%s",
                         *http_status, strlen (id), id);

  g_free (id);
  return answer;
}

/* Guards against a caller that gets the answer to another caller's call, which
   a service has written once more on a connection that both calls used.  */
static void
test_copies_of_answers_reach_no_caller (void)
{
  static const struct
  {
    const char *method;
    long http_status;
  } rows[] = { { "GET", 200 },  { "POST", 200 }, { "GET", 409 },
               { "POST", 429 }, { "PUT", 503 },  { "DELETE", 200 } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      long http_status = rows[i].http_status;
      surplus_upstream_t *upstream;
      unsigned foreign = 0;
      fixture_t fixture;
      char *url;

      start (&fixture);
      surplus_upstream_create (&upstream, answer_with_request, &http_status);
      url = g_strdup_printf ("http://127.0.0.1:%u",
                             surplus_upstream_port (upstream));
      for (unsigned j = 0; j < SURPLUS_CALLS; j++)
        {
          char *id = g_strdup_printf ("r-%u", j);
          const gs_service_call_t request
              = { .url = url,
                  .method = rows[i].method,
                  .path = "/charges",
                  .request_id = id,
                  .deadline = harness_deadline (false) };

          fixture.port.call (fixture.port.context, &request, on_result,
                             &fixture);
          harness_wait (&fixture.harness);
          CU_ASSERT_EQUAL (fixture.status, GS_OK);
          CU_ASSERT_EQUAL (fixture.http_status, http_status);
          foreign += strcmp (fixture.body, id) != 0;
          g_free (id);
        }
      printf ("\n  %s, status %ld: %u of %u answers are those to other calls ",
              rows[i].method, http_status, foreign, SURPLUS_CALLS);
      CU_ASSERT_EQUAL (foreign, 0);
      CU_ASSERT_EQUAL (surplus_upstream_arrivals (upstream), SURPLUS_CALLS);
      stop (&fixture);
      surplus_upstream_destroy (upstream);
      g_free (url);
    }
}

int
main (void)
{
  const check_case_t cases[]
      = { { "each fault has its status and executions", test_each_fault },
          { "a refused connection is reported as unreachable",
            test_refused_connection_is_unreachable },
          { "a connection that does not open is reported as unreachable",
            test_a_connection_that_does_not_open_is_unreachable },
          { "a call is not resent", test_call_is_not_resent },
          { "a service that honours the key executes once",
            test_key_is_honoured },
          { "a lower fencing token is rejected", test_fencing },
          { "a response names its request", test_response_names_its_request },
          { "copies of answers reach no caller",
            test_copies_of_answers_reach_no_caller } };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  return CHECK_RUN ("contract of the service port", cases);
}
