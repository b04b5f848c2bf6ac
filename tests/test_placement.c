#include "check.h"

#include "control/placement.h"

#include <string.h>

#define FENCING 3
#define VMS_MAX 64

static gs_placement_t placement;
static GArray *actions;
static gs_pool_vm_t vms[VMS_MAX];
static size_t vm_count;
static unsigned deleted;
static unsigned ordered;
static unsigned refused_centres; /* bits */
static bool refuse_reclaimable;
static bool lose_answers;
static bool list_lags;
static bool refuse_loads; /* by the weight store */
static unsigned loads_refused;
static gs_pool_vm_t unlisted[VMS_MAX];
static size_t unlisted_count;

static const char *const centres[] = { "a", "b", "c", "d" };

static void
start (unsigned min, unsigned max, bool reclaimable)
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
  vm_count = deleted = ordered = refused_centres = 0;
  unlisted_count = 0;
  refuse_reclaimable = lose_answers = list_lags = false;
}

static void
end (void)
{
  gs_placement_clear (&placement);
  g_array_unref (actions);
}

static void
create (gs_time_t now, const gs_placement_action_t *action)
{
  gs_pool_vm_t vm = { .reclaimable = action->reclaimable };
  unsigned centre = (unsigned)(action->data_centre[0] - 'a');

  if ((refused_centres & (1U << centre))
      || (refuse_reclaimable && action->reclaimable))
    {
      gs_placement_create_done (&placement, now, action->token, GS_EREFUSED);
      return;
    }
  g_strlcpy (vm.name, action->token, sizeof vm.name);
  g_strlcpy (vm.token, action->token, sizeof vm.token);
  g_strlcpy (vm.data_centre, action->data_centre, sizeof vm.data_centre);
  vm.price_micros = action->reclaimable ? 1000000 : 3000000;
  if (list_lags)
    unlisted[unlisted_count++] = vm;
  else
    vms[vm_count++] = vm;
  gs_placement_create_done (&placement, now, action->token,
                            lose_answers ? GS_ETIMEOUT : GS_OK);
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
obey (gs_pool_vm_t *vm, uint64_t fencing, const char *version)
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
        create (now, action);
      else if (action->kind == GS_PLACEMENT_DRAIN)
        vm->leaving = true;
      else if (action->kind == GS_PLACEMENT_DELETE)
        {
          *vm = vms[--vm_count];
          deleted++;
        }
      else if (refuse_loads
               && strcmp (action->reason, GS_PLACEMENT_REASON_LOAD) == 0)
        {
          gs_placement_load_rejected (&placement, now, action->vm);
          loads_refused++;
        }
      else
        {
          obey (vm, placement.fencing, placement.spec.version);
          ordered++;
        }
    }
}

static gs_time_t
run (gs_time_t now, gs_time_t duration)
{
  gs_time_t stop = now + duration;

  for (; now < stop; now += GS_SEC)
    tick (now);
  return now;
}

static unsigned
live_without (const char *lost)
{
  unsigned live = 0;

  for (size_t i = 0; i < vm_count; i++)
    live += !vms[i].leaving && strcmp (vms[i].data_centre, lost) != 0;
  return live;
}

static gs_time_t
hold (gs_time_t now)
{
  gs_placement_fencing_set (&placement, now, FENCING);
  return run (now, GS_PLACEMENT_LISTING_TIMEOUT + 2 * GS_SEC);
}

static void
the_loss_of_any_data_centre_leaves_the_promise (void)
{
  static const struct
  {
    unsigned min;
    unsigned total;
  } cases[] = { { 0, 0 }, { 1, 2 }, { 2, 3 }, { 3, 4 }, { 4, 6 }, { 18, 24 } };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      start (cases[i].min, 40, true);
      run (hold (GS_SEC), 60 * GS_SEC);
      CU_ASSERT_EQUAL (vm_count, cases[i].total);
      for (size_t c = 0; c < 4; c++)
        CU_ASSERT (live_without (centres[c]) >= cases[i].min);
      CU_ASSERT_EQUAL (ordered, vm_count);
      end ();
    }
}

/* A cheap centre may hold more than its even part.  */
static void
the_cheapest_spread_is_chosen (void)
{
  gs_spread_centre_t two[] = { { 1, 0, 99, 0 }, { 10, 0, 99, 0 } };
  gs_spread_centre_t three[]
      = { { 1, 0, 99, 0 }, { 1, 0, 99, 0 }, { 10, 0, 99, 0 } };
  gs_spread_centre_t one[] = { { 1, 0, 99, 0 } };

  CU_ASSERT_TRUE (gs_spread (two, 2, 4, 0, 99));
  CU_ASSERT_EQUAL (two[0].wanted, 4);
  CU_ASSERT_EQUAL (two[1].wanted, 4);
  CU_ASSERT_TRUE (gs_spread (three, 3, 4, 0, 99));
  CU_ASSERT_EQUAL (three[0].wanted, 4);
  CU_ASSERT_EQUAL (three[1].wanted, 4);
  CU_ASSERT_EQUAL (three[2].wanted, 0);
  CU_ASSERT_FALSE (gs_spread (one, 1, 4, 0, 99));
  CU_ASSERT_EQUAL (one[0].wanted, 4);
  CU_ASSERT_FALSE (gs_spread (two, 2, 4, 0, 6));
  CU_ASSERT_EQUAL (two[0].wanted + two[1].wanted, 4);
}

static void
refused_creations_are_made_up_elsewhere_and_back_off (void)
{
  gs_time_t now;
  unsigned asked = 0;

  start (4, 20, true);
  refused_centres = 1;
  now = hold (GS_SEC);
  CU_ASSERT_EQUAL (live_without ("a"), vm_count);
  for (size_t c = 1; c < 4; c++)
    CU_ASSERT (live_without (centres[c]) >= 4);
  for (gs_time_t stop = now + 600 * GS_SEC; now < stop; now += GS_SEC)
    {
      tick (now);
      for (guint i = 0; i < actions->len; i++)
        asked += g_array_index (actions, gs_placement_action_t, i).kind
                 == GS_PLACEMENT_CREATE;
    }
  CU_ASSERT (asked <= 24);
  end ();
}

static void
another_kind_is_taken_when_reclaimable_ones_are_refused (void)
{
  start (3, 20, true);
  refuse_reclaimable = true;
  hold (GS_SEC);
  CU_ASSERT_EQUAL (vm_count, 4);
  for (size_t i = 0; i < vm_count; i++)
    CU_ASSERT_FALSE (vms[i].reclaimable);
  end ();
}

static void
a_vm_whose_answer_was_lost_is_not_doubled (void)
{
  gs_time_t now;

  start (3, 20, true);
  lose_answers = true;
  list_lags = true;
  now = hold (GS_SEC);
  CU_ASSERT_EQUAL (vm_count, 0);
  CU_ASSERT_EQUAL (unlisted_count, 4);
  memcpy (vms, unlisted, unlisted_count * sizeof *vms);
  vm_count = unlisted_count;
  run (now, 60 * GS_SEC);
  CU_ASSERT_EQUAL (vm_count, 4);
  CU_ASSERT_EQUAL (unlisted_count, 4);
  end ();
}

static void
a_new_holder_waits_for_what_the_former_one_asked_for (void)
{
  gs_time_t now = GS_SEC;

  start (3, 20, true);
  gs_placement_fencing_set (&placement, now, FENCING);
  run (now, GS_PLACEMENT_LISTING_TIMEOUT);
  CU_ASSERT_EQUAL (vm_count, 0);
  end ();
}

static void
who_does_not_hold_does_nothing (void)
{
  start (3, 20, true);
  run (GS_SEC, 60 * GS_SEC);
  CU_ASSERT_EQUAL (vm_count, 0);
  gs_placement_fencing_set (&placement, 61 * GS_SEC, FENCING);
  gs_placement_fencing_set (&placement, 62 * GS_SEC, 0);
  run (62 * GS_SEC, 60 * GS_SEC);
  CU_ASSERT_EQUAL (vm_count, 0);
  end ();
}

static void
a_second_wave_in_the_middle_of_the_first_is_made_up (void)
{
  gs_time_t now;

  start (6, 40, true);
  now = hold (GS_SEC);
  for (size_t i = 0; i < vm_count; i++)
    vms[i].leaving = strcmp (vms[i].data_centre, "a") == 0;
  now = run (now, 2 * GS_SEC);
  for (size_t i = 0; i < vm_count; i++)
    vms[i].leaving = vms[i].leaving || strcmp (vms[i].data_centre, "b") == 0;
  refused_centres = 3;
  run (now, 60 * GS_SEC);
  for (size_t c = 0; c < 4; c++)
    CU_ASSERT (live_without (centres[c]) >= 6);
  end ();
}

static void
a_surplus_goes_late_one_at_a_time_and_drained (void)
{
  gs_time_t now;

  start (3, 20, true);
  now = hold (GS_SEC);
  for (int i = 0; i < 4; i++)
    {
      vms[vm_count] = vms[0];
      g_snprintf (vms[vm_count].name, GS_NAME_BYTES, "extra-%d", i);
      vms[vm_count++].token[0] = '\0';
    }
  now = run (now, GS_PLACEMENT_SURPLUS_DELAY - 5 * GS_SEC);
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
  CU_ASSERT_EQUAL (deleted, 4);
  end ();
}

/* A load that swings each minute neither creates nor removes each time.  */
static void
a_swinging_load_does_not_flap (void)
{
  gs_time_t now;
  unsigned created;

  start (4, 20, true);
  now = hold (GS_SEC);
  for (int swing = 0; swing < 20; swing++)
    {
      for (size_t i = 0; i < vm_count; i++)
        vms[i].running = swing % 2 ? 0 : 64 / (unsigned)vm_count;
      now = run (now, 30 * GS_SEC);
    }
  created = (unsigned)vm_count + deleted;
  CU_ASSERT (created <= 12);
  CU_ASSERT_EQUAL (deleted, 0);
  end ();
}

/* An engine that ignores numbers took the order of a former holder.  */
static void
a_stale_order_is_repaired (void)
{
  gs_time_t now;

  start (3, 20, true);
  now = hold (GS_SEC);
  obey (&vms[0], FENCING - 1, "v0");
  now = run (now, GS_PLACEMENT_ORDER_TIMEOUT + 2 * GS_SEC);
  CU_ASSERT_TRUE (gs_placement_order_is_applied (&placement, &vms[0]));
  obey (&vms[1], FENCING - 1, "v1");
  run (now, GS_PLACEMENT_ORDER_TIMEOUT + 2 * GS_SEC);
  CU_ASSERT_EQUAL (vms[1].fencing, FENCING);
  end ();
}

static void
loads_stay_under_the_rate_of_the_weight_store (void)
{
  gs_time_t now;

  start (18, 40, true);
  now = hold (GS_SEC);
  g_strlcpy (placement.spec.version, "v2", sizeof placement.spec.version);
  for (int i = 0; i < 60; i++, now += GS_SEC)
    {
      unsigned before = ordered;

      tick (now);
      CU_ASSERT (ordered - before <= 1);
    }
  for (size_t i = 0; i < vm_count; i++)
    CU_ASSERT_STRING_EQUAL (vms[i].version, "v2");
  end ();
}

static void
loads_wait_while_the_weight_store_refuses (void)
{
  gs_time_t now;
  unsigned tries;

  start (18, 40, true);
  now = hold (GS_SEC);
  g_strlcpy (placement.spec.version, "v2", sizeof placement.spec.version);
  refuse_loads = true;
  now = run (now, 60 * GS_SEC);
  tries = loads_refused;
  CU_ASSERT (tries >= 2 && tries <= 60 * GS_SEC / GS_PLACEMENT_LOAD_BACKOFF);
  for (size_t i = 0; i < vm_count; i++)
    CU_ASSERT_STRING_NOT_EQUAL (vms[i].version, "v2");
  refuse_loads = false;
  run (now, 120 * GS_SEC);
  for (size_t i = 0; i < vm_count; i++)
    CU_ASSERT_STRING_EQUAL (vms[i].version, "v2");
  end ();
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "the_loss_of_any_data_centre_leaves_the_promise",
      the_loss_of_any_data_centre_leaves_the_promise },
    { "the_cheapest_spread_is_chosen", the_cheapest_spread_is_chosen },
    { "refused_creations_are_made_up_elsewhere_and_back_off",
      refused_creations_are_made_up_elsewhere_and_back_off },
    { "another_kind_is_taken_when_reclaimable_ones_are_refused",
      another_kind_is_taken_when_reclaimable_ones_are_refused },
    { "a_vm_whose_answer_was_lost_is_not_doubled",
      a_vm_whose_answer_was_lost_is_not_doubled },
    { "a_new_holder_waits_for_what_the_former_one_asked_for",
      a_new_holder_waits_for_what_the_former_one_asked_for },
    { "who_does_not_hold_does_nothing", who_does_not_hold_does_nothing },
    { "a_second_wave_in_the_middle_of_the_first_is_made_up",
      a_second_wave_in_the_middle_of_the_first_is_made_up },
    { "a_surplus_goes_late_one_at_a_time_and_drained",
      a_surplus_goes_late_one_at_a_time_and_drained },
    { "a_swinging_load_does_not_flap", a_swinging_load_does_not_flap },
    { "a_stale_order_is_repaired", a_stale_order_is_repaired },
    { "loads_stay_under_the_rate_of_the_weight_store",
      loads_stay_under_the_rate_of_the_weight_store },
    { "loads_wait_while_the_weight_store_refuses",
      loads_wait_while_the_weight_store_refuses },
  };

  return CHECK_RUN ("placement", cases);
}
