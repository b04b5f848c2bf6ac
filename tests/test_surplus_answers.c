#include "check.h"
#include "policy/surplus_answers.h"

#define REPLICA 11
#define OTHER_REPLICA 12

/* Guards against a replica whose callers lose one request after another.  */
static void
a_process_is_known_for_a_while_after_its_last_surplus_answer (void)
{
  surplus_answers_t *answers;

  surplus_answers_create (&answers);
  CU_ASSERT_FALSE (surplus_answers_expected (answers, 0, REPLICA));
  surplus_answers_add (answers, 0, REPLICA);
  CU_ASSERT_TRUE (surplus_answers_expected (answers, GS_SEC, REPLICA));
  CU_ASSERT_FALSE (surplus_answers_expected (answers, GS_SEC, OTHER_REPLICA));
  surplus_answers_add (answers, 50 * GS_SEC, REPLICA);
  CU_ASSERT_TRUE (surplus_answers_expected (answers, 100 * GS_SEC, REPLICA));
  CU_ASSERT_FALSE (surplus_answers_expected (answers, 120 * GS_SEC, REPLICA));
  surplus_answers_destroy (answers);
}

/* Guards against a record that grows with the processes of a service.  */
static void
expired_processes_are_removed (void)
{
  surplus_answers_t *answers;

  surplus_answers_create (&answers);
  for (unsigned i = 0; i < 1000; i++)
    surplus_answers_add (answers, (gs_time_t)i * 10 * GS_SEC, i);
  CU_ASSERT (surplus_answers_length (answers) <= 6);
  CU_ASSERT_TRUE (surplus_answers_expected (answers, 9990 * GS_SEC, 999));
  surplus_answers_destroy (answers);
}

static const check_case_t cases[] = {
  { "a process is known for a while after its last surplus answer",
    a_process_is_known_for_a_while_after_its_last_surplus_answer },
  { "expired processes are removed", expired_processes_are_removed },
};

int
main (void)
{
  return CHECK_RUN ("surplus_answers", cases);
}
