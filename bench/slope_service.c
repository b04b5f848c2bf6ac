#include "slope_roles.h"

#include "control/placement.h"
#include "garnetstack/catalogue_edit.h"
#include "node/addresses.h"

#include <string.h>

#define ACCOUNTS 16
#define DATA_CENTRES 3
#define REPLICAS_MAX 10000

static gs_slope_sample_t
run_discovery (uint32_t n)
{
  gs_snapshot_t *snapshot = gs_slope_snapshot (n, 0);
  char *text = gs_slope_catalogue (ACCOUNTS);
  const gs_account_t *account;
  size_t chosen[GS_ADDRESSES_MAX];
  gs_slope_sample_t sample = { 0 };
  gs_rng_t rng;
  double start;

  gs_catalogue_parse (&snapshot->catalogue, text, strlen (text), "bench", NULL,
                      NULL);
  account = (const gs_account_t *)gs_catalogue_at (snapshot->catalogue,
                                                   GS_KIND_ACCOUNT, 0);
  gs_rng_seed (&rng, 1);
  start = gs_processor_usec ();
  for (unsigned i = 0; i < gs_slope_repeats; i++)
    gs_addresses_choose (chosen, snapshot, "node-0", account, &rng);
  gs_slope_sample_finish (&sample, start);
  gs_snapshot_free (snapshot);
  g_free (text);
  return sample;
}

/* Edits one entry of a catalogue of n accounts.  */
static gs_slope_sample_t
run_catalogue_edit (uint32_t n)
{
  static const char entry[] = "[account shop-0]\nowner=curdwright\n"
                              "purpose=a shop\nclass=counter\n"
                              "requests_per_sec=7\n";
  char *text = gs_slope_catalogue (n);
  gs_catalogue_edit_t edit = { .text = entry,
                               .length = sizeof entry - 1,
                               .operator_name = "dana",
                               .change_id = "bench" };
  gs_slope_sample_t sample = { 0 };
  double start = gs_processor_usec ();

  for (unsigned i = 0; i < gs_slope_repeats; i++)
    {
      GPtrArray *conflicts = gs_catalogue_conflicts_new ();
      GString *out = g_string_new (NULL);

      gs_catalogue_edit (out, conflicts, text, &edit);
      sample.wire = (double)out->len;
      g_string_free (out, TRUE);
      g_ptr_array_unref (conflicts);
    }
  gs_slope_sample_finish (&sample, start);
  g_free (text);
  return sample;
}

static void
fill_vms (gs_pool_vm_t *vms, uint32_t n)
{
  for (uint32_t i = 0; i < n; i++)
    {
      g_snprintf (vms[i].name, sizeof vms[i].name, "engine-%u", i);
      g_snprintf (vms[i].data_centre, sizeof vms[i].data_centre, "dc-%u",
                  i % DATA_CENTRES);
      g_strlcpy (vms[i].model, GS_SLOPE_TARGET, sizeof vms[i].model);
      g_strlcpy (vms[i].version, "v1", sizeof vms[i].version);
      vms[i].fencing = 1;
      vms[i].reclaimable = true;
      vms[i].price_micros = 1000000;
      vms[i].running = 8;
    }
}

/* Ticks the placement of a pool of n replicas.  */
static gs_slope_sample_t
run_placement (uint32_t n)
{
  static const char *const data_centres[DATA_CENTRES]
      = { "dc-0", "dc-1", "dc-2" };
  gs_pool_spec_t spec = { .pool = "pool",
                          .model = GS_SLOPE_TARGET,
                          .version = "v1",
                          .reclaimable = true,
                          .replicas_min = n / 2,
                          .replicas_max = REPLICAS_MAX };
  gs_pool_vm_t *vms = g_new0 (gs_pool_vm_t, n);
  GArray *actions = g_array_new (FALSE, TRUE, sizeof (gs_placement_action_t));
  gs_placement_t placement;
  gs_slope_sample_t sample = { 0 };
  double start;

  fill_vms (vms, n);
  gs_placement_init (&placement, "pool", 1);
  gs_placement_spec_set (&placement, &spec, data_centres, DATA_CENTRES);
  gs_placement_fencing_set (&placement, GS_SEC, 1);
  start = gs_processor_usec ();
  for (unsigned i = 0; i < gs_slope_repeats; i++)
    {
      g_array_set_size (actions, 0);
      gs_placement_tick (&placement, (i + 2) * GS_SEC, vms, n, actions);
    }
  gs_slope_sample_finish (&sample, start);
  gs_placement_clear (&placement);
  g_array_unref (actions);
  g_free (vms);
  return sample;
}

const gs_slope_role_t gs_service_roles[] = {
  { "discovery", "nodes", "answer", 24, 6, run_discovery },
  { "catalogue_edit", "entries", "edit", 64, 6, run_catalogue_edit },
  { "placement", "replicas", "tick", 64, 6, run_placement },
  { NULL, NULL, NULL, 0, 0, NULL },
};
