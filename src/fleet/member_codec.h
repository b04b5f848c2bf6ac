/**
 * @file member_codec.h
 * Encodes the identity of a node in messages between nodes.
 */
#ifndef GS_FLEET_MEMBER_CODEC_H
#define GS_FLEET_MEMBER_CODEC_H

#include "fleet/digest.h"
#include "wire/row_codec.h"

/** @param with_data_centre false in digests, whose format has no such field */
void member_pack (msgpack_packer *out, const digest_member_t *member,
                  bool with_data_centre);

/** Read what member_pack() wrote. */
void member_read (row_reader_t *reader, digest_member_t *out,
                  bool with_data_centre);

#endif
