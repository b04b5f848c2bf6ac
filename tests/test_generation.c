#include "check.h"

#include "node/generation.h"

#include <jansson.h>
#include <string.h>

static const char catalogue_text[]
    = "[class c]\nowner=o\npurpose=p\n"
      "[model m]\nowner=o\npurpose=p\nclass=c\nversions=v\nactive=v\n"
      "[adapter tone]\nowner=o\npurpose=p\nclass=c\nversions=v\nactive=v\n"
      "base=m\n";

static const char *
string_member (const json_t *root, const char *key)
{
  const char *text = json_string_value (json_object_get (root, key));

  return text != NULL ? text : "";
}

/* For an adapter, the engine's body has the base model and the adapter.  */
static void
engine_body_has_model_and_adapter (void)
{
  static const struct
  {
    const char *named;    /* by the caller */
    const char *model_of; /* in the catalogue, NULL for none */
    const char *model;    /* in the engine's body */
    const char *adapter;  /* in the engine's body */
  } rows[] = {
    { "m", "m", "m", "" },
    { "tone", "m", "m", "tone" },
    { "other", NULL, "other", "" },
  };
  gs_catalogue_t *catalogue;

  CU_ASSERT_EQUAL_FATAL (gs_catalogue_parse (&catalogue, catalogue_text,
                                             sizeof catalogue_text - 1, "t",
                                             NULL, NULL),
                         GS_OK);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      char *body = g_strdup_printf ("{\"model\":\"%s\",\"prompt\":\"p\"}",
                                    rows[i].named);
      gs_request_spec_t spec = { 0 };
      gs_generation_options_t options = { 0 };
      gsize length;
      const char *sent;
      json_t *root;

      CU_ASSERT_EQUAL (
          g_strcmp0 (gs_catalogue_model_resolve (catalogue, rows[i].named),
                     rows[i].model_of),
          0);
      CU_ASSERT_EQUAL_FATAL (gs_generation_read (&spec, &options, catalogue,
                                                 body, strlen (body), false),
                             GS_OK);
      CU_ASSERT_STRING_EQUAL (spec.target, rows[i].named);
      sent = g_bytes_get_data (spec.body, &length);
      root = json_loadb (sent, length, 0, NULL);
      CU_ASSERT_STRING_EQUAL (string_member (root, "model"), rows[i].model);
      CU_ASSERT_STRING_EQUAL (string_member (root, "adapter"),
                              rows[i].adapter);
      json_decref (root);
      g_bytes_unref (spec.body);
      g_free (body);
    }
  gs_catalogue_unref (catalogue);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "engine_body_has_model_and_adapter", engine_body_has_model_and_adapter },
  };

  return CHECK_RUN ("generation", cases);
}
