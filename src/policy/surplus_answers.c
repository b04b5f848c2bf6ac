#include "policy/surplus_answers.h"

#include <glib.h>

/* After this time connections are kept again, at the risk of one request of
   each node.  */
#define SURPLUS_ANSWERS_TTL (60 * GS_SEC)

typedef struct
{
  uint64_t process;
  gs_time_t deadline;
} surplus_row_t;

struct surplus_answers
{
  GHashTable *rows; /* set of surplus_row_t, by process */
};

void
surplus_answers_create (surplus_answers_t **out)
{
  surplus_answers_t *answers = g_new0 (surplus_answers_t, 1);

  answers->rows
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  *out = answers;
}

void
surplus_answers_destroy (surplus_answers_t *answers)
{
  if (answers == NULL)
    return;
  g_hash_table_unref (answers->rows);
  g_free (answers);
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer context)
{
  const surplus_row_t *row = key;
  const gs_time_t *now = context;

  (void)value;
  return *now >= row->deadline;
}

void
surplus_answers_add (surplus_answers_t *answers, gs_time_t now,
                     uint64_t process)
{
  surplus_row_t *row = g_new (surplus_row_t, 1);

  *row = (surplus_row_t){ process, now + SURPLUS_ANSWERS_TTL };
  g_hash_table_foreach_remove (answers->rows, is_expired, &now);
  g_hash_table_add (answers->rows, row);
}

bool
surplus_answers_expected (const surplus_answers_t *answers, gs_time_t now,
                          uint64_t process)
{
  const surplus_row_t *row = g_hash_table_lookup (answers->rows, &process);

  return row != NULL && now < row->deadline;
}

unsigned
surplus_answers_length (const surplus_answers_t *answers)
{
  return g_hash_table_size (answers->rows);
}
