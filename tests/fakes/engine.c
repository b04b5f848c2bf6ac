#include "fakes/world.h"

#include <string.h>

#define TOKEN_INTERVAL_DEFAULT (5 * GS_MSEC)
#define SLOTS_DEFAULT 64
#define PREFILL_TOKENS_PER_MS 200
#define LOAD_LAG_DEFAULT (100 * GS_MSEC)
#define BYTES_PER_TOKEN 4
#define KV_BLOCKS_MAX 8192
#define ID_DEFAULT "-"

struct engine
{
  upstream_t *upstream;
  GHashTable *streams;  /* request id -> stream_t */
  GHashTable *imported; /* request id -> tokens whose KV was imported */
  engine_cache_t *cache;
  gs_time_t token_interval;
  unsigned slots;
  /* Last load report; renewed only every load_lag.  */
  json_t *load;
  gs_time_t load_due;
  gs_time_t load_lag;
  uint64_t sequence;
  /* Set by orders.  */
  bool check_fencing;
  uint64_t fencing;
  json_t *order;
};

engine_t *
engine_create (upstream_t *upstream)
{
  engine_t *engine = g_new0 (engine_t, 1);

  engine->upstream = upstream;
  engine->streams
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, stream_free);
  engine->imported
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  engine->cache = engine_cache_create ();
  engine->token_interval = TOKEN_INTERVAL_DEFAULT;
  engine->slots = SLOTS_DEFAULT;
  engine->load_lag = LOAD_LAG_DEFAULT;
  engine->load = json_object ();
  engine->order = json_object ();
  return engine;
}

void
engine_destroy (engine_t *engine)
{
  json_decref (engine->order);
  json_decref (engine->load);
  engine_cache_destroy (engine->cache);
  g_hash_table_unref (engine->imported);
  g_hash_table_unref (engine->streams);
  g_free (engine);
}

void
engine_set (engine_t *engine, const json_t *settings)
{
  static const char *const order_fields[]
      = { "model", "version", "adapters", "role" };
  const json_t *check = json_object_get (settings, "check_fencing");

  if (check != NULL)
    engine->check_fencing = json_is_true (check);
  engine->token_interval
      = json_number (settings, "token_ms", engine->token_interval / GS_MSEC)
        * GS_MSEC;
  engine->load_lag
      = json_number (settings, "load_lag_ms", engine->load_lag / GS_MSEC)
        * GS_MSEC;
  engine->slots = (unsigned)json_number (settings, "slots", engine->slots);
  engine_cache_set (engine->cache, settings);
  for (size_t i = 0; i < G_N_ELEMENTS (order_fields); i++)
    {
      json_t *value = json_object_get (settings, order_fields[i]);

      if (value != NULL)
        json_object_set (engine->order, order_fields[i], value);
    }
}

json_t *
engine_state (const engine_t *engine)
{
  return json_copy (engine->order);
}

static unsigned
prompt_tokens (const char *prompt)
{
  return (unsigned)(strlen (prompt) / BYTES_PER_TOKEN + 1);
}

static void
reject (const fake_call_t *call, unsigned status, const char *reason)
{
  fake_call_t without_fault = *call;

  without_fault.fault = FAULT_NONE;
  fake_reply_json (&without_fault, status,
                   json_pack ("{s:s}", "reason", reason));
}

/* @return whether the emitted text is the first @p count tokens of the
   prompt.  */
static bool
emitted_matches (const json_t *body, uint32_t count)
{
  const json_t *emitted = json_object_get (body, "emitted");
  GString *text;
  bool equal;

  if (!json_is_string (emitted))
    return true;
  text = g_string_new (NULL);
  for (uint32_t i = 0; i < count; i++)
    {
      char token[FAKE_TOKEN_BYTES];

      fake_token (token, json_text (body, "prompt"), i);
      g_string_append (text, token);
    }
  equal = strcmp (text->str, json_string_value (emitted)) == 0;
  g_string_free (text, TRUE);
  return equal;
}

static void
start_stream (engine_t *engine, const fake_call_t *call, const json_t *body,
              const char *id, const char *mode, uint32_t from)
{
  bool moved = strcmp (mode, "moved") == 0;
  unsigned kv
      = moved ? GPOINTER_TO_UINT (g_hash_table_lookup (engine->imported, id))
              : 0;
  stream_t *stream = stream_create (id, body, engine->token_interval);
  unsigned cached_tokens = engine_cache_use (engine->cache, stream->prompt);
  unsigned prefill_tokens = prompt_tokens (stream->prompt) + from;
  unsigned recomputed = 0;

  if (moved)
    prefill_tokens = from > kv ? from - kv : 0;
  else
    prefill_tokens -= MIN (cached_tokens, prefill_tokens);
  if (from > 0 || json_number (body, "attempt", 1) > 1)
    recomputed = prefill_tokens;
  stream->produced = from;
  stream->due
      = gs_clock_now () + prefill_tokens / PREFILL_TOKENS_PER_MS * GS_MSEC;
  records_generation_add (engine->upstream->world->records, id, stream->prompt,
                          mode, engine->upstream->name, recomputed);
  stream_attach (stream, call, from, recomputed);
  g_hash_table_replace (engine->streams, stream->id, stream);
}

static void
handle_generation (engine_t *engine, const fake_call_t *call,
                   const json_t *body)
{
  const char *id = json_text (body, "request_id");
  const char *mode = json_text (body, "mode");
  uint32_t from = (uint32_t)json_number (body, "resume_from", 0);
  stream_t *stream;

  if (id[0] == '\0')
    id = gs_exchange_header (call->exchange, "X-Request-Id");
  if (id == NULL)
    id = ID_DEFAULT;
  if (mode[0] == '\0')
    mode = from > 0 ? "prefill" : "new";
  stream = g_hash_table_lookup (engine->streams, id);
  if (strcmp (mode, "resume") == 0 && stream != NULL
      && strcmp (stream->prompt, json_text (body, "prompt")) == 0)
    {
      stream->attempt = json_number (body, "attempt", stream->attempt);
      records_generation_add (engine->upstream->world->records, id,
                              stream->prompt, mode, engine->upstream->name, 0);
      stream_attach (stream, call, from, 0);
    }
  else if (strcmp (mode, "resume") == 0)
    reject (call, 404, "the stream is not held");
  else if (strcmp (mode, "moved") == 0
           && !g_hash_table_contains (engine->imported, id))
    reject (call, 404, "no KV cache was imported");
  else if (!emitted_matches (body, from))
    reject (call, 400, "the emitted text is not of this prompt");
  else
    start_stream (engine, call, body, id, mode, from);
}

static void
handle_cancel (engine_t *engine, const fake_call_t *call, const json_t *body)
{
  const char *id = json_text (body, "request_id");
  const stream_t *stream = g_hash_table_lookup (engine->streams, id);

  if (stream != NULL
      && stream->attempt <= json_number (body, "attempt", INT64_MAX))
    g_hash_table_remove (engine->streams, id);
  records_event_add (
      engine->upstream->world->records, "cancels",
      json_pack ("{s:s,s:s}", "request_id", id, "vm", engine->upstream->name));
  fake_reply_json (call, 200, json_object ());
}

static void
handle_order (engine_t *engine, const fake_call_t *call, const json_t *body)
{
  uint64_t fencing = (uint64_t)json_number (body, "fencing", 0);
  bool stale = fencing < engine->fencing;

  records_event_add (engine->upstream->world->records, "orders",
                     json_pack ("{s:s,s:O,s:b,s:b}", "vm",
                                engine->upstream->name, "order", body, "old",
                                stale, "accepted",
                                !stale || !engine->check_fencing));
  if (stale && engine->check_fencing)
    {
      fake_reply_json (call, 409, json_pack ("{s:s}", "reason", "fencing"));
      return;
    }
  engine->fencing = fencing;
  engine_set (engine, body);
  fake_reply_json (call, 200, json_object ());
}

static void
handle_kv (engine_t *engine, const fake_call_t *call, const char *id)
{
  const stream_t *stream = g_hash_table_lookup (engine->streams, id);
  size_t length;
  const char *body = gs_exchange_body (call->exchange, &length);
  json_t *kv;

  if (strcmp (gs_exchange_method (call->exchange), "PUT") != 0)
    {
      if (stream == NULL)
        reject (call, 404, "the stream is not held");
      else
        fake_reply_json (call, 200,
                         json_pack ("{s:s,s:I}", "request_id", id, "tokens",
                                    (json_int_t)stream->produced));
      return;
    }
  kv = json_loadb (body, length, 0, NULL);
  if (strcmp (json_text (kv, "request_id"), id) != 0)
    reject (call, 400, "the KV cache is of another request");
  else
    {
      g_hash_table_replace (
          engine->imported, g_strdup (id),
          GUINT_TO_POINTER ((guint)json_number (kv, "tokens", 0)));
      fake_reply_json (call, 200, json_object ());
    }
  json_decref (kv);
}

void
engine_call_handle (engine_t *engine, fake_call_t *call)
{
  const char *path = gs_exchange_path (call->exchange);
  size_t length;
  const char *text = gs_exchange_body (call->exchange, &length);
  json_t *body = json_loadb (text, length, 0, NULL);

  if (strcmp (path, "/v1/completions") == 0)
    {
      if (json_is_string (json_object_get (body, "prompt")))
        handle_generation (engine, call, body);
      else
        reject (call, 400, "no prompt");
    }
  else if (strcmp (path, "/cancel") == 0)
    handle_cancel (engine, call, body);
  else if (strcmp (path, "/orders") == 0 && json_is_object (body))
    handle_order (engine, call, body);
  else if (strcmp (path, "/load") == 0)
    fake_reply_json (call, 200, json_incref (engine->load));
  else if (strcmp (path, "/cache_events") == 0)
    engine_cache_call_handle (engine->cache, call);
  else if (g_str_has_prefix (path, "/kv/"))
    handle_kv (engine, call, path + 4);
  else
    fake_reply_json (call, 404, json_object ());
  json_decref (body);
}

/* Assigns free slots to queued streams: lowest priority number first, then
   earliest due.  @return the number of running streams.  */
static unsigned
assign_slots (engine_t *engine)
{
  GHashTableIter iter;
  gpointer value;
  unsigned running = 0;
  stream_t *best;

  g_hash_table_iter_init (&iter, engine->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    running += ((stream_t *)value)->running ? 1 : 0;
  while (running < engine->slots)
    {
      best = NULL;
      g_hash_table_iter_init (&iter, engine->streams);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          stream_t *stream = value;

          if (!stream->running && stream->expiry == 0
              && (best == NULL || stream->priority < best->priority
                  || (stream->priority == best->priority
                      && stream->due < best->due)))
            best = stream;
        }
      if (best == NULL)
        break;
      best->running = true;
      running++;
    }
  return running;
}

static void
report_load (engine_t *engine, unsigned running, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;
  unsigned queued = 0;
  unsigned queued_tokens = 0;

  if (now < engine->load_due)
    return;
  engine->load_due = now + engine->load_lag;
  g_hash_table_iter_init (&iter, engine->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const stream_t *stream = value;

      if (stream->running || stream->expiry != 0)
        continue;
      queued++;
      queued_tokens += prompt_tokens (stream->prompt);
    }
  json_decref (engine->load);
  engine->load = json_pack (
      "{s:i,s:i,s:i,s:i,s:i,s:I,s:I}", "running", (int)running, "queued",
      (int)queued, "queued_tokens", (int)queued_tokens, "kv_blocks_free",
      KV_BLOCKS_MAX - (int)running, "batch_max", (int)engine->slots, "fencing",
      (json_int_t)engine->fencing, "sequence", (json_int_t)++engine->sequence);
  json_object_update (engine->load, engine->order);
}

void
engine_tick (engine_t *engine, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;
  unsigned running = assign_slots (engine);

  g_hash_table_iter_init (&iter, engine->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!stream_step (value, now))
      g_hash_table_iter_remove (&iter);
  report_load (engine, running, now);
}
