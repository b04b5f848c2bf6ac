/**
 * @file relay_private.h
 * A request that is passed on, shared by the sources that carry it: its way
 * (relay.c), who it is from and where it may go (relay_admit.c), the queue
 * (relay_queue.c) and what is told of it (relay_log.c).
 */
#ifndef GS_GATEWAY_RELAY_PRIVATE_H
#define GS_GATEWAY_RELAY_PRIVATE_H

#include "gateway/traffic_private.h"

struct relay
{
  traffic_t *traffic;
  gs_exchange_t *exchange;
  gs_route_table_t *table; /* that the route and the account belong to */
  const gs_path_route_t *route;
  traffic_service_t *service;
  const gs_path_service_t *service_row;
  const gs_client_account_t *account; /* NULL for anonymous */
  gs_request_headers_t request;
  gs_time_t arrived_at;
  gs_time_t deadline;
  gs_time_t goal_at;
  uint32_t tokens; /* of the request, as its account counts them */
  double charged;  /* to the limit of the account, in tokens or requests */
  uint64_t account_hash;
  bool waiting;
  GList *waiting_link;
  /* The attempt under way. */
  gs_http_call_t *call;
  placer_ticket_t ticket;
  gs_response_head_t head;
  bool foreign;       /* the answer belongs to another request */
  bool attempt_began; /* this attempt's answer or first event has come */
  GString *body;
  events_t events;
  /* What became of it. */
  unsigned sends;
  unsigned runs; /* attempts that ran, or perhaps did */
  bool counted;  /* in the usage */
  bool started;  /* the caller has the head of the answer */
  uint32_t avoid;
  placer_choice_t choice;
  char replica[GS_NAME_BYTES];
  gs_time_t sent_at;
  gs_time_t first_at;
};

/** Find route, account and limits on what may be sent.
    @param reason receives why not
    @return status to refuse with, 0 when all is known */
unsigned relay_find_route (relay_t *relay, const char **reason);

/** Choose the service by the route's weights. */
const gs_path_service_t *relay_choose_service (const relay_t *relay);

/** Set deadline and goal from the route and what the caller says. */
void relay_set_times (relay_t *relay);

/** Count the request against its account's limit.
    @param again receives a time from now when it is over
    @return whether it is within */
bool relay_take_limit (relay_t *relay, gs_time_t now, gs_time_t *again);

/** @return priority of the account, or else of the route. */
int relay_priority (const relay_t *relay);

/** Put a request into the queue of its service.
    @return false when it would wait too long there; it is not in the queue */
bool relay_wait (relay_t *relay, gs_time_t now);

/** Take a request out of the queue, if it is in. */
void relay_stop_waiting (relay_t *relay);

/** @return when a request that waits is refused. */
gs_time_t relay_waits_until (const relay_t *relay);

/** @return after which time there is likely to be room. */
gs_time_t relay_retry_after (relay_t *relay, gs_time_t now);

/** Tell of a choice: what it was made from, and how old that was. */
void relay_log_placed (const relay_t *relay, gs_time_t now);

/** Tell of an attempt that ended without an answer to pass on. */
void relay_log_attempt (const relay_t *relay, const char *outcome,
                        const char *reason);

/** Tell of the end of a request. */
void relay_log_end (const relay_t *relay, gs_time_t now, const char *outcome,
                    unsigned status, const char *reason);

#endif
