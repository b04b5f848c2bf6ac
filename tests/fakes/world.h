/**
 * @file world.h
 * State that the stand-ins share.  One lock guards all of it.  One thread
 * runs the tick that advances streams, pending watches and delayed answers.
 * Server threads handle the calls.
 */
#ifndef GS_TESTS_FAKES_WORLD_H
#define GS_TESTS_FAKES_WORLD_H

#include "fakes/fakes.h"

#include "garnetstack/loop.h"
#include "garnetstack/server.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

typedef enum
{
  FAULT_NONE,
  FAULT_LATE,              /* the answer is delayed */
  FAULT_LOST,              /* no effect, the connection is cut */
  FAULT_LOST_AFTER_EFFECT, /* effect, then the connection is cut */
  FAULT_DUPLICATE,         /* one item of the answer is repeated */
  FAULT_REORDER,           /* items of the answer are reordered */
  FAULT_SILENT, /* effect, but no answer; the connection stays open */
  FAULT_REFUSE, /* rejected without effect */
  FAULT_SLOW,   /* the body is sent in small pieces */
  FAULT_OUTAGE, /* as FAULT_LOST, for every call */
  FAULT_CUT,    /* a stream is cut after some of its events */
  FAULT_NO_END  /* a stream ends without its end marker */
} fault_kind_t;

/* A call in progress and the fault that applies to it.  */
typedef struct
{
  fake_world_t *world;
  gs_exchange_t *exchange;
  fault_kind_t fault;
  gs_time_t delay;
  unsigned after; /* events of a stream sent before the fault */
} fake_call_t;

typedef struct faults faults_t;
typedef struct store store_t;
typedef struct vm_list vm_list_t;
typedef struct cloud cloud_t;
typedef struct weights weights_t;
typedef struct records records_t;
typedef struct engine engine_t;
typedef struct service service_t;

/* An engine or a service; each has its own HTTP server.  */
typedef struct
{
  fake_world_t *world;
  char *name;
  gs_server_t *server;
  engine_t *engine;   /* NULL for a service */
  service_t *service; /* NULL for an engine */
} upstream_t;

struct fake_world
{
  pthread_mutex_t lock;
  gs_loop_t *loop;
  pthread_t thread;
  gs_server_t *server;
  faults_t *faults;
  store_t *store;
  vm_list_t *vms;
  cloud_t *cloud;
  weights_t *weights;
  records_t *records;
  GPtrArray *upstreams; /* of upstream_t */
  GPtrArray *closed;    /* of upstream_t, closed, not yet freed */
  unsigned created;     /* create calls so far; part of new VM names */
};

/* faults.c.  All functions below need the lock unless said otherwise.  */
faults_t *faults_create (void);
void faults_destroy (faults_t *faults);
gs_status_t faults_add (fake_world_t *world, const json_t *fault);
/* Sets the fault of a call.  A fault that prevents any effect also ends the
   call here.  @return true when the call has ended.  */
bool faults_call_apply (fake_call_t *call, const char *target,
                        const char *group);
/* @return number of calls to which a fault has applied.  */
uint64_t faults_calls_affected (const faults_t *faults);
void faults_tick (faults_t *faults, gs_time_t now);

/* Answers a call, subject to its fault.  */
void fake_reply (const fake_call_t *call, unsigned status,
                 const char *const *headers, const char *body, size_t length);
void fake_reply_json (const fake_call_t *call, unsigned status, json_t *root);
/* Duplicates or reorders the items of an answer if the fault demands it.  */
void fake_items_alter (const fake_call_t *call, json_t *items);

store_t *store_create (void);
void store_destroy (store_t *store);
void store_call_handle (store_t *store, const fake_call_t *call,
                        const char *path);
void store_tick (store_t *store, gs_time_t now);
gs_status_t store_restore (store_t *store, uint64_t revision, uint64_t back);
void store_compact (store_t *store);
json_t *store_stats (const store_t *store);

vm_list_t *vm_list_create (void);
void vm_list_destroy (vm_list_t *vms);
void vm_list_put (vm_list_t *vms, const json_t *vm);
void vm_list_remove (vm_list_t *vms, const char *name);
const json_t *vm_list_find (const vm_list_t *vms, const char *name);
const json_t *vm_list_all (const vm_list_t *vms);
void vm_list_set_lag (vm_list_t *vms, gs_time_t lag);
void vm_list_call_handle (vm_list_t *vms, const fake_call_t *call);

cloud_t *cloud_create (void);
void cloud_destroy (cloud_t *cloud);
void cloud_call_handle (cloud_t *cloud, const fake_call_t *call,
                        const char *path);
void cloud_notices_handle (cloud_t *cloud, const fake_call_t *call);
/* Reclaims one VM, or all VMs of a data centre.  */
gs_status_t cloud_reclaim (fake_world_t *world, const json_t *reclaim);
void cloud_tick (fake_world_t *world, gs_time_t now);

weights_t *weights_create (void);
void weights_destroy (weights_t *weights);
void weights_set_rate (weights_t *weights, unsigned per_second);
void weights_call_handle (weights_t *weights, const fake_call_t *call,
                          const char *path);

records_t *records_create (void);
void records_destroy (records_t *records);
void records_generation_add (records_t *records, const char *request_id,
                             const char *prompt, const char *mode,
                             const char *vm, unsigned recomputed);
void records_event_add (records_t *records, const char *list, json_t *event);
unsigned records_executions_count (const records_t *records, const char *key);
void records_execution_add (records_t *records, const char *key,
                            const char *request_id, const char *vm);
json_t *records_executions_json (const records_t *records);
json_t *records_json (const records_t *records);

/* engine_cache.c: prompt blocks in order of last use.  */
typedef struct engine_cache engine_cache_t;
engine_cache_t *engine_cache_create (void);
void engine_cache_destroy (engine_cache_t *cache);
/* Adds the blocks of a prompt to the cache.
   @return the tokens of its prefix that were cached already.  */
unsigned engine_cache_use (engine_cache_t *cache, const char *prompt);
void engine_cache_set (engine_cache_t *cache, const json_t *settings);
void engine_cache_call_handle (engine_cache_t *cache, const fake_call_t *call);

/* engine_stream.c */
typedef struct stream stream_t;
struct stream
{
  char *id;
  char *prompt;
  int64_t attempt;
  int64_t priority;
  uint32_t produced; /* tokens generated so far */
  uint32_t end;
  bool running;     /* occupies a slot */
  gs_time_t due;    /* time of the next token */
  gs_time_t expiry; /* expiry of a finished stream, 0 before its end */
  gs_time_t interval;
  /* Reader of the tokens; generation continues without one.  */
  gs_exchange_t *exchange;
  uint32_t next; /* index of the next token to send */
  unsigned sent; /* events sent to this reader */
  fault_kind_t fault;
  unsigned after;
  gs_time_t cut_due; /* time of the cut, 0 before its position is reached */
};

stream_t *stream_create (const char *id, const json_t *body,
                         gs_time_t interval);
void stream_free (gpointer data);
/* Makes the call the reader of the stream, starting with token @p from.  */
void stream_attach (stream_t *stream, const fake_call_t *call, uint32_t from,
                    unsigned recomputed);
/* Generates and sends tokens that are due.
   @return false when the finished stream has expired.  */
bool stream_step (stream_t *stream, gs_time_t now);

engine_t *engine_create (upstream_t *upstream);
void engine_destroy (engine_t *engine);
void engine_call_handle (engine_t *engine, fake_call_t *call);
void engine_set (engine_t *engine, const json_t *settings);
/* @return the model, version, adapters and role of the engine.  */
json_t *engine_state (const engine_t *engine);
void engine_tick (engine_t *engine, gs_time_t now);

service_t *service_create (upstream_t *upstream);
void service_destroy (service_t *service);
void service_call_handle (service_t *service, const fake_call_t *call);
void service_set (service_t *service, const json_t *settings);

/* upstream.c */
gs_status_t upstream_start (fake_world_t *world, const char *name,
                            const json_t *vm);
void upstream_close (fake_world_t *world, const char *name);
upstream_t *upstream_find (const fake_world_t *world, const char *name);
/* Frees closed upstreams.  Called without the lock, because it joins server
   threads that may wait for the lock. */
void upstream_free_closed (fake_world_t *world);

/* control.c */
void control_call_handle (const fake_call_t *call, const char *path);
/* Executes a POST to @p path of the control interface.  */
gs_status_t control_post (fake_world_t *world, const char *path,
                          const json_t *body);

/* Access to JSON fields; a missing text is "".  */
const char *json_text (const json_t *object, const char *key);
int64_t json_number (const json_t *object, const char *key, int64_t fallback);

#endif
