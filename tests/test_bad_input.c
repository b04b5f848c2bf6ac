/* Malformed, oversized and unfinished requests, sent over sockets to the
 * front.  */
#include "check.h"

#include "node/front.h"

#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define KEY_DIGEST                                                            \
  "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
#define BODY_BYTES_MAX 4096
#define ANSWER_BYTES_MAX 16384
#define ANSWER_TIMEOUT_MSEC 20000
#define TRICKLE_INTERVAL_MSEC 100
#define TRICKLE_TRIES_MAX 200
#define CLOSE_TRIES_MAX 2000
#define CLOSE_POLL_INTERVAL_USEC 5000

#define AUTH_HEADERS "Host: x\r\nAuthorization: Bearer test\r\n"
#define GET(path) "GET " path " HTTP/1.1\r\n" AUTH_HEADERS "\r\n"
#define PROBE GET ("/v1/addresses")

static gs_snapshot_hub_t *hub;
static gs_front_t *front;

static const char catalogue_text[]
    = "[class counter]\nowner=o\npurpose=p\n"
      "[account shop]\nowner=o\npurpose=p\nclass=counter\nkeys=" KEY_DIGEST
      "\n"
      "[model assistant]\nowner=o\npurpose=p\nclass=counter\nversions=v1\n"
      "active=v1\n"
      "[service desk]\nowner=o\npurpose=p\nclass=counter\nroutes=/charges\n";

static void
open_front (void)
{
  static gs_settings_t settings;
  gs_front_options_t options = { .settings = &settings };
  gs_snapshot_t *snapshot = gs_snapshot_new (0, 0);

  settings = (gs_settings_t){ .connections_max = 64,
                              .body_bytes_max = BODY_BYTES_MAX,
                              .bodies_bytes_max = 2 * BODY_BYTES_MAX,
                              .idle_seconds = 1,
                              .receive_seconds = 2 };
  g_strlcpy (settings.name, "n", sizeof settings.name);
  g_strlcpy (settings.address, "127.0.0.1", sizeof settings.address);
  CU_ASSERT_EQUAL_FATAL (
      gs_catalogue_parse (&snapshot->catalogue, catalogue_text,
                          sizeof catalogue_text - 1, "t", NULL, NULL),
      GS_OK);
  gs_snapshot_hub_create (&hub);
  gs_snapshot_publish (hub, snapshot);
  options.hub = hub;
  CU_ASSERT_EQUAL_FATAL (gs_front_create (&front, &options), GS_OK);
}

static void
close_front (void)
{
  gs_front_destroy (front);
  gs_snapshot_hub_destroy (hub);
}

static int
connect_front (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_port = htons (gs_front_port (front));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

/* Stops at an error: the front may close the connection while data is sent. */
static void
send_all (int fd, const char *data, size_t length)
{
  while (length > 0)
    {
      ssize_t sent = send (fd, data, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return;
      data += sent;
      length -= (size_t)sent;
    }
}

/* Reads until @p needle has been received or the front closes.  A closed
   connection adds "<closed>".  */
static GString *
receive (int fd, const char *needle)
{
  GString *answer = g_string_new (NULL);
  struct pollfd watched = { .fd = fd, .events = POLLIN };

  while (answer->len < ANSWER_BYTES_MAX
         && (needle == NULL || strstr (answer->str, needle) == NULL)
         && poll (&watched, 1, ANSWER_TIMEOUT_MSEC) == 1)
    {
      char block[1024];
      ssize_t count = recv (fd, block, sizeof block, 0);

      if (count <= 0)
        {
          g_string_append (answer, "<closed>");
          break;
        }
      g_string_append_len (answer, block, count);
    }
  return answer;
}

/* After a bad request, the front must serve other callers and leave no
   connection open.  */
static void
expect_front_serves_others (void)
{
  int fd = connect_front ();
  GString *answer;

  send_all (fd, PROBE, sizeof PROBE - 1);
  answer = receive (fd, "keep_ms");
  CU_ASSERT_PTR_NOT_NULL (strstr (answer->str, "HTTP/1.1 200"));
  g_string_free (answer, TRUE);
  close (fd);
  for (int i = 0; i < CLOSE_TRIES_MAX && gs_front_open_count (front) > 0; i++)
    usleep (CLOSE_POLL_INTERVAL_USEC);
  CU_ASSERT_EQUAL (gs_front_open_count (front), 0);
}

static void
expect_answer (const char *request, size_t length, const char *status,
               const char *type)
{
  int fd = connect_front ();
  GString *answer;

  send_all (fd, request, length);
  answer = receive (fd, type);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer->str, status));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer->str, type));
  if (strstr (answer->str, status) == NULL
      || strstr (answer->str, type) == NULL)
    printf ("\n%.200s\n-> %s\n", request, answer->str);
  g_string_free (answer, TRUE);
  close (fd);
  expect_front_serves_others ();
}

static void
invalid_bodies_are_rejected_with_their_type (void)
{
  static const struct
  {
    const char *path;
    const char *body;
    const char *status;
    const char *type;
  } cases[] = {
#define COMPLETION(body, status, type)                                        \
  { "/v1/completions", body, status, "\"" type "\"" }
#define CHAT(body)                                                            \
  {                                                                           \
    "/v1/chat/completions", body, " 400 ", "\"invalid_request\""              \
  }
    COMPLETION ("", " 400 ", "invalid_request"),
    COMPLETION ("[", " 400 ", "invalid_request"),
    COMPLETION ("[]", " 400 ", "invalid_request"),
    COMPLETION ("null", " 400 ", "invalid_request"),
    COMPLETION ("{}", " 400 ", "invalid_request"),
    COMPLETION ("{\"model\":1,\"prompt\":\"p\"}", " 400 ", "invalid_request"),
    COMPLETION ("{\"model\":\"\",\"prompt\":\"p\"}", " 400 ",
                "invalid_request"),
    COMPLETION ("{\"model\":\"assistant\"}", " 400 ", "invalid_request"),
    COMPLETION ("{\"model\":\"assistant\",\"prompt\":[1]}", " 400 ",
                "invalid_request"),
    COMPLETION ("{\"model\":\"assistant\",\"model\":\"b\",\"prompt\":\"p\"}",
                " 400 ", "invalid_request"),
    COMPLETION ("{\"model\":\"assistant\",\"prompt\":\"\\u0000\"}", " 400 ",
                "invalid_request"),
    COMPLETION ("{\"model\":\"assistant\",\"prompt\":\"\xff\"}", " 400 ",
                "invalid_request"),
    COMPLETION ("{\"model\":\"assistant\",\"prompt\":\"p\","
                "\"max_tokens\":0}",
                " 400 ", "invalid_request"),
    COMPLETION ("{\"model\":\"assistant\",\"prompt\":\"p\","
                "\"max_tokens\":99999999999}",
                " 400 ", "invalid_request"),
    COMPLETION ("{\"model\":\"assistant\",\"prompt\":\"p\","
                "\"stream\":\"yes\"}",
                " 400 ", "invalid_request"),
    COMPLETION ("{\"model\":\"assistant\",\"prompt\":\"p\",\"n\":2}", " 400 ",
                "invalid_request"),
    COMPLETION ("{\"model\":\"assistant\",\"prompt\":\"p\","
                "\"temperature\":\"hot\"}",
                " 400 ", "invalid_request"),
    COMPLETION ("{\"model\":\"assistant\",\"prompt\":\"p\",\"stop\":[1]}",
                " 400 ", "invalid_request"),
    COMPLETION ("{\"model\":\"other\",\"prompt\":\"p\"}", " 404 ",
                "unknown_model"),
    CHAT ("{\"model\":\"assistant\"}"),
    CHAT ("{\"model\":\"assistant\",\"messages\":[]}"),
    CHAT ("{\"model\":\"assistant\",\"messages\":[1]}"),
    CHAT ("{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\"}]}"),
    CHAT ("{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\","
          "\"content\":[{\"type\":\"image_url\"}]}]}"),
    { "/v1/services/desk/charges", "{}", " 400 ", "\"invalid_request\"" },
    { "/v1/services/desk/admin", "{}", " 404 ", "\"unknown_service\"" },
    { "/v1/services/desk/chargesX", "{}", " 404 ", "\"unknown_service\"" },
    { "/v1/services/desk/charges/../admin", "{}", " 404 ",
      "\"unknown_service\"" },
    { "/v1/services/desk/charges/%2e%2e/admin", "{}", " 404 ",
      "\"unknown_service\"" },
    { "/v1/services/desk/charges/%0d%0aX:1", "{}", " 404 ",
      "\"unknown_service\"" },
    { "/v1/services/other/charges", "{}", " 404 ", "\"unknown_service\"" },
    { "/v1/other", "{}", " 404 ", "\"unknown_path\"" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      char *request = g_strdup_printf (
          "POST %s HTTP/1.1\r\n" AUTH_HEADERS "Content-Length: %zu\r\n\r\n%s",
          cases[i].path, strlen (cases[i].body), cases[i].body);

      expect_answer (request, strlen (request), cases[i].status,
                     cases[i].type);
      g_free (request);
    }
}

static void
invalid_heads_are_rejected_with_their_type (void)
{
#define HEADERS(text)                                                         \
  "POST /v1/services/desk/charges HTTP/1.1\r\n" AUTH_HEADERS text             \
  "Content-Length: 2\r\n\r\n{}"
  static const struct
  {
    const char *request;
    const char *status;
    const char *type;
  } cases[] = {
    { "GET /v1/addresses HTTP/1.1\r\nHost: x\r\n\r\n", " 401 ",
      "\"unauthorized\"" },
    { "GET /v1/addresses HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer no\r\n"
      "\r\n",
      " 401 ", "\"unauthorized\"" },
    { "GET /v1/addresses HTTP/1.1\r\nHost: x\r\nAuthorization: Basic test\r\n"
      "\r\n",
      " 401 ", "\"unauthorized\"" },
    { "DELETE /v1/addresses HTTP/1.1\r\n" AUTH_HEADERS "\r\n", " 404 ",
      "\"unknown_path\"" },
    { GET ("/v1/requests/nonsense"), " 400 ", "\"invalid_request\"" },
    { HEADERS ("X-Deadline-Ms: soon\r\nIdempotency-Key: k\r\n"), " 400 ",
      "\"invalid_request\"" },
    { HEADERS ("X-Deadline-Ms: 0\r\nIdempotency-Key: k\r\n"), " 400 ",
      "\"invalid_request\"" },
    { HEADERS ("X-Deadline-Ms: -5\r\nIdempotency-Key: k\r\n"), " 400 ",
      "\"invalid_request\"" },
    { "POST /v1/completions HTTP/1.1\r\n" AUTH_HEADERS
      "Content-Length: 999999\r\n\r\n",
      " 413 ", "\"too_large\"" },
    { "NONSENSE\r\n\r\n", "<closed>", "<closed>" },
    { "POST /v1/completions HTTP/1.1\r\n" AUTH_HEADERS
      "Content-Length: x\r\n\r\n",
      " 400 ", "<closed>" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    expect_answer (cases[i].request, strlen (cases[i].request),
                   cases[i].status, cases[i].type);
}

static void
a_key_that_is_too_long_is_rejected (void)
{
  char *key = g_strnfill (GS_KEY_BYTES, 'k');
  char *request = g_strdup_printf (
      "POST /v1/services/desk/charges HTTP/1.1\r\n" AUTH_HEADERS
      "Idempotency-Key: %s\r\nContent-Length: 2\r\n\r\n{}",
      key);

  expect_answer (request, strlen (request), " 400 ", "\"invalid_request\"");
  g_free (request);
  g_free (key);
}

static void
deep_json_is_rejected (void)
{
  char *deep = g_strnfill (BODY_BYTES_MAX - 1, '[');
  char *request
      = g_strdup_printf ("POST /v1/completions HTTP/1.1\r\n" AUTH_HEADERS
                         "Content-Length: %zu\r\n\r\n%s",
                         strlen (deep), deep);

  expect_answer (request, strlen (request), " 400 ", "\"invalid_request\"");
  g_free (request);
  g_free (deep);
}

/* A chunked body has no Content-Length, so the limit applies while it is read.
 */
static void
a_long_chunked_body_is_rejected (void)
{
  GString *request
      = g_string_new ("POST /v1/completions HTTP/1.1\r\n" AUTH_HEADERS
                      "Transfer-Encoding: chunked\r\n\r\n");
  char *chunk = g_strnfill (1024, ' ');

  for (int i = 0; i < 6; i++)
    g_string_append_printf (request, "400\r\n%s\r\n", chunk);
  g_string_append (request, "0\r\n\r\n");
  expect_answer (request->str, request->len, " 413 ", "\"too_large\"");
  g_string_free (request, TRUE);
  g_free (chunk);
}

static void
an_endless_body_is_cut (void)
{
  int fd = connect_front ();
  char *chunk = g_strnfill (1024, ' ');
  GString *piece = g_string_new (NULL);
  GString *answer;

  g_string_printf (piece, "400\r\n%s\r\n", chunk);
  send_all (fd,
            "POST /v1/completions HTTP/1.1\r\n" AUTH_HEADERS
            "Transfer-Encoding: chunked\r\n\r\n",
            sizeof "POST /v1/completions HTTP/1.1\r\n" AUTH_HEADERS
                   "Transfer-Encoding: chunked\r\n\r\n"
                - 1);
  for (int i = 0; i < 1000; i++)
    send_all (fd, piece->str, piece->len);
  answer = receive (fd, NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer->str, "<closed>"));
  g_string_free (answer, TRUE);
  g_string_free (piece, TRUE);
  g_free (chunk);
  close (fd);
  expect_front_serves_others ();
}

/* Each body is within the limit of one body; their sum exceeds the limit of
   all.  */
static void
the_sum_of_bodies_is_limited (void)
{
  static const char head[] = "POST /v1/completions HTTP/1.1\r\n" AUTH_HEADERS
                             "Content-Length: 4000\r\n\r\n";
  char *body = g_strnfill (4000, ' ');
  int fds[3];
  GString *answer;

  for (int i = 0; i < 3; i++)
    {
      fds[i] = connect_front ();
      send_all (fds[i], head, sizeof head - 1);
      /* The first two stay open, each without its last byte.  */
      send_all (fds[i], body, i < 2 ? 3999 : 1);
    }
  for (int i = 0;
       i < CLOSE_TRIES_MAX && gs_front_body_bytes (front) < 2 * 3999; i++)
    usleep (CLOSE_POLL_INTERVAL_USEC);
  send_all (fds[2], body, 3999);
  answer = receive (fds[2], "\"busy\"");
  CU_ASSERT_PTR_NOT_NULL (strstr (answer->str, " 503 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer->str, "Retry-After"));
  g_string_free (answer, TRUE);
  for (int i = 0; i < 3; i++)
    close (fds[i]);
  expect_front_serves_others ();
  CU_ASSERT_EQUAL (gs_front_body_bytes (front), 0);
  g_free (body);
}

static void
a_head_that_is_too_long_is_rejected (void)
{
  char *filler = g_strnfill (100000, 'h');
  char *request = g_strdup_printf (
      "GET /v1/addresses HTTP/1.1\r\n" AUTH_HEADERS "X-Filler: %s\r\n\r\n",
      filler);

  expect_answer (request, strlen (request), " 431 ", "<closed>");
  g_free (request);
  g_free (filler);
}

/* A caller goes silent in the middle of a request, or shuts down its sending
   side.  */
static void
unfinished_requests_are_closed (void)
{
  static const struct
  {
    const char *request;
    bool shut_down;
  } cases[] = {
    { "GET /v1/addr", false },
    { "POST /v1/completions HTTP/1.1\r\n" AUTH_HEADERS, false },
    { "POST /v1/completions HTTP/1.1\r\n" AUTH_HEADERS
      "Content-Length: 100\r\n\r\n{\"mod",
      false },
    { "", false },
    { "GET /v1/addr", true },
    { "POST /v1/completions HTTP/1.1\r\n" AUTH_HEADERS
      "Content-Length: 100\r\n\r\n{\"mod",
      true },
  };

  int fds[sizeof cases / sizeof *cases];

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      fds[i] = connect_front ();
      send_all (fds[i], cases[i].request, strlen (cases[i].request));
      if (cases[i].shut_down)
        shutdown (fds[i], SHUT_WR);
    }
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      GString *answer = receive (fds[i], NULL);

      CU_ASSERT_PTR_NOT_NULL (strstr (answer->str, "<closed>"));
      g_string_free (answer, TRUE);
      close (fds[i]);
    }
  expect_front_serves_others ();
}

/* The idle timeout does not end a caller that sends one byte at a time; the
   limit on the time to receive a request must.  */
static void
trickling_requests_are_cut (void)
{
  static const char *const starts[] = {
    "",
    "GET /v1/addresses HTTP/1.1\r\nX-Filler: ",
    "POST /v1/completions HTTP/1.1\r\n" AUTH_HEADERS
    "Content-Length: 4000\r\n\r\n",
  };

  struct pollfd watched[sizeof starts / sizeof *starts];
  size_t open_count = sizeof starts / sizeof *starts;

  for (size_t i = 0; i < open_count; i++)
    {
      watched[i] = (struct pollfd){ connect_front (), POLLIN, 0 };
      send_all (watched[i].fd, starts[i], strlen (starts[i]));
    }
  for (int tries = 0; tries < TRICKLE_TRIES_MAX && open_count > 0; tries++)
    {
      poll (watched, open_count, TRICKLE_INTERVAL_MSEC);
      for (size_t i = 0; i < open_count; i++)
        if (watched[i].revents != 0)
          {
            close (watched[i].fd);
            watched[i--] = watched[--open_count];
          }
        else
          send_all (watched[i].fd, "x", 1);
    }
  CU_ASSERT_EQUAL (open_count, 0);
  expect_front_serves_others ();
}

static void
a_caller_that_shut_down_its_side_is_answered (void)
{
  int fd = connect_front ();
  GString *answer;

  send_all (fd, PROBE, sizeof PROBE - 1);
  shutdown (fd, SHUT_WR);
  answer = receive (fd, "keep_ms");
  CU_ASSERT_PTR_NOT_NULL (strstr (answer->str, "HTTP/1.1 200"));
  g_string_free (answer, TRUE);
  close (fd);
  expect_front_serves_others ();
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "open_front", open_front },
    { "invalid_bodies_are_rejected_with_their_type",
      invalid_bodies_are_rejected_with_their_type },
    { "invalid_heads_are_rejected_with_their_type",
      invalid_heads_are_rejected_with_their_type },
    { "a_key_that_is_too_long_is_rejected",
      a_key_that_is_too_long_is_rejected },
    { "deep_json_is_rejected", deep_json_is_rejected },
    { "a_long_chunked_body_is_rejected", a_long_chunked_body_is_rejected },
    { "an_endless_body_is_cut", an_endless_body_is_cut },
    { "the_sum_of_bodies_is_limited", the_sum_of_bodies_is_limited },
    { "a_head_that_is_too_long_is_rejected",
      a_head_that_is_too_long_is_rejected },
    { "unfinished_requests_are_closed", unfinished_requests_are_closed },
    { "trickling_requests_are_cut", trickling_requests_are_cut },
    { "a_caller_that_shut_down_its_side_is_answered",
      a_caller_that_shut_down_its_side_is_answered },
    { "close_front", close_front },
  };

  return CHECK_RUN ("bad_input", cases);
}
