#include "check.h"
#include "gateway/usage_ledger.h"

#include <string.h>

#define LENGTH (5 * GS_SEC)
#define LATE (10 * GS_SEC)
#define WALL (1000 * LENGTH)

/* A store with one record, and a platform that records the reports.  */
typedef struct
{
  uint64_t revision;
  json_t *record;
  int64_t told[64];
  json_int_t counts[64];
  unsigned told_count;
} outside_t;

static json_t *
counts_of (json_int_t requests)
{
  return json_pack ("{s:I}", "a", requests);
}

/* What fails in a step.  */
typedef enum
{
  KEEP,
  LOSE_WRITE,      /* the write takes effect, its answer is lost */
  LOSE_SEND,       /* the report arrives, its answer is lost */
  STOP_AFTER_WRITE /* the holder stops before it sends */
} loss_t;

/* Runs the ledger's next action.
   @return false when nothing was due  */
static bool
step (usage_ledger_t *ledger, outside_t *outside, gs_time_t now, int64_t wall,
      json_int_t counted, loss_t loss)
{
  usage_action_t action = usage_ledger_next (ledger, now, wall);
  json_t *record;

  switch (action.kind)
    {
    case USAGE_NOTHING:
      return false;
    case USAGE_READ:
      usage_ledger_read_done (ledger, now,
                              outside->record != NULL ? GS_OK : GS_ENOTFOUND,
                              outside->revision, outside->record);
      break;
    case USAGE_WRITE:
      record = usage_ledger_start_write (ledger, action.window,
                                         counts_of (counted));
      if (action.revision != outside->revision)
        {
          json_decref (record);
          usage_ledger_write_done (ledger, now, GS_ECONFLICT, 0, 0);
          break;
        }
      json_decref (outside->record);
      outside->record = record;
      outside->revision++;
      usage_ledger_write_done (ledger, now,
                               loss == LOSE_WRITE ? GS_EUNKNOWN : GS_OK,
                               outside->revision, action.window);
      break;
    case USAGE_SEND:
      outside->told[outside->told_count] = action.window;
      outside->counts[outside->told_count++]
          = json_integer_value (json_object_get (ledger->counts, "a"));
      usage_ledger_send_done (ledger, now,
                              loss == LOSE_SEND ? GS_EUNKNOWN : GS_OK);
      break;
    }
  return true;
}

static void
check_no_window_twice_with_other_counts (const outside_t *outside)
{
  for (unsigned i = 0; i < outside->told_count; i++)
    for (unsigned j = 0; j < i; j++)
      CU_ASSERT (outside->told[i] != outside->told[j]
                 || outside->counts[i] == outside->counts[j]);
}

static void
a_successor_repeats_the_counts_of_the_one_before (void)
{
  static const loss_t losses[]
      = { KEEP, LOSE_WRITE, LOSE_SEND, STOP_AFTER_WRITE };

  for (size_t i = 0; i < G_N_ELEMENTS (losses); i++)
    {
      outside_t outside = { .revision = 0 };
      usage_ledger_t first;
      usage_ledger_t second;
      gs_time_t now = GS_SEC;
      int64_t wall = WALL + 2 * GS_SEC;

      usage_ledger_init (&first, LENGTH, LATE);
      usage_ledger_init (&second, LENGTH, LATE);
      /* Read, write, and send unless the holder stops first.  */
      for (unsigned j = 0; j < (losses[i] == STOP_AFTER_WRITE ? 2 : 3); j++)
        step (&first, &outside, now, wall, 100, losses[i]);
      for (unsigned j = 0; j < 200; j++)
        {
          now += 100 * GS_MSEC;
          wall += 100 * GS_MSEC;
          step (&second, &outside, now, wall, 90, KEEP);
        }
      check_no_window_twice_with_other_counts (&outside);
      CU_ASSERT (outside.told_count >= 4);
      CU_ASSERT_EQUAL (outside.counts[0], 100);
      usage_ledger_clear (&first);
      usage_ledger_clear (&second);
      json_decref (outside.record);
    }
}

static void
each_window_is_reported_before_it_is_late (void)
{
  static const int64_t lengths[] = { GS_SEC, LENGTH };

  for (size_t i = 0; i < G_N_ELEMENTS (lengths); i++)
    {
      outside_t outside = { .revision = 0 };
      usage_ledger_t ledger;
      int64_t wall = WALL;

      usage_ledger_init (&ledger, lengths[i], LATE);
      for (gs_time_t now = GS_SEC; now < 40 * GS_SEC; now += 50 * GS_MSEC)
        {
          unsigned before = outside.told_count;

          step (&ledger, &outside, now, wall, 1, KEEP);
          if (outside.told_count > before)
            CU_ASSERT (wall < (outside.told[before] + 1) * lengths[i] + LATE);
          wall += 50 * GS_MSEC;
        }
      CU_ASSERT (outside.told_count > 40 * GS_SEC / lengths[i] - 4
                 || outside.told_count >= 30);
      for (unsigned j = 1; j < outside.told_count; j++)
        CU_ASSERT_EQUAL (outside.told[j], outside.told[j - 1] + 1);
      usage_ledger_clear (&ledger);
      json_decref (outside.record);
    }
}

/* Two nodes that both act as holder overwrite each other's record in turn; the
   conditional write fixes the counts of each window once.  */
static void
two_holders_do_not_report_a_window_differently (void)
{
  outside_t outside = { .revision = 0 };
  usage_ledger_t ledgers[2];
  int64_t wall = WALL;

  for (int i = 0; i < 2; i++)
    usage_ledger_init (&ledgers[i], LENGTH, LATE);
  for (gs_time_t now = GS_SEC; now < 60 * GS_SEC; now += 100 * GS_MSEC)
    {
      for (int i = 0; i < 2; i++)
        step (&ledgers[i], &outside, now, wall, 10 + i, KEEP);
      wall += 100 * GS_MSEC;
    }
  check_no_window_twice_with_other_counts (&outside);
  CU_ASSERT (outside.told_count >= 8);
  for (int i = 0; i < 2; i++)
    usage_ledger_clear (&ledgers[i]);
  json_decref (outside.record);
}

static const check_case_t cases[] = {
  { "a successor repeats the counts of the one before",
    a_successor_repeats_the_counts_of_the_one_before },
  { "each window is reported before it is late",
    each_window_is_reported_before_it_is_late },
  { "two holders do not report a window differently",
    two_holders_do_not_report_a_window_differently },
};

int
main (void)
{
  return CHECK_RUN ("usage_ledger", cases);
}
