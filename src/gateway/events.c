#include "gateway/events.h"

#include <string.h>

#define ID_FIELD "id:"

void
events_init (events_t *events)
{
  *events = (events_t){ .held = g_string_new (NULL) };
}

void
events_clear (events_t *events)
{
  if (events->held != NULL)
    g_string_free (events->held, TRUE);
  events->held = NULL;
}

/* @return length of the line ending at the start of a text, 0 for none; lines
   end with CR LF, LF or CR  */
static size_t
line_end (const char *text, size_t left)
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
note_line (events_t *events, const char *line, size_t length)
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

/* @return length of the event at the start of a text, its terminating empty
   line included; 0 if the event is not complete yet  */
static size_t
whole_event (const char *text, size_t length)
{
  bool line_empty = true;

  for (size_t i = 0; i < length;)
    {
      size_t end = line_end (text + i, length - i);

      /* The LF of a CR LF may still arrive.  */
      if (text[i] == '\r' && i + 1 == length)
        return 0;
      if (end == 0)
        {
          line_empty = false;
          i++;
          continue;
        }
      i += end;
      if (line_empty)
        return i;
      line_empty = true;
    }
  return 0;
}

static void
note_event (events_t *events, const char *text, size_t length)
{
  size_t begin = 0;

  for (size_t i = 0; i < length; i++)
    if (text[i] == '\n' || text[i] == '\r')
      {
        note_line (events, text + begin, i - begin);
        begin = i + 1;
      }
  events->count++;
}

void
events_feed (events_t *events, const char *data, size_t length, GString *whole)
{
  size_t used = 0;
  size_t event;

  g_string_append_len (events->held, data, (gssize)length);
  while ((event
          = whole_event (events->held->str + used, events->held->len - used))
         > 0)
    {
      note_event (events, events->held->str + used, event);
      used += event;
    }
  g_string_append_len (whole, events->held->str, (gssize)used);
  g_string_erase (events->held, 0, (gssize)used);
}

void
events_drop_held (events_t *events)
{
  g_string_truncate (events->held, 0);
}
