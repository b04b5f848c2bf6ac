#include "catalogue/catalogue_private.h"
#include "catalogue/entry_text.h"
#include "garnetstack/catalogue_edit.h"

#include <string.h>

static void
change_free (void *data)
{
  gs_catalogue_change_t *change = data;

  g_free (change->section);
  g_free (change->key);
  g_free (change->before);
  g_free (change->after);
  g_free (change);
}

/* Takes ownership of @p before and @p after.  */
static void
add_change (GPtrArray *changes, const char *section, const char *key,
            char *before, char *after)
{
  gs_catalogue_change_t *change;

  if (gs_entry_key_is_stamp (key) || g_strcmp0 (before, after) == 0)
    {
      g_free (before);
      g_free (after);
      return;
    }
  change = g_new0 (gs_catalogue_change_t, 1);
  change->section = g_strdup (section);
  change->key = g_strdup (key);
  change->before = before;
  change->after = after;
  g_ptr_array_add (changes, change);
}

static void
diff_section (GPtrArray *changes, GKeyFile *before, GKeyFile *after,
              const char *section)
{
  char **old_keys = g_key_file_get_keys (before, section, NULL, NULL);
  char **new_keys = g_key_file_get_keys (after, section, NULL, NULL);

  for (char **key = old_keys; key != NULL && *key != NULL; key++)
    add_change (changes, section, *key,
                g_key_file_get_value (before, section, *key, NULL),
                g_key_file_get_value (after, section, *key, NULL));
  for (char **key = new_keys; key != NULL && *key != NULL; key++)
    if (!g_key_file_has_key (before, section, *key, NULL))
      add_change (changes, section, *key, NULL,
                  g_key_file_get_value (after, section, *key, NULL));
  g_strfreev (old_keys);
  g_strfreev (new_keys);
}

GPtrArray *
gs_catalogue_diff (const char *before, const char *after)
{
  GPtrArray *changes = g_ptr_array_new_with_free_func (change_free);
  GKeyFile *old_file = gs_entry_file_parse (before, strlen (before), NULL);
  GKeyFile *new_file = gs_entry_file_parse (after, strlen (after), NULL);
  char **old_sections = NULL;
  char **new_sections = NULL;

  if (old_file == NULL || new_file == NULL)
    goto cleanup;
  old_sections = g_key_file_get_groups (old_file, NULL);
  new_sections = g_key_file_get_groups (new_file, NULL);
  for (char **section = old_sections; *section != NULL; section++)
    if (strcmp (*section, GS_CATALOGUE_HEADER) != 0)
      diff_section (changes, old_file, new_file, *section);
  for (char **section = new_sections; *section != NULL; section++)
    if (strcmp (*section, GS_CATALOGUE_HEADER) != 0
        && !g_key_file_has_group (old_file, *section))
      diff_section (changes, old_file, new_file, *section);

cleanup:
  g_strfreev (new_sections);
  g_strfreev (old_sections);
  if (new_file != NULL)
    g_key_file_free (new_file);
  if (old_file != NULL)
    g_key_file_free (old_file);
  return changes;
}
