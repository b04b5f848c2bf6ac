#include "raw_proxy.h"

#include <poll.h>
#include <stdatomic.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_INTERVAL_MSEC 20
#define BLOCK_DELAY_USEC 30000
#define BLOCK_BYTES 16384

struct raw_proxy
{
  raw_server_t *server;
  uint16_t target;
  atomic_int mode;
  atomic_bool stopping;
};

/* Forwards one block as the current mode demands.  An end that is no regular
   one, or comes after data that were dropped, is passed on as a reset: a
   response without a length would look complete otherwise.  Nothing follows
   data that were dropped, as on a real connection: a later response would be
   taken for the one that was dropped.
   @return false if the connection has ended  */
static bool
block_forward (raw_proxy_t *proxy, raw_conn_t *from, raw_conn_t *to,
               bool is_response, bool *dropped)
{
  char block[BLOCK_BYTES];
  int mode = atomic_load (&proxy->mode);
  ssize_t count;

  if (mode == PROXY_SILENT || mode == PROXY_HANG)
    return true;
  count = recv (from->fd, block, sizeof block, 0);
  if (count < 0 || (count == 0 && *dropped))
    raw_reset_on_close (to);
  if (count <= 0)
    return false;
  if (mode == PROXY_DELAY)
    g_usleep (BLOCK_DELAY_USEC);
  if (!is_response || (mode != PROXY_NO_RESPONSES && !*dropped))
    raw_send (to, block, (size_t)count);
  else
    *dropped = true;
  return true;
}

static void
conn_forward (void *context, raw_conn_t *client)
{
  raw_proxy_t *proxy = context;
  raw_conn_t server_conn;
  bool open = true;
  bool dropped = false;

  if (!raw_connect (&server_conn, proxy->target))
    return;
  while (open && !atomic_load (&proxy->stopping))
    {
      struct pollfd polled[] = { { .fd = client->fd, .events = POLLIN },
                                 { .fd = server_conn.fd, .events = POLLIN } };
      int mode = atomic_load (&proxy->mode);

      if (mode == PROXY_RESET)
        {
          raw_reset_on_close (client);
          break;
        }
      if (mode == PROXY_SILENT || mode == PROXY_HANG)
        {
          g_usleep (POLL_INTERVAL_MSEC * 1000);
          continue;
        }
      poll (polled, 2, POLL_INTERVAL_MSEC);
      if (polled[0].revents != 0)
        open = block_forward (proxy, client, &server_conn, false, &dropped);
      if (open && polled[1].revents != 0)
        open = block_forward (proxy, &server_conn, client, true, &dropped);
    }
  raw_close (&server_conn);
}

void
raw_proxy_create (raw_proxy_t **out, uint16_t target)
{
  raw_proxy_t *proxy = g_new0 (raw_proxy_t, 1);

  proxy->target = target;
  atomic_init (&proxy->mode, PROXY_PASS);
  raw_server_create (&proxy->server, conn_forward, proxy);
  *out = proxy;
}

uint16_t
raw_proxy_port (const raw_proxy_t *proxy)
{
  return raw_server_port (proxy->server);
}

void
raw_proxy_set_mode (raw_proxy_t *proxy, proxy_mode_t mode)
{
  int before = atomic_exchange (&proxy->mode, (int)mode);

  raw_server_hang (proxy->server, mode == PROXY_HANG);
  if (mode == PROXY_REFUSE && before != PROXY_REFUSE)
    raw_server_refuse (proxy->server);
  else if (mode != PROXY_REFUSE && before == PROXY_REFUSE)
    raw_server_restart (proxy->server);
}

void
raw_proxy_destroy (raw_proxy_t *proxy)
{
  if (proxy == NULL)
    return;
  atomic_store (&proxy->stopping, true);
  raw_server_destroy (proxy->server);
  g_free (proxy);
}
