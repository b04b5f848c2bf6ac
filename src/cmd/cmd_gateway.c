#include "cmd/cmd.h"
#include "cmd/options.h"

#include "garnetstack/log.h"
#include "gateway/gateway.h"
#include "gateway/traffic.h"
#include "policy/quarantine.h"
#include "platform/platform.h"

#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/* The process is killed at the end of the grace period.  This part of it is
   kept for the exit of the process, after the open requests have ended.  */
#define EXIT_TIME_MIN (400 * GS_MSEC)
/* Default, and the longest time that nodes tell each other of.  */
#define QUARANTINE_SECONDS_MAX ((int)(QUARANTINE_TTL / GS_SEC))

/* Values of --crossing.  */
static const char *const crossing_names[] = { [GS_CROSSING_ALWAYS] = "always",
                                              [GS_CROSSING_AUTO] = "auto",
                                              [GS_CROSSING_NEVER] = "never" };

/* @return false if a name is no value of --crossing; NULL is the default  */
static bool
parse_crossing (gs_crossing_t *out, const char *name)
{
  *out = GS_CROSSING_ALWAYS;
  for (unsigned i = 0; name != NULL && i < G_N_ELEMENTS (crossing_names); i++)
    if (strcmp (name, crossing_names[i]) == 0)
      {
        *out = (gs_crossing_t)i;
        return true;
      }
  return name == NULL;
}

static void
print_fault (void *context, const char *file, const char *section,
             const char *key, const char *reason)
{
  fprintf (stderr, "%s: [%s] %s: %s\n", file, section, key, reason);
}

/* @return time at which the signal to stop arrived  */
static gs_time_t
wait_for_stop_signal (const sigset_t *signals)
{
  int number;

  do
    {
      if (sigwait (signals, &number) != 0)
        continue;
      if (number == SIGHUP)
        gs_log (GS_LOG_INFO, "reload",
                "signal=hup effect=none reason=\"addresses and bounds are"
                " read only at the start\"");
    }
  while (number == SIGHUP);
  gs_log (GS_LOG_INFO, "stop", "signal=%d", number);
  return gs_clock_now ();
}

static int
run_until_signal (const gs_deployment_t *settings)
{
  gateway_t *gateway;
  sigset_t signals;
  gs_time_t signalled_at;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigaddset (&signals, SIGHUP);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  if (gateway_create (&gateway, settings) != GS_OK)
    {
      fprintf (stderr, "garnetstack gateway: %s\n", gs_error_last ());
      return GS_EXIT_FAILURE;
    }
  gs_log (GS_LOG_INFO, "start",
          "version=%s data_centre=%s callers=%s:%u seeds=%u seeds_left_out=%u"
          " quarantine_s=%lld detours=%u crossing=%s",
          GS_VERSION, settings->data_centre, settings->caller_endpoint.host,
          settings->caller_endpoint.port, settings->seed_count,
          settings->seeds_invalid,
          (long long)(settings->quarantine_time / GS_SEC),
          settings->detours_max, crossing_names[settings->crossing]);
  signalled_at = wait_for_stop_signal (&signals);
  gateway_leave (gateway,
                 signalled_at + settings->grace_period - EXIT_TIME_MIN);
  gateway_destroy (gateway);
  return GS_EXIT_OK;
}

static int
run_gateway (const char *path, int metrics_port, int quarantine_seconds,
             int detours, gs_crossing_t crossing)
{
  gs_deployment_t settings;
  int result = GS_EXIT_FAILURE;

  if (gs_platform_settings_read (&settings, path, print_fault, NULL) != GS_OK)
    return GS_EXIT_REJECTED;
  settings.metrics_port = (uint16_t)metrics_port;
  settings.quarantine_time = quarantine_seconds * GS_SEC;
  settings.detours_max = (unsigned)detours;
  settings.crossing = crossing;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (gs_log_open (GS_LOG_INFO, settings.node) == GS_OK)
    {
      result = run_until_signal (&settings);
      gs_log_close ();
    }
  else
    fprintf (stderr, "garnetstack gateway: %s\n", gs_error_last ());
  curl_global_cleanup ();
  return result;
}

int
gs_cmd_gateway (int argc, char **argv)
{
  char *path = NULL;
  int metrics_port = 0;
  int quarantine_seconds = QUARANTINE_SECONDS_MAX;
  int detours = TRAFFIC_DETOUR_SENDS_MAX;
  char *crossing_name = NULL;
  gs_crossing_t crossing;
  const GOptionEntry entries[]
      = { { "config", 'c', 0, G_OPTION_ARG_FILENAME, &path,
            "settings file in the platform's format", "FILE" },
          { "metrics-port", 'm', 0, G_OPTION_ARG_INT, &metrics_port,
            "serve metrics on this port", "PORT" },
          { "quarantine-seconds", 'q', 0, G_OPTION_ARG_INT,
            &quarantine_seconds,
            "how long requests that make replicas crash are refused; 0 to"
            " send them on",
            "N" },
          { "detours", 'd', 0, G_OPTION_ARG_INT, &detours,
            "to how many nodes a request is passed on while this one reaches"
            " no replica; 0 to refuse it",
            "N" },
          { "crossing", 0, 0, G_OPTION_ARG_STRING, &crossing_name,
            "whether requests are sent to replicas in other data centres:"
            " auto where that is worth more than it costs, never, or always"
            " without regard to data centres",
            "auto|never|always" },
          { 0 } };
  const gs_options_spec_t spec
      = { "gateway", "- run a node that forwards callers' requests", entries,
          NULL };
  int result;

  if (gs_options_parse (&spec, &argc, &argv, &result))
    {
      if (path == NULL)
        path = g_strdup (gs_platform_settings_path ());
      if (metrics_port < 0 || metrics_port > UINT16_MAX)
        {
          fprintf (stderr, "garnetstack gateway: --metrics-port is not a"
                           " port\n");
          result = GS_EXIT_USAGE;
        }
      else if (quarantine_seconds < 0
               || quarantine_seconds > QUARANTINE_SECONDS_MAX)
        {
          fprintf (stderr,
                   "garnetstack gateway: --quarantine-seconds is not from 0"
                   " to %d\n",
                   QUARANTINE_SECONDS_MAX);
          result = GS_EXIT_USAGE;
        }
      else if (detours < 0 || detours > TRAFFIC_DETOUR_SENDS_MAX)
        {
          fprintf (stderr,
                   "garnetstack gateway: --detours is not from 0 to %d\n",
                   TRAFFIC_DETOUR_SENDS_MAX);
          result = GS_EXIT_USAGE;
        }
      else if (!parse_crossing (&crossing, crossing_name))
        {
          fprintf (stderr, "garnetstack gateway: --crossing is not auto, never"
                           " or always\n");
          result = GS_EXIT_USAGE;
        }
      else if (path != NULL)
        result = run_gateway (path, metrics_port, quarantine_seconds, detours,
                              crossing);
      else
        {
          fprintf (stderr, "garnetstack gateway: --config is missing\n");
          result = GS_EXIT_USAGE;
        }
    }
  g_free (crossing_name);
  g_free (path);
  return result;
}
