#include "control/edit_rate.h"

#include <glib.h>

#define HOUR (3600 * GS_SEC)

struct gs_edit_rate
{
  GHashTable *times_by_operator; /* operator name -> GArray of gs_time_t,
                                    oldest first */
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

  rate->times_by_operator
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, times_free);
  *out = rate;
}

void
gs_edit_rate_destroy (gs_edit_rate_t *rate)
{
  if (rate == NULL)
    return;
  g_hash_table_unref (rate->times_by_operator);
  g_free (rate);
}

static GArray *
get_or_create_times (gs_edit_rate_t *rate, const char *operator_name)
{
  GArray *times = g_hash_table_lookup (rate->times_by_operator, operator_name);

  if (times != NULL)
    return times;
  times = g_array_new (FALSE, FALSE, sizeof (gs_time_t));
  g_hash_table_insert (rate->times_by_operator, g_strdup (operator_name),
                       times);
  return times;
}

static void
expire_times (GArray *times, gs_time_t expired_until)
{
  guint expired = 0;

  while (expired < times->len
         && g_array_index (times, gs_time_t, expired) <= expired_until)
    expired++;
  if (expired > 0)
    g_array_remove_range (times, 0, expired);
}

gs_status_t
gs_edit_rate_reserve (gs_edit_rate_t *rate, gs_time_t now,
                      const char *operator_name, uint64_t max,
                      gs_time_t *retry_after)
{
  GArray *times = get_or_create_times (rate, operator_name);
  guint expiring;

  expire_times (times, now - HOUR);
  if (times->len < max)
    {
      g_array_append_val (times, now);
      return GS_OK;
    }
  /* If the limit was lowered below the present count, more than one change has
     to expire first.  */
  expiring = times->len - (guint)max;
  *retry_after = g_array_index (times, gs_time_t, expiring) + HOUR - now;
  return gs_error_set (GS_EREFUSED,
                       "operator '%s' has made %u changes within an hour on "
                       "this node; changes_per_hour is %llu",
                       operator_name, times->len, (unsigned long long)max);
}

void
gs_edit_rate_release (gs_edit_rate_t *rate, const char *operator_name,
                      gs_time_t counted_at)
{
  GArray *times = g_hash_table_lookup (rate->times_by_operator, operator_name);

  for (guint i = times != NULL ? times->len : 0; i-- > 0;)
    if (g_array_index (times, gs_time_t, i) == counted_at)
      {
        g_array_remove_index (times, i);
        return;
      }
}
