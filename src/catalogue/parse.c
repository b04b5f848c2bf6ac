#include "catalogue/catalogue_private.h"

#include <string.h>

#define DIGEST_HEX_BYTES 64
#define NAME_CHARACTERS                                                       \
  "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:"

#define CLASS_KEYS                                                            \
  " priority first_token_ms token_ms share reclaimable weight_cost "          \
  "in_flight_max "

/* Keys of each kind.  Spaces around each key allow a search by strstr().  */
static const char *const kind_keys[GS_KIND_COUNT]
    = { " keys changes_per_hour ",
        CLASS_KEYS,
        " keys requests_per_sec tokens_per_sec in_flight_max ",
        " versions active in_flight_max ",
        " base versions active in_flight_max ",
        " model replicas_min replicas_max ",
        " routes idempotent checks_fencing honours_key in_flight_max ",
        " drain in_flight_max " };

#define COMMON_KEYS " owner class purpose version created changed_by digest "
#define HEADER_KEYS " generation change_id changed_by recent "

void
gs_catalogue_fault_report (gs_catalogue_parser_t *parser, const char *section,
                           const char *key, const char *reason)
{
  parser->faults++;
  gs_error_set (GS_EINVAL, "%s: [%s] %s: %s", parser->source, section, key,
                reason);
  if (parser->on_fault != NULL)
    parser->on_fault (parser->context, parser->source, section, key, reason);
}

static const char *
take_string (gs_catalogue_parser_t *parser, char *value)
{
  if (value != NULL)
    g_ptr_array_add (parser->catalogue->owned, value);
  return value;
}

const char *
gs_catalogue_string_read (gs_catalogue_parser_t *parser, const char *section,
                          const char *key, bool required)
{
  char *value = g_key_file_get_string (parser->file, section, key, NULL);

  if (value == NULL || *value == '\0')
    {
      g_free (value);
      value = NULL;
      if (required)
        gs_catalogue_fault_report (parser, section, key, "missing");
    }
  return take_string (parser, value);
}

static const char *const *
read_list (gs_catalogue_parser_t *parser, const char *section, const char *key,
           bool required)
{
  gsize count = 0;
  char **raw
      = g_key_file_get_string_list (parser->file, section, key, &count, NULL);
  const char **list = g_new0 (const char *, count + 1);

  if (required && count == 0)
    gs_catalogue_fault_report (parser, section, key, "missing");
  for (gsize i = 0; i < count; i++)
    list[i] = take_string (parser, g_strdup (g_strstrip (raw[i])));
  g_strfreev (raw);
  g_ptr_array_add (parser->catalogue->owned, list);
  return list;
}

static uint64_t
read_number (gs_catalogue_parser_t *parser, const char *section,
             const char *key, uint64_t fallback, uint64_t min, uint64_t max)
{
  char *text = g_key_file_get_string (parser->file, section, key, NULL);
  guint64 value = fallback;

  if (text != NULL
      && !g_ascii_string_to_unsigned (text, 10, min, max, &value, NULL))
    {
      gs_catalogue_fault_report (parser, section, key,
                                 "not a number within its range");
      value = fallback;
    }
  g_free (text);
  return value;
}

static bool
read_flag (gs_catalogue_parser_t *parser, const char *section, const char *key,
           bool fallback)
{
  GError *error = NULL;
  gboolean value;

  if (!g_key_file_has_key (parser->file, section, key, NULL))
    return fallback;
  value = g_key_file_get_boolean (parser->file, section, key, &error);
  if (error != NULL)
    {
      gs_catalogue_fault_report (parser, section, key,
                                 "neither true nor false");
      g_error_free (error);
    }
  return value;
}

static const char *const *
read_digests (gs_catalogue_parser_t *parser, const char *section,
              GHashTable *table, void *entry)
{
  const char *const *digests = read_list (parser, section, "keys", true);

  for (const char *const *digest = digests; *digest != NULL; digest++)
    {
      if (strlen (*digest) != DIGEST_HEX_BYTES)
        gs_catalogue_fault_report (parser, section, "keys",
                                   "not a SHA-256 digest");
      else if (!g_hash_table_insert (table, (gpointer)*digest, entry))
        gs_catalogue_fault_report (parser, section, "keys",
                                   "the digest occurs more than once");
    }
  return digests;
}

static void
read_common_keys (gs_catalogue_parser_t *parser, const char *section,
                  gs_kind_t kind, const char *name, gs_entry_t *entry)
{
  entry->kind = kind;
  entry->name = take_string (parser, g_strdup (name));
  entry->owner = gs_catalogue_string_read (parser, section, "owner", true);
  entry->purpose = gs_catalogue_string_read (parser, section, "purpose", true);
  entry->version = read_number (parser, section, "version", 0, 0, UINT64_MAX);
  entry->changed_by
      = gs_catalogue_string_read (parser, section, "changed_by", false);
}

static void
read_class (gs_catalogue_parser_t *parser, const char *section,
            gs_class_t *out)
{
  out->priority = (unsigned)read_number (parser, section, "priority", 1, 0, 9);
  out->first_token_ms
      = read_number (parser, section, "first_token_ms", 530, 1, 3600000);
  out->token_ms = read_number (parser, section, "token_ms", 43, 1, 60000);
  out->share = (unsigned)read_number (parser, section, "share", 1, 1, 100);
  out->reclaimable = read_flag (parser, section, "reclaimable", true);
  out->weight_cost
      = (unsigned)read_number (parser, section, "weight_cost", 50, 0, 100);
  out->in_flight_max
      = read_number (parser, section, "in_flight_max", 10000, 1, 1000000);
}

static void
read_account (gs_catalogue_parser_t *parser, const char *section,
              gs_account_t *out)
{
  out->key_digests
      = read_digests (parser, section, parser->catalogue->account_keys, out);
  out->requests_per_sec
      = read_number (parser, section, "requests_per_sec", 100, 1, 1000000);
  out->tokens_per_sec
      = read_number (parser, section, "tokens_per_sec", 100000, 1, 100000000);
  out->in_flight_max
      = read_number (parser, section, "in_flight_max", 1000, 1, 1000000);
}

static void
read_operator (gs_catalogue_parser_t *parser, const char *section,
               gs_operator_t *out)
{
  out->key_digests
      = read_digests (parser, section, parser->catalogue->operator_keys, out);
  out->changes_per_hour
      = read_number (parser, section, "changes_per_hour", 120, 1, 10000);
}

static void
read_model (gs_catalogue_parser_t *parser, const char *section,
            gs_model_t *out)
{
  bool adapter = out->entry.kind == GS_KIND_ADAPTER;

  out->base = adapter
                  ? gs_catalogue_string_read (parser, section, "base", true)
                  : NULL;
  out->in_flight_max
      = read_number (parser, section, "in_flight_max", 100000, 1, 1000000);
  out->versions = read_list (parser, section, "versions", true);
  out->active = gs_catalogue_string_read (parser, section, "active", true);
  if (out->active != NULL && !g_strv_contains (out->versions, out->active))
    gs_catalogue_fault_report (parser, section, "active",
                               "not one of versions");
}

static void
read_pool (gs_catalogue_parser_t *parser, const char *section, gs_pool_t *out)
{
  out->model = gs_catalogue_string_read (parser, section, "model", true);
  out->replicas_min
      = (unsigned)read_number (parser, section, "replicas_min", 1, 0, 10000);
  out->replicas_max
      = (unsigned)read_number (parser, section, "replicas_max", 1, 0, 10000);
  if (out->replicas_max < out->replicas_min)
    gs_catalogue_fault_report (parser, section, "replicas_max",
                               "below replicas_min");
}

static void
read_service (gs_catalogue_parser_t *parser, const char *section,
              gs_service_t *out)
{
  out->routes = read_list (parser, section, "routes", true);
  out->idempotent = read_list (parser, section, "idempotent", false);
  out->checks_fencing = read_flag (parser, section, "checks_fencing", false);
  out->honours_key = read_flag (parser, section, "honours_key", false);
  out->in_flight_max
      = read_number (parser, section, "in_flight_max", 1000, 1, 1000000);
}

static void
read_vm (gs_catalogue_parser_t *parser, const char *section,
         gs_vm_entry_t *out)
{
  out->drain = read_flag (parser, section, "drain", false);
  out->in_flight_max
      = read_number (parser, section, "in_flight_max", 1000000, 1, 1000000);
}

static void
reject_unknown_keys (gs_catalogue_parser_t *parser, const char *section,
                     const char *common_keys, const char *specific_keys)
{
  char **keys = g_key_file_get_keys (parser->file, section, NULL, NULL);

  for (char **key = keys; key != NULL && *key != NULL; key++)
    {
      char *word = g_strdup_printf (" %s ", *key);

      if (strstr (common_keys, word) == NULL
          && strstr (specific_keys, word) == NULL)
        gs_catalogue_fault_report (parser, section, *key, "unknown key");
      g_free (word);
    }
  g_strfreev (keys);
}

/* Names are written into paths, logs and frames without escaping.  */
static bool
name_is_valid (const char *name)
{
  size_t length = strlen (name);

  return length > 0 && length < GS_NAME_BYTES
         && strspn (name, NAME_CHARACTERS) == length;
}

static void
read_entry (gs_catalogue_parser_t *parser, const char *section)
{
  gs_catalogue_t *catalogue = parser->catalogue;
  char **parts = g_strsplit (section, " ", 2);
  gs_any_entry_t *entry = NULL;
  gs_kind_t kind = GS_KIND_COUNT;

  if (parts[1] == NULL || gs_kind_parse (&kind, parts[0]) != GS_OK)
    {
      gs_catalogue_fault_report (parser, section, "-",
                                 "the section is not \"KIND NAME\"");
      goto cleanup;
    }
  if (!name_is_valid (parts[1]))
    gs_catalogue_fault_report (
        parser, section, "-",
        "the name is not 1 to 63 letters, digits, '.', '_', "
        "'-' or ':'");
  reject_unknown_keys (parser, section, COMMON_KEYS, kind_keys[kind]);
  entry = g_new0 (gs_any_entry_t, 1);
  read_common_keys (parser, section, kind, parts[1], &entry->entry);
  g_ptr_array_add (catalogue->entries[kind], entry);
  g_hash_table_insert (catalogue->by_name[kind], (gpointer)entry->entry.name,
                       entry);
  switch (kind)
    {
    case GS_KIND_OPERATOR:
      read_operator (parser, section, &entry->operator_entry);
      break;
    case GS_KIND_CLASS:
      read_class (parser, section, &entry->class_entry);
      break;
    case GS_KIND_ACCOUNT:
      read_account (parser, section, &entry->account);
      break;
    case GS_KIND_MODEL:
    case GS_KIND_ADAPTER:
      read_model (parser, section, &entry->model);
      break;
    case GS_KIND_POOL:
      read_pool (parser, section, &entry->pool);
      break;
    case GS_KIND_SERVICE:
      read_service (parser, section, &entry->service);
      break;
    case GS_KIND_VM:
      read_vm (parser, section, &entry->vm);
      break;
    case GS_KIND_COUNT:
      break;
    }

cleanup:
  g_strfreev (parts);
}

static void
read_header (gs_catalogue_parser_t *parser)
{
  gs_catalogue_t *catalogue = parser->catalogue;

  reject_unknown_keys (parser, GS_CATALOGUE_HEADER, HEADER_KEYS, "");
  catalogue->generation = read_number (parser, GS_CATALOGUE_HEADER,
                                       "generation", 0, 0, UINT64_MAX);
  catalogue->change_id = g_key_file_get_string (
      parser->file, GS_CATALOGUE_HEADER, "change_id", NULL);
  if (catalogue->change_id == NULL)
    catalogue->change_id = g_strdup ("");
}

/* GKeyFile merges sections of the same name, which would hide an entry.  */
static void
reject_duplicates (gs_catalogue_parser_t *parser)
{
  GHashTable *seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  char **lines = g_strsplit (parser->catalogue->text, "\n", -1);

  for (char **line = lines; *line != NULL; line++)
    {
      char *end = strrchr (g_strstrip (*line), ']');
      char *section;

      if (**line != '[' || end == NULL)
        continue;
      section = g_strndup (*line + 1, (gsize)(end - *line - 1));
      if (g_hash_table_contains (seen, section))
        gs_catalogue_fault_report (parser, section, "-",
                                   "the section occurs more than once");
      g_hash_table_add (seen, section);
    }
  g_strfreev (lines);
  g_hash_table_unref (seen);
}

gs_status_t
gs_catalogue_parse (gs_catalogue_t **out, const char *text, size_t length,
                    const char *name, gs_fault_cb_t on_fault, void *context)
{
  gs_catalogue_parser_t parser = { gs_catalogue_new (text, length),
                                   g_key_file_new (),
                                   name,
                                   on_fault,
                                   context,
                                   0 };
  char **groups = NULL;
  GError *error = NULL;

  *out = NULL;
  if (!g_key_file_load_from_data (parser.file, text, length, G_KEY_FILE_NONE,
                                  &error))
    {
      gs_catalogue_fault_report (&parser, "-", "-", error->message);
      g_error_free (error);
      goto cleanup;
    }
  reject_duplicates (&parser);
  read_header (&parser);
  groups = g_key_file_get_groups (parser.file, NULL);
  for (char **group = groups; *group != NULL; group++)
    if (strcmp (*group, GS_CATALOGUE_HEADER) != 0)
      read_entry (&parser, *group);
  gs_catalogue_validate (&parser);

cleanup:
  g_strfreev (groups);
  g_key_file_free (parser.file);
  if (parser.faults > 0)
    {
      gs_catalogue_unref (parser.catalogue);
      return GS_EINVAL;
    }
  *out = parser.catalogue;
  return GS_OK;
}
