#include "fleet/peers_private.h"

void
peers_rollouts_set (peers_t *peers, const peers_rollouts_t *rollouts)
{
  peers->rollouts = *rollouts;
}

void
peers_rollouts_fill (const peers_t *peers, gs_time_t now, GArray *out)
{
  if (peers->rollouts.get_rows != NULL)
    peers->rollouts.get_rows (peers->rollouts.context, now, out);
}

void
peers_rollouts_receive (const peers_t *peers, gs_time_t now,
                        const GArray *rows)
{
  if (peers->rollouts.on_rows != NULL)
    peers->rollouts.on_rows (peers->rollouts.context, now, rows);
}
