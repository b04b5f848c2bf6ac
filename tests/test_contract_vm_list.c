/* Contract tests of the VM list port against a fake platform, under each
   fault.  */
#include "port_harness.h"

#include "garnetstack/cloud.h"

#define TARGET "\"target\":\"vms\","

typedef struct
{
  harness_t harness;
  gs_vm_list_port_t port;
  gs_status_t status;
  uint64_t revision;
  size_t count;
  size_t leaving;
  gs_vm_t first;
} test_t;

static void
on_list (void *argument, const gs_vm_list_result_t *result)
{
  test_t *test = argument;

  test->status = result->status;
  test->revision = result->revision;
  test->count = result->count;
  test->leaving = 0;
  for (size_t i = 0; i < result->count; i++)
    test->leaving += result->vms[i].leaving;
  if (result->count > 0)
    test->first = result->vms[0];
  harness_done (&test->harness);
}

static void
start (test_t *test)
{
  memset (test, 0, sizeof *test);
  harness_start (&test->harness, 2, 1);
  gs_vm_list_http_create (&test->port, test->harness.loop, test->harness.url);
}

static void
stop (test_t *test)
{
  harness_stop (&test->harness);
  gs_vm_list_http_destroy (&test->port);
}

static void
read_list (test_t *test, bool brief)
{
  test->port.list (test->port.context, harness_deadline (brief), on_list,
                   test);
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
    size_t count;
  } rows[] = {
    { "no fault", NULL, false, GS_OK, 3 },
    { "entry sent twice", "{" TARGET "\"fault\":\"duplicate\"}", false, GS_OK,
      3 },
    { "entries out of order", "{" TARGET "\"fault\":\"reorder\"}", false,
      GS_OK, 3 },
    { "late response", "{" TARGET "\"fault\":\"late\",\"ms\":50}", false,
      GS_OK, 3 },
    { "response past the deadline",
      "{" TARGET "\"fault\":\"late\",\"ms\":2000}", true, GS_ETIMEOUT, 0 },
    { "no response", "{" TARGET "\"fault\":\"silent\"}", true, GS_ETIMEOUT,
      0 },
    { "slow response", "{" TARGET "\"fault\":\"slow\",\"ms\":50}", false,
      GS_OK, 3 },
    { "call rejected", "{" TARGET "\"fault\":\"refuse\"}", false, GS_EREFUSED,
      0 },
    { "request lost", "{" TARGET "\"fault\":\"lost\"}", false, GS_EUNKNOWN,
      0 },
    { "outage", "{" TARGET "\"fault\":\"outage\"}", false, GS_EUNKNOWN, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      test_t test;

      start (&test);
      harness_fault (&test.harness, rows[i].fault);
      read_list (&test, rows[i].brief);
      harness_check (test.status == rows[i].expected, rows[i].name,
                     gs_status_name (test.status));
      harness_check (test.count == rows[i].count, rows[i].name,
                     "wrong number of VMs");
      stop (&test);
    }
}

static void
test_entries_are_read_whole (void)
{
  test_t test;

  start (&test);
  read_list (&test, false);
  CU_ASSERT_STRING_EQUAL (test.first.name, "assistant-0");
  CU_ASSERT_STRING_EQUAL (test.first.kind, "engine");
  CU_ASSERT_STRING_EQUAL (test.first.target, "assistant");
  CU_ASSERT_STRING_EQUAL (test.first.data_centre, "ne-a");
  CU_ASSERT_STRING_EQUAL (test.first.region, "new-england");
  CU_ASSERT_NOT_EQUAL (test.first.port, 0);
  CU_ASSERT_FALSE (test.first.reclaimable);
  CU_ASSERT_EQUAL (test.first.price_micros, 3000000);
  stop (&test);
}

static void
test_list_lags_behind_a_reclaim (void)
{
  static const char reclaim[]
      = "{\"name\":\"assistant-1\",\"notice_ms\":60000}";
  test_t test;
  uint64_t before;

  start (&test);
  read_list (&test, false);
  before = test.revision;
  harness_fault (&test.harness, "{\"fault\":\"lag\",\"ms\":600000}");
  fake_world_reclaim (test.harness.world, reclaim);
  read_list (&test, false);
  CU_ASSERT_EQUAL (test.leaving, 0);
  CU_ASSERT_EQUAL (test.revision, before);
  harness_fault (&test.harness, "{\"fault\":\"lag\",\"ms\":0}");
  read_list (&test, false);
  CU_ASSERT_EQUAL (test.leaving, 1);
  CU_ASSERT_TRUE (test.revision > before);
  stop (&test);
}

int
main (void)
{
  const check_case_t cases[]
      = { { "each fault has its status", test_each_fault },
          { "all members of an entry are read", test_entries_are_read_whole },
          { "the list lags behind a reclaim",
            test_list_lags_behind_a_reclaim } };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  return CHECK_RUN ("contract of the VM list port", cases);
}
