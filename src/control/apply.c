#include "control/apply.h"

#include "garnetstack/catalogue_edit.h"
#include "garnetstack/log.h"
#include "garnetstack/rng.h"
#include "node/caller.h"

#include <jansson.h>
#include <string.h>

#define CALL_WAIT (2 * GS_SEC)
#define ROUNDS_MAX 6

typedef struct
{
  const gs_apply_port_t *port;
  gs_edit_request_t *edit;
  GString *next;        /* catalogue text of the last write */
  bool maybe_written;   /* the outcome of a write is unknown */
  unsigned rounds;      /* attempts to merge and write */
  gs_time_t counted_at; /* when it was counted against the operator's limit;
                           0 if it is not counted */
} apply_t;

static void run_round (apply_t *apply);

void
gs_edit_request_free (gs_edit_request_t *edit)
{
  gs_exchange_unref (edit->exchange);
  if (edit->text != NULL)
    g_string_free (edit->text, TRUE);
  g_free (edit->remove);
  g_free (edit);
}

/* An edit that was certainly not written does not count against the
   operator's limit.  */
static void
uncount (apply_t *apply)
{
  if (apply->counted_at != 0 && !apply->maybe_written)
    gs_edit_rate_give_back (apply->port->rate, apply->edit->operator_name,
                            apply->counted_at);
  apply->counted_at = 0;
}

static void
apply_free (apply_t *apply)
{
  uncount (apply);
  gs_edit_request_free (apply->edit);
  g_string_free (apply->next, TRUE);
  g_free (apply);
}

static void
reply_json (apply_t *apply, unsigned status, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);

  gs_exchange_reply (apply->edit->exchange, status, "application/json", NULL,
                     text, strlen (text));
  free (text);
  json_decref (root);
  apply_free (apply);
}

static void
reply_accepted (apply_t *apply, uint64_t generation, bool changed)
{
  const gs_edit_request_t *edit = apply->edit;
  gs_log_value_t change;

  gs_log (GS_LOG_INFO, "catalogue_edit",
          "operator=%s change=%s generation=%llu changed=%d "
          "decision=accepted",
          edit->operator_name, gs_log_quote (&change, edit->change_id),
          (unsigned long long)generation, (int)changed);
  reply_json (apply, 200,
              json_pack ("{s:I,s:s,s:b}", "generation", (json_int_t)generation,
                         "change_id", edit->change_id, "changed",
                         (int)changed));
}

static void
reply_refused (apply_t *apply, unsigned status, const char *type,
               const char *message, const char *outcome, gs_time_t retry)
{
  gs_log_value_t change;
  gs_log_value_t reason;

  gs_log (GS_LOG_INFO, "catalogue_edit",
          "operator=%s change=%s decision=%s reason=%s",
          apply->edit->operator_name,
          gs_log_quote (&change, apply->edit->change_id), type,
          gs_log_quote (&reason, message));
  gs_reply_error (apply->edit->exchange, status, type, message, "", outcome,
                  retry);
  apply_free (apply);
}

static void
reply_conflicts (apply_t *apply, const GPtrArray *conflicts)
{
  json_t *rows = json_array ();
  gs_log_value_t change;
  gs_log_value_t entry;

  for (guint i = 0; i < conflicts->len; i++)
    {
      const gs_conflict_t *conflict = conflicts->pdata[i];

      json_array_append_new (
          rows, json_pack (
                    "{s:s,s:s,s:s,s:I,s:s,s:s}", "entry", conflict->section,
                    "theirs", conflict->theirs, "theirs_by",
                    conflict->theirs_by != NULL ? conflict->theirs_by : "",
                    "theirs_version", (json_int_t)conflict->theirs_version,
                    "yours", conflict->yours, "yours_by", conflict->yours_by));
      gs_log (GS_LOG_INFO, "catalogue_edit",
              "operator=%s change=%s decision=conflict entry=%s "
              "theirs_by=%s",
              apply->edit->operator_name,
              gs_log_quote (&change, apply->edit->change_id),
              gs_log_quote (&entry, conflict->section),
              conflict->theirs_by != NULL ? conflict->theirs_by : "-");
    }
  reply_json (apply, 409,
              json_pack ("{s:{s:s,s:s,s:s},s:o}", "error", "type", "conflict",
                         "message",
                         "another operator changed the same entry since it "
                         "was read",
                         "outcome", "not_run", "conflicts", rows));
}

static void
collect_fault (void *context, const char *file, const char *section,
               const char *key, const char *reason)
{
  json_array_append_new (context,
                         json_pack ("{s:s,s:s,s:s}", "section", section, "key",
                                    key, "reason", reason));
}

static void
reply_faults (apply_t *apply, json_t *faults)
{
  reply_json (apply, 400,
              json_pack ("{s:{s:s,s:s,s:s},s:O}", "error", "type", "invalid",
                         "message",
                         "the edit would make the catalogue invalid",
                         "outcome", "not_run", "faults", faults));
}

/* Continues after the read that follows a conflict with another writer or a
   lost response.  */
static void
on_read_again (void *argument, const gs_store_result_t *result)
{
  apply_t *apply = argument;
  const gs_apply_port_t *port = apply->port;

  if (result->status != GS_OK && result->status != GS_ENOTFOUND)
    {
      reply_refused (apply, 503, "store", gs_status_name (result->status),
                     apply->maybe_written ? "unknown" : "not_run", GS_SEC);
      return;
    }
  port->adopt (port->context, result->body, result->length, result->version);
  run_round (apply);
}

static void
on_written (void *argument, const gs_store_result_t *result)
{
  apply_t *apply = argument;
  const gs_apply_port_t *port = apply->port;

  if (result->status == GS_OK)
    {
      uint64_t version;

      apply->counted_at = 0; /* accepted, so the count is not taken back */
      port->adopt (port->context, apply->next->str, apply->next->len,
                   result->version);
      reply_accepted (
          apply,
          gs_catalogue_generation (port->current (port->context, &version)),
          true);
      return;
    }
  if (result->status == GS_EREFUSED || result->status == GS_EUNREACHABLE)
    {
      reply_refused (apply, 503, "store", gs_status_name (result->status),
                     apply->maybe_written ? "unknown" : "not_run", GS_SEC);
      return;
    }
  if (result->status != GS_ECONFLICT)
    apply->maybe_written = true;
  port->store->get (port->store->context, port->key,
                    gs_clock_now () + CALL_WAIT, on_read_again, apply);
}

/* Counts the edit against the operator's hourly limit, once for all attempts.
   The first generation is written before any operator is configured and has
   no limit.  */
static gs_status_t
count_change (apply_t *apply, const gs_catalogue_t *current,
              gs_time_t *retry_after)
{
  const gs_operator_t *entry = NULL;
  gs_time_t now = gs_clock_now ();
  gs_status_t status;

  if (current != NULL)
    entry = (const gs_operator_t *)gs_catalogue_find (
        current, GS_KIND_OPERATOR, apply->edit->operator_name);
  if (entry == NULL || apply->counted_at != 0)
    return GS_OK;
  status
      = gs_edit_rate_take (apply->port->rate, now, apply->edit->operator_name,
                           entry->changes_per_hour, retry_after);
  if (status == GS_OK)
    apply->counted_at = now;
  return status;
}

static void
write_next (apply_t *apply, const gs_catalogue_t *current,
            uint64_t store_version)
{
  const gs_apply_port_t *port = apply->port;
  gs_time_t retry_after = 0;

  if (count_change (apply, current, &retry_after) != GS_OK)
    {
      reply_refused (apply, 429, "over_limit", gs_error_last (), "not_run",
                     retry_after);
      return;
    }
  port->store->put (port->store->context, port->key, store_version,
                    apply->next->str, apply->next->len,
                    gs_clock_now () + CALL_WAIT, on_written, apply);
}

static void
run_round (apply_t *apply)
{
  const gs_edit_request_t *request = apply->edit;
  uint64_t store_version = 0;
  const gs_catalogue_t *current
      = apply->port->current (apply->port->context, &store_version);
  const char *text = current != NULL ? gs_catalogue_text (current) : NULL;
  uint64_t generation
      = current != NULL ? gs_catalogue_generation (current) : 0;
  json_t *faults = json_array ();
  GPtrArray *conflicts = gs_conflicts_new ();
  gs_catalogue_edit_t edit
      = { .text = request->text != NULL ? request->text->str : NULL,
          .length = request->text != NULL ? request->text->len : 0,
          .remove = request->remove,
          .generation = request->generation,
          .whole = request->whole,
          .operator_name = request->operator_name,
          .change_id = request->change_id,
          .on_fault = collect_fault,
          .context = faults };
  gs_status_t status;

  if (text != NULL && gs_catalogue_has_change (text, request->change_id))
    {
      reply_accepted (apply, generation, true);
      goto cleanup;
    }
  if (request->bootstrap && current != NULL)
    {
      reply_refused (apply, 401, "unauthorized",
                     "the nodes' key permits only the first generation of "
                     "the catalogue",
                     "not_run", 0);
      goto cleanup;
    }
  if (++apply->rounds > ROUNDS_MAX)
    {
      reply_refused (apply, 503, "busy",
                     "too many concurrent writes of the catalogue",
                     apply->maybe_written ? "unknown" : "not_run", GS_SEC);
      goto cleanup;
    }
  g_string_truncate (apply->next, 0);
  status = gs_catalogue_edit (apply->next, conflicts, text, &edit);
  if (status == GS_ECONFLICT)
    reply_conflicts (apply, conflicts);
  else if (status == GS_ENOTFOUND)
    reply_refused (apply, 404, "not_found", gs_error_last (), "not_run", 0);
  else if (status != GS_OK)
    reply_faults (apply, faults);
  else if (apply->next->len == 0)
    reply_accepted (apply, generation, false);
  else
    write_next (apply, current, store_version);

cleanup:
  g_ptr_array_unref (conflicts);
  json_decref (faults);
}

void
gs_apply_run (const gs_apply_port_t *port, gs_edit_request_t *edit)
{
  apply_t *apply = g_new0 (apply_t, 1);

  apply->port = port;
  apply->edit = edit;
  apply->next = g_string_new (NULL);
  if (edit->change_id[0] == '\0')
    g_snprintf (edit->change_id, sizeof edit->change_id, "%016llx",
                (unsigned long long)gs_rng_entropy ());
  run_round (apply);
}
