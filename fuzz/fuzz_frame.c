/* Fuzzes frames between peers: every frame that decodes can be encoded, and
   the encoded frame decodes to the same type.  */
#include "fuzz.h"

#include "garnetstack/frame.h"

#include <glib.h>
#include <stdlib.h>

static void
check_round_trip (const gs_frame_t *frame)
{
  GByteArray *bytes = g_byte_array_new ();
  gs_frame_memory_t *memory;
  gs_frame_t decoded;
  size_t body;

  gs_frame_encode (bytes, frame);
  if (gs_frame_peek (&body, (const char *)bytes->data, bytes->len) != GS_OK
      || gs_frame_decode (&decoded, &memory,
                          (const char *)bytes->data + GS_FRAME_HEADER_BYTES,
                          body)
             != GS_OK
      || decoded.type != frame->type)
    abort ();
  gs_frame_memory_free (memory);
  g_byte_array_unref (bytes);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const char *bytes = (const char *)data;
  gs_frame_memory_t *memory;
  gs_frame_t frame;
  size_t body;

  if (gs_frame_peek (&body, bytes, size) == GS_OK
      && body <= size - GS_FRAME_HEADER_BYTES)
    {
      bytes += GS_FRAME_HEADER_BYTES;
      size = body;
    }
  if (gs_frame_decode (&frame, &memory, bytes, size) != GS_OK)
    return 0;
  check_round_trip (&frame);
  gs_frame_memory_free (memory);
  return 0;
}
