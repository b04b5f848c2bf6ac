#include "garnetstack/admission.h"

#include <glib.h>

typedef struct
{
  gs_time_t deadline;
  uint64_t id;
  size_t bytes;
} waiter_t;

struct gs_wait_queue
{
  GArray *waiters; /* sorted by deadline */
  size_t bytes;
};

void
gs_wait_queue_create (gs_wait_queue_t **out)
{
  gs_wait_queue_t *queue = g_new0 (gs_wait_queue_t, 1);

  queue->waiters = g_array_new (FALSE, FALSE, sizeof (waiter_t));
  *out = queue;
}

void
gs_wait_queue_destroy (gs_wait_queue_t *queue)
{
  if (queue == NULL)
    return;
  g_array_unref (queue->waiters);
  g_free (queue);
}

static waiter_t *
waiter_at (const gs_wait_queue_t *queue, guint index)
{
  return &g_array_index (queue->waiters, waiter_t, index);
}

static void
remove_at (gs_wait_queue_t *queue, guint index)
{
  queue->bytes -= waiter_at (queue, index)->bytes;
  g_array_remove_index (queue->waiters, index);
}

/* Remove requests past their deadline, which are at the head.  */
static void
drop_expired (gs_wait_queue_t *queue, gs_time_t now)
{
  while (queue->waiters->len > 0 && waiter_at (queue, 0)->deadline <= now)
    remove_at (queue, 0);
}

void
gs_wait_queue_remove (gs_wait_queue_t *queue, uint64_t id)
{
  for (guint i = 0; i < queue->waiters->len; i++)
    if (waiter_at (queue, i)->id == id)
      {
        remove_at (queue, i);
        return;
      }
}

bool
gs_wait_queue_fits (gs_wait_queue_t *queue, gs_time_t now, size_t bytes)
{
  drop_expired (queue, now);
  return queue->waiters->len < GS_WAIT_QUEUE_MAX
         && queue->bytes + bytes <= GS_WAIT_BYTES_MAX;
}

bool
gs_wait_queue_put (gs_wait_queue_t *queue, gs_time_t now, gs_time_t deadline,
                   uint64_t id, size_t bytes)
{
  waiter_t waiter = { deadline, id, bytes };
  guint at = 0;

  for (guint i = 0; i < queue->waiters->len; i++)
    if (waiter_at (queue, i)->id == id)
      return true;
  if (!gs_wait_queue_fits (queue, now, bytes))
    return false;
  while (at < queue->waiters->len
         && waiter_at (queue, at)->deadline <= deadline)
    at++;
  g_array_insert_val (queue->waiters, at, waiter);
  queue->bytes += bytes;
  return true;
}

bool
gs_wait_queue_turn (gs_wait_queue_t *queue, gs_time_t now, gs_time_t deadline,
                    uint64_t id)
{
  drop_expired (queue, now);
  for (guint i = 0; i < queue->waiters->len && i < GS_WAIT_TURNS; i++)
    if (waiter_at (queue, i)->id == id
        || waiter_at (queue, i)->deadline > deadline)
      return true;
  return queue->waiters->len < GS_WAIT_TURNS;
}

unsigned
gs_wait_queue_length (const gs_wait_queue_t *queue)
{
  return queue->waiters->len;
}
