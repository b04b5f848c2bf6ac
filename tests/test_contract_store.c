/* Contract tests of the store port against a fake object API, under each
   fault.  */
#include "port_harness.h"

#include "garnetstack/store.h"

#define KEY "things/a"
#define OTHER "things/b"

typedef enum
{
  OP_GET,
  OP_PUT,
  OP_REMOVE,
  OP_LIST,
  OP_WATCH
} operation_t;

typedef struct
{
  const char *name;
  const char *fault;
  operation_t op;
  const char *key;
  uint64_t version; /* if_version of a write, after of a watch */
  bool short_deadline;
  gs_status_t expected;
  const char *value_after; /* value of the key after the call, NULL for none */
} fault_case_t;

typedef struct
{
  harness_t harness;
  gs_store_port_t port;
  gs_status_t status;
  uint64_t version;
  char *body;
} fixture_t;

/* The store holds KEY = "old" at version 1.  */
static const fault_case_t rows[] = {
  { "get", NULL, OP_GET, KEY, 0, false, GS_OK, "old" },
  { "get of a missing key", NULL, OP_GET, OTHER, 0, false, GS_ENOTFOUND,
    NULL },
  { "create", NULL, OP_PUT, OTHER, 0, false, GS_OK, "new" },
  { "create of an existing key", NULL, OP_PUT, KEY, 0, false, GS_ECONFLICT,
    "old" },
  { "update", NULL, OP_PUT, KEY, 1, false, GS_OK, "new" },
  { "update of a stale version", NULL, OP_PUT, KEY, 7, false, GS_ECONFLICT,
    "old" },
  { "remove", NULL, OP_REMOVE, KEY, 1, false, GS_OK, NULL },
  { "remove of a stale version", NULL, OP_REMOVE, KEY, 7, false, GS_ECONFLICT,
    "old" },
  { "get rejected", "{\"target\":\"store\",\"fault\":\"refuse\"}", OP_GET, KEY,
    0, false, GS_EREFUSED, "old" },
  { "put rejected", "{\"target\":\"store\",\"fault\":\"refuse\"}", OP_PUT, KEY,
    1, false, GS_EREFUSED, "old" },
  { "put lost", "{\"target\":\"store\",\"fault\":\"lost\"}", OP_PUT, KEY, 1,
    false, GS_EUNKNOWN, "old" },
  { "put, response lost",
    "{\"target\":\"store\",\"fault\":\"lost_after_effect\"}", OP_PUT, KEY, 1,
    false, GS_EUNKNOWN, "new" },
  { "create, response lost",
    "{\"target\":\"store\",\"fault\":\"lost_after_effect\"}", OP_PUT, OTHER, 0,
    false, GS_EUNKNOWN, "new" },
  { "remove, response lost",
    "{\"target\":\"store\",\"fault\":\"lost_after_effect\"}", OP_REMOVE, KEY,
    1, false, GS_EUNKNOWN, NULL },
  { "put, no response", "{\"target\":\"store\",\"fault\":\"silent\"}", OP_PUT,
    KEY, 1, true, GS_ETIMEOUT, "new" },
  { "put, response past the deadline",
    "{\"target\":\"store\",\"fault\":\"late\",\"ms\":2000}", OP_PUT, KEY, 1,
    true, GS_ETIMEOUT, "new" },
  { "put, late response",
    "{\"target\":\"store\",\"fault\":\"late\",\"ms\":50}", OP_PUT, KEY, 1,
    false, GS_OK, "new" },
  { "get, slow response",
    "{\"target\":\"store\",\"fault\":\"slow\",\"ms\":50}", OP_GET, KEY, 0,
    false, GS_OK, "old" },
  { "get, no response", "{\"target\":\"store\",\"fault\":\"silent\"}", OP_GET,
    KEY, 0, true, GS_ETIMEOUT, "old" },
  { "put during an outage", "{\"target\":\"store\",\"fault\":\"outage\"}",
    OP_PUT, KEY, 1, false, GS_EUNKNOWN, "old" },
  { "list", NULL, OP_LIST, "things/", 0, false, GS_OK, NULL },
  { "list during an outage", "{\"target\":\"store\",\"fault\":\"outage\"}",
    OP_LIST, "things/", 0, false, GS_EUNKNOWN, NULL },
  { "watch from an earlier revision", NULL, OP_WATCH, "things/", 0, false,
    GS_OK, NULL },
  { "watch, change sent twice",
    "{\"target\":\"store\",\"fault\":\"duplicate\"}", OP_WATCH, "things/", 0,
    false, GS_OK, NULL },
  { "watch, connection cut", "{\"target\":\"store\",\"fault\":\"lost\"}",
    OP_WATCH, "things/", 0, false, GS_EUNKNOWN, NULL },
  { "watch of a compacted revision",
    "{\"target\":\"store\",\"fault\":\"compact\"}", OP_WATCH, "things/", 0,
    false, GS_ELIMIT, NULL },
  { "watch above the store's revision", NULL, OP_WATCH, "things/", 9, false,
    GS_ELIMIT, NULL },
  { "get from a store restored to an older state",
    "{\"target\":\"store\",\"fault\":\"restore\",\"back\":1}", OP_GET, KEY, 0,
    false, GS_ENOTFOUND, NULL },
};

static void
on_result (void *argument, const gs_store_result_t *result)
{
  fixture_t *fixture = argument;

  fixture->status = result->status;
  fixture->version = result->version;
  g_free (fixture->body);
  fixture->body = g_strndup (result->body, result->length);
  harness_done (&fixture->harness);
}

static void
start (fixture_t *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  harness_start (&fixture->harness, 0, 0);
  gs_store_http_create (&fixture->port, fixture->harness.loop,
                        fixture->harness.url);
  fixture->port.put (fixture->port.context, KEY, GS_STORE_ABSENT, "old", 3,
                     harness_deadline (false), on_result, fixture);
  harness_wait (&fixture->harness);
  CU_ASSERT_EQUAL (fixture->status, GS_OK);
}

static void
stop (fixture_t *fixture)
{
  harness_stop (&fixture->harness);
  gs_store_http_destroy (&fixture->port);
  g_free (fixture->body);
}

static void
call (fixture_t *fixture, const fault_case_t *row)
{
  gs_store_port_t *port = &fixture->port;
  gs_time_t deadline = harness_deadline (row->short_deadline);

  switch (row->op)
    {
    case OP_GET:
      port->get (port->context, row->key, deadline, on_result, fixture);
      break;
    case OP_PUT:
      port->put (port->context, row->key, row->version, "new", 3, deadline,
                 on_result, fixture);
      break;
    case OP_REMOVE:
      port->remove (port->context, row->key, row->version, deadline, on_result,
                    fixture);
      break;
    case OP_LIST:
      port->list (port->context, row->key, deadline, on_result, fixture);
      break;
    case OP_WATCH:
      port->watch (port->context, row->key, row->version, deadline, on_result,
                   fixture);
      break;
    }
  harness_wait (&fixture->harness);
}

static void
check_value (fixture_t *fixture, const fault_case_t *row)
{
  harness_fault (&fixture->harness, "{\"fault\":\"clear\"}");
  fixture->port.get (fixture->port.context, row->key, harness_deadline (false),
                     on_result, fixture);
  harness_wait (&fixture->harness);
  if (row->value_after == NULL)
    harness_check (fixture->status == GS_ENOTFOUND, row->name, "key exists");
  else
    harness_check (g_strcmp0 (fixture->body, row->value_after) == 0, row->name,
                   "wrong value after the call");
}

static void
test_each_fault (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      fixture_t fixture;

      start (&fixture);
      harness_fault (&fixture.harness, rows[i].fault);
      call (&fixture, &rows[i]);
      harness_check (fixture.status == rows[i].expected, rows[i].name,
                     gs_status_name (fixture.status));
      if (rows[i].op == OP_LIST || rows[i].op == OP_WATCH)
        harness_check (rows[i].expected != GS_OK
                           || strstr (fixture.body, KEY) != NULL,
                       rows[i].name, "the key is not in the response");
      else
        check_value (&fixture, &rows[i]);
      stop (&fixture);
    }
}

static void
test_conflict_returns_the_current_version (void)
{
  const fault_case_t row
      = { "", NULL, OP_PUT, KEY, 5, false, GS_ECONFLICT, NULL };
  fixture_t fixture;

  start (&fixture);
  call (&fixture, &row);
  CU_ASSERT_EQUAL (fixture.status, GS_ECONFLICT);
  CU_ASSERT_EQUAL (fixture.version, 1);
  stop (&fixture);
}

static void
test_unreachable_store (void)
{
  const fault_case_t row = { "", NULL, OP_PUT, KEY, 1, false, GS_OK, NULL };
  gs_store_port_t port;
  fixture_t fixture;

  start (&fixture);
  port = fixture.port;
  /* Port 1 of loopback refuses connections.  */
  gs_store_http_create (&fixture.port, fixture.harness.loop,
                        "http://127.0.0.1:1");
  call (&fixture, &row);
  CU_ASSERT_EQUAL (fixture.status, GS_EUNREACHABLE);
  gs_store_http_destroy (&fixture.port);
  fixture.port = port;
  stop (&fixture);
}

/* A read leaves a pooled connection behind, and then the response to a write
   is lost.  If the write were sent again on another connection, its success
   would turn into a conflict.  */
static void
test_write_is_not_sent_twice (void)
{
  const fault_case_t get = { "", NULL, OP_GET, KEY, 0, false, GS_OK, NULL };
  const fault_case_t put = { "", NULL, OP_PUT, KEY, 1, false, GS_OK, NULL };
  fixture_t fixture;

  start (&fixture);
  call (&fixture, &get);
  harness_fault (&fixture.harness,
                 "{\"target\":\"store\",\"fault\":\"lost_after_effect\"}");
  call (&fixture, &put);
  CU_ASSERT_EQUAL (fixture.status, GS_EUNKNOWN);
  call (&fixture, &get);
  CU_ASSERT_EQUAL (fixture.version, 2);
  stop (&fixture);
}

int
main (void)
{
  const check_case_t cases[]
      = { { "each fault has its status and effect", test_each_fault },
          { "a conflict returns the current version",
            test_conflict_returns_the_current_version },
          { "an unreachable store is reported as such",
            test_unreachable_store },
          { "a write is not sent twice", test_write_is_not_sent_twice } };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  return CHECK_RUN ("contract of the store port", cases);
}
