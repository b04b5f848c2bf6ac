/**
 * @file fakes.h
 * Stand-ins for the external systems (store, VM list, cloud, weight store,
 * engines and services), all served over HTTP by one process.  The stand-ins
 * inject faults, count executions and generate predictable tokens, so that a
 * test can check that an answer is complete and that a call ran once.
 * docs/PROTOCOLS.md describes their protocols.
 */
#ifndef GS_TESTS_FAKES_H
#define GS_TESTS_FAKES_H

#include "garnetstack/clock.h"
#include "garnetstack/status.h"

#include <jansson.h>
#include <stdint.h>

#define FAKE_TOKEN_BYTES 16

/** Write the text of token @p index that every fake engine generates for
    @p prompt. */
void fake_token (char out[FAKE_TOKEN_BYTES], const char *prompt,
                 uint32_t index);

/** Stand-ins of one process: the platform, engines and services. */
typedef struct fake_world fake_world_t;

typedef struct
{
  uint16_t port;     /**< port of the platform; 0 for any free port */
  unsigned engines;  /**< engines at start, spread over four data centres */
  unsigned services; /**< services at start, spread likewise */
} fake_world_options_t;

/** Start the stand-ins.
 * @param out the stand-ins, freed with fake_world_destroy(); NULL on failure
 * @return GS_OK, or the error of the first server that did not start */
gs_status_t fake_world_create (fake_world_t **out,
                               const fake_world_options_t *options);
void fake_world_destroy (fake_world_t *world);

/** @return the platform's port. */
uint16_t fake_world_port (const fake_world_t *world);

/**
 * Inject a fault, as POST /control/faults does.
 * @param text JSON object
 * @return GS_OK, or GS_EINVAL for an unknown fault or target
 */
gs_status_t fake_world_fault_inject (fake_world_t *world, const char *text);

/**
 * Reclaim a VM or all VMs of a data centre, as POST /control/reclaim does.
 * @param text JSON object
 * @return GS_OK, or GS_ENOTFOUND when no VM matches
 */
gs_status_t fake_world_vms_reclaim (fake_world_t *world, const char *text);

/**
 * Change settings of upstreams, as POST /control/upstream does.
 * @param text JSON object
 * @return GS_OK, or GS_ENOTFOUND when no upstream matches
 */
gs_status_t fake_world_upstreams_set (fake_world_t *world, const char *text);

/** @return the executions of the service call with this Idempotency-Key. */
unsigned fake_world_executions_count (fake_world_t *world, const char *key);

/** @return the port of an upstream, 0 when none has this name. */
uint16_t fake_world_upstream_port (fake_world_t *world, const char *name);

#endif
