#include "garnetstack/engine.h"
#include "ports/engine_calls.h"
#include "ports/http_status.h"

#include <glib.h>
#include <string.h>

#define LINE_BYTES_MAX 65536
#define HEADER_BYTES_MAX 128

struct gs_engine_stream
{
  gs_engine_text_cb_t on_token;
  gs_engine_end_cb_t on_end;
  void *argument;
  GString *line;
  uint32_t next_offset; /* of the next event, unless it states its own */
  bool complete;        /* the end marker was received */
  gs_http_call_t *call;
};

/* Indexed by gs_engine_mode_t.  */
static const char *const mode_names[]
    = { "new", "resume", "moved", "prefill" };

static void
stream_free (void *context)
{
  gs_engine_stream_t *stream = context;

  g_string_free (stream->line, TRUE);
  g_free (stream);
}

static void
parse_line (gs_engine_stream_t *stream, const char *line)
{
  const json_t *offset;
  json_t *root;
  const char *text = NULL;

  if (strncmp (line, "data: ", 6) != 0)
    return;
  line += 6;
  if (strcmp (line, "[DONE]") == 0)
    {
      stream->complete = true;
      return;
    }
  root = json_loads (line, 0, NULL);
  if (json_unpack (root, "{s:[{s:s}]}", "choices", "text", &text) == 0)
    {
      offset = json_object_get (root, "offset");
      if (json_is_integer (offset))
        stream->next_offset = (uint32_t)json_integer_value (offset);
      stream->on_token (stream->argument, stream->next_offset++, text,
                        strlen (text));
    }
  json_decref (root);
}

static bool
on_data (void *context, const char *data, size_t length)
{
  gs_engine_stream_t *stream = context;
  const char *end = data + length;

  while (data < end)
    {
      const char *newline = memchr (data, '\n', (size_t)(end - data));
      const char *stop = newline != NULL ? newline : end;

      if (stream->line->len + (size_t)(stop - data) > LINE_BYTES_MAX)
        return false;
      g_string_append_len (stream->line, data, stop - data);
      if (newline == NULL)
        break;
      parse_line (stream, stream->line->str);
      g_string_truncate (stream->line, 0);
      data = newline + 1;
    }
  return true;
}

static void
on_done (void *context, const gs_http_result_t *result)
{
  gs_engine_stream_t *stream = context;
  gs_engine_end_t end
      = { gs_http_result_status (result), result->http_status };

  if (end.status == GS_EREFUSED)
    end.status = GS_EUNREACHABLE;
  else if (end.status == GS_OK && !stream->complete)
    end.status
        = gs_error_set (GS_EUNKNOWN, "stream ended without the end marker");
  else if (result->status == GS_OK && end.status != GS_OK
           && end.status != GS_ENOTFOUND)
    end.status
        = gs_error_set (GS_EUNKNOWN, "engine responded with HTTP status %ld",
                        result->http_status);
  stream->on_end (stream->argument, &end);
  stream_free (stream);
}

static char *
make_body (const gs_engine_call_t *call)
{
  json_t *root = json_loadb (call->body, call->body_length, 0, NULL);
  char *text;

  if (!json_is_object (root))
    {
      json_decref (root);
      root = json_object ();
    }
  json_object_set_new (root, "request_id", json_string (call->stream_id));
  json_object_set_new (root, "attempt", json_integer (call->attempt));
  json_object_set_new (root, "mode", json_string (mode_names[call->mode]));
  json_object_set_new (root, "resume_from", json_integer (call->resume_from));
  json_object_set_new (root, "priority", json_integer (call->priority));
  json_object_set_new (root, "stream", json_true ());
  if (call->emitted != NULL)
    json_object_set_new (root, "emitted",
                         json_stringn (call->emitted, call->emitted_length));
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static gs_engine_stream_t *
engine_generate (void *context, const gs_engine_call_t *call,
                 gs_engine_text_cb_t on_token, gs_engine_end_cb_t on_end,
                 void *argument)
{
  gs_engine_stream_t *stream = g_new0 (gs_engine_stream_t, 1);
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  char id_header[HEADER_BYTES_MAX];
  const char *headers[]
      = { "Content-Type: application/json", id_header, NULL };
  char *url = g_strdup_printf ("%s/v1/completions", call->url);
  char *body = make_body (call);

  stream->on_token = on_token;
  stream->on_end = on_end;
  stream->argument = argument;
  stream->line = g_string_new (NULL);
  stream->next_offset = call->resume_from;
  g_snprintf (id_header, sizeof id_header, "X-Request-Id: %s",
              call->request_id);
  request.method = "POST";
  request.url = url;
  request.headers = headers;
  request.body = body;
  request.body_length = strlen (body);
  request.deadline = call->deadline;
  request.progress_deadline = call->progress_deadline;
  request.connect_deadline = call->progress_deadline;
  /* Nothing but its place on a connection tells which stream a response
     belongs to, and an engine may write an earlier one there once more.  */
  request.new_connection = true;
  request.on_data = on_data;
  request.on_done = on_done;
  request.context = stream;
  request.context_free = stream_free;
  gs_loop_http (&stream->call, context, &request);
  free (body);
  g_free (url);
  return stream;
}

static void
engine_abandon (void *context, gs_engine_stream_t *stream)
{
  gs_loop_http_cancel (stream->call);
  stream_free (stream);
}

gs_status_t
gs_engine_http_create (gs_engine_port_t *out, gs_loop_t *loop)
{
  *out = (gs_engine_port_t){ loop,
                             engine_generate,
                             engine_abandon,
                             gs_engine_http_cancel,
                             gs_engine_http_load,
                             gs_engine_http_cache_events,
                             gs_engine_http_kv_get,
                             gs_engine_http_kv_put,
                             gs_engine_http_order };
  return GS_OK;
}

void
gs_engine_http_destroy (gs_engine_port_t *port)
{
  port->context = NULL;
}
