/**
 * @file bench.h
 * Subcommands of gs_bench.  Each returns the exit status of the process: 0, 1
 * for a failure or a missed target, 2 for invalid arguments.
 */
#ifndef GS_BENCH_BENCH_H
#define GS_BENCH_BENCH_H

int bench_routing (int argc, char **argv);
int bench_decide (int argc, char **argv);
int bench_plot (int argc, char **argv);
int bench_load (int argc, char **argv);
int bench_slopes (int argc, char **argv);
int bench_node (int argc, char **argv);
int bench_control (int argc, char **argv);
int bench_peers (int argc, char **argv);
int bench_capacity (int argc, char **argv);
int bench_log (int argc, char **argv);
int bench_catalogue (int argc, char **argv);

#endif
