#include "check.h"
#include "gateway_steps.h"

#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

/* Guards against nodes that reach no replica, while other nodes do, and refuse
   the requests of their callers.  */

#define GATEWAYS 3
#define REPLICAS 4
/* Time in which a node knows that it is cut off, as the platform bounds it. */
#define CONTACT_TIME (3 * GS_SEC)
#define COUNTED_TIME (3 * GS_SEC)
#define REQUEST_INTERVAL_USEC 25000
#define REQUESTS_MAX 400
/* Callers see at least this share of their requests served.  */
#define SERVED_RATIO_MIN 0.9
#define EVENT_COUNT 6
/* Time in which a node finds out that it is cut off while a replica has a
   request that it rejects then; below the deadline of a request.  */
#define REJECTION_DELAY (1200 * GS_MSEC)
/* max_attempts of the route for idempotent requests.  */
#define FREE_RUNS_MAX 2

static const char *const targets[]
    = { "/a/never/good", "/a/free/good", "/a/stream/resume/good",
        "/a/stream/once/good" };

typedef struct
{
  raw_conn_t conn;
  unsigned gateway;
  unsigned target;
} open_request_t;

typedef struct
{
  unsigned sent[GATEWAYS];
  unsigned served[GATEWAYS];
  unsigned twice; /* requests that may run once and reached two replicas */
} counts_t;

static unsigned next_request;

static void
request_id (char *out, size_t size, unsigned number)
{
  g_snprintf (out, (gulong)size, "request-%u", number);
}

static void
send_one (open_request_t *request, unsigned number)
{
  char id[32];

  request->gateway = number % GATEWAYS;
  request->target = number / GATEWAYS % G_N_ELEMENTS (targets);
  request_id (id, sizeof id, number);
  CU_ASSERT_TRUE_FATAL (gw_connect (&request->conn, &world, request->gateway));
  gw_send (&request->conn, "POST", targets[request->target], id,
           "Connection: close\r\n", "x");
}

static bool
is_served (const open_request_t *request, const GString *answer)
{
  return strstr (targets[request->target], "stream") != NULL
             ? is_complete_stream (answer->str, EVENT_COUNT)
             : status_of (answer->str) == 200;
}

/* Sends requests to all gateways in turn, and then reads their answers.  */
static counts_t
run_load (gs_time_t duration)
{
  static open_request_t requests[REQUESTS_MAX];
  gs_time_t end = gs_clock_now () + duration;
  counts_t counts = { .twice = 0 };
  unsigned first = next_request;
  unsigned count = 0;
  char id[32];

  while (gs_clock_now () < end && count < REQUESTS_MAX)
    {
      send_one (&requests[count++], next_request++);
      g_usleep (REQUEST_INTERVAL_USEC);
    }
  for (unsigned i = 0; i < count; i++)
    {
      GString *answer = raw_read_until (&requests[i].conn, 4 * GS_SEC, NULL);

      request_id (id, sizeof id, first + i);
      counts.sent[requests[i].gateway]++;
      counts.served[requests[i].gateway] += is_served (&requests[i], answer);
      counts.twice += (requests[i].target == 0 || requests[i].target == 3)
                      && gw_arrivals_count (&world, id) > 1;
      raw_close (&requests[i].conn);
      g_string_free (answer, TRUE);
    }
  printf ("\n  served %u of %u, %u of %u, %u of %u ", counts.served[0],
          counts.sent[0], counts.served[1], counts.sent[1], counts.served[2],
          counts.sent[2]);
  return counts;
}

static void
check_served (const counts_t *counts)
{
  CU_ASSERT_EQUAL (counts->twice, 0);
  for (unsigned i = 0; i < GATEWAYS; i++)
    CU_ASSERT ((double)counts->served[i]
               >= SERVED_RATIO_MIN * (double)counts->sent[i]);
}

/* A gateway that starts may copy the list of replicas from another one, with
   the paths of that one; entries that change come from its own store.  */
static void
start_gateways (unsigned count)
{
  start_world (REPLICAS);
  for (unsigned i = 1; i < count; i++)
    world.gateways[i].data_centre = "b";
  gw_paths_create (&world);
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  for (unsigned i = 0; i < count; i++)
    gw_start (&world, i, true);
  g_usleep ((gulong)GS_SEC);
  for (unsigned i = 0; i < REPLICAS; i++)
    gw_replica_publish (&world, i, "ready");
  g_usleep ((gulong)GS_SEC);
}

/* @param cut gateways that lose their paths to all replicas  */
static void
play_cut (proxy_mode_t mode, unsigned cut)
{
  counts_t counts;

  start_gateways (GATEWAYS);
  counts = run_load (GS_SEC);
  check_served (&counts);
  for (unsigned i = 0; i < cut; i++)
    gw_paths_set_mode (&world, GATEWAYS - 1 - i, mode);
  run_load (CONTACT_TIME);
  counts = run_load (COUNTED_TIME);
  check_served (&counts);
  for (unsigned i = 0; i < cut; i++)
    gw_paths_set_mode (&world, GATEWAYS - 1 - i, PROXY_PASS);
  g_usleep ((gulong)CONTACT_TIME);
  counts = run_load (GS_SEC);
  check_served (&counts);
  end_world ();
}

static void
a_node_whose_connections_to_replicas_hang_serves_its_callers (void)
{
  play_cut (PROXY_HANG, 1);
}

static void
a_node_whose_replicas_are_silent_serves_its_callers (void)
{
  play_cut (PROXY_SILENT, 1);
}

static void
a_node_whose_connections_to_replicas_are_reset_serves_its_callers (void)
{
  play_cut (PROXY_RESET, 1);
}

static void
a_node_that_replicas_refuse_serves_its_callers (void)
{
  play_cut (PROXY_REFUSE, 1);
}

static void
all_nodes_of_a_data_centre_may_be_cut_from_all_replicas (void)
{
  play_cut (PROXY_HANG, GATEWAYS - 1);
}

static bool
metric_is (unsigned gateway, const char *line)
{
  char *text = gw_metrics_get (&world, gateway);
  bool found = strstr (text, line) != NULL;

  g_free (text);
  return found;
}

static bool
knows_that_it_is_cut (void *context)
{
  const unsigned *gateway = context;

  return metric_is (*gateway, "garnetstack_replicas_reached{} 0");
}

/* Sends requests until the node has found out that it is cut off.  */
static void
cut_gateway (unsigned gateway)
{
  gw_paths_set_mode (&world, gateway, PROXY_REFUSE);
  for (unsigned i = 0; i < 5 && !knows_that_it_is_cut (&gateway); i++)
    {
      char *id = g_strdup_printf ("first-%u-%u", gateway, i);

      g_free (
          gw_request (&world, gateway, "POST", "/a/never/good", id, "", "x"));
      g_free (id);
    }
  CU_ASSERT_TRUE (
      gw_wait_until (knows_that_it_is_cut, &gateway, CONTACT_TIME));
}

static void
cut_second_gateway (void)
{
  cut_gateway (1);
}

static void
a_request_that_is_passed_on_arrives_unchanged (void)
{
  const arrival_t *arrival;
  char *account;
  char *deadline;
  char *answer;

  start_gateways (2);
  cut_second_gateway ();
  answer = gw_request (&world, 1, "POST", "/a/never/good?q=1", "passed-on",
                       "X-Custom: kept\r\nX-Tenant: forged\r\n", "body");
  arrival = gw_arrival_find (&world, "passed-on");
  CU_ASSERT_EQUAL (status_of (answer), 200);
  CU_ASSERT_EQUAL (gw_arrivals_count (&world, "passed-on"), 1);
  CU_ASSERT_PTR_NOT_NULL (arrival);
  if (arrival == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (arrival->first_line,
                          "POST /a/never/good?q=1 HTTP/1.1");
  CU_ASSERT_STRING_EQUAL (arrival->body->str, "body");
  CU_ASSERT_TRUE (head_has_line (arrival->head, "X-Custom: kept"));
  CU_ASSERT_PTR_NULL (strstr (arrival->head, WORLD_API_KEY));
  CU_ASSERT_PTR_NULL (strstr (arrival->head, "From-Node"));
  account = header_of (arrival->head, "X-Tenant");
  deadline = header_of (arrival->head, "X-Deadline-Ms");
  CU_ASSERT_STRING_EQUAL (account, WORLD_ACCOUNT);
  CU_ASSERT (strtoul (deadline, NULL, 10) <= 2500);
  g_free (deadline);
  g_free (account);
  g_free (answer);
  end_world ();
}

static void
callers_are_told_of_nodes_that_reach_replicas (void)
{
  char *own;
  char *answer = NULL;
  gs_time_t end;

  start_gateways (2);
  own = g_strdup_printf ("127.0.0.3:%u", world.gateways[1].caller_port.port);
  cut_second_gateway ();
  end = gs_clock_now () + CONTACT_TIME;
  do
    {
      g_free (answer);
      answer = gw_addresses_get (&world, 0);
      g_usleep (50000);
    }
  while (strstr (answer, own) != NULL && gs_clock_now () < end);
  CU_ASSERT_PTR_NULL (strstr (answer, own));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "127.0.0.2:"));
  g_free (answer);
  g_free (own);
  end_world ();
}

/* A node that passed a request on to a second node, after a first one had run
   it as often as allowed, let it run on more replicas than its route allows.
 */
static void
nodes_together_keep_to_the_runs_of_a_request (void)
{
  start_gateways (GATEWAYS);
  cut_second_gateway ();
  for (unsigned i = 0; i < REPLICAS; i++)
    gw_replica_faults_set (&world, i, 1, 0);
  for (unsigned i = 0; i < 10; i++)
    {
      char *id = g_strdup_printf ("runs-%u", i);
      char *answer
          = gw_request (&world, 1, "POST", "/a/free/good", id, "", "x");

      CU_ASSERT (status_of (answer) >= 500);
      CU_ASSERT (gw_arrivals_count (&world, id) >= 1);
      CU_ASSERT (gw_arrivals_count (&world, id) <= FREE_RUNS_MAX);
      g_free (answer);
      g_free (id);
    }
  end_world ();
}

/* @return resends that the budgets of all nodes have granted  */
static unsigned
granted_resends (void)
{
  static const char granted[] = "granted=\"1\"} ";
  unsigned sum = 0;

  for (unsigned i = 0; i < GATEWAYS; i++)
    {
      char *text = gw_metrics_get (&world, i);
      char **lines = g_strsplit (text, "\n", -1);

      for (char **line = lines; *line != NULL; line++)
        if (g_str_has_prefix (*line, "garnetstack_resends_total{")
            && strstr (*line, granted) != NULL)
          sum += (unsigned)strtoul (strstr (*line, granted) + strlen (granted),
                                    NULL, 10);
      g_strfreev (lines);
      g_free (text);
    }
  return sum;
}

static bool
has_arrived (void *context)
{
  return gw_arrival_find (&world, context) != NULL;
}

/* Guards against a request that arrives at replicas more often than the
   budget of its service has granted: a replica rejects it after the second
   node has lost its paths, so the first node sends it on to a third one.  */
static void
a_request_that_a_node_passes_back_is_sent_on_by_the_budget (void)
{
  static char id[] = "passed-back";
  GArray *repeats;
  GString *answer;
  raw_conn_t conn;

  start_gateways (GATEWAYS);
  cut_second_gateway ();
  for (unsigned i = 0; i < REPLICAS; i++)
    gw_replica_faults_set (&world, i, 0, REJECTION_DELAY);
  CU_ASSERT_TRUE_FATAL (gw_connect (&conn, &world, 1));
  gw_send (&conn, "POST", "/a/never/good", id, "Connection: close\r\n", "x");
  CU_ASSERT_TRUE_FATAL (gw_wait_until (has_arrived, id, CONTACT_TIME));
  gw_replica_refuse (&world, gw_arrival_find (&world, id)->replica, "0.01");
  for (unsigned i = 0; i < REPLICAS; i++)
    gw_replica_faults_set (&world, i, 0, 0);
  /* The second gateway prefers the third one, of its own data centre.  */
  cut_gateway (2);
  answer = raw_read_until (&conn, 4 * GS_SEC, NULL);
  repeats = gw_repeats_list (&world);
  CU_ASSERT_EQUAL (status_of (answer->str), 200);
  CU_ASSERT_EQUAL (gw_arrivals_count (&world, id), 1);
  CU_ASSERT (repeats->len >= 1);
  CU_ASSERT (repeats->len <= granted_resends ());
  g_array_unref (repeats);
  g_string_free (answer, TRUE);
  raw_close (&conn);
  end_world ();
}

/* No other node reaches replicas either.  */
static void
requests_are_refused_at_once_when_all_nodes_are_cut (void)
{
  gs_time_t start;
  char *answer;

  start_gateways (2);
  gw_paths_set_mode (&world, 0, PROXY_REFUSE);
  cut_second_gateway ();
  for (unsigned i = 0; i < 20; i++)
    {
      char *id = g_strdup_printf ("refused-%u", i);

      start = gs_clock_now ();
      answer
          = gw_request (&world, i % 2, "POST", "/a/never/good", id, "", "x");
      CU_ASSERT_EQUAL (status_of (answer), 503);
      CU_ASSERT_PTR_NOT_NULL (strstr (answer, "Retry-After: "));
      CU_ASSERT_EQUAL (gw_arrivals_count (&world, id), 0);
      CU_ASSERT (gs_clock_now () < start + GS_SEC);
      g_free (answer);
      g_free (id);
    }
  end_world ();
}

/* Answers any request with a head, as a process that a node's address has been
   given to.  */
static void
answer_with_head (void *context, raw_conn_t *conn)
{
  const char *const *head = context;
  raw_message_t request;

  if (!raw_read_request (conn, &request))
    return;
  raw_message_clear (&request);
  raw_printf (conn,
              "HTTP/1.1 %s\r\nRetry-After: 0.1\r\nContent-Length: 0\r\n\r\n",
              *head);
}

/* Guards against a caller that is told that its request has not run, on the
   word of a process that is no node.  */
static void
an_answer_that_no_node_has_written_is_no_promise (void)
{
  static const char *const heads[]
      = { "503 X", "429 X", "404 X",
          "421 X\r\nX-Not-Executed: 1\r\nX-Response-Seal: s",
          "503 X\r\nX-Not-Executed: 1\r\nX-Response-Seal: s\r\n"
          "X-Attempt-Id: no-node" };

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      const char *head = heads[i];
      raw_server_t *server;
      char *answer;

      start_gateways (2);
      cut_second_gateway ();
      gw_signal (&world, 0, SIGKILL);
      raw_server_create_at (&server, INADDR_LOOPBACK + 1,
                            world.gateways[0].caller_port.port,
                            answer_with_head, &head);
      answer = gw_request (&world, 1, "POST", "/a/never/good", "no-node", "",
                           "x");
      CU_ASSERT_EQUAL (status_of (answer), 502);
      g_free (answer);
      raw_server_destroy (server);
      end_world ();
    }
}

/* Replicas that are silent for a second and go on are no cut.  */
static void
replicas_that_are_silent_for_a_second_lose_no_request (void)
{
  open_request_t requests[8];
  unsigned served = 0;
  char id[32];

  start_gateways (2);
  for (unsigned i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      requests[i].gateway = i % 2;
      requests[i].target = i / 2 % G_N_ELEMENTS (targets);
      g_snprintf (id, sizeof id, "silent-%u", i);
      CU_ASSERT_TRUE_FATAL (
          gw_connect (&requests[i].conn, &world, requests[i].gateway));
      gw_send (&requests[i].conn, "POST", targets[requests[i].target], id,
               "Connection: close\r\n", "x");
      if (i == G_N_ELEMENTS (requests) / 2)
        for (unsigned j = 0; j < 2; j++)
          gw_paths_set_mode (&world, j, PROXY_SILENT);
    }
  g_usleep (1200000);
  for (unsigned j = 0; j < 2; j++)
    gw_paths_set_mode (&world, j, PROXY_PASS);
  for (unsigned i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      GString *answer = raw_read_until (&requests[i].conn, 4 * GS_SEC, NULL);

      served += is_served (&requests[i], answer);
      raw_close (&requests[i].conn);
      g_string_free (answer, TRUE);
    }
  CU_ASSERT_EQUAL (served, G_N_ELEMENTS (requests));
  end_world ();
}

/* @return exit status of the program with a number of detours, and a settings
   file that cannot be read  */
static int
exit_status_with (const char *detours)
{
  const char *argv[] = { getenv ("GS_BINARY"), "gateway", "--config", "/none",
                         "--detours",          detours,   NULL };
  int status = -1;

  g_spawn_sync (NULL, (char **)argv, NULL, G_SPAWN_STDERR_TO_DEV_NULL, NULL,
                NULL, NULL, NULL, &status, NULL);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

static void
a_number_of_detours_out_of_range_is_rejected (void)
{
  int accepted = exit_status_with ("0");

  CU_ASSERT_EQUAL (exit_status_with ("3"), accepted);
  CU_ASSERT_NOT_EQUAL (exit_status_with ("-1"), accepted);
  CU_ASSERT_NOT_EQUAL (exit_status_with ("4"), accepted);
  CU_ASSERT_NOT_EQUAL (exit_status_with ("two"), accepted);
}

static const check_case_t cases[] = {
  { "a node that replicas refuse serves its callers",
    a_node_that_replicas_refuse_serves_its_callers },
  { "a node whose connections to replicas are reset serves its callers",
    a_node_whose_connections_to_replicas_are_reset_serves_its_callers },
  { "a node whose connections to replicas hang serves its callers",
    a_node_whose_connections_to_replicas_hang_serves_its_callers },
  { "a node whose replicas are silent serves its callers",
    a_node_whose_replicas_are_silent_serves_its_callers },
  { "an answer that no node has written is no promise",
    an_answer_that_no_node_has_written_is_no_promise },
  { "a number of detours out of range is rejected",
    a_number_of_detours_out_of_range_is_rejected },
  { "a request that is passed on arrives unchanged",
    a_request_that_is_passed_on_arrives_unchanged },
  { "a request that a node passes back is sent on by the budget",
    a_request_that_a_node_passes_back_is_sent_on_by_the_budget },
  { "callers are told of nodes that reach replicas",
    callers_are_told_of_nodes_that_reach_replicas },
  { "all nodes of a data centre may be cut from all replicas",
    all_nodes_of_a_data_centre_may_be_cut_from_all_replicas },
  { "replicas that are silent for a second lose no request",
    replicas_that_are_silent_for_a_second_lose_no_request },
  { "requests are refused at once when all nodes are cut",
    requests_are_refused_at_once_when_all_nodes_are_cut },
  { "nodes together keep to the runs of a request",
    nodes_together_keep_to_the_runs_of_a_request },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_cut", cases);
}
