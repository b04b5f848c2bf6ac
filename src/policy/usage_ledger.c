#include "policy/usage_ledger.h"

#include <glib.h>

/* Other nodes' counts are at most this old: a report and a digest take half a
   second to arrive.  */
#define SETTLE_DELAY (1800 * GS_MSEC)
/* Time until a failed call is repeated.  */
#define RETRY_INTERVAL (400 * GS_MSEC)
/* Windows before the present one that are reported when there is no record. */
#define LOOKBACK_WINDOWS 1

void
usage_ledger_init (usage_ledger_t *ledger, gs_time_t window_length,
                   gs_time_t report_timeout)
{
  *ledger = (usage_ledger_t){ .window_length = window_length,
                              .settle_delay = SETTLE_DELAY,
                              .report_timeout = report_timeout };
}

void
usage_ledger_clear (usage_ledger_t *ledger)
{
  json_decref (ledger->counts);
  json_decref (ledger->write_counts);
  json_decref (ledger->own_counts);
  ledger->own_counts = NULL;
  ledger->counts = NULL;
  ledger->write_counts = NULL;
}

void
usage_ledger_invalidate (usage_ledger_t *ledger)
{
  ledger->valid = false;
}

void
usage_ledger_begin (usage_ledger_t *ledger, int64_t wall)
{
  if (ledger->first_window == 0)
    ledger->first_window = wall / ledger->window_length - LOOKBACK_WINDOWS;
}

/* @return the window after the record's, or the oldest that can still be
   reported in time  */
static int64_t
next_window (usage_ledger_t *ledger, int64_t wall)
{
  int64_t oldest = (wall - ledger->report_timeout) / ledger->window_length;

  usage_ledger_begin (ledger, wall);
  return MAX (
      MAX (ledger->window == 0 ? ledger->first_window : ledger->window + 1,
           MAX (ledger->sent_window, ledger->assumed_window) + 1),
      oldest);
}

void
usage_ledger_assume_sent (usage_ledger_t *ledger, int64_t wall)
{
  ledger->assumed_window
      = MAX (ledger->assumed_window,
             (wall - ledger->settle_delay) / ledger->window_length - 1);
}

void
usage_ledger_store_reset (usage_ledger_t *ledger, int64_t wall, bool is_holder)
{
  if (!is_holder || !ledger->valid)
    usage_ledger_assume_sent (ledger, wall);
  else
    {
      bool unsent = ledger->written && !ledger->sent;

      ledger->assumed_window
          = MAX (ledger->assumed_window, ledger->window - (unsent ? 1 : 0));
    }
  usage_ledger_invalidate (ledger);
}

void
usage_ledger_sent_record (usage_ledger_t *ledger, int64_t window)
{
  ledger->sent_window = MAX (ledger->sent_window, window);
  if (ledger->window < ledger->sent_window)
    ledger->sent = true;
}

usage_action_t
usage_ledger_next (usage_ledger_t *ledger, gs_time_t now, int64_t wall)
{
  usage_action_t action = { .kind = USAGE_NOTHING };

  if (ledger->busy || now < ledger->due)
    return action;
  if (!ledger->valid)
    action.kind = USAGE_READ;
  else if (ledger->window != 0 && !ledger->sent
           && wall < (ledger->window + 1) * ledger->window_length
                         + ledger->report_timeout)
    {
      action.kind = USAGE_SEND;
      action.window = ledger->window;
      usage_ledger_sent_record (ledger, ledger->window);
      json_decref (ledger->own_counts);
      ledger->own_counts = json_incref (ledger->counts);
      ledger->own_window = ledger->window;
    }
  else
    {
      int64_t window = next_window (ledger, wall);

      if (wall < (window + 1) * ledger->window_length + ledger->settle_delay)
        return action;
      action.kind = USAGE_WRITE;
      action.window = window;
      action.revision = ledger->revision;
    }
  ledger->busy = true;
  return action;
}

static void
set_record (usage_ledger_t *ledger, int64_t window, uint64_t revision,
            json_t *counts)
{
  /* After the store has lost the record, another process may have written the
     window again.  */
  if (window == ledger->own_window && ledger->own_counts != NULL)
    {
      json_decref (counts);
      counts = json_incref (ledger->own_counts);
    }
  json_decref (ledger->counts);
  ledger->counts = counts;
  ledger->window = window;
  ledger->revision = revision;
  ledger->sent = window < ledger->sent_window;
  ledger->valid = true;
}

void
usage_ledger_read_done (usage_ledger_t *ledger, gs_time_t now,
                        gs_status_t status, uint64_t revision,
                        const json_t *value)
{
  ledger->busy = false;
  if (status == GS_ENOTFOUND)
    set_record (ledger, 0, 0, NULL);
  else if (status != GS_OK)
    ledger->due = now + RETRY_INTERVAL;
  else
    set_record (
        ledger,
        (int64_t)json_integer_value (json_object_get (value, "window")),
        revision, json_incref (json_object_get (value, "counts")));
  if (ledger->valid)
    {
      ledger->record_era
          = (uint64_t)json_integer_value (json_object_get (value, "era"));
      ledger->written = false;
    }
}

json_t *
usage_ledger_write_start (usage_ledger_t *ledger, int64_t window, uint64_t era,
                          json_t *counts)
{
  json_decref (ledger->write_counts);
  ledger->write_counts = counts;
  ledger->write_era = era;
  return json_pack ("{s:I, s:O, s:I}", "window", (json_int_t)window, "counts",
                    counts, "era", (json_int_t)era);
}

void
usage_ledger_write_done (usage_ledger_t *ledger, gs_time_t now,
                         gs_status_t status, uint64_t revision, int64_t window)
{
  ledger->busy = false;
  if (status == GS_OK)
    {
      set_record (ledger, window, revision,
                  json_incref (ledger->write_counts));
      ledger->record_era = ledger->write_era;
      ledger->written = true;
    }
  else
    {
      /* The write may have taken effect, or another node has written.  */
      ledger->valid = false;
      ledger->due = now + RETRY_INTERVAL;
    }
}

void
usage_ledger_send_done (usage_ledger_t *ledger, gs_time_t now,
                        gs_status_t status)
{
  ledger->busy = false;
  /* A report that the platform rejects is not repeated.  */
  if (status == GS_OK || status == GS_ECONFLICT || status == GS_EINVAL)
    ledger->sent = true;
  else
    ledger->due = now + RETRY_INTERVAL;
}
