#include "garnetstack/admission.h"

#include <glib.h>

typedef struct
{
  gs_time_t deadline;
  uint64_t id;
  size_t bytes;
} wait_entry_t;

struct gs_wait_queue
{
  GArray *entries; /* sorted by deadline */
  size_t bytes;
};

void
gs_wait_queue_create (gs_wait_queue_t **out)
{
  gs_wait_queue_t *queue = g_new0 (gs_wait_queue_t, 1);

  queue->entries = g_array_new (FALSE, FALSE, sizeof (wait_entry_t));
  *out = queue;
}

void
gs_wait_queue_destroy (gs_wait_queue_t *queue)
{
  if (queue == NULL)
    return;
  g_array_unref (queue->entries);
  g_free (queue);
}

static wait_entry_t *
entry_at (const gs_wait_queue_t *queue, guint index)
{
  return &g_array_index (queue->entries, wait_entry_t, index);
}

static void
remove_entry (gs_wait_queue_t *queue, guint index)
{
  queue->bytes -= entry_at (queue, index)->bytes;
  g_array_remove_index (queue->entries, index);
}

/* Remove requests past their deadline, which are at the head.  */
static void
remove_expired (gs_wait_queue_t *queue, gs_time_t now)
{
  while (queue->entries->len > 0 && entry_at (queue, 0)->deadline <= now)
    remove_entry (queue, 0);
}

void
gs_wait_queue_remove (gs_wait_queue_t *queue, uint64_t id)
{
  for (guint i = 0; i < queue->entries->len; i++)
    if (entry_at (queue, i)->id == id)
      {
        remove_entry (queue, i);
        return;
      }
}

bool
gs_wait_queue_fits (gs_wait_queue_t *queue, gs_time_t now, size_t bytes)
{
  remove_expired (queue, now);
  return queue->entries->len < GS_WAIT_QUEUE_REQUESTS_MAX
         && queue->bytes + bytes <= GS_WAIT_QUEUE_BYTES_MAX;
}

bool
gs_wait_queue_add (gs_wait_queue_t *queue, gs_time_t now, gs_time_t deadline,
                   uint64_t id, size_t bytes)
{
  wait_entry_t entry = { deadline, id, bytes };
  guint position = 0;

  for (guint i = 0; i < queue->entries->len; i++)
    if (entry_at (queue, i)->id == id)
      return true;
  if (!gs_wait_queue_fits (queue, now, bytes))
    return false;
  while (position < queue->entries->len
         && entry_at (queue, position)->deadline <= deadline)
    position++;
  g_array_insert_val (queue->entries, position, entry);
  queue->bytes += bytes;
  return true;
}

bool
gs_wait_queue_is_at_head (gs_wait_queue_t *queue, gs_time_t now,
                          gs_time_t deadline, uint64_t id)
{
  remove_expired (queue, now);
  for (guint i = 0; i < queue->entries->len && i < GS_WAIT_QUEUE_HEAD_MAX; i++)
    if (entry_at (queue, i)->id == id
        || entry_at (queue, i)->deadline > deadline)
      return true;
  return queue->entries->len < GS_WAIT_QUEUE_HEAD_MAX;
}

unsigned
gs_wait_queue_length (const gs_wait_queue_t *queue)
{
  return queue->entries->len;
}
