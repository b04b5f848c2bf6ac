#include "check.h"

#include "control/drain.h"

#include <string.h>

#define VM_ENTRY(name, drain)                                                 \
  "[class c]\nowner=o\npurpose=p\n"                                           \
  "[vm " name "]\nowner=o\npurpose=p\nclass=c\ndrain=" drain "\n"

static gs_snapshot_t *
create_snapshot (const char *text)
{
  gs_snapshot_t *snapshot = gs_snapshot_new (1, 1);

  g_strlcpy (snapshot->nodes[0].name, "node-1", GS_NAME_BYTES);
  g_strlcpy (snapshot->upstreams[0].name, "engine-1", GS_NAME_BYTES);
  if (text != NULL)
    CU_ASSERT_EQUAL_FATAL (gs_catalogue_parse (&snapshot->catalogue, text,
                                               strlen (text), "t", NULL, NULL),
                           GS_OK);
  return snapshot;
}

static void
only_drained_vms_are_marked_leaving (void)
{
  static const struct
  {
    const char *text;
    gs_vm_state_t node;
    gs_vm_state_t upstream;
    bool self;
  } cases[] = {
    { NULL, GS_VM_LIVE, GS_VM_LIVE, false },
    { "", GS_VM_LIVE, GS_VM_LIVE, false },
    { VM_ENTRY ("engine-1", "true"), GS_VM_LIVE, GS_VM_LEAVING, false },
    { VM_ENTRY ("engine-1", "false"), GS_VM_LIVE, GS_VM_LIVE, false },
    { VM_ENTRY ("node-1", "true"), GS_VM_LEAVING, GS_VM_LIVE, true },
    { VM_ENTRY ("node-2", "true"), GS_VM_LIVE, GS_VM_LIVE, false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      gs_snapshot_t *snapshot = create_snapshot (cases[i].text);

      gs_drain_apply (snapshot, "node-1");
      CU_ASSERT_EQUAL (snapshot->nodes[0].state, cases[i].node);
      CU_ASSERT_EQUAL (snapshot->upstreams[0].state, cases[i].upstream);
      CU_ASSERT_EQUAL (snapshot->self_leaving, cases[i].self);
      gs_snapshot_free (snapshot);
    }
}

static void
a_gone_vm_stays_gone (void)
{
  gs_snapshot_t *snapshot = create_snapshot (VM_ENTRY ("engine-1", "true"));

  snapshot->upstreams[0].state = GS_VM_GONE;
  gs_drain_apply (snapshot, "node-1");
  CU_ASSERT_EQUAL (snapshot->upstreams[0].state, GS_VM_GONE);
  gs_snapshot_free (snapshot);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "only_drained_vms_are_marked_leaving",
      only_drained_vms_are_marked_leaving },
    { "a_gone_vm_stays_gone", a_gone_vm_stays_gone },
  };

  return CHECK_RUN ("drain", cases);
}
