/**
 * @file stored_record.h
 * Keeps one object of the store equal to what this process knows.  The object
 * is read before it is written, and read again when its content is in doubt:
 * after a conflict or a lost response, and in each new era of the store, which
 * may have brought back an older object or none.  What the object holds and
 * how it is merged is up to callbacks, which need not handle eras or failures.
 * Runs on the control thread.
 */
#ifndef GS_FLEET_STORED_RECORD_H
#define GS_FLEET_STORED_RECORD_H

#include "garnetstack/object_store.h"

/** What a record holds. */
typedef struct
{
  void *context; /**< first argument of each function */
  /** Merge what the store has into what this process knows.
      @param object the store's object; NULL if it has none */
  void (*merge) (void *context, gs_time_t now, const gs_object_t *object);
  /** @return the value to write, owned by the caller; NULL if the object, as
      last merged or written, lacks nothing that this process knows */
  json_t *(*encode) (void *context, gs_time_t now);
  /** The store has taken the value of the last encode(). */
  void (*written) (void *context);
} stored_record_content_t;

typedef struct stored_record stored_record_t;

/**
 * @param out receives the record, freed with stored_record_destroy()
 * @param store borrowed
 * @param kind, name of the object; literals
 * @param content copied
 */
void stored_record_create (stored_record_t **out,
                           const gs_object_store_t *store, const char *kind,
                           const char *name,
                           const stored_record_content_t *content);

/** Free the record, which may be NULL.  No call to the store may be open. */
void stored_record_destroy (stored_record_t *record);

/** Read the object again at the next tick. */
void stored_record_read_request (stored_record_t *record);

/** Make the call to the store that is due.  To be called often.
    @param follows whether a new era makes this process read the object again
    and write what it lacks
    @param writes whether this process writes changes of its own accord; one
    that does not writes only what the object lacks right after a read */
void stored_record_tick (stored_record_t *record, gs_time_t now, bool follows,
                         bool writes);

#endif
