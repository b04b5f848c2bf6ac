#include "garnetstack/catalogue_edit.h"

#include "catalogue/catalogue_private.h"
#include "catalogue/entry_text.h"

#include <string.h>

/* Number of change ids kept in the header section.  A writer that lost the
   response finds its change here even after later changes by others.  */
#define RECENT_CHANGES_MAX 16

/* Size limit of one value in the store.  */
#define STORE_VALUE_BYTES_MAX ((size_t)1000000)

typedef struct
{
  const gs_catalogue_edit_t *edit;
  GKeyFile *current; /* becomes the next generation */
  GKeyFile *submitted;
  GPtrArray *conflicts;
  uint64_t read_generation; /* generation that the operator read */
  uint64_t generation;      /* of the result */
  unsigned changed_count;
} edit_merge_t;

static void
conflict_free (void *data)
{
  gs_catalogue_conflict_t *conflict = data;

  g_free (conflict->section);
  g_free (conflict->theirs);
  g_free (conflict->theirs_by);
  g_free (conflict->yours);
  g_free (conflict->yours_by);
  g_free (conflict);
}

GPtrArray *
gs_catalogue_conflicts_new (void)
{
  return g_ptr_array_new_with_free_func (conflict_free);
}

/* A deleted entry has no stamps, so the operator of the last change of the
   catalogue is named for the deletion.  */
static void
add_conflict (edit_merge_t *merge, const char *section)
{
  gs_catalogue_conflict_t *conflict = g_new0 (gs_catalogue_conflict_t, 1);

  conflict->section = g_strdup (section);
  conflict->theirs = gs_entry_content_format (merge->current, section);
  conflict->theirs_by = g_key_file_get_string (
      merge->current, conflict->theirs != NULL ? section : GS_CATALOGUE_HEADER,
      GS_STAMP_CHANGED_BY, NULL);
  conflict->theirs_version
      = gs_entry_number_get (merge->current, section, GS_STAMP_VERSION);
  if (merge->submitted != NULL)
    conflict->yours = gs_entry_content_format (merge->submitted, section);
  if (conflict->theirs == NULL)
    conflict->theirs = g_strdup ("");
  if (conflict->yours == NULL)
    conflict->yours = g_strdup ("");
  conflict->yours_by = g_strdup (merge->edit->operator_name);
  g_ptr_array_add (merge->conflicts, conflict);
}

static void
stamp_entry (edit_merge_t *merge, const char *section, const char *content)
{
  char *digest = gs_entry_digest_compute (content);

  if (!g_key_file_has_key (merge->current, section, GS_STAMP_CREATED, NULL))
    g_key_file_set_uint64 (merge->current, section, GS_STAMP_CREATED,
                           merge->generation);
  g_key_file_set_uint64 (merge->current, section, GS_STAMP_VERSION,
                         merge->generation);
  g_key_file_set_string (merge->current, section, GS_STAMP_CHANGED_BY,
                         merge->edit->operator_name);
  g_key_file_set_string (merge->current, section, GS_STAMP_DIGEST, digest);
  g_free (digest);
}

static bool
entry_is_edited (edit_merge_t *merge, const char *section, const char *content)
{
  char *digest = gs_entry_digest_compute (content);
  char *stamped_digest = g_key_file_get_string (merge->submitted, section,
                                                GS_STAMP_DIGEST, NULL);
  bool edited = g_strcmp0 (digest, stamped_digest) != 0;

  g_free (stamped_digest);
  g_free (digest);
  return edited;
}

static void
merge_entry (edit_merge_t *merge, const char *section)
{
  char *yours = gs_entry_content_format (merge->submitted, section);
  char *theirs = gs_entry_content_format (merge->current, section);
  bool has_version
      = g_key_file_has_key (merge->submitted, section, GS_STAMP_VERSION, NULL);
  uint64_t base_version
      = has_version
            ? gs_entry_number_get (merge->submitted, section, GS_STAMP_VERSION)
            : merge->read_generation;
  uint64_t current_version
      = gs_entry_number_get (merge->current, section, GS_STAMP_VERSION);

  if (g_strcmp0 (yours, theirs) == 0
      || !entry_is_edited (merge, section, yours))
    goto cleanup;
  if (theirs == NULL ? has_version : base_version < current_version)
    {
      add_conflict (merge, section);
      goto cleanup;
    }
  gs_entry_copy (merge->current, merge->submitted, section);
  stamp_entry (merge, section, yours);
  merge->changed_count++;

cleanup:
  g_free (theirs);
  g_free (yours);
}

static void
remove_entry (edit_merge_t *merge, const char *section)
{
  if (gs_entry_number_get (merge->current, section, GS_STAMP_VERSION)
      > merge->read_generation)
    {
      add_conflict (merge, section);
      return;
    }
  g_key_file_remove_group (merge->current, section, NULL);
  merge->changed_count++;
}

/* Deletes an entry that the submitted text lacks.  An entry that was created
   after the operator read the catalogue is kept, because the operator has
   never seen it.  */
static void
remove_missing_entry (edit_merge_t *merge, const char *section)
{
  if (gs_entry_number_get (merge->current, section, GS_STAMP_CREATED)
      <= merge->read_generation)
    remove_entry (merge, section);
}

static void
merge_sections (edit_merge_t *merge)
{
  char **yours = g_key_file_get_groups (merge->submitted, NULL);
  char **theirs = g_key_file_get_groups (merge->current, NULL);

  for (char **section = yours; *section != NULL; section++)
    if (strcmp (*section, GS_CATALOGUE_HEADER) != 0)
      merge_entry (merge, *section);
  for (char **section = theirs; merge->edit->whole && *section != NULL;
       section++)
    if (strcmp (*section, GS_CATALOGUE_HEADER) != 0
        && !g_key_file_has_group (merge->submitted, *section))
      remove_missing_entry (merge, *section);
  g_strfreev (theirs);
  g_strfreev (yours);
}

static void
stamp_header (edit_merge_t *merge)
{
  gsize count = 0;
  char **recent = g_key_file_get_string_list (
      merge->current, GS_CATALOGUE_HEADER, "recent", &count, NULL);
  const char *ids[RECENT_CHANGES_MAX] = { merge->edit->change_id };
  gsize kept = 1;

  for (gsize i = 0; i < count && kept < RECENT_CHANGES_MAX; i++)
    ids[kept++] = recent[i];
  g_key_file_set_uint64 (merge->current, GS_CATALOGUE_HEADER, "generation",
                         merge->generation);
  g_key_file_set_string (merge->current, GS_CATALOGUE_HEADER,
                         GS_STAMP_CHANGED_BY, merge->edit->operator_name);
  g_key_file_set_string (merge->current, GS_CATALOGUE_HEADER, "change_id",
                         merge->edit->change_id);
  g_key_file_set_string_list (merge->current, GS_CATALOGUE_HEADER, "recent",
                              ids, kept);
  g_strfreev (recent);
}

static gs_status_t
edit_fault_report (const gs_catalogue_edit_t *edit, const char *section,
                   const char *reason)
{
  if (edit->on_fault != NULL)
    edit->on_fault (edit->context, "edit", section, "-", reason);
  return gs_error_set (GS_EINVAL, "edit: [%s] %s", section, reason);
}

/* The result must be valid, fit into one value of the store and have an
   operator, without whom no further edit is possible.  */
static gs_status_t
check_result (const char *text, size_t length, const gs_catalogue_edit_t *edit)
{
  gs_catalogue_t *catalogue;
  gs_status_t status
      = gs_catalogue_parse (&catalogue, text, length, GS_CATALOGUE_HEADER,
                            edit->on_fault, edit->context);

  if (status == GS_OK && gs_catalogue_count (catalogue, GS_KIND_OPERATOR) == 0)
    status = edit_fault_report (edit, "operator",
                                "the catalogue needs at least one operator");
  gs_catalogue_unref (catalogue);
  if (status == GS_OK && length > STORE_VALUE_BYTES_MAX)
    status
        = edit_fault_report (edit, "*", "the catalogue exceeds 1000000 bytes");
  return status;
}

static gs_status_t
merge_load (edit_merge_t *merge, const char *current)
{
  const gs_catalogue_edit_t *edit = merge->edit;
  GError *error = NULL;
  gs_status_t status = GS_OK;

  merge->current = gs_entry_file_parse (
      current, current != NULL ? strlen (current) : 0, &error);
  if (merge->current != NULL && edit->text != NULL)
    merge->submitted = gs_entry_file_parse (edit->text, edit->length, &error);
  if (error != NULL)
    {
      status = edit_fault_report (edit, "-", error->message);
      g_error_free (error);
      return status;
    }
  merge->generation
      = gs_entry_number_get (merge->current, GS_CATALOGUE_HEADER, "generation")
        + 1;
  merge->read_generation = edit->generation;
  if (merge->read_generation == 0 && merge->submitted != NULL)
    merge->read_generation = gs_entry_number_get (
        merge->submitted, GS_CATALOGUE_HEADER, "generation");
  return GS_OK;
}

static gs_status_t
merge_finish (GString *out, edit_merge_t *merge)
{
  gsize length;
  char *text;
  gs_status_t status;

  if (merge->conflicts->len > 0)
    return gs_error_set (GS_ECONFLICT,
                         "%u entries have changed since they were "
                         "read",
                         merge->conflicts->len);
  if (merge->changed_count == 0)
    return GS_OK;
  stamp_header (merge);
  text = g_key_file_to_data (merge->current, &length, NULL);
  status = check_result (text, length, merge->edit);
  if (status == GS_OK)
    g_string_append_len (out, text, (gssize)length);
  g_free (text);
  return status;
}

gs_status_t
gs_catalogue_edit (GString *out, GPtrArray *conflicts, const char *current,
                   const gs_catalogue_edit_t *edit)
{
  edit_merge_t merge = { .edit = edit, .conflicts = conflicts };
  gs_status_t status = merge_load (&merge, current);

  if (status != GS_OK)
    goto cleanup;
  if (merge.submitted != NULL)
    merge_sections (&merge);
  if (edit->remove != NULL)
    {
      if (!g_key_file_has_group (merge.current, edit->remove))
        {
          status = gs_error_set (GS_ENOTFOUND, "no entry [%s]", edit->remove);
          goto cleanup;
        }
      remove_entry (&merge, edit->remove);
    }
  status = merge_finish (out, &merge);

cleanup:
  if (merge.submitted != NULL)
    g_key_file_free (merge.submitted);
  if (merge.current != NULL)
    g_key_file_free (merge.current);
  return status;
}

bool
gs_catalogue_has_change (const char *text, const char *change_id)
{
  GKeyFile *file = gs_entry_file_parse (text, strlen (text), NULL);
  char **recent = NULL;
  bool has_change;

  if (file == NULL)
    return false;
  recent = g_key_file_get_string_list (file, GS_CATALOGUE_HEADER, "recent",
                                       NULL, NULL);
  has_change = recent != NULL
               && g_strv_contains ((const char *const *)recent, change_id);
  g_strfreev (recent);
  g_key_file_free (file);
  return has_change;
}
