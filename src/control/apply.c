#include "control/apply.h"

#include "garnetstack/catalogue_edit.h"
#include "garnetstack/log.h"
#include "garnetstack/rng.h"
#include "node/caller.h"

#include <jansson.h>
#include <string.h>

#define CALL_TIMEOUT (2 * GS_SEC)
#define ATTEMPTS_MAX 6

typedef struct
{
  const gs_apply_port_t *port;
  gs_edit_request_t *edit;
  GString *next_text;   /* catalogue text of the last write */
  bool outcome_unknown; /* the outcome of a write is unknown */
  unsigned attempts;    /* attempts to merge and write */
  gs_time_t counted_at; /* when it was counted against the operator's limit;
                           0 if it is not counted */
} edit_job_t;

static void run_attempt (edit_job_t *job);

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
release_change (edit_job_t *job)
{
  if (job->counted_at != 0 && !job->outcome_unknown)
    gs_edit_rate_release (job->port->rate, job->edit->operator_name,
                          job->counted_at);
  job->counted_at = 0;
}

static void
job_free (edit_job_t *job)
{
  release_change (job);
  gs_edit_request_free (job->edit);
  g_string_free (job->next_text, TRUE);
  g_free (job);
}

static void
reply_json (edit_job_t *job, unsigned status, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);

  gs_exchange_reply (job->edit->exchange, status, "application/json", NULL,
                     text, strlen (text));
  free (text);
  json_decref (root);
  job_free (job);
}

static void
reply_accepted (edit_job_t *job, uint64_t generation, bool changed)
{
  const gs_edit_request_t *edit = job->edit;
  gs_log_value_t change;

  gs_log (GS_LOG_INFO, "catalogue_edit",
          "operator=%s change=%s generation=%llu changed=%d "
          "decision=accepted",
          edit->operator_name, gs_log_quote (&change, edit->change_id),
          (unsigned long long)generation, (int)changed);
  reply_json (job, 200,
              json_pack ("{s:I,s:s,s:b}", "generation", (json_int_t)generation,
                         "change_id", edit->change_id, "changed",
                         (int)changed));
}

static void
reply_rejected (edit_job_t *job, unsigned status, const char *type,
                const char *message, const char *outcome,
                gs_time_t retry_after)
{
  gs_log_value_t change;
  gs_log_value_t reason;

  gs_log (GS_LOG_INFO, "catalogue_edit",
          "operator=%s change=%s decision=%s reason=%s",
          job->edit->operator_name,
          gs_log_quote (&change, job->edit->change_id), type,
          gs_log_quote (&reason, message));
  gs_reply_error (job->edit->exchange, status, type, message, "", outcome,
                  retry_after);
  job_free (job);
}

static void
reply_conflicts (edit_job_t *job, const GPtrArray *conflicts)
{
  json_t *rows = json_array ();
  gs_log_value_t change;
  gs_log_value_t entry;

  for (guint i = 0; i < conflicts->len; i++)
    {
      const gs_catalogue_conflict_t *conflict = conflicts->pdata[i];

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
              job->edit->operator_name,
              gs_log_quote (&change, job->edit->change_id),
              gs_log_quote (&entry, conflict->section),
              conflict->theirs_by != NULL ? conflict->theirs_by : "-");
    }
  reply_json (job, 409,
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
reply_faults (edit_job_t *job, json_t *faults)
{
  reply_json (job, 400,
              json_pack ("{s:{s:s,s:s,s:s},s:O}", "error", "type", "invalid",
                         "message",
                         "the edit would make the catalogue invalid",
                         "outcome", "not_run", "faults", faults));
}

/* Continues after the read that follows a conflict with another writer or a
   lost response.  */
static void
on_reread_done (void *argument, const gs_store_result_t *result)
{
  edit_job_t *job = argument;
  const gs_apply_port_t *port = job->port;

  if (result->status != GS_OK && result->status != GS_ENOTFOUND)
    {
      reply_rejected (job, 503, "store", gs_status_name (result->status),
                      job->outcome_unknown ? "unknown" : "not_run", GS_SEC);
      return;
    }
  port->adopt (port->context, result->body, result->length, result->version);
  run_attempt (job);
}

static void
on_write_done (void *argument, const gs_store_result_t *result)
{
  edit_job_t *job = argument;
  const gs_apply_port_t *port = job->port;

  if (result->status == GS_OK)
    {
      uint64_t version;

      job->counted_at = 0; /* accepted: the change stays counted */
      port->adopt (port->context, job->next_text->str, job->next_text->len,
                   result->version);
      reply_accepted (
          job,
          gs_catalogue_generation (port->current (port->context, &version)),
          true);
      return;
    }
  if (result->status == GS_EREFUSED || result->status == GS_EUNREACHABLE)
    {
      reply_rejected (job, 503, "store", gs_status_name (result->status),
                      job->outcome_unknown ? "unknown" : "not_run", GS_SEC);
      return;
    }
  if (result->status != GS_ECONFLICT)
    job->outcome_unknown = true;
  port->store->get (port->store->context, port->key,
                    gs_clock_now () + CALL_TIMEOUT, on_reread_done, job);
}

/* Counts the edit against the operator's hourly limit, once for all attempts.
   The first generation is written before any operator is configured and has
   no limit.  */
static gs_status_t
reserve_change (edit_job_t *job, const gs_catalogue_t *current,
                gs_time_t *retry_after)
{
  const gs_operator_t *entry = NULL;
  gs_time_t now = gs_clock_now ();
  gs_status_t status;

  if (current != NULL)
    entry = (const gs_operator_t *)gs_catalogue_find (
        current, GS_KIND_OPERATOR, job->edit->operator_name);
  if (entry == NULL || job->counted_at != 0)
    return GS_OK;
  status
      = gs_edit_rate_reserve (job->port->rate, now, job->edit->operator_name,
                              entry->changes_per_hour, retry_after);
  if (status == GS_OK)
    job->counted_at = now;
  return status;
}

static void
write_next_text (edit_job_t *job, const gs_catalogue_t *current,
                 uint64_t store_version)
{
  const gs_apply_port_t *port = job->port;
  gs_time_t retry_after = 0;

  if (reserve_change (job, current, &retry_after) != GS_OK)
    {
      reply_rejected (job, 429, "over_limit", gs_error_last (), "not_run",
                      retry_after);
      return;
    }
  port->store->put (port->store->context, port->key, store_version,
                    job->next_text->str, job->next_text->len,
                    gs_clock_now () + CALL_TIMEOUT, on_write_done, job);
}

static void
run_attempt (edit_job_t *job)
{
  const gs_edit_request_t *request = job->edit;
  uint64_t store_version = 0;
  const gs_catalogue_t *current
      = job->port->current (job->port->context, &store_version);
  const char *text = current != NULL ? gs_catalogue_text (current) : NULL;
  uint64_t generation
      = current != NULL ? gs_catalogue_generation (current) : 0;
  json_t *faults = json_array ();
  GPtrArray *conflicts = gs_catalogue_conflicts_new ();
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
      reply_accepted (job, generation, true);
      goto cleanup;
    }
  if (request->bootstrap && current != NULL)
    {
      reply_rejected (job, 401, "unauthorized",
                      "the nodes' key permits only the first generation of "
                      "the catalogue",
                      "not_run", 0);
      goto cleanup;
    }
  if (++job->attempts > ATTEMPTS_MAX)
    {
      reply_rejected (job, 503, "busy",
                      "too many concurrent writes of the catalogue",
                      job->outcome_unknown ? "unknown" : "not_run", GS_SEC);
      goto cleanup;
    }
  g_string_truncate (job->next_text, 0);
  status = gs_catalogue_edit (job->next_text, conflicts, text, &edit);
  if (status == GS_ECONFLICT)
    reply_conflicts (job, conflicts);
  else if (status == GS_ENOTFOUND)
    reply_rejected (job, 404, "not_found", gs_error_last (), "not_run", 0);
  else if (status != GS_OK)
    reply_faults (job, faults);
  else if (job->next_text->len == 0)
    reply_accepted (job, generation, false);
  else
    write_next_text (job, current, store_version);

cleanup:
  g_ptr_array_unref (conflicts);
  json_decref (faults);
}

void
gs_apply_start (const gs_apply_port_t *port, gs_edit_request_t *edit)
{
  edit_job_t *job = g_new0 (edit_job_t, 1);

  job->port = port;
  job->edit = edit;
  job->next_text = g_string_new (NULL);
  if (edit->change_id[0] == '\0')
    g_snprintf (edit->change_id, sizeof edit->change_id, "%016llx",
                (unsigned long long)gs_rng_entropy ());
  run_attempt (job);
}
