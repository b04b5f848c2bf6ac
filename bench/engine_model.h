/**
 * @file engine_model.h
 * Timing model of an inference engine with continuous batching.  Each step
 * decodes one token of every running sequence and prefills a chunk of the
 * admitted prompts; the length of a step grows with the batch and the chunk.
 * The model reads no clock: the caller obtains the end of the current step
 * from gs_engine_model_due() and calls gs_engine_model_step() at that time.
 */
#ifndef GS_BENCH_ENGINE_MODEL_H
#define GS_BENCH_ENGINE_MODEL_H

#include "garnetstack/clock.h"
#include "garnetstack/prefix.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Speed and size of an engine. */
typedef struct
{
  double prefill_tokens_per_sec;
  gs_time_t step_base;         /**< length of a step with an empty batch */
  gs_time_t step_per_sequence; /**< added for each sequence in the batch */
  unsigned batch_max;          /**< sequences that run at a time */
  unsigned chunk_tokens;       /**< most prompt tokens computed in one step */
  size_t cache_blocks;         /**< capacity of the prefix cache, in blocks */
  double slowdown; /**< factor on the length of every step, normally 1 */
} gs_engine_params_t;

#define GS_ENGINE_PARAMS_INIT                                                 \
  {                                                                           \
    .prefill_tokens_per_sec = 8000, .step_base = 18 * GS_MSEC,                \
    .step_per_sequence = 700, .batch_max = 24, .chunk_tokens = 512,           \
    .cache_blocks = 4096, .slowdown = 1                                       \
  }

/** A sequence to generate. */
typedef struct
{
  uint64_t id;
  unsigned priority; /**< lower values are admitted first */
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  const uint64_t *blocks; /**< chain hashes of the prompt blocks; copied */
  size_t block_count;
} gs_engine_job_t;

/** A generated token. */
typedef struct
{
  uint64_t id;              /**< of the sequence */
  uint32_t index;           /**< of the token in the output, from 0 */
  uint32_t computed_tokens; /**< prompt tokens that were not cached */
  bool last;                /**< the sequence is complete */
} gs_engine_token_t;

/** Receives each token that a step generates. */
typedef void (*gs_engine_token_cb_t) (void *context,
                                      const gs_engine_token_t *token);

/** Insertion into or eviction from the prefix cache. */
typedef struct
{
  uint64_t revision;
  uint64_t block;
  bool evicted;
} gs_engine_cache_event_t;

typedef struct
{
  uint32_t running;       /**< sequences in the batch */
  uint32_t queued;        /**< sequences that wait for admission */
  uint32_t queued_tokens; /**< prompt tokens not yet computed */
} gs_engine_load_t;

typedef struct gs_engine_model gs_engine_model_t;

/** Create an idle engine with an empty cache; @p params is copied. */
void gs_engine_model_create (gs_engine_model_t **out,
                             const gs_engine_params_t *params);
void gs_engine_model_destroy (gs_engine_model_t *model);

/** Queue a sequence.  An idle engine starts a step at @p now. */
void gs_engine_model_submit (gs_engine_model_t *model, gs_time_t now,
                             const gs_engine_job_t *job);

/** Remove a sequence. @return true when the sequence was queued or running. */
bool gs_engine_model_cancel (gs_engine_model_t *model, uint64_t id);

/** @return the end of the current step, GS_TIME_NEVER when idle. */
gs_time_t gs_engine_model_due (const gs_engine_model_t *model);

/**
 * End the current step and start the next.
 * @param on_token called once for each token that the step generated
 */
void gs_engine_model_step (gs_engine_model_t *model,
                           gs_engine_token_cb_t on_token, void *context);

/** Read the current load; the caller models the delay of load reports. */
void gs_engine_model_load (const gs_engine_model_t *model,
                           gs_engine_load_t *out);

/** @return total length of all steps started so far, for computing cost. */
gs_time_t gs_engine_model_busy (const gs_engine_model_t *model);

/**
 * Copy the cache events that follow a revision, oldest first.
 * @param first receives the revision of the oldest event that is still held;
 * a value above @p after + 1 means that events were lost
 * @return number of events written
 */
size_t gs_engine_model_events (const gs_engine_model_t *model, uint64_t after,
                               uint64_t *first, gs_engine_cache_event_t *out,
                               size_t max);

/** @return whether a block is cached. */
bool gs_engine_model_holds (const gs_engine_model_t *model, uint64_t block);

/** Set the factor on the length of every step, starting with the next. */
void gs_engine_model_set_slowdown (gs_engine_model_t *model, double slowdown);

#endif
