/**
 * @file slope_data.h
 * Reader of the measured points that "gs_bench slopes" and the measuring
 * scripts print, one a line.
 */
#ifndef GS_BENCH_SLOPE_DATA_H
#define GS_BENCH_SLOPE_DATA_H

#include "garnetstack/status.h"
#include "slope_fit.h"

typedef struct gs_slope_data gs_slope_data_t;

/**
 * Read a file of points; lines that do not start with "point " are ignored.
 * @param out receives the data, NULL on error; freed with
 * gs_slope_data_destroy()
 * @return GS_OK, GS_EIO, or GS_EINVAL for a point without a number n
 */
gs_status_t gs_slope_data_read (gs_slope_data_t **out, const char *path);
void gs_slope_data_destroy (gs_slope_data_t *data);

/**
 * Fit a line through the points of a role, with n as x.
 * @param figure "usec", "memory", "wire" or another key of its lines
 * @return GS_OK, or GS_ENOTFOUND when the role has fewer than two points
 */
gs_status_t gs_slope_data_fit (gs_fit_t *out, const gs_slope_data_t *data,
                               const char *role, const char *figure);

/**
 * Get a figure that was measured at exactly @p n.
 * @return GS_OK, or GS_ENOTFOUND when there is no such point
 */
gs_status_t gs_slope_data_point (double *out, const gs_slope_data_t *data,
                                 const char *role, const char *figure,
                                 double n);

#endif
