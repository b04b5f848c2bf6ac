/**
 * @file table.h
 * Table of rows of one size, which are referred to by handles.  A handle
 * contains the generation of its slot, so that a handle of a removed row is
 * detected as stale instead of referring to the next row in that slot.
 */
#ifndef GS_BLACKBOARD_TABLE_H
#define GS_BLACKBOARD_TABLE_H

#include <stddef.h>
#include <stdint.h>

typedef struct gs_table gs_table_t;

/** Slot index in the low 16 bits, generation of the slot in the high 16. */
typedef uint32_t gs_handle_t;

/** Handle of no row. */
#define GS_HANDLE_NONE 0

/** Capacity of a table in rows. */
#define GS_TABLE_ROWS_MAX 0xffff

/** Create a table with rows of @p row_bytes; freed with
    gs_table_destroy(). */
void gs_table_create (gs_table_t **out, size_t row_bytes);

/** Free the table and its rows; @p table may be NULL. */
void gs_table_destroy (gs_table_t *table);

/** Add a zeroed row.
    @return its handle, or GS_HANDLE_NONE when the table is full */
gs_handle_t gs_table_add (gs_table_t *table);

/** @return the row, valid until the next gs_table_add(); NULL for a stale
    handle. */
void *gs_table_get (const gs_table_t *table, gs_handle_t handle);

/** Remove a row.  A stale handle is ignored. */
void gs_table_remove (gs_table_t *table, gs_handle_t handle);

/** Iterate over the rows in slot order.
    @param handle previous row, which may have been removed since;
    GS_HANDLE_NONE to start
    @return handle of the next row, or GS_HANDLE_NONE at the end */
gs_handle_t gs_table_next (const gs_table_t *table, gs_handle_t handle);

/** @return number of rows. */
size_t gs_table_count (const gs_table_t *table);

#endif
