#include "policy/placer_private.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Added to the score for each taken slot, since each running request slows
   down the others: a step of a full batch takes some milliseconds longer than
   one of an empty batch.  Also the range of the random tie-breaker.  */
#define SLOT_PENALTY_TIME (2 * GS_MSEC)
/* Reading tokens again that another replica has cached takes time from other
   requests, besides delaying this one.  The time to read uncached tokens
   therefore counts once more, with this weight.  */
#define REREAD_WEIGHT 0.5
/* Probability that the replica that all nodes prefer for a prompt block has it
   cached although this node has not sent it there.  */
#define PREFERRED_CACHED_PROBABILITY 0.9
/* How long a block counts as cached after this node last used it.  */
#define BLOCK_TTL (30 * GS_SEC)
/* Share of an engine's memory that running requests may fill; the rest is left
   to the prefix cache.  */
#define MEMORY_RATIO_MAX 0.85
/* Requests beyond the slots of a replica that is no engine, as a ratio of the
   slots: some requests are still on their way, and the replica queues a few or
   rejects them.  */
#define QUEUE_SLOTS_RATIO 0.5
/* Up to this number of nodes each compares all replicas.  */
#define COMPARE_ALL_NODES_MAX 10
/* Replicas that a node of a larger fleet draws at random; two choices already
   keep the load even, and more would be alike at many nodes.  */
#define COMPARED_AT_RANDOM 2
/* Added to the score of a replica in another data centre if none is on time:
   the way there and back takes up to 6 ms, and the bytes cost something.  */
#define CROSSING_PENALTY_TIME (10 * GS_MSEC)
/* Share of a replica's connections that all nodes together use: a node learns
   of its peers' connections with a delay.  */
#define CONNECTIONS_RATIO_MAX 0.9

static const block_holder_t *
block_find_holder (const cached_block_t *block, uint32_t row,
                   uint32_t generation)
{
  for (unsigned i = 0; block != NULL && i < block->count; i++)
    if (block->holders[i].row == row
        && block->holders[i].generation == generation)
      return &block->holders[i];
  return NULL;
}

static uint64_t
preference_hash (const replica_row_t *row, uint64_t block)
{
  uint64_t words[] = { row->hash, block };

  return XXH3_64bits (words, sizeof words);
}

/* @return the last prompt block that the requests of a session share; the one
   after it belongs to this request alone  */
static uint64_t
session_block_id (const placer_query_t *query)
{
  if (query->block_count == 0)
    return 0;
  return query->blocks[query->block_count >= 2 ? query->block_count - 2 : 0]
      .id;
}

/* @return prompt tokens that are likely to be in a replica's prefix cache; a
   block counts only if all blocks before it are cached  */
static uint32_t
cached_tokens (const placer_t *placer, gs_time_t now,
               const placer_query_t *query, uint32_t index, bool preferred)
{
  const replica_row_t *row = placer_row (placer, index);
  double tokens = 0;
  double probability = 1;

  for (unsigned i = 0; i < query->block_count && probability > 0; i++)
    {
      const cached_block_t *block
          = g_hash_table_lookup (placer->blocks, &query->blocks[i].id);
      const block_holder_t *holder
          = block_find_holder (block, index, row->generation);

      if (holder == NULL || holder->used_at + BLOCK_TTL < now)
        probability = preferred && i + 1 < query->block_count
                          ? MIN (probability, PREFERRED_CACHED_PROBABILITY)
                          : 0;
      tokens += probability * query->blocks[i].tokens;
    }
  return (uint32_t)MIN (tokens, (double)query->prompt_tokens);
}

bool
placer_row_is_listed (const replica_row_t *row, const char *service)
{
  return row->listed && !row->superseded
         && row->replica.state == GS_REPLICA_READY && !row->leaving
         && strcmp (row->replica.service, service) == 0;
}

bool
placer_row_is_usable (const replica_row_t *row, gs_time_t now,
                      const char *service)
{
  return placer_row_is_listed (row, service) && row->ejected_until <= now;
}

static bool
has_allowed_version (const replica_row_t *row, const placer_query_t *query)
{
  bool allowed = query->version_count == 0;

  for (unsigned i = 0; i < query->version_count && !allowed; i++)
    allowed = row->version == query->versions[i];
  return allowed && (query->version == 0 || row->version == query->version);
}

/* Data centres whose replicas are compared.  */
typedef enum
{
  SCOPE_ALL,
  SCOPE_LOCAL,
  SCOPE_TARGET, /* the one that the request is drawn for */
  SCOPE_OPEN    /* others that a request may cross to */
} scope_t;

static bool
is_in_scope (const replica_row_t *row, gs_time_t now,
             const placer_query_t *query, scope_t scope)
{
  switch (scope)
    {
    case SCOPE_LOCAL:
      return row->data_centre == query->data_centre;
    case SCOPE_TARGET:
      return row->data_centre == query->crossing.target;
    case SCOPE_OPEN:
      return row->data_centre != query->data_centre
             && crossing_is_open (query->crossing.state, now, row->data_centre,
                                  query->crossing.need);
    case SCOPE_ALL:
      break;
    }
  return true;
}

/* @return whether a replica may get a request, full or not  */
static bool
is_candidate (const replica_row_t *row, gs_time_t now,
              const placer_query_t *query)
{
  return placer_row_is_usable (row, now, query->service)
         && has_allowed_version (row, query)
         && (query->excluded_version == 0
             || row->version != query->excluded_version)
         && (query->crossing.rule != CROSSING_FORBIDDEN
             || row->data_centre == query->data_centre);
}

/* An ejected replica is better than none.
   @return the time at which to judge whether a replica is ejected: @p now, or
   GS_TIME_NEVER so that ejected replicas are usable  */
static gs_time_t
eject_check_time (const placer_t *placer, gs_time_t now,
                  const placer_query_t *query)
{
  for (guint i = 0; i < placer->rows->len; i++)
    if (is_candidate (placer_row (placer, i), now, query))
      return now;
  return GS_TIME_NEVER;
}

/* Requests to services other than engines end sooner than a peer's report of
   them arrives, so the mean over several reports is used for these.  */
uint32_t
placer_row_slots_taken (const replica_row_t *row, bool engine)
{
  return row->in_flight
         + (engine ? row->peer_in_flight : (uint32_t)row->peer_in_flight_mean);
}

/* A resumed stream that waits at a replica of its version is better off than
   one that is refused: the other replicas cannot take it.  */
static uint32_t
slots_max (const replica_row_t *row, const placer_query_t *query)
{
  bool may_wait = !query->engine || (query->version != 0 && !query->no_wait);

  return row->replica.slots
         + (may_wait ? (uint32_t)(QUEUE_SLOTS_RATIO * row->replica.slots) : 0);
}

static bool
is_full (const replica_row_t *row, gs_time_t now, const placer_query_t *query)
{
  uint64_t required = query->prompt_tokens + query->output_tokens;
  uint64_t reserved = row->reserved_tokens + row->peer_reserved_tokens;
  unsigned connections = query->connections_max;

  if (connections != 0
      && placer_row_slots_taken (row, query->engine)
             >= (unsigned)(CONNECTIONS_RATIO_MAX * connections))
    return true;
  if (row->full_until > now || row->refused_until > now
      || !replica_limit_allows (&row->limit, now))
    return true;
  if (brittle_replica_is_set (&row->brittle, now)
      && row->in_flight >= brittle_replica_slots (
             &row->brittle, now, row->replica.slots, row->in_flight))
    return true;
  if (placer_row_slots_taken (row, query->engine) >= slots_max (row, query))
    return true;
  /* A request larger than the memory goes to an idle replica, which rejects
     it.  */
  return query->engine && query->cache_tokens != 0 && reserved > 0
         && (double)(reserved + required)
                > MEMORY_RATIO_MAX * (double)query->cache_tokens;
}

/* Rendezvous hashing: all nodes compute the same preferred replica for a
   session, among those of a scope, without exchanging messages.
   @return PLACER_ROW_NONE if there is no usable replica, or no prompt block */
static uint32_t
preferred_row_find (const placer_t *placer, gs_time_t now,
                    gs_time_t eject_time, const placer_query_t *query,
                    scope_t scope)
{
  uint64_t session = session_block_id (query);
  uint64_t best_value = 0;
  uint32_t best = PLACER_ROW_NONE;

  if (!query->engine || query->block_count == 0)
    return best;
  for (guint i = 0; i < placer->rows->len; i++)
    {
      const replica_row_t *row = placer_row (placer, i);
      uint64_t value;

      if (!is_candidate (row, eject_time, query)
          || !is_in_scope (row, now, query, scope))
        continue;
      value = preference_hash (row, session);
      if (best == PLACER_ROW_NONE || value > best_value)
        {
          best = i;
          best_value = value;
        }
    }
  return best;
}

typedef struct
{
  double score;
  uint32_t uncached_tokens;
  gs_time_t first_event_at;
} prediction_t;

static prediction_t
predict (placer_t *placer, gs_time_t now, const placer_query_t *query,
         uint32_t index, bool preferred)
{
  const replica_row_t *row = placer_row (placer, index);
  double backlog = (double)(row->backlog_tokens + row->peer_backlog_tokens);
  prediction_t out = { .uncached_tokens = 0 };
  double delay;

  if (!query->engine)
    {
      out.score
          = (double)placer_row_slots_taken (row, false) / row->replica.slots
            + 0.5 / row->replica.slots * gs_rng_unit (&placer->rng);
      if (row->replica.warm_up_until > now)
        out.score += 1.0 / row->replica.slots;
      out.first_event_at = now;
      return out;
    }
  out.uncached_tokens = query->prompt_tokens
                        - cached_tokens (placer, now, query, index, preferred);
  delay = (double)PLACER_FIRST_EVENT_DELAY
          + (backlog + out.uncached_tokens) / placer->read_speed
                * (double)GS_MSEC;
  if (placer_row_slots_taken (row, true) >= row->replica.slots)
    delay += (double)(placer_row_slots_taken (row, true) - row->replica.slots
                      + 1)
             * (double)GS_SEC / row->replica.slots;
  out.first_event_at = now + (gs_time_t)delay;
  out.score = delay
              + (double)placer_row_slots_taken (row, true)
                    * (double)SLOT_PENALTY_TIME
              + REREAD_WEIGHT * out.uncached_tokens / placer->read_speed
                    * (double)GS_MSEC
              + gs_rng_unit (&placer->rng) * (double)SLOT_PENALTY_TIME;
  return out;
}

/* The best replica so far, and the one to avoid if there is another one.  */
typedef struct
{
  uint32_t row;
  prediction_t best;
  prediction_t avoided;
} comparison_t;

static void
compare_replica (placer_t *placer, gs_time_t now, const placer_query_t *query,
                 uint32_t index, uint32_t preferred, comparison_t *out)
{
  prediction_t prediction
      = predict (placer, now, query, index, index == preferred);

  if (index == query->avoid)
    out->avoided = prediction;
  else if (prediction.score < out->best.score)
    {
      out->best = prediction;
      out->row = index;
    }
}

/* @return whether this node has sent the session of a request to a replica  */
static bool
holds_session (const placer_t *placer, const placer_query_t *query,
               uint32_t index)
{
  uint64_t session = session_block_id (query);

  return query->engine
         && block_find_holder (g_hash_table_lookup (placer->blocks, &session),
                               index, placer_row (placer, index)->generation)
                != NULL;
}

/* Compares the replicas in placer->available.  The nodes of a large fleet know
   the same loads, so if each compared all replicas, those with the least load
   would get the requests of all nodes until the next reports arrive.  There a
   node compares a few that it draws at random, and those that may have the
   prompt in their cache.  */
static void
compare_available (placer_t *placer, gs_time_t now,
                   const placer_query_t *query, uint32_t preferred,
                   comparison_t *out)
{
  GArray *available = placer->available;
  bool all = placer->peers + 1 <= COMPARE_ALL_NODES_MAX
             || available->len <= COMPARED_AT_RANDOM;

  for (guint i = 0; i < available->len; i++)
    {
      uint32_t index = g_array_index (available, uint32_t, i);

      if (all || index == preferred || holds_session (placer, query, index))
        compare_replica (placer, now, query, index, preferred, out);
    }
  for (unsigned i = 0; !all && i < COMPARED_AT_RANDOM; i++)
    compare_replica (
        placer, now, query,
        g_array_index (available, uint32_t,
                       gs_rng_below (&placer->rng, available->len)),
        preferred, out);
}

/* @return whether the shared prefix of a request takes longer to prefill than
   a crossing costs, so that it is better cached once in all data centres  */
static bool
is_prefix_long (const placer_t *placer, const placer_query_t *query)
{
  double tokens = 0;

  for (unsigned i = 0; i + 1 < query->block_count; i++)
    tokens += query->blocks[i].tokens;
  return query->engine
         && tokens / placer->read_speed * (double)GS_MSEC
                > (double)CROSSING_PENALTY_TIME;
}

/* Compares the replicas of a scope.
   @param out receives the best one, and the number of candidates everywhere
   @return whether the scope has a candidate, full or not  */
static bool
compare_scope (placer_t *placer, gs_time_t now, const placer_query_t *query,
               scope_t scope, comparison_t *comparison, placer_choice_t *out)
{
  gs_time_t eject_time = eject_check_time (placer, now, query);
  scope_t preferred_scope
      = scope == SCOPE_LOCAL && is_prefix_long (placer, query) ? SCOPE_ALL
                                                               : scope;
  uint32_t preferred
      = preferred_row_find (placer, now, eject_time, query, preferred_scope);
  bool has_candidate = false;

  *comparison = (comparison_t){ .row = PLACER_ROW_NONE,
                                .best = { .score = INFINITY },
                                .avoided = { .score = INFINITY } };
  *out = (placer_choice_t){ .row = PLACER_ROW_NONE };
  g_array_set_size (placer->available, 0);
  for (guint i = 0; i < placer->rows->len; i++)
    {
      const replica_row_t *row = placer_row (placer, i);
      bool in_scope;

      if (!is_candidate (row, eject_time, query))
        continue;
      in_scope = is_in_scope (row, now, query, scope);
      has_candidate |= in_scope;
      out->candidates++;
      if (is_full (row, now, query))
        out->full++;
      else if (in_scope)
        g_array_append_val (placer->available, i);
    }
  compare_available (placer, now, query, preferred, comparison);
  if (comparison->row == PLACER_ROW_NONE
      && isfinite (comparison->avoided.score))
    {
      comparison->best = comparison->avoided;
      comparison->row = query->avoid;
    }
  return has_candidate;
}

/* For services other than engines nothing is predicted: a replica with free
   slots, warmed up, counts as on time.  */
static bool
is_on_time (const placer_t *placer, gs_time_t now, const placer_query_t *query,
            const comparison_t *comparison)
{
  const replica_row_t *row;

  if (comparison->row == PLACER_ROW_NONE || comparison->row == query->avoid)
    return false;
  row = placer_row (placer, comparison->row);
  if (!query->engine)
    return placer_row_slots_taken (row, false) < row->replica.slots
           && row->replica.warm_up_until <= now;
  return query->goal_at == 0
         || comparison->best.first_event_at <= query->goal_at;
}

/* @return whether a request for which no local replica has room waits for one,
   as it would still be on time elsewhere afterwards  */
static bool
may_hold (gs_time_t now, const placer_query_t *query,
          const comparison_t *elsewhere)
{
  gs_time_t hold_time = query->crossing.hold_until - now;

  return hold_time > 0
         && (elsewhere->row == PLACER_ROW_NONE || query->goal_at == 0
             || elsewhere->best.first_event_at + hold_time <= query->goal_at);
}

/* Compares the best local replica with the one that all nodes prefer for the
   request's prefix.
   @return whether the latter is better, and now the best  */
static bool
compare_prefix_holder (placer_t *placer, gs_time_t now,
                       const placer_query_t *query, comparison_t *best)
{
  uint32_t holder;
  prediction_t prediction;

  if (!is_prefix_long (placer, query))
    return false;
  holder = preferred_row_find (placer, now, now, query, SCOPE_ALL);
  if (holder == PLACER_ROW_NONE || holder == best->row
      || holder == query->avoid
      || is_full (placer_row (placer, holder), now, query))
    return false;
  prediction = predict (placer, now, query, holder, true);
  if (prediction.score + (double)CROSSING_PENALTY_TIME >= best->best.score)
    return false;
  best->best = prediction;
  best->row = holder;
  return true;
}

/* Chooses with local replicas first.  A request crosses if it belongs to the
   share, if no local replica would serve it on time, or if the replica that
   has its prefix cached is better than any local one by more than the crossing
   costs.  */
static crossing_reason_t
compare_local_first (placer_t *placer, gs_time_t now,
                     const placer_query_t *query, comparison_t *best,
                     placer_choice_t *out)
{
  placer_query_t late = *query;
  comparison_t elsewhere;
  bool has_local;

  if (query->crossing.target != CROSSING_CENTRE_NONE)
    {
      compare_scope (placer, now, query, SCOPE_TARGET, best, out);
      if (is_on_time (placer, now, query, best))
        return CROSSING_REASON_SHARE;
    }
  has_local = compare_scope (placer, now, query, SCOPE_LOCAL, best, out);
  if (is_on_time (placer, now, query, best))
    return compare_prefix_holder (placer, now, query, best)
               ? CROSSING_REASON_PREFIX
               : CROSSING_REASON_LOCAL;
  /* Waiting helps only if a local replica may get a free slot.  */
  late.crossing.need = MAX (query->crossing.need, CROSSING_NEED_LATE);
  if (!has_local)
    late.crossing.need = CROSSING_NEED_LAST;
  compare_scope (placer, now, &late, SCOPE_OPEN, &elsewhere, out);
  if (best->row == PLACER_ROW_NONE && has_local
      && may_hold (now, query, &elsewhere))
    return CROSSING_REASON_LOCAL;
  if (elsewhere.row == PLACER_ROW_NONE
      || (best->row != PLACER_ROW_NONE && best->row != query->avoid
          && !is_on_time (placer, now, query, &elsewhere)
          && best->best.score
                 <= elsewhere.best.score
                        + (query->engine ? (double)CROSSING_PENALTY_TIME : 0)))
    return CROSSING_REASON_LOCAL;
  out->crossing = best->row != PLACER_ROW_NONE ? CROSSING_REASON_LATE
                                               : CROSSING_REASON_FULL;
  *best = elsewhere;
  return out->crossing;
}

gs_status_t
placer_pick (placer_t *placer, gs_time_t now, const placer_query_t *query,
             placer_choice_t *out)
{
  comparison_t comparison;
  crossing_reason_t reason = CROSSING_REASON_ANY;

  if (query->crossing.rule == CROSSING_LOCAL_FIRST)
    reason = compare_local_first (placer, now, query, &comparison, out);
  else
    compare_scope (placer, now, query, SCOPE_ALL, &comparison, out);
  out->row = comparison.row;
  out->crossing = reason;
  if (out->row == PLACER_ROW_NONE)
    return out->candidates == 0
               ? gs_error_set (GS_ENOTFOUND,
                               "service %s has no usable replica",
                               query->service)
               : gs_error_set (GS_ELIMIT,
                               "all replicas of service %s are full",
                               query->service);
  out->uncached_tokens = comparison.best.uncached_tokens;
  out->first_event_expected_at = comparison.best.first_event_at;
  out->in_flight
      = placer_row_slots_taken (placer_row (placer, out->row), query->engine);
  out->backlog_tokens
      = (uint32_t)(placer_row (placer, out->row)->backlog_tokens
                   + placer_row (placer, out->row)->peer_backlog_tokens);
  return GS_OK;
}
