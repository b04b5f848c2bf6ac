/**
 * @file events.h
 * Splits a stream of server-sent events into complete events, so that an event
 * that a replica left incomplete is not forwarded.
 */
#ifndef GS_GATEWAY_EVENTS_H
#define GS_GATEWAY_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  GString *partial; /**< received part of an incomplete event */
  uint64_t last_id; /**< last id of a complete event, 0 for none */
  uint64_t count;   /**< number of complete events */
  size_t scanned;   /**< bytes of the partial event that were looked through */
  bool line_begun;  /**< the line at that point is not empty */
} events_splitter_t;

void events_init (events_splitter_t *events);
void events_clear (events_splitter_t *events);

/**
 * Process a part of the stream.
 * @param complete complete events are appended to it, to be forwarded now
 */
void events_feed (events_splitter_t *events, const char *data, size_t length,
                  GString *complete);

/** Discard an incomplete event after its replica was lost. */
void events_partial_discard (events_splitter_t *events);

#endif
