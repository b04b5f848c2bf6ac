/* One tenant, whose requests have long heads and bodies, sends many times its
   usual.  The five machines of curdwright-ne at a quiet hour, before its
   service order-desk.  */
#include "../stand/stand.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define NODES 5
#define REPLICAS 4
#define SLOTS 6
#define WORK_USEC 30000
/* Of order-post in the site file.  */
#define TIMEOUT_MS 800
#define DEADLINE_MS 1500
/* From the rule.  */
#define ANSWER_SLACK_MS 500
#define LATE_MIN 8
#define LATE_SHARE 4
/* Below max_header_bytes, 16384, and max_body_bytes, 4194304; no request of
   the sheet has a longer body.  */
#define LARGE_HEAD_BYTES 15000
#define LARGE_BODY_BYTES 72000
#define SMALL_BODY_BYTES 600
#define RUN_MS 24000
#define SMALL_INTERVAL_MS 1500
/* The tenant sends 5 requests in this time, or 7.5 times as many, as
   hot_tenant of the site file.  */
#define LARGE_INTERVAL_MS 4800
#define LARGE_INTERVAL_HOT_MS 640
#define CONTACT_MS 3000

#define LARGE_KEY "n2ctnfzs989anu6wsjnb"

static const char config[]
    = "{\"version\":1,\"routes\":[{\"name\":\"order-post\","
      "\"host\":\"" STAND_HOST "\",\"path_prefix\":\"/puxa403/\","
      "\"route_kind\":\"non_idempotent\",\"timeout_ms\":800,"
      "\"goal_ms\":150,\"priority\":2,\"service\":\"order-desk\","
      "\"max_attempts\":1,\"anonymous\":false,\"session_affinity\":false,"
      "\"stream_resume\":false}],\"services\":[{\"name\":\"order-desk\","
      "\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\","
      "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
      "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
      "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\","
      "\"api_keys\":[\"" STAND_KEY "\"],\"priority\":1,"
      "\"unit\":\"token_count\",\"plain_tokens\":200,\"rate_per_s\":0,"
      "\"burst\":0},{\"name\":\"fida11\",\"api_keys\":[\"" LARGE_KEY "\"],"
      "\"priority\":1,\"unit\":\"token_count\",\"plain_tokens\":200,"
      "\"rate_per_s\":0,\"burst\":0}]}";

typedef struct
{
  unsigned asked;
  unsigned served;
  unsigned longer;  /* no final answer at the route's timeout */
  unsigned late;    /* nor half a second later */
  unsigned reached; /* reached a replica */
} result_t;

typedef struct
{
  unsigned number;
  bool large;
} request_t;

static gateway_world_t world;
static raw_server_t *replicas[REPLICAS];
static unsigned replica_numbers[REPLICAS];
static GMutex lock;
static GCond ended;
static unsigned open_requests;
static result_t results[2]; /* of small and of large requests */
static GHashTable *arrived; /* attempt ids */

static void
record_arrival (const char *id, unsigned replica, bool stops)
{
  g_mutex_lock (&lock);
  g_hash_table_add (arrived, g_strdup (id));
  g_mutex_unlock (&lock);
  stand_record ("i-%u runs %s%s", replica, id,
                stops ? ", stops at its deadline" : "");
}

/* A replica stops work at the deadline that it receives.
   @return how long it works, in microseconds  */
static gulong
work_time (const raw_message_t *request)
{
  char *deadline = raw_message_header (request, "X-Deadline-Ms");
  gulong left
      = deadline != NULL ? strtoul (deadline, NULL, 10) * 1000 : WORK_USEC;

  g_free (deadline);
  return MIN (left, WORK_USEC);
}

static void
serve_replica (void *context, raw_conn_t *conn)
{
  unsigned number = *(unsigned *)context;
  raw_message_t request;

  while (raw_read_request (conn, &request))
    {
      char *id = raw_message_header (&request, "X-Attempt-Id");

      if (id == NULL)
        raw_printf (conn,
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: i-%u\r\n"
                    "Content-Length: 0\r\n\r\n",
                    number);
      else if (!stand_replica_refuses (conn, &request, number))
        {
          record_arrival (id, number, work_time (&request) < WORK_USEC);
          g_usleep (work_time (&request));
          raw_printf (conn,
                      "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n"
                      "X-Response-Seal: s.%s\r\nKeep-Alive: timeout=5\r\n"
                      "Content-Length: 16\r\n\r\n%.16s",
                      work_time (&request) < WORK_USEC ? "504 Timeout"
                                                       : "200 OK",
                      id, id, "posted, shipped.");
        }
      g_free (id);
      raw_message_clear (&request);
    }
}

static GString *
make_request (const request_t *request, const char *id)
{
  size_t body = request->large ? LARGE_BODY_BYTES : SMALL_BODY_BYTES;
  GString *text = g_string_new (NULL);

  g_string_printf (text,
                   "POST /puxa403/2f HTTP/1.1\r\nHost: " STAND_HOST "\r\n"
                   "X-Attempt-Id: %s\r\nX-Deadline-Ms: %u\r\n"
                   "X-Api-Key: %s\r\nContent-Length: %zu\r\n",
                   id, DEADLINE_MS, request->large ? LARGE_KEY : STAND_KEY,
                   body);
  if (request->large)
    {
      g_string_append (text, "Cookie: session=");
      while (text->len < LARGE_HEAD_BYTES)
        g_string_append (text, "0123456789abcdef");
      g_string_append (text, "\r\n");
    }
  g_string_append (text, "\r\n");
  for (size_t i = 0; i < body; i++)
    g_string_append_c (text, 'x');
  return text;
}

/* Waits for the answer as long as the client does.
   @return status, 0 for none  */
static unsigned
read_status (raw_conn_t *conn, gs_time_t deadline)
{
  struct timeval left;
  char head[16] = "";
  gs_time_t remaining = MAX (deadline - gs_clock_now (), 1000);

  left.tv_sec = remaining / GS_SEC;
  left.tv_usec = remaining % GS_SEC;
  setsockopt (conn->fd, SOL_SOCKET, SO_RCVTIMEO, &left, sizeof left);
  if (recv (conn->fd, head, 12, MSG_WAITALL) < 12)
    return 0;
  return (unsigned)strtoul (head + strlen ("HTTP/1.1 "), NULL, 10);
}

static void
record_result (const request_t *request, const char *id, unsigned status,
               unsigned took_ms)
{
  result_t *result = &results[request->large];
  bool reached;

  g_mutex_lock (&lock);
  reached = g_hash_table_contains (arrived, id);
  result->asked++;
  result->served += status == 200;
  result->longer += status == 0 || took_ms > TIMEOUT_MS;
  result->late += status == 0 || took_ms > TIMEOUT_MS + ANSWER_SLACK_MS;
  result->reached += reached;
  open_requests--;
  g_cond_signal (&ended);
  g_mutex_unlock (&lock);
  stand_record ("%s, %s, sent to node %u: answer %u after %u ms, %s", id,
                request->large ? "large" : "small", request->number % NODES,
                status, took_ms, reached ? "has run" : "has not run");
}

static gpointer
run_request (gpointer context)
{
  request_t *request = context;
  gs_time_t start = gs_clock_now ();
  char id[32];
  GString *text;
  raw_conn_t conn;
  unsigned status = 0;

  g_snprintf (id, sizeof id, "%x%08x", request->large ? 0xb : 0xa,
              request->number);
  text = make_request (request, id);
  if (stand_connect (&conn, &world, request->number % NODES))
    {
      raw_send (&conn, text->str, text->len);
      status = read_status (&conn, start + DEADLINE_MS * GS_MSEC);
      raw_close (&conn);
    }
  record_result (request, id, status,
                 (unsigned)((gs_clock_now () - start) / GS_MSEC));
  g_string_free (text, TRUE);
  g_free (request);
  return NULL;
}

static void
start_request (unsigned number, bool large)
{
  request_t *request = g_new (request_t, 1);

  *request = (request_t){ number, large };
  g_mutex_lock (&lock);
  open_requests++;
  g_mutex_unlock (&lock);
  g_thread_unref (g_thread_new ("request", run_request, request));
}

static void
run_clients (unsigned large_interval_ms)
{
  unsigned start = stand_ms ();
  unsigned small = 0;
  unsigned large = 0;
  unsigned elapsed = 0;

  while (elapsed < RUN_MS)
    {
      for (; small * SMALL_INTERVAL_MS <= elapsed; small++)
        start_request (small, false);
      for (; large * large_interval_ms <= elapsed; large++)
        start_request (large, true);
      g_usleep (5000);
      elapsed = stand_ms () - start;
    }
  g_mutex_lock (&lock);
  while (open_requests > 0)
    g_cond_wait (&ended, &lock);
  g_mutex_unlock (&lock);
}

int
main (int argc, char **argv)
{
  static const stand_machine_t machines[NODES]
      = { { "ne-a", 390, 6150, 1500 },
          { "ne-a", 390, 6150, 1500 },
          { "ne-b", 780, 12300, 3000 },
          { "ne-c", 260, 4100, 1000 },
          { "ne-d", 260, 4100, 1000 } };
  bool trouble = stand_open (argc > 1 ? argv[1] : ".");
  unsigned longer;
  unsigned late;
  bool broken;

  arrived = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gw_create (&world, 0);
  for (unsigned i = 0; i < REPLICAS; i++)
    {
      replica_numbers[i] = i;
      raw_server_create (&replicas[i], serve_replica, &replica_numbers[i]);
      stand_replica_publish (&world, i, "order-desk",
                             i % 2 == 0 ? "ne-a" : "ne-b", SLOTS, replicas[i]);
    }
  gw_object_put (&world, "config", "main", json_loads (config, 0, NULL));
  for (unsigned i = 0; i < NODES; i++)
    stand_node_prepare (&world, i, &machines[i]);
  for (unsigned i = 0; i < NODES; i++)
    stand_node_start (&world, i);
  for (unsigned i = 0; i < NODES; i++)
    stand_node_wait (&world, i);
  g_usleep (CONTACT_MS * 1000);
  run_clients (trouble ? LARGE_INTERVAL_HOT_MS : LARGE_INTERVAL_MS);
  for (unsigned i = 0; i < G_N_ELEMENTS (results); i++)
    stand_record ("%s requests: %u, served %u, longer than timeout_ms %u, no"
                  " answer 0.5 s after it %u, reached a replica %u",
                  i == 1 ? "large" : "small", results[i].asked,
                  results[i].served, results[i].longer, results[i].late,
                  results[i].reached);
  longer = results[0].longer + results[1].longer;
  late = results[0].late + results[1].late;
  broken = late >= LATE_MIN && late * LATE_SHARE > longer;
  stand_exit (&world, broken ? STAND_BROKEN : STAND_HELD);
}
