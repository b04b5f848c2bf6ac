/**
 * @file row_codec.h
 * Encodes lists of plain structs as msgpack arrays, each row as the array of
 * its fields, and reads msgpack arrays field by field with bounds on sizes.
 */
#ifndef GS_WIRE_ROW_CODEC_H
#define GS_WIRE_ROW_CODEC_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  ROW_TEXT,
  ROW_NUMBER,         /**< unsigned, 4 or 8 bytes */
  ROW_OPTIONAL_NUMBER /**< the same in a last column, which reads as zero in
                           rows of earlier versions that lack it */
} row_column_kind_t;

typedef struct
{
  row_column_kind_t kind;
  size_t offset;
  size_t size;
} row_column_t;

#define ROW_COLUMN(KIND, TYPE, FIELD)                                         \
  {                                                                           \
    KIND, offsetof (TYPE, FIELD), sizeof ((TYPE *)0)->FIELD                   \
  }

#define ROW_COLUMNS_MAX 9

/** Describes the struct of a row and which of its fields are encoded. */
typedef struct
{
  size_t row_bytes;
  uint32_t rows_max; /**< a longer list is malformed */
  unsigned count;    /**< of columns */
  row_column_t columns[ROW_COLUMNS_MAX];
} row_layout_t;

void row_codec_pack_text (msgpack_packer *out, const char *text);

/** @param rows of structs of the layout */
void row_codec_pack (msgpack_packer *out, const row_layout_t *layout,
                     const GArray *rows);

/** Reads the elements of an array in order.  A missing element, or one of
    another type, sets *invalid and reads as zero or empty. */
typedef struct
{
  const msgpack_object_array *array; /**< NULL reads as an empty array */
  uint32_t next;
  bool *invalid;
} row_reader_t;

/** Unpack data that were packed as one array.
    @param reader gets the array, or none if the data are malformed or nested
    more deeply than @p depth
    @param unpacked set up by the call; freed by the caller with
    msgpack_unpacked_destroy() after the last use of @p reader */
void row_reader_unpack (row_reader_t *reader, msgpack_unpacked *unpacked,
                        const char *data, size_t length, unsigned depth);

/** @return whether another element follows. */
bool row_reader_has_next (const row_reader_t *reader);

/** @param size of @p out; a longer text is invalid */
void row_reader_text (row_reader_t *reader, char *out, size_t size);
uint64_t row_reader_number (row_reader_t *reader);

/** @return a reader of a nested array, which shares the invalid flag */
row_reader_t row_reader_array (row_reader_t *reader);

/** @return number of elements, at most @p max; a longer array is invalid */
uint32_t row_reader_count (const row_reader_t *reader, uint32_t max);

/** Read a list of rows.
    @param out of structs of the layout; replaced */
void row_reader_rows (row_reader_t *reader, const row_layout_t *layout,
                      GArray *out);

#endif
