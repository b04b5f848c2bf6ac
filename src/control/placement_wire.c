#include "control/control_private.h"

#include "control/lease.h"
#include "control/placement.h"
#include "control/pool_spec.h"
#include "control/rendezvous.h"
#include "garnetstack/log.h"

#include <jansson.h>
#include <string.h>

/* Nodes of a region that try to acquire the lease of a pool.  */
#define LEASE_CANDIDATE_COUNT 2
#define TICK_INTERVAL GS_SEC
/* Interval of the holder's reports to the region.  */
#define REPORT_INTERVAL (5 * GS_SEC)

/* State of one pool.  It is not freed while the control thread runs, because
   calls in flight refer to it.  */
typedef struct
{
  gs_control_t *control;
  char name[GS_NAME_BYTES];
  char *key; /* of the lease in the store */
  gs_lease_t lease;
  gs_placement_t placement;
  gs_time_t report_due;
  GPtrArray *calls; /* of pool_call_t, in flight */
  bool listed;      /* the pool is in the catalogue */
} pool_state_t;

/* A call to the platform, the weight store or an engine.  */
typedef struct
{
  pool_state_t *pool;
  char name[GS_NAME_BYTES]; /* token of a creation, else name of the VM */
} pool_call_t;

static void
pool_free (gpointer data)
{
  pool_state_t *pool = data;

  g_ptr_array_unref (pool->calls);
  gs_placement_clear (&pool->placement);
  g_free (pool->key);
  g_free (pool);
}

void
gs_placement_wire_open (gs_control_t *control)
{
  control->pools = g_ptr_array_new_with_free_func (pool_free);
  gs_reports_open (control);
}

void
gs_placement_wire_close (gs_control_t *control)
{
  g_hash_table_unref (control->reports);
  g_ptr_array_unref (control->pools);
}

static pool_state_t *
get_pool (gs_control_t *control, const char *name)
{
  const gs_settings_t *settings = control->options.settings;
  pool_state_t *pool;

  for (guint i = 0; i < control->pools->len; i++)
    {
      pool = control->pools->pdata[i];
      if (strcmp (pool->name, name) == 0)
        return pool;
    }
  pool = g_new0 (pool_state_t, 1);
  pool->control = control;
  g_strlcpy (pool->name, name, sizeof pool->name);
  pool->key = g_strdup_printf ("lease/%s/%s", settings->region, name);
  gs_lease_init (&pool->lease, settings->name, control->options.incarnation);
  gs_placement_init (&pool->placement, name, control->options.incarnation);
  pool->calls = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (control->pools, pool);
  return pool;
}

static void
add_data_centre (GPtrArray *centres, const char *name)
{
  for (guint i = 0; i < centres->len; i++)
    if (strcmp (centres->pdata[i], name) == 0)
      return;
  if (name[0] != '\0')
    g_ptr_array_add (centres, (gpointer)name);
}

/* @return names of the region's data centres, owned by the membership
   tables.  */
static GPtrArray *
collect_data_centres (const gs_control_t *control)
{
  const gs_membership_t *members = &control->board.members;
  const char *region = control->options.settings->region;
  GPtrArray *centres = g_ptr_array_new ();
  gs_handle_t handle = GS_HANDLE_NONE;

  while ((handle = gs_table_next (members->nodes, handle)) != GS_HANDLE_NONE)
    {
      const gs_member_node_t *node = gs_table_get (members->nodes, handle);

      if (strcmp (node->info.region, region) == 0)
        add_data_centre (centres, node->info.data_centre);
    }
  handle = GS_HANDLE_NONE;
  while ((handle = gs_table_next (members->upstreams, handle))
         != GS_HANDLE_NONE)
    {
      const gs_member_upstream_t *upstream
          = gs_table_get (members->upstreams, handle);

      if (gs_membership_upstream_is_in_region (members, upstream, region))
        add_data_centre (centres, upstream->info.data_centre);
    }
  return centres;
}

static void
update_pools (gs_control_t *control)
{
  gs_catalogue_t *catalogue = control->board.catalogue;
  GPtrArray *centres = collect_data_centres (control);

  for (guint i = 0; i < control->pools->len; i++)
    ((pool_state_t *)control->pools->pdata[i])->listed = false;
  for (size_t i = 0; i < gs_catalogue_count (catalogue, GS_KIND_POOL); i++)
    {
      const gs_pool_t *entry
          = (const gs_pool_t *)gs_catalogue_at (catalogue, GS_KIND_POOL, i);
      gs_pool_spec_t spec = gs_pool_spec_read (catalogue, entry);
      pool_state_t *pool = get_pool (control, entry->entry.name);

      pool->listed = true;
      gs_placement_spec_set (&pool->placement, &spec,
                             (const char *const *)centres->pdata,
                             centres->len);
    }
  g_ptr_array_unref (centres);
}

/* The token of a VM that was created for a pool begins with the pool's name
   and '/'.  A VM whose token contains no '/' belongs to the first pool that
   serves its model.  */
static bool
belongs_to_pool (const gs_control_t *control, const pool_state_t *pool,
                 const gs_member_upstream_t *upstream)
{
  size_t length = strlen (pool->name);

  if (upstream->info.kind != GS_UPSTREAM_ENGINE
      || strcmp (upstream->info.target, pool->placement.spec.model) != 0)
    return false;
  if (strchr (upstream->token, '/') != NULL)
    return strncmp (upstream->token, pool->name, length) == 0
           && upstream->token[length] == '/';
  for (guint i = 0; i < control->pools->len; i++)
    {
      const pool_state_t *other = control->pools->pdata[i];

      if (other->listed
          && strcmp (other->placement.spec.model, pool->placement.spec.model)
                 == 0)
        return other == pool;
    }
  return false;
}

/* @return true if an operator asked for a drain of the VM.  Such a VM is
   replaced like a reclaimed one.  */
static bool
is_drain_requested (const gs_control_t *control, const char *name)
{
  const gs_vm_entry_t *entry = (const gs_vm_entry_t *)gs_catalogue_find (
      control->board.catalogue, GS_KIND_VM, name);

  return entry != NULL && entry->drain;
}

static GArray *
collect_vms (const gs_control_t *control, const pool_state_t *pool)
{
  const gs_membership_t *members = &control->board.members;
  GArray *vms = g_array_new (FALSE, TRUE, sizeof (gs_pool_vm_t));
  gs_handle_t handle = GS_HANDLE_NONE;

  while ((handle = gs_table_next (members->upstreams, handle))
         != GS_HANDLE_NONE)
    {
      const gs_member_upstream_t *upstream
          = gs_table_get (members->upstreams, handle);
      gs_pool_vm_t vm = { .reclaimable = upstream->info.reclaimable };

      if (!belongs_to_pool (control, pool, upstream)
          || !gs_membership_upstream_is_in_region (
              members, upstream, control->options.settings->region))
        continue;
      g_strlcpy (vm.name, upstream->info.name, sizeof vm.name);
      g_strlcpy (vm.token, upstream->token, sizeof vm.token);
      g_strlcpy (vm.data_centre, upstream->info.data_centre,
                 sizeof vm.data_centre);
      vm.leaving = upstream->info.state != GS_VM_LIVE
                   || is_drain_requested (control, upstream->info.name);
      vm.price_micros = upstream->info.price_micros;
      vm.reported_at = upstream->served.reported_at;
      vm.fencing = upstream->served.fencing;
      g_strlcpy (vm.model, upstream->served.model, sizeof vm.model);
      g_strlcpy (vm.version, upstream->served.version, sizeof vm.version);
      g_strlcpy (vm.adapters, upstream->served.adapters, sizeof vm.adapters);
      vm.running = upstream->info.running;
      vm.queued = upstream->info.queued;
      g_array_append_val (vms, vm);
    }
  return vms;
}

static void
on_lease_read_done (void *argument, const gs_store_result_t *result)
{
  pool_state_t *pool = argument;
  gs_lease_record_t record;
  bool found = result->status == GS_OK
               && gs_lease_record_parse (&record, result->body, result->length)
                      == GS_OK;

  gs_lease_read_done (&pool->lease, gs_clock_now (), result->status,
                      result->version, found ? &record : NULL);
}

static void
on_lease_write_done (void *argument, const gs_store_result_t *result)
{
  pool_state_t *pool = argument;

  gs_lease_write_done (&pool->lease, gs_clock_now (), result->status,
                       result->version);
}

static void
tick_lease (gs_control_t *control, gs_time_t now, pool_state_t *pool)
{
  const gs_members_wire_t *members = &control->members;
  bool wanted = pool->listed && !control->board.leaving
                && gs_rendezvous_is_chosen (
                    pool->key, control->options.settings->name,
                    (const char *const *)members->region->pdata,
                    members->region->len, LEASE_CANDIDATE_COUNT);
  gs_lease_action_t action = gs_lease_tick (&pool->lease, now, wanted);
  gs_store_port_t *store = &control->store;
  gs_time_t deadline = now + GS_CONTROL_CALL_TIMEOUT;
  char *text;

  if (action.kind == GS_LEASE_READ)
    store->get (store->context, pool->key, deadline, on_lease_read_done, pool);
  else if (action.kind == GS_LEASE_WRITE)
    {
      text = gs_lease_record_format (&action.record);
      store->put (store->context, pool->key, action.version, text,
                  strlen (text), deadline, on_lease_write_done, pool);
      g_free (text);
    }
}

static pool_call_t *
call_new (pool_state_t *pool, const char *name)
{
  pool_call_t *call = g_new0 (pool_call_t, 1);

  call->pool = pool;
  g_ptr_array_add (pool->calls, call);
  g_strlcpy (call->name, name, sizeof call->name);
  return call;
}

static void
on_create_done (void *context, const gs_cloud_result_t *result)
{
  pool_call_t *call = context;

  gs_log (GS_LOG_INFO, "vm_create",
          "pool=\"%s\" token=\"%s\" result=\"%s\" reason=\"%s\"",
          call->pool->name, call->name, gs_status_name (result->status),
          result->reason);
  gs_placement_create_done (&call->pool->placement, gs_clock_now (),
                            call->name, result->status);
  g_ptr_array_remove_fast (call->pool->calls, call);
}

static void
on_delete_done (void *context, const gs_cloud_result_t *result)
{
  pool_call_t *call = context;

  gs_log (GS_LOG_INFO, "vm_delete", "pool=\"%s\" vm=\"%s\" result=\"%s\"",
          call->pool->name, call->name, gs_status_name (result->status));
  g_ptr_array_remove_fast (call->pool->calls, call);
}

static void
on_order_done (void *context, const gs_engine_result_t *result)
{
  pool_call_t *call = context;

  if (result->status != GS_OK)
    {
      gs_log (GS_LOG_WARN, "order_refused",
              "pool=\"%s\" vm=\"%s\" result=\"%s\"", call->pool->name,
              call->name, gs_status_name (result->status));
      gs_placement_order_failed (&call->pool->placement, gs_clock_now (),
                                 call->name);
    }
  g_ptr_array_remove_fast (call->pool->calls, call);
}

static void
create_vm (gs_control_t *control, pool_state_t *pool,
           const gs_placement_action_t *action)
{
  const gs_vm_request_t request
      = { action->token, "engine", pool->placement.spec.model,
          action->data_centre, action->reclaimable };

  control->cloud.create (control->cloud.context, &request,
                         gs_clock_now () + GS_CONTROL_CALL_TIMEOUT,
                         on_create_done, call_new (pool, action->token));
}

static void
delete_vm (gs_control_t *control, pool_state_t *pool, const char *vm)
{
  control->cloud.remove (control->cloud.context, vm,
                         gs_clock_now () + GS_CONTROL_CALL_TIMEOUT,
                         on_delete_done, call_new (pool, vm));
}

static void
order_engine (gs_control_t *control, pool_state_t *pool, const char *vm)
{
  const gs_pool_spec_t *spec = &pool->placement.spec;
  const gs_member_upstream_t *upstream
      = gs_membership_upstream_find (&control->board.members, vm);
  gs_engine_order_t order
      = { pool->placement.fencing, spec->model, spec->version, NULL, "serve" };
  char **adapters;
  char *url;

  if (upstream == NULL)
    return;
  url = g_strdup_printf ("http://%s:%u", upstream->info.address,
                         upstream->info.port);
  adapters = g_strsplit (spec->adapters, ",", 0);
  order.adapters = (const char *const *)adapters;
  control->engine.order (control->engine.context, url, &order,
                         gs_clock_now () + GS_CONTROL_CALL_TIMEOUT,
                         on_order_done, call_new (pool, vm));
  g_strfreev (adapters);
  g_free (url);
}

/* The lease is checked again because it may have expired during the call to
   the weight store.  */
static void
on_weights_done (void *context, const gs_weights_result_t *result)
{
  pool_call_t *call = context;
  pool_state_t *pool = call->pool;
  gs_time_t now = gs_clock_now ();

  if (result->status == GS_OK && gs_lease_is_valid (&pool->lease, now))
    order_engine (pool->control, pool, call->name);
  else
    {
      gs_log (GS_LOG_WARN, "load_refused",
              "pool=\"%s\" vm=\"%s\" version=\"%s\" result=\"%s\"", pool->name,
              call->name, pool->placement.spec.version,
              gs_status_name (result->status));
      gs_placement_load_rejected (&pool->placement, now, call->name);
    }
  g_ptr_array_remove_fast (pool->calls, call);
}

/* Asks the weight store whether its rate permits a load now, and then sends
   the order.  The engine itself fetches the weights.  */
static void
request_load (gs_control_t *control, pool_state_t *pool, const char *vm)
{
  const gs_pool_spec_t *spec = &pool->placement.spec;

  if (control->weights.context == NULL)
    order_engine (control, pool, vm);
  else
    control->weights.fetch (control->weights.context, spec->model,
                            spec->version,
                            gs_clock_now () + GS_CONTROL_CALL_TIMEOUT,
                            on_weights_done, call_new (pool, vm));
}

static void
start_action (gs_control_t *control, pool_state_t *pool,
              const gs_placement_action_t *action)
{
  gs_time_t now = gs_clock_now ();
  static const char *const kind_names[]
      = { "create", "drain", "delete", "order" };

  if (!gs_lease_is_valid (&pool->lease, now))
    return;
  gs_log (GS_LOG_INFO, "placement",
          "pool=\"%s\" decision=%s vm=\"%s\" token=\"%s\" data_centre=\"%s\" "
          "reclaimable=%d fencing=%llu why=%s",
          pool->name, kind_names[action->kind], action->vm, action->token,
          action->data_centre, (int)action->reclaimable,
          (unsigned long long)pool->placement.fencing, action->reason);
  if (action->kind == GS_PLACEMENT_CREATE)
    create_vm (control, pool, action);
  else if (action->kind == GS_PLACEMENT_DRAIN)
    gs_members_wire_drain (control, now, action->vm,
                           now + GS_PLACEMENT_DRAIN_TIMEOUT);
  else if (action->kind == GS_PLACEMENT_DELETE)
    delete_vm (control, pool, action->vm);
  else if (strcmp (action->reason, GS_PLACEMENT_REASON_LOAD) == 0)
    request_load (control, pool, action->vm);
  else
    order_engine (control, pool, action->vm);
}

/* An engine that reports a higher fencing token has an order from a later
   holder, or the store was restored from an older state.  */
static void
check_fencing (pool_state_t *pool, const GArray *vms)
{
  for (guint i = 0; i < vms->len; i++)
    gs_lease_fence (&pool->lease,
                    g_array_index (vms, gs_pool_vm_t, i).fencing);
}

static void
tick_placement (gs_control_t *control, gs_time_t now, pool_state_t *pool)
{
  GArray *actions = g_array_new (FALSE, TRUE, sizeof (gs_placement_action_t));
  GArray *vms = collect_vms (control, pool);
  bool holds_lease;

  if (gs_lease_is_valid (&pool->lease, now))
    check_fencing (pool, vms);
  holds_lease = gs_lease_is_valid (&pool->lease, now);
  gs_placement_fencing_set (&pool->placement, now,
                            holds_lease ? pool->lease.record.fencing : 0);
  if (holds_lease)
    gs_placement_tick (&pool->placement, now, (gs_pool_vm_t *)vms->data,
                       vms->len, actions);
  for (guint i = 0; i < actions->len; i++)
    start_action (control, pool,
                  &g_array_index (actions, gs_placement_action_t, i));
  g_array_unref (vms);
  g_array_unref (actions);
}

static json_t *
pack_centre (const gs_placement_centre_t *centre, gs_time_t now)
{
  gs_time_t retry_at = MAX (centre->retry_at[0], centre->retry_at[1]);

  return json_pack (
      "[s,i,i,i,i,i,I]", centre->data_centre,
      (int)(centre->wants_reclaimable ? centre->wanted : 0),
      (int)(centre->wants_reclaimable ? 0 : centre->wanted), (int)centre->live,
      (int)centre->leaving, (int)centre->creating,
      (json_int_t)(retry_at > now ? (retry_at - now) / GS_MSEC : 0));
}

static void
send_report (gs_control_t *control, gs_time_t now, pool_state_t *pool)
{
  json_t *rows = json_array ();
  gs_frame_t frame = { .type = GS_FRAME_PLACEMENT };
  json_t *root;
  char *text;

  if (pool->placement.fencing == 0 || now < pool->report_due)
    {
      json_decref (rows);
      return;
    }
  pool->report_due = now + REPORT_INTERVAL;
  for (unsigned i = 0; i < pool->placement.centre_count; i++)
    json_array_append_new (rows,
                           pack_centre (&pool->placement.centres[i], now));
  root = json_pack ("{s:s,s:s,s:I,s:o}", "pool", pool->name, "holder",
                    control->options.settings->name, "fencing",
                    (json_int_t)pool->placement.fencing, "rows", rows);
  text = json_dumps (root, JSON_COMPACT);
  frame.placement.text = gs_bytes_from_text (text);
  gs_peer_region_send (control->peer, &frame);
  gs_report_store (control, now, root, pool->lease.act_deadline);
  free (text);
  json_decref (root);
}

void
gs_placement_wire_tick (gs_control_t *control, gs_time_t now)
{
  if (control->board.catalogue == NULL || now < control->pools_due)
    return;
  control->pools_due = now + TICK_INTERVAL;
  update_pools (control);
  for (guint i = 0; i < control->pools->len; i++)
    {
      pool_state_t *pool = control->pools->pdata[i];

      tick_lease (control, now, pool);
      tick_placement (control, now, pool);
      send_report (control, now, pool);
    }
  gs_reports_tick (control, now);
}

bool
gs_placement_wire_is_holder (const gs_control_t *control, const char *model)
{
  for (guint i = 0; i < control->pools->len; i++)
    {
      const pool_state_t *pool = control->pools->pdata[i];

      if (pool->placement.fencing != 0
          && strcmp (pool->placement.spec.model, model) == 0)
        return true;
    }
  return false;
}

void
gs_placement_wire_publish (const gs_control_t *control,
                           gs_snapshot_t *snapshot)
{
  const gs_config_t *config = &control->board.config;

  snapshot->store.writes_waiting
      = config->watcher && config->store_failures > 0
        && gs_config_id_compare (config->stored, config->current) < 0;
  for (guint i = 0; i < control->pools->len; i++)
    snapshot->store.writes_waiting
        += ((const pool_state_t *)control->pools->pdata[i])
               ->lease.record_stale;
  gs_reports_publish (control, snapshot);
}
