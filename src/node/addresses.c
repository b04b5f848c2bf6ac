#include "node/addresses.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define NODES_MIN 2

typedef struct
{
  size_t index;
  uint64_t score;
} candidate_t;

static bool
node_usable (const gs_snapshot_t *snapshot, const gs_node_info_t *node,
             const char *self)
{
  if (strcmp (node->name, self) == 0)
    return node->state == GS_VM_LIVE && !snapshot->self_leaving;
  return node->state == GS_VM_LIVE && node->connected;
}

/* Rendezvous hashing: each account ranks the nodes in its own order, and the
   removal of a node does not change the order of the others.  */
static uint64_t
rendezvous_score (const gs_account_t *account, const gs_node_info_t *node)
{
  uint64_t seed
      = XXH3_64bits (account->entry.name, strlen (account->entry.name));

  return XXH3_64bits_withSeed (node->name, strlen (node->name), seed);
}

static int
compare_scores (const void *a, const void *b)
{
  const candidate_t *left = a;
  const candidate_t *right = b;

  return (left->score < right->score) - (left->score > right->score);
}

static GArray *
rank_nodes (const gs_snapshot_t *snapshot, const char *self,
            const gs_account_t *account)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (candidate_t));

  for (size_t i = 0; i < snapshot->node_count; i++)
    {
      const gs_node_info_t *node = &snapshot->nodes[i];
      candidate_t candidate = { i, rendezvous_score (account, node) };

      if (node_usable (snapshot, node, self))
        g_array_append_val (candidates, candidate);
    }
  g_array_sort (candidates, compare_scores);
  return candidates;
}

static size_t
account_node_count (const gs_catalogue_t *catalogue,
                    const gs_account_t *account, size_t nodes)
{
  size_t count = gs_catalogue_count (catalogue, GS_KIND_ACCOUNT);
  uint64_t sum = 0;
  size_t share;

  for (size_t i = 0; i < count; i++)
    sum += ((const gs_account_t *)gs_catalogue_at (catalogue, GS_KIND_ACCOUNT,
                                                   i))
               ->requests_per_sec;
  share
      = (size_t)((nodes * account->requests_per_sec + sum - 1) / MAX (sum, 1));
  return CLAMP (share, MIN (NODES_MIN, nodes), nodes);
}

static const char *
data_centre_at (const gs_snapshot_t *snapshot, const GArray *candidates,
                size_t position)
{
  return snapshot
      ->nodes[g_array_index (candidates, candidate_t, position).index]
      .data_centre;
}

static void
swap_candidates (GArray *candidates, size_t a, size_t b)
{
  candidate_t saved = g_array_index (candidates, candidate_t, a);

  g_array_index (candidates, candidate_t, a)
      = g_array_index (candidates, candidate_t, b);
  g_array_index (candidates, candidate_t, b) = saved;
}

/* Swaps the node at @p position with the first node from there to @p end whose
   data centre differs from that of the node before @p position.  Changes
   nothing if there is none.  */
static void
spread_data_centres (const gs_snapshot_t *snapshot, GArray *candidates,
                     size_t position, size_t end)
{
  const char *previous = data_centre_at (snapshot, candidates, position - 1);

  for (size_t i = position; i < end; i++)
    if (strcmp (data_centre_at (snapshot, candidates, i), previous) != 0)
      {
        swap_candidates (candidates, position, i);
        return;
      }
}

static void
shuffle (GArray *candidates, size_t count, gs_rng_t *rng)
{
  for (size_t i = count; i > 1; i--)
    swap_candidates (candidates, i - 1, gs_rng_below (rng, i));
}

size_t
gs_addresses_choose (size_t out[GS_ADDRESSES_MAX],
                     const gs_snapshot_t *snapshot, const char *self,
                     const gs_account_t *account, gs_rng_t *rng)
{
  GArray *candidates = rank_nodes (snapshot, self, account);
  size_t nodes = candidates->len;
  size_t count = account_node_count (snapshot->catalogue, account, nodes);

  if (nodes >= NODES_MIN)
    {
      /* The first call puts a second data centre among the account's nodes,
         the second one puts it into the second place of the shuffled list.  */
      spread_data_centres (snapshot, candidates, 1, nodes);
      shuffle (candidates, count, rng);
      spread_data_centres (snapshot, candidates, 1, count);
    }
  count = MIN (count, GS_ADDRESSES_MAX);
  for (size_t i = 0; i < count; i++)
    out[i] = g_array_index (candidates, candidate_t, i).index;
  g_array_unref (candidates);
  return count;
}
