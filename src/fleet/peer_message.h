/**
 * @file peer_message.h
 * What nodes of a large fleet send each other (see peers.h), encoded as one
 * msgpack array.  The same form serves for a node's report, for the summary of
 * a data centre, and for the view of the whole fleet.
 */
#ifndef GS_FLEET_PEER_MESSAGE_H
#define GS_FLEET_PEER_MESSAGE_H

#include "fleet/aggregate.h"
#include "fleet/digest.h"

/** Flags of a node. */
#define PEER_READY 1U         /**< accepts requests */
#define PEER_LEAVING 2U       /**< its process is about to end */
#define PEER_FOLLOWS_STORE 4U /**< it watches the store, which responds */

#define PEER_CUT 8U /**< it reaches no replica */

/** State of a node, as an aggregator of its data centre knows it. */
typedef struct
{
  uint64_t node;  /**< hash of its name */
  uint64_t flags; /**< PEER_READY etc. */
} peer_status_t;

typedef struct
{
  digest_member_t self;
  uint32_t flags;             /**< PEER_READY etc. of the sender */
  uint64_t config_revision;   /**< store revision; 0 for none */
  uint64_t replicas_revision; /**< store revision; 0 for none */
  uint64_t members_revision;  /**< store revision; 0 for none */
  /** Number of a report; in a view, number of the receiver's report that is
      included in the aggregate, 0 for none. */
  uint64_t sequence;
  /** Identifies the content of the statuses.  In a report, of those that the
      sender has; in a view and a summary, of the sender's. */
  uint64_t status_version;
  bool has_statuses; /**< false if the receiver has them already */
  GArray *statuses;  /**< of peer_status_t */
  bool has_usage;    /**< false if usage counts are left out */
  aggregate_t aggregate;
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
  GArray *rollouts; /**< of rollout_row_t; empty from nodes of a version that
                         sends none */
  bool asks_for_origins; /**< false from nodes of a version that has to be told
                              of all streams */
  GArray *origins_wanted; /**< of stream_origin_key_t: streams that the sender
                               of a report asks for */
} peer_message_t;

/** Set up an empty message, freed with peer_message_clear(). */
void peer_message_init (peer_message_t *message);
void peer_message_clear (peer_message_t *message);

/** @return the encoded aggregate, for peer_message_encode(); freed with
    g_byte_array_unref()
    @param with_usage whether usage counts are included */
GByteArray *peer_message_encode_aggregate (const aggregate_t *aggregate,
                                           bool with_usage);

/** @param aggregate from peer_message_encode_aggregate(), so that one encoding
    serves many messages
    @return the encoded message, freed with g_byte_array_unref() */
GByteArray *peer_message_encode (const peer_message_t *message,
                                 const GByteArray *aggregate);

/** @param out initialized; to be cleared also after a failure
    @return GS_OK; GS_EINVAL if the data are malformed, of another format or
    beyond a limit */
gs_status_t peer_message_decode (peer_message_t *out, const char *data,
                                 size_t length);

#endif
