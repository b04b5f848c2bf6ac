#include "fakes/world.h"

#include "garnetstack/prefix.h"

#include <string.h>

#define CACHE_BLOCKS_DEFAULT 4096
#define EVENTS_MAX 4096
#define CACHE_LAG_DEFAULT (200 * GS_MSEC)

typedef struct
{
  gs_time_t since;
  uint64_t number;
  uint64_t block;
  bool add;
  bool dropped; /* never reported: leaves a gap */
} cache_event_t;

struct engine_cache
{
  GHashTable *blocks; /* block hash -> link in order */
  GQueue order;       /* block hashes, least recently used first */
  GArray *events;     /* of cache_event_t */
  uint64_t last;
  size_t blocks_max;
  gs_time_t lag;
  unsigned events_to_drop; /* number of events that are dropped next */
};

engine_cache_t *
engine_cache_create (void)
{
  engine_cache_t *cache = g_new0 (engine_cache_t, 1);

  cache->blocks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_queue_init (&cache->order);
  cache->events = g_array_new (FALSE, TRUE, sizeof (cache_event_t));
  cache->blocks_max = CACHE_BLOCKS_DEFAULT;
  cache->lag = CACHE_LAG_DEFAULT;
  return cache;
}

void
engine_cache_destroy (engine_cache_t *cache)
{
  g_queue_clear_full (&cache->order, g_free);
  g_hash_table_unref (cache->blocks);
  g_array_unref (cache->events);
  g_free (cache);
}

void
engine_cache_set (engine_cache_t *cache, const json_t *settings)
{
  cache->blocks_max = (size_t)json_number (settings, "cache_blocks",
                                           (int64_t)cache->blocks_max);
  cache->lag
      = json_number (settings, "cache_lag_ms", cache->lag / GS_MSEC) * GS_MSEC;
  cache->events_to_drop
      = (unsigned)json_number (settings, "cache_gap", cache->events_to_drop);
}

static void
add_event (engine_cache_t *cache, uint64_t block, bool add)
{
  cache_event_t event = { .since = gs_clock_now (),
                          .number = ++cache->last,
                          .block = block,
                          .add = add,
                          .dropped = cache->events_to_drop > 0 };

  if (cache->events_to_drop > 0)
    cache->events_to_drop--;
  if (cache->events->len >= EVENTS_MAX)
    g_array_remove_range (cache->events, 0, EVENTS_MAX / 2);
  g_array_append_val (cache->events, event);
}

static void
insert_block (engine_cache_t *cache, uint64_t block)
{
  uint64_t *key = g_memdup2 (&block, sizeof block);

  g_queue_push_tail (&cache->order, g_memdup2 (&block, sizeof block));
  g_hash_table_insert (cache->blocks, key, cache->order.tail);
  add_event (cache, block, true);
  if (cache->order.length > cache->blocks_max)
    {
      uint64_t *oldest = g_queue_pop_head (&cache->order);

      g_hash_table_remove (cache->blocks, oldest);
      add_event (cache, *oldest, false);
      g_free (oldest);
    }
}

unsigned
engine_cache_use (engine_cache_t *cache, const char *prompt)
{
  size_t length = strlen (prompt);
  uint64_t hash = 0;
  unsigned cached_tokens = 0;
  bool in_prefix = true;

  for (size_t at = 0; at + GS_PREFIX_BLOCK_BYTES <= length;
       at += GS_PREFIX_BLOCK_BYTES)
    {
      GList *link;

      hash = gs_prefix_chain_next (hash, prompt + at, GS_PREFIX_BLOCK_BYTES);
      link = g_hash_table_lookup (cache->blocks, &hash);
      if (link == NULL)
        {
          in_prefix = false;
          insert_block (cache, hash);
          continue;
        }
      g_queue_unlink (&cache->order, link);
      g_queue_push_tail_link (&cache->order, link);
      if (in_prefix)
        cached_tokens += GS_PREFIX_BLOCK_TOKENS;
    }
  return cached_tokens;
}

void
engine_cache_call_handle (engine_cache_t *cache, const fake_call_t *call)
{
  const char *text = gs_exchange_query (call->exchange, "after");
  uint64_t after = text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;
  gs_time_t latest = gs_clock_now () - cache->lag;
  json_t *events = json_array ();
  uint64_t first = 0;
  uint64_t revision = after;

  for (guint i = 0; i < cache->events->len; i++)
    {
      const cache_event_t *event
          = &g_array_index (cache->events, cache_event_t, i);
      char block[17];

      if (event->number <= after || event->dropped || event->since > latest)
        continue;
      /* Events after a gap are reported by the next call.  */
      if (first != 0 && event->number != revision + 1)
        break;
      if (first == 0)
        first = event->number;
      revision = event->number;
      g_snprintf (block, sizeof block, "%016llx",
                  (unsigned long long)event->block);
      json_array_append_new (events, json_pack ("{s:s,s:s}", "op",
                                                event->add ? "add" : "evict",
                                                "block", block));
    }
  fake_items_alter (call, events);
  fake_reply_json (call, 200,
                   json_pack ("{s:I,s:I,s:o}", "revision",
                              (json_int_t)revision, "first",
                              (json_int_t)(first != 0 ? first : after + 1),
                              "events", events));
}
