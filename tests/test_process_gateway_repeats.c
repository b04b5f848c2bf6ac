#include "check.h"
#include "gateway_steps.h"

#include <signal.h>
#include <string.h>

/* Guards against requests that nodes together send to replicas again more
   often than is allowed, while nodes are killed and start.  */

#define GATEWAYS WORLD_GATEWAYS_DEFAULT
#define REPLICAS 6
#define PLAY_TIME (13 * GS_SEC)
#define WINDOW (4 * GS_SEC)
#define RATIO 0.2
#define SLACK 50
#define REQUESTS_MAX 5000
#define DOWN_TIME (300 * GS_MSEC)
#define CUT_FROM (3 * GS_SEC)
#define CUT_UNTIL (9 * GS_SEC)
/* Nodes that stop as planned run on for four seconds, so that several stops
   take a longer window.  */
#define PLANNED_WINDOW (12 * GS_SEC)
#define PLANNED_PLAY_TIME (20 * GS_SEC)
#define PLANNED_INTERVAL (700 * GS_MSEC)
#define EXIT_TIMEOUT (10 * GS_SEC)
/* One in so many answers of the replicas is a failure.  */
#define FAILS_EVERY 2

typedef struct
{
  gs_time_t kill_interval;
  unsigned kills; /* nodes at a time */
  unsigned cut;   /* nodes that reach no replica from CUT_FROM to CUT_UNTIL */
  unsigned interval_usec;
  bool planned; /* all nodes are stopped as planned instead of killed */
} play_t;

typedef struct
{
  GArray *sent;    /* of gs_time_t */
  GArray *repeats; /* of gs_time_t */
  unsigned answered;
} play_result_t;

static unsigned
count_between (const GArray *times, gs_time_t from, gs_time_t until)
{
  unsigned count = 0;

  for (guint i = 0; i < times->len; i++)
    {
      gs_time_t at = g_array_index (times, gs_time_t, i);

      count += at >= from && at < until;
    }
  return count;
}

/* Requests may count in the window, the one before, or the one half a window
   before.
   @return by how many repeats the worst window exceeds what is allowed;
   negative if none does  */
static double
find_worst_window (const play_result_t *result, gs_time_t window,
                   unsigned *repeats_out, double *allowed_out)
{
  double worst = -1e9;

  for (guint i = 0; i < result->repeats->len; i++)
    {
      gs_time_t from = g_array_index (result->repeats, gs_time_t, i);
      unsigned repeats = count_between (result->repeats, from, from + window);
      unsigned requests = 0;
      double allowed;

      for (unsigned shift = 0; shift <= 2; shift++)
        requests = MAX (requests,
                        count_between (result->sent, from - shift * window / 2,
                                       from - shift * window / 2 + window));
      allowed = RATIO * requests + SLACK;
      if (repeats - allowed <= worst)
        continue;
      worst = repeats - allowed;
      *repeats_out = repeats;
      *allowed_out = allowed;
    }
  return worst;
}

/* Kills nodes in turn, or starts those that are down.  */
static void
kill_or_start (const play_t *play, bool kill, unsigned *next)
{
  for (unsigned i = 0; i < play->kills; i++)
    if (kill)
      gw_signal (&world, (*next + i) % GATEWAYS, SIGKILL);
    else
      gw_start (&world, (*next + i) % GATEWAYS, false);
  if (!kill)
    *next += play->kills;
}

/* Stops all nodes as planned, and starts each one that has exited.  */
static void
stop_and_start_as_planned (void)
{
  gs_time_t deadline = gs_clock_now () + EXIT_TIMEOUT;

  for (unsigned i = 0; i < GATEWAYS; i++)
    gw_signal (&world, i, SIGTERM);
  for (unsigned i = 0; i < GATEWAYS; i++)
    {
      CU_ASSERT_FATAL (gw_wait_exit (&world, i, deadline));
      gw_start (&world, i, false);
    }
}

static void
set_cut (const play_t *play, gs_time_t since_start)
{
  bool cut = since_start >= CUT_FROM && since_start < CUT_UNTIL;

  for (unsigned i = 0; i < play->cut; i++)
    gw_paths_set_mode (&world, i, cut ? PROXY_RESET : PROXY_PASS);
}

static void
start_nodes_and_failing_replicas (const play_t *play)
{
  start_world (REPLICAS);
  if (play->cut > 0)
    gw_paths_create (&world);
  world.settings = play->planned
                       ? "bounds.budget_window_s=12\nbounds.budget_ratio=0.2\n"
                       : "bounds.budget_window_s=4\nbounds.budget_ratio=0.2\n";
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  for (unsigned i = 0; i < GATEWAYS; i++)
    gw_start (&world, i, true);
  for (unsigned i = 0; i < REPLICAS; i++)
    gw_replica_faults_set (&world, i, FAILS_EVERY, 0);
}

static void
play_run (const play_t *play, play_result_t *result)
{
  static raw_conn_t conns[REQUESTS_MAX];
  bool down = false;
  unsigned next = 0;
  gs_time_t play_time = play->planned ? PLANNED_PLAY_TIME : PLAY_TIME;
  gs_time_t start;
  gs_time_t due;

  start_nodes_and_failing_replicas (play);
  start = gs_clock_now ();
  due = start + play->kill_interval;
  for (unsigned i = 0;
       gs_clock_now () < start + play_time && result->sent->len < REQUESTS_MAX;
       i++)
    {
      char *id = g_strdup_printf ("repeat-%u", i);
      gs_time_t now = gs_clock_now ();

      if (play->planned && now >= due)
        {
          stop_and_start_as_planned ();
          due = gs_clock_now () + play->kill_interval;
        }
      else if (play->kills > 0 && now >= due)
        {
          down = !down;
          due = now + (down ? DOWN_TIME : play->kill_interval - DOWN_TIME);
          kill_or_start (play, down, &next);
        }
      set_cut (play, now - start);
      if (gw_connect (&conns[result->sent->len], &world, i % GATEWAYS))
        {
          gw_send (&conns[result->sent->len], "POST", "/a/free/good", id,
                   "Connection: close\r\n", "x");
          g_array_append_val (result->sent, now);
        }
      g_free (id);
      g_usleep (play->interval_usec);
    }
  for (guint i = 0; i < result->sent->len; i++)
    {
      GString *answer = raw_read_until (&conns[i], 4 * GS_SEC, NULL);

      result->answered += status_of (answer->str) == 200;
      raw_close (&conns[i]);
      g_string_free (answer, TRUE);
    }
  result->repeats = gw_repeats_list (&world);
  end_world ();
}

/* Half of the requests fail at the first replica, and at least half of the
   share of the requests that may be sent again is.  */
static void
play_check (const play_t *play)
{
  play_result_t result
      = { .sent = g_array_new (FALSE, FALSE, sizeof (gs_time_t)) };
  unsigned repeats = 0;
  double allowed = 0;
  double excess;

  play_run (play, &result);
  excess = find_worst_window (&result, play->planned ? PLANNED_WINDOW : WINDOW,
                              &repeats, &allowed);
  printf ("\n  %u repeats in the worst window, %.0f allowed; %u in all, %u of"
          " %u answered ",
          repeats, allowed, result.repeats->len, result.answered,
          result.sent->len);
  CU_ASSERT (excess <= 0);
  CU_ASSERT (result.repeats->len >= RATIO / 2 * result.sent->len);
  CU_ASSERT (result.answered >= result.sent->len / 2 * 9 / 10);
  g_array_unref (result.repeats);
  g_array_unref (result.sent);
}

static void
repeats_stay_within_the_bound_while_replicas_fail (void)
{
  static const play_t play = { .interval_usec = 5000 };

  play_check (&play);
}

static void
repeats_stay_within_the_bound_while_all_nodes_are_killed_again_and_again (void)
{
  static const play_t play = { .kill_interval = 2 * GS_SEC,
                               .kills = GATEWAYS,
                               .interval_usec = 14000 };

  play_check (&play);
}

static void
repeats_stay_within_the_bound_while_all_nodes_start_often_under_load (void)
{
  static const play_t play = { .kill_interval = 1300 * GS_MSEC,
                               .kills = GATEWAYS,
                               .interval_usec = 5000 };

  play_check (&play);
}

static void
repeats_stay_within_the_bound_while_two_nodes_are_killed_in_turn (void)
{
  static const play_t play
      = { .kill_interval = 1 * GS_SEC, .kills = 2, .interval_usec = 10000 };

  play_check (&play);
}

/* The node that passes a request on and the one that gets it do not count it
   twice.  */
static void
repeats_stay_within_the_bound_while_nodes_pass_requests_on (void)
{
  static const play_t play = { .cut = 3, .interval_usec = 5000 };

  play_check (&play);
}

static void
repeats_stay_within_the_bound_while_all_nodes_stop_as_planned_in_series (void)
{
  static const play_t play = { .kill_interval = PLANNED_INTERVAL,
                               .planned = true,
                               .interval_usec = 5000 };

  play_check (&play);
}

static const check_case_t cases[] = {
  { "repeats stay within the bound while all nodes are killed again and again",
    repeats_stay_within_the_bound_while_all_nodes_are_killed_again_and_again },
  { "repeats stay within the bound while all nodes stop as planned in series",
    repeats_stay_within_the_bound_while_all_nodes_stop_as_planned_in_series },
  { "repeats stay within the bound while all nodes start often under load",
    repeats_stay_within_the_bound_while_all_nodes_start_often_under_load },
  { "repeats stay within the bound while nodes pass requests on",
    repeats_stay_within_the_bound_while_nodes_pass_requests_on },
  { "repeats stay within the bound while replicas fail",
    repeats_stay_within_the_bound_while_replicas_fail },
  { "repeats stay within the bound while two nodes are killed in turn",
    repeats_stay_within_the_bound_while_two_nodes_are_killed_in_turn },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_repeats", cases);
}
