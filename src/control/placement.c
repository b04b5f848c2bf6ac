#include "control/placement.h"

#include <string.h>

/* Demand is one VM per this many running and queued requests.  */
#define REQUESTS_PER_VM_TARGET 8
/* Demand falls only after the load was lower for this long.  */
#define DEMAND_DECREASE_DELAY (60 * GS_SEC)
/* Minimum duration of a drain: nodes may still send work to the VM before
   they receive the notice, and engines report their load with a delay.  */
#define DRAIN_DURATION_MIN (5 * GS_SEC)
#define CREATE_BACKOFF_SHIFT_MAX 6
/* At most one in LOADING_DIVISOR engines replaces its version at a time.
   An engine counts as loading for at most LOADING_TIMEOUT.  */
#define LOADING_DIVISOR 4
#define LOADING_TIMEOUT (60 * GS_SEC)
/* Prices assumed for a class of VM (on demand or reclaimable) until one of it
   is seen; high enough that a class known to be cheap is preferred.  */
#define DEFAULT_PRICE_ON_DEMAND_MICROS 3000000
#define DEFAULT_PRICE_RECLAIMABLE_MICROS 1000000

void
gs_placement_init (gs_placement_t *placement, const char *pool, uint64_t seed)
{
  *placement = (gs_placement_t){ 0 };
  g_strlcpy (placement->spec.pool, pool, sizeof placement->spec.pool);
  placement->pending
      = g_array_new (FALSE, FALSE, sizeof (gs_placement_pending_t));
  placement->order_times
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  placement->draining
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gs_rng_seed (&placement->rng, seed);
}

void
gs_placement_clear (gs_placement_t *placement)
{
  g_hash_table_unref (placement->draining);
  g_hash_table_unref (placement->order_times);
  g_array_unref (placement->pending);
}

static int
find_centre_index (const gs_placement_t *placement, const char *data_centre)
{
  for (unsigned i = 0; i < placement->centre_count; i++)
    if (strcmp (placement->centres[i].data_centre, data_centre) == 0)
      return (int)i;
  return -1;
}

/* Data centres are never removed, because pending VMs refer to their
   index.  */
void
gs_placement_spec_set (gs_placement_t *placement, const gs_pool_spec_t *spec,
                       const char *const *centres, unsigned count)
{
  placement->spec = *spec;
  for (unsigned i = 0; i < count; i++)
    {
      gs_placement_centre_t *centre;

      if (find_centre_index (placement, centres[i]) >= 0
          || placement->centre_count == GS_DATA_CENTRES_MAX)
        continue;
      centre = &placement->centres[placement->centre_count++];
      *centre = (gs_placement_centre_t){ .data_centre = "" };
      g_strlcpy (centre->data_centre, centres[i], sizeof centre->data_centre);
      centre->price_micros[0] = DEFAULT_PRICE_ON_DEMAND_MICROS;
      centre->price_micros[1] = DEFAULT_PRICE_RECLAIMABLE_MICROS;
    }
}

void
gs_placement_fencing_set (gs_placement_t *placement, gs_time_t now,
                          uint64_t fencing)
{
  if (fencing == placement->fencing)
    return;
  placement->fencing = fencing;
  placement->held_since = fencing != 0 ? now : 0;
  placement->surplus_since = 0;
  g_array_set_size (placement->pending, 0);
  g_hash_table_remove_all (placement->order_times);
  g_hash_table_remove_all (placement->draining);
}

static void
count_vms (gs_placement_t *placement, const gs_pool_vm_t *vms, size_t count)
{
  for (unsigned i = 0; i < placement->centre_count; i++)
    {
      placement->centres[i].live = 0;
      placement->centres[i].leaving = 0;
      placement->centres[i].creating = 0;
    }
  for (size_t i = 0; i < count; i++)
    {
      int index = find_centre_index (placement, vms[i].data_centre);
      gs_placement_centre_t *centre;

      if (index < 0)
        continue;
      centre = &placement->centres[index];
      if (vms[i].price_micros != 0)
        centre->price_micros[vms[i].reclaimable] = vms[i].price_micros;
      if (vms[i].leaving)
        centre->leaving++;
      else
        centre->live++;
    }
}

/* Removes pending VMs that are now listed or that timed out, and counts the
   others.  */
static void
update_pending (gs_placement_t *placement, gs_time_t now,
                const gs_pool_vm_t *vms, size_t count)
{
  for (guint i = placement->pending->len; i > 0; i--)
    {
      gs_placement_pending_t *pending
          = &g_array_index (placement->pending, gs_placement_pending_t, i - 1);
      bool listed = false;

      for (size_t v = 0; v < count; v++)
        listed = listed || strcmp (vms[v].token, pending->token) == 0;
      if (listed
          || now >= pending->requested_at + GS_PLACEMENT_LISTING_TIMEOUT)
        g_array_remove_index_fast (placement->pending, i - 1);
      else
        placement->centres[pending->centre].creating++;
    }
}

static void
estimate_demand (gs_placement_t *placement, gs_time_t now,
                 const gs_pool_vm_t *vms, size_t count)
{
  uint64_t requests = 0;
  unsigned demand;

  for (size_t i = 0; i < count; i++)
    requests += vms[i].running + vms[i].queued;
  demand = (unsigned)((requests + REQUESTS_PER_VM_TARGET - 1)
                      / REQUESTS_PER_VM_TARGET);
  if (demand >= placement->demand)
    {
      placement->demand = demand;
      placement->demand_updated_at = now;
    }
  else if (now >= placement->demand_updated_at + DEMAND_DECREASE_DELAY)
    {
      placement->demand = demand;
      placement->demand_updated_at = now;
    }
}

static bool
can_create (const gs_placement_t *placement, gs_time_t now,
            const gs_placement_centre_t *centre, bool reclaimable)
{
  if (reclaimable && !placement->spec.reclaimable)
    return false;
  return now >= centre->retry_at[reclaimable];
}

/* Chooses the class to create in each data centre: the cheaper one of those
   that can be created.  Where none can be created, the capacity is the number
   of VMs that are live or being created.  */
static void
choose_classes (gs_placement_t *placement, gs_time_t now,
                gs_spread_centre_t *spread)
{
  unsigned replicas_max = placement->spec.replicas_max;

  for (unsigned i = 0; i < placement->centre_count; i++)
    {
      gs_placement_centre_t *centre = &placement->centres[i];
      bool reclaimable = can_create (placement, now, centre, true);
      bool on_demand = can_create (placement, now, centre, false);

      if (reclaimable && on_demand)
        reclaimable = centre->price_micros[1] <= centre->price_micros[0];
      centre->wants_reclaimable = reclaimable;
      spread[i].present = centre->live + centre->creating;
      spread[i].price_micros = centre->price_micros[reclaimable];
      spread[i].capacity
          = reclaimable || on_demand ? replicas_max : spread[i].present;
    }
}

static void
compute_wanted (gs_placement_t *placement, gs_time_t now)
{
  gs_spread_centre_t spread[GS_DATA_CENTRES_MAX];
  const gs_pool_spec_t *spec = &placement->spec;

  choose_classes (placement, now, spread);
  placement->replicas_min_met = gs_spread_compute (
      spread, placement->centre_count, spec->replicas_min,
      MIN (placement->demand, spec->replicas_max), spec->replicas_max);
  for (unsigned i = 0; i < placement->centre_count; i++)
    placement->centres[i].wanted = spread[i].wanted;
}

static void
create_missing (gs_placement_t *placement, gs_time_t now, GArray *actions)
{
  for (unsigned i = 0; i < placement->centre_count; i++)
    {
      gs_placement_centre_t *centre = &placement->centres[i];

      while (centre->live + centre->creating < centre->wanted
             && can_create (placement, now, centre, centre->wants_reclaimable))
        {
          gs_placement_pending_t pending
              = { .centre = i,
                  .reclaimable = centre->wants_reclaimable,
                  .requested_at = now };
          gs_placement_action_t action
              = { .kind = GS_PLACEMENT_CREATE,
                  .reclaimable = centre->wants_reclaimable,
                  .reason = "below_wanted" };

          g_snprintf (pending.token, sizeof pending.token, "%.40s/%llu/%u",
                      placement->spec.pool,
                      (unsigned long long)placement->fencing,
                      ++placement->sequence);
          g_strlcpy (action.token, pending.token, sizeof action.token);
          g_strlcpy (action.data_centre, centre->data_centre,
                     sizeof action.data_centre);
          g_array_append_val (placement->pending, pending);
          g_array_append_val (actions, action);
          centre->creating++;
        }
    }
}

static void
record_time (GHashTable *table, const char *name, gs_time_t time)
{
  gs_time_t *value = g_new (gs_time_t, 1);

  *value = time;
  g_hash_table_insert (table, g_strdup (name), value);
}

static gs_placement_action_t
make_action (gs_placement_action_kind_t kind, const gs_pool_vm_t *vm,
             const char *reason)
{
  gs_placement_action_t action = { .kind = kind, .reason = reason };

  g_strlcpy (action.vm, vm->name, sizeof action.vm);
  g_strlcpy (action.data_centre, vm->data_centre, sizeof action.data_centre);
  action.reclaimable = vm->reclaimable;
  return action;
}

/* Searches the data centres that have more VMs than wanted.
   @return the most expensive of their VMs, at equal prices the one with the
   fewest running requests; NULL if there is none  */
static const gs_pool_vm_t *
find_surplus_vm (const gs_placement_t *placement, const gs_pool_vm_t *vms,
                 size_t count)
{
  const gs_pool_vm_t *surplus = NULL;

  for (size_t i = 0; i < count; i++)
    {
      int index = find_centre_index (placement, vms[i].data_centre);
      const gs_placement_centre_t *centre;

      if (index < 0 || vms[i].leaving)
        continue;
      centre = &placement->centres[index];
      if (centre->live <= centre->wanted)
        continue;
      if (surplus == NULL || vms[i].price_micros > surplus->price_micros
          || (vms[i].price_micros == surplus->price_micros
              && vms[i].running < surplus->running))
        surplus = &vms[i];
    }
  return surplus;
}

/* Drains one surplus VM at a time, once the surplus has lasted for
   GS_PLACEMENT_SURPLUS_DELAY, and only while no data centre lacks VMs:
   replacements are created first.  */
static void
drain_surplus (gs_placement_t *placement, gs_time_t now,
               const gs_pool_vm_t *vms, size_t count, GArray *actions)
{
  const gs_pool_vm_t *surplus = find_surplus_vm (placement, vms, count);
  gs_placement_action_t action;
  bool vms_missing = false;

  for (unsigned i = 0; i < placement->centre_count; i++)
    vms_missing = vms_missing
                  || placement->centres[i].live < placement->centres[i].wanted;
  if (surplus == NULL || vms_missing)
    {
      placement->surplus_since = 0;
      return;
    }
  if (placement->surplus_since == 0)
    placement->surplus_since = now;
  if (now < placement->surplus_since + GS_PLACEMENT_SURPLUS_DELAY
      || g_hash_table_size (placement->draining) > 0)
    return;
  record_time (placement->draining, surplus->name, now);
  action = make_action (GS_PLACEMENT_DRAIN, surplus, "above_wanted");
  g_array_append_val (actions, action);
}

static void
delete_drained (gs_placement_t *placement, gs_time_t now,
                const gs_pool_vm_t *vms, size_t count, GArray *actions)
{
  GHashTable *present = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iterator;
  gpointer name;

  for (size_t i = 0; i < count; i++)
    {
      const gs_time_t *drain_began_at
          = g_hash_table_lookup (placement->draining, vms[i].name);
      gs_placement_action_t action;
      bool idle;

      g_hash_table_add (present, (gpointer)vms[i].name);
      if (drain_began_at == NULL)
        continue;
      idle = vms[i].running + vms[i].queued == 0
             && vms[i].reported_at > *drain_began_at + DRAIN_DURATION_MIN;
      if (!idle && now < *drain_began_at + GS_PLACEMENT_DRAIN_TIMEOUT)
        continue;
      action = make_action (GS_PLACEMENT_DELETE, &vms[i], "drained");
      g_array_append_val (actions, action);
    }
  g_hash_table_iter_init (&iterator, placement->draining);
  while (g_hash_table_iter_next (&iterator, &name, NULL))
    if (!g_hash_table_contains (present, name))
      g_hash_table_iter_remove (&iterator);
  g_hash_table_unref (present);
}

bool
gs_placement_order_is_applied (const gs_placement_t *placement,
                               const gs_pool_vm_t *vm)
{
  const gs_pool_spec_t *spec = &placement->spec;

  return vm->fencing == placement->fencing
         && strcmp (vm->model, spec->model) == 0
         && strcmp (vm->version, spec->version) == 0
         && strcmp (vm->adapters, spec->adapters) == 0;
}

/* @return true if the engine must load weights to serve what is wanted.  An
   order that changes only the fencing token loads none and is not subject to
   the rate of the weight store.  */
static bool
needs_weights (const gs_placement_t *placement, const gs_pool_vm_t *vm)
{
  return strcmp (vm->version, placement->spec.version) != 0
         || strcmp (vm->model, placement->spec.model) != 0
         || strcmp (vm->adapters, placement->spec.adapters) != 0;
}

/* @return the number of engines that are replacing the weights they serve.
   The caller limits this number, so that a new version does not take all
   engines of a pool out of service at once.  */
static unsigned
count_loading (const gs_placement_t *placement, gs_time_t now,
               const gs_pool_vm_t *vms, size_t count)
{
  unsigned loading = 0;

  for (size_t i = 0; i < count; i++)
    {
      const gs_time_t *ordered_at
          = g_hash_table_lookup (placement->order_times, vms[i].name);

      loading += ordered_at != NULL && now < *ordered_at + LOADING_TIMEOUT
                 && vms[i].version[0] != '\0'
                 && needs_weights (placement, &vms[i]);
    }
  return loading;
}

static void
order_engines (gs_placement_t *placement, gs_time_t now,
               const gs_pool_vm_t *vms, size_t count, GArray *actions)
{
  unsigned loading = count_loading (placement, now, vms, count);
  unsigned loading_max = MAX (1, (unsigned)count / LOADING_DIVISOR);

  for (size_t i = 0; i < count; i++)
    {
      const gs_time_t *ordered_at
          = g_hash_table_lookup (placement->order_times, vms[i].name);
      gs_placement_action_t action;
      bool loads_weights = needs_weights (placement, &vms[i]);

      if (vms[i].leaving || vms[i].reported_at == 0
          || gs_placement_order_is_applied (placement, &vms[i])
          || (ordered_at != NULL
              && (now < *ordered_at + GS_PLACEMENT_ORDER_TIMEOUT
                  || vms[i].reported_at <= *ordered_at))
          || (loads_weights && now < placement->load_due))
        continue;
      if (loads_weights && vms[i].version[0] != '\0' && ordered_at == NULL
          && loading >= loading_max)
        continue;
      loading += loads_weights;
      if (loads_weights)
        placement->load_due = now + GS_PLACEMENT_LOAD_INTERVAL;
      record_time (placement->order_times, vms[i].name, now);
      action
          = make_action (GS_PLACEMENT_ORDER, &vms[i],
                         loads_weights ? GS_PLACEMENT_REASON_LOAD : "fencing");
      g_array_append_val (actions, action);
    }
}

void
gs_placement_tick (gs_placement_t *placement, gs_time_t now,
                   const gs_pool_vm_t *vms, size_t count, GArray *actions)
{
  count_vms (placement, vms, count);
  update_pending (placement, now, vms, count);
  estimate_demand (placement, now, vms, count);
  compute_wanted (placement, now);
  if (placement->fencing == 0)
    return;
  order_engines (placement, now, vms, count, actions);
  delete_drained (placement, now, vms, count, actions);
  if (now < placement->held_since + GS_PLACEMENT_LISTING_TIMEOUT)
    return;
  create_missing (placement, now, actions);
  drain_surplus (placement, now, vms, count, actions);
}

static void
back_off (gs_placement_t *placement, gs_time_t now,
          gs_placement_centre_t *centre, bool reclaimable)
{
  unsigned shift
      = MIN (centre->rejections[reclaimable], CREATE_BACKOFF_SHIFT_MAX);
  gs_time_t delay = MIN (GS_PLACEMENT_CREATE_BACKOFF_MIN << shift,
                         GS_PLACEMENT_CREATE_BACKOFF_MAX);

  /* Rejections of creations that were requested in the same tick count as
     one.  */
  if (now < centre->retry_at[reclaimable])
    return;
  centre->rejections[reclaimable]++;
  centre->retry_at[reclaimable]
      = now + delay
        + (gs_time_t)gs_rng_below (&placement->rng, (uint64_t)delay / 4);
}

void
gs_placement_create_done (gs_placement_t *placement, gs_time_t now,
                          const char *token, gs_status_t status)
{
  for (guint i = 0; i < placement->pending->len; i++)
    {
      gs_placement_pending_t *pending
          = &g_array_index (placement->pending, gs_placement_pending_t, i);
      gs_placement_centre_t *centre = &placement->centres[pending->centre];
      bool reclaimable = pending->reclaimable;

      if (strcmp (pending->token, token) != 0)
        continue;
      pending->confirmed = status == GS_OK;
      if (status == GS_OK)
        centre->rejections[reclaimable] = 0;
      if (status == GS_EREFUSED || status == GS_EUNREACHABLE)
        {
          back_off (placement, now, centre, reclaimable);
          g_array_remove_index_fast (placement->pending, i);
        }
      return;
    }
}

void
gs_placement_load_rejected (gs_placement_t *placement, gs_time_t now,
                            const char *vm)
{
  g_hash_table_remove (placement->order_times, vm);
  placement->load_due
      = MAX (placement->load_due, now + GS_PLACEMENT_LOAD_BACKOFF);
}

void
gs_placement_order_failed (gs_placement_t *placement, gs_time_t now,
                           const char *vm)
{
  record_time (placement->order_times, vm, now);
}
