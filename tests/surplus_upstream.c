#include "surplus_upstream.h"

#include <stdatomic.h>
#include <string.h>

/* Time between a copy and the answer, so that a client reads them apart.  */
#define COPY_INTERVAL_USEC 5000

struct surplus_upstream
{
  raw_server_t *server;
  surplus_answer_cb_t answer;
  void *context;
  atomic_uint arrivals;
  atomic_uint copies;
};

static void
serve (void *context, raw_conn_t *conn)
{
  surplus_upstream_t *upstream = context;
  raw_message_t request;
  char *last = NULL;

  while (raw_read_request (conn, &request))
    {
      char *answer = upstream->answer (upstream->context, &request);

      atomic_fetch_add (&upstream->arrivals, 1);
      if (last != NULL)
        {
          atomic_fetch_add (&upstream->copies, 1);
          raw_send (conn, last, strlen (last));
          g_usleep (COPY_INTERVAL_USEC);
        }
      raw_send (conn, answer, strlen (answer));
      g_free (last);
      last = answer;
      raw_message_clear (&request);
    }
  g_free (last);
}

void
surplus_upstream_create (surplus_upstream_t **out, surplus_answer_cb_t answer,
                         void *context)
{
  surplus_upstream_t *upstream = g_new0 (surplus_upstream_t, 1);

  upstream->answer = answer;
  upstream->context = context;
  raw_server_create (&upstream->server, serve, upstream);
  *out = upstream;
}

uint16_t
surplus_upstream_port (const surplus_upstream_t *upstream)
{
  return raw_server_port (upstream->server);
}

unsigned
surplus_upstream_arrivals (const surplus_upstream_t *upstream)
{
  return atomic_load (&upstream->arrivals);
}

unsigned
surplus_upstream_copies (const surplus_upstream_t *upstream)
{
  return atomic_load (&upstream->copies);
}

void
surplus_upstream_destroy (surplus_upstream_t *upstream)
{
  raw_server_destroy (upstream->server);
  g_free (upstream);
}
