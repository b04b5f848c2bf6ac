#include "check.h"
#include "gateway_steps.h"

#include <string.h>

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

/* @param cut gateways that lose their paths to all replicas  */
static void
play_cut (proxy_mode_t mode, unsigned cut)
{
  counts_t counts;

  start_world (REPLICAS);
  gw_paths_create (&world);
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  for (unsigned i = 0; i < GATEWAYS; i++)
    gw_start (&world, i, true);
  g_usleep ((gulong)GS_SEC);
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
most_nodes_may_be_cut_from_all_replicas (void)
{
  play_cut (PROXY_HANG, GATEWAYS - 1);
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
  { "most nodes may be cut from all replicas",
    most_nodes_may_be_cut_from_all_replicas },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_cut", cases);
}
