#include "check.h"
#include "gateway_steps.h"

#include <string.h>

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

static const check_case_t cases[] = {
  { "answers without end cost a bounded amount",
    answers_without_end_cost_a_bounded_amount },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_endless", cases);
}
