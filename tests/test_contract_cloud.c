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
  OP_REMOVE_GONE
} op_t;

typedef struct
{
  const char *name;
  const char *fault;
  op_t op;
  bool brief;
  gs_status_t expected;
  unsigned created;    /* listed VMs with the token after the call */
  bool existing_stays; /* whether the existing VM is still listed */
} row_t;

typedef struct
{
  harness_t harness;
  gs_cloud_port_t cloud;
  gs_vm_list_port_t list;
  gs_status_t status;
  char reason[64];
  unsigned created;
  bool existing;
  uint64_t revision;
  size_t notices;
  gs_notice_t notice;
} test_t;

static const row_t rows[] = {
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
  { "remove of a missing VM", NULL, OP_REMOVE_GONE, false, GS_ENOTFOUND, 0,
    true },
  { "remove, response lost", "{" TARGET "\"fault\":\"lost_after_effect\"}",
    OP_REMOVE_EXISTING, false, GS_EUNKNOWN, 0, false },
  { "remove rejected", "{" TARGET "\"fault\":\"refuse\"}", OP_REMOVE_EXISTING,
    false, GS_EREFUSED, 0, true },
};

static void
on_result (void *argument, const gs_cloud_result_t *result)
{
  test_t *test = argument;

  test->status = result->status;
  g_strlcpy (test->reason, result->reason, sizeof test->reason);
  harness_done (&test->harness);
}

static void
on_list (void *argument, const gs_vm_list_result_t *result)
{
  test_t *test = argument;

  test->created = 0;
  test->existing = false;
  for (size_t i = 0; i < result->count; i++)
    {
      test->created += strcmp (result->vms[i].token, TOKEN) == 0;
      test->existing |= strcmp (result->vms[i].name, EXISTING) == 0;
    }
  harness_done (&test->harness);
}

static void
on_notices (void *argument, const gs_notices_t *result)
{
  test_t *test = argument;

  test->status = result->status;
  test->revision = result->revision;
  test->notices = result->count;
  if (result->count > 0)
    test->notice = result->notices[0];
  harness_done (&test->harness);
}

static void
start (test_t *test)
{
  memset (test, 0, sizeof *test);
  harness_start (&test->harness, 2, 0);
  gs_cloud_http_create (&test->cloud, test->harness.loop, test->harness.url);
  gs_vm_list_http_create (&test->list, test->harness.loop, test->harness.url);
}

static void
stop (test_t *test)
{
  harness_stop (&test->harness);
  gs_cloud_http_destroy (&test->cloud);
  gs_vm_list_http_destroy (&test->list);
}

static void
call (test_t *test, const row_t *row)
{
  const gs_vm_request_t wish = { TOKEN, "engine", "assistant", "ne-b", true };
  gs_cloud_port_t *cloud = &test->cloud;
  gs_time_t deadline = harness_deadline (row->brief);

  if (row->op == OP_CREATE)
    cloud->create (cloud->context, &wish, deadline, on_result, test);
  else
    cloud->remove (cloud->context,
                   row->op == OP_REMOVE_EXISTING ? EXISTING : "nobody",
                   deadline, on_result, test);
  harness_wait (&test->harness);
}

static void
read_list (test_t *test)
{
  test->list.list (test->list.context, harness_deadline (false), on_list,
                   test);
  harness_wait (&test->harness);
}

static void
test_each_fault (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const row_t *row = &rows[i];
      test_t test;

      start (&test);
      harness_fault (&test.harness, row->fault);
      call (&test, row);
      harness_check (test.status == row->expected, row->name,
                     gs_status_name (test.status));
      read_list (&test);
      harness_check (test.created == row->created, row->name,
                     "wrong number of VMs");
      harness_check (test.existing == row->existing_stays, row->name,
                     "wrong state of the existing VM");
      stop (&test);
    }
}

static void
test_refusal_has_a_reason (void)
{
  test_t test;

  start (&test);
  harness_fault (&test.harness, rows[1].fault);
  call (&test, &rows[1]);
  CU_ASSERT_STRING_NOT_EQUAL (test.reason, "");
  stop (&test);
}

static void
wait_notices (test_t *test, bool brief)
{
  test->cloud.notices (test->cloud.context, test->revision,
                       harness_deadline (brief), on_notices, test);
  harness_wait (&test->harness);
}

static void
test_notices (void)
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
      test_t test;

      start (&test);
      harness_fault (&test.harness, table[i].fault);
      CU_ASSERT_EQUAL (fake_world_reclaim (
                           test.harness.world,
                           "{\"name\":\"assistant-0\",\"notice_ms\":60000}"),
                       GS_OK);
      CU_ASSERT_EQUAL (fake_world_reclaim (
                           test.harness.world,
                           "{\"name\":\"assistant-1\",\"notice_ms\":60000}"),
                       GS_OK);
      wait_notices (&test, false);
      harness_check (test.status == table[i].expected, table[i].name,
                     gs_status_name (test.status));
      harness_check (test.notices == table[i].count, table[i].name,
                     "wrong number of notices");
      if (table[i].count == 0)
        {
          /* The next call returns the notices that this one missed.  */
          wait_notices (&test, false);
          harness_check (test.notices == 2, table[i].name,
                         "notices were lost");
        }
      harness_check (test.notice.deadline > gs_clock_now (), table[i].name,
                     "the deadline has passed");
      stop (&test);
    }
}

static void
test_reclaim_closes_the_upstream (void)
{
  test_t test;

  start (&test);
  CU_ASSERT_NOT_EQUAL (fake_world_upstream_port (test.harness.world, EXISTING),
                       0);
  fake_world_reclaim (test.harness.world,
                      "{\"name\":\"" EXISTING
                      "\",\"notice_ms\":0,\"announced\":false}");
  CU_ASSERT_EQUAL (fake_world_upstream_port (test.harness.world, EXISTING), 0);
  read_list (&test);
  CU_ASSERT_FALSE (test.existing);
  test.revision = 0;
  /* Without a notice, the call ends with an empty result after its wait.  */
  test.cloud.notices (test.cloud.context, 0,
                      gs_clock_now () + GS_SEC + HARNESS_SHORT, on_notices,
                      &test);
  harness_wait (&test.harness);
  CU_ASSERT_EQUAL (test.status, GS_OK);
  CU_ASSERT_EQUAL (test.notices, 0);
  stop (&test);
}

int
main (void)
{
  const check_case_t cases[]
      = { { "each fault has its status and effect", test_each_fault },
          { "a rejection has a reason", test_refusal_has_a_reason },
          { "each fault of the notices has its status", test_notices },
          { "a reclaim closes the upstream",
            test_reclaim_closes_the_upstream } };

  curl_global_init (CURL_GLOBAL_DEFAULT);
  return CHECK_RUN ("contract of the cloud port", cases);
}
