#include "cmd/client.h"
#include "cmd/cmd.h"
#include "cmd/explain_log.h"
#include "cmd/table.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

/* Each node keeps only the records of its own decisions, so all nodes are
   queried and their rows are sorted by time.  */
static int
compare_rows (const void *a, const void *b)
{
  const json_t *left = *(json_t *const *)a;
  const json_t *right = *(json_t *const *)b;
  json_int_t left_time
      = json_integer_value (json_object_get (left, "wall_us"));
  json_int_t right_time
      = json_integer_value (json_object_get (right, "wall_us"));

  return (left_time > right_time) - (left_time < right_time);
}

static void
collect_rows (GPtrArray *rows, const gs_client_response_t *response)
{
  json_t *root
      = json_loadb (response->body->str, response->body->len, 0, NULL);
  json_t *row;
  size_t i;

  json_array_foreach (json_object_get (root, "decisions"), i, row)
      g_ptr_array_add (rows, json_incref (row));
  json_decref (root);
}

static void
print_rows (GPtrArray *rows, const gs_node_options_t *options)
{
  json_t *list = json_array ();

  g_ptr_array_sort (rows, compare_rows);
  for (guint i = 0; i < rows->len; i++)
    {
      /* Another column shows the time as text.  */
      if (!options->json)
        json_object_del (rows->pdata[i], "wall_us");
      json_array_append (list, rows->pdata[i]);
    }
  if (options->json)
    {
      json_dumpf (list, stdout, JSON_COMPACT);
      putchar ('\n');
    }
  else
    gs_json_table_print (list);
  json_decref (list);
}

static int
explain (const char *id, const gs_node_options_t *options)
{
  char *path = g_strdup_printf ("/v1/explain/%s", id);
  gs_client_request_t request = { .method = "GET", .path = path };
  GPtrArray *rows
      = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  int result = GS_EXIT_OK;

  for (unsigned i = 0; options->nodes[i] != NULL; i++)
    {
      gs_client_response_t response;
      gs_status_t status
          = gs_client_call_node (&response, options, i, &request);

      if (status != GS_OK)
        result = gs_client_failure_print ("explain", status);
      else if (response.http_status == 200)
        collect_rows (rows, &response);
      else if (response.http_status != 404)
        result = gs_client_error_print ("explain", &response);
      gs_client_response_clear (&response);
    }
  if (rows->len > 0)
    print_rows (rows, options);
  else if (result == GS_EXIT_OK)
    {
      fprintf (stderr,
               "garnetstack explain: no node given has records of "
               "request %s\n",
               id);
      result = GS_EXIT_REJECTED;
    }
  g_ptr_array_unref (rows);
  g_free (path);
  return result;
}

static int
explain_from_log (const char *path, const char *id)
{
  if (gs_explain_log (stdout, path, id) == GS_OK)
    return GS_EXIT_OK;
  fprintf (stderr, "garnetstack explain: %s\n", gs_error_last ());
  return GS_EXIT_REJECTED;
}

/* Lists the requests whose end the log does not explain.  */
static int
list_unexplained (const char *path)
{
  unsigned count;

  if (gs_explain_unexplained_print (stdout, path, &count) != GS_OK)
    {
      fprintf (stderr, "garnetstack explain: %s\n", gs_error_last ());
      return GS_EXIT_REJECTED;
    }
  printf ("unexplained=%u\n", count);
  return count == 0 ? GS_EXIT_OK : GS_EXIT_FAILURE;
}

/* @return true if a log file is given, in which case --node is not required.
   Runs before the options are parsed.  */
static bool
log_is_given (int argc, char **argv)
{
  for (int i = 1; i < argc; i++)
    if (g_str_has_prefix (argv[i], "--log") || strcmp (argv[i], "-l") == 0)
      return true;
  return false;
}

int
gs_cmd_explain (int argc, char **argv)
{
  gs_node_options_t options = { 0 };
  char *log_path = NULL;
  gboolean unexplained = FALSE;
  const GOptionEntry entries[]
      = { { "log", 'l', 0, G_OPTION_ARG_FILENAME, &log_path,
            "read this log file instead of querying nodes", "FILE" },
          { "unexplained", 'u', 0, G_OPTION_ARG_NONE, &unexplained,
            "with --log: list requests whose end the log does not explain",
            NULL },
          { 0 } };
  const gs_options_spec_t spec
      = { "explain", "REQUEST-ID - show the decisions about one request",
          entries, log_is_given (argc, argv) ? NULL : &options };
  int result;

  if (gs_options_parse (&spec, &argc, &argv, &result))
    {
      if (log_path != NULL && unexplained && argc == 1)
        result = list_unexplained (log_path);
      else if (argc == 2 && log_path != NULL && !unexplained)
        result = explain_from_log (log_path, argv[1]);
      else if (argc == 2 && !unexplained && options.nodes != NULL)
        result = explain (argv[1], &options);
      else
        {
          fprintf (stderr, "garnetstack explain: give one request id, or"
                           " --log and --unexplained\n");
          result = GS_EXIT_USAGE;
        }
    }
  g_free (log_path);
  gs_node_options_clear (&options);
  return result;
}
