/**
 * @file apply.h
 * Operators' edits of the catalogue.  An edit is merged with the generation in
 * force, the result is written to the store by a conditional update, and the
 * operator is told whether it was accepted.  Runs on the control thread.
 */
#ifndef GS_CONTROL_APPLY_H
#define GS_CONTROL_APPLY_H

#include "control/edit_rate.h"
#include "garnetstack/catalogue.h"
#include "garnetstack/server.h"
#include "garnetstack/store.h"

#include <glib.h>

#define GS_CHANGE_ID_BYTES 64

/** An edit as received from an operator; gs_apply_start() takes ownership. */
typedef struct
{
  gs_exchange_t *exchange; /**< reference held; gets the reply */
  GString *text;           /**< entries to set; NULL for a removal */
  char *remove;            /**< section to delete, or NULL */
  uint64_t generation;     /**< generation or entry version that the operator
                                read before the edit */
  bool whole;              /**< text is the whole catalogue: entries that it
                                lacks are deleted */
  bool bootstrap; /**< authorised by the nodes' key, which permits only the
                       first generation */
  char operator_name[GS_NAME_BYTES];
  char change_id[GS_CHANGE_ID_BYTES]; /**< "" to have one generated */
} gs_edit_request_t;

/** Access of an edit to the state of the control thread. */
typedef struct
{
  void *context;
  gs_store_port_t *store;
  const char *key; /**< of the catalogue object in the store */
  /** @return the catalogue in force, or NULL; sets @p store_version to the
      version of the object in the store. */
  const gs_catalogue_t *(*current) (void *context, uint64_t *store_version);
  /** Put a text of the store in force if it is newer. */
  void (*adopt) (void *context, const char *text, size_t length,
                 uint64_t store_version);
  gs_edit_rate_t *rate;
} gs_apply_port_t;

/** Start an edit.  The exchange is answered once the store has responded.
    @param port must outlive the event loop of the store
    @param edit ownership is taken */
void gs_apply_start (const gs_apply_port_t *port, gs_edit_request_t *edit);

void gs_edit_request_free (gs_edit_request_t *edit);

#endif
