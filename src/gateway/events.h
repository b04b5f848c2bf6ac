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
  bool continues;   /**< the next event must follow the last one */
} events_splitter_t;

void events_init (events_splitter_t *events);
void events_clear (events_splitter_t *events);

/**
 * Process a part of the stream.
 * @param complete complete events are appended to it, to be forwarded now
 * @return false if an event does not continue the stream, see
 * events_resume(); nothing further may be forwarded then
 */
bool events_feed (events_splitter_t *events, const char *data, size_t length,
                  GString *complete);

/** Another replica goes on after the last event.  Its first event must have a
    higher id, if those before had ids; an error in a form of its own, or a
    stream that begins again, does not continue this one. */
void events_resume (events_splitter_t *events);

/** Discard an incomplete event after its replica was lost. */
void events_partial_discard (events_splitter_t *events);

#endif
