#include "fleet/member_codec.h"

static void
pack_endpoint (msgpack_packer *out, const gs_endpoint_t *endpoint)
{
  row_codec_pack_text (out, endpoint->host);
  msgpack_pack_uint16 (out, endpoint->port);
}

void
member_pack (msgpack_packer *out, const digest_member_t *member,
             bool with_data_centre)
{
  msgpack_pack_array (out, with_data_centre ? 7 : 6);
  row_codec_pack_text (out, member->name);
  msgpack_pack_uint64 (out, member->incarnation);
  pack_endpoint (out, &member->callers);
  pack_endpoint (out, &member->peers);
  if (with_data_centre)
    row_codec_pack_text (out, member->data_centre);
}

static void
read_endpoint (row_reader_t *reader, gs_endpoint_t *out)
{
  row_reader_text (reader, out->host, sizeof out->host);
  out->port = (uint16_t)row_reader_number (reader);
}

void
member_read (row_reader_t *reader, digest_member_t *out, bool with_data_centre)
{
  row_reader_t member_reader = row_reader_array (reader);

  row_reader_text (&member_reader, out->name, sizeof out->name);
  out->incarnation = row_reader_number (&member_reader);
  read_endpoint (&member_reader, &out->callers);
  read_endpoint (&member_reader, &out->peers);
  if (with_data_centre)
    row_reader_text (&member_reader, out->data_centre,
                     sizeof out->data_centre);
}
