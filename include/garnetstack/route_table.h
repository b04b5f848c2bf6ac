/**
 * @file route_table.h
 * The operator's configuration as the gateway uses it: routes, services,
 * client accounts and limits on requests.  A table is built by one thread and
 * immutable afterwards; threads share it by a reference count.
 */
#ifndef GARNETSTACK_ROUTE_TABLE_H
#define GARNETSTACK_ROUTE_TABLE_H

#include "garnetstack/clock.h"
#include "garnetstack/status.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Whether a request that may have run can be sent again. */
typedef enum
{
  GS_RESEND_NEVER,      /**< no; it must not run twice */
  GS_RESEND_IDEMPOTENT, /**< yes; it is idempotent */
  GS_RESEND_RESUME      /**< yes; the stream resumes after the last event */
} gs_resend_policy_t;

/** Priority of a route or account that sets none. */
#define GS_PRIORITY_UNSET (-1)
/** Rank that replicas give a request without a priority. */
#define GS_PRIORITY_DEFAULT 5

/** A service that receives a part of a route's requests. */
typedef struct
{
  unsigned service; /**< index into the table's services */
  double weight;    /**< positive; relative to the route's other services */
} gs_route_split_t;

/** A route: requests to a host and a prefix of the path. */
typedef struct
{
  char *name;
  char *host;   /**< lower case */
  char *prefix; /**< of the path; begins and ends with a slash */
  gs_resend_policy_t resend_policy;
  bool streaming;    /**< the answer is a stream of events */
  bool anonymous;    /**< requests need no key */
  unsigned runs_max; /**< how many times a request may run */
  int priority;      /**< 0 is the highest */
  gs_time_t timeout; /**< longest time to the end of the answer */
  gs_time_t goal;    /**< target time to the answer, or to its first event */
  gs_time_t event_patience; /**< callers of a stream leave when no event comes
                                 for this long; 0 if not known */
  GArray *splits; /**< of gs_route_split_t; empty if no service of the
                       route can be used */
} gs_path_route_t;

/** Bounds on the replicas that may be ordered in one data centre. */
typedef struct
{
  bool present; /**< the service is scaled */
  unsigned replicas_min;
  unsigned replicas_max;
  gs_time_t boot_time; /**< from an order to a replica's first request */
  GHashTable *data_centre_prices; /**< name -> double, per second */
  double spot_price; /**< price of a spot replica, as a ratio of that of an
                          on-demand one; 0 if unknown */
} gs_scale_limits_t;

/** A service to which routes forward requests. */
typedef struct
{
  char *name;
  char *health_path;        /**< of its health check; NULL if unknown */
  unsigned connections_max; /**< connections to one replica, of all nodes */
  bool engine;              /**< its replicas are model engines */
  unsigned slots;           /**< requests that an engine runs at once */
  uint64_t cache_tokens;    /**< memory of an engine, in tokens */
  gs_scale_limits_t scale;
} gs_path_service_t;

/** A client account: the owner of keys, and the limit on its requests. */
typedef struct
{
  char *name;
  int priority;            /**< overrides that of the route */
  bool by_tokens;          /**< the limit counts tokens, else requests */
  uint32_t default_tokens; /**< counted for a request without token counts */
  uint64_t rate;  /**< requests or tokens per second; 0 for no limit */
  uint64_t burst; /**< requests or tokens */
} gs_client_account_t;

/** Limits on a caller's requests and connections; 0 for none. */
typedef struct
{
  size_t header_bytes_max;
  size_t body_bytes_max;
  gs_time_t idle_timeout;
} gs_caller_limits_t;

typedef struct gs_route_table gs_route_table_t;

/**
 * @param out receives the table; released with gs_route_table_unref()
 * @param revision of the configuration in the store; a later table has a
 * higher one
 * @param version assigned by the operator, for logs
 */
void gs_route_table_create (gs_route_table_t **out, uint64_t revision,
                            uint64_t version);
gs_route_table_t *gs_route_table_ref (gs_route_table_t *table);
void gs_route_table_unref (gs_route_table_t *table);

uint64_t gs_route_table_revision (const gs_route_table_t *table);
uint64_t gs_route_table_version (const gs_route_table_t *table);

/** Add a service.  The table takes ownership of its strings and prices. */
void gs_route_table_service_add (gs_route_table_t *table,
                                 const gs_path_service_t *service);

/** Add an account.  The table takes ownership of its name. */
void gs_route_table_account_add (gs_route_table_t *table,
                                 const gs_client_account_t *account);

/** Add a route.  The table takes ownership of its strings and splits, even on
    failure.
    @return GS_OK, or GS_EINVAL if another route has the same host and prefix
 */
gs_status_t gs_route_table_route_add (gs_route_table_t *table,
                                      const gs_path_route_t *route);

/** Add a key of the account that was added last.  The key is copied. */
void gs_route_table_key_add (gs_route_table_t *table, const char *key);

/** Require keys for routes that are not anonymous, as tables with accounts
    do. */
void gs_route_table_keys_require (gs_route_table_t *table);
bool gs_route_table_requires_keys (const gs_route_table_t *table);

/** Count a part of the configuration that cannot be used. */
void gs_route_table_part_refuse (gs_route_table_t *table);
unsigned gs_route_table_parts_refused (const gs_route_table_t *table);

void gs_route_table_limits_set (gs_route_table_t *table,
                                const gs_caller_limits_t *limits);
const gs_caller_limits_t *
gs_route_table_limits (const gs_route_table_t *table);

unsigned gs_route_table_service_count (const gs_route_table_t *table);
const gs_path_service_t *gs_route_table_service (const gs_route_table_t *table,
                                                 unsigned index);

/** @return longest timeout of the routes whose streams may be resumed; 0 if
    there is none */
gs_time_t gs_route_table_stream_time (const gs_route_table_t *table);

/** @return whether a route with streams that may be resumed leads to a service
    @param index of the service */
bool gs_route_table_service_has_streams (const gs_route_table_t *table,
                                         unsigned index);

/** @return index of a service, or -1 if no service has that name */
int gs_route_table_service_find (const gs_route_table_t *table,
                                 const char *name);

unsigned gs_route_table_account_count (const gs_route_table_t *table);
const gs_client_account_t *
gs_route_table_account (const gs_route_table_t *table, unsigned index);

/**
 * Find the route of a host with the longest prefix of a path.
 * @param host as sent by the caller, optionally with a port
 * @param target path and query
 * @return the route, owned by the table; NULL if none matches
 */
const gs_path_route_t *
gs_route_table_route_find (const gs_route_table_t *table, const char *host,
                           const char *target);

/** @return index of the account that a key belongs to, or -1 */
int gs_route_table_key_find (const gs_route_table_t *table, const char *key);

#endif
