#include "fleet/report_layout.h"

#include "fleet/aggregate.h"

const row_layout_t report_usage_layout
    = { sizeof (traffic_usage_t),
        AGGREGATE_ROWS_MAX,
        3,
        { ROW_COLUMN (ROW_TEXT, traffic_usage_t, account),
          ROW_COLUMN (ROW_NUMBER, traffic_usage_t, window),
          ROW_COLUMN (ROW_NUMBER, traffic_usage_t, requests) } };
const row_layout_t report_demand_layout
    = { sizeof (traffic_demand_t),
        AGGREGATE_ROWS_MAX,
        6,
        { ROW_COLUMN (ROW_TEXT, traffic_demand_t, service),
          ROW_COLUMN (ROW_NUMBER, traffic_demand_t, requests),
          ROW_COLUMN (ROW_NUMBER, traffic_demand_t, rejected),
          ROW_COLUMN (ROW_NUMBER, traffic_demand_t, uncached_tokens),
          ROW_COLUMN (ROW_NUMBER, traffic_demand_t, in_flight),
          ROW_COLUMN (ROW_NUMBER, traffic_demand_t, queued) } };
