/**
 * @file events.h
 * Cuts a stream of server-sent events into whole events, so that a piece that
 * a replica broke off is not passed on.
 */
#ifndef GS_GATEWAY_EVENTS_H
#define GS_GATEWAY_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  GString *held;    /**< begin of an event that is not whole yet */
  uint64_t last_id; /**< of the last whole event, 0 for none */
  uint64_t count;   /**< whole events */
} events_t;

void events_init (events_t *events);
void events_clear (events_t *events);

/**
 * Take in a piece.
 * @param whole receives what may be passed on now: whole events only
 */
void events_feed (events_t *events, const char *data, size_t length,
                  GString *whole);

/** Forget the begin of an event, as its replica is lost. */
void events_drop_held (events_t *events);

#endif
