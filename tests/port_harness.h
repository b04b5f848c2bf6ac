/**
 * @file port_harness.h
 * In-process stand-ins and an event loop for the contract tests of the ports.
 * A test starts a call and harness_wait() runs the loop until the callback of
 * the call has run harness_done().
 */
#ifndef GS_TESTS_PORT_HARNESS_H
#define GS_TESTS_PORT_HARNESS_H

#include "check.h"
#include "fakes/fakes.h"

#include "garnetstack/loop.h"

#include <curl/curl.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Longer than any response of the stand-ins takes without a fault. */
#define HARNESS_TIMEOUT (20 * GS_SEC)
/* Deadline of calls that are expected to time out. */
#define HARNESS_SHORT_TIMEOUT (200 * GS_MSEC)

typedef struct
{
  fake_world_t *world;
  gs_loop_t *loop;
  char *url; /* base URL of the stand-ins */
  bool done;
} harness_t;

static inline void
harness_start (harness_t *harness, unsigned engines, unsigned services)
{
  fake_world_options_t options = { 0, engines, services };

  memset (harness, 0, sizeof *harness);
  CU_ASSERT_EQUAL_FATAL (fake_world_create (&harness->world, &options), GS_OK);
  gs_loop_create (&harness->loop);
  harness->url = g_strdup_printf ("http://127.0.0.1:%u",
                                  fake_world_port (harness->world));
}

static inline void
harness_stop (harness_t *harness)
{
  gs_loop_destroy (harness->loop);
  fake_world_destroy (harness->world);
  g_free (harness->url);
}

/* Make harness_wait() return; the callbacks of a test call this. */
static inline void
harness_done (harness_t *harness)
{
  harness->done = true;
  gs_loop_stop (harness->loop);
}

static inline void
harness_wait (harness_t *harness)
{
  while (!harness->done)
    gs_loop_run (harness->loop);
  harness->done = false;
}

static inline void
harness_fault (harness_t *harness, const char *fault)
{
  if (fault != NULL)
    CU_ASSERT_EQUAL (fake_world_fault_inject (harness->world, fault), GS_OK);
}

static inline gs_time_t
harness_deadline (bool is_short)
{
  return gs_clock_now ()
         + (is_short ? HARNESS_SHORT_TIMEOUT : HARNESS_TIMEOUT);
}

/* More connections than the backlog of a full listener holds. */
#define HARNESS_FILLERS 4

/* A port at which connections do not open, as behind a partition. */
typedef struct
{
  int fd;
  int fillers[HARNESS_FILLERS];
  char *url;
} harness_full_port_t;

static inline void
harness_full_port_open (harness_full_port_t *out)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  out->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CU_ASSERT_EQUAL_FATAL (
      bind (out->fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (out->fd, 0), 0);
  getsockname (out->fd, (struct sockaddr *)&address, &length);
  for (unsigned i = 0; i < HARNESS_FILLERS; i++)
    {
      out->fillers[i]
          = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      (void)connect (out->fillers[i], (struct sockaddr *)&address, length);
    }
  out->url = g_strdup_printf ("http://127.0.0.1:%u", ntohs (address.sin_port));
}

static inline void
harness_full_port_close (harness_full_port_t *port)
{
  for (unsigned i = 0; i < HARNESS_FILLERS; i++)
    close (port->fillers[i]);
  close (port->fd);
  g_free (port->url);
}

/* Assert a condition and print the table row for which it failed. */
static inline void
harness_check (bool condition, const char *row, const char *message)
{
  if (!condition)
    printf ("\n  row '%s': %s", row, message);
  CU_ASSERT_TRUE (condition);
}

#endif
