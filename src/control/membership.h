/**
 * @file membership.h
 * Decides which nodes and upstreams are live, leaving or gone, from the
 * lagging VM list, reclaim notices, heartbeats and what peers pass on.
 * Plain functions over two tables of the blackboard.
 */
#ifndef GS_CONTROL_MEMBERSHIP_H
#define GS_CONTROL_MEMBERSHIP_H

#include "blackboard/table.h"
#include "control/config.h"
#include "garnetstack/snapshot.h"

#include <glib.h>

/** A VM as listed. */
typedef struct
{
  bool is_node;
  gs_node_info_t node; /**< when is_node */
  gs_upstream_info_t upstream;
  char token[GS_NAME_BYTES];
  char region[GS_NAME_BYTES];
} gs_vm_row_t;

typedef struct
{
  gs_node_info_t info;
  gs_config_id_t mark; /**< text in force there */
  gs_time_t heard_at;  /**< last heartbeat, 0 for never */
  unsigned missing;    /**< lists in a row without it */
  bool listed_leaving;
  bool self_leaving; /**< its present incarnation leaves */
} gs_member_node_t;

/** What an engine says it serves. */
typedef struct
{
  gs_time_t reported_at; /**< 0 for never */
  uint64_t fencing;      /**< of the order it follows */
  char model[GS_NAME_BYTES];
  char version[GS_NAME_BYTES];
  char adapters[256]; /**< sorted, separated by commas */
} gs_served_t;

typedef struct
{
  gs_upstream_info_t info;
  gs_time_t passed_at; /**< when a peer passed its load on */
  gs_served_t served;  /**< known where the engine is asked */
  char token[GS_NAME_BYTES];
  char region[GS_NAME_BYTES];
  uint32_t digest; /**< gs_upstream_digest() of its name */
  unsigned missing;
  bool listed_leaving;
} gs_member_upstream_t;

typedef struct
{
  gs_table_t *nodes;     /**< of gs_member_node_t */
  gs_table_t *upstreams; /**< of gs_member_upstream_t */
  GHashTable *by_name;   /**< name -> handle of a node */
  GHashTable *upstream_by_name;
  GHashTable *upstream_by_digest;
  GHashTable *notices;    /**< name -> gs_time_t, when it is taken back */
  uint64_t notice_digest; /**< over the names of all notices held */
  uint64_t list_revision;
  unsigned old_lists; /**< whole lists in a row below it */
  bool changed;       /**< something published has changed */
} gs_membership_t;

void gs_membership_init (gs_membership_t *members);
void gs_membership_clear (gs_membership_t *members);

/** The VM list came, whole or (@p whole false) as the rows that changed. */
void gs_membership_listed (gs_membership_t *members, gs_time_t now,
                           uint64_t revision, const gs_vm_row_t *rows,
                           size_t count, bool whole);

/** The list no longer has this VM. */
void gs_membership_unlisted (gs_membership_t *members, const char *name);

/** @return true when the notice is new and is to be passed on. */
bool gs_membership_notice (gs_membership_t *members, gs_time_t now,
                           const char *name, gs_time_t deadline);

/** A connection to the process is proved. */
void gs_membership_peer_up (gs_membership_t *members, gs_time_t now,
                            const char *name, uint64_t incarnation);
void gs_membership_peer_down (gs_membership_t *members, const char *name,
                              uint64_t incarnation);

/** @return false when it is of a process that is no longer the node. */
bool gs_membership_heartbeat (gs_membership_t *members, gs_time_t now,
                              const char *name, uint64_t incarnation,
                              gs_config_id_t mark, bool leaving);

/** Drops notices that are void and VMs that are gone. */
void gs_membership_tick (gs_membership_t *members, gs_time_t now);

/** @return the node or upstream of that name, or NULL. */
gs_member_node_t *gs_membership_node (const gs_membership_t *members,
                                      const char *name);
gs_member_upstream_t *gs_membership_upstream (const gs_membership_t *members,
                                              const char *name);

/** @return the upstream that a digest stands for, or NULL. */
gs_member_upstream_t *
gs_membership_upstream_by_digest (const gs_membership_t *members,
                                  uint32_t digest);

/** @return true for an upstream of that region or of none. */
bool gs_membership_in_region (const gs_membership_t *members,
                              const gs_member_upstream_t *upstream,
                              const char *region);

/** @return names of the live nodes of a region that are heard (or, before
    any is heard, listed), with @p self; freed with g_ptr_array_unref(). */
GPtrArray *gs_membership_region (const gs_membership_t *members,
                                 const char *region, const char *self,
                                 bool heard_only);

#endif
