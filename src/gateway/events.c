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

static void
record_event (events_splitter_t *events, const char *text, size_t length)
{
  size_t begin = 0;

  for (size_t i = 0; i < length; i++)
    if (text[i] == '\n' || text[i] == '\r')
      {
        parse_line (events, text + begin, i - begin);
        begin = i + 1;
      }
  events->count++;
}

void
events_feed (events_splitter_t *events, const char *data, size_t length,
             GString *complete)
{
  size_t used = 0;
  size_t event_length;

  g_string_append_len (events->partial, data, (gssize)length);
  while ((event_length = find_event_end (events, events->partial->str + used,
                                         events->partial->len - used))
         > 0)
    {
      record_event (events, events->partial->str + used, event_length);
      used += event_length;
    }
  g_string_append_len (complete, events->partial->str, (gssize)used);
  g_string_erase (events->partial, 0, (gssize)used);
}

void
events_partial_discard (events_splitter_t *events)
{
  g_string_truncate (events->partial, 0);
  events->scanned = 0;
  events->line_begun = false;
}
