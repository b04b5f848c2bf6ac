#include "node/front.h"

#include "garnetstack/log.h"
#include "garnetstack/metrics.h"
#include "garnetstack/rng.h"
#include "node/addresses.h"
#include "node/generation.h"
#include "node/service_path.h"
#include "node/tls.h"

#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#define SERVER_THREADS 4
#define DEADLINE_DEFAULT (60 * GS_SEC)
#define DEADLINE_MAX (600 * GS_SEC)
#define SERVICES_PREFIX "/v1/services/"

struct gs_front
{
  gs_front_options_t options;
  gs_server_t *server;
  pthread_key_t reader_key;
  atomic_uint next_worker;
  gs_tls_t tls;
};

gs_snapshot_reader_t *
gs_thread_reader (pthread_key_t key, gs_snapshot_hub_t *hub)
{
  gs_snapshot_reader_t *reader = pthread_getspecific (key);

  if (reader == NULL)
    {
      reader = gs_snapshot_reader_create (hub);
      pthread_setspecific (key, reader);
    }
  return reader;
}

void
gs_thread_reader_release (void *reader)
{
  gs_snapshot_reader_release (reader);
}

const char *
gs_bearer_key (const gs_exchange_t *exchange)
{
  const char *value = gs_exchange_header (exchange, "Authorization");

  if (value == NULL || g_ascii_strncasecmp (value, "Bearer ", 7) != 0)
    return NULL;
  return value + 7;
}

/* Rejects input that never became a request.  It is counted and logged here,
   because the request core has no record of it.  */
static void
reject_input (gs_exchange_t *exchange, unsigned status, const char *type,
              const char *message, gs_time_t retry_after)
{
  gs_log_value_t path;
  gs_log_value_t reason;

  gs_metric_add (GS_METRIC_INPUT_REFUSED, 1);
  gs_log (GS_LOG_INFO, "input_refused", "status=%u type=%s path=%s reason=%s",
          status, type, gs_log_quote (&path, gs_exchange_path (exchange)),
          gs_log_quote (&reason, message));
  gs_reply_error (exchange, status, type, message, "", "not_run", retry_after);
}

static void
reject_bad_request (gs_exchange_t *exchange, const char *message)
{
  reject_input (exchange, 400, "invalid_request", message, 0);
}

static json_t *
address_json (const gs_front_t *front, const gs_node_info_t *node)
{
  return json_pack ("{s:s,s:s,s:i,s:s,s:s}", "name", node->name, "address",
                    node->address, "port", (int)node->caller_port, "scheme",
                    front->tls.certificate != NULL ? "https" : "http",
                    "data_centre", node->data_centre);
}

static void
reply_addresses (const gs_front_t *front, const gs_snapshot_t *snapshot,
                 const gs_account_t *account, gs_exchange_t *exchange)
{
  size_t chosen[GS_ADDRESSES_MAX];
  gs_rng_t rng;
  size_t count;
  json_t *list = json_array ();
  json_t *root;
  char *text;

  gs_rng_seed (&rng, gs_rng_entropy ());
  count = gs_addresses_choose (chosen, snapshot, front->options.settings->name,
                               account, &rng);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (list,
                           address_json (front, &snapshot->nodes[chosen[i]]));
  root = json_pack (
      "{s:o,s:I,s:I}", "addresses", list, "keep_ms",
      (json_int_t)(GS_ADDRESS_TTL / GS_MSEC), "keep_until_ms",
      (json_int_t)((gs_clock_wall () + GS_ADDRESS_TTL) / GS_MSEC));
  text = json_dumps (root, JSON_COMPACT);
  gs_exchange_reply (exchange, 200, "application/json", NULL, text,
                     strlen (text));
  free (text);
  json_decref (root);
}

static gs_status_t
read_deadline (gs_time_t *out, const gs_exchange_t *exchange)
{
  const char *text = gs_exchange_header (exchange, "X-Deadline-Ms");
  guint64 timeout_msec = DEADLINE_DEFAULT / GS_MSEC;

  if (text != NULL
      && !g_ascii_string_to_unsigned (text, 10, 1, DEADLINE_MAX / GS_MSEC,
                                      &timeout_msec, NULL))
    return gs_error_set (GS_EINVAL,
                         "X-Deadline-Ms is not an integer from 1 to %lld",
                         (long long)(DEADLINE_MAX / GS_MSEC));
  *out = gs_clock_now () + (gs_time_t)timeout_msec * GS_MSEC;
  return GS_OK;
}

static gs_status_t
read_spec_headers (const gs_exchange_t *exchange, gs_request_spec_t *spec)
{
  const char *key = gs_exchange_header (exchange, "Idempotency-Key");

  if (read_deadline (&spec->deadline, exchange) != GS_OK)
    return GS_EINVAL;
  if (key == NULL)
    return GS_OK;
  if (strlen (key) >= sizeof spec->key)
    return gs_error_set (GS_EINVAL, "Idempotency-Key is too long");
  g_strlcpy (spec->key, key, sizeof spec->key);
  return GS_OK;
}

static void
set_account (gs_request_spec_t *spec, const gs_account_t *account)
{
  g_strlcpy (spec->account, account->entry.name, sizeof spec->account);
  spec->priority = account->class_ref->priority;
}

static void
submit (gs_front_t *front, gs_request_spec_t *spec, gs_caller_t *caller)
{
  unsigned next = atomic_fetch_add (&front->next_worker, 1);

  gs_worker_submit (front->options.workers[next % front->options.worker_count],
                    spec, caller);
}

static void
handle_generation (gs_front_t *front, const gs_snapshot_t *snapshot,
                   const gs_account_t *account, gs_exchange_t *exchange,
                   bool chat)
{
  gs_request_spec_t spec = { 0 };
  size_t length;
  const char *body = gs_exchange_body (exchange, &length);
  gs_generation_options_t options = { 0 };
  gs_caller_t *caller;

  if (read_spec_headers (exchange, &spec) != GS_OK
      || gs_generation_read (&spec, &options, snapshot->catalogue, body,
                             length, chat)
             != GS_OK)
    {
      reject_bad_request (exchange, gs_error_last ());
      return;
    }
  if (gs_catalogue_model_resolve (snapshot->catalogue, spec.target) == NULL)
    {
      g_bytes_unref (spec.body);
      reject_input (exchange, 404, "unknown_model", "no such model", 0);
      return;
    }
  set_account (&spec, account);
  caller
      = gs_caller_create (exchange, chat ? GS_FORM_CHAT : GS_FORM_COMPLETION,
                          options.stream, spec.target);
  gs_caller_usage_set (caller, spec.prompt_tokens, spec.tokens_max,
                       options.stream_usage);
  submit (front, &spec, caller);
}

/* Sets the path as the caller sent it, still percent-encoded and with its
   query.  */
static gs_status_t
read_service_path (const gs_exchange_t *exchange, gs_request_spec_t *spec)
{
  const char *target = gs_exchange_target (exchange);
  const char *path;

  if (!g_str_has_prefix (target, SERVICES_PREFIX))
    return gs_error_set (GS_EINVAL,
                         "the path prefix must not be percent-encoded");
  path = strpbrk (target + sizeof SERVICES_PREFIX - 1, "/?");
  if (path == NULL)
    path = "/";
  if (strlen (path) + 1 >= sizeof spec->path)
    return gs_error_set (GS_EINVAL, "the path is longer than %d bytes",
                         GS_PATH_BYTES - 2);
  g_snprintf (spec->path, sizeof spec->path, "%s%s", *path == '?' ? "/" : "",
              path);
  return GS_OK;
}

/* Finds the service and sets the target and whether the call is idempotent.
   @p path is the end of the service's name and the start of the route.
   @return NULL if the service or a route for the path does not exist */
static const gs_service_t *
find_service (const gs_snapshot_t *snapshot, gs_request_spec_t *spec,
              const char *name, const char *path)
{
  const gs_service_t *service;

  if ((size_t)(path - name) >= sizeof spec->target)
    return NULL;
  g_strlcpy (spec->target, name, (gsize)(path - name) + 1);
  service = (const gs_service_t *)gs_catalogue_find (
      snapshot->catalogue, GS_KIND_SERVICE, spec->target);
  if (*path == '\0')
    path = "/";
  if (service == NULL || !gs_service_path_valid (path)
      || !gs_service_path_below (service->routes, path))
    return NULL;
  spec->idempotent = strcmp (spec->method, "GET") == 0
                     || gs_service_path_below (service->idempotent, path);
  return service;
}

/* A content type that is too long to store becomes the generic one, so the
   service has to detect the type itself.  */
static void
set_content_type (gs_request_spec_t *spec, const gs_exchange_t *exchange)
{
  const char *type = gs_exchange_header (exchange, "Content-Type");

  if (type != NULL && strlen (type) < sizeof spec->content_type)
    g_strlcpy (spec->content_type, type, sizeof spec->content_type);
  else if (type != NULL)
    g_strlcpy (spec->content_type, "application/octet-stream",
               sizeof spec->content_type);
}

static void
handle_service_call (gs_front_t *front, const gs_snapshot_t *snapshot,
                     const gs_account_t *account, gs_exchange_t *exchange,
                     const char *name)
{
  gs_request_spec_t spec = { .kind = GS_REQUEST_CALL };
  size_t length;
  const char *body = gs_exchange_body (exchange, &length);

  g_strlcpy (spec.method, gs_exchange_method (exchange), sizeof spec.method);
  if (find_service (snapshot, &spec, name, name + strcspn (name, "/")) == NULL)
    {
      reject_input (exchange, 404, "unknown_service",
                    "no such service or route", 0);
      return;
    }
  if (read_service_path (exchange, &spec) != GS_OK
      || read_spec_headers (exchange, &spec) != GS_OK)
    {
      reject_bad_request (exchange, gs_error_last ());
      return;
    }
  if (!spec.idempotent && spec.key[0] == '\0')
    {
      reject_bad_request (
          exchange,
          "a call that is not idempotent requires an Idempotency-Key");
      return;
    }
  set_account (&spec, account);
  set_content_type (&spec, exchange);
  spec.body = g_bytes_new (body, length);
  submit (front, &spec,
          gs_caller_create (exchange, GS_FORM_SERVICE, false, spec.target));
}

/* Lets a caller that lost its connection continue a request from any node.  */
static void
handle_lookup (gs_front_t *front, const gs_account_t *account,
               gs_exchange_t *exchange, const char *text)
{
  const char *offset_text = gs_exchange_query (exchange, "offset");
  const char *digest_text = gs_exchange_query (exchange, "digest");
  uint32_t offset = 0;
  uint64_t digest = 0;
  gs_request_id_t id;

  if (offset_text != NULL)
    offset = (uint32_t)g_ascii_strtoull (offset_text, NULL, 10);
  if (digest_text != NULL)
    digest = g_ascii_strtoull (digest_text, NULL, 16);
  if (gs_request_id_parse (&id, text) != GS_OK)
    reject_bad_request (exchange, gs_error_last ());
  else if (offset > 0 && digest_text == NULL)
    reject_bad_request (exchange,
                        "an offset requires the digest of the text before it");
  else
    gs_worker_fetch (gs_worker_by_sequence (front->options.workers,
                                            front->options.worker_count,
                                            id.sequence),
                     id, offset, offset > 0 ? digest : 0, account->entry.name,
                     gs_caller_create (exchange, GS_FORM_LOOKUP, true, ""));
}

static void
handle_authorised (gs_front_t *front, const gs_snapshot_t *snapshot,
                   const gs_account_t *account, gs_exchange_t *exchange)
{
  static const char requests_prefix[] = "/v1/requests/";
  const char *path = gs_exchange_path (exchange);
  const char *method = gs_exchange_method (exchange);
  bool post = strcmp (method, "POST") == 0;

  if (strcmp (path, "/v1/addresses") == 0 && strcmp (method, "GET") == 0)
    reply_addresses (front, snapshot, account, exchange);
  else if (strcmp (path, "/v1/completions") == 0 && post)
    handle_generation (front, snapshot, account, exchange, false);
  else if (strcmp (path, "/v1/chat/completions") == 0 && post)
    handle_generation (front, snapshot, account, exchange, true);
  else if (g_str_has_prefix (path, SERVICES_PREFIX)
           && (post || strcmp (method, "GET") == 0))
    handle_service_call (front, snapshot, account, exchange,
                         path + sizeof SERVICES_PREFIX - 1);
  else if (g_str_has_prefix (path, requests_prefix)
           && strcmp (method, "GET") == 0)
    handle_lookup (front, account, exchange,
                   path + sizeof requests_prefix - 1);
  else
    reject_input (exchange, 404, "unknown_path", "no such path or method", 0);
}

static void
on_exchange (void *context, gs_exchange_t *exchange)
{
  gs_front_t *front = context;
  gs_snapshot_reader_t *reader
      = gs_thread_reader (front->reader_key, front->options.hub);
  const gs_snapshot_t *snapshot = gs_snapshot_begin (reader);
  const char *key = gs_bearer_key (exchange);
  const gs_account_t *account = NULL;

  if (snapshot->catalogue != NULL && key != NULL)
    account = gs_catalogue_account_find_by_key (snapshot->catalogue, key);
  if (snapshot->catalogue == NULL)
    reject_input (exchange, 503, "not_ready", "no catalogue is in force",
                  GS_SEC);
  else if (account == NULL)
    reject_input (exchange, 401, "unauthorized",
                  "the account key is missing or invalid", 0);
  else
    handle_authorised (front, snapshot, account, exchange);
  gs_snapshot_end (reader);
}

gs_status_t
gs_front_create (gs_front_t **out, const gs_front_options_t *options)
{
  gs_front_t *front = g_new0 (gs_front_t, 1);
  gs_server_options_t server = GS_SERVER_OPTIONS_INIT;
  gs_status_t status;

  *out = NULL;
  front->options = *options;
  pthread_key_create (&front->reader_key, gs_thread_reader_release);
  server.address = options->settings->address;
  server.port = options->settings->caller_port;
  server.threads = SERVER_THREADS;
  server.connections_max = options->settings->connections_max;
  server.body_bytes_max = options->settings->body_bytes_max;
  server.bodies_bytes_max = options->settings->bodies_bytes_max;
  server.idle_seconds = options->settings->idle_seconds;
  server.receive_seconds = options->settings->receive_seconds;
  server.handler = on_exchange;
  server.context = front;
  status = gs_tls_load (&front->tls, &server, options->settings);
  if (status == GS_OK)
    status = gs_server_create (&front->server, &server);
  if (status != GS_OK)
    {
      gs_front_destroy (front);
      return status;
    }
  *out = front;
  return GS_OK;
}

void
gs_front_quiesce (gs_front_t *front)
{
  gs_server_quiesce (front->server);
}

unsigned
gs_front_open_count (gs_front_t *front)
{
  return gs_server_open_count (front->server);
}

size_t
gs_front_body_bytes (const gs_front_t *front)
{
  return gs_server_body_bytes (front->server);
}

uint16_t
gs_front_port (const gs_front_t *front)
{
  return gs_server_port (front->server);
}

void
gs_front_destroy (gs_front_t *front)
{
  if (front == NULL)
    return;
  gs_server_destroy (front->server);
  pthread_key_delete (front->reader_key);
  gs_tls_clear (&front->tls);
  g_free (front);
}
