/* Contract tests of the engine port against a fake engine: streams under each
   fault, resumption, moves of the KV cache, load reports and orders.  */
#include "port_harness.h"

#include "garnetstack/engine.h"

#define PROMPT "a long list of households"
#define BODY "{\"model\":\"assistant\",\"prompt\":\"" PROMPT "\"," TOKENS_FIELD
#define TOKENS_FIELD "\"max_tokens\":12}"
#define TOKENS 12
#define REQUEST "0000000000000001-0000000000000002"
#define TARGET "\"target\":\"engines\","

typedef struct
{
  harness_t harness;
  gs_engine_port_t port;
  char *urls[2];
  gs_engine_end_t end;
  unsigned events;
  unsigned repeated;
  unsigned disordered;
  bool seen[TOKENS];
  bool foreign; /* received a token that the prompt does not give */
  uint32_t last;
  gs_status_t status;
  char *body;
  gs_engine_report_t report;
  size_t cache_events;
  bool gap;
  uint64_t revision;
} test_t;

static void
on_text (void *argument, uint32_t offset, const char *text, size_t length)
{
  test_t *test = argument;
  char expected[FAKE_TOKEN_BYTES];

  fake_token (expected, PROMPT, offset);
  if (offset >= TOKENS || strlen (expected) != length
      || memcmp (expected, text, length) != 0)
    {
      test->foreign = true;
      return;
    }
  test->repeated += test->seen[offset];
  test->disordered += test->events > 0 && offset < test->last;
  test->seen[offset] = true;
  test->last = offset;
  test->events++;
}

static void
on_end (void *argument, const gs_engine_end_t *end)
{
  test_t *test = argument;

  test->end = *end;
  harness_done (&test->harness);
}

static void
on_result (void *argument, const gs_engine_result_t *result)
{
  test_t *test = argument;

  test->status = result->status;
  g_free (test->body);
  test->body = g_strndup (result->body, result->length);
  harness_done (&test->harness);
}

static void
on_report (void *argument, const gs_engine_report_t *report)
{
  test_t *test = argument;

  test->report = *report;
  harness_done (&test->harness);
}

static void
on_cache_events (void *argument, const gs_block_events_t *events)
{
  test_t *test = argument;

  test->status = events->status;
  test->cache_events = events->count;
  test->gap = events->gap;
  test->revision = events->revision;
  harness_done (&test->harness);
}

static void
start (test_t *test)
{
  memset (test, 0, sizeof *test);
  harness_start (&test->harness, 2, 0);
  gs_engine_http_create (&test->port, test->harness.loop);
  for (int i = 0; i < 2; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "assistant-%d", i);
      test->urls[i] = g_strdup_printf (
          "http://127.0.0.1:%u",
          fake_world_upstream_port (test->harness.world, name));
    }
}

static void
stop (test_t *test)
{
  harness_stop (&test->harness);
  gs_engine_http_destroy (&test->port);
  g_free (test->urls[0]);
  g_free (test->urls[1]);
  g_free (test->body);
}

static void
generate (test_t *test, const char *url, gs_engine_mode_t mode, uint32_t from,
          bool brief)
{
  const gs_engine_call_t call = { .url = url,
                                  .stream = REQUEST,
                                  .request_id = REQUEST,
                                  .attempt = mode == GS_ENGINE_NEW ? 1 : 2,
                                  .mode = mode,
                                  .resume_from = from,
                                  .body = BODY,
                                  .body_length = strlen (BODY),
                                  .deadline = harness_deadline (brief) };

  test->port.generate (test->port.context, &call, on_text, on_end, test);
  harness_wait (&test->harness);
}

static unsigned
count_seen (const test_t *test)
{
  unsigned count = 0;

  for (int i = 0; i < TOKENS; i++)
    count += test->seen[i];
  return count;
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
    unsigned tokens;
    unsigned repeated;
    unsigned disordered;
  } rows[] = {
    { "no fault", NULL, false, GS_OK, TOKENS, 0, 0 },
    { "connection cut before the first token", "{" TARGET "\"fault\":\"cut\"}",
      false, GS_EUNKNOWN, 0, 0, 0 },
    { "connection cut in the middle",
      "{" TARGET "\"fault\":\"cut\",\"after\":5}", false, GS_EUNKNOWN, 5, 0,
      0 },
    { "connection cut before the end marker",
      "{" TARGET "\"fault\":\"cut\",\"after\":12}", false, GS_EUNKNOWN, TOKENS,
      0, 0 },
    { "response ends without the end marker",
      "{" TARGET "\"fault\":\"no_end\"}", false, GS_EUNKNOWN, TOKENS, 0, 0 },
    { "no data after the third token",
      "{" TARGET "\"fault\":\"silent\",\"after\":3}", true, GS_ETIMEOUT, 3, 0,
      0 },
    { "no response", "{" TARGET "\"fault\":\"silent\"}", true, GS_ETIMEOUT, 0,
      0, 0 },
    { "token sent twice", "{" TARGET "\"fault\":\"duplicate\",\"after\":4}",
      false, GS_OK, TOKENS, 1, 0 },
    { "two tokens sent out of order",
      "{" TARGET "\"fault\":\"reorder\",\"after\":4}", false, GS_OK, TOKENS, 0,
      1 },
    { "late response", "{" TARGET "\"fault\":\"late\",\"ms\":50}", false,
      GS_OK, TOKENS, 0, 0 },
    { "slow response", "{" TARGET "\"fault\":\"slow\",\"ms\":10}", false,
      GS_OK, TOKENS, 0, 0 },
    { "request rejected", "{" TARGET "\"fault\":\"refuse\"}", false,
      GS_EUNREACHABLE, 0, 0, 0 },
    { "request lost", "{" TARGET "\"fault\":\"lost\"}", false, GS_EUNKNOWN, 0,
      0, 0 },
    { "outage", "{" TARGET "\"fault\":\"outage\"}", false, GS_EUNKNOWN, 0, 0,
      0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      test_t test;

      start (&test);
      harness_fault (&test.harness, rows[i].fault);
      generate (&test, test.urls[0], GS_ENGINE_NEW, 0, rows[i].brief);
      harness_check (test.end.status == rows[i].expected, rows[i].name,
                     gs_status_name (test.end.status));
      harness_check (count_seen (&test) == rows[i].tokens, rows[i].name,
                     "wrong number of tokens");
      harness_check (test.repeated == rows[i].repeated, rows[i].name,
                     "wrong number of repeated tokens");
      harness_check (test.disordered == rows[i].disordered, rows[i].name,
                     "wrong order");
      harness_check (!test.foreign, rows[i].name, "a token of another prompt");
      stop (&test);
    }
}

static void
test_refused_connection_is_told_apart (void)
{
  test_t test;

  start (&test);
  generate (&test, "http://127.0.0.1:1", GS_ENGINE_NEW, 0, false);
  CU_ASSERT_EQUAL (test.end.status, GS_EUNREACHABLE);
  stop (&test);
}

static void
test_resume_after_a_cut (void)
{
  test_t test;

  start (&test);
  harness_fault (&test.harness, "{" TARGET "\"fault\":\"cut\",\"after\":5}");
  generate (&test, test.urls[0], GS_ENGINE_NEW, 0, false);
  CU_ASSERT_EQUAL (count_seen (&test), 5);
  generate (&test, test.urls[0], GS_ENGINE_RESUME, 5, false);
  CU_ASSERT_EQUAL (test.end.status, GS_OK);
  CU_ASSERT_EQUAL (count_seen (&test), TOKENS);
  CU_ASSERT_EQUAL (test.repeated, 0);
  stop (&test);
}

static void
test_resume_elsewhere_is_not_found (void)
{
  test_t test;

  start (&test);
  generate (&test, test.urls[0], GS_ENGINE_NEW, 0, false);
  generate (&test, test.urls[1], GS_ENGINE_RESUME, 5, false);
  CU_ASSERT_EQUAL (test.end.status, GS_ENOTFOUND);
  generate (&test, test.urls[1], GS_ENGINE_MOVED, 5, false);
  CU_ASSERT_EQUAL (test.end.status, GS_ENOTFOUND);
  stop (&test);
}

static void
test_move_of_the_kv_cache (void)
{
  gs_engine_port_t *port;
  test_t test;
  char *kv;

  start (&test);
  port = &test.port;
  harness_fault (&test.harness, "{" TARGET "\"fault\":\"cut\",\"after\":5}");
  generate (&test, test.urls[0], GS_ENGINE_NEW, 0, false);
  port->kv_get (port->context, test.urls[0], REQUEST, harness_deadline (false),
                on_result, &test);
  harness_wait (&test.harness);
  CU_ASSERT_EQUAL (test.status, GS_OK);
  kv = g_strdup (test.body);
  port->kv_put (port->context, test.urls[1], REQUEST, kv, strlen (kv),
                harness_deadline (false), on_result, &test);
  harness_wait (&test.harness);
  CU_ASSERT_EQUAL (test.status, GS_OK);
  generate (&test, test.urls[1], GS_ENGINE_MOVED, 5, false);
  CU_ASSERT_EQUAL (test.end.status, GS_OK);
  CU_ASSERT_EQUAL (count_seen (&test), TOKENS);
  CU_ASSERT_EQUAL (test.repeated, 0);
  g_free (kv);
  stop (&test);
}

static void
test_kv_cache_of_another_request_is_refused (void)
{
  static const char kv[] = "{\"request_id\":\"other\",\"tokens\":5}";
  test_t test;

  start (&test);
  test.port.kv_put (test.port.context, test.urls[0], REQUEST, kv, strlen (kv),
                    harness_deadline (false), on_result, &test);
  harness_wait (&test.harness);
  CU_ASSERT_EQUAL (test.status, GS_EINVAL);
  stop (&test);
}

static void
test_cancel_ends_a_held_stream (void)
{
  test_t test;

  start (&test);
  harness_fault (&test.harness, "{" TARGET "\"fault\":\"cut\",\"after\":5}");
  generate (&test, test.urls[0], GS_ENGINE_NEW, 0, false);
  test.port.cancel (test.port.context, test.urls[0], REQUEST, 1,
                    harness_deadline (false), on_result, &test);
  harness_wait (&test.harness);
  CU_ASSERT_EQUAL (test.status, GS_OK);
  generate (&test, test.urls[0], GS_ENGINE_RESUME, 5, false);
  CU_ASSERT_EQUAL (test.end.status, GS_ENOTFOUND);
  stop (&test);
}

static void
read_report (test_t *test)
{
  test->port.load (test->port.context, test->urls[0], harness_deadline (false),
                   on_report, test);
  harness_wait (&test->harness);
}

static void
test_orders (void)
{
  static const struct
  {
    const char *name;
    bool checks;
    uint64_t fencing;
    gs_status_t expected;
    const char *version; /* reported afterwards */
  } rows[] = {
    { "higher fencing token, checked by the engine", true, 6, GS_OK, "v2" },
    { "same fencing token, checked by the engine", true, 5, GS_OK, "v2" },
    { "lower fencing token, checked by the engine", true, 4, GS_ECONFLICT,
      "v1" },
    { "lower fencing token, ignored by the engine", false, 4, GS_OK, "v2" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      gs_engine_order_t order = { 5, "assistant", "v1", NULL, "serve" };
      test_t test;

      start (&test);
      fake_world_set (test.harness.world,
                      rows[i].checks
                          ? "{\"name\":\"engines\",\"check_fencing\":true}"
                          : "{\"name\":\"engines\",\"check_fencing\":false}");
      for (int turn = 0; turn < 2; turn++)
        {
          test.port.order (test.port.context, test.urls[0], &order,
                           harness_deadline (false), on_result, &test);
          harness_wait (&test.harness);
          order.fencing = rows[i].fencing;
          order.version = "v2";
        }
      harness_check (test.status == rows[i].expected, rows[i].name,
                     gs_status_name (test.status));
      /* A report may be older than the order, so the test waits until the
         engine has computed two more.  */
      test.report.sequence = 0;
      read_report (&test);
      for (uint64_t seen = test.report.sequence;
           test.report.sequence < seen + 2;)
        read_report (&test);
      harness_check (strcmp (test.report.version, rows[i].version) == 0,
                     rows[i].name, test.report.version);
      stop (&test);
    }
}

static void
read_cache_events (test_t *test, uint64_t after)
{
  test->port.cache_events (test->port.context, test->urls[0], after,
                           harness_deadline (false), on_cache_events, test);
  harness_wait (&test->harness);
}

static void
test_cache_events_come_late_and_with_gaps (void)
{
  GString *body = g_string_new ("{\"model\":\"assistant\",\"prompt\":\"");
  gs_engine_call_t call = { .stream = REQUEST,
                            .request_id = REQUEST,
                            .attempt = 1,
                            .deadline = harness_deadline (false) };
  test_t test;

  start (&test);
  fake_world_set (
      test.harness.world,
      "{\"name\":\"engines\",\"cache_lag_ms\":600000,\"cache_gap\":2}");
  for (int i = 0; i < 200; i++)
    g_string_append (body, "household ");
  g_string_append (body, "\",\"max_tokens\":1}");
  call.url = test.urls[0];
  call.body = body->str;
  call.body_length = body->len;
  test.port.generate (test.port.context, &call, on_text, on_end, &test);
  harness_wait (&test.harness);
  read_cache_events (&test, 0);
  CU_ASSERT_EQUAL (test.cache_events, 0);
  fake_world_set (test.harness.world,
                  "{\"name\":\"engines\",\"cache_lag_ms\":0}");
  read_cache_events (&test, 0);
  CU_ASSERT_EQUAL (test.status, GS_OK);
  CU_ASSERT_TRUE (test.gap);
  CU_ASSERT_TRUE (test.cache_events > 0);
  read_cache_events (&test, test.revision);
  CU_ASSERT_FALSE (test.gap);
  CU_ASSERT_EQUAL (test.cache_events, 0);
  g_string_free (body, TRUE);
  stop (&test);
}

static void
test_report_fails_apart (void)
{
  test_t test;

  start (&test);
  harness_fault (&test.harness,
                 "{" TARGET "\"fault\":\"refuse\",\"path\":\"/load\"}");
  read_report (&test);
  CU_ASSERT_EQUAL (test.report.status, GS_EREFUSED);
  read_report (&test);
  CU_ASSERT_EQUAL (test.report.status, GS_OK);
  CU_ASSERT_STRING_EQUAL (test.report.model, "assistant");
  CU_ASSERT_EQUAL (test.report.batch_max, 64);
  stop (&test);
}

int
main (void)
{
  const check_case_t cases[] = {
    { "each fault of a stream has its status", test_each_fault },
    { "a refused connection is reported as unreachable",
      test_refused_connection_is_told_apart },
    { "a cut stream is resumed", test_resume_after_a_cut },
    { "a stream is not resumed at another engine",
      test_resume_elsewhere_is_not_found },
    { "a stream continues with a moved KV cache", test_move_of_the_kv_cache },
    { "a KV cache of another request is rejected",
      test_kv_cache_of_another_request_is_refused },
    { "a cancelled stream cannot be resumed", test_cancel_ends_a_held_stream },
    { "an engine that checks fencing rejects older orders", test_orders },
    { "late cache events and gaps are reported",
      test_cache_events_come_late_and_with_gaps },
    { "a failed load report does not affect the next",
      test_report_fails_apart }
  };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  return CHECK_RUN ("contract of the engine port", cases);
}
