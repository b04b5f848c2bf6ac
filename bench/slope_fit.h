/**
 * @file slope_fit.h
 * Least-squares line through measured points.
 */
#ifndef GS_BENCH_SLOPE_FIT_H
#define GS_BENCH_SLOPE_FIT_H

#include <stddef.h>

typedef struct
{
  double x;
  double y;
} gs_point_t;

/** The line y = slope * x + intercept. */
typedef struct
{
  double slope;
  double intercept;
  double residual; /**< root mean square error / mean of y */
} gs_fit_t;

/** Fit a line by least squares.  @return the line; all zero when the points
    have fewer than two different values of x. */
gs_fit_t gs_fit_points (const gs_point_t *points, size_t count);

#endif
