#include "check.h"
#include "util/response_check.h"

#include <string.h>

/* Guards against responses that are passed on although RFC 9112 does not allow
   them, because libcurl reads them in some way.  */

#define OK_LINE "HTTP/1.1 200 X\r\n"

typedef struct
{
  const char *head; /* with its empty line, and trailers behind it */
  bool unframed;
} sound_head_t;

static const sound_head_t sound_heads[] = {
  { OK_LINE "Content-Length: 2\r\n\r\n", false },
  { "HTTP/1.1 200 OK\nContent-Length: 2\n\n", false },
  { "HTTP/1.0 200 OK\r\n\r\n", true },
  { "HTTP/1.1 200\r\n\r\n", true },
  { "HTTP/1.1 200 \r\n\r\n", true },
  { "HTTP/1.1 599 Caf\xc3\xa9\r\n\r\n", true },
  { "HTTP/1.1 204 No Content\r\n\r\n", false },
  { OK_LINE "Transfer-Encoding: Chunked\r\n\r\nX-Sum: 1\r\n", false },
  { "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" OK_LINE "\r\n", true },
  { OK_LINE "Content-Length: 2\r\nContent-Length: 2\r\n\r\n", false },
  { OK_LINE "X-Empty:\r\nX-Tab:\ta b\t\r\n\r\n", true },
};

static const char *const malformed_heads[] = {
  "HTTP/1.1 000 X\r\n\r\n",
  "HTTP/1.1 099 X\r\n\r\n",
  "HTTP/1.1 600 X\r\n\r\n",
  "HTTP/1.1 999 X\r\n\r\n",
  "HTTP/1.1 101 Switching Protocols\r\n\r\n",
  "HTTP/1.1 20 X\r\n\r\n",
  "HTTP/1.1 2000 X\r\n\r\n",
  "HTTP/1.1 +20 X\r\n\r\n",
  "HTTP/1.1  200 X\r\n\r\n",
  "HTTP/1.1\t200 X\r\n\r\n",
  "HTTP/1.1 200X\r\n\r\n",
  "HTTP/1.1 200\tX\r\n\r\n",
  "HTTP/1.1200 X\r\n\r\n",
  "HTTP/2 200 X\r\n\r\n",
  "HTTP/3 200 X\r\n\r\n",
  "HTTP/11 200 X\r\n\r\n",
  "HTTP/1. 200 X\r\n\r\n",
  "http/1.1 200 X\r\n\r\n",
  " " OK_LINE "\r\n",
  "ICY 200 X\r\n\r\n",
  "\r\n" OK_LINE "\r\n",
  "HTTP/1.1 200 X\x01\r\n\r\n",
  "HTTP/1.1 200 X\rY\r\n\r\n",
  OK_LINE "Name\r\n\r\n",
  OK_LINE ": value\r\n\r\n",
  OK_LINE "Name : value\r\n\r\n",
  OK_LINE "Na me: value\r\n\r\n",
  OK_LINE "A: b\r\n c\r\n\r\n",
  OK_LINE "A: b\rC: d\r\n\r\n",
  OK_LINE OK_LINE "\r\n",
  OK_LINE "Content-Length: 2\r\nContent-Length: 3\r\n\r\n",
  OK_LINE "Content-Length: 2, 2\r\n\r\n",
  OK_LINE "Content-Length: +2\r\n\r\n",
  OK_LINE "Content-Length: 0x2\r\n\r\n",
  OK_LINE "Content-Length:\r\n\r\n",
  OK_LINE "Content-Length: 99999999999999999999\r\n\r\n",
  OK_LINE "Transfer-Encoding: gzip, chunked\r\n\r\n",
  OK_LINE "Transfer-Encoding: identity\r\n\r\n",
  OK_LINE "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
  OK_LINE "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n",
  OK_LINE "Transfer-Encoding: chunked\r\n\r\n" OK_LINE,
};

static bool
check_lines (gs_response_check_t *check, const char *head)
{
  while (*head != '\0')
    {
      size_t length = strcspn (head, "\n") + 1;

      if (!gs_response_check_line (check, head, length))
        return false;
      head += length;
    }
  return true;
}

static void
a_head_that_can_be_read_in_one_way_is_accepted (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sound_heads); i++)
    {
      gs_response_check_t check = { .status = 0 };

      CU_ASSERT_TRUE (check_lines (&check, sound_heads[i].head));
      CU_ASSERT_EQUAL (gs_response_check_is_unframed (&check),
                       sound_heads[i].unframed);
    }
}

static void
a_head_that_can_be_read_otherwise_is_rejected (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (malformed_heads); i++)
    {
      gs_response_check_t check = { .status = 0 };
      bool sound = check_lines (&check, malformed_heads[i]);

      if (sound)
        printf ("\n  %s ", malformed_heads[i]);
      CU_ASSERT_FALSE (sound);
    }
}

static void
some_statuses_have_no_body (void)
{
  static const unsigned statuses[] = { 200, 204, 205, 206, 304, 404, 500 };
  static const bool allowed[]
      = { true, false, false, true, false, true, true };

  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    {
      gs_response_check_t check = { .status = statuses[i] };

      CU_ASSERT_EQUAL (gs_response_check_allows_body (&check), allowed[i]);
    }
}

static const check_case_t cases[] = {
  { "a head that can be read in one way is accepted",
    a_head_that_can_be_read_in_one_way_is_accepted },
  { "a head that can be read otherwise is rejected",
    a_head_that_can_be_read_otherwise_is_rejected },
  { "some statuses have no body", some_statuses_have_no_body },
};

int
main (void)
{
  return CHECK_RUN ("response_check", cases);
}
