/**
 * @file cloud.h
 * Client interfaces to the cloud: creation and removal of VMs, notices of VMs
 * that it reclaims, and the list of running VMs, which may be stale.  Calls
 * return at once; results are passed to callbacks on the thread that runs the
 * port's loop.
 */
#ifndef GARNETSTACK_CLOUD_H
#define GARNETSTACK_CLOUD_H

#include "garnetstack/loop.h"
#include "garnetstack/settings.h"
#include "garnetstack/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GS_TOKEN_BYTES 64

/** VM to create. */
typedef struct
{
  const char *token;  /**< chosen by the caller; the VM list repeats it */
  const char *kind;   /**< "engine" or "service" */
  const char *target; /**< model or service that the VM is to run */
  const char *data_centre;
  bool reclaimable; /**< otherwise on demand */
} gs_vm_request_t;

/** Result of a creation or removal. */
typedef struct
{
  /** GS_OK; GS_EREFUSED with a reason; GS_ENOTFOUND when the VM to remove
      does not exist; GS_EUNREACHABLE when nothing was sent; GS_EUNKNOWN or
      GS_ETIMEOUT when the call may have taken effect. */
  gs_status_t status;
  const char *name;   /**< of the created VM, "" if none; valid during the
                         callback */
  const char *reason; /**< why the call was rejected, "" if unknown; valid
                         during the callback */
} gs_cloud_result_t;

typedef void (*gs_cloud_cb_t) (void *argument,
                               const gs_cloud_result_t *result);

/** Notice that the cloud reclaims a VM. */
typedef struct
{
  char name[GS_NAME_BYTES];
  gs_time_t deadline; /**< when the VM is removed */
} gs_notice_t;

/** Notices after a revision; valid during the callback. */
typedef struct
{
  gs_status_t status;
  uint64_t revision; /**< @c after of the next call */
  const gs_notice_t *notices;
  size_t count;
} gs_notices_t;

typedef void (*gs_notices_cb_t) (void *argument, const gs_notices_t *result);

/** One entry of the VM list. */
typedef struct
{
  char name[GS_NAME_BYTES];
  char kind[16]; /**< "node", "engine" or "service" */
  char address[GS_NAME_BYTES];
  char region[GS_NAME_BYTES];
  char data_centre[GS_NAME_BYTES];
  char target[GS_NAME_BYTES];
  char token[GS_TOKEN_BYTES];
  uint16_t port;
  uint16_t operator_port; /**< 0 if none */
  uint16_t peer_port;     /**< 0 if none */
  uint64_t price_micros; /**< price of one hour, in millionths; 0 if unknown */
  bool reclaimable;      /**< otherwise on demand */
  bool leaving;          /**< the VM is being reclaimed or removed */
} gs_vm_t;

/** The VM list; valid during the callback. */
typedef struct
{
  gs_status_t status;
  uint64_t revision; /**< increases with each change of the list */
  const gs_vm_t *vms;
  size_t count;
} gs_vm_list_result_t;

typedef void (*gs_vm_list_cb_t) (void *argument,
                                 const gs_vm_list_result_t *result);

/** Interface to the cloud. */
typedef struct
{
  void *context;
  /** Create a VM. */
  void (*create) (void *context, const gs_vm_request_t *vm, gs_time_t deadline,
                  gs_cloud_cb_t callback, void *argument);
  /** Remove a VM. */
  void (*remove) (void *context, const char *name, gs_time_t deadline,
                  gs_cloud_cb_t callback, void *argument);
  /** Wait for notices after revision @p after. */
  void (*notices) (void *context, uint64_t after, gs_time_t deadline,
                   gs_notices_cb_t callback, void *argument);
} gs_cloud_port_t;

/**
 * Create a port that calls the cloud API over HTTP.
 * @param loop runs the transfers and callbacks; must outlive the port's calls
 * @param url base URL; copied
 * @return GS_OK.  The caller frees the port with gs_cloud_http_destroy() after
 *   the loop has ended.
 */
gs_status_t gs_cloud_http_create (gs_cloud_port_t *out, gs_loop_t *loop,
                                  const char *url);
void gs_cloud_http_destroy (gs_cloud_port_t *port);

/** Interface to the VM list. */
typedef struct
{
  void *context;
  /** Read the whole list. */
  void (*list) (void *context, gs_time_t deadline, gs_vm_list_cb_t callback,
                void *argument);
} gs_vm_list_port_t;

/** Create a port that reads the VM list over HTTP.  Arguments and result are
    as for gs_cloud_http_create(). */
gs_status_t gs_vm_list_http_create (gs_vm_list_port_t *out, gs_loop_t *loop,
                                    const char *url);
void gs_vm_list_http_destroy (gs_vm_list_port_t *port);

#endif
