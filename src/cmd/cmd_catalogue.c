#include "cmd/catalogue_cmd.h"
#include "cmd/cmd.h"

#include <stdio.h>
#include <string.h>

#define WAIT_TIMEOUT_DEFAULT_SEC 30

typedef struct
{
  const char *name;
  int (*run) (const gs_cmd_catalogue_options_t *options, int argc,
              char **argv);
} subcommand_t;

static const subcommand_t subcommands[] = {
  { "list", gs_cmd_catalogue_list },     { "get", gs_cmd_catalogue_get },
  { "diff", gs_cmd_catalogue_diff },     { "apply", gs_cmd_catalogue_apply },
  { "delete", gs_cmd_catalogue_delete },
};

static int
run_subcommand (const gs_cmd_catalogue_options_t *options, int argc,
                char **argv)
{
  if (argc < 2)
    {
      fprintf (stderr, "garnetstack catalogue: give one of list, get, diff, "
                       "apply, delete\n");
      return GS_EXIT_USAGE;
    }
  for (size_t i = 0; i < sizeof subcommands / sizeof *subcommands; i++)
    if (strcmp (argv[1], subcommands[i].name) == 0)
      return subcommands[i].run (options, argc - 2, argv + 2);
  fprintf (stderr, "garnetstack catalogue: unknown verb '%s'\n", argv[1]);
  return GS_EXIT_USAGE;
}

int
gs_cmd_catalogue (int argc, char **argv)
{
  gs_cmd_catalogue_options_t options
      = { .wait_timeout_sec = WAIT_TIMEOUT_DEFAULT_SEC };
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
          { "timeout", 't', 0, G_OPTION_ARG_INT, &options.wait_timeout_sec,
            "limit of --wait (default 30)", "SECONDS" },
          { 0 } };
  const gs_options_spec_t spec
      = { "catalogue",
          "list [KIND]|get [KIND NAME]|diff|apply|delete KIND NAME - read "
          "and edit the catalogue",
          entries, &options.node };
  int result;

  if (gs_options_parse (&spec, &argc, &argv, &result))
    result = run_subcommand (&options, argc, argv);
  gs_node_options_clear (&options.node);
  g_free (options.file);
  g_free (options.change_id);
  return result;
}
