#include "gateway/relay_private.h"

#include "garnetstack/meter.h"

bool
relay_detour_applies (const relay_t *relay)
{
  const traffic_t *traffic = relay->traffic;

  return traffic->reach.cut && traffic->detours->len > 0
         && !relay->request.from_node
         && relay->detours < traffic->options.deployment->detours_max;
}

/* Draws a node among those that are as near as the nearest one, other than the
   one that was tried last.  */
const gs_endpoint_t *
relay_detour_choose (relay_t *relay)
{
  traffic_t *traffic = relay->traffic;
  const traffic_detour_t *rows
      = (const traffic_detour_t *)(void *)traffic->detours->data;
  guint count = traffic->detours->len;
  guint drawn;

  for (guint i = 0; relay->detours == 0 && i < count; i++)
    if (rows[i].near != rows[0].near)
      count = i;
  drawn = (guint)gs_rng_below (&traffic->rng, count);
  if (relay->detours > 0 && count > 1
      && rows[drawn].endpoint.port == relay->detour.port
      && g_str_equal (rows[drawn].endpoint.host, relay->detour.host))
    drawn = (drawn + 1) % count;
  relay->detour = rows[drawn].endpoint;
  relay->detours++;
  return &relay->detour;
}

/* The other node charges the account.  */
unsigned
relay_runs_left (const relay_t *relay)
{
  unsigned max = relay->route->runs_max;

  if (relay->request.from_node && relay->request.runs_left != 0)
    max = MIN (max, relay->request.runs_left);
  return max - MIN (relay->possible_runs, max);
}

void
relay_detour_charge_cancel (relay_t *relay, gs_time_t now)
{
  if (relay->charged > 0)
    quota_cancel (relay->traffic->quota, now, relay->account_hash,
                  relay->charged);
  relay->charged = 0;
  gs_meter_add ("detours_total", "", 1);
}

bool
relay_detour_reject (relay_t *relay, gs_time_t now)
{
  if (!relay->request.from_node || !relay->traffic->reach.cut)
    return false;
  if (relay->possible_runs == 0)
    relay_end_with_error (relay, 503, "cut_from_replicas", 0);
  else
    relay_fail (relay, now, "cut_from_replicas");
  return true;
}
