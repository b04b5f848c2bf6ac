/**
 * @file membership.h
 * Tables of the nodes and upstreams that are live or leaving.  They combine
 * the platform's VM list, which lags, with notices of reclamation and with
 * the connections and heartbeats of nodes.  Changes of the list and notices
 * may also come from peers.  The module does no I/O.
 */
#ifndef GS_CONTROL_MEMBERSHIP_H
#define GS_CONTROL_MEMBERSHIP_H

#include "blackboard/table.h"
#include "control/config.h"
#include "garnetstack/snapshot.h"

#include <glib.h>

/** A VM of the platform's list. */
typedef struct
{
  bool is_node;
  gs_node_info_t node;         /**< valid if is_node */
  gs_upstream_info_t upstream; /**< valid if not is_node */
  char token[GS_NAME_BYTES];   /**< token that the VM was created with, may
                                    be empty */
  char region[GS_NAME_BYTES];
} gs_vm_row_t;

/** State of a node. */
typedef struct
{
  gs_node_info_t info;
  gs_config_id_t config_id; /**< configuration in force at the node */
  gs_time_t heartbeat_at;   /**< last heartbeat or connect, 0 for never */
  unsigned missed_lists;    /**< consecutive complete lists without the node */
  bool listed_leaving;      /**< leaving according to the list */
  bool self_leaving; /**< its current process reports that it is leaving */
} gs_member_node_t;

/** What an engine reports that it serves. */
typedef struct
{
  gs_time_t reported_at; /**< 0 for never */
  uint64_t fencing;      /**< fencing token of the order that it has applied */
  char model[GS_NAME_BYTES];
  char version[GS_NAME_BYTES];
  char adapters[256]; /**< sorted, separated by commas */
} gs_engine_state_t;

/** State of an upstream. */
typedef struct
{
  gs_upstream_info_t info;
  gs_time_t load_forwarded_at; /**< when a peer last forwarded its load */
  gs_engine_state_t served;    /**< known only to nodes that poll the engine */
  char token[GS_NAME_BYTES];
  char region[GS_NAME_BYTES]; /**< empty if the list names none */
  uint32_t digest;            /**< gs_upstream_digest() of its name */
  unsigned missed_lists;      /**< consecutive complete lists without it */
  bool listed_leaving;        /**< leaving according to the list */
} gs_member_upstream_t;

/** Nodes and upstreams, and the notices that say which of them leave. */
typedef struct
{
  gs_table_t *nodes;              /**< of gs_member_node_t */
  gs_table_t *upstreams;          /**< of gs_member_upstream_t */
  GHashTable *node_by_name;       /**< name -> handle of a node */
  GHashTable *upstream_by_name;   /**< name -> handle of an upstream */
  GHashTable *upstream_by_digest; /**< gs_upstream_digest() -> handle */
  GHashTable *notices;    /**< VM name -> gs_time_t at which it is removed */
  uint64_t notice_digest; /**< XOR of the hashes of the names in notices;
                               peers compare it to find missing notices */
  uint64_t list_revision; /**< of the last list applied, 0 if it has none */
  unsigned stale_lists;   /**< consecutive lists with an older revision */
  bool changed;           /**< something that snapshots contain changed */
} gs_membership_t;

void gs_membership_init (gs_membership_t *members);
void gs_membership_clear (gs_membership_t *members);

/**
 * Apply the platform's VM list.  A list older than the one known is ignored,
 * unless several older ones arrive in succession.
 * @param revision of the list, 0 if it has none
 * @param is_complete true if @p rows is the complete list, false if it holds
 * only the VMs that changed
 */
void gs_membership_list_apply (gs_membership_t *members, gs_time_t now,
                               uint64_t revision, const gs_vm_row_t *rows,
                               size_t count, bool is_complete);

/** Remove a VM that is no longer listed.  A connected node stays until its
    connection ends. */
void gs_membership_vm_remove (gs_membership_t *members, const char *name);

/**
 * Store the notice that a VM is leaving.
 * @param deadline when the VM is removed
 * @return true if the notice is new and must be forwarded to peers
 */
bool gs_membership_notice_add (gs_membership_t *members, gs_time_t now,
                               const char *name, gs_time_t deadline);

/** Handle an authenticated connection to a node's process.  A node that is
    not listed is added. */
void gs_membership_peer_up (gs_membership_t *members, gs_time_t now,
                            const char *name, uint64_t incarnation);

/** Handle the end of a connection; ignored if it is not that of the node's
    current process. */
void gs_membership_peer_down (gs_membership_t *members, const char *name,
                              uint64_t incarnation);

/**
 * Handle a heartbeat.
 * @param config_id configuration in force at the node
 * @param leaving true if the process is leaving
 * @return false if it is not from the node's current process; it is then
 * ignored
 */
bool gs_membership_heartbeat_receive (gs_membership_t *members, gs_time_t now,
                                      const char *name, uint64_t incarnation,
                                      gs_config_id_t config_id, bool leaving);

/** Remove expired notices.  A VM that is still listed becomes live again. */
void gs_membership_tick (gs_membership_t *members, gs_time_t now);

/** @return the node or upstream of that name, or NULL; valid until the next
    change of the tables. */
gs_member_node_t *gs_membership_node_find (const gs_membership_t *members,
                                           const char *name);
gs_member_upstream_t *
gs_membership_upstream_find (const gs_membership_t *members, const char *name);

/** @return the upstream with that gs_upstream_digest(), or NULL. */
gs_member_upstream_t *
gs_membership_upstream_find_by_digest (const gs_membership_t *members,
                                       uint32_t digest);

/** @return true if the upstream is in the region or the list names no region
    for it. */
bool gs_membership_upstream_is_in_region (const gs_membership_t *members,
                                          const gs_member_upstream_t *upstream,
                                          const char *region);

/**
 * List the live nodes of a region.
 * @param self name of this node, always included
 * @param connected_only leave out nodes that are not connected
 * @return names; freed with g_ptr_array_unref()
 */
GPtrArray *gs_membership_region_list (const gs_membership_t *members,
                                      const char *region, const char *self,
                                      bool connected_only);

#endif
