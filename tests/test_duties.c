/* Who holds the lease of the duties.  A new holder waits until the one before
   can't act any more, and meanwhile nobody orders replicas; so the lease must
   not wander because other nodes turn out to come first in the order. */

#include "check.h"
#include "gateway/duties.h"

#include <limits.h>
#include <string.h>

/* A store with one object, the lease.  */
typedef struct
{
  json_t *value; /* NULL while there is no object */
  uint64_t revision;
} store_t;

static void
reply (const store_t *store, gs_status_t status, gs_object_cb_t callback,
       void *argument)
{
  gs_object_t object = { .name = "lease",
                         .revision = store->revision,
                         .value = store->value };
  gs_object_result_t result = { .status = status,
                                .revision = store->revision,
                                .count = store->value != NULL,
                                .objects = &object };

  callback (argument, &result);
}

/* The record of usage is of no interest here.  */
static void
reply_unreachable (gs_object_cb_t callback, void *argument)
{
  gs_object_result_t result = { .status = GS_EUNREACHABLE };

  callback (argument, &result);
}

static void
get (void *context, const char *kind, const char *name, gs_time_t deadline,
     gs_object_cb_t callback, void *argument)
{
  const store_t *store = context;

  if (strcmp (name, "lease") != 0)
    {
      reply_unreachable (callback, argument);
      return;
    }
  reply (store, store->value != NULL ? GS_OK : GS_ENOTFOUND, callback,
         argument);
}

static void
put (void *context, const char *kind, const char *name, uint64_t revision,
     json_t *value, gs_time_t deadline, gs_object_cb_t callback,
     void *argument)
{
  store_t *store = context;

  if (strcmp (name, "lease") != 0)
    {
      json_decref (value);
      reply_unreachable (callback, argument);
      return;
    }
  if (revision != store->revision)
    {
      json_decref (value);
      reply (store, GS_ECONFLICT, callback, argument);
      return;
    }
  json_decref (store->value);
  store->value = value;
  store->revision++;
  reply (store, GS_OK, callback, argument);
}

static void
report_usage (void *context, const gs_duty_t *duty, int64_t window,
              const gs_usage_count_t *counts, unsigned count,
              gs_time_t deadline, gs_provider_cb_t callback, void *argument)
{
  callback (argument, GS_OK);
}

static void
get_state (void *context, peers_state_t *out)
{
  *out = (peers_state_t){ .flags = PEER_READY };
}

static const traffic_report_t *
get_report (void *context)
{
  return NULL;
}

static void
on_peer_state (void *context, gs_time_t now, const gs_endpoint_t *endpoint,
               const peers_state_t *state)
{
}

static peers_t *
make_peers (void)
{
  const digest_member_t self = { .name = "a" };
  const peers_listener_t listener
      = { NULL, get_state, get_report, on_peer_state };
  const peers_transport_t transport = { NULL, NULL };
  peers_t *peers;

  peers_create (&peers, &self, NULL, 0, &listener, &transport, 1);
  return peers;
}

static duties_t *
make_duties (const gs_object_store_t *store, const peers_t *peers,
             gs_deployment_t *deployment, const char *node)
{
  static const gs_provider_t provider = { .report_usage = report_usage };
  duties_options_t options = { .deployment = deployment,
                               .store = store,
                               .provider = &provider,
                               .peers = peers,
                               .incarnation = strlen (node) + 7 };
  duties_t *duties;

  *deployment = (gs_deployment_t){ .lease_time = 3 * GS_SEC,
                                   .usage_window = 5 * GS_SEC,
                                   .usage_report_timeout = 10 * GS_SEC };
  g_strlcpy (deployment->node, node, sizeof deployment->node);
  duties_create (&duties, &options);
  return duties;
}

static void
the_first_holder_acts_at_once_and_keeps_the_lease (void)
{
  store_t objects = { .value = NULL };
  gs_object_store_t store = { .context = &objects, .get = get, .put = put };
  gs_deployment_t settings[2];
  peers_t *peers = make_peers ();
  duties_t *first = make_duties (&store, peers, &settings[0], "a");
  duties_t *second = make_duties (&store, peers, &settings[1], "bb");
  gs_time_t now = gs_clock_now ();

  /* Reads, finds no lease and writes its own.  */
  for (unsigned i = 0; i < 20 && !duties_is_holder (first); i++)
    {
      now += 100 * GS_MSEC;
      duties_tick (first, now, DUTIES_SEEK);
    }
  CU_ASSERT_TRUE (duties_is_holder (first));
  CU_ASSERT_TRUE (duties_may_act (first, now));
  /* Another node comes first in the order from now on.  */
  for (unsigned i = 0; i < 20; i++)
    {
      duties_tick (first, now, DUTIES_KEEP);
      duties_tick (second, now, DUTIES_SEEK);
    }
  CU_ASSERT_TRUE (duties_is_holder (first));
  CU_ASSERT_FALSE (duties_is_holder (second));
  /* A node that may not hold the lease gives it up.  */
  duties_tick (first, now, DUTIES_RELEASE);
  CU_ASSERT_FALSE (duties_may_act (first, now));
  CU_ASSERT_FALSE (duties_is_holder (second));
  duties_destroy (first);
  duties_destroy (second);
  peers_destroy (peers);
  json_decref (objects.value);
}

static void
a_node_that_only_keeps_does_not_take_the_lease (void)
{
  store_t objects = { .value = NULL };
  gs_object_store_t store = { .context = &objects, .get = get, .put = put };
  gs_deployment_t settings;
  peers_t *peers = make_peers ();
  duties_t *duties = make_duties (&store, peers, &settings, "a");
  gs_time_t now = gs_clock_now ();

  for (unsigned i = 0; i < 5; i++)
    duties_tick (duties, now, DUTIES_KEEP);
  CU_ASSERT_FALSE (duties_is_holder (duties));
  CU_ASSERT_PTR_NULL (objects.value);
  duties_destroy (duties);
  peers_destroy (peers);
}

/* In a rolling restart each holder is stopped in turn.  If each gave up the
   lease at once, nobody would order replicas from the first restart to the
   last.  */
static void
only_nodes_that_can_do_the_duties_hold_the_lease (void)
{
  const gs_time_t now = 100 * GS_SEC;
  static const struct
  {
    duties_standing_t standing;
    duties_wish_t wish;
  } rows[] = {
    { { true, 0, true, 0 }, DUTIES_SEEK },
    { { true, 2, false, 0 }, DUTIES_SEEK },
    { { true, 3, true, 0 }, DUTIES_KEEP },
    { { false, 0, true, 0 }, DUTIES_RELEASE },
    { { true, UINT_MAX, false, 0 }, DUTIES_RELEASE },
    { { true, 0, true, 99 * GS_SEC }, DUTIES_KEEP },
    { { true, 5, true, 98 * GS_SEC }, DUTIES_KEEP },
    { { true, 0, true, 97 * GS_SEC }, DUTIES_RELEASE },
    { { true, 0, false, 99 * GS_SEC }, DUTIES_RELEASE },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    CU_ASSERT_EQUAL (duties_wish_choose (&rows[i].standing, now),
                     rows[i].wish);
}

static const check_case_t cases[] = {
  { "only nodes that can do the duties hold the lease",
    only_nodes_that_can_do_the_duties_hold_the_lease },
  { "the first holder acts at once and keeps the lease",
    the_first_holder_acts_at_once_and_keeps_the_lease },
  { "a node that only keeps does not take the lease",
    a_node_that_only_keeps_does_not_take_the_lease },
};

int
main (void)
{
  return CHECK_RUN ("duties", cases);
}
