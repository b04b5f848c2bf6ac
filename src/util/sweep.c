#include "util/sweep.h"

#include "garnetstack/thread.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <time.h>

#define CHECK_INTERVAL_SECONDS 1

struct gs_sweep_connection
{
  gs_sweep_t *sweep;
  int fd;
  gs_time_t deadline; /* for receiving the current request, 0 for none */
};

struct gs_sweep
{
  gs_time_t receive_timeout;
  pthread_mutex_t lock;
  pthread_cond_t wake;
  bool stopping;
  GHashTable *connections; /* set of gs_sweep_connection_t */
  gs_thread_t *thread;
};

static void
close_expired (gs_sweep_t *sweep, gs_time_t now)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, sweep->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      gs_sweep_connection_t *connection = key;

      if (connection->deadline == 0 || now <= connection->deadline)
        continue;
      connection->deadline = 0;
      shutdown (connection->fd, SHUT_RDWR);
    }
}

static void *
run_thread (void *context)
{
  gs_sweep_t *sweep = context;

  pthread_mutex_lock (&sweep->lock);
  while (!sweep->stopping)
    {
      struct timespec until;

      clock_gettime (CLOCK_REALTIME, &until);
      until.tv_sec += CHECK_INTERVAL_SECONDS;
      pthread_cond_timedwait (&sweep->wake, &sweep->lock, &until);
      close_expired (sweep, gs_clock_now ());
    }
  pthread_mutex_unlock (&sweep->lock);
  return NULL;
}

void
gs_sweep_run (gs_sweep_t *sweep)
{
  pthread_mutex_lock (&sweep->lock);
  close_expired (sweep, gs_clock_now ());
  pthread_mutex_unlock (&sweep->lock);
}

gs_sweep_t *
gs_sweep_create (gs_time_t receive_timeout, bool threaded)
{
  gs_sweep_t *sweep = g_new0 (gs_sweep_t, 1);

  sweep->receive_timeout = receive_timeout;
  sweep->connections = g_hash_table_new (NULL, NULL);
  pthread_mutex_init (&sweep->lock, NULL);
  pthread_cond_init (&sweep->wake, NULL);
  if (threaded)
    gs_thread_start (&sweep->thread, "sweep", run_thread, sweep);
  return sweep;
}

void
gs_sweep_destroy (gs_sweep_t *sweep)
{
  if (sweep == NULL)
    return;
  pthread_mutex_lock (&sweep->lock);
  sweep->stopping = true;
  pthread_cond_signal (&sweep->wake);
  pthread_mutex_unlock (&sweep->lock);
  gs_thread_join (sweep->thread);
  pthread_cond_destroy (&sweep->wake);
  pthread_mutex_destroy (&sweep->lock);
  g_hash_table_unref (sweep->connections);
  g_free (sweep);
}

gs_sweep_connection_t *
gs_sweep_connection_add (gs_sweep_t *sweep, int fd)
{
  gs_sweep_connection_t *connection = g_new0 (gs_sweep_connection_t, 1);

  connection->sweep = sweep;
  connection->fd = fd;
  connection->deadline = gs_clock_now () + sweep->receive_timeout;
  pthread_mutex_lock (&sweep->lock);
  g_hash_table_add (sweep->connections, connection);
  pthread_mutex_unlock (&sweep->lock);
  return connection;
}

static void
set_deadline (gs_sweep_connection_t *connection, gs_time_t deadline)
{
  pthread_mutex_lock (&connection->sweep->lock);
  connection->deadline = deadline;
  pthread_mutex_unlock (&connection->sweep->lock);
}

void
gs_sweep_timeout_stop (gs_sweep_connection_t *connection)
{
  set_deadline (connection, 0);
}

void
gs_sweep_timeout_start (gs_sweep_connection_t *connection)
{
  set_deadline (connection,
                gs_clock_now () + connection->sweep->receive_timeout);
}

void
gs_sweep_connection_remove (gs_sweep_connection_t *connection)
{
  gs_sweep_t *sweep = connection->sweep;

  pthread_mutex_lock (&sweep->lock);
  g_hash_table_remove (sweep->connections, connection);
  pthread_mutex_unlock (&sweep->lock);
  g_free (connection);
}
