#include "cmd/client.h"

#include "cmd/cmd.h"

#include <curl/curl.h>
#include <string.h>

#define CALL_TIMEOUT_SEC 30L
#define CONNECT_TIMEOUT_SEC 5L

static size_t
on_body (char *data, size_t size, size_t count, void *context)
{
  g_string_append_len (context, data, (gssize)(size * count));
  return size * count;
}

static size_t
on_header (char *data, size_t size, size_t count, void *context)
{
  static const char header_name[] = "X-Generation:";
  gs_client_response_t *response = context;

  if (size * count > sizeof header_name
      && g_ascii_strncasecmp (data, header_name, sizeof header_name - 1) == 0)
    response->generation
        = g_ascii_strtoull (data + sizeof header_name - 1, NULL, 10);
  return size * count;
}

static struct curl_slist *
make_headers (const gs_node_options_t *options,
              const gs_client_request_t *request)
{
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  char *text;

  if (options->key != NULL)
    {
      text = g_strdup_printf ("Authorization: Bearer %s", options->key);
      headers = curl_slist_append (headers, text);
      g_free (text);
    }
  if (request->change_id != NULL)
    {
      text = g_strdup_printf ("X-Change-Id: %s", request->change_id);
      headers = curl_slist_append (headers, text);
      g_free (text);
    }
  text = g_strdup_printf ("If-Generation: %llu",
                          (unsigned long long)request->if_generation);
  headers = curl_slist_append (headers, text);
  g_free (text);
  return headers;
}

static gs_status_t
call_status (CURLcode code, const char *url)
{
  switch (code)
    {
    case CURLE_OK:
      return GS_OK;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_PEER_FAILED_VERIFICATION:
    case CURLE_SSL_CONNECT_ERROR:
    case CURLE_SSL_CACERT_BADFILE:
      return gs_error_set (GS_EUNREACHABLE, "%s: %s", url,
                           curl_easy_strerror (code));
    default:
      return gs_error_set (GS_EUNKNOWN, "%s: %s", url,
                           curl_easy_strerror (code));
    }
}

gs_status_t
gs_client_call_node (gs_client_response_t *out,
                     const gs_node_options_t *options, unsigned index,
                     const gs_client_request_t *request)
{
  CURL *easy = curl_easy_init ();
  struct curl_slist *headers = make_headers (options, request);
  char *url = g_strconcat (options->nodes[index], request->path, NULL);
  CURLcode code;
  gs_status_t status;

  memset (out, 0, sizeof *out);
  out->body = g_string_new (NULL);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  if (options->ca_file != NULL)
    curl_easy_setopt (easy, CURLOPT_CAINFO, options->ca_file);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT, CALL_TIMEOUT_SEC);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT, CONNECT_TIMEOUT_SEC);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, out->body);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, out);
  if (request->body != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, request->body);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE,
                        (long)strlen (request->body));
    }
  code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &out->http_status);
  status = call_status (code, url);
  g_free (url);
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  return status;
}

gs_status_t
gs_client_call (gs_client_response_t *out, const gs_node_options_t *options,
                const gs_client_request_t *request)
{
  gs_status_t status = GS_EUNREACHABLE;

  memset (out, 0, sizeof *out);
  for (unsigned i = 0; options->nodes[i] != NULL; i++)
    {
      gs_client_response_clear (out);
      status = gs_client_call_node (out, options, i, request);
      if (status != GS_EUNREACHABLE)
        break;
    }
  return status;
}

void
gs_client_response_clear (gs_client_response_t *response)
{
  if (response->body != NULL)
    g_string_free (response->body, TRUE);
  response->body = NULL;
}

int
gs_client_exit_code (long http_status)
{
  if (http_status >= 200 && http_status < 300)
    return GS_EXIT_OK;
  if (http_status == 409)
    return GS_EXIT_CONFLICT;
  if (http_status == 503)
    return GS_EXIT_UNREACHABLE;
  return GS_EXIT_REJECTED;
}

int
gs_client_error_print (const char *command,
                       const gs_client_response_t *response)
{
  json_t *root
      = json_loadb (response->body->str, response->body->len, 0, NULL);
  const json_t *error = json_object_get (root, "error");
  const char *type = json_string_value (json_object_get (error, "type"));
  const char *message = json_string_value (json_object_get (error, "message"));
  const json_t *fault;
  size_t i;

  fprintf (stderr, "garnetstack %s: %s: %s\n", command,
           type != NULL ? type : "error",
           message != NULL ? message : response->body->str);
  json_array_foreach (json_object_get (root, "faults"), i, fault)
      fprintf (stderr, "[%s] %s: %s\n",
               json_string_value (json_object_get (fault, "section")),
               json_string_value (json_object_get (fault, "key")),
               json_string_value (json_object_get (fault, "reason")));
  json_decref (root);
  return gs_client_exit_code (response->http_status);
}

int
gs_client_failure_print (const char *command, gs_status_t status)
{
  fprintf (stderr, "garnetstack %s: %s: %s\n", command,
           gs_status_name (status), gs_error_last ());
  return GS_EXIT_UNREACHABLE;
}
