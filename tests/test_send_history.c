#include "check.h"
#include "policy/send_history.h"

#define ROWS_MAX 1000
#define REPLICA 11
#define OTHER_REPLICA 12

/* Guards against a request that goes to a replica a second time on a
   connection that has carried it, where its first answer may be read again. */
static void
a_request_is_known_until_its_deadline (void)
{
  send_history_t *history;

  send_history_create (&history, ROWS_MAX);
  CU_ASSERT_FALSE (send_history_add (history, 0, "a", REPLICA, GS_SEC));
  CU_ASSERT_FALSE (send_history_add (history, 0, "b", REPLICA, GS_SEC));
  CU_ASSERT_FALSE (send_history_add (history, 0, "a", OTHER_REPLICA, GS_SEC));
  CU_ASSERT_TRUE (send_history_add (history, GS_SEC, "a", REPLICA, GS_SEC));
  CU_ASSERT_TRUE (
      send_history_add (history, GS_SEC, "b", REPLICA, 2 * GS_SEC));
  CU_ASSERT_TRUE (
      send_history_add (history, 2 * GS_SEC, "b", REPLICA, 2 * GS_SEC));
  CU_ASSERT_FALSE (
      send_history_add (history, 9 * GS_SEC, "a", REPLICA, 9 * GS_SEC));
  send_history_destroy (history);
}

/* Guards against a history that grows with the requests of a process.  */
static void
expired_rows_are_removed (void)
{
  send_history_t *history;

  send_history_create (&history, ROWS_MAX);
  for (unsigned i = 0; i < 100 * ROWS_MAX; i++)
    {
      gs_time_t now = (gs_time_t)i * GS_SEC;
      char *id = g_strdup_printf ("%u", i);

      CU_ASSERT_FALSE (
          send_history_add (history, now, id, REPLICA, now + 10 * GS_SEC));
      CU_ASSERT (send_history_length (history) <= 12);
      g_free (id);
    }
  send_history_destroy (history);
}

/* Guards against a full history that forgets: a request that it has no row for
   must not be taken for a new one.  */
static void
a_request_without_a_row_counts_as_sent_before (void)
{
  send_history_t *history;

  send_history_create (&history, 2);
  CU_ASSERT_FALSE (send_history_add (history, 0, "a", REPLICA, GS_SEC));
  CU_ASSERT_FALSE (send_history_add (history, 0, "b", REPLICA, GS_SEC));
  CU_ASSERT_TRUE (send_history_add (history, 0, "c", REPLICA, GS_SEC));
  CU_ASSERT_TRUE (send_history_add (history, 0, "a", REPLICA, GS_SEC));
  CU_ASSERT_EQUAL (send_history_length (history), 2);
  CU_ASSERT_FALSE (
      send_history_add (history, 9 * GS_SEC, "c", REPLICA, 9 * GS_SEC));
  send_history_destroy (history);
}

static const check_case_t cases[] = {
  { "a request is known until its deadline",
    a_request_is_known_until_its_deadline },
  { "expired rows are removed", expired_rows_are_removed },
  { "a request without a row counts as sent before",
    a_request_without_a_row_counts_as_sent_before },
};

int
main (void)
{
  return CHECK_RUN ("send_history", cases);
}
