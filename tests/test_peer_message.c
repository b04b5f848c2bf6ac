/* Messages between nodes of a large fleet come from the network: whatever is
   damaged must be rejected or bounded.  The sums that they carry must count
   each report once.  */

#include "check.h"
#include "fleet/peer_message.h"

#include <string.h>

static void
fill_report (traffic_report_t *report, unsigned in_flight)
{
  placer_load_t load
      = { .replica = "i-1", .in_flight = in_flight, .backlog_tokens = 4000 };
  traffic_usage_t usage
      = { .account = "acme", .window = 42, .requests = in_flight };
  traffic_demand_t demand = { .service = "pool",
                              .requests = 2 * in_flight,
                              .in_flight = in_flight };
  quota_row_t quota = { .account = 77,
                        .nodes = 1,
                        .used = 9,
                        .held = 12,
                        .demand = 5,
                        .tells_demand = 1 };

  g_array_append_val (report->loads, load);
  g_array_append_val (report->usage, usage);
  g_array_append_val (report->demand, demand);
  g_array_append_val (report->quota, quota);
}

static void
fill_message (peer_message_t *message)
{
  traffic_report_t *report = traffic_report_create ();
  peer_status_t status = { .node = UINT64_MAX, .flags = PEER_LEAVING };
  statement_row_t statement = { .replica = UINT64_MAX,
                                .started_ms = 5,
                                .leaving = 1,
                                .limit_micros = 1900000,
                                .age_ms = 250 };

  quarantine_key_row_t key = { .key = UINT64_MAX, .age_ms = 5 };
  stream_origin_row_t origin = { UINT64_MAX, 77, 12000 };
  stream_origin_key_t wanted = { 4711 };

  fill_report (report, 3);
  g_strlcpy (message->self.name, "self", sizeof message->self.name);
  g_strlcpy (message->self.data_centre, "zone-a",
             sizeof message->self.data_centre);
  message->self.incarnation = UINT64_MAX;
  message->flags = PEER_READY | PEER_FOLLOWS_STORE;
  message->members_revision = 9;
  message->sequence = 17;
  message->usage_window = 1234567;
  message->has_statuses = true;
  g_array_append_val (message->statuses, status);
  g_array_append_val (message->statements, statement);
  g_array_append_val (message->quarantine.keys, key);
  message->origins.last = 4711;
  g_array_append_val (message->origins.rows, origin);
  g_array_append_val (message->origins_wanted, wanted);
  aggregate_add_report (&message->aggregate, report, true);
  traffic_report_free (report);
}

static GByteArray *
encode (const peer_message_t *message, bool with_usage)
{
  GByteArray *aggregate
      = peer_message_encode_aggregate (&message->aggregate, with_usage);
  GByteArray *bytes = peer_message_encode (message, aggregate);

  g_byte_array_unref (aggregate);
  return bytes;
}

static void
decoded_message_equals_the_encoded_one (void)
{
  for (unsigned with_usage = 0; with_usage < 2; with_usage++)
    {
      peer_message_t sent;
      peer_message_t decoded;
      GByteArray *bytes;

      peer_message_init (&sent);
      peer_message_init (&decoded);
      fill_message (&sent);
      bytes = encode (&sent, with_usage != 0);
      CU_ASSERT_EQUAL_FATAL (peer_message_decode (&decoded,
                                                  (const char *)bytes->data,
                                                  bytes->len),
                             GS_OK);
      CU_ASSERT_STRING_EQUAL (decoded.self.data_centre, "zone-a");
      CU_ASSERT_EQUAL (decoded.self.incarnation, UINT64_MAX);
      CU_ASSERT_EQUAL (decoded.flags, sent.flags);
      CU_ASSERT_EQUAL (decoded.members_revision, 9);
      CU_ASSERT_EQUAL (decoded.sequence, 17);
      CU_ASSERT_EQUAL_FATAL (decoded.statuses->len, 1);
      CU_ASSERT_EQUAL (
          g_array_index (decoded.statuses, peer_status_t, 0).flags,
          PEER_LEAVING);
      CU_ASSERT_EQUAL (decoded.has_usage, with_usage != 0);
      CU_ASSERT_EQUAL (decoded.usage_window, 1234567);
      CU_ASSERT_EQUAL_FATAL (decoded.statements->len, 1);
      CU_ASSERT_EQUAL (memcmp (decoded.statements->data, sent.statements->data,
                               sizeof (statement_row_t)),
                       0);
      CU_ASSERT_EQUAL_FATAL (decoded.quarantine.keys->len, 1);
      CU_ASSERT_EQUAL (
          g_array_index (decoded.quarantine.keys, quarantine_key_row_t, 0).key,
          UINT64_MAX);
      CU_ASSERT_EQUAL (decoded.origins.last, 4711);
      CU_ASSERT_EQUAL_FATAL (decoded.origins.rows->len, 1);
      CU_ASSERT_EQUAL (memcmp (decoded.origins.rows->data,
                               sent.origins.rows->data,
                               sizeof (stream_origin_row_t)),
                       0);
      CU_ASSERT_TRUE (decoded.asks_for_origins);
      CU_ASSERT_EQUAL_FATAL (decoded.origins_wanted->len, 1);
      CU_ASSERT_EQUAL (
          g_array_index (decoded.origins_wanted, stream_origin_key_t, 0)
              .stream,
          4711);
      CU_ASSERT_EQUAL (decoded.aggregate.nodes, 1);
      CU_ASSERT_EQUAL (decoded.aggregate.usage->len, with_usage);
      CU_ASSERT_EQUAL (decoded.aggregate.demand->len, 1);
      CU_ASSERT_EQUAL_FATAL (decoded.aggregate.quota->len, 1);
      CU_ASSERT_EQUAL (memcmp (decoded.aggregate.quota->data,
                               sent.aggregate.quota->data,
                               sizeof (quota_row_t)),
                       0);
      g_byte_array_unref (bytes);
      peer_message_clear (&decoded);
      peer_message_clear (&sent);
    }
}

/* Messages of earlier versions end after the aggregate, after statements and
   usage window, after the quarantine, or after the origins of streams.  */
static void
messages_of_earlier_versions_are_accepted (void)
{
  static const struct
  {
    guint8 elements;
    guint bytes_less;
  } versions[]
      = { { 16, 13 }, { 18, 11 }, { 20, 9 }, { 24, 5 }, { 26, 3 }, { 28, 1 } };

  for (size_t i = 0; i < G_N_ELEMENTS (versions); i++)
    {
      peer_message_t sent;
      peer_message_t decoded;
      GByteArray *bytes;

      peer_message_init (&sent);
      peer_message_init (&decoded);
      fill_message (&sent);
      g_array_set_size (sent.statements, 0);
      g_array_set_size (sent.quarantine.keys, 0);
      g_array_set_size (sent.origins.rows, 0);
      g_array_set_size (sent.origins_wanted, 0);
      sent.origins.last = 0;
      sent.usage_window = 0;
      bytes = encode (&sent, true);
      /* An array of 29 elements, the last thirteen of them an empty array, 0,
         two empty arrays, 0, 0, 0, an empty array, 0, 0, and three empty
         arrays.  */
      CU_ASSERT_EQUAL_FATAL (bytes->data[0], 0xdc);
      CU_ASSERT_EQUAL_FATAL (bytes->data[2], 29);
      CU_ASSERT_EQUAL_FATAL (
          memcmp (bytes->data + bytes->len - 13,
                  "\x90\0\x90\x90\0\0\0\x90\0\0\x90\x90\x90", 13),
          0);
      bytes->data[2] = versions[i].elements;
      CU_ASSERT_EQUAL (
          peer_message_decode (&decoded, (const char *)bytes->data,
                               bytes->len - versions[i].bytes_less),
          GS_OK);
      CU_ASSERT_EQUAL (decoded.statements->len, 0);
      CU_ASSERT_EQUAL (decoded.rollouts->len, 0);
      CU_ASSERT_FALSE (decoded.asks_for_origins);
      CU_ASSERT_EQUAL (decoded.quarantine.losses->len, 0);
      CU_ASSERT_EQUAL (decoded.aggregate.usage->len, 1);
      g_byte_array_unref (bytes);
      peer_message_clear (&decoded);
      peer_message_clear (&sent);
    }
}

static void
damaged_messages_are_rejected_or_bounded (void)
{
  peer_message_t sent;
  GByteArray *bytes;

  peer_message_init (&sent);
  fill_message (&sent);
  bytes = encode (&sent, true);
  for (guint length = 0; length < bytes->len; length++)
    {
      peer_message_t decoded;

      peer_message_init (&decoded);
      CU_ASSERT_EQUAL (
          peer_message_decode (&decoded, (const char *)bytes->data, length),
          GS_EINVAL);
      peer_message_clear (&decoded);
    }
  for (guint offset = 0; offset < bytes->len; offset++)
    for (unsigned bit = 0; bit < 8; bit++)
      {
        peer_message_t decoded;

        bytes->data[offset] ^= (guint8)(1U << bit);
        peer_message_init (&decoded);
        peer_message_decode (&decoded, (const char *)bytes->data, bytes->len);
        CU_ASSERT (decoded.statuses->len <= DIGEST_MEMBERS_MAX + 1);
        CU_ASSERT (decoded.aggregate.loads->len <= AGGREGATE_ROWS_MAX);
        peer_message_clear (&decoded);
        bytes->data[offset] ^= (guint8)(1U << bit);
      }
  g_byte_array_unref (bytes);
  peer_message_clear (&sent);
}

static void
a_report_is_taken_out_of_a_sum (void)
{
  traffic_report_t *mine = traffic_report_create ();
  traffic_report_t *other = traffic_report_create ();
  aggregate_t sum;
  aggregate_t own;

  fill_report (mine, 3);
  fill_report (other, 5);
  aggregate_init (&sum);
  aggregate_init (&own);
  aggregate_add_report (&sum, mine, true);
  aggregate_add_report (&sum, other, true);
  aggregate_add_report (&own, mine, true);
  CU_ASSERT_EQUAL (sum.nodes, 2);
  CU_ASSERT_EQUAL (g_array_index (sum.quota, quota_row_t, 0).held, 24);
  aggregate_subtract (&sum, &own);
  CU_ASSERT_EQUAL (sum.nodes, 1);
  CU_ASSERT_EQUAL (g_array_index (sum.loads, placer_peer_load_t, 0).in_flight,
                   5);
  CU_ASSERT_EQUAL (g_array_index (sum.quota, quota_row_t, 0).held, 12);
  CU_ASSERT_EQUAL (g_array_index (sum.quota, quota_row_t, 0).demand, 5);
  /* A part that was added in another state leaves nothing below 0.  */
  aggregate_subtract (&sum, &own);
  aggregate_subtract (&sum, &own);
  CU_ASSERT_EQUAL (sum.nodes, 0);
  CU_ASSERT_EQUAL (g_array_index (sum.loads, placer_peer_load_t, 0).in_flight,
                   0);
  aggregate_clear (&own);
  aggregate_clear (&sum);
  traffic_report_free (other);
  traffic_report_free (mine);
}

/* Two aggregators may each know processes that the other does not.  */
static void
counters_are_raised_to_the_higher_of_two_sums (void)
{
  traffic_report_t *less = traffic_report_create ();
  traffic_report_t *more = traffic_report_create ();
  aggregate_t first;
  aggregate_t second;

  fill_report (less, 3);
  fill_report (more, 5);
  aggregate_init (&first);
  aggregate_init (&second);
  aggregate_add_report (&first, less, true);
  aggregate_add_report (&second, more, true);
  aggregate_raise (&first, &second, false);
  CU_ASSERT_EQUAL (g_array_index (first.usage, traffic_usage_t, 0).requests,
                   5);
  CU_ASSERT_EQUAL (g_array_index (first.demand, traffic_demand_t, 0).requests,
                   10);
  CU_ASSERT_EQUAL (g_array_index (first.demand, traffic_demand_t, 0).in_flight,
                   3);
  aggregate_raise (&second, &first, true);
  CU_ASSERT_EQUAL (g_array_index (second.usage, traffic_usage_t, 0).requests,
                   5);
  aggregate_clear (&second);
  aggregate_clear (&first);
  traffic_report_free (more);
  traffic_report_free (less);
}

static const check_case_t cases[] = {
  { "messages of earlier versions are accepted",
    messages_of_earlier_versions_are_accepted },
  { "decoded message equals the encoded one",
    decoded_message_equals_the_encoded_one },
  { "damaged messages are rejected or bounded",
    damaged_messages_are_rejected_or_bounded },
  { "a report is taken out of a sum", a_report_is_taken_out_of_a_sum },
  { "counters are raised to the higher of two sums",
    counters_are_raised_to_the_higher_of_two_sums },
};

int
main (void)
{
  return CHECK_RUN ("peer message", cases);
}
