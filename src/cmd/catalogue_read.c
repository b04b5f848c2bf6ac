#include "cmd/catalogue_cmd.h"
#include "cmd/cmd.h"
#include "cmd/table.h"

#include "catalogue/entry_text.h"
#include "garnetstack/catalogue_edit.h"

#include <stdio.h>
#include <string.h>

#define HEADER_SECTION "catalogue"
#define LOCAL_OPERATOR "you"

int
gs_cmd_catalogue_fetch (gs_client_response_t *out,
                        const gs_cmd_catalogue_options_t *options)
{
  const gs_client_request_t request
      = { .method = "GET", .path = "/v1/catalogue" };
  gs_status_t status = gs_client_call (out, &options->node, &request);

  if (status != GS_OK)
    return gs_client_failure_print ("catalogue", status);
  if (out->http_status != 200)
    return gs_client_error_print ("catalogue", out);
  return GS_EXIT_OK;
}

static bool
key_is_common (const char *key)
{
  static const char *const keys[]
      = { "owner", "class", "purpose", "keys", NULL };

  return gs_entry_key_is_stamp (key) || g_strv_contains (keys, key);
}

/* @return the keys that are specific to the kind of the entry, which are its
   limits and properties, as "KEY=VALUE ..."; freed with g_free().  */
static char *
limits_format (GKeyFile *file, const char *section)
{
  char **keys = g_key_file_get_keys (file, section, NULL, NULL);
  GString *text = g_string_new (NULL);

  for (char **key = keys; *key != NULL; key++)
    {
      char *value;

      if (key_is_common (*key))
        continue;
      value = g_key_file_get_string (file, section, *key, NULL);
      g_string_append_printf (text, "%s%s=%s", text->len > 0 ? " " : "", *key,
                              value);
      g_free (value);
    }
  g_strfreev (keys);
  return g_string_free (text, FALSE);
}

static void
row_text_add (json_t *row, const char *name, char *value)
{
  json_object_set_new (row, name,
                       value != NULL ? json_string (value) : json_null ());
  g_free (value);
}

static json_t *
entry_row_create (GKeyFile *file, const char *section)
{
  json_t *row = json_object ();
  char **parts = g_strsplit (section, " ", 2);

  json_object_set_new (row, "kind", json_string (parts[0]));
  json_object_set_new (row, "name",
                       json_string (parts[1] != NULL ? parts[1] : ""));
  row_text_add (row, "owner",
                g_key_file_get_string (file, section, "owner", NULL));
  row_text_add (row, "class",
                g_key_file_get_string (file, section, "class", NULL));
  json_object_set_new (row, "version",
                       json_integer ((json_int_t)gs_entry_number_get (
                           file, section, GS_STAMP_VERSION)));
  row_text_add (
      row, "changed_by",
      g_key_file_get_string (file, section, GS_STAMP_CHANGED_BY, NULL));
  row_text_add (row, "limits", limits_format (file, section));
  row_text_add (row, "purpose",
                g_key_file_get_string (file, section, "purpose", NULL));
  g_strfreev (parts);
  return row;
}

static json_t *
entry_rows_create (const char *text, const char *kind)
{
  GKeyFile *file = gs_entry_file_parse (text, strlen (text), NULL);
  json_t *rows = json_array ();
  char **sections;

  if (file == NULL)
    return rows;
  sections = g_key_file_get_groups (file, NULL);
  for (char **section = sections; *section != NULL; section++)
    {
      if (strcmp (*section, HEADER_SECTION) == 0)
        continue;
      if (kind == NULL
          || (g_str_has_prefix (*section, kind)
              && (*section)[strlen (kind)] == ' '))
        json_array_append_new (rows, entry_row_create (file, *section));
    }
  g_strfreev (sections);
  g_key_file_free (file);
  return rows;
}

int
gs_cmd_catalogue_list (const gs_cmd_catalogue_options_t *options, int argc,
                       char **argv)
{
  gs_client_response_t response;
  int result = gs_cmd_catalogue_fetch (&response, options);

  if (result == GS_EXIT_OK)
    {
      json_t *rows
          = entry_rows_create (response.body->str, argc > 0 ? argv[0] : NULL);

      if (options->node.json)
        {
          json_dumpf (rows, stdout, JSON_COMPACT);
          putchar ('\n');
        }
      else
        gs_json_table_print (rows);
      json_decref (rows);
    }
  gs_client_response_clear (&response);
  return result;
}

/* Prints one section without changes, with its stamps.  */
static int
print_entry (const char *text, const char *kind, const char *name)
{
  char *header = g_strdup_printf ("[%s %s]", kind, name);
  char **lines = g_strsplit (text, "\n", -1);
  bool in_section = false;
  int result = GS_EXIT_REJECTED;

  for (char **line = lines; *line != NULL; line++)
    {
      if (**line == '[')
        in_section = strcmp (*line, header) == 0;
      if (!in_section)
        continue;
      result = GS_EXIT_OK;
      if (**line != '\0')
        printf ("%s\n", *line);
    }
  if (result != GS_EXIT_OK)
    fprintf (stderr, "garnetstack catalogue get: there is no %s\n", header);
  g_strfreev (lines);
  g_free (header);
  return result;
}

int
gs_cmd_catalogue_get (const gs_cmd_catalogue_options_t *options, int argc,
                      char **argv)
{
  gs_client_response_t response;
  int result = gs_cmd_catalogue_fetch (&response, options);

  if (result == GS_EXIT_OK && argc == 2)
    result = print_entry (response.body->str, argv[0], argv[1]);
  else if (result == GS_EXIT_OK && argc == 0)
    fputs (response.body->str, stdout);
  else if (result == GS_EXIT_OK)
    {
      fprintf (stderr, "garnetstack catalogue get: give KIND NAME or "
                       "nothing\n");
      result = GS_EXIT_USAGE;
    }
  gs_client_response_clear (&response);
  return result;
}

static void
print_version (const char *marker, const char *text)
{
  char **lines = g_strsplit (text, "\n", -1);

  for (char **line = lines; *line != NULL; line++)
    if (**line != '\0')
      printf ("%s %s\n", marker, *line);
  if (*text == '\0')
    printf ("%s (no entry)\n", marker);
  g_strfreev (lines);
}

void
gs_cmd_catalogue_conflict_print (const char *entry, const char *theirs_by,
                                 const char *theirs, const char *yours_by,
                                 const char *yours)
{
  printf ("conflict: [%s]\nin force, by %s:\n", entry, theirs_by);
  print_version ("<", theirs);
  printf ("submitted, by %s:\n", yours_by);
  print_version (">", yours);
}

static void
print_changes (const GPtrArray *changes)
{
  const char *section = "";

  for (guint i = 0; i < changes->len; i++)
    {
      const gs_catalogue_change_t *change = changes->pdata[i];

      if (strcmp (change->section, section) != 0)
        printf ("[%s]\n", change->section);
      section = change->section;
      if (change->before != NULL)
        printf ("- %s=%s\n", change->key, change->before);
      if (change->after != NULL)
        printf ("+ %s=%s\n", change->key, change->after);
    }
  printf ("changes=%u\n", changes->len);
}

static void
print_fault (void *context, const char *file, const char *section,
             const char *key, const char *reason)
{
  fprintf (stderr, "[%s] %s: %s\n", section, key, reason);
}

/* Shows what "apply" would change now.  The merge runs here, with the same
   function that the node uses.  */
static int
preview (const char *current, const gs_catalogue_edit_t *edit)
{
  GString *next = g_string_new (NULL);
  GPtrArray *conflicts = gs_catalogue_conflicts_new ();
  gs_status_t status = gs_catalogue_edit (next, conflicts, current, edit);
  int result = GS_EXIT_OK;

  if (status == GS_ECONFLICT)
    {
      result = GS_EXIT_CONFLICT;
      for (guint i = 0; i < conflicts->len; i++)
        {
          const gs_catalogue_conflict_t *conflict = conflicts->pdata[i];

          gs_cmd_catalogue_conflict_print (
              conflict->section,
              conflict->theirs_by != NULL ? conflict->theirs_by : "unknown",
              conflict->theirs, conflict->yours_by, conflict->yours);
        }
    }
  else if (status != GS_OK)
    {
      fprintf (stderr, "garnetstack catalogue diff: %s\n", gs_error_last ());
      result = GS_EXIT_REJECTED;
    }
  else
    {
      GPtrArray *changes
          = gs_catalogue_diff (current, next->len > 0 ? next->str : current);

      print_changes (changes);
      g_ptr_array_unref (changes);
    }
  g_ptr_array_unref (conflicts);
  g_string_free (next, TRUE);
  return result;
}

int
gs_cmd_catalogue_diff (const gs_cmd_catalogue_options_t *options, int argc,
                       char **argv)
{
  gs_catalogue_edit_t edit = { .whole = options->whole,
                               .generation = (uint64_t)options->generation,
                               .operator_name = LOCAL_OPERATOR,
                               .change_id = "preview",
                               .on_fault = print_fault };
  gs_client_response_t response = { 0 };
  GError *error = NULL;
  char *text = NULL;
  gsize length;
  int result;

  if (options->file == NULL
      || !g_file_get_contents (options->file, &text, &length, &error))
    {
      fprintf (stderr, "garnetstack catalogue diff: %s\n",
               error != NULL ? error->message : "--file is missing");
      g_clear_error (&error);
      return GS_EXIT_USAGE;
    }
  edit.text = text;
  edit.length = length;
  result = gs_cmd_catalogue_fetch (&response, options);
  if (result == GS_EXIT_OK)
    result = preview (response.body->str, &edit);
  gs_client_response_clear (&response);
  g_free (text);
  return result;
}
