#include "catalogue/catalogue_private.h"

#include <string.h>

static const char *const kind_names[GS_KIND_COUNT]
    = { "operator", "class", "account", "model",
        "adapter",  "pool",  "service", "vm" };

const char *
gs_kind_name (gs_kind_t kind)
{
  return kind_names[kind];
}

gs_status_t
gs_kind_parse (gs_kind_t *out, const char *word)
{
  for (int kind = 0; kind < GS_KIND_COUNT; kind++)
    if (strcmp (word, kind_names[kind]) == 0)
      {
        *out = (gs_kind_t)kind;
        return GS_OK;
      }
  return gs_error_set (GS_EINVAL, "unknown kind of entry '%s'", word);
}

gs_catalogue_t *
gs_catalogue_new (const char *text, size_t length)
{
  gs_catalogue_t *catalogue = g_new0 (gs_catalogue_t, 1);

  atomic_init (&catalogue->references, 1);
  catalogue->text = g_strndup (text, length);
  catalogue->owned = g_ptr_array_new_with_free_func (g_free);
  catalogue->account_keys = g_hash_table_new (g_str_hash, g_str_equal);
  catalogue->operator_keys = g_hash_table_new (g_str_hash, g_str_equal);
  for (int kind = 0; kind < GS_KIND_COUNT; kind++)
    {
      catalogue->entries[kind] = g_ptr_array_new_with_free_func (g_free);
      catalogue->by_name[kind] = g_hash_table_new (g_str_hash, g_str_equal);
    }
  return catalogue;
}

gs_catalogue_t *
gs_catalogue_ref (gs_catalogue_t *catalogue)
{
  atomic_fetch_add (&catalogue->references, 1);
  return catalogue;
}

void
gs_catalogue_unref (gs_catalogue_t *catalogue)
{
  if (catalogue == NULL || atomic_fetch_sub (&catalogue->references, 1) != 1)
    return;
  for (int kind = 0; kind < GS_KIND_COUNT; kind++)
    {
      g_hash_table_unref (catalogue->by_name[kind]);
      g_ptr_array_unref (catalogue->entries[kind]);
    }
  g_hash_table_unref (catalogue->operator_keys);
  g_hash_table_unref (catalogue->account_keys);
  g_ptr_array_unref (catalogue->owned);
  g_free (catalogue->text);
  g_free (catalogue->change_id);
  g_free (catalogue);
}

uint64_t
gs_catalogue_generation (const gs_catalogue_t *catalogue)
{
  return catalogue->generation;
}

const char *
gs_catalogue_change_id (const gs_catalogue_t *catalogue)
{
  return catalogue->change_id;
}

const char *
gs_catalogue_text (const gs_catalogue_t *catalogue)
{
  return catalogue->text;
}

size_t
gs_catalogue_count (const gs_catalogue_t *catalogue, gs_kind_t kind)
{
  return catalogue->entries[kind]->len;
}

const gs_entry_t *
gs_catalogue_at (const gs_catalogue_t *catalogue, gs_kind_t kind, size_t index)
{
  return catalogue->entries[kind]->pdata[index];
}

const gs_entry_t *
gs_catalogue_find (const gs_catalogue_t *catalogue, gs_kind_t kind,
                   const char *name)
{
  return g_hash_table_lookup (catalogue->by_name[kind], name);
}

const char *
gs_catalogue_model_resolve (const gs_catalogue_t *catalogue, const char *name)
{
  const gs_entry_t *model = gs_catalogue_find (catalogue, GS_KIND_MODEL, name);
  const gs_model_t *adapter;

  if (model != NULL)
    return model->name;
  adapter = (const gs_model_t *)gs_catalogue_find (catalogue, GS_KIND_ADAPTER,
                                                   name);
  return adapter != NULL ? adapter->base : NULL;
}

static void *
entry_find_by_key (GHashTable *table, const char *key)
{
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
  void *entry = g_hash_table_lookup (table, digest);

  g_free (digest);
  return entry;
}

const gs_account_t *
gs_catalogue_account_find_by_key (const gs_catalogue_t *catalogue,
                                  const char *key)
{
  return entry_find_by_key (catalogue->account_keys, key);
}

const gs_operator_t *
gs_catalogue_operator_find_by_key (const gs_catalogue_t *catalogue,
                                   const char *key)
{
  return entry_find_by_key (catalogue->operator_keys, key);
}
