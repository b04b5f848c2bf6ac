/**
 * @file soak_client.h
 * A caller of the soak that keeps its connections until the process at the
 * other end is gone, pipelines requests, sends bodies of any length and
 * resumes streams that broke.
 */
#ifndef GS_TESTS_SOAK_CLIENT_H
#define GS_TESTS_SOAK_CLIENT_H

#include "gateway_world.h"

typedef struct
{
  const char *id;
  const char *target;
  char fill; /* each byte of the body */
  unsigned body_bytes;
  const char *resumes;   /* id of the attempt that began the stream; NULL for
                            none */
  unsigned resume_after; /* number of the last event received */
  char *answer;          /* receives head and decoded body, "" for none */
  bool ended;            /* the answer was received to its end */
} soak_exchange_t;

typedef struct soak_client soak_client_t;

void soak_client_create (soak_client_t **out, gateway_world_t *world);
void soak_client_destroy (soak_client_t *client);

/** Send requests in one write on the connection to a gateway, opening one if
    there is none, and read the answers. */
void soak_client_exchange (soak_client_t *client, unsigned gateway,
                           soak_exchange_t *rows, unsigned count);

/** @return number of the last event in an answer whose events follow @p after
    one by one; 0 if one is missing, or comes twice */
unsigned soak_client_last_event (const char *answer, unsigned after);

/** @return whether the replicas received nothing but the request's body, or
    the begin of it, as the body of an attempt */
bool soak_client_body_is_own (gateway_world_t *world, const char *id,
                              char fill, unsigned length);

#endif
