/**
 * @file cmd.h
 * Subcommands of the program, each in a file of its own.
 */
#ifndef GS_CMD_CMD_H
#define GS_CMD_CMD_H

/** Exit codes by kind of failure. */
typedef enum
{
  GS_EXIT_OK = 0,
  GS_EXIT_FAILURE = 1,
  GS_EXIT_USAGE = 2,
  GS_EXIT_REJECTED = 3,
  GS_EXIT_CONFLICT = 4,
  GS_EXIT_UNREACHABLE = 5
} gs_exit_t;

/** A subcommand; @p argv[0] is its name. */
typedef struct
{
  const char *name;
  const char *summary;
  int (*run) (int argc, char **argv);
} gs_command_t;

int gs_cmd_node (int argc, char **argv);
int gs_cmd_gateway (int argc, char **argv);
int gs_cmd_check (int argc, char **argv);
int gs_cmd_catalogue (int argc, char **argv);
int gs_cmd_state (int argc, char **argv);
int gs_cmd_explain (int argc, char **argv);

#endif
