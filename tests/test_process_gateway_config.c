#include "check.h"
#include "gateway_steps.h"

#include <signal.h>
#include <string.h>

/* Guards against a part of a configuration that cannot be used, or that
   exceeds a bound of the program, keeping the whole version from taking
   effect.  */

#define GATEWAYS 2
/* bounds.config_apply_ms of the users' deployments.  */
#define APPLY_TIME (2 * GS_SEC)
#define SERVICES 300
#define REQUESTS 20
#define NEW_KEY "new-key"

static json_t *
make_route (const char *prefix, const char *service)
{
  return json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:i}", "name", prefix,
                    "host", "caller.example", "path_prefix", prefix,
                    "route_kind", "non_idempotent", "timeout_ms", 800,
                    "goal_ms", 150, "max_attempts", 1, "service", service);
}

static json_t *
make_split (void)
{
  json_t *split = json_array ();

  for (unsigned i = 0; i < SERVICES; i++)
    {
      char *name = g_strdup_printf ("pool-%u", i);

      json_array_append_new (
          split, json_pack ("{s:s, s:f}", "service", name, "weight", 1e-9));
      g_free (name);
    }
  json_array_append_new (
      split, json_pack ("{s:s, s:f}", "service", "pool", "weight", 1000.0));
  return split;
}

static json_t *
make_services (void)
{
  json_t *services = json_pack ("[{s:s, s:s, s:i}]", "name", "pool",
                                "health_path", "/health", "max_conns", 100);

  for (unsigned i = 0; i < SERVICES; i++)
    {
      char *name = g_strdup_printf ("pool-%u", i);

      json_array_append_new (services, json_pack ("{s:s}", "name", name));
      g_free (name);
    }
  return services;
}

/* Writes version 2, which replaces the key.  "/a/" goes to "pool" and to 300
   services without replicas; "/a/none/" names no known service.  */
static void
write_config (void)
{
  json_t *split_route = make_route ("/a/", "pool");
  json_t *routes = json_array ();

  json_object_set_new (split_route, "weighted_split", make_split ());
  json_array_append_new (routes, make_route ("/a/none/", "unknown"));
  json_array_append_new (routes, split_route);
  json_array_append_new (routes, json_pack ("{s:s}", "name", "no host"));
  json_array_append_new (routes, json_string ("text"));
  gw_object_put (&world, "config", "main",
                 json_pack ("{s:i, s:o, s:o, s:[{s:i}, {s:s, s:[s, i]}]}",
                            "version", 2, "routes", routes, "services",
                            make_services (), "tenants", "name", 5, "name",
                            WORLD_ACCOUNT, "api_keys", NEW_KEY, 7));
}

static unsigned
request_status (unsigned gateway, const char *path, const char *key,
                const char *id)
{
  raw_conn_t conn;
  GString *answer;
  unsigned status;

  if (!gw_connect (&conn, &world, gateway))
    return 0;
  raw_printf (&conn,
              "POST %s HTTP/1.1\r\nHost: caller.example\r\n"
              "X-Attempt-Id: %s\r\nX-Deadline-Ms: 2500\r\nX-Api-Key: %s\r\n"
              "Connection: close\r\nContent-Length: 1\r\n\r\n1",
              path, id, key);
  answer = raw_read_until (&conn, 3 * GS_SEC, NULL);
  status = status_of (answer->str);
  g_string_free (answer, TRUE);
  raw_close (&conn);
  return status;
}

/* @return how many of the requests got the status  */
static unsigned
count_status (const char *path, const char *key, const char *name,
              unsigned status)
{
  unsigned count = 0;

  for (unsigned i = 0; i < REQUESTS; i++)
    {
      char *id = g_strdup_printf ("%s-%u", name, i);

      count += request_status (i % GATEWAYS, path, key, id) == status;
      g_free (id);
    }
  return count;
}

static void
check_version_is_in_force (const char *name)
{
  char *old = g_strdup_printf ("%s-old", name);
  char *served = g_strdup_printf ("%s-new", name);
  char *none = g_strdup_printf ("%s-none", name);

  CU_ASSERT_EQUAL (count_status ("/a/never/good", WORLD_API_KEY, old, 401),
                   REQUESTS);
  CU_ASSERT_EQUAL (count_status ("/a/never/good", NEW_KEY, served, 200),
                   REQUESTS);
  CU_ASSERT_EQUAL (count_status ("/a/none/good", NEW_KEY, none, 503),
                   REQUESTS);
  g_free (none);
  g_free (served);
  g_free (old);
}

static void
a_version_with_unusable_parts_revokes_its_keys (void)
{
  start_gateway (2);
  gw_start (&world, 1, true);
  CU_ASSERT_EQUAL (
      count_status ("/a/never/good", WORLD_API_KEY, "before", 200), REQUESTS);
  write_config ();
  g_usleep (APPLY_TIME);
  check_version_is_in_force ("applied");
  gw_signal (&world, 0, SIGKILL);
  gw_start (&world, 0, true);
  check_version_is_in_force ("started");
  end_world ();
}

static const check_case_t cases[] = {
  { "a version with unusable parts revokes its keys",
    a_version_with_unusable_parts_revokes_its_keys },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_config", cases);
}
