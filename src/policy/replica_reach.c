#include "policy/replica_reach.h"

#include <glib.h>

/* Time between two rounds of probes: after one that was answered, so that
   single lost replicas cost few probes, and while the node is cut off.  */
#define CONFIRMED_INTERVAL GS_SEC
#define CUT_INTERVAL (500 * GS_MSEC)

void
replica_reach_doubt (replica_reach_t *reach)
{
  reach->suspected = true;
}

unsigned
replica_reach_probes_begin (replica_reach_t *reach, gs_time_t now,
                            unsigned available)
{
  if ((!reach->suspected && !reach->cut) || reach->probes_open > 0
      || now < reach->probes_due || available == 0)
    return 0;
  reach->suspected = false;
  reach->probe_answered = false;
  reach->probes_open = MIN (available, REPLICA_REACH_PROBES);
  reach->probes_due = now + CUT_INTERVAL;
  return reach->probes_open;
}

bool
replica_reach_probe_end (replica_reach_t *reach, gs_time_t now, bool answered)
{
  bool before = reach->cut;

  reach->probes_open--;
  reach->probe_answered |= answered;
  if (answered)
    {
      reach->cut = false;
      reach->suspected = false;
      reach->probes_due = now + CONFIRMED_INTERVAL;
    }
  else if (reach->probes_open == 0 && !reach->probe_answered)
    reach->cut = true;
  if (reach->cut != before)
    reach->cut_at = reach->cut ? now : 0;
  return reach->cut != before;
}
