/**
 * @file catalogue_cmd.h
 * Subcommands of "garnetstack catalogue".
 */
#ifndef GS_CMD_CATALOGUE_CMD_H
#define GS_CMD_CATALOGUE_CMD_H

#include "cmd/client.h"

/** Options of all subcommands. */
typedef struct
{
  gs_node_options_t node;
  char *file;
  char *change_id;
  gint64 generation;
  gboolean whole;
  gboolean wait;
  gint wait_timeout_sec;
} gs_cmd_catalogue_options_t;

/* Each function takes the arguments after the name of the subcommand and
   returns the exit code. */
int gs_cmd_catalogue_list (const gs_cmd_catalogue_options_t *options, int argc,
                           char **argv);
int gs_cmd_catalogue_get (const gs_cmd_catalogue_options_t *options, int argc,
                          char **argv);
int gs_cmd_catalogue_diff (const gs_cmd_catalogue_options_t *options, int argc,
                           char **argv);
int gs_cmd_catalogue_apply (const gs_cmd_catalogue_options_t *options,
                            int argc, char **argv);
int gs_cmd_catalogue_delete (const gs_cmd_catalogue_options_t *options,
                             int argc, char **argv);

/** Read the current catalogue from a node and print any error.
    @param out cleared by the caller, also after a failure
    @return exit code */
int gs_cmd_catalogue_fetch (gs_client_response_t *out,
                            const gs_cmd_catalogue_options_t *options);

/** Print a conflict: both versions of the entry and their operators. */
void gs_cmd_catalogue_conflict_print (const char *entry, const char *theirs_by,
                                      const char *theirs, const char *yours_by,
                                      const char *yours);

#endif
