/**
 * @file operator_port.h
 * HTTP interface of a node for operators: health, metrics, state and
 * catalogue.
 */
#ifndef GS_NODE_OPERATOR_PORT_H
#define GS_NODE_OPERATOR_PORT_H

#include "control/control.h"
#include "garnetstack/server.h"
#include "garnetstack/snapshot.h"
#include "node/state.h"

typedef struct gs_operator_port gs_operator_port_t;

typedef struct
{
  const gs_settings_t *settings;
  uint64_t incarnation;
  gs_snapshot_hub_t *hub;
  gs_control_t *control;
  gs_state_source_t state;
} gs_operator_port_options_t;

gs_status_t
gs_operator_port_create (gs_operator_port_t **out,
                         const gs_operator_port_options_t *options);

/** @return number of the listening port. */
uint16_t gs_operator_port_number (const gs_operator_port_t *port);
void gs_operator_port_destroy (gs_operator_port_t *port);

#endif
