#include "fleet/feed_encoder.h"

#include <string.h>
#include <zlib.h>

/* A shorter export fits into one or two packets anyway.  */
#define PLAIN_BYTES_MAX 1024
/* Window bits for a gzip header and trailer, as zlib.h defines them.  */
#define GZIP_WINDOW_BITS (15 + 16)
#define MEMORY_LEVEL 8

struct feed_encoder
{
  const feed_t *feed;
  GBytes *bytes; /* last export; NULL before the first or if it was short */
  bool valid;
  uint64_t revision; /* of the feed at the last export */
  uint64_t after_revision;
};

void
feed_encoder_create (feed_encoder_t **out, const feed_t *feed)
{
  feed_encoder_t *encoder = g_new0 (feed_encoder_t, 1);

  encoder->feed = feed;
  *out = encoder;
}

void
feed_encoder_destroy (feed_encoder_t *encoder)
{
  if (encoder == NULL)
    return;
  g_clear_pointer (&encoder->bytes, g_bytes_unref);
  g_free (encoder);
}

/* @return the compressed text; NULL if it would not be shorter  */
static GBytes *
compress_text (const char *text)
{
  size_t length = strlen (text);
  z_stream stream
      = { .next_in = (Bytef *)(uintptr_t)text, .avail_in = (uInt)length };
  GBytes *bytes = NULL;
  uint8_t *out;

  if (length <= PLAIN_BYTES_MAX
      || deflateInit2 (&stream, Z_BEST_SPEED, Z_DEFLATED, GZIP_WINDOW_BITS,
                       MEMORY_LEVEL, Z_DEFAULT_STRATEGY)
             != Z_OK)
    return NULL;
  out = g_malloc (length);
  stream.next_out = out;
  stream.avail_out = (uInt)length;
  if (deflate (&stream, Z_FINISH) == Z_STREAM_END)
    bytes = g_bytes_new (out, stream.total_out);
  deflateEnd (&stream);
  g_free (out);
  return bytes;
}

GBytes *
feed_encoder_export (feed_encoder_t *encoder, uint64_t after_revision)
{
  uint64_t revision = feed_revision (encoder->feed);
  char *text;

  if (!encoder->valid || encoder->revision != revision
      || encoder->after_revision != after_revision)
    {
      text = feed_export (encoder->feed, after_revision);
      g_clear_pointer (&encoder->bytes, g_bytes_unref);
      encoder->bytes = compress_text (text);
      encoder->valid = true;
      encoder->revision = revision;
      encoder->after_revision = after_revision;
      g_free (text);
    }
  return encoder->bytes != NULL ? g_bytes_ref (encoder->bytes) : NULL;
}
