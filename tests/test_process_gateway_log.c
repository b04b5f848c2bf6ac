#include "check.h"
#include "gateway_steps.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

/* A separate thread writes log lines to the file.  */
#define LOG_WRITE_TIMEOUT (3 * GS_SEC)
#define POLL_INTERVAL_USEC 20000
/* Each request completes within this time, also if the log is not read.  */
#define RESPONSE_TIMEOUT (500 * GS_MSEC)
/* Enough requests for more lines than the pipe and the log queue hold, which
   is one megabyte.  */
#define UNREAD_REQUEST_COUNT 3000

/* @return output of `garnetstack explain` for a request, freed by the caller
 */
static char *
explain_run (const char *id)
{
  const char *binary = g_getenv ("GS_BINARY");
  char *arguments[] = { (char *)(binary != NULL ? binary : ""),
                        (char *)"explain",
                        (char *)"--log",
                        world.gateways[0].log_path,
                        (char *)id,
                        NULL };
  char *out = NULL;

  g_spawn_sync (NULL, arguments, NULL, G_SPAWN_DEFAULT, NULL, NULL, &out, NULL,
                NULL, NULL);
  return out != NULL ? out : g_strdup ("");
}

/* Runs explain_run() until the request's last line has been logged.
   @return the output, freed by the caller  */
static char *
explain_request (const char *id)
{
  gs_time_t deadline = gs_clock_now () + LOG_WRITE_TIMEOUT;
  char *text = explain_run (id);

  while (strstr (text, "event=request ") == NULL && gs_clock_now () < deadline)
    {
      g_usleep (POLL_INTERVAL_USEC);
      g_free (text);
      text = explain_run (id);
    }
  return text;
}

/* @return true if one line of a text contains all words  */
static bool
has_line_with_words (const char *text, const char *const *words)
{
  char **lines = g_strsplit (text, "\n", -1);
  bool found = false;

  for (char **line = lines; *line != NULL && !found; line++)
    {
      found = true;
      for (const char *const *word = words; *word != NULL; word++)
        found = found && strstr (*line, *word) != NULL;
    }
  g_strfreev (lines);
  return found;
}

/* Log lines that lead from a failed request to its cause, as in the steps of
   docs/OPERATIONS.md.  */
typedef struct
{
  const char *target;
  unsigned status;
  const char *lines[4][6];
} explained_case_t;

static const explained_case_t explained_cases[] = {
  { "/a/stream/once/torn",
    200,
    { { "event=placed", "service=pool", "replica=i-",
        "candidates=", "peers_age_ms=" },
      { "event=attempt", "outcome=unknown", "began=1", "last_event=3" },
      { "event=request", "outcome=failed", "runs=1", "events=3" } } },
  { "/a/never/hang",
    504,
    { { "event=placed", "in_flight=", "backlog=", "wait_ms=" },
      { "event=request", "outcome=failed", "status=504",
        "reason=deadline" } } },
  { "/b/never/good",
    404,
    { { "event=request", "outcome=denied", "status=404",
        "reason=no_route" } } },
  /* Last, because the gateway avoids a replica for a while after it was
     full.  */
  { "/a/never/full",
    503,
    { { "event=attempt", "outcome=not_run", "status=503" },
      { "event=request", "outcome=refused", "status=503", "runs=0" } } },
};

static void
the_log_explains_each_failed_request (void)
{
  start_gateway (2);
  for (size_t i = 0; i < G_N_ELEMENTS (explained_cases); i++)
    {
      const explained_case_t *row = &explained_cases[i];
      char *id = g_strdup_printf ("walk-%zu", i);
      char *answer = gw_request (&world, 0, "POST", row->target, id, "", "x");
      char *text;

      CU_ASSERT_EQUAL (status_of (answer), row->status);
      text = explain_request (id);
      for (size_t j = 0; row->lines[j][0] != NULL; j++)
        {
          bool found = has_line_with_words (text, row->lines[j]);

          if (!found)
            printf ("\n  %s, step %zu: %s\n", row->target, j, text);
          CU_ASSERT_TRUE (found);
        }
      /* The node's configuration at that time is logged as well.  */
      CU_ASSERT_PTR_NOT_NULL (strstr (text, "event=routes_in_force"));
      g_free (text);
      g_free (answer);
      g_free (id);
    }
  end_world ();
}

static void
an_invalid_header_is_logged (void)
{
  static const char *const ignored[]
      = { "event=header_ignored", "id=odd", "header=X-Token-Counts",
          "value=many", NULL };
  char *text;

  start_gateway (1);
  g_free (gw_request (&world, 0, "POST", "/a/never/good", "odd",
                      "X-Token-Counts: many\r\n", "x"));
  text = explain_request ("odd");
  CU_ASSERT_TRUE (has_line_with_words (text, ignored));
  g_free (text);
  end_world ();
}

/* The replica is at its capacity, so the request waits behind others.  */
static void
the_log_shows_that_a_late_request_waited (void)
{
  static const char *const placed[]
      = { "event=placed", "id=behind", "candidates=1", NULL };
  static const char *const at_once[] = { "event=placed", "wait_ms=0 ", NULL };
  raw_conn_t conns[WORLD_IN_FLIGHT_MAX];
  char *text;

  CU_ASSERT_TRUE_FATAL (start_saturated (conns));
  g_free (gw_request (&world, 0, "POST", "/a/never/good", "behind", "", "x"));
  text = explain_request ("behind");
  if (!has_line_with_words (text, placed)
      || has_line_with_words (text, at_once))
    printf ("\n  %s\n", text);
  CU_ASSERT_TRUE (has_line_with_words (text, placed));
  CU_ASSERT_FALSE (has_line_with_words (text, at_once));
  g_free (text);
  end_saturated (conns);
}

/* Series that an engineer on call needs.  */
static const char *const expected_series[]
    = { "garnetstack_requests_total{",
        "reason=\"replica_answered\"",
        "garnetstack_first_event_seconds_bucket{",
        "garnetstack_event_pace_seconds_bucket{",
        "garnetstack_answer_seconds_bucket{",
        "garnetstack_wait_seconds_bucket{",
        "garnetstack_traffic_lag_seconds_bucket{",
        "garnetstack_waiting{service=\"pool\"}",
        "garnetstack_in_flight{service=\"pool\"}",
        "garnetstack_resends_left{service=\"pool\"}",
        "garnetstack_account_used{account=\"" WORLD_ACCOUNT "\"} 120",
        "garnetstack_account_limit_per_second{account=\"" WORLD_ACCOUNT "\"}",
        "garnetstack_config_version{} 2",
        "garnetstack_config_age_seconds",
        "garnetstack_store_calls_total{call=\"watch\",result=\"ok\"}",
        "garnetstack_store_lost_seconds",
        "garnetstack_replicas{service=\"pool\"",
        "garnetstack_process_resident_bytes" };

static void
metrics_contain_the_series_that_operators_need (void)
{
  char *text;

  start_gateway (1);
  gw_configure_limit (&world, 2, "token_count", 1000, 1000);
  g_usleep (GS_SEC);
  g_free (gw_request (&world, 0, "POST", "/a/stream/once/good", "metered",
                      "X-Token-Counts: 100,20\r\n", "x"));
  g_usleep (GS_SEC);
  text = gw_metrics_get (&world, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (expected_series); i++)
    {
      if (strstr (text, expected_series[i]) == NULL)
        printf ("\n  missing: %s", expected_series[i]);
      CU_ASSERT_PTR_NOT_NULL (strstr (text, expected_series[i]));
    }
  /* No label holds request IDs, so the number of series stays bounded.  */
  CU_ASSERT_PTR_NULL (strstr (text, "metered"));
  g_free (text);
  end_world ();
}

/* Reads a pipe until it stays empty for one second in total.
   @return the text, freed by the caller  */
static char *
pipe_drain (int fd)
{
  GString *text = g_string_new (NULL);
  char block[65536];
  ssize_t count;

  for (unsigned quiet = 0; quiet < 20;)
    {
      count = read (fd, block, sizeof block);
      if (count > 0)
        g_string_append_len (text, block, count);
      else
        {
          quiet++;
          g_usleep (50000);
        }
    }
  return g_string_free (text, FALSE);
}

/* Without a reader, the log's pipe is full after some hundred lines.  */
static void
a_stalled_log_reader_delays_no_request (void)
{
  char *path;
  char *head;
  char *tail;
  char *text;
  int reader;

  start_world (1);
  path = g_strdup_printf ("%s/node-0.log", world.directory);
  CU_ASSERT_EQUAL_FATAL (mkfifo (path, 0600), 0);
  reader = open (path, O_RDWR | O_NONBLOCK | O_CLOEXEC);
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  gw_start (&world, 0, true);
  for (unsigned i = 0; i < UNREAD_REQUEST_COUNT; i++)
    {
      char *id = g_strdup_printf ("unread-%u", i);
      gs_time_t begin = gs_clock_now ();
      /* Failed requests are always logged, however many there are.  */
      char *answer
          = gw_request (&world, 0, "POST", "/a/never/die", id, "", "x");

      CU_ASSERT_EQUAL (status_of (answer), 502);
      CU_ASSERT (gs_clock_now () - begin < RESPONSE_TIMEOUT);
      g_free (answer);
      g_free (id);
    }
  CU_ASSERT_TRUE (gw_is_ready (&world, 0));
  /* After the reader continues, the log reports how many lines were
     dropped.  */
  head = pipe_drain (reader);
  g_free (gw_request (&world, 0, "POST", "/a/never/die", "later", "", "x"));
  tail = pipe_drain (reader);
  text = g_strconcat (head, tail, NULL);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "event=log_left_out reason=slow_reader"));
  g_free (text);
  g_free (tail);
  g_free (head);
  end_world ();
  close (reader);
  g_unlink (path);
  g_free (path);
}

static const check_case_t cases[] = {
  { "the log explains each failed request",
    the_log_explains_each_failed_request },
  { "the log shows that a late request waited",
    the_log_shows_that_a_late_request_waited },
  { "metrics contain the series that operators need",
    metrics_contain_the_series_that_operators_need },
  { "a stalled log reader delays no request",
    a_stalled_log_reader_delays_no_request },
  { "an invalid header is logged", an_invalid_header_is_logged },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_log", cases);
}
