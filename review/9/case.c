#include "../stand-2/stand.h"

#include <string.h>

/* Requests whose heads are within max_header_bytes, with many headers, on kept
   connections.  LOST allows three that are passed on to a sound replica and
   end with a closed connection and no answer.  */

#define CLOSED_MAX 3
#define BODY_BYTES 600
#define LENGTH_MIN 12
#define LENGTH_MAX 72
#define LENGTH_STEP 6
#define COUNT_MIN 150
#define COUNT_MAX 440
/* TROUBLE=0: as many headers as a browser sends.  */
#define COUNT_CALM 20
/* Between the head and the body of a request.  */
#define BODY_DELAY_USEC 1000
#define ANSWERED_LOGGED 400

typedef struct
{
  unsigned sent;
  unsigned answered;
  unsigned denied;
  unsigned closed;     /* without an answer */
  unsigned closed_run; /* of these, passed on to a replica */
} counts_t;

/* @return the status of the answer; 0 if the connection was closed  */
static unsigned
status_read (raw_conn_t *conn)
{
  raw_message_t answer;
  unsigned status;
  char *length;
  size_t left;

  if (!raw_read_head (conn, &answer))
    return 0;
  status = (unsigned)strtoul (answer.first_line + 9, NULL, 10);
  length = raw_message_header (&answer, "Content-Length");
  left = length != NULL ? strtoul (length, NULL, 10) : 0;
  raw_message_clear (&answer);
  g_free (length);
  while (conn->received->len < left)
    {
      GString *more = raw_read_until (conn, GS_SEC, NULL);

      if (more->len == 0)
        left = 0;
      g_string_append_len (conn->received, more->str, (gssize)more->len);
      g_string_free (more, TRUE);
    }
  g_string_erase (conn->received, 0, (gssize)left);
  return status;
}

static GString *
head_create (const char *id, unsigned count, unsigned length)
{
  GString *head = g_string_new (NULL);

  g_string_append_printf (head,
                          "POST /n/good HTTP/1.1\r\nHost: caller.example\r\n"
                          "X-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\n"
                          "X-Api-Key: " WORLD_API_KEY "\r\n"
                          "Content-Length: %d\r\n",
                          id, BODY_BYTES);
  for (unsigned i = 0; i < count; i++)
    {
      gsize end = head->len + length - 2;

      g_string_append_printf (head, "X-%03u:", i);
      while (head->len < end)
        g_string_append_c (head, 'v');
      g_string_append (head, "\r\n");
    }
  g_string_append (head, "\r\n");
  return head;
}

/* Sends a small request and then one with many headers on one connection.  */
static void
request_send (stand_t *stand, unsigned count, unsigned length,
              counts_t *counts)
{
  char body[BODY_BYTES];
  char id[32];
  raw_conn_t conn;
  GString *head;
  unsigned status;
  bool ran;

  memset (body, 'b', sizeof body);
  if (!stand_connect (stand, 0, &conn))
    return;
  g_snprintf (id, sizeof id, "a-%u-%u", length, count);
  head = head_create (id, 0, 0);
  raw_send (&conn, head->str, head->len);
  raw_send (&conn, body, sizeof body);
  g_string_free (head, TRUE);
  g_snprintf (id, sizeof id, "b-%u-%u", length, count);
  head = head_create (id, count, length);
  if (status_read (&conn) == 200 && head->len <= STAND_HEAD_BYTES_MAX)
    {
      counts->sent++;
      raw_send (&conn, head->str, head->len);
      g_usleep (BODY_DELAY_USEC);
      raw_send (&conn, body, sizeof body);
      status = status_read (&conn);
      ran = gw_arrivals_count (&stand->world, id) > 0;
      counts->answered += status == 200;
      counts->denied += status >= 400 && status < 500;
      counts->closed += status == 0;
      counts->closed_run += status == 0 && ran;
      if (status == 0 || counts->sent % ANSWERED_LOGGED == 1)
        stand_log (stand,
                   "request id=%s headers=%u head_bytes=%zu status=%u"
                   " run=%d",
                   id, count, (size_t)head->len, status, ran);
    }
  g_string_free (head, TRUE);
  raw_close (&conn);
}

int
main (int argc, char **argv)
{
  static stand_t stand;
  bool calm = stand_is_calm ();
  counts_t counts = { .sent = 0 };

  stand_create (&stand, argc > 1 ? argv[1] : "record.txt", 4, 1, 12000);
  gw_replicas_age_set (&stand.world, GS_SEC);
  stand_node_start (&stand, 0, true);
  for (unsigned length = LENGTH_MIN; length <= LENGTH_MAX;
       length += LENGTH_STEP)
    for (unsigned count = COUNT_MIN; count <= COUNT_MAX; count++)
      request_send (&stand, calm ? COUNT_CALM : count, length, &counts);
  stand_log (&stand, "sent=%u answered=%u denied=%u closed=%u closed_run=%u",
             counts.sent, counts.answered, counts.denied, counts.closed,
             counts.closed_run);
  printf ("sent=%u answered=%u denied=%u closed=%u closed_run=%u\n",
          counts.sent, counts.answered, counts.denied, counts.closed,
          counts.closed_run);
  stand_destroy (&stand);
  if (counts.sent == 0)
    return 2;
  return counts.closed_run > CLOSED_MAX ? 1 : 0;
}
