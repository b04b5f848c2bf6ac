/**
 * @file process_harness.h
 * Runs the stand-ins and five nodes in four data centres as real processes.
 * The environment variables GS_FAKES and GS_BINARY name their programs.
 */
#ifndef GS_TESTS_PROCESS_HARNESS_H
#define GS_TESTS_PROCESS_HARNESS_H

#include "caller_harness.h"
#include <jansson.h>
#include <signal.h>
#include <sys/types.h>

#define CLUSTER_NODES 5
#define CLUSTER_ACCOUNT "test-account-key"
#define CLUSTER_OPERATOR "test-operator-key"
#define CLUSTER_OPERATOR_2 "other-operator-key"

typedef struct
{
  char name[32];
  char data_centre[16];
  char peer_key[32];
  pid_t pid; /* 0 when the process does not run */
  bool paused;
  uint16_t caller_port;
  uint16_t operator_port;
  uint16_t peer_port;
} node_process_t;

typedef struct
{
  pid_t fakes;
  char *platform; /* base URL of the stand-ins */
  node_process_t nodes[CLUSTER_NODES];
  char *urls[CLUSTER_NODES + 1]; /* for callers, NULL-ended */
  char *directory;
  GArray *reserved_ports; /* reserved_port_t, for the nodes */
  gs_loop_t *loop;
  callers_t callers;
  bool (*condition) (void *context);
  void *context;
  gs_time_t deadline;
  bool condition_met;
  unsigned vm_count;         /* VMs named so far; makes names unique */
  unsigned control_failures; /* control calls that the stand-ins refused */
} cluster_t;

/** Answer of an HTTP call; release it with cluster_answer_clear(). */
typedef struct
{
  gs_status_t status;
  long http_status;
  char *body;
  bool done;
} cluster_answer_t;

void cluster_answer_clear (cluster_answer_t *answer);

/** Start the stand-ins and create the directory of settings and logs, without
    starting a node. */
void cluster_create (cluster_t *cluster, unsigned engines, unsigned services);

/** Start the stand-ins and all nodes, apply a catalogue and wait until all
    nodes are ready; exits the program when that fails. */
void cluster_start (cluster_t *cluster, unsigned engines, unsigned services,
                    const char *catalogue);

/** Kill all processes and remove the directory, unless GS_KEEP_LOGS is set. */
void cluster_stop (cluster_t *cluster);

/** Write the settings of a node, add its VM to the VM list and start it. */
void cluster_node_start (cluster_t *cluster, unsigned node);

/** Send a signal to a node; with SIGKILL, also wait until the process ends. */
void cluster_node_signal (cluster_t *cluster, unsigned node, int number);

/** @return true once the process has ended; @p code is then set to its exit
    code or 128 + signal, and left as it is when the end was seen before. */
bool cluster_node_ended (cluster_t *cluster, unsigned node, int *code);

/** Give a stopped node a new name and new ports, as on a new VM, and remove
   the old VM from the VM list. */
void cluster_node_renew (cluster_t *cluster, unsigned node);

/** Run the loop until a condition holds.  @return false when it does not hold
    within 60 s */
bool cluster_wait (cluster_t *cluster, bool (*condition) (void *),
                   void *context);

/** Run the loop for a fixed time. */
void cluster_run_for (cluster_t *cluster, gs_time_t time);

/** Wait until every running node is ready and connected to all others.
    @return false when this takes more than 60 s */
bool cluster_wait_ready (cluster_t *cluster);

/** Wait until no call is pending.  @return false when this takes more than
    60 s */
bool cluster_wait_calls (cluster_t *cluster);

/** Call a node's operator port.  @param header further header line or NULL */
void cluster_operator_call (cluster_answer_t *out, cluster_t *cluster,
                            unsigned node, const char *method,
                            const char *path, const char *operator_key,
                            const char *header, const char *body);

/** Start a call of a node's operator port; cluster_answer_wait() waits for the
    answer. */
void cluster_operator_call_start (cluster_answer_t *out, cluster_t *cluster,
                                  unsigned node, const char *method,
                                  const char *path, const char *operator_key,
                                  const char *header, const char *body);
void cluster_answer_wait (cluster_t *cluster, cluster_answer_t *answer);

/** GET from a node's caller port. */
void cluster_caller_get (cluster_answer_t *out, cluster_t *cluster,
                         unsigned node, const char *account_key,
                         const char *path);

/** POST to the control interface of the stand-ins; failures are counted. */
void cluster_fakes_post (cluster_t *cluster, const char *path,
                         const char *body);

/** GET from the stand-ins.  @return JSON; the caller releases it */
json_t *cluster_fakes_get (cluster_t *cluster, const char *path);

/** @return how often the service executed the call with this key. */
unsigned cluster_executions (cluster_t *cluster, const char *key);

/** @return number of calls of the stand-ins that a fault has affected. */
uint64_t cluster_fault_count (cluster_t *cluster);

/** @return a catalogue for tests; the caller frees it. */
char *cluster_catalogue (void);

/** @return catalogue generation active on a node, 0 when there is none or the
    node does not answer */
uint64_t cluster_generation (cluster_t *cluster, unsigned node);

/** Wait until every running node has at least this generation.
    @return false when this takes more than 60 s */
bool cluster_wait_generation (cluster_t *cluster, uint64_t generation);

#endif
