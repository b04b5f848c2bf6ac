/**
 * @file spread.h
 * Computes the cheapest distribution of a pool's VMs over data centres that
 * still leaves the minimum number of VMs when any one data centre is lost.
 */
#ifndef GS_CONTROL_SPREAD_H
#define GS_CONTROL_SPREAD_H

#include <stdbool.h>
#include <stdint.h>

/** Maximum number of data centres of a region. */
#define GS_DATA_CENTRES_MAX 16

/** A data centre: input and result of gs_spread_compute(). */
typedef struct
{
  uint64_t price_micros; /**< price of the next VM there */
  unsigned present;      /**< VMs there now; they are preferred at equal
                              prices, so that few VMs move */
  unsigned capacity;     /**< maximum of wanted */
  unsigned wanted;       /**< result: VMs that the data centre should have */
} gs_spread_centre_t;

/**
 * Distribute VMs over data centres.
 * @param replicas_min VMs that must remain when any one data centre is lost
 * @param demand lower bound on the total, from the current load
 * @param replicas_max upper bound on the total
 * @return false if @p replicas_min cannot be met within the bounds; as many
 * VMs as allowed are then distributed evenly
 */
bool gs_spread_compute (gs_spread_centre_t *centres, unsigned count,
                        unsigned replicas_min, unsigned demand,
                        unsigned replicas_max);

#endif
