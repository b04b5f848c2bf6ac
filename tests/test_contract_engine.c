/* Contract tests of the engine port against a fake engine: streams under each
   fault, resumption, moves of the KV cache, load reports and orders.  */
#include "port_harness.h"
#include "surplus_upstream.h"

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
  unsigned reordered;
  bool received[TOKENS];
  bool wrong_token; /* received a token that the prompt does not give */
  uint32_t last_offset;
  gs_status_t status;
  char *body;
  gs_engine_report_t report;
  size_t cache_events;
  bool gap;
  uint64_t revision;
} fixture_t;

static void
on_text (void *argument, uint32_t offset, const char *text, size_t length)
{
  fixture_t *fixture = argument;
  char expected[FAKE_TOKEN_BYTES];

  fake_token (expected, PROMPT, offset);
  if (offset >= TOKENS || strlen (expected) != length
      || memcmp (expected, text, length) != 0)
    {
      fixture->wrong_token = true;
      return;
    }
  fixture->repeated += fixture->received[offset];
  fixture->reordered += fixture->events > 0 && offset < fixture->last_offset;
  fixture->received[offset] = true;
  fixture->last_offset = offset;
  fixture->events++;
}

static void
on_end (void *argument, const gs_engine_end_t *end)
{
  fixture_t *fixture = argument;

  fixture->end = *end;
  harness_done (&fixture->harness);
}

static void
on_result (void *argument, const gs_engine_result_t *result)
{
  fixture_t *fixture = argument;

  fixture->status = result->status;
  g_free (fixture->body);
  fixture->body = g_strndup (result->body, result->length);
  harness_done (&fixture->harness);
}

static void
on_report (void *argument, const gs_engine_report_t *report)
{
  fixture_t *fixture = argument;

  fixture->report = *report;
  harness_done (&fixture->harness);
}

static void
on_cache_events (void *argument, const gs_block_events_t *events)
{
  fixture_t *fixture = argument;

  fixture->status = events->status;
  fixture->cache_events = events->count;
  fixture->gap = events->gap;
  fixture->revision = events->revision;
  harness_done (&fixture->harness);
}

static void
start (fixture_t *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  harness_start (&fixture->harness, 2, 0);
  gs_engine_http_create (&fixture->port, fixture->harness.loop);
  for (int i = 0; i < 2; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "assistant-%d", i);
      fixture->urls[i] = g_strdup_printf (
          "http://127.0.0.1:%u",
          fake_world_upstream_port (fixture->harness.world, name));
    }
}

static void
stop (fixture_t *fixture)
{
  harness_stop (&fixture->harness);
  gs_engine_http_destroy (&fixture->port);
  g_free (fixture->urls[0]);
  g_free (fixture->urls[1]);
  g_free (fixture->body);
}

static void
generate (fixture_t *fixture, const char *url, gs_engine_mode_t mode,
          uint32_t from, bool short_deadline)
{
  const gs_engine_call_t call
      = { .url = url,
          .stream_id = REQUEST,
          .request_id = REQUEST,
          .attempt = mode == GS_ENGINE_NEW ? 1 : 2,
          .mode = mode,
          .resume_from = from,
          .body = BODY,
          .body_length = strlen (BODY),
          .deadline = harness_deadline (short_deadline) };

  fixture->port.generate (fixture->port.context, &call, on_text, on_end,
                          fixture);
  harness_wait (&fixture->harness);
}

static unsigned
count_received (const fixture_t *fixture)
{
  unsigned count = 0;

  for (int i = 0; i < TOKENS; i++)
    count += fixture->received[i];
  return count;
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
    unsigned tokens;
    unsigned repeated;
    unsigned reordered;
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
      fixture_t fixture;

      start (&fixture);
      harness_fault (&fixture.harness, rows[i].fault);
      generate (&fixture, fixture.urls[0], GS_ENGINE_NEW, 0,
                rows[i].short_deadline);
      harness_check (fixture.end.status == rows[i].expected, rows[i].name,
                     gs_status_name (fixture.end.status));
      harness_check (count_received (&fixture) == rows[i].tokens, rows[i].name,
                     "wrong number of tokens");
      harness_check (fixture.repeated == rows[i].repeated, rows[i].name,
                     "wrong number of repeated tokens");
      harness_check (fixture.reordered == rows[i].reordered, rows[i].name,
                     "wrong order");
      harness_check (!fixture.wrong_token, rows[i].name,
                     "a token of another prompt");
      stop (&fixture);
    }
}

static void
test_refused_connection_is_unreachable (void)
{
  fixture_t fixture;

  start (&fixture);
  generate (&fixture, "http://127.0.0.1:1", GS_ENGINE_NEW, 0, false);
  CU_ASSERT_EQUAL (fixture.end.status, GS_EUNREACHABLE);
  stop (&fixture);
}

/* Guards against a stream that waits for its whole deadline for a connection
   to an engine that is cut off, and reaches no other one.  */
static void
test_a_connection_that_does_not_open_is_unreachable (void)
{
  gs_engine_call_t call = { .stream_id = REQUEST,
                            .request_id = REQUEST,
                            .attempt = 1,
                            .body = BODY,
                            .body_length = strlen (BODY) };
  harness_full_port_t port;
  fixture_t fixture;

  start (&fixture);
  harness_full_port_open (&port);
  call.url = port.url;
  call.deadline = harness_deadline (false);
  call.progress_deadline = harness_deadline (true);
  fixture.port.generate (fixture.port.context, &call, on_text, on_end,
                         &fixture);
  harness_wait (&fixture.harness);
  CU_ASSERT_EQUAL (fixture.end.status, GS_EUNREACHABLE);
  CU_ASSERT (gs_clock_now () < call.deadline - HARNESS_TIMEOUT / 2);
  stop (&fixture);
  harness_full_port_close (&port);
}

static void
test_resume_after_a_cut (void)
{
  fixture_t fixture;

  start (&fixture);
  harness_fault (&fixture.harness,
                 "{" TARGET "\"fault\":\"cut\",\"after\":5}");
  generate (&fixture, fixture.urls[0], GS_ENGINE_NEW, 0, false);
  CU_ASSERT_EQUAL (count_received (&fixture), 5);
  generate (&fixture, fixture.urls[0], GS_ENGINE_RESUME, 5, false);
  CU_ASSERT_EQUAL (fixture.end.status, GS_OK);
  CU_ASSERT_EQUAL (count_received (&fixture), TOKENS);
  CU_ASSERT_EQUAL (fixture.repeated, 0);
  stop (&fixture);
}

static void
test_resume_at_another_engine_is_not_found (void)
{
  fixture_t fixture;

  start (&fixture);
  generate (&fixture, fixture.urls[0], GS_ENGINE_NEW, 0, false);
  generate (&fixture, fixture.urls[1], GS_ENGINE_RESUME, 5, false);
  CU_ASSERT_EQUAL (fixture.end.status, GS_ENOTFOUND);
  generate (&fixture, fixture.urls[1], GS_ENGINE_MOVED, 5, false);
  CU_ASSERT_EQUAL (fixture.end.status, GS_ENOTFOUND);
  stop (&fixture);
}

static void
test_move_of_the_kv_cache (void)
{
  gs_engine_port_t *port;
  fixture_t fixture;
  char *kv;

  start (&fixture);
  port = &fixture.port;
  harness_fault (&fixture.harness,
                 "{" TARGET "\"fault\":\"cut\",\"after\":5}");
  generate (&fixture, fixture.urls[0], GS_ENGINE_NEW, 0, false);
  port->kv_get (port->context, fixture.urls[0], REQUEST,
                harness_deadline (false), on_result, &fixture);
  harness_wait (&fixture.harness);
  CU_ASSERT_EQUAL (fixture.status, GS_OK);
  kv = g_strdup (fixture.body);
  port->kv_put (port->context, fixture.urls[1], REQUEST, kv, strlen (kv),
                harness_deadline (false), on_result, &fixture);
  harness_wait (&fixture.harness);
  CU_ASSERT_EQUAL (fixture.status, GS_OK);
  generate (&fixture, fixture.urls[1], GS_ENGINE_MOVED, 5, false);
  CU_ASSERT_EQUAL (fixture.end.status, GS_OK);
  CU_ASSERT_EQUAL (count_received (&fixture), TOKENS);
  CU_ASSERT_EQUAL (fixture.repeated, 0);
  g_free (kv);
  stop (&fixture);
}

static void
test_kv_cache_of_another_request_is_rejected (void)
{
  static const char kv[] = "{\"request_id\":\"other\",\"tokens\":5}";
  fixture_t fixture;

  start (&fixture);
  fixture.port.kv_put (fixture.port.context, fixture.urls[0], REQUEST, kv,
                       strlen (kv), harness_deadline (false), on_result,
                       &fixture);
  harness_wait (&fixture.harness);
  CU_ASSERT_EQUAL (fixture.status, GS_EINVAL);
  stop (&fixture);
}

static void
test_cancelled_stream_is_not_found (void)
{
  fixture_t fixture;

  start (&fixture);
  harness_fault (&fixture.harness,
                 "{" TARGET "\"fault\":\"cut\",\"after\":5}");
  generate (&fixture, fixture.urls[0], GS_ENGINE_NEW, 0, false);
  fixture.port.cancel (fixture.port.context, fixture.urls[0], REQUEST, 1,
                       harness_deadline (false), on_result, &fixture);
  harness_wait (&fixture.harness);
  CU_ASSERT_EQUAL (fixture.status, GS_OK);
  generate (&fixture, fixture.urls[0], GS_ENGINE_RESUME, 5, false);
  CU_ASSERT_EQUAL (fixture.end.status, GS_ENOTFOUND);
  stop (&fixture);
}

static void
read_report (fixture_t *fixture)
{
  fixture->port.load (fixture->port.context, fixture->urls[0],
                      harness_deadline (false), on_report, fixture);
  harness_wait (&fixture->harness);
}

static void
test_order_fencing (void)
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
      fixture_t fixture;

      start (&fixture);
      fake_world_upstreams_set (
          fixture.harness.world,
          rows[i].checks ? "{\"name\":\"engines\",\"check_fencing\":true}"
                         : "{\"name\":\"engines\",\"check_fencing\":false}");
      for (int turn = 0; turn < 2; turn++)
        {
          fixture.port.order (fixture.port.context, fixture.urls[0], &order,
                              harness_deadline (false), on_result, &fixture);
          harness_wait (&fixture.harness);
          order.fencing = rows[i].fencing;
          order.version = "v2";
        }
      harness_check (fixture.status == rows[i].expected, rows[i].name,
                     gs_status_name (fixture.status));
      /* A report may be older than the order, so the test waits until the
         engine has computed two more.  */
      fixture.report.sequence = 0;
      read_report (&fixture);
      for (uint64_t first = fixture.report.sequence;
           fixture.report.sequence < first + 2;)
        read_report (&fixture);
      harness_check (strcmp (fixture.report.version, rows[i].version) == 0,
                     rows[i].name, fixture.report.version);
      stop (&fixture);
    }
}

static void
read_cache_events (fixture_t *fixture, uint64_t after)
{
  fixture->port.cache_events (fixture->port.context, fixture->urls[0], after,
                              harness_deadline (false), on_cache_events,
                              fixture);
  harness_wait (&fixture->harness);
}

static void
test_late_cache_events_and_gaps (void)
{
  GString *body = g_string_new ("{\"model\":\"assistant\",\"prompt\":\"");
  gs_engine_call_t call = { .stream_id = REQUEST,
                            .request_id = REQUEST,
                            .attempt = 1,
                            .deadline = harness_deadline (false) };
  fixture_t fixture;

  start (&fixture);
  fake_world_upstreams_set (
      fixture.harness.world,
      "{\"name\":\"engines\",\"cache_lag_ms\":600000,\"cache_gap\":2}");
  for (int i = 0; i < 200; i++)
    g_string_append (body, "household ");
  g_string_append (body, "\",\"max_tokens\":1}");
  call.url = fixture.urls[0];
  call.body = body->str;
  call.body_length = body->len;
  fixture.port.generate (fixture.port.context, &call, on_text, on_end,
                         &fixture);
  harness_wait (&fixture.harness);
  read_cache_events (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.cache_events, 0);
  fake_world_upstreams_set (fixture.harness.world,
                            "{\"name\":\"engines\",\"cache_lag_ms\":0}");
  read_cache_events (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.status, GS_OK);
  CU_ASSERT_TRUE (fixture.gap);
  CU_ASSERT_TRUE (fixture.cache_events > 0);
  read_cache_events (&fixture, fixture.revision);
  CU_ASSERT_FALSE (fixture.gap);
  CU_ASSERT_EQUAL (fixture.cache_events, 0);
  g_string_free (body, TRUE);
  stop (&fixture);
}

static void
test_failed_report_does_not_affect_the_next (void)
{
  fixture_t fixture;

  start (&fixture);
  harness_fault (&fixture.harness,
                 "{" TARGET "\"fault\":\"refuse\",\"path\":\"/load\"}");
  read_report (&fixture);
  CU_ASSERT_EQUAL (fixture.report.status, GS_EREFUSED);
  read_report (&fixture);
  CU_ASSERT_EQUAL (fixture.report.status, GS_OK);
  CU_ASSERT_STRING_EQUAL (fixture.report.model, "assistant");
  CU_ASSERT_EQUAL (fixture.report.batch_max, 64);
  stop (&fixture);
}

#define SURPLUS_CALLS 40

/* An engine whose answers name the request.  It rejects each second stream if
   told so.  */
typedef struct
{
  bool rejects;
} naming_engine_t;

static bool
is_rejected (const naming_engine_t *engine, const char *request_id)
{
  return engine->rejects
         && g_ascii_strtoull (request_id + 2, NULL, 10) % 2 == 0;
}

static char *
make_answer (int http_status, const char *body)
{
  return g_strdup_printf ("HTTP/1.1 %d X\r\nContent-Length: %zu\r\n\r\n%s",
                          http_status, strlen (body), body);
}

/* Answers a stream with one token, its request's id, and an export with its
   path.  */
static char *
answer_by_name (void *context, const raw_message_t *request)
{
  char **words = g_strsplit (request->first_line, " ", 3);
  char *id = raw_message_header (request, "X-Request-Id");
  char *body;
  int http_status = 200;
  char *answer;

  if (id != NULL && is_rejected (context, id))
    {
      http_status = 503;
      body = g_strdup ("full");
    }
  else if (id != NULL)
    body = g_strdup_printf (
        "data: {\"choices\":[{\"index\":0,\"text\":\"%s\"}],\"offset\":0}\n"
        "data: [DONE]\n",
        id);
  else
    body = g_strdup (words[1]);
  answer = make_answer (http_status, body);
  g_free (body);
  g_free (id);
  g_strfreev (words);
  return answer;
}

typedef struct
{
  fixture_t fixture;
  naming_engine_t engine;
  surplus_upstream_t *upstream;
  char *url;
  GString *text; /* of the latest stream */
} surplus_fixture_t;

static void
surplus_start (surplus_fixture_t *surplus, bool rejects)
{
  start (&surplus->fixture);
  surplus->engine = (naming_engine_t){ rejects };
  surplus_upstream_create (&surplus->upstream, answer_by_name,
                           &surplus->engine);
  surplus->url = g_strdup_printf ("http://127.0.0.1:%u",
                                  surplus_upstream_port (surplus->upstream));
  surplus->text = g_string_new (NULL);
}

static void
surplus_stop (surplus_fixture_t *surplus)
{
  stop (&surplus->fixture);
  surplus_upstream_destroy (surplus->upstream);
  g_string_free (surplus->text, TRUE);
  g_free (surplus->url);
}

static void
append_text (void *argument, uint32_t offset, const char *text, size_t length)
{
  surplus_fixture_t *surplus = argument;

  g_string_append_len (surplus->text, text, (gssize)length);
}

static void
on_surplus_end (void *argument, const gs_engine_end_t *end)
{
  surplus_fixture_t *surplus = argument;

  on_end (&surplus->fixture, end);
}

static void
generate_named (surplus_fixture_t *surplus, const char *id)
{
  const gs_engine_call_t call = { .url = surplus->url,
                                  .stream_id = id,
                                  .request_id = id,
                                  .attempt = 1,
                                  .body = BODY,
                                  .body_length = strlen (BODY),
                                  .deadline = harness_deadline (false) };

  g_string_truncate (surplus->text, 0);
  surplus->fixture.port.generate (surplus->fixture.port.context, &call,
                                  append_text, on_surplus_end, surplus);
  harness_wait (&surplus->fixture.harness);
}

/* Guards against a caller that gets the text of another caller's stream, and
   against a stream that is called not run, and runs: an engine has written its
   answer to an earlier stream once more on a connection that both used.  */
static void
test_copies_of_answers_end_no_stream (void)
{
  for (int rejects = 0; rejects < 2; rejects++)
    {
      unsigned foreign = 0;
      unsigned wrong_end = 0;
      surplus_fixture_t surplus;

      surplus_start (&surplus, rejects);
      for (unsigned i = 0; i < SURPLUS_CALLS; i++)
        {
          char *id = g_strdup_printf ("r-%u", i);
          bool rejected = is_rejected (&surplus.engine, id);

          generate_named (&surplus, id);
          foreign
              += surplus.text->len > 0 && strcmp (surplus.text->str, id) != 0;
          wrong_end += surplus.fixture.end.status
                       != (rejected ? GS_EUNREACHABLE : GS_OK);
          g_free (id);
        }
      printf ("\n  rejects %d: of %u streams %u have another one's text, %u "
              "a wrong end ",
              rejects, SURPLUS_CALLS, foreign, wrong_end);
      CU_ASSERT_EQUAL (foreign, 0);
      CU_ASSERT_EQUAL (wrong_end, 0);
      CU_ASSERT_EQUAL (surplus_upstream_arrivals (surplus.upstream),
                       SURPLUS_CALLS);
      surplus_stop (&surplus);
    }
}

/* Guards against a stream that goes on from the KV cache of another one.  */
static void
test_copies_of_answers_are_no_kv_cache (void)
{
  unsigned foreign = 0;
  surplus_fixture_t surplus;

  surplus_start (&surplus, false);
  for (unsigned i = 0; i < SURPLUS_CALLS; i++)
    {
      char *id = g_strdup_printf ("r-%u", i);
      char *path = g_strdup_printf ("/kv/%s", id);

      surplus.fixture.port.kv_get (surplus.fixture.port.context, surplus.url,
                                   id, harness_deadline (false), on_result,
                                   &surplus.fixture);
      harness_wait (&surplus.fixture.harness);
      CU_ASSERT_EQUAL (surplus.fixture.status, GS_OK);
      foreign += strcmp (surplus.fixture.body, path) != 0;
      g_free (path);
      g_free (id);
    }
  printf ("\n  %u of %u exports are those of other streams ", foreign,
          SURPLUS_CALLS);
  CU_ASSERT_EQUAL (foreign, 0);
  surplus_stop (&surplus);
}

int
main (void)
{
  const check_case_t cases[]
      = { { "each fault of a stream has its status", test_each_fault },
          { "a refused connection is reported as unreachable",
            test_refused_connection_is_unreachable },
          { "a connection that does not open is reported as unreachable",
            test_a_connection_that_does_not_open_is_unreachable },
          { "a cut stream is resumed", test_resume_after_a_cut },
          { "a stream is not resumed at another engine",
            test_resume_at_another_engine_is_not_found },
          { "a stream continues with a moved KV cache",
            test_move_of_the_kv_cache },
          { "a KV cache of another request is rejected",
            test_kv_cache_of_another_request_is_rejected },
          { "a cancelled stream cannot be resumed",
            test_cancelled_stream_is_not_found },
          { "an engine that checks fencing rejects older orders",
            test_order_fencing },
          { "late cache events and gaps are reported",
            test_late_cache_events_and_gaps },
          { "a failed load report does not affect the next",
            test_failed_report_does_not_affect_the_next },
          { "copies of answers end no stream",
            test_copies_of_answers_end_no_stream },
          { "copies of answers are no KV cache",
            test_copies_of_answers_are_no_kv_cache } };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  return CHECK_RUN ("contract of the engine port", cases);
}
