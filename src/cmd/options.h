/**
 * @file options.h
 * Parser of the command line and the options that subcommands share.
 */
#ifndef GS_CMD_OPTIONS_H
#define GS_CMD_OPTIONS_H

#include <glib.h>
#include <stdbool.h>

/** Options of the subcommands that send requests to a node. */
typedef struct
{
  char **nodes;   /**< URLs of operator ports, tried in this order */
  char *key_file; /**< file with the operator key */
  char *key;      /**< key from the file, NULL without a file */
  char *ca_file;  /**< trusted certificates for https, NULL for the system's */
  gboolean json;
} gs_node_options_t;

/** Command line of a subcommand. */
typedef struct
{
  const char *command; /**< name, for example "catalogue" */
  const char *usage;   /**< arguments and summary for --help */
  const GOptionEntry *entries;
  gs_node_options_t *node; /**< NULL if the subcommand uses no node */
} gs_options_spec_t;

/**
 * Parse the command line.  "--help" and "--version" are handled here.
 * @param result exit code when the function returns false
 * @return true if the subcommand is to run
 */
bool gs_options_parse (const gs_options_spec_t *spec, int *argc, char ***argv,
                       int *result);
void gs_node_options_clear (gs_node_options_t *options);

#endif
