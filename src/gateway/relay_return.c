#include "gateway/relay_private.h"

#include "garnetstack/log.h"

gs_time_t
relay_retry_after (relay_t *relay, gs_time_t now)
{
  traffic_service_t *service = relay->service;
  gs_time_t opens_at
      = placer_opens_at (relay->traffic->placer, now, service->name);
  return_request_t request
      = { .priority = relay->entry.priority, .deadline = relay->deadline };
  gs_log_value_t id;
  gs_time_t delay;
  bool expected;

  admission_queue_room_get (service->queue, now, &relay->entry,
                            &request.room_at, &request.interval);
  request.run_time = admission_queue_run_time (service->queue, &relay->entry);
  request.room_at = MAX (request.room_at, opens_at);
  delay
      = return_schedule_add (service->returns, now, &request, &expected) - now;
  gs_log_routine ("retry_scheduled",
                  "id=%s route=%s service=%s delay_ms=%lld room=%d",
                  gs_log_quote (&id, relay->request.id), relay->route->name,
                  service->name, (long long)(delay / GS_MSEC), expected);
  return delay;
}
