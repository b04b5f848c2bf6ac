#include "fleet_private.h"

#include "node/peer.h"

#include <string.h>

/* Of the nodes that poll an upstream, one forwards its load.  */
#define FORWARDERS_PER_UPSTREAM 1
/* Connections of a node to each other region.  */
#define LINKS_PER_REGION 2
#define WATCH_DUTY "platform"

void
fleet_nodes_name (fleet_t *fleet)
{
  for (unsigned i = 0; i < fleet->options.nodes; i++)
    {
      fleet_node_t *node = &fleet->nodes[i];

      g_snprintf (node->name, sizeof node->name, "n%u", i);
      g_snprintf (node->region, sizeof node->region, "r%u",
                  i % fleet->options.regions);
    }
}

/* @return the names of the nodes of a region; the names are not copied.  */
static GPtrArray *
region_node_names (const fleet_t *fleet, const char *region)
{
  GPtrArray *names = g_ptr_array_new ();

  for (unsigned i = 0; i < fleet->options.nodes; i++)
    if (strcmp (fleet->nodes[i].region, region) == 0)
      g_ptr_array_add (names, fleet->nodes[i].name);
  return names;
}

#define NAMES(array) ((const char *const *)(array)->pdata), (array)->len

/* Connects a node to its region and to chosen nodes of the others.
   @param own_region_names names of the nodes of its region  */
static void
connect_node (fleet_t *fleet, fleet_node_t *node,
              const GPtrArray *own_region_names)
{
  for (unsigned i = 0; i < fleet->options.nodes; i++)
    {
      fleet_node_t *other = &fleet->nodes[i];
      uint16_t index = (uint16_t)i;
      bool same_region = strcmp (other->region, node->region) == 0;
      GPtrArray *other_region_names = region_node_names (fleet, other->region);

      if (other != node
          && (same_region || fleet->options.full_mesh
              || gs_rendezvous_is_chosen (node->name, other->name,
                                          NAMES (other_region_names),
                                          LINKS_PER_REGION)
              || gs_rendezvous_is_chosen (other->name, node->name,
                                          NAMES (own_region_names),
                                          LINKS_PER_REGION)))
        {
          g_array_append_val (node->peers, index);
          gs_membership_peer_up (&node->members, 0, other->name, i + 1);
        }
      g_ptr_array_unref (other_region_names);
    }
}

void
fleet_node_start (fleet_t *fleet, fleet_node_t *node)
{
  GPtrArray *own_region_names = region_node_names (fleet, node->region);
  fleet_event_t event
      = { .kind = EVENT_TICK, .to = (uint16_t)(node - fleet->nodes) };
  char upstream[24];

  gs_config_init (&node->config, 0, gs_rng_next (&fleet->rng));
  gs_membership_init (&node->members);
  node->peers = g_array_new (FALSE, FALSE, sizeof (uint16_t));
  if (!fleet->options.independent)
    connect_node (fleet, node, own_region_names);
  node->watcher = gs_rendezvous_is_chosen (WATCH_DUTY, node->name,
                                           NAMES (own_region_names),
                                           GS_CONFIG_WATCHERS_MAX);
  for (unsigned i = event.to % fleet->options.regions;
       i < fleet->options.upstreams; i += fleet->options.regions)
    {
      g_snprintf (upstream, sizeof upstream, "engine-%u", i);
      node->forwarded_loads += gs_rendezvous_is_chosen (
          upstream, node->name, NAMES (own_region_names),
          FORWARDERS_PER_UPSTREAM);
    }
  node->region_peers = own_region_names->len - 1;
  g_ptr_array_unref (own_region_names);
  if (!fleet->options.cold_start)
    fleet_text_receive (fleet, node, 1);
  node->heartbeat_due = (gs_time_t)gs_rng_below (
      &fleet->rng, (uint64_t)gs_peer_heartbeat_interval (node->peers->len));
  fleet_event_schedule (
      fleet, (gs_time_t)gs_rng_below (&fleet->rng, FLEET_TICK_INTERVAL),
      &event);
}
