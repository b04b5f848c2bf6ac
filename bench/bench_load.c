#include "bench.h"

#include "garnetstack/loop.h"
#include "garnetstack/rng.h"

#include <curl/curl.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_INTERVAL (2 * GS_MSEC)
#define CALL_TIMEOUT (60 * GS_SEC)
#define RATE_MAX 200
#define REQUESTS_MAX 20000
#define PREFIX_BYTES 2048
#define PROGRESS_TIMEOUT (30 * GS_SEC)

typedef struct
{
  char **urls;
  char *key;
  char *model;
  int rate;
  int requests;
  int tokens;
  int prefixes;
  int seed;
} arguments_t;

typedef struct
{
  arguments_t arguments;
  gs_loop_t *loop;
  gs_rng_t rng;
  unsigned url_count;
  unsigned started;
  unsigned ended;
  unsigned answered;
  unsigned rejected;
  unsigned failed;
  gs_time_t next_start_at;
  gs_time_t started_at;
  GArray *first_ms; /* double, from the intended start to the first token */
  GArray *total_ms; /* double, from the intended start to the end */
} load_run_t;

typedef struct
{
  load_run_t *load;
  gs_time_t intended_at;
  bool first_token_received;
  bool completed; /* the end marker has arrived */
} call_t;

static void
record_latency (GArray *times, gs_time_t since)
{
  double ms = (double)(gs_clock_now () - since) / GS_MSEC;

  g_array_append_val (times, ms);
}

static bool
on_data (void *context, const char *data, size_t length)
{
  call_t *call = context;

  if (!call->first_token_received
      && g_strstr_len (data, (gssize)length, "text") != NULL)
    {
      call->first_token_received = true;
      record_latency (call->load->first_ms, call->intended_at);
    }
  if (g_strstr_len (data, (gssize)length, "[DONE]") != NULL)
    call->completed = true;
  return true;
}

static void
on_done (void *context, const gs_http_result_t *result)
{
  call_t *call = context;
  load_run_t *load = call->load;

  load->ended++;
  if (result->status == GS_OK && result->http_status == 200 && call->completed)
    {
      load->answered++;
      record_latency (load->total_ms, call->intended_at);
    }
  else if (result->http_status == 429 || result->http_status == 503)
    load->rejected++;
  else
    load->failed++;
  g_free (call);
  if (load->ended == (unsigned)load->arguments.requests)
    gs_loop_stop (load->loop);
}

/* Makes a request whose prompt has a shared prefix and a unique end.  Engines
   tell requests apart by request_id; nodes assign an id themselves.  */
static char *
make_body (load_run_t *load)
{
  GString *body = g_string_new (NULL);
  uint64_t prefix
      = gs_rng_below (&load->rng, (uint64_t)MAX (load->arguments.prefixes, 1));

  g_string_printf (body,
                   "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%d,"
                   "\"request_id\":\"load-%u\",\"prompt\":\"",
                   load->arguments.model, load->arguments.tokens,
                   load->started);
  for (size_t start = body->len; body->len - start < PREFIX_BYTES;)
    g_string_append_printf (body, "shared text %llu. ",
                            (unsigned long long)prefix);
  g_string_append_printf (body, "question %u\"}", load->started);
  return g_string_free (body, FALSE);
}

static void
start_call (load_run_t *load, gs_time_t intended_at)
{
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  call_t *call = g_new0 (call_t, 1);
  char *body = make_body (load);
  char *url = g_strdup_printf (
      "%s/v1/completions",
      load->arguments.urls[load->started % load->url_count]);
  char *bearer
      = g_strdup_printf ("Authorization: Bearer %s", load->arguments.key);
  const char *headers[] = { "Content-Type: application/json", bearer, NULL };

  call->load = load;
  call->intended_at = intended_at;
  request.method = "POST";
  request.url = url;
  request.headers = headers;
  request.body = body;
  request.body_length = strlen (body);
  request.deadline = gs_clock_now () + CALL_TIMEOUT;
  request.progress_deadline = gs_clock_now () + PROGRESS_TIMEOUT;
  request.on_data = on_data;
  request.on_done = on_done;
  request.context = call;
  load->started++;
  gs_loop_http (NULL, load->loop, &request);
  g_free (bearer);
  g_free (url);
  g_free (body);
}

/* Starts the calls that are due.  Latency counts from the intended start, so
   that a late start of the generator is not hidden.  */
static void
on_tick (void *context)
{
  load_run_t *load = context;
  gs_time_t now = gs_clock_now ();

  while (load->next_start_at <= now
         && load->started < (unsigned)load->arguments.requests)
    {
      start_call (load, load->next_start_at);
      load->next_start_at += (gs_time_t)(-log (1 - gs_rng_unit (&load->rng))
                                         / load->arguments.rate * GS_SEC);
    }
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

static double
percentile (GArray *values, unsigned percent)
{
  if (values->len == 0)
    return 0;
  qsort (values->data, values->len, sizeof (double), compare_doubles);
  return g_array_index (values, double, values->len *percent / 100);
}

static void
print_result (load_run_t *load)
{
  double seconds = (double)(gs_clock_now () - load->started_at) / GS_SEC;

  printf ("load requests=%u answered=%u refused=%u failed=%u seconds=%.1f "
          "first_p50_ms=%.2f first_p95_ms=%.2f first_p99_ms=%.2f "
          "whole_p50_ms=%.2f whole_p95_ms=%.2f\n",
          load->started, load->answered, load->rejected, load->failed, seconds,
          percentile (load->first_ms, 50), percentile (load->first_ms, 95),
          percentile (load->first_ms, 99), percentile (load->total_ms, 50),
          percentile (load->total_ms, 95));
}

static bool
read_arguments (arguments_t *out, int argc, char **argv)
{
  const GOptionEntry entries[] = {
    { "url", 'u', 0, G_OPTION_ARG_STRING_ARRAY, &out->urls,
      "node or engine on the loopback interface; may be repeated", "URL" },
    { "key", 'k', 0, G_OPTION_ARG_STRING, &out->key, "account key", "KEY" },
    { "model", 'm', 0, G_OPTION_ARG_STRING, &out->model, "model", "NAME" },
    { "rate", 'r', 0, G_OPTION_ARG_INT, &out->rate, "requests per second",
      "N" },
    { "requests", 'n', 0, G_OPTION_ARG_INT, &out->requests, "requests", "N" },
    { "tokens", 't', 0, G_OPTION_ARG_INT, &out->tokens,
      "max_tokens of each request", "N" },
    { "prefixes", 'p', 0, G_OPTION_ARG_INT, &out->prefixes,
      "number of shared prefixes", "N" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &out->seed, "seed", "N" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *options = g_option_context_new ("");
  bool valid;

  g_option_context_add_main_entries (options, entries, NULL);
  valid = g_option_context_parse (options, &argc, &argv, NULL)
          && out->urls != NULL && out->key != NULL && out->model != NULL
          && out->rate > 0 && out->rate <= RATE_MAX && out->requests > 0
          && out->requests <= REQUESTS_MAX;
  g_option_context_free (options);
  for (char **url = out->urls; valid && *url != NULL; url++)
    valid = g_str_has_prefix (*url, "http://127.0.0.1:");
  return valid;
}

int
bench_load (int argc, char **argv)
{
  load_run_t load = {
    .arguments
    = { .rate = 20, .requests = 200, .tokens = 32, .prefixes = 8, .seed = 1 }
  };

  if (!read_arguments (&load.arguments, argc, argv))
    {
      fprintf (stderr,
               "gs_bench load: requires --url http://127.0.0.1:PORT, --key, "
               "--model, a rate of 1 to %d and 1 to %d requests\n",
               RATE_MAX, REQUESTS_MAX);
      return 2;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  gs_rng_seed (&load.rng, (uint64_t)load.arguments.seed);
  load.url_count = g_strv_length (load.arguments.urls);
  load.first_ms = g_array_new (FALSE, FALSE, sizeof (double));
  load.total_ms = g_array_new (FALSE, FALSE, sizeof (double));
  gs_loop_create (&load.loop);
  load.started_at = gs_clock_now ();
  load.next_start_at = load.started_at;
  gs_loop_tick_set (load.loop, TICK_INTERVAL, on_tick, &load);
  gs_loop_run (load.loop);
  print_result (&load);
  gs_loop_destroy (load.loop);
  g_array_unref (load.first_ms);
  g_array_unref (load.total_ms);
  g_strfreev (load.arguments.urls);
  g_free (load.arguments.key);
  g_free (load.arguments.model);
  curl_global_cleanup ();
  return load.failed == 0 ? 0 : 1;
}
