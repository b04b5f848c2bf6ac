#include "engine_model.h"

#include <string.h>

/* Size of the ring of cache events.  */
#define CACHE_EVENTS_MAX 4096

typedef struct
{
  gs_engine_job_t job;
  uint64_t *blocks;
  uint32_t uncomputed; /* prompt tokens left to compute */
  uint32_t computed;   /* prompt tokens that were not cached on admission */
  uint32_t emitted;    /* output tokens generated so far */
} sequence_t;

struct gs_engine_model
{
  gs_engine_params_t params;
  GPtrArray *waiting;              /* sequence_t, by priority, then arrival */
  GPtrArray *running;              /* sequence_t, in order of admission */
  GHashTable *cache;               /* block -> link in recent */
  GQueue recent;                   /* blocks, most recently used first */
  gs_engine_cache_event_t *events; /* ring, indexed by revision */
  uint64_t revision;               /* of the newest cache event */
  gs_time_t due;                   /* end of the current step */
  gs_time_t busy;                  /* total length of the steps */
};

static void
sequence_free (gpointer data)
{
  sequence_t *sequence = data;

  g_free (sequence->blocks);
  g_free (sequence);
}

void
gs_engine_model_create (gs_engine_model_t **out,
                        const gs_engine_params_t *params)
{
  gs_engine_model_t *model = g_new0 (gs_engine_model_t, 1);

  model->params = *params;
  model->waiting = g_ptr_array_new ();
  model->running = g_ptr_array_new ();
  model->cache = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&model->recent);
  model->events = g_new0 (gs_engine_cache_event_t, CACHE_EVENTS_MAX);
  model->due = GS_TIME_NEVER;
  *out = model;
}

void
gs_engine_model_destroy (gs_engine_model_t *model)
{
  if (model == NULL)
    return;
  g_ptr_array_set_free_func (model->waiting, sequence_free);
  g_ptr_array_set_free_func (model->running, sequence_free);
  g_ptr_array_unref (model->waiting);
  g_ptr_array_unref (model->running);
  g_hash_table_unref (model->cache);
  g_queue_clear_full (&model->recent, g_free);
  g_free (model->events);
  g_free (model);
}

static void
record_cache_event (gs_engine_model_t *model, uint64_t block, bool evicted)
{
  gs_engine_cache_event_t *event;

  model->revision++;
  event = &model->events[model->revision % CACHE_EVENTS_MAX];
  event->revision = model->revision;
  event->block = block;
  event->evicted = evicted;
}

bool
gs_engine_model_holds (const gs_engine_model_t *model, uint64_t block)
{
  return g_hash_table_contains (model->cache, &block);
}

/* Inserts a block or marks it as most recently used.  A full cache evicts
   the least recently used block.  */
static void
cache_block (gs_engine_model_t *model, uint64_t block)
{
  GList *link = g_hash_table_lookup (model->cache, &block);
  uint64_t *key;

  if (link != NULL)
    {
      g_queue_unlink (&model->recent, link);
      g_queue_push_head_link (&model->recent, link);
      return;
    }
  if (g_queue_get_length (&model->recent) >= model->params.cache_blocks)
    {
      key = g_queue_pop_tail (&model->recent);
      g_hash_table_remove (model->cache, key);
      record_cache_event (model, *key, true);
      g_free (key);
    }
  key = g_new (uint64_t, 1);
  *key = block;
  g_queue_push_head (&model->recent, key);
  g_hash_table_insert (model->cache, key, model->recent.head);
  record_cache_event (model, block, false);
}

/* @return length of the cached prefix in tokens.  The last prompt token is
   always computed.  */
static uint32_t
cached_tokens (const gs_engine_model_t *model, const sequence_t *sequence)
{
  size_t blocks = 0;

  while (blocks < sequence->job.block_count
         && gs_engine_model_holds (model, sequence->blocks[blocks]))
    blocks++;
  return (uint32_t)MIN (blocks * GS_PREFIX_BLOCK_TOKENS,
                        (size_t)MAX (sequence->job.prompt_tokens, 1) - 1);
}

static void
admit_waiting (gs_engine_model_t *model)
{
  while (model->waiting->len > 0
         && model->running->len < model->params.batch_max)
    {
      sequence_t *sequence = model->waiting->pdata[0];

      g_ptr_array_remove_index (model->waiting, 0);
      sequence->uncomputed
          = sequence->job.prompt_tokens - cached_tokens (model, sequence);
      sequence->computed = sequence->uncomputed;
      g_ptr_array_add (model->running, sequence);
    }
}

/* Prefills up to chunk_tokens of the running sequences in order of admission.
   The blocks of a prompt are cached when the whole prompt is computed.
   @return prompt tokens computed.  */
static uint32_t
prefill_chunk (gs_engine_model_t *model)
{
  uint32_t budget = model->params.chunk_tokens;

  for (guint i = 0; i < model->running->len && budget > 0; i++)
    {
      sequence_t *sequence = model->running->pdata[i];
      uint32_t tokens = MIN (sequence->uncomputed, budget);

      if (tokens == 0)
        continue;
      sequence->uncomputed -= tokens;
      budget -= tokens;
      if (sequence->uncomputed == 0)
        for (size_t b = sequence->job.block_count; b > 0; b--)
          cache_block (model, sequence->blocks[b - 1]);
    }
  return model->params.chunk_tokens - budget;
}

static void
start_step (gs_engine_model_t *model, gs_time_t now)
{
  double length;
  uint32_t prompt_tokens;

  admit_waiting (model);
  if (model->running->len == 0)
    {
      model->due = GS_TIME_NEVER;
      return;
    }
  prompt_tokens = prefill_chunk (model);
  length = (double)model->params.step_base
           + (double)model->params.step_per_sequence * model->running->len
           + (double)GS_SEC * prompt_tokens
                 / model->params.prefill_tokens_per_sec;
  length *= model->params.slowdown;
  model->busy += (gs_time_t)length;
  model->due = now + (gs_time_t)length;
}

void
gs_engine_model_submit (gs_engine_model_t *model, gs_time_t now,
                        const gs_engine_job_t *job)
{
  sequence_t *sequence = g_new0 (sequence_t, 1);
  guint position = model->waiting->len;

  sequence->job = *job;
  sequence->blocks
      = g_memdup2 (job->blocks, job->block_count * sizeof *job->blocks);
  sequence->job.blocks = NULL;
  while (position > 0
         && ((sequence_t *)model->waiting->pdata[position - 1])->job.priority
                > job->priority)
    position--;
  g_ptr_array_insert (model->waiting, (gint)position, sequence);
  if (model->due == GS_TIME_NEVER)
    start_step (model, now);
}

static bool
remove_sequence (GPtrArray *list, uint64_t id)
{
  for (guint i = 0; i < list->len; i++)
    {
      sequence_t *sequence = list->pdata[i];

      if (sequence->job.id != id)
        continue;
      g_ptr_array_remove_index (list, i);
      sequence_free (sequence);
      return true;
    }
  return false;
}

bool
gs_engine_model_cancel (gs_engine_model_t *model, uint64_t id)
{
  return remove_sequence (model->waiting, id)
         || remove_sequence (model->running, id);
}

gs_time_t
gs_engine_model_due (const gs_engine_model_t *model)
{
  return model->due;
}

void
gs_engine_model_step (gs_engine_model_t *model, gs_engine_token_cb_t on_token,
                      void *context)
{
  gs_time_t now = model->due;
  guint remaining = 0;

  for (guint i = 0; i < model->running->len; i++)
    {
      sequence_t *sequence = model->running->pdata[i];
      gs_engine_token_t token = { .id = sequence->job.id };

      model->running->pdata[remaining++] = sequence;
      if (sequence->uncomputed > 0)
        continue;
      token.index = sequence->emitted++;
      token.computed_tokens = sequence->computed;
      token.last = sequence->emitted >= sequence->job.output_tokens;
      if (token.last)
        {
          remaining--;
          sequence_free (sequence);
        }
      on_token (context, &token);
    }
  g_ptr_array_set_size (model->running, (gint)remaining);
  start_step (model, now);
}

void
gs_engine_model_load (const gs_engine_model_t *model, gs_engine_load_t *out)
{
  out->running = model->running->len;
  out->queued = model->waiting->len;
  out->queued_tokens = 0;
  for (guint i = 0; i < model->waiting->len; i++)
    {
      const sequence_t *sequence = model->waiting->pdata[i];

      out->queued_tokens += sequence->job.prompt_tokens;
    }
  for (guint i = 0; i < model->running->len; i++)
    out->queued_tokens += ((sequence_t *)model->running->pdata[i])->uncomputed;
}

gs_time_t
gs_engine_model_busy (const gs_engine_model_t *model)
{
  return model->busy;
}

size_t
gs_engine_model_events (const gs_engine_model_t *model, uint64_t after,
                        uint64_t *first, gs_engine_cache_event_t *out,
                        size_t max)
{
  uint64_t oldest = model->revision > CACHE_EVENTS_MAX
                        ? model->revision - CACHE_EVENTS_MAX + 1
                        : 1;
  uint64_t revision = MAX (after + 1, oldest);
  size_t count = 0;

  *first = oldest;
  for (; revision <= model->revision && count < max; revision++)
    out[count++] = model->events[revision % CACHE_EVENTS_MAX];
  return count;
}

void
gs_engine_model_set_slowdown (gs_engine_model_t *model, double slowdown)
{
  model->params.slowdown = slowdown;
}
