#include "node/caller.h"

#include <jansson.h>
#include <string.h>

#define DIGEST_TEXT_BYTES 17

struct gs_caller
{
  gs_caller_sink_t sink; /* if set, used in place of the exchange */
  char successor[GS_NAME_BYTES];
  char successor_address[GS_ADDRESS_BYTES];
  uint16_t successor_port;
  gs_exchange_t *exchange;
  gs_caller_form_t form;
  bool stream;
  bool stream_started;
  char model[GS_NAME_BYTES];
  char id[GS_REQUEST_ID_TEXT_BYTES];
  gs_time_t created; /* time of day */
  uint32_t prompt_tokens;
  uint32_t tokens_max; /* 0 if not known */
  bool usage_in_stream;
  bool role_sent;
  uint32_t tokens;
  uint64_t digest; /* of the text up to the latest token */
  GString *text;   /* whole response, if not streamed */
};

gs_caller_t *
gs_caller_create (gs_exchange_t *exchange, gs_caller_form_t form, bool stream,
                  const char *model)
{
  gs_caller_t *caller = g_new0 (gs_caller_t, 1);

  caller->exchange = gs_exchange_ref (exchange);
  caller->form = form;
  caller->created = gs_clock_wall ();
  caller->stream = stream;
  g_strlcpy (caller->model, model, sizeof caller->model);
  caller->text = g_string_new (NULL);
  return caller;
}

void
gs_caller_usage_set (gs_caller_t *caller, uint32_t prompt_tokens,
                     uint32_t tokens_max, bool in_stream)
{
  caller->prompt_tokens = prompt_tokens;
  caller->tokens_max = tokens_max;
  caller->usage_in_stream = in_stream;
}

gs_caller_t *
gs_caller_create_sink (const gs_caller_sink_t *sink)
{
  gs_caller_t *caller = g_new0 (gs_caller_t, 1);

  caller->sink = *sink;
  caller->text = g_string_new (NULL);
  return caller;
}

void
gs_caller_successor_set (gs_caller_t *caller, const char *name,
                         const char *address, uint16_t port)
{
  g_strlcpy (caller->successor, name, sizeof caller->successor);
  g_strlcpy (caller->successor_address, address,
             sizeof caller->successor_address);
  caller->successor_port = port;
}

void
gs_caller_destroy (gs_caller_t *caller)
{
  if (caller == NULL)
    return;
  gs_exchange_unref (caller->exchange);
  g_string_free (caller->text, TRUE);
  g_free (caller);
}

static json_t *
error_json (const char *type, const char *message, const char *id,
            const char *outcome, gs_time_t retry_after)
{
  json_t *error = json_pack ("{s:s,s:s,s:s,s:s}", "type", type, "message",
                             message, "request_id", id, "outcome", outcome);

  if (retry_after > 0)
    json_object_set_new (error, "retry_after_ms",
                         json_integer (retry_after / GS_MSEC));
  return json_pack ("{s:o}", "error", error);
}

void
gs_reply_error (gs_exchange_t *exchange, unsigned status, const char *type,
                const char *message, const char *id, const char *outcome,
                gs_time_t retry_after)
{
  json_t *root = error_json (type, message, id, outcome, retry_after);
  char *text = json_dumps (root, JSON_COMPACT);
  char seconds[24];
  const char *headers[5] = { NULL };
  size_t count = 0;

  if (*id != '\0')
    {
      headers[count++] = "X-Request-Id";
      headers[count++] = id;
    }
  if (retry_after > 0)
    {
      g_snprintf (seconds, sizeof seconds, "%lld",
                  (long long)((retry_after + GS_SEC - 1) / GS_SEC));
      headers[count++] = "Retry-After";
      headers[count++] = seconds;
    }
  gs_exchange_reply (exchange, status, "application/json", headers, text,
                     strlen (text));
  free (text);
  json_decref (root);
}

static void
write_event (gs_caller_t *caller, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  char *event = g_strdup_printf ("data: %s\n\n", text);

  gs_exchange_write (caller->exchange, event, strlen (event));
  g_free (event);
  free (text);
  json_decref (root);
}

static void
start_stream (gs_caller_t *caller)
{
  const char *headers[]
      = { "X-Request-Id", caller->id, "Cache-Control", "no-store", NULL };

  if (caller->stream_started)
    return;
  caller->stream_started = true;
  gs_exchange_start (caller->exchange, 200, "text/event-stream", headers);
}

void
gs_caller_accepted (gs_caller_t *caller, gs_request_id_t id)
{
  if (caller->sink.end != NULL)
    {
      caller->sink.accepted (caller->sink.context, id);
      return;
    }
  gs_request_id_format (caller->id, id);
  if (caller->stream && caller->form != GS_FORM_LOOKUP)
    start_stream (caller);
}

static const char *
object_name (const gs_caller_t *caller)
{
  if (caller->form != GS_FORM_CHAT)
    return "text_completion";
  return caller->stream ? "chat.completion.chunk" : "chat.completion";
}

/* The first chunk of a chat stream has the role, the last no content.  */
static json_t *
chat_content (gs_caller_t *caller, json_t *text, bool last)
{
  json_t *content = json_object ();

  if (!caller->role_sent)
    json_object_set_new (content, "role", json_string ("assistant"));
  caller->role_sent = true;
  if (last && caller->stream)
    json_decref (text);
  else
    json_object_set_new (content, "content", text);
  return content;
}

static json_t *
response_json (const gs_caller_t *caller, json_t *choices)
{
  return json_pack ("{s:s,s:s,s:I,s:s,s:o}", "id", caller->id, "object",
                    object_name (caller), "created",
                    (json_int_t)(caller->created / GS_SEC), "model",
                    caller->model, "choices", choices);
}

static json_t *
completion_json (gs_caller_t *caller, const char *text, size_t length,
                 const char *finish)
{
  json_t *choice = json_pack ("{s:i}", "index", 0);
  json_t *content = json_stringn (text, length);

  if (content == NULL)
    content = json_string ("");
  if (caller->form == GS_FORM_CHAT)
    json_object_set_new (choice, caller->stream ? "delta" : "message",
                         chat_content (caller, content, finish != NULL));
  else
    json_object_set_new (choice, "text", content);
  json_object_set_new (choice, "finish_reason",
                       finish != NULL ? json_string (finish) : json_null ());
  return response_json (caller, json_pack ("[o]", choice));
}

static json_t *
usage_json (const gs_caller_t *caller)
{
  return json_pack ("{s:I,s:I,s:I}", "prompt_tokens",
                    (json_int_t)caller->prompt_tokens, "completion_tokens",
                    (json_int_t)caller->tokens, "total_tokens",
                    (json_int_t)caller->prompt_tokens + caller->tokens);
}

static const char *
finish_reason (const gs_caller_t *caller)
{
  return caller->tokens_max > 0 && caller->tokens >= caller->tokens_max
             ? "length"
             : "stop";
}

void
gs_caller_chunk (gs_caller_t *caller, uint32_t offset, const char *text,
                 size_t length, uint64_t digest)
{
  char hex[DIGEST_TEXT_BYTES];
  json_t *root;

  if (caller->sink.end != NULL)
    {
      caller->sink.chunk (caller->sink.context, offset, text, length, digest);
      return;
    }
  if (caller->stream)
    start_stream (caller);
  caller->tokens = offset + 1;
  caller->digest = digest;
  if (!caller->stream)
    {
      g_string_append_len (caller->text, text, (gssize)length);
      return;
    }
  root = completion_json (caller, text, length, NULL);
  json_object_set_new (root, "offset", json_integer (offset));
  g_snprintf (hex, sizeof hex, "%016llx", (unsigned long long)digest);
  json_object_set_new (root, "digest", json_string (hex));
  write_event (caller, root);
}

static const char *
error_type (gs_request_state_t outcome)
{
  switch (outcome)
    {
    case GS_STATE_NOT_RUN:
      return "unavailable";
    case GS_STATE_UNKNOWN:
      return "outcome_unknown";
    case GS_STATE_MOVED:
      return "moved";
    default:
      return "upstream_failed";
    }
}

static void
end_stream (gs_caller_t *caller)
{
  static const char done_event[] = "data: [DONE]\n\n";
  json_t *root;

  start_stream (caller);
  write_event (caller,
               completion_json (caller, "", 0, finish_reason (caller)));
  if (caller->usage_in_stream)
    {
      root = response_json (caller, json_array ());
      json_object_set_new (root, "usage", usage_json (caller));
      write_event (caller, root);
    }
  gs_exchange_write (caller->exchange, done_event, sizeof done_event - 1);
  gs_exchange_finish (caller->exchange);
}

static const char *
content_type (const gs_request_action_t *action)
{
  if (action->content_type == NULL || *action->content_type == '\0')
    return "application/octet-stream";
  return action->content_type;
}

static void
end_answered (gs_caller_t *caller, const gs_request_action_t *action)
{
  const char *headers[] = { "X-Request-Id", caller->id, NULL };
  json_t *root;
  char *text;

  if (caller->form == GS_FORM_SERVICE
      || (caller->form == GS_FORM_LOOKUP && action->length > 0))
    {
      gs_exchange_reply (caller->exchange, (unsigned)action->http_status,
                         content_type (action), headers, action->data,
                         action->length);
      return;
    }
  if (caller->stream)
    {
      end_stream (caller);
      return;
    }
  root = completion_json (caller, caller->text->str, caller->text->len,
                          finish_reason (caller));
  json_object_set_new (root, "usage", usage_json (caller));
  text = json_dumps (root, JSON_COMPACT);
  gs_exchange_reply (caller->exchange, 200, "application/json", headers, text,
                     strlen (text));
  free (text);
  json_decref (root);
}

/* Tells the caller where to resume; the text sent so far remains valid.  */
static void
end_moved (gs_caller_t *caller, const gs_request_action_t *action)
{
  json_t *root = error_json ("moved", action->reason, caller->id, "moved", 0);
  uint32_t offset = caller->stream_started ? caller->tokens : 0;
  char *path = g_strdup_printf (
      "/v1/requests/%s?offset=%u&digest=%016llx", caller->id, (unsigned)offset,
      offset > 0 ? (unsigned long long)caller->digest : 0ULL);
  char *text;

  json_object_set_new (root, "resume",
                       json_pack ("{s:s,s:s,s:i,s:s}", "node",
                                  caller->successor, "address",
                                  caller->successor_address, "port",
                                  (int)caller->successor_port, "path", path));
  if (caller->stream_started)
    {
      write_event (caller, root);
      gs_exchange_finish (caller->exchange);
    }
  else
    {
      text = json_dumps (root, JSON_COMPACT);
      gs_exchange_reply (caller->exchange, 503, "application/json", NULL, text,
                         strlen (text));
      free (text);
      json_decref (root);
    }
  g_free (path);
}

static void
end_failed (gs_caller_t *caller, const gs_request_action_t *action)
{
  const char *outcome = gs_request_state_name (action->outcome);
  const char *type = error_type (action->outcome);

  if (!caller->stream_started)
    {
      gs_reply_error (caller->exchange, (unsigned)action->http_status, type,
                      action->reason, caller->id, outcome,
                      action->retry_after);
      return;
    }
  write_event (caller, error_json (type, action->reason, caller->id, outcome,
                                   action->retry_after));
  gs_exchange_finish (caller->exchange);
}

void
gs_caller_end (gs_caller_t *caller, const gs_request_action_t *action)
{
  gs_request_id_format (caller->id, action->id);
  if (caller->sink.end != NULL)
    caller->sink.end (caller->sink.context, action);
  else if (action->outcome == GS_STATE_ANSWERED)
    end_answered (caller, action);
  else if (action->outcome == GS_STATE_MOVED)
    end_moved (caller, action);
  else
    end_failed (caller, action);
  gs_caller_destroy (caller);
}
