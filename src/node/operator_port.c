#include "node/operator_port.h"

#include "node/front.h"
#include "node/tls.h"

#include <pthread.h>
#include <string.h>

#define CATALOGUE_BYTES_MAX ((size_t)1 << 20)

struct gs_operator_port
{
  gs_operator_port_options_t options;
  gs_server_t *server;
  gs_tls_t tls;
  pthread_key_t reader_key;
};

static void
reply_text (gs_exchange_t *exchange, unsigned status, const char *text)
{
  gs_exchange_reply (exchange, status, "text/plain", NULL, text,
                     strlen (text));
}

/* @return name of the operator whose key the exchange has, or NULL.  Without a
   catalogue there are no operator keys, so the key that the nodes share is
   accepted until the first generation is in force.  */
static const char *
find_operator (const gs_operator_port_t *port, const gs_snapshot_t *snapshot,
               const gs_exchange_t *exchange)
{
  const char *key = gs_bearer_key (exchange);
  const gs_operator_t *found;

  if (key == NULL)
    return NULL;
  if (snapshot->catalogue == NULL)
    return strcmp (key, port->options.settings->peer_key) == 0 ? "bootstrap"
                                                               : NULL;
  found = gs_catalogue_operator_find_by_key (snapshot->catalogue, key);
  return found != NULL ? found->entry.name : NULL;
}

static void
reply_unauthorized (gs_exchange_t *exchange)
{
  gs_reply_error (exchange, 401, "unauthorized",
                  "the operator key is missing or invalid", "", "not_run", 0);
}

/* Submits an edit of the catalogue.
   @param entry KIND/NAME of the entry to delete; NULL to put the body */
static void
submit_edit (gs_operator_port_t *port, const gs_snapshot_t *snapshot,
             gs_exchange_t *exchange, const char *entry)
{
  const char *name = find_operator (port, snapshot, exchange);
  const char *generation = gs_exchange_header (exchange, "If-Generation");
  const char *change_id = gs_exchange_header (exchange, "X-Change-Id");
  const char *whole_mode = gs_exchange_query (exchange, "whole");
  size_t length;
  const char *body = gs_exchange_body (exchange, &length);
  gs_edit_request_t *edit;

  if (name == NULL)
    {
      reply_unauthorized (exchange);
      return;
    }
  edit = g_new0 (gs_edit_request_t, 1);
  edit->exchange = gs_exchange_ref (exchange);
  if (entry == NULL)
    edit->text = g_string_new_len (body, (gssize)length);
  else
    edit->remove = g_strdelimit (g_strdup (entry), "/", ' ');
  edit->whole = g_strcmp0 (whole_mode, "1") == 0;
  if (generation != NULL)
    edit->generation = g_ascii_strtoull (generation, NULL, 10);
  edit->bootstrap = snapshot->catalogue == NULL;
  g_strlcpy (edit->operator_name, name, sizeof edit->operator_name);
  if (change_id != NULL)
    g_strlcpy (edit->change_id, change_id, sizeof edit->change_id);
  gs_control_edit_submit (port->options.control, edit);
}

/* Tables that show the activity of single callers require an operator key; the
   other tables are readable by anyone who can reach the port.  */
static void
reply_state (gs_operator_port_t *port, const gs_snapshot_t *snapshot,
             gs_exchange_t *exchange, const char *table)
{
  if (gs_state_table_is_private (table)
      && find_operator (port, snapshot, exchange) == NULL)
    reply_unauthorized (exchange);
  else
    gs_state_table_reply (&port->options.state, snapshot, exchange, table);
}

static void
reply_explain (gs_operator_port_t *port, const gs_snapshot_t *snapshot,
               gs_exchange_t *exchange, const char *id)
{
  if (find_operator (port, snapshot, exchange) == NULL)
    reply_unauthorized (exchange);
  else
    gs_state_decisions_reply (&port->options.state, exchange, id);
}

/* A snapshot expires if the control thread stops renewing it; an expired one
   does not count as ready.  */
static void
reply_ready (gs_exchange_t *exchange, const gs_snapshot_t *snapshot)
{
  bool ready = snapshot->ready && !snapshot->self_leaving
               && gs_clock_now () < snapshot->ready_until;

  reply_text (exchange, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
}

static void
reply_catalogue (const gs_snapshot_t *snapshot, gs_exchange_t *exchange)
{
  char generation[24];
  const char *headers[] = { "X-Generation", generation, NULL };
  const char *text = "";

  g_strlcpy (generation, "0", sizeof generation);
  if (snapshot->catalogue != NULL)
    {
      text = gs_catalogue_text (snapshot->catalogue);
      g_snprintf (
          generation, sizeof generation, "%llu",
          (unsigned long long)gs_catalogue_generation (snapshot->catalogue));
    }
  gs_exchange_reply (exchange, 200, "text/plain", headers, text,
                     strlen (text));
}

static void
on_exchange (void *context, gs_exchange_t *exchange)
{
  gs_operator_port_t *port = context;
  gs_snapshot_reader_t *reader
      = gs_thread_reader (port->reader_key, port->options.hub);
  const gs_snapshot_t *snapshot = gs_snapshot_begin (reader);
  const char *path = gs_exchange_path (exchange);
  static const char state_prefix[] = "/v1/state/";
  static const char explain_prefix[] = "/v1/explain/";
  static const char entry_prefix[] = "/v1/catalogue/";
  bool put = strcmp (gs_exchange_method (exchange), "PUT") == 0;

  if (strcmp (path, "/healthz") == 0)
    reply_text (exchange, 200, "ok\n");
  else if (strcmp (path, "/readyz") == 0)
    reply_ready (exchange, snapshot);
  else if (strcmp (path, "/metrics") == 0)
    gs_state_metrics_reply (&port->options.state, snapshot, exchange);
  else if (g_str_has_prefix (path, state_prefix))
    reply_state (port, snapshot, exchange, path + sizeof state_prefix - 1);
  else if (g_str_has_prefix (path, explain_prefix))
    reply_explain (port, snapshot, exchange, path + sizeof explain_prefix - 1);
  else if (strcmp (path, "/v1/catalogue") == 0 && put)
    submit_edit (port, snapshot, exchange, NULL);
  else if (g_str_has_prefix (path, entry_prefix)
           && strcmp (gs_exchange_method (exchange), "DELETE") == 0)
    submit_edit (port, snapshot, exchange, path + sizeof entry_prefix - 1);
  else if (strcmp (path, "/v1/catalogue") == 0)
    reply_catalogue (snapshot, exchange);
  else
    gs_reply_error (exchange, 404, "unknown_path", "no such path", "",
                    "not_run", 0);
  gs_snapshot_end (reader);
}

gs_status_t
gs_operator_port_create (gs_operator_port_t **out,
                         const gs_operator_port_options_t *options)
{
  gs_operator_port_t *port = g_new0 (gs_operator_port_t, 1);
  gs_server_options_t server = GS_SERVER_OPTIONS_INIT;
  gs_status_t status = GS_OK;

  *out = NULL;
  port->options = *options;
  pthread_key_create (&port->reader_key, gs_thread_reader_release);
  server.address = options->settings->address;
  server.port = options->settings->operator_port;
  server.body_bytes_max = CATALOGUE_BYTES_MAX;
  server.handler = on_exchange;
  server.context = port;
  if (options->settings->operator_tls)
    status = gs_tls_load (&port->tls, &server, options->settings);
  if (status == GS_OK)
    status = gs_server_create (&port->server, &server);
  if (status != GS_OK)
    gs_operator_port_destroy (port);
  else
    *out = port;
  return status;
}

uint16_t
gs_operator_port_number (const gs_operator_port_t *port)
{
  return gs_server_port (port->server);
}

void
gs_operator_port_destroy (gs_operator_port_t *port)
{
  if (port == NULL)
    return;
  gs_server_destroy (port->server);
  gs_tls_clear (&port->tls);
  pthread_key_delete (port->reader_key);
  g_free (port);
}
