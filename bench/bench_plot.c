#include "bench.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define LINE_BYTES 1024
#define FIGURES 4

/* Figures of a policy; each has a plot of its own.  */
static const struct
{
  const char *key;
  const char *title;
  const char *scale; /* gnuplot command that sets the axis */
} figures[FIGURES] = {
  { "share", "share in target", "set yrange [0:1.05]" },
  { "cost", "cost per thousand in target, millionths", "set logscale y" },
  { "recomputed", "recomputed tokens per answer", "set logscale y" },
  { "first_p95_ms", "95th percentile of first token, ms", "set logscale y" },
};

typedef struct
{
  GPtrArray *scenarios; /* names, in order of appearance */
  GPtrArray *policies;  /* names, in order of appearance */
  GHashTable *values;   /* "scenario policy key" -> text */
} table_t;

static void
add_name (GPtrArray *names, const char *name)
{
  for (guint i = 0; i < names->len; i++)
    if (strcmp (names->pdata[i], name) == 0)
      return;
  g_ptr_array_add (names, g_strdup (name));
}

static const char *
find_field (char **fields, const char *key)
{
  size_t length = strlen (key);

  for (; *fields != NULL; fields++)
    if (strncmp (*fields, key, length) == 0 && (*fields)[length] == '=')
      return *fields + length + 1;
  return NULL;
}

static void
add_line (table_t *table, const char *line)
{
  char **fields = g_strsplit (line, " ", -1);
  const char *scenario = find_field (fields, "scenario");
  const char *policy = find_field (fields, "policy");

  if (strcmp (fields[0], "policy") == 0 && scenario != NULL && policy != NULL)
    {
      add_name (table->scenarios, scenario);
      add_name (table->policies, policy);
      for (unsigned i = 0; i < FIGURES; i++)
        if (find_field (fields, figures[i].key) != NULL)
          g_hash_table_insert (
              table->values,
              g_strdup_printf ("%s %s %s", scenario, policy, figures[i].key),
              g_strdup (find_field (fields, figures[i].key)));
    }
  g_strfreev (fields);
}

static void
write_data (FILE *out, const table_t *table, const char *key)
{
  fprintf (out, "$%s << END\n", key);
  for (guint s = 0; s < table->scenarios->len; s++)
    {
      fprintf (out, "%s", (const char *)table->scenarios->pdata[s]);
      for (guint p = 0; p < table->policies->len; p++)
        {
          char *name = g_strdup_printf (
              "%s %s %s", (const char *)table->scenarios->pdata[s],
              (const char *)table->policies->pdata[p], key);
          const char *value = g_hash_table_lookup (table->values, name);

          fprintf (out, " %s", value != NULL ? value : "NaN");
          g_free (name);
        }
      fprintf (out, "\n");
    }
  fprintf (out, "END\n");
}

/* Writes a gnuplot script that contains its data; scripts/plot runs it.  */
static void
write_script (FILE *out, const table_t *table)
{
  fprintf (out, "set terminal svg size 1200,1400\n"
                "set style data histogram\nset style fill solid\n"
                "set xtics rotate by -25\nset key outside right\n");
  for (unsigned i = 0; i < FIGURES; i++)
    write_data (out, table, figures[i].key);
  fprintf (out, "set multiplot layout %d,1\n", FIGURES);
  for (unsigned i = 0; i < FIGURES; i++)
    {
      fprintf (out,
               "unset logscale\nset yrange [*:*]\n%s\n"
               "set title \"%s\"\nplot ",
               figures[i].scale, figures[i].title);
      for (guint p = 0; p < table->policies->len; p++)
        fprintf (out, "%s$%s using %u:xtic(1) title \"%s\" noenhanced",
                 p > 0 ? ", " : "", figures[i].key, p + 2,
                 (const char *)table->policies->pdata[p]);
      fprintf (out, "\n");
    }
  fprintf (out, "unset multiplot\n");
}

int
bench_plot (int argc, char **argv)
{
  table_t table;
  char line[LINE_BYTES];

  table.scenarios = g_ptr_array_new_with_free_func (g_free);
  table.policies = g_ptr_array_new_with_free_func (g_free);
  table.values
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  while (fgets (line, sizeof line, stdin) != NULL)
    add_line (&table, g_strchomp (line));
  if (table.scenarios->len > 0)
    write_script (stdout, &table);
  else
    fprintf (stderr, "no line of 'gs_bench routing' in the input\n");
  argc = table.scenarios->len > 0 ? 0 : 1;
  g_hash_table_unref (table.values);
  g_ptr_array_unref (table.policies);
  g_ptr_array_unref (table.scenarios);
  return argc;
}
