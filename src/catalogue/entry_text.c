#include "catalogue/entry_text.h"

#include <string.h>
#include <xxhash.h>

bool
gs_entry_key_is_stamp (const char *key)
{
  static const char *const stamps[]
      = { GS_STAMP_VERSION, GS_STAMP_CREATED, GS_STAMP_CHANGED_BY,
          GS_STAMP_DIGEST, NULL };

  return g_strv_contains (stamps, key);
}

GKeyFile *
gs_entry_file_parse (const char *text, size_t length, GError **error)
{
  GKeyFile *file = g_key_file_new ();

  if (text != NULL
      && !g_key_file_load_from_data (file, text, length,
                                     G_KEY_FILE_KEEP_COMMENTS, error))
    {
      g_key_file_free (file);
      return NULL;
    }
  return file;
}

static int
compare_keys (const void *a, const void *b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

char *
gs_entry_content_format (GKeyFile *file, const char *section)
{
  gsize count;
  char **keys = g_key_file_get_keys (file, section, &count, NULL);
  GString *content;

  if (keys == NULL)
    return NULL;
  content = g_string_new (NULL);
  g_string_append_printf (content, "[%s]\n", section);
  qsort (keys, count, sizeof *keys, compare_keys);
  for (gsize i = 0; i < count; i++)
    {
      char *value;

      if (gs_entry_key_is_stamp (keys[i]))
        continue;
      value = g_key_file_get_value (file, section, keys[i], NULL);
      g_string_append_printf (content, "%s=%s\n", keys[i], value);
      g_free (value);
    }
  g_strfreev (keys);
  return g_string_free (content, FALSE);
}

char *
gs_entry_digest_compute (const char *content)
{
  return g_strdup_printf (
      "%016llx", (unsigned long long)XXH3_64bits (content, strlen (content)));
}

uint64_t
gs_entry_number_get (GKeyFile *file, const char *section, const char *key)
{
  return g_key_file_get_uint64 (file, section, key, NULL);
}

static void
copy_comment (GKeyFile *to, GKeyFile *from, const char *section,
              const char *key)
{
  char *comment = g_key_file_get_comment (from, section, key, NULL);

  if (comment != NULL && *comment != '\0')
    {
      g_strchomp (comment);
      g_key_file_set_comment (to, section, key, comment, NULL);
    }
  g_free (comment);
}

void
gs_entry_copy (GKeyFile *to, GKeyFile *from, const char *section)
{
  char **old_keys = g_key_file_get_keys (to, section, NULL, NULL);
  char **new_keys = g_key_file_get_keys (from, section, NULL, NULL);

  for (char **key = old_keys; key != NULL && *key != NULL; key++)
    if (!g_strv_contains ((const char *const *)new_keys, *key))
      g_key_file_remove_key (to, section, *key, NULL);
  for (char **key = new_keys; *key != NULL; key++)
    {
      char *value;

      if (gs_entry_key_is_stamp (*key))
        continue;
      value = g_key_file_get_value (from, section, *key, NULL);
      g_key_file_set_value (to, section, *key, value);
      copy_comment (to, from, section, *key);
      g_free (value);
    }
  g_strfreev (new_keys);
  g_strfreev (old_keys);
}
