#include "control/config.h"

#include <xxhash.h>

/* Time in which a starting node receives a message from its peers, if any.  */
#define SETTLE_TIMEOUT GS_SEC
/* Bound of the random delay before the first store call of a node that is not
   a watcher, so that a fleet that starts at once does not overload the
   store.  */
#define START_JITTER_MAX (4 * GS_SEC)
/* Minimum delay between two watches.  */
#define WATCH_INTERVAL_MIN (50 * GS_MSEC)
/* A watcher reads the object at this interval even if no watch reported a
   change, because a store restored from a backup may not report one.  */
#define READ_INTERVAL (10 * GS_SEC)

static void
append_action (GArray *actions, gs_config_action_kind_t kind, uint64_t peer,
               uint64_t version)
{
  gs_config_action_t action = { kind, peer, version };

  g_array_append_val (actions, action);
}

int
gs_config_id_compare (gs_config_id_t a, gs_config_id_t b)
{
  if (a.generation != b.generation)
    return a.generation < b.generation ? -1 : 1;
  if (a.digest != b.digest)
    return a.digest < b.digest ? -1 : 1;
  return 0;
}

gs_config_id_t
gs_config_id_compute (uint64_t generation, const char *text, size_t length)
{
  return (gs_config_id_t){ generation, XXH3_64bits (text, length) };
}

static gs_time_t
random_below (gs_config_t *config, gs_time_t bound)
{
  return (gs_time_t)gs_rng_below (&config->rng, (uint64_t)bound);
}

void
gs_config_init (gs_config_t *config, gs_time_t now, uint64_t seed)
{
  *config = (gs_config_t){ 0 };
  gs_rng_seed (&config->rng, seed);
  config->settle_deadline = now + SETTLE_TIMEOUT;
  config->store_due
      = now + SETTLE_TIMEOUT + random_below (config, START_JITTER_MAX);
}

void
gs_config_watcher_set (gs_config_t *config, gs_time_t now, bool watcher)
{
  if (watcher && !config->watcher && config->store_failures == 0)
    config->store_due = now;
  config->watcher = watcher;
}

/* Puts a text in force if it is ordered after the present one.  */
static bool
adopt (gs_config_t *config, gs_config_id_t id, GArray *actions)
{
  if (gs_config_id_compare (id, config->current) <= 0)
    return false;
  config->current = id;
  append_action (actions, GS_CONFIG_ADOPT, 0, 0);
  append_action (actions, GS_CONFIG_ANNOUNCE, 0, 0);
  return true;
}

static void
pull_highest (gs_config_t *config, gs_time_t now, GArray *actions)
{
  if (config->highest_peer == 0 || now < config->pull_due
      || gs_config_id_compare (config->highest, config->current) <= 0)
    return;
  config->pull_due = now + GS_CONFIG_PULL_TIMEOUT;
  append_action (actions, GS_CONFIG_PULL, config->highest_peer, 0);
}

/* A watcher calls the store whenever a call is due.  Any other node calls it
   only while no catalogue is in force, or if it received nothing from a peer
   or the store for half of the time after which it must stop accepting
   requests.  */
static bool
store_call_is_due (const gs_config_t *config, gs_time_t now)
{
  if (config->store_busy || now < config->store_due)
    return false;
  if (config->watcher || config->current.generation == 0)
    return true;
  return now - MAX (config->peer_message_at, config->store_response_at)
         > GS_CONFIG_ISOLATION_TIMEOUT / 2;
}

void
gs_config_tick (gs_config_t *config, gs_time_t now, GArray *actions)
{
  pull_highest (config, now, actions);
  if (!store_call_is_due (config, now))
    return;
  config->store_busy = true;
  if (config->revision > 0 && !config->watch_broken && config->watcher
      && now < config->read_due)
    append_action (actions, GS_CONFIG_WATCH, 0, config->revision);
  else
    append_action (actions, GS_CONFIG_READ, 0, 0);
}

void
gs_config_announcement_receive (gs_config_t *config, gs_time_t now,
                                uint64_t peer, gs_config_id_t id,
                                GArray *actions)
{
  config->peer_message_at = now;
  if (gs_config_id_compare (id, config->highest) >= 0)
    {
      config->highest = id;
      config->highest_peer = peer;
    }
  pull_highest (config, now, actions);
}

bool
gs_config_text_receive (gs_config_t *config, gs_time_t now, gs_config_id_t id,
                        GArray *actions)
{
  config->peer_message_at = now;
  if (gs_config_id_compare (id, config->highest) > 0)
    config->highest = id;
  return adopt (config, id, actions);
}

void
gs_config_peer_remove (gs_config_t *config, uint64_t peer)
{
  if (config->highest_peer != peer)
    return;
  config->highest_peer = 0;
  config->highest = config->current;
}

/* Half of the delay is random, so that not all nodes call a recovered store
   at the same time.  */
static void
back_off (gs_config_t *config, gs_time_t now)
{
  unsigned shift = MIN (config->store_failures, 4U);
  gs_time_t pause
      = MIN (GS_CONFIG_POLL_INTERVAL << shift, GS_CONFIG_BACKOFF_MAX);

  config->store_failures++;
  config->store_due = now + pause / 2 + random_below (config, pause / 2);
}

static void
record_store_response (gs_config_t *config, gs_time_t now)
{
  config->store_response_at = now;
  config->store_failures = 0;
}

bool
gs_config_read_done (gs_config_t *config, gs_time_t now, gs_status_t status,
                     uint64_t version, gs_config_id_t id, GArray *actions)
{
  bool adopted;

  config->store_busy = false;
  if (status != GS_OK && status != GS_ENOTFOUND)
    {
      back_off (config, now);
      return false;
    }
  record_store_response (config, now);
  config->stored = id;
  config->store_version = version;
  config->revision = version;
  config->read_due = now + READ_INTERVAL;
  config->store_due = now;
  if (config->watch_broken || version == 0)
    config->store_due += GS_CONFIG_POLL_INTERVAL;
  config->watch_broken = false;
  adopted = adopt (config, id, actions);
  if (config->watcher && gs_config_id_compare (id, config->current) < 0)
    {
      config->store_busy = true;
      append_action (actions, GS_CONFIG_WRITE_BACK, 0, version);
    }
  return adopted;
}

void
gs_config_watch_done (gs_config_t *config, gs_time_t now, gs_status_t status,
                      uint64_t revision, bool changed, GArray *actions)
{
  config->store_busy = false;
  if (status == GS_OK && !changed && revision >= config->revision)
    {
      record_store_response (config, now);
      config->revision = revision;
      config->store_due = now + WATCH_INTERVAL_MIN;
      return;
    }
  if (status == GS_OK || status == GS_ELIMIT || status == GS_ENOTFOUND)
    {
      record_store_response (config, now);
      config->watch_broken = status != GS_OK;
      config->store_busy = true;
      append_action (actions, GS_CONFIG_READ, 0, 0);
      return;
    }
  back_off (config, now);
  config->watch_broken = true;
}

void
gs_config_write_done (gs_config_t *config, gs_time_t now, gs_status_t status,
                      uint64_t version)
{
  config->store_busy = false;
  config->watch_broken = true; /* read before the next watch */
  if (status == GS_OK)
    {
      record_store_response (config, now);
      config->stored = config->current;
      config->store_version = version;
      config->store_due = now + GS_CONFIG_POLL_INTERVAL;
    }
  else if (status == GS_ECONFLICT)
    config->store_due = now + random_below (config, GS_CONFIG_POLL_INTERVAL);
  else
    back_off (config, now);
}

gs_time_t
gs_config_ready_until (const gs_config_t *config, gs_time_t now)
{
  gs_time_t last_contact
      = MAX (config->store_response_at, config->peer_message_at);

  if (config->current.generation == 0 || last_contact == 0)
    return 0;
  if (config->peer_message_at == 0 && now < config->settle_deadline)
    return 0;
  return last_contact + GS_CONFIG_ISOLATION_TIMEOUT;
}

bool
gs_config_is_editable (const gs_config_t *config)
{
  return gs_config_id_compare (config->highest, config->current) <= 0;
}
