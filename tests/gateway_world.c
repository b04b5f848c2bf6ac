#include "gateway_world_private.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define READY_TIMEOUT (15 * GS_SEC)
#define RESPONSE_TIMEOUT (8 * GS_SEC)
#define POLL_INTERVAL_USEC 10000

void
gw_replica_publish (gateway_world_t *world, unsigned index, const char *state)
{
  world_replica_t *replica = &world->replicas[index];
  char *address = g_strdup_printf ("127.0.0.1:%u", replica->port);
  json_t *entry = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i}", "service", "pool", "address",
      address, "zone",
      replica->data_centre != NULL ? replica->data_centre : "a", "version",
      replica->version != NULL ? replica->version : "v1", "slots", WORLD_SLOTS,
      "state", state, "cold_left_ms", 0, "sequence", 1);

  if (replica->started_ms != 0)
    json_object_set_new (entry, "born", json_integer (replica->started_ms));
  gw_object_put (world, "servers", replica->id, entry);
  g_free (address);
}

void
gw_replicas_age_set (gateway_world_t *world, gs_time_t age)
{
  for (unsigned i = 0; i < world->replica_count; i++)
    {
      world->replicas[i].started_ms = (gs_clock_wall () - age) / GS_MSEC;
      gw_replica_publish (world, i, "ready");
    }
}

void
gw_replica_version_set (gateway_world_t *world, unsigned index,
                        const char *version)
{
  world_replica_t *replica = &world->replicas[index];

  gw_object_remove (world, "servers", replica->id);
  pthread_mutex_lock (&world->lock);
  replica->crashed_at = 0;
  pthread_mutex_unlock (&world->lock);
  raw_server_crash (replica->server);
  raw_server_restart (replica->server);
  pthread_mutex_lock (&world->lock);
  replica->version = version;
  g_snprintf (replica->id, sizeof replica->id, "i-%u-%u", index,
              ++replica->starts);
  pthread_mutex_unlock (&world->lock);
  gw_replica_publish (world, index, "ready");
}

void
gw_replica_start_again (gateway_world_t *world, unsigned index, bool restarts)
{
  world_replica_t *replica = &world->replicas[index];

  if (restarts)
    {
      raw_server_crash (replica->server);
      raw_server_restart (replica->server);
    }
  replica->started_ms = gs_clock_wall () / GS_MSEC;
  gw_replica_publish (world, index, "ready");
}

void
gw_replicas_restart (gateway_world_t *world)
{
  for (unsigned i = 0; i < world->replica_count; i++)
    {
      world_replica_t *replica = &world->replicas[i];
      bool due;

      pthread_mutex_lock (&world->lock);
      due = replica->crashed_at != 0
            && gs_clock_now () > replica->crashed_at + WORLD_RESTART_TIME;
      pthread_mutex_unlock (&world->lock);
      if (!due)
        continue;
      gw_object_remove (world, "servers", replica->id);
      raw_server_restart (replica->server);
      g_snprintf (replica->id, sizeof replica->id, "i-%u-%u", i,
                  ++replica->starts);
      pthread_mutex_lock (&world->lock);
      replica->crashed_at = 0;
      pthread_mutex_unlock (&world->lock);
      gw_replica_publish (world, i, "ready");
    }
}

static json_t *
route_create (const char *name, const char *prefix, const char *kind,
              bool resumable, unsigned max_attempts)
{
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b, s:b, s:b, s:i}",
      "name", name, "host", "Caller.Example", "path_prefix", prefix,
      "route_kind", kind, "timeout_ms", 3000, "goal_ms", 1000, "priority", 1,
      "service", "pool", "max_attempts", (int)max_attempts, "anonymous", 0,
      "session_affinity", 0, "stream_resume", resumable, "gap_aim_ms", 400);
}

static uint64_t
configuration_write (gateway_world_t *world, unsigned version,
                     const char *prefix, const char *key, const char *unit,
                     unsigned rate, unsigned burst)
{
  json_t *routes = json_array ();
  char *names[] = { "never", "free", "stream/once", "stream/resume" };

  for (unsigned i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char *path = g_strdup_printf ("%s%s/", prefix, names[i]);

      json_array_append_new (routes,
                             route_create (names[i], path,
                                           i == 0   ? "non_idempotent"
                                           : i == 1 ? "idempotent"
                                                    : "streaming",
                                           i == 3, i == 0 || i == 2 ? 1 : 2));
      g_free (path);
    }
  return gw_object_put (
      world, "config", "main",
      json_pack ("{s:i, s:o, s:[{s:s, s:s, s:i}], s:{s:i, s:i, s:i, s:i},"
                 " s:[{s:s, s:[s], s:i, s:s, s:i, s:i, s:i}]}",
                 "version", (int)version, "routes", routes, "services", "name",
                 "pool", "health_path", WORLD_HEALTH_PATH, "max_conns", 100,
                 "limits", "max_header_bytes", 16384, "max_body_bytes", 100000,
                 "header_timeout_ms", 3000, "idle_timeout_ms", 15000,
                 "tenants", "name", WORLD_ACCOUNT, "api_keys", key, "priority",
                 1, "unit", unit, "plain_tokens", 1, "rate_per_s", (int)rate,
                 "burst", (int)burst));
}

uint64_t
gw_configure (gateway_world_t *world, unsigned version, const char *prefix,
              const char *key)
{
  return configuration_write (world, version, prefix, key, "token_count", 0,
                              0);
}

uint64_t
gw_configure_limit (gateway_world_t *world, unsigned version, const char *unit,
                    unsigned rate, unsigned burst)
{
  return configuration_write (world, version, "/a/", WORLD_API_KEY, unit, rate,
                              burst);
}

static void
arrival_free (gpointer data)
{
  arrival_t *arrival = data;

  g_free (arrival->head);
  g_free (arrival->first_line);
  g_string_free (arrival->body, TRUE);
  g_free (arrival);
}

static void
object_unref (gpointer object)
{
  json_decref (object);
}

void
gw_create (gateway_world_t *world, unsigned replicas)
{
  *world = (gateway_world_t){ .revision = 10,
                              .rejections_max = WORLD_BRITTLE_DEFAULT,
                              .room = WORLD_SLOTS };
  pthread_mutex_init (&world->lock, NULL);
  pthread_cond_init (&world->changed, NULL);
  world->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_unref);
  world->history = json_array ();
  world->usage_reports = json_array ();
  world->orders = json_array ();
  world->arrivals = g_ptr_array_new_with_free_func (arrival_free);
  world->arrivals_of = g_hash_table_new_full (
      g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
  world->path_gateways = WORLD_GATEWAYS_DEFAULT;
  world->crashes = g_array_new (FALSE, FALSE, sizeof (gs_time_t));
  world->directory = g_dir_make_tmp ("gateway-XXXXXX", NULL);
  for (unsigned i = 0; i < WORLD_GATEWAYS_MAX; i++)
    {
      world->stores[i].world = world;
      world->stores[i].gateway = i;
      raw_server_create (&world->stores[i].server, world_serve_store,
                         &world->stores[i]);
    }
  raw_server_create (&world->provider, world_serve_provider, world);
  world->replica_count = replicas;
  for (unsigned i = 0; i < replicas; i++)
    {
      world_replica_t *replica = &world->replicas[i];

      replica->world = world;
      replica->index = i;
      g_snprintf (replica->id, sizeof replica->id, "i-%u", i);
      raw_server_create (&replica->server, world_serve_replica, replica);
      replica->port = raw_server_port (replica->server);
      gw_replica_publish (world, i, "ready");
    }
}

void
gw_paths_create (gateway_world_t *world)
{
  for (unsigned i = 0; i < world->path_gateways; i++)
    for (unsigned j = 0; j < world->replica_count; j++)
      raw_proxy_create (&world->paths[i][j], world->replicas[j].port);
}

void
gw_paths_set_mode (gateway_world_t *world, unsigned gateway, proxy_mode_t mode)
{
  for (unsigned i = 0; i < world->replica_count; i++)
    raw_proxy_set_mode (world->paths[gateway][i], mode);
}

static void
ports_reserve (world_gateway_t *gateway, unsigned host)
{
  reserved_port_take (&gateway->caller_port, host);
  reserved_port_take (&gateway->readiness_port, host);
  reserved_port_take (&gateway->address_port, host);
  reserved_port_take (&gateway->peer_port, host);
  reserved_port_take (&gateway->metrics_port, host);
}

static void
ports_release (world_gateway_t *gateway)
{
  reserved_port_release (&gateway->caller_port);
  reserved_port_release (&gateway->readiness_port);
  reserved_port_release (&gateway->address_port);
  reserved_port_release (&gateway->peer_port);
  reserved_port_release (&gateway->metrics_port);
}

/* @return the number that gateway INDEX adds to 127.0.0.0 for its address.  */
static unsigned
gateway_host (unsigned index)
{
  return index + 2;
}

static void
settings_write (gateway_world_t *world, unsigned index)
{
  world_gateway_t *gateway = &world->gateways[index];
  unsigned host = gateway_host (index);
  char *seeds = index == 0
                    ? g_strdup ("")
                    : g_strdup_printf ("seed_nodes=127.0.0.2:%u\n",
                                       world->gateways[0].peer_port.port);
  char *text = g_strdup_printf (
      "node=%s\nzone=%s\nregion=r\nbind.front=127.0.0.%u:%u\n"
      "bind.ready=127.0.0.%u:%u\nbind.directory=127.0.0.%u:%u\n"
      "bind.control=127.0.0.%u:%u\n%splatform.address=127.0.0.1:%u\n"
      "provider.address=127.0.0.1:%u\nlimits.max_fds=3000\n"
      "bounds.window_s=%u\nbounds.usage_late_s=10\nbounds.lease_ms=%u\n"
      "bounds.grace_s=8\nbounds.drain_ms=2000\nbounds.retry_slack=50\n"
      "bootstrap=%s\nunknown.key=1\n%s",
      gateway->name, gateway->data_centre != NULL ? gateway->data_centre : "a",
      host, gateway->caller_port.port, host, gateway->readiness_port.port,
      host, gateway->address_port.port, host, gateway->peer_port.port, seeds,
      raw_server_port (world->stores[index].server),
      raw_server_port (world->provider),
      world->window_s != 0 ? world->window_s : 1,
      world->lease_ms != 0 ? world->lease_ms : 500,
      world->started_before ? "false" : "true",
      world->settings != NULL ? world->settings : "");

  g_file_set_contents (gateway->settings_path, text, -1, NULL);
  g_free (text);
  g_free (seeds);
}

static void
gateway_exec (const world_gateway_t *gateway, const char *preload,
              unsigned descriptors_max)
{
  const struct rlimit descriptors = { descriptors_max, descriptors_max };
  const char *binary = getenv ("GS_BINARY");
  char metrics[8];

  if (binary == NULL)
    _exit (127);
  g_snprintf (metrics, sizeof metrics, "%u", gateway->metrics_port.port);
  int log = open (gateway->log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (preload != NULL)
    setenv ("LD_PRELOAD", preload, true);
  dup2 (log, STDOUT_FILENO);
  dup2 (log, STDERR_FILENO);
  if (descriptors_max != 0)
    setrlimit (RLIMIT_NOFILE, &descriptors);
  execl (binary, binary, "gateway", "--config", gateway->settings_path,
         "--metrics-port", metrics,
         gateway->crossing != NULL ? "--crossing" : NULL, gateway->crossing,
         NULL);
  _exit (127);
}

void
gw_start (gateway_world_t *world, unsigned index, bool ready)
{
  world_gateway_t *gateway = &world->gateways[index];
  gs_time_t deadline = gs_clock_now () + READY_TIMEOUT;

  if (gateway->settings_path == NULL)
    {
      g_snprintf (gateway->name, sizeof gateway->name, "node-%u", index);
      ports_reserve (gateway, gateway_host (index));
      gateway->settings_path
          = g_strdup_printf ("%s/%s.conf", world->directory, gateway->name);
      gateway->log_path
          = g_strdup_printf ("%s/%s.log", world->directory, gateway->name);
      settings_write (world, index);
    }
  else if (world->started_before)
    settings_write (world, index);
  gateway->pid = fork ();
  if (gateway->pid == 0)
    gateway_exec (gateway, world->preload, world->descriptors_max);
  while (ready && !gw_is_ready (world, index))
    {
      if (gs_clock_now () > deadline)
        {
          fprintf (stderr, "%s is not ready, see %s\n", gateway->name,
                   gateway->log_path);
          exit (1);
        }
      g_usleep (POLL_INTERVAL_USEC);
    }
}

void
gw_signal (gateway_world_t *world, unsigned index, int number)
{
  world_gateway_t *gateway = &world->gateways[index];

  if (gateway->pid == 0)
    return;
  kill (gateway->pid, number);
  if (number == SIGKILL)
    {
      waitpid (gateway->pid, NULL, 0);
      gateway->pid = 0;
    }
}

unsigned
gw_peak_memory_mb (const gateway_world_t *world, unsigned index)
{
  char *path = g_strdup_printf ("/proc/%d/status", world->gateways[index].pid);
  char *text = NULL;
  const char *line;
  unsigned kilobytes = 0;

  if (g_file_get_contents (path, &text, NULL, NULL)
      && (line = strstr (text, "VmHWM:")) != NULL)
    kilobytes = (unsigned)strtoul (line + strlen ("VmHWM:"), NULL, 10);
  g_free (text);
  g_free (path);
  return kilobytes / 1024;
}

bool
gw_wait_exit (gateway_world_t *world, unsigned index, gs_time_t deadline)
{
  world_gateway_t *gateway = &world->gateways[index];

  while (gs_clock_now () < deadline)
    {
      if (waitpid (gateway->pid, NULL, WNOHANG) == gateway->pid)
        {
          gateway->pid = 0;
          return true;
        }
      g_usleep (POLL_INTERVAL_USEC);
    }
  return false;
}

static bool
gateway_connect (raw_conn_t *conn, unsigned index, uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  conn->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  conn->received = g_string_new (NULL);
  address.sin_port = htons (port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK - 1 + gateway_host (index));
  if (connect (conn->fd, (struct sockaddr *)&address, sizeof address) == 0)
    return true;
  raw_close (conn);
  return false;
}

bool
gw_is_ready (gateway_world_t *world, unsigned index)
{
  raw_conn_t conn;
  GString *answer;
  bool ready;

  if (!gateway_connect (&conn, index,
                        world->gateways[index].readiness_port.port))
    return false;
  raw_printf (&conn, "GET /garnetstack/ready HTTP/1.1\r\nHost: x\r\n"
                     "Connection: close\r\n\r\n");
  answer = raw_read_until (&conn, GS_SEC, NULL);
  ready = g_str_has_prefix (answer->str, "HTTP/1.1 200");
  g_string_free (answer, TRUE);
  raw_close (&conn);
  return ready;
}

char *
gw_metrics_get (gateway_world_t *world, unsigned index)
{
  raw_conn_t conn;
  GString *answer;

  if (!gateway_connect (&conn, index,
                        world->gateways[index].metrics_port.port))
    return g_strdup ("");
  raw_printf (&conn, "GET /metrics HTTP/1.1\r\nHost: x\r\n"
                     "Connection: close\r\n\r\n");
  answer = raw_read_until (&conn, GS_SEC, NULL);
  raw_close (&conn);
  return g_string_free (answer, FALSE);
}

char *
gw_addresses_get (gateway_world_t *world, unsigned index)
{
  raw_conn_t conn;
  GString *answer;

  if (!gateway_connect (&conn, index,
                        world->gateways[index].address_port.port))
    return g_strdup ("");
  raw_printf (&conn,
              "GET /garnetstack/resolve?name=caller.example&region=r&zone=a"
              " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  answer = raw_read_until (&conn, GS_SEC, NULL);
  raw_close (&conn);
  return g_string_free (answer, FALSE);
}

GString *
gw_copy_get (gateway_world_t *world, unsigned index, const char *path,
             const char *headers)
{
  raw_conn_t conn;
  GString *answer;

  if (!gateway_connect (&conn, index, world->gateways[index].peer_port.port))
    return g_string_new (NULL);
  raw_printf (&conn,
              "GET %s HTTP/1.1\r\nHost: x\r\n%s"
              "Connection: close\r\n\r\n",
              path, headers);
  answer = raw_read_until (&conn, GS_SEC, NULL);
  raw_close (&conn);
  return answer;
}

bool
gw_wait_until (bool (*condition) (void *), void *context, gs_time_t timeout)
{
  gs_time_t deadline = gs_clock_now () + timeout;

  while (!condition (context))
    {
      if (gs_clock_now () > deadline)
        return false;
      g_usleep (POLL_INTERVAL_USEC);
    }
  return true;
}

bool
gw_connect (raw_conn_t *conn, gateway_world_t *world, unsigned index)
{
  return gateway_connect (conn, index,
                          world->gateways[index].caller_port.port);
}

void
gw_send (raw_conn_t *conn, const char *method, const char *target,
         const char *id, const char *extra, const char *body)
{
  raw_printf (conn,
              "%s %s HTTP/1.1\r\nHost: caller.example\r\nX-Attempt-Id: %s\r\n"
              "X-Deadline-Ms: 2500\r\nX-Api-Key: " WORLD_API_KEY "\r\n%s",
              method, target, id, extra);
  if (body != NULL)
    raw_printf (conn, "Content-Length: %zu\r\n\r\n%s", strlen (body), body);
  else
    raw_printf (conn, "\r\n");
}

char *
gw_request (gateway_world_t *world, unsigned index, const char *method,
            const char *target, const char *id, const char *extra,
            const char *body)
{
  raw_conn_t conn;
  GString *answer;
  char *closing = g_strconcat ("Connection: close\r\n", extra, NULL);

  if (!gw_connect (&conn, world, index))
    {
      g_free (closing);
      return g_strdup ("");
    }
  gw_send (&conn, method, target, id, closing, body);
  answer = raw_read_until (&conn, RESPONSE_TIMEOUT, NULL);
  raw_close (&conn);
  g_free (closing);
  return g_string_free (answer, FALSE);
}

unsigned
gw_arrivals_count (gateway_world_t *world, const char *id)
{
  const GPtrArray *arrivals;
  unsigned count = 0;

  pthread_mutex_lock (&world->lock);
  arrivals = world_arrivals_locked (world, id);
  for (guint i = 0; arrivals != NULL && i < arrivals->len; i++)
    count += !((const arrival_t *)arrivals->pdata[i])->refused;
  pthread_mutex_unlock (&world->lock);
  return count;
}

bool
gw_arrival_answered (gateway_world_t *world, const char *id)
{
  const GPtrArray *arrivals;
  bool answered = false;

  pthread_mutex_lock (&world->lock);
  arrivals = world_arrivals_locked (world, id);
  for (guint i = 0; arrivals != NULL && i < arrivals->len; i++)
    answered |= ((const arrival_t *)arrivals->pdata[i])->answered;
  pthread_mutex_unlock (&world->lock);
  return answered;
}

const arrival_t *
gw_arrival_find (gateway_world_t *world, const char *id)
{
  const arrival_t *found = NULL;

  pthread_mutex_lock (&world->lock);
  for (guint i = 0; i < world->arrivals->len && found == NULL; i++)
    if (strcmp (((arrival_t *)world->arrivals->pdata[i])->id, id) == 0)
      found = world->arrivals->pdata[i];
  pthread_mutex_unlock (&world->lock);
  return found;
}

static void
directory_remove (gateway_world_t *world)
{
  for (unsigned i = 0; i < WORLD_GATEWAYS_MAX; i++)
    if (world->gateways[i].settings_path != NULL)
      {
        g_unlink (world->gateways[i].settings_path);
        g_unlink (world->gateways[i].log_path);
      }
  g_rmdir (world->directory);
}

void
gw_destroy (gateway_world_t *world)
{
  pthread_mutex_lock (&world->lock);
  world->stopping = true;
  pthread_cond_broadcast (&world->changed);
  pthread_mutex_unlock (&world->lock);
  for (unsigned i = 0; i < WORLD_GATEWAYS_MAX; i++)
    gw_signal (world, i, SIGKILL);
  for (unsigned i = 0; i < WORLD_GATEWAYS_MAX; i++)
    raw_server_destroy (world->stores[i].server);
  for (unsigned i = 0; i < WORLD_GATEWAYS_MAX; i++)
    for (unsigned j = 0; j < world->replica_count; j++)
      raw_proxy_destroy (world->paths[i][j]);
  raw_server_destroy (world->provider);
  for (unsigned i = 0; i < world->replica_count; i++)
    raw_server_destroy (world->replicas[i].server);
  if (getenv ("GS_KEEP_LOGS") == NULL)
    directory_remove (world);
  for (unsigned i = 0; i < WORLD_GATEWAYS_MAX; i++)
    {
      if (world->gateways[i].settings_path != NULL)
        ports_release (&world->gateways[i]);
      g_free (world->gateways[i].settings_path);
      g_free (world->gateways[i].log_path);
    }
  g_hash_table_unref (world->objects);
  if (world->copy != NULL)
    g_hash_table_unref (world->copy);
  json_decref (world->history);
  json_decref (world->usage_reports);
  json_decref (world->orders);
  g_hash_table_unref (world->arrivals_of);
  g_ptr_array_unref (world->arrivals);
  g_array_unref (world->crashes);
  g_free (world->directory);
  pthread_cond_destroy (&world->changed);
  pthread_mutex_destroy (&world->lock);
}

unsigned
gw_duty_violations_count (const gateway_world_t *world)
{
  GHashTable *holders
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, NULL);
  GHashTable *windows
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, NULL);
  json_int_t highest = 0;
  unsigned violations = 0;
  size_t i;
  json_t *report;

  json_array_foreach (world->usage_reports, i, report)
  {
    json_int_t fence = json_integer_value (json_object_get (report, "fence"));
    const char *holder
        = json_string_value (json_object_get (report, "holder"));
    const char *known
        = g_hash_table_lookup (holders, GINT_TO_POINTER ((int)fence));
    json_int_t number
        = json_integer_value (json_object_get (report, "window_id"));
    gpointer window = GINT_TO_POINTER ((int)number);
    json_t *counts = json_object_get (report, "counts");
    json_t *before = g_hash_table_lookup (windows, window);
    bool lower = fence < highest;
    bool shared = known != NULL && strcmp (known, holder) != 0;
    bool differs = before != NULL && !json_equal (before, counts);

    if (lower || shared || differs)
      printf ("\n  report of window %lld, holder %s, token %lld: %s%s%s",
              (long long)number, holder, (long long)fence,
              lower ? "lower token " : "", shared ? "shared token " : "",
              differs ? "other counts" : "");
    violations += lower || shared || differs;
    highest = MAX (highest, fence);
    g_hash_table_insert (holders, GINT_TO_POINTER ((int)fence),
                         (gpointer)holder);
    if (before == NULL)
      g_hash_table_insert (windows, window, counts);
  }
  g_hash_table_unref (windows);
  g_hash_table_unref (holders);
  return violations;
}
