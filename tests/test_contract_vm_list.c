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
} fixture_t;

static void
on_list (void *argument, const gs_vm_list_result_t *result)
{
  fixture_t *fixture = argument;

  fixture->status = result->status;
  fixture->revision = result->revision;
  fixture->count = result->count;
  fixture->leaving = 0;
  for (size_t i = 0; i < result->count; i++)
    fixture->leaving += result->vms[i].leaving;
  if (result->count > 0)
    fixture->first = result->vms[0];
  harness_done (&fixture->harness);
}

static void
start (fixture_t *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  harness_start (&fixture->harness, 2, 1);
  gs_vm_list_http_create (&fixture->port, fixture->harness.loop,
                          fixture->harness.url);
}

static void
stop (fixture_t *fixture)
{
  harness_stop (&fixture->harness);
  gs_vm_list_http_destroy (&fixture->port);
}

static void
read_list (fixture_t *fixture, bool short_deadline)
{
  fixture->port.list (fixture->port.context, harness_deadline (short_deadline),
                      on_list, fixture);
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
      fixture_t fixture;

      start (&fixture);
      harness_fault (&fixture.harness, rows[i].fault);
      read_list (&fixture, rows[i].short_deadline);
      harness_check (fixture.status == rows[i].expected, rows[i].name,
                     gs_status_name (fixture.status));
      harness_check (fixture.count == rows[i].count, rows[i].name,
                     "wrong number of VMs");
      stop (&fixture);
    }
}

static void
test_all_members_of_an_entry_are_read (void)
{
  fixture_t fixture;

  start (&fixture);
  read_list (&fixture, false);
  CU_ASSERT_STRING_EQUAL (fixture.first.name, "assistant-0");
  CU_ASSERT_STRING_EQUAL (fixture.first.kind, "engine");
  CU_ASSERT_STRING_EQUAL (fixture.first.target, "assistant");
  CU_ASSERT_STRING_EQUAL (fixture.first.data_centre, "ne-a");
  CU_ASSERT_STRING_EQUAL (fixture.first.region, "new-england");
  CU_ASSERT_NOT_EQUAL (fixture.first.port, 0);
  CU_ASSERT_FALSE (fixture.first.reclaimable);
  CU_ASSERT_EQUAL (fixture.first.price_micros, 3000000);
  stop (&fixture);
}

static void
test_list_lags_behind_a_reclaim (void)
{
  static const char reclaim[]
      = "{\"name\":\"assistant-1\",\"notice_ms\":60000}";
  fixture_t fixture;
  uint64_t before;

  start (&fixture);
  read_list (&fixture, false);
  before = fixture.revision;
  harness_fault (&fixture.harness, "{\"fault\":\"lag\",\"ms\":600000}");
  fake_world_vms_reclaim (fixture.harness.world, reclaim);
  read_list (&fixture, false);
  CU_ASSERT_EQUAL (fixture.leaving, 0);
  CU_ASSERT_EQUAL (fixture.revision, before);
  harness_fault (&fixture.harness, "{\"fault\":\"lag\",\"ms\":0}");
  read_list (&fixture, false);
  CU_ASSERT_EQUAL (fixture.leaving, 1);
  CU_ASSERT_TRUE (fixture.revision > before);
  stop (&fixture);
}

int
main (void)
{
  const check_case_t cases[]
      = { { "each fault has its status", test_each_fault },
          { "all members of an entry are read",
            test_all_members_of_an_entry_are_read },
          { "the list lags behind a reclaim",
            test_list_lags_behind_a_reclaim } };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  return CHECK_RUN ("contract of the VM list port", cases);
}
