/* Fuzzes bodies of generation requests and paths of service calls.  */
#include "fuzz.h"

#include "node/generation.h"
#include "node/service_path.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* An accepted body must become a JSON object with the keys and types that
   engines read.  */
static void
check_body (const gs_request_spec_t *spec)
{
  gsize length;
  const char *body = g_bytes_get_data (spec->body, &length);
  json_t *root = json_loadb (body, length, 0, NULL);

  if (!json_is_string (json_object_get (root, "prompt"))
      || !json_is_string (json_object_get (root, "model"))
      || !json_is_integer (json_object_get (root, "max_tokens")))
    abort ();
  json_decref (root);
}

static const gs_catalogue_t *
base_catalogue (void)
{
  static const char text[]
      = "[class c]\nowner=o\npurpose=p\n"
        "[model m]\nowner=o\npurpose=p\nclass=c\nversions=v\nactive=v\n"
        "[adapter a]\nowner=o\npurpose=p\nclass=c\nversions=v\nactive=v\n"
        "base=m\n";
  static gs_catalogue_t *parsed;

  if (parsed == NULL
      && gs_catalogue_parse (&parsed, text, sizeof text - 1, "fuzz", NULL,
                             NULL)
             != GS_OK)
    abort ();
  return parsed;
}

static void
check_generation (const char *body, size_t size, bool chat)
{
  gs_request_spec_t spec = { 0 };
  gs_generation_options_t options = { 0 };

  if (gs_generation_read (&spec, &options, base_catalogue (), body, size, chat)
      != GS_OK)
    return;
  check_body (&spec);
  g_bytes_unref (spec.body);
}

static void
check_path (const uint8_t *data, size_t size)
{
  static const char *const routes[] = { "/charges", "/a/", NULL };
  char *path = g_strndup ((const char *)data, size);

  if (gs_service_path_valid (path) && gs_service_path_below (routes, path)
      && strstr (path, "/../") != NULL)
    abort ();
  g_free (path);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  check_generation ((const char *)data, size, false);
  check_generation ((const char *)data, size, true);
  check_path (data, size);
  return 0;
}
