#include "garnetstack/loop.h"

#include "garnetstack/meter.h"
#include "util/connection_table.h"
#include "util/response_check.h"
#include "util/tsan.h"

#include <ck_ring.h>
#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <stdatomic.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define QUEUE_TASKS_MAX 65536
#define READY_EVENTS_MAX 64
#define WAIT_TIMEOUT_MAX_MSEC 1000
#define BODY_BYTES_MAX_DEFAULT ((size_t)4 << 20)
/* Heads of all responses to a request, with those of status 1xx, and trailers.
   Servers commonly limit a head to a fraction of this.  */
#define HEAD_BYTES_MAX ((size_t)64 << 10)
#define VERSION_BYTES 32
/* Responses with lower statuses come before the final one.  */
#define HTTP_STATUS_FINAL_MIN 200
#define HTTP_STATUS_REDIRECT_MIN 300
/* TCP keepalive: the first probe is sent after one idle second, and two
   unanswered probes close the connection.  */
#define KEEPALIVE_INTERVAL_SECONDS 1
#define KEEPALIVE_PROBES_MAX 2
/* Data that stays unacknowledged for longer closes the connection.  */
#define UNACKNOWLEDGED_TIMEOUT_MSEC 2500

typedef struct
{
  gs_loop_cb_t callback;
  void *context;
} loop_task_t;

typedef struct
{
  gs_loop_fd_cb_t callback; /* NULL when not watched */
  void *context;
  uint32_t events;
  uint32_t generation; /* rises when the descriptor is watched anew */
} fd_watch_t;

struct gs_loop
{
  CURLM *multi;
  ck_ring_t ring;
  ck_ring_buffer_t *slots;
  int epoll_fd;       /* holds watched descriptors and libcurl's sockets */
  int wake_fd;        /* eventfd that interrupts the wait */
  GArray *watches;    /* indexed by descriptor; element type fd_watch_t */
  gs_time_t curl_due; /* when libcurl's timer expires */
  gs_time_t tick_interval;
  gs_time_t tick_due;
  gs_loop_cb_t tick;
  void *tick_context;
  connection_table_t *connections;
  GHashTable *calls;    /* set of gs_http_call_t */
  GHashTable *awaiting; /* of these, calls with a response_deadline and no
                           response yet */
  atomic_bool stopping;
};

struct gs_http_call
{
  gs_loop_t *loop;
  CURL *easy;
  struct curl_slist *headers;
  GString *request_body;
  GString *body;
  size_t body_bytes_max;
  size_t head_bytes;
  gs_response_check_t check;
  bool malformed; /* the response must not be read */
  bool connect_only;
  bool head_complete; /* of the final response */
  char version[VERSION_BYTES];
  bool no_resend;
  bool plain;        /* not encrypted */
  bool send_started; /* libcurl has begun to send the request at least once */
  bool stale;        /* its connection could not be used; nothing was sent */
  gs_time_t deadline;
  gs_time_t connect_deadline;
  gs_time_t response_deadline;
  gs_http_line_cb_t on_line;
  gs_http_data_cb_t on_data;
  gs_http_done_cb_t on_done;
  void *context;
  void (*context_free) (void *context);
};

static void
call_free (gpointer data)
{
  gs_http_call_t *call = data;
  gs_loop_t *loop = call->loop;

  g_hash_table_remove (loop->calls, call);
  g_hash_table_remove (loop->awaiting, call);
  connection_table_release (loop->connections, call);
  curl_multi_remove_handle (loop->multi, call->easy);
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  g_string_free (call->request_body, TRUE);
  g_string_free (call->body, TRUE);
  g_free (call);
}

static void
call_discard (gpointer data)
{
  gs_http_call_t *call = data;

  if (call->context_free != NULL)
    call->context_free (call->context);
  call_free (call);
}

void
gs_loop_destroy (gs_loop_t *loop)
{
  loop_task_t *task;
  GList *open_calls;

  if (loop == NULL)
    return;
  open_calls = g_hash_table_get_keys (loop->calls);
  g_list_free_full (open_calls, call_discard);
  g_hash_table_unref (loop->awaiting);
  g_hash_table_unref (loop->calls);
  while (ck_ring_dequeue_mpsc (&loop->ring, loop->slots, &task))
    g_free (task);
  curl_multi_cleanup (loop->multi);
  connection_table_destroy (loop->connections);
  g_array_unref (loop->watches);
  close (loop->wake_fd);
  close (loop->epoll_fd);
  g_free (loop->slots);
  g_free (loop);
}

static void
wake (gs_loop_t *loop)
{
  uint64_t one = 1;
  ssize_t written = write (loop->wake_fd, &one, sizeof one);

  /* The write fails only when the counter is full, and then the descriptor is
     readable anyway.  */
  (void)written;
}

gs_status_t
gs_loop_post (gs_loop_t *loop, gs_loop_cb_t callback, void *context)
{
  loop_task_t *task = g_new (loop_task_t, 1);

  *task = (loop_task_t){ callback, context };
  GS_TSAN_RELEASE (loop->slots);
  if (!ck_ring_enqueue_mpsc (&loop->ring, loop->slots, task))
    {
      g_free (task);
      return gs_error_set (GS_ELIMIT, "event loop task queue is full");
    }
  wake (loop);
  return GS_OK;
}

void
gs_loop_tick_set (gs_loop_t *loop, gs_time_t interval, gs_loop_cb_t callback,
                  void *context)
{
  loop->tick_interval = interval;
  loop->tick_due = gs_clock_now () + interval;
  loop->tick = callback;
  loop->tick_context = context;
}

/* @return the entry of a descriptor; its callback is NULL when the descriptor
   is not watched  */
static fd_watch_t *
get_watch (gs_loop_t *loop, int fd)
{
  if (loop->watches->len <= (guint)fd)
    g_array_set_size (loop->watches, (guint)fd + 1);
  return &g_array_index (loop->watches, fd_watch_t, fd);
}

void
gs_loop_unwatch (gs_loop_t *loop, int fd)
{
  fd_watch_t *watch = get_watch (loop, fd);

  if (watch->callback == NULL)
    return;
  *watch = (fd_watch_t){ .generation = watch->generation };
  epoll_ctl (loop->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
}

static uint32_t
to_epoll_events (short events)
{
  uint32_t out = 0;

  if (events & POLLIN)
    out |= EPOLLIN;
  if (events & POLLOUT)
    out |= EPOLLOUT;
  if (events & POLLRDHUP)
    out |= EPOLLRDHUP;
  return out;
}

/* Errors and hang-ups are reported as readable, so that the next read returns
   them.  */
static short
from_epoll_events (uint32_t events)
{
  short out = 0;

  if (events & (EPOLLIN | EPOLLERR | EPOLLHUP))
    out |= POLLIN;
  if (events & EPOLLOUT)
    out |= POLLOUT;
  if (events & (EPOLLRDHUP | EPOLLERR | EPOLLHUP))
    out |= POLLRDHUP;
  return out;
}

static uint64_t
event_key (int fd, uint32_t generation)
{
  return (uint64_t)generation << 32 | (uint32_t)fd;
}

void
gs_loop_watch (gs_loop_t *loop, int fd, short events, gs_loop_fd_cb_t callback,
               void *context)
{
  fd_watch_t *watch = get_watch (loop, fd);
  bool known = watch->callback != NULL;
  uint32_t generation = watch->generation + (known ? 0 : 1);
  struct epoll_event entry = { .events = to_epoll_events (events),
                               .data = { .u64 = event_key (fd, generation) } };
  bool same = known && watch->events == entry.events;

  *watch = (fd_watch_t){ callback, context, entry.events, generation };
  if (!same)
    epoll_ctl (loop->epoll_fd, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd,
               &entry);
}

/* Runs the tasks that are queued now.  A task that posts another one must not
   keep the loop from its descriptors and timers.  */
static void
run_tasks (gs_loop_t *loop)
{
  unsigned count = ck_ring_size (&loop->ring);
  loop_task_t *task;

  for (; count > 0 && ck_ring_dequeue_mpsc (&loop->ring, loop->slots, &task);
       count--)
    {
      GS_TSAN_ACQUIRE (loop->slots);
      task->callback (task->context);
      g_free (task);
    }
}

/* A callback may remove the watches of other descriptors that are ready, or
   watch new connections that got their numbers, so each watch is looked up
   just before its callback is called, and its generation compared. Descriptors
   beyond READY_EVENTS_MAX are reported by the next wait.  */
static void
run_watches (gs_loop_t *loop, int timeout_ms)
{
  struct epoll_event ready[READY_EVENTS_MAX];
  int count = epoll_wait (loop->epoll_fd, ready, READY_EVENTS_MAX, timeout_ms);

  for (int i = 0; i < count; i++)
    {
      int fd = (int)(uint32_t)ready[i].data.u64;
      fd_watch_t watch = *get_watch (loop, fd);

      if (watch.callback != NULL
          && ready[i].data.u64 == event_key (fd, watch.generation))
        watch.callback (watch.context, fd,
                        from_epoll_events (ready[i].events));
    }
}

/* A successful response whose body ends with its connection is whole only if
   its server has received the whole request: one that fails in between closes
   its connection too.  */
static bool
is_broken_off (const gs_http_call_t *call)
{
  curl_off_t sent = 0;

  if (!gs_response_check_is_unframed (&call->check)
      || call->check.status >= HTTP_STATUS_REDIRECT_MIN)
    return false;
  curl_easy_getinfo (call->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
  return (size_t)sent < call->request_body->len;
}

static gs_status_t
transfer_status (gs_http_call_t *call, CURLcode code)
{
  if (call->malformed)
    return gs_error_set (GS_EUNKNOWN, "response is malformed");
  if (code == CURLE_OK && is_broken_off (call))
    return gs_error_set (GS_EUNKNOWN,
                         "response ended before the request was sent");
  if (code == CURLE_OK && (call->connect_only || call->head_complete))
    return GS_OK;
  /* libcurl takes a connection that is closed within the head for the end of
     the response.  */
  if (code == CURLE_OK)
    return gs_error_set (GS_EUNKNOWN, "response ended within its head");
  /* CURLINFO_REQUEST_SIZE leaves out what follows a first write that found no
     room in the socket.  */
  if (!call->send_started)
    return gs_error_set (GS_EUNREACHABLE, "%s", curl_easy_strerror (code));
  if (code == CURLE_OPERATION_TIMEDOUT)
    return gs_error_set (GS_ETIMEOUT, "%s", curl_easy_strerror (code));
  return gs_error_set (GS_EUNKNOWN, "%s", curl_easy_strerror (code));
}

bool
gs_loop_http_is_kept (const gs_http_call_t *call)
{
  long connects = 1;

  curl_easy_getinfo (call->easy, CURLINFO_NUM_CONNECTS, &connects);
  return connects == 0;
}

/* @return what went wrong; "" for nothing  */
static const char *
failure_text (const gs_http_call_t *call, CURLcode code)
{
  if (call->malformed)
    return "Response is malformed";
  if (code == CURLE_OK)
    return is_broken_off (call) ? "Response ended before the request was sent"
                                : "";
  return call->head_bytes > HEAD_BYTES_MAX ? "Head is too large"
                                           : curl_easy_strerror (code);
}

static void
finish_call (gs_http_call_t *call, CURLcode code)
{
  gs_http_result_t result = { .status = transfer_status (call, code),
                              .body = call->body->str,
                              .body_length = call->body->len,
                              .version = call->version,
                              .content_type = "",
                              .reason = failure_text (call, code) };
  char *content_type = NULL;
  long local_port = 0;

  result.kept_connection = gs_loop_http_is_kept (call);
  result.send_started = call->send_started;
  result.is_garbled
      = call->malformed || code == CURLE_UNSUPPORTED_PROTOCOL
        || code == CURLE_WEIRD_SERVER_REPLY
        || (code == CURLE_OK && !call->connect_only && !call->head_complete);
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &result.http_status);
  curl_easy_getinfo (call->easy, CURLINFO_CONTENT_TYPE, &content_type);
  curl_easy_getinfo (call->easy, CURLINFO_LOCAL_PORT, &local_port);
  result.local_port = (unsigned)local_port;
  if (content_type != NULL)
    result.content_type = content_type;
  call->on_done (call->context, &result);
  call_free (call);
}

/* @return time that is left, as a libcurl option of at least 1 ms  */
static long
remaining_msec (gs_time_t deadline)
{
  return MAX ((long)((deadline - gs_clock_now ()) / GS_MSEC), 1L);
}

/* libcurl counts both times from the moment at which it begins with a
   request.  */
static void
set_deadlines (const gs_http_call_t *call)
{
  if (call->deadline != GS_TIME_NEVER && call->deadline != 0)
    curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS,
                      remaining_msec (call->deadline));
  if (call->connect_deadline > 0)
    curl_easy_setopt (call->easy, CURLOPT_CONNECTTIMEOUT_MS,
                      remaining_msec (call->connect_deadline));
}

static void
set_progress_deadline (CURL *easy, gs_time_t deadline)
{
  long seconds = (long)((deadline - gs_clock_now ()) / GS_SEC);

  if (deadline <= 0)
    return;
  curl_easy_setopt (easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
  curl_easy_setopt (easy, CURLOPT_LOW_SPEED_TIME, MAX (seconds, 1L));
}

/* Starts a request again of which nothing was sent.  */
static void
restart_call (gs_http_call_t *call)
{
  gs_meter_add ("kept_connections_unread_total", "", 1);
  call->stale = false;
  curl_multi_remove_handle (call->loop->multi, call->easy);
  curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
  set_deadlines (call);
  curl_multi_add_handle (call->loop->multi, call->easy);
}

/* Finishes the completed requests.  A callback may start or cancel others.  */
static void
finish_calls (gs_loop_t *loop)
{
  int remaining;
  CURLMsg *message;

  while ((message = curl_multi_info_read (loop->multi, &remaining)) != NULL)
    if (message->msg == CURLMSG_DONE)
      {
        gs_http_call_t *call;
        CURLcode code = message->data.result;

        curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call);
        if (call->stale)
          restart_call (call);
        else
          finish_call (call, code);
      }
}

/* @return a call whose response has not begun in time; NULL if there is none
 */
static gs_http_call_t *
overdue_call (const gs_loop_t *loop, gs_time_t now)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, loop->awaiting);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (now >= ((const gs_http_call_t *)key)->response_deadline)
      return key;
  return NULL;
}

/* A callback may start or cancel others, so the set is searched anew after
   each.  */
static void
finish_overdue_calls (gs_loop_t *loop)
{
  gs_time_t now = gs_clock_now ();
  gs_http_call_t *call;

  while ((call = overdue_call (loop, now)) != NULL)
    finish_call (call, CURLE_OPERATION_TIMEDOUT);
}

static void
on_socket_ready (void *context, int fd, short events)
{
  gs_loop_t *loop = context;
  int flags = 0;
  int running;

  if (events & (POLLIN | POLLRDHUP))
    flags |= CURL_CSELECT_IN;
  if (events & POLLOUT)
    flags |= CURL_CSELECT_OUT;
  curl_multi_socket_action (loop->multi, fd, flags, &running);
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *context, void *socket)
{
  gs_loop_t *loop = context;
  short events = 0;

  (void)easy;
  (void)socket;
  if (what == CURL_POLL_REMOVE)
    {
      gs_loop_unwatch (loop, fd);
      return 0;
    }
  if (what & CURL_POLL_IN)
    events |= POLLIN;
  if (what & CURL_POLL_OUT)
    events |= POLLOUT;
  gs_loop_watch (loop, fd, events, on_socket_ready, loop);
  return 0;
}

static int
on_timer (CURLM *multi, long timeout_ms, void *context)
{
  gs_loop_t *loop = context;

  (void)multi;
  loop->curl_due = timeout_ms < 0 ? GS_TIME_NEVER
                                  : gs_clock_now () + timeout_ms * GS_MSEC;
  return 0;
}

static void
on_wake (void *context, int fd, short events)
{
  uint64_t count;
  ssize_t taken = read (fd, &count, sizeof count);

  (void)context;
  (void)events;
  (void)taken;
}

gs_status_t
gs_loop_create (gs_loop_t **out)
{
  gs_loop_t *loop = g_new0 (gs_loop_t, 1);

  loop->multi = curl_multi_init ();
  connection_table_create (&loop->connections);
  loop->calls = g_hash_table_new (NULL, NULL);
  loop->awaiting = g_hash_table_new (NULL, NULL);
  loop->slots = g_new0 (ck_ring_buffer_t, QUEUE_TASKS_MAX);
  loop->watches = g_array_new (FALSE, TRUE, sizeof (fd_watch_t));
  loop->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  loop->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  loop->curl_due = GS_TIME_NEVER;
  ck_ring_init (&loop->ring, QUEUE_TASKS_MAX);
  gs_loop_watch (loop, loop->wake_fd, POLLIN, on_wake, loop);
  curl_multi_setopt (loop->multi, CURLMOPT_MAX_HOST_CONNECTIONS, 0L);
  curl_multi_setopt (loop->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (loop->multi, CURLMOPT_SOCKETDATA, loop);
  curl_multi_setopt (loop->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (loop->multi, CURLMOPT_TIMERDATA, loop);
  *out = loop;
  return GS_OK;
}

static void
run_timer (gs_loop_t *loop)
{
  int running;

  if (gs_clock_now () < loop->curl_due)
    return;
  loop->curl_due = GS_TIME_NEVER;
  curl_multi_socket_action (loop->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

static void
run_tick (gs_loop_t *loop)
{
  gs_time_t now;

  if (loop->tick == NULL)
    return;
  now = gs_clock_now ();
  if (now < loop->tick_due)
    return;
  loop->tick_due = now + loop->tick_interval;
  loop->tick (loop->tick_context);
}

static int
wait_timeout_ms (const gs_loop_t *loop)
{
  gs_time_t due = loop->curl_due;
  gs_time_t remaining;

  if (ck_ring_size (&loop->ring) > 0)
    return 0;
  if (loop->tick != NULL)
    due = MIN (due, loop->tick_due);
  if (due == GS_TIME_NEVER)
    return WAIT_TIMEOUT_MAX_MSEC;
  remaining = due - gs_clock_now ();
  return remaining <= 0
             ? 0
             : (int)MIN ((remaining + 999) / 1000, WAIT_TIMEOUT_MAX_MSEC);
}

void
gs_loop_run (gs_loop_t *loop)
{
  while (!atomic_load (&loop->stopping))
    {
      run_watches (loop, wait_timeout_ms (loop));
      run_tasks (loop);
      run_timer (loop);
      finish_calls (loop);
      finish_overdue_calls (loop);
      run_tick (loop);
    }
  atomic_store (&loop->stopping, false);
}

void
gs_loop_stop (gs_loop_t *loop)
{
  atomic_store (&loop->stopping, true);
  wake (loop);
}

static size_t
on_body (char *data, size_t size, size_t count, void *context)
{
  gs_http_call_t *call = context;
  size_t length = size * count;

  if (!gs_response_check_allows_body (&call->check))
    {
      call->malformed = true;
      return 0;
    }
  if (call->on_data != NULL)
    return call->on_data (call->context, data, length) ? length : 0;
  if (call->body->len + length > call->body_bytes_max)
    return 0;
  g_string_append_len (call->body, data, (gssize)length);
  return length;
}

static size_t
on_header (char *data, size_t size, size_t count, void *context)
{
  static const char header_name[] = "X-Version:";
  gs_http_call_t *call = context;
  size_t length = size * count;
  long status = 0;

  g_hash_table_remove (call->loop->awaiting, call);
  call->head_bytes += length;
  if (call->head_bytes > HEAD_BYTES_MAX)
    return 0;
  if (!gs_response_check_line (&call->check, data, length))
    {
      call->malformed = true;
      return 0;
    }
  if (data[0] == '\r' || data[0] == '\n')
    {
      curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
      call->head_complete |= status >= HTTP_STATUS_FINAL_MIN;
    }
  if (call->on_line != NULL && !call->on_line (call->context, data, length))
    return 0;
  if (length > sizeof header_name - 1
      && length - sizeof header_name < VERSION_BYTES
      && strncasecmp (data, header_name, sizeof header_name - 1) == 0)
    {
      size_t rest = length - (sizeof header_name - 1);

      rest = MIN (rest, sizeof call->version - 1);
      memcpy (call->version, data + sizeof header_name - 1, rest);
      call->version[rest] = '\0';
      g_strstrip (call->version);
    }
  return length;
}

/* @return whether bytes wait on an idle connection, or it has ended  */
static bool
is_connection_stale (int fd)
{
  char byte;
  ssize_t length = recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);

  return length >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/* libcurl calls this before it sends the request on a connection, the first
   time and each time it resends.  It would use a kept connection on which
   bytes wait, and take them for the response.  An encrypted connection may
   hold bytes that belong to no response.  */
static int
on_request_send (void *context, char *remote, char *local, int remote_port,
                 int local_port)
{
  gs_http_call_t *call = context;
  connection_ends_t ends = { remote, remote_port, local_port };
  int fd;

  (void)local;
  if (call->no_resend && call->send_started)
    return CURL_PREREQFUNC_ABORT;
  fd = connection_table_use (call->loop->connections, &ends, call);
  if (fd >= 0 && call->plain && gs_loop_http_is_kept (call)
      && is_connection_stale (fd))
    {
      call->stale = !call->send_started;
      return CURL_PREREQFUNC_ABORT;
    }
  call->send_started = true;
  return CURL_PREREQFUNC_OK;
}

static curl_socket_t
on_socket_open (void *context, curlsocktype purpose,
                struct curl_sockaddr *address)
{
  gs_loop_t *loop = context;
  int fd = socket (address->family, address->socktype, address->protocol);

  (void)purpose;
  if (fd < 0)
    return CURL_SOCKET_BAD;
  connection_table_add (loop->connections, fd);
  return fd;
}

static int
on_socket_close (void *context, curl_socket_t fd)
{
  gs_loop_t *loop = context;

  connection_table_remove (loop->connections, fd);
  return close (fd);
}

static int
enable_keepalive (void *context, curl_socket_t fd, curlsocktype purpose)
{
  int on = 1;
  int seconds = KEEPALIVE_INTERVAL_SECONDS;
  int count = KEEPALIVE_PROBES_MAX;
  unsigned unacknowledged_ms = UNACKNOWLEDGED_TIMEOUT_MSEC;

  (void)context;
  (void)purpose;
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
              sizeof unacknowledged_ms);
  return CURL_SOCKOPT_OK;
}

static void
set_connection (gs_http_call_t *call, const gs_http_request_t *request)
{
  CURL *easy = call->easy;

  if (request->new_connection)
    {
      /* libcurl resends a request when a reused connection turns out to be
         closed.  A call that may have run must not be sent twice.  */
      curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
    }
  else if (request->unused_connection)
    curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  if (request->connect_only)
    curl_easy_setopt (easy, CURLOPT_CONNECT_ONLY, 1L);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_request_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, on_socket_open);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, call->loop);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, on_socket_close);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, call->loop);
  if (request->tcp_keepalive)
    curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, enable_keepalive);
  if (request->accepts_gzip)
    curl_easy_setopt (easy, CURLOPT_ACCEPT_ENCODING, "gzip");
  if (request->idle_seconds_max > 0)
    curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN,
                      (long)request->idle_seconds_max);
}

gs_status_t
gs_loop_http (gs_http_call_t **out, gs_loop_t *loop,
              const gs_http_request_t *request)
{
  gs_http_call_t *call = g_new0 (gs_http_call_t, 1);
  CURL *easy = curl_easy_init ();

  call->loop = loop;
  call->easy = easy;
  call->request_body
      = g_string_new_len (request->body != NULL ? request->body : "",
                          (gssize)request->body_length);
  call->body = g_string_new (NULL);
  call->body_bytes_max = request->body_bytes_max != 0 ? request->body_bytes_max
                                                      : BODY_BYTES_MAX_DEFAULT;
  call->no_resend = request->no_resend;
  call->plain = g_str_has_prefix (request->url, "http:");
  call->connect_only = request->connect_only;
  call->on_line = request->on_line;
  call->on_data = request->on_data;
  call->on_done = request->on_done;
  call->context = request->context;
  call->context_free = request->context_free;
  g_hash_table_add (loop->calls, call);
  call->response_deadline = request->response_deadline;
  if (request->response_deadline != 0)
    g_hash_table_add (loop->awaiting, call);

  for (size_t i = 0; request->headers != NULL && request->headers[i] != NULL;
       i++)
    call->headers = curl_slist_append (call->headers, request->headers[i]);
  call->headers = curl_slist_append (call->headers, "Expect:");
  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  if (strcmp (request->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  if (request->target != NULL)
    curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, request->target);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  if (request->body != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, call->request_body->str);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE,
                        (long)call->request_body->len);
    }
  set_connection (call, request);
  call->deadline = request->deadline;
  call->connect_deadline = request->connect_deadline;
  set_deadlines (call);
  set_progress_deadline (easy, request->progress_deadline);
  curl_multi_add_handle (loop->multi, easy);
  if (out != NULL)
    *out = call;
  return GS_OK;
}

void
gs_loop_http_connection_retire (gs_http_call_t *call)
{
  /* libcurl reads this option when the transfer is done.  */
  curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 1L);
}

void
gs_loop_http_idle_connections_close (gs_http_call_t *call)
{
  connection_table_idle_shutdown (call->loop->connections, call);
}

void
gs_loop_http_pause (gs_http_call_t *call, bool paused)
{
  curl_easy_pause (call->easy, paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
}

void
gs_loop_http_cancel (gs_http_call_t *call)
{
  call_free (call);
}
