#include "check.h"

#include "garnetstack/frame.h"

#include <string.h>

static void
backup_put_is_decoded_as_encoded (void)
{
  GByteArray *bytes = g_byte_array_new ();
  gs_frame_t in = { .type = GS_FRAME_BACKUP_PUT };
  gs_frame_t out;
  gs_frame_memory_t *memory;
  size_t body;

  in.backup_put.sequence = UINT64_MAX;
  in.backup_put.account = gs_bytes_from_text ("shop");
  in.backup_put.body = (gs_bytes_t){ "a\0b", 3 };
  gs_frame_encode (bytes, &in);
  CU_ASSERT_EQUAL_FATAL (
      gs_frame_peek (&body, (char *)bytes->data, bytes->len), GS_OK);
  CU_ASSERT_EQUAL (body + GS_FRAME_HEADER_BYTES, bytes->len);
  CU_ASSERT_EQUAL_FATAL (
      gs_frame_decode (&out, &memory,
                       (char *)bytes->data + GS_FRAME_HEADER_BYTES, body),
      GS_OK);
  CU_ASSERT_EQUAL (out.backup_put.sequence, UINT64_MAX);
  CU_ASSERT_EQUAL (out.backup_put.body.length, 3);
  CU_ASSERT_EQUAL (memcmp (out.backup_put.body.data, "a\0b", 3), 0);
  gs_frame_memory_free (memory);
  g_byte_array_unref (bytes);
}

/* An empty frame of each type.  Numbers between the two ranges of types are
   unused and rejected.  */
static void
every_frame_type_is_decoded_as_encoded (void)
{
  for (int type = GS_FRAME_HELLO; type < GS_FRAME_TYPE_COUNT; type++)
    {
      GByteArray *bytes = g_byte_array_new ();
      GByteArray *reencoded = g_byte_array_new ();
      gs_frame_t in = { .type = (gs_frame_type_t)type };
      gs_frame_t out;
      gs_frame_memory_t *memory = NULL;

      bool unused = type > GS_FRAME_USAGE && type < GS_FRAME_CATALOGUE_PULL;

      gs_frame_encode (bytes, &in);
      CU_ASSERT_EQUAL_FATAL (
          gs_frame_decode (&out, &memory,
                           (char *)bytes->data + GS_FRAME_HEADER_BYTES,
                           bytes->len - GS_FRAME_HEADER_BYTES),
          unused ? GS_EINVAL : GS_OK);
      if (unused)
        {
          g_byte_array_unref (bytes);
          g_byte_array_unref (reencoded);
          continue;
        }
      gs_frame_encode (reencoded, &out);
      CU_ASSERT_EQUAL_FATAL (reencoded->len, bytes->len);
      CU_ASSERT_EQUAL (memcmp (reencoded->data, bytes->data, bytes->len), 0);
      gs_frame_memory_free (memory);
      g_byte_array_unref (bytes);
      g_byte_array_unref (reencoded);
    }
}

static void
partial_frame_needs_more_bytes (void)
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
malformed_frames_are_rejected (void)
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
length_above_the_limit_is_rejected (void)
{
  size_t body;

  CU_ASSERT_EQUAL (gs_frame_peek (&body, "\xff\xff\xff\xff", 4), GS_ELIMIT);
}

/* Headers of containers that announce more than the frame holds.  The decoder
   must reject them before it allocates the announced size.  */
static void
announced_sizes_beyond_the_frame_are_rejected (void)
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
    { "backup_put_is_decoded_as_encoded", backup_put_is_decoded_as_encoded },
    { "every_frame_type_is_decoded_as_encoded",
      every_frame_type_is_decoded_as_encoded },
    { "partial_frame_needs_more_bytes", partial_frame_needs_more_bytes },
    { "malformed_frames_are_rejected", malformed_frames_are_rejected },
    { "length_above_the_limit_is_rejected",
      length_above_the_limit_is_rejected },
    { "announced_sizes_beyond_the_frame_are_rejected",
      announced_sizes_beyond_the_frame_are_rejected },
  };

  return CHECK_RUN ("frame", cases);
}
