#include "garnetstack/settings.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#define BODY_BYTES_MAX_DEFAULT (1024 * 1024)
#define BODIES_BYTES_MAX_DEFAULT (256 * 1024 * 1024)
#define CONNECTIONS_MAX_DEFAULT 4096
#define IDLE_SECONDS_DEFAULT 30
#define RECEIVE_SECONDS_DEFAULT 60
#define WORKERS_MAX 16

typedef struct
{
  GKeyFile *file;
  const char *path;
  gs_fault_cb_t on_fault;
  void *context;
  unsigned faults;
} settings_reader_t;

static void
report_fault (settings_reader_t *reader, const char *section, const char *key,
              const char *reason)
{
  reader->faults++;
  gs_error_set (GS_EINVAL, "%s: [%s] %s: %s", reader->path, section, key,
                reason);
  if (reader->on_fault != NULL)
    reader->on_fault (reader->context, reader->path, section, key, reason);
}

static void
read_text (settings_reader_t *reader, const char *section, const char *key,
           const char *fallback, char *out, size_t size)
{
  char *value = g_key_file_get_string (reader->file, section, key, NULL);

  if (value == NULL && fallback == NULL)
    report_fault (reader, section, key, "missing");
  else if (value != NULL && strlen (value) >= size)
    report_fault (reader, section, key, "too long");
  else
    g_strlcpy (out, value != NULL ? value : fallback, size);
  g_free (value);
}

static uint64_t
read_number (settings_reader_t *reader, const char *section, const char *key,
             int64_t fallback, uint64_t min, uint64_t max)
{
  char *text = g_key_file_get_string (reader->file, section, key, NULL);
  guint64 value = min;

  if (text == NULL && fallback < 0)
    report_fault (reader, section, key, "missing");
  else if (text == NULL)
    value = (guint64)fallback;
  else if (!g_ascii_string_to_unsigned (text, 10, min, max, &value, NULL))
    {
      report_fault (reader, section, key, "not a number within its range");
      value = min;
    }
  g_free (text);
  return value;
}

static const char *const known_keys[] = { "node/name",
                                          "node/address",
                                          "node/region",
                                          "node/data_centre",
                                          "node/caller_port",
                                          "node/operator_port",
                                          "node/peer_port",
                                          "node/workers",
                                          "limits/body_bytes",
                                          "limits/bodies_bytes",
                                          "limits/connections",
                                          "limits/idle_seconds",
                                          "limits/receive_seconds",
                                          "platform/url",
                                          "platform/weight_store",
                                          "security/peer_key",
                                          "security/tls_certificate",
                                          "security/tls_key",
                                          "security/operator_tls",
                                          "log/level",
                                          NULL };

static int
is_known_key (const char *section, const char *key)
{
  char *path = g_strdup_printf ("%s/%s", section, key);
  int known = g_strv_contains (known_keys, path);

  g_free (path);
  return known;
}

static void
reject_unknown_keys (settings_reader_t *reader)
{
  char **groups = g_key_file_get_groups (reader->file, NULL);

  for (char **group = groups; *group != NULL; group++)
    {
      char **keys = g_key_file_get_keys (reader->file, *group, NULL, NULL);

      for (char **key = keys; key != NULL && *key != NULL; key++)
        if (!is_known_key (*group, *key))
          report_fault (reader, *group, *key, "unknown key");
      g_strfreev (keys);
    }
  g_strfreev (groups);
}

static void
read_address (settings_reader_t *reader, gs_settings_t *out)
{
  struct in6_addr binary;

  read_text (reader, "node", "address", NULL, out->address,
             sizeof out->address);
  if (out->address[0] != '\0'
      && inet_pton (AF_INET, out->address, &binary) != 1
      && inet_pton (AF_INET6, out->address, &binary) != 1)
    report_fault (reader, "node", "address", "not an IP address");
}

static bool
read_flag (settings_reader_t *reader, const char *section, const char *key)
{
  GError *error = NULL;
  gboolean value;

  if (!g_key_file_has_key (reader->file, section, key, NULL))
    return false;
  value = g_key_file_get_boolean (reader->file, section, key, &error);
  if (error != NULL)
    {
      report_fault (reader, section, key, "neither true nor false");
      g_error_free (error);
    }
  return value;
}

static void
read_settings (settings_reader_t *reader, gs_settings_t *out)
{
  char level[GS_NAME_BYTES] = "";

#define TEXT(section, key, fallback, field)                                   \
  read_text (reader, section, key, fallback, out->field, sizeof out->field)
#define PORT(key) (uint16_t) read_number (reader, "node", key, -1, 1, 65535)
  TEXT ("node", "name", NULL, name);
  read_address (reader, out);
  TEXT ("node", "region", NULL, region);
  TEXT ("node", "data_centre", NULL, data_centre);
  out->caller_port = PORT ("caller_port");
  out->operator_port = PORT ("operator_port");
  out->peer_port = PORT ("peer_port");
  out->workers
      = (unsigned)read_number (reader, "node", "workers", 1, 1, WORKERS_MAX);
  out->body_bytes_max = read_number (reader, "limits", "body_bytes",
                                     BODY_BYTES_MAX_DEFAULT, 1024, 64 << 20);
  out->bodies_bytes_max
      = read_number (reader, "limits", "bodies_bytes",
                     BODIES_BYTES_MAX_DEFAULT, 1024, 64UL << 30);
  out->connections_max = (unsigned)read_number (
      reader, "limits", "connections", CONNECTIONS_MAX_DEFAULT, 8, 65536);
  out->idle_seconds = (unsigned)read_number (reader, "limits", "idle_seconds",
                                             IDLE_SECONDS_DEFAULT, 1, 3600);
  out->receive_seconds = (unsigned)read_number (
      reader, "limits", "receive_seconds", RECEIVE_SECONDS_DEFAULT, 1, 3600);
  TEXT ("platform", "url", NULL, platform_url);
  TEXT ("platform", "weight_store", "", weight_store_url);
  TEXT ("security", "peer_key", NULL, peer_key);
  TEXT ("security", "tls_certificate", "", tls_certificate);
  TEXT ("security", "tls_key", "", tls_key);
  out->operator_tls = read_flag (reader, "security", "operator_tls");
  if (out->operator_tls && out->tls_certificate[0] == '\0')
    report_fault (reader, "security", "operator_tls",
                  "requires tls_certificate");
  read_text (reader, "log", "level", "info", level, sizeof level);
#undef TEXT
#undef PORT
  if (gs_log_level_parse (&out->log_level, level) != GS_OK)
    report_fault (reader, "log", "level",
                  "must be error, warn, info or debug");
  if ((out->tls_certificate[0] == '\0') != (out->tls_key[0] == '\0'))
    report_fault (reader, "security", "tls_key",
                  "tls_certificate and tls_key must be set together");
}

gs_status_t
gs_settings_read (gs_settings_t *out, const char *path, gs_fault_cb_t on_fault,
                  void *context)
{
  settings_reader_t reader = { g_key_file_new (), path, on_fault, context, 0 };
  GError *error = NULL;

  memset (out, 0, sizeof *out);
  if (!g_key_file_load_from_file (reader.file, path, G_KEY_FILE_NONE, &error))
    {
      report_fault (&reader, "-", "-", error->message);
      g_error_free (error);
      goto cleanup;
    }
  reject_unknown_keys (&reader);
  read_settings (&reader, out);

cleanup:
  g_key_file_free (reader.file);
  return reader.faults == 0 ? GS_OK : GS_EINVAL;
}
