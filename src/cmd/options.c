#include "cmd/options.h"

#include "cmd/cmd.h"

#include <stdio.h>

static gboolean show_version;

static const GOptionEntry version_entries[]
    = { { "version", 0, 0, G_OPTION_ARG_NONE, &show_version,
          "print the version", NULL },
        { 0 } };

static void
add_node_entries (GOptionContext *context, gs_node_options_t *options)
{
  const GOptionEntry entries[]
      = { { "node", 'n', 0, G_OPTION_ARG_STRING_ARRAY, &options->nodes,
            "URL of a node's operator port; may be repeated", "URL" },
          { "key-file", 'k', 0, G_OPTION_ARG_FILENAME, &options->key_file,
            "file with the operator key", "FILE" },
          { "ca-file", 0, 0, G_OPTION_ARG_FILENAME, &options->ca_file,
            "trusted certificates for https URLs", "FILE" },
          { "json", 0, 0, G_OPTION_ARG_NONE, &options->json, "print JSON",
            NULL },
          { 0 } };

  g_option_context_add_main_entries (context, entries, NULL);
}

/* The key is read from a file, because the list of processes shows the command
   line.  */
static bool
read_key (const char *command, gs_node_options_t *options)
{
  GError *error = NULL;

  if (options->key_file == NULL)
    return true;
  if (!g_file_get_contents (options->key_file, &options->key, NULL, &error))
    {
      fprintf (stderr, "garnetstack %s: %s\n", command, error->message);
      g_error_free (error);
      return false;
    }
  g_strstrip (options->key);
  return true;
}

static bool
check_node_options (const gs_options_spec_t *spec)
{
  if (spec->node == NULL)
    return true;
  if (spec->node->nodes == NULL)
    {
      fprintf (stderr, "garnetstack %s: --node is missing\n", spec->command);
      return false;
    }
  return read_key (spec->command, spec->node);
}

bool
gs_options_parse (const gs_options_spec_t *spec, int *argc, char ***argv,
                  int *result)
{
  GOptionContext *context = g_option_context_new (spec->usage);
  GError *error = NULL;
  bool is_runnable = false;

  show_version = FALSE;
  if (spec->entries != NULL)
    g_option_context_add_main_entries (context, spec->entries, NULL);
  if (spec->node != NULL)
    add_node_entries (context, spec->node);
  g_option_context_add_main_entries (context, version_entries, NULL);
  *result = GS_EXIT_USAGE;
  if (!g_option_context_parse (context, argc, argv, &error))
    {
      fprintf (stderr, "garnetstack %s: %s\n", spec->command, error->message);
      g_error_free (error);
    }
  else if (show_version)
    {
      printf ("garnetstack %s\n", GS_VERSION);
      *result = GS_EXIT_OK;
    }
  else
    is_runnable = check_node_options (spec);
  g_option_context_free (context);
  return is_runnable;
}

void
gs_node_options_clear (gs_node_options_t *options)
{
  g_strfreev (options->nodes);
  g_free (options->key_file);
  g_free (options->key);
  g_free (options->ca_file);
}
