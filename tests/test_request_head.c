#include "check.h"
#include "raw_http.h"

#include "garnetstack/rng.h"
#include "garnetstack/server.h"

#include <pthread.h>
#include <string.h>

/* Guards against requests that the server reads in another way than a strict
   reader of RFC 9112 does, so that a part of one is run as another.  */

#define INPUTS_DEFAULT 4000
#define INPUT_BYTES_MAX 2048
#define MUTATIONS_MAX 3
#define SHOWN_MAX 3 /* inputs that are read otherwise */
#define QUIET (200 * GS_MSEC)
#define BODY "hello"
#define INNER "POST /inner HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
#define LAST "GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"

/* What the server passes to its handler, a line for each request.  */
static GString *handled;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Blanks after a value do not belong to it.  */
static void
append_header (void *context, const char *name, const char *value)
{
  char *stripped = g_strchomp (g_strdup (value));

  g_string_append_printf (context, "|%s=%s", name, stripped);
  g_free (stripped);
}

static void
record_request (void *context, gs_exchange_t *exchange)
{
  size_t length;

  (void)context;
  gs_exchange_body (exchange, &length);
  pthread_mutex_lock (&lock);
  g_string_append_printf (handled, "%s %s", gs_exchange_method (exchange),
                          gs_exchange_target (exchange));
  gs_exchange_each_header (exchange, append_header, handled);
  g_string_append_printf (handled, "|%zu\n", length);
  pthread_mutex_unlock (&lock);
  gs_exchange_reply (exchange, 200, "text/plain", NULL, "ok", 2);
}

static void
create_server (gs_server_t **out)
{
  gs_server_options_t options = GS_SERVER_OPTIONS_INIT;

  options.handler = record_request;
  CU_ASSERT_EQUAL_FATAL (gs_server_create (out, &options), GS_OK);
}

/* @return the answers, freed by the caller; the requests are in handled  */
static GString *
send_input (gs_server_t *server, const char *data, size_t length, size_t part)
{
  raw_conn_t conn;
  GString *answer;

  pthread_mutex_lock (&lock);
  g_string_truncate (handled, 0);
  pthread_mutex_unlock (&lock);
  CU_ASSERT_TRUE_FATAL (raw_connect (&conn, gs_server_port (server)));
  for (size_t at = 0; at < length; at += part)
    {
      raw_send (&conn, data + at, MIN (part, length - at));
      if (part < length)
        g_usleep (1000);
    }
  answer = raw_read_until (&conn, QUIET, NULL);
  raw_close (&conn);
  return answer;
}

#define HEAD_BEGIN "POST /outer HTTP/1.1\r\nHost: x\r\n"

typedef struct
{
  const char *name;
  const char *text;
  size_t length; /* 0 for that of the text */
} input_t;

static const input_t refused_inputs[] = {
  { "length on a continuation line",
    HEAD_BEGIN "Content-Length:\r\n 52\r\n\r\n" INNER, 0 },
  { "length on a continuation line with a tab",
    HEAD_BEGIN "Content-Length:\r\n\t52\r\n\r\n" INNER, 0 },
  { "coding on a continuation line",
    HEAD_BEGIN "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n", 0 },
  { "a line without a name before the length",
    HEAD_BEGIN ": x\r\nContent-Length: 52\r\n\r\n" INNER, 0 },
  { "a line without a colon before the length",
    HEAD_BEGIN "x\r\nContent-Length: 52\r\n\r\n" INNER, 0 },
  { "a continued value",
    HEAD_BEGIN "X-Token-Counts:\r\n 80\r\nContent-Length: 0\r\n\r\n", 0 },
  { "a continuation of blanks",
    HEAD_BEGIN "X-A: 1\r\n  \r\nContent-Length: 0\r\n\r\n", 0 },
  { "a continued request line",
    "POST /outer HTTP/1.1\r\n X: 1\r\nContent-Length: 0\r\n\r\n", 0 },
  { "a space before the colon", HEAD_BEGIN "Content-Length : 52\r\n\r\n" INNER,
    0 },
  { "two lengths",
    HEAD_BEGIN "Content-Length: 0\r\nContent-Length: 52\r\n\r\n" INNER, 0 },
  { "length and coding",
    HEAD_BEGIN "Content-Length: 52\r\nTransfer-Encoding: chunked\r\n\r\n"
               "0\r\n\r\n",
    0 },
  { "a length with a sign", HEAD_BEGIN "Content-Length: +52\r\n\r\n" INNER,
    0 },
  { "a carriage return in a value",
    HEAD_BEGIN "X-A: 1\rContent-Length: 52\r\nX-B: 2\r\n\r\n" INNER, 0 },
  { "a zero byte in a value",
    HEAD_BEGIN "X-A: 1\0Content-Length: 52\r\nContent-Length: 0\r\n\r\n",
    sizeof HEAD_BEGIN - 1
        + sizeof "X-A: 1\0Content-Length: 52\r\nContent-Length: 0\r\n\r\n"
        - 1 },
  { "a zero byte in the target",
    "POST /outer\0x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
    sizeof "POST /outer\0x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
        - 1 },
  { "a line feed alone", HEAD_BEGIN "X-A: 1\nContent-Length: 52\r\n\r\n" INNER,
    0 },
};

static void
heads_that_are_not_read_whole_are_refused (void)
{
  gs_server_t *server;

  create_server (&server);
  for (size_t i = 0; i < G_N_ELEMENTS (refused_inputs); i++)
    {
      const input_t *input = &refused_inputs[i];
      size_t length
          = input->length != 0 ? input->length : strlen (input->text);
      GString *answer = send_input (server, input->text, length, length);

      if (!g_str_has_prefix (answer->str, "HTTP/1.1 400") || handled->len > 0)
        printf ("\n  %s: %.12s, %s", input->name, answer->str, handled->str);
      CU_ASSERT (g_str_has_prefix (answer->str, "HTTP/1.1 400"));
      CU_ASSERT_EQUAL (handled->len, 0);
      g_string_free (answer, TRUE);
    }
  gs_server_destroy (server);
}

/* Guards against a check that refuses what is clear.  */
static void
heads_that_are_clear_are_read (void)
{
  static const size_t parts[] = { INPUT_BYTES_MAX * 16, 7, 1 };
  static const struct
  {
    const char *text;
    const char *handled;
  } rows[] = {
    { "POST /a?b=%20c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n" BODY,
      "POST /a?b=%20c|Host=x|Content-Length=5|5\n" },
    { "POST /a HTTP/1.1\r\nHost:x\r\nX-A: \t 1 2\t \r\nContent-Length:5\r\n"
      "\r\n" BODY,
      "POST /a|Host=x|X-A=1 2|Content-Length=5|5\n" },
    { "GET /a HTTP/1.1\r\nHost: x\r\nX-Empty:\r\nX-Blank: \r\nX-Last: 1\r\n"
      "\r\n",
      "GET /a|Host=x|X-Empty=|X-Blank=|X-Last=1|0\n" },
    { "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\n" BODY "\r\n0\r\n\r\n",
      "POST /a|Host=x|Transfer-Encoding=chunked|5\n" },
    { "GET /a HTTP/1.1\r\nHost: x\r\nCookie: a=b; c=\"d\"\r\nX-A: 1\r\n\r\n",
      "GET /a|Host=x|Cookie=a=b; c=\"d\"|X-A=1|0\n" },
    { "GET /a HTTP/1.1\r\nHost: x\r\n\r\n" LAST,
      "GET /a|Host=x|0\nGET /last|Host=x|Connection=close|0\n" },
    { "GET /a HTTP/1.1\r\n\r\n", "GET /a|0\n" },
  };
  gs_server_t *server;

  create_server (&server);
  for (size_t i = 0; i < G_N_ELEMENTS (rows) * G_N_ELEMENTS (parts); i++)
    {
      size_t row = i / G_N_ELEMENTS (parts);
      GString *answer
          = send_input (server, rows[row].text, strlen (rows[row].text),
                        parts[i % G_N_ELEMENTS (parts)]);

      if (strcmp (handled->str, rows[row].handled) != 0)
        printf ("\n  row %zu: %.12s, %s", row, answer->str, handled->str);
      CU_ASSERT_STRING_EQUAL (handled->str, rows[row].handled);
      g_string_free (answer, TRUE);
    }
  gs_server_destroy (server);
}

static void
a_long_head_is_read (void)
{
  GString *text = g_string_new ("GET /a HTTP/1.1\r\nHost: x\r\n");
  gs_server_t *server;
  GString *answer;

  for (unsigned i = 0; text->len < 12000; i++)
    g_string_append_printf (text, "X-%u: %0500u\r\n", i, i);
  g_string_append (text, "\r\n");
  create_server (&server);
  answer = send_input (server, text->str, text->len, 1000);
  CU_ASSERT (g_str_has_prefix (answer->str, "HTTP/1.1 200"));
  CU_ASSERT (g_str_has_prefix (handled->str, "GET /a|Host=x|X-0=0"));
  g_string_free (answer, TRUE);
  g_string_free (text, TRUE);
  gs_server_destroy (server);
}

/* Strict reader: reads as many whole requests as there are.  */
typedef struct
{
  const char *at;
  const char *end;
} reader_t;

static bool
is_token (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isalnum (text[i])
        && (text[i] == '\0' || strchr ("!#$%&'*+-.^_`|~", text[i]) == NULL))
      return false;
  return length > 0;
}

/* @return a line without its end, freed by the caller; NULL if there is none
   that ends with CR LF and has no other control characters  */
static char *
read_line (reader_t *reader)
{
  const char *begin = reader->at;

  for (; reader->at < reader->end; reader->at++)
    {
      char c = *reader->at;

      if (c == '\r' && reader->at + 1 < reader->end && reader->at[1] == '\n')
        {
          reader->at += 2;
          return g_strndup (begin, (gsize)(reader->at - 2 - begin));
        }
      if (g_ascii_iscntrl (c) && c != '\t')
        return NULL;
    }
  return NULL;
}

static bool
read_request_line (reader_t *reader, GString *out)
{
  char *line = read_line (reader);
  char **words = line != NULL ? g_strsplit (line, " ", -1) : NULL;
  bool valid = words != NULL && g_strv_length (words) == 3
               && is_token (words[0], strlen (words[0])) && words[1][0] != '\0'
               && strchr (words[1], '\t') == NULL
               && (strcmp (words[2], "HTTP/1.1") == 0
                   || strcmp (words[2], "HTTP/1.0") == 0);

  if (valid)
    g_string_append_printf (out, "%s %s", words[0], words[1]);
  g_strfreev (words);
  g_free (line);
  return valid;
}

static bool
read_chunks (reader_t *reader, size_t *total)
{
  for (;;)
    {
      char *line = read_line (reader);
      size_t digits
          = line != NULL ? strspn (line, "0123456789abcdefABCDEF") : 0;
      guint64 size = digits > 0 ? g_ascii_strtoull (line, NULL, 16) : 0;
      bool valid = digits > 0 && digits < 9
                   && (line[digits] == '\0' || line[digits] == ';');

      g_free (line);
      if (!valid)
        return false;
      *total += size;
      if (size == 0)
        break;
      if ((guint64)(reader->end - reader->at) < size + 2
          || memcmp (reader->at + size, "\r\n", 2) != 0)
        return false;
      reader->at += size + 2;
    }
  for (;;)
    {
      char *line = read_line (reader);
      bool last = line != NULL && line[0] == '\0';
      bool valid
          = line != NULL && (last || is_token (line, strcspn (line, ":")));

      g_free (line);
      if (!valid || last)
        return valid;
    }
}

static bool
read_strictly (reader_t *reader, GString *out)
{
  unsigned framings = 0;
  bool chunked = false;
  guint64 length = 0;
  size_t total = 0;

  /* Empty lines before a request are ignored, and a line may end with LF
     alone (RFC 9112, 2.2).  */
  while (reader->at < reader->end
         && (*reader->at == '\n'
             || (*reader->at == '\r' && reader->end - reader->at > 1
                 && reader->at[1] == '\n')))
    reader->at++;
  if (!read_request_line (reader, out))
    return false;
  for (;;)
    {
      char *line = read_line (reader);
      size_t name = line != NULL ? strcspn (line, ":") : 0;
      bool valid = line != NULL && line[name] == ':' && is_token (line, name);
      bool last = line != NULL && line[0] == '\0';
      char *value = valid ? g_strstrip (g_strdup (line + name + 1)) : NULL;

      if (valid)
        {
          line[name] = '\0';
          g_string_append_printf (out, "|%s=%s", line, value);
        }
      if (valid && g_ascii_strcasecmp (line, "Content-Length") == 0)
        {
          framings++;
          valid = value[0] != '\0'
                  && strspn (value, "0123456789") == strlen (value)
                  && g_ascii_string_to_unsigned (value, 10, 0, INPUT_BYTES_MAX,
                                                 &length, NULL);
        }
      else if (valid && g_ascii_strcasecmp (line, "Transfer-Encoding") == 0)
        {
          framings++;
          chunked = true;
          valid = g_ascii_strcasecmp (value, "chunked") == 0;
        }
      g_free (value);
      g_free (line);
      if (last)
        break;
      if (!valid || framings > 1)
        return false;
    }
  total = length;
  if (chunked ? !read_chunks (reader, &total)
              : (guint64)(reader->end - reader->at) < length)
    return false;
  if (!chunked)
    reader->at += length;
  g_string_append_printf (out, "|%zu\n", total);
  return true;
}

/* @param from first byte that may change
   @param until end of these bytes  */
static void
mutate (gs_rng_t *rng, GString *input, size_t from, size_t until)
{
  static const struct
  {
    const char *text;
    size_t length;
  } pieces[] = {
    { "\r", 1 },
    { "\n", 1 },
    { "\r\n", 2 },
    { "\r\n ", 3 },
    { "\r\n\t", 3 },
    { " ", 1 },
    { "\t", 1 },
    { ":", 1 },
    { ": x\r\n", 5 },
    { "\0", 1 },
    { "\v", 1 },
    { "0", 1 },
    { "5", 1 },
    { ",", 1 },
    { ";", 1 },
    { "+", 1 },
    { "\x80", 1 },
    { "Content-Length: 5\r\n", 19 },
    { "Content-Length:\r\n 5\r\n", 21 },
    { "Transfer-Encoding: chunked\r\n", 28 },
    { "Transfer-Encoding: identity\r\n", 29 },
    { "\r\n\r\n", 4 },
  };
  unsigned count = 1 + (unsigned)gs_rng_below (rng, MUTATIONS_MAX);

  for (; count > 0 && (until = MIN (until, input->len)) > from; count--)
    {
      gssize at = (gssize)(from + gs_rng_below (rng, until - from));
      size_t piece = gs_rng_below (rng, G_N_ELEMENTS (pieces));

      if (gs_rng_below (rng, 3) == 0)
        g_string_erase (input, at, 1);
      else
        g_string_insert_len (input, at, pieces[piece].text,
                             (gssize)pieces[piece].length);
    }
}

static unsigned
inputs_count (void)
{
  const char *text = g_getenv ("GS_INPUTS");

  return text != NULL ? (unsigned)strtoul (text, NULL, 10) : INPUTS_DEFAULT;
}

/* @return what a strict reader reads of an input, freed by the caller  */
static GString *
read_all_strictly (const GString *input)
{
  reader_t reader = { input->str, input->str + input->len };
  GString *strict = g_string_new (NULL);
  size_t valid = 0;

  while (read_strictly (&reader, strict))
    valid = strict->len;
  g_string_truncate (strict, valid);
  return strict;
}

/* Sends inputs with random changes.  The server may refuse more than the
   strict reader, and may refuse later requests of a connection.
   @param bodies whether the bodies change instead of the heads  */
static void
compare_readers (const char *const *bases, size_t base_count, bool bodies)
{
  const char *seed = g_getenv ("GS_SEED");
  unsigned inputs = inputs_count ();
  unsigned differing = 0;
  unsigned accepted = 0;
  gs_server_t *server;
  gs_rng_t rng;

  gs_rng_seed (&rng, seed != NULL ? strtoull (seed, NULL, 10) : 1);
  create_server (&server);
  for (unsigned i = 0; i < inputs; i++)
    {
      const char *base = bases[gs_rng_below (&rng, base_count)];
      size_t head = (size_t)(strstr (base, "\r\n\r\n") + 4 - base);
      GString *input = g_string_new (base);
      GString *strict;
      GString *answer;

      mutate (&rng, input, bodies ? head : 0, bodies ? input->len : head);
      g_string_append (input, LAST);
      strict = read_all_strictly (input);
      answer = send_input (server, input->str, input->len, input->len);
      pthread_mutex_lock (&lock);
      accepted += handled->len > 0;
      if (!g_str_has_prefix (strict->str, handled->str))
        {
          char *shown = g_strescape (input->str, NULL);

          if (differing++ < SHOWN_MAX)
            printf ("\n  input %u: %s\n  server: %s  strict: %s", i, shown,
                    handled->str, strict->str);
          g_free (shown);
        }
      pthread_mutex_unlock (&lock);
      g_string_free (answer, TRUE);
      g_string_free (strict, TRUE);
      g_string_free (input, TRUE);
    }
  printf ("\n  %u inputs, %u accepted, %u read otherwise ", inputs, accepted,
          differing);
  CU_ASSERT_EQUAL (differing, 0);
  CU_ASSERT (accepted > inputs / 10);
  gs_server_destroy (server);
}

#define CHUNKED                                                               \
  "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"         \
  "34\r\n" INNER "\r\n0\r\n\r\n"

static void
heads_that_a_strict_reader_reads_otherwise_are_refused (void)
{
  static const char *const bases[] = {
    "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 52\r\nX-A: "
    "1\r\n\r\n" INNER,
    CHUNKED,
    "GET /a?b=c HTTP/1.1\r\nHost: x\r\nX-A: 1, 2\r\nX-B:  3 \r\n\r\n",
  };

  compare_readers (bases, G_N_ELEMENTS (bases), false);
}

static void
chunks_that_a_strict_reader_reads_otherwise_are_refused (void)
{
  static const char *const bases[] = { CHUNKED };

  compare_readers (bases, G_N_ELEMENTS (bases), true);
}

static const check_case_t cases[] = {
  { "heads that are not read whole are refused",
    heads_that_are_not_read_whole_are_refused },
  { "heads that are clear are read", heads_that_are_clear_are_read },
  { "a long head is read", a_long_head_is_read },
  { "heads that a strict reader reads otherwise are refused",
    heads_that_a_strict_reader_reads_otherwise_are_refused },
  { "chunks that a strict reader reads otherwise are refused",
    chunks_that_a_strict_reader_reads_otherwise_are_refused },
};

int
main (void)
{
  handled = g_string_new (NULL);
  return CHECK_RUN ("request_head", cases);
}
