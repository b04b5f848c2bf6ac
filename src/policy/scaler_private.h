/**
 * @file scaler_private.h
 * State of the scaler, shared by its sources.
 */
#ifndef GS_POLICY_SCALER_PRIVATE_H
#define GS_POLICY_SCALER_PRIVATE_H

#include "policy/demand_forecast.h"
#include "policy/replica_mix.h"
#include "policy/scaler.h"

/* Ratio of the need with which prompts queue but no request is rejected.  */
#define SHORTAGE_NEED_RATIO 0.7
/* Ratio of the planned spot replicas that must be ready before the on-demand
   replicas that existed at the start are released.  */
#define SPOT_READY_RATIO_MIN 0.8
/* Once this many data centres have lost all their spot replicas and get no new
   ones, another data centre is expected to lose its own.  */
#define SERIES_LOST_MIN 2
/* Replicas stay for the highest need of this many boot times: one that is
   started again meanwhile would serve callers later and be paid for twice.  */
#define NEED_BOOT_TIMES 3
/* Parts of a boot time of which the highest need is kept each.  */
#define NEED_SLOTS_PER_BOOT 4
#define NEED_SLOTS (NEED_BOOT_TIMES * NEED_SLOTS_PER_BOOT)
/* On-demand replicas fill in for SHORTAGE_NEED_RATIO of the highest need of
   most of a boot time, in which others cannot have started.  */
#define SHORTAGE_SLOTS (NEED_SLOTS_PER_BOOT - 1)
/* Assumed where none is configured.  */
#define BOOT_TIME_MIN GS_SEC

/* Orders for one kind of replica in one data centre.  */
typedef struct
{
  unsigned ordered; /* number in the last order */
  bool valid;       /* the last order was accepted or is pending */
  bool pending;     /* an order is pending */
  gs_time_t ordered_at;
  gs_time_t retry_at; /* after a rejected order */
} order_state_t;

typedef struct
{
  char name[GS_NAME_BYTES];
  double price;
  order_state_t orders[2]; /* indexed by spot: on demand, spot */
  unsigned ready[2];       /* indexed likewise */
  unsigned on_demand_wanted;
  unsigned spot_wanted;
  unsigned spot_target; /* of the plans of scaler_mix_plan() */
  unsigned spot_lower;  /* highest plan below spot_target since then */
  gs_time_t spot_target_at;
  gs_time_t spot_unavailable_until; /* after a rejected order */
} data_centre_state_t;

typedef struct
{
  gs_time_t boot_time;       /* of a replica */
  gs_time_t need_slot;       /* time of a row of needs */
  double needs[NEED_SLOTS];  /* highest need of each slot */
  int64_t slot;              /* of the last need */
  bool has_needs;            /* a need has been recorded */
  unsigned initial_replicas; /* replicas that existed before the first load */
  unsigned fill_in; /* on-demand replicas that replace missing spot ones */
  gs_time_t fill_in_until;
  gs_time_t load_since;  /* first load; 0 for none */
  gs_time_t short_since; /* too few replicas are ready; 0 if enough are */
  bool initial_released; /* spot replicas have replaced the initial ones */
  unsigned spot_planned; /* spot replicas of the last plan */
  scaler_mix_summary_t summary;  /* of the last plan */
  scaler_mix_summary_t reported; /* by scaler_mix_summary() */
  bool restored; /* the state of the holder before was taken over */
  replica_mix_history_t history;
  demand_forecast_t forecast;
  unsigned data_centre_count;
  data_centre_state_t data_centres[SCALER_DATA_CENTRES_MAX];
} service_plan_t;

struct scaler
{
  GHashTable *plans; /* service -> service_plan_t */
  json_t *state;     /* of the holder before; NULL if unknown */
  gs_time_t state_wall_shift;
};

/** Set the replicas of each data centre by their prices, from the ready ones
    and the need.
    @param need replicas that the present load needs */
void scaler_mix_plan (service_plan_t *plan, gs_time_t now,
                      const gs_scale_limits_t *limits,
                      const scaler_load_t *load, double need);

/** @return a data centre of the plan, or NULL */
data_centre_state_t *scaler_data_centre_find (service_plan_t *plan,
                                              const char *name);

/** Add the state of the holder before to a plan, once. */
void scaler_state_restore (scaler_t *scaler, service_plan_t *plan,
                           const char *service, gs_time_t now);

/** Sort the data centres by price.
    @param by_price receives a pointer to each */
void scaler_data_centres_sort (service_plan_t *plan,
                               data_centre_state_t **by_price);

/** @return whether a data centre lately rejected an order for spot
    replicas */
bool scaler_spot_is_unavailable (const data_centre_state_t *data_centre,
                                 gs_time_t now);

#endif
