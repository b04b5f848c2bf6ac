/* Fuzzes catalogue texts: every entry of a text that parses can be found by
   its name, and an accepted edit results in a text that parses.  */
#include "fuzz.h"

#include "garnetstack/catalogue_edit.h"

#include <stdlib.h>
#include <string.h>

static const char base_text[]
    = "[operator dana]\nowner=o\npurpose=p\nclass=counter\n"
      "keys=9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\n"
      "[class counter]\nowner=o\npurpose=p\n";

static void
check_entries (const gs_catalogue_t *catalogue)
{
  for (int kind = 0; kind < GS_KIND_COUNT; kind++)
    for (size_t i = 0; i < gs_catalogue_count (catalogue, kind); i++)
      {
        const gs_entry_t *entry = gs_catalogue_at (catalogue, kind, i);

        if (gs_catalogue_find (catalogue, kind, entry->name) == NULL)
          abort ();
      }
}

static void
check_edit (const char *text, size_t size, bool whole)
{
  gs_catalogue_edit_t edit = { .text = text,
                               .length = size,
                               .whole = whole,
                               .operator_name = "dana",
                               .change_id = "fuzz" };
  GString *out = g_string_new (NULL);
  GPtrArray *conflicts = gs_catalogue_conflicts_new ();
  gs_catalogue_t *catalogue;

  if (gs_catalogue_edit (out, conflicts, base_text, &edit) == GS_OK
      && out->len > 0)
    {
      if (gs_catalogue_parse (&catalogue, out->str, out->len, "fuzz", NULL,
                              NULL)
          != GS_OK)
        abort ();
      gs_catalogue_unref (catalogue);
      g_ptr_array_unref (gs_catalogue_diff (base_text, out->str));
    }
  g_ptr_array_unref (conflicts);
  g_string_free (out, TRUE);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char *text = g_strndup ((const char *)data, size);
  gs_catalogue_t *catalogue;

  size = strlen (text);
  if (gs_catalogue_parse (&catalogue, text, size, "fuzz", NULL, NULL) == GS_OK)
    check_entries (catalogue);
  gs_catalogue_unref (catalogue);
  check_edit (text, size, false);
  check_edit (text, size, true);
  g_free (text);
  return 0;
}
