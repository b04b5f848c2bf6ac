#include "garnetstack/meter.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>

#define PREFIX "garnetstack_"

typedef enum
{
  SERIES_COUNTER,
  SERIES_GAUGE,
  SERIES_HISTOGRAM
} series_kind_t;

static const char *const kind_names[] = { "counter", "gauge", "histogram" };

/* Upper bounds of the histogram buckets in seconds, from the duration of a
   cached answer to the longest deadline in the known deployments.  */
static const double bucket_bounds[]
    = { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15,
        0.25,  0.4,    0.6,   1,    2,     4,    8,   15 };

typedef struct
{
  const char *name;
  char *labels;
  series_kind_t kind;
  double value; /* for a histogram, the sum of the observations */
  /* Per bucket, not cumulative.  */
  guint64 counts[G_N_ELEMENTS (bucket_bounds) + 1];
} series_t;

static GHashTable *series_table; /* "name labels" -> series_t */
static guint64 updates_dropped;  /* updates of series beyond the limit */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
series_free (gpointer data)
{
  series_t *series = data;

  g_free (series->labels);
  g_free (series);
}

/* Finds a series or creates it.
   @return NULL when the limit of series is reached  */
static series_t *
get_series_locked (const char *name, const char *labels, series_kind_t kind)
{
  char key[256];
  series_t *series;

  g_snprintf (key, sizeof key, "%s %s", name, labels);
  if (series_table == NULL)
    series_table
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, series_free);
  series = g_hash_table_lookup (series_table, key);
  if (series != NULL)
    return series;
  if (g_hash_table_size (series_table) >= GS_METER_SERIES_MAX)
    {
      updates_dropped++;
      return NULL;
    }
  series = g_new0 (series_t, 1);
  series->name = name;
  series->labels = g_strdup (labels);
  series->kind = kind;
  g_hash_table_insert (series_table, g_strdup (key), series);
  return series;
}

void
gs_meter_add (const char *name, const char *labels, double amount)
{
  series_t *series;

  pthread_mutex_lock (&lock);
  series = get_series_locked (name, labels, SERIES_COUNTER);
  if (series != NULL)
    series->value += amount;
  pthread_mutex_unlock (&lock);
}

void
gs_meter_set (const char *name, const char *labels, double value)
{
  series_t *series;

  pthread_mutex_lock (&lock);
  series = get_series_locked (name, labels, SERIES_GAUGE);
  if (series != NULL)
    series->value = value;
  pthread_mutex_unlock (&lock);
}

void
gs_meter_observe (const char *name, const char *labels, double seconds)
{
  series_t *series;
  size_t bucket = 0;

  seconds = MAX (seconds, 0);
  while (bucket < G_N_ELEMENTS (bucket_bounds)
         && seconds > bucket_bounds[bucket])
    bucket++;
  pthread_mutex_lock (&lock);
  series = get_series_locked (name, labels, SERIES_HISTOGRAM);
  if (series != NULL)
    {
      series->value += seconds;
      series->counts[bucket]++;
    }
  pthread_mutex_unlock (&lock);
}

static gboolean
series_has_name (gpointer key, gpointer value, gpointer name)
{
  (void)key;
  return strcmp (((const series_t *)value)->name, name) == 0;
}

void
gs_meter_clear (const char *name)
{
  pthread_mutex_lock (&lock);
  if (series_table != NULL)
    g_hash_table_foreach_remove (series_table, series_has_name,
                                 (gpointer)name);
  pthread_mutex_unlock (&lock);
}

static void
append_histogram (GString *text, const series_t *series)
{
  const char *comma = *series->labels != '\0' ? "," : "";
  guint64 cumulative = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (bucket_bounds); i++)
    {
      cumulative += series->counts[i];
      g_string_append_printf (
          text, PREFIX "%s_bucket{%s%sle=\"%g\"} %" G_GUINT64_FORMAT "\n",
          series->name, series->labels, comma, bucket_bounds[i], cumulative);
    }
  cumulative += series->counts[G_N_ELEMENTS (bucket_bounds)];
  g_string_append_printf (
      text,
      PREFIX "%s_bucket{%s%sle=\"+Inf\"} %" G_GUINT64_FORMAT "\n" PREFIX
             "%s_sum{%s} %g\n" PREFIX "%s_count{%s} %" G_GUINT64_FORMAT "\n",
      series->name, series->labels, comma, cumulative, series->name,
      series->labels, series->value, series->name, series->labels, cumulative);
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

char *
gs_meter_text (void)
{
  GString *text = g_string_new (NULL);
  const char *name = "";
  GList *keys;

  pthread_mutex_lock (&lock);
  keys = series_table != NULL ? g_hash_table_get_keys (series_table) : NULL;
  keys = g_list_sort (keys, compare_keys);
  for (GList *link = keys; link != NULL; link = link->next)
    {
      const series_t *series = g_hash_table_lookup (series_table, link->data);

      if (strcmp (series->name, name) != 0)
        g_string_append_printf (text, "# TYPE " PREFIX "%s %s\n", series->name,
                                kind_names[series->kind]);
      name = series->name;
      if (series->kind == SERIES_HISTOGRAM)
        append_histogram (text, series);
      else
        g_string_append_printf (text, PREFIX "%s{%s} %.17g\n", series->name,
                                series->labels, series->value);
    }
  g_list_free (keys);
  g_string_append_printf (text,
                          "# TYPE " PREFIX "series_left_out counter\n" PREFIX
                          "series_left_out %" G_GUINT64_FORMAT "\n",
                          updates_dropped);
  pthread_mutex_unlock (&lock);
  return g_string_free (text, FALSE);
}
