/* Measures the cost of forwarding tokens in a running node: requests answers
   of growing length and reads the metrics of the node before and after each
   length.  */
#include "bench.h"

#include "garnetstack/loop.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TOKENS_MIN 8
#define POINTS 6
#define REQUESTS 64
#define IN_FLIGHT_MAX 32
#define CALL_TIMEOUT (120 * GS_SEC)

typedef struct
{
  char *node;
  char *operator_port;
  char *key;
  char *model;
} options_t;

typedef struct
{
  const options_t *options;
  gs_loop_t *loop;
  unsigned tokens;    /* of each answer */
  unsigned started;   /* calls */
  unsigned in_flight; /* calls */
  unsigned completed; /* calls answered completely */
  size_t bytes;       /* of all answers */
} measurement_t;

/* Metrics of the node at a point in time.  */
typedef struct
{
  double process_usec;
  double control_usec;
  double peer_usec;
  double resident;
} counters_t;

typedef struct
{
  gs_loop_t *loop;
  counters_t *out;
  bool succeeded;
} metrics_read_t;

static void start_calls (measurement_t *measurement);

static double
find_counter (const char *text, const char *name)
{
  const char *position = strstr (text, name);

  return position != NULL ? g_ascii_strtod (position + strlen (name), NULL)
                          : 0;
}

static void
on_counters (void *context, const gs_http_result_t *result)
{
  metrics_read_t *reading = context;
  counters_t *out = reading->out;

  reading->succeeded = result->status == GS_OK && result->http_status == 200;
  if (reading->succeeded)
    {
      out->process_usec
          = find_counter (result->body, "garnetstack_process_cpu_usec_total ");
      out->control_usec = find_counter (
          result->body,
          "garnetstack_thread_cpu_usec_total{thread=\"control\"} ");
      out->peer_usec = find_counter (
          result->body, "garnetstack_thread_cpu_usec_total{thread=\"peer\"} ");
      out->resident
          = find_counter (result->body, "garnetstack_process_resident_bytes ");
    }
  gs_loop_stop (reading->loop);
}

static bool
read_counters (const options_t *options, counters_t *out)
{
  metrics_read_t reading = { NULL, out, false };
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  char *url = g_strdup_printf ("%s/metrics", options->operator_port);

  gs_loop_create (&reading.loop);
  request.url = url;
  request.deadline = gs_clock_now () + CALL_TIMEOUT;
  request.on_done = on_counters;
  request.context = &reading;
  gs_loop_http (NULL, reading.loop, &request);
  gs_loop_run (reading.loop);
  gs_loop_destroy (reading.loop);
  g_free (url);
  return reading.succeeded;
}

static void
on_answer (void *context, const gs_http_result_t *result)
{
  measurement_t *measurement = context;

  measurement->in_flight--;
  measurement->bytes += result->body_length;
  if (result->status == GS_OK && result->http_status == 200
      && g_str_has_suffix (result->body, "data: [DONE]\n\n"))
    measurement->completed++;
  start_calls (measurement);
}

static char *
make_body (const measurement_t *measurement)
{
  char *prompt = g_strdup_printf ("measure %u of %u", measurement->started,
                                  measurement->tokens);
  json_t *root = json_pack (
      "{s:s,s:s,s:i,s:b}", "model", measurement->options->model, "prompt",
      prompt, "max_tokens", (int)measurement->tokens, "stream", 1);
  char *text = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  g_free (prompt);
  return text;
}

static void
start_call (measurement_t *measurement)
{
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  char *url
      = g_strdup_printf ("%s/v1/completions", measurement->options->node);
  char *header = g_strdup_printf ("Authorization: Bearer %s",
                                  measurement->options->key);
  const char *headers[] = { header, NULL };
  char *body = make_body (measurement);

  measurement->started++;
  measurement->in_flight++;
  request.method = "POST";
  request.url = url;
  request.headers = headers;
  request.body = body;
  request.body_length = strlen (body);
  request.deadline = gs_clock_now () + CALL_TIMEOUT;
  request.on_done = on_answer;
  request.context = measurement;
  gs_loop_http (NULL, measurement->loop, &request);
  free (body);
  g_free (header);
  g_free (url);
}

static void
start_calls (measurement_t *measurement)
{
  while (measurement->in_flight < IN_FLIGHT_MAX
         && measurement->started < REQUESTS)
    start_call (measurement);
  if (measurement->in_flight == 0)
    gs_loop_stop (measurement->loop);
}

static bool
measure (const options_t *options, unsigned tokens)
{
  measurement_t measurement = { .options = options, .tokens = tokens };
  counters_t before;
  counters_t after;
  gs_time_t start;

  if (!read_counters (options, &before))
    return false;
  start = gs_clock_now ();
  gs_loop_create (&measurement.loop);
  start_calls (&measurement);
  gs_loop_run (measurement.loop);
  gs_loop_destroy (measurement.loop);
  if (!read_counters (options, &after))
    return false;
  printf ("point role=node_tokens variable=tokens operation=\"%d answers\" "
          "n=%u usec=%.0f memory=%.0f wire=%zu control_usec=%.0f "
          "peer_usec=%.0f elapsed_usec=%lld whole=%u\n",
          REQUESTS, tokens * REQUESTS,
          after.process_usec - before.process_usec, after.resident,
          measurement.bytes, after.control_usec - before.control_usec,
          after.peer_usec - before.peer_usec,
          (long long)(gs_clock_now () - start), measurement.completed);
  return measurement.completed == REQUESTS;
}

int
bench_node (int argc, char **argv)
{
  options_t options = { NULL, NULL, NULL, NULL };
  const GOptionEntry entries[]
      = { { "node", 'n', 0, G_OPTION_ARG_STRING, &options.node,
            "URL of the node for callers", "URL" },
          { "operator", 'o', 0, G_OPTION_ARG_STRING, &options.operator_port,
            "URL of the node for operators", "URL" },
          { "key", 'k', 0, G_OPTION_ARG_STRING, &options.key, "account key",
            "KEY" },
          { "model", 'm', 0, G_OPTION_ARG_STRING, &options.model,
            "model to request", "NAME" },
          { 0 } };
  GOptionContext *context = g_option_context_new (
      "- measure the cost of tokens in a running node");
  int result = 0;
  unsigned tokens = TOKENS_MIN;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL)
      || options.node == NULL || options.operator_port == NULL
      || options.key == NULL || options.model == NULL)
    {
      fprintf (stderr, "gs_bench node: all options are needed\n");
      result = 2;
    }
  for (int i = 0; result == 0 && i < POINTS; i++, tokens *= 2)
    if (!measure (&options, tokens))
      result = 1;
  g_free (options.node);
  g_free (options.operator_port);
  g_free (options.key);
  g_free (options.model);
  g_option_context_free (context);
  return result;
}
