#include "gateway_world.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <netinet/in.h>
#include <unistd.h>

#define READY_WAIT (15 * GS_SEC)
#define ANSWER_WAIT (8 * GS_SEC)
#define POLL_USEC 10000
#define EVENTS 6
#define EVENT_PAUSE_USEC 60000
#define HANG (5 * GS_SEC)

static json_t *
object_json (const char *name, uint64_t revision, json_t *spec)
{
  return json_pack ("{s:{s:s, s:I, s:I, s:[], s:b}, s:O, s:n}", "meta", "name",
                    name, "revision", (json_int_t)revision, "create_rev",
                    (json_int_t)revision, "finalizers", "deleting", 0, "spec",
                    spec, "status");
}

static uint64_t
revision_of (const json_t *object)
{
  return (uint64_t)json_integer_value (
      json_object_get (json_object_get (object, "meta"), "revision"));
}

static void
note_change (gateway_world_t *world, const char *kind, json_t *object,
             bool removed)
{
  json_array_append_new (world->history,
                         json_pack ("{s:I, s:s, s:{s:b, s:O}}", "revision",
                                    (json_int_t)world->revision, "kind", kind,
                                    "event", "removed", removed, "object",
                                    object));
  pthread_cond_broadcast (&world->changed);
}

static json_t *
put_locked (gateway_world_t *world, const char *kind, const char *name,
            json_t *spec)
{
  json_t *object = object_json (name, ++world->revision, spec);

  g_hash_table_replace (world->objects, g_strdup_printf ("%s/%s", kind, name),
                        object);
  note_change (world, kind, object, false);
  return object;
}

uint64_t
gw_put (gateway_world_t *world, const char *kind, const char *name,
        json_t *spec)
{
  uint64_t revision;

  pthread_mutex_lock (&world->lock);
  put_locked (world, kind, name, spec);
  revision = world->revision;
  pthread_mutex_unlock (&world->lock);
  json_decref (spec);
  return revision;
}

static void
remove_locked (gateway_world_t *world, const char *kind, const char *name)
{
  char *key = g_strdup_printf ("%s/%s", kind, name);
  json_t *object = g_hash_table_lookup (world->objects, key);

  if (object != NULL)
    {
      world->revision++;
      note_change (world, kind, object, true);
      g_hash_table_remove (world->objects, key);
    }
  g_free (key);
}

void
gw_remove (gateway_world_t *world, const char *kind, const char *name)
{
  pthread_mutex_lock (&world->lock);
  remove_locked (world, kind, name);
  pthread_mutex_unlock (&world->lock);
}

void
gw_compact (gateway_world_t *world)
{
  pthread_mutex_lock (&world->lock);
  world->oldest = world->revision;
  json_array_clear (world->history);
  pthread_cond_broadcast (&world->changed);
  pthread_mutex_unlock (&world->lock);
}

void
gw_set_store (gateway_world_t *world, store_mode_t mode)
{
  pthread_mutex_lock (&world->lock);
  world->store_mode = mode;
  pthread_cond_broadcast (&world->changed);
  pthread_mutex_unlock (&world->lock);
}

void
gw_set_store_of (gateway_world_t *world, unsigned gateway, store_mode_t mode)
{
  pthread_mutex_lock (&world->lock);
  world->store_mode_of[gateway] = mode;
  pthread_cond_broadcast (&world->changed);
  pthread_mutex_unlock (&world->lock);
}

static void
answer_json (raw_conn_t *conn, unsigned status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  raw_printf (conn,
              "HTTP/1.1 %u X\r\nContent-Type: application/json\r\n"
              "Content-Length: %zu\r\n\r\n%s",
              status, strlen (text), text);
  free (text);
  json_decref (body);
}

static json_t *
list_locked (gateway_world_t *world, const char *kind)
{
  json_t *items = json_array ();
  char *prefix = g_strdup_printf ("%s/", kind);
  GHashTableIter iter;
  gpointer key;
  gpointer object;

  g_hash_table_iter_init (&iter, world->objects);
  while (g_hash_table_iter_next (&iter, &key, &object))
    if (g_str_has_prefix (key, prefix))
      json_array_append (items, object);
  g_free (prefix);
  return json_pack ("{s:o, s:b, s:I}", "items", items, "has_more", 0,
                    "current_rev", (json_int_t)world->revision);
}

static json_t *
events_locked (gateway_world_t *world, const char *kind, uint64_t above)
{
  json_t *events = json_array ();
  size_t i;
  json_t *change;

  json_array_foreach (world->history, i, change)
  {
    if ((uint64_t)json_integer_value (json_object_get (change, "revision"))
            > above
        && strcmp (json_string_value (json_object_get (change, "kind")), kind)
               == 0)
      json_array_append (events, json_object_get (change, "event"));
  }
  return events;
}

/* @return status of HTTP; the body in @p out  */
static unsigned
watch_locked (gateway_world_t *world, const char *kind, uint64_t above,
              long wait_ms, json_t **out)
{
  struct timespec until;
  store_mode_t mode = world->store_mode;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += wait_ms / 1000;
  until.tv_nsec += wait_ms % 1000 * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  for (;;)
    {
      json_t *events;

      if (above < world->oldest)
        {
          *out = json_object ();
          return 410;
        }
      events = events_locked (world, kind, above);
      if (json_array_size (events) > 0 || world->stopping
          || world->store_mode != mode
          || pthread_cond_timedwait (&world->changed, &world->lock, &until)
                 != 0)
        {
          *out = json_pack ("{s:o, s:I}", "events", events, "current_rev",
                            (json_int_t)world->revision);
          return 200;
        }
      json_decref (events);
    }
}

static unsigned
write_locked (gateway_world_t *world, const char *kind, const char *name,
              const json_t *sent, bool create, json_t **out)
{
  char *key = g_strdup_printf ("%s/%s", kind, name);
  json_t *known = g_hash_table_lookup (world->objects, key);
  uint64_t revision = revision_of (sent);

  g_free (key);
  if (!create && known == NULL)
    {
      *out = json_object ();
      return 404;
    }
  if (known != NULL && (create || revision_of (known) != revision))
    {
      *out = json_incref (known);
      return 409;
    }
  *out = json_incref (
      put_locked (world, kind, name, json_object_get (sent, "spec")));
  return 200;
}

/* @return status of HTTP; the body in @p out  */
static unsigned
store_locked (gateway_world_t *world, const char *method, const char *target,
              const raw_message_t *request, json_t **out)
{
  char **parts = g_strsplit (target, "/", 5);
  char *kind = g_strndup (parts[3], strcspn (parts[3], "?"));
  char *name = parts[4] != NULL ? g_strndup (parts[4], strcspn (parts[4], "?"))
                                : NULL;
  const char *watch = strstr (target, "watch=");
  const char *wait = strstr (target, "wait_ms=");
  json_t *sent = json_loads (request->body->str, 0, NULL);
  char *key = g_strdup_printf ("%s/%s", kind, name != NULL ? name : "");
  json_t *known = g_hash_table_lookup (world->objects, key);
  unsigned status = 200;

  world->store_calls++;
  if (strcmp (method, "GET") == 0 && watch != NULL)
    status = watch_locked (world, kind,
                           strtoull (watch + strlen ("watch="), NULL, 10),
                           strtol (wait + strlen ("wait_ms="), NULL, 10), out);
  else if (strcmp (method, "GET") == 0 && name == NULL)
    *out = list_locked (world, kind);
  else if (strcmp (method, "GET") == 0)
    {
      status = known != NULL ? 200 : 404;
      *out = known != NULL ? json_incref (known) : json_object ();
    }
  else if (strcmp (method, "DELETE") == 0)
    {
      remove_locked (world, kind, name);
      *out = json_object ();
    }
  else
    {
      const char *own = json_string_value (
          json_object_get (json_object_get (sent, "meta"), "name"));

      status = write_locked (world, kind, own, sent,
                             strcmp (method, "POST") == 0, out);
    }
  json_decref (sent);
  g_free (key);
  g_free (name);
  g_free (kind);
  g_strfreev (parts);
  return status;
}

static store_mode_t
mode_for (const world_store_t *store)
{
  gateway_world_t *world = store->world;
  store_mode_t mode;

  pthread_mutex_lock (&world->lock);
  mode = world->store_mode;
  if (mode == STORE_GOOD)
    mode = world->store_mode_of[store->gateway];
  pthread_mutex_unlock (&world->lock);
  return mode;
}

static void
serve_store (void *context, raw_conn_t *conn)
{
  const world_store_t *store = context;
  gateway_world_t *world = store->world;
  raw_message_t request;

  while (raw_read_request (conn, &request))
    {
      store_mode_t mode = mode_for (store);
      char **words = g_strsplit (request.first, " ", 3);
      json_t *body = NULL;
      unsigned status = 503;

      if (mode == STORE_REFUSES)
        body = json_object ();
      else if (mode == STORE_GOOD || mode == STORE_LOSES)
        {
          pthread_mutex_lock (&world->lock);
          status = store_locked (world, words[0], words[1], &request, &body);
          pthread_mutex_unlock (&world->lock);
        }
      g_strfreev (words);
      raw_message_clear (&request);
      if (mode == STORE_SILENT || mode == STORE_LOSES)
        {
          json_decref (body);
          raw_wait_close (conn, gs_clock_now () + HANG);
          return;
        }
      if (body == NULL)
        return;
      answer_json (conn, status, body);
    }
}

static void
serve_provider (void *context, raw_conn_t *conn)
{
  gateway_world_t *world = context;
  raw_message_t request;

  while (raw_read_request (conn, &request))
    {
      bool usage = strstr (request.first, "/usage") != NULL;
      json_t *sent = json_loads (request.body->str, 0, NULL);
      char *fence = raw_header (&request, "X-Fence-Token");
      char *holder = raw_header (&request, "X-Duty-Holder");

      json_object_set_new (sent, "fence",
                           json_integer (strtol (fence, NULL, 10)));
      json_object_set_new (sent, "holder", json_string (holder));
      pthread_mutex_lock (&world->lock);
      json_array_append_new (usage ? world->usage : world->orders, sent);
      pthread_mutex_unlock (&world->lock);
      g_free (fence);
      g_free (holder);
      raw_message_clear (&request);
      answer_json (conn, 200, json_object ());
    }
}

static arrival_t *
note_arrival (world_replica_t *replica, const raw_message_t *request,
              unsigned *earlier)
{
  gateway_world_t *world = replica->world;
  arrival_t *arrival = g_new0 (arrival_t, 1);
  char *id = raw_header (request, "X-Attempt-Id");

  *earlier = 0;
  g_strlcpy (arrival->id, id != NULL ? id : "", sizeof arrival->id);
  arrival->head = g_strdup (request->head);
  arrival->first = g_strdup (request->first);
  arrival->body
      = g_string_new_len (request->body->str, (gssize)request->body->len);
  arrival->replica = replica->index;
  arrival->arrived_at = gs_clock_now ();
  pthread_mutex_lock (&world->lock);
  for (guint i = 0; i < world->arrivals->len; i++)
    *earlier
        += strcmp (((arrival_t *)world->arrivals->pdata[i])->id, arrival->id)
           == 0;
  g_ptr_array_add (world->arrivals, arrival);
  pthread_mutex_unlock (&world->lock);
  g_free (id);
  return arrival;
}

#define SEALED "X-Attempt-Id: %s\r\nX-Response-Seal: s.%s\r\n"

static void
answer_plain (raw_conn_t *conn, const arrival_t *arrival, unsigned status)
{
  raw_printf (conn, "HTTP/1.1 %u X\r\n" SEALED "Content-Length: %zu\r\n\r\n%s",
              status, arrival->id, arrival->id, strlen (arrival->id),
              arrival->id);
}

/* @param from first event, @param to last, 0 to @p torn bytes of the next */
static void
send_events (raw_conn_t *conn, unsigned from, unsigned to, bool torn)
{
  for (unsigned i = from; i <= to; i++)
    {
      char *event = g_strdup_printf ("id: %u\ndata: event %u\n\n", i, i);

      g_usleep (EVENT_PAUSE_USEC);
      raw_printf (conn, "%zx\r\n%s\r\n", strlen (event), event);
      g_free (event);
    }
  if (torn)
    raw_printf (conn, "%x\r\nid: %u\nda\r\n", 9, to + 1);
}

static void
answer_stream (raw_conn_t *conn, const arrival_t *arrival, unsigned last,
               bool torn)
{
  raw_message_t as_sent = { NULL, arrival->head, NULL };
  char *after = raw_header (&as_sent, "Last-Event-Id");
  unsigned from = after != NULL ? (unsigned)strtoul (after, NULL, 10) + 1 : 1;

  raw_printf (conn,
              "HTTP/1.1 200 OK\r\n" SEALED
              "Content-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n\r\n",
              arrival->id, arrival->id);
  send_events (conn, from, last, torn);
  if (!torn)
    raw_printf (conn, "0\r\n\r\n");
  g_free (after);
}

#define CANNED_SEAL "X-Attempt-Id: $ID\r\nX-Response-Seal: s.$ID\r\n"

/* Answers that are always the same, with the attempt's id for $ID.  */
static const struct
{
  const char *name;
  const char *text;
  bool closes;
  bool resets;
} canned[] = {
  { "noseal", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", false, false },
  { "encoded",
    "HTTP/1.1 200 OK\r\n" CANNED_SEAL "Content-Encoding: gzip\r\n"
    "Content-Length: 2\r\n\r\nno",
    false, false },
  { "foreign",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\nX-Response-Seal: s\r\n"
    "Content-Length: 5\r\n\r\nother",
    false, false },
  { "unframed", "HTTP/1.1 200 OK\r\n" CANNED_SEAL "\r\nwhole", true, false },
  { "unframed-reset", "HTTP/1.1 200 OK\r\n" CANNED_SEAL "\r\nwho", true,
    true },
  { "short", "HTTP/1.1 200 OK\r\n" CANNED_SEAL "Content-Length: 9\r\n\r\nwho",
    true, false },
  { "noise", "no answer at all\r\n\r\n", true, false },
  { "die", "", true, false },
  { "full", "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    false, false },
  { "moved",
    "HTTP/1.1 421 X\r\nX-Instance-Id: other\r\nX-Not-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n",
    false, false },
};

#define SECOND_ANSWER                                                         \
  "HTTP/1.1 200 OK\r\n" CANNED_SEAL "Content-Length: 5\r\n\r\nextra"

static void
send_canned (raw_conn_t *conn, const char *text, const char *id)
{
  char **parts = g_strsplit (text, "$ID", -1);
  char *whole = g_strjoinv (id, parts);

  raw_send (conn, whole, strlen (whole));
  g_free (whole);
  g_strfreev (parts);
}

/* @return false when it is not one of those  */
static bool
answer_canned (raw_conn_t *conn, const arrival_t *arrival, const char *what,
               bool *keep)
{
  for (size_t i = 0; i < G_N_ELEMENTS (canned); i++)
    {
      if (strcmp (canned[i].name, what) != 0)
        continue;
      send_canned (conn, canned[i].text, arrival->id);
      *keep = !canned[i].closes;
      if (canned[i].resets)
        {
          g_usleep (EVENT_PAUSE_USEC);
          raw_set_reset (conn);
        }
      return true;
    }
  return false;
}

/* @return what the path asks for; what ends with "-once" is done to the first
   arrival of an attempt only  */
static char *
asked_of (const arrival_t *arrival, unsigned earlier)
{
  char **words = g_strsplit (arrival->first, " ", 3);
  char *path = g_strndup (words[1], strcspn (words[1], "?"));
  char *what = g_strdup (strrchr (path, '/') + 1);

  if (g_str_has_suffix (what, "-once"))
    {
      if (earlier > 0)
        g_strlcpy (what, "good", strlen (what) + 1);
      else
        what[strlen (what) - strlen ("-once")] = '\0';
    }
  g_free (path);
  g_strfreev (words);
  return what;
}

/* Behaves as the path's last part says.  @return false to close  */
static bool
behave (raw_conn_t *conn, arrival_t *arrival, unsigned earlier)
{
  char *what = asked_of (arrival, earlier);
  bool keep = true;

  if (answer_canned (conn, arrival, what, &keep))
    ;
  else if (strcmp (what, "extra") == 0)
    {
      answer_plain (conn, arrival, 200);
      send_canned (conn, SECOND_ANSWER, arrival->id);
    }
  else if (strcmp (what, "late-extra") == 0)
    {
      answer_plain (conn, arrival, 200);
      g_usleep (EVENT_PAUSE_USEC);
      send_canned (conn, SECOND_ANSWER, arrival->id);
    }
  else if (strcmp (what, "fails") == 0)
    answer_plain (conn, arrival, 500);
  else if (strcmp (what, "hang") == 0)
    {
      if (raw_wait_close (conn, gs_clock_now () + HANG))
        arrival->closed_at = gs_clock_now ();
      keep = false;
    }
  else if (strcmp (what, "torn") == 0)
    {
      answer_stream (conn, arrival, EVENTS / 2, true);
      keep = false;
    }
  else if (strstr (arrival->first, "/stream/") != NULL)
    answer_stream (conn, arrival, EVENTS, false);
  else
    answer_plain (conn, arrival, 200);
  g_free (what);
  return keep;
}

static void
serve_replica (void *context, raw_conn_t *conn)
{
  world_replica_t *replica = context;
  raw_message_t request;
  bool keep = true;

  while (keep && raw_read_request (conn, &request))
    {
      unsigned earlier;
      arrival_t *arrival = note_arrival (replica, &request, &earlier);

      raw_message_clear (&request);
      keep = behave (conn, arrival, earlier);
    }
}

void
gw_list_replica (gateway_world_t *world, unsigned replica, const char *state)
{
  world_replica_t *row = &world->replicas[replica];
  char *address
      = g_strdup_printf ("127.0.0.1:%u", raw_server_port (row->server));

  gw_put (world, "servers", row->id,
          json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i}", "service",
                     "pool", "address", address, "zone", "a", "version", "v1",
                     "slots", 8, "state", state, "cold_left_ms", 0, "sequence",
                     1));
  g_free (address);
}

static json_t *
route (const char *name, const char *prefix, const char *kind, bool resume,
       unsigned runs)
{
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b, s:b, s:b, s:i}",
      "name", name, "host", "Caller.Example", "path_prefix", prefix,
      "route_kind", kind, "timeout_ms", 3000, "goal_ms", 1000, "priority", 1,
      "service", "pool", "max_attempts", (int)runs, "anonymous", 0,
      "session_affinity", 0, "stream_resume", resume, "gap_aim_ms", 400);
}

uint64_t
gw_configure (gateway_world_t *world, unsigned version, const char *prefix,
              const char *key)
{
  json_t *routes = json_array ();
  char *names[] = { "never", "free", "stream/once", "stream/resume" };

  for (unsigned i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char *path = g_strdup_printf ("%s%s/", prefix, names[i]);

      json_array_append_new (routes, route (names[i], path,
                                            i == 0   ? "non_idempotent"
                                            : i == 1 ? "idempotent"
                                                     : "streaming",
                                            i == 3, i == 0 || i == 2 ? 1 : 2));
      g_free (path);
    }
  return gw_put (
      world, "config", "main",
      json_pack ("{s:i, s:o, s:[{s:s, s:s, s:i}], s:{s:i, s:i, s:i, s:i},"
                 " s:[{s:s, s:[s], s:i, s:s, s:i, s:i, s:i}]}",
                 "version", (int)version, "routes", routes, "services", "name",
                 "pool", "health_path", "/health", "max_conns", 100, "limits",
                 "max_header_bytes", 16384, "max_body_bytes", 100000,
                 "header_timeout_ms", 3000, "idle_timeout_ms", 15000,
                 "tenants", "name", WORLD_ACCOUNT, "api_keys", key, "priority",
                 1, "unit", "token_count", "plain_tokens", 1, "rate_per_s", 0,
                 "burst", 0));
}

static void
arrival_free (gpointer data)
{
  arrival_t *arrival = data;

  g_free (arrival->head);
  g_free (arrival->first);
  g_string_free (arrival->body, TRUE);
  g_free (arrival);
}

static void
release (gpointer object)
{
  json_decref (object);
}

void
gw_create (gateway_world_t *world, unsigned replicas)
{
  *world = (gateway_world_t){ .revision = 10 };
  pthread_mutex_init (&world->lock, NULL);
  pthread_cond_init (&world->changed, NULL);
  world->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, release);
  world->history = json_array ();
  world->usage = json_array ();
  world->orders = json_array ();
  world->arrivals = g_ptr_array_new_with_free_func (arrival_free);
  world->directory = g_dir_make_tmp ("gateway-XXXXXX", NULL);
  for (unsigned i = 0; i < WORLD_GATEWAYS_MAX; i++)
    {
      world->stores[i].world = world;
      world->stores[i].gateway = i;
      raw_server_create (&world->stores[i].server, serve_store,
                         &world->stores[i]);
    }
  raw_server_create (&world->provider, serve_provider, world);
  world->replica_count = replicas;
  for (unsigned i = 0; i < replicas; i++)
    {
      world_replica_t *replica = &world->replicas[i];

      replica->world = world;
      replica->index = i;
      g_snprintf (replica->id, sizeof replica->id, "i-%u", i);
      raw_server_create (&replica->server, serve_replica, replica);
      replica->port = raw_server_port (replica->server);
      gw_list_replica (world, i, "ready");
    }
}

static uint16_t
free_port (void)
{
  raw_server_t *server;
  uint16_t port;

  raw_server_create (&server, NULL, NULL);
  port = raw_server_port (server);
  raw_server_destroy (server);
  return port;
}

static void
write_settings (gateway_world_t *world, unsigned index)
{
  world_gateway_t *gateway = &world->gateways[index];
  unsigned host = index + 2;
  char *seeds = index == 0 ? g_strdup ("")
                           : g_strdup_printf ("seed_nodes=127.0.0.2:%u\n",
                                              world->gateways[0].peers);
  char *text = g_strdup_printf (
      "node=%s\nzone=a\nregion=r\nbind.front=127.0.0.%u:%u\n"
      "bind.ready=127.0.0.%u:%u\nbind.directory=127.0.0.%u:%u\n"
      "bind.control=127.0.0.%u:%u\n%splatform.address=127.0.0.1:%u\n"
      "provider.address=127.0.0.1:%u\nlimits.max_fds=3000\n"
      "bounds.window_s=1\nbounds.usage_late_s=10\nbounds.lease_ms=500\n"
      "bounds.grace_s=8\nbounds.drain_ms=2000\nbounds.retry_slack=50\n"
      "unknown.key=1\n",
      gateway->name, host, gateway->callers, host, gateway->readiness, host,
      gateway->addresses, host, gateway->peers, seeds,
      raw_server_port (world->stores[index].server),
      raw_server_port (world->provider));

  g_file_set_contents (gateway->settings, text, -1, NULL);
  g_free (text);
  g_free (seeds);
}

static void
run_gateway (const world_gateway_t *gateway)
{
  const char *binary = getenv ("GS_BINARY");

  if (binary == NULL)
    _exit (127);
  int log = open (gateway->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  dup2 (log, STDOUT_FILENO);
  dup2 (log, STDERR_FILENO);
  execl (binary, binary, "gateway", "--config", gateway->settings, NULL);
  _exit (127);
}

void
gw_start (gateway_world_t *world, unsigned index, bool ready)
{
  world_gateway_t *gateway = &world->gateways[index];
  gs_time_t deadline = gs_clock_now () + READY_WAIT;

  if (gateway->settings == NULL)
    {
      g_snprintf (gateway->name, sizeof gateway->name, "node-%u", index);
      gateway->callers = free_port ();
      gateway->readiness = free_port ();
      gateway->addresses = free_port ();
      gateway->peers = free_port ();
      gateway->settings
          = g_strdup_printf ("%s/%s.conf", world->directory, gateway->name);
      gateway->log
          = g_strdup_printf ("%s/%s.log", world->directory, gateway->name);
      write_settings (world, index);
    }
  gateway->pid = fork ();
  if (gateway->pid == 0)
    run_gateway (gateway);
  while (ready && !gw_is_ready (world, index))
    {
      if (gs_clock_now () > deadline)
        {
          fprintf (stderr, "%s is not ready, see %s\n", gateway->name,
                   gateway->log);
          exit (1);
        }
      g_usleep (POLL_USEC);
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

bool
gw_wait_end (gateway_world_t *world, unsigned index, gs_time_t deadline)
{
  world_gateway_t *gateway = &world->gateways[index];

  while (gs_clock_now () < deadline)
    {
      if (waitpid (gateway->pid, NULL, WNOHANG) == gateway->pid)
        {
          gateway->pid = 0;
          return true;
        }
      g_usleep (POLL_USEC);
    }
  return false;
}

static bool
connect_gateway (raw_conn_t *conn, unsigned index, uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  conn->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  conn->in = g_string_new (NULL);
  address.sin_port = htons (port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK + index + 1);
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

  if (!connect_gateway (&conn, index, world->gateways[index].readiness))
    return false;
  raw_printf (&conn, "GET /garnetstack/ready HTTP/1.1\r\nHost: x\r\n"
                     "Connection: close\r\n\r\n");
  answer = raw_read_all (&conn, GS_SEC, NULL);
  ready = g_str_has_prefix (answer->str, "HTTP/1.1 200");
  g_string_free (answer, TRUE);
  raw_close (&conn);
  return ready;
}

bool
gw_wait (bool (*condition) (void *), void *context, gs_time_t most)
{
  gs_time_t deadline = gs_clock_now () + most;

  while (!condition (context))
    {
      if (gs_clock_now () > deadline)
        return false;
      g_usleep (POLL_USEC);
    }
  return true;
}

bool
gw_connect (raw_conn_t *conn, gateway_world_t *world, unsigned index)
{
  return connect_gateway (conn, index, world->gateways[index].callers);
}

void
gw_send (raw_conn_t *conn, const char *method, const char *target,
         const char *id, const char *extra, const char *body)
{
  raw_printf (conn,
              "%s %s HTTP/1.1\r\nHost: caller.example\r\nX-Attempt-Id: %s\r\n"
              "X-Deadline-Ms: 2500\r\nX-Api-Key: " WORLD_KEY "\r\n%s",
              method, target, id, extra);
  if (body != NULL)
    raw_printf (conn, "Content-Length: %zu\r\n\r\n%s", strlen (body), body);
  else
    raw_printf (conn, "\r\n");
}

char *
gw_ask (gateway_world_t *world, unsigned index, const char *method,
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
  answer = raw_read_all (&conn, ANSWER_WAIT, NULL);
  raw_close (&conn);
  g_free (closing);
  return g_string_free (answer, FALSE);
}

unsigned
gw_arrivals (gateway_world_t *world, const char *id)
{
  unsigned count = 0;

  pthread_mutex_lock (&world->lock);
  for (guint i = 0; i < world->arrivals->len; i++)
    count += strcmp (((arrival_t *)world->arrivals->pdata[i])->id, id) == 0;
  pthread_mutex_unlock (&world->lock);
  return count;
}

const arrival_t *
gw_arrival (gateway_world_t *world, const char *id)
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
remove_directory (gateway_world_t *world)
{
  for (unsigned i = 0; i < WORLD_GATEWAYS_MAX; i++)
    if (world->gateways[i].settings != NULL)
      {
        g_unlink (world->gateways[i].settings);
        g_unlink (world->gateways[i].log);
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
  raw_server_destroy (world->provider);
  for (unsigned i = 0; i < world->replica_count; i++)
    raw_server_destroy (world->replicas[i].server);
  if (getenv ("GS_KEEP_LOGS") == NULL)
    remove_directory (world);
  for (unsigned i = 0; i < WORLD_GATEWAYS_MAX; i++)
    {
      g_free (world->gateways[i].settings);
      g_free (world->gateways[i].log);
    }
  g_hash_table_unref (world->objects);
  json_decref (world->history);
  json_decref (world->usage);
  json_decref (world->orders);
  g_ptr_array_unref (world->arrivals);
  g_free (world->directory);
  pthread_cond_destroy (&world->changed);
  pthread_mutex_destroy (&world->lock);
}
