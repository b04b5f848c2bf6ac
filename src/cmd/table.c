#include "cmd/table.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define COLUMNS_MAX 32
#define COLUMN_GAP 2

/* @return the text of a cell, freed with g_free().  */
static char *
cell_text (const json_t *value)
{
  char *dump;
  char *text;

  if (json_is_string (value))
    return g_strdup (json_string_value (value));
  if (value == NULL || json_is_null (value))
    return g_strdup ("-");
  dump = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
  text = g_strdup (dump);
  free (dump);
  return text;
}

static void
print_cell (const char *text, size_t width, int is_last)
{
  size_t length = (size_t)g_utf8_strlen (text, -1);

  fputs (text, stdout);
  if (is_last)
    putchar ('\n');
  else
    printf ("%*s", (int)(width + COLUMN_GAP - length), "");
}

static void
print_row (const json_t *row, const char *const *names, const size_t *widths,
           size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      char *text = row != NULL ? cell_text (json_object_get (row, names[i]))
                               : g_ascii_strup (names[i], -1);

      print_cell (text, widths[i], i + 1 == count);
      g_free (text);
    }
}

void
gs_json_table_print (const json_t *rows)
{
  const char *names[COLUMNS_MAX];
  size_t widths[COLUMNS_MAX];
  size_t count = 0;
  const json_t *row;
  const char *name;
  json_t *value;
  size_t i;

  if (json_array_size (rows) == 0)
    {
      printf ("(none)\n");
      return;
    }
  json_object_foreach (json_array_get (rows, 0), name, value)
  {
    if (count == COLUMNS_MAX)
      break;
    names[count] = name;
    widths[count++] = strlen (name);
  }
  json_array_foreach (rows, i, row) for (size_t c = 0; c < count; c++)
  {
    char *text = cell_text (json_object_get (row, names[c]));

    widths[c] = MAX (widths[c], (size_t)g_utf8_strlen (text, -1));
    g_free (text);
  }
  print_row (NULL, names, widths, count);
  json_array_foreach (rows, i, row) print_row (row, names, widths, count);
}
