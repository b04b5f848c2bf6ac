#include "check.h"
#include "gateway_steps.h"

#include <string.h>

/* Guards against streams that look complete although their replica has broken
   them off: an answer may have neither a length nor chunks and end with its
   connection, so that only a reset, or an end inside an event, tells.  */

#define EVENT_COUNT 6

static const struct
{
  const char *target;
  bool complete;
  unsigned arrivals;
} stream_cases[] = {
  { "/a/stream/once/unframed-stream", true, 1 },
  { "/a/stream/once/unframed-stream-torn", false, 1 },
  { "/a/stream/once/unframed-stream-cut", false, 1 },
  { "/a/stream/resume/unframed-stream", true, 1 },
  { "/a/stream/resume/unframed-stream-torn-once", true, 2 },
  { "/a/stream/resume/unframed-stream-cut-once", true, 2 },
};

static void
streams_that_end_with_their_connection_look_complete_only_if_they_are (void)
{
  start_gateway (2);
  for (size_t i = 0; i < G_N_ELEMENTS (stream_cases); i++)
    {
      char *id = g_strdup_printf ("stream-%zu", i);
      char *answer = gw_request (&world, 0, "POST", stream_cases[i].target, id,
                                 "", "x");
      bool ended = g_str_has_suffix (answer, "\r\n0\r\n\r\n");
      bool good
          = ended == stream_cases[i].complete
            && is_complete_stream (answer, EVENT_COUNT)
                   == stream_cases[i].complete
            && strstr (answer, "data: event 3\n\n") != NULL
            && gw_arrivals_count (&world, id) == stream_cases[i].arrivals;

      if (!good)
        printf ("\n  %s: %u arrivals, %s\n", stream_cases[i].target,
                gw_arrivals_count (&world, id), answer);
      CU_ASSERT_TRUE (good);
      g_free (answer);
      g_free (id);
    }
  end_world ();
}

/* What the second replica answers after the first one has broken the stream
   off.  */
static const char *const later_answers[]
    = { "error-text",  "error-unsealed", "error-missing", "error-plain",
        "error-event", "error-head",     "error-begin",   "busy",
        "busy-sealed", "too-many",       "full",          "encoded",
        "unsigned",    "foreign",        "fails" };

static void
an_error_of_the_next_replica_does_not_get_into_a_stream (void)
{
  start_gateway (2);
  for (size_t i = 0; i < G_N_ELEMENTS (later_answers); i++)
    {
      char *id = g_strdup_printf ("broken-%zu", i);
      char *target = g_strconcat ("/a/stream/resume/torn-then-",
                                  later_answers[i], NULL);
      char *answer = gw_request (&world, 0, "POST", target, id, "", "x");
      const char *body = strstr (answer, "\r\n\r\n");
      bool good
          = body != NULL && strstr (body, "data: event 3\n\n") != NULL
            && strstr (strstr (body, "data: event 3\n\n"), "event 1") == NULL
            && strstr (body, "error") == NULL && strstr (body, "busy") == NULL
            && strstr (body, id) == NULL && strstr (body, "HTTP/") == NULL
            && !g_str_has_suffix (answer, "\r\n0\r\n\r\n")
            && gw_arrivals_count (&world, id) >= 2;

      if (!good)
        printf ("\n  %s: %u arrivals, %s\n", target,
                gw_arrivals_count (&world, id), answer);
      CU_ASSERT_TRUE (good);
      g_free (answer);
      g_free (target);
      g_free (id);
    }
  end_world ();
}

static const check_case_t cases[] = {
  { "an error of the next replica does not get into a stream",
    an_error_of_the_next_replica_does_not_get_into_a_stream },
  { "streams that end with their connection look complete only if they are",
    streams_that_end_with_their_connection_look_complete_only_if_they_are },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_stream", cases);
}
