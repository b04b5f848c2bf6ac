/**
 * @file gateway_world.h
 * Stand-ins for the platform on the loopback address, and gateway processes
 * that use them.  The stand-ins are the platform's store, its provider, and
 * replicas whose behaviour the last part of a request's path selects.
 */
#ifndef GS_TESTS_GATEWAY_WORLD_H
#define GS_TESTS_GATEWAY_WORLD_H

#include "raw_http.h"

#include <jansson.h>
#include <pthread.h>
#include <sys/types.h>

#define WORLD_GATEWAYS_MAX 3
#define WORLD_REPLICAS_MAX 4
#define WORLD_SLOTS 8 /* of each replica */
/* A node sends a replica half as many requests more than it has slots.  */
#define WORLD_ROOM 12
#define WORLD_KEY "test-key"
#define WORLD_ACCOUNT "test-account"

/** How the store handles requests. */
typedef enum
{
  STORE_GOOD,
  STORE_RESETS,  /* reads the request and closes the connection */
  STORE_REFUSES, /* responds with status 503 */
  STORE_SILENT,  /* reads the request and sends no response */
  STORE_LOSES    /* executes the request and sends no response */
} store_mode_t;

/** A request as a replica received it. */
typedef struct
{
  char id[64];
  char *head;
  char *first_line;
  GString *body;
  unsigned replica;
  gs_time_t arrived_at;
  gs_time_t closed_at; /* when the node closed before a response; 0 if not */
} arrival_t;

typedef struct gateway_world gateway_world_t;

typedef struct
{
  gateway_world_t *world;
  raw_server_t *server;
  unsigned index;
  char id[32];
  uint16_t port; /* of the replica, or of a proxy before it */
} world_replica_t;

/** The store's listener for one gateway. */
typedef struct
{
  gateway_world_t *world;
  raw_server_t *server;
  unsigned gateway;
} world_store_t;

typedef struct
{
  pid_t pid;
  char name[16];
  uint16_t callers;
  uint16_t readiness;
  uint16_t addresses;
  uint16_t peers;
  uint16_t metrics;
  char *settings;
  char *log;
} world_gateway_t;

struct gateway_world
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  store_mode_t store_mode;
  /* Applies to one gateway while store_mode is STORE_GOOD.  */
  store_mode_t store_mode_of[WORLD_GATEWAYS_MAX];
  bool stopping;
  uint64_t revision;
  uint64_t oldest;     /* watches from an earlier revision get 410 */
  GHashTable *objects; /* "kind/name" -> json_t object */
  json_t *history;     /* watch events with revision and kind */
  GPtrArray *arrivals; /* of arrival_t */
  json_t *usage;       /* usage reports that the provider received */
  json_t *orders;      /* orders that the provider received */
  unsigned store_calls;
  world_store_t stores[WORLD_GATEWAYS_MAX];
  raw_server_t *provider;
  world_replica_t replicas[WORLD_REPLICAS_MAX];
  unsigned replica_count;
  world_gateway_t gateways[WORLD_GATEWAYS_MAX];
  char *directory;
};

/** Start the store, the provider and replicas of the service "pool".
    @param replicas at most WORLD_REPLICAS_MAX */
void gw_create (gateway_world_t *world, unsigned replicas);

/** Kill the gateways, stop the platform and remove their files, unless
    GS_KEEP_LOGS is set. */
void gw_destroy (gateway_world_t *world);

/** Write the configuration that the tests use.
    @param prefix path prefix of all routes, such as "/a/"
    @param key API key of the account
    @return revision of the write */
uint64_t gw_configure (gateway_world_t *world, unsigned version,
                       const char *prefix, const char *key);

/** Write the configuration with prefix "/a/", WORLD_KEY and a limit for the
    account.
    @param unit "token_count" or "request"
    @param rate units per second
    @return revision of the write */
uint64_t gw_limit (gateway_world_t *world, unsigned version, const char *unit,
                   unsigned rate, unsigned burst);

/** Create or replace an object of the store.
    @param spec reference that the call takes over
    @return revision of the write */
uint64_t gw_put (gateway_world_t *world, const char *kind, const char *name,
                 json_t *spec);

/** Remove an object of the store, if it exists. */
void gw_remove (gateway_world_t *world, const char *kind, const char *name);

/** Write a replica's entry in the store.
    @param state such as "ready" or "draining" */
void gw_list_replica (gateway_world_t *world, unsigned replica,
                      const char *state);

/** Drop all watch events, so that watches from an earlier revision get 410. */
void gw_compact (gateway_world_t *world);

/** Set how the store handles requests of all gateways. */
void gw_set_store (gateway_world_t *world, store_mode_t mode);

/** Set how the store handles requests of one gateway. */
void gw_set_store_of (gateway_world_t *world, unsigned gateway,
                      store_mode_t mode);

/** Start a gateway process.
    @param ready true to wait until the gateway is ready; the test program
    exits if that takes too long */
void gw_start (gateway_world_t *world, unsigned index, bool ready);

/** Send a signal to a gateway that runs; after SIGKILL, wait for its exit. */
void gw_signal (gateway_world_t *world, unsigned index, int number);

/** @return true if the gateway exited before the deadline. */
bool gw_wait_end (gateway_world_t *world, unsigned index, gs_time_t deadline);

/** @return true if the gateway's readiness check succeeds. */
bool gw_is_ready (gateway_world_t *world, unsigned index);

/** @return a gateway's HTTP response with its metrics, freed with g_free(); ""
    if the connection was refused. */
char *gw_metrics (gateway_world_t *world, unsigned index);

/** Poll until a condition holds.
    @param most timeout
    @return false after the timeout */
bool gw_wait (bool (*condition) (void *), void *context, gs_time_t most);

/** Connect to a gateway's port for callers.
    @return false if the connection was refused */
bool gw_connect (raw_conn_t *conn, gateway_world_t *world, unsigned index);

/** Send a request of the test account on an open connection.
    @param id value of X-Attempt-Id
    @param extra more header lines, each with its line end; "" for none
    @param body NULL for none */
void gw_send (raw_conn_t *conn, const char *method, const char *target,
              const char *id, const char *extra, const char *body);

/** Send a request as gw_send() does on a connection of its own and read the
    response.
    @return the whole response as text, freed with g_free(); "" if the
    connection was refused */
char *gw_ask (gateway_world_t *world, unsigned index, const char *method,
              const char *target, const char *id, const char *extra,
              const char *body);

/** @return how often the replicas received an attempt. */
unsigned gw_arrivals (gateway_world_t *world, const char *id);

/** @return the first arrival of an attempt at a replica, or NULL; valid until
    gw_destroy(). */
const arrival_t *gw_arrival (gateway_world_t *world, const char *id);

#endif
