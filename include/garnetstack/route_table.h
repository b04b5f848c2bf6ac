/**
 * @file route_table.h
 * The operator's configuration as the gateway uses it: routes, services,
 * client accounts and limits on what callers may send.  Built once, then
 * never changed; shared between threads by reference counts.
 */
#ifndef GARNETSTACK_ROUTE_TABLE_H
#define GARNETSTACK_ROUTE_TABLE_H

#include "garnetstack/clock.h"
#include "garnetstack/status.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** What may be done with a request that has perhaps run. */
typedef enum
{
  GS_REPEAT_NEVER, /**< nothing: it may run once */
  GS_REPEAT_FREE,  /**< send it again */
  GS_REPEAT_RESUME /**< send it again, going on after the last event */
} gs_repeat_t;

/** Priority that a route or account does not set. */
#define GS_PRIORITY_UNSET (-1)

/** Part of a route's requests that goes to a service. */
typedef struct
{
  uint16_t service; /**< index into the table's services */
  uint32_t weight;
} gs_route_split_t;

#define GS_ROUTE_SPLITS_MAX 8

typedef struct
{
  char *name;
  char *host;   /**< lower case */
  char *prefix; /**< of the path; begins and ends with a slash */
  gs_repeat_t repeat;
  bool streaming;    /**< answered by events as they are made */
  bool anonymous;    /**< no key is asked for */
  unsigned runs_max; /**< replicas that one request may run on */
  int priority;      /**< 0 is first */
  gs_time_t timeout; /**< longest time to the final answer */
  gs_time_t goal;    /**< an answer, or first event, is in time before */
  unsigned split_count;
  gs_route_split_t splits[GS_ROUTE_SPLITS_MAX];
} gs_path_route_t;

/** Bounds on the replicas that may be ordered in one data centre. */
typedef struct
{
  bool present;
  unsigned least;
  unsigned most;
  gs_time_t boot;                 /**< from the order to the first request */
  GHashTable *data_centre_prices; /**< name -> double, a second */
} gs_scale_limits_t;

typedef struct
{
  char *name;
  unsigned connections_max; /**< a replica takes from all callers */
  bool engine;              /**< its replicas are model engines */
  unsigned slots;           /**< requests an engine runs at once */
  uint64_t cache_tokens;    /**< an engine's memory */
  gs_scale_limits_t scale;
} gs_path_service_t;

typedef struct
{
  char *name;
  int priority; /**< goes before that of the route */
  bool by_tokens;
  uint32_t plain_tokens; /**< counted for a request that states none */
  uint64_t rate;         /**< a second, of requests or tokens; 0 for none */
  uint64_t burst;
} gs_client_account_t;

/** Bounds on what a caller may send; 0 for none. */
typedef struct
{
  size_t header_bytes_max;
  size_t body_bytes_max;
  gs_time_t idle_timeout;
} gs_caller_limits_t;

typedef struct gs_route_table gs_route_table_t;

/** @param revision of the store, which orders two tables
    @param version that the operator gave, for logs */
void gs_route_table_create (gs_route_table_t **out, uint64_t revision,
                            uint64_t version);
gs_route_table_t *gs_route_table_ref (gs_route_table_t *table);
void gs_route_table_unref (gs_route_table_t *table);

uint64_t gs_route_table_revision (const gs_route_table_t *table);
uint64_t gs_route_table_version (const gs_route_table_t *table);

/** Add a row; the strings become the table's. */
void gs_route_table_add_service (gs_route_table_t *table,
                                 const gs_path_service_t *service);
void gs_route_table_add_account (gs_route_table_t *table,
                                 const gs_client_account_t *account);

/** @return GS_OK, or GS_EINVAL when host and prefix are taken. */
gs_status_t gs_route_table_add_route (gs_route_table_t *table,
                                      const gs_path_route_t *route);

/** Let a key stand for the account added last; the key is copied. */
void gs_route_table_add_key (gs_route_table_t *table, const char *key);

void gs_route_table_set_limits (gs_route_table_t *table,
                                const gs_caller_limits_t *limits);
const gs_caller_limits_t *
gs_route_table_limits (const gs_route_table_t *table);

unsigned gs_route_table_services (const gs_route_table_t *table);
const gs_path_service_t *gs_route_table_service (const gs_route_table_t *table,
                                                 unsigned index);

/** @return index of a service, -1 when there is none of that name. */
int gs_route_table_find_service (const gs_route_table_t *table,
                                 const char *name);

unsigned gs_route_table_accounts (const gs_route_table_t *table);
const gs_client_account_t *
gs_route_table_account (const gs_route_table_t *table, unsigned index);

/**
 * The route with the longest prefix of the path among those of the host.
 * @param host as callers send it, a port may follow
 * @param target path and query
 * @return NULL when there is none
 */
const gs_path_route_t *gs_route_table_match (const gs_route_table_t *table,
                                             const char *host,
                                             const char *target);

/** @return index of the account that holds a key, -1 for none. */
int gs_route_table_key (const gs_route_table_t *table, const char *key);

#endif
