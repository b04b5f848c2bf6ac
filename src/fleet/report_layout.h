/**
 * @file report_layout.h
 * How rows of a traffic report are encoded in each kind of message.
 */
#ifndef GS_FLEET_REPORT_LAYOUT_H
#define GS_FLEET_REPORT_LAYOUT_H

#include "wire/row_codec.h"

extern const row_layout_t report_usage_layout;  /**< of traffic_usage_t */
extern const row_layout_t report_demand_layout; /**< of traffic_demand_t */

#endif
