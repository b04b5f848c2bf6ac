#include "fleet/rollout_counts.h"

#include <string.h>

/* Fields of a row before its two histograms.  */
#define HEAD_COUNT 7

static bool
is_same_row (const rollout_count_t *a, const rollout_count_t *b)
{
  return a->order == b->order && a->route == b->route
         && a->is_target == b->is_target
         && strcmp (a->service, b->service) == 0;
}

/* @return the row with the key of another one, created if there is none; NULL
   if the list is full  */
static rollout_count_t *
row_ensure (GArray *list, const rollout_count_t *key)
{
  rollout_count_t row = { .order = key->order,
                          .route = key->route,
                          .is_target = key->is_target };

  rollout_count_t *rows = (rollout_count_t *)(void *)list->data;

  for (guint i = 0; rows != NULL && i < list->len; i++)
    if (is_same_row (&rows[i], key))
      return &rows[i];
  if (list->len >= ROLLOUT_COUNTS_MAX)
    return NULL;
  memcpy (row.service, key->service, sizeof row.service);
  g_array_append_val (list, row);
  return &g_array_index (list, rollout_count_t, list->len - 1);
}

void
rollout_counts_add (GArray *sum, const GArray *part)
{
  for (guint i = 0; i < part->len; i++)
    {
      const rollout_count_t *more = &g_array_index (part, rollout_count_t, i);
      rollout_count_t *row = row_ensure (sum, more);

      if (row != NULL)
        rollout_count_add (row, more);
    }
}

#define RAISE(FIELD) row->FIELD = MAX (row->FIELD, more->FIELD)

void
rollout_counts_raise (GArray *sum, const GArray *other)
{
  for (guint i = 0; i < other->len; i++)
    {
      const rollout_count_t *more = &g_array_index (other, rollout_count_t, i);
      rollout_count_t *row = row_ensure (sum, more);

      if (row == NULL)
        continue;
      RAISE (requests);
      RAISE (answers);
      RAISE (failures);
      for (unsigned j = 0; j < ROLLOUT_BUCKETS; j++)
        {
          RAISE (first_event[j]);
          RAISE (per_event[j]);
        }
    }
}

#undef RAISE

void
rollout_counts_pack (msgpack_packer *out, const GArray *counts)
{
  msgpack_pack_array (out, counts->len);
  for (guint i = 0; i < counts->len; i++)
    {
      const rollout_count_t *row = &g_array_index (counts, rollout_count_t, i);

      msgpack_pack_array (out, HEAD_COUNT + 2 * ROLLOUT_BUCKETS);
      row_codec_pack_text (out, row->service);
      msgpack_pack_uint64 (out, row->order);
      msgpack_pack_uint64 (out, row->route);
      msgpack_pack_int (out, row->is_target);
      msgpack_pack_uint64 (out, row->requests);
      msgpack_pack_uint64 (out, row->answers);
      msgpack_pack_uint64 (out, row->failures);
      for (unsigned j = 0; j < ROLLOUT_BUCKETS; j++)
        msgpack_pack_uint32 (out, row->first_event[j]);
      for (unsigned j = 0; j < ROLLOUT_BUCKETS; j++)
        msgpack_pack_uint32 (out, row->per_event[j]);
    }
}

void
rollout_counts_read (row_reader_t *reader, GArray *out)
{
  row_reader_t rows = row_reader_array (reader);

  g_array_set_size (out, 0);
  for (uint32_t i = row_reader_count (&rows, ROLLOUT_COUNTS_MAX); i > 0; i--)
    {
      row_reader_t fields = row_reader_array (&rows);
      rollout_count_t row = { .order = 0 };

      row_reader_text (&fields, row.service, sizeof row.service);
      row.order = row_reader_number (&fields);
      row.route = row_reader_number (&fields);
      row.is_target = row_reader_number (&fields) != 0;
      row.requests = row_reader_number (&fields);
      row.answers = row_reader_number (&fields);
      row.failures = row_reader_number (&fields);
      for (unsigned j = 0; j < ROLLOUT_BUCKETS; j++)
        row.first_event[j] = (uint32_t)row_reader_number (&fields);
      for (unsigned j = 0; j < ROLLOUT_BUCKETS; j++)
        row.per_event[j] = (uint32_t)row_reader_number (&fields);
      g_array_append_val (out, row);
    }
}
