#include "util/request_head.h"

#include <glib.h>
#include <string.h>

/* Characters allowed in a header name (RFC 9110, 5.6.2).  */
#define TOKEN_CHARACTERS                                                      \
  "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ"                       \
  "abcdefghijklmnopqrstuvwxyz"
#define LINE_END_LENGTH 2

typedef struct
{
  /* Begin of the line that the next header has to be on.  libmicrohttpd keeps
     a head in one buffer, where it overwrites colons and line ends with zero
     bytes.  */
  const char *next;
  const char *limit; /* end of the head */
  unsigned content_lengths;
  unsigned transfer_encodings;
  bool sound;
} head_check_t;

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

static bool
is_token (const char *text, size_t length)
{
  return length > 0 && strspn (text, TOKEN_CHARACTERS) == length;
}

/* Bytes above the ASCII range pass, as callers send them unescaped.  */
static bool
is_target_valid (const char *target, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (g_ascii_iscntrl (target[i]) || target[i] == ' ')
      return false;
  return length > 0;
}

static bool
is_value_valid (const char *value, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (g_ascii_iscntrl (value[i]) && value[i] != '\t')
      return false;
  return true;
}

/* @param at the byte after the last one of a line
   @param limit end of the head
   @return begin of the next line; NULL if the line does not end here  */
static const char *
skip_line_end (const char *at, const char *limit)
{
  while (at < limit && is_blank (*at))
    at++;
  if (limit - at < LINE_END_LENGTH || (at[0] != '\0' && at[0] != '\r')
      || (at[1] != '\0' && at[1] != '\n'))
    return NULL;
  return at + LINE_END_LENGTH;
}

static void
check_framing (head_check_t *check, const char *name, const char *value)
{
  if (g_ascii_strcasecmp (name, "Content-Length") == 0)
    {
      check->content_lengths++;
      check->sound
          &= *value != '\0' && strspn (value, "0123456789") == strlen (value);
    }
  else if (g_ascii_strcasecmp (name, "Transfer-Encoding") == 0)
    {
      check->transfer_encodings++;
      check->sound &= g_ascii_strcasecmp (value, "chunked") == 0;
    }
}

static enum MHD_Result
check_header (void *context, enum MHD_ValueKind kind, const char *name,
              size_t name_length, const char *value, size_t value_length)
{
  head_check_t *check = context;
  const char *at;

  (void)kind;
  check->sound = check->sound && value != NULL && name == check->next
                 && is_token (name, name_length) && value > name + name_length
                 && value + value_length <= check->limit;
  if (!check->sound)
    return MHD_NO;
  /* A space before the colon is read in different ways.  */
  at = name + name_length;
  check->sound = *at == '\0' || *at == ':';
  for (at++; at < value; at++)
    check->sound &= is_blank (*at);
  check->sound &= is_value_valid (value, value_length);
  check->next = skip_line_end (value + value_length, check->limit);
  check->sound &= check->next != NULL;
  check_framing (check, name, value);
  return check->sound ? MHD_YES : MHD_NO;
}

bool
gs_request_head_is_sound (const gs_request_line_t *line)
{
  size_t size = MHD_get_connection_info (
                    line->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
                    ->header_size;
  head_check_t check = { .limit = line->method + size };

  /* One space separates the parts of the request line.  */
  if (!is_token (line->method, strlen (line->method))
      || line->raw_target_begin != line->method + strlen (line->method) + 1
      || line->version != line->raw_target_begin + strlen (line->target) + 1
      || !is_target_valid (line->target, strlen (line->target)))
    return false;
  check.next
      = skip_line_end (line->version + strlen (line->version), check.limit);
  check.sound = check.next != NULL;
  if (check.sound)
    MHD_get_connection_values_n (line->connection, MHD_HEADER_KIND,
                                 check_header, &check);
  return check.sound && skip_line_end (check.next, check.limit) == check.limit
         && check.content_lengths + check.transfer_encodings <= 1;
}
