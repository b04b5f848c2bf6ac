/**
 * @file catalogue_private.h
 * Private data of a catalogue, shared by its parser and validator.
 */
#ifndef GS_CATALOGUE_CATALOGUE_PRIVATE_H
#define GS_CATALOGUE_CATALOGUE_PRIVATE_H

#include "garnetstack/catalogue.h"

#include <glib.h>
#include <stdatomic.h>

/** Header section, with the generation and the last change. */
#define GS_CATALOGUE_HEADER "catalogue"

/** Storage large enough for an entry of any kind. */
typedef union
{
  gs_entry_t entry;
  gs_class_t class_entry;
  gs_account_t account;
  gs_pool_t pool;
  gs_model_t model;
  gs_service_t service;
  gs_vm_entry_t vm;
  gs_operator_t operator_entry;
} gs_any_entry_t;

struct gs_catalogue
{
  atomic_uint references;
  uint64_t generation;
  char *change_id;
  char *text;
  GPtrArray *owned; /**< strings and string lists, freed with the catalogue */
  GPtrArray *entries[GS_KIND_COUNT]; /**< gs_any_entry_t, owned */
  GHashTable *by_name[GS_KIND_COUNT];
  GHashTable *account_keys;  /**< key digest to gs_account_t */
  GHashTable *operator_keys; /**< key digest to gs_operator_t */
};

/** State of the parser. */
typedef struct
{
  gs_catalogue_t *catalogue;
  GKeyFile *file;
  const char *source; /**< name to show in faults */
  gs_fault_cb_t on_fault;
  void *context;
  unsigned faults;
} gs_catalogue_parser_t;

/** @return a catalogue without entries that holds a copy of @p text. */
gs_catalogue_t *gs_catalogue_new (const char *text, size_t length);

/** Report one fault and count it. */
void gs_catalogue_fault_report (gs_catalogue_parser_t *parser,
                                const char *section, const char *key,
                                const char *reason);

/** @return the value of a key, owned by the catalogue, or NULL when it is
    missing or empty, which is a fault if @p required. */
const char *gs_catalogue_string_read (gs_catalogue_parser_t *parser,
                                      const char *section, const char *key,
                                      bool required);

/** Resolve the references between entries and check their shares and limits.
    Faults are added to @p parser. */
void gs_catalogue_validate (gs_catalogue_parser_t *parser);

#endif
