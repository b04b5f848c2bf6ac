/* Runs the stand-ins: one platform, and engines and services spread over four
   data centres.  Stops on SIGTERM or SIGINT.  */
#include "fakes/fakes.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>

#define UPSTREAMS_MAX 256

int
main (int argc, char **argv)
{
  int port = 0;
  int engines = 8;
  int services = 4;
  const GOptionEntry entries[]
      = { { "port", 'p', 0, G_OPTION_ARG_INT, &port, "platform's port", "N" },
          { "engines", 'e', 0, G_OPTION_ARG_INT, &engines, "engines", "N" },
          { "services", 's', 0, G_OPTION_ARG_INT, &services, "services", "N" },
          { 0 } };
  GOptionContext *context = g_option_context_new ("- host the stand-ins");
  fake_world_options_t options;
  fake_world_t *world;
  sigset_t signals;
  int signal_number;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL) || engines < 0
      || engines > UPSTREAMS_MAX || services < 0 || services > UPSTREAMS_MAX)
    return 2;
  g_option_context_free (context);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  options = (fake_world_options_t){ (uint16_t)port, (unsigned)engines,
                                    (unsigned)services };
  if (fake_world_create (&world, &options) != GS_OK)
    {
      fprintf (stderr, "gs_fakes: %s\n", gs_error_last ());
      return 1;
    }
  printf ("port=%u\n", fake_world_port (world));
  fflush (stdout);
  sigwait (&signals, &signal_number);
  fake_world_destroy (world);
  return 0;
}
