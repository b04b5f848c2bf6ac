#include "check.h"

#include "garnetstack/catalogue_edit.h"

#include <string.h>

#define DIGEST                                                                \
  "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
#define OPERATOR                                                              \
  "[operator dana]\nowner=o\npurpose=p\nclass=counter\nkeys=" DIGEST "\n"
#define COUNTER "[class counter]\nowner=o\npurpose=p\nshare=10\n"
#define BATCH "[class batch]\nowner=o\npurpose=p\nshare=5\n"

static GString *
edit_apply (const char *current, const gs_catalogue_edit_t *edit,
            gs_status_t *status, GPtrArray *conflicts)
{
  GString *out = g_string_new (NULL);

  *status = gs_catalogue_edit (out, conflicts, current, edit);
  return out;
}

/* @return the text of the first generation, submitted by "dana".  */
static char *
first_generation (void)
{
  static const char text[] = OPERATOR COUNTER BATCH;
  gs_catalogue_edit_t edit = { .text = text,
                               .length = sizeof text - 1,
                               .operator_name = "dana",
                               .change_id = "c1" };
  GPtrArray *conflicts = gs_catalogue_conflicts_new ();
  gs_status_t status;
  GString *out = edit_apply (NULL, &edit, &status, conflicts);

  CU_ASSERT_EQUAL_FATAL (status, GS_OK);
  g_ptr_array_unref (conflicts);
  return g_string_free (out, FALSE);
}

/* @return @p text with the first occurrence of @p from replaced by @p to.  */
static char *
text_replace (const char *text, const char *from, const char *to)
{
  const char *start = strstr (text, from);

  CU_ASSERT_PTR_NOT_NULL_FATAL (start);
  return g_strdup_printf ("%.*s%s%s", (int)(start - text), text, to,
                          start + strlen (from));
}

/* @return @p text without the section that starts with @p head.  */
static char *
section_remove (const char *text, const char *head)
{
  const char *start = strstr (text, head);
  const char *end;

  CU_ASSERT_PTR_NOT_NULL_FATAL (start);
  if (start == NULL)
    return NULL;
  end = strstr (start + 1, "\n[");
  return g_strdup_printf ("%.*s%s", (int)(start - text), text,
                          end != NULL ? end + 1 : "");
}

static GString *
edit_submit (const char *current, const char *text, const char *operator_name,
             bool whole, gs_status_t *status, GPtrArray *conflicts)
{
  gs_catalogue_edit_t edit = { .text = text,
                               .length = strlen (text),
                               .whole = whole,
                               .operator_name = operator_name,
                               .change_id = operator_name };

  return edit_apply (current, &edit, status, conflicts);
}

typedef struct
{
  const char *name;
  const char *first_from; /* text that the first operator replaces */
  const char *first_to;
  const char *second_from; /* replaced by the second in the same text */
  const char *second_to;
  gs_status_t status;
  const char *expected[2]; /* substrings of the result */
} concurrent_edits_t;

static void
concurrent_edits_merge_unless_they_change_one_entry (void)
{
  static const concurrent_edits_t races[] = {
    { "different entries merge",
      "share=10",
      "share=20",
      "share=5",
      "share=6",
      GS_OK,
      { "share=20", "share=6" } },
    { "the same entry conflicts",
      "share=10",
      "share=20",
      "share=10",
      "share=30",
      GS_ECONFLICT,
      { NULL, NULL } },
    { "other keys of one entry conflict",
      "share=10",
      "share=20",
      "[class counter]\n",
      "[class counter]\npriority=0\n",
      GS_ECONFLICT,
      { NULL, NULL } },
    { "an identical second change changes nothing",
      "share=10",
      "share=20",
      "share=10",
      "share=20",
      GS_OK,
      { NULL, NULL } },
    { "an entry added beside another's change",
      "share=10",
      "share=20",
      "[class batch]",
      "[class night]\nowner=o\npurpose=p\n\n[class batch]",
      GS_OK,
      { "share=20", "[class night]" } },
  };

  for (size_t i = 0; i < sizeof races / sizeof *races; i++)
    {
      const concurrent_edits_t *race = &races[i];
      char *read = first_generation ();
      char *first = text_replace (read, race->first_from, race->first_to);
      char *second = text_replace (read, race->second_from, race->second_to);
      GPtrArray *conflicts = gs_catalogue_conflicts_new ();
      gs_status_t status;
      GString *after_first
          = edit_submit (read, first, "ana", true, &status, conflicts);
      GString *after_second;

      CU_ASSERT_EQUAL (status, GS_OK);
      after_second = edit_submit (after_first->str, second, "ben", true,
                                  &status, conflicts);
      CU_ASSERT_EQUAL (status, race->status);
      CU_ASSERT_EQUAL (conflicts->len, status == GS_ECONFLICT ? 1 : 0);
      for (int part = 0; part < 2 && race->expected[part] != NULL; part++)
        CU_ASSERT_PTR_NOT_NULL (
            strstr (after_second->str, race->expected[part]));
      g_string_free (after_second, TRUE);
      g_string_free (after_first, TRUE);
      g_ptr_array_unref (conflicts);
      g_free (second);
      g_free (first);
      g_free (read);
    }
}

static void
a_conflict_shows_both_changes_and_their_operators (void)
{
  char *read = first_generation ();
  char *first = text_replace (read, "share=10", "share=20");
  char *second = text_replace (read, "share=10", "share=30");
  GPtrArray *conflicts = gs_catalogue_conflicts_new ();
  gs_status_t status;
  GString *after_first
      = edit_submit (read, first, "ana", false, &status, conflicts);
  GString *after_second = edit_submit (after_first->str, second, "ben", false,
                                       &status, conflicts);
  const gs_catalogue_conflict_t *conflict;

  CU_ASSERT_EQUAL_FATAL (conflicts->len, 1);
  conflict = conflicts->pdata[0];
  CU_ASSERT_STRING_EQUAL (conflict->section, "class counter");
  CU_ASSERT_STRING_EQUAL (conflict->theirs_by, "ana");
  CU_ASSERT_STRING_EQUAL (conflict->yours_by, "ben");
  CU_ASSERT_EQUAL (conflict->theirs_version, 2);
  CU_ASSERT_PTR_NOT_NULL (strstr (conflict->theirs, "share=20"));
  CU_ASSERT_PTR_NOT_NULL (strstr (conflict->yours, "share=30"));
  g_string_free (after_second, TRUE);
  g_string_free (after_first, TRUE);
  g_ptr_array_unref (conflicts);
  g_free (second);
  g_free (first);
  g_free (read);
}

/* A whole text deletes the entries that it lacks, except those that were
   created after the operator read the catalogue.  */
static void
a_whole_text_deletes_only_entries_that_were_read (void)
{
  static const struct
  {
    const char *first_from;
    const char *first_to;
    gs_status_t status;
  } cases[] = {
    { "share=10", "share=20", GS_OK },
    { "share=5", "share=6", GS_ECONFLICT },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      char *read = first_generation ();
      char *first
          = text_replace (read, cases[i].first_from, cases[i].first_to);
      char *added = text_replace (first, "[class batch]",
                                  "[class night]\nowner=o\npurpose=p\n\n"
                                  "[class batch]");
      char *second = section_remove (read, "[class batch]");
      GPtrArray *conflicts = gs_catalogue_conflicts_new ();
      gs_status_t status;
      GString *after_first
          = edit_submit (read, added, "ana", true, &status, conflicts);
      GString *after_second = edit_submit (after_first->str, second, "ben",
                                           true, &status, conflicts);

      CU_ASSERT_EQUAL (status, cases[i].status);
      if (status == GS_OK)
        {
          CU_ASSERT_PTR_NULL (strstr (after_second->str, "[class batch]"));
          CU_ASSERT_PTR_NOT_NULL (strstr (after_second->str, "[class night]"));
        }
      g_string_free (after_second, TRUE);
      g_string_free (after_first, TRUE);
      g_ptr_array_unref (conflicts);
      g_free (second);
      g_free (added);
      g_free (first);
      g_free (read);
    }
}

static void
entries_not_in_a_partial_text_stay (void)
{
  char *read = first_generation ();
  GPtrArray *conflicts = gs_catalogue_conflicts_new ();
  gs_status_t status;
  GString *out = edit_submit (
      read, "[vm ne-a-1]\nowner=o\npurpose=p\nclass=counter\ndrain=true\n",
      "ana", false, &status, conflicts);

  CU_ASSERT_EQUAL (status, GS_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (out->str, "[class batch]"));
  CU_ASSERT_PTR_NOT_NULL (strstr (out->str, "drain=true"));
  CU_ASSERT_PTR_NOT_NULL (strstr (out->str, "generation=2"));
  g_string_free (out, TRUE);
  g_ptr_array_unref (conflicts);
  g_free (read);
}

static void
a_removal_needs_the_version_that_was_read (void)
{
  static const struct
  {
    const char *section;
    uint64_t generation;
    gs_status_t status;
  } cases[] = {
    { "class batch", 1, GS_OK },
    { "class batch", 0, GS_ECONFLICT },
    { "class none", 1, GS_ENOTFOUND },
    { "operator dana", 1, GS_EINVAL },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      gs_catalogue_edit_t edit = { .remove = cases[i].section,
                                   .generation = cases[i].generation,
                                   .operator_name = "ana",
                                   .change_id = "c2" };
      char *read = first_generation ();
      GPtrArray *conflicts = gs_catalogue_conflicts_new ();
      gs_status_t status;
      GString *out = edit_apply (read, &edit, &status, conflicts);

      CU_ASSERT_EQUAL (status, cases[i].status);
      CU_ASSERT_EQUAL (out->len > 0, status == GS_OK);
      g_string_free (out, TRUE);
      g_ptr_array_unref (conflicts);
      g_free (read);
    }
}

static void
a_result_above_the_store_limit_is_rejected (void)
{
  char *filler = g_strnfill (1000000, 'x');
  char *text
      = g_strdup_printf ("[class night]\nowner=o\npurpose=%s\n", filler);
  char *read = first_generation ();
  GPtrArray *conflicts = gs_catalogue_conflicts_new ();
  gs_status_t status;
  GString *out = edit_submit (read, text, "ana", false, &status, conflicts);

  CU_ASSERT_EQUAL (status, GS_EINVAL);
  CU_ASSERT_EQUAL (out->len, 0);
  g_string_free (out, TRUE);
  g_ptr_array_unref (conflicts);
  g_free (read);
  g_free (text);
  g_free (filler);
}

static void
only_changed_entries_are_stamped (void)
{
  char *read = first_generation ();
  char *text = text_replace (read, "share=5", "share=6");
  GPtrArray *conflicts = gs_catalogue_conflicts_new ();
  gs_status_t status;
  GString *out = edit_submit (read, text, "ana", true, &status, conflicts);
  gs_catalogue_t *catalogue;
  const gs_entry_t *entry;

  CU_ASSERT_EQUAL_FATAL (
      gs_catalogue_parse (&catalogue, out->str, out->len, "t", NULL, NULL),
      GS_OK);
  entry = gs_catalogue_find (catalogue, GS_KIND_CLASS, "batch");
  CU_ASSERT_EQUAL (entry->version, 2);
  CU_ASSERT_STRING_EQUAL (entry->changed_by, "ana");
  entry = gs_catalogue_find (catalogue, GS_KIND_CLASS, "counter");
  CU_ASSERT_EQUAL (entry->version, 1);
  CU_ASSERT_STRING_EQUAL (entry->changed_by, "dana");
  CU_ASSERT_TRUE (gs_catalogue_has_change (out->str, "c1"));
  CU_ASSERT_TRUE (gs_catalogue_has_change (out->str, "ana"));
  CU_ASSERT_FALSE (gs_catalogue_has_change (out->str, "ben"));
  gs_catalogue_unref (catalogue);
  g_string_free (out, TRUE);
  g_ptr_array_unref (conflicts);
  g_free (text);
  g_free (read);
}

static void
a_difference_names_section_key_and_values (void)
{
  static const struct
  {
    const char *before;
    const char *after;
    size_t count;
    const char *key; /* of the first change */
    const char *old_value;
    const char *new_value;
  } cases[] = {
    { COUNTER, COUNTER, 0, NULL, NULL, NULL },
    { COUNTER, "[class counter]\nowner=o\npurpose=p\nshare=11\n", 1, "share",
      "10", "11" },
    { COUNTER, "[class counter]\nowner=o\npurpose=p\n", 1, "share", "10",
      NULL },
    { COUNTER, COUNTER "priority=2\n", 1, "priority", NULL, "2" },
    { COUNTER, COUNTER "version=3\ndigest=x\n", 0, NULL, NULL, NULL },
    { COUNTER, "", 3, "owner", "o", NULL },
    { "", COUNTER, 3, "owner", NULL, "o" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      GPtrArray *changes = gs_catalogue_diff (cases[i].before, cases[i].after);

      CU_ASSERT_EQUAL_FATAL (changes->len, cases[i].count);
      if (changes->len > 0)
        {
          const gs_catalogue_change_t *change = changes->pdata[0];

          CU_ASSERT_STRING_EQUAL (change->section, "class counter");
          CU_ASSERT_EQUAL (g_strcmp0 (change->key, cases[i].key), 0);
          CU_ASSERT_EQUAL (g_strcmp0 (change->before, cases[i].old_value), 0);
          CU_ASSERT_EQUAL (g_strcmp0 (change->after, cases[i].new_value), 0);
        }
      g_ptr_array_unref (changes);
    }
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "concurrent_edits_merge_unless_they_change_one_entry",
      concurrent_edits_merge_unless_they_change_one_entry },
    { "a_conflict_shows_both_changes_and_their_operators",
      a_conflict_shows_both_changes_and_their_operators },
    { "a_whole_text_deletes_only_entries_that_were_read",
      a_whole_text_deletes_only_entries_that_were_read },
    { "entries_not_in_a_partial_text_stay",
      entries_not_in_a_partial_text_stay },
    { "a_removal_needs_the_version_that_was_read",
      a_removal_needs_the_version_that_was_read },
    { "a_result_above_the_store_limit_is_rejected",
      a_result_above_the_store_limit_is_rejected },
    { "only_changed_entries_are_stamped", only_changed_entries_are_stamped },
    { "a_difference_names_section_key_and_values",
      a_difference_names_section_key_and_values },
  };

  return CHECK_RUN ("catalogue_edit", cases);
}
