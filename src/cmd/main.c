#include "cmd/cmd.h"

#include <stdio.h>
#include <string.h>

static const gs_command_t commands[] = {
  { "node", "run the daemon of an entry VM", gs_cmd_node },
  { "gateway", "run a node that forwards callers' requests", gs_cmd_gateway },
  { "check", "check settings or catalogue files", gs_cmd_check },
  { "catalogue", "read and edit the catalogue", gs_cmd_catalogue },
  { "state", "show the current state, with reasons", gs_cmd_state },
  { "explain", "show the decisions about one request", gs_cmd_explain },
};

static void
print_usage (FILE *out)
{
  fprintf (out, "Usage: garnetstack COMMAND [OPTION...]\n\nCommands:\n");
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    fprintf (out, "  %-10s %s\n", commands[i].name, commands[i].summary);
  fprintf (out, "\nUse COMMAND --help for a command's usage.\n");
}

int
main (int argc, char **argv)
{
  if (argc < 2)
    {
      print_usage (stderr);
      return GS_EXIT_USAGE;
    }
  if (strcmp (argv[1], "--version") == 0)
    {
      printf ("garnetstack %s\n", GS_VERSION);
      return GS_EXIT_OK;
    }
  if (strcmp (argv[1], "--help") == 0)
    {
      print_usage (stdout);
      return GS_EXIT_OK;
    }
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return commands[i].run (argc - 1, argv + 1);
  fprintf (stderr, "garnetstack: unknown command '%s'\n", argv[1]);
  print_usage (stderr);
  return GS_EXIT_USAGE;
}
