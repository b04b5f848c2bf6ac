/**
 * @file quarantine.h
 * Finds out which parts of prompts and which single requests make replicas
 * crash, and keeps them from replicas.
 *
 * A loss is an attempt whose connection its replica broke off.  It speaks
 * against the request itself and against each shared part of its prompt until
 *  - the request, or one with that part, is answered,
 *  - the same process answers a request that was sent later, so that it has
 *    not crashed, or
 *  - a part that is in quarantine explains it.
 * A part is put into quarantine when it is left with several losses, each of
 * another process and another one of a request that was sent after the loss
 * before, so that one failure of many replicas or connections counts once.
 * More losses suffice that only happened at different times, and of a request,
 * which is seldom sent several times at once, as few of these.
 *
 * Nodes tell each other losses and quarantines; what is known of a loss only
 * grows, so a message that arrives late or twice changes nothing.  Plain
 * tables; the functions read no clock and do no I/O.
 */
#ifndef GS_POLICY_QUARANTINE_H
#define GS_POLICY_QUARANTINE_H

#include "garnetstack/clock.h"
#include "wire/row_codec.h"

#include <glib.h>

/** How long a part or a request stays in quarantine, and how long a loss is
 * remembered. */
#define QUARANTINE_TTL (600 * GS_SEC)
/** Losses and quarantines in a message; the latest ones are sent. */
#define QUARANTINE_LOSSES_SENT_MAX 512
#define QUARANTINE_KEYS_MAX 256

/** What is looked at in a request. */
typedef struct
{
  uint32_t service;      /**< hash of the name of its service */
  uint64_t request;      /**< hash that all repeats of the request have */
  uint64_t prompt;       /**< hash of the whole prompt */
  const uint64_t *parts; /**< parts of the prompt that other requests may
                              share, in its order */
  unsigned part_count;
} quarantine_subject_t;

/** A loss in a message: ages in place of times, as clocks differ. */
typedef struct
{
  uint64_t key;    /**< the part or request that it speaks against */
  uint64_t prompt; /**< hash of the whole prompt */
  uint64_t process;
  uint32_t service;
  uint64_t sent_age_ms; /**< of the request */
  uint64_t lost_age_ms;
  uint64_t position;   /**< of the part in its prompt */
  uint64_t cleared;    /**< 1 if it does not speak against the key any more */
  uint64_t is_request; /**< 1 if the key is a request */
} quarantine_loss_row_t;

/** A part or a request in quarantine, in a message. */
typedef struct
{
  uint64_t key;
  uint64_t age_ms;     /**< since it was put into quarantine, or released */
  uint64_t is_request; /**< 1 if the key is a request */
  uint64_t released;   /**< 1 if a request with it was answered since */
} quarantine_key_row_t;

/** What nodes tell each other. */
typedef struct
{
  gs_time_t made_at; /**< the ages hold at this time; not sent */
  GArray *losses;    /**< of quarantine_loss_row_t */
  GArray *keys;      /**< of quarantine_key_row_t */
} quarantine_rows_t;

/** Set up empty rows, freed with quarantine_rows_clear(). */
void quarantine_rows_init (quarantine_rows_t *rows);
void quarantine_rows_clear (quarantine_rows_t *rows);

/** Encode rows as two elements of an array. */
void quarantine_rows_pack (msgpack_packer *out, const quarantine_rows_t *rows);

/** Read two elements, if there are any: older versions do not send them. */
void quarantine_rows_read (row_reader_t *reader, quarantine_rows_t *out);

typedef struct quarantine quarantine_t;

/** @param out receives an empty table, freed with quarantine_destroy()
    @param decides false for a table that only passes on what others know */
void quarantine_create (quarantine_t **out, bool decides);
void quarantine_destroy (quarantine_t *quarantine);

/** Set how long a quarantine lasts, at most QUARANTINE_TTL, which applies
    unless set; 0 to put nothing into quarantine. */
void quarantine_ttl_set (quarantine_t *quarantine, gs_time_t ttl);

/** Record that a replica broke off the connection of an attempt.
    @param process stands for the process of the replica */
void quarantine_loss_record (quarantine_t *quarantine, gs_time_t now,
                             const quarantine_subject_t *subject,
                             uint64_t process, gs_time_t sent_at);

/** Record that a request was answered with success.  This also ends the
    quarantine of the request and its parts. */
void quarantine_success_record (quarantine_t *quarantine, gs_time_t now,
                                const quarantine_subject_t *subject);

/** Record that a process has begun to answer a request.
    @param sent_at when the request was sent */
void quarantine_process_answer_record (quarantine_t *quarantine, gs_time_t now,
                                       uint64_t process, gs_time_t sent_at);

/** @return when the quarantine of the request or a part of it ends; 0 if none
    is in quarantine */
gs_time_t quarantine_end (const quarantine_t *quarantine, gs_time_t now,
                          const quarantine_subject_t *subject);

/** Put the keys into quarantine that have lost enough, unless the table only
    passes on what others know, and drop what has expired.
    @return number of keys that were put into quarantine */
unsigned quarantine_update (quarantine_t *quarantine, gs_time_t now);

/** Add what another table has exported.
    @param now time at which the ages hold */
void quarantine_import (quarantine_t *quarantine, gs_time_t now,
                        const quarantine_rows_t *rows);

/** Append what other nodes have to know: losses that are new or were cleared
    lately, all quarantines, and what was released within QUARANTINE_TTL as far
    as there is room.
    @param out initialized */
void quarantine_export (quarantine_t *quarantine, gs_time_t now,
                        quarantine_rows_t *out);

/** Append the keys that are in quarantine, and those that have been released
    within QUARANTINE_TTL.
    @param out of quarantine_key_row_t */
void quarantine_keys_export (quarantine_t *quarantine, gs_time_t now,
                             GArray *out);

/** @param out receives what quarantine_keys_export() says of a key
    @return false if it says nothing */
bool quarantine_key_find (const quarantine_t *quarantine, gs_time_t now,
                          uint64_t key, quarantine_key_row_t *out);

/** Put a key into quarantine or release it, as a later decision of another
    node says, whatever this table has seen of the key. */
void quarantine_key_set (quarantine_t *quarantine, gs_time_t now,
                         const quarantine_key_row_t *row);

/** @return number of keys in quarantine */
unsigned quarantine_count (const quarantine_t *quarantine);

#endif
