#include "check.h"
#include "gateway_steps.h"
#include "gateway_world_private.h"

#include <string.h>

#define WATCH_WAIT_MS 100
#define RESPONSE_TIMEOUT (4 * GS_SEC)

static void
connect_store (raw_conn_t *out)
{
  CU_ASSERT_TRUE_FATAL (
      raw_connect (out, raw_server_port (world.stores[0].server)));
}

static void
send_watch (raw_conn_t *conn, uint64_t above)
{
  raw_printf (conn,
              "GET /garnetstack/objects/config?watch=%llu&wait_ms=%d"
              " HTTP/1.1\r\nHost: x\r\n\r\n",
              (unsigned long long)above, WATCH_WAIT_MS);
}

/* A watch that skipped a change would keep a node on an older configuration,
   as if the node had missed it.  */
static void
a_change_made_while_a_watch_expires_is_reported (void)
{
  raw_conn_t conn;
  GString *answer;
  json_t *spec = json_pack ("{s:i}", "version", 7);

  start_world (0);
  connect_store (&conn);
  send_watch (&conn, world.revision);
  g_usleep (20000);
  pthread_mutex_lock (&world.lock);
  g_usleep (2 * WATCH_WAIT_MS * 1000);
  world_object_put_locked (&world, "config", "main", spec);
  pthread_mutex_unlock (&world.lock);
  answer = raw_read_until (&conn, RESPONSE_TIMEOUT, "\"current_rev\"");
  CU_ASSERT_PTR_NOT_NULL (strstr (answer->str, "\"version\":7"));
  g_string_free (answer, TRUE);
  raw_close (&conn);
  json_decref (spec);
  end_world ();
}

/* The same for a history that is discarded while the watch expires.  */
static void
a_watch_that_expires_while_history_is_discarded_is_rejected (void)
{
  raw_conn_t conn;
  GString *answer;

  start_world (0);
  connect_store (&conn);
  send_watch (&conn, world.revision);
  g_usleep (20000);
  pthread_mutex_lock (&world.lock);
  g_usleep (2 * WATCH_WAIT_MS * 1000);
  world.oldest_revision = ++world.revision;
  pthread_mutex_unlock (&world.lock);
  answer = raw_read_until (&conn, RESPONSE_TIMEOUT, "\r\n\r\n");
  CU_ASSERT_EQUAL (status_of (answer->str), 410);
  g_string_free (answer, TRUE);
  raw_close (&conn);
  end_world ();
}

static const check_case_t cases[] = {
  { "a change made while a watch expires is reported",
    a_change_made_while_a_watch_expires_is_reported },
  { "a watch that expires while history is discarded is rejected",
    a_watch_that_expires_while_history_is_discarded_is_rejected },
};

int
main (void)
{
  return CHECK_RUN ("world_store", cases);
}
