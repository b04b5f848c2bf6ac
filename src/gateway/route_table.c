#include "garnetstack/route_table.h"

#include <string.h>

struct gs_route_table
{
  gatomicrefcount references;
  uint64_t revision;
  uint64_t version;
  GPtrArray *routes;      /* of gs_path_route_t */
  GHashTable *by_prefix;  /* host and prefix -> gs_path_route_t */
  GArray *services;       /* of gs_path_service_t */
  GHashTable *by_service; /* name -> index + 1 */
  GArray *accounts;       /* of gs_client_account_t */
  GHashTable *by_key;     /* key -> index + 1 */
  gs_caller_limits_t limits;
  bool requires_keys;
  unsigned parts_refused;
  gs_time_t stream_time; /* longest timeout of streams that may be resumed */
};

static void
route_free (gpointer data)
{
  gs_path_route_t *route = data;

  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_array_unref (route->splits);
  g_free (route);
}

static void
service_clear (gpointer data)
{
  gs_path_service_t *service = data;

  g_free (service->name);
  g_free (service->health_path);
  if (service->scale.data_centre_prices != NULL)
    g_hash_table_unref (service->scale.data_centre_prices);
}

static void
account_clear (gpointer data)
{
  g_free (((gs_client_account_t *)data)->name);
}

void
gs_route_table_create (gs_route_table_t **out, uint64_t revision,
                       uint64_t version)
{
  gs_route_table_t *table = g_new0 (gs_route_table_t, 1);

  g_atomic_ref_count_init (&table->references);
  table->revision = revision;
  table->version = version;
  table->routes = g_ptr_array_new_with_free_func (route_free);
  table->by_prefix
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  table->services = g_array_new (FALSE, TRUE, sizeof (gs_path_service_t));
  g_array_set_clear_func (table->services, service_clear);
  table->by_service = g_hash_table_new (g_str_hash, g_str_equal);
  table->accounts = g_array_new (FALSE, TRUE, sizeof (gs_client_account_t));
  g_array_set_clear_func (table->accounts, account_clear);
  table->by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  *out = table;
}

gs_route_table_t *
gs_route_table_ref (gs_route_table_t *table)
{
  if (table != NULL)
    g_atomic_ref_count_inc (&table->references);
  return table;
}

void
gs_route_table_unref (gs_route_table_t *table)
{
  if (table == NULL || !g_atomic_ref_count_dec (&table->references))
    return;
  g_hash_table_unref (table->by_key);
  g_hash_table_unref (table->by_service);
  g_hash_table_unref (table->by_prefix);
  g_array_unref (table->accounts);
  g_array_unref (table->services);
  g_ptr_array_unref (table->routes);
  g_free (table);
}

uint64_t
gs_route_table_revision (const gs_route_table_t *table)
{
  return table->revision;
}

uint64_t
gs_route_table_version (const gs_route_table_t *table)
{
  return table->version;
}

void
gs_route_table_service_add (gs_route_table_t *table,
                            const gs_path_service_t *service)
{
  g_array_append_vals (table->services, service, 1);
  g_hash_table_insert (table->by_service, service->name,
                       GUINT_TO_POINTER (table->services->len));
}

void
gs_route_table_account_add (gs_route_table_t *table,
                            const gs_client_account_t *account)
{
  g_array_append_vals (table->accounts, account, 1);
  table->requires_keys = true;
}

void
gs_route_table_keys_require (gs_route_table_t *table)
{
  table->requires_keys = true;
}

bool
gs_route_table_requires_keys (const gs_route_table_t *table)
{
  return table->requires_keys;
}

void
gs_route_table_part_refuse (gs_route_table_t *table)
{
  table->parts_refused++;
}

unsigned
gs_route_table_parts_refused (const gs_route_table_t *table)
{
  return table->parts_refused;
}

/* @return host and prefix as one key.  A host contains no slash, so different
   pairs have different keys.  */
static char *
prefix_key (const char *host, size_t host_length, const char *prefix,
            size_t prefix_length)
{
  GString *key = g_string_sized_new (host_length + prefix_length + 1);

  g_string_append_len (key, host, (gssize)host_length);
  g_string_ascii_down (key);
  g_string_append_len (key, prefix, (gssize)prefix_length);
  return g_string_free (key, FALSE);
}

gs_status_t
gs_route_table_route_add (gs_route_table_t *table,
                          const gs_path_route_t *route)
{
  gs_path_route_t *copy = g_memdup2 (route, sizeof *route);
  char *key = prefix_key (copy->host, strlen (copy->host), copy->prefix,
                          strlen (copy->prefix));

  g_ptr_array_add (table->routes, copy);
  if (copy->resend_policy == GS_RESEND_RESUME)
    table->stream_time = MAX (table->stream_time, copy->timeout);
  if (g_hash_table_contains (table->by_prefix, key))
    {
      g_free (key);
      return gs_error_set (GS_EINVAL,
                           "route %s: %s%s belongs to another route",
                           copy->name, copy->host, copy->prefix);
    }
  g_hash_table_insert (table->by_prefix, key, copy);
  return GS_OK;
}

void
gs_route_table_key_add (gs_route_table_t *table, const char *key)
{
  g_hash_table_insert (table->by_key, g_strdup (key),
                       GUINT_TO_POINTER (table->accounts->len));
}

void
gs_route_table_limits_set (gs_route_table_t *table,
                           const gs_caller_limits_t *limits)
{
  table->limits = *limits;
}

const gs_caller_limits_t *
gs_route_table_limits (const gs_route_table_t *table)
{
  return &table->limits;
}

gs_time_t
gs_route_table_stream_time (const gs_route_table_t *table)
{
  return table->stream_time;
}

unsigned
gs_route_table_service_count (const gs_route_table_t *table)
{
  return table->services->len;
}

const gs_path_service_t *
gs_route_table_service (const gs_route_table_t *table, unsigned index)
{
  return &g_array_index (table->services, gs_path_service_t, index);
}

static bool
route_has_service (const gs_path_route_t *route, unsigned service)
{
  for (guint i = 0; i < route->splits->len; i++)
    if (g_array_index (route->splits, gs_route_split_t, i).service == service)
      return true;
  return false;
}

bool
gs_route_table_service_has_streams (const gs_route_table_t *table,
                                    unsigned index)
{
  for (guint i = 0; i < table->routes->len; i++)
    {
      const gs_path_route_t *route = g_ptr_array_index (table->routes, i);

      if (route->resend_policy == GS_RESEND_RESUME
          && route_has_service (route, index))
        return true;
    }
  return false;
}

int
gs_route_table_service_find (const gs_route_table_t *table, const char *name)
{
  return (int)GPOINTER_TO_UINT (g_hash_table_lookup (table->by_service, name))
         - 1;
}

unsigned
gs_route_table_account_count (const gs_route_table_t *table)
{
  return table->accounts->len;
}

const gs_client_account_t *
gs_route_table_account (const gs_route_table_t *table, unsigned index)
{
  return &g_array_index (table->accounts, gs_client_account_t, index);
}

/* Every prefix ends with a slash, so only the parts of the path up to each of
   its slashes are looked up, and the cost does not grow with the number of
   routes.  */
const gs_path_route_t *
gs_route_table_route_find (const gs_route_table_t *table, const char *host,
                           const char *target)
{
  size_t host_length = strcspn (host, ":");
  size_t length = strcspn (target, "?#");
  const gs_path_route_t *route = NULL;

  for (; length > 0 && route == NULL; length--)
    {
      char *key;

      if (target[length - 1] != '/')
        continue;
      key = prefix_key (host, host_length, target, length);
      route = g_hash_table_lookup (table->by_prefix, key);
      g_free (key);
    }
  return route;
}

int
gs_route_table_key_find (const gs_route_table_t *table, const char *key)
{
  return (int)GPOINTER_TO_UINT (g_hash_table_lookup (table->by_key, key)) - 1;
}
