#include "check.h"

#include "control/edit_rate.h"

#define START_TIME (1000 * GS_SEC)
#define MINUTE (60 * GS_SEC)
#define HOUR (60 * MINUTE)

typedef struct
{
  const char *operator_name;
  gs_time_t after; /* since BEGIN */
  uint64_t max;
  gs_status_t status;
  gs_time_t retry_after;
} edit_case_t;

#define EDITS_MAX 6

/* Each case: edits in the order of time and their results.  */
static void
changes_in_any_hour_are_limited_per_operator (void)
{
  static const edit_case_t cases[][EDITS_MAX] = {
    { { "ana", 0, 1, GS_OK, 0 },
      { "ana", 0, 1, GS_EREFUSED, HOUR },
      { "ben", 0, 1, GS_OK, 0 } },
    { { "ana", 0, 2, GS_OK, 0 },
      { "ana", 10 * MINUTE, 2, GS_OK, 0 },
      { "ana", 20 * MINUTE, 2, GS_EREFUSED, 40 * MINUTE },
      { "ana", HOUR - 1, 2, GS_EREFUSED, 1 },
      { "ana", HOUR, 2, GS_OK, 0 },
      { "ana", HOUR, 2, GS_EREFUSED, 10 * MINUTE } },
    /* The limit falls from 3 to 2 while three changes are counted: two of them
       have to expire before the next.  */
    { { "ana", 0, 3, GS_OK, 0 },
      { "ana", 10 * MINUTE, 3, GS_OK, 0 },
      { "ana", 20 * MINUTE, 3, GS_OK, 0 },
      { "ana", 30 * MINUTE, 2, GS_EREFUSED, 40 * MINUTE },
      { "ana", 30 * MINUTE, 4, GS_OK, 0 } },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      gs_edit_rate_t *rate;

      gs_edit_rate_create (&rate);
      for (int j = 0; j < EDITS_MAX && cases[i][j].operator_name != NULL; j++)
        {
          const edit_case_t *edit = &cases[i][j];
          gs_time_t retry_after = 0;

          CU_ASSERT_EQUAL (gs_edit_rate_reserve (
                               rate, START_TIME + edit->after,
                               edit->operator_name, edit->max, &retry_after),
                           edit->status);
          CU_ASSERT_EQUAL (retry_after, edit->retry_after);
        }
      gs_edit_rate_destroy (rate);
    }
}

static void
a_released_change_is_not_counted (void)
{
  gs_edit_rate_t *rate;
  gs_time_t retry_after;

  gs_edit_rate_create (&rate);
  gs_edit_rate_release (rate, "ana", START_TIME);
  CU_ASSERT_EQUAL (
      gs_edit_rate_reserve (rate, START_TIME, "ana", 1, &retry_after), GS_OK);
  gs_edit_rate_release (rate, "ana", START_TIME + 1);
  CU_ASSERT_EQUAL (
      gs_edit_rate_reserve (rate, START_TIME, "ana", 1, &retry_after),
      GS_EREFUSED);
  gs_edit_rate_release (rate, "ana", START_TIME);
  CU_ASSERT_EQUAL (
      gs_edit_rate_reserve (rate, START_TIME, "ana", 1, &retry_after), GS_OK);
  gs_edit_rate_destroy (rate);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "changes_in_any_hour_are_limited_per_operator",
      changes_in_any_hour_are_limited_per_operator },
    { "a_released_change_is_not_counted", a_released_change_is_not_counted },
  };

  return CHECK_RUN ("edit_rate", cases);
}
