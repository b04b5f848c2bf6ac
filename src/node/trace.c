#include "node/trace.h"

#include <stdio.h>
#include <string.h>

typedef struct
{
  gs_time_t wall;
  gs_request_id_t id;
  uint32_t attempt;
  const char *decision;
  char detail[GS_TRACE_DETAIL_BYTES];
} trace_record_t;

typedef struct
{
  gs_request_id_t id;
  gs_time_t since; /* time of day */
  const char *state;
  uint32_t attempt;
  uint64_t tokens;
  char account[GS_NAME_BYTES];
  char target[GS_NAME_BYTES];
  char upstream[GS_NAME_BYTES];
} open_request_t;

typedef enum
{
  COUNT_OPEN,
  COUNT_RECEIVED,
  COUNT_ANSWERED,
  COUNT_NOT_RUN,
  COUNT_FAILED,
  COUNT_UNKNOWN,
  COUNT_TOKENS,
  COUNT_KINDS
} count_kind_t;

static const char *const count_names[COUNT_KINDS]
    = { "open",   "received", "answered", "not_run",
        "failed", "unknown",  "tokens" };

struct gs_trace
{
  char node[GS_NAME_BYTES];
  trace_record_t *records;
  unsigned size;                      /* number of records in the ring */
  uint64_t written;                   /* records added since the start */
  GHashTable *open_requests;          /* gs_request_id_t -> open_request_t */
  GHashTable *accounts;               /* name -> uint64_t[COUNT_KINDS] */
  const gs_request_spec_t *submitted; /* NULL outside a submission */
};

static guint
id_hash (gconstpointer key)
{
  const gs_request_id_t *id = key;

  return (guint)(id->sequence ^ (id->sequence >> 32) ^ id->incarnation);
}

static gboolean
id_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (gs_request_id_t)) == 0;
}

gs_trace_t *
gs_trace_create (const char *node, unsigned records)
{
  gs_trace_t *trace = g_new0 (gs_trace_t, 1);

  g_strlcpy (trace->node, node, sizeof trace->node);
  trace->records = g_new0 (trace_record_t, records);
  trace->size = records;
  trace->open_requests
      = g_hash_table_new_full (id_hash, id_equal, NULL, g_free);
  trace->accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return trace;
}

void
gs_trace_destroy (gs_trace_t *trace)
{
  if (trace == NULL)
    return;
  g_hash_table_unref (trace->accounts);
  g_hash_table_unref (trace->open_requests);
  g_free (trace->records);
  g_free (trace);
}

void
gs_trace_submission_set (gs_trace_t *trace, const gs_request_spec_t *spec)
{
  trace->submitted = spec;
}

void
gs_trace_decision_add (gs_trace_t *trace, gs_time_t wall, gs_request_id_t id,
                       uint32_t attempt, const char *decision,
                       const char *format, ...)
{
  trace_record_t *record = &trace->records[trace->written++ % trace->size];
  va_list args;

  record->wall = wall;
  record->id = id;
  record->attempt = attempt;
  record->decision = decision;
  va_start (args, format);
  vsnprintf (record->detail, sizeof record->detail, format, args);
  va_end (args);
}

static uint64_t *
account_counts (gs_trace_t *trace, const char *account)
{
  uint64_t *counts = g_hash_table_lookup (trace->accounts, account);

  if (counts == NULL)
    {
      counts = g_new0 (uint64_t, COUNT_KINDS);
      g_hash_table_insert (trace->accounts, g_strdup (account), counts);
    }
  return counts;
}

/* @return false for actions that may follow the end of a request, which must
   not add the request again.  */
static bool
opens_request (gs_request_action_type_t type)
{
  switch (type)
    {
    case GS_ACTION_BACKUP_PUT:
    case GS_ACTION_CLAIM:
    case GS_ACTION_DISPATCH:
    case GS_ACTION_CALLER_ACCEPTED:
    case GS_ACTION_CALLER_END:
      return true;
    default:
      return false;
    }
}

static open_request_t *
find_or_open_request (gs_trace_t *trace, gs_time_t wall,
                      const gs_request_action_t *action)
{
  const gs_request_spec_t *spec
      = action->spec != NULL ? action->spec : trace->submitted;
  open_request_t *request
      = g_hash_table_lookup (trace->open_requests, &action->id);

  if (request != NULL || spec == NULL || !opens_request (action->type))
    return request;
  request = g_new0 (open_request_t, 1);
  request->id = action->id;
  request->since = wall;
  request->state = "received";
  g_strlcpy (request->account, spec->account, sizeof request->account);
  g_strlcpy (request->target, spec->target, sizeof request->target);
  g_hash_table_insert (trace->open_requests, &request->id, request);
  account_counts (trace, request->account)[COUNT_OPEN]++;
  account_counts (trace, request->account)[COUNT_RECEIVED]++;
  return request;
}

static count_kind_t
outcome_count (gs_request_state_t outcome)
{
  switch (outcome)
    {
    case GS_STATE_ANSWERED:
      return COUNT_ANSWERED;
    case GS_STATE_NOT_RUN:
      return COUNT_NOT_RUN;
    case GS_STATE_UNKNOWN:
      return COUNT_UNKNOWN;
    default:
      return COUNT_FAILED;
    }
}

static void
close_request (gs_trace_t *trace, const open_request_t *request,
               const gs_request_action_t *action)
{
  uint64_t *counts = account_counts (trace, request->account);

  counts[COUNT_OPEN]--;
  counts[outcome_count (action->outcome)]++;
  counts[COUNT_TOKENS] += request->tokens;
  g_hash_table_remove (trace->open_requests, &action->id);
}

static void
record_dispatch (gs_trace_t *trace, gs_time_t wall, open_request_t *request,
                 const gs_request_action_t *action)
{
  request->state = "dispatched";
  request->attempt = action->attempt;
  g_strlcpy (request->upstream, action->route.upstream,
             sizeof request->upstream);
  gs_trace_decision_add (trace, wall, action->id, action->attempt, "dispatch",
                         "upstream=%s mode=%s offset=%u",
                         action->route.upstream,
                         gs_attempt_mode_name (action->mode), action->offset);
}

void
gs_trace_action_add (gs_trace_t *trace, gs_time_t wall,
                     const gs_request_action_t *action)
{
  open_request_t *request = find_or_open_request (trace, wall, action);

  if (request == NULL)
    return;
  switch (action->type)
    {
    case GS_ACTION_BACKUP_PUT:
      gs_trace_decision_add (trace, wall, action->id, action->attempt,
                             "backup", "peer=%016llx",
                             (unsigned long long)action->peer);
      break;
    case GS_ACTION_CLAIM:
      gs_trace_decision_add (trace, wall, action->id, action->attempt, "claim",
                             "the call is not idempotent");
      break;
    case GS_ACTION_CLAIM_READ:
      gs_trace_decision_add (trace, wall, action->id, action->attempt,
                             "claim_read",
                             "read the holder of the idempotency key");
      break;
    case GS_ACTION_ASK_HOLDER:
      gs_trace_decision_add (trace, wall, action->id, action->attempt,
                             "ask_holder", "peer=%016llx",
                             (unsigned long long)action->peer);
      break;
    case GS_ACTION_MOVE_KV:
      gs_trace_decision_add (trace, wall, action->id, action->attempt,
                             "move_kv", "from=%s to=%s", action->from.upstream,
                             action->route.upstream);
      break;
    case GS_ACTION_CALLER_ACCEPTED:
      request->state = "accepted";
      gs_trace_decision_add (trace, wall, action->id, action->attempt,
                             "accept", "account=%s target=%s",
                             request->account, request->target);
      break;
    case GS_ACTION_DISPATCH:
      record_dispatch (trace, wall, request, action);
      break;
    case GS_ACTION_CANCEL:
      gs_trace_decision_add (trace, wall, action->id, action->attempt,
                             "cancel", "upstream=%s", request->upstream);
      break;
    case GS_ACTION_CALLER_CHUNK:
      request->tokens = MAX (request->tokens, (uint64_t)action->offset + 1);
      break;
    case GS_ACTION_CALLER_END:
      gs_trace_decision_add (
          trace, wall, action->id, action->attempt, "end",
          "outcome=%s tokens=%llu upstream=%s reason=\"%s\"",
          gs_request_state_name (action->outcome),
          (unsigned long long)request->tokens,
          *request->upstream != '\0' ? request->upstream : "-",
          action->reason);
      close_request (trace, request, action);
      break;
    default:
      break;
    }
}

static json_t *
time_json (gs_time_t wall)
{
  GDateTime *seconds = g_date_time_new_from_unix_utc (wall / GS_SEC);
  char *text = g_date_time_format (seconds, "%Y-%m-%dT%H:%M:%S");
  char *timestamp = g_strdup_printf ("%s.%06dZ", text, (int)(wall % GS_SEC));
  json_t *result = json_string (timestamp);

  g_free (timestamp);
  g_free (text);
  g_date_time_unref (seconds);
  return result;
}

void
gs_trace_decisions_append (const gs_trace_t *trace, gs_request_id_t id,
                           json_t *rows)
{
  uint64_t first
      = trace->written > trace->size ? trace->written - trace->size : 0;

  for (uint64_t i = first; i < trace->written; i++)
    {
      const trace_record_t *record = &trace->records[i % trace->size];

      if (!id_equal (&record->id, &id))
        continue;
      json_array_append_new (
          rows, json_pack ("{s:o,s:I,s:s,s:i,s:s,s:s}", "time",
                           time_json (record->wall), "wall_us",
                           (json_int_t)record->wall, "node", trace->node,
                           "attempt", (int)record->attempt, "decision",
                           record->decision, "detail", record->detail));
    }
}

static const char *
state_reason (const open_request_t *request)
{
  if (strcmp (request->state, "received") == 0)
    return "waits for the backup of the request";
  if (strcmp (request->state, "accepted") == 0)
    return "waits for the right to dispatch or for an upstream";
  return "running at its upstream";
}

void
gs_trace_requests_append (const gs_trace_t *trace, gs_time_t wall,
                          json_t *rows)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, trace->open_requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const open_request_t *request = value;
      char id[GS_REQUEST_ID_TEXT_BYTES];

      gs_request_id_format (id, request->id);
      json_array_append_new (
          rows,
          json_pack ("{s:s,s:s,s:s,s:s,s:i,s:s,s:I,s:I,s:s}", "id", id,
                     "account", request->account, "target", request->target,
                     "state", request->state, "attempt", (int)request->attempt,
                     "upstream", request->upstream, "tokens",
                     (json_int_t)request->tokens, "age_ms",
                     (json_int_t)((wall - request->since) / GS_MSEC), "why",
                     state_reason (request)));
    }
}

void
gs_trace_accounts_add (const gs_trace_t *trace, json_t *totals)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, trace->accounts);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const uint64_t *counts = value;
      json_t *row = json_object_get (totals, name);

      if (row == NULL)
        {
          row = json_object ();
          json_object_set_new (totals, name, row);
        }
      for (int kind = 0; kind < COUNT_KINDS; kind++)
        json_object_set_new (
            row, count_names[kind],
            json_integer (
                json_integer_value (json_object_get (row, count_names[kind]))
                + (json_int_t)counts[kind]));
    }
}
