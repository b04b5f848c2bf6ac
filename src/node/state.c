#include "node/state.h"

#include "garnetstack/metrics.h"
#include "node/caller.h"
#include "node/gauges.h"
#include "node/state_rows.h"

#include <jansson.h>
#include <string.h>

#define WHY_BYTES 256
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
} question_t;

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
account_rows (const question_t *question)
{
  const gs_catalogue_t *catalogue = question->catalogue;
  size_t count = gs_catalogue_count (catalogue, GS_KIND_ACCOUNT);
  json_t *rows = json_array ();

  for (size_t i = 0; i < count; i++)
    {
      const gs_account_t *account = (const gs_account_t *)gs_catalogue_at (
          catalogue, GS_KIND_ACCOUNT, i);
      const json_t *counts
          = json_object_get (question->rows, account->entry.name);
      char why[WHY_BYTES];
      json_t *row = json_pack (
          "{s:s,s:s,s:s,s:I,s:I,s:I}", "name", account->entry.name, "owner",
          account->entry.owner, "class", account->class_ref->entry.name,
          "in_flight_max", (json_int_t)account->in_flight_max,
          "requests_per_sec", (json_int_t)account->requests_per_sec,
          "tokens_per_sec", (json_int_t)account->tokens_per_sec);

      json_object_update (row, (json_t *)counts);
      g_snprintf (why, sizeof why, "entry of generation %llu by %s: %s",
                  (unsigned long long)account->entry.version,
                  account->entry.changed_by != NULL ? account->entry.changed_by
                                                    : "-",
                  account->entry.purpose);
      json_object_set_new (row, "why", json_string (why));
      json_array_append_new (rows, row);
    }
  return rows;
}

static void
reply_metrics (const question_t *question)
{
  gs_gauges_append_accounts (question->text, question->rows);
  gs_exchange_reply (question->exchange, 200, METRICS_TYPE, NULL,
                     question->text->str, question->text->len);
}

static void
finish (question_t *question)
{
  if (question->text != NULL)
    {
      reply_metrics (question);
      return;
    }
  if (strcmp (question->table, "accounts") == 0)
    reply_rows (question->exchange, question->table, account_rows (question));
  else if (strcmp (question->table, "decisions") == 0
           && json_array_size (question->rows) == 0)
    gs_reply_error (question->exchange, 404, "not_found",
                    "this node holds no records of that request", "",
                    "not_run", 0);
  else
    reply_rows (question->exchange, question->table,
                json_incref (question->rows));
}

static void
question_free (question_t *question)
{
  gs_exchange_unref (question->exchange);
  gs_catalogue_unref (question->catalogue);
  json_decref (question->rows);
  if (question->text != NULL)
    g_string_free (question->text, TRUE);
  g_free (question);
}

static void ask_next (question_t *question);

static void
on_visit (void *context, const gs_trace_t *trace)
{
  question_t *question = context;

  if (question->text != NULL || strcmp (question->table, "accounts") == 0)
    gs_trace_accounts (trace, question->rows);
  else if (strcmp (question->table, "requests") == 0)
    gs_trace_requests (trace, gs_clock_wall (), question->rows);
  else
    gs_trace_explain (trace, question->id, question->rows);
  ask_next (question);
}

/* The query is used by one thread at a time, so its rows need no lock.  */
static void
ask_next (question_t *question)
{
  const gs_state_source_t *source = &question->source;

  if (question->next == source->worker_count)
    {
      finish (question);
      question_free (question);
      return;
    }
  if (gs_worker_visit (source->workers[question->next++], on_visit, question)
      == GS_OK)
    return;
  gs_reply_error (question->exchange, 503, "busy",
                  "the queue of a traffic thread is full", "", "not_run",
                  GS_SEC);
  question_free (question);
}

static question_t *
question_new (const gs_state_source_t *source, gs_exchange_t *exchange,
              const char *table, json_t *rows)
{
  question_t *question = g_new0 (question_t, 1);

  question->source = *source;
  question->exchange = gs_exchange_ref (exchange);
  question->table = table;
  question->rows = rows;
  return question;
}

void
gs_state_metrics (const gs_state_source_t *source,
                  const gs_snapshot_t *snapshot, gs_exchange_t *exchange)
{
  question_t *question
      = question_new (source, exchange, "metrics", json_object ());
  char *counters = gs_metrics_text ();

  question->text = g_string_new (counters);
  g_free (counters);
  gs_gauges_append_snapshot (question->text, snapshot);
  ask_next (question);
}

bool
gs_state_is_private (const char *table)
{
  return strcmp (table, "accounts") == 0 || strcmp (table, "requests") == 0;
}

void
gs_state_reply (const gs_state_source_t *source, const gs_snapshot_t *snapshot,
                gs_exchange_t *exchange, const char *table)
{
  json_t *rows = gs_state_rows (snapshot, table, source->settings->name);

  if (rows != NULL)
    reply_rows (exchange, table, rows);
  else if (strcmp (table, "requests") == 0)
    ask_next (question_new (source, exchange, "requests", json_array ()));
  else if (strcmp (table, "accounts") == 0 && snapshot->catalogue == NULL)
    reply_rows (exchange, "accounts", json_array ());
  else if (strcmp (table, "accounts") == 0)
    {
      question_t *question
          = question_new (source, exchange, "accounts", json_object ());

      question->catalogue = gs_catalogue_ref (snapshot->catalogue);
      ask_next (question);
    }
  else
    gs_reply_error (exchange, 404, "unknown_path", "no such table", "",
                    "not_run", 0);
}

void
gs_state_explain (const gs_state_source_t *source, gs_exchange_t *exchange,
                  const char *id)
{
  question_t *question;
  gs_request_id_t parsed;

  if (gs_request_id_parse (&parsed, id) != GS_OK)
    {
      gs_reply_error (exchange, 400, "invalid_request",
                      "the request id is malformed", "", "not_run", 0);
      return;
    }
  question = question_new (source, exchange, "decisions", json_array ());
  question->id = parsed;
  ask_next (question);
}
