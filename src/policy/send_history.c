#include "policy/send_history.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Nodes learn a deadline as the time that is left, so each adds the time for
   which the request was on its way.  */
#define DEADLINE_SLACK GS_SEC

typedef struct
{
  uint64_t key; /* hash of the request's id and the process */
  gs_time_t deadline;
} send_row_t;

struct send_history
{
  unsigned rows_max;
  GQueue rows; /* of send_row_t, in the order of the sends */
  GHashTable *by_key;
};

void
send_history_create (send_history_t **out, unsigned rows_max)
{
  send_history_t *history = g_new0 (send_history_t, 1);

  history->rows_max = rows_max;
  g_queue_init (&history->rows);
  history->by_key = g_hash_table_new (g_int64_hash, g_int64_equal);
  *out = history;
}

void
send_history_destroy (send_history_t *history)
{
  if (history == NULL)
    return;
  g_hash_table_unref (history->by_key);
  g_queue_clear_full (&history->rows, g_free);
  g_free (history);
}

/* A row is removed after those that were added before it, so that it is kept
   for longer if theirs have later deadlines.  */
static void
remove_expired (send_history_t *history, gs_time_t now)
{
  send_row_t *row;

  while ((row = g_queue_peek_head (&history->rows)) != NULL
         && now > row->deadline + DEADLINE_SLACK)
    {
      g_hash_table_remove (history->by_key, &row->key);
      g_free (g_queue_pop_head (&history->rows));
    }
}

bool
send_history_add (send_history_t *history, gs_time_t now, const char *id,
                  uint64_t process, gs_time_t deadline)
{
  uint64_t key = XXH3_64bits_withSeed (id, strlen (id), process);
  send_row_t *row;

  remove_expired (history, now);
  row = g_hash_table_lookup (history->by_key, &key);
  if (row != NULL)
    {
      row->deadline = MAX (row->deadline, deadline);
      return true;
    }
  if (history->rows.length >= history->rows_max)
    return true;
  row = g_new (send_row_t, 1);
  *row = (send_row_t){ key, deadline };
  g_queue_push_tail (&history->rows, row);
  g_hash_table_add (history->by_key, &row->key);
  return false;
}

unsigned
send_history_length (const send_history_t *history)
{
  return history->rows.length;
}
