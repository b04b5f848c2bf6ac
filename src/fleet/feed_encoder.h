/**
 * @file feed_encoder.h
 * Exports of a feed for other nodes, compressed with gzip.  The last one is
 * kept, as many nodes ask for the same changes at the same time.  Runs on the
 * control thread.
 */
#ifndef GS_FLEET_FEED_ENCODER_H
#define GS_FLEET_FEED_ENCODER_H

#include "fleet/feed.h"

#include <glib.h>

typedef struct feed_encoder feed_encoder_t;

/** Create the encoder of one feed.
    @param out receives the encoder, freed with feed_encoder_destroy()
    @param feed borrowed; must outlive the encoder */
void feed_encoder_create (feed_encoder_t **out, const feed_t *feed);

/** Free an encoder, which may be NULL. */
void feed_encoder_destroy (feed_encoder_t *encoder);

/**
 * Export the changes after a revision, as feed_export() does.
 * @param after_revision revision of the importing feed; 0 for none
 * @return the export compressed with gzip, freed with g_bytes_unref(); NULL
 * if it is too short for compression to save bytes
 */
GBytes *feed_encoder_export (feed_encoder_t *encoder, uint64_t after_revision);

#endif
