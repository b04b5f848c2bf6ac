#include "check.h"
#include "gateway/events.h"

#include <string.h>

static const char stream[]
    = "id: 1\ndata: a\n\n: note\r\nid: 2\r\ndata: b\r\n\r\n"
      "id:3\ndata: c\ndata: d\n\n";

static void
complete_events_pass_wherever_the_stream_is_cut (void)
{
  for (size_t cut = 1; cut < sizeof stream - 1; cut++)
    {
      events_splitter_t events;
      GString *complete = g_string_new (NULL);

      events_init (&events);
      events_feed (&events, stream, cut, complete);
      events_feed (&events, stream + cut, sizeof stream - 1 - cut, complete);
      CU_ASSERT_STRING_EQUAL (complete->str, stream);
      CU_ASSERT_EQUAL (events.last_id, 3);
      CU_ASSERT_EQUAL (events.partial->len, 0);
      g_string_free (complete, TRUE);
      events_clear (&events);
    }
}

static void
an_incomplete_event_is_held_back (void)
{
  events_splitter_t events;
  GString *complete = g_string_new (NULL);

  events_init (&events);
  events_feed (&events, "id: 7\ndata: x\n\nid: 8\ndata:", 26, complete);
  CU_ASSERT_STRING_EQUAL (complete->str, "id: 7\ndata: x\n\n");
  CU_ASSERT_EQUAL (events.last_id, 7);
  CU_ASSERT_EQUAL (events.count, 1);
  events_partial_discard (&events);
  events_feed (&events, "id: 8\ndata: y\n\n", 15, complete);
  CU_ASSERT_STRING_EQUAL (complete->str,
                          "id: 7\ndata: x\n\nid: 8\ndata: y\n\n");
  g_string_free (complete, TRUE);
  events_clear (&events);
}

static void
only_events_with_a_higher_id_continue_a_stream (void)
{
  static const struct
  {
    const char *text;
    bool continues;
  } rows[] = {
    { "id: 3\ndata: c\n\n", true },
    { ": comment\n\nid: 3\ndata: c\n\n", true },
    { "id: 5\ndata: e\n\ndata: without\n\n", true },
    { "id: 2\ndata: b\n\n", false },
    { "id: 1\ndata: a\n\nid: 3\ndata: c\n\n", false },
    { "event: error\ndata: e\n\n", false },
    { "HTTP/1.1 500 X\r\nContent-Length: 1\r\n\r\n", false },
    { "id: x\ndata: c\n\n", false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      events_splitter_t events;
      GString *complete = g_string_new (NULL);

      events_init (&events);
      CU_ASSERT_TRUE (
          events_feed (&events, "id: 2\ndata: b\n\nid: 3", 21, complete));
      events_partial_discard (&events);
      events_resume (&events);
      g_string_truncate (complete, 0);
      CU_ASSERT_EQUAL (
          events_feed (&events, rows[i].text, strlen (rows[i].text), complete),
          rows[i].continues);
      CU_ASSERT_EQUAL (complete->len,
                       rows[i].continues ? strlen (rows[i].text) : 0);
      CU_ASSERT (events.last_id >= 2);
      g_string_free (complete, TRUE);
      events_clear (&events);
    }
}

static const check_case_t cases[] = {
  { "only events with a higher id continue a stream",
    only_events_with_a_higher_id_continue_a_stream },
  { "complete events pass wherever the stream is cut",
    complete_events_pass_wherever_the_stream_is_cut },
  { "an incomplete event is held back", an_incomplete_event_is_held_back },
};

int
main (void)
{
  return CHECK_RUN ("events", cases);
}
