#include "gateway_steps.h"

#include <stdlib.h>
#include <string.h>

unsigned
status_of (const char *answer)
{
  return g_str_has_prefix (answer, "HTTP/1.1 ")
             ? (unsigned)strtoul (answer + strlen ("HTTP/1.1 "), NULL, 10)
             : 0;
}

bool
head_has_line (const char *head, const char *line)
{
  char *whole = g_strdup_printf ("\r\n%s\r\n", line);
  bool has = strstr (head, whole) != NULL;

  g_free (whole);
  return has;
}

char *
header_of (const char *text, const char *name)
{
  raw_message_t message = { NULL, (char *)text, NULL };

  return raw_message_header (&message, name);
}

/* A case that fails early does not end its world; the next case does.  */
gateway_world_t world;
static bool world_is_live;

void
end_world (void)
{
  if (world_is_live)
    gw_destroy (&world);
  world_is_live = false;
}

void
start_world (unsigned replicas)
{
  end_world ();
  gw_create (&world, replicas);
  world_is_live = true;
}

void
start_gateway (unsigned replicas)
{
  start_world (replicas);
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  gw_start (&world, 0, true);
}

bool
start_saturated (raw_conn_t conns[WORLD_IN_FLIGHT_MAX])
{
  start_gateway (1);
  for (unsigned i = 0; i < WORLD_IN_FLIGHT_MAX; i++)
    {
      char *id = g_strdup_printf ("fills-%u", i);
      bool connected = gw_connect (&conns[i], &world, 0);

      if (connected)
        gw_send (&conns[i], "POST", "/a/stream/once/good", id, "", "x");
      g_free (id);
      if (!connected)
        return false;
    }
  g_usleep (100000);
  return true;
}

void
end_saturated (raw_conn_t conns[WORLD_IN_FLIGHT_MAX])
{
  for (unsigned i = 0; i < WORLD_IN_FLIGHT_MAX; i++)
    raw_close (&conns[i]);
  end_world ();
}

bool
is_complete_stream (const char *text, unsigned last)
{
  const char *at = text;

  for (unsigned i = 1; i <= last; i++)
    {
      char *event = g_strdup_printf ("id: %u\ndata: event %u\n\n", i, i);

      at = strstr (at, event);
      g_free (event);
      if (at == NULL)
        return false;
      at++;
    }
  return strstr (at, "\r\n0\r\n\r\n") != NULL;
}
