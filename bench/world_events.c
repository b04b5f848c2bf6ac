#include "world_private.h"

static bool
is_before (const world_event_t *a, const world_event_t *b)
{
  return a->at != b->at ? a->at < b->at : a->order < b->order;
}

void
world_event_push (world_t *world, gs_time_t at, world_event_type_t type,
                  uint64_t index)
{
  world_event_t event = { at, world->order++, type, index };
  guint i = world->events->len;
  world_event_t *heap;

  g_array_append_val (world->events, event);
  heap = (world_event_t *)world->events->data;
  while (i > 0 && is_before (&event, &heap[(i - 1) / 2]))
    {
      heap[i] = heap[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  heap[i] = event;
}

world_event_t
world_event_pop (world_t *world)
{
  world_event_t *heap = (world_event_t *)world->events->data;
  world_event_t first = heap[0];
  world_event_t last = heap[world->events->len - 1];
  guint count = world->events->len - 1;
  guint i = 0;

  while (2 * i + 1 < count)
    {
      guint child = 2 * i + 1;

      if (child + 1 < count && is_before (&heap[child + 1], &heap[child]))
        child++;
      if (!is_before (&heap[child], &last))
        break;
      heap[i] = heap[child];
      i = child;
    }
  heap[i] = last;
  g_array_set_size (world->events, count);
  return first;
}
