#include "wire/shape.h"

/* First bytes of the accepted values (msgpack specification).  */
#define FIXINT_MAX 0x7f
#define FIXARRAY_MIN 0x90
#define FIXSTR_MIN 0xa0
#define FIXSTR_MAX 0xbf
#define BIN_8 0xc4
#define BIN_32 0xc6
#define UINT_8 0xcc
#define UINT_64 0xcf
#define STR_8 0xd9
#define STR_32 0xdb
#define ARRAY_16 0xdc
#define ARRAY_32 0xdd

static size_t
big_endian (const unsigned char *data, size_t bytes)
{
  size_t value = 0;

  for (size_t i = 0; i < bytes; i++)
    value = value << 8 | data[i];
  return value;
}

/* Header of a value.  */
typedef struct
{
  size_t header_bytes; /* 0 when the value is rejected */
  size_t body_bytes;   /* that follow the header */
  size_t elements;     /* of an array */
} value_header_t;

/* @param size_bytes bytes of the length that follows the first byte
   @param array whether the length counts elements, otherwise bytes  */
static value_header_t
read_sized_header (const unsigned char *data, size_t length, size_t size_bytes,
                   bool array)
{
  value_header_t out = { .header_bytes = 1 + size_bytes };
  size_t size;

  if (length < out.header_bytes)
    return (value_header_t){ 0, 0, 0 };
  size = big_endian (data + 1, size_bytes);
  *(array ? &out.elements : &out.body_bytes) = size;
  return out;
}

static value_header_t
read_header (const unsigned char *data, size_t length)
{
  unsigned char first = data[0];

  if (first <= FIXINT_MAX)
    return (value_header_t){ 1, 0, 0 };
  if (first >= FIXARRAY_MIN && first < FIXSTR_MIN)
    return (value_header_t){ 1, 0, first - FIXARRAY_MIN };
  if (first >= FIXSTR_MIN && first <= FIXSTR_MAX)
    return (value_header_t){ 1, first - FIXSTR_MIN, 0 };
  if (first >= UINT_8 && first <= UINT_64)
    return (value_header_t){ 1, (size_t)1 << (first - UINT_8), 0 };
  if (first >= BIN_8 && first <= BIN_32)
    return read_sized_header (data, length, (size_t)1 << (first - BIN_8),
                              false);
  if (first >= STR_8 && first <= STR_32)
    return read_sized_header (data, length, (size_t)1 << (first - STR_8),
                              false);
  if (first == ARRAY_16 || first == ARRAY_32)
    return read_sized_header (data, length, first == ARRAY_16 ? 2 : 4, true);
  return (value_header_t){ 0, 0, 0 };
}

/* @param depth number of arrays that may be nested
   @return bytes of the value, 0 when the value is rejected  */
static size_t
value_length (const unsigned char *data, size_t length, unsigned depth)
{
  value_header_t header;
  size_t used;

  if (length == 0)
    return 0;
  header = read_header (data, length);
  /* An array cannot have more elements than bytes, as each takes at least
     one.  */
  if (header.header_bytes == 0
      || header.body_bytes > length - header.header_bytes
      || header.elements > length - header.header_bytes
      || (header.elements > 0 && depth == 0))
    return 0;
  used = header.header_bytes + header.body_bytes;
  for (size_t i = 0; i < header.elements; i++)
    {
      size_t element = value_length (data + used, length - used, depth - 1);

      if (element == 0)
        return 0;
      used += element;
    }
  return used;
}

bool
gs_shape_is_bounded (const char *data, size_t length, unsigned depth)
{
  return length > 0
         && value_length ((const unsigned char *)data, length, depth)
                == length;
}
