#include "check.h"

#include "garnetstack/admission.h"

#include <glib.h>

#define ACCOUNTS 3
#define STEP (10 * GS_MSEC)

/* Demand of three accounts for ten seconds, half of which is admitted.  */
typedef struct
{
  const char *name;
  unsigned weight[ACCOUNTS];
  unsigned priority[ACCOUNTS];
  double work[ACCOUNTS];  /* in each step */
  bool in_time;           /* false puts the system under pressure */
  bool reduced[ACCOUNTS]; /* headroom is less than 100 percent */
} headroom_case_t;

static const headroom_case_t headroom_cases[] = {
  { "full headroom for all without pressure",
    { 1, 1, 1 },
    { 0, 0, 0 },
    { 90, 5, 5 },
    true,
    { false, false, false } },
  { "reduced headroom for the largest account under pressure",
    { 1, 1, 1 },
    { 0, 0, 0 },
    { 90, 5, 5 },
    false,
    { true, false, false } },
  { "larger fair share for a larger weight",
    { 20, 1, 1 },
    { 0, 0, 0 },
    { 60, 30, 1 },
    false,
    { false, true, false } },
  { "reduced headroom for lower priorities",
    { 1, 1, 1 },
    { 0, 1, 2 },
    { 30, 30, 30 },
    false,
    { false, true, true } },
  { "full headroom if all classes have the same priority",
    { 1, 1, 1 },
    { 2, 2, 2 },
    { 30, 30, 30 },
    false,
    { false, false, false } },
};

static void
headroom_depends_on_fair_share_and_priority (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (headroom_cases); i++)
    {
      const headroom_case_t *row = &headroom_cases[i];
      gs_admission_t *admission;
      unsigned accounts[ACCOUNTS];
      gs_time_t now = GS_SEC;

      gs_admission_create (&admission);
      for (unsigned a = 0; a < ACCOUNTS; a++)
        accounts[a] = gs_admission_set (admission, a + 1, row->weight[a],
                                        row->priority[a]);
      for (; now < 11 * GS_SEC; now += STEP)
        for (unsigned a = 0; a < ACCOUNTS; a++)
          gs_admission_request_record (admission, now, accounts[a],
                                       row->work[a], now / STEP % 2 == 0,
                                       row->in_time);
      for (unsigned a = 0; a < ACCOUNTS; a++)
        {
          unsigned headroom
              = gs_admission_headroom (admission, now, accounts[a]);

          CU_ASSERT_EQUAL (headroom < 100, row->reduced[a]);
          if ((headroom < 100) != row->reduced[a])
            printf ("\n    %s: account %u has %u", row->name, a, headroom);
        }
      gs_admission_destroy (admission);
    }
}

static void
pressure_ends_when_requests_are_served_in_time (void)
{
  gs_admission_t *admission;
  unsigned account;
  gs_time_t now = GS_SEC;

  gs_admission_create (&admission);
  account = gs_admission_set (admission, 1, 1, 0);
  for (unsigned i = 0; i < 100; i++)
    gs_admission_request_record (admission, now += STEP, account, 1, false,
                                 false);
  CU_ASSERT_FALSE (gs_admission_pressure_is_low (admission, now));
  for (unsigned i = 0; i < 2000; i++)
    gs_admission_request_record (admission, now += STEP, account, 1, true,
                                 true);
  CU_ASSERT (gs_admission_pressure_is_low (admission, now));
  gs_admission_destroy (admission);
}

static void
retries_are_a_bounded_share_of_first_attempts (void)
{
  static const struct
  {
    unsigned attempts;    /* first attempts in one second, all of which fail */
    unsigned retries_max; /* upper bound on retries */
  } rows[] = { { 10, 12 }, { 1000, 112 }, { 10000, 1012 } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      gs_retry_budget_t budget = GS_RETRY_BUDGET_INIT;
      unsigned retries = 0;

      for (unsigned n = 0; n < rows[i].attempts; n++)
        {
          gs_time_t now = GS_SEC + (gs_time_t)n * GS_SEC / rows[i].attempts;

          gs_retry_budget_add (&budget, now);
          retries += gs_retry_budget_take (&budget, now);
          retries += gs_retry_budget_take (&budget, now);
        }
      CU_ASSERT (retries <= rows[i].retries_max);
      CU_ASSERT (retries >= rows[i].retries_max * 8 / 10);
    }
}

static void
a_retry_is_jittered_and_before_the_deadline (void)
{
  gs_rng_t rng;
  gs_time_t earliest = GS_TIME_NEVER;
  gs_time_t latest = 0;

  gs_rng_seed (&rng, 3);
  for (unsigned i = 0; i < 1000; i++)
    {
      gs_time_t at = gs_retry_time (&rng, GS_SEC, 3, GS_TIME_NEVER);

      earliest = MIN (earliest, at);
      latest = MAX (latest, at);
      CU_ASSERT (at > GS_SEC);
      at = gs_retry_time (&rng, GS_SEC, 3, GS_SEC + 100 * GS_MSEC);
      CU_ASSERT (at == GS_TIME_NEVER || at < GS_SEC + 100 * GS_MSEC);
    }
  CU_ASSERT (latest - earliest > 50 * GS_MSEC);
}

static void
the_wait_queue_is_bounded_and_ordered_by_deadline (void)
{
  gs_wait_queue_t *queue;
  unsigned added = 0;

  gs_wait_queue_create (&queue);
  for (uint64_t id = 1; id <= 2 * GS_WAIT_QUEUE_REQUESTS_MAX; id++)
    added += gs_wait_queue_add (queue, GS_SEC, 100 * GS_SEC - (gs_time_t)id,
                                id, 10);
  CU_ASSERT_EQUAL (added, GS_WAIT_QUEUE_REQUESTS_MAX);
  CU_ASSERT_EQUAL (gs_wait_queue_length (queue), GS_WAIT_QUEUE_REQUESTS_MAX);
  CU_ASSERT_FALSE (gs_wait_queue_fits (queue, GS_SEC, 10));
  CU_ASSERT_FALSE (gs_wait_queue_is_at_head (queue, GS_SEC, 100 * GS_SEC, 1));
  CU_ASSERT (gs_wait_queue_is_at_head (queue, GS_SEC, 2 * GS_SEC, 9999));
  CU_ASSERT (gs_wait_queue_is_at_head (
      queue, GS_SEC, 100 * GS_SEC - GS_WAIT_QUEUE_REQUESTS_MAX,
      GS_WAIT_QUEUE_REQUESTS_MAX));
  for (uint64_t id = GS_WAIT_QUEUE_HEAD_MAX + 1;
       id <= GS_WAIT_QUEUE_REQUESTS_MAX; id++)
    gs_wait_queue_remove (queue, id);
  CU_ASSERT (gs_wait_queue_is_at_head (queue, GS_SEC, 100 * GS_SEC, 1));
  CU_ASSERT (gs_wait_queue_fits (queue, GS_SEC, 10));
  CU_ASSERT_FALSE (
      gs_wait_queue_fits (queue, GS_SEC, GS_WAIT_QUEUE_BYTES_MAX));
  CU_ASSERT (
      gs_wait_queue_fits (queue, 101 * GS_SEC, GS_WAIT_QUEUE_BYTES_MAX));
  CU_ASSERT_EQUAL (gs_wait_queue_length (queue), 0);
  gs_wait_queue_destroy (queue);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "headroom_depends_on_fair_share_and_priority",
      headroom_depends_on_fair_share_and_priority },
    { "pressure_ends_when_requests_are_served_in_time",
      pressure_ends_when_requests_are_served_in_time },
    { "retries_are_a_bounded_share_of_first_attempts",
      retries_are_a_bounded_share_of_first_attempts },
    { "a_retry_is_jittered_and_before_the_deadline",
      a_retry_is_jittered_and_before_the_deadline },
    { "the_wait_queue_is_bounded_and_ordered_by_deadline",
      the_wait_queue_is_bounded_and_ordered_by_deadline },
  };

  return CHECK_RUN ("admission", cases);
}
