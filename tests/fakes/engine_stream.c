#include "fakes/world.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define FINISHED_STREAM_TTL (30 * GS_SEC)
#define CUT_DELAY (20 * GS_MSEC)

void
fake_token (char out[FAKE_TOKEN_BYTES], const char *prompt, uint32_t index)
{
  uint64_t hash = XXH3_64bits_withSeed (prompt, strlen (prompt), index);

  snprintf (out, FAKE_TOKEN_BYTES, "w%08x ", (unsigned)hash);
}

stream_t *
stream_create (const char *id, const json_t *body, gs_time_t interval)
{
  stream_t *stream = g_new0 (stream_t, 1);

  stream->id = g_strdup (id);
  stream->prompt = g_strdup (json_text (body, "prompt"));
  stream->attempt = json_number (body, "attempt", 0);
  stream->priority = json_number (body, "priority", 0);
  stream->end = (uint32_t)json_number (body, "max_tokens", 0);
  stream->interval = interval;
  return stream;
}

static void
detach (stream_t *stream)
{
  gs_exchange_unref (stream->exchange);
  stream->exchange = NULL;
}

void
stream_free (gpointer data)
{
  stream_t *stream = data;

  if (stream->exchange != NULL)
    gs_exchange_abort (stream->exchange);
  detach (stream);
  g_free (stream->prompt);
  g_free (stream->id);
  g_free (stream);
}

void
stream_attach (stream_t *stream, const fake_call_t *call, uint32_t from,
               unsigned recomputed)
{
  char number[16];
  const char *headers[] = { "X-Recomputed-Tokens", number, NULL };

  /* A previous reader gets no more tokens; its connection stays open.  */
  detach (stream);
  stream->exchange = gs_exchange_ref (call->exchange);
  stream->next = from;
  stream->sent = 0;
  stream->cut_due = 0;
  stream->fault = call->fault;
  stream->after = call->after;
  if (call->fault == FAULT_SLOW)
    stream->interval = MAX (call->delay, GS_MSEC);
  if (call->fault == FAULT_LATE)
    stream->due += call->delay;
  g_snprintf (number, sizeof number, "%u", recomputed);
  gs_exchange_start (call->exchange, 200, "text/event-stream", headers);
}

static void
write_event (stream_t *stream, uint32_t index)
{
  char token[FAKE_TOKEN_BYTES];
  char event[128];

  fake_token (token, stream->prompt, index);
  snprintf (event, sizeof event,
            "data: {\"choices\":[{\"index\":0,\"text\":\"%s\"}],"
            "\"offset\":%u}\n\n",
            token, index);
  gs_exchange_write (stream->exchange, event, strlen (event));
}

/* Aborts the connection after a delay, so that written events reach the
   reader.  */
static void
cut (stream_t *stream)
{
  gs_time_t now = gs_clock_now ();

  if (stream->cut_due == 0)
    stream->cut_due = now + CUT_DELAY;
  if (now < stream->cut_due)
    return;
  gs_exchange_abort (stream->exchange);
  detach (stream);
}

/* Sends one event, and applies the fault at its position.
   @return false when no further event may be sent in this step.  */
static bool
send_event (stream_t *stream)
{
  bool at_fault = stream->sent == stream->after;

  if (at_fault
      && (stream->fault == FAULT_CUT
          || stream->fault == FAULT_LOST_AFTER_EFFECT))
    {
      cut (stream);
      return false;
    }
  if (stream->fault == FAULT_SILENT && stream->sent >= stream->after)
    return false;
  if (at_fault && stream->fault == FAULT_REORDER)
    {
      if (stream->next + 1 >= stream->produced
          && stream->produced < stream->end)
        return false;
      if (stream->next + 1 < stream->end)
        {
          write_event (stream, stream->next + 1);
          write_event (stream, stream->next);
          stream->next += 2;
          stream->sent += 2;
          return true;
        }
    }
  write_event (stream, stream->next);
  if (at_fault && stream->fault == FAULT_DUPLICATE)
    write_event (stream, stream->next);
  stream->next++;
  stream->sent++;
  return true;
}

static void
send_end (stream_t *stream)
{
  bool at_fault = stream->sent <= stream->after;

  if (stream->fault == FAULT_SILENT)
    return;
  if (stream->fault == FAULT_CUT && at_fault)
    {
      cut (stream);
      return;
    }
  if (stream->fault != FAULT_NO_END)
    gs_exchange_write (stream->exchange, "data: [DONE]\n\n", 14);
  gs_exchange_finish (stream->exchange);
  detach (stream);
}

bool
stream_step (stream_t *stream, gs_time_t now)
{
  if (stream->running && now >= stream->due && stream->produced < stream->end)
    {
      stream->produced++;
      stream->due = now + stream->interval;
    }
  if (stream->produced >= stream->end && stream->expiry == 0)
    {
      stream->running = false;
      stream->expiry = now + FINISHED_STREAM_TTL;
    }
  if (stream->exchange != NULL && gs_exchange_closed (stream->exchange))
    detach (stream);
  while (stream->exchange != NULL && stream->next < stream->produced
         && send_event (stream))
    continue;
  if (stream->exchange != NULL && stream->next >= stream->end)
    send_end (stream);
  return stream->expiry == 0 || now < stream->expiry;
}
