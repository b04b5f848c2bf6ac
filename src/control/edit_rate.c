#include "control/edit_rate.h"

#include <glib.h>

#define HOUR (3600 * GS_SEC)

struct gs_edit_rate
{
  GHashTable *taken; /* operator name -> GArray of gs_time_t, oldest first */
};

static void
times_free (gpointer data)
{
  g_array_unref (data);
}

void
gs_edit_rate_create (gs_edit_rate_t **out)
{
  gs_edit_rate_t *rate = g_new0 (gs_edit_rate_t, 1);

  rate->taken
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, times_free);
  *out = rate;
}

void
gs_edit_rate_destroy (gs_edit_rate_t *rate)
{
  if (rate == NULL)
    return;
  g_hash_table_unref (rate->taken);
  g_free (rate);
}

static GArray *
ensure_times (gs_edit_rate_t *rate, const char *operator_name)
{
  GArray *times = g_hash_table_lookup (rate->taken, operator_name);

  if (times != NULL)
    return times;
  times = g_array_new (FALSE, FALSE, sizeof (gs_time_t));
  g_hash_table_insert (rate->taken, g_strdup (operator_name), times);
  return times;
}

static void
forget_older (GArray *times, gs_time_t oldest)
{
  guint old = 0;

  while (old < times->len && g_array_index (times, gs_time_t, old) <= oldest)
    old++;
  if (old > 0)
    g_array_remove_range (times, 0, old);
}

gs_status_t
gs_edit_rate_take (gs_edit_rate_t *rate, gs_time_t now,
                   const char *operator_name, uint64_t max,
                   gs_time_t *retry_after)
{
  GArray *times = ensure_times (rate, operator_name);
  guint leaving;

  forget_older (times, now - HOUR);
  if (times->len < max)
    {
      g_array_append_val (times, now);
      return GS_OK;
    }
  /* If the limit was lowered below the present count, more than one change has
     to expire first.  */
  leaving = times->len - (guint)max;
  *retry_after = g_array_index (times, gs_time_t, leaving) + HOUR - now;
  return gs_error_set (GS_EREFUSED,
                       "operator '%s' has made %u changes within an hour on "
                       "this node; changes_per_hour is %llu",
                       operator_name, times->len, (unsigned long long)max);
}

void
gs_edit_rate_give_back (gs_edit_rate_t *rate, const char *operator_name,
                        gs_time_t taken_at)
{
  GArray *times = g_hash_table_lookup (rate->taken, operator_name);

  for (guint i = times != NULL ? times->len : 0; i-- > 0;)
    if (g_array_index (times, gs_time_t, i) == taken_at)
      {
        g_array_remove_index (times, i);
        return;
      }
}
