#include "wire/row_codec.h"

#include "wire/shape.h"

#include <string.h>

void
row_codec_pack_text (msgpack_packer *out, const char *text)
{
  msgpack_pack_str_with_body (out, text, strlen (text));
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

void
row_codec_pack (msgpack_packer *out, const row_layout_t *layout,
                const GArray *rows)
{
  msgpack_pack_array (out, rows->len);
  for (guint i = 0; i < rows->len; i++)
    {
      const char *row = rows->data + i * layout->row_bytes;

      msgpack_pack_array (out, layout->count);
      for (unsigned j = 0; j < layout->count; j++)
        if (layout->columns[j].kind == ROW_TEXT)
          row_codec_pack_text (out, row + layout->columns[j].offset);
        else
          msgpack_pack_uint64 (out, get_number (row, &layout->columns[j]));
    }
}

static const msgpack_object *
read_value (row_reader_t *reader, msgpack_object_type type)
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

void
row_reader_unpack (row_reader_t *reader, msgpack_unpacked *unpacked,
                   const char *data, size_t length, unsigned depth)
{
  msgpack_unpacked_init (unpacked);
  if (gs_shape_is_bounded (data, length, depth)
      && msgpack_unpack_next (unpacked, data, length, NULL)
             == MSGPACK_UNPACK_SUCCESS
      && unpacked->data.type == MSGPACK_OBJECT_ARRAY)
    reader->array = &unpacked->data.via.array;
}

bool
row_reader_has_next (const row_reader_t *reader)
{
  return reader->array != NULL && reader->next < reader->array->size;
}

void
row_reader_text (row_reader_t *reader, char *out, size_t size)
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

uint64_t
row_reader_number (row_reader_t *reader)
{
  const msgpack_object *object
      = read_value (reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

  return object != NULL ? object->via.u64 : 0;
}

row_reader_t
row_reader_array (row_reader_t *reader)
{
  const msgpack_object *object = read_value (reader, MSGPACK_OBJECT_ARRAY);

  return (row_reader_t){ object != NULL ? &object->via.array : NULL, 0,
                         reader->invalid };
}

uint32_t
row_reader_count (const row_reader_t *reader, uint32_t max)
{
  if (reader->array == NULL)
    return 0;
  if (reader->array->size > max)
    *reader->invalid = true;
  return MIN (reader->array->size, max);
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

void
row_reader_rows (row_reader_t *reader, const row_layout_t *layout, GArray *out)
{
  row_reader_t rows = row_reader_array (reader);
  uint32_t count = row_reader_count (&rows, layout->rows_max);

  g_array_set_size (out, count);
  for (uint32_t i = 0; i < count; i++)
    {
      row_reader_t row_reader = row_reader_array (&rows);
      char *row = out->data + i * layout->row_bytes;

      for (unsigned j = 0; j < layout->count; j++)
        if (layout->columns[j].kind == ROW_TEXT)
          row_reader_text (&row_reader, row + layout->columns[j].offset,
                           layout->columns[j].size);
        else if (layout->columns[j].kind == ROW_OPTIONAL_NUMBER
                 && !row_reader_has_next (&row_reader))
          set_number (row, &layout->columns[j], 0);
        else
          set_number (row, &layout->columns[j],
                      row_reader_number (&row_reader));
    }
}
