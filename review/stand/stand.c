#include "stand.h"

#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <netinet/in.h>
#include <unistd.h>

#define READY_TIMEOUT (15 * GS_SEC)

static FILE *record;
static gs_time_t opened_at;
static GMutex record_lock;

bool
stand_open (const char *folder)
{
  const char *trouble = getenv ("TROUBLE");
  char *path = g_strdup_printf ("%s/record.txt", folder);

  opened_at = gs_clock_now ();
  record = fopen (path, "w");
  g_free (path);
  if (record == NULL)
    exit (STAND_NOT_RUN);
  signal (SIGPIPE, SIG_IGN);
  return trouble == NULL || strcmp (trouble, "0") != 0;
}

unsigned
stand_ms (void)
{
  return (unsigned)((gs_clock_now () - opened_at) / GS_MSEC);
}

void
stand_record (const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  g_mutex_lock (&record_lock);
  fprintf (record, "%6u ms  ", stand_ms ());
  vfprintf (record, format, arguments);
  fputc ('\n', record);
  fflush (record);
  g_mutex_unlock (&record_lock);
  va_end (arguments);
}

/* @return the last byte of a node's address, 127.0.0.N  */
static unsigned
node_host (unsigned index)
{
  return index + 2;
}

void
stand_node_prepare (gateway_world_t *world, unsigned index,
                    const stand_machine_t *machine)
{
  world_gateway_t *node = &world->gateways[index];
  unsigned host = node_host (index);
  char *seeds = index == 0
                    ? g_strdup ("")
                    : g_strdup_printf ("seed_nodes=127.0.0.2:%u\n",
                                       world->gateways[0].peer_port.port);
  char *text;

  g_snprintf (node->name, sizeof node->name, "front-%s-%u", machine->zone,
              index);
  reserved_port_take (&node->caller_port, host);
  reserved_port_take (&node->readiness_port, host);
  reserved_port_take (&node->address_port, host);
  reserved_port_take (&node->peer_port, host);
  reserved_port_take (&node->metrics_port, host);
  node->settings_path
      = g_strdup_printf ("%s/%s.conf", world->directory, node->name);
  node->log_path = g_strdup_printf ("%s/%s.log", world->directory, node->name);
  text = g_strdup_printf (
      "node=%s\nrole=gateway\nmachine_class=front\n"
      "serves=front,control,directory\nip=127.0.0.%u\nzone=%s\n"
      "region=new-england\nbind.front=127.0.0.%u:%u\n"
      "bind.ready=127.0.0.%u:%u\nbind.control=127.0.0.%u:%u\n"
      "bind.directory=127.0.0.%u:%u\n%sbootstrap=true\n"
      "limits.cores=1\nlimits.memory_mb=%u\nlimits.max_fds=%u\n"
      "limits.link_mbps=%u\nlimits.disk_mb=0\n"
      "discovery=platform\nentry=directory\nheartbeat_ms=1200\n"
      "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,"
      "quota,leader,platform\n"
      "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\n"
      "bounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\n"
      "bounds.grace_s=8\nbounds.loss_slack_ms=200\n"
      "bounds.config_apply_ms=2000\nbounds.back_ms=250\n"
      "bounds.max_skew_ms=5000\nbounds.budget_ratio=0.2\n"
      "bounds.budget_window_s=10\nbounds.retry_slack=56\n"
      "bounds.quota_window_s=8\nbounds.quota_over=0.1\n"
      "bounds.quota_slack=140000\nbounds.require_fence=false\n"
      "bounds.lease_ms=3000\nbounds.thaw_ms=300\nbounds.window_s=5\n"
      "bounds.usage_tolerance=0.05\nbounds.usage_late_s=10\n"
      "bounds.recover_s=12\nbounds.pass_ms=120\nbounds.again_s=10\n"
      "bounds.ttl_max_s=5\nplatform.address=127.0.0.1:%u\n"
      "platform.form=objects\nplatform.writes_per_s=400\n"
      "platform.reads_per_s=2000\nplatform.history_s=20\n"
      "platform.value_bytes=1048576\nprovider.address=127.0.0.1:%u\n"
      "provider.rate_per_s=50.0\n"
      "provider.duties=usage_report,autoscaling\nprovider.duty_per_s=50.0\n",
      node->name, host, machine->zone, host, node->caller_port.port, host,
      node->readiness_port.port, host, node->peer_port.port, host,
      node->address_port.port, seeds, machine->memory_mb, machine->max_fds,
      machine->link_mbps, raw_server_port (world->stores[index].server),
      raw_server_port (world->provider));
  if (!g_file_set_contents (node->settings_path, text, -1, NULL))
    stand_exit (world, STAND_NOT_RUN);
  g_free (text);
  g_free (seeds);
}

static void
node_exec (const world_gateway_t *node)
{
  int log = open (node->log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);
  char metrics[8];

  g_snprintf (metrics, sizeof metrics, "%u", node->metrics_port.port);
  setenv ("GARNETSTACK_NODE_FILE", node->settings_path, 1);
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  dup2 (log, STDOUT_FILENO);
  dup2 (log, STDERR_FILENO);
  execl ("target/garnetstack", "target/garnetstack", "gateway",
         "--metrics-port", metrics, NULL);
  _exit (127);
}

/* The settings say bootstrap=true only when the system starts for the first
   time.  */
static void
settings_set_later_start (const world_gateway_t *node)
{
  char *text = NULL;
  GString *later;

  if (!g_file_get_contents (node->settings_path, &text, NULL, NULL))
    return;
  later = g_string_new (text);
  g_string_replace (later, "bootstrap=true", "bootstrap=false", 0);
  g_file_set_contents (node->settings_path, later->str, -1, NULL);
  g_string_free (later, TRUE);
  g_free (text);
}

void
stand_node_start (gateway_world_t *world, unsigned index)
{
  static bool started[WORLD_GATEWAYS_MAX];
  world_gateway_t *node = &world->gateways[index];

  if (started[index])
    settings_set_later_start (node);
  started[index] = true;
  node->pid = fork ();
  if (node->pid == 0)
    node_exec (node);
  stand_record ("node %s starts, pid %d", node->name, (int)node->pid);
}

void
stand_node_wait (gateway_world_t *world, unsigned index)
{
  gs_time_t deadline = gs_clock_now () + READY_TIMEOUT;

  while (!gw_is_ready (world, index))
    {
      if (gs_clock_now () > deadline)
        {
          stand_record ("node %s is not ready", world->gateways[index].name);
          stand_exit (world, STAND_NOT_RUN);
        }
      g_usleep (20000);
    }
}

unsigned
stand_node_memory (const gateway_world_t *world, unsigned index)
{
  char *path = g_strdup_printf ("/proc/%d/status", world->gateways[index].pid);
  char *text = NULL;
  const char *line;
  unsigned kilobytes = 0;

  if (world->gateways[index].pid != 0
      && g_file_get_contents (path, &text, NULL, NULL)
      && (line = strstr (text, "VmRSS:")) != NULL)
    kilobytes = (unsigned)strtoul (line + strlen ("VmRSS:"), NULL, 10);
  g_free (text);
  g_free (path);
  return kilobytes / 1024;
}

void
stand_replica_publish (gateway_world_t *world, unsigned number,
                       const char *service, const char *zone, unsigned slots,
                       const raw_server_t *server)
{
  char *id = g_strdup_printf ("i-%u", number);
  char *address = g_strdup_printf ("127.0.0.1:%u", raw_server_port (server));

  gw_object_put (world, "servers", id,
                 json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:I}",
                            "service", service, "address", address, "zone",
                            zone, "version", "v1", "slots", (int)slots,
                            "state", "ready", "cold_left_ms", 0, "sequence", 1,
                            "born",
                            (json_int_t)(gs_clock_wall () / GS_MSEC - 60000)));
  g_free (address);
  g_free (id);
}

bool
stand_replica_refuses (raw_conn_t *conn, const raw_message_t *request,
                       unsigned number)
{
  char *expected = raw_message_header (request, "X-Expect-Instance");
  char *id = g_strdup_printf ("i-%u", number);
  bool refuses = expected != NULL && strcmp (expected, id) != 0;

  if (refuses)
    raw_printf (conn,
                "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n");
  g_free (id);
  g_free (expected);
  return refuses;
}

bool
stand_connect (raw_conn_t *conn, const gateway_world_t *world, unsigned index)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  conn->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  conn->received = g_string_new (NULL);
  address.sin_port = htons (world->gateways[index].caller_port.port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK - 1 + node_host (index));
  if (connect (conn->fd, (struct sockaddr *)&address, sizeof address) == 0)
    return true;
  raw_close (conn);
  return false;
}

/* The threads of replicas and clients may still run, so only the processes
   and the files are cleared up.  */
void
stand_exit (gateway_world_t *world, int status)
{
  bool keep = getenv ("GS_KEEP_LOGS") != NULL;

  stand_record ("ends with status %d", status);
  for (unsigned i = 0; i < WORLD_GATEWAYS_MAX; i++)
    {
      gw_signal (world, i, SIGKILL);
      if (world->gateways[i].settings_path == NULL || keep)
        continue;
      unlink (world->gateways[i].settings_path);
      unlink (world->gateways[i].log_path);
    }
  if (!keep)
    rmdir (world->directory);
  _exit (status);
}
