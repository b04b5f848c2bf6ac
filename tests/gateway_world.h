/**
 * @file gateway_world.h
 * A small copy of the users' platform on the loopback address, byte by byte:
 * its store, its provider, replicas that behave as the request's path says,
 * and gateway processes that use them.
 */
#ifndef GS_TESTS_GATEWAY_WORLD_H
#define GS_TESTS_GATEWAY_WORLD_H

#include "raw_http.h"

#include <jansson.h>
#include <pthread.h>
#include <sys/types.h>

#define WORLD_GATEWAYS_MAX 3
#define WORLD_REPLICAS_MAX 4
/* Slots of a replica, and how many calls a node sends it at once.  */
#define WORLD_SLOTS 8
#define WORLD_ROOM 12
#define WORLD_KEY "test-key"
#define WORLD_ACCOUNT "test-account"

/** How the store answers. */
typedef enum
{
  STORE_GOOD,
  STORE_RESETS,  /* closes at once */
  STORE_REFUSES, /* 503 */
  STORE_SILENT,  /* takes the request and says nothing */
  STORE_LOSES    /* does what is asked and says nothing */
} store_mode_t;

/** A request as a replica saw it. */
typedef struct
{
  char id[64];
  char *head;
  char *first;
  GString *body;
  unsigned replica;
  gs_time_t arrived_at;
  gs_time_t closed_at; /* the node closed while it was at work; 0 for not */
} arrival_t;

typedef struct gateway_world gateway_world_t;

typedef struct
{
  gateway_world_t *world;
  raw_server_t *server;
  unsigned index;
  char id[32];
  uint16_t port; /* that its entry names */
} world_replica_t;

/** The store as one node reaches it. */
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
  store_mode_t store_mode_of[WORLD_GATEWAYS_MAX]; /* for one node alone */
  bool stopping;
  uint64_t revision;
  uint64_t oldest;     /* watches from below it get 410 */
  GHashTable *objects; /* "kind/name" -> json_t object */
  json_t *history;     /* events, each with its revision and kind */
  GPtrArray *arrivals; /* of arrival_t */
  json_t *usage;       /* reports taken */
  json_t *orders;      /* orders taken */
  unsigned store_calls;
  world_store_t stores[WORLD_GATEWAYS_MAX];
  raw_server_t *provider;
  world_replica_t replicas[WORLD_REPLICAS_MAX];
  unsigned replica_count;
  world_gateway_t gateways[WORLD_GATEWAYS_MAX];
  char *directory;
};

/** Start the platform with replicas of one service "engine" or "plain". */
void gw_create (gateway_world_t *world, unsigned replicas);
void gw_destroy (gateway_world_t *world);

/** Write the configuration that the tests use; @p prefix is that of its
    first route. @return its revision */
uint64_t gw_configure (gateway_world_t *world, unsigned version,
                       const char *prefix, const char *key);

/** The same with a limit for the account.
    @param unit "token_count" or "request" */
uint64_t gw_limit (gateway_world_t *world, unsigned version, const char *unit,
                   unsigned rate, unsigned burst);

/** Write or remove an object as its owner would. */
uint64_t gw_put (gateway_world_t *world, const char *kind, const char *name,
                 json_t *spec);
void gw_remove (gateway_world_t *world, const char *kind, const char *name);
void gw_list_replica (gateway_world_t *world, unsigned replica,
                      const char *state);

/** Drop all history, so that watches must start over. */
void gw_compact (gateway_world_t *world);
void gw_set_store (gateway_world_t *world, store_mode_t mode);
void gw_set_store_of (gateway_world_t *world, unsigned gateway,
                      store_mode_t mode);

/** Start a gateway process and, if @p ready, wait until it takes requests;
    ends the program when that fails. */
void gw_start (gateway_world_t *world, unsigned index, bool ready);
void gw_signal (gateway_world_t *world, unsigned index, int number);
/** @return true when it ended by itself before the deadline. */
bool gw_wait_end (gateway_world_t *world, unsigned index, gs_time_t deadline);
bool gw_is_ready (gateway_world_t *world, unsigned index);

/** @return a node's metrics as text, freed with g_free() */
char *gw_metrics (gateway_world_t *world, unsigned index);

/** Wait until a condition holds. @return false after @p most */
bool gw_wait (bool (*condition) (void *), void *context, gs_time_t most);

/** Connect as a caller. @return false when refused */
bool gw_connect (raw_conn_t *conn, gateway_world_t *world, unsigned index);

/** Send a request in the usual form on an open connection.
    @param body NULL for none */
void gw_send (raw_conn_t *conn, const char *method, const char *target,
              const char *id, const char *extra, const char *body);

/** Send a request in the usual form on a connection of its own and read the
   answer.
    @param extra more header lines, each with its line end; "" for none
    @return the whole answer as text */
char *gw_ask (gateway_world_t *world, unsigned index, const char *method,
              const char *target, const char *id, const char *extra,
              const char *body);

/** @return arrivals of an attempt at all replicas. */
unsigned gw_arrivals (gateway_world_t *world, const char *id);

/** @return the first arrival of an attempt, NULL for none; valid until the
    world ends. */
const arrival_t *gw_arrival (gateway_world_t *world, const char *id);

#endif
