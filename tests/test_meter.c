#include "check.h"
#include "garnetstack/meter.h"

#include <string.h>

static void
series_are_written_in_the_prometheus_text_format (void)
{
  char *text;

  gs_meter_add ("asked_total", "kind=\"a\"", 2);
  gs_meter_add ("asked_total", "kind=\"a\"", 1);
  gs_meter_set ("level", "", 4.5);
  gs_meter_observe ("took_seconds", "kind=\"b\"", 0.02);
  gs_meter_observe ("took_seconds", "kind=\"b\"", 100);
  text = gs_meter_text ();
  CU_ASSERT_PTR_NOT_NULL (strstr (text,
                                  "# TYPE garnetstack_asked_total counter\n"
                                  "garnetstack_asked_total{kind=\"a\"} 3\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "garnetstack_level{} 4.5\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (
      text, "garnetstack_took_seconds_bucket{kind=\"b\",le=\"0.01\"} 0\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (
      text, "garnetstack_took_seconds_bucket{kind=\"b\",le=\"0.025\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (
      text, "garnetstack_took_seconds_bucket{kind=\"b\",le=\"+Inf\"} 2\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "garnetstack_took_seconds_count{kind=\"b\"} 2\n"));
  g_free (text);
}

static void
the_number_of_series_is_limited (void)
{
  char *text;
  char *dropped;

  for (unsigned i = 0; i < GS_METER_SERIES_MAX + 50; i++)
    {
      char labels[32];

      g_snprintf (labels, sizeof labels, "n=\"%u\"", i);
      gs_meter_set ("many", labels, i);
    }
  text = gs_meter_text ();
  dropped = strstr (text, "\ngarnetstack_series_left_out ");
  CU_ASSERT_PTR_NOT_NULL_FATAL (dropped);
  CU_ASSERT (strtoul (strchr (dropped, ' '), NULL, 10) >= 50);
  g_free (text);
  gs_meter_clear ("many");
  text = gs_meter_text ();
  CU_ASSERT_PTR_NULL (strstr (text, "garnetstack_many"));
  g_free (text);
}

static const check_case_t cases[] = {
  { "series are written in the Prometheus text format",
    series_are_written_in_the_prometheus_text_format },
  { "the number of series is limited", the_number_of_series_is_limited },
};

int
main (void)
{
  return CHECK_RUN ("meter", cases);
}
