#include "check.h"
#include "gateway_steps.h"

#include <string.h>
#include <sys/wait.h>

/* Guards against requests that cross between data centres without need, and
   against requests that are refused though another data centre has room.
   Gateway 0 and replicas 0 and 1 are in data centre "a", the others in
   "b".  */

#define REQUESTS 24
#define LOCAL_REPLICAS 2
/* Time after which the nodes know each other and have computed shares.  */
#define KNOWN_TIMEOUT (1500 * GS_MSEC)

static void
start_two_centres (const char *crossing)
{
  start_world (WORLD_REPLICAS_DEFAULT);
  gw_paths_create (&world);
  for (unsigned i = LOCAL_REPLICAS; i < WORLD_REPLICAS_DEFAULT; i++)
    {
      world.replicas[i].data_centre = "b";
      gw_replica_publish (&world, i, "ready");
    }
  world.gateways[0].crossing = crossing;
  world.gateways[1].data_centre = "b";
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  gw_start (&world, 0, true);
  gw_start (&world, 1, true);
  /* The share of a service is computed once it has had a request.  */
  for (unsigned i = 0; i < 2; i++)
    g_free (gw_request (&world, i, "POST", "/a/never/good", "first", "", "x"));
  g_usleep ((gulong)KNOWN_TIMEOUT);
}

/* @return whether an attempt reached a replica of data centre "b"  */
static bool
is_far (const char *id)
{
  const arrival_t *arrival = gw_arrival_find (&world, id);

  return arrival != NULL && arrival->replica >= LOCAL_REPLICAS;
}

typedef struct
{
  unsigned served;
  unsigned refused;
  unsigned crossed;
} counts_t;

/* Sends requests of gateway 0 one after the other.  */
static counts_t
send_requests (const char *name)
{
  counts_t counts = { 0, 0, 0 };

  for (unsigned i = 0; i < REQUESTS; i++)
    {
      char id[32];
      char *answer;

      g_snprintf (id, sizeof id, "%s-%u", name, i);
      answer = gw_request (&world, 0, "POST", "/a/never/good", id, "", id);
      counts.served += status_of (answer) == 200;
      counts.refused += status_of (answer) == 503;
      counts.crossed += is_far (id);
      g_free (answer);
    }
  return counts;
}

/* Takes the whole capacity of the local replicas, or as much of it as is sent
   there.  */
static void
open_streams (raw_conn_t *conns, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      char id[32];

      CU_ASSERT_TRUE_FATAL (gw_connect (&conns[i], &world, 0));
      g_snprintf (id, sizeof id, "open-%u", i);
      gw_send (&conns[i], "POST", "/a/stream/once/hang", id, "", id);
    }
  g_usleep (300000);
}

static void
close_streams (raw_conn_t *conns, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    raw_close (&conns[i]);
}

static void
requests_stay_in_a_data_centre_that_has_room (void)
{
  counts_t counts;
  char *metrics;

  start_two_centres ("auto");
  counts = send_requests ("stays");
  CU_ASSERT_EQUAL (counts.served, REQUESTS);
  CU_ASSERT_EQUAL (counts.crossed, 0);
  metrics = gw_metrics_get (&world, 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (metrics, "crossing_share{service=\"pool\","
                                           "data_centre=\"b\"} 0"));
  g_free (metrics);
  end_world ();
}

static void
requests_cross_when_local_replicas_are_full (void)
{
  raw_conn_t conns[LOCAL_REPLICAS * WORLD_IN_FLIGHT_MAX];
  counts_t counts;
  char *metrics;

  start_two_centres ("auto");
  open_streams (conns, G_N_ELEMENTS (conns));
  counts = send_requests ("full");
  printf ("\n  %u of %u served, %u crossed", counts.served, REQUESTS,
          counts.crossed);
  CU_ASSERT_EQUAL (counts.served, REQUESTS);
  CU_ASSERT (counts.crossed > 0);
  metrics = gw_metrics_get (&world, 0);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (metrics, "crossings_total{service=\"pool\""));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (metrics, "crossing_bytes_total{service=\"pool\""));
  g_free (metrics);
  close_streams (conns, G_N_ELEMENTS (conns));
  end_world ();
}

static void
nothing_crosses_where_that_is_forbidden (void)
{
  raw_conn_t conns[LOCAL_REPLICAS * WORLD_IN_FLIGHT_MAX];
  counts_t counts;

  start_two_centres ("never");
  counts = send_requests ("idle");
  CU_ASSERT_EQUAL (counts.served, REQUESTS);
  CU_ASSERT_EQUAL (counts.crossed, 0);
  open_streams (conns, G_N_ELEMENTS (conns));
  for (unsigned i = 0; i < G_N_ELEMENTS (conns); i++)
    {
      char id[32];

      g_snprintf (id, sizeof id, "open-%u", i);
      CU_ASSERT_FALSE (is_far (id));
    }
  close_streams (conns, G_N_ELEMENTS (conns));
  end_world ();
}

static void
data_centres_do_not_matter_with_always (void)
{
  counts_t counts;

  start_two_centres ("always");
  counts = send_requests ("any");
  CU_ASSERT_EQUAL (counts.served, REQUESTS);
  CU_ASSERT (counts.crossed > REQUESTS / 6);
  CU_ASSERT (counts.crossed < REQUESTS);
  end_world ();
}

/* All local replicas are lost, then those of the other data centre while
   requests cross there.  */
static void
a_data_centre_that_is_lost_is_left (void)
{
  counts_t counts;

  start_two_centres ("auto");
  for (unsigned i = 0; i < LOCAL_REPLICAS; i++)
    gw_object_remove (&world, "servers", world.replicas[i].id);
  g_usleep (500000);
  counts = send_requests ("away");
  CU_ASSERT_EQUAL (counts.served, REQUESTS);
  CU_ASSERT_EQUAL (counts.crossed, REQUESTS);
  for (unsigned i = 0; i < LOCAL_REPLICAS; i++)
    gw_replica_publish (&world, i, "ready");
  for (unsigned i = LOCAL_REPLICAS; i < WORLD_REPLICAS_DEFAULT; i++)
    gw_replica_crash (&world, i);
  g_usleep (500000);
  counts = send_requests ("back");
  CU_ASSERT_EQUAL (counts.served, REQUESTS);
  CU_ASSERT_EQUAL (counts.crossed, 0);
  end_world ();
}

static bool
has_closed (void *context)
{
  char *text = NULL;
  bool found
      = g_file_get_contents (world.gateways[0].log_path, &text, NULL, NULL)
        && strstr (text, "event=crossing_closed") != NULL;

  g_free (text);
  return found;
}

/* A link that loses packets in one direction takes requests and returns
   nothing, so they run into their deadlines.  Only the first ones may: the
   data centre behind it is closed.  The store is silent meanwhile.  */
static void
a_data_centre_that_answers_nothing_is_closed (void)
{
  raw_conn_t conns[LOCAL_REPLICAS * WORLD_IN_FLIGHT_MAX];
  raw_conn_t lost[WORLD_SLOTS];
  counts_t counts;

  start_two_centres ("auto");
  open_streams (conns, G_N_ELEMENTS (conns));
  gw_store_set_mode (&world, STORE_SILENT);
  raw_proxy_set_mode (world.paths[0][2], PROXY_NO_RESPONSES);
  raw_proxy_set_mode (world.paths[0][3], PROXY_NO_RESPONSES);
  for (unsigned i = 0; i < WORLD_SLOTS; i++)
    {
      char id[32];

      g_snprintf (id, sizeof id, "lost-%u", i);
      CU_ASSERT_TRUE_FATAL (gw_connect (&lost[i], &world, 0));
      gw_send (&lost[i], "POST", "/a/never/good", id, "", id);
    }
  /* The streams must not reach their deadlines, which would eject the local
     replicas.  */
  g_usleep (300000);
  close_streams (conns, G_N_ELEMENTS (conns));
  CU_ASSERT_TRUE (gw_wait_until (has_closed, NULL, 4 * GS_SEC));
  close_streams (lost, WORLD_SLOTS);
  g_usleep (300000);
  counts = send_requests ("local");
  CU_ASSERT_EQUAL (counts.served, REQUESTS);
  CU_ASSERT_EQUAL (counts.crossed, 0);
  /* The link is back: it must be used again.  */
  raw_proxy_set_mode (world.paths[0][2], PROXY_PASS);
  raw_proxy_set_mode (world.paths[0][3], PROXY_PASS);
  g_usleep (1500000);
  for (unsigned i = 0; i < G_N_ELEMENTS (conns); i++)
    {
      char id[32];

      g_snprintf (id, sizeof id, "again-%u", i);
      CU_ASSERT_TRUE_FATAL (gw_connect (&conns[i], &world, 0));
      gw_send (&conns[i], "POST", "/a/stream/once/hang", id, "", id);
    }
  g_usleep (300000);
  counts = send_requests ("back");
  printf ("\n  %u of %u served, %u crossed", counts.served, REQUESTS,
          counts.crossed);
  CU_ASSERT_EQUAL (counts.served, REQUESTS);
  CU_ASSERT (counts.crossed > 0);
  close_streams (conns, G_N_ELEMENTS (conns));
  end_world ();
}

/* @return exit status of the program with a value of --crossing, and a
   settings file that cannot be read  */
static int
exit_status_with (const char *crossing)
{
  const char *argv[] = { getenv ("GS_BINARY"), "gateway", "--config", "/none",
                         "--crossing",         crossing,  NULL };
  int status = -1;

  g_spawn_sync (NULL, (char **)argv, NULL, G_SPAWN_STDERR_TO_DEV_NULL, NULL,
                NULL, NULL, NULL, &status, NULL);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

static void
an_unknown_value_of_the_option_is_rejected (void)
{
  int accepted = exit_status_with ("auto");

  CU_ASSERT_EQUAL (exit_status_with ("never"), accepted);
  CU_ASSERT_EQUAL (exit_status_with ("always"), accepted);
  CU_ASSERT_NOT_EQUAL (exit_status_with ("sometimes"), accepted);
}

static const check_case_t cases[] = {
  { "requests stay in a data centre that has room",
    requests_stay_in_a_data_centre_that_has_room },
  { "requests cross when local replicas are full",
    requests_cross_when_local_replicas_are_full },
  { "nothing crosses where that is forbidden",
    nothing_crosses_where_that_is_forbidden },
  { "data centres do not matter with always",
    data_centres_do_not_matter_with_always },
  { "a data centre that is lost is left", a_data_centre_that_is_lost_is_left },
  { "a data centre that answers nothing is closed",
    a_data_centre_that_answers_nothing_is_closed },
  { "an unknown value of the option is rejected",
    an_unknown_value_of_the_option_is_rejected },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_centres", cases);
}
