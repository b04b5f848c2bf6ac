#include "garnetstack/frame.h"

#include <msgpack.h>
#include <stdbool.h>
#include <string.h>

typedef enum
{
  FIELD_NUMBER,
  FIELD_BYTES
} frame_field_kind_t;

typedef struct
{
  frame_field_kind_t kind;
  size_t offset;
} frame_field_t;

/* First bytes of msgpack values (msgpack specification).  */
#define MSGPACK_FIXINT_MAX 0x7f
#define MSGPACK_FIXARRAY_MIN 0x90
#define MSGPACK_FIXARRAY_MAX 0x9f
#define MSGPACK_BIN_8 0xc4
#define MSGPACK_BIN_32 0xc6
#define MSGPACK_UINT_8 0xcc
#define MSGPACK_UINT_64 0xcf
#define MSGPACK_ARRAY_16 0xdc

#define FIELDS_MAX 28
#define NUMBER(type, member)                                                  \
  {                                                                           \
    FIELD_NUMBER, offsetof (type, member)                                     \
  }
#define BYTES(type, member)                                                   \
  {                                                                           \
    FIELD_BYTES, offsetof (type, member)                                      \
  }

typedef struct
{
  size_t count;
  frame_field_t fields[FIELDS_MAX];
} frame_layout_t;

/* The order of fields is the wire format: new fields are appended, and
   decoding ignores fields after those known here.  */
static const frame_layout_t layouts[GS_FRAME_TYPE_COUNT] = {
  [GS_FRAME_HELLO]
  = { 5,
      { BYTES (gs_frame_hello_t, name), BYTES (gs_frame_hello_t, region),
        BYTES (gs_frame_hello_t, data_centre),
        NUMBER (gs_frame_hello_t, incarnation),
        BYTES (gs_frame_hello_t, nonce) } },
  [GS_FRAME_PROOF] = { 1, { BYTES (gs_frame_proof_t, mac) } },
  [GS_FRAME_HEARTBEAT] = { 7,
                           { NUMBER (gs_frame_heartbeat_t, sequence),
                             NUMBER (gs_frame_heartbeat_t, generation),
                             NUMBER (gs_frame_heartbeat_t, leaving),
                             NUMBER (gs_frame_heartbeat_t, digest),
                             NUMBER (gs_frame_heartbeat_t, echo),
                             NUMBER (gs_frame_heartbeat_t, list_revision),
                             NUMBER (gs_frame_heartbeat_t, notice_digest) } },
  [GS_FRAME_BACKUP_PUT] = { 26,
                            { NUMBER (gs_frame_backup_put_t, incarnation),
                              NUMBER (gs_frame_backup_put_t, sequence),
                              NUMBER (gs_frame_backup_put_t, kind),
                              NUMBER (gs_frame_backup_put_t, idempotent),
                              NUMBER (gs_frame_backup_put_t, remaining_usec),
                              BYTES (gs_frame_backup_put_t, account),
                              BYTES (gs_frame_backup_put_t, target),
                              BYTES (gs_frame_backup_put_t, path),
                              BYTES (gs_frame_backup_put_t, key),
                              BYTES (gs_frame_backup_put_t, body),
                              BYTES (gs_frame_backup_put_t, method),
                              NUMBER (gs_frame_backup_put_t, prompt_tokens),
                              NUMBER (gs_frame_backup_put_t, tokens_max),
                              NUMBER (gs_frame_backup_put_t, attempt),
                              BYTES (gs_frame_backup_put_t, upstream),
                              BYTES (gs_frame_backup_put_t, url),
                              BYTES (gs_frame_backup_put_t, text),
                              BYTES (gs_frame_backup_put_t, ends),
                              NUMBER (gs_frame_backup_put_t, dispatched),
                              NUMBER (gs_frame_backup_put_t, handed_over),
                              NUMBER (gs_frame_backup_put_t, claim_version),
                              NUMBER (gs_frame_backup_put_t, stream_holder),
                              NUMBER (gs_frame_backup_put_t, stream_attempt),
                              NUMBER (gs_frame_backup_put_t, priority),
                              NUMBER (gs_frame_backup_put_t, shared),
                              BYTES (gs_frame_backup_put_t, content_type) } },
  [GS_FRAME_BACKUP_ACK] = { 3,
                            { NUMBER (gs_frame_backup_ack_t, incarnation),
                              NUMBER (gs_frame_backup_ack_t, sequence),
                              NUMBER (gs_frame_backup_ack_t, taken_over) } },
  [GS_FRAME_BACKUP_DONE]
  = { 10,
      { NUMBER (gs_frame_backup_done_t, incarnation),
        NUMBER (gs_frame_backup_done_t, sequence),
        NUMBER (gs_frame_backup_done_t, outcome),
        NUMBER (gs_frame_backup_done_t, offset),
        BYTES (gs_frame_backup_done_t, text),
        BYTES (gs_frame_backup_done_t, ends),
        NUMBER (gs_frame_backup_done_t, http_status),
        NUMBER (gs_frame_backup_done_t, retry_after),
        BYTES (gs_frame_backup_done_t, reason),
        BYTES (gs_frame_backup_done_t, content_type) } },
  [GS_FRAME_CATALOGUE] = { 2,
                           { NUMBER (gs_frame_catalogue_t, generation),
                             BYTES (gs_frame_catalogue_t, text) } },
  [GS_FRAME_CATALOGUE_PULL]
  = { 1, { NUMBER (gs_frame_catalogue_pull_t, generation) } },
  [GS_FRAME_NOTICE] = { 2,
                        { BYTES (gs_frame_notice_t, name),
                          NUMBER (gs_frame_notice_t, remaining_ms) } },
  [GS_FRAME_VM_CHANGES] = { 3,
                            { NUMBER (gs_frame_vm_changes_t, base),
                              NUMBER (gs_frame_vm_changes_t, revision),
                              BYTES (gs_frame_vm_changes_t, text) } },
  [GS_FRAME_LOADS] = { 1, { BYTES (gs_frame_loads_t, records) } },
  [GS_FRAME_CACHE_EVENTS] = { 4,
                              { BYTES (gs_frame_cache_events_t, name),
                                NUMBER (gs_frame_cache_events_t, first),
                                NUMBER (gs_frame_cache_events_t, revision),
                                BYTES (gs_frame_cache_events_t, events) } },
  [GS_FRAME_PLACEMENT] = { 1, { BYTES (gs_frame_placement_t, text) } },
  [GS_FRAME_BACKUP_PROGRESS]
  = { 13,
      { NUMBER (gs_frame_backup_progress_t, incarnation),
        NUMBER (gs_frame_backup_progress_t, sequence),
        NUMBER (gs_frame_backup_progress_t, offset),
        NUMBER (gs_frame_backup_progress_t, attempt),
        BYTES (gs_frame_backup_progress_t, upstream),
        BYTES (gs_frame_backup_progress_t, url),
        BYTES (gs_frame_backup_progress_t, text),
        BYTES (gs_frame_backup_progress_t, ends),
        NUMBER (gs_frame_backup_progress_t, dispatched),
        NUMBER (gs_frame_backup_progress_t, claim_version),
        NUMBER (gs_frame_backup_progress_t, stream_holder),
        NUMBER (gs_frame_backup_progress_t, stream_attempt),
        NUMBER (gs_frame_backup_progress_t, shared) } },
  [GS_FRAME_FETCH]
  = { 6,
      { NUMBER (gs_frame_fetch_t, incarnation),
        NUMBER (gs_frame_fetch_t, sequence), NUMBER (gs_frame_fetch_t, fetch),
        NUMBER (gs_frame_fetch_t, offset), BYTES (gs_frame_fetch_t, account),
        NUMBER (gs_frame_fetch_t, digest) } },
  [GS_FRAME_FETCH_CHUNK] = { 4,
                             { NUMBER (gs_frame_fetch_chunk_t, fetch),
                               NUMBER (gs_frame_fetch_chunk_t, offset),
                               BYTES (gs_frame_fetch_chunk_t, text),
                               NUMBER (gs_frame_fetch_chunk_t, digest) } },
  [GS_FRAME_FETCH_END] = { 8,
                           { NUMBER (gs_frame_fetch_end_t, fetch),
                             NUMBER (gs_frame_fetch_end_t, found),
                             NUMBER (gs_frame_fetch_end_t, outcome),
                             NUMBER (gs_frame_fetch_end_t, http_status),
                             NUMBER (gs_frame_fetch_end_t, retry_after),
                             BYTES (gs_frame_fetch_end_t, reason),
                             BYTES (gs_frame_fetch_end_t, body),
                             BYTES (gs_frame_fetch_end_t, content_type) } },
  [GS_FRAME_USAGE]
  = { 2,
      { NUMBER (gs_frame_usage_t, shard), BYTES (gs_frame_usage_t, rows) } },
};

struct gs_frame_memory
{
  msgpack_zone zone;
};

gs_bytes_t
gs_bytes_from_text (const char *text)
{
  return (gs_bytes_t){ text, strlen (text) };
}

static void
pack_field (msgpack_packer *packer, const frame_field_t *field,
            const char *base)
{
  if (field->kind == FIELD_NUMBER)
    {
      msgpack_pack_uint64 (packer, *(const uint64_t *)(base + field->offset));
      return;
    }
  const gs_bytes_t *bytes = (const gs_bytes_t *)(base + field->offset);

  msgpack_pack_bin (packer, bytes->length);
  if (bytes->length > 0)
    msgpack_pack_bin_body (packer, bytes->data, bytes->length);
}

void
gs_frame_encode (GByteArray *out, const gs_frame_t *frame)
{
  const frame_layout_t *layout = &layouts[frame->type];
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  guint32 header;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, layout->count + 1);
  msgpack_pack_uint64 (&packer, frame->type);
  for (size_t i = 0; i < layout->count; i++)
    pack_field (&packer, &layout->fields[i], (const char *)&frame->hello);
  header = GUINT32_TO_BE ((guint32)buffer.size);
  g_byte_array_append (out, (const guint8 *)&header, sizeof header);
  g_byte_array_append (out, (const guint8 *)buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
}

static gs_status_t
decode_fields (gs_frame_t *out, const msgpack_object *root)
{
  const msgpack_object_array *array = &root->via.array;
  const frame_layout_t *layout;
  char *base = (char *)&out->hello;

  if (root->type != MSGPACK_OBJECT_ARRAY || array->size == 0
      || array->ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || array->ptr[0].via.u64 == 0
      || array->ptr[0].via.u64 >= GS_FRAME_TYPE_COUNT)
    return gs_error_set (GS_EINVAL, "frame does not begin with a known type");
  out->type = (gs_frame_type_t)array->ptr[0].via.u64;
  layout = &layouts[out->type];
  if (layout->count == 0)
    return gs_error_set (GS_EINVAL, "frame type %d is unknown",
                         (int)out->type);
  if (array->size < layout->count + 1)
    return gs_error_set (GS_EINVAL, "frame type %d has too few fields",
                         (int)out->type);
  for (size_t i = 0; i < layout->count; i++)
    {
      const msgpack_object *object = &array->ptr[i + 1];
      const frame_field_t *field = &layout->fields[i];

      if (field->kind == FIELD_NUMBER
          && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
        *(uint64_t *)(base + field->offset) = object->via.u64;
      else if (field->kind == FIELD_BYTES
               && object->type == MSGPACK_OBJECT_BIN)
        *(gs_bytes_t *)(base + field->offset)
            = (gs_bytes_t){ object->via.bin.ptr, object->via.bin.size };
      else
        return gs_error_set (GS_EINVAL,
                             "frame type %d: field %zu has the "
                             "wrong type",
                             (int)out->type, i);
    }
  return GS_OK;
}

static size_t
big_endian (const unsigned char *data, size_t bytes)
{
  size_t value = 0;

  for (size_t i = 0; i < bytes; i++)
    value = value << 8 | data[i];
  return value;
}

/* @return length of the number or byte string that begins at @p data; 0 if the
   value is of another type or truncated.  */
static size_t
value_length (const unsigned char *data, size_t length)
{
  size_t header_bytes = 1;
  size_t body_bytes = 0;

  if (length == 0)
    return 0;
  if (data[0] >= MSGPACK_UINT_8 && data[0] <= MSGPACK_UINT_64)
    body_bytes = (size_t)1 << (data[0] - MSGPACK_UINT_8);
  else if (data[0] >= MSGPACK_BIN_8 && data[0] <= MSGPACK_BIN_32)
    {
      header_bytes += (size_t)1 << (data[0] - MSGPACK_BIN_8);
      if (length < header_bytes)
        return 0;
      body_bytes = big_endian (data + 1, header_bytes - 1);
    }
  else if (data[0] > MSGPACK_FIXINT_MAX)
    return 0;
  return body_bytes <= length - header_bytes ? header_bytes + body_bytes : 0;
}

/* Tells whether the data is one array of numbers and byte strings.  Only such
   data is passed to the msgpack library: it allocates the size that the header
   of a container announces before it reads an element, so a frame of a few
   bytes could make it allocate gigabytes.  */
static bool
is_flat_array (const char *data, size_t length)
{
  const unsigned char *bytes = (const unsigned char *)data;
  size_t used = 1;
  size_t count;

  if (length < 1)
    return false;
  if (bytes[0] == MSGPACK_ARRAY_16 && length >= 3)
    {
      count = big_endian (bytes + 1, 2);
      used = 3;
    }
  else if (bytes[0] >= MSGPACK_FIXARRAY_MIN
           && bytes[0] <= MSGPACK_FIXARRAY_MAX)
    count = bytes[0] - MSGPACK_FIXARRAY_MIN;
  else
    return false;
  for (; count > 0; count--)
    {
      size_t field = value_length (bytes + used, length - used);

      if (field == 0)
        return false;
      used += field;
    }
  return used == length;
}

gs_status_t
gs_frame_decode (gs_frame_t *out, gs_frame_memory_t **memory, const char *data,
                 size_t length)
{
  gs_frame_memory_t *owned = g_new0 (gs_frame_memory_t, 1);
  msgpack_object root;
  size_t offset = 0;
  msgpack_unpack_return result;
  gs_status_t status = GS_OK;

  memset (out, 0, sizeof *out);
  *memory = NULL;
  if (!is_flat_array (data, length))
    {
      g_free (owned);
      return gs_error_set (GS_EINVAL, "frame is not one flat msgpack array");
    }
  msgpack_zone_init (&owned->zone, 1024);
  result = msgpack_unpack (data, length, &offset, &owned->zone, &root);
  if (result != MSGPACK_UNPACK_SUCCESS || offset != length)
    status
        = gs_error_set (GS_EINVAL, "frame is not exactly one msgpack value");
  else
    status = decode_fields (out, &root);
  if (status != GS_OK)
    {
      gs_frame_memory_free (owned);
      return status;
    }
  *memory = owned;
  return GS_OK;
}

void
gs_frame_memory_free (gs_frame_memory_t *memory)
{
  if (memory == NULL)
    return;
  msgpack_zone_destroy (&memory->zone);
  g_free (memory);
}

gs_status_t
gs_frame_peek (size_t *body_length, const char *data, size_t length)
{
  guint32 header;

  if (length < GS_FRAME_HEADER_BYTES)
    return GS_ENOTFOUND;
  memcpy (&header, data, sizeof header);
  *body_length = GUINT32_FROM_BE (header);
  if (*body_length > GS_FRAME_BYTES_MAX)
    return gs_error_set (GS_ELIMIT, "frame of %zu bytes is too long",
                         *body_length);
  if (length - GS_FRAME_HEADER_BYTES < *body_length)
    return GS_ENOTFOUND;
  return GS_OK;
}
