#include "gateway/relay_private.h"

/* Part of the goal that a request may wait at this node for a free slot.  */
#define WAIT_PART 0.6
/* Shortest and longest time after which a refused caller is asked to come
   back, and the part of its time left that callers honour.  */
#define RETRY_AFTER_LEAST (100 * GS_MSEC)
#define RETRY_AFTER_MOST (2 * GS_SEC)
#define RETRY_AFTER_PART 3
/* How long a request is taken to run while none has ended here yet: the
   streams of the deployments' sheets last one to two seconds.  */
#define RUN_TIME_SECONDS 2.0

void
relay_stop_waiting (relay_t *relay)
{
  if (!relay->waiting)
    return;
  g_queue_delete_link (&relay->service->waiting, relay->waiting_link);
  relay->waiting = false;
}

/* When there is likely to be room: after those that wait have been served,
   spread so that the callers do not come back all at once.  */
gs_time_t
relay_retry_after (relay_t *relay, gs_time_t now)
{
  traffic_service_t *service = relay->service;
  double waiting = g_queue_get_length (&service->waiting) + 1.0;
  double rate = MAX (service->ended_per_sec, 1.0);
  gs_time_t wait = (gs_time_t)(waiting / rate * (double)GS_SEC);
  gs_time_t honoured = (relay->deadline - now) / RETRY_AFTER_PART;

  wait = (gs_time_t)((double)wait * (1 + gs_rng_unit (&relay->traffic->rng)));
  wait = CLAMP (wait, RETRY_AFTER_LEAST, RETRY_AFTER_MOST);
  return MAX (MIN (wait, honoured), GS_MSEC);
}

int
relay_priority (const relay_t *relay)
{
  return relay->account != NULL
                 && relay->account->priority != GS_PRIORITY_UNSET
             ? relay->account->priority
             : relay->route->priority;
}

static int
compare_waiting (gconstpointer a, gconstpointer b, gpointer context)
{
  const relay_t *left = a;
  const relay_t *right = b;
  int by_priority = relay_priority (left) - relay_priority (right);

  (void)context;
  if (by_priority != 0)
    return by_priority;
  return left->arrived_at < right->arrived_at   ? -1
         : left->arrived_at > right->arrived_at ? 1
                                                : 0;
}

/* When a request that waits is refused.  */
gs_time_t
relay_waits_until (const relay_t *relay)
{
  gs_time_t goal = relay->goal_at - relay->arrived_at;
  gs_time_t left = relay->deadline - relay->arrived_at;

  return relay->arrived_at
         + (gs_time_t)(WAIT_PART * (double)(goal > 0 ? goal : left));
}

/* Slots that become free for this node in a second.  A node that has just
   started has seen none, and takes its part of those that are taken.  */
static double
freed_per_sec (const relay_t *relay)
{
  unsigned slots;
  unsigned taken;

  placer_slots_count (relay->traffic->placer, relay->service->name, &slots,
                      &taken);
  return MAX (relay->service->ended_per_sec,
              taken / RUN_TIME_SECONDS / relay->traffic->members);
}

bool
relay_wait (relay_t *relay, gs_time_t now)
{
  GQueue *waiting = &relay->service->waiting;
  double rate = freed_per_sec (relay);
  double ahead = g_queue_get_length (waiting) + 1.0;
  gs_time_t expected
      = now + (gs_time_t)(ahead / MAX (rate, 1e-3) * (double)GS_SEC);

  if (expected > relay_waits_until (relay))
    return false;
  g_queue_insert_sorted (waiting, relay, compare_waiting, NULL);
  relay->waiting_link = g_queue_find (waiting, relay);
  relay->waiting = true;
  return true;
}
