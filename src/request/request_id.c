#include "garnetstack/request.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define ID_HEX_DIGITS 16

void
gs_request_id_format (char out[GS_REQUEST_ID_TEXT_BYTES], gs_request_id_t id)
{
  snprintf (out, GS_REQUEST_ID_TEXT_BYTES, "%016llx-%016llx",
            (unsigned long long)id.incarnation,
            (unsigned long long)id.sequence);
}

void
gs_stream_id_format (char out[GS_STREAM_ID_TEXT_BYTES], gs_request_id_t id,
                     gs_stream_id_t stream)
{
  char text[GS_REQUEST_ID_TEXT_BYTES];

  gs_request_id_format (text, id);
  snprintf (out, GS_STREAM_ID_TEXT_BYTES, "%s-%016llx-%u", text,
            (unsigned long long)stream.holder, (unsigned)stream.attempt);
}

gs_status_t
gs_request_id_parse (gs_request_id_t *out, const char *text)
{
  size_t digits = strspn (text, "0123456789abcdef");

  if (digits != ID_HEX_DIGITS || text[ID_HEX_DIGITS] != '-'
      || strspn (text + ID_HEX_DIGITS + 1, "0123456789abcdef") != ID_HEX_DIGITS
      || text[2 * ID_HEX_DIGITS + 1] != '\0')
    return gs_error_set (GS_EINVAL, "'%.40s' is not a request id", text);
  out->incarnation = strtoull (text, NULL, 16);
  out->sequence = strtoull (text + ID_HEX_DIGITS + 1, NULL, 16);
  return GS_OK;
}

const char *
gs_request_state_name (gs_request_state_t state)
{
  static const char *const names[]
      = { "received", "accepted", "dispatched", "answered",
          "not_run",  "failed",   "unknown",    "moved" };

  return names[state];
}

const char *
gs_attempt_mode_name (gs_attempt_mode_t mode)
{
  static const char *const names[] = { "new", "resume", "moved", "prefill" };

  return names[mode];
}

guint
gs_request_id_hash (gconstpointer id)
{
  const gs_request_id_t *key = id;
  uint64_t mixed = key->incarnation ^ (key->sequence * 0x9e3779b97f4a7c15U);

  return (guint)(mixed ^ (mixed >> 32));
}

gboolean
gs_request_id_equal (gconstpointer a, gconstpointer b)
{
  const gs_request_id_t *one = a;
  const gs_request_id_t *two = b;

  return one->incarnation == two->incarnation
         && one->sequence == two->sequence;
}

void
gs_claim_format (char out[GS_CLAIM_BYTES], const gs_claim_t *claim)
{
  char id[GS_REQUEST_ID_TEXT_BYTES];

  gs_request_id_format (id, claim->id);
  snprintf (out, GS_CLAIM_BYTES, "%s %016llx %016llx", id,
            (unsigned long long)claim->holder,
            (unsigned long long)claim->backup);
}

gs_status_t
gs_claim_parse (gs_claim_t *out, const char *text, size_t length)
{
  char copy[GS_CLAIM_BYTES];
  char **words;
  gs_status_t status = GS_EINVAL;

  if (length >= sizeof copy)
    return gs_error_set (GS_EINVAL, "a claim of %zu bytes is too long",
                         length);
  memcpy (copy, text, length);
  copy[length] = '\0';
  words = g_strsplit (copy, " ", 4);
  if (g_strv_length (words) == 3)
    {
      status = gs_request_id_parse (&out->id, words[0]);
      out->holder = strtoull (words[1], NULL, 16);
      out->backup = strtoull (words[2], NULL, 16);
    }
  g_strfreev (words);
  return status;
}

uint64_t
gs_text_digest_extend (uint64_t before, const char *data, size_t length)
{
  return XXH3_64bits_withSeed (data, length, before);
}
