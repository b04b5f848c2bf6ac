/* Who holds the lease of the duties.  A new holder waits until the one before
   can't act any more, and meanwhile nobody orders replicas; so the lease must
   not wander because other nodes turn out to come first in the order. */

#include "check.h"
#include "gateway/duties.h"

#include <string.h>

/* A store with one object of the duties' kind.  */
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

static void
get (void *context, const char *kind, const char *name, gs_time_t deadline,
     gs_object_cb_t callback, void *argument)
{
  const store_t *store = context;

  reply (store, store->value != NULL ? GS_OK : GS_ENOTFOUND, callback,
         argument);
}

static void
put (void *context, const char *kind, const char *name, uint64_t revision,
     json_t *value, gs_time_t deadline, gs_object_cb_t callback,
     void *argument)
{
  store_t *store = context;

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

static duties_t *
make_duties (const gs_object_store_t *store, gs_deployment_t *deployment,
             const char *node)
{
  duties_options_t options = { .deployment = deployment,
                               .store = store,
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
  duties_t *first = make_duties (&store, &settings[0], "a");
  duties_t *second = make_duties (&store, &settings[1], "bb");
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
  json_decref (objects.value);
}

static void
a_node_that_only_keeps_does_not_take_the_lease (void)
{
  store_t objects = { .value = NULL };
  gs_object_store_t store = { .context = &objects, .get = get, .put = put };
  gs_deployment_t settings;
  duties_t *duties = make_duties (&store, &settings, "a");
  gs_time_t now = gs_clock_now ();

  for (unsigned i = 0; i < 5; i++)
    duties_tick (duties, now, DUTIES_KEEP);
  CU_ASSERT_FALSE (duties_is_holder (duties));
  CU_ASSERT_PTR_NULL (objects.value);
  duties_destroy (duties);
}

static const check_case_t cases[] = {
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
