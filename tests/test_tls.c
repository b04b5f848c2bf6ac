/* Callers and operators connect over TLS.  The certificate is self-signed and
   was made for this test.  */
#include "check.h"

#include "node/front.h"
#include "node/operator_port.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define CALL_TIMEOUT_SECONDS 20L

typedef struct
{
  char certificate[GS_URL_BYTES];
  char key[GS_URL_BYTES];
} tls_paths_t;

static tls_paths_t
test_certificate_paths (void)
{
  const char *source = getenv ("GS_SOURCE");
  tls_paths_t paths;

  CU_ASSERT_PTR_NOT_NULL_FATAL (source);
  g_snprintf (paths.certificate, sizeof paths.certificate,
              "%s/tests/data/tls_certificate.pem", source);
  g_snprintf (paths.key, sizeof paths.key, "%s/tests/data/tls_key.pem",
              source);
  return paths;
}

static gs_status_t
create_front (gs_front_t **out, gs_snapshot_hub_t *hub,
              const char *certificate, const char *key)
{
  static gs_settings_t settings;
  gs_front_options_t options = { .settings = &settings, .hub = hub };

  settings = (gs_settings_t){ .connections_max = 16,
                              .body_bytes_max = 4096,
                              .bodies_bytes_max = 65536,
                              .idle_seconds = 5,
                              .receive_seconds = 60 };
  g_strlcpy (settings.name, "n", sizeof settings.name);
  g_strlcpy (settings.address, "127.0.0.1", sizeof settings.address);
  g_strlcpy (settings.tls_certificate, certificate,
             sizeof settings.tls_certificate);
  g_strlcpy (settings.tls_key, key, sizeof settings.tls_key);
  return gs_front_create (out, &options);
}

static size_t
append_body (char *data, size_t size, size_t count, void *context)
{
  g_string_append_len (context, data, (gssize)(size * count));
  return size * count;
}

/* @param status receives the HTTP status, 0 without a response.  */
static CURLcode
get_addresses (const gs_front_t *front, const char *scheme,
               const char *ca_file, long *status, GString *body)
{
  CURL *easy = curl_easy_init ();
  char *url = g_strdup_printf ("%s://127.0.0.1:%u/v1/addresses", scheme,
                               (unsigned)gs_front_port (front));
  CURLcode code;

  *status = 0;
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_TIMEOUT, CALL_TIMEOUT_SECONDS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, body);
  if (ca_file != NULL)
    curl_easy_setopt (easy, CURLOPT_CAINFO, ca_file);
  code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, status);
  curl_easy_cleanup (easy);
  g_free (url);
  return code;
}

static void
callers_check_the_certificate (void)
{
  tls_paths_t paths = test_certificate_paths ();
  GString *body = g_string_new (NULL);
  gs_snapshot_hub_t *hub;
  gs_front_t *front;
  long status;

  gs_snapshot_hub_create (&hub);
  CU_ASSERT_EQUAL_FATAL (
      create_front (&front, hub, paths.certificate, paths.key), GS_OK);
  CU_ASSERT_EQUAL (
      get_addresses (front, "https", paths.certificate, &status, body),
      CURLE_OK);
  CU_ASSERT_EQUAL (status, 503);
  CU_ASSERT_PTR_NOT_NULL (strstr (body->str, "\"not_ready\""));
  CU_ASSERT_EQUAL (get_addresses (front, "https", NULL, &status, body),
                   CURLE_PEER_FAILED_VERIFICATION);
  CU_ASSERT_NOT_EQUAL (get_addresses (front, "http", NULL, &status, body),
                       CURLE_OK);
  gs_front_destroy (front);
  gs_snapshot_hub_destroy (hub);
  g_string_free (body, TRUE);
}

/* @return exit code of the operators' client: 0 for success, 5 if the node is
   unreachable.  */
static int
run_state_command (unsigned port, const char *ca_file)
{
  char *command = g_strdup_printf (
      "%s state nodes --node https://127.0.0.1:%u%s%s", getenv ("GS_BINARY"),
      port, ca_file != NULL ? " --ca-file " : "",
      ca_file != NULL ? ca_file : "");
  char *ignored = NULL;
  char *errors = NULL;
  int status = -1;

  CU_ASSERT_TRUE_FATAL (
      g_spawn_command_line_sync (command, &ignored, &errors, &status, NULL));
  g_free (errors);
  g_free (ignored);
  g_free (command);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

static void
operators_check_the_certificate (void)
{
  tls_paths_t paths = test_certificate_paths ();
  gs_settings_t settings = { .operator_tls = true };
  gs_operator_port_options_t options = { .settings = &settings };
  gs_operator_port_t *port;

  g_strlcpy (settings.name, "n", sizeof settings.name);
  g_strlcpy (settings.address, "127.0.0.1", sizeof settings.address);
  g_strlcpy (settings.tls_certificate, paths.certificate,
             sizeof settings.tls_certificate);
  g_strlcpy (settings.tls_key, paths.key, sizeof settings.tls_key);
  options.state.settings = &settings;
  gs_snapshot_hub_create (&options.hub);
  CU_ASSERT_EQUAL_FATAL (gs_operator_port_create (&port, &options), GS_OK);
  CU_ASSERT_EQUAL (
      run_state_command (gs_operator_port_number (port), paths.certificate),
      0);
  CU_ASSERT_EQUAL (run_state_command (gs_operator_port_number (port), NULL),
                   5);
  gs_operator_port_destroy (port);
  gs_snapshot_hub_destroy (options.hub);
}

static void
missing_or_invalid_files_prevent_startup (void)
{
  tls_paths_t paths = test_certificate_paths ();
  const struct
  {
    const char *certificate;
    const char *key;
  } cases[] = {
    { "/nonexistent", paths.key },
    { paths.certificate, "/nonexistent" },
    { paths.key, paths.certificate },
    { paths.certificate, paths.certificate },
  };
  gs_snapshot_hub_t *hub;

  gs_snapshot_hub_create (&hub);
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      gs_front_t *front;

      CU_ASSERT_EQUAL (
          create_front (&front, hub, cases[i].certificate, cases[i].key),
          GS_EIO);
      CU_ASSERT_PTR_NULL (front);
    }
  gs_snapshot_hub_destroy (hub);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "callers_check_the_certificate", callers_check_the_certificate },
    { "operators_check_the_certificate", operators_check_the_certificate },
    { "missing_or_invalid_files_prevent_startup",
      missing_or_invalid_files_prevent_startup },
  };
  int result;

  curl_global_init (CURL_GLOBAL_DEFAULT);
  result = CHECK_RUN ("tls", cases);
  curl_global_cleanup ();
  return result;
}
