#include "garnetstack/limits.h"

#include <msgpack.h>

/* Fields of an encoded row: hash of the name, then a demand for each kind of
   limit.  All rows are encoded in one flat array.  */
#define USAGE_ROW_FIELDS (1 + GS_LIMIT_COUNT)

void
gs_usage_encode (GByteArray *out, const gs_usage_row_t *rows, size_t count)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, count * USAGE_ROW_FIELDS);
  for (size_t i = 0; i < count; i++)
    {
      msgpack_pack_uint64 (&packer, rows[i].name_hash);
      for (int kind = 0; kind < GS_LIMIT_COUNT; kind++)
        msgpack_pack_uint64 (&packer, rows[i].demand[kind]);
    }
  g_byte_array_append (out, (const guint8 *)buffer.data, (guint)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
}

static gs_status_t
decode_rows (gs_usage_row_t *rows, size_t max, size_t *count,
             const msgpack_object *root)
{
  const msgpack_object_array *array = &root->via.array;

  if (root->type != MSGPACK_OBJECT_ARRAY || array->size % USAGE_ROW_FIELDS != 0
      || array->size / USAGE_ROW_FIELDS > max)
    return gs_error_set (GS_EINVAL, "usage message is not an array of rows");
  for (uint32_t i = 0; i < array->size; i++)
    {
      gs_usage_row_t *row = &rows[i / USAGE_ROW_FIELDS];

      if (array->ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        return gs_error_set (GS_EINVAL,
                             "usage row has a field that is not an unsigned "
                             "integer");
      if (i % USAGE_ROW_FIELDS == 0)
        row->name_hash = array->ptr[i].via.u64;
      else
        row->demand[i % USAGE_ROW_FIELDS - 1] = array->ptr[i].via.u64;
    }
  *count = array->size / USAGE_ROW_FIELDS;
  return GS_OK;
}

gs_status_t
gs_usage_decode (gs_usage_row_t *rows, size_t max, size_t *count,
                 const char *data, size_t length)
{
  msgpack_zone zone;
  msgpack_object root;
  size_t offset = 0;
  gs_status_t status;

  *count = 0;
  msgpack_zone_init (&zone, 4096);
  if (msgpack_unpack (data, length, &offset, &zone, &root)
      == MSGPACK_UNPACK_SUCCESS)
    status = decode_rows (rows, max, count, &root);
  else
    status = gs_error_set (GS_EINVAL, "usage message is not MessagePack");
  msgpack_zone_destroy (&zone);
  return status;
}
