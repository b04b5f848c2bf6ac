#include "slope_fit.h"

#include <math.h>

static double
relative_residual (const gs_point_t *points, size_t count, const gs_fit_t *fit,
                   double mean_y)
{
  double squares = 0;

  for (size_t i = 0; i < count; i++)
    {
      double distance
          = points[i].y - fit->slope * points[i].x - fit->intercept;

      squares += distance * distance;
    }
  return mean_y != 0 ? sqrt (squares / (double)count) / fabs (mean_y) : 0;
}

gs_fit_t
gs_fit_points (const gs_point_t *points, size_t count)
{
  gs_fit_t fit = { 0 };
  double mean_x = 0;
  double mean_y = 0;
  double covariance = 0;
  double variance = 0;

  if (count < 2)
    return fit;
  for (size_t i = 0; i < count; i++)
    {
      mean_x += points[i].x / (double)count;
      mean_y += points[i].y / (double)count;
    }
  for (size_t i = 0; i < count; i++)
    {
      covariance += (points[i].x - mean_x) * (points[i].y - mean_y);
      variance += (points[i].x - mean_x) * (points[i].x - mean_x);
    }
  if (variance == 0)
    return fit;
  fit.slope = covariance / variance;
  fit.intercept = mean_y - fit.slope * mean_x;
  fit.residual = relative_residual (points, count, &fit, mean_y);
  return fit;
}
