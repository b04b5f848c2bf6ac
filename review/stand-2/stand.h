/**
 * @file stand.h
 * What the scripts of this review share: nodes of the system as processes with
 * the settings of a small deployment, replicas that send long streams, and
 * callers that take a broken stream up again.  The store, the provider and the
 * replicas' servers are the project's own stand-ins (tests/gateway_world.h).
 */
#ifndef GS_REVIEW_STAND_H
#define GS_REVIEW_STAND_H

#include "garnetstack/rng.h"
#include "../../tests/gateway_world.h"

#include <stdio.h>

#define STAND_NODES_MAX 4
/* max_header_bytes of the configuration.  */
#define STAND_HEAD_BYTES_MAX 16384
#define STAND_STREAMS_MAX 96
#define STAND_TRIES_MAX 8
#define STAND_EVENTS_MAX 64

/** One attempt of a caller. */
typedef struct
{
  char id[32];
  unsigned node;
  unsigned from;   /**< last event that the caller had */
  gs_time_t at;    /**< when it was sent, on the clock of the script */
  unsigned status; /**< 0 if there was no answer */
  unsigned events; /**< that it brought */
} stand_try_t;

/** A caller of one stream. */
typedef struct stand_stream
{
  struct stand *stand;
  unsigned index;
  gs_time_t timeout;   /**< X-Deadline-Ms of the first attempt */
  unsigned nodes;      /**< bits of the nodes for the first attempt */
  unsigned nodes_next; /**< the same for the others */
  unsigned retries;    /**< attempts after the first that had an answer */
  stand_try_t tries[STAND_TRIES_MAX];
  unsigned try_count;
  unsigned last; /**< last event received */
  char versions[STAND_EVENTS_MAX + 1][8];
  bool complete;
  pthread_t thread;
} stand_stream_t;

typedef struct
{
  pid_t pid;
  reserved_port_t ports[5];
  gs_time_t kill_at; /**< end of the grace period */
  char *settings;
  char *log;
} stand_node_t;

typedef struct stand
{
  gateway_world_t world;
  stand_node_t nodes[STAND_NODES_MAX];
  unsigned node_count;
  unsigned timeout_ms; /**< of the route */
  unsigned events;     /**< of a stream */
  unsigned event_interval_ms;
  bool started_before;
  gs_time_t began_at;
  FILE *record;
  pthread_mutex_t lock; /**< of the record and of the random numbers */
  gs_rng_t rng;
  stand_stream_t streams[STAND_STREAMS_MAX];
  unsigned stream_count;
} stand_t;

/** Start the platform and write the configuration.
    @param record path of the record of the run */
void stand_create (stand_t *stand, const char *record, unsigned replicas,
                   unsigned nodes, unsigned timeout_ms);

/** End all processes and the platform. */
void stand_destroy (stand_t *stand);

/** Write a line with the time into the record. */
void stand_log (stand_t *stand, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** @return time since stand_create() */
gs_time_t stand_now (const stand_t *stand);

/** Wait until a point in time on the clock of the script. */
void stand_wait (const stand_t *stand, gs_time_t at);

/** Start a node.  To be called by the main thread, with which nodes end.
    @param ready true to wait until it is ready; exits with 2 if it is not */
void stand_node_start (stand_t *stand, unsigned index, bool ready);

/** Kill a node and wait for its end. */
void stand_node_kill (stand_t *stand, unsigned index);

/** Send SIGTERM to a node. */
void stand_node_stop (stand_t *stand, unsigned index);

/** Wait for the end of a node that was told to stop; SIGKILL after 8 s. */
void stand_node_wait (stand_t *stand, unsigned index);

/** Connect to a node as a caller; closed with raw_close().
    @return false if the connection was refused */
bool stand_connect (const stand_t *stand, unsigned node, raw_conn_t *out);

/** Start a caller of a stream.
    @param nodes bits of the nodes that it may use first
    @param nodes_next bits of those that it may use then */
void stand_stream_start (stand_t *stand, gs_time_t timeout, unsigned nodes,
                         unsigned nodes_next, unsigned retries);

/** Wait for all callers and write down what each of them saw. */
void stand_streams_end (stand_t *stand);

/** Count the streams that callers took up again.
    @param count number of streams that are looked at, from the first one
    @param went_on receives how many of them went on
    @return how many were taken up again at a node that answered */
unsigned stand_resumed_count (const stand_t *stand, unsigned count,
                              unsigned *went_on);

/** Stop a node with SIGTERM and start it again when it has ended. */
void stand_node_restart (stand_t *stand, unsigned index);

/** @return number of versions in a stream's events */
unsigned stand_stream_versions (const stand_stream_t *stream);

/** @return true if TROUBLE=0 is set */
bool stand_is_calm (void);

#endif
