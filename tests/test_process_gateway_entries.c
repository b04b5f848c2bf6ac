#include "check.h"
#include "gateway_steps.h"

#include <signal.h>
#include <string.h>

/* Guards against one odd entry of another writer in the store making nodes end
   or stop following the list that it stands in.  */

#define GATEWAYS 2
#define FOLLOW_TIMEOUT (2 * GS_SEC)
#define NESTED_LEVELS 5000
#define REQUESTS 20

static char *
nested_text (unsigned levels)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = 0; i < levels; i++)
    g_string_append_c (text, '[');
  for (unsigned i = 0; i < levels; i++)
    g_string_append_c (text, ']');
  return g_string_free (text, FALSE);
}

#define ENTRY(SERVICE, ADDRESS, SLOTS, MORE)                                  \
  "{\"service\":" SERVICE ",\"address\":" ADDRESS ",\"zone\":\"a\","          \
  "\"version\":\"v1\",\"slots\":" SLOTS ",\"state\":\"ready\"" MORE "}"

/* @param kind of objects among which the odd ones are written  */
static void
write_odd_entries (const char *kind, const char *nested, const char *bound)
{
  const char *texts[] = {
    nested,
    bound,
    ENTRY ("\"pool\"", "\"127.0.0.1:1\"", "8",
           ",\"sequence\":123456789012345678901"),
    ENTRY ("\"pool\"", "\"127.0.0.1:1\"", "1e999", ""),
    ENTRY ("\"pool\"", "\"127.0.0.1:70000\"", "8", ""),
    ENTRY ("\"pool\"", "\"127.0.0.1:0\"", "8", ""),
    ENTRY ("\"pool\"", "\"127.0.0.1:2\"", "8", ",\"born\":1e300"),
    ENTRY ("\"pool\\u0000\"", "\"127.0.0.1:1\"", "8", ""),
    ENTRY ("\"pool\"", "\"\xff\xfe:1\"", "8", ""),
    "17",
    "\"text\"",
    "[]",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      char *name = g_strdup_printf ("odd-%zu", i);

      gw_object_put_raw (&world, kind, name, texts[i]);
      g_free (name);
    }
}

/* @return number of requests that were answered with status 200  */
static unsigned
send_requests (const char *prefix)
{
  unsigned answered = 0;

  for (unsigned i = 0; i < REQUESTS; i++)
    {
      char *id = g_strdup_printf ("%s-%u", prefix, i);
      char *answer = gw_request (&world, i % GATEWAYS, "POST", "/a/never/good",
                                 id, "", "x");

      answered += status_of (answer) == 200;
      g_free (answer);
      g_free (id);
    }
  return answered;
}

/* A node follows the list if it sends nothing to a replica that drains.  */
static void
check_list_is_followed (const char *prefix, unsigned draining)
{
  gs_time_t from;

  gw_replica_publish (&world, draining, "draining");
  g_usleep (FOLLOW_TIMEOUT);
  from = gs_clock_now ();
  CU_ASSERT_EQUAL (send_requests (prefix), REQUESTS);
  CU_ASSERT_EQUAL (gw_arrivals_peak (&world, draining, from, 60 * GS_SEC), 0);
}

static void
check_nodes_live (void)
{
  for (unsigned i = 0; i < GATEWAYS; i++)
    {
      CU_ASSERT_FALSE (gw_wait_exit (&world, i, gs_clock_now () + 1));
      CU_ASSERT_TRUE (gw_is_ready (&world, i));
    }
}

/* Odd entries come while the nodes follow the list, and are in the list that a
   node reads when it starts.  */
static void
odd_entries_leave_the_list_of_replicas_in_use (void)
{
  char *nested = nested_text (NESTED_LEVELS);
  char *bound = nested_text (2040);

  start_gateway (3);
  gw_start (&world, 1, true);
  CU_ASSERT_EQUAL (send_requests ("before"), REQUESTS);
  write_odd_entries ("servers", nested, bound);
  check_list_is_followed ("watched", 0);
  gw_signal (&world, 1, SIGKILL);
  gw_start (&world, 1, true);
  check_list_is_followed ("listed", 1);
  check_nodes_live ();
  end_world ();
  g_free (bound);
  g_free (nested);
}

/* An entry that becomes unreadable names no replica any more.  */
static void
a_replica_whose_entry_becomes_unreadable_gets_nothing (void)
{
  char *nested = nested_text (NESTED_LEVELS);
  gs_time_t from;

  start_gateway (2);
  gw_start (&world, 1, true);
  gw_object_put_raw (&world, "servers", "i-0", nested);
  g_usleep (FOLLOW_TIMEOUT);
  from = gs_clock_now ();
  CU_ASSERT_EQUAL (send_requests ("unreadable"), REQUESTS);
  CU_ASSERT_EQUAL (gw_arrivals_peak (&world, 0, from, 60 * GS_SEC), 0);
  gw_replica_publish (&world, 0, "ready");
  check_list_is_followed ("again", 1);
  check_nodes_live ();
  end_world ();
  g_free (nested);
}

static void
odd_entries_among_those_of_other_kinds_leave_nodes_serving (void)
{
  static const char *const kinds[]
      = { "gateway-nodes", "gateway-quarantine", "rollouts", "config" };
  char *nested = nested_text (NESTED_LEVELS);

  start_gateway (2);
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      gw_object_put_raw (&world, kinds[i], "odd-deep", nested);
      gw_object_put_raw (
          &world, kinds[i], "odd-number",
          "{\"address\":1e999,\"peers\":-12345678901234567890}");
    }
  gw_start (&world, 1, true);
  check_list_is_followed ("kinds", 0);
  gw_configure (&world, 2, "/b/", WORLD_API_KEY);
  g_usleep (FOLLOW_TIMEOUT);
  for (unsigned i = 0; i < GATEWAYS; i++)
    {
      char *answer
          = gw_request (&world, i, "POST", "/b/never/good", "new", "", "x");

      CU_ASSERT_EQUAL (status_of (answer), 200);
      g_free (answer);
    }
  check_nodes_live ();
  end_world ();
  g_free (nested);
}

static const check_case_t cases[] = {
  { "a replica whose entry becomes unreadable gets nothing",
    a_replica_whose_entry_becomes_unreadable_gets_nothing },
  { "odd entries among those of other kinds leave nodes serving",
    odd_entries_among_those_of_other_kinds_leave_nodes_serving },
  { "odd entries leave the list of replicas in use",
    odd_entries_leave_the_list_of_replicas_in_use },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_entries", cases);
}
