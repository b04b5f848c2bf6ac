/**
 * @file traffic_private.h
 * Insides of the traffic thread, shared by its sources.
 */
#ifndef GS_GATEWAY_TRAFFIC_PRIVATE_H
#define GS_GATEWAY_TRAFFIC_PRIVATE_H

#include "garnetstack/loop.h"
#include "garnetstack/server.h"
#include "garnetstack/thread.h"
#include "gateway/events.h"
#include "gateway/resend_budget.h"
#include "gateway/traffic.h"
#include "gateway/usage_count.h"

typedef struct relay relay_t;

/** Requests of one service. */
typedef struct
{
  char *name;
  GQueue waiting; /* of relay_t, in the order in which they are served */
  resend_budget_t budget;
  traffic_demand_t demand;
  double ended_per_sec; /* requests that left their replicas, fading */
  gs_time_t ended_at;
  unsigned keep_seconds; /* its replicas keep idle connections; 0 not known */
} traffic_service_t;

struct traffic
{
  traffic_options_t options;
  gs_loop_t *loop;
  gs_server_t *server;
  gs_thread_t *thread;
  gs_route_table_t *table; /* NULL until the first is known */
  gs_replica_list_t *list;
  placer_t *placer;
  quota_t *quota;
  GHashTable *services; /* name -> traffic_service_t */
  usage_count_t *usage;
  GHashTable *relays; /* set of relay_t */
  gs_rng_t rng;
  unsigned members;
  gs_time_t peers_at; /* when they were last told of */
  gs_time_t ticked_at;
  gs_time_t report_due;
  gs_time_t second_due;
  gs_time_t leave_at; /* when the process was told to end, 0 for not */
};

traffic_service_t *traffic_service (traffic_t *traffic, const char *name);

/** What may be sent once more, as bounded over all nodes. */
resend_bounds_t traffic_resend_bounds (const traffic_t *traffic);

/** Take in a request; called on the traffic thread. */
void relay_begin (traffic_t *traffic, gs_exchange_t *exchange);

/** Send what waits and can be sent, and refuse what waited too long. */
void relay_serve_waiting (traffic_t *traffic, gs_time_t now);

/** End all without an answer. */
void relay_end_all (traffic_t *traffic);

#endif
