#include "gateway/rollout_duty_private.h"

#include "garnetstack/log.h"
#include "garnetstack/meter.h"

#include <limits.h>
#include <math.h>
#include <string.h>

/* Interval of judging and planning; half of that at which reports arrive.  */
#define TICK_INTERVAL (100 * GS_MSEC)
/* Half-life of the rate of requests, several reports long.  */
#define RATE_HALF_LIFE (1 * GS_SEC)

static void
case_free (gpointer data)
{
  rollout_case_t *item = data;

  rollout_judge_destroy (item->judge);
  g_free (item);
}

void
rollout_duty_create (rollout_duty_t **out,
                     const rollout_duty_options_t *options)
{
  rollout_duty_t *duty = g_new0 (rollout_duty_t, 1);

  duty->options = *options;
  duty->cases
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, case_free);
  duty->peer_loads
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  *out = duty;
}

void
rollout_duty_destroy (rollout_duty_t *duty)
{
  if (duty == NULL)
    return;
  g_hash_table_unref (duty->cases);
  g_hash_table_unref (duty->peer_loads);
  g_free (duty);
}

void
rollout_duty_peers_set (rollout_duty_t *duty, const traffic_peers_t *peers)
{
  g_hash_table_remove_all (duty->peer_loads);
  if (g_hash_table_size (duty->cases) == 0)
    return;
  for (guint i = 0; i < peers->peers->len; i++)
    {
      const GArray *loads
          = g_array_index (peers->peers, traffic_peer_t, i).loads;

      for (guint j = 0; j < loads->len; j++)
        {
          const placer_peer_load_t *load
              = &g_array_index (loads, placer_peer_load_t, j);
          guint sum = GPOINTER_TO_UINT (g_hash_table_lookup (duty->peer_loads,
                                                             &load->replica))
                      + load->in_flight;

          g_hash_table_insert (
              duty->peer_loads,
              g_memdup2 (&load->replica, sizeof load->replica),
              GUINT_TO_POINTER (sum));
        }
    }
}

rollout_bounds_t
rollout_bounds_get (const rollout_duty_t *duty)
{
  const gs_deployment_t *deployment = duty->options.deployment;

  return (rollout_bounds_t){ deployment->expose_share,
                             deployment->expose_slack,
                             deployment->rollback_time };
}

static void
log_verdict (rollout_case_t *item)
{
  const rollout_result_t *result = &item->result;

  if (result->verdict == item->logged_verdict)
    return;
  item->logged_verdict = result->verdict;
  if (result->verdict == ROLLOUT_UNDECIDED)
    return;
  gs_log (GS_LOG_INFO, "rollout_verdict",
          "service=%s order=%llx verdict=%s reason=%s route=%llx answers=%llu"
          " bad=%llu requests=%llu exposed=%llu evidence=%.1f",
          item->entry->service, (unsigned long long)item->judge_order,
          result->verdict == ROLLOUT_BAD ? "bad" : "sound",
          rollout_reason_name (result->reason),
          (unsigned long long)result->route,
          (unsigned long long)result->answers, (unsigned long long)result->bad,
          (unsigned long long)result->requests,
          (unsigned long long)result->exposed, result->evidence);
}

static void
judge (rollout_case_t *item, gs_time_t now, const aggregate_t *fleet)
{
  const rollout_record_t *record = &item->entry->record;
  GArray *rows;

  if (record->order == 0 || rollout_is_final (record->stage))
    return;
  if (item->judge == NULL || item->judge_order != record->order)
    {
      rollout_judge_destroy (item->judge);
      rollout_judge_create (&item->judge, record->order);
      item->judge_order = record->order;
      item->judged = *record;
      item->logged_verdict = ROLLOUT_UNDECIDED;
    }
  if (rollout_plan_load_differs (&item->judged, record))
    {
      rollout_judge_restart (item->judge);
      item->logged_verdict = ROLLOUT_UNDECIDED;
    }
  item->judged = *record;
  rows = g_array_new (FALSE, FALSE, sizeof (rollout_count_t));
  for (guint i = 0; i < fleet->rollout_counts->len; i++)
    {
      const rollout_count_t *row
          = &g_array_index (fleet->rollout_counts, rollout_count_t, i);

      if (strcmp (row->service, item->entry->service) == 0
          && row->order == record->order)
        g_array_append_vals (rows, row, 1);
    }
  rollout_judge_update (item->judge, now,
                        (const rollout_count_t *)(void *)rows->data,
                        rows->len);
  rollout_judge_result (item->judge, &item->result);
  log_verdict (item);
  g_array_unref (rows);
}

static void
measure_rate (rollout_case_t *item, gs_time_t now, const aggregate_t *fleet)
{
  uint64_t requests = 0;
  double elapsed = (double)(now - item->requests_at);
  double weight = exp2 (-elapsed / (double)RATE_HALF_LIFE);

  for (guint i = 0; i < fleet->demand->len; i++)
    {
      const traffic_demand_t *row
          = &g_array_index (fleet->demand, traffic_demand_t, i);

      if (strcmp (row->service, item->entry->service) == 0)
        requests = row->requests;
    }
  /* The sum falls when the last report of an ended process expires.  */
  if (item->requests_at != 0 && elapsed > 0 && requests >= item->requests)
    item->requests_per_sec = item->requests_per_sec * weight
                             + (1 - weight)
                                   * (double)(requests - item->requests)
                                   * (double)GS_SEC / elapsed;
  item->requests = requests;
  item->requests_at = now;
}

static rollout_case_t *
case_ensure (rollout_duty_t *duty, rollout_entry_t *entry)
{
  rollout_case_t *item = g_hash_table_lookup (duty->cases, entry->service);

  if (item == NULL)
    {
      item = g_new0 (rollout_case_t, 1);
      item->duty = duty;
      item->entry = entry;
      g_hash_table_insert (duty->cases, entry->service, item);
    }
  return item;
}

static void
set_gauges (const rollout_case_t *item)
{
  const rollout_entry_t *entry = item->entry;
  char labels[128];

  g_snprintf (labels, sizeof labels, "service=\"%s\"", entry->service);
  gs_meter_set ("rollout_stage", labels, entry->record.stage);
  gs_meter_set ("rollout_fraction", labels, entry->record.fraction);
  gs_meter_set ("rollout_exposed", labels, (double)item->result.exposed);
  gs_meter_set ("rollout_bad_answers", labels, (double)item->result.bad);
}

/* Marks all records as not read, since another node may have written them or
   the store may have lost them.  */
static void
forget_records (rollout_duty_t *duty)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, duty->cases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((rollout_case_t *)value)->record_read = false;
}

/* @return whether an order has not ended  */
static bool
has_running (GHashTable *entries)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const rollout_entry_t *entry = value;

      if (entry->target != 0
          && (!rollout_record_applies (entry)
              || !rollout_is_final (entry->record.stage)))
        return true;
    }
  return false;
}

void
rollout_duty_tick (rollout_duty_t *duty, gs_time_t now)
{
  const rollout_duty_options_t *options = &duty->options;
  const gs_object_store_t *store = options->store;
  bool may_act = duties_may_act (options->duties, now);
  uint64_t era = store->era != NULL ? store->era (store->context) : 0;
  GHashTable *entries = rollout_feed_entries (options->feed);
  aggregate_t fleet;
  GHashTableIter iter;
  gpointer value;

  if (!options->deployment->rollouts || now < duty->due)
    return;
  duty->due = now + TICK_INTERVAL;
  if (!may_act || era != duty->era)
    forget_records (duty);
  duty->era = era;
  aggregate_init (&fleet);
  if (has_running (entries))
    peers_fleet_sum (options->peers, now, &fleet);
  g_hash_table_iter_init (&iter, entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      rollout_case_t *item = case_ensure (duty, value);

      /* Other nodes of a large fleet do not get the counts of all.  */
      if (peers_rank (options->peers, now) != UINT_MAX)
        judge (item, now, &fleet);
      measure_rate (item, now, &fleet);
      if (may_act)
        rollout_owner_tick (item, now);
      set_gauges (item);
    }
  aggregate_clear (&fleet);
}
