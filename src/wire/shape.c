#include "wire/shape.h"

/* First bytes of the accepted values (msgpack specification).  */
#define FIXINT_MOST 0x7f
#define FIXARRAY_FIRST 0x90
#define FIXSTR_FIRST 0xa0
#define FIXSTR_LAST 0xbf
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
  size_t head;     /* bytes of the header, 0 when the value is rejected */
  size_t body;     /* bytes after the header */
  size_t elements; /* of an array */
} head_t;

/* @param sized bytes of the length that follows the first byte
   @param array whether the length counts elements, otherwise bytes  */
static head_t
sized_head (const unsigned char *data, size_t length, size_t sized, bool array)
{
  head_t out = { .head = 1 + sized };
  size_t size;

  if (length < out.head)
    return (head_t){ 0, 0, 0 };
  size = big_endian (data + 1, sized);
  *(array ? &out.elements : &out.body) = size;
  return out;
}

static head_t
read_head (const unsigned char *data, size_t length)
{
  unsigned char first = data[0];

  if (first <= FIXINT_MOST)
    return (head_t){ 1, 0, 0 };
  if (first >= FIXARRAY_FIRST && first < FIXSTR_FIRST)
    return (head_t){ 1, 0, first - FIXARRAY_FIRST };
  if (first >= FIXSTR_FIRST && first <= FIXSTR_LAST)
    return (head_t){ 1, first - FIXSTR_FIRST, 0 };
  if (first >= UINT_8 && first <= UINT_64)
    return (head_t){ 1, (size_t)1 << (first - UINT_8), 0 };
  if (first >= BIN_8 && first <= BIN_32)
    return sized_head (data, length, (size_t)1 << (first - BIN_8), false);
  if (first >= STR_8 && first <= STR_32)
    return sized_head (data, length, (size_t)1 << (first - STR_8), false);
  if (first == ARRAY_16 || first == ARRAY_32)
    return sized_head (data, length, first == ARRAY_16 ? 2 : 4, true);
  return (head_t){ 0, 0, 0 };
}

/* @param depth number of arrays that may be nested
   @return bytes of the value, 0 when the value is rejected  */
static size_t
value_length (const unsigned char *data, size_t length, unsigned depth)
{
  head_t head;
  size_t used;

  if (length == 0)
    return 0;
  head = read_head (data, length);
  /* An array cannot have more elements than bytes, as each takes at least
     one.  */
  if (head.head == 0 || head.body > length - head.head
      || head.elements > length - head.head
      || (head.elements > 0 && depth == 0))
    return 0;
  used = head.head + head.body;
  for (size_t i = 0; i < head.elements; i++)
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
