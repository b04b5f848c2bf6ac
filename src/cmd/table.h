/**
 * @file table.h
 * Prints JSON objects as a text table.
 */
#ifndef GS_CMD_TABLE_H
#define GS_CMD_TABLE_H

#include <jansson.h>

/** Print an array of flat objects to stdout.  The keys of the first object are
    the columns. */
void gs_json_table_print (const json_t *rows);

#endif
