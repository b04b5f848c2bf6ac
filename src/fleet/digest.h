/**
 * @file digest.h
 * The state that a node sends to its peers, encoded as one msgpack array.
 */
#ifndef GS_FLEET_DIGEST_H
#define GS_FLEET_DIGEST_H

#include "fleet/stream_origins.h"
#include "control/lease.h"
#include "fleet/report.h"
#include "fleet/rollout_feed.h"

/** Most nodes that a digest may list; a longer list is rejected. */
#define DIGEST_MEMBERS_MAX 1024

/** Identity and addresses of a node. */
typedef struct
{
  char name[GS_NAME_BYTES];
  uint64_t incarnation;  /**< random number of the process */
  gs_endpoint_t callers; /**< where it accepts requests */
  gs_endpoint_t peers;   /**< where it accepts calls of other nodes */
  char data_centre[GS_NAME_BYTES]; /**< "" if unknown */
} digest_member_t;

typedef struct
{
  digest_member_t self;
  bool ready;                 /**< accepts requests */
  bool leaving;               /**< its process is about to end */
  uint64_t config_revision;   /**< store revision; 0 for none */
  uint64_t replicas_revision; /**< store revision; 0 for none */
  bool store_lost;            /**< the store does not answer it */
  bool follows_store;         /**< it watches the store itself */
  traffic_report_t *report;   /**< owned, not NULL; only its lists are sent */
  GArray *members;       /**< of digest_member_t: nodes listed in the store */
  GArray *statements;    /**< of statement_row_t; empty from nodes of a version
                              that sends none */
  uint64_t usage_window; /**< last usage window that any node has sent; 0 for
                              none */
  /** Last resignation of a holder of the duties that the sender knows of;
      zero for none. */
  gs_lease_resignation_t resignation;
  quarantine_rows_t quarantine; /**< empty from nodes of a version that sends
                                     none */
  stream_origins_part_t origins;
  bool cut; /**< it reaches no replica; false from nodes of a version that does
                 not say */
  GArray *rollouts; /**< of rollout_row_t; empty from nodes of a version that
                         sends none */
} digest_t;

/** Set up an empty digest, with an empty report and no members. */
void digest_init (digest_t *digest);

/** Free what a digest owns. */
void digest_clear (digest_t *digest);

/** @return the encoded digest, freed with g_byte_array_unref() */
GByteArray *digest_encode (const digest_t *digest);

/** @param out initialized with digest_init(); to be cleared also after a
    failure
    @param length bytes of @p data
    @return GS_OK; GS_EINVAL when the data are malformed, of another format or
    beyond a limit */
gs_status_t digest_decode (digest_t *out, const char *data, size_t length);

#endif
