/**
 * @file vm_list.h
 * The platform's list of VMs: conversion to rows of the membership tables,
 * and the difference between two lists, so that only changes are sent to
 * peers.
 */
#ifndef GS_CONTROL_VM_LIST_H
#define GS_CONTROL_VM_LIST_H

#include "control/membership.h"
#include "garnetstack/cloud.h"

#include <jansson.h>

/** Digests of the entries of the last list. */
typedef struct gs_vm_list gs_vm_list_t;

/** Create an empty list; freed with gs_vm_list_destroy(). */
void gs_vm_list_create (gs_vm_list_t **out);
void gs_vm_list_destroy (gs_vm_list_t *list);

/** Convert entries of the VM list to rows for the membership tables.
    @return array of gs_vm_row_t in the order of @p vms; freed with
    g_array_unref() */
GArray *gs_vm_rows_create (const gs_vm_t *vms, size_t count);

/** Parse a JSON array of entries of the VM list.
    @return array of gs_vm_t without the entries that have no name; freed with
    g_array_unref() */
GArray *gs_vms_from_json (const json_t *array);

/**
 * Replace the list by a complete new one.
 * @return the changes, {"vms":[...],"gone":[...]} with the added or changed
 * entries and the names of the removed ones, or NULL if there are none; freed
 * with json_decref()
 */
json_t *gs_vm_list_replace (gs_vm_list_t *list, const gs_vm_t *vms,
                            size_t count);

/** Apply changes that a peer sent, in the format of
    gs_vm_list_replace(). */
void gs_vm_list_changes_apply (gs_vm_list_t *list, const json_t *changes);

#endif
