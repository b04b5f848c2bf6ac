#include "bench.h"

#include "garnetstack/clock.h"
#include "garnetstack/log.h"

#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#define DEFAULT_LINES 50000
/* Lines are logged in bursts that fit the queue of the writer thread.  */
#define BURST_LINES 200
#define BURST_INTERVAL_USEC 5000

static gs_time_t
processor_time (clockid_t clock)
{
  struct timespec time;

  clock_gettime (clock, &time);
  return (gs_time_t)time.tv_sec * GS_SEC + time.tv_nsec / 1000;
}

/* Logs lines of the length of a request's line and prints the processor time
   of a line in the calling thread and in the whole process.  */
int
bench_log (int argc, char **argv)
{
  unsigned lines
      = argc > 1 ? (unsigned)strtoul (argv[1], NULL, 10) : DEFAULT_LINES;
  int fd = open ("/dev/null", O_WRONLY | O_CLOEXEC);
  gs_time_t thread;
  gs_time_t process;

  if (lines == 0 || fd < 0 || gs_log_open_on (GS_LOG_INFO, "n", fd) != GS_OK)
    {
      fprintf (stderr, "usage: log [LINES]\n");
      return 2;
    }
  process = processor_time (CLOCK_PROCESS_CPUTIME_ID);
  thread = processor_time (CLOCK_THREAD_CPUTIME_ID);
  for (unsigned i = 0; i < lines; i++)
    {
      gs_log (GS_LOG_INFO, "request",
              "id=%016x route=r-2574e5g account=loye972 outcome=answered"
              " status=200 reason=done sends=1 runs=1 replica=i-9379bc24fd"
              " first_ms=139 total_ms=%u left_ms=11233 tokens=1484"
              " limit=115820 room=91232 events=61 waiting=0 candidates=12"
              " full=3",
              i, i % 4000);
      if (i % BURST_LINES == BURST_LINES - 1)
        g_usleep (BURST_INTERVAL_USEC);
    }
  thread = processor_time (CLOCK_THREAD_CPUTIME_ID) - thread;
  gs_log_close ();
  process = processor_time (CLOCK_PROCESS_CPUTIME_ID) - process;
  printf ("log lines=%u caller_us=%.2f process_us=%.2f\n", lines,
          (double)thread / lines, (double)process / lines);
  close (fd);
  return 0;
}
