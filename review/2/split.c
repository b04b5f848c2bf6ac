/* The operator splits a route over nine services and takes a key away in the
   same version of the configuration.  Two machines.  */
#include "../stand/stand.h"

#include <stdlib.h>
#include <string.h>

#define NODES 2
#define SERVICES 9
#define SLOTS 6
#define REQUESTS 20
#define ANSWER_TIME (500 * GS_MSEC)
#define CONTACT_MS 3000
/* bounds.config_apply_ms is 2000.  */
#define APPLY_MS 3000

#define DROPPED_KEY "n2ctnfzs989anu6wsjnb"

static gateway_world_t world;
static raw_server_t *replicas[SERVICES];
static unsigned replica_numbers[SERVICES];
static GMutex lock;
static unsigned runs[SERVICES];

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
          g_mutex_lock (&lock);
          runs[number]++;
          g_mutex_unlock (&lock);
          stand_record ("i-%u of pool-%u runs %s", number, number, id);
          raw_printf (conn,
                      "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                      "X-Response-Seal: s.%s\r\nKeep-Alive: timeout=5\r\n"
                      "Content-Length: 6\r\n\r\nposted",
                      id, id);
        }
      g_free (id);
      raw_message_clear (&request);
    }
}

/* @param splits services that the route is split over
   @param keys of the tenant, which the call takes over  */
static void
write_config (unsigned version, unsigned splits, json_t *keys)
{
  json_t *services = json_array ();
  json_t *split = json_array ();
  json_t *route
      = json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:b, s:b, s:b}",
                   "name", "order-post", "host", STAND_HOST, "path_prefix",
                   "/puxa403/", "route_kind", "non_idempotent", "timeout_ms",
                   800, "goal_ms", 150, "priority", 2, "max_attempts", 1,
                   "anonymous", 0, "session_affinity", 0, "stream_resume", 0);

  for (unsigned i = 0; i < SERVICES; i++)
    {
      char *name = g_strdup_printf ("pool-%u", i);

      json_array_append_new (services, json_pack ("{s:s, s:s, s:i, s:s, s:b}",
                                                  "name", name, "health_path",
                                                  "/health", "max_conns", 110,
                                                  "protocol", "h1", "tls", 0));
      if (i < splits)
        json_array_append_new (
            split, json_pack ("{s:s, s:i}", "service", name, "weight", 11));
      g_free (name);
    }
  if (splits > 1)
    json_object_set_new (route, "weighted_split", split);
  else
    {
      json_decref (split);
      json_object_set_new (route, "service", json_string ("pool-0"));
    }
  gw_object_put (&world, "config", "main",
                 json_pack ("{s:i, s:[o], s:o, s:{s:i, s:i, s:i, s:i},"
                            " s:[{s:s, s:o, s:i, s:s, s:i, s:i, s:i}]}",
                            "version", (int)version, "routes", route,
                            "services", services, "limits", "max_header_bytes",
                            16384, "max_body_bytes", 4194304,
                            "header_timeout_ms", 3000, "idle_timeout_ms",
                            15000, "tenants", "name", "hule930", "api_keys",
                            keys, "priority", 1, "unit", "token_count",
                            "plain_tokens", 200, "rate_per_s", 0, "burst", 0));
  stand_record ("the store acknowledges version %u: the route goes to %u"
                " service(s)",
                version, splits);
}

/* @return how many of the requests were served  */
static unsigned
send_requests (const char *name, const char *key)
{
  unsigned served = 0;

  for (unsigned i = 0; i < REQUESTS; i++)
    {
      raw_conn_t conn;
      GString *answer;

      if (!stand_connect (&conn, &world, i % NODES))
        {
          stand_record ("node %u refuses the connection", i % NODES);
          stand_exit (&world, STAND_NOT_RUN);
        }
      raw_printf (&conn,
                  "POST /puxa403/2f HTTP/1.1\r\nHost: " STAND_HOST "\r\n"
                  "X-Attempt-Id: %s%08x\r\nX-Deadline-Ms: 1500\r\n"
                  "X-Api-Key: %s\r\nConnection: close\r\n"
                  "Content-Length: 1\r\n\r\n1",
                  name, i, key);
      answer = raw_read_until (&conn, ANSWER_TIME, NULL);
      served += g_str_has_prefix (answer->str, "HTTP/1.1 200");
      stand_record ("%s%08x, sent to node %u: answer %.12s", name, i,
                    i % NODES, answer->str);
      g_string_free (answer, TRUE);
      raw_close (&conn);
    }
  return served;
}

int
main (int argc, char **argv)
{
  static const stand_machine_t machines[NODES]
      = { { "ne-a", 390, 6150, 1500 }, { "ne-b", 780, 12300, 3000 } };
  bool trouble = stand_open (argc > 1 ? argv[1] : ".");
  const char *kind = getenv ("TROUBLE");
  unsigned splits = g_strcmp0 (kind, "eight") == 0 ? 8 : SERVICES;
  unsigned before;
  unsigned kept = 0;
  unsigned dropped = 0;

  gw_create (&world, 0);
  for (unsigned i = 0; i < SERVICES; i++)
    {
      char *service = g_strdup_printf ("pool-%u", i);

      replica_numbers[i] = i;
      raw_server_create (&replicas[i], serve_replica, &replica_numbers[i]);
      stand_replica_publish (&world, i, service, "ne-a", SLOTS, replicas[i]);
      g_free (service);
    }
  write_config (1, 1, json_pack ("[s, s]", STAND_KEY, DROPPED_KEY));
  for (unsigned i = 0; i < NODES; i++)
    stand_node_prepare (&world, i, &machines[i]);
  for (unsigned i = 0; i < NODES; i++)
    stand_node_start (&world, i);
  for (unsigned i = 0; i < NODES; i++)
    stand_node_wait (&world, i);
  g_usleep (CONTACT_MS * 1000);
  before = send_requests ("before", DROPPED_KEY);
  if (trouble)
    {
      write_config (2, splits, json_pack ("[s]", STAND_KEY));
      g_usleep (APPLY_MS * 1000);
      kept = send_requests ("kept", STAND_KEY);
      dropped = send_requests ("dropped", DROPPED_KEY);
    }
  g_mutex_lock (&lock);
  stand_record ("served before the change %u of %u; after it, with the key"
                " that is left, %u; with the key that was taken away %u; run"
                " by pool-0 to pool-8: %u %u %u %u %u %u %u %u %u",
                before, REQUESTS, kept, dropped, runs[0], runs[1], runs[2],
                runs[3], runs[4], runs[5], runs[6], runs[7], runs[8]);
  stand_exit (&world, before < REQUESTS ? STAND_NOT_RUN
                      : dropped > 0     ? STAND_BROKEN
                                        : STAND_HELD);
}
