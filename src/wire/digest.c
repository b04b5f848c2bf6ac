#include "wire/digest.h"

#include <msgpack.h>
#include <string.h>
#include <xxhash.h>

#define LOAD_RECORD_FIELDS 6
#define CACHE_RECORD_FIELDS 2
#define MSGPACK_ZONE_BYTES 4096

uint32_t
gs_upstream_digest (const char *name)
{
  return XXH32 (name, strlen (name), 0);
}

static void
pack_numbers (GByteArray *out, const uint64_t *numbers, size_t count)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, count);
  for (size_t i = 0; i < count; i++)
    msgpack_pack_uint64 (&packer, numbers[i]);
  g_byte_array_append (out, (const guint8 *)buffer.data, (guint)buffer.size);
  msgpack_sbuffer_destroy (&buffer);
}

/* Appends the numbers of a msgpack array to @p out.
   @param fields numbers of a record; the array must hold whole records
   @return GS_OK or GS_EINVAL  */
static gs_status_t
unpack_numbers (GArray *out, const char *data, size_t length, size_t fields)
{
  msgpack_zone zone;
  msgpack_object root;
  size_t offset = 0;
  gs_status_t status = GS_OK;

  msgpack_zone_init (&zone, MSGPACK_ZONE_BYTES);
  if (msgpack_unpack (data, length, &offset, &zone, &root)
          != MSGPACK_UNPACK_SUCCESS
      || offset != length || root.type != MSGPACK_OBJECT_ARRAY
      || root.via.array.size % fields != 0)
    status = gs_error_set (GS_EINVAL, "upstream records are not an array of "
                                      "whole records");
  for (uint32_t i = 0; status == GS_OK && i < root.via.array.size; i++)
    {
      const msgpack_object *item = &root.via.array.ptr[i];

      if (item->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
        g_array_append_val (out, item->via.u64);
      else
        status = gs_error_set (GS_EINVAL,
                               "an upstream record holds a value that is not "
                               "an unsigned integer");
    }
  msgpack_zone_destroy (&zone);
  return status;
}

void
gs_loads_pack (GByteArray *out, const gs_load_record_t *records, size_t count)
{
  uint64_t *numbers = g_new (uint64_t, count * LOAD_RECORD_FIELDS);
  uint64_t *next = numbers;

  for (size_t i = 0; i < count; i++)
    {
      *next++ = records[i].name_digest;
      *next++ = records[i].running;
      *next++ = records[i].queued;
      *next++ = records[i].queued_tokens;
      *next++ = records[i].batch_max;
      *next++ = records[i].age_ms;
    }
  pack_numbers (out, numbers, count * LOAD_RECORD_FIELDS);
  g_free (numbers);
}

gs_status_t
gs_loads_unpack (GArray *out, const char *data, size_t length)
{
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  gs_status_t status
      = unpack_numbers (numbers, data, length, LOAD_RECORD_FIELDS);

  for (guint i = 0; status == GS_OK && i < numbers->len;
       i += LOAD_RECORD_FIELDS)
    {
      const uint64_t *fields = &g_array_index (numbers, uint64_t, i);
      gs_load_record_t record
          = { (uint32_t)fields[0], (uint32_t)fields[1], (uint32_t)fields[2],
              (uint32_t)fields[3], (uint32_t)fields[4], (uint32_t)fields[5] };

      g_array_append_val (out, record);
    }
  g_array_unref (numbers);
  return status;
}

void
gs_cache_pack (GByteArray *out, const gs_cache_record_t *records, size_t count)
{
  uint64_t *numbers = g_new (uint64_t, count * CACHE_RECORD_FIELDS);

  for (size_t i = 0; i < count; i++)
    {
      numbers[i * CACHE_RECORD_FIELDS] = records[i].evicted;
      numbers[i * CACHE_RECORD_FIELDS + 1] = records[i].block;
    }
  pack_numbers (out, numbers, count * CACHE_RECORD_FIELDS);
  g_free (numbers);
}

gs_status_t
gs_cache_unpack (GArray *out, const char *data, size_t length)
{
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  gs_status_t status
      = unpack_numbers (numbers, data, length, CACHE_RECORD_FIELDS);

  for (guint i = 0; status == GS_OK && i < numbers->len;
       i += CACHE_RECORD_FIELDS)
    {
      const uint64_t *fields = &g_array_index (numbers, uint64_t, i);
      gs_cache_record_t record = { fields[0] != 0, fields[1] };

      g_array_append_val (out, record);
    }
  g_array_unref (numbers);
  return status;
}
