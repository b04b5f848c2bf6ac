#include "gateway/digest.h"

#include "wire/shape.h"

#include <msgpack.h>
#include <stddef.h>
#include <string.h>

/* To be raised with each change of the encoding; a digest of another format is
   rejected.  */
#define FORMAT_VERSION 4
/* Nested arrays: the digest, a list of rows or members, and one of these.  */
#define NESTING_MAX 3
/* Fields that digest_encode() writes.  */
#define FIELD_COUNT 13

/* The rows of a report are encoded as arrays of their fields, as described by
   the layouts below.  */
typedef enum
{
  COLUMN_TEXT,
  COLUMN_NUMBER /* unsigned, 4 or 8 bytes */
} column_kind_t;

typedef struct
{
  column_kind_t kind;
  size_t offset;
  size_t size;
} row_column_t;

#define COLUMN(KIND, TYPE, FIELD)                                             \
  {                                                                           \
    KIND, offsetof (TYPE, FIELD), sizeof ((TYPE *)0)->FIELD                   \
  }

#define COLUMNS_MAX 6

typedef struct
{
  size_t row_bytes;
  uint32_t rows_max;
  unsigned count;
  row_column_t columns[COLUMNS_MAX];
} row_layout_t;

static const row_layout_t load_layout
    = { sizeof (placer_load_t),
        TRAFFIC_LOADS_MAX,
        4,
        { COLUMN (COLUMN_TEXT, placer_load_t, replica),
          COLUMN (COLUMN_NUMBER, placer_load_t, in_flight),
          COLUMN (COLUMN_NUMBER, placer_load_t, backlog_tokens),
          COLUMN (COLUMN_NUMBER, placer_load_t, reserved_tokens) } };
static const row_layout_t usage_layout
    = { sizeof (traffic_usage_t),
        TRAFFIC_LOADS_MAX,
        3,
        { COLUMN (COLUMN_TEXT, traffic_usage_t, account),
          COLUMN (COLUMN_NUMBER, traffic_usage_t, window),
          COLUMN (COLUMN_NUMBER, traffic_usage_t, requests) } };
static const row_layout_t demand_layout
    = { sizeof (traffic_demand_t),
        TRAFFIC_LOADS_MAX,
        6,
        { COLUMN (COLUMN_TEXT, traffic_demand_t, service),
          COLUMN (COLUMN_NUMBER, traffic_demand_t, requests),
          COLUMN (COLUMN_NUMBER, traffic_demand_t, rejected),
          COLUMN (COLUMN_NUMBER, traffic_demand_t, uncached_tokens),
          COLUMN (COLUMN_NUMBER, traffic_demand_t, in_flight),
          COLUMN (COLUMN_NUMBER, traffic_demand_t, queued) } };
static const row_layout_t quota_layout
    = { sizeof (quota_row_t),
        QUOTA_ROWS_MAX,
        3,
        { COLUMN (COLUMN_NUMBER, quota_row_t, account),
          COLUMN (COLUMN_NUMBER, quota_row_t, used),
          COLUMN (COLUMN_NUMBER, quota_row_t, predecessor_used) } };

void
digest_init (digest_t *digest)
{
  *digest = (digest_t){ .report = traffic_report_create (),
                        .members = g_array_new (FALSE, TRUE,
                                                sizeof (digest_member_t)) };
}

void
digest_clear (digest_t *digest)
{
  traffic_report_free (digest->report);
  if (digest->members != NULL)
    g_array_unref (digest->members);
  digest->report = NULL;
  digest->members = NULL;
}

static void
pack_text (msgpack_packer *out, const char *text)
{
  msgpack_pack_str_with_body (out, text, strlen (text));
}

static void
pack_endpoint (msgpack_packer *out, const gs_endpoint_t *endpoint)
{
  pack_text (out, endpoint->host);
  msgpack_pack_uint16 (out, endpoint->port);
}

static void
pack_member (msgpack_packer *out, const digest_member_t *member)
{
  msgpack_pack_array (out, 6);
  pack_text (out, member->name);
  msgpack_pack_uint64 (out, member->incarnation);
  pack_endpoint (out, &member->callers);
  pack_endpoint (out, &member->peers);
}

static uint64_t
get_number (const char *row, const row_column_t *column)
{
  uint32_t value32;
  uint64_t value64;

  if (column->size == sizeof value64)
    {
      memcpy (&value64, row + column->offset, sizeof value64);
      return value64;
    }
  memcpy (&value32, row + column->offset, sizeof value32);
  return value32;
}

static void
pack_rows (msgpack_packer *out, const row_layout_t *layout, const GArray *rows)
{
  msgpack_pack_array (out, rows->len);
  for (guint i = 0; i < rows->len; i++)
    {
      const char *row = rows->data + i * layout->row_bytes;

      msgpack_pack_array (out, layout->count);
      for (unsigned j = 0; j < layout->count; j++)
        if (layout->columns[j].kind == COLUMN_TEXT)
          pack_text (out, row + layout->columns[j].offset);
        else
          msgpack_pack_uint64 (out, get_number (row, &layout->columns[j]));
    }
}

static void
pack_members (msgpack_packer *out, const GArray *members)
{
  msgpack_pack_array (out, members->len);
  for (guint i = 0; i < members->len; i++)
    pack_member (out, &g_array_index (members, digest_member_t, i));
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
  pack_member (&out, &digest->self);
  msgpack_pack_int (&out, digest->ready);
  msgpack_pack_int (&out, digest->leaving);
  msgpack_pack_uint64 (&out, digest->config_revision);
  msgpack_pack_uint64 (&out, digest->replicas_revision);
  msgpack_pack_int (&out, digest->store_lost);
  msgpack_pack_int (&out, digest->follows_store);
  pack_rows (&out, &load_layout, digest->report->loads);
  pack_rows (&out, &usage_layout, digest->report->usage);
  pack_rows (&out, &demand_layout, digest->report->demand);
  pack_rows (&out, &quota_layout, digest->report->quota);
  pack_members (&out, digest->members);
  bytes = g_byte_array_sized_new ((guint)buffer.size);
  g_byte_array_append (bytes, (const guint8 *)buffer.data, (guint)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}

/* Reads the fields of an array in order.  A missing field, or one of another
   type, makes the whole digest invalid.  */
typedef struct
{
  const msgpack_object_array *array;
  uint32_t next;
  bool *invalid;
} array_reader_t;

static const msgpack_object *
read_value (array_reader_t *reader, msgpack_object_type type)
{
  const msgpack_object *object;

  if (reader->array == NULL || reader->next >= reader->array->size)
    {
      *reader->invalid = true;
      return NULL;
    }
  object = &reader->array->ptr[reader->next++];
  if (object->type == type)
    return object;
  *reader->invalid = true;
  return NULL;
}

static void
read_text (array_reader_t *reader, char *out, size_t size)
{
  const msgpack_object *object = read_value (reader, MSGPACK_OBJECT_STR);

  if (object == NULL || object->via.str.size >= size)
    {
      *reader->invalid = true;
      return;
    }
  if (object->via.str.size > 0)
    memcpy (out, object->via.str.ptr, object->via.str.size);
  out[object->via.str.size] = '\0';
}

static uint64_t
read_number (array_reader_t *reader)
{
  const msgpack_object *object
      = read_value (reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

  return object != NULL ? object->via.u64 : 0;
}

static array_reader_t
read_array (array_reader_t *reader)
{
  const msgpack_object *object = read_value (reader, MSGPACK_OBJECT_ARRAY);

  return (array_reader_t){ object != NULL ? &object->via.array : NULL, 0,
                           reader->invalid };
}

/* @return number of elements, at most max; a longer array makes the digest
   invalid  */
static uint32_t
read_row_count (const array_reader_t *reader, uint32_t max)
{
  if (reader->array == NULL)
    return 0;
  if (reader->array->size > max)
    *reader->invalid = true;
  return MIN (reader->array->size, max);
}

static void
read_endpoint (array_reader_t *reader, gs_endpoint_t *out)
{
  read_text (reader, out->host, sizeof out->host);
  out->port = (uint16_t)read_number (reader);
}

static void
read_member (array_reader_t *reader, digest_member_t *out)
{
  array_reader_t member_reader = read_array (reader);

  read_text (&member_reader, out->name, sizeof out->name);
  out->incarnation = read_number (&member_reader);
  read_endpoint (&member_reader, &out->callers);
  read_endpoint (&member_reader, &out->peers);
}

static void
set_number (char *row, const row_column_t *column, uint64_t number)
{
  uint32_t value32 = (uint32_t)number;

  if (column->size == sizeof number)
    memcpy (row + column->offset, &number, sizeof number);
  else
    memcpy (row + column->offset, &value32, sizeof value32);
}

static void
read_rows (array_reader_t *reader, const row_layout_t *layout, GArray *out)
{
  array_reader_t rows = read_array (reader);
  uint32_t count = read_row_count (&rows, layout->rows_max);

  g_array_set_size (out, count);
  for (uint32_t i = 0; i < count; i++)
    {
      array_reader_t row_reader = read_array (&rows);
      char *row = out->data + i * layout->row_bytes;

      for (unsigned j = 0; j < layout->count; j++)
        if (layout->columns[j].kind == COLUMN_TEXT)
          read_text (&row_reader, row + layout->columns[j].offset,
                     layout->columns[j].size);
        else
          set_number (row, &layout->columns[j], read_number (&row_reader));
    }
}

static void
read_members (array_reader_t *reader, GArray *out)
{
  array_reader_t rows = read_array (reader);

  for (uint32_t i = read_row_count (&rows, DIGEST_MEMBERS_MAX); i > 0; i--)
    {
      digest_member_t member = { .name = "" };

      read_member (&rows, &member);
      g_array_append_val (out, member);
    }
}

gs_status_t
digest_decode (digest_t *out, const char *data, size_t length)
{
  msgpack_unpacked unpacked;
  bool invalid = false;
  array_reader_t reader = { NULL, 0, &invalid };

  msgpack_unpacked_init (&unpacked);
  if (gs_shape_is_bounded (data, length, NESTING_MAX)
      && msgpack_unpack_next (&unpacked, data, length, NULL)
             == MSGPACK_UNPACK_SUCCESS
      && unpacked.data.type == MSGPACK_OBJECT_ARRAY)
    reader.array = &unpacked.data.via.array;
  if (read_number (&reader) != FORMAT_VERSION)
    invalid = true;
  if (!invalid)
    {
      read_member (&reader, &out->self);
      out->ready = read_number (&reader) != 0;
      out->leaving = read_number (&reader) != 0;
      out->config_revision = read_number (&reader);
      out->replicas_revision = read_number (&reader);
      out->store_lost = read_number (&reader) != 0;
      out->follows_store = read_number (&reader) != 0;
      read_rows (&reader, &load_layout, out->report->loads);
      read_rows (&reader, &usage_layout, out->report->usage);
      read_rows (&reader, &demand_layout, out->report->demand);
      read_rows (&reader, &quota_layout, out->report->quota);
      read_members (&reader, out->members);
    }
  msgpack_unpacked_destroy (&unpacked);
  return invalid ? gs_error_set (GS_EINVAL, "malformed digest from a peer")
                 : GS_OK;
}
