#include "cmd/catalogue_cmd.h"
#include "cmd/cmd.h"

#include <stdio.h>
#include <string.h>

#define WAIT_SECONDS_DEFAULT 30

typedef struct
{
  const char *name;
  int (*run) (const gs_catalogue_options_t *options, int argc, char **argv);
} verb_t;

static const verb_t verbs[] = {
  { "list", gs_catalogue_list },      { "get", gs_catalogue_get },
  { "diff", gs_catalogue_diff_verb }, { "apply", gs_catalogue_apply },
  { "delete", gs_catalogue_delete },
};

static int
run_verb (const gs_catalogue_options_t *options, int argc, char **argv)
{
  if (argc < 2)
    {
      fprintf (stderr, "garnetstack catalogue: give one of list, get, diff, "
                       "apply, delete\n");
      return GS_EXIT_USAGE;
    }
  for (size_t i = 0; i < sizeof verbs / sizeof *verbs; i++)
    if (strcmp (argv[1], verbs[i].name) == 0)
      return verbs[i].run (options, argc - 2, argv + 2);
  fprintf (stderr, "garnetstack catalogue: unknown verb '%s'\n", argv[1]);
  return GS_EXIT_USAGE;
}

int
gs_cmd_catalogue (int argc, char **argv)
{
  gs_catalogue_options_t options = { .wait_seconds = WAIT_SECONDS_DEFAULT };
  const GOptionEntry entries[]
      = { { "file", 'f', 0, G_OPTION_ARG_FILENAME, &options.file,
            "entries to apply or compare", "FILE" },
          { "whole", 0, 0, G_OPTION_ARG_NONE, &options.whole,
            "delete the entries that are not in the file", NULL },
          { "generation", 'g', 0, G_OPTION_ARG_INT64, &options.generation,
            "generation or entry version that was read", "N" },
          { "change-id", 0, 0, G_OPTION_ARG_STRING, &options.change_id,
            "id of the change, to retry one whose response was lost", "ID" },
          { "wait", 'w', 0, G_OPTION_ARG_NONE, &options.wait,
            "return when the change is in force on every live node", NULL },
          { "timeout", 't', 0, G_OPTION_ARG_INT, &options.wait_seconds,
            "limit of --wait (default 30)", "SECONDS" },
          { 0 } };
  const gs_options_spec_t spec
      = { "catalogue",
          "list [KIND]|get [KIND NAME]|diff|apply|delete KIND NAME - read "
          "and edit the catalogue",
          entries, &options.node };
  int result;

  if (gs_options_parse (&spec, &argc, &argv, &result))
    result = run_verb (&options, argc, argv);
  gs_node_options_clear (&options.node);
  g_free (options.file);
  g_free (options.change_id);
  return result;
}
