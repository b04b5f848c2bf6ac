/**
 * @file server_private.h
 * Insides of the HTTP server: its exchanges, and how they are kept.
 */
#ifndef GS_UTIL_SERVER_PRIVATE_H
#define GS_UTIL_SERVER_PRIVATE_H

#include "garnetstack/server.h"
#include "util/sweep.h"

#include <glib.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>

struct gs_server
{
  struct MHD_Daemon *daemon;
  gs_server_cb_t handler;
  void *context;
  size_t body_bytes_max;
  size_t pending_bytes_max;
  size_t held_max; /* bytes of bodies of all open exchanges */
  atomic_size_t held;
  atomic_uint open;
  gs_sweep_t *sweep;
  gs_loop_t *loop; /* NULL when the daemon has threads of its own */
  int ready_fd;    /* readable when the daemon of a loop has work */
  bool kicked;     /* the daemon of a loop is going to be run */
  atomic_uint idle_seconds;
  pthread_mutex_t lock;
  GHashTable *exchanges; /* set of those not completed */
  bool stopping;
};

struct gs_exchange
{
  atomic_uint references;
  gs_server_t *server;
  pthread_mutex_t lock;
  struct MHD_Connection *connection; /* NULL once closed */
  char *method;
  char *path;   /* decoded */
  char *target; /* as sent */
  bool begun;
  GString *body;
  size_t received;
  size_t held;      /* of the body, counted in the server */
  unsigned refusal; /* status of HTTP, 0 for none */
  bool handled;
  bool suspended;
  gs_time_t received_at;
  int watched_fd; /* watched for the other side's close, -1 for none */
  gs_exchange_gone_cb_t on_gone;
  void *gone_context;
  /* The answer. */
  bool started;
  bool streaming;
  bool ended;
  bool aborted;
  bool queued;
  unsigned status;
  char *content_type;
  char **headers;
  GString *out;
  size_t out_read;
};

/** Run the daemon of a loop soon, as a connection was resumed. */
void gs_server_kick (gs_server_t *server);

#endif
