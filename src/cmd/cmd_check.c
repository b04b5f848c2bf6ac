#include "cmd/cmd.h"
#include "cmd/options.h"

#include "garnetstack/catalogue.h"
#include "garnetstack/settings.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

static void
print_fault (void *context, const char *file, const char *section,
             const char *key, const char *reason)
{
  unsigned *faults = context;

  (*faults)++;
  printf ("%s: [%s] %s: %s\n", file, section, key, reason);
}

/* Only settings files have a [node] section; other files are parsed as a
   catalogue.  */
static void
check_file (const char *path, unsigned *faults)
{
  gs_settings_t settings;
  gs_catalogue_t *catalogue;
  char *text;
  gsize length;
  GError *error = NULL;

  if (!g_file_get_contents (path, &text, &length, &error))
    {
      print_fault (faults, path, "-", "-", error->message);
      g_error_free (error);
      return;
    }
  if (g_str_has_prefix (text, "[node]") || strstr (text, "\n[node]") != NULL)
    gs_settings_read (&settings, path, print_fault, faults);
  else if (gs_catalogue_parse (&catalogue, text, length, path, print_fault,
                               faults)
           == GS_OK)
    gs_catalogue_unref (catalogue);
  g_free (text);
}

int
gs_cmd_check (int argc, char **argv)
{
  const gs_options_spec_t spec
      = { "check",
          "FILE... - report every fault of settings or catalogue files", NULL,
          NULL };
  unsigned faults = 0;
  int result;

  if (!gs_options_parse (&spec, &argc, &argv, &result))
    return result;
  if (argc < 2)
    {
      fprintf (stderr, "garnetstack check: no file given\n");
      return GS_EXIT_USAGE;
    }
  for (int i = 1; i < argc; i++)
    check_file (argv[i], &faults);
  printf ("files=%d faults=%u\n", argc - 1, faults);
  return faults == 0 ? GS_EXIT_OK : GS_EXIT_REJECTED;
}
