#include "check.h"

#include "garnetstack/frame.h"

#include <string.h>

static void
backup_put_survives_a_round_trip (void)
{
  GByteArray *bytes = g_byte_array_new ();
  gs_frame_t in = { .type = GS_FRAME_BACKUP_PUT };
  gs_frame_t out;
  gs_frame_memory_t *memory;
  size_t body;

  in.backup_put.sequence = UINT64_MAX;
  in.backup_put.account = gs_bytes_text ("shop");
  in.backup_put.body = (gs_bytes_t){ "a\0b", 3 };
  gs_frame_encode (bytes, &in);
  CU_ASSERT_EQUAL_FATAL (
      gs_frame_peek (&body, (char *)bytes->data, bytes->len), GS_OK);
  CU_ASSERT_EQUAL (body + GS_FRAME_HEAD_BYTES, bytes->len);
  CU_ASSERT_EQUAL_FATAL (
      gs_frame_decode (&out, &memory,
                       (char *)bytes->data + GS_FRAME_HEAD_BYTES, body),
      GS_OK);
  CU_ASSERT_EQUAL (out.backup_put.sequence, UINT64_MAX);
  CU_ASSERT_EQUAL (out.backup_put.body.length, 3);
  CU_ASSERT_EQUAL (memcmp (out.backup_put.body.data, "a\0b", 3), 0);
  gs_frame_release (memory);
  g_byte_array_unref (bytes);
}

/* An empty frame of each type.  Numbers between the two ranges of types are
   unused and rejected.  */
static void
every_frame_survives_a_round_trip (void)
{
  for (int type = GS_FRAME_HELLO; type < GS_FRAME_TYPE_COUNT; type++)
    {
      GByteArray *bytes = g_byte_array_new ();
      GByteArray *again = g_byte_array_new ();
      gs_frame_t in = { .type = (gs_frame_type_t)type };
      gs_frame_t out;
      gs_frame_memory_t *memory = NULL;

      bool unused = type > GS_FRAME_USAGE && type < GS_FRAME_CATALOGUE_PULL;

      gs_frame_encode (bytes, &in);
      CU_ASSERT_EQUAL_FATAL (
          gs_frame_decode (&out, &memory,
                           (char *)bytes->data + GS_FRAME_HEAD_BYTES,
                           bytes->len - GS_FRAME_HEAD_BYTES),
          unused ? GS_EINVAL : GS_OK);
      if (unused)
        {
          g_byte_array_unref (bytes);
          g_byte_array_unref (again);
          continue;
        }
      gs_frame_encode (again, &out);
      CU_ASSERT_EQUAL_FATAL (again->len, bytes->len);
      CU_ASSERT_EQUAL (memcmp (again->data, bytes->data, bytes->len), 0);
      gs_frame_release (memory);
      g_byte_array_unref (bytes);
      g_byte_array_unref (again);
    }
}

static void
a_part_of_a_frame_asks_for_more (void)
{
  GByteArray *bytes = g_byte_array_new ();
  gs_frame_t in = { .type = GS_FRAME_HEARTBEAT };
  size_t body;

  gs_frame_encode (bytes, &in);
  for (size_t length = 0; length < bytes->len; length++)
    CU_ASSERT_EQUAL (gs_frame_peek (&body, (char *)bytes->data, length),
                     GS_ENOTFOUND);
  g_byte_array_unref (bytes);
}

static void
malformed_frames_are_refused (void)
{
  static const struct
  {
    const char *data;
    size_t length;
  } cases[] = { { "", 0 },
                { "\xc0", 1 },
                { "\x90", 1 },
                { "\x91\x00", 2 },
                { "\x91\x7f", 2 },
                { "\x91\x01", 2 },
                { "\x92\x02\x01", 3 },
                { "\x92\x02\xc4\xff", 4 } };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      gs_frame_t out;
      gs_frame_memory_t *memory;

      CU_ASSERT_EQUAL (
          gs_frame_decode (&out, &memory, cases[i].data, cases[i].length),
          GS_EINVAL);
    }
}

static void
a_length_above_the_bound_is_refused (void)
{
  size_t body;

  CU_ASSERT_EQUAL (gs_frame_peek (&body, "\xff\xff\xff\xff", 4), GS_ELIMIT);
}

/* Headers of containers that announce more than the frame holds.  The decoder
   must reject them before it allocates the announced size.  */
static void
announced_sizes_are_not_believed (void)
{
  static const struct
  {
    const char *data;
    size_t length;
  } cases[] = {
    { "\xdd\x7f\xff\xff\xff", 5 },
    { "\xdf\x7f\xff\xff\xff", 5 },
    { "\xdc\xff\xff\x01", 4 },
    { "\x94\x03\xff\xdf\x7f", 5 },
    { "\x92\x03\xdf\x7f\xff\xff\xff", 7 },
    { "\x92\x02\xc6\xff\xff\xff\xff", 7 },
    { "\x91\xdd\x7f\xff\xff\xff", 6 },
    { "", 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      gs_frame_memory_t *memory;
      gs_frame_t frame;

      CU_ASSERT_EQUAL (
          gs_frame_decode (&frame, &memory, cases[i].data, cases[i].length),
          GS_EINVAL);
      CU_ASSERT_PTR_NULL (memory);
    }
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "backup_put_survives_a_round_trip", backup_put_survives_a_round_trip },
    { "every_frame_survives_a_round_trip", every_frame_survives_a_round_trip },
    { "a_part_of_a_frame_asks_for_more", a_part_of_a_frame_asks_for_more },
    { "malformed_frames_are_refused", malformed_frames_are_refused },
    { "a_length_above_the_bound_is_refused",
      a_length_above_the_bound_is_refused },
    { "announced_sizes_are_not_believed", announced_sizes_are_not_believed },
  };

  return CHECK_RUN ("frame", cases);
}
