/**
 * @file capacity.h
 * Computes the load of a fleet of the size to design for from measured slopes.
 */
#ifndef GS_BENCH_CAPACITY_H
#define GS_BENCH_CAPACITY_H

#include "slope_data.h"

#include <glib.h>

/**
 * Append the tables of docs/CAPACITY.md, in Markdown.
 * @return GS_OK, or GS_ENOTFOUND when the data lacks a role
 */
gs_status_t gs_capacity_append (GString *out, const gs_slope_data_t *data);

#endif
