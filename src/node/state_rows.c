#include "node/state_rows.h"

#include "control/drain.h"

#include <string.h>

#define REASON_BYTES 256

static const char *
state_name (gs_vm_state_t state)
{
  static const char *const names[] = { "live", "leaving", "gone" };

  return names[state];
}

static bool
explain_drain (char *reason, const gs_snapshot_t *snapshot, const char *name)
{
  const gs_vm_entry_t *drain = gs_drain_entry_find (snapshot, name);

  if (drain == NULL)
    return false;
  g_snprintf (reason, REASON_BYTES, "drained by %s in generation %llu: %s",
              drain->entry.changed_by != NULL ? drain->entry.changed_by : "-",
              (unsigned long long)drain->entry.version, drain->entry.purpose);
  return true;
}

static void
explain_node (char *reason, const gs_snapshot_t *snapshot,
              const gs_node_info_t *node, bool self)
{
  if (explain_drain (reason, snapshot, node->name))
    return;
  if (node->state != GS_VM_LIVE)
    g_strlcpy (reason, "state reported by the VM list", REASON_BYTES);
  else if (self)
    g_strlcpy (reason, "the node that answers this query", REASON_BYTES);
  else if (node->connected)
    g_strlcpy (reason, "authenticated on an open connection", REASON_BYTES);
  else
    g_strlcpy (reason, "in the VM list, but not connected and authenticated",
               REASON_BYTES);
}

/* @return seconds since the node put its generation in force, according to its
   latest report; -1 if it has reported none.  */
static json_int_t
generation_age (const gs_node_info_t *node, gs_time_t now)
{
  if (node->generation_at == 0)
    return -1;
  return (json_int_t)((now - node->generation_at) / GS_SEC);
}

static json_t *
node_rows (const gs_snapshot_t *snapshot, const char *self_name)
{
  json_t *rows = json_array ();
  gs_time_t now = gs_clock_now ();

  for (size_t i = 0; i < snapshot->node_count; i++)
    {
      const gs_node_info_t *node = &snapshot->nodes[i];
      bool self = strcmp (node->name, self_name) == 0;
      char incarnation[20];
      char reason[REASON_BYTES];

      explain_node (reason, snapshot, node, self);
      g_snprintf (incarnation, sizeof incarnation, "%016llx",
                  (unsigned long long)node->incarnation);
      json_array_append_new (
          rows,
          json_pack ("{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:b,s:s}", "name",
                     node->name, "region", node->region, "data_centre",
                     node->data_centre, "state", state_name (node->state),
                     "incarnation", incarnation, "generation",
                     (json_int_t)node->generation, "age_s",
                     generation_age (node, now), "connected",
                     (int)(node->connected || self), "why", reason));
    }
  return rows;
}

static void
explain_upstream (char *reason, const gs_snapshot_t *snapshot,
                  const gs_upstream_info_t *upstream, gs_time_t now)
{
  if (explain_drain (reason, snapshot, upstream->name))
    return;
  if (upstream->state != GS_VM_LIVE)
    g_strlcpy (reason, "state reported by the VM list or a notice",
               REASON_BYTES);
  else if (upstream->reported_at == 0)
    g_strlcpy (reason, "in the VM list; no load report yet", REASON_BYTES);
  else
    g_snprintf (reason, REASON_BYTES, "load reported %lld ms ago",
                (long long)((now - upstream->reported_at) / GS_MSEC));
}

static json_t *
upstream_rows (const gs_snapshot_t *snapshot)
{
  gs_time_t now = gs_clock_now ();
  json_t *rows = json_array ();

  for (size_t i = 0; i < snapshot->upstream_count; i++)
    {
      const gs_upstream_info_t *upstream = &snapshot->upstreams[i];
      char reason[REASON_BYTES];

      explain_upstream (reason, snapshot, upstream, now);
      json_array_append_new (
          rows,
          json_pack (
              "{s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:I,s:s}", "name",
              upstream->name, "kind",
              upstream->kind == GS_UPSTREAM_ENGINE ? "engine" : "service",
              "target", upstream->target, "data_centre", upstream->data_centre,
              "class", upstream->reclaimable ? "reclaimable" : "on_demand",
              "state", state_name (upstream->state), "running",
              (int)upstream->running, "queued", (int)upstream->queued,
              "queued_tokens", (int)upstream->queued_tokens, "price_micros",
              (json_int_t)upstream->price_micros, "why", reason));
    }
  return rows;
}

static void
explain_lease (char *reason, const gs_lease_info_t *lease, gs_time_t now)
{
  if (lease->act_deadline > now)
    g_snprintf (reason, REASON_BYTES, "this node may act for another %lld ms",
                (long long)((lease->act_deadline - now) / GS_MSEC));
  else if (lease->act_deadline > 0)
    g_strlcpy (reason, "this node held the lease, but may no longer act",
               REASON_BYTES);
  else if (lease->reported_at == 0)
    g_strlcpy (reason, "the store has not been read yet", REASON_BYTES);
  else
    g_snprintf (reason, REASON_BYTES, "read from the store %lld ms ago",
                (long long)((now - lease->reported_at) / GS_MSEC));
}

static json_t *
lease_rows (const gs_snapshot_t *snapshot)
{
  gs_time_t now = gs_clock_now ();
  json_t *rows = json_array ();

  for (size_t i = 0; i < snapshot->lease_count; i++)
    {
      const gs_lease_info_t *lease = &snapshot->leases[i];
      char reason[REASON_BYTES];

      explain_lease (reason, lease, now);
      json_array_append_new (
          rows, json_pack ("{s:s,s:s,s:I,s:s}", "pool", lease->pool, "holder",
                           lease->holder, "fencing",
                           (json_int_t)lease->fencing, "why", reason));
    }
  return rows;
}

static void
explain_placement (char *reason, const gs_placement_info_t *row, gs_time_t now)
{
  uint32_t wanted = row->wanted_reclaimable + row->wanted_on_demand;

  if (row->retry_at > now)
    g_snprintf (reason, REASON_BYTES,
                "the cloud rejected an order; retry in %lld ms",
                (long long)((row->retry_at - now) / GS_MSEC));
  else if (row->live + row->creating < wanted)
    g_snprintf (reason, REASON_BYTES, "%u fewer than wanted",
                wanted - row->live - row->creating);
  else if (row->creating > 0)
    g_strlcpy (reason, "ordered VMs are not in the VM list yet", REASON_BYTES);
  else if (row->live > wanted)
    g_snprintf (reason, REASON_BYTES, "%u more than wanted",
                row->live - wanted);
  else
    g_strlcpy (reason, "at the wanted number", REASON_BYTES);
}

static json_t *
placement_rows (const gs_snapshot_t *snapshot)
{
  gs_time_t now = gs_clock_now ();
  json_t *rows = json_array ();

  for (size_t i = 0; i < snapshot->placement_count; i++)
    {
      const gs_placement_info_t *row = &snapshot->placements[i];
      char reason[REASON_BYTES];

      explain_placement (reason, row, now);
      json_array_append_new (
          rows,
          json_pack ("{s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:s}", "pool", row->pool,
                     "data_centre", row->data_centre, "wanted_reclaimable",
                     (int)row->wanted_reclaimable, "wanted_on_demand",
                     (int)row->wanted_on_demand, "live", (int)row->live,
                     "leaving", (int)row->leaving, "creating",
                     (int)row->creating, "why", reason));
    }
  return rows;
}

json_t *
gs_state_rows (const gs_snapshot_t *snapshot, const char *table,
               const char *self)
{
  if (strcmp (table, "nodes") == 0)
    return node_rows (snapshot, self);
  if (strcmp (table, "upstreams") == 0)
    return upstream_rows (snapshot);
  if (strcmp (table, "leases") == 0)
    return lease_rows (snapshot);
  if (strcmp (table, "placements") == 0)
    return placement_rows (snapshot);
  return NULL;
}
