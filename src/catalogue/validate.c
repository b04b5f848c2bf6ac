#include "catalogue/catalogue_private.h"

/* A share is a percentage of the capacity under contention.  */
#define SHARE_SUM_MAX 100

static const gs_class_t *
resolve_class (gs_catalogue_parser_t *parser, const gs_entry_t *entry)
{
  char *section
      = g_strdup_printf ("%s %s", gs_kind_name (entry->kind), entry->name);
  const char *name = gs_catalogue_string_read (parser, section, "class", true);
  const gs_class_t *found = NULL;

  if (name != NULL)
    {
      found = (const gs_class_t *)gs_catalogue_find (parser->catalogue,
                                                     GS_KIND_CLASS, name);
      if (found == NULL)
        gs_catalogue_fault_report (parser, section, "class", "no such class");
    }
  g_free (section);
  return found;
}

static void
check_model_reference (gs_catalogue_parser_t *parser, const gs_entry_t *entry,
                       const char *key, const char *name)
{
  char *section;

  if (name == NULL
      || gs_catalogue_find (parser->catalogue, GS_KIND_MODEL, name) != NULL)
    return;
  section = g_strdup_printf ("%s %s", gs_kind_name (entry->kind), entry->name);
  gs_catalogue_fault_report (parser, section, key, "no such model");
  g_free (section);
}

static void
resolve_references (gs_catalogue_parser_t *parser)
{
  gs_catalogue_t *catalogue = parser->catalogue;

  for (int kind = 0; kind < GS_KIND_COUNT; kind++)
    for (size_t i = 0; i < catalogue->entries[kind]->len; i++)
      {
        gs_any_entry_t *any = catalogue->entries[kind]->pdata[i];

        if (kind == GS_KIND_OPERATOR)
          any->operator_entry.class_ref = resolve_class (parser, &any->entry);
        else if (kind == GS_KIND_VM)
          any->vm.class_ref = resolve_class (parser, &any->entry);
        else if (kind == GS_KIND_ACCOUNT)
          any->account.class_ref = resolve_class (parser, &any->entry);
        else if (kind == GS_KIND_MODEL || kind == GS_KIND_ADAPTER)
          {
            any->model.class_ref = resolve_class (parser, &any->entry);
            check_model_reference (parser, &any->entry, "base",
                                   any->model.base);
          }
        else if (kind == GS_KIND_POOL)
          {
            any->pool.class_ref = resolve_class (parser, &any->entry);
            check_model_reference (parser, &any->entry, "model",
                                   any->pool.model);
          }
        else if (kind == GS_KIND_SERVICE)
          any->service.class_ref = resolve_class (parser, &any->entry);
      }
}

static void
check_shares (gs_catalogue_parser_t *parser)
{
  const GPtrArray *classes = parser->catalogue->entries[GS_KIND_CLASS];
  unsigned sum = 0;

  for (guint i = 0; i < classes->len; i++)
    sum += ((const gs_class_t *)classes->pdata[i])->share;
  if (sum > SHARE_SUM_MAX)
    gs_catalogue_fault_report (
        parser, "class *", "share",
        "the sum of the shares of all classes exceeds 100");
}

/* A configured limit above that of the class is a fault, because it can never
   be reached.  A default limit is lowered to that of the class.  */
static void
check_limit (gs_catalogue_parser_t *parser, const gs_entry_t *entry,
             const gs_class_t *class_ref, uint64_t *in_flight_max)
{
  static const char key[] = "in_flight_max";
  char *section;

  if (class_ref == NULL || *in_flight_max <= class_ref->in_flight_max)
    return;
  section = g_strdup_printf ("%s %s", gs_kind_name (entry->kind), entry->name);
  if (g_key_file_has_key (parser->file, section, key, NULL))
    gs_catalogue_fault_report (parser, section, key,
                               "exceeds in_flight_max of its class");
  *in_flight_max = class_ref->in_flight_max;
  g_free (section);
}

static void
check_limits (gs_catalogue_parser_t *parser)
{
  const GPtrArray *accounts = parser->catalogue->entries[GS_KIND_ACCOUNT];
  const GPtrArray *services = parser->catalogue->entries[GS_KIND_SERVICE];

  for (guint i = 0; i < accounts->len; i++)
    {
      gs_account_t *account = accounts->pdata[i];

      check_limit (parser, &account->entry, account->class_ref,
                   &account->in_flight_max);
    }
  for (guint i = 0; i < services->len; i++)
    {
      gs_service_t *service = services->pdata[i];

      check_limit (parser, &service->entry, service->class_ref,
                   &service->in_flight_max);
    }
}

void
gs_catalogue_validate (gs_catalogue_parser_t *parser)
{
  resolve_references (parser);
  check_shares (parser);
  check_limits (parser);
}
