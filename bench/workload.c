#include "workload.h"

#include <string.h>

/* Shortest pause between two turns of a conversation.  */
#define THINK_TIME_MIN (8 * GS_SEC)
#define CONVERSATIONS_MAX 64
#define TURNS_MAX 8

static const workload_user_t users[] = {
  { "curdwright",
    18,
    70,
    1024,
    { 50, 25, 15, 7, 3 },
    { { "chat", 75, 4, 600, 120, 150, 60, 800 * GS_MSEC, 60 * GS_MSEC },
      { "tag", 25, 2, 500, 60, 16, 0, 800 * GS_MSEC, 60 * GS_MSEC } } },
  { "association",
    9,
    30,
    1024,
    { 45, 30, 15, 7, 3 },
    { { "roster", 30, 8, 4000, 150, 300, 0, 3000 * GS_MSEC, 80 * GS_MSEC },
      { "quick", 50, 3, 300, 100, 80, 0, 1200 * GS_MSEC, 80 * GS_MSEC },
      { "tag", 20, 2, 400, 60, 16, 0, 1200 * GS_MSEC, 80 * GS_MSEC } } },
  { "two_years",
    1100,
    50,
    1024,
    { 50, 25, 15, 7, 3 },
    { { "chat", 60, 60, 700, 120, 150, 50, 800 * GS_MSEC, 60 * GS_MSEC },
      { "roster", 20, 200, 4000, 150, 300, 0, 3000 * GS_MSEC, 60 * GS_MSEC },
      { "tag", 20, 40, 500, 60, 16, 0, 800 * GS_MSEC, 60 * GS_MSEC } } },
};

typedef struct
{
  GArray *blocks;    /* uint64_t chain hashes of prompts and answers */
  uint32_t tokens;   /* total length of prompts and answers */
  unsigned turns;    /* TURNS_MAX when the conversation must not continue */
  gs_time_t used_at; /* time of the latest turn */
} conversation_t;

struct workload
{
  const workload_user_t *user;
  gs_rng_t rng;
  GPtrArray *conversations[WORKLOAD_ACCOUNTS];
};

const workload_user_t *
workload_user_find (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (users); i++)
    if (strcmp (users[i].name, name) == 0)
      return &users[i];
  return NULL;
}

static void
conversation_free (gpointer data)
{
  conversation_t *conversation = data;

  g_array_unref (conversation->blocks);
  g_free (conversation);
}

void
workload_create (workload_t **out, const workload_user_t *user, uint64_t seed)
{
  workload_t *workload = g_new0 (workload_t, 1);

  workload->user = user;
  gs_rng_seed (&workload->rng, seed);
  for (unsigned i = 0; i < WORKLOAD_ACCOUNTS; i++)
    workload->conversations[i]
        = g_ptr_array_new_with_free_func (conversation_free);
  *out = workload;
}

void
workload_destroy (workload_t *workload)
{
  for (unsigned i = 0; i < WORKLOAD_ACCOUNTS; i++)
    g_ptr_array_unref (workload->conversations[i]);
  g_free (workload);
}

/* @return a length drawn from 0.5 to 1.5 times the mean.  */
static uint32_t
draw_length (workload_t *workload, unsigned mean)
{
  return (uint32_t)(mean / 2 + gs_rng_below (&workload->rng, mean) + 1);
}

/* Extends a prompt to a number of tokens with blocks whose hashes derive from
   the content identifier.  */
static void
extend_blocks (GArray *blocks, uint32_t tokens, uint64_t content)
{
  while (blocks->len < tokens / GS_PREFIX_BLOCK_TOKENS)
    {
      uint64_t parent = blocks->len == 0 ? 0
                                         : g_array_index (blocks, uint64_t,
                                                          blocks->len - 1);
      uint64_t hash = gs_prefix_chain_next (parent, &content, sizeof content);

      g_array_append_val (blocks, hash);
    }
}

static unsigned
choose_account (workload_t *workload)
{
  uint64_t draw = gs_rng_below (&workload->rng, 100);
  unsigned account = 0;

  while (account + 1 < WORKLOAD_ACCOUNTS
         && draw >= workload->user->account_percent[account])
    draw -= workload->user->account_percent[account++];
  return account;
}

static const workload_kind_t *
choose_kind (workload_t *workload)
{
  const workload_kind_t *kinds = workload->user->kinds;
  uint64_t draw = gs_rng_below (&workload->rng, 100);
  unsigned kind = 0;

  while (kind + 1 < WORKLOAD_KINDS_MAX && kinds[kind + 1].percent > 0
         && draw >= kinds[kind].percent)
    draw -= kinds[kind++].percent;
  return &kinds[kind];
}

/* @return index of a prefix; low indices are drawn more often.  */
static unsigned
choose_prefix (workload_t *workload, unsigned count)
{
  double draw = gs_rng_unit (&workload->rng);

  return (unsigned)(draw * draw * count);
}

/* @return a conversation that may continue, NULL when none of four random
   ones may.  */
static conversation_t *
choose_conversation (workload_t *workload, unsigned account, gs_time_t now)
{
  GPtrArray *all = workload->conversations[account];

  for (unsigned i = 0; i < 4 && all->len > 0; i++)
    {
      conversation_t *conversation
          = all->pdata[gs_rng_below (&workload->rng, all->len)];

      if (conversation->used_at + THINK_TIME_MIN <= now
          && conversation->turns < TURNS_MAX)
        return conversation;
    }
  return NULL;
}

/* @return content identifier of a shared prefix.  */
static uint64_t
prefix_content_id (unsigned account, unsigned kind, unsigned prefix)
{
  const uint64_t parts[] = { account, kind, prefix };

  return gs_prefix_chain_next (0, parts, sizeof parts);
}

static conversation_t *
new_conversation (workload_t *workload, unsigned account,
                  const workload_kind_t *kind)
{
  GPtrArray *all = workload->conversations[account];
  conversation_t *conversation = g_new0 (conversation_t, 1);
  unsigned prefix = choose_prefix (workload, kind->prefix_count);
  uint64_t content = prefix_content_id (
      account, (unsigned)(kind - workload->user->kinds), prefix);

  conversation->blocks = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  conversation->tokens
      = kind->prefix_tokens / 2 + (uint32_t)(content % kind->prefix_tokens);
  extend_blocks (conversation->blocks, conversation->tokens, content);
  if (all->len >= CONVERSATIONS_MAX)
    g_ptr_array_remove_index_fast (
        all, (guint)gs_rng_below (&workload->rng, all->len));
  g_ptr_array_add (all, conversation);
  return conversation;
}

void
workload_next (workload_t *workload, gs_time_t now, int account,
               workload_request_t *out)
{
  conversation_t *conversation = NULL;
  const workload_kind_t *kind = choose_kind (workload);

  out->account = account >= 0 ? (unsigned)account : choose_account (workload);
  out->kind = kind;
  if (gs_rng_below (&workload->rng, 100) < kind->continue_percent)
    conversation = choose_conversation (workload, out->account, now);
  if (conversation == NULL)
    conversation = new_conversation (workload, out->account, kind);
  conversation->tokens += draw_length (workload, kind->unshared_tokens);
  extend_blocks (conversation->blocks, conversation->tokens,
                 gs_rng_next (&workload->rng));
  out->prompt_tokens = conversation->tokens;
  out->output_tokens = draw_length (workload, kind->output_tokens);
  out->blocks = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_array_append_vals (out->blocks, conversation->blocks->data,
                       conversation->blocks->len);
  conversation->tokens += out->output_tokens;
  extend_blocks (conversation->blocks, conversation->tokens,
                 gs_rng_next (&workload->rng));
  conversation->turns
      = kind->continue_percent > 0 ? conversation->turns + 1 : TURNS_MAX;
  conversation->used_at = now;
}

void
workload_user_means (const workload_user_t *user, double *prompt_tokens,
                     double *output_tokens)
{
  *prompt_tokens = 0;
  *output_tokens = 0;
  for (unsigned i = 0; i < WORKLOAD_KINDS_MAX; i++)
    {
      const workload_kind_t *kind = &user->kinds[i];
      double turns = kind->continue_percent > 0
                         ? 100.0 / (100 - kind->continue_percent)
                         : 1;
      double turn_tokens = kind->unshared_tokens + kind->output_tokens;

      *prompt_tokens += kind->percent / 100.0
                        * (kind->prefix_tokens + kind->unshared_tokens
                           + (turns - 1) * turn_tokens);
      *output_tokens += kind->percent / 100.0 * kind->output_tokens;
    }
}
