/* Measures the processor time, memory and bytes sent of each role at growing
   sizes and fits a line through the points of each figure.  */
#include "bench.h"

#include "slope_fit.h"
#include "slope_roles.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POINTS_MAX 16
#define ROUNDS 7

static const gs_slope_role_t *const role_tables[]
    = { gs_control_roles, gs_traffic_roles, gs_service_roles };

static int
compare_doubles (const void *left, const void *right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;

  return (a > b) - (a < b);
}

/* Runs a role several times and takes the median time, because single runs
   are disturbed by other load on the host.  */
static gs_slope_sample_t
measure (const gs_slope_role_t *role, uint32_t n)
{
  double times[ROUNDS];
  gs_slope_sample_t sample = { 0 };

  for (int i = 0; i < ROUNDS; i++)
    {
      sample = role->run (n);
      times[i] = sample.usec;
    }
  qsort (times, ROUNDS, sizeof *times, compare_doubles);
  sample.usec = times[ROUNDS / 2];
  return sample;
}

static void
print_fit (const gs_slope_role_t *role, const char *figure,
           const gs_point_t *points)
{
  gs_fit_t fit = gs_fit_points (points, role->point_count);

  printf ("fit role=%s figure=%s slope=%.6g intercept=%.6g residual=%.4f\n",
          role->name, figure, fit.slope, fit.intercept, fit.residual);
}

static void
measure_role (const gs_slope_role_t *role)
{
  gs_point_t usec[POINTS_MAX];
  gs_point_t memory[POINTS_MAX];
  gs_point_t wire[POINTS_MAX];
  uint32_t n = role->n_min;

  for (uint32_t i = 0; i < role->point_count; i++, n *= 2)
    {
      gs_slope_sample_t sample = measure (role, n);

      usec[i] = (gs_point_t){ n, sample.usec };
      memory[i] = (gs_point_t){ n, sample.memory };
      wire[i] = (gs_point_t){ n, sample.wire };
      printf ("point role=%s variable=\"%s\" operation=%s n=%u usec=%.4f "
              "memory=%.0f wire=%.0f\n",
              role->name, role->variable, role->operation, n, sample.usec,
              sample.memory, sample.wire);
    }
  print_fit (role, "usec", usec);
  print_fit (role, "memory", memory);
  print_fit (role, "wire", wire);
}

/* Runs one role once at one size, so that callgrind can count its
   instructions.  */
static int
run_once (const char *name, uint32_t n)
{
  for (size_t i = 0; i < G_N_ELEMENTS (role_tables); i++)
    for (const gs_slope_role_t *role = role_tables[i]; role->name != NULL;
         role++)
      if (strcmp (role->name, name) == 0)
        {
          gs_slope_sample_t sample = role->run (n);

          printf ("ran role=%s n=%u operations=%u\n", name, n,
                  MAX (sample.operations, 1));
          return 0;
        }
  fprintf (stderr, "gs_bench slopes: unknown role '%s'\n", name);
  return 2;
}

static void
list_sizes (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (role_tables); i++)
    for (const gs_slope_role_t *role = role_tables[i]; role->name != NULL;
         role++)
      for (uint32_t j = 0; j < role->point_count; j++)
        printf ("%s %u\n", role->name, role->n_min << j);
}

int
bench_slopes (int argc, char **argv)
{
  char *role_name = NULL;
  int n = 0;
  int repeats = 0;
  gboolean list = FALSE;
  const GOptionEntry entries[]
      = { { "role", 'r', 0, G_OPTION_ARG_STRING, &role_name,
            "run one role once", "NAME" },
          { "list", 'l', 0, G_OPTION_ARG_NONE, &list,
            "print each role with its sizes", NULL },
          { "repeats", 0, 0, G_OPTION_ARG_INT, &repeats,
            "operations for each point", "N" },
          { "n", 'n', 0, G_OPTION_ARG_INT, &n, "size for --role", "N" },
          { 0 } };
  GOptionContext *context
      = g_option_context_new ("- measure the cost of each role by size");
  int result = 0;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL) || repeats < 0
      || (role_name != NULL && n <= 0))
    result = 2;
  if (repeats > 0)
    gs_slope_repeats = (unsigned)repeats;
  if (result != 0)
    fprintf (stderr, "gs_bench slopes: --role needs -n; see --help\n");
  else if (list)
    list_sizes ();
  else if (role_name != NULL)
    result = run_once (role_name, (uint32_t)n);
  else
    for (size_t i = 0; i < G_N_ELEMENTS (role_tables); i++)
      for (const gs_slope_role_t *role = role_tables[i]; role->name != NULL;
           role++)
        measure_role (role);
  g_free (role_name);
  g_option_context_free (context);
  return result;
}
