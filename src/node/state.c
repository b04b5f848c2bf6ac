#include "node/state.h"

#include "garnetstack/metrics.h"
#include "node/caller.h"
#include "node/gauges.h"
#include "node/state_rows.h"

#include <jansson.h>
#include <string.h>

#define REASON_BYTES 256
#define METRICS_TYPE "text/plain; version=0.0.4"

/* A query that visits the traffic threads one after the other.  */
typedef struct
{
  gs_state_source_t source;
  gs_exchange_t *exchange;
  unsigned next; /* worker to visit */
  const char *table;
  gs_request_id_t id; /* of the request to explain */
  json_t *rows;       /* array, or object with one member per account */
  GString *text;      /* metrics so far, NULL for a table */
  gs_catalogue_t *catalogue;
} state_query_t;

static void
reply_rows (gs_exchange_t *exchange, const char *table, json_t *rows)
{
  json_t *root = json_pack ("{s:o}", table, rows);
  char *text = json_dumps (root, JSON_COMPACT);

  gs_exchange_reply (exchange, 200, "application/json", NULL, text,
                     strlen (text));
  free (text);
  json_decref (root);
}

/* Rows of the accounts in catalogue order, with this node's counts.  */
static json_t *
account_rows (const state_query_t *query)
{
  const gs_catalogue_t *catalogue = query->catalogue;
  size_t count = gs_catalogue_count (catalogue, GS_KIND_ACCOUNT);
  json_t *rows = json_array ();

  for (size_t i = 0; i < count; i++)
    {
      const gs_account_t *account = (const gs_account_t *)gs_catalogue_at (
          catalogue, GS_KIND_ACCOUNT, i);
      const json_t *counts
          = json_object_get (query->rows, account->entry.name);
      char reason[REASON_BYTES];
      json_t *row = json_pack (
          "{s:s,s:s,s:s,s:I,s:I,s:I}", "name", account->entry.name, "owner",
          account->entry.owner, "class", account->class_ref->entry.name,
          "in_flight_max", (json_int_t)account->in_flight_max,
          "requests_per_sec", (json_int_t)account->requests_per_sec,
          "tokens_per_sec", (json_int_t)account->tokens_per_sec);

      json_object_update (row, (json_t *)counts);
      g_snprintf (reason, sizeof reason, "entry of generation %llu by %s: %s",
                  (unsigned long long)account->entry.version,
                  account->entry.changed_by != NULL ? account->entry.changed_by
                                                    : "-",
                  account->entry.purpose);
      json_object_set_new (row, "why", json_string (reason));
      json_array_append_new (rows, row);
    }
  return rows;
}

static void
reply_metrics (const state_query_t *query)
{
  gs_gauges_accounts_append (query->text, query->rows);
  gs_exchange_reply (query->exchange, 200, METRICS_TYPE, NULL,
                     query->text->str, query->text->len);
}

static void
query_finish (state_query_t *query)
{
  if (query->text != NULL)
    {
      reply_metrics (query);
      return;
    }
  if (strcmp (query->table, "accounts") == 0)
    reply_rows (query->exchange, query->table, account_rows (query));
  else if (strcmp (query->table, "decisions") == 0
           && json_array_size (query->rows) == 0)
    gs_reply_error (query->exchange, 404, "not_found",
                    "this node holds no records of that request", "",
                    "not_run", 0);
  else
    reply_rows (query->exchange, query->table, json_incref (query->rows));
}

static void
query_free (state_query_t *query)
{
  gs_exchange_unref (query->exchange);
  gs_catalogue_unref (query->catalogue);
  json_decref (query->rows);
  if (query->text != NULL)
    g_string_free (query->text, TRUE);
  g_free (query);
}

static void query_next_worker (state_query_t *query);

static void
on_visit (void *context, const gs_trace_t *trace)
{
  state_query_t *query = context;

  if (query->text != NULL || strcmp (query->table, "accounts") == 0)
    gs_trace_accounts_add (trace, query->rows);
  else if (strcmp (query->table, "requests") == 0)
    gs_trace_requests_append (trace, gs_clock_wall (), query->rows);
  else
    gs_trace_decisions_append (trace, query->id, query->rows);
  query_next_worker (query);
}

/* The query is used by one thread at a time, so its rows need no lock.  */
static void
query_next_worker (state_query_t *query)
{
  const gs_state_source_t *source = &query->source;

  if (query->next == source->worker_count)
    {
      query_finish (query);
      query_free (query);
      return;
    }
  if (gs_worker_trace_visit (source->workers[query->next++], on_visit, query)
      == GS_OK)
    return;
  gs_reply_error (query->exchange, 503, "busy",
                  "the queue of a traffic thread is full", "", "not_run",
                  GS_SEC);
  query_free (query);
}

static state_query_t *
query_new (const gs_state_source_t *source, gs_exchange_t *exchange,
           const char *table, json_t *rows)
{
  state_query_t *query = g_new0 (state_query_t, 1);

  query->source = *source;
  query->exchange = gs_exchange_ref (exchange);
  query->table = table;
  query->rows = rows;
  return query;
}

void
gs_state_metrics_reply (const gs_state_source_t *source,
                        const gs_snapshot_t *snapshot, gs_exchange_t *exchange)
{
  state_query_t *query
      = query_new (source, exchange, "metrics", json_object ());
  char *counters = gs_metrics_text ();

  query->text = g_string_new (counters);
  g_free (counters);
  gs_gauges_snapshot_append (query->text, snapshot);
  query_next_worker (query);
}

bool
gs_state_table_is_private (const char *table)
{
  return strcmp (table, "accounts") == 0 || strcmp (table, "requests") == 0;
}

void
gs_state_table_reply (const gs_state_source_t *source,
                      const gs_snapshot_t *snapshot, gs_exchange_t *exchange,
                      const char *table)
{
  json_t *rows = gs_state_rows (snapshot, table, source->settings->name);

  if (rows != NULL)
    reply_rows (exchange, table, rows);
  else if (strcmp (table, "requests") == 0)
    query_next_worker (
        query_new (source, exchange, "requests", json_array ()));
  else if (strcmp (table, "accounts") == 0 && snapshot->catalogue == NULL)
    reply_rows (exchange, "accounts", json_array ());
  else if (strcmp (table, "accounts") == 0)
    {
      state_query_t *query
          = query_new (source, exchange, "accounts", json_object ());

      query->catalogue = gs_catalogue_ref (snapshot->catalogue);
      query_next_worker (query);
    }
  else
    gs_reply_error (exchange, 404, "unknown_path", "no such table", "",
                    "not_run", 0);
}

void
gs_state_decisions_reply (const gs_state_source_t *source,
                          gs_exchange_t *exchange, const char *id)
{
  state_query_t *query;
  gs_request_id_t parsed;

  if (gs_request_id_parse (&parsed, id) != GS_OK)
    {
      gs_reply_error (exchange, 400, "invalid_request",
                      "the request id is malformed", "", "not_run", 0);
      return;
    }
  query = query_new (source, exchange, "decisions", json_array ());
  query->id = parsed;
  query_next_worker (query);
}
