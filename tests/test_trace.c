#include "check.h"

#include "node/trace.h"

#include <string.h>

#define RECORDS 8

static const gs_request_id_t first_id = { 7, 16 };

static gs_request_action_t
make_action (gs_request_action_type_t type, uint64_t sequence,
             const gs_request_spec_t *spec)
{
  gs_request_action_t action = { .type = type, .spec = spec };

  action.id = first_id;
  action.id.sequence = sequence;
  return action;
}

static gs_request_spec_t
make_spec (const char *account)
{
  gs_request_spec_t spec = { 0 };

  g_strlcpy (spec.account, account, sizeof spec.account);
  g_strlcpy (spec.target, "assistant", sizeof spec.target);
  return spec;
}

static json_int_t
account_count (const gs_trace_t *trace, const char *account, const char *name)
{
  json_t *totals = json_object ();
  json_int_t count;

  gs_trace_accounts_add (trace, totals);
  count = json_integer_value (
      json_object_get (json_object_get (totals, account), name));
  json_decref (totals);
  return count;
}

static size_t
open_requests (const gs_trace_t *trace)
{
  json_t *rows = json_array ();
  size_t count;

  gs_trace_requests_append (trace, 0, rows);
  count = json_array_size (rows);
  json_decref (rows);
  return count;
}

static void
a_request_is_open_until_its_end (void)
{
  gs_trace_t *trace = gs_trace_create ("n", RECORDS);
  gs_request_spec_t spec = make_spec ("shop");
  gs_request_action_t action = make_action (GS_ACTION_DISPATCH, 16, &spec);

  gs_trace_action_add (trace, 0, &action);
  action = make_action (GS_ACTION_CALLER_CHUNK, 16, &spec);
  gs_trace_action_add (trace, 0, &action);
  gs_trace_action_add (trace, 0, &action);
  CU_ASSERT_EQUAL (open_requests (trace), 1);
  CU_ASSERT_EQUAL (account_count (trace, "shop", "open"), 1);
  action = make_action (GS_ACTION_CALLER_END, 16, NULL);
  action.outcome = GS_STATE_ANSWERED;
  gs_trace_action_add (trace, 0, &action);
  action = make_action (GS_ACTION_BACKUP_DONE, 16, &spec);
  gs_trace_action_add (trace, 0, &action);
  CU_ASSERT_EQUAL (open_requests (trace), 0);
  CU_ASSERT_EQUAL (account_count (trace, "shop", "open"), 0);
  CU_ASSERT_EQUAL (account_count (trace, "shop", "answered"), 1);
  CU_ASSERT_EQUAL (account_count (trace, "shop", "tokens"), 1);
  gs_trace_destroy (trace);
}

static void
rejections_count_for_the_submitting_account (void)
{
  gs_trace_t *trace = gs_trace_create ("n", RECORDS);
  gs_request_spec_t spec = make_spec ("shop");
  gs_request_action_t action = make_action (GS_ACTION_CALLER_END, 16, NULL);

  action.outcome = GS_STATE_NOT_RUN;
  gs_trace_submission_set (trace, &spec);
  gs_trace_action_add (trace, 0, &action);
  gs_trace_submission_set (trace, NULL);
  CU_ASSERT_EQUAL (account_count (trace, "shop", "not_run"), 1);
  CU_ASSERT_EQUAL (open_requests (trace), 0);
  gs_trace_destroy (trace);
}

static void
the_ring_keeps_the_newest_decisions_in_order (void)
{
  gs_trace_t *trace = gs_trace_create ("n", RECORDS);
  json_t *rows = json_array ();

  for (unsigned i = 0; i < 3 * RECORDS; i++)
    gs_trace_decision_add (trace, i, first_id, i, "route", "upstream=%u", i);
  gs_trace_decisions_append (trace, first_id, rows);
  CU_ASSERT_EQUAL_FATAL (json_array_size (rows), RECORDS);
  for (unsigned i = 0; i < RECORDS; i++)
    CU_ASSERT_EQUAL (json_integer_value (json_object_get (
                         json_array_get (rows, i), "attempt")),
                     2 * RECORDS + i);
  json_decref (rows);
  gs_trace_destroy (trace);
}

static void
decisions_of_other_requests_are_omitted (void)
{
  gs_trace_t *trace = gs_trace_create ("n", RECORDS);
  gs_request_id_t other = { 8, 16 };
  json_t *rows = json_array ();

  gs_trace_decision_add (trace, 1, first_id, 1, "route", "-");
  gs_trace_decision_add (trace, 2, other, 1, "route", "-");
  gs_trace_decisions_append (trace, other, rows);
  CU_ASSERT_EQUAL (json_array_size (rows), 1);
  json_decref (rows);
  gs_trace_destroy (trace);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "a_request_is_open_until_its_end", a_request_is_open_until_its_end },
    { "rejections_count_for_the_submitting_account",
      rejections_count_for_the_submitting_account },
    { "the_ring_keeps_the_newest_decisions_in_order",
      the_ring_keeps_the_newest_decisions_in_order },
    { "decisions_of_other_requests_are_omitted",
      decisions_of_other_requests_are_omitted },
  };

  return CHECK_RUN ("trace", cases);
}
