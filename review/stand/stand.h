/**
 * @file stand.h
 * What the cases of the review share: nodes of the system, started with the
 * command of the deploy file and settings in the platform's format, before the
 * project's own stand-ins of the platform; the part of the platform that ends
 * processes; and the record of what was sent, answered and run.
 */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include "../../tests/gateway_world.h"

#include <stdbool.h>

/** Exit statuses of a case. */
#define STAND_HELD 0
#define STAND_BROKEN 1
#define STAND_NOT_RUN 2

#define STAND_KEY "i9n73hh2b9wu3fexd9dn"
#define STAND_HOST "ficu95.example"

/** Settings of a node that differ between machines. */
typedef struct
{
  const char *zone;
  unsigned memory_mb;
  unsigned max_fds;
  unsigned link_mbps;
} stand_machine_t;

/** Open the record, record.txt in the folder of the case.
    @return whether the case runs with its disruption: TROUBLE is not 0 */
bool stand_open (const char *folder);

/** Write a line to the record, with the time since stand_open() before it. */
void stand_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/** @return milliseconds since stand_open() */
unsigned stand_ms (void);

/** Write the settings of a node and reserve its ports. */
void stand_node_prepare (gateway_world_t *world, unsigned index,
                         const stand_machine_t *machine);

/** Start the process of a node.  Its settings say that the system starts for
    the first time only at its first start. */
void stand_node_start (gateway_world_t *world, unsigned index);

/** Wait until a node is ready; ends the case as not run after 15 s. */
void stand_node_wait (gateway_world_t *world, unsigned index);

/** @return memory that a node's process has resident, in MB; 0 if it does not
    run */
unsigned stand_node_memory (const gateway_world_t *world, unsigned index);

/** Publish a replica, whose id is "i-" and its number.
    @param server listens for it */
void stand_replica_publish (gateway_world_t *world, unsigned number,
                            const char *service, const char *zone,
                            unsigned slots, const raw_server_t *server);

/** Answer 421 if a request names another replica.
    @return whether it does */
bool stand_replica_refuses (raw_conn_t *conn, const raw_message_t *request,
                            unsigned number);

/** Connect to the port of a node for callers.  @return false if refused */
bool stand_connect (raw_conn_t *conn, const gateway_world_t *world,
                    unsigned index);

/** End all nodes, close the record and exit. */
void stand_exit (gateway_world_t *world, int status)
    __attribute__ ((noreturn));

#endif
