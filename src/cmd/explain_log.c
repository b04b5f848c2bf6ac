#include "cmd/explain_log.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

/* State changes in this period before the first line of a request may have
   influenced its decisions.  */
#define BEFORE_SECONDS 5.0
#define AFTER_SECONDS 0.5

/* Events that report a state change rather than a step of a request.  */
static const char *const beliefs[] = { "start",
                                       "stop",
                                       "reload",
                                       "routes_in_force",
                                       "replica",
                                       "replica_left_out",
                                       "feed_lost",
                                       "feed_back",
                                       "feed_restarted",
                                       "feed_taken_over",
                                       "dependency_lost",
                                       "dependency_back",
                                       "peer_heard",
                                       "peer_silent",
                                       "duty_taken",
                                       "duty_lost",
                                       "config_refused",
                                       "log_left_out",
                                       NULL };

/* Events about one replica, which are shown only for the replicas of the
   request.  */
static const char *const of_replicas[]
    = { "replica", "replica_left_out", NULL };

/* @return the value of a key, freed with g_free(), or NULL.  */
static char *
value_of (const char *line, const char *key)
{
  char *begin = g_strdup_printf (" %s=", key);
  const char *found = strstr (line, begin);
  const char *value = found != NULL ? found + strlen (begin) : NULL;

  if (found == NULL && g_str_has_prefix (line, begin + 1))
    value = line + strlen (begin) - 1;
  g_free (begin);
  return value != NULL ? g_strndup (value, strcspn (value, " \n")) : NULL;
}

static double
time_of (const char *line)
{
  char *text = value_of (line, "ts");
  double time = text != NULL ? g_ascii_strtod (text, NULL) : -1;

  g_free (text);
  return time;
}

static bool
has_value (const char *line, const char *key, const char *value)
{
  char *found = value_of (line, key);
  bool has = g_strcmp0 (found, value) == 0;

  g_free (found);
  return has;
}

typedef struct
{
  char **lines;
  GHashTable *nodes;    /* names of the nodes that handled the request */
  GHashTable *replicas; /* names of the replicas that received it */
  double first;
  double last;
} story_t;

static gs_status_t
read_lines (char ***out, const char *path)
{
  char *text;
  GError *error = NULL;

  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      gs_status_t status = gs_error_set (GS_EIO, "%s", error->message);

      g_error_free (error);
      return status;
    }
  *out = g_strsplit (text, "\n", -1);
  g_free (text);
  return GS_OK;
}

/* In events about replicas, the id is that of the replica.  */
static bool
is_of_request (const char *line, const char *id)
{
  char *event = value_of (line, "event");
  bool is = event != NULL && !g_strv_contains (of_replicas, event)
            && has_value (line, "id", id);

  g_free (event);
  return is;
}

static void
add_value (GHashTable *set, const char *line, const char *key)
{
  char *value = value_of (line, key);

  if (value != NULL)
    g_hash_table_add (set, value);
}

static void
find_request (story_t *story, const char *id)
{
  for (char **line = story->lines; line != NULL && *line != NULL; line++)
    if (is_of_request (*line, id))
      {
        double time = time_of (*line);

        story->first = story->first < 0 ? time : MIN (story->first, time);
        story->last = MAX (story->last, time);
        add_value (story->nodes, *line, "node");
        add_value (story->replicas, *line, "replica");
      }
}

static bool
is_belief (const story_t *story, const char *line)
{
  char *event = value_of (line, "event");
  char *node = value_of (line, "node");
  char *id = value_of (line, "id");
  double time = time_of (line);
  bool is = event != NULL && node != NULL && g_strv_contains (beliefs, event)
            && g_hash_table_contains (story->nodes, node)
            && time >= story->first - BEFORE_SECONDS
            && time <= story->last + AFTER_SECONDS;

  if (is && g_strv_contains (of_replicas, event))
    is = id != NULL && g_hash_table_contains (story->replicas, id);
  g_free (event);
  g_free (node);
  g_free (id);
  return is;
}

gs_status_t
gs_explain_log (FILE *out, const char *path, const char *id)
{
  story_t story = { .first = -1, .last = -1 };
  gs_status_t status = read_lines (&story.lines, path);

  if (status != GS_OK)
    return status;
  story.nodes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  story.replicas
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  find_request (&story, id);
  if (story.first < 0)
    status = gs_error_set (GS_ENOTFOUND, "%s: no log line of request %s", path,
                           id);
  for (char **line = story.lines;
       status == GS_OK && line != NULL && *line != NULL; line++)
    if (is_of_request (*line, id) || is_belief (&story, *line))
      fprintf (out, "%s\n", *line);
  g_hash_table_unref (story.nodes);
  g_hash_table_unref (story.replicas);
  g_strfreev (story.lines);
  return status;
}

/* Whether the line shows that the node stopped at or after a time: the node
   starts again, or a peer reports it as silent.  A stop explains the open
   requests of the node.  */
static bool
tells_of_end (const char *line, const char *node, double after)
{
  bool started
      = has_value (line, "event", "start") && has_value (line, "node", node);
  bool missed = has_value (line, "event", "peer_silent")
                && has_value (line, "peer", node);

  return (started || missed) && time_of (line) >= after;
}

gs_status_t
gs_explain_unexplained (FILE *out, const char *path, unsigned *count)
{
  GHashTable *open_requests
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  char **lines = NULL;
  gs_status_t status = read_lines (&lines, path);
  GHashTableIter iter;
  gpointer id;
  gpointer node;

  *count = 0;
  if (status != GS_OK)
    goto cleanup;
  for (char **line = lines; line != NULL && *line != NULL; line++)
    {
      char *event = value_of (*line, "event");
      char *name = value_of (*line, "id");

      if (g_strcmp0 (event, "placed") == 0 && name != NULL)
        g_hash_table_replace (open_requests, g_strdup (name), *line);
      else if (g_strcmp0 (event, "request") == 0 && name != NULL)
        {
          char *reason = value_of (*line, "reason");

          if (reason == NULL || *reason == '\0')
            {
              fprintf (out, "%s\n", *line);
              (*count)++;
            }
          g_hash_table_remove (open_requests, name);
          g_free (reason);
        }
      g_free (name);
      g_free (event);
    }
  g_hash_table_iter_init (&iter, open_requests);
  while (g_hash_table_iter_next (&iter, &id, &node))
    {
      char *name = value_of (node, "node");
      double time = time_of (node);
      bool explained = false;

      for (char **line = lines; line != NULL && *line != NULL && !explained;
           line++)
        explained = tells_of_end (*line, name, time);
      if (!explained)
        {
          fprintf (out, "%s\n", (const char *)node);
          (*count)++;
        }
      g_free (name);
    }

cleanup:
  g_hash_table_unref (open_requests);
  g_strfreev (lines);
  return status;
}
