#include "check.h"

#include "control/placement.h"

#include <string.h>

#define FENCING 3
#define VMS_MAX 64

static gs_placement_t placement;
static GArray *actions;
static gs_pool_vm_t vms[VMS_MAX];
static size_t vm_count;
static unsigned deleted_count;
static unsigned order_count;
static unsigned rejected_centres; /* bit mask */
static bool reject_reclaimable;
static bool lose_create_results;
static bool delay_listing;
static bool reject_loads; /* the weight store rejects loads */
static unsigned rejected_load_count;
/* Created VMs that the platform does not list yet.  */
static gs_pool_vm_t unlisted[VMS_MAX];
static size_t unlisted_count;

static const char *const centres[] = { "a", "b", "c", "d" };

static void
setup (unsigned min, unsigned max, bool reclaimable)
{
  gs_pool_spec_t spec = { .pool = "p",
                          .model = "m",
                          .version = "v1",
                          .reclaimable = reclaimable,
                          .replicas_min = min,
                          .replicas_max = max };

  actions = g_array_new (FALSE, TRUE, sizeof (gs_placement_action_t));
  gs_placement_init (&placement, "p", 1);
  gs_placement_spec_set (&placement, &spec, centres, 4);
  vm_count = deleted_count = order_count = rejected_centres = 0;
  unlisted_count = 0;
  reject_reclaimable = lose_create_results = delay_listing = false;
}

static void
teardown (void)
{
  gs_placement_clear (&placement);
  g_array_unref (actions);
}

static void
create_vm (gs_time_t now, const gs_placement_action_t *action)
{
  gs_pool_vm_t vm = { .reclaimable = action->reclaimable };
  unsigned centre = (unsigned)(action->data_centre[0] - 'a');

  if ((rejected_centres & (1U << centre))
      || (reject_reclaimable && action->reclaimable))
    {
      gs_placement_create_done (&placement, now, action->token, GS_EREFUSED);
      return;
    }
  g_strlcpy (vm.name, action->token, sizeof vm.name);
  g_strlcpy (vm.token, action->token, sizeof vm.token);
  g_strlcpy (vm.data_centre, action->data_centre, sizeof vm.data_centre);
  vm.price_micros = action->reclaimable ? 1000000 : 3000000;
  if (delay_listing)
    unlisted[unlisted_count++] = vm;
  else
    vms[vm_count++] = vm;
  gs_placement_create_done (&placement, now, action->token,
                            lose_create_results ? GS_ETIMEOUT : GS_OK);
}

static gs_pool_vm_t *
find_vm (const char *name)
{
  for (size_t i = 0; i < vm_count; i++)
    if (strcmp (vms[i].name, name) == 0)
      return &vms[i];
  return NULL;
}

static void
apply_order (gs_pool_vm_t *vm, uint64_t fencing, const char *version)
{
  vm->fencing = fencing;
  g_strlcpy (vm->model, "m", sizeof vm->model);
  g_strlcpy (vm->version, version, sizeof vm->version);
}

static void
tick (gs_time_t now)
{
  for (size_t i = 0; i < vm_count; i++)
    vms[i].reported_at = now;
  g_array_set_size (actions, 0);
  gs_placement_tick (&placement, now, vms, vm_count, actions);
  for (guint i = 0; i < actions->len; i++)
    {
      const gs_placement_action_t *action
          = &g_array_index (actions, gs_placement_action_t, i);
      gs_pool_vm_t *vm = find_vm (action->vm);

      if (action->kind == GS_PLACEMENT_CREATE)
        create_vm (now, action);
      else if (action->kind == GS_PLACEMENT_DRAIN)
        vm->leaving = true;
      else if (action->kind == GS_PLACEMENT_DELETE)
        {
          *vm = vms[--vm_count];
          deleted_count++;
        }
      else if (reject_loads
               && strcmp (action->reason, GS_PLACEMENT_REASON_LOAD) == 0)
        {
          gs_placement_load_rejected (&placement, now, action->vm);
          rejected_load_count++;
        }
      else
        {
          apply_order (vm, placement.fencing, placement.spec.version);
          order_count++;
        }
    }
}

static gs_time_t
run_ticks (gs_time_t now, gs_time_t duration)
{
  gs_time_t end = now + duration;

  for (; now < end; now += GS_SEC)
    tick (now);
  return now;
}

static unsigned
count_live_outside (const char *lost)
{
  unsigned live = 0;

  for (size_t i = 0; i < vm_count; i++)
    live += !vms[i].leaving && strcmp (vms[i].data_centre, lost) != 0;
  return live;
}

static gs_time_t
acquire_lease (gs_time_t now)
{
  gs_placement_fencing_set (&placement, now, FENCING);
  return run_ticks (now, GS_PLACEMENT_LISTING_TIMEOUT + 2 * GS_SEC);
}

static void
replicas_min_remain_when_any_data_centre_is_lost (void)
{
  static const struct
  {
    unsigned min;
    unsigned total;
  } cases[] = { { 0, 0 }, { 1, 2 }, { 2, 3 }, { 3, 4 }, { 4, 6 }, { 18, 24 } };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      setup (cases[i].min, 40, true);
      run_ticks (acquire_lease (GS_SEC), 60 * GS_SEC);
      CU_ASSERT_EQUAL (vm_count, cases[i].total);
      for (size_t c = 0; c < 4; c++)
        CU_ASSERT (count_live_outside (centres[c]) >= cases[i].min);
      CU_ASSERT_EQUAL (order_count, vm_count);
      teardown ();
    }
}

/* A cheap data centre may get more VMs than the others.  */
static void
the_cheapest_spread_is_chosen (void)
{
  gs_spread_centre_t two[] = { { 1, 0, 99, 0 }, { 10, 0, 99, 0 } };
  gs_spread_centre_t three[]
      = { { 1, 0, 99, 0 }, { 1, 0, 99, 0 }, { 10, 0, 99, 0 } };
  gs_spread_centre_t one[] = { { 1, 0, 99, 0 } };

  CU_ASSERT_TRUE (gs_spread_compute (two, 2, 4, 0, 99));
  CU_ASSERT_EQUAL (two[0].wanted, 4);
  CU_ASSERT_EQUAL (two[1].wanted, 4);
  CU_ASSERT_TRUE (gs_spread_compute (three, 3, 4, 0, 99));
  CU_ASSERT_EQUAL (three[0].wanted, 4);
  CU_ASSERT_EQUAL (three[1].wanted, 4);
  CU_ASSERT_EQUAL (three[2].wanted, 0);
  CU_ASSERT_FALSE (gs_spread_compute (one, 1, 4, 0, 99));
  CU_ASSERT_EQUAL (one[0].wanted, 4);
  CU_ASSERT_FALSE (gs_spread_compute (two, 2, 4, 0, 6));
  CU_ASSERT_EQUAL (two[0].wanted + two[1].wanted, 4);
}

static void
rejected_creations_are_placed_elsewhere_and_retried_with_backoff (void)
{
  gs_time_t now;
  unsigned creations = 0;

  setup (4, 20, true);
  rejected_centres = 1;
  now = acquire_lease (GS_SEC);
  CU_ASSERT_EQUAL (count_live_outside ("a"), vm_count);
  for (size_t c = 1; c < 4; c++)
    CU_ASSERT (count_live_outside (centres[c]) >= 4);
  for (gs_time_t end = now + 600 * GS_SEC; now < end; now += GS_SEC)
    {
      tick (now);
      for (guint i = 0; i < actions->len; i++)
        creations += g_array_index (actions, gs_placement_action_t, i).kind
                     == GS_PLACEMENT_CREATE;
    }
  CU_ASSERT (creations <= 24);
  teardown ();
}

static void
on_demand_vms_are_created_when_reclaimable_ones_are_rejected (void)
{
  setup (3, 20, true);
  reject_reclaimable = true;
  acquire_lease (GS_SEC);
  CU_ASSERT_EQUAL (vm_count, 4);
  for (size_t i = 0; i < vm_count; i++)
    CU_ASSERT_FALSE (vms[i].reclaimable);
  teardown ();
}

/* The platform creates the VMs, but the calls time out and the VMs are listed
   late.  */
static void
a_creation_that_timed_out_is_not_repeated (void)
{
  gs_time_t now;

  setup (3, 20, true);
  lose_create_results = true;
  delay_listing = true;
  now = acquire_lease (GS_SEC);
  CU_ASSERT_EQUAL (vm_count, 0);
  CU_ASSERT_EQUAL (unlisted_count, 4);
  memcpy (vms, unlisted, unlisted_count * sizeof *vms);
  vm_count = unlisted_count;
  run_ticks (now, 60 * GS_SEC);
  CU_ASSERT_EQUAL (vm_count, 4);
  CU_ASSERT_EQUAL (unlisted_count, 4);
  teardown ();
}

static void
a_new_holder_creates_nothing_before_the_listing_timeout (void)
{
  gs_time_t now = GS_SEC;

  setup (3, 20, true);
  gs_placement_fencing_set (&placement, now, FENCING);
  run_ticks (now, GS_PLACEMENT_LISTING_TIMEOUT);
  CU_ASSERT_EQUAL (vm_count, 0);
  teardown ();
}

static void
only_the_holder_creates_vms (void)
{
  setup (3, 20, true);
  run_ticks (GS_SEC, 60 * GS_SEC);
  CU_ASSERT_EQUAL (vm_count, 0);
  gs_placement_fencing_set (&placement, 61 * GS_SEC, FENCING);
  gs_placement_fencing_set (&placement, 62 * GS_SEC, 0);
  run_ticks (62 * GS_SEC, 60 * GS_SEC);
  CU_ASSERT_EQUAL (vm_count, 0);
  teardown ();
}

/* VMs in a second data centre are reclaimed while those of the first are
   still being replaced.  */
static void
vms_reclaimed_in_two_waves_are_replaced (void)
{
  gs_time_t now;

  setup (6, 40, true);
  now = acquire_lease (GS_SEC);
  for (size_t i = 0; i < vm_count; i++)
    vms[i].leaving = strcmp (vms[i].data_centre, "a") == 0;
  now = run_ticks (now, 2 * GS_SEC);
  for (size_t i = 0; i < vm_count; i++)
    vms[i].leaving = vms[i].leaving || strcmp (vms[i].data_centre, "b") == 0;
  rejected_centres = 3;
  run_ticks (now, 60 * GS_SEC);
  for (size_t c = 0; c < 4; c++)
    CU_ASSERT (count_live_outside (centres[c]) >= 6);
  teardown ();
}

static void
surplus_vms_are_drained_one_at_a_time_after_a_delay (void)
{
  gs_time_t now;

  setup (3, 20, true);
  now = acquire_lease (GS_SEC);
  for (int i = 0; i < 4; i++)
    {
      vms[vm_count] = vms[0];
      g_snprintf (vms[vm_count].name, GS_NAME_BYTES, "extra-%d", i);
      vms[vm_count++].token[0] = '\0';
    }
  now = run_ticks (now, GS_PLACEMENT_SURPLUS_DELAY - 5 * GS_SEC);
  CU_ASSERT_EQUAL (vm_count, 8);
  for (int i = 0; i < 600; i++, now += GS_SEC)
    {
      unsigned leaving = 0;

      tick (now);
      for (size_t v = 0; v < vm_count; v++)
        leaving += vms[v].leaving;
      CU_ASSERT (leaving <= 1);
    }
  CU_ASSERT_EQUAL (vm_count, 4);
  CU_ASSERT_EQUAL (deleted_count, 4);
  teardown ();
}

/* A load that rises and falls once a minute must not create and delete VMs
   each time.  */
static void
a_fluctuating_load_does_not_cause_flapping (void)
{
  gs_time_t now;
  unsigned created;

  setup (4, 20, true);
  now = acquire_lease (GS_SEC);
  for (int period = 0; period < 20; period++)
    {
      for (size_t i = 0; i < vm_count; i++)
        vms[i].running = period % 2 ? 0 : 64 / (unsigned)vm_count;
      now = run_ticks (now, 30 * GS_SEC);
    }
  created = (unsigned)vm_count + deleted_count;
  CU_ASSERT (created <= 12);
  CU_ASSERT_EQUAL (deleted_count, 0);
  teardown ();
}

/* An engine that does not check fencing tokens applies an order of a former
   holder.  The holder must send its own order again.  */
static void
a_stale_order_is_replaced (void)
{
  gs_time_t now;

  setup (3, 20, true);
  now = acquire_lease (GS_SEC);
  apply_order (&vms[0], FENCING - 1, "v0");
  now = run_ticks (now, GS_PLACEMENT_ORDER_TIMEOUT + 2 * GS_SEC);
  CU_ASSERT_TRUE (gs_placement_order_is_applied (&placement, &vms[0]));
  apply_order (&vms[1], FENCING - 1, "v1");
  run_ticks (now, GS_PLACEMENT_ORDER_TIMEOUT + 2 * GS_SEC);
  CU_ASSERT_EQUAL (vms[1].fencing, FENCING);
  teardown ();
}

static void
loads_stay_under_the_rate_of_the_weight_store (void)
{
  gs_time_t now;

  setup (18, 40, true);
  now = acquire_lease (GS_SEC);
  g_strlcpy (placement.spec.version, "v2", sizeof placement.spec.version);
  for (int i = 0; i < 60; i++, now += GS_SEC)
    {
      unsigned orders_before = order_count;

      tick (now);
      CU_ASSERT (order_count - orders_before <= 1);
    }
  for (size_t i = 0; i < vm_count; i++)
    CU_ASSERT_STRING_EQUAL (vms[i].version, "v2");
  teardown ();
}

static void
loads_are_delayed_while_the_weight_store_rejects_them (void)
{
  gs_time_t now;
  unsigned attempts;

  setup (18, 40, true);
  now = acquire_lease (GS_SEC);
  g_strlcpy (placement.spec.version, "v2", sizeof placement.spec.version);
  reject_loads = true;
  now = run_ticks (now, 60 * GS_SEC);
  attempts = rejected_load_count;
  CU_ASSERT (attempts >= 2
             && attempts <= 60 * GS_SEC / GS_PLACEMENT_LOAD_BACKOFF);
  for (size_t i = 0; i < vm_count; i++)
    CU_ASSERT_STRING_NOT_EQUAL (vms[i].version, "v2");
  reject_loads = false;
  run_ticks (now, 120 * GS_SEC);
  for (size_t i = 0; i < vm_count; i++)
    CU_ASSERT_STRING_EQUAL (vms[i].version, "v2");
  teardown ();
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "replicas_min_remain_when_any_data_centre_is_lost",
      replicas_min_remain_when_any_data_centre_is_lost },
    { "the_cheapest_spread_is_chosen", the_cheapest_spread_is_chosen },
    { "rejected_creations_are_placed_elsewhere_and_retried_with_backoff",
      rejected_creations_are_placed_elsewhere_and_retried_with_backoff },
    { "on_demand_vms_are_created_when_reclaimable_ones_are_rejected",
      on_demand_vms_are_created_when_reclaimable_ones_are_rejected },
    { "a_creation_that_timed_out_is_not_repeated",
      a_creation_that_timed_out_is_not_repeated },
    { "a_new_holder_creates_nothing_before_the_listing_timeout",
      a_new_holder_creates_nothing_before_the_listing_timeout },
    { "only_the_holder_creates_vms", only_the_holder_creates_vms },
    { "vms_reclaimed_in_two_waves_are_replaced",
      vms_reclaimed_in_two_waves_are_replaced },
    { "surplus_vms_are_drained_one_at_a_time_after_a_delay",
      surplus_vms_are_drained_one_at_a_time_after_a_delay },
    { "a_fluctuating_load_does_not_cause_flapping",
      a_fluctuating_load_does_not_cause_flapping },
    { "a_stale_order_is_replaced", a_stale_order_is_replaced },
    { "loads_stay_under_the_rate_of_the_weight_store",
      loads_stay_under_the_rate_of_the_weight_store },
    { "loads_are_delayed_while_the_weight_store_rejects_them",
      loads_are_delayed_while_the_weight_store_rejects_them },
  };

  return CHECK_RUN ("placement", cases);
}
