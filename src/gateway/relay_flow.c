#include "gateway/relay_private.h"

/* A stream is paused when its caller has this much left to receive, and goes
   on when half of it is sent.  Sound streams stay far below it.  */
#define STREAM_UNSENT_BYTES_MAX ((size_t)64 << 10)
#define STREAM_UNSENT_BYTES_RESUME (STREAM_UNSENT_BYTES_MAX / 2)

void
relay_flow_check (relay_t *relay)
{
  if (relay->paused || relay->call == NULL
      || gs_exchange_unsent_bytes (relay->exchange) < STREAM_UNSENT_BYTES_MAX)
    return;
  relay->paused = true;
  g_hash_table_add (relay->traffic->paused, relay);
  gs_loop_http_pause (relay->call, true);
}

void
relay_flow_end (relay_t *relay)
{
  if (relay->paused)
    g_hash_table_remove (relay->traffic->paused, relay);
  relay->paused = false;
}

/* Data that is held back may arrive while a stream is resumed, and pause it
   again.  */
void
relay_flows_resume (traffic_t *traffic)
{
  GList *relays = g_hash_table_get_keys (traffic->paused);

  for (GList *link = relays; link != NULL; link = link->next)
    {
      relay_t *relay = link->data;

      if (gs_exchange_unsent_bytes (relay->exchange)
          > STREAM_UNSENT_BYTES_RESUME)
        continue;
      relay_flow_end (relay);
      gs_loop_http_pause (relay->call, false);
    }
  g_list_free (relays);
}
