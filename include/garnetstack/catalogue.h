/**
 * @file catalogue.h
 * The catalogue is the configuration that operators edit.  A gs_catalogue_t
 * is one immutable generation of all entries, parsed from INI text and
 * validated as a whole.
 *
 * Sections are named "KIND NAME", for example "[account shop]".  The header
 * section "[catalogue]" holds the generation, the id of the last change and
 * the operator who made it.
 */
#ifndef GARNETSTACK_CATALOGUE_H
#define GARNETSTACK_CATALOGUE_H

#include "garnetstack/settings.h"
#include "garnetstack/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct gs_catalogue gs_catalogue_t;

typedef enum
{
  GS_KIND_OPERATOR,
  GS_KIND_CLASS,
  GS_KIND_ACCOUNT,
  GS_KIND_MODEL,
  GS_KIND_ADAPTER,
  GS_KIND_POOL,
  GS_KIND_SERVICE,
  GS_KIND_VM,
  GS_KIND_COUNT
} gs_kind_t;

/** Fields that all kinds of entries share.  The catalogue owns the strings. */
typedef struct
{
  gs_kind_t kind;
  const char *name;
  const char *owner;
  const char *purpose;
  uint64_t version;       /**< generation in which the entry last changed */
  const char *changed_by; /**< operator of that change, NULL if unknown */
} gs_entry_t;

/** Service class: latency targets and resource limits of its requests. */
typedef struct
{
  gs_entry_t entry;
  unsigned priority;       /**< 0 is the highest */
  uint64_t first_token_ms; /**< target of the time to the first token */
  uint64_t token_ms;       /**< target of the time between tokens */
  unsigned share;          /**< weight under contention */
  bool reclaimable;        /**< may be served by reclaimable VMs */
  unsigned weight_cost;    /**< weight of cost in the choice of an
                              upstream, percent; the rest is that of
                              recomputed tokens */
  uint64_t in_flight_max;
} gs_class_t;

/** Client account. */
typedef struct
{
  gs_entry_t entry;
  const char *const *key_digests; /**< hexadecimal SHA-256, NULL-terminated */
  const gs_class_t *class_ref;
  uint64_t requests_per_sec;
  uint64_t tokens_per_sec;
  uint64_t in_flight_max;
} gs_account_t;

/** Pool of model replicas. */
typedef struct
{
  gs_entry_t entry;
  const char *model; /**< name of the model entry that the pool serves */
  const gs_class_t *class_ref;
  unsigned replicas_min;
  unsigned replicas_max;
} gs_pool_t;

/** Model, or adapter of a base model. */
typedef struct
{
  gs_entry_t entry;
  const char *base; /**< base model of an adapter, NULL for a model */
  const char *const *versions;
  const char *active; /**< version in use */
  const gs_class_t *class_ref;
  uint64_t in_flight_max; /**< requests for this model, over all accounts */
} gs_model_t;

/** Plain service, which is not a model engine. */
typedef struct
{
  gs_entry_t entry;
  const gs_class_t *class_ref;
  const char *const *routes;     /**< path prefixes that are forwarded */
  const char *const *idempotent; /**< path prefixes that may be retried */
  bool checks_fencing;           /**< verifies the fencing token */
  bool honours_key; /**< de-duplicates requests by Idempotency-Key */
  uint64_t in_flight_max;
} gs_service_t;

/** Operator's settings for one upstream VM or entry VM. */
typedef struct
{
  gs_entry_t entry;
  const gs_class_t *class_ref;
  bool drain;
  uint64_t in_flight_max; /**< limit of each node's requests to an upstream */
} gs_vm_entry_t;

/** Operator who may edit the catalogue. */
typedef struct
{
  gs_entry_t entry;
  const char *const *key_digests;
  const gs_class_t *class_ref;
  uint64_t changes_per_hour; /**< limit on each node that receives changes */
} gs_operator_t;

/**
 * Parse and validate one generation.
 * @param out receives the catalogue, released with gs_catalogue_unref();
 * set to NULL on failure
 * @param name file name or object key to show in faults
 * @param on_fault called for each fault; may be NULL
 * @param context passed to @p on_fault
 * @return GS_OK, or GS_EINVAL when the text has any fault
 */
gs_status_t gs_catalogue_parse (gs_catalogue_t **out, const char *text,
                                size_t length, const char *name,
                                gs_fault_cb_t on_fault, void *context);

/** Add a reference; may be called by any thread.  @return @p catalogue. */
gs_catalogue_t *gs_catalogue_ref (gs_catalogue_t *catalogue);

/** Drop a reference and free the catalogue with the last one; NULL is
    allowed. */
void gs_catalogue_unref (gs_catalogue_t *catalogue);

/** @return the generation, which increases with each change. */
uint64_t gs_catalogue_generation (const gs_catalogue_t *catalogue);

/** @return id of the change that created this generation, "" if the text
    names none; owned by the catalogue. */
const char *gs_catalogue_change_id (const gs_catalogue_t *catalogue);

/** @return the text that was parsed; owned by the catalogue. */
const char *gs_catalogue_text (const gs_catalogue_t *catalogue);

/** @return number of entries of a kind. */
size_t gs_catalogue_count (const gs_catalogue_t *catalogue, gs_kind_t kind);

/** @return entry @p index of a kind, which the caller casts to the type of
    that kind. */
const gs_entry_t *gs_catalogue_at (const gs_catalogue_t *catalogue,
                                   gs_kind_t kind, size_t index);

/** @return the entry of this kind and name, or NULL. */
const gs_entry_t *gs_catalogue_find (const gs_catalogue_t *catalogue,
                                     gs_kind_t kind, const char *name);

/** @return name of the model that serves requests for the model or adapter
    @p name, or NULL when @p name is neither; owned by the catalogue. */
const char *gs_catalogue_model_resolve (const gs_catalogue_t *catalogue,
                                        const char *name);

/** @return the account with this bearer key, or NULL. */
const gs_account_t *
gs_catalogue_account_find_by_key (const gs_catalogue_t *catalogue,
                                  const char *key);

/** @return the operator with this bearer key, or NULL. */
const gs_operator_t *
gs_catalogue_operator_find_by_key (const gs_catalogue_t *catalogue,
                                   const char *key);

/** @return the lower-case name of a kind, as used in section names. */
const char *gs_kind_name (gs_kind_t kind);

/** @return GS_OK with @p out set to the kind named @p word, or GS_EINVAL. */
gs_status_t gs_kind_parse (gs_kind_t *out, const char *word);

#endif
