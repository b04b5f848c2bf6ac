#include "check.h"

#include "control/config.h"
#include "control/lease.h"

#include <glib.h>
#include <string.h>

/* Runs random schedules of the transitions of models/config.pml and
   models/lease.pml against the implementation and checks the invariants of
   these models.  */

#define SCHEDULES 3000
#define STEPS 60
#define NODES 2

static gs_rng_t rng;

static bool
toss (void)
{
  return gs_rng_below (&rng, 2) == 0;
}

/* ------------------------------ configuration ------------------------- */

typedef struct
{
  gs_config_t nodes[NODES];
  gs_config_id_t store;
  uint64_t version;
  GArray *actions;
  gs_time_t now;
} config_world_t;

static void
check_not_back (gs_config_id_t before, const gs_config_t *config)
{
  CU_ASSERT_FATAL (gs_config_id_compare (config->current, before) >= 0);
}

static void
read_store (config_world_t *world, gs_config_t *config)
{
  gs_config_id_t before = config->current;

  gs_config_read_done (config, world->now, GS_OK, world->version, world->store,
                       world->actions);
  check_not_back (before, config);
}

/* Performs a requested write-back; a random one finds that another write came
   first.  */
static void
write_back (config_world_t *world, gs_config_t *config)
{
  for (guint i = 0; i < world->actions->len; i++)
    {
      const gs_config_action_t *action
          = &g_array_index (world->actions, gs_config_action_t, i);
      bool holds = action->version == world->version && toss ();

      if (action->kind != GS_CONFIG_WRITE_BACK)
        continue;
      if (holds)
        {
          world->store = config->current;
          world->version++;
        }
      gs_config_write_done (config, world->now, holds ? GS_OK : GS_ECONFLICT,
                            world->version);
    }
  g_array_set_size (world->actions, 0);
}

static void
edit_by (config_world_t *world, unsigned n)
{
  gs_config_t *config = &world->nodes[n];
  uint64_t version = world->version;
  gs_config_id_t next;

  read_store (world, config);
  g_array_set_size (world->actions, 0);
  if (!gs_config_is_editable (config))
    return;
  next = (gs_config_id_t){ config->current.generation + 1, n + 1 };
  CU_ASSERT (gs_config_id_compare (next, config->current) > 0);
  if (version != world->version || toss ())
    return;
  world->store = next;
  world->version++;
  if (toss ())
    gs_config_text_receive (config, world->now, next, world->actions);
}

static void
step_config (config_world_t *world)
{
  unsigned n = (unsigned)gs_rng_below (&rng, NODES);
  gs_config_t *config = &world->nodes[n];
  gs_config_t *other = &world->nodes[1 - n];
  gs_config_id_t before = config->current;

  world->now += 100 * GS_MSEC;
  switch (gs_rng_below (&rng, 6))
    {
    case 0:
      read_store (world, config);
      break;
    case 1:
      gs_config_announcement_receive (config, world->now, 2 - n,
                                      other->current, world->actions);
      break;
    case 2:
      gs_config_text_receive (config, world->now, other->current,
                              world->actions);
      break;
    case 3:
      edit_by (world, n);
      break;
    case 4: /* the store is restored from an older backup */
      if (world->store.generation > 0 && gs_rng_below (&rng, 8) == 0)
        {
          world->store.generation--;
          world->version++;
        }
      break;
    default: /* the process restarts */
      if (gs_rng_below (&rng, 8) == 0)
        {
          gs_config_init (config, world->now, gs_rng_next (&rng));
          gs_config_set_watcher (config, world->now, true);
          before = config->current;
        }
      break;
    }
  check_not_back (before, config);
  write_back (world, config);
}

static void
settle_config (config_world_t *world)
{
  for (int round = 0; round < 40; round++)
    for (unsigned n = 0; n < NODES; n++)
      {
        world->now += GS_SEC;
        read_store (world, &world->nodes[n]);
        write_back (world, &world->nodes[n]);
        gs_config_text_receive (&world->nodes[n], world->now,
                                world->nodes[1 - n].current, world->actions);
        g_array_set_size (world->actions, 0);
      }
  CU_ASSERT (
      gs_config_id_compare (world->nodes[0].current, world->nodes[1].current)
      == 0);
  CU_ASSERT (gs_config_id_compare (world->nodes[0].current, world->store)
             == 0);
}

static void
nobody_goes_back_and_all_agree (void)
{
  for (uint64_t seed = 1; seed <= SCHEDULES; seed++)
    {
      config_world_t world = { .version = 1, .now = GS_SEC };

      gs_rng_seed (&rng, seed);
      world.actions = g_array_new (FALSE, FALSE, sizeof (gs_config_action_t));
      for (unsigned n = 0; n < NODES; n++)
        {
          gs_config_init (&world.nodes[n], world.now, seed);
          gs_config_set_watcher (&world.nodes[n], world.now, true);
        }
      for (int step = 0; step < STEPS; step++)
        step_config (&world);
      settle_config (&world);
      g_array_unref (world.actions);
    }
}

/* ---------------------------------- lease ----------------------------- */

#define WRITES_MAX 2

typedef struct
{
  bool on_way;
  bool answered; /* the node no longer waits for its reply */
  gs_lease_action_t action;
} write_t;

typedef struct
{
  gs_lease_t nodes[NODES];
  write_t writes[NODES][WRITES_MAX];
  gs_time_t acted_at[NODES]; /* last check that allowed an order; 0: none */
  int waiting[NODES];        /* index of the write without a reply, or -1 */
  gs_lease_record_t record;
  uint64_t version;
  gs_time_t now;
} lease_world_t;

static void
answer_read (lease_world_t *world, unsigned n)
{
  if (toss ())
    gs_lease_read_done (&world->nodes[n], world->now, GS_ETIMEOUT, 0, NULL);
  else
    gs_lease_read_done (&world->nodes[n], world->now,
                        world->version > 0 ? GS_OK : GS_ENOTFOUND,
                        world->version,
                        world->version > 0 ? &world->record : NULL);
}

static void
tick_lease (lease_world_t *world, unsigned n)
{
  gs_lease_action_t action;
  int slot = !world->writes[n][0].on_way   ? 0
             : !world->writes[n][1].on_way ? 1
                                           : -1;

  if (world->waiting[n] >= 0 || slot < 0)
    return;
  action = gs_lease_tick (&world->nodes[n], world->now,
                          gs_rng_below (&rng, 16) != 0);
  if (action.kind == GS_LEASE_READ)
    answer_read (world, n);
  if (action.kind != GS_LEASE_WRITE)
    return;
  /* One thread sends the orders and then releases the lease, so no order
     follows the release.  */
  if (action.record.holder[0] == '\0')
    world->acted_at[n] = 0;
  world->writes[n][slot] = (write_t){ true, false, action };
  world->waiting[n] = slot;
}

/* Applies a write at the store; its reply may be lost.  */
static void
arrive (lease_world_t *world, unsigned n, int slot)
{
  write_t *write = &world->writes[n][slot];
  bool holds = write->action.version == world->version;

  if (!write->on_way)
    return;
  write->on_way = false;
  if (holds)
    {
      world->record = write->action.record;
      world->version++;
    }
  if (world->waiting[n] != slot)
    return;
  world->waiting[n] = -1;
  gs_lease_write_done (&world->nodes[n], world->now,
                       toss () ? GS_ETIMEOUT
                       : holds ? GS_OK
                               : GS_ECONFLICT,
                       world->version);
}

/* Times out a write that may still reach the store.  */
static void
give_up_waiting (lease_world_t *world, unsigned n)
{
  if (world->waiting[n] < 0)
    return;
  world->waiting[n] = -1;
  gs_lease_write_done (&world->nodes[n], world->now, GS_ETIMEOUT, 0);
}

/* A process may pause for up to GS_LEASE_PAUSE_MAX between the check of its
   lease and the order that follows.  Until this time has passed, the other
   node's lease must not be valid.  */
static void
check_leases (lease_world_t *world)
{
  for (unsigned n = 0; n < NODES; n++)
    {
      gs_time_t other = world->acted_at[1 - n];

      if (!gs_lease_is_valid (&world->nodes[n], world->now))
        continue;
      CU_ASSERT_FATAL (other == 0 || world->now >= other + GS_LEASE_PAUSE_MAX);
      world->acted_at[n] = world->now;
    }
}

static void
no_two_act_at_once_and_numbers_rise (void)
{
  unsigned held = 0;

  for (uint64_t seed = 1; seed <= SCHEDULES; seed++)
    {
      lease_world_t world = { .now = GS_SEC, .waiting = { -1, -1 } };
      uint64_t fencing = 0;

      gs_rng_seed (&rng, seed);
      gs_lease_init (&world.nodes[0], "a", 1);
      gs_lease_init (&world.nodes[1], "b", 2);
      for (int step = 0; step < 4 * STEPS; step++)
        {
          unsigned n = (unsigned)gs_rng_below (&rng, NODES);

          world.now += (gs_time_t)gs_rng_below (&rng, 2 * GS_SEC);
          tick_lease (&world, n);
          if (toss ())
            arrive (&world, n, (int)gs_rng_below (&rng, WRITES_MAX));
          else if (gs_rng_below (&rng, 4) == 0)
            give_up_waiting (&world, n);
          check_leases (&world);
          CU_ASSERT_FATAL (world.record.fencing >= fencing);
          fencing = world.record.fencing;
          held += gs_lease_is_valid (&world.nodes[n], world.now);
        }
    }
  CU_ASSERT (held > SCHEDULES);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "nobody_goes_back_and_all_agree", nobody_goes_back_and_all_agree },
    { "no_two_act_at_once_and_numbers_rise",
      no_two_act_at_once_and_numbers_rise },
  };

  return CHECK_RUN ("schedules", cases);
}
