#include "check.h"

#include "slope_data.h"

#include <math.h>
#include <glib/gstdio.h>
#include <string.h>

static void
fit_finds_the_least_squares_line (void)
{
  static const struct
  {
    gs_point_t points[3];
    size_t count;
    double slope;
    double intercept;
    bool exact;
  } rows[] = {
    { { { 0, 1 }, { 1, 3 }, { 2, 5 } }, 3, 2, 1, true },
    { { { 1, 4 }, { 2, 4 }, { 3, 4 } }, 3, 0, 4, true },
    { { { 0, 0 }, { 1, 3 }, { 2, 0 } }, 3, 0, 1, false },
    { { { 5, 1 }, { 5, 9 }, { 5, 2 } }, 3, 0, 0, true },
    { { { 5, 1 } }, 1, 0, 0, true },
  };

  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      gs_fit_t fit = gs_fit_points (rows[i].points, rows[i].count);

      CU_ASSERT_DOUBLE_EQUAL (fit.slope, rows[i].slope, 1e-9);
      CU_ASSERT_DOUBLE_EQUAL (fit.intercept, rows[i].intercept, 1e-9);
      CU_ASSERT_EQUAL (fit.residual < 1e-9, rows[i].exact);
    }
}

static char *
write_data (const char *text)
{
  char *path = NULL;
  int fd = g_file_open_tmp ("slopes-XXXXXX", &path, NULL);

  CU_ASSERT_FATAL (fd >= 0);
  g_close (fd, NULL);
  g_file_set_contents (path, text, -1, NULL);
  return path;
}

static void
points_are_read_by_role_and_figure (void)
{
  static const char text[]
      = "# a comment\n"
        "point role=a variable=\"x y\" n=1 usec=2 wire=5\n"
        "point role=a variable=\"x y\" n=3 usec=6 wire=5\n"
        "point role=ab n=1 usec=100\n";
  char *path = write_data (text);
  gs_slope_data_t *data;
  gs_fit_t fit;
  double value = 0;

  CU_ASSERT_EQUAL_FATAL (gs_slope_data_read (&data, path), GS_OK);
  CU_ASSERT_EQUAL (gs_slope_data_fit (&fit, data, "a", "usec"), GS_OK);
  CU_ASSERT_DOUBLE_EQUAL (fit.slope, 2, 1e-9);
  CU_ASSERT_EQUAL (gs_slope_data_fit (&fit, data, "ab", "usec"), GS_ENOTFOUND);
  CU_ASSERT_EQUAL (gs_slope_data_fit (&fit, data, "a", "memory"),
                   GS_ENOTFOUND);
  CU_ASSERT_EQUAL (gs_slope_data_point (&value, data, "a", "wire", 3), GS_OK);
  CU_ASSERT_DOUBLE_EQUAL (value, 5, 1e-9);
  CU_ASSERT_EQUAL (gs_slope_data_point (&value, data, "a", "wire", 2),
                   GS_ENOTFOUND);
  gs_slope_data_destroy (data);
  remove (path);
  g_free (path);
}

static void
reading_rejects_missing_and_malformed_data (void)
{
  char *path = write_data ("point role=a n=many usec=1\n");
  gs_slope_data_t *data;

  CU_ASSERT_EQUAL (gs_slope_data_read (&data, path), GS_EINVAL);
  CU_ASSERT_PTR_NULL (data);
  remove (path);
  CU_ASSERT_EQUAL (gs_slope_data_read (&data, path), GS_EIO);
  g_free (path);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "fit_finds_the_least_squares_line", fit_finds_the_least_squares_line },
    { "points_are_read_by_role_and_figure",
      points_are_read_by_role_and_figure },
    { "reading_rejects_missing_and_malformed_data",
      reading_rejects_missing_and_malformed_data },
  };

  return CHECK_RUN ("slopes", cases);
}
