#include "cmd/explain_log.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

/* State changes in this period before the first line of a request may have
   influenced its decisions.  */
#define STATE_CHANGE_BEFORE_SEC 5.0
#define STATE_CHANGE_AFTER_SEC 0.5

/* Events that report a state change rather than a step of a request.  */
static const char *const state_events[] = { "start",
                                            "stop",
                                            "reload",
                                            "routes_in_force",
                                            "replica",
                                            "replica_left_out",
                                            "replica_limit",
                                            "replica_leaving",
                                            "replica_refuses",
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
                                            "config_part_refused",
                                            "config_older",
                                            "store_era",
                                            "lease_reset",
                                            "log_left_out",
                                            NULL };

/* Events about one replica, which are shown only for the replicas of the
   request.  */
static const char *const replica_events[]
    = { "replica",         "replica_left_out", "replica_limit",
        "replica_leaving", "replica_refuses",  NULL };

/* @return the value of a key, freed with g_free(), or NULL.  */
static char *
line_value_get (const char *line, const char *key)
{
  char *prefix = g_strdup_printf (" %s=", key);
  const char *found = strstr (line, prefix);
  const char *value = found != NULL ? found + strlen (prefix) : NULL;

  if (found == NULL && g_str_has_prefix (line, prefix + 1))
    value = line + strlen (prefix) - 1;
  g_free (prefix);
  return value != NULL ? g_strndup (value, strcspn (value, " \n")) : NULL;
}

static double
line_time_get (const char *line)
{
  char *text = line_value_get (line, "ts");
  double time = text != NULL ? g_ascii_strtod (text, NULL) : -1;

  g_free (text);
  return time;
}

static bool
line_has_value (const char *line, const char *key, const char *value)
{
  char *found = line_value_get (line, key);
  bool equal = g_strcmp0 (found, value) == 0;

  g_free (found);
  return equal;
}

typedef struct
{
  char **lines;
  GHashTable *nodes;    /* names of the nodes that handled the request */
  GHashTable *replicas; /* names of the replicas that received it */
  double first_time;    /* of its log lines; -1 for none */
  double last_time;
} request_trace_t;

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
line_is_of_request (const char *line, const char *id)
{
  char *event = line_value_get (line, "event");
  bool matches = event != NULL && !g_strv_contains (replica_events, event)
                 && line_has_value (line, "id", id);

  g_free (event);
  return matches;
}

static void
value_set_add (GHashTable *set, const char *line, const char *key)
{
  char *value = line_value_get (line, key);

  if (value != NULL)
    g_hash_table_add (set, value);
}

static void
trace_fill (request_trace_t *trace, const char *id)
{
  for (char **line = trace->lines; line != NULL && *line != NULL; line++)
    if (line_is_of_request (*line, id))
      {
        double time = line_time_get (*line);

        trace->first_time
            = trace->first_time < 0 ? time : MIN (trace->first_time, time);
        trace->last_time = MAX (trace->last_time, time);
        value_set_add (trace->nodes, *line, "node");
        value_set_add (trace->replicas, *line, "replica");
      }
}

static bool
line_is_state_change (const request_trace_t *trace, const char *line)
{
  char *event = line_value_get (line, "event");
  char *node = line_value_get (line, "node");
  char *id = line_value_get (line, "id");
  double time = line_time_get (line);
  bool matches = event != NULL && node != NULL
                 && g_strv_contains (state_events, event)
                 && g_hash_table_contains (trace->nodes, node)
                 && time >= trace->first_time - STATE_CHANGE_BEFORE_SEC
                 && time <= trace->last_time + STATE_CHANGE_AFTER_SEC;

  if (matches && g_strv_contains (replica_events, event))
    matches = id != NULL && g_hash_table_contains (trace->replicas, id);
  g_free (event);
  g_free (node);
  g_free (id);
  return matches;
}

gs_status_t
gs_explain_log (FILE *out, const char *path, const char *id)
{
  request_trace_t trace = { .first_time = -1, .last_time = -1 };
  gs_status_t status = read_lines (&trace.lines, path);

  if (status != GS_OK)
    return status;
  trace.nodes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  trace.replicas
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  trace_fill (&trace, id);
  if (trace.first_time < 0)
    status = gs_error_set (GS_ENOTFOUND, "%s: no log line of request %s", path,
                           id);
  for (char **line = trace.lines;
       status == GS_OK && line != NULL && *line != NULL; line++)
    if (line_is_of_request (*line, id) || line_is_state_change (&trace, *line))
      fprintf (out, "%s\n", *line);
  g_hash_table_unref (trace.nodes);
  g_hash_table_unref (trace.replicas);
  g_strfreev (trace.lines);
  return status;
}

/* Whether the line shows that the node stopped at or after a time: the node
   starts again, or a peer reports it as silent.  A stop explains the open
   requests of the node.  */
static bool
line_shows_stop (const char *line, const char *node, double after)
{
  bool started = line_has_value (line, "event", "start")
                 && line_has_value (line, "node", node);
  bool silent = line_has_value (line, "event", "peer_silent")
                && line_has_value (line, "peer", node);

  return (started || silent) && line_time_get (line) >= after;
}

gs_status_t
gs_explain_unexplained_print (FILE *out, const char *path, unsigned *count)
{
  GHashTable *open_requests
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  char **lines = NULL;
  gs_status_t status = read_lines (&lines, path);
  GHashTableIter iter;
  gpointer id;
  gpointer placed_line;

  *count = 0;
  if (status != GS_OK)
    goto cleanup;
  for (char **line = lines; line != NULL && *line != NULL; line++)
    {
      char *event = line_value_get (*line, "event");
      char *request_id = line_value_get (*line, "id");

      if (g_strcmp0 (event, "placed") == 0 && request_id != NULL)
        g_hash_table_replace (open_requests, g_strdup (request_id), *line);
      else if (g_strcmp0 (event, "request") == 0 && request_id != NULL)
        {
          char *reason = line_value_get (*line, "reason");

          if (reason == NULL || *reason == '\0')
            {
              fprintf (out, "%s\n", *line);
              (*count)++;
            }
          g_hash_table_remove (open_requests, request_id);
          g_free (reason);
        }
      g_free (request_id);
      g_free (event);
    }
  g_hash_table_iter_init (&iter, open_requests);
  while (g_hash_table_iter_next (&iter, &id, &placed_line))
    {
      char *node = line_value_get (placed_line, "node");
      double time = line_time_get (placed_line);
      bool explained = false;

      for (char **line = lines; line != NULL && *line != NULL && !explained;
           line++)
        explained = line_shows_stop (*line, node, time);
      if (!explained)
        {
          fprintf (out, "%s\n", (const char *)placed_line);
          (*count)++;
        }
      g_free (node);
    }

cleanup:
  g_hash_table_unref (open_requests);
  g_strfreev (lines);
  return status;
}
