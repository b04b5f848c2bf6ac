/* Contract tests of the cloud port against a fake cloud, under each fault.  */
#include "port_harness.h"

#include "garnetstack/cloud.h"

#define TOKEN "token-7"
#define EXISTING "assistant-0"
#define TARGET "\"target\":\"cloud\","
#define NOTICES "\"target\":\"notices\","

typedef enum
{
  OP_CREATE,
  OP_REMOVE_EXISTING,
  OP_REMOVE_MISSING
} operation_t;

typedef struct
{
  const char *name;
  const char *fault;
  operation_t op;
  bool short_deadline;
  gs_status_t expected;
  unsigned created;     /* listed VMs with the token after the call */
  bool existing_listed; /* whether the existing VM is still listed */
} fault_case_t;

typedef struct
{
  harness_t harness;
  gs_cloud_port_t cloud;
  gs_vm_list_port_t list;
  gs_status_t status;
  char reason[64];
  unsigned created;
  bool existing_found;
  uint64_t revision;
  size_t notices;
  gs_notice_t notice;
} fixture_t;

static const fault_case_t rows[] = {
  { "create", NULL, OP_CREATE, false, GS_OK, 1, true },
  { "create rejected", "{" TARGET "\"fault\":\"refuse\"}", OP_CREATE, false,
    GS_EREFUSED, 0, true },
  { "create lost", "{" TARGET "\"fault\":\"lost\"}", OP_CREATE, false,
    GS_EUNKNOWN, 0, true },
  { "create, response lost", "{" TARGET "\"fault\":\"lost_after_effect\"}",
    OP_CREATE, false, GS_EUNKNOWN, 1, true },
  { "create, no response", "{" TARGET "\"fault\":\"silent\"}", OP_CREATE, true,
    GS_ETIMEOUT, 1, true },
  { "create, late response", "{" TARGET "\"fault\":\"late\",\"ms\":50}",
    OP_CREATE, false, GS_OK, 1, true },
  { "create, response past the deadline",
    "{" TARGET "\"fault\":\"late\",\"ms\":2000}", OP_CREATE, true, GS_ETIMEOUT,
    1, true },
  { "create, slow response", "{" TARGET "\"fault\":\"slow\",\"ms\":50}",
    OP_CREATE, false, GS_OK, 1, true },
  { "create during an outage", "{" TARGET "\"fault\":\"outage\"}", OP_CREATE,
    false, GS_EUNKNOWN, 0, true },
  { "remove", NULL, OP_REMOVE_EXISTING, false, GS_OK, 0, false },
  { "remove of a missing VM", NULL, OP_REMOVE_MISSING, false, GS_ENOTFOUND, 0,
    true },
  { "remove, response lost", "{" TARGET "\"fault\":\"lost_after_effect\"}",
    OP_REMOVE_EXISTING, false, GS_EUNKNOWN, 0, false },
  { "remove rejected", "{" TARGET "\"fault\":\"refuse\"}", OP_REMOVE_EXISTING,
    false, GS_EREFUSED, 0, true },
};

static void
on_result (void *argument, const gs_cloud_result_t *result)
{
  fixture_t *fixture = argument;

  fixture->status = result->status;
  g_strlcpy (fixture->reason, result->reason, sizeof fixture->reason);
  harness_done (&fixture->harness);
}

static void
on_list (void *argument, const gs_vm_list_result_t *result)
{
  fixture_t *fixture = argument;

  fixture->created = 0;
  fixture->existing_found = false;
  for (size_t i = 0; i < result->count; i++)
    {
      fixture->created += strcmp (result->vms[i].token, TOKEN) == 0;
      fixture->existing_found |= strcmp (result->vms[i].name, EXISTING) == 0;
    }
  harness_done (&fixture->harness);
}

static void
on_notices (void *argument, const gs_notices_t *result)
{
  fixture_t *fixture = argument;

  fixture->status = result->status;
  fixture->revision = result->revision;
  fixture->notices = result->count;
  if (result->count > 0)
    fixture->notice = result->notices[0];
  harness_done (&fixture->harness);
}

static void
start (fixture_t *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  harness_start (&fixture->harness, 2, 0);
  gs_cloud_http_create (&fixture->cloud, fixture->harness.loop,
                        fixture->harness.url);
  gs_vm_list_http_create (&fixture->list, fixture->harness.loop,
                          fixture->harness.url);
}

static void
stop (fixture_t *fixture)
{
  harness_stop (&fixture->harness);
  gs_cloud_http_destroy (&fixture->cloud);
  gs_vm_list_http_destroy (&fixture->list);
}

static void
call (fixture_t *fixture, const fault_case_t *row)
{
  const gs_vm_request_t vm = { TOKEN, "engine", "assistant", "ne-b", true };
  gs_cloud_port_t *cloud = &fixture->cloud;
  gs_time_t deadline = harness_deadline (row->short_deadline);

  if (row->op == OP_CREATE)
    cloud->create (cloud->context, &vm, deadline, on_result, fixture);
  else
    cloud->remove (cloud->context,
                   row->op == OP_REMOVE_EXISTING ? EXISTING : "nobody",
                   deadline, on_result, fixture);
  harness_wait (&fixture->harness);
}

static void
read_list (fixture_t *fixture)
{
  fixture->list.list (fixture->list.context, harness_deadline (false), on_list,
                      fixture);
  harness_wait (&fixture->harness);
}

static void
test_each_fault (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const fault_case_t *row = &rows[i];
      fixture_t fixture;

      start (&fixture);
      harness_fault (&fixture.harness, row->fault);
      call (&fixture, row);
      harness_check (fixture.status == row->expected, row->name,
                     gs_status_name (fixture.status));
      read_list (&fixture);
      harness_check (fixture.created == row->created, row->name,
                     "wrong number of VMs");
      harness_check (fixture.existing_found == row->existing_listed, row->name,
                     "wrong state of the existing VM");
      stop (&fixture);
    }
}

static void
test_rejection_has_a_reason (void)
{
  fixture_t fixture;

  start (&fixture);
  harness_fault (&fixture.harness, rows[1].fault);
  call (&fixture, &rows[1]);
  CU_ASSERT_STRING_NOT_EQUAL (fixture.reason, "");
  stop (&fixture);
}

static void
wait_notices (fixture_t *fixture, bool short_deadline)
{
  fixture->cloud.notices (fixture->cloud.context, fixture->revision,
                          harness_deadline (short_deadline), on_notices,
                          fixture);
  harness_wait (&fixture->harness);
}

static void
test_each_notice_fault (void)
{
  static const struct
  {
    const char *name;
    const char *fault;
    gs_status_t expected;
    size_t count;
  } table[] = {
    { "no fault", NULL, GS_OK, 2 },
    { "notice sent twice", "{" NOTICES "\"fault\":\"duplicate\"}", GS_OK, 3 },
    { "notices out of order", "{" NOTICES "\"fault\":\"reorder\"}", GS_OK, 2 },
    { "late response", "{" NOTICES "\"fault\":\"late\",\"ms\":50}", GS_OK, 2 },
    { "slow response", "{" NOTICES "\"fault\":\"slow\",\"ms\":50}", GS_OK, 2 },
    { "call rejected", "{" NOTICES "\"fault\":\"refuse\"}", GS_EREFUSED, 0 },
    { "response lost", "{" NOTICES "\"fault\":\"lost_after_effect\"}",
      GS_EUNKNOWN, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (table); i++)
    {
      fixture_t fixture;

      start (&fixture);
      harness_fault (&fixture.harness, table[i].fault);
      CU_ASSERT_EQUAL (fake_world_vms_reclaim (
                           fixture.harness.world,
                           "{\"name\":\"assistant-0\",\"notice_ms\":60000}"),
                       GS_OK);
      CU_ASSERT_EQUAL (fake_world_vms_reclaim (
                           fixture.harness.world,
                           "{\"name\":\"assistant-1\",\"notice_ms\":60000}"),
                       GS_OK);
      wait_notices (&fixture, false);
      harness_check (fixture.status == table[i].expected, table[i].name,
                     gs_status_name (fixture.status));
      harness_check (fixture.notices == table[i].count, table[i].name,
                     "wrong number of notices");
      if (table[i].count == 0)
        {
          /* The next call returns the notices that this one missed.  */
          wait_notices (&fixture, false);
          harness_check (fixture.notices == 2, table[i].name,
                         "notices were lost");
        }
      harness_check (fixture.notice.deadline > gs_clock_now (), table[i].name,
                     "the deadline has passed");
      stop (&fixture);
    }
}

static void
test_reclaim_closes_the_upstream (void)
{
  fixture_t fixture;

  start (&fixture);
  CU_ASSERT_NOT_EQUAL (
      fake_world_upstream_port (fixture.harness.world, EXISTING), 0);
  fake_world_vms_reclaim (fixture.harness.world,
                          "{\"name\":\"" EXISTING
                          "\",\"notice_ms\":0,\"announced\":false}");
  CU_ASSERT_EQUAL (fake_world_upstream_port (fixture.harness.world, EXISTING),
                   0);
  read_list (&fixture);
  CU_ASSERT_FALSE (fixture.existing_found);
  fixture.revision = 0;
  /* Without a notice, the call ends with an empty result after its wait.  */
  fixture.cloud.notices (fixture.cloud.context, 0,
                         gs_clock_now () + GS_SEC + HARNESS_SHORT_TIMEOUT,
                         on_notices, &fixture);
  harness_wait (&fixture.harness);
  CU_ASSERT_EQUAL (fixture.status, GS_OK);
  CU_ASSERT_EQUAL (fixture.notices, 0);
  stop (&fixture);
}

int
main (void)
{
  const check_case_t cases[] = {
    { "each fault has its status and effect", test_each_fault },
    { "a rejection has a reason", test_rejection_has_a_reason },
    { "each fault of the notices has its status", test_each_notice_fault },
    { "a reclaim closes the upstream", test_reclaim_closes_the_upstream }
  };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  return CHECK_RUN ("contract of the cloud port", cases);
}
