#include "gateway/relay_private.h"

void
relay_queue_remove (relay_t *relay)
{
  if (relay->service != NULL)
    admission_queue_remove (relay->service->queue, &relay->entry);
}

int
relay_priority (const relay_t *relay)
{
  return relay->account != NULL
                 && relay->account->priority != GS_PRIORITY_UNSET
             ? relay->account->priority
             : relay->route->priority;
}

void
relay_queue_entry_set (relay_t *relay, gs_time_t now)
{
  const gs_request_headers_t *request = &relay->request;
  const gs_client_account_t *account = relay->account;
  int priority = relay_priority (relay);

  relay->entry = (admission_entry_t){
    .request = relay,
    .priority = priority != GS_PRIORITY_UNSET ? priority : GS_PRIORITY_DEFAULT,
    .request_class = gs_limits_name_hash ("route", relay->route->name),
    .account
    = account != NULL ? gs_limits_name_hash ("account", account->name) : 0,
    .arrived_at = relay->arrived_at,
    .goal_at = relay->goal_at,
    .respond_by = relay->route->event_patience > 0
                      ? MIN (relay->arrived_at + relay->route->event_patience,
                             relay->deadline)
                      : relay->deadline,
    .deadline = relay->deadline,
    .tokens = relay->service_config->engine
                  ? request->prompt_tokens + request->output_tokens_max
                  : 0,
    .bound = relay->resumed,
  };
  admission_queue_arrival_record (relay->service->queue, now, &relay->entry);
}

void
relay_queue_capacity_update (const traffic_t *traffic,
                             const traffic_service_t *service, gs_time_t now)
{
  admission_capacity_t capacity = { .limited_per_sec = placer_limited_rate (
                                        traffic->placer, now, service->name) };
  unsigned taken;

  placer_slots_count (traffic->placer, now, service->name, &capacity.slots,
                      &taken);
  capacity.taken = (double)taken / traffic->members;
  admission_queue_capacity_set (service->queue, &capacity);
}

bool
relay_queue_must_wait (relay_t *relay, gs_time_t now)
{
  return relay->possible_runs == 0 && !relay->entry.bound
         && admission_queue_must_wait (relay->service->queue, now,
                                       &relay->entry);
}

void
relay_queue_hold (relay_t *relay, gs_time_t now)
{
  admission_queue_hold (relay->service->queue, now, &relay->entry);
}

bool
relay_queue_insert (relay_t *relay, gs_time_t now)
{
  traffic_service_t *service = relay->service;

  relay_queue_capacity_update (relay->traffic, service, now);
  return placer_opens_at (relay->traffic->placer, now, service->name)
             <= relay->entry.serve_until
         && admission_queue_offer (service->queue, now, &relay->entry);
}

void
relay_queue_refusal_record (relay_t *relay, gs_time_t now)
{
  relay->service->demand.rejected++;
  admission_queue_refused_record (relay->service->queue, now, &relay->entry);
}
