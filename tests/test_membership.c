#include "check.h"

#include "control/membership.h"
#include "control/rendezvous.h"
#include "control/vm_list.h"
#include "wire/digest.h"

#include <string.h>

static gs_membership_t members;

/* Applies a VM list.  Each row is "name kind port state token" and is parsed
   from the JSON that the platform sends.  */
static void
apply_list (uint64_t revision, const char *const *rows)
{
  json_t *vms = json_array ();
  GArray *parsed;
  GArray *vm_rows;

  for (size_t i = 0; rows[i] != NULL; i++)
    {
      char **fields = g_strsplit (rows[i], " ", 5);

      json_array_append_new (
          vms,
          json_pack ("{s:s,s:s,s:s,s:i,s:i,s:s,s:s,s:s}", "name", fields[0],
                     "kind", fields[1], "address", "127.0.0.1", "port",
                     atoi (fields[2]), "peer_port", atoi (fields[2]), "state",
                     fields[3], "token", fields[4], "region", "r"));
      g_strfreev (fields);
    }
  parsed = gs_vms_from_json (vms);
  vm_rows = gs_vm_rows_create ((gs_vm_t *)parsed->data, parsed->len);
  gs_membership_list_apply (&members, GS_SEC, revision,
                            (gs_vm_row_t *)vm_rows->data, vm_rows->len, true);
  g_array_unref (vm_rows);
  g_array_unref (parsed);
  json_decref (vms);
}

#define APPLY_LIST(revision, ...)                                             \
  apply_list (revision, (const char *const[]){ __VA_ARGS__, NULL })

static int
find_state (const char *name)
{
  gs_member_upstream_t *upstream
      = gs_membership_upstream_find (&members, name);
  gs_member_node_t *node = gs_membership_node_find (&members, name);

  if (upstream != NULL)
    return (int)upstream->info.state;
  return node != NULL ? (int)node->info.state : GS_VM_GONE;
}

static void
a_notice_takes_precedence_over_a_list_that_lags (void)
{
  gs_membership_init (&members);
  APPLY_LIST (1, "e engine 1 live t");
  CU_ASSERT_EQUAL (find_state ("e"), GS_VM_LIVE);
  CU_ASSERT_TRUE (
      gs_membership_notice_add (&members, GS_SEC, "e", 9 * GS_SEC));
  CU_ASSERT_FALSE (
      gs_membership_notice_add (&members, GS_SEC, "e", 9 * GS_SEC));
  CU_ASSERT_EQUAL (find_state ("e"), GS_VM_LEAVING);
  APPLY_LIST (2, "e engine 1 live t");
  CU_ASSERT_EQUAL (find_state ("e"), GS_VM_LEAVING);
  /* The VM is still listed when the notice expires: it was not reclaimed.  */
  gs_membership_tick (&members, 100 * GS_SEC);
  CU_ASSERT_EQUAL (find_state ("e"), GS_VM_LIVE);
  gs_membership_clear (&members);
}

static void
a_notice_applies_to_a_vm_that_is_listed_later (void)
{
  gs_membership_init (&members);
  gs_membership_notice_add (&members, GS_SEC, "e", 9 * GS_SEC);
  APPLY_LIST (1, "e engine 1 live t");
  CU_ASSERT_EQUAL (find_state ("e"), GS_VM_LEAVING);
  gs_membership_clear (&members);
}

static void
a_vm_is_removed_after_two_lists_without_it (void)
{
  gs_membership_init (&members);
  APPLY_LIST (1, "e engine 1 live t", "f engine 2 live u");
  APPLY_LIST (2, "f engine 2 live u");
  CU_ASSERT_EQUAL (find_state ("e"), GS_VM_LIVE);
  APPLY_LIST (3, "f engine 2 live u");
  CU_ASSERT_EQUAL (find_state ("e"), GS_VM_GONE);
  CU_ASSERT_EQUAL (find_state ("f"), GS_VM_LIVE);
  gs_membership_clear (&members);
}

static void
a_reused_address_belongs_to_the_new_vm (void)
{
  gs_handle_t old;

  gs_membership_init (&members);
  APPLY_LIST (1, "e engine 1 live t");
  old = gs_table_next (members.upstreams, GS_HANDLE_NONE);
  APPLY_LIST (2, "f engine 1 live u");
  CU_ASSERT_EQUAL (find_state ("e"), GS_VM_GONE);
  CU_ASSERT_EQUAL (find_state ("f"), GS_VM_LIVE);
  CU_ASSERT_PTR_NULL (gs_table_get (members.upstreams, old));
  /* A new token under the same name means another VM, so the state of the old
     one is dropped.  */
  gs_membership_upstream_find (&members, "f")->info.reported_at = GS_SEC;
  APPLY_LIST (3, "f engine 1 live v");
  CU_ASSERT_EQUAL (
      gs_membership_upstream_find (&members, "f")->info.reported_at, 0);
  gs_membership_clear (&members);
}

static void
an_older_list_is_ignored_unless_the_platform_was_restored (void)
{
  gs_membership_init (&members);
  APPLY_LIST (5, "e engine 1 leaving t");
  APPLY_LIST (4, "e engine 1 live t");
  CU_ASSERT_EQUAL (find_state ("e"), GS_VM_LEAVING);
  APPLY_LIST (4, "e engine 1 live t");
  APPLY_LIST (4, "e engine 1 live t");
  CU_ASSERT_EQUAL (find_state ("e"), GS_VM_LIVE);
  gs_membership_clear (&members);
}

static gs_time_t
find_generation_at (const char *name)
{
  return gs_membership_node_find (&members, name)->info.generation_at;
}

static void
the_age_of_a_generation_starts_at_its_first_heartbeat (void)
{
  gs_config_id_t config_ids[] = { { 1, 1 }, { 2, 1 } };

  gs_membership_init (&members);
  APPLY_LIST (1, "n node 1 live t");
  gs_membership_peer_up (&members, GS_SEC, "n", 10);
  CU_ASSERT_EQUAL (find_generation_at ("n"), 0);
  gs_membership_heartbeat_receive (&members, 2 * GS_SEC, "n", 10,
                                   config_ids[0], false);
  gs_membership_heartbeat_receive (&members, 3 * GS_SEC, "n", 10,
                                   config_ids[0], false);
  CU_ASSERT_EQUAL (find_generation_at ("n"), 2 * GS_SEC);
  gs_membership_heartbeat_receive (&members, 4 * GS_SEC, "n", 10,
                                   config_ids[1], false);
  CU_ASSERT_EQUAL (find_generation_at ("n"), 4 * GS_SEC);
  gs_membership_heartbeat_receive (&members, 5 * GS_SEC, "n", 9, config_ids[0],
                                   false);
  CU_ASSERT_EQUAL (find_generation_at ("n"), 4 * GS_SEC);
  gs_membership_clear (&members);
}

static void
a_new_incarnation_does_not_inherit_the_leaving_state (void)
{
  gs_config_id_t config_id = { 1, 1 };

  gs_membership_init (&members);
  APPLY_LIST (1, "n node 1 live t");
  gs_membership_peer_up (&members, GS_SEC, "n", 10);
  gs_membership_heartbeat_receive (&members, GS_SEC, "n", 10, config_id, true);
  CU_ASSERT_EQUAL (find_state ("n"), GS_VM_LEAVING);
  gs_membership_peer_up (&members, GS_SEC, "n", 11);
  CU_ASSERT_EQUAL (find_state ("n"), GS_VM_LIVE);
  /* Late messages of the old process are ignored.  */
  CU_ASSERT_FALSE (gs_membership_heartbeat_receive (&members, GS_SEC, "n", 10,
                                                    config_id, true));
  gs_membership_peer_down (&members, "n", 10);
  CU_ASSERT_TRUE (gs_membership_node_find (&members, "n")->info.connected);
  gs_membership_clear (&members);
}

static void
a_connected_node_stays_while_it_is_not_listed (void)
{
  gs_membership_init (&members);
  APPLY_LIST (1, "n node 1 live t");
  gs_membership_peer_up (&members, GS_SEC, "n", 10);
  APPLY_LIST (2, "e engine 9 live t");
  APPLY_LIST (3, "e engine 9 live t");
  CU_ASSERT_EQUAL (find_state ("n"), GS_VM_LIVE);
  gs_membership_peer_down (&members, "n", 10);
  CU_ASSERT_EQUAL (find_state ("n"), GS_VM_GONE);
  gs_membership_clear (&members);
}

static void
the_notice_digest_depends_only_on_the_names_of_notices (void)
{
  gs_membership_t other;

  gs_membership_init (&members);
  gs_membership_init (&other);
  gs_membership_notice_add (&members, GS_SEC, "a", 9 * GS_SEC);
  gs_membership_notice_add (&members, GS_SEC, "b", 9 * GS_SEC);
  gs_membership_notice_add (&other, GS_SEC, "b", 8 * GS_SEC);
  CU_ASSERT_NOT_EQUAL (members.notice_digest, other.notice_digest);
  gs_membership_notice_add (&other, GS_SEC, "a", 8 * GS_SEC);
  CU_ASSERT_EQUAL (members.notice_digest, other.notice_digest);
  gs_membership_clear (&other);
  gs_membership_clear (&members);
}

static void
rendezvous_chooses_the_requested_number_of_nodes (void)
{
  const char *nodes[] = { "a", "b", "c", "d", "e" };
  char job[16];

  for (int j = 0; j < 50; j++)
    for (unsigned count = 1; count <= 6; count++)
      {
        unsigned chosen = 0;

        g_snprintf (job, sizeof job, "job-%d", j);
        for (size_t i = 0; i < 5; i++)
          chosen += gs_rendezvous_is_chosen (job, nodes[i], nodes, 5, count);
        CU_ASSERT_EQUAL (chosen, MIN (count, 5));
      }
}

static void
loads_survive_a_round_trip_and_truncated_ones_are_rejected (void)
{
  gs_load_record_t record = { 1, 2, 3, UINT32_MAX, 5, 6 };
  GByteArray *bytes = g_byte_array_new ();
  GArray *out = g_array_new (FALSE, FALSE, sizeof record);

  gs_loads_pack (bytes, &record, 1);
  CU_ASSERT_EQUAL (gs_loads_unpack (out, (char *)bytes->data, bytes->len),
                   GS_OK);
  CU_ASSERT_EQUAL_FATAL (out->len, 1);
  CU_ASSERT_EQUAL (memcmp (out->data, &record, sizeof record), 0);
  for (guint length = 0; length < bytes->len; length++)
    CU_ASSERT_EQUAL (gs_loads_unpack (out, (char *)bytes->data, length),
                     GS_EINVAL);
  CU_ASSERT_EQUAL (out->len, 1);
  g_array_unref (out);
  g_byte_array_unref (bytes);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "a_notice_takes_precedence_over_a_list_that_lags",
      a_notice_takes_precedence_over_a_list_that_lags },
    { "a_notice_applies_to_a_vm_that_is_listed_later",
      a_notice_applies_to_a_vm_that_is_listed_later },
    { "a_vm_is_removed_after_two_lists_without_it",
      a_vm_is_removed_after_two_lists_without_it },
    { "a_reused_address_belongs_to_the_new_vm",
      a_reused_address_belongs_to_the_new_vm },
    { "an_older_list_is_ignored_unless_the_platform_was_restored",
      an_older_list_is_ignored_unless_the_platform_was_restored },
    { "the_age_of_a_generation_starts_at_its_first_heartbeat",
      the_age_of_a_generation_starts_at_its_first_heartbeat },
    { "a_new_incarnation_does_not_inherit_the_leaving_state",
      a_new_incarnation_does_not_inherit_the_leaving_state },
    { "a_connected_node_stays_while_it_is_not_listed",
      a_connected_node_stays_while_it_is_not_listed },
    { "the_notice_digest_depends_only_on_the_names_of_notices",
      the_notice_digest_depends_only_on_the_names_of_notices },
    { "rendezvous_chooses_the_requested_number_of_nodes",
      rendezvous_chooses_the_requested_number_of_nodes },
    { "loads_survive_a_round_trip_and_truncated_ones_are_rejected",
      loads_survive_a_round_trip_and_truncated_ones_are_rejected },
  };

  return CHECK_RUN ("membership", cases);
}
