#include "gateway/events.h"

#include <string.h>

#define ID_FIELD "id:"

void
events_init (events_splitter_t *events)
{
  *events = (events_splitter_t){ .partial = g_string_new (NULL) };
}

void
events_clear (events_splitter_t *events)
{
  if (events->partial != NULL)
    g_string_free (events->partial, TRUE);
  events->partial = NULL;
}

/* @return length of the line ending at the start of a text, 0 for none; lines
   end with CR LF, LF or CR  */
static size_t
line_ending_length (const char *text, size_t left)
{
  if (left == 0)
    return 0;
  if (text[0] == '\n')
    return 1;
  if (text[0] == '\r')
    return left > 1 && text[1] == '\n' ? 2 : 1;
  return 0;
}

static void
parse_line (events_splitter_t *events, const char *line, size_t length)
{
  if (length > strlen (ID_FIELD)
      && strncmp (line, ID_FIELD, strlen (ID_FIELD)) == 0)
    {
      char *value
          = g_strndup (line + strlen (ID_FIELD), length - strlen (ID_FIELD));
      guint64 id;

      if (g_ascii_string_to_unsigned (g_strstrip (value), 10, 0, INT64_MAX,
                                      &id, NULL))
        events->last_id = id;
      g_free (value);
    }
}

/* Looks for the end of an event, from where the last call for it stopped.
   @param text begins with the event
   @return its length, its terminating empty line included; 0 if the event is
   not complete yet  */
static size_t
find_event_end (events_splitter_t *events, const char *text, size_t length)
{
  size_t i = events->scanned;

  while (i < length)
    {
      size_t ending_length = line_ending_length (text + i, length - i);

      /* The LF of a CR LF may still arrive.  */
      if (text[i] == '\r' && i + 1 == length)
        break;
      if (ending_length == 0)
        {
          events->line_begun = true;
          i++;
          continue;
        }
      i += ending_length;
      if (!events->line_begun)
        {
          events->scanned = 0;
          return i;
        }
      events->line_begun = false;
    }
  events->scanned = i;
  return 0;
}

/* @return whether an event has no other lines than comments  */
static bool
is_comment (const char *text, size_t length)
{
  bool line_begins = true;

  for (size_t i = 0; i < length; i++)
    {
      bool ends = text[i] == '\n' || text[i] == '\r';

      if (line_begins && !ends && text[i] != ':')
        return false;
      line_begins = ends;
    }
  return true;
}

/* @return whether the event may follow those before it  */
static bool
record_event (events_splitter_t *events, const char *text, size_t length)
{
  uint64_t last_id = events->last_id;
  size_t begin = 0;

  if (events->continues && is_comment (text, length))
    return true;
  for (size_t i = 0; i < length; i++)
    if (text[i] == '\n' || text[i] == '\r')
      {
        parse_line (events, text + begin, i - begin);
        begin = i + 1;
      }
  if (events->continues && events->last_id <= last_id)
    {
      events->last_id = last_id;
      return false;
    }
  events->continues = false;
  events->count++;
  return true;
}

bool
events_feed (events_splitter_t *events, const char *data, size_t length,
             GString *complete)
{
  size_t used = 0;
  size_t event_length;
  bool fits = true;

  g_string_append_len (events->partial, data, (gssize)length);
  while (
      fits
      && (event_length = find_event_end (events, events->partial->str + used,
                                         events->partial->len - used))
             > 0)
    {
      fits = record_event (events, events->partial->str + used, event_length);
      used += fits ? event_length : 0;
    }
  g_string_append_len (complete, events->partial->str, (gssize)used);
  g_string_erase (events->partial, 0, (gssize)used);
  return fits;
}

void
events_resume (events_splitter_t *events)
{
  events->continues = events->last_id > 0;
}

void
events_partial_discard (events_splitter_t *events)
{
  g_string_truncate (events->partial, 0);
  events->scanned = 0;
  events->line_begun = false;
}
