#include "caller_harness.h"

#include "fakes/fakes.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT (60 * GS_SEC)
#define RETRY_INTERVAL (200 * GS_MSEC)
#define FAILOVERS_MAX 30

static void send_call (caller_t *caller);

const char *
call_result_name (call_result_t result)
{
  switch (result)
    {
    case CALL_PENDING:
      return "pending";
    case CALL_ANSWERED:
      return "answered";
    case CALL_NOT_RUN:
      return "not_run";
    case CALL_UNKNOWN:
      return "unknown";
    case CALL_FAILED:
      return "failed";
    case CALL_MIXED:
      return "mixed";
    default:
      return "lost";
    }
}

void
callers_init (callers_t *callers, gs_loop_t *loop, char **nodes)
{
  callers->loop = loop;
  callers->nodes = nodes;
  callers->all = g_ptr_array_new ();
  callers->pending = 0;
}

static void
caller_free (caller_t *caller)
{
  if (caller->transfer != NULL)
    gs_loop_http_cancel (caller->transfer);
  g_string_free (caller->input, TRUE);
  g_string_free (caller->text, TRUE);
  g_free (caller->url);
  g_free (caller->account_key);
  g_free (caller->prompt);
  g_free (caller->key);
  g_free (caller);
}

void
callers_clear (callers_t *callers)
{
  for (guint i = 0; i < callers->all->len; i++)
    caller_free (callers->all->pdata[i]);
  g_ptr_array_unref (callers->all);
}

static char *
expected_text (const caller_t *caller)
{
  GString *text = g_string_new (NULL);
  char *flat_prompt = caller->kind == CALL_STREAM
                          ? g_strdup_printf ("user: %s\n", caller->prompt)
                          : g_strdup (caller->prompt);
  char token[FAKE_TOKEN_BYTES];

  for (uint32_t i = 0; i < caller->tokens; i++)
    {
      fake_token (token, flat_prompt, i);
      g_string_append (text, token);
    }
  g_free (flat_prompt);
  return g_string_free (text, FALSE);
}

static void
end_call (caller_t *caller, call_result_t result)
{
  caller->result = result;
  caller->ended = gs_clock_now ();
  caller->callers->pending--;
}

static void
end_with_text (caller_t *caller)
{
  char *expected = expected_text (caller);
  bool matches
      = !caller->out_of_order && strcmp (expected, caller->text->str) == 0;

  end_call (caller, matches ? CALL_ANSWERED : CALL_MIXED);
  g_free (expected);
}

/* Schedules a retry at the node that an error named, or else at the next
   node.  A streaming caller with an id requests the rest of its answer.  */
static void
fail_over (caller_t *caller)
{
  if (caller->failovers_left == 0)
    {
      end_call (caller, CALL_LOST);
      return;
    }
  caller->failovers_left--;
  caller->reconnects++;
  if (caller->resume_url_is_new)
    caller->resume_url_is_new = false;
  else
    {
      g_free (caller->url);
      caller->url = NULL;
      caller->node
          = (caller->node + 1) % g_strv_length (caller->callers->nodes);
    }
  caller->retry_at = gs_clock_now () + RETRY_INTERVAL;
}

static void
handle_outcome (caller_t *caller, const char *outcome)
{
  if (strcmp (outcome, "not_run") == 0 && caller->retries_left > 0)
    {
      caller->retries_left--;
      caller->id[0] = '\0';
      caller->digest[0] = '\0';
      caller->next = 0;
      g_string_truncate (caller->text, 0);
      fail_over (caller);
    }
  else if (strcmp (outcome, "not_run") == 0)
    end_call (caller, CALL_NOT_RUN);
  else if (strcmp (outcome, "unknown") == 0)
    end_call (caller, CALL_UNKNOWN);
  else if (strcmp (outcome, "failed") == 0)
    end_call (caller, CALL_FAILED);
  else
    fail_over (caller);
}

/* Stores the outcome of an error and the node where the caller can resume.  */
static void
read_error (caller_t *caller, const json_t *error, const json_t *resume)
{
  const char *outcome = json_string_value (json_object_get (error, "outcome"));
  const char *address
      = json_string_value (json_object_get (resume, "address"));
  json_int_t port = json_integer_value (json_object_get (resume, "port"));

  g_strlcpy (caller->outcome, outcome != NULL ? outcome : "failed",
             sizeof caller->outcome);
  if (address == NULL || port == 0)
    return;
  g_free (caller->url);
  caller->url = g_strdup_printf ("http://%s:%d", address, (int)port);
  caller->resume_url_is_new = true;
}

static void
read_event (caller_t *caller, const char *event)
{
  json_t *root = NULL;
  const json_t *choice;
  const json_t *offset;
  const char *digest;
  const char *text;
  const char *id;

  if (strcmp (event, "[DONE]") == 0)
    {
      caller->complete = true;
      return;
    }
  root = json_loads (event, 0, NULL);
  id = json_string_value (json_object_get (root, "id"));
  choice = json_array_get (json_object_get (root, "choices"), 0);
  text = json_string_value (json_object_get (choice, "text"));
  if (text == NULL)
    text = json_string_value (
        json_object_get (json_object_get (choice, "delta"), "content"));
  offset = json_object_get (root, "offset");
  digest = json_string_value (json_object_get (root, "digest"));
  if (id != NULL)
    g_strlcpy (caller->id, id, sizeof caller->id);
  if (json_object_get (root, "error") != NULL)
    read_error (caller, json_object_get (root, "error"),
                json_object_get (root, "resume"));
  else if (text != NULL && text[0] != '\0')
    {
      if (json_is_integer (offset)
          && json_integer_value (offset) != (json_int_t)caller->next)
        caller->out_of_order = true;
      caller->next++;
      g_strlcpy (caller->digest, digest != NULL ? digest : "",
                 sizeof caller->digest);
      g_string_append (caller->text, text);
    }
  json_decref (root);
}

static bool
on_data (void *context, const char *data, size_t length)
{
  caller_t *caller = context;

  for (size_t i = 0; i < length; i++)
    {
      if (data[i] != '\n')
        {
          g_string_append_c (caller->input, data[i]);
          continue;
        }
      if (g_str_has_prefix (caller->input->str, "data: "))
        {
          read_event (caller, caller->input->str + 6);
          g_string_truncate (caller->input, 0);
        }
      else
        g_string_truncate (caller->input, 0);
    }
  return true;
}

static void
read_answer (caller_t *caller, const json_t *root)
{
  const json_t *choice = json_array_get (json_object_get (root, "choices"), 0);
  const char *text = json_string_value (json_object_get (choice, "text"));
  const char *key = json_string_value (json_object_get (root, "key"));

  if (caller->kind == CALL_WHOLE)
    {
      g_string_assign (caller->text, text != NULL ? text : "");
      end_with_text (caller);
    }
  else
    end_call (caller,
              g_strcmp0 (key, caller->key) == 0 ? CALL_ANSWERED : CALL_MIXED);
}

/* Handles a body that is not an event stream: an error or a full answer.  */
static void
read_body (caller_t *caller, const gs_http_result_t *result)
{
  json_t *root = json_loads (caller->input->str, 0, NULL);
  const json_t *error = json_object_get (root, "error");

  if (error != NULL)
    {
      read_error (caller, error, json_object_get (root, "resume"));
      handle_outcome (caller, caller->outcome);
    }
  else if (result->http_status == 200 && json_is_object (root))
    read_answer (caller, root);
  else if (result->status == GS_OK && result->http_status != 200)
    end_call (caller, CALL_FAILED);
  else
    fail_over (caller);
  json_decref (root);
}

static void
on_done (void *context, const gs_http_result_t *result)
{
  caller_t *caller = context;

  caller->transfer = NULL;
  if (caller->complete)
    end_with_text (caller);
  else if (caller->outcome[0] != '\0')
    handle_outcome (caller, caller->outcome);
  else if (result->status == GS_OK && caller->input->len > 0)
    read_body (caller, result);
  else
    fail_over (caller);
}

static char *
make_body (const caller_t *caller)
{
  json_t *root;
  char *text;

  if (caller->kind == CALL_STREAM)
    root = json_pack ("{s:s,s:b,s:i,s:[{s:s,s:s}]}", "model", "assistant",
                      "stream", 1, "max_tokens", (int)caller->tokens,
                      "messages", "role", "user", "content", caller->prompt);
  else if (caller->kind == CALL_WHOLE)
    root = json_pack ("{s:s,s:i,s:s}", "model", "assistant", "max_tokens",
                      (int)caller->tokens, "prompt", caller->prompt);
  else
    root = json_pack ("{s:s}", "order", caller->prompt);
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static char *
make_url (const caller_t *caller)
{
  const char *node = caller->url != NULL
                         ? caller->url
                         : caller->callers->nodes[caller->node];

  if (caller->id[0] != '\0' && caller->kind == CALL_STREAM)
    return g_strdup_printf ("%s/v1/requests/%s?offset=%u&digest=%s", node,
                            caller->id, (unsigned)caller->next,
                            caller->digest);
  switch (caller->kind)
    {
    case CALL_STREAM:
      return g_strdup_printf ("%s/v1/chat/completions", node);
    case CALL_WHOLE:
      return g_strdup_printf ("%s/v1/completions", node);
    case CALL_CHARGE:
      return g_strdup_printf ("%s/v1/services/order-desk/charges", node);
    default:
      return g_strdup_printf ("%s/v1/services/order-desk/stock", node);
    }
}

static void
send_call (caller_t *caller)
{
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  char *authorization
      = g_strdup_printf ("Authorization: Bearer %s", caller->account_key);
  char *key = g_strdup_printf ("Idempotency-Key: %s", caller->key);
  const char *headers[] = { authorization, key, NULL };
  char *url = make_url (caller);
  char *body = make_body (caller);

  caller->retry_at = 0;
  caller->outcome[0] = '\0';
  g_string_truncate (caller->input, 0);
  request.url = url;
  request.headers = headers;
  if (strstr (url, "/v1/requests/") == NULL)
    {
      request.method = "POST";
      request.body = body;
      request.body_length = strlen (body);
    }
  request.new_connection = true;
  request.deadline = caller->started + CALL_TIMEOUT;
  if (caller->silence_timeout_sec > 0)
    request.progress_deadline
        = gs_clock_now () + (gs_time_t)caller->silence_timeout_sec * GS_SEC
          + GS_MSEC;
  request.on_data = on_data;
  request.on_done = on_done;
  request.context = caller;
  gs_loop_http (&caller->transfer, caller->callers->loop, &request);
  free (body);
  g_free (url);
  g_free (key);
  g_free (authorization);
}

caller_t *
caller_start (callers_t *callers, call_kind_t kind, unsigned node,
              const char *account_key, const char *name, uint32_t tokens,
              size_t prompt_bytes)
{
  caller_t *caller = g_new0 (caller_t, 1);
  GString *prompt = g_string_new (name);

  while (prompt->len < prompt_bytes)
    g_string_append_printf (prompt, " household %zu", prompt->len);
  caller->callers = callers;
  caller->kind = kind;
  caller->node = node;
  caller->account_key = g_strdup (account_key);
  caller->prompt = g_string_free (prompt, FALSE);
  caller->key = g_strdup (name);
  caller->tokens = tokens;
  caller->failovers_left = FAILOVERS_MAX;
  caller->input = g_string_new (NULL);
  caller->text = g_string_new (NULL);
  caller->started = gs_clock_now ();
  g_ptr_array_add (callers->all, caller);
  callers->pending++;
  /* The next tick sends the call, so that a test can set fields first.  */
  caller->retry_at = caller->started;
  return caller;
}

void
caller_disconnect (caller_t *caller, unsigned node)
{
  if (caller->transfer == NULL)
    return;
  gs_loop_http_cancel (caller->transfer);
  caller->transfer = NULL;
  caller->node = node;
  caller->reconnects++;
  caller->retry_at = gs_clock_now ();
}

void
callers_tick (callers_t *callers)
{
  gs_time_t now = gs_clock_now ();

  for (guint i = 0; i < callers->all->len; i++)
    {
      caller_t *caller = callers->all->pdata[i];

      if (caller->retry_at == 0 || now < caller->retry_at)
        continue;
      caller->retry_at = 0;
      if (now >= caller->started + CALL_TIMEOUT)
        end_call (caller, CALL_LOST);
      else
        send_call (caller);
    }
}
