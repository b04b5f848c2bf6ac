#include "cmd/catalogue_cmd.h"
#include "cmd/cmd.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define WAIT_POLL_INTERVAL_USEC 200000
#define USEC_PER_SEC 1000000

static const char *
json_text_get (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL ? text : "";
}

static void
print_conflicts (const json_t *root)
{
  const json_t *conflict;
  size_t i;

  json_array_foreach (json_object_get (root, "conflicts"), i, conflict)
      gs_cmd_catalogue_conflict_print (json_text_get (conflict, "entry"),
                                       json_text_get (conflict, "theirs_by"),
                                       json_text_get (conflict, "theirs"),
                                       json_text_get (conflict, "yours_by"),
                                       json_text_get (conflict, "yours"));
}

/* Reads the state of the nodes once.  Counts the live nodes and those of them
   that use at least the generation, and lists the others.
   @return false when the nodes could not be read  */
static bool
count_nodes (const gs_cmd_catalogue_options_t *options, json_int_t generation,
             unsigned *live, unsigned *in_force, GString *behind)
{
  const gs_client_request_t request
      = { .method = "GET", .path = "/v1/state/nodes" };
  gs_client_response_t response;
  bool succeeded
      = gs_client_call (&response, &options->node, &request) == GS_OK
        && response.http_status == 200;
  json_t *root = succeeded ? json_loads (response.body->str, 0, NULL) : NULL;
  const json_t *row;
  size_t i;

  *live = 0;
  *in_force = 0;
  g_string_truncate (behind, 0);
  json_array_foreach (json_object_get (root, "nodes"), i, row)
  {
    if (strcmp (json_text_get (row, "state"), "live") != 0)
      continue;
    (*live)++;
    if (json_integer_value (json_object_get (row, "generation")) >= generation)
      (*in_force)++;
    else
      g_string_append_printf (behind, " %s", json_text_get (row, "name"));
  }
  json_decref (root);
  gs_client_response_clear (&response);
  return succeeded;
}

static int
wait_until_in_force (const gs_cmd_catalogue_options_t *options,
                     json_int_t generation)
{
  gint64 deadline = g_get_monotonic_time ()
                    + (gint64)options->wait_timeout_sec * USEC_PER_SEC;
  GString *behind = g_string_new (NULL);
  unsigned live = 0;
  unsigned in_force = 0;
  int result = GS_EXIT_UNREACHABLE;

  while (result != GS_EXIT_OK)
    {
      if (count_nodes (options, generation, &live, &in_force, behind)
          && live > 0 && in_force == live)
        result = GS_EXIT_OK;
      else if (g_get_monotonic_time () >= deadline)
        break;
      else
        usleep (WAIT_POLL_INTERVAL_USEC);
    }
  if (result == GS_EXIT_OK)
    printf ("in_force generation=%lld nodes=%u\n", (long long)generation,
            live);
  else
    fprintf (stderr,
             "garnetstack catalogue: accepted, but generation %lld is in "
             "force on %u of %u nodes only; not on:%s\n",
             (long long)generation, in_force, live, behind->str);
  g_string_free (behind, TRUE);
  return result;
}

static int
print_accepted (const gs_cmd_catalogue_options_t *options,
                const gs_client_response_t *response)
{
  json_t *root = json_loads (response->body->str, 0, NULL);
  json_int_t generation
      = json_integer_value (json_object_get (root, "generation"));
  int result = GS_EXIT_OK;

  if (options->node.json)
    printf ("%s\n", response->body->str);
  else
    printf ("accepted generation=%lld change=%s changed=%s\n",
            (long long)generation, json_text_get (root, "change_id"),
            json_is_true (json_object_get (root, "changed")) ? "yes" : "no");
  if (options->wait)
    result = wait_until_in_force (options, generation);
  json_decref (root);
  return result;
}

static int
submit (const gs_cmd_catalogue_options_t *options,
        const gs_client_request_t *request)
{
  gs_client_response_t response;
  gs_status_t status = gs_client_call (&response, &options->node, request);
  int result;

  if (status != GS_OK)
    {
      result = gs_client_failure_print ("catalogue", status);
      if (status == GS_EUNKNOWN)
        fprintf (stderr,
                 "the change may have been accepted; repeat the command "
                 "with --change-id %s to find out\n",
                 request->change_id);
    }
  else if (response.http_status == 200)
    result = print_accepted (options, &response);
  else
    {
      json_t *root = json_loads (response.body->str, 0, NULL);

      print_conflicts (root);
      json_decref (root);
      result = gs_client_error_print ("catalogue", &response);
    }
  gs_client_response_clear (&response);
  return result;
}

static int
submit_with_id (const gs_cmd_catalogue_options_t *options,
                gs_client_request_t *request)
{
  char *generated_id = g_uuid_string_random ();
  int result;

  request->change_id
      = options->change_id != NULL ? options->change_id : generated_id;
  request->if_generation = (uint64_t)options->generation;
  result = submit (options, request);
  g_free (generated_id);
  return result;
}

int
gs_cmd_catalogue_apply (const gs_cmd_catalogue_options_t *options, int argc,
                        char **argv)
{
  gs_client_request_t request
      = { .method = "PUT",
          .path = options->whole ? "/v1/catalogue?whole=1" : "/v1/catalogue" };
  GError *error = NULL;
  char *text = NULL;
  int result;

  if (options->file == NULL
      || !g_file_get_contents (options->file, &text, NULL, &error))
    {
      fprintf (stderr, "garnetstack catalogue apply: %s\n",
               error != NULL ? error->message : "--file is missing");
      g_clear_error (&error);
      return GS_EXIT_USAGE;
    }
  request.body = text;
  result = submit_with_id (options, &request);
  g_free (text);
  return result;
}

int
gs_cmd_catalogue_delete (const gs_cmd_catalogue_options_t *options, int argc,
                         char **argv)
{
  gs_client_request_t request = { .method = "DELETE" };
  char *name;
  char *path;
  int result;

  if (argc != 2 || options->generation == 0)
    {
      fprintf (stderr, "garnetstack catalogue delete: give KIND NAME and, as "
                       "--generation, the version that was read\n");
      return GS_EXIT_USAGE;
    }
  name = g_uri_escape_string (argv[1], NULL, FALSE);
  path = g_strdup_printf ("/v1/catalogue/%s/%s", argv[0], name);
  request.path = path;
  result = submit_with_id (options, &request);
  g_free (path);
  g_free (name);
  return result;
}
