#include "check.h"

#include "capacity.h"

#include <glib/gstdio.h>
#include <string.h>

#define BEGIN "<!-- tables: begin -->\n"
#define END "<!-- tables: end -->"

static char *
source_path (const char *name)
{
  const char *source = getenv ("GS_SOURCE");

  return g_build_filename (source != NULL ? source : ".", name, NULL);
}

/* @return the text of the page between its BEGIN and END lines, NULL when
   they are missing.  */
static char *
read_page_tables (void)
{
  char *path = source_path ("docs/CAPACITY.md");
  char *text = NULL;
  char *tables = NULL;
  const char *begin;
  const char *end;

  g_file_get_contents (path, &text, NULL, NULL);
  begin = text != NULL ? strstr (text, BEGIN) : NULL;
  end = begin != NULL ? strstr (begin, END) : NULL;
  if (end != NULL)
    tables = g_strndup (begin + strlen (BEGIN),
                        (gsize)(end - begin) - strlen (BEGIN));
  g_free (text);
  g_free (path);
  return tables;
}

static void
page_tables_equal_the_computed_tables (void)
{
  char *path = source_path ("bench/data/slopes.txt");
  char *shown = read_page_tables ();
  GString *computed = g_string_new (NULL);
  gs_slope_data_t *data;

  CU_ASSERT_EQUAL_FATAL (gs_slope_data_read (&data, path), GS_OK);
  CU_ASSERT_EQUAL (gs_capacity_append (computed, data), GS_OK);
  CU_ASSERT_EQUAL (g_strcmp0 (shown, computed->str), 0);
  gs_slope_data_destroy (data);
  g_string_free (computed, TRUE);
  g_free (shown);
  g_free (path);
}

static void
tables_are_rejected_when_a_role_has_no_data (void)
{
  char *path = NULL;
  GString *computed = g_string_new (NULL);
  gs_slope_data_t *data;

  g_close (g_file_open_tmp ("slopes-XXXXXX", &path, NULL), NULL);
  CU_ASSERT_EQUAL_FATAL (gs_slope_data_read (&data, path), GS_OK);
  CU_ASSERT_EQUAL (gs_capacity_append (computed, data), GS_ENOTFOUND);
  gs_slope_data_destroy (data);
  g_string_free (computed, TRUE);
  g_remove (path);
  g_free (path);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "page_tables_equal_the_computed_tables",
      page_tables_equal_the_computed_tables },
    { "tables_are_rejected_when_a_role_has_no_data",
      tables_are_rejected_when_a_role_has_no_data },
  };

  return CHECK_RUN ("capacity", cases);
}
