/**
 * @file placer_private.h
 * State of the placer, shared by placer.c (replicas and load),
 * placer_choose.c (choice), placer_statements.c (what replicas say of
 * themselves) and placer_brittle.c (services whose replicas are brittle).
 */
#ifndef GS_POLICY_PLACER_PRIVATE_H
#define GS_POLICY_PLACER_PRIVATE_H

#include "policy/brittle_replica.h"
#include "policy/placer.h"
#include "policy/replica_limit.h"

/* From a request's arrival at an idle engine to its first event, without the
   time to read the prompt; engines take 26 to 41 ms.  */
#define PLACER_FIRST_EVENT_DELAY (40 * GS_MSEC)
/* Replicas recorded for a block: the preferred one, and others that took its
   requests while the preferred one was full.  */
#define PLACER_BLOCK_HOLDERS_MAX 4

typedef struct
{
  gs_replica_t replica;
  bool listed;          /* in the latest replica list */
  bool refuted;         /* a process with another id has answered at the
                           address */
  bool superseded;      /* the address is that of another listed row */
  uint32_t generation;  /* rises when the row gets another replica */
  uint64_t hash;        /* placer_replica_hash() of its id */
  uint64_t version;     /* placer_version_hash() of its software */
  uint64_t data_centre; /* crossing_centre_hash() of its name */
  uint32_t in_flight;
  uint64_t backlog_tokens;
  uint64_t reserved_tokens;
  uint32_t peer_in_flight;
  double peer_in_flight_mean; /* over the latest reports */
  uint64_t peer_backlog_tokens;
  uint64_t peer_reserved_tokens;
  unsigned failures; /* in a row */
  unsigned ejections;
  gs_time_t ejected_until;
  gs_time_t full_until; /* the replica has rejected a request as full */
  replica_limit_t limit;
  brittle_replica_t brittle;
  bool leaving;            /* as the replica said in an answer */
  gs_time_t leaving_at;    /* when a node received that */
  gs_time_t refused_until; /* the replica wants nothing from this node */
} replica_row_t;

typedef struct
{
  uint32_t row;
  uint32_t generation;
  gs_time_t used_at;
} block_holder_t;

typedef struct
{
  uint64_t id;
  unsigned count;
  block_holder_t holders[PLACER_BLOCK_HOLDERS_MAX];
} cached_block_t;

struct placer
{
  GArray *rows;        /* of replica_row_t */
  GHashTable *by_id;   /* id -> row + 1 */
  GHashTable *by_hash; /* hash of the id -> row + 1 */
  GHashTable *former;  /* hash of the id -> former_replica_t */
  GHashTable *brittle; /* name -> brittle_service_t */
  GHashTable *blocks;  /* id -> cached_block_t */
  double read_speed;   /* tokens per millisecond */
  unsigned peers;      /* other nodes that place requests */
  bool read_speed_observed;
  GArray *nodes; /* of uint64_t: see placer_nodes_set() */
  unsigned members;
  GArray *member_nodes; /* of uint64_t: see placer_members_set() */
  GArray *available;    /* of uint32_t; scratch: rows that are not full */
  gs_rng_t rng;
};

static inline replica_row_t *
placer_row (const placer_t *placer, uint32_t row)
{
  return &g_array_index (placer->rows, replica_row_t, row);
}

/* Services whose replicas have said that they are brittle.  */
GHashTable *placer_brittle_table_create (void);

/* Lets a row that got a new process inherit what others of its service say. */
void placer_brittle_process_set (placer_t *placer, gs_time_t now,
                                 replica_row_t *row);

/* Sets this node's part of a brittle replica anew.  */
void placer_brittle_share (const placer_t *placer, gs_time_t now,
                           replica_row_t *row);

/* Records that a replica has rejected a request for lack of room.  */
void placer_brittle_reject (placer_t *placer, gs_time_t now,
                            replica_row_t *row);

/* Records what an answer of a replica says.  */
void placer_brittle_answer (placer_t *placer, gs_time_t now,
                            replica_row_t *row, gs_time_t sent_at,
                            const placer_statement_t *statement);

/* Records what a replica has said in an answer to another node.  */
void placer_brittle_import (placer_t *placer, gs_time_t now,
                            replica_row_t *row, const statement_t *statement);

/* Keeps what a replica has said while no list contains it.  Does nothing if it
   has said nothing that binds.  */
void placer_former_add (placer_t *placer, gs_time_t now,
                        const replica_row_t *row);

/* Sets what the replica of a new row said before, if its process is the same.
 */
void placer_former_restore (placer_t *placer, gs_time_t now,
                            replica_row_t *row);

/* Removes entries of replicas that have been missing for long.  */
void placer_former_expire (placer_t *placer, gs_time_t now);

/* @return requests that occupy a slot of the replica, as far as known  */
uint32_t placer_row_slots_taken (const replica_row_t *row, bool engine);

/* Finds the rows whose address is that of another row.  A store that comes
   back older lists replicas that have ended, and the ones that have their
   addresses now.  */
void placer_addresses_update (placer_t *placer);

/* @return whether a replica of a service is listed and takes requests; it may
   be left out at present  */
bool placer_row_is_listed (const replica_row_t *row, const char *service);

/* @return whether a replica of a service may get requests at all, full or
   not  */
bool placer_row_is_usable (const replica_row_t *row, gs_time_t now,
                           const char *service);

#endif
