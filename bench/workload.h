/**
 * @file workload.h
 * Seeded generator of requests from accounts of unequal size, with prompts
 * that share prefixes and conversations that grow with each turn.
 */
#ifndef GS_BENCH_WORKLOAD_H
#define GS_BENCH_WORKLOAD_H

#include "garnetstack/prefix.h"
#include "garnetstack/rng.h"

#include <glib.h>

#define WORKLOAD_ACCOUNTS 5
#define WORKLOAD_KINDS_MAX 3

/** A kind of request and its share of the workload. */
typedef struct
{
  const char *name;
  unsigned percent;          /**< of all requests */
  unsigned prefix_count;     /**< number of shared prefixes of each account */
  unsigned prefix_tokens;    /**< mean length of a shared prefix */
  unsigned unshared_tokens;  /**< mean length of the unshared rest */
  unsigned output_tokens;    /**< mean */
  unsigned continue_percent; /**< requests that continue a conversation */
  gs_time_t first_token_target;    /**< of the time to the first token */
  gs_time_t token_interval_target; /**< of the mean time between tokens */
} workload_kind_t;

/** The deployment of a user and its workload. */
typedef struct
{
  const char *name;
  unsigned replicas;
  unsigned weight_cost; /**< weight of cost in routing, percent */
  size_t cache_blocks;  /**< of each engine */
  unsigned account_percent[WORKLOAD_ACCOUNTS]; /**< share of requests */
  workload_kind_t kinds[WORKLOAD_KINDS_MAX];
} workload_user_t;

/**
 * Find a user by name: "curdwright", "association" or "two_years".
 * @return NULL when the name is unknown
 */
const workload_user_t *workload_user_find (const char *name);

typedef struct
{
  unsigned account;
  const workload_kind_t *kind;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  GArray *blocks; /**< uint64_t chain hashes; owned by the caller */
} workload_request_t;

typedef struct workload workload_t;

/** Create a generator; @p user is not copied. */
void workload_create (workload_t **out, const workload_user_t *user,
                      uint64_t seed);
void workload_destroy (workload_t *workload);

/**
 * Generate the next request.
 * @param account index of the account, or -1 to draw one by its share
 */
void workload_next (workload_t *workload, gs_time_t now, int account,
                    workload_request_t *out);

/** Compute the mean prompt and output tokens of a request over all kinds. */
void workload_user_means (const workload_user_t *user, double *prompt_tokens,
                          double *output_tokens);

#endif
