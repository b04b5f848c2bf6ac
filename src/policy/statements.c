#include "policy/statements.h"

#include "garnetstack/log.h"
#include "policy/replica_limit.h"

#include <math.h>

/* Smallest difference of two numbers of rejections is one divided by this.  */
#define REJECTION_STEPS 1e6
#define REJECTIONS_MAX 1e6

const row_layout_t statement_layout
    = { sizeof (statement_row_t),
        STATEMENTS_MAX,
        6,
        { ROW_COLUMN (ROW_NUMBER, statement_row_t, replica),
          ROW_COLUMN (ROW_NUMBER, statement_row_t, started_ms),
          ROW_COLUMN (ROW_NUMBER, statement_row_t, leaving),
          ROW_COLUMN (ROW_NUMBER, statement_row_t, limit_micros),
          ROW_COLUMN (ROW_NUMBER, statement_row_t, age_ms),
          ROW_COLUMN (ROW_OPTIONAL_NUMBER, statement_row_t, brittle) } };

/* A statement that is confirmed sooner is left as it is.  A statement comes
   back from other nodes with an age that lacks the time on the way, so without
   this bound it would look newer with each exchange.  */
#define CONFIRM_INTERVAL GS_SEC

struct statements
{
  GHashTable *by_replica; /* hash -> statement_t */
};

double
statement_rejections (const statement_t *statement)
{
  return statement->brittle != 0
             ? (double)(statement->brittle - 1) / REJECTION_STEPS
             : 0;
}

void
statement_rejections_set (statement_t *statement, double per_sec)
{
  statement->brittle
      = 1 + (uint64_t)round (MIN (per_sec, REJECTIONS_MAX) * REJECTION_STEPS);
}

void
statements_create (statements_t **out)
{
  statements_t *statements = g_new0 (statements_t, 1);

  statements->by_replica
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  *out = statements;
}

void
statements_destroy (statements_t *statements)
{
  if (statements == NULL)
    return;
  g_hash_table_unref (statements->by_replica);
  g_free (statements);
}

static bool
is_same_content (const statement_t *a, const statement_t *b)
{
  return a->limit_micros == b->limit_micros && a->leaving == b->leaving
         && a->brittle == b->brittle;
}

/* Joins a statement with what is known of the same process.  */
static void
merge_statement (statement_t *known, const statement_t *statement)
{
  statement_t merged = *statement;

  merged.leaving |= known->leaving;
  if (statement->stated_at
      > known->stated_at
            + (is_same_content (&merged, known) ? CONFIRM_INTERVAL : 0))
    *known = merged;
  else
    known->leaving = merged.leaving;
}

void
statements_put (statements_t *statements, const statement_t *statement)
{
  statement_t *known
      = g_hash_table_lookup (statements->by_replica, &statement->replica);

  if (known == NULL)
    {
      if (g_hash_table_size (statements->by_replica) >= STATEMENTS_MAX)
        {
          gs_log (GS_LOG_WARN, "statements_left_out", "known=%u",
                  STATEMENTS_MAX);
          return;
        }
      known = g_memdup2 (statement, sizeof *statement);
      g_hash_table_insert (statements->by_replica, &known->replica, known);
    }
  else if (statement->started_ms == known->started_ms)
    merge_statement (known, statement);
  else if (statement->started_ms > known->started_ms)
    *known = *statement;
}

void
statements_import (statements_t *statements, gs_time_t now, const GArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    {
      const statement_row_t *row = &g_array_index (rows, statement_row_t, i);
      statement_t statement = { .replica = row->replica,
                                .started_ms = row->started_ms,
                                .leaving = row->leaving != 0,
                                .limit_micros = row->limit_micros,
                                .brittle = row->brittle,
                                .stated_at = now };

      if (row->age_ms > (uint64_t)(REPLICA_LIMIT_TTL / GS_MSEC))
        continue;
      statement.stated_at -= (gs_time_t)row->age_ms * GS_MSEC;
      statements_put (statements, &statement);
    }
}

void
statements_export (statements_t *statements, gs_time_t now, GArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, statements->by_replica);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const statement_t *statement = value;
      statement_row_t row
          = { .replica = statement->replica,
              .started_ms = statement->started_ms,
              .leaving = statement->leaving,
              .limit_micros = statement->limit_micros,
              .brittle = statement->brittle,
              .age_ms
              = (uint64_t)MAX (now - statement->stated_at, 0) / GS_MSEC };

      if (now > statement->stated_at + REPLICA_LIMIT_TTL)
        g_hash_table_iter_remove (&iter);
      else
        g_array_append_val (out, row);
    }
}

GArray *
statements_list (const statements_t *statements)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (statement_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, statements->by_replica);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_append_vals (list, value, 1);
  return list;
}
