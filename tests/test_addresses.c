#include "check.h"

#include "node/addresses.h"

#include <string.h>

#define DRAWS 2000
#define NODES 10

#define ACCOUNT(name, digit, rate)                                            \
  "[account " name "]\nowner=o\npurpose=p\nclass=c\nrequests_per_sec=" rate   \
  "\nkeys=" digit "f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c1"    \
  "5b0f00a08\n"

static const char catalogue_text[]
    = "[class c]\nowner=o\npurpose=p\n" ACCOUNT ("large", "1", "900")
        ACCOUNT ("small", "2", "100");

static gs_snapshot_t *
make_snapshot (size_t nodes, size_t data_centres)
{
  gs_snapshot_t *snapshot = gs_snapshot_new (nodes, 0);

  CU_ASSERT_EQUAL_FATAL (
      gs_catalogue_parse (&snapshot->catalogue, catalogue_text,
                          sizeof catalogue_text - 1, "t", NULL, NULL),
      GS_OK);
  for (size_t i = 0; i < nodes; i++)
    {
      gs_node_info_t *node = &snapshot->nodes[i];

      g_snprintf (node->name, sizeof node->name, "node-%zu", i);
      g_snprintf (node->data_centre, sizeof node->data_centre, "dc-%zu",
                  i % data_centres);
      node->connected = true;
    }
  return snapshot;
}

static const gs_account_t *
find_account (const gs_snapshot_t *snapshot, const char *name)
{
  return (const gs_account_t *)gs_catalogue_find (snapshot->catalogue,
                                                  GS_KIND_ACCOUNT, name);
}

static void
lists_are_usable_and_span_data_centres (void)
{
  static const struct
  {
    size_t nodes;
    size_t data_centres;
    size_t count_min; /* number of entries */
    bool spans;
  } cases[] = {
    { 0, 1, 0, false },  { 1, 1, 1, false }, { 2, 1, 2, false },
    { 2, 2, 2, true },   { 5, 4, 2, true },  { 10, 2, 2, true },
    { 370, 4, 2, true },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      gs_snapshot_t *snapshot
          = make_snapshot (cases[i].nodes, cases[i].data_centres);
      gs_rng_t rng;

      gs_rng_seed (&rng, i);
      for (int draw = 0; draw < 100; draw++)
        {
          size_t out[GS_ADDRESSES_MAX];
          size_t count = gs_addresses_choose (
              out, snapshot, "node-0",
              find_account (snapshot, draw % 2 == 0 ? "small" : "large"),
              &rng);

          CU_ASSERT_TRUE_FATAL (count >= cases[i].count_min);
          if (cases[i].spans)
            CU_ASSERT_STRING_NOT_EQUAL (snapshot->nodes[out[0]].data_centre,
                                        snapshot->nodes[out[1]].data_centre);
        }
      gs_snapshot_free (snapshot);
    }
}

static void
unusable_nodes_are_not_listed (void)
{
  gs_snapshot_t *snapshot = make_snapshot (NODES, 2);
  gs_rng_t rng;

  gs_rng_seed (&rng, 1);
  snapshot->nodes[1].state = GS_VM_LEAVING;
  snapshot->nodes[2].connected = false;
  snapshot->self_leaving = true;
  for (int draw = 0; draw < 100; draw++)
    {
      size_t out[GS_ADDRESSES_MAX];
      size_t count = gs_addresses_choose (
          out, snapshot, "node-0", find_account (snapshot, "large"), &rng);

      for (size_t i = 0; i < count; i++)
        CU_ASSERT_TRUE (out[i] > 2);
    }
  gs_snapshot_free (snapshot);
}

/* The callers of an account spread evenly over its nodes: a small account has
   few, a large one most of them.  */
static void
accounts_use_nodes_by_request_rate (void)
{
  static const struct
  {
    const char *account;
    size_t nodes;
  } cases[] = { { "small", 2 }, { "large", 9 } };

  for (size_t c = 0; c < sizeof cases / sizeof *cases; c++)
    {
      gs_snapshot_t *snapshot = make_snapshot (NODES, 2);
      unsigned first[NODES] = { 0 };
      size_t used = 0;
      gs_rng_t rng;

      gs_rng_seed (&rng, 7);
      for (int draw = 0; draw < DRAWS; draw++)
        {
          size_t out[GS_ADDRESSES_MAX];

          gs_addresses_choose (out, snapshot, "node-0",
                               find_account (snapshot, cases[c].account),
                               &rng);
          first[out[0]]++;
        }
      for (size_t i = 0; i < NODES; i++)
        if (first[i] > 0)
          {
            used++;
            CU_ASSERT_TRUE (first[i] > DRAWS / cases[c].nodes / 2);
            CU_ASSERT_TRUE (first[i] < DRAWS / cases[c].nodes * 2);
          }
      CU_ASSERT_EQUAL (used, cases[c].nodes);
      gs_snapshot_free (snapshot);
    }
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "lists_are_usable_and_span_data_centres",
      lists_are_usable_and_span_data_centres },
    { "unusable_nodes_are_not_listed", unusable_nodes_are_not_listed },
    { "accounts_use_nodes_by_request_rate",
      accounts_use_nodes_by_request_rate },
  };

  return CHECK_RUN ("addresses", cases);
}
