/**
 * @file control_harness.h
 * Shared functions of the tests of configuration, membership and placement on
 * real processes: one cluster, catalogue edits, reclaims and calls.
 */
#ifndef GS_TESTS_CONTROL_HARNESS_H
#define GS_TESTS_CONTROL_HARNESS_H

#include "check.h"
#include "process_harness.h"

#define CONTROL_ENGINES 12
#define CONTROL_SERVICES 4
#define ENTRY_BYTES 512

extern cluster_t cluster;

/** Start the cluster before the first case; for later cases only reset the
    count of failed control calls. */
void control_begin (void);

/** Stop the cluster if it was started. */
void control_end (void);

/** Inject a fault at the stand-ins. */
void inject_fault (const char *text);

/** Reclaim the VMs that match a field. */
void reclaim_vms (const char *field, const char *value, int notice_ms,
                  bool announced);

/** Write a catalogue entry of an account. */
void account_entry (char out[ENTRY_BYTES], const char *name,
                    const char *purpose);

/** Start an edit; cluster_answer_wait() waits for its answer. */
void start_catalogue_edit (cluster_answer_t *out, unsigned node,
                           const char *key, uint64_t generation,
                           const char *text);

/** Edit the catalogue.  @return HTTP status */
long edit_catalogue (unsigned node, const char *key, uint64_t generation,
                     const char *text);

/** Check the HTTP status of the latest edit. */
void check_status (long status, long expected);

/** Generate a unique entry name. */
void next_unique_name (char out[32]);

/** Add an account under a new name.  @return HTTP status */
long add_entry (unsigned node, char name[32]);

/** @return true when the catalogue of a node contains a text. */
bool catalogue_has (unsigned node, const char *part);

/** Check that every running node has an accepted edit. */
void check_edit_is_active (const char *part, uint64_t generation);

/** Start calls of one kind at a node. */
void start_calls (call_kind_t kind, unsigned count, unsigned node,
                  uint32_t tokens);

/** Check that every call received its expected answer and every charge ran
    once. */
void check_calls (void);

/** Start a stopped node under a new name and wait until all are ready. */
void replace_node (unsigned node);

/** @return true when the addresses that a node returns contain a name. */
bool addresses_contain (unsigned node, const char *name);

/** Get the name of the live engine with an index in the VM list, "" for
    none. */
void find_live_engine (char out[64], unsigned number);

/** Reclaim the live engine with an index in the VM list.
    @param out receives its name */
void reclaim_engine (char out[64], unsigned number, int notice_ms,
                     bool announced);

/** @return true when every node answers and none lists an upstream as live. */
bool upstream_is_leaving (const char *name);

/** Check that upstream_is_leaving() becomes true within 60 s. */
void check_upstream_is_leaving (const char *name);

/** Run test cases in order on one cluster.  @return exit code of the program
 */
int control_run (const char *suite, const check_case_t *rows, size_t count);

/** @return true when a node's /readyz answers 200. */
bool is_ready (unsigned node);

/** Restart a node under a new name with a peer key that its peers reject. */
void start_with_wrong_key (unsigned node);

#endif
