#include "node/generation.h"

#include <jansson.h>
#include <string.h>

#define TOKENS_DEFAULT 256
#define TOKENS_MAX 1000000
#define BYTES_PER_TOKEN 4 /* to estimate the length of a prompt */

typedef enum
{
  PARAMETER_NUMBER,
  PARAMETER_INTEGER,
  PARAMETER_STOP
} parameter_type_t;

/* Parameters that are passed to the engine unchanged.  */
static const struct
{
  const char *name;
  parameter_type_t type;
} parameters[] = {
  { "temperature", PARAMETER_NUMBER },
  { "top_p", PARAMETER_NUMBER },
  { "presence_penalty", PARAMETER_NUMBER },
  { "frequency_penalty", PARAMETER_NUMBER },
  { "seed", PARAMETER_INTEGER },
  { "stop", PARAMETER_STOP },
};

static bool
is_stop_value (const json_t *value)
{
  const json_t *item;
  size_t i;

  if (json_is_string (value))
    return true;
  if (!json_is_array (value))
    return false;
  json_array_foreach (value, i, item) if (!json_is_string (item)) return false;
  return true;
}

static bool
parameter_valid (const json_t *value, parameter_type_t type)
{
  switch (type)
    {
    case PARAMETER_NUMBER:
      return json_is_number (value);
    case PARAMETER_INTEGER:
      return json_is_integer (value);
    case PARAMETER_STOP:
      return is_stop_value (value);
    }
  return false;
}

static gs_status_t
copy_parameters (json_t *out, const json_t *root)
{
  for (size_t i = 0; i < sizeof parameters / sizeof *parameters; i++)
    {
      json_t *value = json_object_get (root, parameters[i].name);

      if (value == NULL || json_is_null (value))
        continue;
      if (!parameter_valid (value, parameters[i].type))
        return gs_error_set (GS_EINVAL, "'%s' has the wrong type",
                             parameters[i].name);
      json_object_set (out, parameters[i].name, value);
    }
  return GS_OK;
}

/* Content is either a string or an array of parts of type "text".  */
static bool
append_content (GString *prompt, const json_t *content)
{
  const json_t *part;
  size_t i;

  if (json_is_string (content))
    {
      g_string_append (prompt, json_string_value (content));
      return true;
    }
  if (!json_is_array (content))
    return false;
  json_array_foreach (content, i, part)
  {
    const char *type = json_string_value (json_object_get (part, "type"));
    const char *text = json_string_value (json_object_get (part, "text"));

    if (g_strcmp0 (type, "text") != 0 || text == NULL)
      return false;
    g_string_append (prompt, text);
  }
  return true;
}

static char *
chat_prompt (const json_t *root)
{
  const json_t *messages = json_object_get (root, "messages");
  GString *prompt = g_string_new (NULL);
  const json_t *message;
  bool valid = json_array_size (messages) > 0;
  size_t i;

  json_array_foreach (messages, i, message)
  {
    const char *role = json_string_value (json_object_get (message, "role"));

    valid = valid && role != NULL;
    if (!valid)
      break;
    g_string_append_printf (prompt, "%s: ", role);
    valid = append_content (prompt, json_object_get (message, "content"));
    g_string_append_c (prompt, '\n');
  }
  return g_string_free (prompt, !valid);
}

static gs_status_t
read_tokens (gs_request_spec_t *spec, const json_t *root)
{
  const json_t *value = json_object_get (root, "max_completion_tokens");

  if (value == NULL)
    value = json_object_get (root, "max_tokens");
  spec->tokens_max = TOKENS_DEFAULT;
  if (value == NULL || json_is_null (value))
    return GS_OK;
  if (!json_is_integer (value) || json_integer_value (value) < 1
      || json_integer_value (value) > TOKENS_MAX)
    return gs_error_set (GS_EINVAL,
                         "'max_tokens' is not an integer or is out of range");
  spec->tokens_max = (uint32_t)json_integer_value (value);
  return GS_OK;
}

static gs_status_t
read_options (gs_generation_options_t *options, const json_t *root)
{
  const json_t *stream = json_object_get (root, "stream");
  const json_t *count = json_object_get (root, "n");

  if (stream != NULL && !json_is_boolean (stream) && !json_is_null (stream))
    return gs_error_set (GS_EINVAL, "'stream' is not a boolean");
  if (count != NULL && !json_is_null (count)
      && (!json_is_integer (count) || json_integer_value (count) != 1))
    return gs_error_set (GS_EINVAL,
                         "'n' is not 1; only one choice is supported");
  options->stream = json_is_true (stream);
  options->stream_usage = json_is_true (json_object_get (
      json_object_get (root, "stream_options"), "include_usage"));
  return GS_OK;
}

static gs_status_t
read_model (gs_request_spec_t *spec, const json_t *root)
{
  const char *model = json_string_value (json_object_get (root, "model"));

  if (!json_is_object (root))
    return gs_error_set (GS_EINVAL, "the body is not a JSON object");
  if (model == NULL || *model == '\0' || strlen (model) >= sizeof spec->target)
    return gs_error_set (GS_EINVAL, "'model' is missing or not a valid name");
  g_strlcpy (spec->target, model, sizeof spec->target);
  return GS_OK;
}

/* The engine receives an adapter along with the base model that the adapter
   modifies.  */
static void
set_model (json_t *out, const gs_catalogue_t *catalogue, const char *target)
{
  const char *model = gs_catalogue_model_resolve (catalogue, target);

  if (model == NULL)
    model = target;
  json_object_set_new (out, "model", json_string (model));
  if (strcmp (model, target) != 0)
    json_object_set_new (out, "adapter", json_string (target));
}

gs_status_t
gs_generation_read (gs_request_spec_t *spec, gs_generation_options_t *options,
                    const gs_catalogue_t *catalogue, const char *body,
                    size_t length, bool chat)
{
  json_t *root = json_loadb (body, length, JSON_REJECT_DUPLICATES, NULL);
  json_t *out = json_object ();
  char *prompt = NULL;
  char *text;
  gs_status_t status = read_model (spec, root);

  if (status == GS_OK)
    status = read_tokens (spec, root);
  if (status == GS_OK)
    status = read_options (options, root);
  if (status == GS_OK)
    status = copy_parameters (out, root);
  if (status != GS_OK)
    goto cleanup;
  if (chat)
    prompt = chat_prompt (root);
  else
    prompt = g_strdup (json_string_value (json_object_get (root, "prompt")));
  if (prompt == NULL)
    {
      status = gs_error_set (GS_EINVAL, "'%s' is missing or malformed",
                             chat ? "messages" : "prompt");
      goto cleanup;
    }
  spec->kind = GS_REQUEST_GENERATE;
  spec->idempotent = true;
  spec->prompt_tokens = (uint32_t)(strlen (prompt) / BYTES_PER_TOKEN + 1);
  gs_prefix_probe_hash (&spec->prefix, prompt, strlen (prompt));
  set_model (out, catalogue, spec->target);
  json_object_set_new (out, "prompt", json_string (prompt));
  json_object_set_new (out, "max_tokens", json_integer (spec->tokens_max));
  text = json_dumps (out, JSON_COMPACT);
  spec->body = g_bytes_new (text, strlen (text));
  free (text);

cleanup:
  g_free (prompt);
  json_decref (out);
  json_decref (root);
  return status;
}
