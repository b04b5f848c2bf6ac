#include "garnetstack/clock.h"

#include <pthread.h>
#include <time.h>

static pthread_once_t wall_offset_once = PTHREAD_ONCE_INIT;
static int64_t wall_offset; /* wall clock minus monotonic clock */

static int64_t
read_clock (clockid_t id)
{
  struct timespec now;

  clock_gettime (id, &now);
  return (int64_t)now.tv_sec * GS_SEC + now.tv_nsec / 1000;
}

gs_time_t
gs_clock_now (void)
{
  return read_clock (CLOCK_BOOTTIME);
}

int64_t
gs_clock_wall (void)
{
  return read_clock (CLOCK_REALTIME);
}

static void
set_wall_offset (void)
{
  wall_offset = gs_clock_wall () - gs_clock_now ();
}

int64_t
gs_clock_monotonic_wall (void)
{
  pthread_once (&wall_offset_once, set_wall_offset);
  return gs_clock_now () + wall_offset;
}
