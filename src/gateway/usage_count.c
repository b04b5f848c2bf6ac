#include "gateway/usage_count.h"

#include "gateway/traffic.h"

#include <string.h>

struct usage_count
{
  gs_time_t window_length;
  unsigned window_count; /* windows that are kept */
  GArray *rows;          /* of traffic_usage_t */
};

void
usage_count_create (usage_count_t **out, gs_time_t window_length,
                    unsigned window_count)
{
  usage_count_t *count = g_new0 (usage_count_t, 1);

  count->window_length = window_length;
  count->window_count = window_count;
  count->rows = g_array_new (FALSE, TRUE, sizeof (traffic_usage_t));
  *out = count;
}

void
usage_count_destroy (usage_count_t *count)
{
  if (count == NULL)
    return;
  g_array_unref (count->rows);
  g_free (count);
}

int64_t
usage_count_window (const usage_count_t *count, int64_t wall)
{
  return wall / count->window_length;
}

void
usage_count_add (usage_count_t *count, int64_t wall, const char *account)
{
  int64_t window = usage_count_window (count, wall);
  traffic_usage_t added = { .window = window, .requests = 1 };

  for (guint i = 0; i < count->rows->len; i++)
    {
      traffic_usage_t *row = &g_array_index (count->rows, traffic_usage_t, i);

      if (row->window == window && strcmp (row->account, account) == 0)
        {
          row->requests++;
          return;
        }
    }
  g_strlcpy (added.account, account, sizeof added.account);
  g_array_append_val (count->rows, added);
}

void
usage_count_export (usage_count_t *count, int64_t wall, GArray *out)
{
  int64_t oldest
      = usage_count_window (count, wall) - (int64_t)count->window_count + 1;

  for (guint i = count->rows->len; i > 0; i--)
    if (g_array_index (count->rows, traffic_usage_t, i - 1).window < oldest)
      g_array_remove_index_fast (count->rows, i - 1);
  g_array_append_vals (out, count->rows->data, count->rows->len);
}
