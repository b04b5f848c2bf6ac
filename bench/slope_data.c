#include "slope_data.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#define POINTS_MAX 64

struct gs_slope_data
{
  char **lines; /* of the file, NULL-terminated */
};

/* Parses the number that follows " KEY=" in a line.
   @return false when the key or the number is missing.  */
static bool
parse_number (double *out, const char *line, const char *key)
{
  char *pattern = g_strdup_printf (" %s=", key);
  const char *found = strstr (line, pattern);
  char *end = NULL;

  if (found != NULL)
    *out = g_ascii_strtod (found + strlen (pattern), &end);
  g_free (pattern);
  return found != NULL && end != NULL && (*end == ' ' || *end == '\0');
}

static bool
line_has_role (const char *line, const char *role)
{
  char *start = g_strdup_printf ("point role=%s ", role);
  bool matches = g_str_has_prefix (line, start);

  g_free (start);
  return matches;
}

gs_status_t
gs_slope_data_read (gs_slope_data_t **out, const char *path)
{
  gs_slope_data_t *data;
  char *text;
  double n;

  *out = NULL;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return gs_error_set (GS_EIO, "cannot read %s", path);
  data = g_new0 (gs_slope_data_t, 1);
  data->lines = g_strsplit (text, "\n", -1);
  g_free (text);
  for (char **line = data->lines; *line != NULL; line++)
    if (g_str_has_prefix (*line, "point ") && !parse_number (&n, *line, "n"))
      {
        gs_error_set (GS_EINVAL, "%s: point has no number n: %s", path, *line);
        gs_slope_data_destroy (data);
        return GS_EINVAL;
      }
  *out = data;
  return GS_OK;
}

void
gs_slope_data_destroy (gs_slope_data_t *data)
{
  if (data == NULL)
    return;
  g_strfreev (data->lines);
  g_free (data);
}

gs_status_t
gs_slope_data_fit (gs_fit_t *out, const gs_slope_data_t *data,
                   const char *role, const char *figure)
{
  gs_point_t points[POINTS_MAX];
  size_t count = 0;

  for (char **line = data->lines; *line != NULL && count < POINTS_MAX; line++)
    if (line_has_role (*line, role)
        && parse_number (&points[count].x, *line, "n")
        && parse_number (&points[count].y, *line, figure))
      count++;
  if (count < 2)
    return gs_error_set (GS_ENOTFOUND, "no points of %s for %s", figure, role);
  *out = gs_fit_points (points, count);
  return GS_OK;
}

gs_status_t
gs_slope_data_point (double *out, const gs_slope_data_t *data,
                     const char *role, const char *figure, double n)
{
  double found;

  for (char **line = data->lines; *line != NULL; line++)
    if (line_has_role (*line, role) && parse_number (&found, *line, "n")
        && found == n && parse_number (out, *line, figure))
      return GS_OK;
  return gs_error_set (GS_ENOTFOUND, "no %s of %s at %g", figure, role, n);
}
