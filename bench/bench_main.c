#include "bench.h"

#include <stddef.h>
#include <stdio.h>
#include <string.h>

static const struct
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *purpose;
} commands[] = {
  { "routing", bench_routing, "compare routing policies in virtual time" },
  { "decide", bench_decide, "time routing decisions: [REPLICAS [DECISIONS]]" },
  { "plot", bench_plot, "turn results of routing into a gnuplot script" },
  { "load", bench_load, "send requests to nodes at a given rate" },
  { "control", bench_control, "simulate the control of a fleet" },
  { "peers", bench_peers,
    "simulate what gateways tell each other: [NODES"
    " [LOSS]]" },
  { "slopes", bench_slopes, "measure the cost of each role by size" },
  { "catalogue", bench_catalogue, "measure parsing and editing catalogues" },
  { "log", bench_log, "time log lines: [LINES]" },
  { "node", bench_node, "measure the processor time of a running node" },
  { "capacity", bench_capacity, "compute tables of capacity: FILE" },
};

int
main (int argc, char **argv)
{
  for (size_t i = 0; argc > 1 && i < sizeof commands / sizeof *commands; i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return commands[i].run (argc - 1, argv + 1);
  fprintf (stderr, "usage: %s COMMAND [OPTION...]\n", argv[0]);
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    fprintf (stderr, "  %-10s %s\n", commands[i].name, commands[i].purpose);
  return 2;
}
