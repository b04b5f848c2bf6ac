#include "util/connection_table.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#define SERVER_BYTES (INET6_ADDRSTRLEN + 8)

typedef struct
{
  int fd;
  char server[SERVER_BYTES]; /* address and port; "" until it is used */
  int local_port;
  const void *user; /* NULL while idle */
} connection_t;

struct connection_table
{
  GHashTable *by_fd;   /* owns the rows */
  GHashTable *by_user; /* user -> connection_t */
  GHashTable *by_ends; /* set of connection_t that have a server */
};

static guint
ends_hash (gconstpointer key)
{
  const connection_t *row = key;

  return g_str_hash (row->server) * 65599u + (guint)row->local_port;
}

static gboolean
ends_equal (gconstpointer a, gconstpointer b)
{
  const connection_t *first = a;
  const connection_t *second = b;

  return first->local_port == second->local_port
         && strcmp (first->server, second->server) == 0;
}

void
connection_table_create (connection_table_t **out)
{
  connection_table_t *table = g_new0 (connection_table_t, 1);

  table->by_fd = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  table->by_user = g_hash_table_new (NULL, NULL);
  table->by_ends = g_hash_table_new (ends_hash, ends_equal);
  *out = table;
}

void
connection_table_destroy (connection_table_t *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->by_ends);
  g_hash_table_unref (table->by_user);
  g_hash_table_unref (table->by_fd);
  g_free (table);
}

void
connection_table_add (connection_table_t *table, int fd)
{
  connection_t *row = g_new0 (connection_t, 1);

  connection_table_remove (table, fd);
  row->fd = fd;
  g_hash_table_insert (table->by_fd, GINT_TO_POINTER (fd), row);
}

void
connection_table_remove (connection_table_t *table, int fd)
{
  connection_t *row = g_hash_table_lookup (table->by_fd, GINT_TO_POINTER (fd));

  if (row == NULL)
    return;
  if (row->user != NULL)
    g_hash_table_remove (table->by_user, row->user);
  if (row->server[0] != '\0')
    g_hash_table_remove (table->by_ends, row);
  g_hash_table_remove (table->by_fd, GINT_TO_POINTER (fd));
}

/* @return local port of a socket, 0 if it has none  */
static int
local_port_get (int fd)
{
  struct sockaddr_storage address = { 0 };
  socklen_t length = sizeof address;

  if (getsockname (fd, (struct sockaddr *)&address, &length) != 0)
    return 0;
  if (address.ss_family == AF_INET)
    return ntohs (((struct sockaddr_in *)(void *)&address)->sin_port);
  return address.ss_family == AF_INET6
             ? ntohs (((struct sockaddr_in6 *)(void *)&address)->sin6_port)
             : 0;
}

/* Gives the ends to the socket that has just been connected.  Only sockets
   that no call has used yet, which are few, are asked for their ports.  */
static connection_t *
connected_find (connection_table_t *table, const connection_t *ends)
{
  connection_t *found = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->by_fd);
  while (found == NULL && g_hash_table_iter_next (&iter, NULL, &value))
    {
      connection_t *row = value;

      if (row->server[0] == '\0'
          && local_port_get (row->fd) == ends->local_port)
        found = row;
    }
  if (found == NULL)
    return NULL;
  g_strlcpy (found->server, ends->server, sizeof found->server);
  found->local_port = ends->local_port;
  g_hash_table_add (table->by_ends, found);
  return found;
}

int
connection_table_use (connection_table_t *table, const connection_ends_t *ends,
                      const void *user)
{
  connection_t key = { .local_port = ends->local_port };
  connection_t *row;

  connection_table_release (table, user);
  g_snprintf (key.server, sizeof key.server, "%s:%d", ends->remote_host,
              ends->remote_port);
  row = g_hash_table_lookup (table->by_ends, &key);
  if (row == NULL)
    row = connected_find (table, &key);
  if (row == NULL)
    return -1;
  if (row->user != NULL)
    g_hash_table_remove (table->by_user, row->user);
  row->user = user;
  g_hash_table_insert (table->by_user, (gpointer)user, row);
  return row->fd;
}

void
connection_table_release (connection_table_t *table, const void *user)
{
  connection_t *row = g_hash_table_lookup (table->by_user, user);

  if (row == NULL)
    return;
  row->user = NULL;
  g_hash_table_remove (table->by_user, user);
}

unsigned
connection_table_idle_shutdown (connection_table_t *table, const void *user)
{
  const connection_t *own = g_hash_table_lookup (table->by_user, user);
  unsigned count = 0;
  GHashTableIter iter;
  gpointer key;

  if (own == NULL)
    return 0;
  g_hash_table_iter_init (&iter, table->by_ends);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const connection_t *row = key;

      if (row->user != NULL || strcmp (row->server, own->server) != 0)
        continue;
      shutdown (row->fd, SHUT_RDWR);
      count++;
    }
  return count;
}
