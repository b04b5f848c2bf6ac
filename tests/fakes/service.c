#include "fakes/world.h"

#include <string.h>

struct service
{
  upstream_t *upstream;
  bool honour_key;
  bool check_fencing;
  GHashTable *answers; /* Idempotency-Key -> answer, if honour_key */
  uint64_t fencing;    /* highest fencing token seen */
};

service_t *
service_create (upstream_t *upstream)
{
  service_t *service = g_new0 (service_t, 1);

  service->upstream = upstream;
  service->answers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return service;
}

void
service_destroy (service_t *service)
{
  g_hash_table_unref (service->answers);
  g_free (service);
}

void
service_set (service_t *service, const json_t *settings)
{
  const json_t *honour = json_object_get (settings, "honour_key");
  const json_t *check = json_object_get (settings, "check_fencing");

  if (honour != NULL)
    service->honour_key = json_is_true (honour);
  if (check != NULL)
    service->check_fencing = json_is_true (check);
}

static bool
fencing_is_stale (service_t *service, const fake_call_t *call)
{
  const char *text = gs_exchange_header (call->exchange, "X-Fencing");
  uint64_t number = text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;

  if (!service->check_fencing)
    return false;
  if (number < service->fencing)
    return true;
  service->fencing = number;
  return false;
}

static char *
execute (service_t *service, const char *key, const char *request_id)
{
  json_t *root;
  char *text;

  records_execution_add (service->upstream->world->records, key, request_id,
                         service->upstream->name);
  root = json_pack ("{s:s,s:s,s:s}", "done", "yes", "key", key, "request",
                    request_id);
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

void
service_call_handle (service_t *service, const fake_call_t *call)
{
  const char *key = gs_exchange_header (call->exchange, "Idempotency-Key");
  const char *id = gs_exchange_header (call->exchange, "X-Request-Id");
  const char *previous;
  char *text;

  if (fencing_is_stale (service, call))
    {
      fake_reply_json (call, 409, json_pack ("{s:s}", "reason", "fencing"));
      return;
    }
  previous = service->honour_key && key != NULL
                 ? g_hash_table_lookup (service->answers, key)
                 : NULL;
  if (previous != NULL)
    {
      fake_reply (call, 200, NULL, previous, strlen (previous));
      return;
    }
  text = execute (service, key != NULL ? key : "-", id != NULL ? id : "-");
  fake_reply (call, 200, NULL, text, strlen (text));
  if (service->honour_key && key != NULL)
    g_hash_table_replace (service->answers, g_strdup (key), g_strdup (text));
  free (text);
}
