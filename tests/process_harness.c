#include "process_harness.h"

#include "reserved_port.h"

#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define TICK_INTERVAL (10 * GS_MSEC)
#define WAIT_TIMEOUT (60 * GS_SEC)
#define CALL_TIMEOUT (5 * GS_SEC)
/* Of 127.0.0.1, where the nodes listen. */
#define PORT_HOST 1
#define PEER_KEY "test-peer-key"

static const char *const data_centres[CLUSTER_NODES]
    = { "ne-a", "ne-b", "ne-c", "ne-d", "ne-a" };

/* A port stays reserved until the cluster ends, also when its node has been
   replaced, as other nodes may still call its address.  */
static uint16_t
reserve_port (cluster_t *cluster)
{
  reserved_port_t reserved;

  reserved_port_take (&reserved, PORT_HOST);
  g_array_append_val (cluster->reserved_ports, reserved);
  return reserved.port;
}

static void
release_ports (cluster_t *cluster)
{
  for (guint i = 0; i < cluster->reserved_ports->len; i++)
    reserved_port_release (
        &g_array_index (cluster->reserved_ports, reserved_port_t, i));
  g_array_unref (cluster->reserved_ports);
}

/* The kernel kills the child when this program ends, also after a crash.  */
static pid_t
start_process (const char *const *arguments, int out)
{
  pid_t parent = getpid ();
  pid_t pid = fork ();

  if (pid != 0)
    return pid;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent)
    _exit (127);
  dup2 (out, STDOUT_FILENO);
  dup2 (out, STDERR_FILENO);
  execv (arguments[0], (char *const *)arguments);
  _exit (127);
}

/* Exits the program when a condition of all tests fails.  Child processes end
   with the program.  */
static void
require_or_exit (bool condition, const char *message)
{
  if (condition)
    return;
  fprintf (stderr, "harness: %s\n", message);
  exit (2);
}

static const char *
program_path (const char *variable)
{
  const char *path = getenv (variable);

  if (path != NULL)
    return path;
  fprintf (stderr, "%s is not set: run this by ctest\n", variable);
  exit (2);
}

static void
start_fakes (cluster_t *cluster, unsigned engines, unsigned services)
{
  char *engine_text = g_strdup_printf ("%u", engines);
  char *service_text = g_strdup_printf ("%u", services);
  const char *arguments[] = { program_path ("GS_FAKES"),
                              "--engines",
                              engine_text,
                              "--services",
                              service_text,
                              NULL };
  int pipe_fds[2];
  char line[64] = "";
  ssize_t length;

  require_or_exit (pipe2 (pipe_fds, O_CLOEXEC) == 0, "cannot create a pipe");
  cluster->fakes = start_process (arguments, pipe_fds[1]);
  close (pipe_fds[1]);
  length = read (pipe_fds[0], line, sizeof line - 1);
  close (pipe_fds[0]);
  require_or_exit (length > 5 && g_str_has_prefix (line, "port="),
                   "the stand-ins did not report a port");
  cluster->platform = g_strdup_printf ("http://127.0.0.1:%d", atoi (line + 5));
  g_free (engine_text);
  g_free (service_text);
}

static void
choose_address (cluster_t *cluster, unsigned node)
{
  node_process_t *process = &cluster->nodes[node];

  g_snprintf (process->name, sizeof process->name, "%s-n%u-%u",
              process->data_centre, node, cluster->vm_count++);
  g_strlcpy (process->peer_key, PEER_KEY, sizeof process->peer_key);
  process->caller_port = reserve_port (cluster);
  process->operator_port = reserve_port (cluster);
  process->peer_port = reserve_port (cluster);
  g_free (cluster->urls[node]);
  cluster->urls[node]
      = g_strdup_printf ("http://127.0.0.1:%u", process->caller_port);
}

static void
on_tick (void *context)
{
  cluster_t *cluster = context;

  callers_tick (&cluster->callers);
  if (cluster->condition != NULL && cluster->condition (cluster->context))
    cluster->condition_met = true;
  if (cluster->condition_met || gs_clock_now () >= cluster->deadline)
    gs_loop_stop (cluster->loop);
}

void
cluster_create (cluster_t *cluster, unsigned engines, unsigned services)
{
  memset (cluster, 0, sizeof *cluster);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  cluster->directory = g_dir_make_tmp ("gs-test-XXXXXX", NULL);
  cluster->reserved_ports
      = g_array_new (FALSE, FALSE, sizeof (reserved_port_t));
  start_fakes (cluster, engines, services);
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    {
      node_process_t *node = &cluster->nodes[i];

      g_strlcpy (node->data_centre, data_centres[i], sizeof node->data_centre);
      choose_address (cluster, i);
    }
  gs_loop_create (&cluster->loop);
  callers_init (&cluster->callers, cluster->loop, cluster->urls);
  gs_loop_tick_set (cluster->loop, TICK_INTERVAL, on_tick, cluster);
}

static bool
wait_until (cluster_t *cluster, bool (*condition) (void *), void *context,
            gs_time_t time)
{
  cluster->condition = condition;
  cluster->context = context;
  cluster->deadline = gs_clock_now () + time;
  cluster->condition_met = false;
  gs_loop_run (cluster->loop);
  cluster->condition = NULL;
  return cluster->condition_met;
}

bool
cluster_wait (cluster_t *cluster, bool (*condition) (void *), void *context)
{
  return wait_until (cluster, condition, context, WAIT_TIMEOUT);
}

void
cluster_run_for (cluster_t *cluster, gs_time_t time)
{
  wait_until (cluster, NULL, NULL, time);
}

static bool
answer_is_done (void *context)
{
  return ((cluster_answer_t *)context)->done;
}

static void
on_answer (void *context, const gs_http_result_t *result)
{
  cluster_answer_t *answer = context;

  answer->status = result->status;
  answer->http_status = result->http_status;
  answer->body = g_strndup (result->body, result->body_length);
  answer->done = true;
}

void
cluster_answer_clear (cluster_answer_t *answer)
{
  g_free (answer->body);
  answer->body = NULL;
}

static void
start_http_call (cluster_answer_t *out, cluster_t *cluster, const char *method,
                 const char *url, const char *const *headers, const char *body)
{
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;

  memset (out, 0, sizeof *out);
  request.method = method;
  request.url = url;
  request.headers = headers;
  request.body = body;
  request.body_length = body != NULL ? strlen (body) : 0;
  request.deadline = gs_clock_now () + CALL_TIMEOUT;
  request.new_connection = true;
  request.on_done = on_answer;
  request.context = out;
  gs_loop_http (NULL, cluster->loop, &request);
}

void
cluster_answer_wait (cluster_t *cluster, cluster_answer_t *answer)
{
  cluster_wait (cluster, answer_is_done, answer);
}

static void
http_call (cluster_answer_t *out, cluster_t *cluster, const char *method,
           const char *url, const char *const *headers, const char *body)
{
  start_http_call (out, cluster, method, url, headers, body);
  cluster_answer_wait (cluster, out);
}

void
cluster_operator_call_start (cluster_answer_t *out, cluster_t *cluster,
                             unsigned node, const char *method,
                             const char *path, const char *operator_key,
                             const char *header, const char *body)
{
  char *url = g_strdup_printf ("http://127.0.0.1:%u%s",
                               cluster->nodes[node].operator_port, path);
  char *authorization
      = g_strdup_printf ("Authorization: Bearer %s", operator_key);
  const char *headers[] = { authorization, header, NULL };

  start_http_call (out, cluster, method, url, headers, body);
  g_free (authorization);
  g_free (url);
}

void
cluster_operator_call (cluster_answer_t *out, cluster_t *cluster,
                       unsigned node, const char *method, const char *path,
                       const char *operator_key, const char *header,
                       const char *body)
{
  cluster_operator_call_start (out, cluster, node, method, path, operator_key,
                               header, body);
  cluster_answer_wait (cluster, out);
}

void
cluster_caller_get (cluster_answer_t *out, cluster_t *cluster, unsigned node,
                    const char *account_key, const char *path)
{
  char *authorization
      = g_strdup_printf ("Authorization: Bearer %s", account_key);
  const char *headers[] = { authorization, NULL };
  char *url = g_strconcat (cluster->urls[node], path, NULL);

  http_call (out, cluster, "GET", url, headers, NULL);
  g_free (url);
  g_free (authorization);
}

void
cluster_fakes_post (cluster_t *cluster, const char *path, const char *body)
{
  char *url = g_strconcat (cluster->platform, path, NULL);
  cluster_answer_t answer;

  http_call (&answer, cluster, "POST", url, NULL, body);
  if (answer.http_status != 200)
    printf ("\n  control %s %s: %ld %s", path, body, answer.http_status,
            answer.body);
  cluster->control_failures += answer.http_status != 200;
  cluster_answer_clear (&answer);
  g_free (url);
}

json_t *
cluster_fakes_get (cluster_t *cluster, const char *path)
{
  char *url = g_strconcat (cluster->platform, path, NULL);
  cluster_answer_t answer;
  json_t *root;

  http_call (&answer, cluster, "GET", url, NULL, NULL);
  root = json_loads (answer.body, 0, NULL);
  cluster_answer_clear (&answer);
  g_free (url);
  return root;
}

unsigned
cluster_executions (cluster_t *cluster, const char *key)
{
  json_t *root = cluster_fakes_get (cluster, "/control/executions");
  unsigned count = (unsigned)json_integer_value (json_object_get (root, key));

  json_decref (root);
  return count;
}

uint64_t
cluster_fault_count (cluster_t *cluster)
{
  json_t *root = cluster_fakes_get (cluster, "/control/stats");
  uint64_t count
      = (uint64_t)json_integer_value (json_object_get (root, "faults_met"));

  json_decref (root);
  return count;
}

void
cluster_node_renew (cluster_t *cluster, unsigned node)
{
  char *url = g_strdup_printf ("%s/cloud/vms/%s", cluster->platform,
                               cluster->nodes[node].name);
  cluster_answer_t answer;

  /* The status is ignored: it is 404 when the VM was reclaimed.  */
  http_call (&answer, cluster, "DELETE", url, NULL, NULL);
  cluster_answer_clear (&answer);
  g_free (url);
  choose_address (cluster, node);
}

static void
add_vm (cluster_t *cluster, const node_process_t *node)
{
  char *body = g_strdup_printf (
      "{\"name\":\"%s\",\"kind\":\"node\",\"address\":\"127.0.0.1\","
      "\"port\":%u,\"operator_port\":%u,\"peer_port\":%u,"
      "\"data_centre\":\"%s\",\"region\":\"new-england\",\"class\":"
      "\"on_demand\",\"price_micros\":100000,\"state\":\"live\"}",
      node->name, node->caller_port, node->operator_port, node->peer_port,
      node->data_centre);

  cluster_fakes_post (cluster, "/control/vms", body);
  g_free (body);
}

static char *
write_settings (const cluster_t *cluster, const node_process_t *node)
{
  char *path = g_strdup_printf ("%s/%s.ini", cluster->directory, node->name);
  char *text = g_strdup_printf (
      "[node]\nname=%s\naddress=127.0.0.1\nregion=new-england\n"
      "data_centre=%s\ncaller_port=%u\noperator_port=%u\npeer_port=%u\n"
      "[platform]\nurl=%s\nweight_store=%s\n[security]\npeer_key=%s\n",
      node->name, node->data_centre, node->caller_port, node->operator_port,
      node->peer_port, cluster->platform, cluster->platform, node->peer_key);

  g_file_set_contents (path, text, -1, NULL);
  g_free (text);
  return path;
}

void
cluster_node_start (cluster_t *cluster, unsigned node)
{
  node_process_t *process = &cluster->nodes[node];
  char *settings = write_settings (cluster, process);
  char *log = g_strdup_printf ("%s/%s.log", cluster->directory, process->name);
  const char *arguments[]
      = { program_path ("GS_BINARY"), "node", "--config", settings, NULL };
  int out = open (log, O_CREAT | O_APPEND | O_WRONLY | O_CLOEXEC, 0600);

  add_vm (cluster, process);
  process->pid = start_process (arguments, out);
  process->paused = false;
  close (out);
  g_free (log);
  g_free (settings);
}

void
cluster_node_signal (cluster_t *cluster, unsigned node, int number)
{
  node_process_t *process = &cluster->nodes[node];

  if (process->pid == 0)
    return;
  kill (process->pid, number);
  if (number == SIGSTOP || number == SIGCONT)
    process->paused = number == SIGSTOP;
  if (number != SIGKILL)
    return;
  waitpid (process->pid, NULL, 0);
  process->pid = 0;
}

bool
cluster_node_ended (cluster_t *cluster, unsigned node, int *code)
{
  node_process_t *process = &cluster->nodes[node];
  int status;

  if (process->pid == 0)
    return true;
  if (waitpid (process->pid, &status, WNOHANG) != process->pid)
    return false;
  process->pid = 0;
  *code = WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
  return true;
}

static bool
node_is_healthy (cluster_t *cluster, unsigned node)
{
  cluster_answer_t answer;
  bool healthy;

  cluster_operator_call (&answer, cluster, node, "GET", "/healthz",
                         CLUSTER_OPERATOR, NULL, NULL);
  healthy = answer.http_status == 200;
  cluster_answer_clear (&answer);
  return healthy;
}

void
cluster_start (cluster_t *cluster, unsigned engines, unsigned services,
               const char *catalogue)
{
  gs_time_t deadline = gs_clock_now () + WAIT_TIMEOUT;
  cluster_answer_t answer;

  cluster_create (cluster, engines, services);
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    cluster_node_start (cluster, i);
  while (!node_is_healthy (cluster, 0) && gs_clock_now () < deadline)
    cluster_run_for (cluster, 2 * TICK_INTERVAL);
  cluster_operator_call (&answer, cluster, 0, "PUT", "/v1/catalogue", PEER_KEY,
                         "If-Generation: 0", catalogue);
  if (answer.http_status != 200)
    printf ("\n  catalogue: %ld %s", answer.http_status, answer.body);
  require_or_exit (answer.http_status == 200, "node 0 rejected the catalogue");
  cluster_answer_clear (&answer);
  require_or_exit (cluster_wait_ready (cluster),
                   "the nodes did not become ready");
}

static void
remove_directory (const cluster_t *cluster)
{
  GDir *directory = g_dir_open (cluster->directory, 0, NULL);
  const char *name;

  if (getenv ("GS_KEEP_LOGS") != NULL)
    return;
  while (directory != NULL && (name = g_dir_read_name (directory)) != NULL)
    {
      char *path = g_build_filename (cluster->directory, name, NULL);

      g_unlink (path);
      g_free (path);
    }
  if (directory != NULL)
    g_dir_close (directory);
  g_rmdir (cluster->directory);
}

void
cluster_stop (cluster_t *cluster)
{
  for (unsigned i = 0; i < CLUSTER_NODES; i++)
    {
      cluster_node_signal (cluster, i, SIGKILL);
      g_free (cluster->urls[i]);
    }
  kill (cluster->fakes, SIGKILL);
  waitpid (cluster->fakes, NULL, 0);
  release_ports (cluster);
  callers_clear (&cluster->callers);
  gs_loop_destroy (cluster->loop);
  remove_directory (cluster);
  g_free (cluster->directory);
  g_free (cluster->platform);
}
