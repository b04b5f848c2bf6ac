/**
 * @file stream_origins.h
 * Which software version began each stream that its caller may resume.  What
 * two versions write does not fit together, so a stream may go on only at the
 * version that began it, at whichever node its caller resumes it.  Nodes tell
 * each other the streams that began at them: a table numbers its rows as it
 * learns them, and a message carries those that its receiver lacks.  Plain
 * table; reads no clock.
 */
#ifndef GS_FLEET_STREAM_ORIGINS_H
#define GS_FLEET_STREAM_ORIGINS_H

#include "garnetstack/clock.h"
#include "wire/row_codec.h"

#include <glib.h>

/** Streams in a table; the oldest are left out. */
#define STREAM_ORIGINS_MAX 65536
/** Streams in a message; further ones follow in the next one. */
#define STREAM_ORIGIN_ROWS_MAX 8192

typedef struct
{
  uint64_t stream;      /**< stream_origins_hash() of the attempt that brought
                             its first event */
  uint64_t version;     /**< placer_version_hash() of its replica's version */
  gs_time_t expires_at; /**< when its caller stops waiting */
} stream_origin_t;

/** An origin in a message: time left in place of a time, as clocks differ. */
typedef struct
{
  uint64_t stream;
  uint64_t version;
  uint64_t left_ms;
} stream_origin_row_t;

/** A stream that a node asks another one for. */
typedef struct
{
  uint64_t stream;
} stream_origin_key_t;

/** Streams that a message may ask for; further ones are asked for later. */
#define STREAM_ORIGIN_KEYS_MAX 1024

/** From where a node has learned of a stream, as flags. */
#define STREAM_ORIGIN_OWN 1U         /**< it began at this node */
#define STREAM_ORIGIN_DATA_CENTRE 2U /**< at another of its data centre */
#define STREAM_ORIGIN_OTHER 4U       /**< elsewhere */
#define STREAM_ORIGIN_ALL 7U

typedef struct stream_origins stream_origins_t;

/** @param out receives an empty table, freed with stream_origins_destroy() */
void stream_origins_create (stream_origins_t **out);
void stream_origins_destroy (stream_origins_t *origins);

/** @param attempt id that the caller gave the attempt */
uint64_t stream_origins_hash (const char *attempt);

/** Add a stream, or replace the version of a known one: a request may be sent
    to another replica before its first event.  A stream that is known from
    elsewhere is added again when it comes from a nearer source.
    @param source one of the flags above */
void stream_origins_add (stream_origins_t *origins, gs_time_t now,
                         const stream_origin_t *origin, unsigned source);

/** Add streams from a message.
    @param rows of stream_origin_row_t */
void stream_origins_import (stream_origins_t *origins, gs_time_t now,
                            const GArray *rows, unsigned source);

/** @param version receives the version that began the stream
    @return whether the stream is known */
bool stream_origins_find (const stream_origins_t *origins, gs_time_t now,
                          uint64_t stream, uint64_t *version);

/**
 * List streams in the order in which they were added.
 * @param after number of the last row that is not wanted; 0 for none
 * @param sources flags of the wanted rows
 * @param out array of stream_origin_row_t that rows are appended to, up to
 * STREAM_ORIGIN_ROWS_MAX
 * @return number of the last row that was looked at, for the next call; at
 * least @p after, unless the table has never had so many rows
 */
uint64_t stream_origins_export (const stream_origins_t *origins, gs_time_t now,
                                uint64_t after, unsigned sources, GArray *out);

/** Append the known ones of some streams.
    @param keys of stream_origin_key_t
    @param out array of stream_origin_row_t */
void stream_origins_look_up (const stream_origins_t *origins, gs_time_t now,
                             const GArray *keys, GArray *out);

/** @return number of the last row that was added; 0 before the first one */
uint64_t stream_origins_last (const stream_origins_t *origins);

/** Part of a message between nodes. */
typedef struct
{
  uint64_t last;          /**< number of the last row in the sender's table
                               that this message covers; 0 for none */
  uint64_t received;      /**< last row of the receiver's table that the
                               sender has; 0 for none */
  uint64_t received_from; /**< incarnation of the receiver that it means */
  GArray *rows;           /**< of stream_origin_row_t */
} stream_origins_part_t;

void stream_origins_part_init (stream_origins_part_t *part);
void stream_origins_part_clear (stream_origins_part_t *part);
void stream_origins_part_pack (msgpack_packer *out,
                               const stream_origins_part_t *part);

/** Read a part; it stays empty if the message ends before it, as from nodes of
    an earlier version. */
void stream_origins_part_read (row_reader_t *reader,
                               stream_origins_part_t *part);

void stream_origin_keys_pack (msgpack_packer *out, const GArray *keys);

/** @param out array of stream_origin_key_t; replaced */
void stream_origin_keys_read (row_reader_t *reader, GArray *out);

#endif
