#include "gateway/digest.h"

#include "wire/shape.h"

#include <msgpack.h>
#include <stddef.h>
#include <string.h>

/* Rises with each change of what is written; a digest of another format is
   refused.  */
#define FORMAT 4
/* Arrays in arrays: fields, members or rows, and what one of them holds. */
#define DEPTH 3
/* Of a digest: those that digest_encode() writes.  */
#define FIELDS 13

/* How the rows of a report are written: as arrays of their fields.  */
typedef enum
{
  COLUMN_TEXT,
  COLUMN_NUMBER /* not negative, of 4 or 8 bytes */
} column_kind_t;

typedef struct
{
  column_kind_t kind;
  size_t offset;
  size_t size;
} column_t;

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
  column_t columns[COLUMNS_MAX];
} table_t;

static const table_t load_table
    = { sizeof (placer_load_t),
        TRAFFIC_LOADS_MAX,
        4,
        { COLUMN (COLUMN_TEXT, placer_load_t, replica),
          COLUMN (COLUMN_NUMBER, placer_load_t, in_flight),
          COLUMN (COLUMN_NUMBER, placer_load_t, backlog_tokens),
          COLUMN (COLUMN_NUMBER, placer_load_t, reserved_tokens) } };
static const table_t usage_table
    = { sizeof (traffic_usage_t),
        TRAFFIC_LOADS_MAX,
        3,
        { COLUMN (COLUMN_TEXT, traffic_usage_t, account),
          COLUMN (COLUMN_NUMBER, traffic_usage_t, window),
          COLUMN (COLUMN_NUMBER, traffic_usage_t, requests) } };
static const table_t demand_table
    = { sizeof (traffic_demand_t),
        TRAFFIC_LOADS_MAX,
        6,
        { COLUMN (COLUMN_TEXT, traffic_demand_t, service),
          COLUMN (COLUMN_NUMBER, traffic_demand_t, requests),
          COLUMN (COLUMN_NUMBER, traffic_demand_t, refused),
          COLUMN (COLUMN_NUMBER, traffic_demand_t, missing_tokens),
          COLUMN (COLUMN_NUMBER, traffic_demand_t, in_flight),
          COLUMN (COLUMN_NUMBER, traffic_demand_t, waiting) } };
static const table_t quota_table
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
number_at (const char *row, const column_t *column)
{
  uint32_t small;
  uint64_t large;

  if (column->size == sizeof large)
    {
      memcpy (&large, row + column->offset, sizeof large);
      return large;
    }
  memcpy (&small, row + column->offset, sizeof small);
  return small;
}

static void
pack_rows (msgpack_packer *out, const table_t *table, const GArray *rows)
{
  msgpack_pack_array (out, rows->len);
  for (guint i = 0; i < rows->len; i++)
    {
      const char *row = rows->data + i * table->row_bytes;

      msgpack_pack_array (out, table->count);
      for (unsigned j = 0; j < table->count; j++)
        if (table->columns[j].kind == COLUMN_TEXT)
          pack_text (out, row + table->columns[j].offset);
        else
          msgpack_pack_uint64 (out, number_at (row, &table->columns[j]));
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
  msgpack_pack_array (&out, FIELDS);
  msgpack_pack_int (&out, FORMAT);
  pack_member (&out, &digest->self);
  msgpack_pack_int (&out, digest->ready);
  msgpack_pack_int (&out, digest->leaving);
  msgpack_pack_uint64 (&out, digest->config_revision);
  msgpack_pack_uint64 (&out, digest->replicas_revision);
  msgpack_pack_int (&out, digest->store_lost);
  msgpack_pack_int (&out, digest->follows);
  pack_rows (&out, &load_table, digest->report->loads);
  pack_rows (&out, &usage_table, digest->report->usage);
  pack_rows (&out, &demand_table, digest->report->demand);
  pack_rows (&out, &quota_table, digest->report->quota);
  pack_members (&out, digest->members);
  bytes = g_byte_array_sized_new ((guint)buffer.size);
  g_byte_array_append (bytes, (const guint8 *)buffer.data, (guint)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}

/* Reads the fields of an array in turn; a field of another type makes the
   whole digest invalid.  */
typedef struct
{
  const msgpack_object_array *array;
  uint32_t next;
  bool *invalid;
} fields_t;

static const msgpack_object *
take (fields_t *fields, msgpack_object_type type)
{
  const msgpack_object *object;

  if (fields->array == NULL || fields->next >= fields->array->size)
    {
      *fields->invalid = true;
      return NULL;
    }
  object = &fields->array->ptr[fields->next++];
  if (object->type == type)
    return object;
  *fields->invalid = true;
  return NULL;
}

static void
take_text (fields_t *fields, char *out, size_t size)
{
  const msgpack_object *object = take (fields, MSGPACK_OBJECT_STR);

  if (object == NULL || object->via.str.size >= size)
    {
      *fields->invalid = true;
      return;
    }
  if (object->via.str.size > 0)
    memcpy (out, object->via.str.ptr, object->via.str.size);
  out[object->via.str.size] = '\0';
}

static uint64_t
take_number (fields_t *fields)
{
  const msgpack_object *object
      = take (fields, MSGPACK_OBJECT_POSITIVE_INTEGER);

  return object != NULL ? object->via.u64 : 0;
}

static fields_t
take_array (fields_t *fields)
{
  const msgpack_object *object = take (fields, MSGPACK_OBJECT_ARRAY);

  return (fields_t){ object != NULL ? &object->via.array : NULL, 0,
                     fields->invalid };
}

static uint32_t
rows_in (const fields_t *fields, uint32_t most)
{
  if (fields->array == NULL)
    return 0;
  if (fields->array->size > most)
    *fields->invalid = true;
  return MIN (fields->array->size, most);
}

static void
take_endpoint (fields_t *fields, gs_endpoint_t *out)
{
  take_text (fields, out->host, sizeof out->host);
  out->port = (uint16_t)take_number (fields);
}

static void
take_member (fields_t *fields, digest_member_t *out)
{
  fields_t inner = take_array (fields);

  take_text (&inner, out->name, sizeof out->name);
  out->incarnation = take_number (&inner);
  take_endpoint (&inner, &out->callers);
  take_endpoint (&inner, &out->peers);
}

static void
set_number (char *row, const column_t *column, uint64_t number)
{
  uint32_t small = (uint32_t)number;

  if (column->size == sizeof number)
    memcpy (row + column->offset, &number, sizeof number);
  else
    memcpy (row + column->offset, &small, sizeof small);
}

static void
take_rows (fields_t *fields, const table_t *table, GArray *out)
{
  fields_t rows = take_array (fields);
  uint32_t count = rows_in (&rows, table->rows_max);

  g_array_set_size (out, count);
  for (uint32_t i = 0; i < count; i++)
    {
      fields_t inner = take_array (&rows);
      char *row = out->data + i * table->row_bytes;

      for (unsigned j = 0; j < table->count; j++)
        if (table->columns[j].kind == COLUMN_TEXT)
          take_text (&inner, row + table->columns[j].offset,
                     table->columns[j].size);
        else
          set_number (row, &table->columns[j], take_number (&inner));
    }
}

static void
take_members (fields_t *fields, GArray *out)
{
  fields_t rows = take_array (fields);

  for (uint32_t i = rows_in (&rows, DIGEST_MEMBERS_MAX); i > 0; i--)
    {
      digest_member_t member = { .name = "" };

      take_member (&rows, &member);
      g_array_append_val (out, member);
    }
}

gs_status_t
digest_decode (digest_t *out, const char *data, size_t length)
{
  msgpack_unpacked unpacked;
  bool invalid = false;
  fields_t fields = { NULL, 0, &invalid };

  msgpack_unpacked_init (&unpacked);
  if (gs_shape_is_bounded (data, length, DEPTH)
      && msgpack_unpack_next (&unpacked, data, length, NULL)
             == MSGPACK_UNPACK_SUCCESS
      && unpacked.data.type == MSGPACK_OBJECT_ARRAY)
    fields.array = &unpacked.data.via.array;
  if (take_number (&fields) != FORMAT)
    invalid = true;
  if (!invalid)
    {
      take_member (&fields, &out->self);
      out->ready = take_number (&fields) != 0;
      out->leaving = take_number (&fields) != 0;
      out->config_revision = take_number (&fields);
      out->replicas_revision = take_number (&fields);
      out->store_lost = take_number (&fields) != 0;
      out->follows = take_number (&fields) != 0;
      take_rows (&fields, &load_table, out->report->loads);
      take_rows (&fields, &usage_table, out->report->usage);
      take_rows (&fields, &demand_table, out->report->demand);
      take_rows (&fields, &quota_table, out->report->quota);
      take_members (&fields, out->members);
    }
  msgpack_unpacked_destroy (&unpacked);
  return invalid ? gs_error_set (GS_EINVAL, "a node's digest is malformed")
                 : GS_OK;
}
