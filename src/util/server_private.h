/**
 * @file server_private.h
 * Internal structures of the HTTP server, shared by server.c and exchange.c.
 */
#ifndef GS_UTIL_SERVER_PRIVATE_H
#define GS_UTIL_SERVER_PRIVATE_H

#include "garnetstack/server.h"
#include "util/response_memory.h"
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
  size_t connection_bytes;
  size_t body_bytes_max;
  size_t pending_bytes_max;
  response_memory_t *response_memory; /* NULL for none */
  size_t body_bytes_reserved_max;     /* limit of body_bytes_reserved */
  atomic_size_t body_bytes_reserved; /* bytes of the request bodies of all open
                                        exchanges */
  atomic_uint open_count;            /* number of open exchanges */
  gs_sweep_t *sweep;
  gs_loop_t *loop;    /* NULL when the daemon has its own threads */
  int ready_fd;       /* epoll descriptor of a daemon on a loop */
  bool run_pending;   /* a run of the daemon is already posted to the loop */
  bool body_expected; /* the last run read a part of a body, but not its end */
  atomic_uint idle_seconds;
  pthread_mutex_t lock;
  GHashTable *exchanges; /* MHD_Connection -> its open gs_exchange_t */
  bool stopping;
};

struct gs_exchange
{
  atomic_uint references;
  gs_server_t *server;
  pthread_mutex_t lock;
  struct MHD_Connection *connection; /* NULL once closed */
  char *method;
  char *path;             /* decoded */
  char *target;           /* path and query as sent */
  const char *raw_target; /* the same in the buffer of libmicrohttpd, until
                             the headers are checked */
  bool headers_checked;   /* method and path are set */
  size_t head_bytes;      /* of the request, as received */
  size_t response_head_bytes_max; /* room for the head of the response */
  GString *body;
  size_t body_bytes_received;    /* including discarded bytes */
  uint64_t body_bytes_announced; /* UINT64_MAX if unknown */
  size_t body_bytes_reserved;    /* this exchange's part of the server's sum */
  unsigned rejection_status;     /* HTTP status of a rejection, 0 for none */
  bool handled;   /* the handler was called, or the request was rejected */
  bool suspended; /* libmicrohttpd has suspended the connection */
  gs_time_t received_at;
  int watched_fd; /* socket watched for a hang-up, -1 for none */
  gs_exchange_disconnect_cb_t on_disconnect;
  void *disconnect_context;
  /* The response. */
  bool started;
  bool streaming;
  bool ended;
  bool aborted;
  bool queued; /* passed on to libmicrohttpd */
  unsigned status;
  char *content_type;
  char **headers;
  GString *response_body;
  size_t response_body_read; /* bytes that libmicrohttpd has read */
  size_t response_bytes_accounted;
};

/** Free the unsent data of a response, whose lock the caller holds. */
void gs_exchange_response_release (gs_exchange_t *exchange);

/** Post a run of the daemon to the loop, because a connection was resumed.
    Does nothing for a server with its own threads. */
void gs_server_run_post (gs_server_t *server);

#endif
