/* A part of prompts crashes replicas.  The nodes keep that in the store, which
   comes back from a copy some seconds old; then all nodes are killed.  */
#include "../../tests/gateway_world.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAYS 3
#define REPLICAS 6
/* Requests of a wave come at the same moment.  */
#define WAVE 2
#define WAVES 8
#define WAVE_INTERVAL (700 * GS_MSEC)
#define STORE_AWAY (300 * GS_MSEC)
#define CONTACT_TIME (3 * GS_SEC)
#define LATER_WAVES 12
#define LATER_INTERVAL (900 * GS_MSEC)
/* Requests with the part that may still reach replicas.  */
#define REACHING_MAX 3
#define FIFTH 4
#define PART "dead:400"
/* Sound requests that run when a wave of the others comes.  */
#define BESIDE 6
#define BESIDE_LEAD_USEC 150000
#define BESIDE_RUN_USEC 500000

static gateway_world_t world;
static FILE *record;
static gs_time_t begun_at;
static unsigned sent;
static unsigned lost; /* sound requests */

static void
note (const char *format, ...)
{
  va_list arguments;

  fprintf (record, "%7.3f s  ",
           (double)(gs_clock_now () - begun_at) / (double)GS_SEC);
  va_start (arguments, format);
  vfprintf (record, format, arguments);
  va_end (arguments);
  fputc ('\n', record);
  fflush (record);
}

typedef struct
{
  unsigned gateway;
  char id[32];
  char *answer;
} request_t;

static gpointer
send_harmful (gpointer argument)
{
  request_t *request = argument;
  char *headers
      = g_strdup_printf ("X-Model: m\r\nX-Token-Counts: 1000,40\r\n"
                         "X-Prompt-Prefix: aa01:500," PART ",%x:100\r\n",
                         (unsigned)g_str_hash (request->id));

  request->answer = gw_request (&world, request->gateway, "POST",
                                "/a/never/good", request->id, headers, "x");
  g_free (headers);
  return NULL;
}

static void
send_wave (void)
{
  request_t requests[WAVE];
  GThread *threads[WAVE];

  for (unsigned i = 0; i < WAVE; i++)
    {
      requests[i] = (request_t){ .gateway = sent % GATEWAYS };
      g_snprintf (requests[i].id, sizeof requests[i].id, "harm-%u", sent++);
      threads[i] = g_thread_new ("harm", send_harmful, &requests[i]);
    }
  for (unsigned i = 0; i < WAVE; i++)
    {
      g_thread_join (threads[i]);
      note ("%s at node-%u: %.12s, reached replicas %u times", requests[i].id,
            requests[i].gateway, requests[i].answer,
            gw_arrivals_count (&world, requests[i].id));
      g_free (requests[i].answer);
    }
}

/* Runs a sound request for a while.  */
static bool
run_sound (void *context, raw_conn_t *conn, arrival_t *arrival)
{
  (void)context;
  g_usleep (BESIDE_RUN_USEC);
  raw_printf (conn,
              "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
              "X-Response-Seal: s.%s\r\nContent-Length: 2\r\n\r\nok",
              arrival->id, arrival->id);
  return true;
}

static gpointer
send_beside (gpointer argument)
{
  request_t *request = argument;

  request->answer = gw_request (&world, request->gateway, "POST",
                                "/a/never/desk", request->id,
                                "X-Model: m\r\nX-Token-Counts: 600,40\r\n"
                                "X-Prompt-Prefix: aa01:500,77:100\r\n",
                                "x");
  return NULL;
}

/* Sends a wave while sound requests run.  */
static void
send_wave_beside_sound (unsigned number)
{
  request_t requests[BESIDE];
  GThread *threads[BESIDE];

  for (unsigned i = 0; i < BESIDE; i++)
    {
      requests[i] = (request_t){ .gateway = i % GATEWAYS };
      g_snprintf (requests[i].id, sizeof requests[i].id, "beside-%u-%u",
                  number, i);
      threads[i] = g_thread_new ("beside", send_beside, &requests[i]);
    }
  g_usleep (BESIDE_LEAD_USEC);
  send_wave ();
  for (unsigned i = 0; i < BESIDE; i++)
    {
      g_thread_join (threads[i]);
      if (!g_str_has_prefix (requests[i].answer, "HTTP/1.1 200"))
        {
          lost++;
          note ("%s, a sound request: %.12s, reached replicas %u times",
                requests[i].id, requests[i].answer,
                gw_arrivals_count (&world, requests[i].id));
        }
      g_free (requests[i].answer);
    }
}

static void
send_sound (unsigned number)
{
  char id[32];
  char *answer;

  g_snprintf (id, sizeof id, "sound-%u", number);
  answer = gw_request (&world, number % GATEWAYS, "POST", "/a/never/good", id,
                       "X-Model: m\r\nX-Token-Counts: 600,40\r\n"
                       "X-Prompt-Prefix: aa01:500,77:100\r\n",
                       "x");
  note ("%s: %.12s", id, answer);
  g_free (answer);
}

static void
pass_time (gs_time_t length)
{
  gs_time_t end = gs_clock_now () + length;

  while (gs_clock_now () < end)
    {
      gw_replicas_restart (&world);
      g_usleep (20000);
    }
}

static void
start_all (void)
{
  for (unsigned i = 0; i < GATEWAYS; i++)
    gw_start (&world, i, false);
  for (unsigned i = 0; i < GATEWAYS; i++)
    for (unsigned k = 0; k < 1500 && !gw_is_ready (&world, i); k++)
      pass_time (10 * GS_MSEC);
  note ("all nodes are ready");
}

static void
store_set_back (void)
{
  note ("the store is away, and comes back from its copy");
  gw_store_set_mode (&world, STORE_UNAVAILABLE);
  pass_time (STORE_AWAY);
  gw_store_set_back (&world);
  gw_store_set_mode (&world, STORE_NORMAL);
  for (unsigned i = 0; i < REPLICAS; i++)
    if (world.replicas[i].crashed_at == 0)
      gw_replica_publish (&world, i, "ready");
}

static void
kill_all (void)
{
  note ("all nodes are killed");
  for (unsigned i = 0; i < GATEWAYS; i++)
    gw_signal (&world, i, SIGKILL);
  world.started_before = true;
  pass_time (GS_SEC);
  start_all ();
}

int
main (int argc, char **argv)
{
  bool trouble = g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
  gs_time_t later;
  GArray *crashes;
  unsigned reaching;

  record = argc > 1 ? fopen (argv[1], "w") : NULL;
  if (record == NULL)
    return 2;
  begun_at = gs_clock_now ();
  gw_create (&world, REPLICAS);
  world.respond = run_sound;
  world.lease_ms = 3000;
  world.window_s = 5;
  world.settings = "limits.memory_mb=390\nbounds.retry_slack=58\n";
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  start_all ();
  for (unsigned i = 0; i < GATEWAYS; i++)
    send_sound (i);
  pass_time (CONTACT_TIME);
  note ("a copy of the store is made");
  gw_store_copy (&world);
  gw_crash_part_set (&world, PART);
  for (unsigned i = 0; i < WAVES; i++)
    {
      send_wave ();
      pass_time (WAVE_INTERVAL);
    }
  crashes = gw_crashes_list (&world);
  note ("replicas have crashed %u times", crashes->len);
  if (crashes->len <= FIFTH)
    return 2;
  if (trouble && g_strcmp0 (g_getenv ("REWIND"), "0") != 0)
    store_set_back ();
  pass_time (CONTACT_TIME);
  if (trouble)
    kill_all ();
  pass_time (CONTACT_TIME + GS_SEC);
  for (unsigned i = 0; i < GATEWAYS; i++)
    send_sound (GATEWAYS + i);
  later = gs_clock_now ();
  for (unsigned i = 0; i < LATER_WAVES; i++)
    {
      send_wave_beside_sound (i);
      pass_time (LATER_INTERVAL);
    }
  reaching = gw_arrivals_with (&world, PART, later);
  note ("%u sound requests of %u were not served meanwhile", lost,
        BESIDE * LATER_WAVES);
  note ("%u requests with the part reached replicas later than contact_ms"
        " after the fifth crash and after the nodes' start; allowed %u",
        reaching, REACHING_MAX);
  g_array_unref (crashes);
  gw_destroy (&world);
  fclose (record);
  return reaching > REACHING_MAX;
}
