/**
 * @file digest.h
 * What a node tells another about itself, as one msgpack array.
 */
#ifndef GS_GATEWAY_DIGEST_H
#define GS_GATEWAY_DIGEST_H

#include "gateway/traffic.h"

/** Most nodes, and rows of each kind, that a digest is read for. */
#define DIGEST_MEMBERS_MAX 1024

/** A node as others know it. */
typedef struct
{
  char name[GS_NAME_BYTES];
  uint64_t incarnation;
  gs_endpoint_t callers;
  gs_endpoint_t peers;
} digest_member_t;

typedef struct
{
  digest_member_t self;
  bool ready;   /**< takes requests */
  bool leaving; /**< is about to end */
  uint64_t config_revision;
  uint64_t replicas_revision;
  bool store_lost;
  bool follows;             /**< it follows the store itself */
  traffic_report_t *report; /**< never NULL in a decoded digest */
  GArray *members;          /**< of digest_member_t: nodes that it knows */
} digest_t;

void digest_init (digest_t *digest);
void digest_clear (digest_t *digest);

/** @return bytes freed with g_byte_array_unref() */
GByteArray *digest_encode (const digest_t *digest);

/** @param out initialized; to be cleared also after a failure
    @return GS_OK or GS_EINVAL */
gs_status_t digest_decode (digest_t *out, const char *data, size_t length);

#endif
