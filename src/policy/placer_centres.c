#include "policy/placer_private.h"

static crossing_centre_t *
centre_ensure (crossing_centre_t *centres, unsigned *count, unsigned max,
               uint64_t id)
{
  for (unsigned i = 0; i < *count; i++)
    if (centres[i].id == id)
      return &centres[i];
  if (*count >= max)
    return NULL;
  centres[*count] = (crossing_centre_t){ .id = id };
  return &centres[(*count)++];
}

unsigned
placer_centres_export (const placer_t *placer, gs_time_t now,
                       const char *service, bool engine, unsigned max,
                       crossing_centre_t *out)
{
  unsigned count = 0;

  for (guint i = 0; i < placer->rows->len; i++)
    {
      const replica_row_t *row = placer_row (placer, i);
      crossing_centre_t *centre;

      if (!placer_row_is_usable (row, GS_TIME_NEVER, service))
        continue;
      centre = centre_ensure (out, &count, max, row->data_centre);
      if (centre == NULL || row->ejected_until > now)
        continue;
      centre->slots += row->replica.slots;
      centre->taken += placer_row_slots_taken (row, engine);
      centre->own += row->in_flight;
    }
  return count;
}

void
placer_slots_count (const placer_t *placer, gs_time_t now, const char *service,
                    unsigned *slots, unsigned *taken)
{
  *slots = 0;
  *taken = 0;
  for (guint i = 0; i < placer->rows->len; i++)
    {
      const replica_row_t *row = placer_row (placer, i);

      /* One that is left out after failures is tried again soon.  */
      if (!placer_row_is_listed (row, service)
          || replica_limit_is_set (&row->limit, now))
        continue;
      *slots += row->replica.slots;
      *taken += MIN (placer_row_slots_taken (row, true), row->replica.slots);
    }
}
