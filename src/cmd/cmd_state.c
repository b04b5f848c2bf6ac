#include "cmd/client.h"
#include "cmd/cmd.h"
#include "cmd/table.h"

#include <stdio.h>
#include <string.h>

static const char *const tables[]
    = { "nodes",  "upstreams",  "accounts", "requests",
        "leases", "placements", NULL };

static int
print_table (const char *table, const gs_node_options_t *options)
{
  char *path = g_strdup_printf ("/v1/state/%s", table);
  gs_client_request_t request = { .method = "GET", .path = path };
  gs_client_response_t response;
  gs_status_t status = gs_client_call (&response, options, &request);
  json_t *root = NULL;
  int result;

  if (status != GS_OK)
    result = gs_client_failure_print ("state", status);
  else if (response.http_status != 200)
    result = gs_client_error_print ("state", &response);
  else
    {
      result = GS_EXIT_OK;
      root = json_loadb (response.body->str, response.body->len, 0, NULL);
      if (options->json)
        printf ("%s\n", response.body->str);
      else
        gs_json_table_print (json_object_get (root, table));
    }
  json_decref (root);
  gs_client_response_clear (&response);
  g_free (path);
  return result;
}

int
gs_cmd_state (int argc, char **argv)
{
  gs_node_options_t options = { 0 };
  const gs_options_spec_t spec
      = { "state",
          "nodes|upstreams|accounts|requests|leases|placements - show the "
          "current state, with reasons",
          NULL, &options };
  int result;

  if (gs_options_parse (&spec, &argc, &argv, &result))
    {
      if (argc == 2 && g_strv_contains (tables, argv[1]))
        result = print_table (argv[1], &options);
      else
        {
          fprintf (stderr, "garnetstack state: give one of the tables; see "
                           "--help\n");
          result = GS_EXIT_USAGE;
        }
    }
  gs_node_options_clear (&options);
  return result;
}
