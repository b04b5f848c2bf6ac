#include "policy/quota.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* tests/test_quota.c bounds the constants below from both sides: the limit
   must hold over all nodes, and an account below its limit must not be
   rejected.  */

/* Bins that a window is counted in; a bin is dropped once it lies outside the
   window completely.  */
#define BIN_COUNT 32
/* Part of a node's equal share that is reserved for the node.  The rest is in
   a pool from which nodes draw in proportion to their recent use.  */
#define SHARE_RESERVED_RATIO 0.5
/* Added to a node's use, as a ratio of its share, when its part of the pool is
   computed, so that a node without use can draw as well.  */
#define DRAW_RATIO_MIN 0.25
/* A node that has restarted, and has no report of a peer that has run for a
   whole window, assumes that its predecessor used this part of the share,
   evenly over the window.  For an account that surges it assumes that the
   whole share has just been used.  */
#define PREDECESSOR_USED_RATIO 0.6
/* An account that has used PACE_USED_RATIO_MIN of its share and whose demand
   is SURGE_DEMAND_RATIO_MIN times the rate of the share is paced: it is
   admitted at the rate of the share only.  Otherwise a surge would use the
   limit of a whole window at once, delay the requests of other accounts, and
   leave nothing for most of the window.  */
#define PACE_USED_RATIO_MIN 0.3
#define SURGE_DEMAND_RATIO_MIN 1.4
/* While the limit leaves plenty of room, a node may use this many times what
   an even use of the limit brings it, or this many requests of mean size,
   within the time that its use is unknown to others: half of the longest lag,
   on average.  */
#define PLENTIFUL_RATE_RATIO 4
#define PLENTIFUL_REQUESTS 4
#define MEAN_LAG_RATIO 0.5
/* Part of the longest lag for which the room must last.  */
#define PLENTIFUL_LAG_RATIO 0.9
/* Pace as a ratio of the rate of the share; the rest covers the burst that a
   limit allows and the use before the surge.  */
#define PACE_RATIO 0.9
/* Burst that pacing allows: the pace times this time, or this many requests of
   mean size, whichever is more.  */
#define PACE_BURST_TIME (1400 * GS_MSEC)
#define PACE_BURST_REQUESTS 3
/* Time in which the measured demand decays by a factor of e.  */
#define DEMAND_DECAY_TIME (500 * GS_MSEC)
/* Weight of one request in the mean request size.  */
#define MEAN_SIZE_WEIGHT (1.0 / 16)
/* Longest time after which the reports of peers are summed up again.  */
#define SUM_INTERVAL_MAX (100 * GS_MSEC)
/* Shortest retry time that is given to a rejected caller.  */
#define RETRY_AFTER_MIN (50 * GS_MSEC)

/* Marks a bin in which no use was reported to the peers.  */
#define NOT_REPORTED (-1.0)

/* A report of a peer, or of several peers added up.  */
typedef struct
{
  gs_time_t received_at;
  unsigned nodes;
  GHashTable *uses; /* account -> quota_row_t */
} peer_report_t;

typedef struct
{
  uint64_t account; /* as in quota_row_t */
  double limit;
  double bins[BIN_COUNT];
  double reported[BIN_COUNT]; /* least use reported, or NOT_REPORTED */
  int64_t newest;             /* number of the newest bin since time 0 */
  double used;                /* sum of the bins */
  double peers_held;       /* held by all peers: used, reserved or assumed */
  double peers_used;       /* reported by peers whose reports are fresh */
  double peers_assumed;    /* held by the other peers, as far as is known */
  double peers_demand;     /* per second, of peers whose reports are fresh */
  bool demand_known;       /* all fresh reports tell the demand */
  double predecessor_used; /* used by the process before this one */
  bool predecessor_known;  /* estimated from reports of older nodes */
  bool surged;             /* within a window from the start of the process */
  gs_time_t blocked_until; /* end of the time in which the share makes up for
                              an admitted amount above the whole share */
  double demand;           /* recent demand, decays exponentially */
  gs_time_t demand_at;     /* of the last request */
  double mean_size;        /* of a request */
  gs_time_t pace_due_at;   /* when the next request is due at an even pace */
} account_state_t;

struct quota
{
  gs_time_t window;
  gs_time_t started;
  bool first_start;
  quota_fleet_t fleet;
  unsigned members;        /* highest number in the last window */
  gs_time_t members_until; /* the number does not fall before */
  GHashTable *accounts;    /* account -> account_state_t */
  GHashTable *peers;       /* source -> peer_report_t */
  gs_time_t sum_due;
};

static void
peer_report_free (gpointer data)
{
  peer_report_t *report = data;

  g_hash_table_unref (report->uses);
  g_free (report);
}

void
quota_create (quota_t **out, gs_time_t window, gs_time_t started,
              bool first_start)
{
  quota_t *quota = g_new0 (quota_t, 1);

  quota->window = window;
  quota->started = started;
  quota->first_start = first_start;
  quota->fleet = (quota_fleet_t){ 1, GS_SEC, GS_SEC };
  quota->members = 1;
  quota->accounts
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  quota->peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                        peer_report_free);
  *out = quota;
}

void
quota_destroy (quota_t *quota)
{
  if (quota == NULL)
    return;
  g_hash_table_unref (quota->peers);
  g_hash_table_unref (quota->accounts);
  g_free (quota);
}

void
quota_limit_set (quota_t *quota, uint64_t account, double limit)
{
  account_state_t *row = g_hash_table_lookup (quota->accounts, &account);

  if (row == NULL)
    {
      row = g_new0 (account_state_t, 1);
      row->account = account;
      g_hash_table_insert (quota->accounts, &row->account, row);
    }
  row->limit = limit;
  quota->sum_due = 0;
}

void
quota_fleet_set (quota_t *quota, gs_time_t now, const quota_fleet_t *fleet)
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
quota_row_complete (quota_row_t *row)
{
  if (row->nodes > 0)
    return;
  row->nodes = 1;
  row->held = row->used + row->predecessor_used;
  row->restarted_nodes = row->predecessor_used > 0;
  row->restarted_used = row->predecessor_used > 0 ? row->used : 0;
  row->demand = 0;
  row->tells_demand = false;
}

void
quota_report_import (quota_t *quota, gs_time_t received_at, uint64_t source,
                     unsigned nodes, const quota_row_t *rows, size_t count)
{
  peer_report_t *peer = g_hash_table_lookup (quota->peers, &source);

  if (peer == NULL)
    {
      peer = g_new0 (peer_report_t, 1);
      peer->uses
          = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
      g_hash_table_insert (quota->peers, g_memdup2 (&source, sizeof source),
                           peer);
    }
  if (peer->received_at == received_at)
    return;
  peer->received_at = received_at;
  peer->nodes = nodes;
  g_hash_table_remove_all (peer->uses);
  for (size_t i = 0; i < count; i++)
    {
      quota_row_t *use = g_new (quota_row_t, 1);

      *use = rows[i];
      quota_row_complete (use);
      g_hash_table_replace (peer->uses, &use->account, use);
    }
  quota->sum_due = 0;
}

void
quota_reports_clear (quota_t *quota)
{
  g_hash_table_remove_all (quota->peers);
  quota->sum_due = 0;
}

static bool
is_recently_started (const quota_t *quota, gs_time_t now)
{
  return !quota->first_start && now < quota->started + quota->window;
}

static double
account_share (const quota_t *quota, const account_state_t *row)
{
  return row->limit / quota->members;
}

/* Sums up the reports of the peers on an account.  Peers without a fresh
   report are assumed to hold their whole shares.  The predecessor of this
   process served the same callers as the peers, so the mean use of fresh peers
   that have run for a whole window is the best estimate of its use.  */
static void
account_sum_reports (const quota_t *quota, gs_time_t now, account_state_t *row)
{
  double share = account_share (quota, row);
  double older_use = 0;
  unsigned older_peers = 0;
  unsigned peers = 0;
  GHashTableIter iter;
  gpointer value;

  row->peers_held = 0;
  row->peers_used = 0;
  row->peers_assumed = 0;
  row->peers_demand = 0;
  row->demand_known = true;
  g_hash_table_iter_init (&iter, quota->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_report_t *report = value;
      const quota_row_t *use
          = g_hash_table_lookup (report->uses, &row->account);
      bool fresh = report->received_at + quota->fleet.report_ttl >= now;
      unsigned users = use != NULL ? MIN (use->nodes, report->nodes) : 0;
      double reserved = SHARE_RESERVED_RATIO * share;
      double held = use != NULL ? (double)use->held : 0;
      double used
          = use != NULL ? (double)(use->used + use->predecessor_used) : 0;

      peers += report->nodes;
      held = MAX (held, used) + (report->nodes - users) * reserved;
      held = MAX (held, report->nodes * (fresh ? reserved : share));
      row->peers_held += held;
      if (!fresh)
        {
          row->peers_assumed += held;
          continue;
        }
      row->peers_used += used;
      older_peers += report->nodes;
      if (use == NULL)
        continue;
      row->peers_demand += (double)use->demand;
      row->demand_known &= use->tells_demand;
      older_peers -= MIN (use->restarted_nodes, report->nodes);
      older_use += (double)(use->used - MIN (use->restarted_used, use->used));
    }
  if (peers + 1 < quota->members)
    {
      row->peers_held += (quota->members - 1 - peers) * share;
      row->peers_assumed += (quota->members - 1 - peers) * share;
    }
  row->predecessor_known = older_peers > 0;
  row->predecessor_used = older_peers > 0 ? older_use / older_peers : 0;
}

static void
reports_sum (quota_t *quota, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (now < quota->sum_due)
    return;
  quota->sum_due = now + SUM_INTERVAL_MAX;
  g_hash_table_iter_init (&iter, quota->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((peer_report_t *)value)->received_at + quota->window < now)
      g_hash_table_iter_remove (&iter);
  g_hash_table_iter_init (&iter, quota->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    account_sum_reports (quota, now, value);
}

static gs_time_t
bin_length (const quota_t *quota)
{
  return MAX (quota->window / (BIN_COUNT - 1), 1);
}

/* Drops the bins that are outside the window.  */
static void
bins_advance (const quota_t *quota, gs_time_t now, account_state_t *row)
{
  int64_t number = now / bin_length (quota);

  if (number - row->newest >= BIN_COUNT)
    {
      for (unsigned i = 0; i < BIN_COUNT; i++)
        {
          row->bins[i] = 0;
          row->reported[i] = NOT_REPORTED;
        }
      row->used = 0;
      row->newest = number;
    }
  while (row->newest < number)
    {
      double *bin = &row->bins[++row->newest % BIN_COUNT];

      row->used = MAX (row->used - *bin, 0);
      *bin = 0;
      row->reported[row->newest % BIN_COUNT] = NOT_REPORTED;
    }
}

/* @return the least use of this node that a peer may know of  */
static double
reported_use_min (const quota_t *quota, const account_state_t *row,
                  gs_time_t since)
{
  double use_min = NOT_REPORTED;

  for (int64_t number
       = MAX (since / bin_length (quota), row->newest - BIN_COUNT + 1);
       number <= row->newest; number++)
    {
      double reported = row->reported[number % BIN_COUNT];

      if (reported != NOT_REPORTED
          && (use_min == NOT_REPORTED || reported < use_min))
        use_min = reported;
    }
  return MAX (use_min, 0);
}

/* @return estimated use by the predecessor of this process in the window  */
static double
predecessor_use (const quota_t *quota, gs_time_t now,
                 const account_state_t *row)
{
  double remaining_ratio
      = 1 - (double)(now - quota->started) / (double)quota->window;

  if (!is_recently_started (quota, now))
    return 0;
  if (row->predecessor_known)
    return row->predecessor_used;
  return account_share (quota, row)
         * (row->surged ? 1 : PREDECESSOR_USED_RATIO * remaining_ratio);
}

/* @return the use that this node may reach now.  Within the lag the node draws
   at most its part of what the pool held before.  The parts of all nodes add
   up to one, because each is computed from reported use, for this node too. */
static double
allowance (quota_t *quota, gs_time_t now, account_state_t *row)
{
  double share = account_share (quota, row);
  double draw_min = DRAW_RATIO_MIN * share;
  double reported = reported_use_min (quota, row, now - quota->fleet.lag);
  double held = MAX (SHARE_RESERVED_RATIO * share, reported);
  double pool;
  double draw_ratio;

  reports_sum (quota, now);
  pool = row->limit - row->peers_held - held;
  draw_ratio = (reported + draw_min)
               / (row->peers_used + reported + draw_min * quota->members);
  return held + MAX (pool, 0) * draw_ratio;
}

static account_state_t *
account_find (quota_t *quota, gs_time_t now, uint64_t account)
{
  account_state_t *row = g_hash_table_lookup (quota->accounts, &account);

  if (row == NULL)
    return NULL;
  reports_sum (quota, now);
  bins_advance (quota, now, row);
  return row;
}

double
quota_available (quota_t *quota, gs_time_t now, uint64_t account)
{
  account_state_t *row = account_find (quota, now, account);

  if (row == NULL)
    return 0;
  return MAX (allowance (quota, now, row) - row->used
                  - predecessor_use (quota, now, row),
              0);
}

/* @return time until an amount of this node's use is outside the window  */
static gs_time_t
time_until_expired (const quota_t *quota, gs_time_t now,
                    const account_state_t *row, double amount)
{
  gs_time_t length = bin_length (quota);
  gs_time_t longest = is_recently_started (quota, now)
                          ? quota->started + quota->window - now
                          : BIN_COUNT * length;
  double expired = 0;

  for (int64_t number = MAX (row->newest - BIN_COUNT + 1, 0);
       number <= row->newest; number++)
    {
      expired += row->bins[number % BIN_COUNT];
      if (expired >= amount)
        return MAX ((number + BIN_COUNT) * length - now, RETRY_AFTER_MIN);
    }
  return MAX (longest, RETRY_AFTER_MIN);
}

/* @return amount that a share allows per microsecond, on average  */
static double
share_rate (const quota_t *quota, const account_state_t *row, double allowed)
{
  return MAX (MAX (account_share (quota, row), allowed), 1)
         / (double)quota->window;
}

static bool
is_demand_excessive (const quota_t *quota, const account_state_t *row,
                     double allowed)
{
  double expected = SURGE_DEMAND_RATIO_MIN * share_rate (quota, row, allowed)
                    * (double)DEMAND_DECAY_TIME;

  return row->demand > expected + PACE_BURST_REQUESTS * row->mean_size;
}

static bool
is_surging (const quota_t *quota, gs_time_t now, const account_state_t *row,
            double allowed)
{
  double used = row->used + predecessor_use (quota, now, row);

  return used > PACE_USED_RATIO_MIN * account_share (quota, row)
         && is_demand_excessive (quota, row, allowed);
}

/* @return how far ahead of an even pace requests may come  */
static gs_time_t
pace_lead_time (const account_state_t *row, double pace)
{
  return MAX (PACE_BURST_TIME,
              (gs_time_t)(PACE_BURST_REQUESTS * row->mean_size / pace));
}

static double
demand_per_second (const account_state_t *row, gs_time_t now)
{
  return row->demand
         * exp (-(double)(now - row->demand_at) / (double)DEMAND_DECAY_TIME)
         * (double)GS_SEC / (double)DEMAND_DECAY_TIME;
}

static gs_time_t
mean_lag (const quota_t *quota)
{
  return (gs_time_t)(MEAN_LAG_RATIO * (double)quota->fleet.lag);
}

/* @return use of this node that peers do not know of, on average  */
static double
recent_use (const quota_t *quota, gs_time_t now, const account_state_t *row)
{
  int64_t first = (now - mean_lag (quota)) / bin_length (quota);
  double use = 0;

  for (int64_t number = MAX (first, row->newest - BIN_COUNT + 1);
       number <= row->newest; number++)
    use += row->bins[number % BIN_COUNT];
  return use;
}

/* In a large fleet a share is a few requests, or less than one, so that shares
   would reject requests of accounts far below their limits.  They do not bind
   while the limit leaves room for all that may be asked for at all nodes until
   they know of it.  A node draws little at a time, as all nodes may draw at
   once.
   @return whether an amount can be admitted whatever the share is  */
static bool
is_plentiful (const quota_t *quota, gs_time_t now, const account_state_t *row,
              double amount)
{
  double remaining = row->limit - row->peers_used - row->peers_assumed
                     - row->used - predecessor_use (quota, now, row);
  double demand = row->peers_demand + demand_per_second (row, now);
  double decay = (double)DEMAND_DECAY_TIME / GS_SEC;
  double demand_max
      = SURGE_DEMAND_RATIO_MIN * row->limit * GS_SEC / (double)quota->window
        + PACE_BURST_REQUESTS * row->mean_size / decay;
  double draw_max
      = MAX (PLENTIFUL_RATE_RATIO * account_share (quota, row)
                 * (double)mean_lag (quota) / (double)quota->window,
             PLENTIFUL_REQUESTS * row->mean_size);

  return row->demand_known && !is_recently_started (quota, now)
         && demand <= demand_max && recent_use (quota, now, row) <= draw_max
         && remaining - amount > PLENTIFUL_LAG_RATIO * demand
                                     * (double)quota->fleet.lag / GS_SEC;
}

/* @return time until an amount can be admitted, 0 for now  */
static gs_time_t
time_until_admitted (const quota_t *quota, gs_time_t now,
                     const account_state_t *row, double allowed, double amount)
{
  double used = row->used + predecessor_use (quota, now, row);
  double pace = PACE_RATIO * share_rate (quota, row, allowed);
  gs_time_t wait = MAX (row->blocked_until - now, 0);

  if (used + amount > allowed
      && (used > 0 || amount <= account_share (quota, row)))
    wait = MAX (wait,
                time_until_expired (quota, now, row, used + amount - allowed));
  if (is_surging (quota, now, row, allowed))
    wait = MAX (wait, row->pace_due_at - pace_lead_time (row, pace) - now);
  return wait;
}

/* Updates demand and mean request size.  The amount is capped, as one request
   of many times the mean size is no surge.  */
static void
demand_record (account_state_t *row, gs_time_t now, double amount)
{
  if (row->mean_size > 0)
    amount = MIN (amount, PACE_BURST_REQUESTS * row->mean_size);
  row->demand
      *= exp (-(double)(now - row->demand_at) / (double)DEMAND_DECAY_TIME);
  row->demand += amount;
  row->demand_at = now;
  row->mean_size += row->mean_size == 0
                        ? amount
                        : MEAN_SIZE_WEIGHT * (amount - row->mean_size);
}

static void
use_record (const quota_t *quota, gs_time_t now, account_state_t *row,
            double allowed, bool plentiful, double amount)
{
  double share = account_share (quota, row);
  double pace = PACE_RATIO * share_rate (quota, row, allowed);

  /* Where shares bind, an amount above a whole share is admitted alone; the
     account is then blocked for as long as the share needs to allow such an
     amount.  */
  if (!plentiful && amount > MAX (share, allowed))
    row->blocked_until
        = now + (gs_time_t)((double)quota->window * amount / MAX (share, 1));
  row->pace_due_at
      = MIN (MAX (row->pace_due_at, now) + (gs_time_t)(amount / pace),
             now + pace_lead_time (row, pace) + (gs_time_t)(amount / pace));
  row->bins[row->newest % BIN_COUNT] += amount;
  row->used += amount;
}

gs_status_t
quota_admit (quota_t *quota, gs_time_t now, uint64_t account, double amount,
             gs_time_t *retry_after)
{
  account_state_t *row = account_find (quota, now, account);
  double allowed;
  bool plentiful;

  *retry_after = 0;
  if (row == NULL)
    return GS_OK;
  demand_record (row, now, amount);
  allowed = allowance (quota, now, row);
  if (is_recently_started (quota, now) && !row->surged
      && is_demand_excessive (quota, row, 0))
    {
      row->surged = true;
      allowed = allowance (quota, now, row);
    }
  plentiful = is_plentiful (quota, now, row, amount);
  if (!plentiful)
    *retry_after = time_until_admitted (quota, now, row, allowed, amount);
  if (*retry_after > 0)
    return gs_error_set (GS_EREFUSED, "account exceeds its limit");
  use_record (quota, now, row, allowed, plentiful, amount);
  return GS_OK;
}

void
quota_cancel (quota_t *quota, gs_time_t now, uint64_t account, double amount)
{
  account_state_t *row = account_find (quota, now, account);

  if (row == NULL)
    return;
  row->blocked_until = 0;
  for (int64_t number = row->newest;
       amount > 0 && number >= 0 && number > row->newest - BIN_COUNT; number--)
    {
      double *bin = &row->bins[number % BIN_COUNT];
      double removed = MIN (*bin, amount);

      *bin -= removed;
      row->used -= removed;
      amount -= removed;
    }
}

static quota_row_t
export_row (const quota_t *quota, gs_time_t now, const account_state_t *row,
            double predecessor_used)
{
  double reserved = SHARE_RESERVED_RATIO * account_share (quota, row);
  bool restarted = (uint64_t)predecessor_used > 0;

  return (quota_row_t){
    .account = row->account,
    .nodes = 1,
    .used = (uint64_t)row->used,
    .predecessor_used = (uint64_t)predecessor_used,
    .held = (uint64_t)ceil (MAX (row->used + predecessor_used, reserved)),
    .restarted_nodes = restarted,
    .restarted_used = restarted ? (uint64_t)row->used : 0,
    .demand = (uint64_t)demand_per_second (row, now),
    .tells_demand = true,
  };
}

size_t
quota_report_export (quota_t *quota, gs_time_t now, quota_row_t *rows,
                     size_t max)
{
  size_t count = 0;
  GHashTableIter iter;
  gpointer value;

  reports_sum (quota, now);
  g_hash_table_iter_init (&iter, quota->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value) && count < max)
    {
      account_state_t *row = value;
      double predecessor_used = predecessor_use (quota, now, row);
      double *reported;

      bins_advance (quota, now, row);
      reported = &row->reported[row->newest % BIN_COUNT];
      if (*reported == NOT_REPORTED
          || row->used + predecessor_used < *reported)
        *reported = row->used + predecessor_used;
      if (row->used > 0 || predecessor_used > 0)
        rows[count++] = export_row (quota, now, row, predecessor_used);
    }
  return count;
}
