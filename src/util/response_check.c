#include "util/response_check.h"

#include <glib.h>
#include <string.h>

#define STATUS_MIN 100
#define STATUS_MAX 599
/* Responses with lower statuses come before the final one.  */
#define STATUS_FINAL_MIN 200
#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_NO_CONTENT 204
#define STATUS_RESET_CONTENT 205
#define STATUS_NOT_MODIFIED 304
#define STATUS_DIGITS 3

static bool
is_token_character (char c)
{
  return g_ascii_isalnum (c)
         || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

/* Bytes above the ASCII range pass.  */
static bool
is_text (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (g_ascii_iscntrl (text[i]) && text[i] != '\t')
      return false;
  return true;
}

/* Reads a line such as "HTTP/1.1 200 OK"; no reason has to follow.  */
static bool
read_status_line (gs_response_check_t *check, const char *line, size_t length)
{
  static const char begin[] = "HTTP/1.";
  const size_t begin_length = sizeof begin - 1;
  const size_t status_at = begin_length + 2;
  unsigned status = 0;

  if (length < status_at + STATUS_DIGITS
      || memcmp (line, begin, begin_length) != 0
      || !g_ascii_isdigit (line[begin_length])
      || line[begin_length + 1] != ' ')
    return false;
  for (size_t i = status_at; i < status_at + STATUS_DIGITS; i++)
    {
      if (!g_ascii_isdigit (line[i]))
        return false;
      status = 10 * status + (unsigned)g_ascii_digit_value (line[i]);
    }
  line += status_at + STATUS_DIGITS;
  length -= status_at + STATUS_DIGITS;
  *check = (gs_response_check_t){ .status = status, .header_expected = true };
  /* Nobody has asked for another protocol.  */
  return status >= STATUS_MIN && status <= STATUS_MAX
         && status != STATUS_SWITCHING_PROTOCOLS
         && (length == 0 || (line[0] == ' ' && is_text (line, length)));
}

static bool
is_name (const char *line, size_t length, const char *name)
{
  return strlen (name) == length
         && g_ascii_strncasecmp (line, name, length) == 0;
}

/* Several lengths are accepted only if they are the same.  */
static bool
read_length (gs_response_check_t *check, const char *value, size_t length)
{
  char *text = g_strndup (value, length);
  guint64 number;
  bool valid
      = g_ascii_string_to_unsigned (text, 10, 0, INT64_MAX, &number, NULL)
        && (!check->has_length || number == check->length);

  check->has_length = true;
  if (valid)
    check->length = number;
  g_free (text);
  return valid;
}

static bool
read_header (gs_response_check_t *check, const char *line, size_t length)
{
  size_t name_length = 0;
  const char *value;

  while (name_length < length && is_token_character (line[name_length]))
    name_length++;
  if (name_length == 0 || name_length == length || line[name_length] != ':')
    return false;
  value = line + name_length + 1;
  length -= name_length + 1;
  if (!is_text (value, length))
    return false;
  for (; length > 0 && (*value == ' ' || *value == '\t'); value++)
    length--;
  while (length > 0 && (value[length - 1] == ' ' || value[length - 1] == '\t'))
    length--;
  /* Trailers do not change how the body is read.  */
  if (!check->header_expected)
    return true;
  if (is_name (line, name_length, "Content-Length"))
    return read_length (check, value, length);
  if (is_name (line, name_length, "Transfer-Encoding"))
    {
      if (check->chunked || !is_name (value, length, "chunked"))
        return false;
      check->chunked = true;
    }
  return true;
}

bool
gs_response_check_line (gs_response_check_t *check, const char *line,
                        size_t length)
{
  if (length > 0 && line[length - 1] == '\n')
    length--;
  if (length > 0 && line[length - 1] == '\r')
    length--;
  if (check->status < STATUS_FINAL_MIN && !check->header_expected)
    return read_status_line (check, line, length);
  if (length > 0)
    return read_header (check, line, length);
  check->header_expected = false;
  return !(check->chunked && check->has_length);
}

bool
gs_response_check_is_unframed (const gs_response_check_t *check)
{
  return check->status >= STATUS_FINAL_MIN
         && gs_response_check_allows_body (check) && !check->has_length
         && !check->chunked;
}

bool
gs_response_check_allows_body (const gs_response_check_t *check)
{
  return check->status >= STATUS_FINAL_MIN
         && check->status != STATUS_NO_CONTENT
         && check->status != STATUS_RESET_CONTENT
         && check->status != STATUS_NOT_MODIFIED;
}
