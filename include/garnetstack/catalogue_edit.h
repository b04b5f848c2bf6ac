/**
 * @file catalogue_edit.h
 * Edits of the catalogue text: the difference between two generations, and
 * the merge of an operator's text into the current generation.
 *
 * Each entry has stamps, keys that only the system writes: "version" (the
 * generation in which the entry last changed), "created" (the generation that
 * added it), "changed_by" (the operator of the last change) and "digest" (of
 * the keys that are not stamps).  A submitted text keeps the stamps that the
 * operator read.  An entry whose digest still matches was not edited, and an
 * edited entry conflicts only if the same entry has changed since it was read.
 */
#ifndef GARNETSTACK_CATALOGUE_EDIT_H
#define GARNETSTACK_CATALOGUE_EDIT_H

#include "garnetstack/catalogue.h"

#include <glib.h>

/** One key that differs between two texts. */
typedef struct
{
  char *section;
  char *key;
  char *before; /**< NULL when the key is new */
  char *after;  /**< NULL when the key was removed */
} gs_catalogue_change_t;

/** Conflict between two operators' changes of one entry. */
typedef struct
{
  char *section;
  char *theirs; /**< entry in the current text, "" when it was deleted */
  char *theirs_by;
  uint64_t theirs_version;
  char *yours; /**< entry as submitted, "" for a deletion */
  char *yours_by;
} gs_catalogue_conflict_t;

/** An operator's edit. */
typedef struct
{
  const char *text; /**< entries to merge; NULL when only removing */
  size_t length;
  const char *remove;  /**< section to delete, or NULL */
  uint64_t generation; /**< generation that was read, or version of the entry
                            to remove; 0: the generation that the text names */
  bool whole;          /**< delete the entries that are not in the text */
  const char *operator_name;
  const char *change_id;
  gs_fault_cb_t on_fault; /**< may be NULL */
  void *context;          /**< passed to on_fault */
} gs_catalogue_edit_t;

/** @return the differences between two texts as an array of
    gs_catalogue_change_t, without stamps and in the order of the texts; freed
    with g_ptr_array_unref(). */
GPtrArray *gs_catalogue_diff (const char *before, const char *after);

/** @return an empty array of gs_catalogue_conflict_t; freed with
    g_ptr_array_unref(). */
GPtrArray *gs_catalogue_conflicts_new (void);

/**
 * Merge an edit into the current generation.
 * @param out receives the text of the next generation; nothing is appended
 * when the edit changes nothing or fails
 * @param conflicts receives gs_catalogue_conflict_t
 * @param current text of the current generation, NULL before the first one
 * @return GS_OK; GS_ECONFLICT with @p conflicts filled; GS_ENOTFOUND when the
 * entry to remove does not exist; GS_EINVAL when the result has faults
 */
gs_status_t gs_catalogue_edit (GString *out, GPtrArray *conflicts,
                               const char *current,
                               const gs_catalogue_edit_t *edit);

/** @return true if the change @p change_id made @p text or one of the 15
    generations before it. */
bool gs_catalogue_has_change (const char *text, const char *change_id);

#endif
