/* The operator commands against node processes and stand-ins.  */
#include "check.h"
#include "reserved_port.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define NODES 3
#define NODE_PORTS 3 /* of each node: callers, operators, peers */
#define PORT_HOST 1  /* of 127.0.0.1, where the nodes listen */
#define PATH_BYTES 128
#define START_TRIES_MAX 400
#define START_RETRY_INTERVAL_USEC 50000
#define CALL_TIMEOUT_SECONDS 20L

#define EXIT_USAGE 2
#define EXIT_REJECTED 3
#define EXIT_CONFLICT 4
#define EXIT_UNREACHABLE 5

static char directory[] = "/tmp/gs_test_operators_XXXXXX";
static GPid fakes;
static GPid nodes[NODES];
static reserved_port_t ports[NODES][NODE_PORTS];
static char platform[PATH_BYTES];

/* Standard output and standard error of the last command.  */
static char *command_output;
static char *command_errors;

static char *
file_path (const char *name)
{
  return g_build_filename (directory, name, NULL);
}

static void
write_file (const char *name, const char *text)
{
  char *path = file_path (name);

  CU_ASSERT_TRUE_FATAL (g_file_set_contents (path, text, -1, NULL));
  g_free (path);
}

/* The ports stay reserved until the program ends.  */
static void
reserve_ports (void)
{
  for (int i = 0; i < NODES * NODE_PORTS; i++)
    reserved_port_take (&ports[i / NODE_PORTS][i % NODE_PORTS], PORT_HOST);
}

static void
release_ports (void)
{
  for (int i = 0; i < NODES * NODE_PORTS; i++)
    if (ports[i / NODE_PORTS][i % NODE_PORTS].port != 0)
      reserved_port_release (&ports[i / NODE_PORTS][i % NODE_PORTS]);
}

/* Standard error is that of this program, so that the log of the test says why
   a process has ended.  */
static GPid
start_process (const char *const *arguments, int *output)
{
  GPid pid = 0;

  CU_ASSERT_TRUE_FATAL (g_spawn_async_with_pipes (
      NULL, (char **)arguments, NULL,
      G_SPAWN_DO_NOT_REAP_CHILD
          | (output == NULL ? G_SPAWN_STDOUT_TO_DEV_NULL : 0),
      NULL, NULL, &pid, NULL, output, NULL, NULL));
  return pid;
}

static void
start_fakes (void)
{
  const char *arguments[]
      = { getenv ("GS_FAKES"), "--port", "0", "--engines", "4",
          "--services",        "2",      NULL };
  int output;
  FILE *stream;
  unsigned port = 0;

  fakes = start_process (arguments, &output);
  stream = fdopen (output, "r");
  CU_ASSERT_EQUAL_FATAL (fscanf (stream, "port=%u", &port), 1);
  g_snprintf (platform, sizeof platform, "http://127.0.0.1:%u", port);
}

static size_t
append_body (char *data, size_t size, size_t count, void *context)
{
  g_string_append_len (context, data, (gssize)(size * count));
  return size * count;
}

/* Sends a GET, or a POST if @p post is not NULL.  @p key and @p body may be
   NULL.  @return the HTTP status, 0 without an answer.  */
static long
http_send (const char *url, const char *post, const char *key, GString *body)
{
  CURL *easy = curl_easy_init ();
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  GString *ignored = g_string_new (NULL);
  long status = 0;

  if (key != NULL)
    {
      char *header = g_strdup_printf ("Authorization: Bearer %s", key);

      headers = curl_slist_append (headers, header);
      g_free (header);
    }
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_TIMEOUT, CALL_TIMEOUT_SECONDS);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, body != NULL ? body : ignored);
  if (post != NULL)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, post);
  curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  g_string_free (ignored, TRUE);
  return status;
}

static void
start_node (int index)
{
  static const char *const data_centres[NODES] = { "ne-a", "ne-b", "ne-c" };
  char name[PATH_BYTES];
  char *path;
  char *text = g_strdup_printf (
      "[node]\nname=%s-1\naddress=127.0.0.1\nregion=new-england\n"
      "data_centre=%s\ncaller_port=%u\noperator_port=%u\npeer_port=%u\n"
      "[platform]\nurl=%s\n[security]\npeer_key=secret\n",
      data_centres[index], data_centres[index], ports[index][0].port,
      ports[index][1].port, ports[index][2].port, platform);
  char *vm = g_strdup_printf (
      "{\"name\":\"%s-1\",\"kind\":\"node\",\"address\":\"127.0.0.1\","
      "\"port\":%u,\"operator_port\":%u,\"peer_port\":%u,"
      "\"data_centre\":\"%s\",\"region\":\"new-england\","
      "\"state\":\"live\"}",
      data_centres[index], ports[index][0].port, ports[index][1].port,
      ports[index][2].port, data_centres[index]);
  char *url = g_strdup_printf ("%s/control/vms", platform);
  const char *arguments[]
      = { getenv ("GS_BINARY"), "node", "--config", NULL, NULL };

  g_snprintf (name, sizeof name, "node-%d.ini", index);
  write_file (name, text);
  path = file_path (name);
  arguments[3] = path;
  CU_ASSERT_EQUAL_FATAL (http_send (url, vm, NULL, NULL), 200);
  nodes[index] = start_process (arguments, NULL);
  g_free (path);
  g_free (url);
  g_free (vm);
  g_free (text);
}

/* The process is reaped, so its id must not be used after its end.  */
static bool
node_has_ended (int index)
{
  int status;

  if (nodes[index] > 0
      && waitpid (nodes[index], &status, WNOHANG) == nodes[index])
    {
      printf ("\nnode %d has ended, wait status %d\n", index, status);
      nodes[index] = 0;
    }
  return nodes[index] <= 0;
}

static bool
wait_for_probe (int index, const char *probe)
{
  char *url = g_strdup_printf ("http://127.0.0.1:%u/%s", ports[index][1].port,
                               probe);
  bool ready = false;

  for (int i = 0; i < START_TRIES_MAX && !ready && !node_has_ended (index);
       i++)
    {
      ready = http_send (url, NULL, NULL, NULL) == 200;
      if (!ready)
        usleep (START_RETRY_INTERVAL_USEC);
    }
  g_free (url);
  return ready;
}

/* Runs a command against the first node, unless it has --node.  Words are
   separated by one space; "@NAME" is a file of the test directory.
   @return the exit code, -1 when the command was killed  */
static int
run_command (const char *command)
{
  char **words = g_strsplit (command, " ", -1);
  GPtrArray *arguments = g_ptr_array_new_with_free_func (g_free);
  int status = -1;

  g_clear_pointer (&command_output, g_free);
  g_clear_pointer (&command_errors, g_free);
  g_ptr_array_add (arguments, g_strdup (getenv ("GS_BINARY")));
  for (char **word = words; *word != NULL; word++)
    g_ptr_array_add (arguments,
                     **word == '@' ? file_path (*word + 1) : g_strdup (*word));
  if (strstr (command, "--node") == NULL)
    {
      g_ptr_array_add (arguments, g_strdup ("--node"));
      g_ptr_array_add (arguments, g_strdup_printf ("http://127.0.0.1:%u",
                                                   ports[0][1].port));
    }
  g_ptr_array_add (arguments, NULL);
  CU_ASSERT_TRUE_FATAL (g_spawn_sync (
      NULL, (char **)arguments->pdata, NULL, G_SPAWN_DEFAULT, NULL, NULL,
      &command_output, &command_errors, &status, NULL));
  g_ptr_array_unref (arguments);
  g_strfreev (words);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

static void
expect_command (const char *command, int code, const char *expected_text)
{
  int exit_code = run_command (command);

  CU_ASSERT_EQUAL (exit_code, code);
  CU_ASSERT_TRUE (expected_text == NULL
                  || strstr (command_output, expected_text) != NULL
                  || strstr (command_errors, expected_text) != NULL);
  if (exit_code != code
      || (expected_text != NULL
          && strstr (command_output, expected_text) == NULL
          && strstr (command_errors, expected_text) == NULL))
    printf ("\n%s -> %d\n%s%s\n", command, exit_code, command_output,
            command_errors);
}

static void
write_catalogue (void)
{
  char *digests[4];
  static const char *const keys[] = { "ana", "ben", "cal", "shop" };
  char *text;

  for (int i = 0; i < 4; i++)
    digests[i]
        = g_compute_checksum_for_string (G_CHECKSUM_SHA256, keys[i], -1);
  text = g_strdup_printf (
      "[operator ana]\nowner=o\npurpose=p\nclass=counter\nkeys=%s\n"
      "[operator ben]\nowner=o\npurpose=p\nclass=counter\nkeys=%s\n"
      "[operator cal]\nowner=o\npurpose=p\nclass=counter\nkeys=%s\n"
      "changes_per_hour=1\n"
      "[class counter]\nowner=o\npurpose=p\nshare=10\n"
      "[class batch]\nowner=o\npurpose=p\nshare=5\n"
      "[account shop]\nowner=o\npurpose=p\nclass=counter\nkeys=%s\n"
      "[model assistant]\nowner=o\npurpose=p\nclass=counter\nversions=v1\n"
      "active=v1\n"
      "[service order-desk]\nowner=o\npurpose=p\nclass=counter\n"
      "routes=/charges\n",
      digests[0], digests[1], digests[2], digests[3]);
  write_file ("first.ini", text);
  write_file ("ana.key", "ana\n");
  write_file ("ben.key", "ben\n");
  write_file ("cal.key", "cal\n");
  write_file ("peer.key", "secret");
  for (int i = 0; i < 4; i++)
    g_free (digests[i]);
  g_free (text);
}

static bool
other_socket_can_bind (uint16_t port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool bound;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  bound = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
  close (fd);
  return bound;
}

/* Guards against a stand-in that gets the port of a node that has not started
   yet.  Stand-ins for services answer 200 to every path, so the tests would
   take one for a healthy node.  */
static void
ports_are_reserved_until_the_nodes_listen (void)
{
  reserve_ports ();
  for (int i = 0; i < NODES * NODE_PORTS; i++)
    CU_ASSERT_FALSE (
        other_socket_can_bind (ports[i / NODE_PORTS][i % NODE_PORTS].port));
}

static void
an_accepted_change_is_in_force_on_every_node (void)
{
  write_catalogue ();
  start_fakes ();
  for (int i = 0; i < NODES; i++)
    start_node (i);
  for (int i = 0; i < NODES; i++)
    CU_ASSERT_TRUE_FATAL (wait_for_probe (i, "healthz"));
  expect_command (
      "catalogue apply --file @first.ini --key-file @peer.key --wait", 0,
      "in_force generation=1 nodes=3");
  for (int i = 0; i < NODES; i++)
    CU_ASSERT_TRUE (wait_for_probe (i, "readyz"));
}

/* Writes the current catalogue to a file, with one text replaced.  */
static void
write_edited_catalogue (const char *name, const char *from, const char *to)
{
  char **parts;
  char *text;

  CU_ASSERT_EQUAL (run_command ("catalogue get"), 0);
  parts = g_strsplit (command_output, from, 2);
  CU_ASSERT_PTR_NOT_NULL_FATAL (parts[1]);
  text = g_strconcat (parts[0], to, parts[1], NULL);
  write_file (name, text);
  g_free (text);
  g_strfreev (parts);
}

static void
concurrent_edits_of_two_operators_are_kept (void)
{
  write_edited_catalogue ("ana.ini", "share=10", "share=20");
  write_edited_catalogue ("ben.ini", "share=10", "share=30");
  write_edited_catalogue ("ben2.ini", "share=5", "share=6");
  expect_command ("catalogue diff --file @ana.ini", 0, "+ share=20");
  expect_command ("catalogue apply --file @ana.ini --key-file @ana.key", 0,
                  "accepted generation=2");
  expect_command ("catalogue apply --file @ben.ini --key-file @ben.key",
                  EXIT_CONFLICT, "in force, by ana:");
  CU_ASSERT_PTR_NOT_NULL (strstr (command_output, "< share=20"));
  CU_ASSERT_PTR_NOT_NULL (strstr (command_output, "submitted, by ben:"));
  CU_ASSERT_PTR_NOT_NULL (strstr (command_output, "> share=30"));
  expect_command (
      "catalogue apply --file @ben2.ini --key-file @ben.key --whole", 0,
      "accepted generation=3");
  expect_command ("catalogue get class counter", 0, "share=20");
  expect_command ("catalogue get class batch", 0, "share=6");
  expect_command ("catalogue list class", 0, "ben");
}

static void
each_kind_of_failure_has_its_exit_code (void)
{
  static const struct
  {
    const char *command;
    int code;
    const char *expected_text;
  } cases[] = {
    { "catalogue", EXIT_USAGE, "give one of" },
    { "catalogue fly", EXIT_USAGE, "unknown verb" },
    { "catalogue apply", EXIT_USAGE, "--file is missing" },
    { "catalogue apply --file @none.ini", EXIT_USAGE, "none.ini" },
    { "catalogue apply --file @first.ini", EXIT_REJECTED, "unauthorized" },
    { "catalogue apply --file @first.ini --key-file @peer.key", EXIT_REJECTED,
      "unauthorized" },
    { "catalogue apply --file @bad.ini --key-file @ana.key", EXIT_REJECTED,
      "unknown key" },
    { "catalogue delete class counter --key-file @ana.key", EXIT_USAGE,
      "--generation" },
    { "catalogue delete class counter --generation 9 --key-file @ana.key",
      EXIT_REJECTED, "no such class" },
    { "catalogue delete class none --generation 9 --key-file @ana.key",
      EXIT_REJECTED, "not_found" },
    { "catalogue get class none", EXIT_REJECTED, "there is no" },
    { "state", EXIT_USAGE, "tables" },
    { "state weather", EXIT_USAGE, "tables" },
    { "state accounts", EXIT_REJECTED, "unauthorized" },
    { "state nodes --node http://127.0.0.1:1", EXIT_UNREACHABLE,
      "unreachable" },
    { "explain", EXIT_USAGE, "request id" },
    { "explain nonsense --key-file @ana.key", EXIT_REJECTED,
      "invalid_request" },
    { "explain 0000000000000001-0000000000000001 --key-file @ana.key",
      EXIT_REJECTED, "no node given" },
    { "state --help", 0, "--key-file" },
    { "explain --version", 0, "garnetstack " },
  };

  write_file ("bad.ini",
              "[vm x]\nowner=o\npurpose=p\nclass=counter\nfly=true\n");
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    expect_command (cases[i].command, cases[i].code, cases[i].expected_text);
}

static void
an_edit_with_a_lost_store_answer_is_made_once (void)
{
  char *url = g_strdup_printf ("%s/control/faults", platform);

  write_file ("drain.ini", "[vm assistant-1]\nowner=o\npurpose=update\n"
                           "class=counter\ndrain=true\n");
  CU_ASSERT_EQUAL (
      http_send (url,
                 "{\"target\":\"store\",\"fault\":\"lost_after_effect\","
                 "\"count\":1,\"path\":\"/objects/catalogue\"}",
                 NULL, NULL),
      200);
  expect_command (
      "catalogue apply --file @drain.ini --key-file @ana.key --wait "
      "--change-id one",
      0, "in_force generation=4 nodes=3");
  expect_command ("catalogue apply --file @drain.ini --key-file @ana.key "
                  "--change-id one",
                  0, "accepted generation=4 change=one");
  g_free (url);
}

static void
a_store_outage_rejects_edits_and_keeps_the_catalogue (void)
{
  char *url = g_strdup_printf ("%s/control/faults", platform);

  write_file ("drain.ini", "[vm assistant-2]\nowner=o\npurpose=update\n"
                           "class=counter\ndrain=false\n");
  CU_ASSERT_EQUAL (http_send (url,
                              "{\"target\":\"store\",\"fault\":\"outage\","
                              "\"ms\":60000}",
                              NULL, NULL),
                   200);
  expect_command ("catalogue apply --file @drain.ini --key-file @ana.key",
                  EXIT_UNREACHABLE, NULL);
  expect_command ("catalogue get class counter", 0, "share=20");
  CU_ASSERT_EQUAL (http_send (url,
                              "{\"target\":\"store\",\"fault\":\"clear\"}",
                              NULL, NULL),
                   200);
  expect_command (
      "catalogue apply --file @drain.ini --key-file @ana.key --wait", 0,
      "in_force generation=5 nodes=3");
  g_free (url);
}

static void
a_drain_shows_its_operator_and_purpose (void)
{
  expect_command ("state upstreams", 0,
                  "drained by ana in generation 4: update");
  expect_command ("state upstreams --json", 0, "\"state\":\"leaving\"");
  expect_command ("state nodes", 0, "authenticated on an open connection");
  expect_command ("state leases", 0, NULL);
  expect_command ("state placements", 0, NULL);
}

/* Only an edit that changes the catalogue counts against the limit.  An
   invalid edit and an edit without a change do not count.  */
static void
a_change_over_the_limit_of_its_operator_is_rejected (void)
{
  write_file ("night.ini", "[class night]\nowner=o\npurpose=p\n");
  write_file ("day.ini", "[class day]\nowner=o\npurpose=p\n");
  expect_command ("catalogue apply --file @bad.ini --key-file @cal.key",
                  EXIT_REJECTED, "unknown key");
  expect_command ("catalogue apply --file @night.ini --key-file @cal.key", 0,
                  "accepted generation=6");
  expect_command ("catalogue apply --file @day.ini --key-file @cal.key",
                  EXIT_REJECTED, "over_limit");
  expect_command ("catalogue apply --file @night.ini --key-file @cal.key", 0,
                  "generation=6");
  expect_command ("catalogue apply --file @day.ini --key-file @ben.key", 0,
                  "accepted generation=7");
}

static char *
generate (int index, const char *model)
{
  char *url = g_strdup_printf ("http://127.0.0.1:%u/v1/completions",
                               ports[index][0].port);
  char *text = g_strdup_printf (
      "{\"model\":\"%s\",\"prompt\":\"p\",\"max_tokens\":3}", model);
  GString *body = g_string_new (NULL);
  json_t *root;
  char *id;

  CU_ASSERT_EQUAL (http_send (url, text, "shop", body), 200);
  root = json_loads (body->str, 0, NULL);
  id = g_strdup (json_string_value (json_object_get (root, "id")));
  json_decref (root);
  g_string_free (body, TRUE);
  g_free (text);
  g_free (url);
  return id;
}

static void
an_adapter_is_served_by_its_base (void)
{
  char *id;

  write_file ("tone.ini", "[adapter tone]\nowner=o\npurpose=p\n"
                          "class=counter\nbase=assistant\nversions=v1\n"
                          "active=v1\n");
  expect_command (
      "catalogue apply --file @tone.ini --key-file @ben.key --wait", 0,
      "in_force generation=8");
  id = generate (0, "tone");
  CU_ASSERT_PTR_NOT_NULL (id);
  g_free (id);
}

static void
a_request_is_explained (void)
{
  char *id = generate (0, "assistant");
  char *command = g_strdup_printf ("explain %s --key-file @ben.key", id);

  CU_ASSERT_PTR_NOT_NULL_FATAL (id);
  expect_command (command, 0, "candidates=");
  CU_ASSERT_PTR_NOT_NULL (strstr (command_output, "outcome=answered"));
  CU_ASSERT_PTR_NULL (
      strstr (command_output, "upstream=assistant-1 candidates"));
  expect_command ("state accounts --key-file @ben.key", 0, "shop");
  expect_command ("state requests --key-file @ben.key", 0, "(none)");
  g_free (command);
  g_free (id);
}

/* Callers cache node addresses, so a stopping node must serve new requests
   for a while before it exits.  */
static void
a_stopping_node_serves_callers_that_cached_its_address (void)
{
  char *id;
  int status = -1;

  CU_ASSERT_FALSE_FATAL (node_has_ended (2));
  kill (nodes[2], SIGTERM);
  id = generate (2, "assistant");
  CU_ASSERT_PTR_NOT_NULL (id);
  g_free (id);
  waitpid (nodes[2], &status, 0);
  nodes[2] = 0;
  CU_ASSERT_TRUE (WIFEXITED (status) && WEXITSTATUS (status) == 0);
}

static void
stop_process (GPid pid)
{
  if (pid <= 0)
    return;
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "ports_are_reserved_until_the_nodes_listen",
      ports_are_reserved_until_the_nodes_listen },
    { "an_accepted_change_is_in_force_on_every_node",
      an_accepted_change_is_in_force_on_every_node },
    { "concurrent_edits_of_two_operators_are_kept",
      concurrent_edits_of_two_operators_are_kept },
    { "each_kind_of_failure_has_its_exit_code",
      each_kind_of_failure_has_its_exit_code },
    { "an_edit_with_a_lost_store_answer_is_made_once",
      an_edit_with_a_lost_store_answer_is_made_once },
    { "a_store_outage_rejects_edits_and_keeps_the_catalogue",
      a_store_outage_rejects_edits_and_keeps_the_catalogue },
    { "a_drain_shows_its_operator_and_purpose",
      a_drain_shows_its_operator_and_purpose },
    { "a_change_over_the_limit_of_its_operator_is_rejected",
      a_change_over_the_limit_of_its_operator_is_rejected },
    { "an_adapter_is_served_by_its_base", an_adapter_is_served_by_its_base },
    { "a_request_is_explained", a_request_is_explained },
    { "a_stopping_node_serves_callers_that_cached_its_address",
      a_stopping_node_serves_callers_that_cached_its_address },
  };
  static const char *const files[]
      = { "first.ini", "ana.key",    "ben.key",    "peer.key",
          "cal.key",   "night.ini",  "day.ini",    "tone.ini",
          "ana.ini",   "ben.ini",    "ben2.ini",   "bad.ini",
          "drain.ini", "node-0.ini", "node-1.ini", "node-2.ini" };
  int result;

  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (g_mkdtemp (directory) == NULL)
    return 1;
  result = CHECK_RUN ("process_operators", cases);
  for (int i = 0; i < NODES; i++)
    stop_process (nodes[i]);
  stop_process (fakes);
  release_ports ();
  for (size_t i = 0; i < sizeof files / sizeof *files; i++)
    {
      char *path = file_path (files[i]);

      g_unlink (path);
      g_free (path);
    }
  g_rmdir (directory);
  g_free (command_output);
  g_free (command_errors);
  curl_global_cleanup ();
  return result;
}
