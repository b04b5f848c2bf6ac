#include "soak_client.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define ANSWER_TIMEOUT_SECONDS 6

struct soak_client
{
  gateway_world_t *world;
  raw_conn_t conns[WORLD_GATEWAYS_MAX];
  bool open[WORLD_GATEWAYS_MAX];
};

void
soak_client_create (soak_client_t **out, gateway_world_t *world)
{
  *out = g_new0 (soak_client_t, 1);
  (*out)->world = world;
}

static void
close_connection (soak_client_t *client, unsigned gateway)
{
  if (client->open[gateway])
    raw_close (&client->conns[gateway]);
  client->open[gateway] = false;
}

void
soak_client_destroy (soak_client_t *client)
{
  for (unsigned i = 0; i < WORLD_GATEWAYS_MAX; i++)
    close_connection (client, i);
  g_free (client);
}

static bool
open_connection (soak_client_t *client, unsigned gateway)
{
  const struct timeval timeout = { .tv_sec = ANSWER_TIMEOUT_SECONDS };

  if (client->open[gateway])
    return true;
  client->open[gateway]
      = gw_connect (&client->conns[gateway], client->world, gateway);
  if (client->open[gateway])
    setsockopt (client->conns[gateway].fd, SOL_SOCKET, SO_RCVTIMEO, &timeout,
                sizeof timeout);
  return client->open[gateway];
}

static void
append_request (GString *text, const soak_exchange_t *row)
{
  char *body = g_strnfill (row->body_bytes, row->fill);

  g_string_append_printf (text,
                          "POST %s HTTP/1.1\r\nHost: caller.example\r\n"
                          "X-Attempt-Id: %s\r\nX-Deadline-Ms: 2500\r\n"
                          "X-Api-Key: " WORLD_API_KEY "\r\n",
                          row->target, row->id);
  if (row->resumes != NULL)
    g_string_append_printf (text, "Resumes: %s\r\nLast-Event-Id: %u\r\n",
                            row->resumes, row->resume_after);
  g_string_append_printf (text, "Content-Length: %u\r\n\r\n%s",
                          row->body_bytes, body);
  g_free (body);
}

/* @return false if the connection cannot be used further  */
static bool
read_answer (raw_conn_t *conn, soak_exchange_t *row)
{
  raw_message_t message;
  char *connection;
  bool closes;

  if (!raw_read_head (conn, &message))
    return false;
  row->ended = raw_read_body (conn, &message);
  g_free (row->answer);
  row->answer = g_strconcat (message.head, message.body->str, NULL);
  connection = raw_message_header (&message, "Connection");
  closes = connection != NULL && g_ascii_strcasecmp (connection, "close") == 0;
  g_free (connection);
  raw_message_clear (&message);
  return row->ended && !closes;
}

void
soak_client_exchange (soak_client_t *client, unsigned gateway,
                      soak_exchange_t *rows, unsigned count)
{
  GString *text = g_string_new (NULL);
  bool usable = open_connection (client, gateway);

  for (unsigned i = 0; i < count; i++)
    {
      append_request (text, &rows[i]);
      rows[i].answer = g_strdup ("");
      rows[i].ended = false;
    }
  if (usable)
    raw_send (&client->conns[gateway], text->str, text->len);
  for (unsigned i = 0; i < count && usable; i++)
    usable = read_answer (&client->conns[gateway], &rows[i]);
  if (!usable)
    close_connection (client, gateway);
  g_string_free (text, TRUE);
}

unsigned
soak_client_last_event (const char *answer, unsigned after)
{
  const char *at = answer;
  unsigned last = after;

  while ((at = strstr (at, "data: event ")) != NULL)
    {
      at += strlen ("data: event ");
      if (strtoul (at, NULL, 10) != ++last)
        return 0;
    }
  return last;
}

bool
soak_client_body_is_own (gateway_world_t *world, const char *id, char fill,
                         unsigned length)
{
  bool own = true;

  pthread_mutex_lock (&world->lock);
  for (guint i = 0; i < world->arrivals->len; i++)
    {
      const arrival_t *arrival = world->arrivals->pdata[i];

      if (strcmp (arrival->id, id) != 0)
        continue;
      own &= arrival->body->len <= length;
      for (gsize j = 0; j < arrival->body->len; j++)
        own &= arrival->body->str[j] == fill;
    }
  pthread_mutex_unlock (&world->lock);
  return own;
}
