#include "check.h"
#include "gateway_steps.h"

#include <pthread.h>
#include <string.h>
#include <sys/socket.h>

/* Guards against replicas whose answers have no end: bytes that are buffered
   until the node is out of memory, or scanned again and again so that other
   requests wait, or read until the caller's deadline.  */

/* As the deadlines of the requests, which the caller waits for.  */
#define DEADLINE (2500 * GS_MSEC)
/* What cannot become an answer ends this long before the deadline.  */
#define CLOSE_TIMEOUT (DEADLINE / 2)
#define CONCURRENT 24
/* Memory that the stand-in's settings allow a node.  */
#define MEMORY_MB 256
/* Requests to other replicas are answered within this time meanwhile.  */
#define ANSWER_TIMEOUT GS_SEC
/* The stand-in's replicas send this to nodes as fast as they can, so it is
   read at the speed of memory.  */

static const char *const targets[] = {
  "/a/never/endless-bytes",   "/a/never/endless-line",
  "/a/never/endless-lines",   "/a/never/endless-heads",
  "/a/never/endless-body",    "/a/never/endless-chunks",
  "/a/never/endless-failure", "/a/stream/once/endless-event",
  "/a/never/endless-trailer",
};

/* @return time until a good request was answered; GS_TIME_NEVER if it was
   not  */
static gs_time_t
time_good_request (unsigned number)
{
  gs_time_t start = gs_clock_now ();
  char *id = g_strdup_printf ("good-%u", number);
  char *answer = gw_request (&world, 0, "POST", "/a/free/good", id, "", "x");
  bool answered = status_of (answer) == 200;

  g_free (answer);
  g_free (id);
  return answered ? gs_clock_now () - start : GS_TIME_NEVER;
}

/* The caller may hear of the end before the replica notes it.
   @return when the node closed the replica's connection; GS_TIME_NEVER if it
   is open at the deadline  */
static gs_time_t
wait_closed (const arrival_t *arrival, gs_time_t deadline)
{
  while (arrival->closed_at == 0 && gs_clock_now () < deadline)
    g_usleep (1000);
  return arrival->closed_at != 0 ? arrival->closed_at : GS_TIME_NEVER;
}

/* Sends requests at once whose answers have no end, and good ones while they
   are open.  */
static void
check_target (const char *target, unsigned number)
{
  raw_conn_t conns[CONCURRENT];
  gs_time_t start = gs_clock_now ();
  gs_time_t slowest_good = 0;
  gs_time_t last_closed = 0;
  unsigned wrong = 0;

  for (unsigned i = 0; i < CONCURRENT; i++)
    {
      char *id = g_strdup_printf ("endless-%u-%u", number, i);

      CU_ASSERT_TRUE_FATAL (gw_connect (&conns[i], &world, 0));
      gw_send (&conns[i], "POST", target, id, "", "x");
      g_free (id);
    }
  for (unsigned i = 0; i < 5; i++)
    slowest_good = MAX (slowest_good, time_good_request (number * 10 + i));
  for (unsigned i = 0; i < CONCURRENT; i++)
    {
      char *id = g_strdup_printf ("endless-%u-%u", number, i);
      GString *answer = raw_read_until (&conns[i], DEADLINE, "\r\n\r\n");
      const arrival_t *arrival = gw_arrival_find (&world, id);

      /* Some are refused, as the replicas are full.  */
      wrong
          += status_of (answer->str) != 502 && status_of (answer->str) != 503;
      if (arrival != NULL)
        last_closed
            = MAX (last_closed, wait_closed (arrival, start + CLOSE_TIMEOUT));
      g_string_free (answer, TRUE);
      g_free (id);
      raw_close (&conns[i]);
    }
  printf ("\n  %s: closed after %lld ms, others answered within %lld ms, %u"
          " wrong, %u MiB ",
          target, (long long)((last_closed - start) / GS_MSEC),
          (long long)(slowest_good / GS_MSEC), wrong,
          gw_peak_memory_mb (&world, 0));
  CU_ASSERT_EQUAL (wrong, 0);
  CU_ASSERT (last_closed <= start + CLOSE_TIMEOUT);
  CU_ASSERT (slowest_good <= ANSWER_TIMEOUT);
  CU_ASSERT (gw_peak_memory_mb (&world, 0) < MEMORY_MB);
}

static void
answers_without_end_cost_a_bounded_amount (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (targets); i++)
    {
      start_gateway (WORLD_REPLICAS_DEFAULT);
      check_target (targets[i], i);
      end_world ();
    }
}

#define STREAMS 88
#define READING_TIME (3 * GS_SEC)

typedef struct
{
  raw_conn_t conn;
  gs_time_t deadline;
} reader_t;

static void *
read_stream (void *context)
{
  reader_t *reader = context;
  char block[65536];

  while (gs_clock_now () < reader->deadline
         && recv (reader->conn.fd, block, sizeof block, 0) > 0)
    ;
  return NULL;
}

/* @return whether a stream of a sound replica was received whole within the
   deadline of its request  */
static bool
good_stream_is_whole (unsigned number)
{
  gs_time_t start = gs_clock_now ();
  char *id = g_strdup_printf ("stream-%u", number);
  char *answer
      = gw_request (&world, 0, "POST", "/a/stream/once/good", id, "", "x");
  bool whole
      = is_complete_stream (answer, 6) && gs_clock_now () - start < DEADLINE;

  g_free (answer);
  g_free (id);
  return whole;
}

/* Opens streams without end, which their callers read as fast as they can or
   not at all, and sends good requests meanwhile.  */
static void
check_streams (bool callers_read)
{
  reader_t readers[STREAMS];
  pthread_t threads[STREAMS];
  gs_time_t deadline = gs_clock_now () + READING_TIME;
  gs_time_t slowest_good = 0;
  unsigned streams = 0;
  unsigned whole = 0;

  start_gateway (WORLD_REPLICAS_MAX);
  for (unsigned i = 0; i < STREAMS; i++)
    {
      char *id = g_strdup_printf ("endless-%u", i);

      readers[i].deadline = deadline;
      CU_ASSERT_TRUE_FATAL (gw_connect (&readers[i].conn, &world, 0));
      gw_send (&readers[i].conn, "POST", "/a/stream/once/endless-events", id,
               "", "x");
      if (callers_read)
        pthread_create (&threads[i], NULL, read_stream, &readers[i]);
      g_free (id);
    }
  for (unsigned i = 0; gs_clock_now () < deadline; i++)
    {
      slowest_good = MAX (slowest_good, time_good_request (i));
      whole += good_stream_is_whole (i);
      streams++;
    }
  for (unsigned i = 0; i < STREAMS; i++)
    {
      shutdown (readers[i].conn.fd, SHUT_RDWR);
      if (callers_read)
        pthread_join (threads[i], NULL);
      raw_close (&readers[i].conn);
    }
  printf ("\n  callers %s: others answered within %lld ms, %u of %u streams"
          " whole in time, %u MiB ",
          callers_read ? "read" : "do not read",
          (long long)(slowest_good / GS_MSEC), whole, streams,
          gw_peak_memory_mb (&world, 0));
  CU_ASSERT (slowest_good <= ANSWER_TIMEOUT);
  CU_ASSERT_EQUAL (whole, streams);
  CU_ASSERT (gw_peak_memory_mb (&world, 0) < MEMORY_MB);
  end_world ();
}

/* Guards against a node that keeps the events of all streams that are behind
   until it is out of memory.  */
static void
events_without_end_cost_a_bounded_amount (void)
{
  check_streams (false);
  check_streams (true);
}

static const check_case_t cases[] = {
  { "events without end cost a bounded amount",
    events_without_end_cost_a_bounded_amount },
  { "answers without end cost a bounded amount",
    answers_without_end_cost_a_bounded_amount },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_endless", cases);
}
