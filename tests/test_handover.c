#include "check.h"

#include "garnetstack/backup.h"

#include <string.h>

#define SELF 1
#define PREVIOUS_HOLDER 2
#define BACKUP 3
#define OTHER 4

typedef struct
{
  uint64_t backups[2]; /* the second is chosen if the first is avoided */
  gs_request_core_t *core;
  GArray *actions;
  gs_time_t now;
  gs_request_id_t id;
  bool no_route;
} test_node_t;

static gs_status_t
admit (void *context, gs_time_t now, const gs_request_spec_t *spec,
       gs_time_t *retry_after)
{
  return GS_OK;
}

/* Chooses engine "a", or "b" if "a" is avoided.  */
static gs_status_t
route (void *context, gs_time_t now, gs_request_id_t id,
       const gs_request_spec_t *spec, uint32_t attempt, const char *avoid,
       gs_route_t *out)
{
  const test_node_t *node = context;

  memset (out, 0, sizeof *out);
  if (node->no_route)
    return GS_EREFUSED;
  out->upstream[0] = avoid != NULL && avoid[0] == 'a' ? 'b' : 'a';
  return GS_OK;
}

static void
route_done (void *context, gs_time_t now, const char *upstream,
            gs_status_t status)
{
}

static uint64_t
backup (void *context, gs_request_id_t id, uint64_t avoid)
{
  const test_node_t *node = context;

  return node->backups[node->backups[0] == avoid];
}

static void
node_open (test_node_t *node)
{
  gs_request_port_t port = { node, admit, route, route_done, backup, NULL };

  memset (node, 0, sizeof *node);
  node->now = GS_SEC;
  node->backups[0] = BACKUP;
  node->backups[1] = OTHER;
  node->actions = g_array_new (FALSE, FALSE, sizeof (gs_request_action_t));
  gs_request_core_create (&node->core, SELF, 0, &port);
}

static void
node_close (test_node_t *node)
{
  gs_request_core_destroy (node->core);
  g_array_unref (node->actions);
}

static void
step (test_node_t *node, gs_request_event_t event)
{
  event.id = node->id;
  g_array_set_size (node->actions, 0);
  gs_request_core_step (node->core, node->now, &event, node->actions, NULL);
}

static const gs_request_action_t *
find_action (const test_node_t *node, gs_request_action_type_t type)
{
  for (guint i = 0; i < node->actions->len; i++)
    if (g_array_index (node->actions, gs_request_action_t, i).type == type)
      return &g_array_index (node->actions, gs_request_action_t, i);
  return NULL;
}

static int
outcome (const test_node_t *node)
{
  const gs_request_action_t *end = find_action (node, GS_ACTION_CALLER_END);

  return end != NULL ? (int)end->outcome : -1;
}

static gs_request_spec_t
make_spec (bool call)
{
  gs_request_spec_t spec
      = { .kind = call ? GS_REQUEST_CALL : GS_REQUEST_GENERATE,
          .idempotent = !call,
          .tokens_max = 100,
          .deadline = 20 * GS_SEC };

  spec.body = g_bytes_new (NULL, 0);
  return spec;
}

static void
submit (test_node_t *node, bool call)
{
  gs_request_spec_t spec = make_spec (call);
  static char caller;
  gs_request_event_t event
      = { .type = GS_EVENT_SUBMIT, .spec = &spec, .caller = &caller };

  gs_request_core_step (node->core, node->now, &event, node->actions,
                        &node->id);
  step (node,
        (gs_request_event_t){ .type = GS_EVENT_BACKUP_ACK, .peer = BACKUP });
}

static void
adopt (test_node_t *node, bool call, const gs_request_progress_t *progress)
{
  gs_request_spec_t spec = make_spec (call);

  node->id = (gs_request_id_t){ PREVIOUS_HOLDER, 16 };
  step (node, (gs_request_event_t){ .type = GS_EVENT_ADOPT,
                                    .spec = &spec,
                                    .peer = PREVIOUS_HOLDER,
                                    .progress = progress });
}

static void
deliver_claim_read (test_node_t *node, uint64_t holder)
{
  gs_claim_t claim = { node->id, holder, 0 };
  char text[GS_CLAIM_BYTES];

  gs_claim_format (text, &claim);
  step (node, (gs_request_event_t){ .type = GS_EVENT_CLAIM_READ,
                                    .version = 5,
                                    .data = text,
                                    .length = strlen (text) });
}

static void
tick_after_claim_timeout (test_node_t *node)
{
  node->now += 2 * GS_SEC;
  step (node, (gs_request_event_t){ .type = GS_EVENT_TICK });
}

/* Schedules of models/request.pml, at the process that takes the call over.  A
   process that runs a call without a handover could run it a second time.  */
static void
a_call_is_run_after_takeover_only_if_it_was_handed_over (void)
{
  static const struct
  {
    bool handed_over;
    bool dispatched;
    uint64_t version;  /* of the previous holder's claim, 0 if none */
    gs_status_t write; /* result of writing the claim */
    uint64_t holder;   /* read after a failed write, 0 if not read */
    int outcome;       /* -1: dispatched, -2: the claim is written again */
  } rows[] = {
    { true, false, 0, GS_OK, 0, -1 },
    { true, false, 4, GS_OK, 0, -1 },
    { true, false, 4, GS_EUNKNOWN, SELF, -1 },
    { true, false, 4, GS_EUNKNOWN, PREVIOUS_HOLDER, -2 },
    { true, false, 4, GS_ECONFLICT, OTHER, GS_STATE_UNKNOWN },
    { true, false, 0, GS_EREFUSED, 0, GS_STATE_NOT_RUN },
    { false, false, 0, GS_OK, 0, GS_STATE_NOT_RUN },
    { false, false, 0, GS_EUNKNOWN, SELF, GS_STATE_NOT_RUN },
    { false, false, 0, GS_ECONFLICT, PREVIOUS_HOLDER, GS_STATE_UNKNOWN },
    { false, false, 0, GS_EREFUSED, 0, GS_STATE_UNKNOWN },
    { false, false, 4, GS_OK, 0, GS_STATE_UNKNOWN },
    { false, true, 0, GS_OK, 0, GS_STATE_UNKNOWN },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      test_node_t node;
      gs_request_progress_t progress = { .handed_over = rows[i].handed_over,
                                         .dispatched = rows[i].dispatched,
                                         .claim_version = rows[i].version };

      node_open (&node);
      adopt (&node, true, &progress);
      if (find_action (&node, GS_ACTION_CLAIM) != NULL)
        {
          CU_ASSERT_EQUAL (find_action (&node, GS_ACTION_CLAIM)->version,
                           rows[i].version);
          step (&node, (gs_request_event_t){ .type = GS_EVENT_CLAIM,
                                             .status = rows[i].write });
        }
      if (rows[i].holder != 0)
        deliver_claim_read (&node, rows[i].holder);
      if (rows[i].write == GS_EREFUSED)
        tick_after_claim_timeout (&node);
      if (rows[i].outcome >= 0)
        CU_ASSERT_EQUAL (outcome (&node), rows[i].outcome)
      CU_ASSERT_EQUAL (find_action (&node, GS_ACTION_DISPATCH) != NULL,
                       rows[i].outcome == -1);
      CU_ASSERT_EQUAL (find_action (&node, GS_ACTION_CLAIM) != NULL,
                       rows[i].outcome == -2);
      node_close (&node);
    }
}

static void
a_call_that_may_be_running_is_not_handed_over (void)
{
  test_node_t node;

  node_open (&node);
  submit (&node, true);
  step (&node, (gs_request_event_t){ .type = GS_EVENT_CLAIM, .version = 1 });
  CU_ASSERT_PTR_NOT_NULL (find_action (&node, GS_ACTION_DISPATCH));
  step (&node, (gs_request_event_t){ .type = GS_EVENT_LEAVE,
                                     .deadline = 5 * GS_SEC });
  CU_ASSERT_PTR_NULL (find_action (&node, GS_ACTION_BACKUP_PUT));
  step (&node, (gs_request_event_t){ .type = GS_EVENT_END, .attempt = 1 });
  CU_ASSERT_EQUAL (outcome (&node), GS_STATE_ANSWERED);
  node_close (&node);
}

static void
a_call_whose_claim_is_being_written_is_not_handed_over (void)
{
  test_node_t node;

  node_open (&node);
  submit (&node, true);
  step (&node, (gs_request_event_t){ .type = GS_EVENT_LEAVE,
                                     .deadline = 9 * GS_SEC });
  CU_ASSERT_PTR_NULL (find_action (&node, GS_ACTION_BACKUP_PUT));
  step (&node,
        (gs_request_event_t){ .type = GS_EVENT_CLAIM, .status = GS_EREFUSED });
  node.now += 100 * GS_MSEC;
  step (&node, (gs_request_event_t){ .type = GS_EVENT_TICK });
  deliver_claim_read (&node, SELF);
  CU_ASSERT_PTR_NOT_NULL (find_action (&node, GS_ACTION_DISPATCH));
  node_close (&node);
}

static void
a_handed_over_request_is_not_dispatched_and_ends_if_not_taken_over (void)
{
  static const gs_request_state_t outcomes[]
      = { GS_STATE_FAILED, GS_STATE_UNKNOWN };

  for (int call = 0; call < 2; call++)
    {
      test_node_t node;

      node_open (&node);
      node.no_route = true;
      submit (&node, call == 1);
      if (call == 1)
        step (&node,
              (gs_request_event_t){ .type = GS_EVENT_CLAIM, .version = 6 });
      step (&node, (gs_request_event_t){ .type = GS_EVENT_LEAVE,
                                         .deadline = 3 * GS_SEC });
      CU_ASSERT_EQUAL (
          find_action (&node, GS_ACTION_BACKUP_PUT)->progress.claim_version,
          call == 1 ? 6 : 0);
      node.no_route = false;
      while (outcome (&node) < 0 && node.now < 9 * GS_SEC)
        {
          node.now += 100 * GS_MSEC;
          step (&node, (gs_request_event_t){ .type = GS_EVENT_TICK });
          CU_ASSERT_PTR_NULL (find_action (&node, GS_ACTION_DISPATCH));
        }
      CU_ASSERT_EQUAL (outcome (&node), (int)outcomes[call]);
      CU_ASSERT_TRUE (node.now < 3 * GS_SEC);
      node_close (&node);
    }
}

static void
another_node_is_asked_to_take_over_and_is_reported_to_the_caller (void)
{
  test_node_t node;

  node_open (&node);
  submit (&node, false);
  step (&node, (gs_request_event_t){ .type = GS_EVENT_LEAVE,
                                     .deadline = 9 * GS_SEC });
  CU_ASSERT_TRUE (
      find_action (&node, GS_ACTION_BACKUP_PUT)->progress.handed_over);
  node.now += 300 * GS_MSEC;
  step (&node, (gs_request_event_t){ .type = GS_EVENT_TICK });
  CU_ASSERT_EQUAL (find_action (&node, GS_ACTION_BACKUP_PUT)->peer, OTHER);
  CU_ASSERT_TRUE (find_action (&node, GS_ACTION_BACKUP_PUT)->progress.shared);
  step (&node, (gs_request_event_t){ .type = GS_EVENT_BACKUP_ACK,
                                     .peer = OTHER,
                                     .taken_over = true });
  CU_ASSERT_EQUAL (outcome (&node), GS_STATE_MOVED);
  CU_ASSERT_EQUAL (find_action (&node, GS_ACTION_CALLER_END)->peer, OTHER);
  node_close (&node);
}

static void
a_request_without_a_copy_gets_one_when_a_node_connects (void)
{
  test_node_t node;

  node_open (&node);
  submit (&node, false);
  node.backups[0] = 0;
  node.backups[1] = 0;
  step (&node,
        (gs_request_event_t){ .type = GS_EVENT_PEER_LOST, .peer = BACKUP });
  CU_ASSERT_PTR_NULL (find_action (&node, GS_ACTION_BACKUP_PUT));
  node.backups[0] = OTHER;
  node.now += 300 * GS_MSEC;
  step (&node, (gs_request_event_t){ .type = GS_EVENT_TICK });
  CU_ASSERT_EQUAL (find_action (&node, GS_ACTION_BACKUP_PUT)->peer, OTHER);
  node_close (&node);
}

static void
an_answer_continues_in_the_mode_that_recomputes_least (void)
{
  test_node_t node;
  gs_request_event_t chunk
      = { .type = GS_EVENT_CHUNK, .attempt = 1, .data = "t", .length = 1 };
  gs_request_event_t end
      = { .type = GS_EVENT_END, .attempt = 1, .status = GS_EUNKNOWN };
  gs_request_event_t leaving
      = { .type = GS_EVENT_UPSTREAM_LEAVING, .data = "b" };

  node_open (&node);
  submit (&node, false);
  step (&node, chunk);
  step (&node, end);
  CU_ASSERT_EQUAL (find_action (&node, GS_ACTION_DISPATCH)->mode,
                   GS_ATTEMPT_MODE_RESUME);
  end.attempt = 2;
  end.status = GS_ENOTFOUND;
  step (&node, end);
  CU_ASSERT_EQUAL (find_action (&node, GS_ACTION_DISPATCH)->mode,
                   GS_ATTEMPT_MODE_PREFILL);
  CU_ASSERT_EQUAL (find_action (&node, GS_ACTION_DISPATCH)->route.upstream[0],
                   'b');
  step (&node, leaving);
  CU_ASSERT_EQUAL (find_action (&node, GS_ACTION_MOVE_KV)->route.upstream[0],
                   'a');
  step (&node,
        (gs_request_event_t){ .type = GS_EVENT_KV_MOVED, .attempt = 3 });
  CU_ASSERT_EQUAL (find_action (&node, GS_ACTION_DISPATCH)->mode,
                   GS_ATTEMPT_MODE_MOVED);
  leaving.data = "a";
  step (&node, leaving);
  step (&node, (gs_request_event_t){ .type = GS_EVENT_KV_MOVED,
                                     .attempt = 4,
                                     .status = GS_ENOTFOUND });
  CU_ASSERT_EQUAL (find_action (&node, GS_ACTION_DISPATCH)->mode,
                   GS_ATTEMPT_MODE_PREFILL);
  node_close (&node);
}

static gs_backup_action_t
step_backup (gs_backup_core_t *core, gs_time_t now, gs_backup_event_t event,
             guint *count)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (gs_backup_action_t));
  gs_backup_action_t last = { 0 };

  gs_backup_core_step (core, now, &event, actions);
  *count = actions->len;
  if (actions->len > 0)
    last = g_array_index (actions, gs_backup_action_t, actions->len - 1);
  g_array_unref (actions);
  return last;
}

static guint
put_copy (gs_backup_core_t *core, uint64_t sequence, bool handed_over,
          bool leaving)
{
  gs_request_spec_t spec = make_spec (false);
  gs_request_progress_t progress = { .handed_over = handed_over };
  guint count;

  step_backup (core, 0,
               (gs_backup_event_t){ .type = GS_BACKUP_PUT,
                                    .id = { PREVIOUS_HOLDER, sequence },
                                    .peer = PREVIOUS_HOLDER,
                                    .spec = &spec,
                                    .progress = &progress,
                                    .leaving = leaving },
               &count);
  return count;
}

static void
copies_are_bounded_and_handovers_rejected_during_shutdown (void)
{
  gs_backup_core_t *core;

  gs_backup_core_create (&core);
  CU_ASSERT_EQUAL (put_copy (core, 1, true, true), 0);
  CU_ASSERT_EQUAL (put_copy (core, 1, true, false), 2);
  CU_ASSERT_EQUAL (gs_backup_core_count (core), 0);
  for (uint64_t i = 0; i < GS_BACKUP_COPIES_MAX; i++)
    CU_ASSERT_EQUAL (put_copy (core, i, false, false), 1);
  CU_ASSERT_EQUAL (put_copy (core, GS_BACKUP_COPIES_MAX, false, false), 0);
  gs_backup_core_destroy (core);
}

static void
a_copy_that_lacks_tokens_is_not_kept_as_an_answer (void)
{
  static const uint32_t ends[] = { 1 };
  gs_request_progress_t progress
      = { .text = "t", .text_length = 1, .ends = ends, .tokens = 1 };
  gs_backup_event_t done = { .type = GS_BACKUP_DONE,
                             .id = { PREVIOUS_HOLDER, 1 },
                             .peer = PREVIOUS_HOLDER,
                             .progress = &progress,
                             .outcome = GS_STATE_ANSWERED,
                             .reason = "answered" };

  for (uint32_t offset = 0; offset < 2; offset++)
    {
      gs_backup_core_t *core;
      gs_backup_action_t last;
      guint count;

      gs_backup_core_create (&core);
      put_copy (core, 1, false, false);
      done.offset = offset;
      last = step_backup (core, 0, done, &count);
      CU_ASSERT_EQUAL (count, offset == 0 ? 1 : 0);
      if (offset == 0)
        CU_ASSERT_EQUAL (last.type, GS_BACKUP_ACTION_KEEP);
      gs_backup_core_destroy (core);
    }
}

static void
requests_of_a_process_that_reconnects_are_not_taken_over (void)
{
  gs_backup_core_t *core;
  gs_backup_event_t lost
      = { .type = GS_BACKUP_PEER_LOST, .peer = PREVIOUS_HOLDER };
  gs_backup_event_t reconnected
      = { .type = GS_BACKUP_PEER_RECONNECTED, .peer = PREVIOUS_HOLDER };
  gs_backup_event_t tick = { .type = GS_BACKUP_TICK };
  guint count;

  gs_backup_core_create (&core);
  put_copy (core, 1, false, false);
  step_backup (core, GS_SEC, lost, &count);
  step_backup (core, GS_SEC, reconnected, &count);
  step_backup (core, 3 * GS_SEC, tick, &count);
  CU_ASSERT_EQUAL (count, 0);
  step_backup (core, 3 * GS_SEC, lost, &count);
  step_backup (core, 3 * GS_SEC + GS_TAKEOVER_DELAY - 1, tick, &count);
  CU_ASSERT_EQUAL (count, 0);
  CU_ASSERT_EQUAL (
      step_backup (core, 3 * GS_SEC + GS_TAKEOVER_DELAY, tick, &count).type,
      GS_BACKUP_ACTION_TAKE_OVER);
  CU_ASSERT_EQUAL (count, 1);
  gs_backup_core_destroy (core);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "a_call_is_run_after_takeover_only_if_it_was_handed_over",
      a_call_is_run_after_takeover_only_if_it_was_handed_over },
    { "a_call_that_may_be_running_is_not_handed_over",
      a_call_that_may_be_running_is_not_handed_over },
    { "a_call_whose_claim_is_being_written_is_not_handed_over",
      a_call_whose_claim_is_being_written_is_not_handed_over },
    { "a_handed_over_request_is_not_dispatched_and_ends_if_not_taken_over",
      a_handed_over_request_is_not_dispatched_and_ends_if_not_taken_over },
    { "another_node_is_asked_to_take_over_and_is_reported_to_the_caller",
      another_node_is_asked_to_take_over_and_is_reported_to_the_caller },
    { "a_request_without_a_copy_gets_one_when_a_node_connects",
      a_request_without_a_copy_gets_one_when_a_node_connects },
    { "an_answer_continues_in_the_mode_that_recomputes_least",
      an_answer_continues_in_the_mode_that_recomputes_least },
    { "copies_are_bounded_and_handovers_rejected_during_shutdown",
      copies_are_bounded_and_handovers_rejected_during_shutdown },
    { "a_copy_that_lacks_tokens_is_not_kept_as_an_answer",
      a_copy_that_lacks_tokens_is_not_kept_as_an_answer },
    { "requests_of_a_process_that_reconnects_are_not_taken_over",
      requests_of_a_process_that_reconnects_are_not_taken_over },
  };

  return CHECK_RUN ("handover", cases);
}
