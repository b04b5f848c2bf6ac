#include "control/pool_spec.h"

#include <string.h>

static int
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static void
join_sorted (char *out, size_t size, GPtrArray *names)
{
  g_ptr_array_sort (names, compare_names);
  out[0] = '\0';
  for (guint i = 0; i < names->len; i++)
    {
      if (i > 0)
        g_strlcat (out, ",", size);
      g_strlcat (out, names->pdata[i], size);
    }
}

void
gs_adapters_join (char *out, size_t size, const char *const *names)
{
  GPtrArray *sorted = g_ptr_array_new ();

  for (; *names != NULL; names++)
    g_ptr_array_add (sorted, (gpointer)*names);
  join_sorted (out, size, sorted);
  g_ptr_array_unref (sorted);
}

static void
read_adapters (const gs_catalogue_t *catalogue, gs_pool_spec_t *spec)
{
  GPtrArray *names = g_ptr_array_new ();

  for (size_t i = 0; i < gs_catalogue_count (catalogue, GS_KIND_ADAPTER); i++)
    {
      const gs_model_t *adapter = (const gs_model_t *)gs_catalogue_at (
          catalogue, GS_KIND_ADAPTER, i);

      if (g_strcmp0 (adapter->base, spec->model) == 0)
        g_ptr_array_add (names, (gpointer)adapter->entry.name);
    }
  join_sorted (spec->adapters, sizeof spec->adapters, names);
  g_ptr_array_unref (names);
}

gs_pool_spec_t
gs_pool_spec_read (const gs_catalogue_t *catalogue, const gs_pool_t *entry)
{
  const gs_model_t *model = (const gs_model_t *)gs_catalogue_find (
      catalogue, GS_KIND_MODEL, entry->model);
  gs_pool_spec_t spec = { .replicas_min = entry->replicas_min,
                          .replicas_max = entry->replicas_max };

  g_strlcpy (spec.pool, entry->entry.name, sizeof spec.pool);
  g_strlcpy (spec.model, entry->model, sizeof spec.model);
  if (model != NULL && model->active != NULL)
    g_strlcpy (spec.version, model->active, sizeof spec.version);
  spec.reclaimable = entry->class_ref != NULL && entry->class_ref->reclaimable;
  read_adapters (catalogue, &spec);
  return spec;
}
