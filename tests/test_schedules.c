#include "check.h"

#include "control/config.h"
#include "control/lease.h"

#include <glib.h>
#include <string.h>

/* Runs random schedules of the transitions of models/config.pml and
   models/lease.pml against the implementation and checks the invariants of
   these models.  */

#define SCHEDULE_COUNT 3000
#define STEP_COUNT 60
#define NODE_COUNT 2

static gs_rng_t rng;

static bool
random_bool (void)
{
  return gs_rng_below (&rng, 2) == 0;
}

/* ------------------------------ configuration ------------------------- */

typedef struct
{
  gs_config_t nodes[NODE_COUNT];
  gs_config_id_t store;
  uint64_t version;
  GArray *actions;
  gs_time_t now;
} config_world_t;

static void
check_not_older (gs_config_id_t before, const gs_config_t *config)
{
  CU_ASSERT_FATAL (gs_config_id_compare (config->current, before) >= 0);
}

static void
read_store (config_world_t *world, gs_config_t *config)
{
  gs_config_id_t before = config->current;

  gs_config_read_done (config, world->now, GS_OK, world->version, world->store,
                       world->actions);
  check_not_older (before, config);
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
      bool matches = action->version == world->version && random_bool ();

      if (action->kind != GS_CONFIG_WRITE_BACK)
        continue;
      if (matches)
        {
          world->store = config->current;
          world->version++;
        }
      gs_config_write_done (config, world->now, matches ? GS_OK : GS_ECONFLICT,
                            world->version);
    }
  g_array_set_size (world->actions, 0);
}

static void
edit_catalogue (config_world_t *world, unsigned n)
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
  if (version != world->version || random_bool ())
    return;
  world->store = next;
  world->version++;
  if (random_bool ())
    gs_config_text_receive (config, world->now, next, world->actions);
}

static void
step_config (config_world_t *world)
{
  unsigned n = (unsigned)gs_rng_below (&rng, NODE_COUNT);
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
      edit_catalogue (world, n);
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
          gs_config_watcher_set (config, world->now, true);
          before = config->current;
        }
      break;
    }
  check_not_older (before, config);
  write_back (world, config);
}

static void
settle_config (config_world_t *world)
{
  for (int round = 0; round < 40; round++)
    for (unsigned n = 0; n < NODE_COUNT; n++)
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
config_never_regresses_and_nodes_converge (void)
{
  for (uint64_t seed = 1; seed <= SCHEDULE_COUNT; seed++)
    {
      config_world_t world = { .version = 1, .now = GS_SEC };

      gs_rng_seed (&rng, seed);
      world.actions = g_array_new (FALSE, FALSE, sizeof (gs_config_action_t));
      for (unsigned n = 0; n < NODE_COUNT; n++)
        {
          gs_config_init (&world.nodes[n], world.now, seed);
          gs_config_watcher_set (&world.nodes[n], world.now, true);
        }
      for (int step = 0; step < STEP_COUNT; step++)
        step_config (&world);
      settle_config (&world);
      g_array_unref (world.actions);
    }
}

/* ---------------------------------- lease ----------------------------- */

#define WRITES_MAX 2

typedef struct
{
  bool in_flight;
  bool answered; /* the node no longer waits for its reply */
  gs_lease_action_t action;
} lease_write_t;

typedef struct
{
  gs_lease_t nodes[NODE_COUNT];
  lease_write_t writes[NODE_COUNT][WRITES_MAX];
  gs_time_t allowed_at[NODE_COUNT]; /* latest check that was valid; 0: none */
  int pending_write[NODE_COUNT];    /* slot of the unanswered write, or -1 */
  gs_lease_record_t record;
  uint64_t version;
  gs_time_t now;
} lease_world_t;

static void
reply_to_read (lease_world_t *world, unsigned n)
{
  if (random_bool ())
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
  int slot = !world->writes[n][0].in_flight   ? 0
             : !world->writes[n][1].in_flight ? 1
                                              : -1;

  if (world->pending_write[n] >= 0 || slot < 0)
    return;
  action = gs_lease_tick (&world->nodes[n], world->now,
                          gs_rng_below (&rng, 16) != 0);
  if (action.kind == GS_LEASE_READ)
    reply_to_read (world, n);
  if (action.kind != GS_LEASE_WRITE)
    return;
  /* One thread sends the orders and then releases the lease, so no order
     follows the release.  */
  if (action.record.holder[0] == '\0')
    world->allowed_at[n] = 0;
  world->writes[n][slot] = (lease_write_t){ true, false, action };
  world->pending_write[n] = slot;
}

/* Applies a write at the store; its reply may be lost.  */
static void
deliver_write (lease_world_t *world, unsigned n, int slot)
{
  lease_write_t *write = &world->writes[n][slot];
  bool matches = write->action.version == world->version;

  if (!write->in_flight)
    return;
  write->in_flight = false;
  if (matches)
    {
      world->record = write->action.record;
      world->version++;
    }
  if (world->pending_write[n] != slot)
    return;
  world->pending_write[n] = -1;
  gs_lease_write_done (&world->nodes[n], world->now,
                       random_bool () ? GS_ETIMEOUT
                       : matches      ? GS_OK
                                      : GS_ECONFLICT,
                       world->version);
}

/* Times out a write that may still reach the store.  */
static void
time_out_write (lease_world_t *world, unsigned n)
{
  if (world->pending_write[n] < 0)
    return;
  world->pending_write[n] = -1;
  gs_lease_write_done (&world->nodes[n], world->now, GS_ETIMEOUT, 0);
}

/* A process may pause for up to GS_LEASE_PAUSE_MAX between the check of its
   lease and the order that follows.  Until this time has passed, the other
   node's lease must not be valid.  */
static void
check_leases (lease_world_t *world)
{
  for (unsigned n = 0; n < NODE_COUNT; n++)
    {
      gs_time_t other = world->allowed_at[1 - n];

      if (!gs_lease_is_valid (&world->nodes[n], world->now))
        continue;
      CU_ASSERT_FATAL (other == 0 || world->now >= other + GS_LEASE_PAUSE_MAX);
      world->allowed_at[n] = world->now;
    }
}

static void
leases_never_overlap_and_fencing_tokens_never_decrease (void)
{
  unsigned valid_count = 0;

  for (uint64_t seed = 1; seed <= SCHEDULE_COUNT; seed++)
    {
      lease_world_t world = { .now = GS_SEC, .pending_write = { -1, -1 } };
      uint64_t fencing = 0;

      gs_rng_seed (&rng, seed);
      gs_lease_init (&world.nodes[0], "a", 1);
      gs_lease_init (&world.nodes[1], "b", 2);
      for (int step = 0; step < 4 * STEP_COUNT; step++)
        {
          unsigned n = (unsigned)gs_rng_below (&rng, NODE_COUNT);

          world.now += (gs_time_t)gs_rng_below (&rng, 2 * GS_SEC);
          tick_lease (&world, n);
          if (random_bool ())
            deliver_write (&world, n, (int)gs_rng_below (&rng, WRITES_MAX));
          else if (gs_rng_below (&rng, 4) == 0)
            time_out_write (&world, n);
          check_leases (&world);
          CU_ASSERT_FATAL (world.record.fencing >= fencing);
          fencing = world.record.fencing;
          valid_count += gs_lease_is_valid (&world.nodes[n], world.now);
        }
    }
  CU_ASSERT (valid_count > SCHEDULE_COUNT);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "config_never_regresses_and_nodes_converge",
      config_never_regresses_and_nodes_converge },
    { "leases_never_overlap_and_fencing_tokens_never_decrease",
      leases_never_overlap_and_fencing_tokens_never_decrease },
  };

  return CHECK_RUN ("schedules", cases);
}
