#include "fleet_private.h"

#include "node/peer.h"

#include <string.h>

/* Of the nodes that poll an upstream, one forwards its load.  */
#define PASSING 1
/* Connections of a node to each other region.  */
#define LINKS 2
#define WATCH_JOB "platform"

void
fleet_name_nodes (fleet_t *fleet)
{
  for (unsigned i = 0; i < fleet->options.nodes; i++)
    {
      node_t *node = &fleet->nodes[i];

      g_snprintf (node->name, sizeof node->name, "n%u", i);
      g_snprintf (node->region, sizeof node->region, "r%u",
                  i % fleet->options.regions);
    }
}

/* @return the names of the nodes of a region; the names are not copied.  */
static GPtrArray *
names_of (const fleet_t *fleet, const char *region)
{
  GPtrArray *names = g_ptr_array_new ();

  for (unsigned i = 0; i < fleet->options.nodes; i++)
    if (strcmp (fleet->nodes[i].region, region) == 0)
      g_ptr_array_add (names, fleet->nodes[i].name);
  return names;
}

#define NAMES(array) ((const char *const *)(array)->pdata), (array)->len

/* Connects a node to its region and to chosen nodes of the others.
   @param own names of the nodes of its region  */
static void
connect_node (fleet_t *fleet, node_t *node, const GPtrArray *own)
{
  for (unsigned i = 0; i < fleet->options.nodes; i++)
    {
      node_t *other = &fleet->nodes[i];
      uint16_t index = (uint16_t)i;
      bool same = strcmp (other->region, node->region) == 0;
      GPtrArray *theirs = names_of (fleet, other->region);

      if (other != node
          && (same || fleet->options.full_mesh
              || gs_rendezvous_is_chosen (node->name, other->name,
                                          NAMES (theirs), LINKS)
              || gs_rendezvous_is_chosen (other->name, node->name, NAMES (own),
                                          LINKS)))
        {
          g_array_append_val (node->peers, index);
          gs_membership_peer_up (&node->members, 0, other->name, i + 1);
        }
      g_ptr_array_unref (theirs);
    }
}

void
fleet_start_node (fleet_t *fleet, node_t *node)
{
  GPtrArray *own = names_of (fleet, node->region);
  event_t event
      = { .kind = EVENT_TICK, .to = (uint16_t)(node - fleet->nodes) };
  char upstream[24];

  gs_config_init (&node->config, 0, gs_rng_next (&fleet->rng));
  gs_membership_init (&node->members);
  node->peers = g_array_new (FALSE, FALSE, sizeof (uint16_t));
  if (!fleet->options.plain)
    connect_node (fleet, node, own);
  node->watcher = gs_rendezvous_is_chosen (WATCH_JOB, node->name, NAMES (own),
                                           GS_CONFIG_WATCHERS_MAX);
  for (unsigned i = event.to % fleet->options.regions;
       i < fleet->options.upstreams; i += fleet->options.regions)
    {
      g_snprintf (upstream, sizeof upstream, "engine-%u", i);
      node->loads += gs_rendezvous_is_chosen (upstream, node->name,
                                              NAMES (own), PASSING);
    }
  node->region_peers = own->len - 1;
  g_ptr_array_unref (own);
  if (!fleet->options.start_at_once)
    fleet_take_text (fleet, node, 1);
  node->heartbeat_due = (gs_time_t)gs_rng_below (
      &fleet->rng, (uint64_t)gs_peer_heartbeat_interval (node->peers->len));
  fleet_schedule (fleet, (gs_time_t)gs_rng_below (&fleet->rng, FLEET_TICK),
                  &event);
}
