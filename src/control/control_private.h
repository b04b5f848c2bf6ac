/**
 * @file control_private.h
 * Internal state of the control thread: the blackboard and the *_wire.c
 * modules, which connect each controller to the store, the platform and the
 * peers.
 */
#ifndef GS_CONTROL_CONTROL_PRIVATE_H
#define GS_CONTROL_CONTROL_PRIVATE_H

#include "control/config.h"
#include "control/control.h"
#include "control/membership.h"
#include "control/vm_list.h"
#include "garnetstack/loop.h"
#include "garnetstack/cloud.h"
#include "garnetstack/weights.h"
#include "garnetstack/engine.h"
#include "garnetstack/store.h"
#include "garnetstack/thread.h"

/** Timeout of one call to the platform or the weight store, and of an order to
    an engine. */
#define GS_CONTROL_CALL_TIMEOUT (2 * GS_SEC)

/** State of a pool as last reported by the holder of its lease. */
typedef struct
{
  gs_lease_info_t lease;
  GArray *rows; /**< of gs_placement_info_t */
} gs_pool_report_t;

/** State shared by the controllers; each writes only its own section. */
typedef struct
{
  gs_catalogue_t *catalogue; /**< in force, NULL for none; written by the
                                  configuration wiring */
  gs_time_t adopted_at;      /**< when the catalogue was put in force */
  gs_config_t config;
  gs_membership_t members;
  bool leaving; /**< this node drains; set by a request to leave or by the
                     membership wiring on reclamation */
} gs_blackboard_t;

/** Change of an upstream's prefix cache that is not yet in a snapshot. */
typedef struct
{
  gs_handle_t upstream;
  bool evicted;   /**< true if evicted, false if added */
  uint64_t block; /**< chain hash of the prompt block */
} gs_pending_cache_event_t;

/** State of the membership wiring. */
typedef struct
{
  gs_vm_list_t *list;
  /** Names of this node and of the live nodes of its region that are
      connected; right after the start also of those that are only listed. */
  GPtrArray *region;
  gs_time_t region_due;   /**< when region is computed next */
  bool watcher;           /**< this node watches the platform for its region */
  bool list_in_flight;    /**< a call for the VM list is in flight */
  bool notices_in_flight; /**< a call for notices is in flight */
  uint64_t notice_revision; /**< of the last notices received */
  gs_time_t list_due;       /**< earliest time of the next call */
  gs_time_t notices_due;    /**< earliest time of the next call */
  unsigned list_failures;   /**< consecutive */
  unsigned notice_failures; /**< consecutive */
} gs_members_wire_t;

/** State of the load wiring. */
typedef struct
{
  GHashTable *polls;         /**< upstream name -> poll state */
  GArray *cache_events;      /**< of gs_pending_cache_event_t */
  gs_time_t due;             /**< when polls are checked next */
  gs_time_t send_due;        /**< when loads are sent to the region next */
  int64_t cache_budget;      /**< bytes of cache events that may be forwarded
                                  to peers */
  gs_time_t cache_budget_at; /**< when the budget was last replenished */
} gs_load_wire_t;

struct gs_control
{
  gs_control_options_t options;
  gs_loop_t *loop;
  gs_thread_t *thread;
  bool started;
  gs_peer_t *peer;
  gs_store_port_t store;
  gs_cloud_port_t cloud;
  gs_vm_list_port_t vm_list;
  gs_engine_port_t engine;
  gs_weights_port_t weights; /**< context is NULL without a weight store */
  gs_apply_port_t apply;
  GQueue waiting_edits; /**< of edit_event_t; edits that wait until this node
                             has the newest generation */
  gs_blackboard_t board;
  gs_members_wire_t members;
  gs_load_wire_t load;
  GPtrArray *pools;       /**< one state of the placement wiring per pool */
  gs_time_t pools_due;    /**< when the placement wiring runs next */
  GHashTable *reports;    /**< pool name -> gs_pool_report_t */
  GArray *config_actions; /**< of gs_config_action_t, to be run */
  gs_time_t publish_due;  /**< latest time of the next snapshot */
  bool changed;           /**< something changed since the last snapshot */
};

/* Configuration wiring.  */
void gs_config_wire_tick (gs_control_t *control, gs_time_t now);
void gs_config_wire_announcement (gs_control_t *control, gs_time_t now,
                                  uint64_t incarnation, gs_config_id_t id);
void gs_config_wire_frame (gs_control_t *control, gs_time_t now,
                           uint64_t incarnation, const gs_frame_t *frame);
void gs_config_wire_open (gs_control_t *control);

/* Membership wiring: heartbeats, the VM list and notices.  */
void gs_members_wire_open (gs_control_t *control);
void gs_members_wire_close (gs_control_t *control);
void gs_members_wire_tick (gs_control_t *control, gs_time_t now);
void gs_members_wire_frame (gs_control_t *control, gs_time_t now,
                            const char *name, uint64_t incarnation,
                            const gs_frame_t *frame);

/* Load wiring: load of upstreams and their prefix caches.  */
void gs_load_wire_open (gs_control_t *control);
void gs_load_wire_close (gs_control_t *control);
void gs_load_wire_tick (gs_control_t *control, gs_time_t now);
void gs_load_wire_frame (gs_control_t *control, gs_time_t now,
                         const gs_frame_t *frame);

/* Placement wiring: leases and placement of pools.  */
void gs_placement_wire_open (gs_control_t *control);
void gs_placement_wire_close (gs_control_t *control);
void gs_placement_wire_tick (gs_control_t *control, gs_time_t now);
void gs_placement_wire_publish (const gs_control_t *control,
                                gs_snapshot_t *snapshot);

/** @return true if this node holds the lease of a pool that serves the
    model. */
bool gs_placement_wire_is_holder (const gs_control_t *control,
                                  const char *model);

/* Reports that holders of pool leases send to the region.  */
void gs_reports_open (gs_control_t *control);
void gs_reports_tick (gs_control_t *control, gs_time_t now);
void gs_reports_frame (gs_control_t *control, gs_time_t now,
                       const gs_frame_t *frame);
void gs_reports_publish (const gs_control_t *control, gs_snapshot_t *snapshot);

/** Store the report of a pool's holder.
    @param root the report, as received or as sent by this node
    @param act_deadline of this node's lease; 0 if it is not the holder */
void gs_report_store (gs_control_t *control, gs_time_t now, const json_t *root,
                      gs_time_t act_deadline);

/** Notify all nodes that a VM gets no new work. */
void gs_members_wire_drain (gs_control_t *control, gs_time_t now,
                            const char *vm, gs_time_t deadline);

/** Update the status that heartbeats report to peers.
    @param immediate_max largest number of peers that get a heartbeat
    immediately */
void gs_control_status_announce (gs_control_t *control,
                                 unsigned immediate_max);

/** Publish a snapshot of the blackboard to the traffic threads if something
    changed or the publish interval is over. */
void gs_control_publish (gs_control_t *control, gs_time_t now);

#endif
