/* Prints the tables of docs/CAPACITY.md, computed from a file of measured
   points.  */
#include "bench.h"

#include "capacity.h"

#include <stdio.h>

int
bench_capacity (int argc, char **argv)
{
  GString *text = g_string_new (NULL);
  gs_slope_data_t *data = NULL;
  int result = 1;

  if (argc != 2)
    {
      fprintf (stderr, "usage: gs_bench capacity FILE\n");
      result = 2;
    }
  else if (gs_slope_data_read (&data, argv[1]) != GS_OK
           || gs_capacity_append (text, data) != GS_OK)
    fprintf (stderr, "gs_bench capacity: %s\n", gs_error_last ());
  else
    {
      fputs (text->str, stdout);
      result = 0;
    }
  gs_slope_data_destroy (data);
  g_string_free (text, TRUE);
  return result;
}
