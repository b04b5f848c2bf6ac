#include "policy/placer_private.h"

#include "garnetstack/log.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Far more replicas than a deployment has at once.  Rows of removed replicas
   are reused.  */
#define ROWS_MAX 8192
/* Prompt tokens that an engine reads per millisecond, assumed until the first
   observation, which replaces it.  */
#define READ_SPEED_INITIAL 80.0
/* Weight of a new observation in the mean reading speed: the mean follows a
   change within some tens of requests, and one outlier moves it little.  */
#define READ_SPEED_WEIGHT 0.05
/* Observations of shorter prompts are dominated by other delays.  */
#define READ_SPEED_TOKENS_MIN 2000
/* Recorded blocks, eight megabytes; the record is emptied when it is full.  */
#define BLOCKS_MAX 65536
/* A replica that is unreachable, or failed this often in a row, is ejected.
   The ejection time is doubled with each ejection, up to the four seconds that
   a replica takes to start.  */
#define FAILURES_MAX 3
#define EJECT_TIMEOUT_MIN (500 * GS_MSEC)
#define EJECT_SHIFT_MAX 3
/* How long a replica that rejected a request as full gets no other.  */
#define FULL_TIMEOUT (50 * GS_MSEC)
/* Weight of the newest report in the moving mean of peer load.  Reports arrive
   several times a second, so the mean covers about the last second.  */
#define PEER_MEAN_WEIGHT 0.15

void
placer_create (placer_t **out, uint64_t seed)
{
  placer_t *placer = g_new0 (placer_t, 1);

  placer->rows = g_array_new (FALSE, TRUE, sizeof (replica_row_t));
  placer->by_id
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  placer->by_hash
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  placer->former
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  placer->blocks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  placer->brittle = placer_brittle_table_create ();
  placer->available = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  placer->nodes = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  placer->member_nodes = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  placer->members = 1;
  placer->read_speed = READ_SPEED_INITIAL;
  gs_rng_seed (&placer->rng, seed);
  *out = placer;
}

void
placer_destroy (placer_t *placer)
{
  if (placer == NULL)
    return;
  g_array_unref (placer->member_nodes);
  g_array_unref (placer->nodes);
  g_array_unref (placer->available);
  g_hash_table_unref (placer->blocks);
  g_hash_table_unref (placer->brittle);
  g_hash_table_unref (placer->former);
  g_hash_table_unref (placer->by_hash);
  g_hash_table_unref (placer->by_id);
  g_array_unref (placer->rows);
  g_free (placer);
}

uint64_t
placer_replica_hash (const char *id)
{
  return XXH3_64bits (id, strlen (id));
}

uint64_t
placer_process_hash (const gs_replica_t *replica)
{
  return XXH3_64bits_withSeed (replica->id, strlen (replica->id),
                               (XXH64_hash_t)replica->started_ms);
}

/* Short, as nodes send it with each stream.  */
uint64_t
placer_version_hash (const char *version)
{
  return XXH3_64bits (version, strlen (version)) % UINT32_MAX + 1;
}

static replica_row_t *
row_find (const placer_t *placer, const char *id)
{
  guint row = GPOINTER_TO_UINT (g_hash_table_lookup (placer->by_id, id));

  return row > 0 ? placer_row (placer, row - 1) : NULL;
}

/* @return a row that no replica and no attempt uses; NULL if the table is
   full  */
static replica_row_t *
row_allocate (placer_t *placer)
{
  replica_row_t empty = { .listed = false };

  for (guint i = 0; i < placer->rows->len; i++)
    {
      replica_row_t *row = placer_row (placer, i);

      if (!row->listed && row->in_flight == 0 && row->replica.id[0] == '\0')
        return row;
    }
  if (placer->rows->len >= ROWS_MAX)
    return NULL;
  g_array_append_val (placer->rows, empty);
  return placer_row (placer, placer->rows->len - 1);
}

/* A restarted replica may keep its id but has an empty cache, so the new
   generation invalidates the blocks recorded for it.  */
static void
row_set_replica (placer_t *placer, gs_time_t now, replica_row_t *row,
                 const gs_replica_t *replica)
{
  bool is_new = row->replica.started_ms != replica->started_ms
                || strcmp (row->replica.address, replica->address) != 0;

  if (is_new)
    {
      row->generation++;
      row->failures = 0;
      row->ejections = 0;
      row->ejected_until = 0;
      row->limit = (replica_limit_t){ .stated_at = row->limit.stated_at };
      row->brittle = (brittle_replica_t){ .stated_at = 0 };
      row->leaving = false;
      row->refused_until = 0;
      row->refuted = false;
    }
  row->replica = *replica;
  row->version = placer_version_hash (replica->version);
  row->data_centre = crossing_centre_hash (replica->data_centre);
  row->listed = true;
  if (is_new)
    placer_brittle_process_set (placer, now, row);
}

/* Frees the rows of removed replicas on which no attempt runs.  */
static void
rows_clear_unused (placer_t *placer, gs_time_t now)
{
  for (guint i = 0; i < placer->rows->len; i++)
    {
      replica_row_t *row = placer_row (placer, i);

      if (row->listed || row->in_flight > 0 || row->replica.id[0] == '\0')
        continue;
      placer_former_add (placer, now, row);
      g_hash_table_remove (placer->by_id, row->replica.id);
      g_hash_table_remove (placer->by_hash, &row->hash);
      *row = (replica_row_t){ .generation = row->generation + 1 };
    }
}

void
placer_replicas_set (placer_t *placer, gs_time_t now,
                     const gs_replica_list_t *list)
{
  for (guint i = 0; i < placer->rows->len; i++)
    placer_row (placer, i)->listed = false;
  for (unsigned i = 0; i < list->count; i++)
    {
      const gs_replica_t *replica = &list->rows[i];
      replica_row_t *row = row_find (placer, replica->id);
      bool is_new = row == NULL;
      guint number;

      if (is_new)
        {
          row = row_allocate (placer);
          if (row == NULL)
            {
              gs_log (GS_LOG_ERROR, "replica_dropped", "id=%s reason=no_row",
                      replica->id);
              continue;
            }
          number = (guint)(row - placer_row (placer, 0)) + 1;
          row->hash = placer_replica_hash (replica->id);
          g_hash_table_insert (placer->by_id, g_strdup (replica->id),
                               GUINT_TO_POINTER (number));
          g_hash_table_insert (placer->by_hash,
                               g_memdup2 (&row->hash, sizeof row->hash),
                               GUINT_TO_POINTER (number));
        }
      row_set_replica (placer, now, row, replica);
      if (is_new)
        placer_former_restore (placer, now, row);
    }
  placer_addresses_update (placer);
  rows_clear_unused (placer, now);
  placer_former_expire (placer, now);
}

void
placer_peer_loads_set (placer_t *placer, const placer_peer_load_t *loads,
                       unsigned count, unsigned peers)
{
  placer->peers = peers;
  for (guint i = 0; i < placer->rows->len; i++)
    {
      replica_row_t *row = placer_row (placer, i);

      row->peer_in_flight = 0;
      row->peer_backlog_tokens = 0;
      row->peer_reserved_tokens = 0;
    }
  for (unsigned i = 0; i < count; i++)
    {
      guint number = GPOINTER_TO_UINT (
          g_hash_table_lookup (placer->by_hash, &loads[i].replica));
      replica_row_t *row = number > 0 ? placer_row (placer, number - 1) : NULL;

      if (row == NULL)
        continue;
      row->peer_in_flight += loads[i].in_flight;
      row->peer_backlog_tokens += loads[i].backlog_tokens;
      row->peer_reserved_tokens += loads[i].reserved_tokens;
    }
  for (guint i = 0; i < placer->rows->len; i++)
    {
      replica_row_t *row = placer_row (placer, i);

      row->peer_in_flight_mean
          += PEER_MEAN_WEIGHT
             * ((double)row->peer_in_flight - row->peer_in_flight_mean);
    }
}

/* Records that a replica caches a block; evicts the least recently used
   replica if too many are recorded.  */
static void
block_record_holder (placer_t *placer, gs_time_t now, uint64_t id,
                     uint32_t index)
{
  uint32_t generation = placer_row (placer, index)->generation;
  cached_block_t *block = g_hash_table_lookup (placer->blocks, &id);
  block_holder_t *oldest;

  if (block == NULL)
    {
      if (g_hash_table_size (placer->blocks) >= BLOCKS_MAX)
        g_hash_table_remove_all (placer->blocks);
      block = g_new0 (cached_block_t, 1);
      block->id = id;
      g_hash_table_insert (placer->blocks, &block->id, block);
    }
  oldest = &block->holders[0];
  for (unsigned i = 0; i < block->count; i++)
    {
      block_holder_t *holder = &block->holders[i];

      if (holder->row == index && holder->generation == generation)
        {
          holder->used_at = now;
          return;
        }
      if (holder->used_at < oldest->used_at)
        oldest = holder;
    }
  if (block->count < PLACER_BLOCK_HOLDERS_MAX)
    oldest = &block->holders[block->count++];
  *oldest = (block_holder_t){ index, generation, now };
}

void
placer_attempt_begin (placer_t *placer, gs_time_t now,
                      const placer_query_t *query,
                      const placer_choice_t *choice, placer_ticket_t *ticket)
{
  replica_row_t *row = placer_row (placer, choice->row);

  *ticket = (placer_ticket_t){
    .row = choice->row,
    .generation = row->generation,
    .uncached_tokens = query->engine ? choice->uncached_tokens : 0,
    .reserved_tokens
    = query->engine ? query->prompt_tokens + query->output_tokens : 0,
    .sent_at = now,
    .first_event_expected_at = choice->first_event_expected_at,
  };
  replica_limit_take (&row->limit, now);
  row->in_flight++;
  brittle_replica_take (&row->brittle, now, row->in_flight);
  row->backlog_tokens += ticket->uncached_tokens;
  row->reserved_tokens += ticket->reserved_tokens;
  /* The last block belongs to this request alone, so no other request will
     find it in the cache.  */
  for (unsigned i = 0; query->engine && i + 1 < query->block_count; i++)
    block_record_holder (placer, now, query->blocks[i].id, choice->row);
}

void
placer_first_event_record (placer_t *placer, gs_time_t now,
                           placer_ticket_t *ticket)
{
  replica_row_t *row = placer_row (placer, ticket->row);
  double backlog = (double)(row->backlog_tokens + row->peer_backlog_tokens);
  double elapsed_msec
      = (double)(now - ticket->sent_at - PLACER_FIRST_EVENT_DELAY) / GS_MSEC;

  brittle_replica_accept (&row->brittle, now, ticket->sent_at);
  row->backlog_tokens -= ticket->uncached_tokens;
  if (ticket->uncached_tokens >= READ_SPEED_TOKENS_MIN && elapsed_msec > 1
      && backlog <= 2.0 * ticket->uncached_tokens)
    {
      double speed = ticket->uncached_tokens / elapsed_msec;

      if (!placer->read_speed_observed)
        placer->read_speed = speed;
      else
        placer->read_speed
            += READ_SPEED_WEIGHT
               * (MIN (speed, 4 * placer->read_speed) - placer->read_speed);
      placer->read_speed_observed = true;
    }
  ticket->uncached_tokens = 0;
}

static void
row_eject (replica_row_t *row, gs_time_t now, const char *reason)
{
  gs_time_t timeout = EJECT_TIMEOUT_MIN
                      << MIN (row->ejections, EJECT_SHIFT_MAX);

  row->ejections++;
  row->failures = 0;
  row->ejected_until = now + timeout;
  gs_log (GS_LOG_WARN, "replica_left_out",
          "id=%s service=%s reason=%s for_ms=%lld", row->replica.id,
          row->replica.service, reason, (long long)(timeout / GS_MSEC));
}

void
placer_attempt_end (placer_t *placer, gs_time_t now, placer_ticket_t *ticket,
                    placer_outcome_t outcome)
{
  replica_row_t *row = placer_row (placer, ticket->row);

  row->in_flight--;
  brittle_replica_release (&row->brittle, now, row->in_flight);
  row->backlog_tokens -= ticket->uncached_tokens;
  row->reserved_tokens -= ticket->reserved_tokens;
  switch (outcome)
    {
    case PLACER_SUCCEEDED:
      row->failures = 0;
      row->ejections = 0;
      break;
    case PLACER_FAILED:
      if (++row->failures >= FAILURES_MAX)
        row_eject (row, now, "failures");
      break;
    case PLACER_UNREACHABLE:
      row_eject (row, now, "unreachable");
      break;
    case PLACER_FULL:
      row->full_until = now + FULL_TIMEOUT;
      placer_brittle_reject (placer, now, row);
      break;
    case PLACER_REPLICA_MISMATCH:
      row_eject (row, now, "address_of_another");
      row->refuted |= row->generation == ticket->generation;
      placer_addresses_update (placer);
      break;
    case PLACER_CANCELLED:
      break;
    }
  ticket->row = PLACER_ROW_NONE;
}

unsigned
placer_sample (placer_t *placer, unsigned max, uint32_t *rows)
{
  unsigned count = 0;
  unsigned seen = 0;

  for (guint i = 0; i < placer->rows->len; i++)
    {
      const replica_row_t *row = placer_row (placer, i);
      uint64_t place;

      if (!placer_row_is_usable (row, GS_TIME_NEVER, row->replica.service))
        continue;
      /* Reservoir sampling.  */
      place = count < max ? count++ : gs_rng_below (&placer->rng, seen + 1);
      if (place < max)
        rows[place] = i;
      seen++;
    }
  return count;
}

void
placer_ejections_clear (placer_t *placer)
{
  for (guint i = 0; i < placer->rows->len; i++)
    {
      replica_row_t *row = placer_row (placer, i);

      row->ejected_until = 0;
      row->ejections = 0;
      row->failures = 0;
    }
}

const gs_replica_t *
placer_replica (const placer_t *placer, uint32_t row)
{
  return &placer_row (placer, row)->replica;
}

void
placer_loads_export (const placer_t *placer, unsigned max, GArray *out)
{
  for (guint i = 0; i < placer->rows->len && out->len < max; i++)
    {
      const replica_row_t *row = placer_row (placer, i);
      placer_load_t load
          = { .in_flight = row->in_flight,
              .backlog_tokens = (uint32_t)row->backlog_tokens,
              .reserved_tokens = (uint32_t)row->reserved_tokens };

      if (row->in_flight == 0)
        continue;
      g_strlcpy (load.replica, row->replica.id, sizeof load.replica);
      g_array_append_val (out, load);
    }
}

double
placer_read_speed (const placer_t *placer)
{
  return placer->read_speed;
}
