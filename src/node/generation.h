/**
 * @file generation.h
 * Parses the bodies of generation requests, which have the OpenAI format.
 */
#ifndef GS_NODE_GENERATION_H
#define GS_NODE_GENERATION_H

#include "garnetstack/catalogue.h"
#include "garnetstack/request.h"

/** Fields of a body that shape the response, not the request. */
typedef struct
{
  bool stream;
  bool stream_usage; /**< the stream ends with token usage */
} gs_generation_options_t;

/**
 * Parse a body and build the body for the engine.
 * @param spec receives kind, target, body, token counts and prefix hashes
 * @param catalogue gives the base model of an adapter
 * @param chat the body has "messages" in place of "prompt"
 * @return GS_OK, and the caller releases spec->body; GS_EINVAL, and spec->body
 * is not set
 */
gs_status_t gs_generation_read (gs_request_spec_t *spec,
                                gs_generation_options_t *options,
                                const gs_catalogue_t *catalogue,
                                const char *body, size_t length, bool chat);

#endif
