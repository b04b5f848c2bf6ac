#include "check.h"

#include "garnetstack/limits.h"
#include "garnetstack/rng.h"

#include <string.h>

#define MEMBERS 10
#define REPORT_INTERVAL (500 * GS_MSEC)
#define SECONDS 60
#define LIMIT 100
#define NAME_HASH 42

/* Members of one system that exchange usage reports.  */
typedef struct
{
  gs_limits_t *limits[MEMBERS];
  unsigned row[MEMBERS];
  unsigned count;
  uint64_t admitted;
  gs_time_t now;
} fleet_t;

/* Distribution of demand and connectivity of a fleet, and the expected share
   of the limit that is admitted.  */
typedef struct
{
  const char *name;
  unsigned hot_seconds;    /* all demand is at one member for this long and
                              then moves to the next; 0: even demand */
  unsigned partition_size; /* members cut off from the others */
  bool silent;             /* no member receives reports */
  bool joins;              /* half of the members join later */
  unsigned percent_min;    /* lower bound, of the limit */
  unsigned percent_max;    /* documented upper bound */
} fleet_case_t;

/* Bounds on the excess over the limit: the full buckets of all members hold
   one second of the limit, and after each shift of demand the part that is
   shared by demand is admitted twice for one interval.  */
static const fleet_case_t fleet_cases[] = {
  { "even demand", 0, 0, false, false, 95, 103 },
  { "demand moves every 10 s", 10, 0, false, false, 75, 110 },
  { "network partition", 0, 4, false, false, 90, 103 },
  { "demand on one side of a partition", 60, 4, false, false, 35, 103 },
  { "no reports received", 0, 0, true, false, 90, 103 },
  { "members join", 0, 0, false, true, 90, 110 },
};

static void
fleet_start (fleet_t *fleet, const gs_limit_values_t *values)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->count = MEMBERS;
  for (unsigned i = 0; i < MEMBERS; i++)
    {
      gs_limits_create (&fleet->limits[i]);
      gs_limits_members_set (fleet->limits[i], MEMBERS, REPORT_INTERVAL);
      fleet->row[i] = gs_limits_set (fleet->limits[i], NAME_HASH, values);
    }
}

static void
fleet_stop (fleet_t *fleet)
{
  for (unsigned i = 0; i < MEMBERS; i++)
    gs_limits_destroy (fleet->limits[i]);
}

static bool
receives (const fleet_case_t *row, unsigned from, unsigned to)
{
  return from != to && !row->silent
         && (row->partition_size == 0
             || (from < row->partition_size) == (to < row->partition_size));
}

static void
fleet_exchange_reports (fleet_t *fleet, const fleet_case_t *row)
{
  for (unsigned from = 0; from < fleet->count; from++)
    {
      gs_usage_row_t rows[4];
      size_t count
          = gs_limits_export (fleet->limits[from], fleet->now, rows, 4);

      for (unsigned to = 0; to < fleet->count; to++)
        if (receives (row, from, to))
          gs_limits_import (fleet->limits[to], fleet->now, from, rows, count);
    }
}

static unsigned
pick_member (const fleet_t *fleet, const fleet_case_t *row, gs_rng_t *rng)
{
  if (row->hot_seconds != 0)
    return (unsigned)(fleet->now / GS_SEC / row->hot_seconds) % fleet->count;
  return (unsigned)gs_rng_below (rng, fleet->count);
}

/* Send requests at four times the limit for a minute.  */
static void
fleet_run (fleet_t *fleet, const fleet_case_t *row)
{
  gs_rng_t rng;
  gs_time_t step = GS_SEC / LIMIT / 4;

  gs_rng_seed (&rng, 7);
  for (gs_time_t elapsed = 0; elapsed < SECONDS * GS_SEC; elapsed += step)
    {
      unsigned member;
      gs_time_t retry_after;

      fleet->now = 100 * GS_SEC + elapsed;
      if (row->joins)
        fleet->count = elapsed < SECONDS * GS_SEC / 2 ? MEMBERS / 2 : MEMBERS;
      for (unsigned i = 0; row->joins && i < MEMBERS; i++)
        gs_limits_members_set (fleet->limits[i], fleet->count,
                               REPORT_INTERVAL);
      if (elapsed % REPORT_INTERVAL < step)
        fleet_exchange_reports (fleet, row);
      member = pick_member (fleet, row, &rng);
      if (gs_limits_admit (fleet->limits[member], fleet->now,
                           fleet->row[member], 10, &retry_after)
          == GS_OK)
        {
          fleet->admitted++;
          gs_limits_release (fleet->limits[member], fleet->now,
                             fleet->row[member], 0);
        }
      else
        CU_ASSERT (retry_after > 0);
    }
}

static void
a_limit_holds_across_all_members_within_its_bound (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (fleet_cases); i++)
    {
      const fleet_case_t *row = &fleet_cases[i];
      const gs_limit_values_t values = { .max = { LIMIT, 0, 0 } };
      fleet_t fleet;
      uint64_t percent;

      fleet_start (&fleet, &values);
      fleet_run (&fleet, row);
      percent = fleet.admitted * 100 / (LIMIT * SECONDS);
      printf ("\n    %s: admitted %llu%% of the limit", row->name,
              (unsigned long long)percent);
      CU_ASSERT (percent >= row->percent_min);
      CU_ASSERT (percent <= row->percent_max);
      fleet_stop (&fleet);
    }
  printf ("\n    ");
}

static void
each_kind_of_limit_rejects_and_is_released (void)
{
  static const struct
  {
    gs_limit_values_t values;
    unsigned admitted; /* of ten requests of 100 tokens at one moment */
    bool after_release;
  } rows[] = {
    { { .max = { 0, 0, 0 } }, 10, true },
    { { .max = { 4, 0, 0 } }, 4, false },
    { { .max = { 0, 250, 0 } }, 3, true }, /* the last one may overdraw */
    { { .max = { 0, 0, 5 } }, 5, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      gs_limits_t *limits;
      gs_time_t retry_after;
      unsigned row;
      unsigned admitted = 0;

      gs_limits_create (&limits);
      row = gs_limits_set (limits, NAME_HASH, &rows[i].values);
      for (unsigned n = 0; n < 10; n++)
        admitted += gs_limits_admit (limits, GS_SEC, row, 100, &retry_after)
                    == GS_OK;
      CU_ASSERT_EQUAL (admitted, rows[i].admitted);
      gs_limits_release (limits, GS_SEC, row, 100);
      CU_ASSERT_EQUAL (gs_limits_admit (limits, GS_SEC, row, 100, &retry_after)
                           == GS_OK,
                       rows[i].after_release);
      gs_limits_destroy (limits);
    }
}

static void
a_retry_after_the_returned_time_is_admitted (void)
{
  const gs_limit_values_t values = { .max = { 4, 300, 0 } };
  gs_limits_t *limits;
  gs_time_t retry_after = 0;
  unsigned row;

  gs_limits_create (&limits);
  row = gs_limits_set (limits, NAME_HASH, &values);
  while (gs_limits_admit (limits, GS_SEC, row, 200, &retry_after) == GS_OK)
    continue;
  CU_ASSERT (gs_limits_admit (limits, GS_SEC + retry_after / 2, row, 200,
                              &retry_after)
             == GS_EREFUSED);
  CU_ASSERT (gs_limits_admit (limits, 2 * GS_SEC + retry_after, row, 200,
                              &retry_after)
             == GS_OK);
  gs_limits_destroy (limits);
}

static void
a_malformed_message_is_rejected (void)
{
  static const struct
  {
    const char *bytes;
    size_t length;
    gs_status_t status;
  } rows[] = {
    { "\x90", 1, GS_OK },                     /* no rows */
    { "\x94\x01\x02\x03\x04", 5, GS_OK },     /* one row */
    { "\x94\x01\x02\x03", 4, GS_EINVAL },     /* truncated */
    { "\x93\x01\x02\x03", 4, GS_EINVAL },     /* incomplete row */
    { "\x94\x01\x02\x03\xff", 5, GS_EINVAL }, /* negative number */
    { "\x98\x01\x02\x03\x04\x01\x02\x03\x04", 9,
      GS_EINVAL },            /* too many rows */
    { "\xc0", 1, GS_EINVAL }, /* not an array */
    { "", 0, GS_EINVAL },     /* empty */
  };
  gs_usage_row_t out[1];
  gs_usage_row_t in = { 99, { 1, 2, 3 } };
  GByteArray *body = g_byte_array_new ();
  size_t count;

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    CU_ASSERT_EQUAL (
        gs_usage_decode (out, 1, &count, rows[i].bytes, rows[i].length),
        rows[i].status);
  gs_usage_encode (body, &in, 1);
  CU_ASSERT_EQUAL (
      gs_usage_decode (out, 1, &count, (const char *)body->data, body->len),
      GS_OK);
  CU_ASSERT_EQUAL (memcmp (out, &in, sizeof in), 0);
  g_byte_array_unref (body);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "a_limit_holds_across_all_members_within_its_bound",
      a_limit_holds_across_all_members_within_its_bound },
    { "each_kind_of_limit_rejects_and_is_released",
      each_kind_of_limit_rejects_and_is_released },
    { "a_retry_after_the_returned_time_is_admitted",
      a_retry_after_the_returned_time_is_admitted },
    { "a_malformed_message_is_rejected", a_malformed_message_is_rejected },
  };

  return CHECK_RUN ("limits", cases);
}
