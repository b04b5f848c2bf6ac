#include "cmd/cmd.h"
#include "cmd/options.h"

#include "garnetstack/log.h"
#include "node/node.h"

#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>

#define SIGNAL_POLL_INTERVAL_NSEC 50000000
#define LEAVE_TIMEOUT (120 * GS_SEC)

static void
print_fault (void *context, const char *file, const char *section,
             const char *key, const char *reason)
{
  fprintf (stderr, "%s: [%s] %s: %s\n", file, section, key, reason);
}

/* Waits for a signal or for the notice that the VM is reclaimed.
   @return time by which the node must have stopped  */
static gs_time_t
wait_for_stop (const gs_node_t *node, const sigset_t *signals)
{
  static const struct timespec poll_interval
      = { 0, SIGNAL_POLL_INTERVAL_NSEC };
  gs_time_t deadline;

  while (sigtimedwait (signals, NULL, &poll_interval) < 0)
    if (gs_node_leave_requested (node, &deadline))
      return MIN (deadline, gs_clock_now () + LEAVE_TIMEOUT);
  return gs_clock_now () + LEAVE_TIMEOUT;
}

static int
run_until_signal (const gs_settings_t *settings)
{
  gs_node_t *node;
  sigset_t signals;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  if (gs_node_create (&node, settings) != GS_OK)
    {
      fprintf (stderr, "garnetstack node: %s\n", gs_error_last ());
      return GS_EXIT_FAILURE;
    }
  gs_node_leave (node, wait_for_stop (node, &signals));
  gs_node_destroy (node);
  return GS_EXIT_OK;
}

/* Settings with faults are rejected before any thread starts.  */
static int
run_node (const char *path)
{
  gs_settings_t settings;
  int result = GS_EXIT_FAILURE;

  if (gs_settings_read (&settings, path, print_fault, NULL) != GS_OK)
    return GS_EXIT_REJECTED;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (gs_log_open (settings.log_level, settings.name) == GS_OK)
    {
      result = run_until_signal (&settings);
      gs_log_close ();
    }
  else
    fprintf (stderr, "garnetstack node: %s\n", gs_error_last ());
  curl_global_cleanup ();
  return result;
}

int
gs_cmd_node (int argc, char **argv)
{
  char *path = NULL;
  const GOptionEntry entries[]
      = { { "config", 'c', 0, G_OPTION_ARG_FILENAME, &path,
            "settings file of the node", "FILE" },
          { 0 } };
  const gs_options_spec_t spec
      = { "node", "- run the daemon of an entry VM", entries, NULL };
  int result;

  if (gs_options_parse (&spec, &argc, &argv, &result))
    {
      if (path != NULL)
        result = run_node (path);
      else
        {
          fprintf (stderr, "garnetstack node: --config is missing\n");
          result = GS_EXIT_USAGE;
        }
    }
  g_free (path);
  return result;
}
