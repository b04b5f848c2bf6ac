#include "policy/placer_private.h"

#include "garnetstack/log.h"

#include <math.h>
#include <string.h>

/* Requests a second; far more than a replica is ever sent.  */
#define LIMIT_MAX 1e6
/* Smallest difference of two limits is one divided by this.  */
#define LIMIT_STEPS 1e6

/* How long a replica that no list contains is still bound by what it said.
   Entries that expire while the store is unavailable come back sooner.  */
#define FORMER_TTL REPLICA_LIMIT_TTL

typedef struct
{
  replica_row_t row;
  gs_time_t removed_at;
} former_replica_t;

static void
row_share_limit (const placer_t *placer, gs_time_t now, replica_row_t *row)
{
  replica_limit_share (&row->limit, now, row->hash,
                       (const uint64_t *)(void *)placer->nodes->data,
                       placer->nodes->len, placer->members);
}

static bool
row_state_limit (const placer_t *placer, gs_time_t now, replica_row_t *row,
                 gs_time_t stated_at, double per_sec, const char *source)
{
  if (!replica_limit_state (&row->limit, now, stated_at, per_sec))
    return false;
  row_share_limit (placer, now, row);
  gs_log (GS_LOG_INFO, "replica_limit",
          "id=%s service=%s per_sec=%.3f sharers=%u own_per_sec=%.3f"
          " source=%s age_ms=%lld",
          row->replica.id, row->replica.service, row->limit.per_sec,
          row->limit.sharers, replica_limit_own_rate (&row->limit, now),
          source, (long long)((now - stated_at) / GS_MSEC));
  return true;
}

void
placer_nodes_set (placer_t *placer, gs_time_t now, const uint64_t *nodes,
                  size_t count, unsigned members)
{
  g_array_set_size (placer->nodes, 0);
  g_array_append_vals (placer->nodes, nodes, (guint)count);
  placer->members = members;
  for (guint i = 0; i < placer->rows->len; i++)
    {
      replica_row_t *row = placer_row (placer, i);

      if (replica_limit_is_set (&row->limit, now))
        row_share_limit (placer, now, row);
    }
}

static bool
row_state_leaving (replica_row_t *row, gs_time_t now, gs_time_t stated_at,
                   const char *source)
{
  if (row->leaving)
    return false;
  row->leaving = true;
  row->leaving_at = stated_at;
  gs_log (GS_LOG_INFO, "replica_leaving",
          "id=%s service=%s source=%s age_ms=%lld", row->replica.id,
          row->replica.service, source,
          (long long)((now - stated_at) / GS_MSEC));
  return true;
}

/* Nodes tell each other limits in millionths.  In the same steps here, what
   comes back from them is not taken for a change.  */
static double
limit_in_steps (double per_sec)
{
  return round (CLAMP (per_sec, REPLICA_LIMIT_MIN, LIMIT_MAX) * LIMIT_STEPS)
         / LIMIT_STEPS;
}

/* An answer without a limit ends the limit only if its request was sent after
   the limit was known: answers overtake each other.  */
bool
placer_statement_record (placer_t *placer, gs_time_t now,
                         const placer_ticket_t *ticket,
                         const placer_statement_t *statement)
{
  replica_row_t *row = placer_row (placer, ticket->row);
  double per_sec = statement->limit_per_sec;
  bool changed;

  if (ticket->generation != row->generation)
    return false;
  placer_brittle_answer (placer, now, row, ticket->sent_at, statement);
  changed = statement->leaving && row_state_leaving (row, now, now, "answer");
  if (statement->refused_until > row->refused_until)
    {
      row->refused_until = statement->refused_until;
      gs_log (GS_LOG_INFO, "replica_refuses", "id=%s service=%s for_ms=%lld",
              row->replica.id, row->replica.service,
              (long long)((row->refused_until - now) / GS_MSEC));
    }
  if (per_sec < 0
      && (!replica_limit_is_set (&row->limit, now)
          || ticket->sent_at <= row->limit.stated_at))
    return changed;
  return row_state_limit (placer, now, row, now,
                          per_sec < 0 ? 0 : limit_in_steps (per_sec), "answer")
         || changed;
}

void
placer_statements_import (placer_t *placer, gs_time_t now,
                          const statement_t *statements, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      const statement_t *statement = &statements[i];
      guint number = GPOINTER_TO_UINT (
          g_hash_table_lookup (placer->by_hash, &statement->replica));
      replica_row_t *row = number > 0 ? placer_row (placer, number - 1) : NULL;

      /* A replica that has started again is not bound by what it said.  */
      if (row == NULL
          || (uint64_t)row->replica.started_ms != statement->started_ms)
        continue;
      if (statement->limit_micros != 0
          || replica_limit_is_set (&row->limit, now))
        row_state_limit (placer, now, row, statement->stated_at,
                         (double)statement->limit_micros / LIMIT_STEPS,
                         "peer");
      placer_brittle_import (placer, now, row, statement);
      if (statement->leaving != 0)
        row_state_leaving (row, now, statement->stated_at, "peer");
    }
}

void
placer_statements_export (const placer_t *placer, gs_time_t now, GArray *out)
{
  for (guint i = 0; i < placer->rows->len; i++)
    {
      const replica_row_t *row = placer_row (placer, i);
      statement_t statement
          = { .replica = row->hash,
              .started_ms = (uint64_t)row->replica.started_ms,
              .leaving = row->leaving,
              .limit_micros
              = (uint64_t)round (row->limit.per_sec * LIMIT_STEPS),
              .stated_at = row->limit.stated_at };

      if (row->leaving)
        statement.stated_at = MAX (statement.stated_at, row->leaving_at);
      if (row->brittle.answered && brittle_replica_is_set (&row->brittle, now))
        {
          statement_rejections_set (&statement, row->brittle.rejections_max);
          statement.stated_at
              = MAX (statement.stated_at, row->brittle.stated_at);
        }
      if (statement.stated_at != 0 && row->replica.id[0] != '\0'
          && now <= statement.stated_at + REPLICA_LIMIT_TTL)
        g_array_append_val (out, statement);
    }
}

gs_time_t
placer_opens_at (const placer_t *placer, gs_time_t now, const char *service)
{
  gs_time_t earliest = GS_TIME_NEVER;

  for (guint i = 0; i < placer->rows->len; i++)
    {
      const replica_row_t *row = placer_row (placer, i);
      gs_time_t opens_at = MAX (row->refused_until,
                                replica_limit_opens_at (&row->limit, now));

      if (!placer_row_is_usable (row, now, service))
        continue;
      if (opens_at <= now)
        return 0;
      earliest = MIN (earliest, opens_at);
    }
  return earliest == GS_TIME_NEVER ? 0 : earliest;
}

double
placer_limited_rate (const placer_t *placer, gs_time_t now,
                     const char *service)
{
  double rate = 0;

  for (guint i = 0; i < placer->rows->len; i++)
    {
      const replica_row_t *row = placer_row (placer, i);

      if (placer_row_is_usable (row, now, service))
        rate += replica_limit_own_rate (&row->limit, now);
    }
  return rate;
}

void
placer_former_add (placer_t *placer, gs_time_t now, const replica_row_t *row)
{
  former_replica_t *former;

  if (!row->leaving && row->refused_until <= now
      && !replica_limit_is_set (&row->limit, now)
      && !brittle_replica_is_set (&row->brittle, now))
    return;
  former = g_new (former_replica_t, 1);
  *former = (former_replica_t){ *row, now };
  g_hash_table_replace (placer->former, &former->row.hash, former);
}

void
placer_former_restore (placer_t *placer, gs_time_t now, replica_row_t *row)
{
  const former_replica_t *former
      = g_hash_table_lookup (placer->former, &row->hash);

  if (former == NULL)
    return;
  if (former->row.replica.started_ms == row->replica.started_ms
      && strcmp (former->row.replica.address, row->replica.address) == 0)
    {
      row->limit = former->row.limit;
      if (brittle_replica_is_set (&former->row.brittle, now))
        row->brittle = former->row.brittle;
      row->leaving = former->row.leaving;
      row->leaving_at = former->row.leaving_at;
      row->refused_until = former->row.refused_until;
      if (replica_limit_is_set (&row->limit, now))
        row_share_limit (placer, now, row);
      if (brittle_replica_is_set (&row->brittle, now))
        placer_brittle_share (placer, now, row);
    }
  g_hash_table_remove (placer->former, &row->hash);
}

void
placer_former_expire (placer_t *placer, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, placer->former);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now > ((const former_replica_t *)value)->removed_at + FORMER_TTL)
      g_hash_table_iter_remove (&iter);
}
