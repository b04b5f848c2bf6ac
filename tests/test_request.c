#include "check.h"

#include "garnetstack/request.h"

#include <string.h>

#define PEER 7

typedef struct
{
  uint64_t backup;
  gs_status_t route;    /* status that route returns */
  unsigned route_count; /* number of calls of route */
  unsigned ended_count; /* number of calls of ended */
} fake_port_t;

static gs_status_t
admit (void *context, gs_time_t now, const gs_request_spec_t *spec,
       gs_time_t *retry_after)
{
  return GS_OK;
}

static gs_status_t
route (void *context, gs_time_t now, gs_request_id_t id,
       const gs_request_spec_t *spec, uint32_t attempt, const char *avoid,
       gs_route_t *out)
{
  fake_port_t *fake = context;

  fake->route_count++;
  strcpy (out->upstream, "u");
  strcpy (out->url, "http://127.0.0.1:1");
  return fake->route;
}

static void
route_done (void *context, gs_time_t now, const char *upstream,
            gs_status_t status)
{
}

static uint64_t
backup (void *context, gs_request_id_t id, uint64_t avoid)
{
  fake_port_t *fake = context;

  return fake->backup == avoid ? 0 : fake->backup;
}

static void
ended (void *context, gs_time_t now, gs_request_id_t id,
       const gs_request_spec_t *spec, uint32_t tokens)
{
  fake_port_t *fake = context;

  fake->ended_count++;
}

static gs_request_core_t *
make_core (fake_port_t *fake)
{
  gs_request_port_t port = { fake, admit, route, route_done, backup, ended };
  gs_request_core_t *core;

  gs_request_core_create (&core, 1, 0, &port);
  return core;
}

static gs_request_id_t
submit (gs_request_core_t *core, GArray *actions, bool idempotent)
{
  gs_request_spec_t spec
      = { .kind = idempotent ? GS_REQUEST_GENERATE : GS_REQUEST_CALL,
          .idempotent = idempotent,
          .deadline = 10 * GS_SEC };
  static char caller;
  gs_request_event_t event
      = { .type = GS_EVENT_SUBMIT, .spec = &spec, .caller = &caller };
  gs_request_id_t id;

  spec.body = g_bytes_new (NULL, 0);
  gs_request_core_step (core, 0, &event, actions, &id);
  return id;
}

static void
step (gs_request_core_t *core, GArray *actions, gs_request_event_t event,
      gs_request_id_t id)
{
  event.id = id;
  g_array_set_size (actions, 0);
  gs_request_core_step (core, 0, &event, actions, NULL);
}

static int
last_action_type (const GArray *actions)
{
  return actions->len == 0 ? -1
                           : (int)g_array_index (actions, gs_request_action_t,
                                                 actions->len - 1)
                                 .type;
}

static gs_request_state_t
last_outcome (const GArray *actions)
{
  return g_array_index (actions, gs_request_action_t, actions->len - 1)
      .outcome;
}

static void
a_request_is_dispatched_only_after_its_backup_acknowledged (void)
{
  fake_port_t fake = { .backup = PEER };
  gs_request_core_t *core = make_core (&fake);
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (gs_request_action_t));
  gs_request_id_t id = submit (core, actions, true);

  CU_ASSERT_EQUAL (last_action_type (actions), GS_ACTION_BACKUP_PUT);
  CU_ASSERT_EQUAL (fake.route_count, 0);
  step (core, actions,
        (gs_request_event_t){ .type = GS_EVENT_BACKUP_ACK, .peer = PEER + 1 },
        id);
  CU_ASSERT_EQUAL (actions->len, 0);
  step (core, actions,
        (gs_request_event_t){ .type = GS_EVENT_BACKUP_ACK, .peer = PEER }, id);
  CU_ASSERT_EQUAL (last_action_type (actions), GS_ACTION_DISPATCH);
  g_array_unref (actions);
  gs_request_core_destroy (core);
}

static void
late_and_duplicate_chunks_are_dropped (void)
{
  fake_port_t fake = { .backup = 0 };
  gs_request_core_t *core = make_core (&fake);
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (gs_request_action_t));
  gs_request_id_t id = submit (core, actions, true);
  gs_request_event_t chunk
      = { .type = GS_EVENT_CHUNK, .attempt = 1, .data = "a" };

  step (core, actions, chunk, id);
  CU_ASSERT_EQUAL (last_action_type (actions), GS_ACTION_CALLER_CHUNK);
  step (core, actions, chunk, id);
  CU_ASSERT_EQUAL (actions->len, 0);
  chunk.offset = 1;
  chunk.attempt = 2;
  step (core, actions, chunk, id);
  CU_ASSERT_EQUAL (actions->len, 0);
  g_array_unref (actions);
  gs_request_core_destroy (core);
}

/* Claim object that the store returns to a read.  */
typedef enum
{
  CLAIM_ABSENT,
  CLAIM_OURS,
  CLAIM_OTHER,
  CLAIM_NO_ANSWER
} stored_claim_t;

static void
deliver_claim_read (gs_request_core_t *core, GArray *actions,
                    gs_request_id_t id, stored_claim_t stored)
{
  static const gs_status_t statuses[]
      = { GS_ENOTFOUND, GS_OK, GS_OK, GS_EREFUSED };
  gs_claim_t claim = { id, 1, 0 };
  char text[GS_CLAIM_BYTES];
  gs_request_event_t event = { .type = GS_EVENT_CLAIM_READ, .version = 3 };

  if (stored == CLAIM_OTHER)
    claim.id.sequence += 64;
  gs_claim_format (text, &claim);
  event.status = statuses[stored];
  event.data = text;
  event.length = strlen (text);
  step (core, actions, event, id);
}

static void
a_claim_write_of_unknown_outcome_is_read_back (void)
{
  static const struct
  {
    gs_status_t write;
    stored_claim_t stored;
    int next; /* action after the read, -1: none */
  } rows[] = {
    { GS_EUNKNOWN, CLAIM_OURS, GS_ACTION_DISPATCH },
    { GS_ETIMEOUT, CLAIM_OURS, GS_ACTION_DISPATCH },
    { GS_EUNKNOWN, CLAIM_ABSENT, GS_ACTION_CLAIM },
    { GS_EUNKNOWN, CLAIM_OTHER, GS_ACTION_ASK_HOLDER },
    { GS_ECONFLICT, CLAIM_OTHER, GS_ACTION_ASK_HOLDER },
    { GS_ECONFLICT, CLAIM_OURS, GS_ACTION_DISPATCH },
    { GS_EUNKNOWN, CLAIM_NO_ANSWER, -1 },
  };

  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      fake_port_t fake = { .backup = 0 };
      gs_request_core_t *core = make_core (&fake);
      GArray *actions
          = g_array_new (FALSE, FALSE, sizeof (gs_request_action_t));
      gs_request_id_t id = submit (core, actions, false);

      step (core, actions,
            (gs_request_event_t){ .type = GS_EVENT_CLAIM,
                                  .status = rows[i].write },
            id);
      CU_ASSERT_EQUAL (last_action_type (actions), GS_ACTION_CLAIM_READ);
      deliver_claim_read (core, actions, id, rows[i].stored);
      CU_ASSERT_EQUAL (last_action_type (actions), rows[i].next);
      g_array_unref (actions);
      gs_request_core_destroy (core);
    }
}

/* Sends a tick after the time for which a call waits for its claim.
   @return the outcome, RECEIVED if the request did not end */
static gs_request_state_t
tick_after_claim_timeout (gs_request_core_t *core, GArray *actions,
                          gs_request_id_t id)
{
  gs_request_event_t tick = { .type = GS_EVENT_TICK };

  g_array_set_size (actions, 0);
  gs_request_core_step (core, 2 * GS_SEC, &tick, actions, NULL);
  return actions->len > 0 ? last_outcome (actions) : GS_STATE_RECEIVED;
}

static void
the_outcome_of_a_call_that_is_not_idempotent_depends_on_the_fault (void)
{
  static const struct
  {
    gs_status_t claim;
    gs_status_t end;
    int outcome; /* -1: dispatched again */
  } rows[] = {
    { GS_OK, GS_OK, GS_STATE_ANSWERED },
    { GS_OK, GS_EUNREACHABLE, -1 },
    { GS_OK, GS_EUNKNOWN, GS_STATE_UNKNOWN },
    { GS_OK, GS_ETIMEOUT, GS_STATE_UNKNOWN },
    { GS_EREFUSED, GS_OK, GS_STATE_NOT_RUN },
    { GS_EUNREACHABLE, GS_OK, GS_STATE_NOT_RUN },
  };

  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      fake_port_t fake = { .backup = 0 };
      gs_request_core_t *core = make_core (&fake);
      GArray *actions
          = g_array_new (FALSE, FALSE, sizeof (gs_request_action_t));
      gs_request_id_t id = submit (core, actions, false);

      CU_ASSERT_EQUAL (last_action_type (actions), GS_ACTION_CLAIM);
      CU_ASSERT_EQUAL (fake.route_count, 0);
      step (core, actions,
            (gs_request_event_t){ .type = GS_EVENT_CLAIM,
                                  .status = rows[i].claim },
            id);
      if (rows[i].claim == GS_OK)
        step (core, actions,
              (gs_request_event_t){
                  .type = GS_EVENT_END, .attempt = 1, .status = rows[i].end },
              id);
      if (rows[i].claim != GS_OK)
        CU_ASSERT_EQUAL ((int)tick_after_claim_timeout (core, actions, id),
                         rows[i].outcome)
      else if (rows[i].outcome < 0)
        CU_ASSERT_EQUAL (last_action_type (actions), GS_ACTION_DISPATCH)
      else
        CU_ASSERT_EQUAL ((int)last_outcome (actions), rows[i].outcome)
      CU_ASSERT_EQUAL (fake.ended_count, rows[i].outcome < 0 ? 0 : 1);
      g_array_unref (actions);
      gs_request_core_destroy (core);
    }
}

/* The call is run only if the earlier call with the same key did not run.  */
static void
the_outcome_of_an_earlier_call_decides_a_repeated_key (void)
{
  static const struct
  {
    gs_status_t reply;
    gs_request_state_t earlier_outcome;
    int outcome; /* -1: the claim of the earlier call is overwritten */
  } rows[] = {
    { GS_OK, GS_STATE_ANSWERED, GS_STATE_ANSWERED },
    { GS_OK, GS_STATE_UNKNOWN, GS_STATE_UNKNOWN },
    { GS_OK, GS_STATE_NOT_RUN, -1 },
    { GS_ENOTFOUND, GS_STATE_NOT_RUN, GS_STATE_UNKNOWN },
  };

  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      fake_port_t fake = { .backup = 0 };
      gs_request_core_t *core = make_core (&fake);
      GArray *actions
          = g_array_new (FALSE, FALSE, sizeof (gs_request_action_t));
      gs_request_id_t id = submit (core, actions, false);

      step (core, actions,
            (gs_request_event_t){ .type = GS_EVENT_CLAIM,
                                  .status = GS_ECONFLICT },
            id);
      deliver_claim_read (core, actions, id, CLAIM_OTHER);
      step (core, actions,
            (gs_request_event_t){ .type = GS_EVENT_HOLDER_REPLY,
                                  .status = rows[i].reply,
                                  .outcome = rows[i].earlier_outcome },
            id);
      if (rows[i].outcome >= 0)
        CU_ASSERT_EQUAL ((int)last_outcome (actions), rows[i].outcome)
      else
        {
          CU_ASSERT_EQUAL (last_action_type (actions), GS_ACTION_CLAIM);
          CU_ASSERT_EQUAL (
              g_array_index (actions, gs_request_action_t, 0).version, 3);
        }
      CU_ASSERT_EQUAL (fake.route_count, 0);
      g_array_unref (actions);
      gs_request_core_destroy (core);
    }
}

static void
a_caller_gets_the_tokens_from_its_offset_on (void)
{
  fake_port_t fake = { .backup = 0 };
  gs_request_core_t *core = make_core (&fake);
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (gs_request_action_t));
  gs_request_id_t id = submit (core, actions, true);
  gs_request_event_t chunk
      = { .type = GS_EVENT_CHUNK, .attempt = 1, .data = "ab", .length = 2 };
  gs_request_event_t end = { .type = GS_EVENT_END, .attempt = 1, .offset = 3 };
  static char second;
  gs_request_event_t attach
      = { .type = GS_EVENT_ATTACH, .offset = 1, .caller = &second };

  attach.digest = gs_text_digest_extend (0, "ab", 2);

  for (chunk.offset = 0; chunk.offset < 3; chunk.offset++)
    step (core, actions, chunk, id);
  step (core, actions, end, id);
  CU_ASSERT_EQUAL (gs_request_core_open_count (core), 0);
  step (core, actions, attach, id);
  CU_ASSERT_EQUAL (actions->len, 4);
  CU_ASSERT_EQUAL (g_array_index (actions, gs_request_action_t, 1).offset, 1);
  CU_ASSERT_EQUAL (last_outcome (actions), GS_STATE_ANSWERED);
  attach.digest++;
  step (core, actions, attach, id);
  CU_ASSERT_EQUAL (actions->len, 1);
  CU_ASSERT_EQUAL (last_outcome (actions), GS_STATE_FAILED);
  g_array_unref (actions);
  gs_request_core_destroy (core);
}

static void
the_content_type_of_a_call_is_returned (void)
{
  fake_port_t fake = { .backup = 0 };
  gs_request_core_t *core = make_core (&fake);
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (gs_request_action_t));
  gs_request_id_t id = submit (core, actions, false);
  const gs_request_action_t *action;

  step (core, actions, (gs_request_event_t){ .type = GS_EVENT_CLAIM }, id);
  CU_ASSERT_EQUAL (last_action_type (actions), GS_ACTION_DISPATCH);
  step (core, actions,
        (gs_request_event_t){ .type = GS_EVENT_END,
                              .attempt = 1,
                              .http_status = 200,
                              .content_type = "text/csv",
                              .data = "a,b",
                              .length = 3 },
        id);
  action = &g_array_index (actions, gs_request_action_t, actions->len - 1);
  CU_ASSERT_EQUAL_FATAL (action->type, GS_ACTION_CALLER_END);
  CU_ASSERT_STRING_EQUAL (action->content_type, "text/csv");
  g_array_unref (actions);
  gs_request_core_destroy (core);
}

/* Submits requests until one is rejected for the bytes of their bodies, then
   ends all of them with answers that exceed the bound of kept answers.  */
static void
bodies_and_ended_answers_are_bounded (void)
{
  static char body[1 << 20];
  fake_port_t fake = { .backup = 0 };
  gs_request_core_t *core = make_core (&fake);
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (gs_request_action_t));
  gs_request_id_t id;
  gs_request_state_t state;
  size_t submitted = 0;

  do
    {
      gs_request_spec_t spec
          = { .kind = GS_REQUEST_CALL, .deadline = 10 * GS_SEC };
      gs_request_event_t event = { .type = GS_EVENT_SUBMIT, .spec = &spec };

      spec.body = g_bytes_new_static (body, sizeof body);
      g_array_set_size (actions, 0);
      gs_request_core_step (core, 0, &event, actions, &id);
      gs_request_core_state (core, id, &state);
      submitted++;
    }
  while (state != GS_STATE_NOT_RUN);
  CU_ASSERT_EQUAL (submitted - 1, GS_REQUESTS_OPEN_BYTES_MAX / sizeof body);
  for (size_t i = 1; i < submitted; i++)
    {
      id.sequence = i << GS_SHARD_BITS;
      step (core, actions, (gs_request_event_t){ .type = GS_EVENT_CLAIM }, id);
      step (core, actions,
            (gs_request_event_t){ .type = GS_EVENT_END,
                                  .attempt = 1,
                                  .data = body,
                                  .length = sizeof body },
            id);
    }
  step (core, actions, (gs_request_event_t){ .type = GS_EVENT_TICK }, id);
  CU_ASSERT_EQUAL (gs_request_core_open_count (core), 0);
  CU_ASSERT_EQUAL (gs_request_core_state (core, id, &state), GS_OK);
  id.sequence = (submitted / 2) << GS_SHARD_BITS;
  CU_ASSERT_EQUAL (gs_request_core_state (core, id, &state), GS_ENOTFOUND);
  g_array_unref (actions);
  gs_request_core_destroy (core);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "a_request_is_dispatched_only_after_its_backup_acknowledged",
      a_request_is_dispatched_only_after_its_backup_acknowledged },
    { "late_and_duplicate_chunks_are_dropped",
      late_and_duplicate_chunks_are_dropped },
    { "the_outcome_of_a_call_that_is_not_idempotent_depends_on_the_fault",
      the_outcome_of_a_call_that_is_not_idempotent_depends_on_the_fault },
    { "a_claim_write_of_unknown_outcome_is_read_back",
      a_claim_write_of_unknown_outcome_is_read_back },
    { "the_outcome_of_an_earlier_call_decides_a_repeated_key",
      the_outcome_of_an_earlier_call_decides_a_repeated_key },
    { "a_caller_gets_the_tokens_from_its_offset_on",
      a_caller_gets_the_tokens_from_its_offset_on },
    { "bodies_and_ended_answers_are_bounded",
      bodies_and_ended_answers_are_bounded },
    { "the_content_type_of_a_call_is_returned",
      the_content_type_of_a_call_is_returned },
  };

  return CHECK_RUN ("request", cases);
}
