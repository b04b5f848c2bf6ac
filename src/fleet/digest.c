#include "fleet/digest.h"

#include "fleet/member_codec.h"
#include "fleet/report_layout.h"
#include "fleet/rollout_counts.h"

#include <string.h>

/* To be raised with each change of the encoding; a digest of another format is
   rejected.  */
#define FORMAT_VERSION 4
/* Nested arrays: the digest, a list of rows or members, and one of these.  */
#define NESTING_MAX 3
/* Fields that digest_encode() writes.  */
#define FIELD_COUNT 26

static const row_layout_t load_layout
    = { sizeof (placer_load_t),
        TRAFFIC_LOADS_MAX,
        4,
        { ROW_COLUMN (ROW_TEXT, placer_load_t, replica),
          ROW_COLUMN (ROW_NUMBER, placer_load_t, in_flight),
          ROW_COLUMN (ROW_NUMBER, placer_load_t, backlog_tokens),
          ROW_COLUMN (ROW_NUMBER, placer_load_t, reserved_tokens) } };
static const row_layout_t quota_layout
    = { sizeof (quota_row_t),
        QUOTA_ROWS_MAX,
        3,
        { ROW_COLUMN (ROW_NUMBER, quota_row_t, account),
          ROW_COLUMN (ROW_NUMBER, quota_row_t, used),
          ROW_COLUMN (ROW_NUMBER, quota_row_t, predecessor_used) } };

void
digest_init (digest_t *digest)
{
  *digest = (digest_t){
    .report = traffic_report_create (),
    .members = g_array_new (FALSE, TRUE, sizeof (digest_member_t)),
    .statements = g_array_new (FALSE, TRUE, sizeof (statement_row_t)),
    .rollouts = g_array_new (FALSE, TRUE, sizeof (rollout_row_t))
  };
  quarantine_rows_init (&digest->quarantine);
  stream_origins_part_init (&digest->origins);
}

void
digest_clear (digest_t *digest)
{
  traffic_report_free (digest->report);
  if (digest->members != NULL)
    g_array_unref (digest->members);
  if (digest->statements != NULL)
    g_array_unref (digest->statements);
  digest->report = NULL;
  digest->members = NULL;
  digest->statements = NULL;
  if (digest->rollouts != NULL)
    g_array_unref (digest->rollouts);
  digest->rollouts = NULL;
  quarantine_rows_clear (&digest->quarantine);
  stream_origins_part_clear (&digest->origins);
}

static void
pack_members (msgpack_packer *out, const GArray *members)
{
  msgpack_pack_array (out, members->len);
  for (guint i = 0; i < members->len; i++)
    member_pack (out, &g_array_index (members, digest_member_t, i), false);
}

GByteArray *
digest_encode (const digest_t *digest)
{
  GByteArray *bytes;
  msgpack_sbuffer buffer;
  msgpack_packer out;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&out, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&out, FIELD_COUNT);
  msgpack_pack_int (&out, FORMAT_VERSION);
  member_pack (&out, &digest->self, false);
  msgpack_pack_int (&out, digest->ready);
  msgpack_pack_int (&out, digest->leaving);
  msgpack_pack_uint64 (&out, digest->config_revision);
  msgpack_pack_uint64 (&out, digest->replicas_revision);
  msgpack_pack_int (&out, digest->store_lost);
  msgpack_pack_int (&out, digest->follows_store);
  row_codec_pack (&out, &load_layout, digest->report->loads);
  row_codec_pack (&out, &report_usage_layout, digest->report->usage);
  row_codec_pack (&out, &report_demand_layout, digest->report->demand);
  row_codec_pack (&out, &quota_layout, digest->report->quota);
  pack_members (&out, digest->members);
  row_codec_pack (&out, &statement_layout, digest->statements);
  msgpack_pack_uint64 (&out, digest->usage_window);
  quarantine_rows_pack (&out, &digest->quarantine);
  stream_origins_part_pack (&out, &digest->origins);
  msgpack_pack_int (&out, digest->cut);
  msgpack_pack_uint64 (&out, digest->resignation.fencing);
  msgpack_pack_uint64 (&out, digest->resignation.incarnation);
  rollout_counts_pack (&out, digest->report->rollout_counts);
  row_codec_pack (&out, &rollout_row_layout, digest->rollouts);
  bytes = g_byte_array_sized_new ((guint)buffer.size);
  g_byte_array_append (bytes, (const guint8 *)buffer.data, (guint)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}

static void
read_members (row_reader_t *reader, GArray *out)
{
  row_reader_t rows = row_reader_array (reader);

  for (uint32_t i = row_reader_count (&rows, DIGEST_MEMBERS_MAX); i > 0; i--)
    {
      digest_member_t member = { .name = "" };

      member_read (&rows, &member, false);
      g_array_append_val (out, member);
    }
}

gs_status_t
digest_decode (digest_t *out, const char *data, size_t length)
{
  msgpack_unpacked unpacked;
  bool invalid = false;
  row_reader_t reader = { NULL, 0, &invalid };

  row_reader_unpack (&reader, &unpacked, data, length, NESTING_MAX);
  if (row_reader_number (&reader) != FORMAT_VERSION)
    invalid = true;
  if (!invalid)
    {
      member_read (&reader, &out->self, false);
      out->ready = row_reader_number (&reader) != 0;
      out->leaving = row_reader_number (&reader) != 0;
      out->config_revision = row_reader_number (&reader);
      out->replicas_revision = row_reader_number (&reader);
      out->store_lost = row_reader_number (&reader) != 0;
      out->follows_store = row_reader_number (&reader) != 0;
      row_reader_rows (&reader, &load_layout, out->report->loads);
      row_reader_rows (&reader, &report_usage_layout, out->report->usage);
      row_reader_rows (&reader, &report_demand_layout, out->report->demand);
      row_reader_rows (&reader, &quota_layout, out->report->quota);
      read_members (&reader, out->members);
      if (row_reader_has_next (&reader))
        {
          row_reader_rows (&reader, &statement_layout, out->statements);
          out->usage_window = row_reader_number (&reader);
          quarantine_rows_read (&reader, &out->quarantine);
          stream_origins_part_read (&reader, &out->origins);
          if (row_reader_has_next (&reader))
            out->cut = row_reader_number (&reader) != 0;
          if (row_reader_has_next (&reader))
            {
              out->resignation.fencing = row_reader_number (&reader);
              out->resignation.incarnation = row_reader_number (&reader);
            }
          if (row_reader_has_next (&reader))
            {
              rollout_counts_read (&reader, out->report->rollout_counts);
              row_reader_rows (&reader, &rollout_row_layout, out->rollouts);
            }
        }
    }
  msgpack_unpacked_destroy (&unpacked);
  return invalid ? gs_error_set (GS_EINVAL, "malformed digest from a peer")
                 : GS_OK;
}
