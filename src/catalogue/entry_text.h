/**
 * @file entry_text.h
 * Text form of a catalogue entry.  Stamps are the keys that only the system
 * writes; the content and the digest of an entry exclude them.
 */
#ifndef GS_CATALOGUE_ENTRY_TEXT_H
#define GS_CATALOGUE_ENTRY_TEXT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define GS_STAMP_VERSION "version"
#define GS_STAMP_CREATED "created"
#define GS_STAMP_CHANGED_BY "changed_by"
#define GS_STAMP_DIGEST "digest"

/** @return true if @p key is a stamp. */
bool gs_entry_key_is_stamp (const char *key);

/** @return the parsed text, freed with g_key_file_free(), or NULL with
    @p error set.  NULL is parsed as an empty text. */
GKeyFile *gs_entry_file_parse (const char *text, size_t length,
                               GError **error);

/** @return "[section]" and its sorted keys with their values, without
    stamps; NULL when the section is missing; freed with g_free(). */
char *gs_entry_content_format (GKeyFile *file, const char *section);

/** @return XXH3 digest of @p content as 16 hexadecimal digits; freed with
    g_free(). */
char *gs_entry_digest_compute (const char *content);

/** @return the number that is the value of a key, 0 when it is missing. */
uint64_t gs_entry_number_get (GKeyFile *file, const char *section,
                              const char *key);

/** Replace the keys of a section of @p to by those of @p from, with their
    comments.  No stamp is copied, but a stamp that @p from lacks is removed
    from @p to. */
void gs_entry_copy (GKeyFile *to, GKeyFile *from, const char *section);

#endif
