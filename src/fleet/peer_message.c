#include "fleet/peer_message.h"

#include "fleet/member_codec.h"
#include "fleet/report_layout.h"
#include "fleet/rollout_counts.h"

/* To be raised with each change of the encoding; a message of another format
   is rejected.  */
#define FORMAT_VERSION 1
/* Nested arrays: the message, a list of rows, and a row.  */
#define NESTING_MAX 3
/* Elements of the message's array: those of the head and of the aggregate.  */
#define HEAD_COUNT 10
#define AGGREGATE_COUNT 6
/* Elements after the aggregate, which older versions neither send nor read. */
#define TAIL_COUNT 13

static const row_layout_t status_layout
    = { sizeof (peer_status_t),
        DIGEST_MEMBERS_MAX + 1,
        2,
        { ROW_COLUMN (ROW_NUMBER, peer_status_t, node),
          ROW_COLUMN (ROW_NUMBER, peer_status_t, flags) } };
static const row_layout_t load_layout
    = { sizeof (placer_peer_load_t),
        AGGREGATE_ROWS_MAX,
        4,
        { ROW_COLUMN (ROW_NUMBER, placer_peer_load_t, replica),
          ROW_COLUMN (ROW_NUMBER, placer_peer_load_t, in_flight),
          ROW_COLUMN (ROW_NUMBER, placer_peer_load_t, backlog_tokens),
          ROW_COLUMN (ROW_NUMBER, placer_peer_load_t, reserved_tokens) } };
static const row_layout_t quota_layout
    = { sizeof (quota_row_t),
        AGGREGATE_ROWS_MAX,
        9,
        { ROW_COLUMN (ROW_NUMBER, quota_row_t, account),
          ROW_COLUMN (ROW_NUMBER, quota_row_t, nodes),
          ROW_COLUMN (ROW_NUMBER, quota_row_t, used),
          ROW_COLUMN (ROW_NUMBER, quota_row_t, predecessor_used),
          ROW_COLUMN (ROW_NUMBER, quota_row_t, held),
          ROW_COLUMN (ROW_NUMBER, quota_row_t, restarted_nodes),
          ROW_COLUMN (ROW_NUMBER, quota_row_t, restarted_used),
          ROW_COLUMN (ROW_NUMBER, quota_row_t, demand),
          ROW_COLUMN (ROW_NUMBER, quota_row_t, tells_demand) } };
void
peer_message_init (peer_message_t *message)
{
  *message = (peer_message_t){
    .statuses = g_array_new (FALSE, TRUE, sizeof (peer_status_t)),
    .statements = g_array_new (FALSE, TRUE, sizeof (statement_row_t)),
    .rollouts = g_array_new (FALSE, TRUE, sizeof (rollout_row_t)),
    .origins_wanted = g_array_new (FALSE, TRUE, sizeof (stream_origin_key_t)),
  };
  quarantine_rows_init (&message->quarantine);
  stream_origins_part_init (&message->origins);
  aggregate_init (&message->aggregate);
}

void
peer_message_clear (peer_message_t *message)
{
  if (message->statuses != NULL)
    g_array_unref (message->statuses);
  message->statuses = NULL;
  if (message->statements != NULL)
    g_array_unref (message->statements);
  message->statements = NULL;
  if (message->rollouts != NULL)
    g_array_unref (message->rollouts);
  message->rollouts = NULL;
  if (message->origins_wanted != NULL)
    g_array_unref (message->origins_wanted);
  message->origins_wanted = NULL;
  quarantine_rows_clear (&message->quarantine);
  stream_origins_part_clear (&message->origins);
  aggregate_clear (&message->aggregate);
}

static GByteArray *
take_bytes (msgpack_sbuffer *buffer)
{
  GByteArray *bytes = g_byte_array_sized_new ((guint)buffer->size);

  g_byte_array_append (bytes, (const guint8 *)buffer->data,
                       (guint)buffer->size);
  msgpack_sbuffer_destroy (buffer);
  return bytes;
}

GByteArray *
peer_message_encode_aggregate (const aggregate_t *aggregate, bool with_usage)
{
  static const GArray none = { NULL, 0 };
  msgpack_sbuffer buffer;
  msgpack_packer out;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  msgpack_pack_unsigned_int (&out, aggregate->nodes);
  row_codec_pack (&out, &load_layout, aggregate->loads);
  row_codec_pack (&out, &quota_layout, aggregate->quota);
  msgpack_pack_int (&out, with_usage);
  row_codec_pack (&out, &report_demand_layout, aggregate->demand);
  row_codec_pack (&out, &report_usage_layout,
                  with_usage ? aggregate->usage : &none);
  return take_bytes (&buffer);
}

GByteArray *
peer_message_encode (const peer_message_t *message,
                     const GByteArray *aggregate)
{
  GByteArray *bytes;
  msgpack_sbuffer buffer;
  msgpack_packer out;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&out, HEAD_COUNT + AGGREGATE_COUNT + TAIL_COUNT);
  msgpack_pack_int (&out, FORMAT_VERSION);
  member_pack (&out, &message->self, true);
  msgpack_pack_uint32 (&out, message->flags);
  msgpack_pack_uint64 (&out, message->config_revision);
  msgpack_pack_uint64 (&out, message->replicas_revision);
  msgpack_pack_uint64 (&out, message->members_revision);
  msgpack_pack_uint64 (&out, message->sequence);
  msgpack_pack_uint64 (&out, message->status_version);
  msgpack_pack_int (&out, message->has_statuses);
  row_codec_pack (&out, &status_layout, message->statuses);
  bytes = take_bytes (&buffer);
  g_byte_array_append (bytes, aggregate->data, aggregate->len);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  row_codec_pack (&out, &statement_layout, message->statements);
  msgpack_pack_uint64 (&out, message->usage_window);
  quarantine_rows_pack (&out, &message->quarantine);
  stream_origins_part_pack (&out, &message->origins);
  msgpack_pack_uint64 (&out, message->resignation.fencing);
  msgpack_pack_uint64 (&out, message->resignation.incarnation);
  rollout_counts_pack (&out, message->aggregate.rollout_counts);
  row_codec_pack (&out, &rollout_row_layout, message->rollouts);
  stream_origin_keys_pack (&out, message->origins_wanted);
  g_byte_array_append (bytes, (const guint8 *)buffer.data, (guint)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}

gs_status_t
peer_message_decode (peer_message_t *out, const char *data, size_t length)
{
  aggregate_t *aggregate = &out->aggregate;
  msgpack_unpacked unpacked;
  bool invalid = false;
  row_reader_t reader = { NULL, 0, &invalid };

  row_reader_unpack (&reader, &unpacked, data, length, NESTING_MAX);
  if (row_reader_number (&reader) != FORMAT_VERSION)
    invalid = true;
  if (!invalid)
    {
      member_read (&reader, &out->self, true);
      out->flags = (uint32_t)row_reader_number (&reader);
      out->config_revision = row_reader_number (&reader);
      out->replicas_revision = row_reader_number (&reader);
      out->members_revision = row_reader_number (&reader);
      out->sequence = row_reader_number (&reader);
      out->status_version = row_reader_number (&reader);
      out->has_statuses = row_reader_number (&reader) != 0;
      row_reader_rows (&reader, &status_layout, out->statuses);
      aggregate->nodes = (unsigned)row_reader_number (&reader);
      row_reader_rows (&reader, &load_layout, aggregate->loads);
      row_reader_rows (&reader, &quota_layout, aggregate->quota);
      out->has_usage = row_reader_number (&reader) != 0;
      row_reader_rows (&reader, &report_demand_layout, aggregate->demand);
      row_reader_rows (&reader, &report_usage_layout, aggregate->usage);
      if (row_reader_has_next (&reader))
        {
          row_reader_rows (&reader, &statement_layout, out->statements);
          out->usage_window = row_reader_number (&reader);
          quarantine_rows_read (&reader, &out->quarantine);
          stream_origins_part_read (&reader, &out->origins);
          if (row_reader_has_next (&reader))
            {
              out->resignation.fencing = row_reader_number (&reader);
              out->resignation.incarnation = row_reader_number (&reader);
            }
          if (row_reader_has_next (&reader))
            {
              rollout_counts_read (&reader, aggregate->rollout_counts);
              row_reader_rows (&reader, &rollout_row_layout, out->rollouts);
            }
          out->asks_for_origins = row_reader_has_next (&reader);
          if (out->asks_for_origins)
            stream_origin_keys_read (&reader, out->origins_wanted);
        }
    }
  msgpack_unpacked_destroy (&unpacked);
  if (invalid)
    return gs_error_set (GS_EINVAL, "malformed message from a peer");
  return GS_OK;
}
