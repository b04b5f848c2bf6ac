#include "gateway/quota.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* tests/test_quota.c bounds the constants below from both sides: the limit
   must hold over all nodes, and an account below its limit must not be
   rejected.  */

/* Slots that a window is counted in; a slot is dropped once it lies outside
   the window completely.  */
#define SLOTS 32
/* Part of a node's equal share that is reserved for the node.  The rest is in
   a pool from which nodes draw in proportion to their recent use.  */
#define OWN_PART 0.5
/* Added to a node's use, as a ratio of its share, when its part of the pool is
   computed, so that a node without use can draw as well.  */
#define DRAW_LEAST 0.25
/* A restarted node without reports of older peers assumes that its previous
   process used this part of the share, evenly over the window.  For an account
   that surges it assumes that the whole share has just been used.  */
#define UNKNOWN_PART 0.6
/* An account that has used PACE_FROM of its share and whose demand is SURGE
   times the rate of the share is paced: it is admitted at the rate of the
   share only.  Otherwise a surge would use the limit of a whole window at
   once, delay the requests of other accounts, and leave nothing for most of
   the window.  */
#define PACE_FROM 0.3
#define SURGE 1.4
/* Pace as a ratio of the rate of the share; the rest covers the burst that a
   limit allows and the use before the surge.  */
#define PACE_PART 0.9
/* Burst that pacing allows: the pace times this time, or this many requests of
   mean size, whichever is more.  */
#define PACE_BURST (1400 * GS_MSEC)
#define PACE_REQUESTS 3
/* Time in which the measured demand decays by a factor of e.  */
#define ASKED_FADES (500 * GS_MSEC)
/* Weight of one request in the mean request size.  */
#define SIZE_WEIGHT (1.0 / 16)
/* Longest time after which the reports of peers are summed up again.  */
#define SUM_INTERVAL (100 * GS_MSEC)
/* Shortest retry time that is given to a rejected caller.  */
#define AGAIN_LEAST (50 * GS_MSEC)

/* Marks a slot in which no use was reported to the peers.  */
#define NOT_TOLD (-1.0)

/* A peer's report on an account.  */
typedef struct
{
  double used;
  double carried;
} use_t;

typedef struct
{
  gs_time_t heard_at;
  GHashTable *uses; /* account -> use_t */
} node_t;

typedef struct
{
  uint64_t name;
  double most;
  double slots[SLOTS];
  double claims[SLOTS]; /* least use that this node reported, by slot; NOT_TOLD
                           if it reported none */
  int64_t newest;       /* number of the newest slot since time 0 */
  double used;          /* sum of the slots */
  double others;        /* held by all peers: used, reserved or assumed */
  double others_use;    /* reported by peers whose reports are fresh */
  double carried;       /* used by the previous process of this node */
  bool carried_known;   /* estimated from reports of older nodes */
  bool surged;          /* within a window from the start of the process */
  gs_time_t blocked_until; /* end of the time in which the share makes up for
                              an admitted amount above the whole share */
  double asked;            /* recent demand, decays exponentially */
  gs_time_t asked_at;      /* of the last request */
  double size;             /* mean of a request */
  gs_time_t paced_at;      /* when the next request is due at an even pace */
} account_t;

struct quota
{
  gs_time_t window;
  gs_time_t started;
  bool first;
  quota_fleet_t fleet;
  unsigned members; /* highest number in the last window */
  gs_time_t members_until;
  GHashTable *accounts; /* name -> account_t */
  GHashTable *nodes;    /* id -> node_t */
  gs_time_t sum_due;
};

static void
node_free (gpointer data)
{
  node_t *node = data;

  g_hash_table_unref (node->uses);
  g_free (node);
}

void
quota_create (quota_t **out, gs_time_t window, gs_time_t started, bool first)
{
  quota_t *quota = g_new0 (quota_t, 1);

  quota->window = window;
  quota->started = started;
  quota->first = first;
  quota->fleet = (quota_fleet_t){ 1, GS_SEC, GS_SEC };
  quota->members = 1;
  quota->accounts
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  quota->nodes
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, node_free);
  *out = quota;
}

void
quota_destroy (quota_t *quota)
{
  if (quota == NULL)
    return;
  g_hash_table_unref (quota->nodes);
  g_hash_table_unref (quota->accounts);
  g_free (quota);
}

void
quota_set (quota_t *quota, uint64_t account, double most)
{
  account_t *row = g_hash_table_lookup (quota->accounts, &account);

  if (row == NULL)
    {
      row = g_new0 (account_t, 1);
      row->name = account;
      g_hash_table_insert (quota->accounts, &row->name, row);
    }
  row->most = most;
  quota->sum_due = 0;
}

void
quota_set_fleet (quota_t *quota, gs_time_t now, const quota_fleet_t *fleet)
{
  quota->fleet = *fleet;
  /* The use of a removed node still counts for a window.  */
  if (fleet->members >= quota->members || now >= quota->members_until)
    {
      quota->members = MAX (fleet->members, 1);
      quota->members_until = now + quota->window;
    }
}

void
quota_import (quota_t *quota, gs_time_t heard_at, uint64_t node,
              const quota_row_t *rows, size_t count)
{
  node_t *known = g_hash_table_lookup (quota->nodes, &node);

  if (known == NULL)
    {
      known = g_new0 (node_t, 1);
      known->uses = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                           g_free);
      g_hash_table_insert (quota->nodes, g_memdup2 (&node, sizeof node),
                           known);
    }
  if (known->heard_at == heard_at)
    return;
  known->heard_at = heard_at;
  g_hash_table_remove_all (known->uses);
  for (size_t i = 0; i < count; i++)
    {
      use_t use = { (double)rows[i].used, (double)rows[i].carried };

      g_hash_table_insert (
          known->uses, g_memdup2 (&rows[i].account, sizeof rows[i].account),
          g_memdup2 (&use, sizeof use));
    }
  quota->sum_due = 0;
}

static bool
is_young (const quota_t *quota, gs_time_t now)
{
  return !quota->first && now < quota->started + quota->window;
}

static double
share_of (const quota_t *quota, const account_t *row)
{
  return row->most / quota->members;
}

/* Sums up the reports of the peers on an account.  A peer that is not fresh is
   assumed to hold its whole share.  The previous process of this node served
   the same callers, so the mean use of fresh peers that carry nothing over is
   the best estimate of its use.  */
static void
sum_account (const quota_t *quota, gs_time_t now, account_t *row)
{
  double share = share_of (quota, row);
  double used_by_old = 0;
  unsigned old = 0;
  unsigned known = 0;
  GHashTableIter iter;
  gpointer value;

  row->others = 0;
  row->others_use = 0;
  g_hash_table_iter_init (&iter, quota->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const node_t *node = value;
      const use_t *use = g_hash_table_lookup (node->uses, &row->name);
      bool fresh = node->heard_at + quota->fleet.fresh >= now;
      double held = use != NULL ? use->used + use->carried : 0;

      known++;
      row->others += MAX (held, fresh ? OWN_PART * share : share);
      row->others_use += fresh ? held : 0;
      if (!fresh || (use != NULL && use->carried > 0))
        continue;
      old++;
      used_by_old += use != NULL ? use->used : 0;
    }
  if (known + 1 < quota->members)
    row->others += (quota->members - 1 - known) * share;
  row->carried_known = old > 0;
  row->carried = old > 0 ? used_by_old / old : 0;
}

static void
sum_up (quota_t *quota, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (now < quota->sum_due)
    return;
  quota->sum_due = now + SUM_INTERVAL;
  g_hash_table_iter_init (&iter, quota->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((node_t *)value)->heard_at + quota->window < now)
      g_hash_table_iter_remove (&iter);
  g_hash_table_iter_init (&iter, quota->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    sum_account (quota, now, value);
}

static gs_time_t
slot_length (const quota_t *quota)
{
  return MAX (quota->window / (SLOTS - 1), 1);
}

/* Drops the slots that are outside the window.  */
static void
advance (const quota_t *quota, gs_time_t now, account_t *row)
{
  int64_t number = now / slot_length (quota);

  if (number - row->newest >= SLOTS)
    {
      for (unsigned i = 0; i < SLOTS; i++)
        {
          row->slots[i] = 0;
          row->claims[i] = NOT_TOLD;
        }
      row->used = 0;
      row->newest = number;
    }
  while (row->newest < number)
    {
      double *slot = &row->slots[++row->newest % SLOTS];

      row->used = MAX (row->used - *slot, 0);
      *slot = 0;
      row->claims[row->newest % SLOTS] = NOT_TOLD;
    }
}

/* @return the least use of this node that a peer may know of  */
static double
told_since (const quota_t *quota, const account_t *row, gs_time_t since)
{
  double least = NOT_TOLD;

  for (int64_t number
       = MAX (since / slot_length (quota), row->newest - SLOTS + 1);
       number <= row->newest; number++)
    {
      double claim = row->claims[number % SLOTS];

      if (claim != NOT_TOLD && (least == NOT_TOLD || claim < least))
        least = claim;
    }
  return MAX (least, 0);
}

/* @return estimated use by the previous process of this node in the window  */
static double
carried_of (const quota_t *quota, gs_time_t now, const account_t *row)
{
  double left = 1 - (double)(now - quota->started) / (double)quota->window;

  if (!is_young (quota, now))
    return 0;
  if (row->carried_known)
    return row->carried;
  return share_of (quota, row) * (row->surged ? 1 : UNKNOWN_PART * left);
}

/* @return the use that this node may reach now.  Within the lag the node draws
   at most its part of what the pool held before.  The parts of all nodes add
   up to one, because each is computed from reported use, for this node too. */
static double
allowance (quota_t *quota, gs_time_t now, account_t *row)
{
  double share = share_of (quota, row);
  double least = DRAW_LEAST * share;
  double told = told_since (quota, row, now - quota->fleet.lag);
  double held = MAX (OWN_PART * share, told);
  double pool;
  double part;

  sum_up (quota, now);
  pool = row->most - row->others - held;
  part = (told + least) / (row->others_use + told + least * quota->members);
  return held + MAX (pool, 0) * part;
}

static account_t *
account_at (quota_t *quota, gs_time_t now, uint64_t name)
{
  account_t *row = g_hash_table_lookup (quota->accounts, &name);

  if (row == NULL)
    return NULL;
  sum_up (quota, now);
  advance (quota, now, row);
  return row;
}

double
quota_room (quota_t *quota, gs_time_t now, uint64_t account)
{
  account_t *row = account_at (quota, now, account);

  if (row == NULL)
    return 0;
  return MAX (allowance (quota, now, row) - row->used
                  - carried_of (quota, now, row),
              0);
}

/* @return time until an amount of this node's use is outside the window  */
static gs_time_t
time_until_out (const quota_t *quota, gs_time_t now, const account_t *row,
                double amount)
{
  gs_time_t length = slot_length (quota);
  gs_time_t longest = is_young (quota, now)
                          ? quota->started + quota->window - now
                          : SLOTS * length;
  double freed = 0;

  for (int64_t number = MAX (row->newest - SLOTS + 1, 0);
       number <= row->newest; number++)
    {
      freed += row->slots[number % SLOTS];
      if (freed >= amount)
        return MAX ((number + SLOTS) * length - now, AGAIN_LEAST);
    }
  return MAX (longest, AGAIN_LEAST);
}

/* @return amount that a share allows per microsecond, on average  */
static double
brings (const quota_t *quota, const account_t *row, double allowed)
{
  return MAX (MAX (share_of (quota, row), allowed), 1) / (double)quota->window;
}

static bool
asks_too_much (const quota_t *quota, const account_t *row, double allowed)
{
  double expected = SURGE * brings (quota, row, allowed) * (double)ASKED_FADES;

  return row->asked > expected + PACE_REQUESTS * row->size;
}

static bool
is_surging (const quota_t *quota, gs_time_t now, const account_t *row,
            double allowed)
{
  double used = row->used + carried_of (quota, now, row);

  return used > PACE_FROM * share_of (quota, row)
         && asks_too_much (quota, row, allowed);
}

/* @return how far ahead of an even pace requests may come  */
static gs_time_t
pace_ahead (const account_t *row, double pace)
{
  return MAX (PACE_BURST, (gs_time_t)(PACE_REQUESTS * row->size / pace));
}

/* @return time until an amount can be admitted, 0 for now  */
static gs_time_t
time_to_room (const quota_t *quota, gs_time_t now, const account_t *row,
              double allowed, double amount)
{
  double used = row->used + carried_of (quota, now, row);
  double pace = PACE_PART * brings (quota, row, allowed);
  gs_time_t wait = MAX (row->blocked_until - now, 0);

  if (used + amount > allowed && (used > 0 || amount <= share_of (quota, row)))
    wait = MAX (wait,
                time_until_out (quota, now, row, used + amount - allowed));
  if (is_surging (quota, now, row, allowed))
    wait = MAX (wait, row->paced_at - pace_ahead (row, pace) - now);
  return wait;
}

/* Updates demand and mean request size.  The amount is capped, as one request
   of many times the mean size is no surge.  */
static void
note_asked (account_t *row, gs_time_t now, double amount)
{
  if (row->size > 0)
    amount = MIN (amount, PACE_REQUESTS * row->size);
  row->asked *= exp (-(double)(now - row->asked_at) / (double)ASKED_FADES);
  row->asked += amount;
  row->asked_at = now;
  row->size += row->size == 0 ? amount : SIZE_WEIGHT * (amount - row->size);
}

static void
count_use (const quota_t *quota, gs_time_t now, account_t *row, double allowed,
           double amount)
{
  double share = share_of (quota, row);
  double pace = PACE_PART * brings (quota, row, allowed);

  /* An amount above a whole share is admitted alone; the account is then
     blocked for as long as the share needs to allow such an amount.  */
  if (amount > MAX (share, allowed))
    row->blocked_until
        = now + (gs_time_t)((double)quota->window * amount / MAX (share, 1));
  row->paced_at
      = MIN (MAX (row->paced_at, now) + (gs_time_t)(amount / pace),
             now + pace_ahead (row, pace) + (gs_time_t)(amount / pace));
  row->slots[row->newest % SLOTS] += amount;
  row->used += amount;
}

gs_status_t
quota_admit (quota_t *quota, gs_time_t now, uint64_t account, double amount,
             gs_time_t *again)
{
  account_t *row = account_at (quota, now, account);
  double allowed;

  *again = 0;
  if (row == NULL)
    return GS_OK;
  note_asked (row, now, amount);
  allowed = allowance (quota, now, row);
  if (is_young (quota, now) && !row->surged && asks_too_much (quota, row, 0))
    {
      row->surged = true;
      allowed = allowance (quota, now, row);
    }
  *again = time_to_room (quota, now, row, allowed, amount);
  if (*again > 0)
    return gs_error_set (GS_EREFUSED, "account exceeds its limit");
  count_use (quota, now, row, allowed, amount);
  return GS_OK;
}

void
quota_cancel (quota_t *quota, gs_time_t now, uint64_t account, double amount)
{
  account_t *row = account_at (quota, now, account);

  if (row == NULL)
    return;
  row->blocked_until = 0;
  for (int64_t number = row->newest;
       amount > 0 && number >= 0 && number > row->newest - SLOTS; number--)
    {
      double *slot = &row->slots[number % SLOTS];
      double back = MIN (*slot, amount);

      *slot -= back;
      row->used -= back;
      amount -= back;
    }
}

size_t
quota_export (quota_t *quota, gs_time_t now, quota_row_t *rows, size_t max)
{
  size_t count = 0;
  GHashTableIter iter;
  gpointer value;

  sum_up (quota, now);
  g_hash_table_iter_init (&iter, quota->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value) && count < max)
    {
      account_t *row = value;
      double carried = carried_of (quota, now, row);
      double *claim;

      advance (quota, now, row);
      claim = &row->claims[row->newest % SLOTS];
      if (*claim == NOT_TOLD || row->used + carried < *claim)
        *claim = row->used + carried;
      if (row->used > 0 || carried > 0)
        rows[count++] = (quota_row_t){ row->name, (uint64_t)row->used,
                                       (uint64_t)carried };
    }
  return count;
}
