#include "wire/json_load.h"

#include <glib.h>
#include <string.h>

#define MARK "(unreadable)"
#define MARK_JSON "\"" MARK "\""

typedef struct
{
  const char *text;
  size_t length;
  size_t at;
  unsigned depth;
  GString *out;
  bool marked;
} repair_t;

/* @return index after a string that begins at FROM, or the length of the text
   if it has no end  */
static size_t
string_end (const char *text, size_t length, size_t from)
{
  size_t i = from + 1;

  while (i < length && text[i] != '"')
    i += text[i] == '\\' ? 2 : 1;
  return MIN (i + 1, length);
}

static bool
is_nested_deeply (const char *text, size_t length)
{
  unsigned depth = 0;

  for (size_t i = 0; i < length; i++)
    if (text[i] == '"')
      i = string_end (text, length, i) - 1;
    else if (text[i] == '{' || text[i] == '[')
      {
        if (++depth > GS_JSON_DEPTH_MAX)
          return true;
      }
    else if ((text[i] == '}' || text[i] == ']') && depth > 0)
      depth--;
  return false;
}

/* @return index after an array or object that begins at FROM  */
static size_t
container_end (const char *text, size_t length, size_t from)
{
  size_t depth = 0;

  for (size_t i = from; i < length; i++)
    if (text[i] == '"')
      i = string_end (text, length, i) - 1;
    else if (text[i] == '{' || text[i] == '[')
      depth++;
    else if ((text[i] == '}' || text[i] == ']') && --depth == 0)
      return i + 1;
  return length;
}

static bool
is_word_char (char c)
{
  return g_ascii_isalnum (c) || c == '-' || c == '+' || c == '.' || c == '_';
}

/* Shorter numbers fit into an integer.  */
#define DIGITS_PLAIN_MAX 15

/* @return whether a text is a short number without sign, or a string of plain
   characters, as nearly all are  */
static bool
is_plain_value (const char *text, size_t length)
{
  bool string = *text == '"';

  if (!string && (length > DIGITS_PLAIN_MAX || (*text == '0' && length > 1)))
    return false;
  if (string && (length < 2 || text[length - 1] != '"'))
    return false;
  for (size_t i = string; i < length - string; i++)
    if (string ? text[i] < ' ' || text[i] > '~' || text[i] == '\\'
               : !g_ascii_isdigit (text[i]))
      return false;
  return true;
}

/* @return whether jansson accepts a text as a value  */
static bool
is_value (const char *text, size_t length)
{
  json_t *value;

  if (is_plain_value (text, length))
    return true;
  value = json_loadb (text, length, JSON_DECODE_ANY, NULL);
  json_decref (value);
  return value != NULL;
}

static bool
is_key (const repair_t *repair, size_t end)
{
  while (end < repair->length && g_ascii_isspace (repair->text[end]))
    end++;
  return end < repair->length && repair->text[end] == ':';
}

/* Copies a string, number or literal, or replaces it.  */
static void
scalar_copy (repair_t *repair, size_t end)
{
  const char *begin = repair->text + repair->at;
  size_t length = end - repair->at;

  if (is_value (begin, length))
    g_string_append_len (repair->out, begin, (gssize)length);
  else
    {
      g_string_append (repair->out, MARK_JSON);
      /* What follows a key stays, with an empty one.  */
      if (*begin == '"' && is_key (repair, end))
        g_string_append (repair->out, ":" MARK_JSON ",\"\"");
      repair->marked = true;
    }
  repair->at = end;
}

static void
container_begin (repair_t *repair)
{
  if (repair->depth >= GS_JSON_DEPTH_MAX)
    {
      repair->at = container_end (repair->text, repair->length, repair->at);
      g_string_append (repair->out, MARK_JSON);
      repair->marked = true;
      return;
    }
  repair->depth++;
  g_string_append_c (repair->out, repair->text[repair->at++]);
}

static void
repair_run (repair_t *repair)
{
  while (repair->at < repair->length)
    {
      char c = repair->text[repair->at];
      size_t end = repair->at;

      if (c == '{' || c == '[')
        container_begin (repair);
      else if (c == '"')
        scalar_copy (repair,
                     string_end (repair->text, repair->length, repair->at));
      else if (is_word_char (c))
        {
          while (end < repair->length && is_word_char (repair->text[end]))
            end++;
          scalar_copy (repair, end);
        }
      else
        {
          if ((c == '}' || c == ']') && repair->depth > 0)
            repair->depth--;
          g_string_append_c (repair->out, c);
          repair->at++;
        }
    }
}

json_t *
gs_json_load (const char *text, size_t length, bool *marked)
{
  repair_t repair = { .text = text, .length = length };
  json_t *root = NULL;

  *marked = false;
  if (!is_nested_deeply (text, length))
    root = json_loadb (text, length, 0, NULL);
  if (root != NULL)
    return root;
  repair.out = g_string_sized_new (length);
  repair_run (&repair);
  root = json_loadb (repair.out->str, repair.out->len, 0, NULL);
  *marked = root != NULL && repair.marked;
  g_string_free (repair.out, TRUE);
  return root;
}

bool
gs_json_is_marked (const json_t *value)
{
  const char *text = json_string_value (value);
  const char *key;
  json_t *member;
  size_t i;

  if (text != NULL)
    return strcmp (text, MARK) == 0;
  json_array_foreach (value, i, member)
  {
    if (gs_json_is_marked (member))
      return true;
  }
  json_object_foreach ((json_t *)value, key, member)
  {
    if (gs_json_is_marked (member))
      return true;
  }
  return false;
}
