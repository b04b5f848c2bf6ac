/* Measures the time of parsing and editing catalogues of growing size.  */
#include "bench.h"

#include "garnetstack/catalogue_edit.h"
#include "garnetstack/clock.h"

#include <stdio.h>
#include <string.h>

#define ROUNDS 20

static GString *
make_text (unsigned accounts)
{
  GString *text = g_string_new (NULL);
  char *digest
      = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "operator", -1);

  g_string_append_printf (text,
                          "[operator dana]\nowner=o\npurpose=on call\n"
                          "class=counter\n"
                          "keys=%s\n"
                          "[class counter]\nowner=o\n"
                          "purpose=a clerk waits for the answer\nshare=50\n",
                          digest);
  g_free (digest);
  for (unsigned i = 0; i < accounts; i++)
    {
      char *key = g_strdup_printf ("key-%u", i);

      digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
      g_string_append_printf (text,
                              "[account shop-%u]\nowner=o\n"
                              "purpose=orders of one shop\nclass=counter\n"
                              "keys=%s\nrequests_per_sec=10\n",
                              i, digest);
      g_free (digest);
      g_free (key);
    }
  return text;
}

/* @return the text of the generation that results when an operator applies
   @p text to @p current.  */
static GString *
apply_edit (const char *current, const char *text)
{
  gs_catalogue_edit_t edit = { .text = text,
                               .length = strlen (text),
                               .operator_name = "dana",
                               .change_id = "bench" };
  GPtrArray *conflicts = gs_catalogue_conflicts_new ();
  GString *out = g_string_new (NULL);

  if (gs_catalogue_edit (out, conflicts, current, &edit) != GS_OK)
    fprintf (stderr, "gs_bench: %s\n", gs_error_last ());
  g_ptr_array_unref (conflicts);
  return out;
}

static double
parse_usec (const GString *text)
{
  gs_time_t started_at = gs_clock_now ();

  for (int i = 0; i < ROUNDS; i++)
    {
      gs_catalogue_t *catalogue;

      gs_catalogue_parse (&catalogue, text->str, text->len, "bench", NULL,
                          NULL);
      gs_catalogue_unref (catalogue);
    }
  return (double)(gs_clock_now () - started_at) / ROUNDS;
}

static double
edit_usec (const GString *current)
{
  static const char drain[]
      = "[vm engine-1]\nowner=o\npurpose=update\nclass=counter\n"
        "drain=true\n";
  gs_time_t started_at = gs_clock_now ();

  for (int i = 0; i < ROUNDS; i++)
    g_string_free (apply_edit (current->str, drain), TRUE);
  return (double)(gs_clock_now () - started_at) / ROUNDS;
}

int
bench_catalogue (int argc, char **argv)
{
  static const unsigned sizes[] = { 10, 100, 1000, 3000 };

  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    {
      GString *text = make_text (sizes[i]);
      GString *generation = apply_edit (NULL, text->str);

      printf ("catalogue accounts=%u bytes=%zu bytes_per_account=%zu "
              "parse_us=%.0f edit_us=%.0f\n",
              sizes[i], generation->len, generation->len / sizes[i],
              parse_usec (generation), edit_usec (generation));
      g_string_free (generation, TRUE);
      g_string_free (text, TRUE);
    }
  return 0;
}
