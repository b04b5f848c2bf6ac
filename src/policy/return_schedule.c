#include "policy/return_schedule.h"

#include <glib.h>

/* Callers honour a delay of at most their remaining time divided by this; part
   of the protocol that callers speak.  */
#define RETRY_AFTER_DIVISOR 3
/* What a node knows of the replicas is some tenths of a second old, so it
   cannot say of an earlier time that there will be room.  */
#define RETURN_DELAY_MIN (100 * GS_MSEC)
/* Priorities 0 to 9.  */
#define PRIORITIES 10

struct return_schedule
{
  gs_time_t last_due[PRIORITIES]; /* of the callers of a priority */
};

void
return_schedule_create (return_schedule_t **out)
{
  *out = g_new0 (return_schedule_t, 1);
}

void
return_schedule_destroy (return_schedule_t *schedule)
{
  g_free (schedule);
}

/* @return the last time that the caller honours and that leaves time for the
   request to run; one that cannot run any more has only the former  */
static gs_time_t
find_latest (gs_time_t now, const return_request_t *request)
{
  gs_time_t honoured = now + (request->deadline - now) / RETRY_AFTER_DIVISOR;
  gs_time_t last_start = request->deadline - request->run_time;

  return MAX (last_start > now ? MIN (honoured, last_start) : honoured,
              now + GS_MSEC);
}

/* @return the first time after those of the callers that are served before  */
static gs_time_t
find_due (const return_schedule_t *schedule, gs_time_t now,
          const return_request_t *request, unsigned index)
{
  gs_time_t due = MAX (request->room_at, now + RETURN_DELAY_MIN);

  for (unsigned i = 0; i <= index; i++)
    if (schedule->last_due[i] > now)
      due = MAX (due, schedule->last_due[i] + request->interval);
  return due;
}

gs_time_t
return_schedule_add (return_schedule_t *schedule, gs_time_t now,
                     const return_request_t *request, bool *expected)
{
  gs_time_t latest = find_latest (now, request);
  unsigned index = (unsigned)CLAMP (request->priority, 0, PRIORITIES - 1);
  gs_time_t due;

  *expected = false;
  if (request->room_at >= latest)
    return latest;
  due = find_due (schedule, now, request, index);
  if (due >= latest)
    return latest;
  schedule->last_due[index] = due;
  *expected = true;
  return due;
}
