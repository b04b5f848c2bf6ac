#include "blackboard/table.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#define SLOT_BITS 16
#define SLOT_MASK 0xffffU

typedef struct
{
  uint16_t generation; /* never 0 */
  bool used;
} table_slot_t;

struct gs_table
{
  size_t row_bytes;
  GArray *slots;
  GByteArray *rows;
  GArray *free_slots; /* uint16_t slot indices */
  size_t count;
};

void
gs_table_create (gs_table_t **out, size_t row_bytes)
{
  gs_table_t *table = g_new0 (gs_table_t, 1);

  table->row_bytes = row_bytes;
  table->slots = g_array_new (FALSE, TRUE, sizeof (table_slot_t));
  table->rows = g_byte_array_new ();
  table->free_slots = g_array_new (FALSE, FALSE, sizeof (uint16_t));
  *out = table;
}

void
gs_table_destroy (gs_table_t *table)
{
  if (table == NULL)
    return;
  g_array_unref (table->free_slots);
  g_byte_array_unref (table->rows);
  g_array_unref (table->slots);
  g_free (table);
}

static gs_handle_t
slot_handle (const gs_table_t *table, guint index)
{
  const table_slot_t *slot
      = &g_array_index (table->slots, table_slot_t, index);

  return ((gs_handle_t)slot->generation << SLOT_BITS) | index;
}

static table_slot_t *
find_slot (const gs_table_t *table, gs_handle_t handle)
{
  guint index = handle & SLOT_MASK;
  table_slot_t *slot;

  if (index >= table->slots->len)
    return NULL;
  slot = &g_array_index (table->slots, table_slot_t, index);
  return slot->used && slot->generation == handle >> SLOT_BITS ? slot : NULL;
}

gs_handle_t
gs_table_add (gs_table_t *table)
{
  table_slot_t new_slot = { 1, true };
  guint index;

  if (table->free_slots->len > 0)
    {
      index = g_array_index (table->free_slots, uint16_t,
                             table->free_slots->len - 1);
      g_array_set_size (table->free_slots, table->free_slots->len - 1);
      g_array_index (table->slots, table_slot_t, index).used = true;
    }
  else
    {
      index = table->slots->len;
      if (index >= GS_TABLE_ROWS_MAX)
        return GS_HANDLE_NONE;
      g_array_append_val (table->slots, new_slot);
      g_byte_array_set_size (table->rows,
                             (guint)(table->row_bytes * (index + 1)));
    }
  memset (table->rows->data + table->row_bytes * index, 0, table->row_bytes);
  table->count++;
  return slot_handle (table, index);
}

void *
gs_table_get (const gs_table_t *table, gs_handle_t handle)
{
  if (find_slot (table, handle) == NULL)
    return NULL;
  return table->rows->data + table->row_bytes * (handle & SLOT_MASK);
}

void
gs_table_remove (gs_table_t *table, gs_handle_t handle)
{
  table_slot_t *slot = find_slot (table, handle);
  uint16_t index = handle & SLOT_MASK;

  if (slot == NULL)
    return;
  slot->used = false;
  slot->generation = slot->generation == UINT16_MAX ? 1 : slot->generation + 1;
  g_array_append_val (table->free_slots, index);
  table->count--;
}

gs_handle_t
gs_table_next (const gs_table_t *table, gs_handle_t handle)
{
  guint index = handle == GS_HANDLE_NONE ? 0 : (handle & SLOT_MASK) + 1;

  for (; index < table->slots->len; index++)
    if (g_array_index (table->slots, table_slot_t, index).used)
      return slot_handle (table, index);
  return GS_HANDLE_NONE;
}

size_t
gs_table_count (const gs_table_t *table)
{
  return table->count;
}
