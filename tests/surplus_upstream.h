/**
 * @file surplus_upstream.h
 * An upstream that writes the answer to the last request of a connection once
 * more, where the answer to the next request is due.
 */
#ifndef GS_TESTS_SURPLUS_UPSTREAM_H
#define GS_TESTS_SURPLUS_UPSTREAM_H

#include "raw_http.h"

/** Called on the thread of a connection.
    @return the whole answer to a request, freed with g_free() */
typedef char *(*surplus_answer_cb_t) (void *context,
                                      const raw_message_t *request);

typedef struct surplus_upstream surplus_upstream_t;

/** Listen on a free port of the loopback address. */
void surplus_upstream_create (surplus_upstream_t **out,
                              surplus_answer_cb_t answer, void *context);
uint16_t surplus_upstream_port (const surplus_upstream_t *upstream);

/** @return the requests that have arrived */
unsigned surplus_upstream_arrivals (const surplus_upstream_t *upstream);

/** @return the answers that were written once more */
unsigned surplus_upstream_copies (const surplus_upstream_t *upstream);
void surplus_upstream_destroy (surplus_upstream_t *upstream);

#endif
